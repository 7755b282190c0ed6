package model

import (
	"strconv"
	"time"

	"starlingusher/choice"
)

// Beside is what stands beside the decisions of all nodes of a day, as nodes that talk with each other do. It is called from the
// day, in order.
type Beside interface {
	// Begin is called before the first life, and Began at the start of each life of a node, Died at its end.
	Begin(World)
	Began(node int)
	Died(node int)
	// Came is a message that a node takes, Sent a call that begins, and Saw the end of one, once for all its messages; ominous is
	// what the decisions say of it.
	Came(node, dest int)
	Sent(node, dest int)
	Saw(node, dest int, end choice.Ended, ominous bool)
}

// World is the day as Beside sees it.
type World struct{ r *run }

// Now is the time of the day.
func (w World) Now() time.Duration { return w.r.now }

// Nodes is how many there are, and Dead whether one is not there now.
func (w World) Nodes() int            { return len(w.r.nodes) }
func (w World) Dead(node int) bool    { return w.r.nodes[node].dead }
func (w World) Name(node int) string  { return "n" + strconv.Itoa(node) }
func (w World) Seed() uint64          { return w.r.seed }
func (w World) Way() time.Duration    { return w.r.day.Net.Way }
func (w World) Length() time.Duration { return w.r.day.Length }

// At does something at a time of the day.
func (w World) At(t time.Duration, do func()) { w.r.at(t, do) }

// Step has a node's decisions take events, if it is there.
func (w World) Step(node int, events ...choice.Event) {
	if n := w.r.nodes[node]; !n.dead && n.decide != nil {
		w.r.step(n, events...)
	}
}

// Limit is what a partner takes a second now, as it is; 0 for no limit.
func (w World) Limit(dest int) float64 {
	p := w.r.partners[dest]
	if p.Limit.Rate <= 0 {
		return 0
	}
	if t := p.ill(Limits, w.r.now); t != nil {
		return p.Limit.Rate * t.Size
	}
	return p.Limit.Rate
}

// Struck tells whether a partner is in an outage now, and since when it has been back from its last one, below 0 if it had none.
func (w World) Struck(dest int) (bool, time.Duration) {
	p := w.r.partners[dest]
	for _, t := range p.ills {
		if t.Outage() && t.during(w.r.now) {
			return true, -1
		}
	}
	if p.coldFrom < 0 || p.coldFrom > w.r.now {
		return false, -1
	}
	return false, p.coldFrom
}

// Partners is how many there are.
func (w World) Partners() int { return len(w.r.partners) }

// beside tells what stands beside the decisions of the end of a call.
func (r *run) beside(c *call, end choice.Ended, ominous bool) {
	if b := r.options.Beside; b != nil && len(c.parts) > 0 {
		end.Took = r.now - c.began
		b.Saw(c.node.id, c.ep.partner.id, end, ominous)
	}
}
