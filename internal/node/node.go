package node

import (
	"context"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/choice"
)

const (
	// epoch is the module's clock at the start: times before a restart stay above zero.
	epoch      = 48 * time.Hour
	maxBatch   = 256 // events in one Step
	eventQueue = 1024
	// After SIGTERM clients go on coming for 0.4 s, and SIGKILL comes after 3.7 s. The module is told at once when
	// the node will leave, and sends what can end before that. All the while messages are taken on: the journal has
	// them for the next start.
	leaveAfter = 3200 * time.Millisecond
)

// attempt names a call that is out, by the journal's number of its message: an id may come again while a call
// under it is still out.
type attempt struct {
	seq uint64
	n   int
}

// outCall is a call that is out.
type outCall struct {
	m      *past
	cancel context.CancelFunc
}

// Node is a delivery node. One goroutine, in loop, owns all that is not said to be shared.
type Node struct {
	cfg      Config
	log      *slog.Logger
	sender   *choice.Sender
	journal  *journal
	pool     *pool
	start    time.Time
	events   chan any
	notices  chan []notice
	moves    chan string // discovery's new address
	over     chan struct{}
	messages map[string]*past // all in the journal, by id
	out      map[attempt]outCall
	eps      map[string]*endpoint
	waits    map[int]*atomic.Int64 // of destinations whose endpoints share them
	owed     []notice              // not yet handed to the reporter
	held     int                   // messages without their final answer
	acts     []func()              // what the records that are not yet written guard, in order
	wakeAt   time.Duration         // of the module; 0 none
	calls    sync.WaitGroup
}

// Events of the loop.
type (
	arrival struct {
		request
		reply chan answer
	}
	called struct {
		attempt
		endpoint *endpoint
		result
		took time.Duration
	}
	settled []notice
)

// New loads the journal. Its folder must be the node's alone.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	j, err := openJournal(cfg.State, cfg.Limits.DiskMB)
	if err != nil {
		return nil, err
	}
	return &Node{
		cfg: cfg, log: log, journal: j, sender: choice.New(cfg.Settings, seed(cfg.Seed)), start: time.Now(),
		pool:   newPool(cfg.Settings.DialTimeout, cfg.Settings.ConnIdle, max(cfg.Limits.Sockets/4, 8)),
		events: make(chan any, eventQueue), notices: make(chan []notice), moves: make(chan string),
		over: make(chan struct{}), messages: map[string]*past{},
		out: map[attempt]outCall{}, eps: map[string]*endpoint{}, waits: map[int]*atomic.Int64{},
	}, nil
}

// seed reads the configuration's hexadecimal seed; any other text serves as well.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// now is the module's clock, and at what it shows at another time.
func (n *Node) now() time.Duration { return n.at(time.Now()) }

func (n *Node) at(t time.Time) time.Duration { return epoch + t.Sub(n.start) }

func (n *Node) wall(d time.Duration) time.Time { return n.start.Add(d - epoch) }

// Run serves clients on ln until ctx ends; then it finishes or leaves to the journal what it holds.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	// The parts outlive ctx by the time that it takes to leave.
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer close(n.over)
	n.step(life, n.replayed(), nil)

	var parts sync.WaitGroup
	parts.Go(func() { n.consult(life) })
	n.log.Info("serving", "sockets", n.cfg.Limits.Sockets, "memory_mb", n.cfg.Limits.MemoryMB, "disk_mb", n.cfg.Limits.DiskMB,
		"cores", n.cfg.Limits.Cores, "slots", n.cfg.Settings.Slots, "max_open", n.cfg.Settings.MaxOpen)
	clients := newClients(ln, n.cfg.Limits.Sockets/2, n.cfg.Names.Classes, func(q request) answer { return n.hand(life, q) })
	parts.Go(func() { clients.serve(life) })
	gone := make(chan struct{})
	parts.Go(func() {
		defer close(gone)
		<-ctx.Done()
		n.tell(life, choice.Leaving{By: n.now() + leaveAfter})
		sleep(life, leaveAfter)
		clients.close() // those inside a request get their answers from the loop, which still runs
	})
	n.loop(life, gone)

	for _, c := range n.out {
		c.cancel()
	}
	for len(n.out) > 0 { // each call that is called off ends by an event
		n.take(life, []any{<-n.events})
	}
	cancel()
	n.calls.Wait()
	n.pool.close()
	parts.Wait()
	return n.journal.close()
}

// Move tells a running node that discovery is at another address now. It may be called at any time.
func (n *Node) Move(addr string) {
	select {
	case n.moves <- addr:
	case <-n.over:
	}
}

