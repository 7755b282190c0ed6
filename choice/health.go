package choice

import (
	"slices"
	"time"

	"starlingusher/outage"
)

// Health is what a Sender believes of a route.
type Health uint8

// The states of a route.
const (
	Healthy    Health = iota
	Suspect           // it failed, and no pass has followed: it may be out
	Out               // an outage: single trials only
	Recovering        // back from an outage, in slow start
	Refusing          // it refused with no wait told, and no pass has followed: shut, or at its limit
)

var healthNames = [...]string{"healthy", "suspect", "out", "recovering", "refusing"}

// String names the state.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "unknown"
}

// HealthChange is a change of what a Sender believes of a route.
type HealthChange struct {
	Dest     int
	Endpoint string // empty unless the endpoint is a route apart
	From, To Health
	Since    time.Duration // the first failure, or where To is Recovering the first pass; 0 for Healthy
	Reason   string
	Failures int           // in a row, at the time of the change
	Failing  time.Duration // since the first of them
	Rate     float64       // calls a second that slow start allows this sender now; 0 where none binds
}

// HealthChanges returns the changes that the last Step made, in order. It decides nothing.
func (s *Sender) HealthChanges() []HealthChange { return s.healthChanges }

// health is the state that the fields of a route say.
func (r *route) health() Health {
	switch {
	case r.sick:
		return Out
	case r.coldFrom > 0:
		return Recovering
	case r.suspectAt > 0:
		return Suspect
	case r.refusals.waitless:
		return Refusing
	}
	return Healthy
}

// noteHealth records a change of a route's health from what it was before.
func (s *Sender) noteHealth(r *route, before Health, reason string) {
	after := r.health()
	if before == after {
		return
	}
	change := HealthChange{
		Dest: r.dest, Endpoint: r.endpoint, From: before, To: after, Reason: reason, Failures: r.fails,
	}
	switch after {
	case Suspect, Out:
		change.Since = r.struckAt
	case Recovering:
		change.Since = r.coldFrom
	case Refusing:
		change.Since = r.refusals.since
	}
	if r.fails > 0 {
		change.Failing = s.now - r.failedAt
	}
	if rate, bound := s.pace(r); bound && r.recovering() {
		change.Rate = rate
	}
	s.healthChanges = append(s.healthChanges, change)
}

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

