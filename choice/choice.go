// Package choice decides for a delivery node: refuse or admit a message, when to send it, to which endpoint,
// whether to try again, when to give up. Its interface (Settings, Events, Actions) is in types.go and its
// bare state in state.go; every decision, table and tuned value is here. A Sender is a deterministic state
// machine: time comes with Step, randomness from the seed, and it shares nothing with other senders.
package choice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"starlingusher/fleet"
)

// New returns the decision maker of a delivery node that has just started.
func New(cfg Settings, seed uint64) *Sender {
	s := &Sender{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		dests: map[int]*destination{}, eps: map[string]*endpoint{}, msgs: map[string]*message{},
		lines: map[string][]*message{}, rests: map[string]time.Duration{}, sent: map[attempt]sending{},
		parted:  map[string]time.Duration{},
		tenants: make([]fleet.Quota, len(cfg.Tenants)), crowded: map[int]time.Duration{},
	}
	s.t.tune(nil)
	s.rank()
	s.cfg.Fleet = max(cfg.Fleet, 1)
	if cfg.AskForList {
		s.askAt = 1 // at once
	}
	return s
}

// Step takes the events of a moment and returns what to do about them, in order.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions, s.healthChanges = now, nil, nil
	// Lists first: a drain acts in the step that told of it, whatever stands before it in the batch.
	for _, e := range events {
		if l, ok := e.(Listed); ok {
			s.listed(l)
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case Waits:
			s.toldBefore(e)
		case Heard:
			s.heard(e)
		case Arrived:
			s.arrived(e)
		case Resumed:
			s.resumed(e)
		case Ended:
			s.ended(e)
		case Probed:
			s.probed(e)
		case Dropped:
			if m := s.msgs[e.ID]; m != nil {
				s.finish(m, nil)
			}
		case Rang:
			s.wakeAt = 0 // a rounded clock may ring a little before the time
		case Leaving:
			s.leaveBy = e.By
		}
	}
	if s.askAt > 0 && now >= s.askAt {
		s.askAt = 0
		s.do(Watch{})
	}
	s.expire()
	s.release()
	s.preempt()
	s.arm()
	return s.actions
}

// arm asks to be woken when a message's time is up, and soon while one waits for a slot, a rest or a pace.
// What is out wakes the sender by its outcome; with nothing held it sleeps.
func (s *Sender) arm() {
	due := time.Duration(math.MaxInt64)
	if s.askAt > 0 {
		due = s.askAt
	}
	if s.deaths.Len() > 0 {
		due = min(due, max(s.deaths.all[0].dropDead-s.t.EndMargin-s.cfg.Tick, s.now+s.t.SweepEvery))
	}
	if s.waits > 0 {
		due = min(due, s.now+s.t.PollEvery)
	}
	if due < math.MaxInt64 && (s.wakeAt <= s.now || due < s.wakeAt) {
		s.wakeAt = due
		s.do(Wake{At: due, Tag: "sweep"})
	}
}

// listed brings the list of endpoints up to date. A whole list replaces the old one.
func (s *Sender) listed(l Listed) {
	if l.Failed {
		s.asking = min(max(2*s.asking, s.t.TrialFirst), time.Minute)
		if s.cfg.AskForList {
			s.askAt = s.now + s.asking
		}
		return
	}
	s.asking = 0
	if l.Whole {
		s.keepOnly(l.Entries)
	}
	for _, entry := range l.Entries {
		e := s.eps[entry.Endpoint]
		if e != nil && (entry.Phase == Gone || e.dest.id != entry.Dest) {
			s.drop(e)
		}
		if entry.Phase == Gone {
			continue
		}
		if e = s.eps[entry.Endpoint]; e == nil {
			d := s.destination(entry.Dest)
			e = &endpoint{id: entry.Endpoint, zone: entry.Zone, dest: d}
			s.eps[entry.Endpoint] = e
			d.endpoints = append(d.endpoints, e)
			d.kind, d.single = entry.Kind, entry.Single
			if e.route = d.shared; s.apart(d) {
				e.route = newRoute(d.id, e.id)
				e.route.waitUntil = s.parted[e.id] // the only thing that outlasts a route's leaving
			}
		}
		e.ready = entry.Phase == Ready
		s.stir(e.dest)
		if s.cfg.Weighted && entry.Weight > 0 {
			e.route.weight = entry.Weight
		}
	}
	s.forget()
}

