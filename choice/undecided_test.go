package choice

import (
	"testing"
	"time"
)

// undecidedStory has one slot and a message whose pass may be another call's.
func undecidedStory(t *testing.T) *story {
	cfg := settings()
	cfg.Slots, cfg.MaxOpen = 1, 2
	w := newStory(t, cfg, 1)
	w.step(0, one())
	w.step(5*ms, w.arrive("a", 0, 0))
	pass := w.outcome("a", Pass, 0)
	pass.Undecided = true
	w.step(5*ms, pass)
	return w
}

// Guards against a slot, or a place, that an undecided message holds, and against its end before it is settled.
func TestAnUndecidedMessageHoldsNoSlotAndHasNoEnd(t *testing.T) {
	w := undecidedStory(t)
	for _, id := range []string{"b", "c"} {
		w.step(5*ms, w.arrive(id, 0, 0))
	}
	if w.s.busy != 1 || w.s.msgs["b"] == nil || w.s.msgs["c"] == nil || w.s.msgs["a"] == nil {
		t.Errorf("%d calls out, open %v", w.s.busy, w.s.msgs)
	}
	w.step(5*ms, Stood{ID: "a"})
	if w.s.msgs["a"] != nil || len(w.s.undecided) != 0 {
		t.Errorf("it has no end: %d undecided", len(w.s.undecided))
	}
}

// Guards against a told wait, or a refusal, that an old answer hides.
func TestAnUndecidedPassThatWasARefusalBindsItsRoute(t *testing.T) {
	w := undecidedStory(t)
	refused := Ended{ID: "a", Endpoint: w.s.dests[0].endpoints[0].id, Outcome: NoRoom, Wait: 2 * time.Second, Settled: true}
	w.step(5*ms, refused)
	if r := w.s.dests[0].shared; r.waitUntil < w.now+time.Second || len(w.out) != 0 {
		t.Errorf("waits until %v at %v, %d out", r.waitUntil, w.now, len(w.out))
	}
	w.quiet(3 * time.Second)
	if len(w.out) != 1 {
		t.Errorf("%d calls out after the wait", len(w.out))
	}
}

// Guards against an outage that is taken for over by an answer which may be older than it.
func TestAnUndecidedPassEndsNoOutage(t *testing.T) {
	for _, stands := range []bool{true, false} {
		cfg := settings()
		w := newStory(t, cfg, 1)
		w.step(0, one())
		r := w.s.dests[0].shared
		w.s.now = w.now
		w.s.strike(r)
		w.quiet(2 * time.Second)
		w.step(5*ms, w.arrive("a", 0, 0))
		w.quiet(5 * time.Second)
		if len(w.out) != 1 {
			t.Fatalf("%d trials", len(w.out))
		}
		pass := w.outcome("a", Pass, 0)
		pass.Undecided = true
		w.step(5*ms, pass)
		if !r.sick {
			t.Fatal("an undecided pass has ended the outage")
		}
		if stands {
			w.step(5*ms, Stood{ID: "a"})
		} else {
			w.step(5*ms, Ended{ID: "a", Endpoint: pass.Endpoint, Outcome: Fault, Settled: true})
		}
		if r.sick == stands {
			t.Errorf("stands %v: sick %v", stands, r.sick)
		}
	}
}

// Guards against a sound endpoint that gets single calls alone, since a response of its was in doubt until the message had no time to wait.
func TestAPassWithoutProofSaysNothingOfItsEndpoint(t *testing.T) {
	for outcome, says := range map[Outcome]bool{Cut: false, Fault: true} {
		w := undecidedStory(t)
		w.step(5*ms, Ended{ID: "a", Endpoint: w.s.dests[0].endpoints[0].id, Outcome: outcome, Settled: true})
		if r := w.s.dests[0].shared; (r.suspectAt > 0 || r.fails > 0) != says {
			t.Errorf("%v: suspect at %v, %d failures", outcome, r.suspectAt, r.fails)
		}
	}
}
