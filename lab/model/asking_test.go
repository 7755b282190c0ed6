package model

import (
	"math/rand/v2"
	"testing"
	"time"

	"starlingusher/fleet"
)

// A discovery that takes a call from each of eighty nodes in 8 s tells all of them soon after most have been killed. With
// pauses of a node that is alone, which double from 50 ms to 2 s, it is behind for ever.
func TestHerdOfAsking(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 7))
		source := Source{Each: 100 * time.Millisecond, Patience: 2 * time.Second, Backlog: 4 * time.Second}
		last, most := Herd(70, source,
			func(a *fleet.Asking, took time.Duration) time.Duration { return a.Failed(80, took, rng.Float64()) })
		if last == 0 || last > 30*time.Second || most > 6 {
			t.Errorf("seed %d: all are told after %v, with up to %d calls", seed, last, most)
		}
		failed := map[*fleet.Asking]int{}
		alone := fleet.Rest{First: 25 * time.Millisecond, Longest: time.Second}
		if last, _ := Herd(70, source, func(a *fleet.Asking, _ time.Duration) time.Duration {
			failed[a]++
			return alone.After(failed[a], rng.Float64())
		}); last > 0 && last < 60*time.Second {
			t.Errorf("seed %d: the pauses of a node that is alone do as well, %v: the model shows nothing", seed, last)
		}
	}
}