// newRoute returns a healthy route of a destination, or of one endpoint that is a route apart.
func newRoute(dest int, endpoint string) *route {
	return &route{dest: dest, endpoint: endpoint, tokens: 1}
}

// arrived admits a message or refuses it at once.
func (s *Sender) arrived(e Arrived) {
	if s.msgs[e.ID] != nil {
		return
	}
	m, d := s.take(e, false)
	if why := s.admit(d, m); why != Admitted {
		s.finish(m, PushBack{ID: m.id, RetryAfter: s.retryAfter(d), Why: why})
		return
	}
	s.hold(m, e.Key)
}

// take notes a new message and its demand on the destination.
func (s *Sender) take(e Arrived, spare bool) (*message, *destination) {
	d := s.destination(e.Dest)
	s.wakeUp(d)
	if !spare {
		d.came, d.cameAt = s.rate(d)*seconds(s.t.DemandSpan)+1, s.now
	}
	class := &Class{}
	if e.Class >= 0 && e.Class < len(s.cfg.Classes) {
		class = &s.cfg.Classes[e.Class]
	}
	m := &message{
		id: e.ID, class: class, dest: d, arrived: s.now, dropDead: e.DropDead, worth: class.Worth,
		born: e.DropDead - class.Deadline, spare: spare, size: e.Size,
	}
	m.aim = min(class.Aim+span(class.AimStretch*seconds(e.Hint)), max(class.Deadline, class.Aim))
	if !s.inShare(e.Tenant) {
		m.worth *= s.cfg.OverShareWorth
	}
	s.msgs[m.id] = m
	return m, d
}

// hold puts a message that was taken on among the waiting.
func (s *Sender) hold(m *message, key string) {
	s.keep(m)
	if m.class.Ordered {
		m.key = key
	}
	if m.spare {
		s.spares++
		s.enqueue(m)
		return
	}
	if m.key != "" {
		s.lines[m.key] = append(s.lines[m.key], m)
	}
	s.enqueue(m)
	for _, e := range m.dest.endpoints {
		if e.route.recovering() {
			e.route.demand += 1 / float64(len(m.dest.endpoints))
		}
	}
}

// resumed takes back a message from before a restart. It was admitted then, so no gate is asked; what may
// have run already and may not be repeated ends here. A failure known from before may have been an outage's,
// whose end this life did not see: the way back there is taken as cold.
func (s *Sender) resumed(e Resumed) {
	if s.msgs[e.ID] != nil {
		return
	}
	m, d := s.take(e.Arrived, e.Spare)
	m.attempts, m.touched = e.Attempts, e.Touched && m.class.Effect != Safe
	m.mayRun, m.zone = e.MayRun, e.Zone
	late := m.touched && m.class.Effect == Keyed && s.now >= s.windowEnd(m)
	if (m.touched && m.class.Effect == Unsafe) || late || s.spent(m) || s.now >= m.dropDead-s.t.EndMargin {
		s.giveUp(m)
		return
	}
	if m.spare && !s.admitSpare(d, m) {
		s.finish(m, PushBack{ID: m.id, RetryAfter: s.retryAfter(d)})
		return
	}
	for _, ep := range d.endpoints {
		if r := ep.route; e.Failed && !r.recovering() {
			before := r.health()
			s.strike(r)
			r.sick, r.coldFrom = false, s.now
			s.noteHealth(r, before, "an attempt before the restart failed")
		}
	}
	s.hold(m, e.Key)
}

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

// Ominous tells whether an outcome is a sign of an outage that the next life should hear of with its message.
// A refusal over a limit is none, nor is a call that was called off, nor a kept connection that broke.
func (s *Sender) Ominous(dest int, e Ended) bool {
	switch e.Outcome {
	case Pass, Stale, Undone:
		return false
	case Cut:
		return !e.Kept
	case NoRoom:
		d := s.dests[dest]
		struck := func(ep *endpoint) bool { return ep.route.recovering() }
		return e.Wait > s.t.ShutWait || (d != nil && slices.ContainsFunc(d.endpoints, struck))
	}
	return true
}

// finish ends a message; a is nil when it is over without our doing.
func (s *Sender) finish(m *message, a Action) {
	if m.over {
		return
	}
	m.over = true
	s.dequeue(m)
	s.unkeep(m)
	delete(s.msgs, m.id)
	s.trimLine(m.key)
	if a != nil {
		s.do(a)
	}
}

