package notices

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	reserve   = 2 // new connections that wait for a post,
	mostExtra = 6 // and one more for each that has no answer, up to so many
	leastKept = 4 // used connections that wait for a post may be so many, or a part of all places
	keptPart  = 4
	mostDials = 4 // at a time
	mostPosts = 4 // on one connection, where no other way is open

	giveUpAfter  = 30 * time.Second        // a connection whose post has no answer,
	replaceAfter = 1500 * time.Millisecond // or sooner, where all places are taken by such,
	patientPart  = 4                       // but for one in so many, those that have waited for longest
	dialTimeout  = 5 * time.Second         // with time for two repeats of a lost first packet
	quietFor     = time.Second             // a new connection that ends sooner was dialled in vain
	oldReserve   = 5 * time.Second         // a new connection that has waited for longer may have died as well
	preferNew    = 5 * time.Second         // after a used connection was silent while a new one answered

	firstRedial = 10 * time.Millisecond // after a dial that failed
	lastRedial  = 100 * time.Millisecond
	idleRedial  = 2 * time.Second        // while nothing is owed
	hungRedial  = 200 * time.Millisecond // beside a dial that hangs; it doubles with each further one

	distrustFor = time.Minute            // without a proof, after a response too many
	lateNotice  = 500 * time.Millisecond // one without an answer for longer is logged,
	lateAnswer  = 150 * time.Millisecond // as is one that is answered later than this
	logEvery    = time.Second
)

// DialFunc makes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Courier posts notices to the agent until it has taken them. Post and Move may be called by many goroutines at a time, before Run and after it.
type Courier[T any] struct {
	dial         DialFunc
	log          *slog.Logger
	acknowledged func([]T)
	began        time.Time
	places       int // connections with a post that has no answer

	mu    sync.Mutex
	inbox []any         // for the loop
	more  chan struct{} // holds a token when there may be something in it

	// Of the loop alone.
	schedule Schedule[T]
	addr     string
	conns    []*conn[T] // all that stand
	dials    []time.Duration
	redialAt time.Duration
	vain     int           // dials in a row that brought no answer
	newUntil time.Duration // until when new connections go ahead of used ones
	copied   time.Duration // when a response too many came last
	hasCopy  bool
	looked   time.Duration // for answers that count without a proof
	logged   time.Duration
	lastErr  error
	over     []T // to be acknowledged
}

// New returns a courier to an agent, with posts on so many connections at most that have no answer. Acknowledged is told, by one goroutine,
// of what the agent has taken; it may wait.
func New[T any](addr string, places int, dial DialFunc, log *slog.Logger, acknowledged func([]T)) *Courier[T] {
	return &Courier[T]{addr: addr, places: max(places, 1), dial: dial, log: log, acknowledged: acknowledged, began: time.Now(), more: make(chan struct{}, 1)}
}

// Post owes the agent notices from now on. It does not wait.
func (c *Courier[T]) Post(all []*Entry[T]) { c.tell(all) }

// Move tells that the agent is at another address now. What the one before has not proven to have taken goes to the new one.
func (c *Courier[T]) Move(addr string) { c.tell(moved(addr)) }

type moved string

// tell hands the loop something. It does not wait.
func (c *Courier[T]) tell(e any) {
	c.mu.Lock()
	c.inbox = append(c.inbox, e)
	c.mu.Unlock()
	select {
	case c.more <- struct{}{}:
	default:
	}
}

func (c *Courier[T]) now() time.Duration { return time.Since(c.began) }

// Run posts until ctx ends, and closes all connections.
func (c *Courier[T]) Run(ctx context.Context) {
	var beside sync.WaitGroup // dials, readers and writers end with ctx, or with their connection
	ctx, cancel := context.WithCancel(ctx)
	acks := make(chan []T)
	beside.Go(func() {
		for some := range acks {
			c.acknowledged(some)
		}
	})
	defer func() {
		cancel()
		close(acks)
		for _, k := range c.conns {
			k.Close()
		}
		beside.Wait()
		c.closeLate()
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c.work(ctx, &beside)
		timer.Reset(c.untilWake())
		var out chan []T
		if len(c.over) > 0 {
			out = acks
		}
		select {
		case <-ctx.Done():
			return
		case out <- c.over:
			c.over = nil
		case <-c.more:
			c.mu.Lock()
			all := c.inbox
			c.inbox = nil
			c.mu.Unlock()
			for _, e := range all {
				c.take(e, &beside)
			}
		case <-timer.C:
		}
	}
}

