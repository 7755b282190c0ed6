package faults

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"starlingusher/internal/planted"
	"starlingusher/internal/standin"
	"starlingusher/peers"
)

// losses is a schedule in which machines are lost with their folders, or come back with old ones, one after another: each is back, and its
// streams are copied anew, before the next one goes.
func losses(seed uint64, nodes int, length time.Duration) (all []Step) {
	rng := rand.New(rand.NewPCG(seed, 31))
	for at := time.Duration(0); ; {
		at += time.Duration(1000+rng.IntN(1000)) * time.Millisecond
		gone := time.Duration(200+rng.IntN(2500)) * time.Millisecond
		if at+gone >= length {
			return all
		}
		kind, a := []Kind{LoseAll, LoseAll, LoseAll, PutBack, Kill, Pause}[rng.IntN(6)], rng.IntN(nodes)
		if kind != Pause && rng.IntN(2) == 0 { // cut off from its holders, and not from clients and partners, when it is lost
			all = append(all, Step{At: at, For: 400*time.Millisecond + gone, Kind: Mute, A: a})
			at += 400 * time.Millisecond
		}
		all = append(all, Step{At: at, For: gone, Kind: kind, A: a})
		at += gone + 1500*time.Millisecond
	}
}

// slowly is a partner that takes its time and turns calls away for seven tenths of it, so that messages wait and are under way whenever a machine is lost.
func slowly(c standin.Call) standin.Step {
	load := map[string]float64{"x0": 0.5, "x1": 60}
	if c.At.UnixMilli()%1000 < 700 {
		return standin.Step{Fault: standin.Limit, Wait: 300 * time.Millisecond, Load: load}
	}
	return standin.Step{Delay: 200 * time.Millisecond, Load: load}
}

// pairs is a schedule in which two machines are lost with their folders at one instant, again and again.
func pairs(seed uint64, nodes int, length time.Duration) (all []Step) {
	rng := rand.New(rand.NewPCG(seed, 32))
	for at := time.Second; at+3*time.Second < length; at += 7 * time.Second {
		gone := time.Duration(200+rng.IntN(2500)) * time.Millisecond
		a := rng.IntN(nodes)
		b := (a + 1 + rng.IntN(nodes-1)) % nodes
		all = append(all, Step{At: at, For: gone, Kind: LoseAll, A: a}, Step{At: at, For: gone, Kind: LoseAll, A: b})
	}
	return all
}

// copyOptions are of five nodes with one further holder each.
func copyOptions(o Options) Options {
	o.Nodes, o.Leases, o.Rate, o.Copies, o.Inherit, o.Answer = 5, time.Second, 10, 1, time.Second, slowly
	return o
}

// copyLength is how long machines are lost in a round.
const copyLength = 12 * time.Second

// Machines are lost with their disks, one at a time, while clients hand messages in and partners take calls: every message that was
// taken on has an end, and no payout runs twice. CORALYARD_COPIES asks for more rounds.
func TestCopies(t *testing.T) {
	eachSeed(t, number("CORALYARD_COPIES", 3), uint64(number("CORALYARD_SEED", 800)), func(t *testing.T, o Options) {
		o = copyOptions(o)
		logged(t, o, losses(o.Seed, o.Nodes, copyLength), copyLength)
	})
}

// The same where two machines are lost with their disks at one instant, of seven that have two further holders each. It runs where
// CORALYARD_PAIRS names how many rounds.
func TestCopiesOfPairs(t *testing.T) {
	const length = 18 * time.Second
	eachSeed(t, number("CORALYARD_PAIRS", 0), uint64(number("CORALYARD_SEED", 900)), func(t *testing.T, o Options) {
		o = copyOptions(o)
		o.Nodes, o.Copies = 7, 2
		logged(t, o, pairs(o.Seed, o.Nodes, length), length)
	})
}

// The same where all machines but one are killed at one instant and come back with their folders, again and again: nothing was lost with a disk, and whoever
// was inherited meanwhile begins anew. It runs where CORALYARD_CROWD names how many rounds.
func TestCopiesOfCrowds(t *testing.T) {
	eachSeed(t, number("CORALYARD_CROWD", 0), uint64(number("CORALYARD_SEED", 950)), func(t *testing.T, o Options) {
		o = copyOptions(o)
		rng := rand.New(rand.NewPCG(o.Seed, 33))
		var steps []Step
		for at := time.Second; at < copyLength; at += 6 * time.Second {
			steps = append(steps, Step{At: at, For: time.Duration(100+rng.IntN(2500)) * time.Millisecond, Kind: Crowd, A: rng.IntN(o.Nodes)})
		}
		logged(t, o, steps, copyLength)
	})
}

