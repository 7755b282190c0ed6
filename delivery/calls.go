package delivery

import (
	"context"
	"errors"
	"sync"
	"time"

	"starlingusher/choice"
)

// errNoResult is of a message that its carrier tells nothing of: it may have run.
var errNoResult = errors.New("the carrier does not tell what became of it")

// attempt names a call that is out, by the number of its message: an id may come again while a call
// under it is still out.
type attempt struct {
	num uint64
	n   int
}

// outCall is a call that is out, as one of its messages sees it. Calling it off ends it for all of them: the module
// calls off whole calls.
type outCall struct {
	m         *past
	cancel    context.CancelFunc
	undecided *called // its answer may be another call's; its slot is free. Nil for one that has no answer
}

// outgoing is a call that is about to be made, with one message or several.
type outgoing struct {
	carrier  Carrier
	endpoint *Endpoint
	legs     []leg
	began    time.Time
	times    *Times     // of the call, where it is recorded
	telling  sync.Mutex // held until the loop was told how the call went
}

// leg is a message's part of a call.
type leg struct {
	attempt
	m *past
	Attempt
}

// isOut tells whether an attempt is still this engine's: one that is undecided when the engine ends is left to the next life, and what settles it
// comes too late.
func (n *Engine) isOut(a attempt) bool {
	_, out := n.out[a]
	return out
}

// called notes the outcome of a call. Without a record of it, the attempt may have run. One that is undecided stays out until that is
// settled, or the outcome stands.
func (n *Engine) called(e *called) choice.Ended {
	out := n.out[e.attempt]
	m, before := out.m, out.undecided != nil
	ended := n.endedBy(m, e)
	ended.Settled = before
	if e.times != nil && !before {
		n.recordCall(m, *e, ended.Outcome)
	}
	if e.Wait > 0 {
		n.toldWait(m, e)
	}
	n.noteReplies(m, e)
	if e.Undecided {
		n.logUndecided(m, e)
		out.undecided = e
		n.out[e.attempt] = out
		n.unsettled++
		return ended
	}
	n.decided(out, e, ended)
	return ended
}

// noteReplies journals that an attempt may have been answered that its message is over, or that it was not after all: a next life must not send such
// a message again.
func (n *Engine) noteReplies(m *past, e *called) {
	if e.n >= len(m.sends) || (e.Closed && !e.Undecided) {
		return // the message has ended, or ends now
	}
	if noted := &m.sends[e.n]; noted.mayBeOver != e.Replies.Has(choice.ReplyOver) {
		m.home.add(repliesRecord(m.seq, e.n, e.Replies))
	}
}

// stands notes that the outcome of an undecided attempt stands.
func (n *Engine) stands(a attempt) choice.Stood {
	out := n.out[a]
	n.decided(out, out.undecided, n.endedBy(out.m, out.undecided))
	return choice.Stood{ID: out.m.name(), Attempt: a.n}
}

// endedBy is the module's event of an outcome.
func (n *Engine) endedBy(m *past, e *called) choice.Ended {
	return choice.Ended{
		ID: m.name(), Attempt: e.n, Endpoint: e.endpoint.ID, Outcome: e.outcome(), Took: e.took, Closed: e.Closed,
		Wait: e.Wait, NoSlot: e.NoSlot, Report: e.Report, Kept: e.Kept, HungUp: e.HungUp, Undecided: e.Undecided,
		Replies: e.Replies,
	}
}

// toldWait notes that an endpoint asked to be left alone.
func (n *Engine) toldWait(m *past, e *called) {
	until := time.Now().Add(e.Wait)
	m.wait = until
	e.endpoint.Wait(until)
	n.journal.wait(n.waiterOf(e.endpoint, m.dest), until)
}

// decided notes what became of an attempt.
func (n *Engine) decided(out outCall, e *called, ended choice.Ended) {
	delete(n.out, e.attempt)
	out.cancel()
	if out.undecided != nil {
		n.unsettled--
	}
	m, outcome := out.m, ended.Outcome
	if e.Err != nil {
		m.lastErr = e.Err
	}
	if e.n < len(m.sends) { // the journal keeps none of a message that has ended
		s := &m.sends[e.n]
		s.known, s.outcome, s.notRun = true, outcome, s.notRun || notRun(outcome)
		if e.Err != nil {
			s.err = e.Err.Error()
		}
	}
	ominous := n.sender.Ominous(m.dest, ended)
	n.logAttempt(m, *e, outcome, ominous)
	if n.cfg.Shared != nil && e.first {
		n.sight(*e, m.dest, outcome, ominous)
	}
	switch outcome {
	case choice.NoRoom, choice.NoRoute, choice.Stale:
		kind := recTurnedAway
		if ominous {
			kind = recNotRun
		}
		m.home.add(outcomeRecord(kind, m.seq, e.n))
	default:
		if ominous {
			m.home.add(outcomeRecord(recFailed, m.seq, e.n))
		}
	}
	switch {
	case e.Closed && m.ended == nil:
		n.done(m, e.Result)
	case e.Closed && outcome == choice.Pass && !e.Refused && n.cfg.Keeper != nil && m.ended.state != Delivered:
		n.late = append(n.late, m.ref())
	}
}