// closeLate closes connections that came up when the loop had ended.
func (c *Courier[T]) closeLate() {
	c.mu.Lock() // notices may still come
	defer c.mu.Unlock()
	for _, e := range c.inbox {
		if d, ok := e.(dialled); ok && d.err == nil {
			d.nc.Close()
		}
	}
}

// take notes something that the loop was told.
func (c *Courier[T]) take(e any, beside *sync.WaitGroup) {
	switch e := e.(type) {
	case []*Entry[T]:
		if c.schedule.Owed() == 0 {
			c.redialAt = min(c.redialAt, c.now()) // it was put off while there was no hurry
		}
		for _, one := range e {
			c.schedule.Add(c.now(), one)
		}
	case moved:
		c.move(string(e))
	case dialled:
		c.dialled(e, beside)
	case answer[T]:
		c.answered(e)
	case broken[T]:
		c.end(e.of, e.err)
	}
}

func (c *Courier[T]) move(addr string) {
	if addr == c.addr {
		return
	}
	c.addr, c.vain, c.redialAt, c.newUntil = addr, 0, 0, 0
	for _, k := range slices.Clone(c.conns) {
		c.drop(k)
	}
	c.schedule.Moved(c.now())
}

// dialled notes what came of a dial.
func (c *Courier[T]) dialled(d dialled, beside *sync.WaitGroup) {
	if i := slices.Index(c.dials, d.began); i >= 0 {
		c.dials = slices.Delete(c.dials, i, i+1)
	}
	switch {
	case d.err != nil && d.addr == c.addr:
		c.lastErr = d.err
		c.inVain()
	case d.err != nil:
	case d.addr != c.addr:
		d.nc.Close()
	default:
		k := &conn[T]{Conn: d.nc, addr: d.addr, since: c.now(), good: c.now()}
		c.conns = append(c.conns, k)
		beside.Go(func() { c.read(k) })
	}
}

// inVain notes a dial that failed, or whose connection ended at once. The next one follows a first failure at once.
func (c *Courier[T]) inVain() {
	longest := lastRedial
	if c.schedule.Owed() == 0 {
		longest = idleRedial
	}
	pause := time.Duration(0)
	if c.vain > 0 {
		pause = min(firstRedial<<min(c.vain-1, 10), longest)
	}
	c.vain++
	c.redialAt = c.now() + pause
}

// answered notes a response.
func (c *Courier[T]) answered(a answer[T]) {
	k, now := a.of, c.now()
	if k.over {
		return
	}
	if !k.busy() {
		c.copied, c.hasCopy = now, true
		c.log.Warn("a response too many from discovery's agent", "status", a.status, "used", k.used)
		c.drop(k)
		return
	}
	if a.status != http.StatusNoContent {
		c.end(k, fmt.Errorf("reports: %d", a.status))
		return
	}
	c.compare(k, now)
	p, proven := k.posts[0], !k.used
	k.posts = k.posts[1:]
	if waited, tries := p.waited(now); waited >= lateAnswer {
		c.log.Info("a notice was answered late", "owed_for", waited.Round(time.Millisecond), "count", p.Len(), "tries", tries,
			"post_took", (now - p.at).Round(time.Millisecond), "kept_connection", k.used, "connection_age", (now - k.since).Round(time.Millisecond),
			"posts_without_answer", c.countBusy(), "dials", len(c.dials))
	}
	k.used, k.good, k.took, c.vain = true, now, now-p.at, 0
	k.answers++
	if k.busy() {
		k.sent = now
	}
	c.over = append(c.over, c.schedule.Answered(now, p, proven)...)
	if a.closes {
		c.end(k, errCloses)
	}
	c.keepBest(now)
}

// compare has new connections go first for a while if one has answered and a used one, whose post is older, has not.
func (c *Courier[T]) compare(k *conn[T], now time.Duration) {
	for _, other := range c.conns {
		if !k.used && other.used && other.busy() && !other.blamed && other.sent+leastHedge <= k.sent {
			other.blamed, c.newUntil = true, now+preferNew
		}
	}
}

