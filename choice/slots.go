package choice

import "math"

// This file is about slots: which destinations are slow, and which calls are called off.

// patience is how long a call may be out before that is far longer than usual, in seconds.
func (s *Sender) patience(c *call) float64 {
	return max(s.t.SlowFactor*c.ep.usual, seconds(s.t.SlowLeast))
}

// overdue tells that a call has been out for so long that its answer is hardly to be counted on.
func (s *Sender) overdue(c *call) bool {
	return seconds(s.now-c.sentAt) > max(s.t.LostFactor*c.ep.usual, seconds(s.t.LostLeast))
}

// lost tells that a call is overdue though one sent later to the same endpoint has passed in the usual
// time: its connection or its answer is gone, and its silence says nothing of the destination. Without
// this, single calls lost on the way, payouts above all, which are out for all their time, made every busy
// destination look slow, and then struck. It could do harm where an endpoint serves some calls fast and
// lets others hang for good: those hold slots beyond the slow share, until none is free and preempt takes
// them first.
func (s *Sender) lost(c *call) bool { return c.sentAt < c.ep.provenAt && s.overdue(c) }

// slow tells that a destination's oldest call, of those not lost, has been out far longer than usual: before
// any time-out has passed, silence and crawling look like this. Its share of the slots is capped then.
func (s *Sender) slow(d *destination) bool {
	for _, c := range d.calls {
		if !s.lost(c) {
			return seconds(s.now-c.sentAt) > s.patience(c)
		}
	}
	return false
}

// spend brings the slot time that the destination had of late up to now.
func (s *Sender) spend(d *destination) {
	// Nearly all were brought up to date in the step before, and fade alike.
	if gap := s.now - d.usedAt; gap != s.fadeGap || s.fade == 0 {
		s.fadeGap, s.fade = gap, math.Exp(-seconds(gap)/seconds(s.t.SlotSpan))
	}
	d.used = d.used*s.fade + float64(len(d.calls))*seconds(s.t.SlotSpan)*(1-s.fade)
	d.usedAt = s.now
}

// lame tells that a destination is slow, or that at each of its routes the last call failed. With few slots,
// first tries at silent destinations held them all.
func (s *Sender) lame(d *destination) bool {
	for _, e := range d.endpoints {
		if e.ready && e.route.fails == 0 {
			return s.slow(d)
		}
	}
	return true
}

// lameHeld counts the slots that lame destinations hold.
func (s *Sender) lameHeld() int {
	n := 0
	for _, d := range s.calling {
		if !s.lame(d) {
			continue
		}
		for _, c := range d.calls {
			if !s.lost(c) {
				n++
			}
		}
	}
	return n
}

// preempt calls off calls that are out far longer than usual while no slot is free: silence, be it a few
// destinations' or a lossy path's, must not stop delivery to all the others. A call whose messages may be
// repeated goes first and at once. One that may not ends failed: if it is lost it goes while others wait for
// its slot, for hardly one in thirty of these is answered after all, and each holds a slot for all its time;
// if it is not, only while slow destinations hold more than their share of the slots. Called-off work may be
// wasted; a full node would lose far more.
func (s *Sender) preempt() {
	if !s.cfg.MayCancel || s.cfg.Slots <= 0 || s.busy < s.cfg.Slots {
		return
	}
	var repeatable, lost, slowest *call
	held, late := 0, 1.0
	for _, d := range s.calling {
		slow := s.slow(d)
		for _, c := range d.calls {
			if c.called {
				return // its slot is about to come back
			}
			if slow {
				held++
			}
			patience := s.patience(c) * math.Pow(s.t.TimeoutGrow, float64(c.ep.route.fails))
			over := seconds(s.now-c.sentAt) / patience
			gone := s.lost(c)
			if gone {
				over++ // first of all
			}
			switch {
			case c.repeatable && over > late:
				repeatable, late = c, over
			case c.repeatable:
			case gone:
				lost = c
			case slow && slowest == nil:
				slowest = c
			}
		}
	}
	switch {
	case repeatable != nil:
		s.callOff(repeatable)
	case lost != nil && s.othersWait():
		s.callOff(lost)
	case slowest != nil && float64(held) > s.t.SlowShare*float64(s.cfg.Slots):
		s.callOff(slowest)
	}
}

// callOff cancels a call.
func (s *Sender) callOff(c *call) {
	if c.called || !s.cfg.MayCancel {
		return
	}
	c.called = true
	for _, a := range c.sends {
		if s.sent[a].c == c {
			s.do(Cancel{ID: a.id, Attempt: a.n})
		}
	}
}

// lendable tells that a slot is left for a spare message.
func (s *Sender) lendable() bool {
	slots := float64(s.cfg.Slots)
	return slots <= 0 ||
		(float64(s.busy) < s.t.SpareRoom*slots && float64(s.lent) < max(1, s.t.SpareShare*slots))
}
