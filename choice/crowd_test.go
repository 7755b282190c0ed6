package choice

import (
	"fmt"
	"testing"
	"time"
)

// A new connection that is refused and closed is a full table: the calls that are out have their places, no more go
// out beside them for now, the pace stays, and idle connections are given back. On a kept connection, or with it
// left open, the same refusal is one over the limit.
func TestFullTableIsNoLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		kept, hungUp bool
		full         bool
	}{{"new and closed", false, true, true}, {"kept", true, true, false}, {"left open", false, false, false}} {
		s, now := New(settings(), 1), time.Hour
		s.Step(now, []Event{list(Entry{Endpoint: "a", Weight: 1000})})
		out := 0
		step := func(e Event) (hangUps []HangUp) {
			for _, a := range s.Step(now, []Event{e}) {
				switch a := a.(type) {
				case Send:
					out++
				case HangUp:
					hangUps = append(hangUps, a)
				}
			}
			return hangUps
		}
		for i := range 3 {
			step(Arrived{ID: fmt.Sprint("m", i), DropDead: now + time.Minute})
		}
		now += 20 * ms
		step(Ended{ID: "m2", Endpoint: "a", Outcome: NoRoom, Kept: c.kept, HungUp: c.hungUp, Took: 20 * ms})
		r := s.dests[0].shared
		if out != 3 || (r.part.Share() == 1) != c.full || (r.waitUntil == 0) != c.full {
			t.Fatalf("%s: %d sent, the part is %v, a wait until %v", c.name, out, r.part.Share(), r.waitUntil)
		}
		if !c.full {
			continue
		}
		now += 20 * ms
		step(Ended{ID: "m0", Endpoint: "a", Took: 40 * ms})
		if out != 4 {
			t.Errorf("%s: the place that is free is not used", c.name)
		}
		now += 20 * ms
		step(Ended{ID: "m1", Endpoint: "a", Took: 60 * ms})
		if got := step(Ended{ID: "m2", Attempt: 1, Endpoint: "a", Took: 20 * ms}); len(got) != 1 || got[0].Keep != 1 {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}
