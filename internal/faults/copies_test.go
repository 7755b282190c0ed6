package faults

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"starlingusher/internal/standin"
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
		kind := []Kind{LoseAll, LoseAll, LoseAll, PutBack, Kill, Pause}[rng.IntN(6)]
		all = append(all, Step{At: at, For: gone, Kind: kind, A: rng.IntN(nodes)})
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

func copyRound(t *testing.T, o Options, length time.Duration) (*History, error) {
	steps := losses(o.Seed, o.Nodes, length)
	h, took, err := Round(t.Context(), o, steps, length)
	if h != nil {
		t.Logf("%s; agreed %v after", h.Summary(), took.Round(time.Millisecond))
	}
	if err != nil {
		for _, s := range steps {
			t.Log(s)
		}
	}
	return h, err
}

// Machines are lost with their disks, one at a time, while clients hand messages in and partners take calls: every message that was
// taken on has an end, and no payout runs twice. CORALYARD_COPIES asks for more rounds.
func TestCopies(t *testing.T) {
	rounds, seed := number("CORALYARD_COPIES", 3), uint64(number("CORALYARD_SEED", 800))
	const length = 12 * time.Second
	side := make(chan struct{}, 3)
	for i := range rounds {
		t.Run(fmt.Sprint("seed ", seed+uint64(i)), func(t *testing.T) {
			t.Parallel()
			side <- struct{}{}
			defer func() { <-side }()
			o := options(t, seed+uint64(i))
			o.Nodes, o.Leases, o.Rate, o.Copies, o.Inherit = 5, time.Second, 10, 1, time.Second
			o.Answer = slowly
			if _, err := copyRound(t, o, length); err != nil {
				t.Fatal(err)
			}
		})
	}
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
