package model

import (
	"cmp"
	"slices"
	"time"

	"starlingusher/choice"
)

// conns are a node's connections to an endpoint.
type conns struct {
	idle []time.Duration // each until then, the one that was used last at the end
	out  int
}

// dialTimeout is for how long a connection is waited for where the settings do not say.
const dialTimeout = time.Second

// forever is how long a connection stays idle where the settings close none.
const forever = 1000 * time.Hour

func (n *node) conn(e *endpoint) *conns {
	c := n.conns[e]
	if c == nil {
		c = &conns{}
		n.conns[e] = c
	}
	return c
}

func (c *conns) open() int { return len(c.idle) + c.out }

// expire closes those that have been idle for too long.
func (c *conns) expire(r *run, e *endpoint) {
	for len(c.idle) > 0 && c.idle[0] <= r.now {
		c.idle = c.idle[1:]
		e.held--
	}
}

// keep closes idle ones but the last so many.
func (c *conns) keep(r *run, e *endpoint, most int) {
	c.expire(r, e)
	if over := len(c.idle) - max(most, 0); over > 0 {
		c.idle = slices.Delete(c.idle, 0, over)
		e.held -= over
	}
}

// call is a call with one or several messages.
type call struct {
	node    *node
	life    int // of the node
	ep      *endpoint
	parts   []part
	began   time.Duration
	notPast time.Duration
	beginBy time.Duration // of the first of its messages that has such a time; 0 for any
	fresh   bool
	wantNew bool
	fate    fate
	factor  float64 // on the service time
	placed  bool    // it holds a place among the connections
	done    bool
}

// part is a message in a call.
type part struct {
	m       *message
	attempt int
}

func (r *run) newCall(n *node, a choice.Send) *call {
	return &call{node: n, life: n.life, ep: r.all[a.Endpoint], began: r.now, wantNew: a.Fresh, factor: 1}
}

// add puts a message into a call before it begins.
func (c *call) add(r *run, m *message, notPast, beginBy time.Duration) {
	if len(c.parts) == 0 {
		c.fate = r.fate(m, m.attempts)
		if f := m.class.Service; f > 0 {
			c.factor = f
		}
	}
	c.parts = append(c.parts, part{m, m.attempts})
	c.notPast = max(c.notPast, notPast)
	if beginBy > 0 && (c.beginBy == 0 || beginBy < c.beginBy) {
		c.beginBy = beginBy
	}
	m.attempts++
	m.out++
	m.sentAt = r.now
	c.node.calling[m.name] = c
	r.trace(m, "sent to", c.ep.id)
}

// begin sends a call on its way.
func (r *run) begin(c *call) {
	n, e := c.node, c.ep
	n.out++
	r.calls++
	r.rules.sends(n, c)
	if r.options.Beside != nil {
		r.options.Beside.Sent(n.id, e.partner.id)
	}
	cs := n.conn(e)
	cs.expire(r, e)
	cs.out++
	c.placed = true
	if c.fresh = c.wantNew || len(cs.idle) == 0; !c.fresh {
		cs.idle = cs.idle[:len(cs.idle)-1]
	} else {
		e.held++
		r.handshakes++
	}
	there := r.way(c.fate.there)
	// What is out is given up at its time, whatever becomes of it.
	r.at(c.notPast, func() { r.ended(c, choice.Ended{Outcome: choice.TooSlow, Kept: !c.fresh}) })
	if !c.fresh {
		r.at(r.now+there, func() { r.request(c) })
		return
	}
	r.at(r.now+there, func() { r.dial(c, there) })
}

// dial brings a connection up, as soon as something gets to the endpoint, and has the call written on it.
func (r *run) dial(c *call, there time.Duration) {
	if t := c.ep.partner.ill(CutOff, r.now); t != nil {
		up, last := t.At+t.For, c.began+cmp.Or(r.day.Rules.DialTimeout, dialTimeout)
		if up < last {
			r.at(up, func() { r.dial(c, there) })
			return
		}
		r.unplace(c)
		r.at(last, func() { r.ended(c, choice.Ended{Outcome: choice.NoRoute}) })
		return
	}
	end, ok := r.connect(c)
	if !ok {
		r.unplace(c)
		r.answer(c, end, r.now)
		return
	}
	r.at(r.now+2*there, func() {
		switch {
		case c.done || c.life != c.node.life: // nobody is there to write it
		case c.beginBy > 0 && r.now-there > c.beginBy:
			r.ended(c, choice.Ended{Outcome: choice.Stale})
		default:
			r.request(c)
		}
	})
}

