package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/node/pairing"
)

// net/http's Transport is not used for calls: it takes a request with an Idempotency-Key for replayable and
// sends it again by itself when a reused connection breaks, dials beside a call that may find an idle
// connection first, and does not tell how much of a request was written. Here a request is written once, on
// one connection, by one Write.

const (
	idleMargin = 400 * time.Millisecond // an endpoint's idle clock may be ahead of ours by a response's way
	// mostUnrested is how many connections to an endpoint rest, or wait for quiet, before one of them takes a call without it that has time to wait for
	// its proof: the last call on a connection that did not rest is in doubt until the next call there, or the endpoint's idle end.
	mostUnrested = 16
	// mostUndecided takes its place for a call without that time. It is above the slots of most nodes.
	mostUndecided = 64
	// mostRefusing takes its place at an endpoint that refuses some calls: responses that differ settle none before them.
	mostRefusing = 4 * mostUndecided
	// copySpan is for how long a copy of a response may follow it: what a server takes to write it, and a lost packet to be sent again.
	copySpan = 250 * time.Millisecond
	// clearAfter is for how long a response that can't wait for the endpoint's idle end is in doubt until the next call goes there and asks for the
	// connection's end, which proves both.
	clearAfter = time.Second
	// proofMargin is what the endpoint's idle end may take to come, beyond the settings' idle time since the call was sent. For so long before that end
	// the next call asks for it in any case.
	proofMargin = time.Second
	// refusingFor is for how long an endpoint counts as refusing after a response other than a pass.
	refusingFor = 5 * time.Second
	// scarceFor is for how long an endpoint's places count as scarce after all its connections were given back twice in that time. Then
	// each call has a connection of its own: one that waits for quiet holds its place for longer than the call.
	scarceFor = 5 * time.Second
	// distrustFor is for how long an endpoint's connections carry one call each after one of them had a response too many.
	distrustFor = 20 * time.Second
	tookWeight  = 8 // the part of a new time in the usual one is one over this
)

var (
	errIdle    = errors.New("answer: the connection stood idle for long enough")
	errUnasked = errors.New("answer: bytes that no call asked for")
)

// pool makes calls, on connections that it keeps between them. Its methods may be called by many goroutines at a time.
type pool struct {
	connect connectFunc
	idleFor time.Duration
	maxIdle int
	restFor time.Duration // until a connection that had a response takes another call, where responses may be alike
	log     *slog.Logger

	connections atomic.Uint32 // that were made

	mu         sync.Mutex
	idle       map[string][]*conn // by endpoint; the last one was used last
	size       int                // of idle
	undecided  map[string][]*conn // by endpoint, those that wait for quiet; the first one has waited for longest
	torn       map[string][]*conn // likewise, those with responses that differ: the next call there asks for the connection's end, which tells whose each is
	waiting    int                // of undecided and torn
	took       map[string]time.Duration
	variety    map[string]*pairing.Variety // of the responses of each endpoint
	endless    map[string]bool             // endpoints that pass over a request for their connection's end
	distrusted expiring                    // endpoints that said too much
	refusing   expiring                    // endpoints that said something else than a pass lately: a response in doubt would be followed by another one
	givenBack  expiring                    // endpoints whose connections were all given back lately
	scarce     expiring                    // those at which that happened twice
	leaving    bool                        // the process ends soon: what is in doubt is to be proven by the calls that are left
	surpluses  int                         // responses that answered no call, or were taken for another's
}

func newPool(dialTimeout, connIdle time.Duration, maxIdle int, log *slog.Logger) *pool {
	if dialTimeout <= 0 {
		dialTimeout = time.Second
	}
	return &pool{
		connect: (&net.Dialer{Timeout: dialTimeout}).DialContext, idleFor: max(connIdle-idleMargin, connIdle/2), maxIdle: maxIdle,
		restFor: copySpan, log: log, idle: map[string][]*conn{}, undecided: map[string][]*conn{}, torn: map[string][]*conn{}, took: map[string]time.Duration{},
		variety: map[string]*pairing.Variety{}, endless: map[string]bool{},
	}
}

