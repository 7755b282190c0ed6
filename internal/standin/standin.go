// Package standin has partners and a discovery for tests and for the demo: real sockets on loopback addresses, with
// faults that are told by a script, and a count of their own of what has run.
package standin

import (
	"sync"
	"time"
)

// Call is one message as it came to a stand-in, with its last byte.
type Call struct {
	ID, Key string
	Method  string // of gRPC; "POST /v1/messages" over HTTP
	Body    []byte
	Header  map[string][]string
	Conn    int // the number of its connection, from 1
	At      time.Time
}

// Fault is what a stand-in does with a call.
type Fault uint8

// The faults. Those down to Cut have the call run.
const (
	None   Fault = iota // runs, and is answered well
	Error               // runs, and is answered with an error that proves nothing
	Silent              // runs, and is never answered
	Reset               // runs, and the connection is reset
	Cut                 // runs, and the connection ends in the middle of the answer
	Limit               // is turned away over a limit, and told to wait for Step.Wait
	Full                // is turned away, and told nothing
)

func (f Fault) runs() bool { return f <= Cut }

// Step is what a stand-in does with one call: it waits for Delay, or until its caller has gone, and then does Fault.
type Step struct {
	Fault Fault
	Delay time.Duration
	Wait  time.Duration
	Reply []byte // None: the answer's body
	// Load is told with the answer, as x0 (the share of the limit that is left) and x1 (the limit in calls a second).
	Load map[string]float64
	// Status is a gRPC code to answer with instead of a reply, where None runs the call; HTTP has none of it.
	Status uint32
}

// Script says what to do with each call; nil answers all well. It may be called by many goroutines at a time.
type Script func(Call) Step

// Each does the same with all calls.
func Each(s Step) Script { return func(Call) Step { return s } }

// Then does each step once, in the order in which calls come, and answers well afterwards.
func Then(steps ...Step) Script {
	var mu sync.Mutex
	return func(Call) Step {
		mu.Lock()
		defer mu.Unlock()
		if len(steps) == 0 {
			return Step{}
		}
		s := steps[0]
		steps = steps[1:]
		return s
	}
}

// RateLimit takes so many calls in each span of time, counted from its first call, and turns the others away with the
// time to the end of the span. Calls that are turned away use the limit up as well. It tells its load.
func RateLimit(limit int, span time.Duration) Script {
	var mu sync.Mutex
	var began time.Time
	used := 0
	return func(c Call) Step {
		mu.Lock()
		defer mu.Unlock()
		if c.At.Sub(began) >= span {
			began, used = c.At, 0
		}
		used++
		load := map[string]float64{
			"x0": max(float64(limit-used)/float64(limit), 0), "x1": float64(limit) / span.Seconds(),
		}
		if used > limit {
			return Step{Fault: Limit, Wait: span - c.At.Sub(began), Load: load}
		}
		return Step{Load: load}
	}
}

// Ledger is what a stand-in has seen. It may be used by many goroutines at a time, and outlasts its stand-in, so that
// several may share one.
type Ledger struct {
	mu      sync.Mutex
	calls   []Call
	faults  []Fault // of calls
	conns   int
	changed chan struct{} // closed at each change
}

// NewLedger returns an empty one.
func NewLedger() *Ledger { return &Ledger{changed: make(chan struct{})} }

// Note takes down a call that has come, and whether it runs.
func (l *Ledger) Note(c Call, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls, l.faults = append(l.calls, c), append(l.faults, f)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Connected counts a connection, and returns its number.
func (l *Ledger) Connected() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns++
	return l.conns
}

// Calls returns all calls so far, in the order in which they came.
func (l *Ledger) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// Conns returns how many connections there have been.
func (l *Ledger) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// Changed is closed at the next call.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Runs counts the calls that have run, by message.
func (l *Ledger) Runs() map[string]int { return l.count(Fault.runs) }

// Answered counts the calls that were answered well, by message.
func (l *Ledger) Answered() map[string]int { return l.count(func(f Fault) bool { return f == None }) }

func (l *Ledger) count(counts func(Fault) bool) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := map[string]int{}
	for i, c := range l.calls {
		if counts(l.faults[i]) {
			calls[c.ID]++
		}
	}
	return calls
}

// Effects counts what took effect: a call with a key that has run before within window takes none. Without a key each
// run is one, and is counted by message.
func (l *Ledger) Effects(window time.Duration) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	effects, last := map[string]int{}, map[string]time.Time{}
	for i, c := range l.calls {
		if !l.faults[i].runs() {
			continue
		}
		if c.Key == "" {
			effects[c.ID]++
			continue
		}
		if at, ok := last[c.Key]; !ok || c.At.Sub(at) > window {
			effects[c.Key]++
			last[c.Key] = c.At
		}
	}
	return effects
}

// Most is the largest number of calls that came within any span of time.
func (l *Ledger) Most(span time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, c := range l.calls {
		for c.At.Sub(l.calls[first].At) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