// consult keeps the watch and the reports at discovery's address, and takes both along when that changes. Another
// server is asked for all it has, so that nothing is lost; while its list is older than what was told, it is not
// taken, or a drain could be undone. Notices that were not answered go to the new address.
func (n *Node) consult(ctx context.Context) {
	addr, after := n.cfg.Discovery, n.cfg.Known.Revision
	newest, caughtUp := after, time.Now() // only the watch, of which there is one at a time, uses them
	tell := func(l list) error {
		if l.Revision < newest && time.Now().Before(caughtUp) {
			return errBehind
		}
		newest = l.Revision
		n.tell(ctx, l)
		return nil
	}
	var unanswered []notice
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
		client := &http.Client{Transport: transport}
		at, from := addr, after // those below change while the parts begin
		var parts sync.WaitGroup
		parts.Go(func() { watch(here, n.log, client, at, from, tell) })
		parts.Go(func() {
			unanswered = report(here, n.log, client, at, unanswered, n.notices, func(b []notice) { n.tell(ctx, settled(b)) })
		})
		for stay := true; stay; { // being told the same address again changes nothing
			select {
			case to := <-n.moves:
				if to != addr {
					n.log.Info("discovery moves", "to", to)
					addr, after, stay = to, 0, false
				}
			case <-ctx.Done():
				stay = false
			}
		}
		leave()
		parts.Wait()
		transport.CloseIdleConnections()
		caughtUp = time.Now().Add(catchUpTime)
	}
}

// replayed makes the first events: the list as it was last known, and what the journal says is still owed.
func (n *Node) replayed() []choice.Event {
	known := n.cfg.Known
	known.Complete = true
	events := []choice.Event{n.listed(known)}
	// In the order in which they were taken on.
	for _, seq := range slices.Sorted(maps.Keys(n.journal.live)) {
		p := n.journal.live[seq]
		n.messages[p.id] = p
		if p.ended != nil {
			n.owed = append(n.owed, newNotice(p))
			continue
		}
		n.held++
		events = append(events, n.resumed(p))
	}
	if len(n.messages) > 0 {
		n.log.Info("journal replayed", "resumed", n.held, "notices", len(n.owed))
	}
	return events
}

// resumed tells the module of a message's past. An attempt that is not proven not to have run may have.
func (n *Node) resumed(p *past) choice.Resumed {
	r := choice.Resumed{Arrived: n.arrived(p, p.deadline), Attempts: len(p.sends)}
	for _, s := range p.sends {
		r.Failed = r.Failed || s.failed
		if !s.notRun && !r.Touched {
			r.Touched, r.MayRun, r.Zone = true, n.at(s.at), s.zone
		}
	}
	return r
}

// arrived is the module's event of a message. A deadline that has not been through the journal is on the
// monotonic clock, so that a step of the wall clock does not move it.
func (n *Node) arrived(p *past, deadline time.Time) choice.Arrived {
	return choice.Arrived{ID: p.name(), Class: p.class, Dest: p.dest, Key: p.key, DropDead: n.at(deadline)}
}

// tell hands the loop an event.
func (n *Node) tell(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// hand hands in a client's request and waits for the answer.
func (n *Node) hand(ctx context.Context, q request) answer {
	a := arrival{request: q, reply: make(chan answer, 1)}
	n.tell(ctx, a)
	select {
	case r := <-a.reply:
		return r
	case <-ctx.Done():
		return answer{refused: true, after: n.cfg.Settings.MaxRetryAfter} // the loop has ended and did not take it on
	}
}

// loop batches what has come and steps through it, until the node has left.
func (n *Node) loop(ctx context.Context, gone <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(n.untilWake())
		notices := n.notices
		if len(n.owed) == 0 {
			notices = nil
		}
		var batch []any
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
		case notices <- n.owed:
			n.owed = nil
			continue
		case <-gone:
			return
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case e := <-n.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		n.take(ctx, batch)
	}
}

// untilWake is the time to the module's next wake, or to the next try of a journal that could not be written.
func (n *Node) untilWake() time.Duration {
	wait := time.Hour
	if n.wakeAt > 0 {
		wait = max(n.wakeAt-n.now(), 0)
	}
	if n.journal.broken {
		wait = min(wait, compactPause)
	}
	return wait
}

// newcomers are the messages of a batch, with all who handed them in: one id may stand there more than once.
type newcomers map[uint64][]arrival

func (w newcomers) reply(seq uint64, a answer) {
	for _, c := range w[seq] {
		c.reply <- a
	}
}

