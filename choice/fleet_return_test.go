package choice

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// returning is a server that was out and is cold, and the fleet that calls it.
type returning struct {
	nodes    int
	limit    float64 // calls a second
	deadline time.Duration
	outage   time.Duration
	outcome  Outcome // of calls in the outage
}

// returnCall is a call after the return, by a node that had met the outage or not.
type returnCall struct {
	at   time.Duration
	told bool
}

// calls plays one node with a random share of six tenths of the limit, and returns its calls within some seconds of the return.
func (c returning) calls(t *testing.T, seed uint64) []returnCall {
	const before, after, step, load = 20 * time.Second, 5 * time.Second, 20 * ms, 0.6
	rng := rand.New(rand.NewPCG(seed, 5))
	cfg := slowStartSettings(c.nodes)
	for i := range cfg.Classes {
		cfg.Classes[i].Deadline, cfg.Classes[i].Aim = c.deadline, c.deadline/4
	}
	w := newStory(t, cfg, seed)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: c.limit}))
	flow := load * c.limit / float64(c.nodes) * 2 * rng.Float64()
	pause := func() time.Duration { return time.Duration(rng.ExpFloat64() / flow * float64(time.Second)) }
	out := w.now + before
	back := out + c.outage
	told, seen := false, 0
	var calls []returnCall
	for next := w.now + pause(); w.now < back+after; {
		if w.now >= next {
			w.step(0, w.arrive(fmt.Sprint("m", w.now), 0, 0))
			next = w.now + pause()
		}
		w.step(step, Rang{})
		for ; seen < len(w.sends); seen++ {
			if w.now >= back {
				calls = append(calls, returnCall{w.now - back, told})
			}
		}
		for len(w.out) > 0 {
			e := w.outcome(w.flights()[0].id, Pass, 0)
			e.Report = Report{HasLimit: true, Limit: c.limit}
			if w.now >= out && w.now < back {
				e = w.outcome(w.flights()[0].id, c.outcome, 0)
				told = true
			}
			w.step(0, e)
		}
	}
	return calls
}

// TestToldNodesOfAFleetKeepTheBudgetOfAReturningServer guards against falls of a cold server of which over two thirds come from nodes
// that met its outage, each of them once or twice.
func TestToldNodesOfAFleetKeepTheBudgetOfAReturningServer(t *testing.T) {
	for _, c := range []returning{
		{33, 20, 8 * time.Second, 10 * time.Second, NoRoom},
		{100, 5, 8 * time.Second, 10 * time.Second, NoRoom},
		{300, 100, 8 * time.Second, 5 * time.Second, NoRoom},
		{300, 20, time.Second, 20 * time.Second, NoRoom},
		{100, 20, 8 * time.Second, 10 * time.Second, NoRoute},
	} {
		var all []returnCall
		for i := range c.nodes {
			all = append(all, c.calls(t, uint64(i))...)
		}
		slices.SortFunc(all, func(a, b returnCall) int { return cmp.Compare(a.at, b.at) })
		cfg := slowStartSettings(c.nodes)
		first, told := 0, 0
		for i, call := range all {
			if call.told {
				told++
			}
			for ; call.at-all[first].at >= cfg.Fall; first++ {
				if all[first].told {
					told--
				}
			}
			count := i - first + 1
			warm := min(1, cfg.ColdFrom+(1-cfg.ColdFrom)*seconds(call.at)/seconds(cfg.WarmWithin))
			budget := slowStartBudget(cfg.FallMultiple * c.limit * warm * seconds(cfg.Fall))
			if float64(count) > budget {
				if 3*told > 2*count {
					t.Errorf("%+v: %d calls within %v, %d of them by nodes that were told, %.1f are allowed", c, count, cfg.Fall, told, budget)
				}
				break // the server has fallen
			}
		}
	}
}
