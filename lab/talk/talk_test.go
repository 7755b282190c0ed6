package talk

import (
	"testing"

	"starlingusher/lab/days"
)

// A fleet that talks is counted as a silent one is; with leases one node watches for most of it, and no rule is broken by either.
func TestWays(t *testing.T) {
	spec, err := days.Load("eighty")
	if err != nil {
		t.Fatal(err)
	}
	if spec, err = spec.With("fleet.nodes", "8"); err != nil {
		t.Fatal(err)
	}
	const seed = 3
	silent, talks, leases := &Silent{}, &Talk{Loss: 0.01}, &Talk{Loss: 0.01, Leases: true}
	o := spec.Options(seed)
	o.Beside = silent
	without := spec.Draw(seed).Play(o)
	o = spec.Options(seed)
	o.Beside = talks
	with := spec.Draw(seed).Play(o)
	o = spec.Options(seed)
	o.Beside = leases
	held := spec.Draw(seed).Play(o)
	if len(without.Broken)+len(with.Broken)+len(held.Broken) > 0 {
		t.Errorf("rules are broken: %v, %v, %v", without.Broken, with.Broken, held.Broken)
	}
	if silent.Watches < 7 || talks.Watches < 7 || leases.Watches > 4 {
		t.Errorf("watches: %.1f silent, %.1f talking, %.1f with leases", silent.Watches, talks.Watches, leases.Watches)
	}
	if silent.Out == 0 || silent.Trials == 0 || talks.Trials > 1.2*silent.Trials {
		t.Errorf("trials: %+v silent, %+v talking", silent.Count, talks.Count)
	}
}
