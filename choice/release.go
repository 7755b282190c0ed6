package choice

import (
	"math"
	"time"
)

// leastGap is the least time that counts between two calls to an endpoint. Calls of one moment would read as
// a gap that is not known.
const leastGap = time.Millisecond

// This file releases messages that wait: which goes out next, to which endpoint, under which checks.

// release fills free slots: the waiting destination that had the least slot time of late comes first, so that
// one whose calls last long does not get as many slots as a fast one.
func (s *Sender) release() {
	for _, d := range s.calling {
		s.spend(d)
	}
	s.unpark()
	for s.releaseOne(s.pick) || (s.lendable() && s.releaseOne(s.pickSpare)) {
	}
}

// releaseOne sends what is picked.
func (s *Sender) releaseOne(pick func() (*destination, *message, *endpoint)) bool {
	if s.cfg.Slots > 0 && s.busy >= s.cfg.Slots {
		return false
	}
	d, m, ep := pick()
	if m != nil {
		s.send(d, m, ep)
	}
	return m != nil
}

// pick looks at the destinations without calls in the order of their slot time, as far as the first that has
// something to send; those before it are parked. Then at those with calls, which are no more than slots.
func (s *Sender) pick() (best *destination, m *message, ep *endpoint) {
	for best == nil && s.turns.Len() > 0 {
		d := s.turns.all[0]
		s.spend(d)
		if m, ep = s.next(d); m != nil {
			best = d
		} else {
			s.park(d, s.nextTurn(d))
		}
	}
	for _, d := range s.calling {
		if best != nil && d.used >= best.used {
			continue
		}
		if n, e := s.next(d); n != nil {
			best, m, ep = d, n, e
		}
	}
	return best, m, ep
}

// pickSpare is pick for spare messages, of which there are few.
func (s *Sender) pickSpare() (best *destination, m *message, ep *endpoint) {
	for _, d := range s.lending {
		if s.spend(d); best != nil && d.used >= best.used {
			continue
		}
		if n, e := s.nextSpare(d); n != nil {
			best, m, ep = d, n, e
		}
	}
	return best, m, ep
}

// nextTurn is the earliest time at which a destination may have something to send that has nothing now, if no
// news of it comes before: stir looks at it then.
func (s *Sender) nextTurn(d *destination) time.Duration {
	soon, never := s.now+1, time.Duration(math.MaxInt64)
	turn := never
	for _, e := range d.endpoints {
		at, r := max(e.route.waitUntil, e.table.Open(), soon), e.route
		if !e.ready || (r.sick && r.trial) {
			continue
		}
		if r.sick {
			at = max(at, r.trialAt, r.known.SpareTil)
		}
		if s.refill(r); r.tokens < 1 {
			at = max(at, s.now+span(min((1-r.tokens)/s.fastest(r), seconds(s.t.ForgetAfter))))
		}
		turn = min(turn, at)
	}
	if turn > soon {
		return turn
	}
	turn = never
	for _, m := range d.waiting { // a route is open
		if turn = min(turn, m.notBefore); turn <= s.now {
			return soon // it waits for its key, or for others to give slots back
		}
	}
	return turn
}

// nextSpare finds the spare message that a destination would release now. Nothing else must wait there, and a
// part of the pace stays for what may come. Where others come at all, trials and the way back are theirs.
func (s *Sender) nextSpare(d *destination) (*message, *endpoint) {
	if len(d.spares) == 0 || len(d.waiting) > 0 {
		return nil, nil
	}
	seldom := s.now-d.cameAt >= s.t.SickSpan
	if s.lame(d) && (!seldom || len(d.calls) > 0) {
		return nil, nil
	}
	for _, e := range d.endpoints {
		s.refill(e.route)
		rate, bound := s.pace(e.route)
		scarce := bound && e.route.tokens < max(1, s.t.SpareRoom*s.t.BurstSpan*rate)
		if !seldom && (e.route.recovering() || scarce) {
			return nil, nil
		}
	}
	for _, m := range d.spares {
		if ep := s.draw(m); ep != nil {
			return m, ep
		}
	}
	return nil, nil
}