// Attempt makes one call. It returns when its slot is free again: at the response, or with the connection closed. A response that may be
// a copy of an earlier one is settled later, by c.Settle; without that, Attempt waits.
func (p *pool) Attempt(ctx context.Context, c delivery.Attempt) delivery.Result {
	request, err := encodeRequest(c)
	if err != nil {
		return delivery.Result{Outcome: choice.Stale, NotRun: true, Err: err}
	}
	x := newCall(request)
	if c.Settle != nil {
		x.settle = c.Settle
		a, _ := p.call(ctx, c, x)
		return a.result
	}
	return p.wait(ctx, c, x).result
}

// wait makes a call, and waits until its answer is certain or ctx ends.
func (p *pool) wait(ctx context.Context, c delivery.Attempt, x *call) answer {
	ctx, cancel := context.WithDeadline(ctx, c.NotPast)
	defer cancel()
	final := make(chan *answer, 1)
	x.done = func(a *answer) { final <- a }
	a, k := p.call(ctx, c, x)
	if !a.result.Undecided {
		return a
	}
	defer context.AfterFunc(ctx, func() { k.Close() })()
	if other := <-final; other != nil {
		return *other
	}
	a.result.Undecided = false
	return a
}

// notSent is the answer of a call of which no byte went out.
func notSent(outcome choice.Outcome, err error) answer {
	return answer{result: delivery.Result{Outcome: outcome, NotRun: true, Err: err}}
}

// call makes the call of an attempt, on a kept connection or a new one, and returns what came of it, with the connection of a call that is
// undecided.
func (p *pool) call(ctx context.Context, c delivery.Attempt, x *call) (answer, *conn) {
	x.message, x.endpoint, x.once, x.until = c.ID, c.Endpoint, c.Once, time.Since(processStart)+c.UndecidedFor
	x.canWait = c.UndecidedFor >= p.idleFor+idleMargin+proofMargin
	if now := time.Now(); !c.MayBegin(now) || ctx.Err() != nil || !now.Before(c.NotPast) {
		return notSent(choice.Stale, nil), nil
	}
	for ; ; x = x.onAnother() {
		k, kept, err := p.connection(ctx, c, x)
		if errors.Is(err, errNoLocal) {
			return notSent(choice.Stale, err), nil
		} else if err != nil {
			return notSent(choice.NoRoute, err), nil
		}
		// A dial takes up to a second; a wait told, a drain heard of or a repeat's time that is over meanwhile forbids the
		// first byte.
		if !c.MayBegin(time.Now()) {
			if k.leave(x) {
				p.give(c.Endpoint, k)
			} else {
				k.Close()
			}
			return notSent(choice.Stale, nil), nil
		}
		out := x
		giveUp := func() { k.giveUp(out) }
		stop, late := context.AfterFunc(ctx, giveUp), time.AfterFunc(time.Until(c.NotPast), giveUp)
		end := k.exchange(ctx, x, c)
		inTime, stopped := late.Stop(), stop()
		if errors.Is(end.err, errEarly) {
			k.Close()
			c.Fresh = true
			continue
		}
		if !end.undecided {
			p.release(x, k, end.reuse && inTime && stopped)
		}
		if x.answer.result.Outcome == choice.TooSlow {
			p.endDoubts(c.Endpoint.ID) // it may hang: nothing more will tell
		}
		a := x.answer
		a.result.On = x.exchanged(a.result.On.Status)
		a.result.Kept, a.result.Undecided = kept, end.undecided
		return a, k
	}
}

// connection is a kept one on which the call has begun, or a new one.
func (p *pool) connection(ctx context.Context, c delivery.Attempt, x *call) (k *conn, kept bool, err error) {
	if c.Fresh || p.callsOnce(c.Endpoint.ID) {
		p.shed(c.Endpoint.ID) // the new one takes its place: an endpoint holds only so many
	} else if k := p.take(c.Endpoint, x); k != nil {
		c.Times.Took(k.idleSince)
		return k, true, nil
	}
	c.Times.Dial()
	ctx, cancel := context.WithDeadline(ctx, c.NotPast)
	defer cancel()
	nc, err := redial(ctx, func() (net.Conn, error) { return p.connect(ctx, "tcp", c.Endpoint.Addr) })
	if err != nil {
		return nil, false, err
	}
	c.Times.Connect()
	k = newConn(nc, c.Endpoint.ID, c.Endpoint.Addr)
	k.number = p.connections.Add(1)
	if !k.begin(x, p.restFor) {
		k.Close()
		return nil, false, fmt.Errorf("a new connection: %w", net.ErrClosed)
	}
	go p.read(k) // ends with the connection
	return k, false, nil
}

