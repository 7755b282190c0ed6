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

// timedOut notes that the time for a read is over, and that nothing has arrived.
func (p *pool) timedOut(k *conn) bool {
	k.mu.Lock()
	x, waits, givenUp := k.call, !k.inDoubt.isEmpty(), k.isGivenUp()
	k.mu.Unlock()
	switch {
	case givenUp:
		p.broken(k, errGivenUp, answer{})
		return false
	case x != nil:
		return true // a call took it just now, and the deadline is gone
	case !waits:
		p.broken(k, errIdle, answer{})
		return false
	}
	return p.quiet(k)
}

// quiet notes that nothing followed a response that might have been a copy.
func (p *pool) quiet(k *conn) bool {
	k.mu.Lock()
	u := k.inDoubt.last()
	if u == nil || k.call != nil {
		k.mu.Unlock()
		return true // a call took it just now
	}
	if k.tracker.Settles() {
		k.inDoubt, k.doubted = doubts{}, false
		k.tracker.Quiet()
		k.mu.Unlock()
		p.decided(k)
		p.give(u.endpoint, k)
		u.settled(nil)
		return true
	}
	var unclear row
	if u.ends && k.inDoubt.differ {
		unclear = k.inDoubt.takeBeforeLast()
	}
	settle, over := k.inDoubt.takeOver(time.Since(processStart), errUnproven)
	waits := !k.inDoubt.isEmpty()
	k.doubted, k.gone = waits, !waits
	if waits {
		wait := k.inDoubt.firstUntil() - time.Since(processStart)
		k.SetReadDeadline(time.Now().Add(wait)) // an error says that it is closed, which ends its reader
	}
	k.mu.Unlock()
	if u.ends { // and the connection goes on all the same
		p.passesOver(k.endpoint)
	}
	if over > 0 {
		p.notBelieved(k, u, over)
	}
	if !waits {
		p.discard(k)
	}
	unclear.settleUnknown(errAmbiguous, u.answer)
	settle()
	return waits
}

// notBelieved notes responses that may be copies, with no more to come in time that would tell.
func (p *pool) notBelieved(k *conn, last *call, responses int) {
	p.mu.Lock()
	p.surpluses += responses
	count := p.surpluses
	p.mu.Unlock()
	p.log.Info("a response that may be a copy is not believed", "endpoint", k.endpoint, "message", last.message, "responses", responses, "count", count)
}

// received notes a response that came whole, and tells whether the connection goes on.
func (p *pool) received(k *conn, r response) bool {
	p.heard(k.endpoint, r.pairing)
	k.mu.Lock()
	x := k.call
	if x == nil && k.inDoubt.isEmpty() {
		k.mu.Unlock()
		p.broken(k, errAbandoned, r.answer)
		return false
	}
	k.heard = time.Now()
	r.pairing.Final = !r.goesOn
	if x != nil && x.ends {
		r.result.HungUp = false // as it was asked to
	}
	verdict := k.tracker.Response(r.pairing)
	more := k.br.Buffered() > 0
	var settled row
	switch verdict {
	case pairing.Own:
		k.call, settled = nil, k.inDoubt.takeAll() // responses come in order
		k.gone = more || !r.goesOn || !k.tracker.Reusable()
	case pairing.MayBeCopy:
		if !r.goesOn {
			k.tracker.Last()
		}
		if k.call = nil; x != nil && x.once && !r.pairing.Pass {
			verdict = pairing.Ambiguous // as a refusal it would be repeated
			settled = k.inDoubt.takeAll()
		}
	case pairing.Corrected, pairing.Ambiguous, pairing.Surplus:
		k.call, settled = nil, k.inDoubt.takeAll()
	case pairing.Skipped:
		settled = k.inDoubt.takeAll()
	}
	gone := k.gone
	if verdict != pairing.Own && verdict != pairing.MayBeCopy && verdict != pairing.Skipped {
		k.gone, gone = true, true
	}
	k.mu.Unlock()

	switch {
	case verdict == pairing.Own:
		if more {
			p.surplus(k, r, verdict, "more followed it")
		}
		x.answer = r.answer
		settled.settleInOrder(true)
		x.end <- callEnd{reuse: !gone}
		return !gone
	case verdict == pairing.Skipped:
		p.surplus(k, r, verdict, "the call waits on")
		settled.settleUnknown(errAmbiguous, r.answer)
		return k.SetReadDeadline(time.Time{}) == nil
	case verdict == pairing.MayBeCopy && x != nil:
		p.undecide(k, x, r)
		return true
	case verdict == pairing.MayBeCopy:
		p.surplus(k, r, verdict, "the calls are undecided for longer")
		p.awaitQuiet(k)
		return true
	}
	p.discard(k)
	if x == nil && verdict == pairing.Corrected {
		p.surplus(k, r, verdict, "the call's outcome was corrected")
		before, corrected := settled[:len(settled)-1], settled[len(settled)-1]
		before.settleInOrder(false, corrected.answer, r.answer)
		corrected.settled(&r.answer)
		return false
	}
	p.surplus(k, r, verdict, "the calls may have run")
	if x != nil {
		came := r.answer
		x.end <- callEnd{err: errAmbiguous, came: &came}
	}
	settled.settleUnknown(errAmbiguous, r.answer)
	return false
}

// undecide leaves a call undecided until more is known.
func (p *pool) undecide(k *conn, x *call, r response) {
	x.answer, x.said = x.inDoubt(r.answer), r.pairing
	certain, unclear := p.keepUndecided(k, x)
	if certain != nil {
		certain.settled(nil) // before x ends, so that the engine is told of both together
	}
	unclear.settleUnknown(errAmbiguous, x.answer)
	x.end <- callEnd{undecided: true}
}

// awaitQuiet has calls in doubt wait for quiet anew.
func (p *pool) awaitQuiet(k *conn) {
	span := p.quietSpan(k)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.call == nil && !k.inDoubt.isEmpty() {
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
	idle, exact := k.isIdleEnd(err, p.idleFor), k.tracker.Ordered()
	x, settled := k.call, k.inDoubt.takeAll()
	k.call, k.gone = nil, true
	k.mu.Unlock()
	p.discard(k)
	p.heardPart(k.endpoint, came)
	if idle {
		settled.settleInOrder(exact)
		return
	}
	if x != nil {
		part := came
		x.end <- callEnd{err: err, came: &part}
	}
	settled.settleUnknown(err, came)
}
