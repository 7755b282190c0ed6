// Package model is the laboratory's emulator: it plays days of a fleet in virtual time, with nodes that run the real decisions
// of package choice, the partners that they share, the networks between, a discovery that is late, and clients that come
// again. It shows in seconds what no node sees by itself.
//
// A day is deterministic: the same Day and seed give the same Result, whatever else the process does. Random numbers come
// from a PCG stream for each entity and purpose, and those of a call from one of its own, so that a decision that differs at
// one place leaves the draws of all others as they were (common random numbers), and two builds or settings may be
// compared by seed. A day starts no goroutine and waits for nothing; days may be played side by side.
//
// The rules of delivery are watched in every day (Broken). What is modelled, and what is not, is in docs/design/lab.md.
package model

import (
	"time"

	"starlingusher/choice"
)

// Day is what is played. It is not changed by playing it.
type Day struct {
	Length   time.Duration // of arrivals; the day goes on until all that came has its end
	Nodes    []Node
	Partners []Partner
	Classes  []Class
	Tenants  []Tenant
	Kinds    []choice.Kind
	Net      Net
	Clients  Clients
	List     Discovery
	Troubles []Trouble
	Given    []Given // messages that come beside those that the partners' rates draw
	// Rules are the settings that all nodes share: all but the classes, kinds and tenants, and what is each node's own.
	Rules choice.Settings
}

// Given is a message that comes at a certain time, as one of a recording does.
type Given struct {
	At                   time.Duration
	Node, Partner, Class int
}

// Node is one delivery node.
type Node struct {
	Share   float64 // of all traffic, in any unit
	Slots   int     // calls out at once
	MaxOpen int     // messages held
}

// Class is a class of messages.
type Class struct {
	choice.Class
	Share   float64 // of the messages, in any unit
	Service float64 // times the partner's service time; 0 for 1
}

// Tenant is a customer.
type Tenant struct{ PerSecond float64 } // inside its share; 0 for no bound

// Net is the network between nodes and partners.
type Net struct {
	Way    time.Duration // one way, in the mean
	Jitter float64       // a way takes up to this share more or less
}

// Clients are all clients alike.
type Clients struct {
	Retries int           // after that many refusals a message is over
	Least   time.Duration // pause before it comes again, if no longer one was told,
	Spread  time.Duration // and a uniform part on top
}

// Discovery tells nodes of changes of the list. One with Each of 0 takes any number of calls.
type Discovery struct {
	Notice time.Duration // from a change to its telling, in the mean; half to one and a half times that
	Source               // what a node's call meets after it starts
	Alone  bool          // nodes call again as one that is alone would: within 50 ms, doubled up to 2 s
}

// Law is how service times are distributed.
type Law uint8

// The laws.
const (
	Exponential Law = iota
	LogNormal
	Uniform // by half to one and a half times the mean
	Fixed
)

// Partner is a destination of one or several endpoints that share its limit.
type Partner struct {
	Kind      int
	Tenant    int
	Rate      float64 // messages a second for it, in the mean, clumps and all
	Clumps    float64 // share of the messages that come in clumps,
	Clump     float64 // of so many seconds of its limit, or of its rate if it has none, within half a second
	Endpoints int
	Servers   int // calls that an endpoint serves at once
	Queue     int // calls that wait there; one more is refused
	Service   time.Duration
	Law       Law
	CV        float64 // LogNormal: coefficient of variation
	Item      float64 // work of a further message in a call, in calls
	Weight    float64 // calls a second, as listed; 0 for none
	Conns     int     // connections that an endpoint holds, idle ones counted; 0 for any number
	Limit     Limit
	Tells     float64       // share of its refusals that tell a wait,
	Wait      time.Duration // of this length, or until it opens
}

// Limit is what a partner takes a second from all nodes together. The zero value is no limit.
type Limit struct {
	Rate    float64       // calls a second
	Window  time.Duration // it counts calls in fixed spans of this length; 0 for a token bucket
	Depth   float64       // seconds of the limit that may go at once
	Counted bool          // refused calls use it up too,
	Debt    float64       // down to so many seconds of it ahead
	Reports bool          // answers tell it
	Period  time.Duration // what they tell is as of the end of a period,
	Delay   time.Duration // this much later
	Noise   float64       // and off by this share, normally distributed
}

// Ill is a kind of trouble.
type Ill uint8

// The troubles. Those of partners strike the Partners named, those of nodes the Nodes.
const (
	Down    Ill = iota // no connection comes up; the partner is cold afterwards
	Silent             // calls are taken and not answered, but for a share of Size; cold afterwards
	Shut               // calls are refused, and told to wait until it opens; cold afterwards
	Failing            // a share of Size of the calls fails; cold afterwards if it is more than half
	Slow               // service takes Size times as long
	Stalls             // it stands still for Size seconds in each Every
	Tears              // a share of Size of the calls loses its connection; half of them have run
	Worn               // a share of Size of the calls on kept connections finds them broken; half of them have run
	Spoilt             // a share of Size of the answers can't be read
	Lost               // a share of Size of the calls gets no answer, and does not arrive either in half of the cases
	Limits             // the limit is Size times what it was
	Surge              // Size times as many messages come
	Replace            // a share of Size of the endpoints drains and is replaced under new ids
	Kill               // nodes die, and come back within Every after For, with what they had taken on
	Leave              // nodes are told to end within a second, and come back like that
	Stale              // discovery tells nothing
	CutOff             // nothing gets there or back, and nobody is told: a connection that is still wanted when it ends comes up then
)

var illNames = [...]string{"down", "silent", "shut", "failing", "slow", "stalls", "tears", "worn", "spoilt", "lost", "limits", "surge", "replace",
	"kill", "leave", "stale", "cut-off"}

// String is the name that files of days use.
func (i Ill) String() string { return illNames[i] }

// Ills are all kinds of trouble.
func Ills() []Ill {
	all := make([]Ill, len(illNames))
	for i := range all {
		all[i] = Ill(i)
	}
	return all
}

// OfNodes tells that a trouble strikes nodes rather than partners; Stale strikes neither.
func (i Ill) OfNodes() bool { return i == Kill || i == Leave }

// Sized tells that a trouble needs a Size.
func (i Ill) Sized() bool {
	switch i {
	case Failing, Slow, Stalls, Tears, Worn, Spoilt, Lost, Limits, Surge, Replace, Silent:
		return true
	}
	return false
}

// Trouble is something that goes wrong for a while.
type Trouble struct {
	Ill      Ill
	At, For  time.Duration
	Partners []int
	Nodes    []int
	Size     float64
	Every    time.Duration
}

func (t Trouble) during(at time.Duration) bool { return at >= t.At && at < t.At+t.For }

// Decider is what is played at a node: a *choice.Sender, or a test's own that decides wrongly.
type Decider interface {
	Step(now time.Duration, events []choice.Event) []choice.Action
}

// Options are how a day is played.
type Options struct {
	Seed uint64
	// New makes a node's decisions; nil for choice.New.
	New func(cfg choice.Settings, seed uint64) Decider
	// Holds has the day tell where messages spent their time (Result.Held), at the cost of a look at all of them ten times a
	// second.
	Holds bool
	// Beside stands beside the decisions; nil for nothing.
	Beside Beside
	// Trace, if given, is told each step that a message takes.
	Trace func(Step)
}

// Play plays a day.
func (d *Day) Play(o Options) *Result {
	r := newRun(d, o)
	r.play()
	return r.result()
}