// mayRefuse tells whether a refusal promises the truth, that coming again is harmless.
func (s *Sender) mayRefuse(m *message) bool {
	if m.class.Effect == Safe || (m.out == 0 && !m.touched) {
		return true
	}
	return m.class.Effect == Keyed && m.touched && m.class.GroupAll && s.now <= s.windowEnd(m)
}

// windowEnd is the last moment at which a keyed message's repeat is surely dropped.
func (s *Sender) windowEnd(m *message) time.Duration {
	return m.mayRun + m.class.Window - s.t.EndMargin - 2*s.cfg.Tick
}

// giveUp ends a message as its effect allows.
func (s *Sender) giveUp(m *message) {
	if s.mayRefuse(m) {
		s.finish(m, PushBack{ID: m.id, RetryAfter: s.retryAfter(m.dest)})
	} else {
		s.finish(m, Fail{ID: m.id})
	}
}

// expire gives every open message its end in time, and sweeps out the ended.
func (s *Sender) expire() {
	for _, m := range s.due() {
		switch {
		case s.now >= m.dropDead-s.t.EndMargin-s.cfg.Tick && m.out == 0, s.now >= m.dropDead:
			s.giveUp(m)
		case m.touched && m.out == 0 && m.class.Effect == Keyed && s.now >= s.windowEnd(m)-2*s.t.PollEvery:
			s.giveUp(m) // soon it could neither be sent nor refused
		default:
			m.look = s.nextLook(m)
			s.looks.add(m)
		}
	}
	s.gone = 0
}

// nextLook is when expire has to look at a message next: while it is out, only its deadline ends it.
func (s *Sender) nextLook(m *message) time.Duration {
	if m.out > 0 {
		return m.dropDead
	}
	look := min(m.dropDead-s.t.EndMargin-s.cfg.Tick, m.dropDead)
	if m.touched && m.class.Effect == Keyed {
		look = min(look, s.windowEnd(m)-2*s.t.PollEvery)
	}
	return look
}

// ended takes the outcome of an attempt.
func (s *Sender) ended(e Ended) {
	key := attempt{e.ID, e.Attempt}
	m, c := s.sent[key].m, s.sent[key].c
	if c == nil {
		return
	}
	delete(s.sent, key)
	if c.left--; c.left == 0 {
		s.hangEnd(c)
	}
	// A kept connection that breaks under a call tells of the connection, not of its destination; so does
	// silence where calls that were sent later have passed, or any since, if its message had no more time.
	worn := e.Kept && e.Outcome == Cut
	if worn {
		s.wornTil = s.now + s.t.WornSpan
	}
	if e.Outcome == Cut || e.Outcome == NoRoute {
		c.ep.route.giveBack()
	}
	lone := worn || (e.Outcome == TooSlow || e.Outcome == Undone) && s.lost(c) ||
		e.Outcome == TooSlow && s.now >= m.dropDead-s.t.EndMargin && c.ep.route.gap.PassedSince(c.sentAt)
	s.report(c.ep.route, e.Report)
	s.judge(c, e, lone)
	s.inherit(c.ep)
	s.stir(c.ep.dest)
	m.out--
	ran := e.Outcome == Fault || e.Outcome == TooSlow || e.Outcome == Cut || e.Outcome == Undone
	if ran && m.class.Effect != Safe && (!m.touched || c.sentAt < m.mayRun) {
		m.touched, m.mayRun, m.zone = true, c.sentAt, c.ep.zone
	}
	if ran && e.Outcome != Fault && m.key != "" {
		s.restKey(m.key)
	}
	if m.over {
		s.trimLine(m.key)
		return // ended meanwhile; its turn and its key had to hear of the outcome all the same
	}
	s.sample(m, c, e.Outcome, lone)
	switch {
	case e.Closed || e.Outcome == Pass:
		s.finish(m, nil)
	case m.out > 0: // another copy is out and may still pass
	case s.now >= m.dropDead-s.t.EndMargin, ran && m.class.Effect == Unsafe, s.spent(m):
		s.giveUp(m)
	default:
		if !worn && (ran || e.Outcome == NoRoute) {
			m.notBefore = s.now + s.t.RetryRest<<min(m.attempts, 16)
		}
		s.enqueue(m)
		s.lookAgain(m)
	}
}

func (s *Sender) spent(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}

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

