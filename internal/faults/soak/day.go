// Package soak plays seeded days of a fleet in which faults happen to processes, servers, discovery and clients, with real
// processes of the program on loopback addresses, and checks what came of each request against the rules of the platform.
package soak

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"starlingusher/internal/faults/neighbour"
)

// Effect tells what a repeat of a message may do at its server.
type Effect string

// The effects, as the settings name them.
const (
	Idempotent   Effect = "idempotent"
	Deduplicated Effect = "deduplicated"
	AtMostOnce   Effect = "at_most_once"
)

// Class is a kind of message.
type Class struct {
	Name     string
	Effect   Effect
	Share    float64       // of the messages
	Deadline time.Duration // from the hand-in
	Window   time.Duration // Deduplicated: how long repeats are dropped
}

// Server is a destination with one endpoint at a time.
type Server struct {
	Limit   float64       // calls a second that it takes when warm
	Service time.Duration // mean time of a call when warm
	Share   float64       // of the messages
	Weight  float64       // that discovery tells, in calls a second; it may be half too high or too low
}

// Kind is a kind of fault.
type Kind uint8

// The faults.
const (
	Refuse    Kind = iota // a server refuses connections and resets those that are open, and comes back cold
	Hang                  // a server reads requests and answers none; its connections are reset when it comes back cold
	Fail                  // a server answers all calls with 500, and is cold afterwards
	Shut                  // a server refuses all calls with 503, and is cold afterwards
	Vanish                // connections to a server are neither accepted nor refused; it comes back cold
	Terminate             // SIGTERM, SIGKILL at the earliest time that the platform allows, and a new process
	Kill                  // SIGKILL, and a new process
	Stop                  // SIGSTOP for a moment
	Replace               // the endpoint of a server drains, and goes; another takes its place
	Move                  // discovery moves, and SIGHUP tells the node
	Silence               // discovery is down: it answers nothing, and learns nothing
	Crowd                 // idle clients connect to a node and stay
	Halves                // clients send half of a request and stay
	Late                  // connections to a server come up late
	Drop                  // a server resets all its connections, again and again, with calls on them or none
	Moves                 // discovery moves there and back several times in a row, with a SIGHUP each
	Lose                  // a server does its calls and resets the connections in place of the answers
	Forget                // a server forgets the connections that stand, with no word: what is written to them is never answered
	Crowded               // discovery breaks its watches, and answers new ones late or turns them away
	kinds
)

var kindNames = [kinds]string{"refuse", "hang", "fail", "shut", "vanish", "terminate", "kill", "stop", "replace", "move", "silence", "crowd", "halves",
	"late", "drop", "moves", "lose", "forget", "crowded"}

// String names the kind.
func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return "unknown"
}

// outage tells that a server is cold after the fault.
func (k Kind) outage() bool { return k <= Vanish }

// Window is a time of a day.
type Window struct{ From, To time.Duration }

// Fault is a fault of a day.
type Fault struct {
	Kind   Kind
	At     time.Duration // from the day's begin
	For    time.Duration
	Target int // the number of a node or of a server
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%8.3f s %s %d for %.3f s", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
}

// Day is what is played. All of it follows from the seed.
type Day struct {
	Seed    uint64
	Length  time.Duration
	Nodes   int
	Shares  []float64 // of the messages, by node
	Slots   int
	MaxOpen int
	Rate    float64 // messages a second over all nodes
	Classes []Class
	Servers []Server
	Faults  []Fault
	Clocks  bool // wall clocks are off in each life, and are stepped; the program is one of faults.Failing
	Calls   bool // system calls on sockets and on the folder fail in each life; likewise
	Rarely  int  // with Calls: only calls on sockets fail, so many in a million at any time; 0 for what each life draws
	Streams Streams
	Agent   []neighbour.Fault // of a neighbour between nodes and discovery; none for no neighbour
	Between []neighbour.Fault // of one between nodes and servers; likewise
	LogHeld []Window          // times in which nobody reads the nodes' logs
	LogGone time.Duration     // from when on the readers of the logs are gone; 0 for never
	Plain   bool              // responses hold no report, and those to calls beyond a limit come late and tell no wait: many are alike

	Withdrawn float64 // the share of the messages of which servers say that they are over

	ColdFrom float64       // share of its limit that a server has when it comes back
	WarmIn   time.Duration // until it has all of it
}

