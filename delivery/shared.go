package delivery

import (
	"context"
	"time"

	"starlingusher/choice"
)

// Shared is where the nodes of a fleet that talk tell each other what they see. Its methods but Watch are called from the
// engine's one goroutine, and must not block.
type Shared interface {
	// Listed is each list that the engine takes, and Came a message that it takes on.
	Listed(List)
	Came(dest int)
	// Sent is a call that begins, and Saw what it told. Endpoint is empty but where it is a route apart.
	Sent(dest int, endpoint string)
	Saw(Sight)
	// Watch hands on what the others know, until ctx ends.
	Watch(ctx context.Context, tell func(News))
}

// Sign is what a call told of its route.
type Sign uint8

// The signs.
const (
	SawNothing Sign = iota
	SawPass
	SawRefusal // over the limit
	SawFailure // a sign of an outage
)

// Sight is what a call told, once for all its messages.
type Sight struct {
	Dest     int
	Endpoint string // empty but where it is a route apart
	Sign     Sign
	Limit    float64 // in calls a second, 0 for none
	HasLimit bool
}

// News is what the others know. The times in it count from Zero.
type News struct {
	Zero  time.Time
	Heard []choice.Heard
}

// sight is what the end of a call tells the other nodes.
func (n *Engine) sight(e called, dest int, outcome choice.Outcome, ominous bool) {
	to := n.waiterOf(e.endpoint, dest)
	s := Sight{Dest: to.dest, Endpoint: to.endpoint, Limit: e.Report.Limit, HasLimit: e.Report.HasLimit}
	switch {
	case outcome == choice.Pass:
		s.Sign = SawPass
	case ominous:
		s.Sign = SawFailure
	case outcome == choice.NoRoom && (e.Kept || !e.HungUp): // a full connection table is no limit
		s.Sign = SawRefusal
	}
	n.cfg.Shared.Saw(s)
}

// heard puts what the others know on the decisions' clock.
func (n *Engine) heard(news News) []choice.Event {
	by := n.at(news.Zero)
	events := make([]choice.Event, 0, len(news.Heard))
	for _, h := range news.Heard {
		h.Known = h.Known.Shift(by)
		events = append(events, h)
	}
	return events
}