// report takes what an endpoint tells of its limit; odd values are skipped. The room left changes by the
// moment: without a report there is none to count on.
func (s *Sender) report(r *route, rep Report) {
	r.left = 0
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		if rep.Limit < s.t.Lowered*r.limit {
			r.loweredAt = s.now
		} else if r.limit > 0 && r.limit < s.t.Lowered*rep.Limit {
			r.raisedAt = s.now
		}
		r.reported, r.limit = true, rep.Limit
		if rep.HasLeft && rep.Left > 0 {
			r.left = min(rep.Left, 1)
		}
	}
}

// judge updates the health of an endpoint and its route from a call's outcome. One that tells of its
// connection alone says nothing of them, nor do the further messages of the call: each of ten that were
// refused together halved the part, and each of ten that broke off together was a failure.
func (s *Sender) judge(c *call, e Ended, lone bool) {
	ep, r, took := c.ep, c.ep.route, max(seconds(e.Took), seconds(s.t.FloorResponse))
	if c.trial {
		r.trial = false
	}
	switch {
	case lone, c.judged:
	case e.Outcome == Pass:
		if took <= s.t.SlowFactor*ep.usual {
			ep.provenAt = max(ep.provenAt, c.sentAt)
		}
		ep.usual, ep.response = s.ease(ep.usual, took), s.ease(ep.response, took)
		ep.window.Passed(s.now, ep.out, e.Took)
		ep.table.Passed(s.now, s.cfg.Fleet, !e.Kept)
		if r.fails > 0 && r.harmless && !r.sick && !s.cfg.FullTold {
			s.crowded[ep.dest.kind] = s.now + s.t.CrowdedSpan // no connection, then a pass: a full table
		}
		s.passed(r, 1+s.t.ItemWeight*float64(len(c.sends)-1))
	case e.Outcome == Stale:
	case e.Outcome == NoRoom && e.HungUp && !e.Kept && e.Wait == 0 && !r.sick:
		s.crowd(ep)
	case e.Outcome == NoRoom:
		// Refusals in a row rest longer each time, over a limit or shut. They are no outage by themselves:
		// a large fleet meets three in a row at any busy limit.
		if s.now-r.waitUntil > r.rest {
			r.rest = s.t.RefusedRest
		} else if s.now >= r.waitUntil { // no fellow of the call that told of it
			r.rest *= 2
		}
		r.waitUntil = max(r.waitUntil, s.now+max(e.Wait, r.rest))
		ep.response = s.ease(ep.response, 2*max(ep.response, took))
		// Refused where there is no limit: a full queue, as of a destination that hangs, if nothing passes.
		stuck := r.unlimited() && ep.window.Refused(s.now, ep.out)
		if shut := e.Wait > s.t.ShutWait; shut || stuck || r.sick {
			s.failure(ep, shut, true, false)
		} else if !r.unlimited() {
			s.cut(ep.dest, r)
		}
	default:
		ep.response = s.ease(ep.response, max(2*ep.response, took, seconds(s.t.SlowLeast)))
		s.failure(ep, false, e.Outcome == NoRoute, e.Outcome == NoRoute || e.Outcome == Cut)
	}
	c.judged = c.judged || (!lone && e.Outcome != Stale)
	if e.Wait > 0 { // told with whatever end: it binds all the same
		r.told(s.now + e.Wait)
	}
	if c.left == 0 && e.Outcome != NoRoute && e.Outcome != Stale {
		s.giveBack(ep)
	}
}

// giveBack closes idle connections that stand in other senders' way: an endpoint's table may be small, idle
// ones counted, and a large fleet fills it. All go where the connection would be closed before its next use
// anyway, and at a kind where connects failed of late; elsewhere this sender's part of the places stays. A
// message that waits for its pace keeps none: eighty senders that wait so would fill the table for others.
func (s *Sender) giveBack(ep *endpoint) {
	unused := s.cfg.ConnIdle > 0 && (ep.gap == 0 || ep.gap > seconds(s.cfg.ConnIdle))
	switch {
	case len(ep.dest.waiting) > 0 && s.routeOpen(ep):
	case unused || s.now < s.crowded[ep.dest.kind]:
		s.do(HangUp{Endpoint: ep.id})
	default:
		if keep := ep.table.Keep(s.cfg.Fleet, s.rng.Float64()); keep >= 0 {
			s.do(HangUp{Endpoint: ep.id, Keep: keep})
		}
	}
}