// end notes that nothing more comes of a connection.
func (c *Courier[T]) end(k *conn[T], err error) {
	if k.over {
		return
	}
	posts := k.posts
	c.drop(k)
	if !k.used && c.now()-k.good < quietFor {
		c.inVain()
	}
	for _, p := range posts {
		c.lastErr = err
		c.schedule.Failed(c.now(), p)
		c.log.Warn("notices not taken", "count", p.Len(), "after", (c.now() - p.at).Round(time.Millisecond), "kept_connection", k.used, "err", err)
	}
}

// drop closes a connection and forgets it.
func (c *Courier[T]) drop(k *conn[T]) {
	k.over, k.posts = true, nil
	k.Close()
	if i := slices.Index(c.conns, k); i >= 0 {
		c.conns = slices.Delete(c.conns, i, i+1)
	}
}

// work posts what is due and makes the connections that are missing.
func (c *Courier[T]) work(ctx context.Context, beside *sync.WaitGroup) {
	now := c.now()
	c.giveUp(now)
	if trusts := !c.hasCopy || now-c.copied > distrustFor; trusts && now-c.looked >= logEvery {
		c.looked = now
		c.over = append(c.over, c.schedule.Trusted(now)...)
	}
	for c.postOne(now, beside) {
	}
	c.replenish(ctx, now, beside)
	c.logLate(now)
}

// giveUp ends connections whose posts have had no answer for very long.
func (c *Courier[T]) giveUp(now time.Duration) {
	var busy []*conn[T]
	for _, k := range slices.Clone(c.conns) {
		switch {
		case !k.busy():
		case now-k.sent >= giveUpAfter:
			c.end(k, errGivenUp)
		default:
			busy = append(busy, k)
		}
	}
	if len(busy) < c.places {
		return
	}
	slices.SortFunc(busy, func(a, b *conn[T]) int { return cmp.Compare(a.sent, b.sent) })
	if next := busy[c.places/patientPart]; now-next.sent >= replaceAfter {
		c.end(next, errGivenUp)
	}
}

// postOne makes a post, if one is due and there is a connection for it.
func (c *Courier[T]) postOne(now time.Duration, beside *sync.WaitGroup) bool {
	k := c.next(now)
	if k == nil {
		return false
	}
	p := c.schedule.Take(now, !k.used && !k.busy())
	if p == nil {
		return false
	}
	if k.busy() {
		k.used = true // its answers prove nothing
	} else {
		k.sent = now
	}
	k.posts = append(k.posts, p)
	text := request(k.addr, p.Body())
	before, written := k.written, make(chan struct{})
	k.written = written
	beside.Go(func() { c.write(k, text, before, written) })
	return true
}

// logLate logs, once a second at most, that notices are without an answer for too long.
func (c *Courier[T]) logLate(now time.Duration) {
	if now-c.logged < logEvery {
		return
	}
	count, since := c.schedule.Waits()
	if count == 0 || now-since < lateNotice {
		return
	}
	c.logged = now
	attrs := []any{"count", count, "oldest_age", (now - since).Round(time.Millisecond), "agent", c.addr, "posts_without_answer", c.countBusy(),
		"new_connections", c.countIdle(false), "used_connections", c.countIdle(true), "dials", len(c.dials)}
	if c.lastErr != nil {
		attrs = append(attrs, "last_err", c.lastErr.Error())
	}
	c.log.Warn("notices wait for discovery's agent", attrs...)
}

// longestSleep is the loop's, while a connection or a notice may need it.
const longestSleep = time.Hour

// untilWake is the time until the loop has something to do by itself.
func (c *Courier[T]) untilWake() time.Duration {
	now := c.now()
	at := now + longestSleep
	if wake, ok := c.schedule.Wake(now); ok && wake > now {
		at = min(at, wake)
	} else if ok {
		at = min(at, now+leastHedge) // nothing is there for it now, and then it may go behind another post
	}
	if len(c.schedule.unproven) > 0 || c.countBusy() > 0 {
		at = min(at, now+logEvery)
	}
	if len(c.dials) < mostDials && c.countIdle(false)+c.dialsUnderway(now) < c.wanted() {
		at = min(at, max(c.redialAt, now))
	}
	for i, began := range c.dials {
		if hangs := began + hungRedial<<i; hangs > now {
			at = min(at, hangs)
		}
	}
	return max(at-now, 0)
}