// judge updates the health of an endpoint and its route from a call's outcome. One that tells of its
// connection alone says nothing of them, nor do the further messages of the call: each of ten that were
// refused together halved the part, and each of ten that broke off together was a failure.
func (s *Sender) judge(c *call, e Ended, lone bool) {
	ep, r, took := c.ep, c.ep.route, max(seconds(e.Took), seconds(s.t.FloorResponse))
	if c.trial {
		r.trial = false
	}
	alone := lone && !e.Kept && r.gap.PassedSince(s.now-s.t.SuspectSpan)
	if !alone && (failed(e) || s.calledOffLate(c, e)) {
		s.suspect(r)
	}
	if e.Outcome == NoRoom && !c.judged {
		s.refused(r, e.Wait)
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
		s.passed(r, 1+s.t.ItemWeight*float64(len(c.sends)-1), c.sentAt)
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

// outBefore takes over what an earlier life knew of a route. Whether it has come back meanwhile, and when,
// is not known: the way back begins with the first call that passes.
func (s *Sender) outBefore(e Outage) {
	r := s.route(e.Dest, e.Endpoint)
	if r == nil || r.recovering() || e.Health == Healthy {
		return
	}
	since := max(min(e.Since, s.now), 1)
	if e.Health == Recovering && s.now-since > s.cfg.WarmWithin {
		return
	}
	if e.Health == Refusing { // as young as it is now, it may be of a limit that was busy for a moment
		r.refusals = refusals{since: since, waitless: true, bindAt: max(e.Since+outage.Shortest, 1)}
		s.noteHealth(r, Healthy, "known before the restart")
		return
	}
	s.enterSlowStart(r)
	r.struckAt = since
	if e.Health == Recovering {
		r.coldFrom = since
	} else {
		r.suspectAt, r.doubted, r.tried = max(min(since, s.now-s.t.SuspectSpan-1), 1), true, true
	}
	s.noteHealth(r, Healthy, "known before the restart")
}

// failed tells that an outcome is that of a call that failed, whatever the reason.
func failed(e Ended) bool {
	return e.Outcome == Fault || e.Outcome == TooSlow || e.Outcome == NoRoute || e.Outcome == Cut
}

// calledOffLate tells that a call was called off which had been out for far longer than usual: its server
// may hang.
func (s *Sender) calledOffLate(c *call, e Ended) bool {
	return e.Outcome == Undone && seconds(s.now-c.sentAt) > s.patience(c)
}

// suspect notes a call that failed and that no pass has answered yet: one failure is no outage, but a server
// that returns counts on everybody who met one.
func (s *Sender) suspect(r *route) {
	if r.sick || r.coldFrom > 0 || r.suspectAt > 0 {
		return
	}
	before := r.health()
	r.suspectAt, r.tried = s.now, false
	s.noteHealth(r, before, "a call failed")
	s.doubt(r)
}

// refused notes a refusal that no pass has answered yet. Where another one follows after a while the server
// may be shut, rather than at its limit. A wait that was told is no silence, and a limit that was told to be
// much lower explains the refusals that follow. The first one slows nothing here; a next life, which can't
// tell how often the server was met since, takes it for a sign of an outage once one has its shortest length.
func (s *Sender) refused(r *route, wait time.Duration) {
	switch {
	case r.loweredAt > 0 && s.now-r.loweredAt < s.t.LoweredSpan:
	case r.refusals.since == 0:
		before := r.health()
		r.refusals = refusals{since: s.now + wait, waitless: wait == 0}
		s.noteHealth(r, before, "a call was refused")
	case s.now-r.refusals.since >= s.t.RefusedSpan:
		r.refusals.shut = true
	}
}

// doubt has slow start pace a route at which a call failed, or which may be shut. So soon after a pass no
// outage can be over. It is not struck: a crowded limit refuses as much. Where there is no limit, the window
// tells of refusals.
func (s *Sender) doubt(r *route) {
	told := r.refusals
	refused := (told.shut && !r.unlimited()) || (told.bindAt > 0 && s.now >= told.bindAt)
	if r.recovering() || (r.suspectAt == 0 && !refused) || r.gap.PassedSince(s.now-outage.Shortest) {
		return
	}
	before := r.health()
	r.doubted = true
	s.enterSlowStart(r)
	if r.suspectAt == 0 {
		r.suspectAt = told.since
	} else if !r.tried { // a single call may follow a failure at once, to tell an error from an outage
		r.retry, r.tokens = true, 1
	}
	s.noteHealth(r, before, "nothing but refusals")
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
		s.enterSlowStart(r)
	}
	if r.coldFrom > 0 {
		r.gap.Stays() // it has been out
	}
	r.suspectAt, r.doubted = 0, false
	r.sick, r.backoff, r.coldFrom = true, s.t.TrialFirst, 0
	r.trialAt = s.now + r.backoff
}

// enterSlowStart begins what slow start goes by.
func (s *Sender) enterSlowStart(r *route) {
	r.struckAt, r.demand = s.now, 1
	r.gap.Struck()
	r.allowance = s.rng.Float64()
	r.tokens, r.tokensAt = r.allowance, s.now
}

// passed notes a delivered call: the end of an outage, a step of the recovery, or plain health.
func (s *Sender) passed(r *route, work float64, sentAt time.Duration) {
	s.doubt(r)
	if !r.sick && r.fails == 0 {
		s.failing.Passed()
	}
	before := r.health()
	r.rest, r.fails, r.refusals = 0, 0, refusals{}
	if gap := seconds(s.now - r.passedAt); gap > 1 {
		r.busiest = max(r.busiest, r.passed/gap)
		r.passed, r.passedAt = 0, s.now
	}
	r.passed++
	r.part.Passed(s.now, s.cfg.Fleet, r.left)
	brief := r.gap.Passed(s.now, work)
	switch {
	case r.sick && s.now < r.toldUntil: // told to be left alone: the call was out before
	case r.sick && brief:
		r.sick = false
	case r.sick:
		r.sick, r.coldFrom = false, r.known.Since(s.now, r.struckAt)
	case r.doubted && sentAt-r.suspectAt > s.t.SuspectSpan:
		r.suspectAt, r.doubted, r.coldFrom = 0, false, s.now
	case r.suspectAt > 0:
		r.suspectAt, r.doubted = 0, false
	case r.coldFrom > 0 && s.now-r.coldFrom > s.cfg.WarmWithin:
		r.coldFrom = 0
	}
	s.noteHealth(r, before, "a call passed")
}

// probed takes the result of a probe as it takes that of a call.
func (s *Sender) probed(e Probed) {
	if ep := s.eps[e.Endpoint]; ep != nil {
		s.report(ep.route, e.Report)
		s.judge(&call{ep: ep, trial: true}, Ended{Outcome: e.Outcome, Took: e.Took}, false)
		s.stir(ep.dest)
	}
}