// next finds the message a destination would release now, and its endpoint. The order is that of arrival,
// unless the queue is so long that waiting costs worth: then the one that loses most by waiting as long
// as the oldest has waited goes first.
func (s *Sender) next(d *destination) (*message, *endpoint) {
	if len(d.waiting) == 0 {
		return nil, nil
	}
	if s.lame(d) && s.cfg.Slots > 0 && float64(s.lameHeld()) >= max(1, s.t.SlowShare*float64(s.cfg.Slots)) {
		return nil, nil
	}
	open := false
	for _, e := range d.endpoints {
		s.refill(e.route)
		s.expireRetry(d, e.route)
		open = open || s.routeOpen(e)
	}
	if !open {
		return nil, nil
	}
	horizon := s.now - d.waiting[0].arrived
	var best *message
	var bestEp *endpoint
	most := -1.0
	for _, m := range d.waiting {
		if loss := s.loss(m, horizon); loss > most {
			if ep := s.draw(m); ep != nil {
				best, bestEp, most = m, ep, loss
			}
		}
	}
	return best, bestEp
}

// loss is the worth that a message loses by waiting for another span.
func (s *Sender) loss(m *message, wait time.Duration) float64 {
	usual := time.Duration(0)
	if e := m.dest.endpoints; len(e) > 0 {
		usual = span(e[0].usual)
	}
	return s.value(m, s.now+usual) - s.value(m, s.now+usual+wait)
}

// value is what a delivery at a moment is worth.
func (s *Sender) value(m *message, at time.Duration) float64 {
	age, late := at-m.born, m.class.LateWorth
	switch {
	case at > m.dropDead:
		return 0
	case age <= m.aim || m.aim <= 0:
		return m.worth
	case s.cfg.Halves:
		return m.worth * max(late, math.Exp2(-float64(age-m.aim)/float64(m.aim)))
	}
	return m.worth * (1 - (1-late)*float64(age-m.aim)/float64(max(m.class.Deadline-m.aim, 1)))
}

// draw picks an endpoint at random among those that pass the check, odds falling with smoothed latency.
func (s *Sender) draw(m *message) *endpoint {
	total := 0.0
	var fit []*endpoint
	var odds []float64
	for _, e := range m.dest.endpoints {
		if s.check(m, e) {
			o := math.Pow(max(e.response, seconds(s.t.FloorResponse)), -s.t.DrawPower)
			fit, odds, total = append(fit, e), append(odds, o), total+o
		}
	}
	if len(fit) == 0 {
		return nil
	}
	x := s.rng.Float64() * total
	for i, e := range fit {
		if x -= odds[i]; x < 0 {
			return e
		}
	}
	return fit[len(fit)-1]
}

// routeOpen is the part of the check that hangs on the endpoint alone: drain, wait, health, budget and pace.
func (s *Sender) routeOpen(e *endpoint) bool {
	r := e.route
	if !e.ready || s.now < r.waitUntil || r.tokens < 1 || !e.table.Allows(s.now, e.out) ||
		(!r.recovering() && !e.window.Allows(s.now, e.out)) { // the way back has a pace of its own
		return false
	}
	return !r.sick || (!r.trial && s.now >= r.trialAt && !r.known.Spared(s.now))
}

