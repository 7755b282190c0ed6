package delivery

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
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
	workerIdle = time.Second
	leastWaits = 64
	maxAgain   = 64 // further lives at a time
	// What the list's source has to tell binds from the start, also what changed while nobody asked. One that is at hand
	// answers at once; one that has not after as long as a drain leaves is not waited for.
	settleTime = 250 * time.Millisecond
	byeTime    = time.Second // for the loop to let a waiter go; it takes longer only while the journal can't be written
)

// Config is what an engine is told at its start.
type Config struct {
	State  string  // the folder that lasts; it must exist and be writable
	DiskMB float64 // what the folder may hold, in MiB; 3 if not given
	// Settings are facts of the deployment. Slots and Classes are needed.
	Settings choice.Settings
	Seed     string // for random numbers; hexadecimal, or any other text
	Known    List   // the endpoints as they were last known; taken as the whole list
	// Members brings the list from then on; nil where it never changes.
	Members Membership
	// Keeper takes what ends undelivered; nil where nobody does.
	Keeper Keeper
	// LeaveAfter is for how long messages are still taken on and sent once the engine has been told to stop.
	LeaveAfter time.Duration
	Log        *slog.Logger // nil for none
	// Recorder is told what the engine tells the decisions and what they answer; nil for none.
	Recorder Recorder
	// Shared is where nodes that talk tell each other what they see; nil where they don't talk.
	Shared Shared
	// Copies holds the journal on further nodes; nil for on none.
	Copies Copies
	// Boot is the machine's clock, by which spans of time hold across restarts; nil where the wall clock has to serve.
	Boot BootClock

	files fileSystem // of tests; nil for the system's
}

// Message is one piece of work as a front hands it in.
type Message struct {
	ID   string // of the front's own choosing; a message of the same ID and content is the same one
	Key  string // idempotency key, for a class that has them
	Body []byte // MaxBody bytes at most; must not be changed afterwards
	// Class is its number in the settings, Dest its destination's.
	Class, Dest int
	// Tenant is its number in the settings, counted from 1; 0 for none.
	Tenant int
	Came   time.Time // when it came in,
	Life   time.Duration
	// Unkept stands in the place of a body that was read and could not be kept. Such a message is taken on by nobody; but one that the
	// engine has already is answered as any that comes again.
	Unkept *Unkept
	// Keep has its end kept until Acknowledge, also if somebody waited for it.
	Keep bool
}

// Answer says whether a message was taken on: from then on the engine owes it an end.
type Answer struct {
	Refused bool          // handing it in again is harmless,
	After   time.Duration // and makes sense from then on
	Failed  string        // not taken on and no use in coming again, for this reason
}

// What can become of a message before it has an end.
var (
	ErrUnknownFront = errors.New("the engine was not opened with this front")
	ErrStopped      = errors.New("the engine has stopped")
	// ErrInvalid is wrapped by what Do says of a message that can't be taken on as it is.
	ErrInvalid = errors.New("the message can't be taken on")
	// ErrWaitOver is wrapped by what Do says when its context ended first. The message goes on to its end.
	ErrWaitOver = errors.New("the wait for the end is over; the message goes on")
	// ErrMissing says that the engine has nothing under this ID: it was never taken on, or its end was acknowledged.
	ErrMissing = errors.New("no message of this ID")
	// ErrPending says that a message has not ended yet.
	ErrPending = errors.New("the message has not ended")
)