// take turns a batch into the module's events, and steps.
func (n *Node) take(ctx context.Context, batch []any) {
	var events []choice.Event
	fresh := newcomers{}
	for _, e := range batch {
		switch e := e.(type) {
		case list:
			events = append(events, n.listed(e))
		case called:
			events = append(events, n.called(e))
		case settled:
			for _, s := range e {
				n.forget(s.of)
			}
		case choice.Leaving:
			events = append(events, e)
		case arrival:
			if p := n.accept(e, fresh); p != nil {
				events = append(events, n.arrived(p, e.came.Add(e.life)))
			}
		}
	}
	// What the module is about to be told of, and the clients with it, rests on these records.
	if err := n.journal.flush(); err != nil && len(fresh) > 0 {
		n.log.Error("messages turned away", "err", err)
		events = slices.DeleteFunc(events, func(e choice.Event) bool {
			_, isNew := e.(choice.Arrived)
			return isNew
		})
		for seq, all := range fresh {
			n.forget(n.journal.live[seq])
			fresh.reply(seq, n.turnAway(all[0]))
		}
		fresh = nil
	}
	if n.wakeAt > 0 && n.now() >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.Rang{Tag: "sweep"})
	}
	n.step(ctx, events, fresh)
}

// accept journals a new message and returns it; one that is not new, or can't be taken on, gets its answer.
func (n *Node) accept(a arrival, fresh newcomers) *past {
	p := n.messages[a.id]
	switch {
	case p != nil && fresh[p.seq] != nil: // its fate is not known yet
		fresh[p.seq] = append(fresh[p.seq], a)
		return nil
	case p != nil: // taken on before: handed in again it has no second effect
		n.acts = append(n.acts, func() { a.reply <- answer{} })
		return nil
	case !n.sender.Knows(a.dest):
		a.reply <- answer{failed: "unknown destination"}
		return nil
	case n.cfg.Settings.MaxOpen > 0 && n.held >= n.cfg.Settings.MaxOpen:
		a.reply <- n.turnAway(a)
		return nil
	}
	p, err := n.journal.accept(
		&past{id: a.id, key: a.key, class: a.class, dest: a.dest, body: a.body, deadline: a.came.Add(a.life)})
	if err != nil {
		a.reply <- n.turnAway(a)
		return nil
	}
	n.messages[p.id] = p
	n.held++
	fresh[p.seq] = []arrival{a}
	return p
}

// turnAway refuses a message for want of room, before the module has heard of it.
func (n *Node) turnAway(a arrival) answer {
	return answer{refused: true, after: n.sender.StayAway(a.dest)}
}

// forget ends all that the node has of a message.
func (n *Node) forget(p *past) {
	if n.messages[p.id] != p {
		return
	}
	if p.ended == nil {
		n.held--
	}
	delete(n.messages, p.id)
	n.journal.add(record(recOver, p.seq))
}

// listed brings the endpoints up to date. Calls that have not written their first byte hear of it by shut.
func (n *Node) listed(l list) choice.Listed {
	maps.DeleteFunc(n.waits, func(dest int, _ *atomic.Int64) bool { return !n.sender.Knows(dest) })
	l.Members = slices.DeleteFunc(l.Members, func(m member) bool { return m.ID == "" })
	entries := l.entries(n.cfg.Names)
	named := map[string]bool{}
	for i, m := range l.Members {
		named[m.ID] = true
		e := n.eps[m.ID]
		if entries[i].Phase != choice.Ready {
			n.shut(e)
			continue
		}
		if e == nil || e.addr != m.Addr {
			n.shut(e)
			n.eps[m.ID] = &endpoint{id: m.ID, addr: m.Addr, zone: entries[i].Zone, wait: n.waitOf(entries[i])}
		}
	}
	for id, e := range n.eps {
		if l.Complete && !named[id] {
			n.shut(e)
		}
	}
	return choice.Listed{Whole: l.Complete, Entries: entries}
}

func (n *Node) shut(e *endpoint) {
	if e != nil {
		e.shut.Store(true)
		delete(n.eps, e.id)
		n.pool.hangUp(e.id, 0)
	}
}

// waitOf is where the waits are kept that bind an endpoint: its own if it is a route apart.
func (n *Node) waitOf(e choice.Entry) *atomic.Int64 {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) && kinds[e.Kind].Apart {
		return new(atomic.Int64)
	}
	if n.waits[e.Dest] == nil {
		n.waits[e.Dest] = new(atomic.Int64)
	}
	return n.waits[e.Dest]
}