// check is the one gate before every send; no path goes round it.
func (s *Sender) check(m *message, e *endpoint) bool {
	if m.over || m.out > 0 || s.now < m.notBefore || s.spent(m) || !s.routeOpen(e) {
		return false
	}
	if s.cfg.Slots > 0 && s.busy >= s.cfg.Slots || s.now >= m.dropDead-s.t.EndMargin-2*s.cfg.Tick {
		return false
	}
	if s.leaveBy > 0 && s.now+s.leaveSpan(m, e) > s.leaveBy {
		return false
	}
	switch m.class.Effect {
	case Unsafe:
		// On a sick route an unsafe message risks an unsure end, unless failures there prove that
		// nothing ran; with most of its time gone it has less to lose.
		spent := s.now-m.arrived > (m.dropDead-m.arrived)/2
		if m.touched || (e.route.sick && !e.route.harmless && !spent) {
			return false
		}
	case Keyed:
		if m.touched && (s.now > s.windowEnd(m) || (!m.class.GroupAll && e.zone != m.zone)) {
			return false
		}
	}
	if m.key != "" {
		s.trimLine(m.key)
		// Whoever had the turn before may try again without a rest.
		line := s.lines[m.key]
		if (s.now < s.rests[m.key] && (m.attempts == 0 || m.spare)) || (len(line) > 0 && line[0] != m) {
			return false
		}
	}
	return true
}

// leaveSpan is how long before the process ends a message may still go out.
func (s *Sender) leaveSpan(m *message, e *endpoint) time.Duration {
	if m.class.Effect == Unsafe {
		return max(span(s.t.LeaveRoomUnsafe*e.usual), s.t.LeaveLeastUnsafe)
	}
	return max(span(s.t.LeaveRoom*e.usual), s.t.LeaveLeast)
}

// send sends a message and, where the kind allows, more of the destination's waiting ones in the same call.
func (s *Sender) send(d *destination, m *message, e *endpoint) {
	r := e.route
	c := &call{ep: e, sentAt: s.now, trial: r.sick, repeatable: true, spare: m.spare}
	if m.spare {
		s.lent++
		if m.key != "" {
			s.lines[m.key] = []*message{m} // check has found it empty
		}
	}
	r.trial = r.trial || c.trial
	group := []*message{m}
	most, room := s.batch(d)
	room -= m.size
	for _, o := range d.waiting {
		if len(group) >= most || c.trial || c.spare {
			break
		}
		if o != m && o.size <= room && s.check(o, e) {
			group, room = append(group, o), room-o.size
		}
	}
	for i, o := range group {
		s.dequeue(o)
		a := attempt{o.id, o.attempts}
		s.sent[a], c.sends = sending{o, c}, append(c.sends, a)
		o.attempts++
		o.out++
		c.left++
		c.repeatable = c.repeatable && o.class.Effect != Unsafe
		// What may not be repeated is lost when a kept connection turns out broken; a handshake costs less,
		// and less than another turn for what has had one.
		fresh := s.now < s.wornTil && (o.class.Effect == Unsafe || o.attempts > 1)
		send := Send{ID: o.id, Endpoint: e.id, NotPast: s.timeout(o, e), Fresh: fresh, Joined: i > 0}
		if o.touched { // and so keyed: check lets no other through
			send.BeginBy = s.windowEnd(o)
		}
		s.do(send)
	}
	r.tokens--
	r.tried, r.retry = true, false
	if r.recovering() { // the others weigh little at a warm one
		r.tokens -= s.t.ItemWeight * float64(len(group)-1)
	}
	if e.sentAt > 0 {
		e.gap = s.ease(e.gap, seconds(max(s.now-e.sentAt, leastGap)))
	}
	e.sentAt = s.now
	s.busy++
	e.out++
	s.call(d, c)
	d.used += seconds(s.t.SendCharge)
}

// timeout is the clock time at which an attempt is abandoned. An unsafe message cannot be tried again, so it
// is given all its time.
func (s *Sender) timeout(m *message, e *endpoint) time.Duration {
	last := m.dropDead - s.t.EndMargin/2
	if m.class.Effect == Unsafe {
		return last
	}
	aim := seconds(m.aim)
	grown := math.Pow(s.t.TimeoutGrow, float64(e.route.fails))
	t := max(s.t.TimeoutFactor*e.usual, s.t.TimeoutLeast*aim) * grown
	if e.usual == 0 {
		t = aim
	}
	t = min(t, s.t.TimeoutAims*aim)
	return min(last, s.now+span(t))
}