// newCall is a call to the endpoint of its first Send, as yet without messages.
func (n *Engine) newCall(a choice.Send) *outgoing {
	e := n.eps[a.Endpoint]
	if e == nil {
		// The list has just lost it; a call there is Stale, and so proven not to have run.
		e = NewEndpoint(a.Endpoint, "")
		e.Close()
	}
	return &outgoing{carrier: n.fronts[n.message(a.ID).front].Carrier, endpoint: e}
}

// leg journals an attempt; its call is made once that is written.
func (n *Engine) leg(a choice.Send, e *Endpoint) leg {
	p := n.message(a.ID)
	name, now, endpoint := attempt{p.num(), len(p.sends)}, time.Now(), ""
	if n.cfg.Keeper != nil {
		endpoint = e.ID
	}
	p.home.add(attemptRecord(p.seq, p.home.clock.stamp(now), e.zone, endpoint))
	out := Attempt{ID: p.id, Key: p.key, Class: p.class, Dest: p.dest, Ref: p.ref(), Body: p.body, Endpoint: e,
		NotPast: n.wall(a.NotPast), Fresh: a.Fresh, Number: name.n, Once: n.cfg.Settings.Classes[p.class].Effect == choice.Unsafe}
	if a.BeginBy > 0 {
		out.BeginBy = n.wall(a.BeginBy)
	}
	out.UndecidedFor = n.undecidedFor(p, now)
	return leg{name, p, out}
}

// undecidedFor is for how long an attempt of a message that begins now may stay undecided. What may be repeated has half of the time left for that, by its
// deadline and by the window in which repeats are dropped; for any other message there is nothing else to do. One for whose end others of its key wait
// has no time for that, and none has more than is left of the process.
func (n *Engine) undecidedFor(p *past, now time.Time) time.Duration {
	class := n.cfg.Settings.Classes[p.class]
	left := p.deadline.Sub(now)
	if !n.leaveBy.IsZero() {
		left = min(left, n.leaveBy.Sub(now))
	}
	switch {
	case class.Ordered && p.key != "":
		return 0
	case class.Effect == choice.Unsafe:
		return left
	case class.Effect == choice.Keyed:
		left = min(left, class.Window)
	}
	return left / 2
}

// begin makes a call.
func (n *Engine) begin(ctx context.Context, o *outgoing) {
	if n.cfg.Copies != nil && !n.mine(o) {
		n.notBegun(ctx, o)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	out := outCall{cancel: cancel}
	for _, l := range o.legs {
		out.m = l.m
		n.out[l.attempt] = out
	}
	if n.cfg.Shared != nil {
		to := n.waiterOf(o.endpoint, o.legs[0].m.dest)
		n.cfg.Shared.Sent(to.dest, to.endpoint)
	}
	if n.cfg.Recorder != nil {
		o.times = new(Times)
		o.legs[0].Times = o.times
	}
	n.work(func() { n.attempt(ctx, o) })
}

// attempt makes a call and tells the loop what came of it. Not by tell: the loop takes every call's end, also while the node leaves.
func (n *Engine) attempt(ctx context.Context, o *outgoing) {
	o.telling.Lock()
	defer o.telling.Unlock()
	o.began = time.Now()
	for i := range o.legs {
		o.legs[i].Settle = func(res *Result) { n.resolve(o, i, res) }
	}
	if len(o.legs) == 1 {
		n.events <- o.called(0, o.carrier.Attempt(ctx, o.legs[0].Attempt))
		return
	}
	all := make([]Attempt, len(o.legs))
	for i, l := range o.legs {
		all[i] = l.Attempt
	}
	results := o.carrier.(Batcher).AttemptAll(ctx, all)
	for i := range all {
		res := Result{Outcome: choice.Cut, Err: errNoResult}
		if i < len(results) {
			res = results[i]
		}
		n.events <- o.called(i, res)
	}
}

// resolve tells the loop what came of an undecided attempt, after it was told that. After the loop has ended nobody takes it: the
// journal says that the attempt may have run.
func (n *Engine) resolve(o *outgoing, i int, res *Result) {
	o.telling.Lock()
	defer o.telling.Unlock()
	var e any = stood(o.legs[i].attempt)
	if res != nil {
		e = o.called(i, *res)
	}
	select {
	case n.events <- e:
	case <-n.quit:
	}
}

// called is the end of a call for one of its messages.
func (o *outgoing) called(i int, res Result) *called {
	took := time.Since(o.began)
	if !res.Heard.IsZero() {
		took = res.Heard.Sub(o.began) // an answer may be spoilt from there on, and take its time
	}
	e := &called{attempt: o.legs[i].attempt, endpoint: o.endpoint, Result: res, took: took, began: o.began, first: i == 0}
	if i == 0 {
		e.times = o.times
	}
	return e
}

// work has a call made by a worker that is idle, or by a new one. A call goes deep, and a goroutine of its own would
// grow its stack each time.
func (n *Engine) work(job func()) {
	select {
	case n.jobs <- job:
	default:
		n.calls.Go(func() {
			idle := time.NewTimer(workerIdle)
			defer idle.Stop()
			for {
				job()
				idle.Reset(workerIdle)
				select {
				case job = <-n.jobs:
				case <-idle.C:
					return
				case <-n.quit:
					return
				}
			}
		})
	}
}
