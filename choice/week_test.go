package choice

import (
	"fmt"
	"testing"
	"time"

	"starlingusher/idle"
)

const week = 7 * 24 * time.Hour

// A gate that was shut when its destination fell silent refuses nobody a week later: the first message goes at once, and
// the others at the pace of a cold one.
func TestAGateThatWasShutAWeekAgoRefusesNobody(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	w.step(0, w.arrive("before", 0, 0))
	w.step(100*ms, w.outcome("before", Pass, 0))
	w.s.dests[0].gate = gate{seen: true, baseline: 0.1, average: 9, shut: true, at: w.now}
	w.now += week
	w.sends = nil
	w.step(0, w.arrive("first", 0, 0), w.arrive("second", 0, 0), w.arrive("third", 0, 0))
	if len(w.sends) != 1 || len(w.backs) != 0 {
		t.Fatalf("one goes at once and none is refused: %v", w.log)
	}
	for len(w.out) > 0 || w.unended() != "" {
		w.quiet(50 * ms)
		for _, a := range w.flights() {
			w.step(50*ms, w.outcome(a.id, Pass, 0))
		}
	}
	if len(w.backs) != 0 {
		t.Errorf("refused: %v", w.backs)
	}
}

// What was learned before a silence holds nothing back after it, and what binds stays: the part that refusals have cut,
// the endpoint that looked slow, failures that made no outage; and a wait.
func TestOldHistoryIsForgottenAndAWaitIsNot(t *testing.T) {
	for _, silence := range []time.Duration{time.Minute, idle.StaleAfter, week} {
		w := newStory(t, settings(), 1)
		w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: 10}, Entry{Endpoint: "b", Dest: 0, Weight: 10}))
		w.step(0, w.arrive("before", 0, 0))
		w.step(100*ms, w.outcome("before", Pass, 0))
		d := w.s.dests[0]
		r := d.shared
		r.fails, r.limit, r.reported = 2, 8, true
		r.part.Refused(w.s.now, 100, 0)
		d.endpoints[0].response, d.endpoints[1].response = 100, 0.01
		w.now += silence
		r.waitUntil = w.now + 700*ms
		w.sends = nil
		w.step(0, w.arrive("after", 0, 0))
		if r = d.shared; r.waitUntil != w.now+700*ms || len(w.sends) != 0 {
			t.Errorf("%v: the wait ends after %v, sent %v", silence, r.waitUntil-w.now, w.sends)
		}
		stale := silence >= idle.StaleAfter
		if (r.part.Share() == 1) != stale || (r.fails == 0) != stale || (d.endpoints[0].response == 0) != stale || r.recovering() != stale {
			t.Errorf("%v: part %v, %d failures, response %v, cold %v", silence, r.part.Share(), r.fails, d.endpoints[0].response, r.recovering())
		}
		if want := silence < idle.CapacityFor; (w.s.capacity(r) == 8) != want {
			t.Errorf("%v: a capacity of %v", silence, w.s.capacity(r))
		}
		w.quiet(600 * ms)
		if len(w.sends) != 0 {
			t.Errorf("%v: sent while the wait runs", silence)
		}
		w.quiet(200 * ms)
		if stale && len(w.sends) != 1 {
			t.Errorf("%v: %d sent once it is over", silence, len(w.sends))
		}
	}
}

// Destinations that take turns, each silent for just as long as makes its history stale, lose no message and are each called
// at once.
func TestTurnsAtTheEdgeOfSilence(t *testing.T) {
	w := newStory(t, settings(), 1)
	var all []Entry
	for i := range 5 {
		all = append(all, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
	}
	w.step(0, list(all...))
	for n := range 40 {
		w.now += idle.StaleAfter/5 + time.Duration(n%3-1)*ms
		w.sends = nil
		id := fmt.Sprint("m", n)
		w.step(0, w.arrive(id, 0, n%5))
		if len(w.sends) != 1 || len(w.backs) != 0 {
			t.Fatalf("%d: %d sent, %d refused", n, len(w.sends), len(w.backs))
		}
		w.step(50*ms, w.outcome(id, Pass, 0))
	}
	w.finish()
}

// A destination that fell in an outage and was left alone for a week is tried at once, by one call, and is cold from its
// pass on: for the span of rule four no more goes there than a cold one is known to take.
func TestADestinationThatWasSickAWeekAgoComesBackAsCold(t *testing.T) {
	cfg := settings()
	cfg.Fleet, cfg.Slots, cfg.MaxOpen, cfg.FullTold = 1, 50, 500, true
	w := newStory(t, cfg, 1)
	w.step(0, one()) // it takes ten calls a second
	for i := 0; !w.s.dests[0].shared.sick; i++ {
		id := fmt.Sprint("lost", i)
		w.step(10*ms, w.arrive(id, 0, 0))
		w.quiet(3 * time.Second)
		for _, a := range w.flights() {
			w.step(10*ms, w.outcome(a.id, Cut, 0))
		}
		if i > 20 {
			t.Fatal("no outage is noticed")
		}
	}
	for len(w.out) > 0 || w.unended() != "" {
		w.quiet(time.Second)
		for _, a := range w.flights() {
			w.step(10*ms, w.outcome(a.id, Cut, 0))
		}
	}
	w.sends = nil
	w.now += week
	crowd := func(name string) (events []Event) {
		for i := range 100 {
			events = append(events, w.arrive(fmt.Sprint(name, i), 0, 0))
		}
		return events
	}
	w.step(0, crowd("before")...)
	if len(w.sends) != 1 {
		t.Fatalf("%d calls to one that was sick a week ago", len(w.sends))
	}
	w.step(30*ms, w.outcome(w.sends[0].ID, Pass, 0))
	w.step(0, crowd("after")...)
	began := w.now
	for w.now < began+cfg.Fall {
		w.step(10*ms, Rang{Tag: "sweep"})
		for _, a := range w.flights() {
			w.step(0, w.outcome(a.id, Pass, 0))
		}
	}
	// Of ten a second it has a third when cold, and twice that is what it may be sent.
	if most := 1 + 2*10*0.45*2.0; float64(len(w.sends)) > most || len(w.sends) < 4 {
		t.Errorf("%d calls in the first two seconds of its way back, %v at most", len(w.sends), most)
	}
	w.finish()
}

// A wait that was told in an earlier life binds in this one: the destination, or the route apart, on the list or not yet.
func TestAWaitOfAnEarlierLifeBinds(t *testing.T) {
	shared, apart := Entry{Endpoint: "a", Dest: 0, Weight: 10}, Entry{Endpoint: "b", Dest: 1, Kind: 1, Weight: 10}
	for _, late := range []bool{false, true} {
		for dest, wait := range []Waits{{Dest: 0}, {Dest: 1, Endpoint: "b"}} {
			w := newStory(t, settings(), 1)
			wait.Until = w.now + 3*time.Second
			if late {
				w.step(0, list(Entry{Endpoint: "c", Dest: dest, Kind: dest, Phase: Draining}), wait)
				w.step(0, Listed{Entries: []Entry{shared, apart}})
			} else {
				w.step(0, list(shared, apart), wait)
			}
			w.step(0, w.arrive("m", 0, dest), w.arrive("other", 0, 1-dest))
			w.quiet(2900 * ms)
			if len(w.sends) != 1 || w.sends[0].ID != "other" {
				t.Errorf("late %v, destination %d: sent %v while the wait runs", late, dest, w.sends)
			}
			w.quiet(200 * ms)
			if len(w.sends) != 2 {
				t.Errorf("late %v, destination %d: sent %v after it", late, dest, w.sends)
			}
		}
	}
}
