package recovery

import (
	"testing"
	"time"

	"starlingusher/delivery"
	"starlingusher/undelivered/rules"
)

// Guards against a rule that sends a message again of which its partner may have said that nobody wants it.
func TestAMessageThatMayBeOverNeedsAPersonsWord(t *testing.T) {
	ended := time.Now()
	for _, due := range []time.Time{ended, ended.Add(time.Hour)} {
		l := delivery.Lost{State: delivery.Failed, Due: due, Ended: ended, Tried: []delivery.Tried{{Known: true}, {MayBeOver: true}}}
		if got := reason(&l, 2); got != rules.Refused {
			t.Errorf("due in %v: %s", due.Sub(ended), got)
		}
	}
}
