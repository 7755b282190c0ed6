package delivery

import (
	"context"
	"sync/atomic"
	"time"

	"starlingusher/choice"
)

// Attempt is one call to be made, once.
type Attempt struct {
	ID, Key  string // of the message; Key is empty where its class has none
	Class    int    // its number in the settings
	Dest     int
	Ref      Ref    // of the message across its lives
	Body     []byte // must not be changed
	Endpoint *Endpoint
	NotPast  time.Time // when it is to be abandoned
	BeginBy  time.Time // no byte of it is written later than that, if not zero: its repeat would not be dropped as one
	Fresh    bool      // not on a connection that was used before
	Once     bool      // it must not run twice
	Number   int       // among the message's attempts, from 0
	// UndecidedFor is for how long, from the begin, the result may stay undecided if only time can tell; 0 for no longer than it takes to see that.
	UndecidedFor time.Duration
	// Settle takes the final result, once, of an attempt whose result was undecided; nil says that the result stands. It may be called by
	// another goroutine, and before the attempt has returned. If there is none, the attempt returns when its result is final.
	Settle func(*Result)
	// Times, if not nil, takes when the call did what. The carrier may write to it until the attempt returns; of a call
	// with several messages to that of the first alone.
	Times *Times
}

// MayBegin tells whether the first byte may be written now. It is asked again after whatever takes time before that, as a
// dial does: the endpoint may have begun to drain or asked for a wait, and the time for a repeat may be over.
func (a Attempt) MayBegin(now time.Time) bool {
	return !a.Endpoint.ClosedTo(now) && (a.BeginBy.IsZero() || !now.After(a.BeginBy))
}

// Result is how an attempt ended.
type Result struct {
	Outcome choice.Outcome
	// NotRun says that it is proven that the partner has not begun the call and never will. Without that the attempt
	// may have run, whatever Outcome says.
	NotRun bool
	Closed bool // the message is over: delivered, or nothing more is owed
	NoSlot bool // not sent, since all of this node's slots were taken
	Kept   bool // it went out on a connection that had been in use before
	HungUp bool // the partner closes the connection after its answer
	// Undecided says that the answer may be another call's. The slot is free; what became of the message is told by Attempt.Settle.
	Undecided bool
	// Replies are those that the message may have had, where that can't be told: it is then never sent again if one of them says that it is over.
	Replies choice.Replies
	Wait    time.Duration // the partner asked to be left alone for so long
	Report  choice.Report
	Heard   time.Time // when the answer began, if that is known; it may take its time from there on
	On      Exchange  // where the response came

	Refused bool  // with Closed: the partner has answered that it will not do it
	Code    int   // with Refused: the partner's own number for why
	Reply   any   // with Closed: for whoever waits for the end
	Err     error // what the partner or the network said, in words
}

// Exchange names a request and its response, for the log. The zero value is of a carrier that does not number them.
type Exchange struct {
	Connection uint32 // among all of the carrier
	Number     uint16 // among the requests on it, from 1
	Status     uint16 // of the response; 0 for none that could be read
}

// outcome is what the module may believe. That nothing ran takes a proof, and a proof counts whatever ended the call.
func (r Result) outcome() choice.Outcome {
	switch r.Outcome {
	case choice.NoRoom, choice.NoRoute, choice.Stale:
		if !r.NotRun {
			return choice.Cut
		}
	case choice.Fault, choice.Cut, choice.TooSlow:
		if r.NotRun {
			return choice.NoRoute
		}
	case choice.Undone:
		if r.NotRun {
			return choice.Stale
		}
	}
	return r.Outcome
}

// notRun tells that an outcome proves that nothing ran.
func notRun(o choice.Outcome) bool {
	return o == choice.NoRoom || o == choice.NoRoute || o == choice.Stale
}

// Carrier makes attempts. Its methods may be called by many goroutines at a time.
type Carrier interface {
	// Attempt makes one attempt and returns when its slot is free again: at the answer, or when the call is given up
	// for good. It writes at most one call, gives it up when ctx ends or at a.NotPast, and begins none that may not
	// begin any more: see Attempt.MayBegin.
	Attempt(ctx context.Context, a Attempt) Result
	// HangUp closes the endpoint's idle connections, all but keep that were used last. With keep 0 the endpoint may
	// have gone for good.
	HangUp(endpoint string, keep int)
	// Close gives back what is left, after the last attempt.
	Close()
}

