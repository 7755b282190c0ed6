package pairing

import "testing"

// Guards against a server whose responses repeat that is taken for one whose copies can be told.
func TestResponsesDifferOnlyWhileNoneRepeats(t *testing.T) {
	var v Variety
	add := func(from, to uint64) {
		for kind := from; kind < to; kind++ {
			v.Add(kind)
		}
	}
	for _, step := range []struct {
		from, to uint64
		differ   bool
	}{{1, LeastDifferent, false}, {100, 101, true}, {101, 150, true}, {149, 150, false}, {150, 149 + LeastDifferent, true}, {0, 1, false},
		{151, 150 + LeastDifferent, false}, {200, 201, true}, {175, 176, false}, {300, 300 + 2*MostDifferent, true}} {
		if add(step.from, step.to); v.Differ(LeastDifferent) != step.differ {
			t.Errorf("after %d to %d: %v", step.from, step.to, v.Differ(LeastDifferent))
		}
	}
	if !v.Differ(MostDifferent) || len(v.different) > MostDifferent || (*Variety)(nil).Differ(LeastDifferent) {
		t.Errorf("%d are remembered", len(v.different))
	}
}