// The rules' figures, as the settings tell them to nodes.
const (
	fallMultiple    = 1.5
	fallSpan        = 2 * time.Second
	drainGrace      = 250 * time.Millisecond
	ruleSlack       = 50 * time.Millisecond // of each limit on sockets
	lostSlack       = 300 * time.Millisecond
	restartGrace    = 1500 * time.Millisecond // after a node is ready again
	readyWithin     = 10 * time.Second
	killAfter       = 3700 * time.Millisecond // after SIGTERM, at the earliest
	startAfter      = 600 * time.Millisecond  // after SIGKILL
	answerPatience  = 400 * time.Millisecond  // of clients
	answerLongest   = 3 * time.Second         // after which a request counts as never answered
	toldWithin      = 6 * time.Second         // of discovery's having it, a change counts as told, whether it arrived or not
	longestWait     = time.Second             // beyond the time to room, that a server at its limit tells
	halvesWithin    = 3 * time.Second         // of its last byte, half a request has its error or its close
	overSlack       = 100 * time.Millisecond  // in which a call may cross the word that its message is over
	waitSlack       = 100 * time.Millisecond  // in which calls after a told wait are let through
	journaledWithin = 500 * time.Millisecond  // of a node's reading it, on a busy machine, a wait outlasts the node's process
)

// Draw draws a day of so many nodes and servers, without faults.
func Draw(seed uint64, nodes, servers int, rate float64, length time.Duration) *Day {
	rng := rand.New(rand.NewPCG(seed, 1))
	uniform := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	d := &Day{Seed: seed, Length: length, Nodes: nodes, Slots: 4 + rng.IntN(3), MaxOpen: 37 + rng.IntN(16), Rate: rate,
		ColdFrom: uniform(0.15, 0.3), WarmIn: time.Duration(uniform(8, 11) * float64(time.Second))}
	total := 0.0
	for range nodes {
		share := uniform(0.3, 1.7)
		d.Shares = append(d.Shares, share)
		total += share
	}
	for i := range d.Shares {
		d.Shares[i] /= total
	}
	deadline := time.Duration(uniform(10, 28) * float64(time.Second))
	d.Classes = []Class{
		{Name: "table-status", Effect: Idempotent, Share: 0.45, Deadline: deadline},
		{Name: "coin-order", Effect: Deduplicated, Share: 0.35, Deadline: deadline, Window: time.Duration(uniform(2, 8) * float64(time.Second))},
		{Name: "prize-payout", Effect: AtMostOnce, Share: 0.2, Deadline: deadline},
	}
	weights := make([]float64, servers)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.9)
		sum += weights[i]
	}
	load := uniform(0.5, 0.65)
	for _, w := range weights {
		limit := max(rate/load*w/sum, uniform(2, 5))
		d.Servers = append(d.Servers, Server{Limit: limit, Service: time.Duration(uniform(40, 140) * float64(time.Millisecond)),
			Share: w / sum, Weight: limit * uniform(0.7, 1.45)})
	}
	return d
}

// withdrawn tells whether nobody wants a message any more when it comes to a server. It follows from its id.
func (d *Day) withdrawn(id string) bool {
	sum := fnv.New32a()
	sum.Write([]byte(id)) // never fails
	return float64(sum.Sum32())/math.MaxUint32 < d.Withdrawn
}

// warmth is the share of its limit that a server has a time after it came back.
func (d *Day) warmth(since time.Duration) float64 {
	return min(1, d.ColdFrom+(1-d.ColdFrom)*since.Seconds()/d.WarmIn.Seconds())
}