// A node leaves for good under load: it is told to be done once it owes nothing and nobody counts on it, and may then be lost with its disk.
func TestDrain(t *testing.T) {
	o := copyOptions(options(t, 32))
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	load, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Load(load)
	n := f.nodes[2]
	until(t, f, "its journal is held", func() bool {
		st, err := f.Look(t.Context(), n.i)
		return err == nil && st.Copies != nil && len(st.Copies.Own) > 0 && st.Copies.Own[0].Holds
	})
	time.Sleep(time.Second) // so that there is something in it
	cmd := exec.CommandContext(t.Context(), program, "copies", "drain", "--address", n.talk)
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "done: nothing is owed") {
		t.Fatalf("%s, %v", out, err)
	}
	t.Logf("%s", out)
	f.kill(n)
	if err := os.RemoveAll(filepath.Join(n.folder, "state")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	stop()
	if err := f.Ends(t.Context()); err != nil {
		t.Error(err)
	}
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for _, c := range f.history.changes {
		if c.what == heir {
			t.Errorf("somebody goes on with a journal that was drained: %s", c.text)
		}
	}
}

// Guards against an heir that takes a lost copy for an empty journal, so that the owner, which stood still, finds its own folder put aside.
func TestACopyLostWhileItsOwnerStandsStillLosesNothing(t *testing.T) {
	o := copyOptions(options(t, 40))
	f, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	load, stop := context.WithCancel(t.Context())
	defer stop()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		f.Load(load)
	}()
	owner := f.nodes[0]
	var own peers.OwnLine
	held := func(what string, ok func() bool) {
		t.Helper()
		until(t, f, what, func() bool {
			st, err := f.Look(t.Context(), owner.i)
			if err != nil || st.Copies == nil || len(st.Copies.Own) == 0 {
				return false
			}
			own = st.Copies.Own[0]
			return own.Holds && len(own.Holders) == 1 && ok()
		})
	}
	again := func(n *node) {
		if err := f.run(t.Context(), n); err != nil {
			t.Fatal(err)
		}
	}
	held("its journal is held", func() bool { return true })
	holder := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == own.Holders[0] })]
	f.kill(holder)
	held("another holds it", func() bool { return own.Holders[0] != holder.name })
	again(holder)
	held("the first one holds it again", func() bool { return own.Holders[0] == holder.name })

	if err := f.pause(owner, true); err != nil {
		t.Fatal(err)
	}
	f.kill(holder)
	if err := os.RemoveAll(filepath.Join(holder.folder, "state")); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(holder.folder, "state"), 0o700); err != nil {
		t.Fatal(err)
	}
	again(holder)
	until(t, f, "an heir looks for copies", func() bool {
		for _, n := range f.nodes {
			log, err := os.ReadFile(filepath.Join(n.folder, "log"))
			if err == nil && regexp.MustCompile("inherit.*"+regexp.QuoteMeta(own.Stream)).Match(log) {
				return true
			}
		}
		return false
	})
	if err := f.pause(owner, false); err != nil {
		t.Fatal(err)
	}
	stop()
	<-loaded
	if err := errors.Join(f.Ends(t.Context()), f.history.Check()); err != nil {
		t.Error(err)
	}
}

// The rig can fail: faults of copies that rounds with lost machines find.
func TestPlantedFaultsOfCopies(t *testing.T) {
	plantedRounds(t, []plantedFault{
		{planted.Fault{Name: "said before it is held", File: "delivery/held.go", Old: "if n.cfg.Copies == nil || len(fresh) == 0 || n.hold.ticket <= n.hold.covered {", New: "if true {"}, nil},
		{planted.Fault{Name: "done before it is held", File: "delivery/held.go", Old: "if n.cfg.Copies == nil || n.hold.ticket <= n.hold.covered {", New: "if true {"}, nil},
		{planted.Fault{Name: "holders count for nothing", File: "peers/copies/copies.go", Old: "least = min(least, o.acked[name])", New: "least = max(o.acked[name], least)"}, nil},
		{planted.Fault{Name: "what may have run is left out of a snapshot", File: "delivery/journal.go", Old: "put(attemptRecord(p.seq, s.at, s.zone, s.endpoint))", New: "_ = s"}, nil},
		{planted.Fault{Name: "an heir reads nothing", File: "peers/heirs.go", Old: "records[from])); err != nil {", New: "nil)); err != nil {"}, ErrLost},
	}, func(ctx context.Context, o Options) error {
		o = copyOptions(o)
		_, _, err := Round(ctx, o, losses(o.Seed, o.Nodes, copyLength), copyLength)
		return err
	})
}

// The audit can fail: without copies the same losses lose messages.
func TestCopiesOffLose(t *testing.T) {
	o := options(t, 801)
	o.Nodes, o.Rate, o.Patience, o.Audit, o.Answer = 5, 10, 5*time.Second, true, slowly
	var steps []Step
	for i := range 6 {
		steps = append(steps, Step{At: time.Duration(1+i) * 900 * time.Millisecond, For: 200 * time.Millisecond, Kind: LoseAll, A: i % o.Nodes})
	}
	h, _, err := Round(t.Context(), o, steps, 8*time.Second)
	if !errors.Is(err, ErrLost) {
		t.Errorf("machines were lost with their disks, and: %v", err)
	}
	t.Log(err, h.Summary())
}