// crowd takes a new connection that was refused and closed: the endpoint's table is full, while the
// connections that it holds go on being served. That is neither its limit nor an outage: taken for a limit,
// it cut the pace to a quarter and stopped the calls that had a connection. As many calls as are out there
// fit, and little by little more is tried; lost calls, which hold a connection each, are called off. It
// guards against any peer that sheds connections rather than calls. It could do harm at one that hangs up
// so on whatever is above its limit: the pace would fall by the connections alone.
func (s *Sender) crowd(ep *endpoint) {
	ep.table.Full(s.now, s.cfg.Fleet, ep.out, s.rng.Float64())
	for _, c := range ep.dest.calls {
		if c.ep == ep && s.lost(c) {
			s.callOff(c)
		}
	}
}

// cut lowers this sender's part of the limit at a refusal, by its own demand. A refusal that tells of a limit
// which has just been lowered says nothing of the part.
func (s *Sender) cut(d *destination, r *route) {
	own := 0.0
	if limit := s.limit(r); limit > 0 {
		own = s.rate(d) / limit
	}
	if r.loweredAt == s.now {
		r.part.News(s.now)
	} else {
		r.part.Refused(s.now, s.cfg.Fleet, own)
	}
	r.tokens = min(r.tokens, r.part.Saved(s.rng.Float64()))
}

// failure notes a sign of an outage. It covers every kind: refused connections, errors, silence, shut doors.
// A route gone sick gets single trials with growing pauses; the cold budget holds until it is surely warm.
// One failure is no outage: a run is, if it is longer than the failures met everywhere explain. So a
// lossy path of our own does not make all destinations look struck. Routes apart of one destination add up
// their runs, for an outage mostly takes them all and each sees few calls.
func (s *Sender) failure(ep *endpoint, sure, harmless, torn bool) {
	r := ep.route
	r.harmless = harmless
	r.part.News(s.now)
	r.gap.Failed(r.fails == 0, torn)
	r.fails++
	if !r.sick {
		if r.fails == 1 {
			r.failedAt = s.now
			s.failing.Failed()
		}
		least := s.t.SickCount
		if s.now-r.failedAt >= s.t.SickSpan || s.rate(ep.dest)*seconds(s.t.SickSpan) < s.t.RareCalls {
			least--
		}
		if r.known.Out(s.now) {
			least--
		}
		fails := r.fails
		for _, mate := range ep.dest.endpoints {
			if mate.route != r {
				fails += mate.route.fails
			}
		}
		silent := !torn && !harmless && s.now-r.failedAt >= s.t.SickSpan
		if sure || ((silent || float64(fails) >= s.failing.Run(least)) && !s.mayPass(ep.dest, r)) {
			before := r.health()
			s.strike(r)
			s.noteHealth(r, before, "failures in a row")
			ep.narrow(s.now)
		}
	} else if s.now >= r.trialAt {
		r.backoff = min(2*r.backoff, s.t.TrialLast)
		r.trialAt = s.now + r.backoff/2 + time.Duration(s.rng.Int64N(int64(r.backoff)))
	}
}

// mayPass tells that a call which was out when the run of failures began may still pass: a few calls that
// break off at once come before the passes of their time, and are no outage.
func (s *Sender) mayPass(d *destination, r *route) bool {
	return slices.ContainsFunc(d.calls, func(c *call) bool {
		return c.ep.route == r && c.sentAt <= r.failedAt && seconds(s.now-c.sentAt) <= 2*c.ep.usual
	})
}

// strike opens an outage. The allowance starts anywhere below one call, or the senders of a large fleet, most
// of which hold a single message, would all try at the same age of the outage.
func (s *Sender) strike(r *route) {
	if !r.recovering() {
		r.struckAt, r.demand = s.now, 1
		r.gap.Struck()
		r.tokens, r.tokensAt = s.rng.Float64(), s.now
	}
	if r.coldFrom > 0 {
		r.gap.Stays() // it has been out
	}
	r.sick, r.backoff, r.coldFrom = true, s.t.TrialFirst, 0
	r.trialAt = s.now + r.backoff
}

// passed notes a delivered call: the end of an outage, a step of the recovery, or plain health.
func (s *Sender) passed(r *route, work float64) {
	if !r.sick && r.fails == 0 {
		s.failing.Passed()
	}
	r.rest, r.fails = 0, 0
	if gap := seconds(s.now - r.passedAt); gap > 1 {
		r.busiest = max(r.busiest, r.passed/gap)
		r.passed, r.passedAt = 0, s.now
	}
	r.passed++
	r.part.Passed(s.now, s.cfg.Fleet, r.left)
	brief := r.gap.Passed(s.now, work)
	before := r.health()
	switch {
	case r.sick && s.now < r.toldUntil: // told to be left alone: the call was out before
	case r.sick && brief:
		r.sick = false
	case r.sick:
		r.sick, r.coldFrom = false, r.known.Since(s.now, r.struckAt)
	case r.coldFrom > 0 && s.now-r.coldFrom > s.cfg.WarmWithin:
		r.coldFrom = 0
	}
	s.noteHealth(r, before, "a call passed")
}

