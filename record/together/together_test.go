package together

import (
	"fmt"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/record"
)

// Calls of many nodes add up by when they began; each outcome counts once, and overruns, debts and steps are told apart.
func TestCount(t *testing.T) {
	type calls struct {
		nodes, each int
		from, apart time.Duration // of the first, and from one to the next
		end         choice.Ended
	}
	limit := func(of float64) choice.Report { return choice.Report{HasLimit: true, Limit: of} }
	for _, c := range []struct {
		name               string
		calls              []calls
		want               Window
		over, debt, inStep bool
	}{
		{"spread, under the limit", []calls{{20, 1, 0, 50 * time.Millisecond, choice.Ended{Report: limit(30)}}},
			Window{Nodes: 20, Calls: 20, Passed: 20, Limit: 30, Busiest: 2}, false, false, false},
		{"all at one moment, over it", []calls{{20, 2, 300 * time.Millisecond, time.Millisecond, choice.Ended{Outcome: choice.NoRoom, Wait: time.Second, Report: limit(30)}}},
			Window{Nodes: 20, Calls: 40, Refused: 40, Told: 40, Limit: 30, Busiest: 40}, true, false, true},
		{"refused under the limit", []calls{{8, 1, 0, 100 * time.Millisecond, choice.Ended{Outcome: choice.NoRoom, Report: limit(30)}},
			{2, 1, 0, time.Millisecond, choice.Ended{Outcome: choice.Cut}}},
			Window{Nodes: 8, Calls: 10, Refused: 8, Other: 2, Limit: 30, Busiest: 3}, false, true, false},
		{"tables and connects", []calls{{5, 1, 0, 150 * time.Millisecond, choice.Ended{Outcome: choice.NoRoom, HungUp: true}},
			{3, 1, 0, 150 * time.Millisecond, choice.Ended{Outcome: choice.NoRoute}}, {4, 1, 0, 0, choice.Ended{Outcome: choice.Stale}}},
			Window{Nodes: 5, Calls: 8, Table: 5, Unreached: 3, Busiest: 2}, false, false, false},
	} {
		const zero = int64(1000) * int64(time.Second)
		count, err := New(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range c.calls {
			for n := range k.nodes {
				take := count.Life(fmt.Sprint("n", n), zero)
				listed := choice.Listed{Entries: []choice.Entry{{Endpoint: "a", Dest: 7}}}
				steps := []record.Record{{}, {Step: &record.Step{Events: []record.Event{{Listed: &listed}}}}}
				for range k.each {
					end := k.end
					end.Endpoint, end.Took = "a", 2*time.Second // it began in the window, and ended two later
					unknown := choice.Ended{Endpoint: "b"}
					steps = append(steps, record.Record{Step: &record.Step{Now: k.from + time.Duration(n)*k.apart + end.Took,
						Events: []record.Event{{Ended: &end}, {Ended: &unknown}}}})
				}
				for _, r := range steps {
					if err := take(r); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		c.want.At, c.want.Dest = zero, 7
		got := count.Windows()
		if len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
			continue
		}
		if w := got[0]; w.Over(time.Second) != c.over || w.Debt(time.Second) != c.debt || w.InStep() != c.inStep {
			t.Errorf("%s: over %v, debt %v, in step %v", c.name, w.Over(time.Second), w.Debt(time.Second), w.InStep())
		}
	}
	if _, err := New(0); err == nil {
		t.Error("a window of no width is taken")
	}
}
