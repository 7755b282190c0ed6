package choice

import (
	"fmt"
	"testing"
	"time"
)

func spare(w *story, id string, class int) Resumed {
	return Resumed{Arrived: w.arrive(id, class, 0), Spare: true}
}

// What waits at the destination goes first, and a slot that others may soon need is not lent.
func TestSparesGoLast(t *testing.T) {
	cfg := settings()
	cfg.Slots = 16 // of which an eighth is lent, while no more than half is taken
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: 1000}))
	var events []Event
	for i := range 8 {
		events = append(events, spare(w, fmt.Sprint("s", i), 0))
	}
	w.step(ms, events...)
	if len(w.sends) != 2 {
		t.Fatalf("%d sent", len(w.sends))
	}
	events = nil
	for i := range 9 {
		events = append(events, w.arrive(fmt.Sprint("m", i), 0, 0))
	}
	w.step(ms, events...)
	if len(w.sends) < 3 || w.sends[2].ID[0] != 'm' {
		t.Fatalf("got %+v", w.sends)
	}
	sent := len(w.sends)
	w.step(ms, w.outcome("s0", Pass, 0)) // a slot is free, and live messages wait or fill half of them
	for _, s := range w.sends[sent:] {
		if s.ID[0] == 's' {
			t.Errorf("%s was sent while others had the slots", s.ID)
		}
	}
	w.finish()
}

// Spares that fail or wait shut the gate to nobody, and take no room for held messages.
func TestSparesRefuseNobody(t *testing.T) {
	cfg := settings()
	cfg.MaxOpen = 5
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: 1000}))
	w.step(ms, w.arrive("first", 0, 0))
	w.step(20*ms, w.outcome("first", Pass, 0))
	w.quiet(3 * time.Second)
	for n := range 40 {
		id := fmt.Sprint("s", n)
		w.step(ms, spare(w, id, 0))
		for len(w.out) > 0 {
			for a := range w.out {
				w.step(200*ms, w.outcome(a.id, TooSlow, 0))
				break
			}
		}
	}
	if g := w.s.destination(0).gate; g.shut || g.average > 0.1 {
		t.Errorf("got %+v", g)
	}
	back := len(w.backs)
	w.step(ms, w.arrive("live", 0, 0))
	if len(w.backs) != back {
		t.Error("a live message was refused")
	}
	w.finish()
}

// A wait binds them, and a sick route's trials are left to those who come anew, as long as any come.
func TestSparesHeedWaitsAndOutages(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	w.step(ms, w.arrive("m", 0, 0))
	w.step(20*ms, w.outcome("m", NoRoom, time.Second))
	w.step(ms, spare(w, "s", 0))
	w.quiet(900 * ms) // the story itself checks that nothing goes out
	if len(w.sends) != 1 {
		t.Fatalf("%d sent", len(w.sends))
	}
	w.s.strike(w.s.eps["a"].route)
	sent := len(w.sends)
	for n := range 30 { // they come too often for spares to be the trials
		w.step(100*ms, w.arrive(fmt.Sprint("live", n), 0, 0))
		for _, a := range w.flights() {
			w.step(ms, w.outcome(a.id, NoRoute, 0))
		}
	}
	for _, s := range w.sends[sent:] {
		if s.ID == "s" {
			t.Error("a spare message was the trial")
		}
	}
	w.finish()
	before := len(w.sends)
	w.quiet(3 * time.Second) // nobody comes: then it may be
	w.step(ms, spare(w, "s2", 0))
	w.quiet(3 * time.Second)
	if len(w.sends) == before {
		t.Error("a destination that nobody calls never heals")
	}
	w.finish()
}

// A spare message asks the gate, and its trials at a shut one are its own.
func TestSparesAskTheGate(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	d := w.s.destination(0)
	d.gate = gate{seen: true, shut: true, average: 9, baseline: 0.01, at: w.now}
	w.now += 10 * time.Second
	w.step(0, spare(w, "s1", 0), spare(w, "s2", 0))
	if len(w.backs) != 1 || w.backs[0].ID != "s2" || w.backs[0].RetryAfter <= 0 {
		t.Fatalf("got %+v", w.backs)
	}
	w.step(ms, w.arrive("live", 0, 0))
	if len(w.backs) != 1 {
		t.Error("a spare message had used up the trial of a live one")
	}
	w.finish()
}

// A spare message of a key takes its turn only while it is out, and never overtakes.
func TestSparesOfAnOrderedClass(t *testing.T) {
	cfg := settings()
	cfg.Classes[1].Ordered = true
	w := newStory(t, cfg, 1)
	w.step(0, one())
	live, again := w.arrive("live", 1, 0), spare(w, "s", 1)
	live.Key, again.Key = "k", "k"
	w.step(ms, live, again)
	if len(w.sends) != 1 || w.sends[0].ID != "live" {
		t.Fatalf("got %+v", w.sends)
	}
	w.step(20*ms, w.outcome("live", Pass, 0))
	w.quiet(500 * ms)
	if len(w.sends) != 2 {
		t.Fatalf("got %+v", w.sends)
	}
	later := w.arrive("later", 1, 0)
	later.Key = "k"
	w.step(ms, later) // the story checks that it waits while the spare one is out
	w.step(20*ms, w.outcome("s", NoRoute, 0))
	w.quiet(200 * ms)
	if len(w.sends) < 3 || w.sends[2].ID != "later" {
		t.Errorf("got %+v", w.sends)
	}
	w.finish()
}
