package delivery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"starlingusher/choice"
)

type found struct {
	end End
	err error
}

func newEnd(p *past) End {
	return End{ID: p.id, State: p.ended.state, After: p.ended.after, Code: p.ended.code, Err: p.lastErr, of: p}
}

// Do hands a message in and waits for its end. A message that is refused on arrival ends as Returned. One that the
// engine has already, by its ID and its content, is not done twice: Do waits for the end of the first, or returns the one
// it has; another one of that ID is not taken on. When
// ctx ends first, Do returns an error that wraps ErrWaitOver and ctx's own, and the message goes on: its end is then
// kept for Ends and Acknowledge. When the engine stops first the error wraps ErrWaitOver and ErrStopped, and a message
// that was taken on goes on in the next life; ErrStopped alone says that it was not handed in. It may be called by many
// goroutines at a time.
func (n *Engine) Do(ctx context.Context, front string, m Message) (End, error) {
	f := n.fronts[front]
	if f == nil {
		return End{}, fmt.Errorf("%w: %q", ErrUnknownFront, front)
	}
	a := arrival{Message: m, front: f, end: make(chan End, 1)}
	select {
	case <-n.stopping:
		return End{}, ErrStopped
	case n.events <- a:
	case <-ctx.Done():
		return End{ID: m.ID, State: Returned, Err: ctx.Err()}, nil // it was not even handed in
	}
	select {
	case e := <-a.end:
		return e, invalid(e)
	case <-n.over:
		return n.afterOver(a)
	case <-ctx.Done():
	}
	bye := forsaken{ref: ref(front, m.ID), end: a.end, done: make(chan struct{})}
	select {
	case n.events <- bye:
	case <-n.over:
		return n.afterOver(a)
	}
	late := time.NewTimer(byeTime)
	defer late.Stop()
	select {
	case <-bye.done:
	case <-n.over:
	case <-late.C:
	}
	select {
	case e := <-a.end: // it came just in time
		return e, invalid(e)
	default:
		return End{}, fmt.Errorf("%w: %w", ErrWaitOver, context.Cause(ctx))
	}
}

// invalid is the error in an end that is none.
func invalid(e End) error {
	if errors.Is(e.Err, ErrInvalid) {
		return e.Err
	}
	return nil
}

// afterOver is the end of a message if the loop gave it before it ended. Otherwise it may be in the journal, with a call
// of it cut off: nobody may take it for not done.
func (n *Engine) afterOver(a arrival) (End, error) {
	select {
	case e := <-a.end:
		return e, invalid(e)
	default:
		return End{}, fmt.Errorf("%w: %w", ErrWaitOver, ErrStopped)
	}
}

// Lookup returns the end of a message of the front, ErrPending if it has none yet, or ErrMissing.
func (n *Engine) Lookup(ctx context.Context, front, id string) (End, error) {
	all, err := n.ask(ctx, front, question{ids: []string{id}})
	if err != nil {
		return End{}, err
	}
	return all[0].end, all[0].err
}

// Ends returns all ends of a front that is without a sink that wait to be acknowledged, in no order.
func (n *Engine) Ends(ctx context.Context, front string) ([]End, error) {
	all, err := n.ask(ctx, front, question{})
	if err != nil {
		return nil, err
	}
	ends := make([]End, 0, len(all))
	for _, f := range all {
		ends = append(ends, f.end)
	}
	return ends, nil
}

// Acknowledge says that the application has the ends of these messages: the engine forgets them. Of those that have
// not ended, or are not known, nothing changes.
func (n *Engine) Acknowledge(ctx context.Context, front string, ids ...string) error {
	if len(ids) == 0 {
		return nil
	}
	_, err := n.ask(ctx, front, question{ids: ids, ack: true})
	return err
}

func (n *Engine) ask(ctx context.Context, front string, q question) ([]found, error) {
	if q.front = n.fronts[front]; q.front == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownFront, front)
	}
	return askLoop(ctx, n, func(reply chan []found) any {
		q.reply = reply
		return q
	})
}

// answer looks ends up, and forgets those that are acknowledged once that is written.
func (n *Engine) answer(q question) {
	var all []found
	if len(q.ids) == 0 {
		for _, p := range n.messages {
			if p.front == q.front.Name && p.ended != nil {
				all = append(all, found{end: newEnd(p)})
			}
		}
	}
	for _, id := range q.ids {
		switch p := n.messages[ref(q.front.Name, id)]; {
		case p == nil:
			all = append(all, found{err: ErrMissing})
		case p.ended == nil:
			all = append(all, found{err: ErrPending})
		default:
			all = append(all, found{end: newEnd(p)})
			if q.ack && q.front.hasTold(p) {
				n.forget(p)
			}
		}
	}
	n.acts = append(n.acts, act{do: func() { q.reply <- all }})
}