// outageDay is a day on which servers fail for ten seconds and return cold, while nodes are restarted and endpoints replaced.
func outageDay(seed uint64) *Day {
	const begins, lasts = 6 * time.Second, 10 * time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	d := Draw(seed, 33, 40, 120, 26*time.Second)
	order := rng.Perm(len(d.Servers))
	for _, s := range order[:4+rng.IntN(12)] {
		d.Faults = append(d.Faults, Fault{Kind: Kind(rng.IntN(int(Vanish) + 1)), At: begins, For: lasts, Target: s})
	}
	for i := range 4 {
		at := begins - 1700*time.Millisecond + time.Duration(i)*450*time.Millisecond
		d.Faults = append(d.Faults, Fault{Kind: Replace, At: at, For: 8 * time.Second, Target: order[len(order)-1-i]})
	}
	restarts := rng.Perm(d.Nodes)
	for i, n := range restarts[:rng.IntN(d.Nodes)] {
		kind := Terminate
		if i%2 == 1 {
			kind = Kill
		}
		at := begins + 2*time.Second + time.Duration(rng.Int64N(int64(6*time.Second)))
		d.Faults = append(d.Faults, Fault{Kind: kind, At: at, For: startAfter, Target: n})
	}
	return d
}

// mixedDay is a day of a small fleet with faults of every kind.
func mixedDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 3))
	nodes := 5 + rng.IntN(8)
	d := Draw(seed, nodes, 2*nodes, 6*float64(nodes), 24*time.Second)
	deadline := time.Duration(3+5*rng.Float64()) * time.Second
	for i := range d.Classes {
		d.Classes[i].Deadline = deadline
	}
	seconds := func(low, high float64) time.Duration {
		return time.Duration((low + (high-low)*rng.Float64()) * float64(time.Second))
	}
	// A server is out once at most, and is replaced only if it is never out.
	servers, restarted := rng.Perm(len(d.Servers)), rng.Perm(nodes)
	for i, s := range servers[:len(servers)/3] {
		f := Fault{Kind: Kind(rng.IntN(int(Vanish) + 1)), At: seconds(2, 10), For: seconds(5, 9), Target: s}
		d.Faults = append(d.Faults, f)
		if i%2 == 0 { // what has run and not been answered waits through the outage
			d.Faults = append(d.Faults, Fault{Kind: Lose, At: f.At - time.Second, For: time.Second, Target: s})
		}
	}
	for _, s := range servers[len(servers)/3:][:2] {
		d.Faults = append(d.Faults, Fault{Kind: Replace, At: seconds(2, 14), For: seconds(2, 6), Target: s})
	}
	for i, n := range restarted[:1+nodes/2] {
		kind := Terminate
		if i%2 == 1 {
			kind = Kill
		}
		d.Faults = append(d.Faults, Fault{Kind: kind, At: seconds(3, 16), For: startAfter, Target: n})
	}
	for range 2 * nodes {
		d.Faults = append(d.Faults, Fault{Kind: Stop, At: seconds(1, 23), For: seconds(0.02, 0.15), Target: rng.IntN(nodes)})
	}
	others := restarted[1+nodes/2:]
	for i, kind := range []Kind{Move, Crowd, Halves} {
		if i < len(others) {
			d.Faults = append(d.Faults, Fault{Kind: kind, At: seconds(2, 16), For: seconds(2, 6), Target: others[i]})
		}
	}
	for i, s := range servers[len(servers)/3+2:] {
		if i < 2 {
			d.Faults = append(d.Faults, Fault{Kind: Late, At: seconds(2, 18), For: seconds(0.2, 1.5), Target: s})
		} else if i < 4 {
			d.Faults = append(d.Faults, Fault{Kind: Drop, At: seconds(2, 18), For: seconds(0.5, 4), Target: s})
		}
	}
	if len(others) > 3 {
		d.Faults = append(d.Faults, Fault{Kind: Moves, At: seconds(2, 16), For: seconds(0.1, 1), Target: others[3]})
	}
	if rng.IntN(2) == 0 {
		d.Faults = append(d.Faults, Fault{Kind: Silence, At: seconds(2, 12), For: seconds(1, 8)})
	} else {
		d.Faults = append(d.Faults, Fault{Kind: Crowded, At: seconds(2, 12), For: seconds(1, 8)})
	}
	for _, s := range servers[len(servers)/3+2:] {
		d.Faults = append(d.Faults, Fault{Kind: Forget, At: seconds(2, 20), Target: s})
	}
	return d
}

