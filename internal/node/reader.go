package node

import (
	"time"

	"starlingusher/internal/node/pairing"
)

// This file is what the reader of a connection does with what comes.

// The time for which a connection has to be quiet until a response that may be a copy counts: a multiple of the usual time of a
// response, for the true one takes no longer.
const (
	quietFactor = 8
	leastQuiet  = 250 * time.Millisecond
	mostQuiet   = 2 * time.Second
	firstQuiet  = time.Second // where the usual time is not known
)

// read is the connection's reader. It ends with the connection.
func (p *pool) read(k *conn) {
	for p.readNext(k) {
	}
}

// readNext waits for what comes next, and tells whether the connection goes on.
func (p *pool) readNext(k *conn) bool {
	k.limit.N = maxAnswerHead + maxAnswerBody
	_, err := k.br.Peek(1)
	switch {
	case isTimeout(err):
		return p.timedOut(k)
	case err != nil:
		p.broken(k, err, answer{})
		return false
	}
	x, first := k.awaited()
	if x == nil {
		p.unasked(k, first)
		return false
	}
	r, err := k.readResponse(first, x.all)
	if err != nil {
		p.broken(k, err, r.answer)
		return false
	}
	return p.received(k, r)
}

// timedOut notes that the time of a connection at rest is over.
func (p *pool) timedOut(k *conn) bool {
	k.mu.Lock()
	x, u := k.call, k.undecided
	k.mu.Unlock()
	switch {
	case x != nil:
		return true // a call took it just now, and the deadline is gone
	case u == nil:
		p.broken(k, errIdle, answer{})
		return false
	case k.hasUnread():
		return k.SetReadDeadline(time.Time{}) == nil
	}
	return p.quiet(k)
}

// quiet notes that nothing followed a response that might have been a copy.
func (p *pool) quiet(k *conn) bool {
	k.mu.Lock()
	u := k.undecided
	if u == nil || k.call != nil {
		k.mu.Unlock()
		return true // a call took it just now
	}
	if wait := u.until - time.Since(processStart); wait > 0 && !k.tracker.Settles() {
		defer k.mu.Unlock()
		k.doubted = true
		return k.SetReadDeadline(time.Now().Add(wait)) == nil
	}
	k.undecided, k.doubted = nil, false
	proven := k.tracker.Quiet()
	k.gone = !proven
	k.mu.Unlock()
	if !proven {
		p.unproven(k, u)
		return false
	}
	p.decided(k)
	p.give(u.endpoint, k)
	u.settled(nil)
	return true
}

// unproven ends a connection whose last response may be a copy, with no more to come that would tell: its call may have run.
func (p *pool) unproven(k *conn, u *call) {
	p.discard(k)
	p.mu.Lock()
	p.surpluses++
	count := p.surpluses
	p.mu.Unlock()
	p.log.Info("a response that may be a copy is not believed", "endpoint", k.endpoint, "message", u.message, "count", count)
	a := u.unknown(errUnproven, u.answer)
	u.settled(&a)
}

// received notes a response that came whole, and tells whether the connection goes on.
func (p *pool) received(k *conn, r response) bool {
	p.heard(k.endpoint, r.pairing)
	k.mu.Lock()
	x, u, previous := k.call, k.undecided, k.previous
	if x == nil && u == nil {
		k.mu.Unlock()
		p.broken(k, errAbandoned, r.answer)
		return false
	}
	k.previous, k.heard = nil, time.Now()
	r.pairing.Final = !r.goesOn
	if x != nil && x.ends {
		r.result.HungUp = false // as it was asked to
		if r.goesOn {
			p.passesOver(k.endpoint)
		}
	}
	verdict := k.tracker.Response(r.pairing)
	inOrder := x != nil && x.ends && verdict == pairing.Own
	more := k.br.Buffered() > 0
	switch verdict {
	case pairing.Own:
		k.call = nil
		k.gone = more || !r.goesOn || !k.tracker.Reusable()
	case pairing.MayBeCopy:
		if !r.goesOn {
			k.tracker.Last()
		}
		if k.call = nil; x != nil && x.once && !r.pairing.Pass {
			verdict = pairing.Ambiguous // as a refusal it would be repeated
		}
	case pairing.Corrected, pairing.Ambiguous, pairing.Surplus:
		k.call, k.undecided = nil, nil
	}
	gone := k.gone
	if verdict != pairing.Own && verdict != pairing.MayBeCopy && verdict != pairing.Skipped {
		k.gone, gone = true, true
	}
	k.mu.Unlock()
	if previous != nil {
		previous.followed(r.pairing, r.answer, inOrder)
	}

	switch {
	case verdict == pairing.Own:
		if more {
			p.surplus(k, r, verdict, "more followed it")
		}
		x.answer = r.answer
		x.end <- callEnd{reuse: !gone}
		return !gone
	case verdict == pairing.Skipped:
		p.surplus(k, r, verdict, "the call waits on")
		return k.SetReadDeadline(time.Time{}) == nil
	case verdict == pairing.MayBeCopy && x != nil:
		p.undecide(k, x, r)
		return true
	case verdict == pairing.MayBeCopy:
		p.surplus(k, r, verdict, "the call is undecided for longer")
		p.awaitQuiet(k, u)
		return true
	}
	p.discard(k)
	switch {
	case u != nil && verdict == pairing.Corrected:
		p.surplus(k, r, verdict, "the call's outcome was corrected")
		u.settled(&r.answer)
	case u != nil:
		p.surplus(k, r, verdict, "the call may have run")
		a := u.unknown(errAmbiguous, u.answer, r.answer)
		u.settled(&a)
	case x != nil:
		p.surplus(k, r, verdict, "the call may have run")
		came := r.answer
		x.end <- callEnd{err: errAmbiguous, came: &came}
	}
	return false
}

// undecide leaves a call undecided until its connection has been quiet.
func (p *pool) undecide(k *conn, x *call, r response) {
	x.answer, x.said = x.inDoubt(r.answer), r.pairing
	p.keepUndecided(k, x)
	x.end <- callEnd{undecided: true}
}

// awaitQuiet has an undecided call wait for quiet anew.
func (p *pool) awaitQuiet(k *conn, u *call) {
	span := p.quietSpan(k)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.undecided == u {
		k.SetReadDeadline(time.Now().Add(span)) // an error says that it is closed, which ends its reader
	}
}

// unasked notes that bytes came while no call was out, and ends the connection.
func (p *pool) unasked(k *conn, first bool) {
	r, err := k.readResponse(first, nil)
	if err == nil && !first {
		k.mu.Lock()
		verdict := k.tracker.Response(r.pairing)
		k.mu.Unlock()
		p.surplus(k, r, verdict, "no call was out")
	}
	p.broken(k, errUnasked, answer{})
}

// broken ends a connection that was ended, that says what can't be read, or that has stood idle for long enough. came is as much of a
// response as could be read.
func (p *pool) broken(k *conn, err error, came answer) {
	k.mu.Lock()
	if x := k.undecided; k.isIdleEnd(err, p.idleFor) {
		k.undecided, k.gone = nil, true
		k.mu.Unlock()
		p.discard(k)
		x.settled(nil)
		return
	}
	x, undecided := k.call, []*call{k.previous, k.undecided}
	k.call, k.previous, k.undecided, k.gone = nil, nil, nil, true
	k.mu.Unlock()
	p.discard(k)
	if x != nil {
		part := came
		x.end <- callEnd{err: err, came: &part}
	}
	for _, u := range undecided {
		if u != nil {
			a := u.unknown(err, u.answer, came)
			u.settled(&a)
		}
	}
}