// capacity is a careful guess of what the route takes a second from all senders when it is warm.
func (s *Sender) capacity(r *route) float64 {
	switch {
	case r.limit > 0:
		return r.limit
	case r.weight > 0 && s.cfg.RoughWeights:
		return r.weight / s.t.RoughWeight
	case r.weight > 0:
		return r.weight
	}
	return max(r.busiest, 1)
}

// pace is how many calls a second this sender may send on the route, and whether it is so bound. Of the cold
// budget it takes what passed of its calls before, or what its own demand since the outage began calls for:
// over all senders that sums up to what a warm one can do. An even share starves the few senders of a large
// fleet that hold messages, and wastes what the others leave.
func (s *Sender) pace(r *route) (rate float64, bound bool) {
	share := s.cfg.ColdFrom
	if r.coldFrom > 0 && s.cfg.WarmWithin > 0 {
		share += (1 - share) * min(1, seconds(s.now-r.coldFrom)/seconds(s.cfg.WarmWithin))
	}
	return s.paceAt(r, share)
}

// fastest is what the pace grows to by time alone.
func (s *Sender) fastest(r *route) float64 {
	rate, _ := s.paceAt(r, 1)
	return rate
}

// paceAt is the pace when a route on its way back has a share of its capacity.
func (s *Sender) paceAt(r *route, share float64) (rate float64, bound bool) {
	if r.recovering() && s.cfg.Fall > 0 && s.cfg.FallMultiple > 0 {
		even := s.capacity(r) / float64(s.cfg.Fleet)
		own := r.demand / max(seconds(s.now-r.struckAt), seconds(s.cfg.Fall))
		part := max(s.t.KnowingShare*even, s.t.DemandShare*min(own, s.capacity(r)), r.gap.Before())
		part = r.known.Cold(s.now, part, s.t.KnowingShare*s.capacity(r))
		return s.cfg.FallMultiple * share * part, true
	}
	limit := s.limit(r)
	return r.known.Part(s.now, &r.part) * limit, limit > 0
}

// limit is what the route takes a second from all senders as far as it is told, 0 for no limit.
func (s *Sender) limit(r *route) float64 {
	if !r.reported && r.weight > 0 {
		return r.weight
	}
	return r.limit
}

// rate is how many messages a second came here for the destination of late.
func (s *Sender) rate(d *destination) float64 {
	return d.came * math.Exp(-seconds(s.now-d.cameAt)/seconds(s.t.DemandSpan)) / seconds(s.t.DemandSpan)
}

// refill brings the token bucket up to now. On the way back from an outage nothing is saved up for a burst.
func (s *Sender) refill(r *route) {
	rate, bound := s.pace(r)
	if !bound {
		r.tokens, r.tokensAt = 1, s.now
		return
	}
	most := max(1, s.t.BurstSpan*rate)
	if r.recovering() {
		most = 1
	}
	r.tokens = min(r.tokens+rate*seconds(s.now-r.tokensAt), most)
	r.tokensAt = s.now
}

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

// lendable tells that a slot is left for a spare message.
func (s *Sender) lendable() bool {
	slots := float64(s.cfg.Slots)
	return slots <= 0 ||
		(float64(s.busy) < s.t.SpareRoom*slots && float64(s.lent) < max(1, s.t.SpareShare*slots))
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
	if r.recovering() { // the others weigh little at a warm one
		r.tokens -= s.t.ItemWeight * float64(len(group)-1)
	}
	if e.sentAt > 0 {
		e.gap = s.ease(e.gap, seconds(s.now-e.sentAt))
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

// probed takes the result of a probe as it takes that of a call.
func (s *Sender) probed(e Probed) {
	if ep := s.eps[e.Endpoint]; ep != nil {
		s.report(ep.route, e.Report)
		s.judge(&call{ep: ep, trial: true}, Ended{Outcome: e.Outcome, Took: e.Took}, false)
		s.stir(ep.dest)
	}
}