// unplace gives back the place of a call whose connection does not come up.
func (r *run) unplace(c *call) {
	if c.placed && c.life == c.node.life {
		c.node.conn(c.ep).out--
		c.ep.held--
	}
	c.placed = false
}

// request is a call's arrival at its endpoint.
func (r *run) request(c *call) {
	c.ep.partner.came.count(r.now)
	end, at, ran := r.arrival(c)
	if ran {
		for _, p := range c.parts {
			r.rules.ran(c.node.id, p.m)
		}
	}
	if at >= 0 {
		r.answer(c, end, at)
	}
}

// answer brings the end of a call back to its node.
func (r *run) answer(c *call, end choice.Ended, at time.Duration) {
	if c.life == c.node.life && c.ep.partner.ill(CutOff, at) == nil {
		r.at(at+r.way(c.fate.back), func() { r.ended(c, end) })
	}
}

// cancel calls off a call, with all its messages.
func (r *run) cancel(n *node, a choice.Cancel) {
	c := n.calling[a.ID]
	if c == nil {
		return
	}
	r.later(n, r.now, func() { r.ended(c, choice.Ended{Outcome: choice.Undone, Kept: !c.fresh}) })
}

// ended tells a node how a call ended, once.
func (r *run) ended(c *call, end choice.Ended) {
	n, e := c.node, c.ep
	if c.done || n.dead || c.life != n.life {
		return
	}
	c.done = true
	n.out--
	cs := n.conn(e)
	kept := end.Outcome == choice.Pass || end.Outcome == choice.Fault || (end.Outcome == choice.NoRoom && c.placed)
	if c.placed {
		cs.out--
	}
	switch idle := r.day.Rules.ConnIdle; {
	case !c.placed:
	case !kept:
		e.held--
	case idle > 0:
		cs.idle = append(cs.idle, r.now+idle)
		if e.partner.Conns > 0 {
			r.later(n, r.now+idle, func() { n.conn(e).expire(r, e) })
		}
	default:
		cs.idle = append(cs.idle, r.now+forever)
	}
	if end.Wait > 0 {
		r.rules.told(n.id, e.partner, end.Wait)
	}
	// What began in an outage and failed has seen it, whenever that is known.
	if p := e.partner; end.Outcome != choice.Pass && end.Outcome != choice.Undone && p.saw != nil && c.began < p.coldFrom {
		p.saw[n.id] = true
	}
	events := make([]choice.Event, 0, len(c.parts))
	sign := false
	for _, p := range c.parts {
		m, one := p.m, end
		one.ID, one.Attempt, one.Endpoint, one.Took = m.name, p.attempt, e.id, r.now-c.began
		m.out--
		if n.calling[m.name] == c {
			delete(n.calling, m.name)
		}
		r.trace(m, outcomes[end.Outcome], e.id)
		if r.tally.held != nil {
			r.tally.held["call: "+outcomes[end.Outcome]] += one.Took.Seconds()
		}
		switch end.Outcome {
		case choice.Pass:
			if !m.ended {
				m.ended = true
				delete(n.held, m.name)
				r.tally.end(m, "delivered", r.now)
			}
			r.tally.got(r.now, m)
		case choice.NoRoom, choice.NoRoute, choice.Stale: // it has not run
		default:
			if !m.touched {
				m.touched, m.mayRun = true, m.sentAt
			}
		}
		if o, ok := n.decide.(ominous); ok {
			bad := o.Ominous(e.partner.id, one)
			m.failed, sign = m.failed || bad, sign || bad
		}
		events = append(events, one)
	}
	r.beside(c, end, sign)
	r.step(n, events...)
}

// ominous tells which outcomes the journal keeps as signs of an outage.
type ominous interface {
	Ominous(dest int, e choice.Ended) bool
}

var outcomes = map[choice.Outcome]string{choice.Pass: "passed at", choice.Fault: "failed at", choice.NoRoom: "turned away by",
	choice.TooSlow: "got no answer in time from", choice.NoRoute: "did not reach", choice.Cut: "lost its connection to",
	choice.Undone: "was called off at", choice.Stale: "was not sent to"}
