package choice

import (
	"time"

	"starlingusher/fleet"
)

// Effect tells what a repeat of a message may do at its destination.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // repeats are harmless
	Keyed                // repeats are dropped for a while
	Unsafe               // must never run twice
)

// Class describes one kind of message. A zero field was not given.
type Class struct {
	Aim, Deadline time.Duration // full worth until Aim, some until Deadline, both from the first hand-in
	AimStretch    float64       // extra aim, as a multiple of the message's hint
	Worth         float64
	LateWorth     float64 // share of Worth left at the deadline
	Effect        Effect
	Window        time.Duration // Keyed: how long repeats are dropped
	GroupAll      bool          // Keyed: every endpoint of the destination drops repeats, not one zone's only
	Ordered       bool          // messages with one key take turns
}

// Kind describes one kind of destination.
type Kind struct {
	Apart bool // endpoints are routes with limits and outages of their own
	Batch int  // messages in one call at most
	Room  int  // bytes of messages that a call with several holds; 0 for any number
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	PerSecond float64 // requests inside its share, all senders together
}

// Settings are the facts a sender is born with. Zero means not given.
type Settings struct {
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	Fleet          int // senders altogether
	Slots          int // calls out at once
	MaxOpen        int // messages held, sent or not
	MaxAttempts    int
	MayDuplicate   bool
	MayProbe       bool
	MayCancel      bool
	AskForList     bool // changes of the list come only on request
	Halves         bool // worth halves with each further aim; otherwise it falls evenly
	RoughWeights   bool // an endpoint's Weight may be half too high or too low
	FullTold       bool // a full connection table answers NoRoom; a failed connect is no sign of one
	Weighted       bool // an endpoint's Weight is a rate in calls a second
	OverShareWorth float64
	ZoneFee        []float64
	Tick           time.Duration
	MaxRetryAfter  time.Duration
	DialTimeout    time.Duration
	ConnIdle       time.Duration // idle connections are closed after this
	DrainGrace     time.Duration
	AnswerGrace    time.Duration
	FallMultiple   float64 // a cold destination falls above this multiple of its capacity,
	Fall           time.Duration
	ColdFrom       float64 // share of its capacity that it has when it returns,
	WarmWithin     time.Duration
	OrderSettle    time.Duration
	MustAsk        time.Duration
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. NoRoom, NoRoute and Stale prove that nothing ran.
const (
	Pass Outcome = iota
	Fault
	NoRoom
	TooSlow
	NoRoute
	Cut
	Undone
	Stale
)

var outcomeNames = [...]string{"pass", "fault", "no room", "too slow", "no route", "cut", "undone", "stale"}

// String names the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Report is what an endpoint says of its limit. A missing value has its flag off.
type Report struct {
	Left, Limit       float64 // share of the limit left; the limit in calls a second, 0 for none
	HasLeft, HasLimit bool
}

// Phase is an endpoint's place in the list.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Entry is one endpoint of a list.
type Entry struct {
	Endpoint   string
	Zone, Kind int
	Dest       int
	Phase      Phase
	Weight     float64
	Single     bool // a call there never holds more than one message
}

// Event is one piece of news for a sender: Listed, Waits, Outage, Heard, Arrived, Resumed, Ended, Stood, Dropped, Probed,
// Rang // or Leaving.
type Event interface{ event() }

// Listed brings the list of endpoints, whole or as changes.
type Listed struct {
	Whole, Failed bool
	Entries       []Entry
}

// Waits says that a destination asked to be left alone before a restart. Endpoint is empty unless it is a route apart.
type Waits struct {
	Dest     int
	Endpoint string
	Until    time.Duration
}

// Outage is what an earlier life knew of a route that it did not hold for healthy: see HealthChange. It comes before the
// messages that are resumed. Endpoint is empty unless it is a route apart.
type Outage struct {
	Dest     int
	Endpoint string
	Health   Health
	Since    time.Duration
}

// Heard is what other nodes of the fleet know of a destination, where nodes talk. Endpoint is empty unless it is a route
// apart. What was heard before of the same is over.
type Heard struct {
	Dest     int
	Endpoint string
	Known    fleet.Known
}

// Arrived is a new message.
type Arrived struct {
	ID                  string
	Class, Tenant, Dest int
	Key                 string
	DropDead            time.Duration // clock time after which it cannot be delivered
	Hint                time.Duration
	Size                int // bytes that it takes in a call with several
}

// Resumed is a message that the node took on before its process ended, and whose end it still owes.
type Resumed struct {
	Arrived
	Attempts int  // attempts used so far
	Failed   bool // one of them is known to have failed
	// MayBeOver says that one of them may have been answered that the message is over.
	MayBeOver bool
	Touched   bool          // one of them may have run,
	MayRun    time.Duration // and the first of these was sent then,
	Zone      int           // to an endpoint of this zone
	// Spare says that it ended undelivered before and is sent again: the gate is asked, it goes only where nothing
	// else waits, and it takes no room from the others. A PushBack before its first Send says nothing of its past.
	Spare bool
}

// Ended is the outcome of a Send. One that is Undecided tells how the call went, and frees its slot: what became of the message is told
// by Stood, or by a second Ended that is Settled and another. Any other Send has one Ended.
type Ended struct {
	ID       string
	Attempt  int
	Endpoint string
	Outcome  Outcome
	Took     time.Duration
	Closed   bool          // the message is over
	Kept     bool          // it went out on a connection that had been in use before
	HungUp   bool          // the endpoint closed the connection after its answer
	Wait     time.Duration // the wait told
	NoSlot   bool          // Stale: all slots were taken
	Report   Report
	// Replies are those that the attempt may have had, where that can't be told; of an Undecided one, the reply that came.
	Replies Replies

	Undecided, Settled bool
}

// Stood says that the outcome of an attempt that was undecided stands.
type Stood struct {
	ID      string
	Attempt int
}

// Dropped says that nobody wants the message any more.
type Dropped struct{ ID string }

// Probed is the result of a Probe.
type Probed struct {
	Endpoint string
	Outcome  Outcome
	Took     time.Duration
	Report   Report
}

// Rang says that a Wake has fallen due.
type Rang struct{ Tag string }

// Leaving says that the process ends at By: what is out then is cut off.
type Leaving struct{ By time.Duration }

func (Leaving) event() {}
func (Listed) event()  {}
func (Heard) event()   {}
func (Waits) event()   {}
func (Outage) event()  {}
func (Arrived) event() {}
func (Resumed) event() {}
func (Ended) event()   {}
func (Stood) event()   {}
func (Dropped) event() {}
func (Probed) event()  {}
func (Rang) event()    {}

// Action is one decision: Send, PushBack, Fail, Cancel, Probe, HangUp, Wake, Watch or Note.
type Action interface{ action() }

// Send calls an endpoint with a message; it is abandoned at NotPast. A repeat that is dropped as one only for a time has
// to begin by BeginBy, 0 for any time: a connection may come up long after it was asked for. Fresh asks for a new
// connection. Joined says that it travels in the call of the Send before it.
type Send struct {
	ID, Endpoint string
	NotPast      time.Duration
	BeginBy      time.Duration
	Fresh        bool
	Joined       bool
}

// PushBack ends a message undelivered; the client may safely come again after RetryAfter.
type PushBack struct {
	ID         string
	RetryAfter time.Duration
	Why        Refusal
}

// Refusal is why a message was pushed back.
type Refusal uint8

// The refusals.
const (
	Admitted Refusal = iota // not at its arrival: it was taken on, and given up since
	ByGate                  // its destination's gate is shut
	ByRoom                  // its destination holds more than the room that is left for all
)

var refusalNames = [...]string{"given up", "gate", "room"}

// String names the reason.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "unknown"
}

// Fail ends a message and promises nothing.
type Fail struct{ ID string }

// Cancel calls off an attempt that is out.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe sends a check.
type Probe struct{ Endpoint string }

// HangUp gives back idle connections, all but Keep of them.
type HangUp struct {
	Endpoint string
	Keep     int
}

// Wake asks for a Rang at a clock time.
type Wake struct {
	At  time.Duration
	Tag string
}

// Watch asks for changes of the list.
type Watch struct{}

// Note is a line for the log.
type Note struct{ Text string }

func (Send) action()     {}
func (PushBack) action() {}
func (Fail) action()     {}
func (Cancel) action()   {}
func (Probe) action()    {}
func (HangUp) action()   {}
func (Wake) action()     {}
func (Watch) action()    {}
func (Note) action()     {}
