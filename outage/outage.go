// Package outage tells runs of failures that are an outage of a destination from those that chance and broken connections
// explain. It has no I/O and no clock of its own, and nothing here is safe for concurrent use.
package outage

import (
	"math"
	"time"
)

const (
	weight    = 0.05 // of a call in the share of failures met everywhere
	chanceRun = 0.02 // a run of failures less likely than this by that share is no luck
	least     = 0.01 // the share is taken for so much at least,
	most      = 0.7  // and at most
	// Shortest is the time between two calls that passed in which no outage worth the name fits: those on record last five
	// seconds and more.
	Shortest = 3 * time.Second

	flowSpan = 5 * time.Second // in which passes fade from the flow
	keep     = 0.8             // of the flow that a way back may begin with: it was not the same at all times
)

// Share is the smoothed share of calls that fail at destinations which are not known to be struck. Only calls that follow a
// pass there are to be counted, or an outage would raise the bar for itself.
type Share struct{ v float64 }

// Failed counts a call that failed, Passed one that did not.
func (s *Share) Failed() { s.v += weight * (1 - s.v) }

// Passed counts a call that passed.
func (s *Share) Passed() { s.v *= 1 - weight }

// Run is how many failures in a row are no luck; fewest is its least.
func (s *Share) Run(fewest float64) float64 {
	return max(fewest, math.Log(chanceRun)/math.Log(min(max(s.v, least), most)))
}

// Gap is the time in which nothing passed at a route, and what failed in it. The zero value is of a route that was never
// called.
type Gap struct {
	passed time.Duration // the last pass
	torn   bool          // all failures since were of connections
	flow   float64       // work that passed of late, fading; brought up to the last pass
	before float64       // work a second before the outage
}

// Failed counts a failure, the first since a pass or not; torn says that a connection broke or never came up.
func (g *Gap) Failed(first, torn bool) { g.torn = torn && (first || g.torn) }

// Stays has the run count as an outage, however short it turns out to be.
func (g *Gap) Stays() { g.torn = false }

// Passed counts a pass of so much work, in calls with one message, and tells whether the failures before it can't have been an outage: nothing but connections that
// failed, and another pass not long before. Errors and refusals are not so explained, for a destination that fails most
// calls passes some.
func (g *Gap) Passed(now time.Duration, work float64) (brief bool) {
	brief = g.torn && g.passed > 0 && now-g.passed < Shortest
	g.flow = work + g.flow*math.Exp(-(now-g.passed).Seconds()/flowSpan.Seconds())
	g.passed, g.torn = now, false
	return brief
}

// PassedSince tells that a call passed after that.
func (g *Gap) PassedSince(at time.Duration) bool { return g.passed > at }

// Struck begins an outage: what passed before it is kept, for nothing tells better what the destination can do.
func (g *Gap) Struck() { g.before = g.flow / flowSpan.Seconds() }

// Before is the share of the capacity, in work a second, that is sure to be this sender's on the way back: what it had
// before the outage, less a margin. All senders' shares sum up to no more than the destination did for them then.
func (g *Gap) Before() float64 { return keep * g.before }
