package choice

import (
	"slices"
	"testing"
	"time"
)

// What a restart hands back is decided by what may have run, as it would have been without the restart.
func TestResumed(t *testing.T) {
	const now = time.Hour
	cfg := settings()
	classOf := func(e Effect) int {
		for i, c := range cfg.Classes {
			if c.Effect == e && !c.Ordered && (e != Keyed || c.GroupAll) {
				return i
			}
		}
		t.Fatalf("no class of effect %d", e)
		return 0
	}
	safe, keyed, unsafe := classOf(Safe), classOf(Keyed), classOf(Unsafe)
	window := cfg.Classes[keyed].Window
	for _, c := range []struct {
		name  string
		class int
		left  time.Duration
		e     Resumed
		want  string
	}{
		{"safe, held", safe, 5 * time.Second, Resumed{}, "send"},
		{"safe, may have run", safe, 5 * time.Second, Resumed{Attempts: 1, Touched: true, MayRun: now - time.Second}, "send"},
		{"keyed, inside its window", keyed, 5 * time.Second, Resumed{Attempts: 1, Touched: true, MayRun: now - window/2}, "send"},
		{"keyed, past its window", keyed, 5 * time.Second, Resumed{Attempts: 1, Touched: true, MayRun: now - window}, "fail"},
		{"safe, may be over", safe, 5 * time.Second, Resumed{Attempts: 1, Touched: true, MayBeOver: true, MayRun: now - time.Second}, "fail"},
		{"unsafe, held", unsafe, 5 * time.Second, Resumed{}, "send"},
		{"unsafe, never ran", unsafe, 5 * time.Second, Resumed{Attempts: 1}, "send"},
		{"unsafe, may have run", unsafe, 5 * time.Second, Resumed{Attempts: 1, Touched: true, MayRun: now - time.Second}, "fail"},
		{"out of time", safe, -time.Second, Resumed{}, "push back"},
		{"unsafe, out of time, may have run", unsafe, -time.Second, Resumed{Attempts: 1, Touched: true, MayRun: now - time.Second}, "fail"},
		{"out of attempts", safe, 5 * time.Second, Resumed{Attempts: cfg.MaxAttempts}, "push back"},
	} {
		s := New(cfg, 1)
		c.e.Arrived = Arrived{ID: "m", Class: c.class, DropDead: now + c.left}
		got := ""
		for _, a := range s.Step(now, []Event{one(), c.e}) {
			switch a := a.(type) {
			case Send:
				got += "send"
			case Fail:
				got += "fail"
			case PushBack:
				got += "push back"
				if a.RetryAfter <= 0 {
					t.Errorf("%s: no time to come back", c.name)
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A backlog that has failed before the restart comes back at the pace of a cold destination, not at once.
func TestResumedBacklogComesBackGently(t *testing.T) {
	for _, failed := range []bool{false, true} {
		cfg := settings()
		s := New(cfg, 1)
		events := []Event{one()}
		for _, id := range []string{"a", "b", "c"} {
			events = append(events, Resumed{
				Arrived: Arrived{ID: id, DropDead: time.Hour + 5*time.Second}, Attempts: 1, Failed: failed,
			})
		}
		sends := 0
		for _, a := range s.Step(time.Hour, events) {
			if _, ok := a.(Send); ok {
				sends++
			}
		}
		if r := s.eps["a"].route; r.recovering() != failed || (failed && sends > 1) || (!failed && sends == 0) {
			t.Errorf("failed %v: recovering %v, %d sends", failed, r.recovering(), sends)
		}
	}
}

// Leaving stops the sends that may be cut off, sooner where they could not be repeated, and nothing else: the gate
// and the ends go on.
func TestLeaving(t *testing.T) {
	cfg := settings()
	s := New(cfg, 1)
	end := time.Hour + 2*time.Second
	s.Step(time.Hour, []Event{one(), Leaving{By: end}})
	unsafe := slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == Unsafe })
	safe := slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == Safe })
	for _, c := range []struct {
		class int
		left  time.Duration
		sent  bool
	}{{unsafe, 1500 * ms, true}, {unsafe, 900 * ms, false}, {safe, 800 * ms, true}, {safe, 200 * ms, false}} {
		id, sent := c.left.String(), false
		for _, a := range s.Step(end-c.left, []Event{Arrived{ID: id, Class: c.class, DropDead: end + time.Minute}}) {
			if _, ok := a.(Send); ok {
				sent = true
				s.Step(end-c.left, []Event{Ended{ID: id, Endpoint: "a", Took: ms}})
			}
		}
		if sent != c.sent {
			t.Errorf("class %d with %v left: sent %v", c.class, c.left, sent)
		}
	}
	s.Step(end-100*ms, []Event{Arrived{ID: "m", Class: safe, DropDead: end + time.Second}})
	ended := false
	for _, a := range s.Step(end+time.Second, []Event{Rang{}}) {
		if p, ok := a.(PushBack); ok && p.ID == "m" {
			ended = true
		}
	}
	if !ended {
		t.Error("a held message's time was up and it was given no end")
	}
}
