package faults

import (
	"testing"

	"starlingusher/peers"
)

// Guards against a rig that loses the next machine while what the last one held stands on one machine alone.
func TestAStreamIsWholeOnceItsHoldersHaveAll(t *testing.T) {
	owned := func(mark uint64, holders []string, behind map[string]int64) []peers.CopyStatus {
		return []peers.CopyStatus{{Own: []peers.OwnLine{{Stream: "s", Mark: mark, Holders: holders, Behind: behind}}}}
	}
	r := newRepair(1)
	for i, step := range []struct {
		seen  []peers.CopyStatus
		whole bool
	}{
		{[]peers.CopyStatus{{Held: []peers.HeldLine{{Stream: "s"}}}}, false},
		{owned(100, nil, nil), false},
		{owned(120, []string{"heir"}, map[string]int64{"b": 0}), false}, // the heir alone has it
		{owned(120, []string{"b"}, map[string]int64{"b": -1}), false},
		{owned(150, []string{"b"}, map[string]int64{"b": 51}), false},
		{owned(150, []string{"b"}, map[string]int64{"b": 50}), true},
		{owned(190, []string{"b"}, map[string]int64{"b": 100}), true}, // what is new is not held yet
	} {
		if why := r.look(step.seen); (why == "") != step.whole {
			t.Errorf("step %d: %q", i, why)
		}
	}
}
