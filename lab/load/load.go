package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Message is one to hand in.
type Message struct {
	Number int
	Due    time.Duration // from the start
	ID     string
	Class  string
	Tenant string
	Key    string
	Dest   int
	Life   time.Duration // from when it is handed in
	Body   []byte
	Again  bool // handed in before, and turned away
}

// Answer is what a node says to a message.
type Answer struct {
	Taken bool
	After time.Duration // turned away: when to come again; 0 for not told
	Err   error         // neither: it may have been taken on
}

// Node takes messages.
type Node interface {
	// Hand sends a message, and calls done once, from any goroutine, when the node has answered or will not. It does not wait
	// for the answer, and may be called by one goroutine at a time.
	Hand(m Message, done func(Answer))
	// Close ends what is open; messages without an answer are done with an error.
	Close() error
}

// Report is what came of a load.
type Report struct {
	Sent, Taken, Refused, Failed int
	// Late is by how much messages were sent after they were due, Answered the time from when they were due to the answer; in
	// microseconds.
	Late, Answered *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

// record takes a time into a histogram; one beyond its range is its highest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue())) // within its range now
}

// Run hands in what message makes for each time of the schedule. It returns when all are answered, or when ctx has ended.
// answered, if given, is told each answer, by one goroutine at a time.
func Run(ctx context.Context, s Schedule, node Node, message func(number int) Message, answered func(Message, Answer)) (*Report, error) {
	r := &Report{Late: histogram(), Answered: histogram()}
	var mu sync.Mutex
	var open sync.WaitGroup
	began := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	number := 0
	for due := range s {
		if wait := due - time.Since(began); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		m := message(number)
		m.Number, m.Due = number, due
		number++
		open.Add(1)
		record(r.Late, time.Since(began)-due)
		node.Hand(m, func(a Answer) {
			defer open.Done()
			mu.Lock()
			defer mu.Unlock()
			record(r.Answered, time.Since(began)-due)
			switch {
			case a.Err != nil:
				r.Failed++
			case a.Taken:
				r.Taken++
			default:
				r.Refused++
			}
			if answered != nil {
				answered(m, a)
			}
		})
	}
	r.Sent = number
	all := make(chan struct{})
	go func() {
		open.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-ctx.Done():
		if err := node.Close(); err != nil {
			return nil, err
		}
		<-all
	}
	return r, context.Cause(ctx)
}

// Errors of Ends.
var (
	// ErrMissing says that messages which were taken on have no end.
	ErrMissing = errors.New("messages without an end")
	// ErrTwice says that messages have several.
	ErrTwice = errors.New("messages with several ends")
)

// Ends checks that each message that a node has taken on gets one end. It may be used by many goroutines at a time.
type Ends struct {
	mu      sync.Mutex
	taken   map[string]bool
	reached map[string]int    // deliveries that a partner has answered well
	told    map[string]string // ends that the node has told
	twice   []string
}

// NewEnds returns one that knows nothing.
func NewEnds() *Ends {
	return &Ends{taken: map[string]bool{}, reached: map[string]int{}, told: map[string]string{}}
}

// Taken notes that a node owes a message its end.
func (e *Ends) Taken(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken[id] = true
}

// Delivered notes a delivery that was answered well.
func (e *Ends) Delivered(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reached[id]++
}

// Told notes an end that the node has told. One that is told again as it was does no harm.
func (e *Ends) Told(id, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.told[id]; ok && old != state {
		e.twice = append(e.twice, fmt.Sprintf("%s: %s and %s", id, old, state))
	}
	e.told[id] = state
}

// End is a message's end: delivered, what the node has told, or "" while it has none. What a node tells counts: an answer
// that it did not hear is no end.
func (e *Ends) End(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.end(id)
}

func (e *Ends) end(id string) string {
	if s := e.told[id]; s != "" {
		return s
	}
	if e.reached[id] > 0 {
		return "delivered"
	}
	return ""
}

// Missing is how many messages that were taken on have no end yet.
func (e *Ends) Missing() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for id := range e.taken {
		if e.end(id) == "" {
			n++
		}
	}
	return n
}

// Check is nil if each message that was taken on has one end.
func (e *Ends) Check() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var missing []string
	for id := range e.taken {
		if e.end(id) == "" {
			missing = append(missing, id)
		}
	}
	var err error
	if len(missing) > 0 {
		err = fmt.Errorf("%w: %d, %s among them", ErrMissing, len(missing), missing[0])
	}
	if len(e.twice) > 0 {
		err = errors.Join(err, fmt.Errorf("%w: %d, %s among them", ErrTwice, len(e.twice), e.twice[0]))
	}
	return err
}