// Batcher is a Carrier that can put several messages for an endpoint into one call. An engine has calls with several
// only if the carriers of all its fronts are Batchers, since any of them may then have to carry any front's messages.
type Batcher interface {
	Carrier
	// Batches tells whether calls to a destination may hold several messages.
	Batches(dest int) bool
	// Room is how many bytes of messages a call with several may hold, and Size how many a message takes of it.
	Room() int
	Size(id, key string, body int) int
	// AttemptAll is Attempt for several messages to one endpoint in one call, each named once. The call is given up at
	// the latest NotPast; the results stand in the order of the attempts.
	AttemptAll(ctx context.Context, all []Attempt) []Result
}

// Leaver is a Carrier that is told when the process is about to end, while calls are still made.
type Leaver interface {
	Carrier
	// Leaving has results that are undecided settled as far as further calls can do that.
	Leaving()
}

// Member is one endpoint of a list.
type Member struct {
	ID     string            // the same for all who list it; one without is passed over
	Addr   string            // where it is called,
	Addrs  map[string]string // by front, where that differs from Addr
	Zone   int               // numbers by the settings' order; -1 for one that they do not name
	Kind   int
	Dest   int // its destination
	Phase  choice.Phase
	Weight float64 // calls a second that it takes from all nodes together, roughly
}

// List is a list of endpoints: all there are, or those that have changed.
type List struct {
	Complete bool
	Members  []Member
}

// Membership is a source of the list.
type Membership interface {
	// Watch hands on each list and each change in their order until ctx ends. It deals with its own failures: while
	// there is no news the engine goes on with what it was told last.
	Watch(ctx context.Context, tell func(List))
}

// State is how a message ended.
type State uint8

// The states of an end.
const (
	Returned  State = iota // not done, and never will be: coming again is harmless, after End.After
	Failed                 // it may have been done; nothing is promised
	Delivered              // the partner has done it
	Refused                // the partner has answered that it will not do it, for the reason in End.Code
)

func (s State) String() string {
	switch s {
	case Returned:
		return "returned"
	case Failed:
		return "failed"
	case Delivered:
		return "delivered"
	case Refused:
		return "refused"
	}
	return "unknown"
}

// End is the one final answer of a message.
type End struct {
	ID    string
	State State
	After time.Duration // Returned: when to come again
	Code  int           // Refused: the partner's own number for why

	Reply any   // what the carrier brought, for those who wait; never after a restart
	Err   error // the last thing that an attempt met, likewise
	of    *past
}

// Sink takes the ends that nobody waits for.
type Sink interface {
	// Serve takes ends out of the outbox until ctx ends. It has acknowledged called with each end that is taken for good, in any order;
	// the call may wait. Ends may come again, after a restart: one that was acknowledged before does no harm.
	Serve(ctx context.Context, from Outbox, acknowledged func([]End))
}

// Outbox holds the ends that a sink has yet to take, oldest first.
type Outbox interface {
	// Take waits for ends and takes some out; none once ctx has ended.
	Take(ctx context.Context) []End
}

// SinkFunc is a Sink that takes ends one batch after another: it returns nil once all of a batch are acknowledged. After an error the
// batch comes again.
type SinkFunc func(ctx context.Context, ends []End) error

// Serve makes SinkFunc a Sink.
func (f SinkFunc) Serve(ctx context.Context, from Outbox, acknowledged func([]End)) {
	for {
		ends := from.Take(ctx)
		if len(ends) == 0 {
			return
		}
		for ctx.Err() == nil {
			if f(ctx, ends) == nil {
				acknowledged(ends)
				break
			}
			sleep(ctx, sinkPause)
		}
	}
}

// Front is one way in. Its name is kept with its messages, so it stays the same from one life to the next.
type Front struct {
	Name    string // empty for the front that the journal does not name
	Carrier Carrier
	// Sink takes the ends of messages that did not get through. Without one the engine keeps all ends, also of those
	// that did, until Acknowledge. With one it keeps those of messages with Keep, until the sink has taken what it is told of, and Acknowledge.
	Sink Sink
	// NewIDs says that no two messages have one ID: one that comes again, also after it was refused or returned, is a copy on its way.
	NewIDs bool
	// NoRetry says that nobody hands a message in again: its client was told that it is processed. One that would end as Returned ends as
	// Failed instead.
	NoRetry bool
	// Leave, if given, is called when the engine is about to stop. It returns when nothing more is handed in.
	Leave func()
}