// returnDay is a day on which discovery falls silent again and again, endpoints begin to drain meanwhile, and connections break often.
func returnDay(seed uint64) *Day {
	const returns, drains = 3, 7
	rng := rand.New(rand.NewPCG(seed, 4))
	d := Draw(seed, 12, returns*drains+3, 70, 26*time.Second)
	d.Calls, d.Rarely = true, 50_000
	order := rng.Perm(len(d.Servers))
	for i := range returns {
		at := time.Duration(3+7*i) * time.Second
		lasts := 2300*time.Millisecond + time.Duration(rng.Int64N(int64(1200*time.Millisecond)))
		d.Faults = append(d.Faults, Fault{Kind: Silence, At: at, For: lasts})
		for _, s := range order[drains*i:][:drains] {
			d.Faults = append(d.Faults, Fault{Kind: Replace, At: at + time.Second, For: 10 * time.Second, Target: s})
		}
	}
	return d
}

// streamDay is a day on which responses come again, in part or in pieces, while servers are at their limits: so that they differ. Some
// days have one fault of streams and others all; on some, nodes are held again and again.
func streamDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 5))
	nodes := 3 + rng.IntN(5)
	d := Draw(seed, nodes, 17, 20*float64(nodes), 20*time.Second)
	for i := range d.Classes {
		d.Classes[i].Deadline = 4 * time.Second
	}
	d.Rate *= 2 // at the limits of the servers
	d.Streams.Share = []float64{0.01, 0.1, 0.3}[rng.IntN(3)]
	d.Plain = rng.IntN(2) == 0
	again := rand.New(rand.NewPCG(seed, 6))
	d.Streams.Requests = []float64{0, 0.02, 0.2}[again.IntN(3)]
	for f := range streamFaults {
		d.Streams.Faults = append(d.Streams.Faults, f)
	}
	if only := rng.IntN(2 * int(streamFaults)); only < int(streamFaults) {
		d.Streams.Faults = []StreamFault{StreamFault(only)}
	}
	if rng.IntN(2) == 0 {
		return d
	}
	const stopEvery, stopped = 300 * time.Millisecond, 60 * time.Millisecond
	for at := time.Second; at < d.Length; at += stopEvery {
		for n := range nodes {
			d.Faults = append(d.Faults, Fault{Kind: Stop, At: at + time.Duration(rng.Int64N(int64(stopEvery))), For: stopped, Target: n})
		}
	}
	return d
}

// hangDay is a day on which responses are alike, and servers hang right behind a response that comes again.
func hangDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 7))
	nodes := 2 + rng.IntN(3)
	d := Draw(seed, nodes, 8, 20*float64(nodes), 16*time.Second)
	for i := range d.Classes {
		d.Classes[i].Deadline = 4 * time.Second
	}
	d.Plain = true
	d.Streams = Streams{Share: []float64{0.01, 0.03}[rng.IntN(2)], Faults: []StreamFault{CopyBeforeHang}}
	return d
}

// overDay is a day of tampered streams, or of servers that hang behind copies, on which many messages are over when they come to a server, and nodes
// are restarted.
func overDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 9))
	d := hangDay(seed)
	if rng.IntN(2) == 0 {
		d = streamDay(seed)
	}
	d.Withdrawn = 0.1 + 0.5*rng.Float64()
	for n := range d.Nodes {
		kind := Terminate
		if n%2 == 1 {
			kind = Kill
		}
		at := 3*time.Second + time.Duration(rng.Int64N(int64(d.Length-8*time.Second)))
		d.Faults = append(d.Faults, Fault{Kind: kind, At: at, For: startAfter, Target: n})
	}
	return d
}