// forget ends all that the engine has of a message.
func (n *Engine) forget(p *past) {
	if p.home.live[p.seq] != p {
		return
	}
	if p.ended == nil {
		*n.count(p)--
	}
	if name := ref(p.front, p.id); n.messages[name] == p {
		delete(n.messages, name)
	}
	p.home.add(record(recOver, p.seq))
}

// done ends a message by what its partner answered.
func (n *Engine) done(m *past, r Result) {
	e := ending{state: Delivered}
	switch {
	case r.Refused:
		e = ending{state: Refused, code: r.Code}
	case r.Outcome != choice.Pass:
		e = ending{state: Returned} // nobody wants it any more
	}
	n.finish(m, e, r.Reply, e.state != Returned)
}

// finish writes the final answer of a message and gives it to all who wait for it. wanted says that it is owed if
// nobody waits.
func (n *Engine) finish(p *past, e ending, reply any, wanted bool) {
	f := n.fronts[p.front]
	if e.state == Returned && f.NoRetry && !p.again() {
		e = ending{state: Failed}
	}
	waiters := p.waiters
	p.waiters = nil
	n.logEnd(p, e)
	n.note(p, e)
	wanted = wanted && !p.again()
	// A sink hears of what did not get through; without one all ends are kept.
	owed := wanted && (f.Sink == nil || e.state != Delivered)
	if p.keep || (owed && len(waiters) == 0) {
		n.held--
		e.content = n.digester.ofPast(p)
		p.home.add(endedRecord(p.seq, e))
	} else {
		n.forgetEnded(p, e.state)
		p.ended = &e
	}
	if len(waiters) == 0 && (f.Sink == nil || !owed) {
		return // nobody is told: a delivery of a front with a sink, or an end to be asked for
	}
	end := newEnd(p)
	end.Reply = reply
	tell := act{do: func() {
		for _, w := range waiters {
			w <- end
		}
		if len(waiters) == 0 {
			f.owe(end)
		}
	}}
	if len(waiters) == 0 {
		tell.unguarded = p.deadline // a next life would not send it either, and tell the same
	}
	n.acts = append(n.acts, tell)
}

// note tells the keeper of an end before it is written.
func (n *Engine) note(p *past, e ending) {
	switch {
	case n.cfg.Keeper == nil:
	case p.again() && e.state == Delivered:
		n.late = append(n.late, p.ref())
	case p.again() || e.state == Failed || (e.state == Refused && n.fronts[p.front].Sink != nil):
		n.lost = append(n.lost, n.lostOf(p, e))
	}
}

func (n *Engine) lostOf(p *past, e ending) Lost {
	now := time.Now()
	l := Lost{Ref: p.ref(), Key: p.key, Class: p.class, Tenant: p.tenant, Dest: p.dest, Body: p.body, State: e.state, Code: e.code,
		Due: p.deadline, Ended: now, Wait: p.wait, Again: p.again()}
	if w := n.waits[p.dest]; w != nil {
		if until := n.start.Add(time.Duration(w.Load())); until.After(l.Wait) {
			l.Wait = until
		}
	}
	if !l.Wait.After(now) {
		l.Wait = time.Time{}
	}
	for _, s := range p.sends {
		tried := Tried{At: s.at, Endpoint: s.endpoint, Zone: s.zone, Outcome: s.outcome, Known: s.known, NotRun: s.notRun, MayBeOver: s.mayBeOver, Err: s.err}
		if s.isUnknown(now) {
			tried.Err = unknownAttempt
		}
		l.Tried = append(l.Tried, tried)
	}
	return l
}

// end gives a message the final answer that the module has decided on: to its client if that still waits to hear
// whether it is taken on, and by its end otherwise.
func (n *Engine) end(id string, e ending, why choice.Refusal, fresh newcomers) {
	p := n.message(id)
	if p == nil || p.ended != nil {
		return
	}
	if all, ok := fresh[p.num()]; ok {
		delete(fresh, p.num())
		n.logRefusal(p.id, p.class, p.dest, why.String(), e.after)
		n.noteRefused(p.front, p.id)
		n.forget(p)
		reply := Answer{Refused: true, After: e.after}
		if e.state == Failed {
			reply = messageFailed
		}
		n.acts = append(n.acts, act{do: func() {
			for _, a := range all {
				if a.end != nil {
					a.end <- End{ID: p.id, State: e.state, After: e.after}
				} else {
					a.reply <- reply
				}
			}
		}})
		return
	}
	n.finish(p, e, nil, true)
}