// Engine takes messages on and sees them to their ends. One goroutine, in loop, owns all that is not said to be
// shared.
type Engine struct {
	cfg      Config
	log      *slog.Logger
	sender   *choice.Sender
	journal  *journal
	fronts   map[string]*front // fixed
	batchers []Batcher         // the carriers, if all of them are; fixed
	start    time.Time
	events   chan any
	stopping chan struct{}    // closed when nothing new is taken on any more
	over     chan struct{}    // closed when the loop has ended
	messages map[string]*past // all in the journal, by front and id: see ref
	ended    recentEnds       // not in the journal any more
	refused  recentEnds       // of fronts with new IDs: messages that were not taken on
	digester digester
	out      map[attempt]outCall
	eps      map[string]*Endpoint
	waits    map[int]*atomic.Int64 // of destinations whose endpoints share them
	// journalDown is since when the journal can't be written; zero while it can.
	journalDown time.Time
	waitsMost   int                 // with more of them, those of destinations that are not known any more are dropped
	held        int                 // messages without their final answer, further lives not counted
	unsettled   int                 // attempts that are undecided
	again       int                 // further lives
	lost        []Lost              // for the keeper, before the next flush
	late        []Ref               // likewise
	lateLogged  time.Time           // when the loop was last logged as late
	acts        []act               // what the records that are not yet written guard, in order
	hold        holding             // with Copies
	inherited   map[uint64]*journal // by the base of their messages' numbers
	homes       uint64              // how many were ever inherited
	wakeAt      time.Duration       // of the module; 0 none
	leaveBy     time.Time           // by then the engine ends; zero while that is not known
	calls       sync.WaitGroup
	jobs        chan func()     // to a worker that is idle
	quit        chan struct{}   // closed when no more calls come
	first       []choice.Event  // the list that it was opened with, and what the source told before anything was sent
	byes        []chan struct{} // of waiters who go, and may have an end among acts
	closed      sync.Once
}

// Events of the loop.
type (
	arrival struct {
		Message
		front *front
		life  *Life       // of a further life
		reply chan Answer // whether it was taken on; one of the two is given
		end   chan End    // its end, or the refusal; takes one without blocking
	}
	called struct {
		attempt
		endpoint *Endpoint
		Result
		took  time.Duration
		began time.Time
		first bool   // of the messages of its call
		times *Times // of the first message of a call that is recorded
	}
	settled  []End
	stood    attempt // an undecided attempt whose result stands
	question struct {
		front *front
		ids   []string // none for all that have ended
		ack   bool
		reply chan []found
	}
	// forsaken says that a waiter goes; done is closed once nothing more is sent to it.
	forsaken struct {
		ref  string
		end  chan End
		done chan struct{}
	}
)

// Open locks the state folder and replays its journal. It fails with ErrInUse if another engine has the folder, and
// with ErrPartnersTaken if one of this process calls the same endpoints. Every front that the journal has messages
// of must be given. Run has to be called next, or Close.
func Open(cfg Config, fronts ...Front) (*Engine, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	batchers := batchersOf(fronts)
	cfg.Settings.Kinds = slices.Clone(cfg.Settings.Kinds)
	for i := range cfg.Settings.Kinds {
		for _, b := range batchers {
			if k := &cfg.Settings.Kinds[i]; k.Room == 0 || b.Room() < k.Room {
				k.Room = b.Room()
			}
		}
	}
	n := &Engine{
		cfg: cfg, log: cfg.Log, sender: choice.New(cfg.Settings, seed(cfg.Seed)), start: time.Now(), batchers: batchers,
		fronts: map[string]*front{}, events: make(chan any, eventQueue), stopping: make(chan struct{}),
		over: make(chan struct{}), messages: map[string]*past{}, out: map[attempt]outCall{}, eps: map[string]*Endpoint{},
		waits: map[int]*atomic.Int64{}, inherited: map[uint64]*journal{}, jobs: make(chan func()), quit: make(chan struct{}),
	}
	for _, f := range fronts {
		if n.fronts[f.Name] != nil || f.Carrier == nil || len(f.Name) > maxWord {
			return nil, fmt.Errorf("delivery: front %q: it is given twice, or has no carrier", f.Name)
		}
		n.fronts[f.Name] = &front{Front: f, owed: mailbox{more: make(chan struct{}, 1)}, unacknowledged: newBacklog()}
	}
	j, err := n.openWhenReady()
	if err != nil {
		return nil, err
	}
	n.journal = j
	j.copied = cfg.Copies != nil
	n.logClock()
	if err := n.check(); err != nil {
		n.closeAll()
		return nil, err
	}
	return n, nil
}

// batchersOf returns the carriers of the fronts if all of them can put several messages into a call.
func batchersOf(fronts []Front) []Batcher {
	var all []Batcher
	for _, f := range fronts {
		b, ok := f.Carrier.(Batcher)
		if !ok {
			return nil
		}
		all = append(all, b)
	}
	return all
}

// batches tells whether a call to a destination may hold several messages.
func (n *Engine) batches(dest int) bool {
	return len(n.batchers) > 0 && !slices.ContainsFunc(n.batchers, func(b Batcher) bool { return !b.Batches(dest) })
}

