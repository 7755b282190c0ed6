package choice

import (
	"math"
	"slices"
	"time"
)

// This file is the two-bound gate: whether a message is taken on at its arrival.

// inShare counts a request against its tenant's share, of which this sender sees its part.
func (s *Sender) inShare(i int) bool {
	if i < 0 || i >= len(s.tenants) || s.cfg.Tenants[i].PerSecond <= 0 {
		return true
	}
	return s.tenants[i].Take(s.now, s.cfg.Fleet, s.cfg.Tenants[i].PerSecond)
}

// admit asks the gate, at arrival. Beside the paper's ratio stand two departures: the deadline bounds, and
// a share of the room for held messages, since one backlog must not turn everybody else's messages away.
func (s *Sender) admit(d *destination, m *message) Refusal {
	if s.cfg.MaxOpen > 0 && len(d.waiting) > s.cfg.MaxOpen-s.open() {
		return ByRoom
	}
	if d.gate.accepts(&s.t, d.gate.average, seconds(m.class.Deadline)) {
		return Admitted
	}
	// Shut: with nobody held or out, a single trial message lets the ratio fall. Calls that are overdue don't
	// count: one silent payout, out for all its time, kept the gate shut as long.
	awaited := slices.ContainsFunc(d.calls, func(c *call) bool { return !c.spare && !s.overdue(c) })
	if len(d.waiting) == 0 && !awaited && s.now-d.lastTrial >= s.t.GateTrial {
		d.lastTrial = s.now
		return Admitted
	}
	return ByGate
}

// admitSpare asks the gate for a spare message. Its trials are its own, and don't use up those of the others.
func (s *Sender) admitSpare(d *destination, m *message) bool {
	open := d.gate.accepts(&s.t, d.gate.average, seconds(m.class.Deadline))
	if !open && len(d.spares) == 0 && s.now-d.lastSpare >= s.t.SpareTrial {
		d.lastSpare, open = s.now, true
	}
	return open
}

// accepts moves the gate between its bounds and tells whether it is open.
func (g *gate) accepts(t *tuned, current, deadline float64) bool {
	base := max(g.baseline, seconds(t.FloorResponse))
	upper, lower := t.GateUpper*base, t.GateLower*base
	if deadline > 0 {
		upper, lower = min(upper, t.DeadlineShut*deadline), min(lower, t.DeadlineOpen*deadline)
	}
	switch {
	case !g.seen:
		g.shut = current > upper
	case current > upper:
		g.shut = true
	case current < lower:
		g.shut = false
	}
	return !g.shut
}

// sample takes a response time into the average, and keeps the lowest average as the baseline.
func (g *gate) sample(t *tuned, now time.Duration, sec float64) {
	if !g.seen {
		g.seen, g.average, g.baseline, g.at = true, sec, sec, now
		return
	}
	gap := seconds(now - g.at)
	w := max(t.Smoothing, 1-math.Exp(-gap/seconds(t.SmoothSpan)))
	g.average += w * (sec - g.average)
	g.baseline = min(g.baseline*math.Exp(gap/seconds(t.BaselineSpan)), g.average)
	g.at = now
}

// retryAfter asks a refused client to stay away for about as long as the backlog lasts.
func (s *Sender) retryAfter(d *destination) time.Duration {
	after := s.cfg.MaxRetryAfter
	if d.gate.seen && !d.gate.shut {
		after = min(after, span(d.gate.average))
	}
	return after
}

// StayAway is how long a client should stay away whose message is turned away before the gate, for no room.
func (s *Sender) StayAway(dest int) time.Duration { return s.retryAfter(s.destination(dest)) }

// sample is the one place that turns outcomes into gate samples. What did not deliver is charged as slow, or
// fast errors would read healthy while everything is rejected; a refusal over a limit is pacing news and no
// sample, for its hold shows in the final one. Of a hold counts only the time since an outage ended or a
// limit was raised, and no more than the oldest has waited that waits now: the rest tells a new one nothing.
func (s *Sender) sample(m *message, c *call, o Outcome, lone bool) {
	if lone || (m.spare && o != Pass) {
		return // a spare one shuts the gate to nobody
	}
	from := max(m.arrived, min(max(c.ep.route.coldFrom, c.ep.route.raisedAt), c.sentAt))
	sec := seconds(min(s.now-from, s.now-c.sentAt+m.dest.oldest(s.now)))
	if m.spare {
		sec = seconds(s.now - c.sentAt)
	}
	switch o {
	case Pass:
	case Stale, Undone:
		return
	case NoRoom:
		if !m.dest.troubled() {
			return
		}
		fallthrough
	default:
		sec = max(sec, s.t.FailCharge*seconds(m.aim))
	}
	m.dest.gate.sample(&s.t, s.now, sec)
}

func (d *destination) troubled() bool {
	for _, e := range d.endpoints {
		if e.ready && !e.route.sick {
			return false
		}
	}
	return true
}
