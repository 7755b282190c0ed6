package faults

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// How long a lease is without a holder that acts after its holder is killed, and after the holder and the voters' leader are killed at one
// instant. It runs where CORALYARD_GAPS names how many of each, and asserts nothing but that somebody acts again.
func TestGaps(t *testing.T) {
	trials := number("CORALYARD_GAPS", 0)
	if trials == 0 {
		t.Skip("CORALYARD_GAPS is not set")
	}
	o := options(t, 70)
	o.Nodes, o.Leases, o.Rate = 7, time.Second, 1
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rng := rand.New(rand.NewPCG(70, 1))
	for _, both := range []bool{false, true} {
		var gaps []time.Duration
		for len(gaps) < trials {
			if err := f.Acted(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond) // anywhere in a term
			var kill []*node
			for i, n := range f.nodes {
				st, err := f.Look(t.Context(), i)
				if err == nil && (n.name == f.witness.actor() || both && st.Leases.Leads) {
					kill = append(kill, n)
				}
			}
			if both && len(kill) < 2 {
				if len(kill) == 1 { // one node is both: another may be next time
					f.kill(kill[0])
					if err := f.run(t.Context(), kill[0]); err != nil {
						t.Fatal(err)
					}
				}
				continue
			}
			at := time.Now()
			for _, n := range kill {
				f.kill(n)
			}
			before := f.witness.count()
			until(t, f, "somebody acts", func() bool { return f.witness.count() > before+1 })
			f.witness.mu.Lock()
			first := f.witness.acts[before+1].began
			f.witness.mu.Unlock()
			gaps = append(gaps, first.Sub(at))
			for _, n := range kill {
				if err := f.run(t.Context(), n); err != nil {
					t.Fatal(err)
				}
			}
		}
		slices.Sort(gaps)
		t.Logf("leader killed as well %v: %d trials, %v median, %v p99, %v longest; a term is %v", both, trials, gaps[trials/2].Round(time.Millisecond),
			gaps[min(trials*99/100, trials-1)].Round(time.Millisecond), gaps[trials-1].Round(time.Millisecond), o.Leases)
	}
}

// How long it takes from the loss of a machine with its folder to an heir that goes on with its journal, under load. It runs where CORALYARD_GAPS names
// how often, and asserts nothing but that there is one.
func TestHeirs(t *testing.T) {
	trials := number("CORALYARD_GAPS", 0)
	if trials == 0 {
		t.Skip("CORALYARD_GAPS is not set")
	}
	o := copyOptions(options(t, 71))
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Load(ctx)
	heirs := func() (all []time.Time) {
		f.history.mu.Lock()
		defer f.history.mu.Unlock()
		for _, c := range f.history.changes {
			if c.what == heir {
				all = append(all, c.at)
			}
		}
		return all
	}
	rng := rand.New(rand.NewPCG(71, 1))
	var gaps []time.Duration
	for len(gaps) < trials {
		n := f.nodes[rng.IntN(o.Nodes)]
		until(t, f, "its journal is held", func() bool {
			st, err := f.Look(t.Context(), n.i)
			return err == nil && st.Copies != nil && len(st.Copies.Own) > 0 && st.Copies.Own[0].Holds
		})
		time.Sleep(time.Second) // so that there is something in it
		before, at := len(heirs()), time.Now()
		f.kill(n)
		state := filepath.Join(n.folder, "state")
		if err := os.RemoveAll(state); err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(state, 0o700); err != nil {
			t.Fatal(err)
		}
		until(t, f, "somebody is its heir", func() bool { return len(heirs()) > before })
		gaps = append(gaps, heirs()[before].Sub(at))
		if err := f.run(t.Context(), n); err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(gaps)
	t.Logf("%d trials, %v median, %v longest; a term is %v, inherited after %v", trials, gaps[trials/2].Round(time.Millisecond), gaps[trials-1].Round(time.Millisecond), o.Leases, o.Inherit)
}