// check takes the known endpoints, and looks whether all that the journal owes can be served.
func (n *Engine) check() error {
	for _, p := range n.journal.live {
		switch {
		case n.fronts[p.front] == nil:
			return fmt.Errorf("delivery: %s holds messages of front %q: %w", n.cfg.State, p.front, ErrUnknownFront)
		case p.class >= len(n.cfg.Settings.Classes):
			return fmt.Errorf("delivery: %s holds message %q of class %d, and the settings have %d classes",
				n.cfg.State, p.id, p.class, len(n.cfg.Settings.Classes))
		}
	}
	known := n.cfg.Known
	known.Complete = true
	first, err := n.listed(known)
	n.first = []choice.Event{first}
	return err
}

// Close gives back the state folder of an engine that was not run.
func (n *Engine) Close() error { return n.closeAll() }

func (n *Engine) closeAll() (err error) {
	n.closed.Do(func() {
		for _, e := range n.eps {
			releaseAll(e.claimedAddrs())
		}
		for _, j := range n.journals() {
			err = errors.Join(err, j.close())
		}
	})
	return err
}

// Classes are those of the settings, by their numbers; they must not be changed.
func (n *Engine) Classes() []choice.Class { return n.cfg.Settings.Classes }

// Serves tells that the engine was opened with the carrier under that front's name.
func (n *Engine) Serves(front string, c Carrier) bool {
	f := n.fronts[front]
	return f != nil && f.Carrier == c
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
func (n *Engine) now() time.Duration { return n.at(time.Now()) }

func (n *Engine) at(t time.Time) time.Duration { return epoch + t.Sub(n.start) }

func (n *Engine) wall(d time.Duration) time.Time { return n.start.Add(d - epoch) }

// ref is what a message is found by: fronts choose ids by themselves.
func ref(front, id string) string {
	if front == "" {
		return id
	}
	return front + "\x00" + id
}

// Run serves until ctx ends; then it finishes what can end within LeaveAfter, and leaves the rest to the journal. It
// is called once.
func (n *Engine) Run(ctx context.Context) error {
	// The parts outlive ctx by the time that it takes to leave.
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer close(n.over)
	if n.cfg.Recorder != nil {
		n.cfg.Recorder.Opened(n.cfg.Settings, seed(n.cfg.Seed), n.wall(0))
	}
	var parts sync.WaitGroup
	if n.cfg.Members != nil {
		parts.Go(func() { n.cfg.Members.Watch(life, func(l List) { n.tell(life, l) }) })
	}
	if n.cfg.Copies != nil {
		parts.Go(func() { n.cfg.Copies.Watch(life, func(c Covered) { n.tell(life, c) }) })
	}
	if n.cfg.Shared != nil {
		parts.Go(func() { n.cfg.Shared.Watch(life, func(news News) { n.tell(life, news) }) })
	}
	came := n.settle()
	n.step(life, n.replayed(), nil)
	n.take(life, came)

	for _, f := range n.fronts {
		if f.Sink != nil {
			parts.Go(func() { n.report(life, f) })
			parts.Go(func() { n.watchBacklog(life, f) })
		}
	}
	gone := make(chan struct{})
	parts.Go(func() {
		defer close(gone)
		<-ctx.Done()
		n.tell(life, choice.Leaving{By: n.now() + n.cfg.LeaveAfter})
		for _, f := range n.fronts {
			if l, ok := f.Carrier.(Leaver); ok {
				l.Leaving()
			}
		}
		sleep(life, n.cfg.LeaveAfter)
		for _, f := range n.fronts {
			if f.Leave != nil {
				f.Leave() // those inside a request get their answers from the loop, which still runs
			}
		}
		close(n.stopping)
	})
	n.loop(life, gone)

	for a, c := range n.out {
		if c.cancel(); c.undecided != nil {
			delete(n.out, a) // for the next life it may have run
		}
	}
	for len(n.out) > 0 { // each call that is called off ends by an event
		n.take(life, []any{<-n.events})
	}
	cancel()
	close(n.quit)
	n.calls.Wait()
	for _, f := range n.fronts {
		f.Carrier.Close()
	}
	parts.Wait()
	return n.closeAll()
}

// settle waits for what the source of the list tells first, settleTime at most, so that nothing is sent by a list that had
// grown old before the start. It returns what else came meanwhile.
func (n *Engine) settle() (came []any) {
	if n.cfg.Members == nil || len(n.cfg.Known.Members) == 0 {
		return nil
	}
	late := time.NewTimer(settleTime)
	defer late.Stop()
	for {
		select {
		case e := <-n.events:
			l, ok := e.(List)
			if !ok {
				came = append(came, e)
				continue
			}
			n.first = append(n.first, n.told(l))
			return came
		case <-late.C:
			return came
		}
	}
}

// sleep waits, or returns when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// replayed makes the first events: the list as it was last known, and what the journal says is still owed.
func (n *Engine) replayed() []choice.Event {
	events := slices.Clone(n.first)
	ended := 0
	for _, w := range n.journal.running(time.Now()) {
		until := n.journal.waits[w]
		events = append(events, choice.Waits{Dest: w.dest, Endpoint: w.endpoint, Until: n.at(until)})
		// Nor does a call that is on its way when the wait is known begin.
		if e := n.eps[w.endpoint]; e != nil {
			e.Wait(until)
		} else if shared := n.waits[w.dest]; shared != nil && w.endpoint == "" {
			(&Endpoint{base: n.start, wait: shared}).Wait(until)
		}
	}
	events = append(events, n.outagesBefore()...)
	// In the order in which they were taken on.
	for _, seq := range slices.Sorted(maps.Keys(n.journal.live)) {
		p := n.journal.live[seq]
		n.messages[ref(p.front, p.id)] = p
		if p.ended != nil {
			ended++
			n.fronts[p.front].oweAgain(p)
			continue
		}
		*n.count(p)++
		n.noteUnknownAttempt(p, false)
		if n.cfg.Recorder != nil {
			n.cfg.Recorder.Handed(Handed{Name: p.name(), Front: p.front, ID: p.id, Came: n.now()})
		}
		events = append(events, n.resumed(p))
	}
	if len(n.messages) > 0 || len(n.journal.outages) > 0 {
		n.log.Info("journal replayed", "resumed", n.held+n.again, "ends", ended, "routes_not_healthy", len(n.journal.outages))
	}
	return events
}

// count is the number that a message counts in.
func (n *Engine) count(p *past) *int {
	if p.again() {
		return &n.again
	}
	return &n.held
}

// Owed returns what the journal owes an end. It is for who has to know before Run.
func (n *Engine) Owed() []Owed {
	var all []Owed
	for _, p := range n.journal.live {
		if p.ended == nil {
			all = append(all, Owed{p.ref(), p.again()})
		}
	}
	return all
}

// resumed tells the module of a message's past. An attempt that is not proven not to have run may have.
func (n *Engine) resumed(p *past) choice.Resumed {
	r := choice.Resumed{Arrived: n.arrived(p, p.deadline), Attempts: len(p.sends), Spare: p.again()}
	if !p.mayRun.IsZero() {
		r.Touched, r.MayRun, r.Zone = true, n.at(p.mayRun), int(p.mayZone)
	}
	for _, s := range p.sends {
		r.Failed = r.Failed || s.failed
		r.MayBeOver = r.MayBeOver || s.mayBeOver
		if at := max(n.at(s.at), 1); !s.notRun && (!r.Touched || at < r.MayRun) {
			r.Touched, r.MayRun, r.Zone = true, at, s.zone
		}
	}
	if p.home.reboot { // the wall clock may have been stepped: no repeat by it, and no deadline further away than ever
		r.MayRun = min(r.MayRun, 1)
		r.DropDead = min(r.DropDead, n.now()+n.cfg.Settings.Classes[p.class].Deadline)
	}
	return r
}

// arrived is the module's event of a message. A deadline that has not been through the journal is on the
// monotonic clock, so that a step of the wall clock does not move it.
func (n *Engine) arrived(p *past, deadline time.Time) choice.Arrived {
	a := choice.Arrived{ID: p.name(), Class: p.class, Tenant: p.tenant - 1, Dest: p.dest, Key: p.key, DropDead: n.at(deadline)}
	for _, b := range n.batchers {
		a.Size = max(a.Size, b.Size(p.id, p.key, len(p.body)))
	}
	return a
}
