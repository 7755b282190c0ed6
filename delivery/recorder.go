package delivery

import (
	"time"

	"starlingusher/choice"
)

// Recorder is told what an engine tells the decisions, and what becomes of it, in order and from one goroutine. Its
// methods must not block, nor change what they are given, which stays as it is. All times are on the clock of the
// decisions.
type Recorder interface {
	// Opened comes first: the settings and the seed that the decisions begin with, and the wall time at which their
	// clock shows 0.
	Opened(s choice.Settings, seed uint64, zero time.Time)
	// Handed is a message that was taken on, subject to what the next step says of it; at the start, one that the journal
	// has of an earlier life.
	Handed(Handed)
	// Turned is a message that the decisions did not hear of.
	Turned(Turned)
	// Stepped is one step of the decisions. Messages go by their Name.
	Stepped(now time.Duration, events []choice.Event, actions []choice.Action)
	// Called is a call that has ended; the step that tells of it comes next.
	Called(Called)
	// Noticed are messages whose ends their front has taken.
	Noticed(at time.Duration, names []string)
}

// Handed is a message on its way in.
type Handed struct {
	Name      string // what the decisions call it
	Front, ID string
	Came      time.Duration
}

// Why a message was turned away before the decisions heard of it.
const (
	TurnedByRoom   = "room"    // the engine holds as many as it may
	TurnedByMemory = "memory"  // there is no memory for its body
	TurnedByDisk   = "disk"    // the journal can't have it
	TurnedByLife   = "another" // another life of it is under way
	TurnedByRepeat = "repeat"  // it was refused a short while ago, and its client has been told so
	TurnedByID     = "id"      // another message has its id
	// TurnedByCopies says that no further nodes can hold it now.
	TurnedByCopies = "copies"
)

// Turned is a message that was turned away before the decisions heard of it. They were asked for After.
type Turned struct {
	At, Came            time.Duration
	Front, ID           string
	Class, Tenant, Dest int
	After               time.Duration
	Why                 string
}

// Called is a call, with one message or several.
type Called struct {
	Name     string // of its first message,
	Attempt  int    // and the number of the attempt
	Endpoint string
	Dest     int
	Outcome  choice.Outcome // of the first message
	Kept     bool           // it went out on a connection that had been in use before,
	Idle     time.Duration  // which had stood idle for so long
	Err      string         // what it met, in words

	// When it did what; 0 for what it did not come to.
	Begun, Dialled, Connected, First, Last, Heard, Ended time.Duration
}

// Times are when a call did what; zero for what it did not come to.
type Times struct {
	Dialled, Connected time.Time     // of a new connection,
	Idle               time.Duration // or how long a kept one had stood idle
	First, Last        time.Time     // byte of the request that went out
}

// The carriers mark what they do as they do it; nil takes no notes.

// Dial marks that a new connection is asked for.
func (t *Times) Dial() { t.mark(func(now time.Time) { t.Dialled = now }) }

// Connect marks that it is there.
func (t *Times) Connect() { t.mark(func(now time.Time) { t.Connected = now }) }

// Took marks that a kept connection is used that has stood idle since.
func (t *Times) Took(since time.Time) { t.mark(func(now time.Time) { t.Idle = now.Sub(since) }) }

// Write marks that the request's first byte goes out.
func (t *Times) Write() { t.mark(func(now time.Time) { t.First = now }) }

// Wrote marks that its last byte has been given to the system.
func (t *Times) Wrote() { t.mark(func(now time.Time) { t.Last = now }) }

func (t *Times) mark(set func(time.Time)) {
	if t != nil {
		set(time.Now())
	}
}

// recordCall hands on what a call's times are.
func (n *Engine) recordCall(m *past, e called, outcome choice.Outcome) {
	c := Called{
		Name: m.name(), Attempt: e.n, Endpoint: e.endpoint.ID, Dest: m.dest, Outcome: outcome, Kept: e.Kept, Idle: e.times.Idle,
		Begun: n.at(e.began), Dialled: n.when(e.times.Dialled), Connected: n.when(e.times.Connected),
		First: n.when(e.times.First), Last: n.when(e.times.Last), Heard: n.when(e.Heard), Ended: n.now(),
	}
	if e.Err != nil {
		c.Err = e.Err.Error()
	}
	n.cfg.Recorder.Called(c)
}

// when is at for a time that may not have come.
func (n *Engine) when(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return n.at(t)
}

func (n *Engine) recordNotices(ends settled) {
	names := make([]string, len(ends))
	for i, e := range ends {
		names[i] = e.of.name()
	}
	n.cfg.Recorder.Noticed(n.now(), names)
}