// called notes the outcome of a call. Without a record of it, the attempt may have run.
func (n *Node) called(e called) choice.Event {
	m := n.out[e.attempt].m
	delete(n.out, e.attempt)
	ended := choice.Ended{
		ID: m.name(), Attempt: e.n, Endpoint: e.endpoint.id, Outcome: e.outcome, Took: e.took, Closed: e.closed,
		Wait: e.wait, NoSlot: e.noSlot, Report: e.report, Kept: e.kept, HungUp: e.hungUp,
	}
	ominous := n.sender.Ominous(m.dest, ended)
	switch e.outcome {
	case choice.NoRoom, choice.NoRoute, choice.Stale:
		kind := recTurnedAway
		if ominous {
			kind = recNotRun
		}
		n.journal.add(outcomeRecord(kind, e.seq, e.n))
	default:
		if ominous {
			n.journal.add(outcomeRecord(recFailed, e.seq, e.n))
		}
	}
	if e.closed && m.ended == nil {
		n.forget(m)
	}
	if e.wait > 0 {
		until := time.Now().Add(e.wait).UnixNano()
		e.endpoint.wait.Store(max(until, e.endpoint.wait.Load()))
	}
	return ended
}

// step lets the module decide and carries out what it says, in order, once the records are written that guard
// it. fresh are the messages whose clients still wait to hear whether they are taken on.
func (n *Node) step(ctx context.Context, events []choice.Event, fresh newcomers) {
	for _, a := range n.sender.Step(n.now(), events) {
		switch a := a.(type) {
		case choice.Send:
			n.send(ctx, a)
		case choice.PushBack:
			n.end(a.ID, ending{after: a.RetryAfter}, fresh)
		case choice.Fail:
			n.end(a.ID, ending{failed: true}, fresh)
		case choice.Cancel:
			n.acts = append(n.acts, func() {
				if c, ok := n.out[attempt{seqOf(a.ID), a.Attempt}]; ok {
					c.cancel()
				}
			})
		case choice.HangUp:
			n.pool.hangUp(a.Endpoint, a.Keep)
		case choice.Wake:
			if n.wakeAt == 0 || a.At < n.wakeAt {
				n.wakeAt = a.At
			}
		case choice.Note:
			n.log.Info(a.Text)
		}
	}
	for seq := range fresh { // not refused, so taken on
		n.acts = append(n.acts, func() { fresh.reply(seq, answer{}) })
	}
	if err := n.journal.flush(); err != nil {
		n.log.Error("waiting for the journal", "acts", len(n.acts), "err", err)
		return
	}
	for _, act := range n.acts {
		act()
	}
	n.acts = n.acts[:0]
}

// end gives a message its final answer: to its client if that still waits, and by a notice otherwise.
func (n *Node) end(id string, e ending, fresh newcomers) {
	p := n.journal.live[seqOf(id)]
	if p == nil || p.ended != nil {
		return
	}
	if all, ok := fresh[p.seq]; ok {
		delete(fresh, p.seq)
		n.forget(p)
		reply := answer{refused: true, after: e.after}
		if e.failed {
			reply = answer{failed: "the message failed"}
		}
		n.acts = append(n.acts, func() { newcomers{p.seq: all}.reply(p.seq, reply) })
		return
	}
	n.held--
	n.journal.add(endedRecord(p.seq, e))
	notice := newNotice(p)
	n.acts = append(n.acts, func() { n.owed = append(n.owed, notice) })
}

// send journals an attempt, and makes the call once that is written.
func (n *Node) send(ctx context.Context, a choice.Send) {
	p, e := n.journal.live[seqOf(a.ID)], n.eps[a.Endpoint]
	if e == nil {
		// The list has just lost it; a call there is Stale, and so proven not to have run.
		e = &endpoint{id: a.Endpoint, wait: new(atomic.Int64)}
		e.shut.Store(true)
	}
	name, now := attempt{p.seq, len(p.sends)}, time.Now()
	n.journal.add(attemptRecord(p.seq, now, e.zone))
	c := call{id: p.id, key: p.key, body: p.body, endpoint: e, notPast: n.wall(a.NotPast), fresh: a.Fresh}
	n.acts = append(n.acts, func() {
		ctx, cancel := context.WithCancel(ctx)
		n.out[name] = outCall{p, cancel}
		n.calls.Go(func() {
			defer cancel()
			began := time.Now()
			res := n.pool.do(ctx, c)
			took := time.Since(began)
			if !res.heard.IsZero() {
				took = res.heard.Sub(began) // an answer may be spoilt from there on, and take its time
			}
			// Not by tell: the loop takes every call's end, also while the node leaves.
			n.events <- called{name, e, res, took}
		})
	})
}