// release keeps or closes the connection of a call that has ended.
func (p *pool) release(x *call, k *conn, reuse bool) {
	if !reuse {
		k.Close()
		return
	}
	p.mu.Lock()
	took := time.Since(processStart) - x.sentAt
	usual, known := p.took[k.endpoint]
	if !known {
		usual = took
	}
	p.took[k.endpoint] = usual + (took-usual)/tookWeight
	p.mu.Unlock()
	p.give(x.endpoint, k)
}

// quietSpan is for how long a connection has to be quiet until an undecided response counts.
func (p *pool) quietSpan(k *conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quietSpanLocked(k.endpoint)
}

func (p *pool) quietSpanLocked(endpoint string) time.Duration {
	usual, known := p.took[endpoint]
	if !known {
		return firstQuiet
	}
	return min(max(quietFactor*usual, leastQuiet), mostQuiet)
}

// take returns a kept connection that is still good, with the call begun on it; or nil.
func (p *pool) take(e *delivery.Endpoint, x *call) *conn {
	for {
		x.ends = false
		k := p.pick(e.ID, x)
		if k == nil {
			return nil
		}
		if k.addr == e.Addr && k.begin(x, p.restFor) {
			return k
		}
		if !k.hasUnread() { // its reader ends one that has said something unasked
			k.Close()
		}
	}
}

// pick takes a kept connection for a call out, the one used last that serves. Where none does, the endpoint gets one more, until it has as many
// as are kept; then the one that has been quiet for longest has to do.
func (p *pool) pick(id string, x *call) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept, now := p.idle[id], time.Now()
	if k := p.unclear(id, now); k != nil {
		x.ends = true
		p.dropUndecided(k)
		return k
	}
	for i := len(kept) - 1; i >= 0; i-- {
		if k := kept[i]; p.serves(k, x, now) {
			p.drop(id, i)
			return k
		}
	}
	waiting := p.undecided[id]
	count := len(kept) + len(waiting) + len(p.torn[id])
	most, doubted := mostUndecided, p.doubted(id, now)
	switch {
	case p.refusing.has(id):
		most, doubted = mostRefusing, nil
	case x.canWait && !p.endless[id]:
		most = mostUnrested
	}
	room := count < most && p.size+p.waiting < p.maxIdle
	usable := slices.IndexFunc(kept, func(k *conn) bool { return !x.once || !k.mixed })
	switch {
	case doubted != nil && !room: // its response tells of the one before
		p.dropUndecided(doubted)
		return doubted
	case count == 0, room && (usable >= 0 || len(kept) == 0):
		return nil
	case usable >= 0:
		k := kept[usable]
		p.drop(id, usable)
		return k
	case len(kept) > 0:
		p.closeFirst(id) // the new one takes its place
		return nil
	}
	i := slices.IndexFunc(waiting, (*conn).isReusable)
	if i < 0 {
		return nil
	}
	k := waiting[i]
	p.dropUndecided(k)
	return k
}

// unclear is a connection of an endpoint whose end would tell whose the responses are that came last; nil for none. The lock is held.
func (p *pool) unclear(id string, now time.Time) *conn {
	if p.endless[id] {
		return nil
	}
	for _, k := range p.torn[id] {
		if now.Sub(k.idleSince) < p.idleFor { // or the endpoint may be about to close it
			return k
		}
	}
	after := clearAfter
	if p.leaving {
		after = leastQuiet
	}
	for _, k := range p.undecided[id] {
		quiet := now.Sub(k.idleSince)
		if quiet < after {
			return nil // those behind it have been for less
		}
		isDue := k.hurries || p.leaving || quiet >= p.idleFor-proofMargin
		if isDue && quiet < p.idleFor && k.isDoubted() {
			return k
		}
	}
	return nil
}