// Ref names a message across its lives: ids may come again, with another deadline.
type Ref struct {
	Front, ID string
	Deadline  time.Time // of its first life; to the microsecond
}

// Tried is one attempt that was made.
type Tried struct {
	At        time.Time
	Endpoint  string // empty if the attempt was made by a build that did not note it
	Zone      int
	Outcome   choice.Outcome // if Known
	Known     bool           // false for one whose process ended, or whose call is still out
	NotRun    bool           // proven not to have run, and never to run
	MayBeOver bool           // its endpoint may have said that nobody wants the message any more
	Err       string         // what it met, in words
}

// Lost is a message that ends undelivered, with all that is known of it.
type Lost struct {
	Ref
	Key         string
	Class, Dest int
	Tenant      int    // as in Message
	Body        []byte // must not be changed
	State       State
	Code        int // Refused: the partner's own number for why
	Due, Ended  time.Time
	Tried       []Tried   // in this life
	Wait        time.Time // until when its destination asked to be left alone; zero if it did not
	Again       bool      // it was a further life, by Engine.Resend
}

// Keeper takes the messages that end undelivered: those that end as Failed, and each further life that does not end as
// Delivered. The engine calls it from one goroutine and waits for it. It is called before the end is written, so that
// a kill in between leaves the message with the keeper and with the engine, and the next end comes as another Keep of
// the same Ref. An error is logged; nothing waits for it.
type Keeper interface {
	// Keep takes messages.
	Keep([]Lost) error
	// Delivered says that messages which were kept are delivered after all: by a further life, or by an answer that
	// came after the end.
	Delivered([]Ref) error
}

// Owed is a message that the journal owes an end.
type Owed struct {
	Ref
	Again bool // a further life of it
}

// Life is a further life of a message that ended undelivered.
type Life struct {
	Message           // Came and Life are those of this life
	First   time.Time // the deadline of the first one
	MayRun  time.Time // when the first attempt was made that may have run; zero for none
	Zone    int       // of its endpoint
}

// Endpoint is what attempts need to know of one. It may be used by many goroutines at a time.
type Endpoint struct {
	ID   string
	Addr string

	addrs map[string]string
	dest  int
	zone  int
	shut  chan struct{} // closed when it drains or is gone
	base  time.Time     // what wait counts from, with a reading of the monotonic clock
	wait  *atomic.Int64 // in nanoseconds; its destination, or route, asked to be left alone until then; 0 if it did not
}

// NewEndpoint makes an endpoint that stands on no list, as tests of carriers need it.
func NewEndpoint(id, addr string) *Endpoint {
	return &Endpoint{ID: id, Addr: addr, shut: make(chan struct{}), base: time.Now(), wait: new(atomic.Int64)}
}

// AddrFor is where a front calls the endpoint.
func (e *Endpoint) AddrFor(front string) string {
	if a, ok := e.addrs[front]; ok {
		return a
	}
	return e.Addr
}

// Shut is closed once the endpoint drains or is gone.
func (e *Endpoint) Shut() <-chan struct{} { return e.shut }

// Close says that the endpoint drains or is gone; it is called once.
func (e *Endpoint) Close() { close(e.shut) }

// Wait says that the endpoint's destination asked to be left alone until then. A later time stays.
func (e *Endpoint) Wait(until time.Time) {
	for to := int64(until.Sub(e.base)); ; {
		old := e.wait.Load()
		if old >= to || e.wait.CompareAndSwap(old, to) {
			return
		}
	}
}

// Gone tells that the endpoint drains or is gone.
func (e *Endpoint) Gone() bool {
	select {
	case <-e.shut:
		return true
	default:
		return false
	}
}

// ClosedTo tells that nothing new may go to the endpoint now.
func (e *Endpoint) ClosedTo(now time.Time) bool {
	return e.Gone() || int64(now.Sub(e.base)) < e.wait.Load()
}
