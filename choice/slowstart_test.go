package choice

import (
	"fmt"
	"testing"
	"time"
)

// slowStartSettings are those of a fleet with a budget of cold servers.
func slowStartSettings(nodes int) Settings {
	cfg := settings()
	cfg.Fleet, cfg.Slots, cfg.MaxOpen = nodes, 20, 1000
	cfg.Fall, cfg.FallMultiple, cfg.ColdFrom, cfg.WarmWithin = 2*time.Second, 1.5, 0.2, 10*time.Second
	return cfg
}

// TestOneFailureIsEnoughForSlowStart guards against bursts from nodes that met a failure or two and struck nothing.
func TestOneFailureIsEnoughForSlowStart(t *testing.T) {
	for _, outcome := range []Outcome{Fault, NoRoute, Cut, TooSlow} {
		w := newStory(t, slowStartSettings(33), 1)
		w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: 10}))
		w.step(5*ms, w.arrive("unsafe", 2, 0))
		w.step(5*ms, w.outcome("unsafe", outcome, 0))
		w.quiet(5 * time.Second)
		before := len(w.sends)
		for i := range 20 {
			w.step(ms, w.arrive(fmt.Sprint("m", i), 0, 0))
		}
		w.quiet(2 * time.Second)
		if n := len(w.sends) - before; n > 1 {
			t.Errorf("%v: %d calls within 2 s by a node of 33, which may send one at most", outcome, n)
		}
	}
}

// TestAQuickRetryThatPassesEndsTheSuspicion guards against slow start after each single error of a server that is well.
func TestAQuickRetryThatPassesEndsTheSuspicion(t *testing.T) {
	w := newStory(t, slowStartSettings(33), 1)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: 10}))
	w.step(5*ms, w.arrive("m", 0, 0))
	w.step(5*ms, w.outcome("m", Fault, 0))
	w.quiet(300 * ms)
	if len(w.sends) != 2 {
		t.Fatalf("%d calls, want a retry at once", len(w.sends))
	}
	w.step(5*ms, w.outcome("m", Pass, 0))
	if r := w.s.eps["a"].route; r.health() != Healthy {
		t.Errorf("the route is %v after a retry that passed", r.health())
	}
}