// doubted is a connection of an endpoint that silence does not settle, and that the endpoint does not close yet; nil for none. The lock is held.
func (p *pool) doubted(id string, now time.Time) *conn {
	for _, k := range p.undecided[id] {
		if quiet := now.Sub(k.idleSince); quiet < leastQuiet {
			return nil // those behind it have been for less
		} else if quiet < p.idleFor && k.isDoubted() {
			return k
		}
	}
	return nil
}

// Leaving has calls in doubt proven by further calls before the process ends: each of those goes on a connection with calls in doubt. Where too few come,
// messages that may be repeated make them: the next process would repeat all of them.
func (p *pool) Leaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving {
		return
	}
	p.leaving = true
	for _, after := range [...]time.Duration{clearAfter, 2 * clearAfter} {
		time.AfterFunc(after, p.repeatDoubted)
	}
}

// repeatDoubted has one call in doubt of each connection made again, if it may be.
func (p *pool) repeatDoubted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, all := range p.undecided {
		if p.endless[id] {
			continue // its response would prove nothing
		}
		for _, k := range all {
			k.giveBackOne()
		}
	}
}

// endDoubts has undecided calls to an endpoint wait no longer for what may tell.
func (p *pool) endDoubts(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDoubtsLocked(id)
}

func (p *pool) endDoubtsLocked(id string) {
	for _, all := range [...][]*conn{p.undecided[id], p.torn[id]} {
		for _, k := range all {
			k.endDoubt()
		}
	}
}

// serves tells whether a kept connection is good for a call. One on which a refusal came is not for a call that must not run twice: a copy of
// the refusal would have it sent again. One that had a response a moment ago is not where a copy of that could not be told from the next
// response: responses that differ can be, and those that name their messages. The lock is held.
func (p *pool) serves(k *conn, x *call, now time.Time) bool {
	if x.once && k.mixed {
		return false
	}
	different := pairing.LeastDifferent
	if x.once {
		different = pairing.MostDifferent
	}
	told := p.variety[k.endpoint].Differ(different) || (x.all != nil && !k.mixed)
	return told || k.restedFor(now) >= p.restFor
}

// drop takes the i-th idle connection of an endpoint out; the lock is held.
func (p *pool) drop(id string, i int) {
	p.size--
	if p.idle[id] = slices.Delete(p.idle[id], i, i+1); len(p.idle[id]) == 0 {
		delete(p.idle, id)
	}
}

// waitingWith is where a connection that waits for quiet is; the lock is held.
func (p *pool) waitingWith(k *conn) map[string][]*conn {
	if k.torn {
		return p.torn
	}
	return p.undecided
}

// dropUndecided takes a connection out of those that wait for quiet; the lock is held.
func (p *pool) dropUndecided(k *conn) {
	all := p.waitingWith(k)
	i := slices.Index(all[k.endpoint], k)
	if i < 0 {
		return
	}
	p.waiting--
	if all[k.endpoint] = slices.Delete(all[k.endpoint], i, i+1); len(all[k.endpoint]) == 0 {
		delete(all, k.endpoint)
	}
}

// keepUndecided has a connection wait for quiet, with a call whose response is in doubt. Where too many are kept, one at rest makes room. It returns a
// call that is certain by that, nil for none, and those that are not waited for any more.
func (p *pool) keepUndecided(k *conn, x *call) (certain *call, unclear row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.size > 0 && p.size+p.waiting >= p.maxIdle {
		for id := range p.idle {
			p.closeFirst(id)
			break
		}
	}
	certain, unclear, k.torn = k.doubt(x, p.endless[k.endpoint], time.Now().Add(p.quietSpanLocked(k.endpoint)))
	k.hurries, k.idleSince = !x.canWait, time.Now()
	all := p.waitingWith(k)
	all[k.endpoint] = append(all[k.endpoint], k)
	p.waiting++
	return certain, unclear
}

// heard notes a response of an endpoint.
func (p *pool) heard(endpoint string, r pairing.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.variety[endpoint] == nil {
		p.variety[endpoint] = new(pairing.Variety)
	}
	kind := r.Kind
	if r.Named != 0 {
		kind = r.Named
	}
	p.variety[endpoint].Add(kind)
	if !r.Pass {
		p.refusing.add(endpoint, refusingFor)
	}
}

