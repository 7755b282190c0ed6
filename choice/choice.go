// Package choice decides for a delivery node: refuse or admit a message, when to send it, to which endpoint,
// whether to try again, when to give up. Its interface (Settings, Events, Actions) is in types.go and its
// bare state in state.go. The decisions are in files of their own: admission in gate.go, what a failure says
// of a route in health.go, the way back from an outage in slowstart.go, limits in limit.go, slots in
// slots.go, what goes out next in release.go, and the life of a message here; tuned values are in tuned.go.
// A Sender is a deterministic state machine: time comes with Step, randomness from the seed, and it shares
// nothing with other senders.
package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"starlingusher/fleet"
)

// New returns the decision maker of a delivery node that has just started.
func New(cfg Settings, seed uint64) *Sender {
	s := &Sender{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		dests: map[int]*destination{}, eps: map[string]*endpoint{}, msgs: map[string]*message{},
		lines: map[string][]*message{}, rests: map[string]time.Duration{}, sent: map[attempt]sending{},
		undecided: map[attempt]undecided{},
		parted:    map[string]time.Duration{},
		tenants:   make([]fleet.Quota, len(cfg.Tenants)), crowded: map[int]time.Duration{},
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
		case Outage:
			s.outBefore(e)
		case Heard:
			s.heard(e)
		case Arrived:
			s.arrived(e)
		case Resumed:
			s.resumed(e)
		case Ended:
			s.ended(e)
		case Stood:
			s.stood(e)
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
	m.mayBeOver = e.MayBeOver
	late := m.touched && m.class.Effect == Keyed && s.now >= s.windowEnd(m)
	if m.mayBeOver || (m.touched && m.class.Effect == Unsafe) || late || s.spent(m) {
		s.giveUp(m)
		return
	}
	// A spare message that was not tried yet in this life of its own may come again as it is.
	tooLate := m.spare && m.attempts == 0 && s.now >= m.dropDead-s.t.EndMargin-2*s.cfg.Tick
	if s.now >= m.dropDead-s.t.EndMargin && !tooLate {
		s.giveUp(m)
		return
	}
	if tooLate || (m.spare && !s.admitSpare(d, m)) {
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
	if m.mayBeOver {
		return false
	}
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
	if e.Settled {
		s.settled(key, e)
		return
	}
	m, c := s.sent[key].m, s.sent[key].c
	if c == nil {
		return
	}
	delete(s.sent, key)
	if c.left--; c.left == 0 {
		s.hangEnd(c)
	}
	worn := e.worn()
	if worn {
		s.wornTil = s.now + s.t.WornSpan
	}
	if e.Outcome == Cut || e.Outcome == NoRoute {
		c.ep.route.giveBack()
	}
	lone := worn || (e.Outcome == TooSlow || e.Outcome == Undone) && s.lost(c) ||
		e.Outcome == TooSlow && s.now >= m.dropDead-s.t.EndMargin && c.ep.route.gap.PassedSince(c.sentAt)
	s.report(c.ep.route, e.Report)
	// An answer that may be another call's must not end an outage.
	judged := !e.Undecided || (!c.trial && c.ep.route.suspectAt == 0)
	if judged {
		s.judge(c, e, lone)
	} else if e.Wait > 0 {
		c.ep.route.told(s.now + e.Wait)
	}
	s.inherit(c.ep)
	s.stir(c.ep.dest)
	if !m.over {
		s.sample(m, c, e.Outcome, lone)
	}
	if e.Undecided {
		u := undecided{m: m, c: c, outcome: e.Outcome, closed: e.Closed}
		if !judged {
			u.ended = &e
		}
		s.undecided[key] = u
		return
	}
	s.returned(m, c, e)
}

// worn tells of a kept connection that broke under a call. It tells of the connection, not of its
// destination; so does silence where calls that were sent later have passed, or any since, if its message had
// no more time.
func (e Ended) worn() bool { return e.Kept && e.Outcome == Cut }

// settled takes the final outcome of an attempt that was undecided and turned out to be another. The route is
// judged by it too: its server may have refused the call, or asked for a wait.
func (s *Sender) settled(key attempt, e Ended) {
	u, ok := s.undecided[key]
	if !ok {
		return
	}
	delete(s.undecided, key)
	if e.Outcome != u.outcome && !u.c.corrected {
		u.c.corrected, u.c.judged = true, false
		s.report(u.c.ep.route, e.Report)
		if !isUnproven(u.outcome, e.Outcome) {
			s.judge(u.c, e, e.worn())
		}
		s.stir(u.c.ep.dest)
	} else if e.Wait > 0 {
		u.c.ep.route.told(s.now + e.Wait)
	}
	s.returned(u.m, u.c, e)
}

// isUnproven tells whether an attempt that seemed to pass ended with no proof of that. That says nothing of
// its endpoint: one that hangs shows in calls that time out.
func isUnproven(before, after Outcome) bool { return before == Pass && after == Cut }

// stood takes it that the outcome of an attempt that was undecided stands.
func (s *Sender) stood(e Stood) {
	key := attempt{e.ID, e.Attempt}
	u, ok := s.undecided[key]
	if !ok {
		return
	}
	delete(s.undecided, key)
	if u.ended != nil {
		s.judge(u.c, *u.ended, false)
		s.stir(u.c.ep.dest)
	}
	s.giveBack(u.c.ep) // the connection has waited for quiet, and may stand in others' way now
	s.returned(u.m, u.c, Ended{Outcome: u.outcome, Closed: u.closed})
}

// returned notes what became of a message in an attempt.
func (s *Sender) returned(m *message, c *call, e Ended) {
	m.out--
	ran := e.Outcome == Fault || e.Outcome == TooSlow || e.Outcome == Cut || e.Outcome == Undone
	if ran && m.class.Effect != Safe && (!m.touched || c.sentAt < m.mayRun) {
		m.touched, m.mayRun, m.zone = true, c.sentAt, c.ep.zone
	}
	m.mayBeOver = m.mayBeOver || (!e.Closed && e.Replies.Has(ReplyOver))
	if ran && e.Outcome != Fault && m.key != "" {
		s.restKey(m.key)
	}
	if m.over {
		s.trimLine(m.key)
		return // ended meanwhile; its turn and its key had to hear of the outcome all the same
	}
	switch {
	case e.Closed || e.Outcome == Pass:
		s.finish(m, nil)
	case m.out > 0: // another copy is out and may still pass
	case s.now >= m.dropDead-s.t.EndMargin, s.spent(m),
		m.mayBeOver, e.inDoubt(ran).Next(m.class.Effect) == EndOnly:
		s.giveUp(m)
	default:
		if !e.worn() && (ran || e.Outcome == NoRoute) {
			m.notBefore = s.now + s.t.RetryRest<<min(m.attempts, 16)
		}
		s.enqueue(m)
		s.lookAgain(m)
	}
}

// inDoubt are the replies that an attempt may have had which did not pass. One that is proven not to have
// run has only those it names.
func (e Ended) inDoubt(ran bool) Replies {
	if !ran {
		return e.Replies | RepliesOf(ReplyRefused)
	}
	return e.Replies | RepliesOf(ReplyNone)
}

func (s *Sender) spent(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}
