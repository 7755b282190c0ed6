// Package together counts over the recordings of many nodes what all of them did to the partners that they share: what is
// harmless for one node shows only there. It reads recordings and knows no clock of its own; the nodes' clocks are taken
// to agree. A Count is not safe for concurrent use.
package together

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/record"
)

const (
	tenths = 10 // of a window, in which calls that come in step are looked for
	// So many times the mean of a tenth and so many calls in one tenth are no chance: of 20 calls that fall at random, 10 and
	// more share a tenth of the window in less than one window of 10,000.
	stepTimes, stepLeast = 5, 10
)

// Window is what all nodes did to one destination in a span of time. Attempts count in the window in which they began.
type Window struct {
	At     int64 // Unix time of its beginning, in nanoseconds
	Dest   int
	Nodes  int // that called
	Calls  int // attempts that have an end
	Passed int
	// Attempts that were turned away: over a limit, while shut or with a full queue; for a full connection table; and those that
	// no connection came up for.
	Refused, Table, Unreached int
	Other                     int     // ended in any other way
	Told                      int     // waits that were told
	Limit                     float64 // calls a second, the mean of what was told in it; 0 for none
	Busiest                   int     // calls in the busiest tenth of it
}

// Over tells that more was asked for than the limit that was told.
func (w Window) Over(width time.Duration) bool {
	return w.Limit > 0 && float64(w.Calls) > w.Limit*width.Seconds()
}

// Debt tells that calls were refused over a limit though no more than it came: earlier refusals have used it up, or others have.
func (w Window) Debt(width time.Duration) bool {
	return w.Limit > 0 && w.Refused > 0 && !w.Over(width)
}

// InStep tells that calls came together as they would not by chance.
func (w Window) InStep() bool {
	return w.Busiest >= stepLeast && w.Busiest*tenths >= stepTimes*w.Calls
}

type slot struct {
	at   int64 // its number: Unix time over the width
	dest int
}

type sums struct {
	Window
	nodes  map[string]bool
	tenth  [tenths]int
	limits int // reports in Limit
}

// Count takes lives of nodes one after the other.
type Count struct {
	width time.Duration
	all   map[slot]*sums
}

// New returns a count by windows of that width, a millisecond at least.
func New(width time.Duration) (*Count, error) {
	if width < time.Millisecond {
		return nil, fmt.Errorf("window of %v: a millisecond at least", width)
	}
	return &Count{width: width, all: map[slot]*sums{}}, nil
}

// Life returns what takes the records of a life, in their order. Attempts at endpoints that no list of the life has named
// are passed over.
func (c *Count) Life(node string, zero int64) func(record.Record) error {
	dests := map[string]int{}
	return func(r record.Record) error {
		if r.Step == nil {
			return nil
		}
		for _, e := range r.Step.Events {
			switch {
			case e.Listed != nil:
				for _, entry := range e.Listed.Entries {
					dests[entry.Endpoint] = entry.Dest
				}
			case e.Ended != nil && !e.Ended.Settled: // the call has been counted
				if dest, ok := dests[e.Ended.Endpoint]; ok && e.Ended.Outcome != choice.Stale {
					c.ended(node, dest, zero+int64(r.Step.Now-e.Ended.Took), e.Ended)
				}
			}
		}
		return nil
	}
}

func (c *Count) ended(node string, dest int, began int64, e *choice.Ended) {
	width := int64(c.width)
	key := slot{began / width, dest}
	s := c.all[key]
	if s == nil {
		s = &sums{Window: Window{At: key.at * width, Dest: dest}, nodes: map[string]bool{}}
		c.all[key] = s
	}
	s.nodes[node] = true
	s.Calls++
	s.tenth[(began-s.At)*tenths/width]++
	switch e.Outcome {
	case choice.Pass:
		s.Passed++
	case choice.NoRoom:
		if e.HungUp && !e.Kept && e.Wait == 0 {
			s.Table++
		} else {
			s.Refused++
		}
	case choice.NoRoute:
		s.Unreached++
	default:
		s.Other++
	}
	if e.Wait > 0 {
		s.Told++
	}
	if e.Report.HasLimit && e.Report.Limit > 0 {
		s.limits++
		s.Limit += (e.Report.Limit - s.Limit) / float64(s.limits)
	}
}

// Windows are those in which somebody called, in order of time, then of destination.
func (c *Count) Windows() []Window {
	all := make([]Window, 0, len(c.all))
	for _, s := range c.all {
		s.Nodes, s.Busiest = len(s.nodes), slices.Max(s.tenth[:])
		all = append(all, s.Window)
	}
	slices.SortFunc(all, func(a, b Window) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Dest, b.Dest)) })
	return all
}