// heardPart notes as much of a response as came before its connection ended.
func (p *pool) heardPart(endpoint string, came answer) {
	if came.said == 0 || came.said.Has(choice.ReplyPass) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing.add(endpoint, refusingFor)
}

// passesOver notes that an endpoint passed over a request for its connection's end.
func (p *pool) passesOver(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endless[endpoint] = true
}

// decided takes a connection out of those that wait for quiet.
func (p *pool) decided(k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropUndecided(k)
}

// give keeps a connection for the next call: it is closed when its reader ends, and when it has stood idle for nearly as
// long as the endpoint allows.
func (p *pool) give(e *delivery.Endpoint, k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An endpoint is shut before its kept connections are hung up on, so that none is kept after that. The reader marks
	// its end before it looks here, so that none is kept after that either.
	if p.size >= p.maxIdle || e.Gone() || p.callsOnceLocked(e.ID) || !k.idleUntil(time.Now().Add(p.idleFor)) {
		k.Close()
		return
	}
	k.idleSince = time.Now()
	p.idle[e.ID] = append(p.idle[e.ID], k)
	p.size++
}

// discard closes a connection, and takes it from the kept ones.
func (p *pool) discard(k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.idle[k.endpoint], k); i >= 0 {
		p.drop(k.endpoint, i)
	}
	p.dropUndecided(k)
	k.Close()
}

// callsOnce tells whether connections to an endpoint carry one call each.
func (p *pool) callsOnce(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callsOnceLocked(id)
}

func (p *pool) callsOnceLocked(id string) bool { return p.distrusted.has(id) || p.scarce.has(id) }

// surplus logs a response that did not answer the call for which it came, or that more followed. A wait that it tells binds: it may be the
// true response to an earlier call. One that says something else than the response before, or comes while no call is out, has its endpoint
// distrusted for a while; an equal one harms no call, for the connection is not used again.
func (p *pool) surplus(k *conn, r response, verdict pairing.Verdict, done string) {
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	p.mu.Lock()
	p.surpluses++
	count := p.surpluses
	if verdict != pairing.Own && verdict != pairing.MayBeCopy {
		p.distrusted.add(k.endpoint, distrustFor)
		p.endDoubtsLocked(k.endpoint)
	}
	p.mu.Unlock()
	message := ""
	if last != nil {
		message = last.message
		if r.result.Wait > 0 {
			last.endpoint.Wait(time.Now().Add(r.result.Wait))
		}
	}
	p.log.Warn("a response too many on a connection", "endpoint", k.endpoint, "status", r.status, "verdict", verdict.String(),
		"message", message, "told_wait", r.result.Wait, "done", done, "count", count)
}

// shed closes one kept connection of an endpoint, if there is any.
func (p *pool) shed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeFirst(id)
}

// closeFirst closes the kept connection of an endpoint that was not used for longest, if there is any; the lock is held.
func (p *pool) closeFirst(id string) {
	if len(p.idle[id]) > 0 {
		p.idle[id][0].Close()
		p.drop(id, 0)
	}
}

// HangUp closes the kept connections of an endpoint, all but those keep that were used last. Those that wait for quiet are closed when
// they have been quiet, if the endpoint is gone by then.
func (p *pool) HangUp(id string, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[id]) > keep {
		p.closeFirst(id)
	}
	if keep > 0 {
		return
	}
	p.endDoubtsLocked(id)
	delete(p.took, id)
	delete(p.variety, id)
	delete(p.endless, id)
	if p.givenBack.has(id) {
		p.scarce.add(id, scarceFor)
	}
	p.givenBack.add(id, scarceFor)
}

// Close closes all kept connections.
func (p *pool) Close() {
	p.mu.Lock()
	ids := make([]string, 0, len(p.idle))
	for id := range p.idle {
		ids = append(ids, id)
	}
	for _, waiting := range [...]map[string][]*conn{p.undecided, p.torn} {
		for _, all := range waiting {
			for _, k := range all {
				k.Close() // its reader settles the calls
			}
		}
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.HangUp(id, 0)
	}
}
