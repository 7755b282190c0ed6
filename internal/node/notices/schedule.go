// Package notices brings the ends of messages to the platform's agent in their time, by whatever way to it works.
//
// A Schedule decides what is posted when; it is pure. A Courier has the connections. A notice is posted at once on a connection that has
// answered lately, and again beside that, on others, for as long as nothing answers: no post is given up for another one, and none waits for
// another one's answer. HTTP/1.1 numbers no response, so that on a connection which was used before an answer may be a copy of an earlier
// one: the notice then counts as answered, and is owed until a post on a new connection, with others a second later, has proven it.
package notices

import (
	"container/heap"
	"slices"
	"time"
)

// Bounds of a post: the agent reads 64 KiB at most.
const (
	mostEntries = 256
	mostBytes   = 32 << 10
)

const (
	leastHedge = 40 * time.Millisecond // until a notice without an answer is posted again, beside the first post,
	mostHedge  = 80 * time.Millisecond // where the agent usually takes longer; it is overdue 300 ms after its message's time
	quickHedge = 20 * time.Millisecond // after a second post and the next ones:
	quickTries = 6                     // up to so many; then the time doubles,
	lastHedge  = 2 * time.Second       // up to this
	usualTimes = 2                     // of the usual time of an answer, a hedge
	usualPart  = 8                     // the part of a new time in the usual one is one over this

	firstPause = 10 * time.Millisecond // after a second failure in a row; the first is followed at once
	lastPause  = 100 * time.Millisecond

	proofAfter   = time.Second      // an answer on a used connection, the notice is posted on a new one
	trustedAfter = 20 * time.Second // without a new connection the answer counts, unless there were copies

	// young is for how long a post counts in what follows.
	young = time.Second
	// mostProofs is how many posts that prove alone may be without an answer, and mostYoungProofs how many of them may be young.
	mostProofs, mostYoungProofs = 6, 1
)

// gaps are the least times between two posts of notices without an answer, by the number of such posts that are young.
var gaps = [...]time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond,
	50 * time.Millisecond, 60 * time.Millisecond}

// Entry is a notice and what it is of.
type Entry[T any] struct {
	Value T
	Line  []byte // of a post, with its end

	came     time.Duration
	due      time.Duration // when it is to be posted next
	tries    int
	answered bool // on a connection that was used before
	asked    bool // it was posted on a new one
	since    time.Duration
	over     bool
	place    int // in its heap
}

// Post is a request with notices.
type Post[T any] struct {
	entries []*Entry[T]
	at      time.Duration
	urgent  bool // some of them had no answer
}

// Len is the number of notices in it.
func (p *Post[T]) Len() int { return len(p.entries) }

// waited is for how long the notices in a post that have no answer yet have been owed at the longest, and how often that one was posted.
func (p *Post[T]) waited(now time.Duration) (longest time.Duration, tries int) {
	for _, e := range p.entries {
		if waited := now - e.came; !e.over && !e.answered && waited > longest {
			longest, tries = waited, e.tries
		}
	}
	return longest, tries
}

// Body is what is posted: an object a line.
func (p *Post[T]) Body() []byte {
	var b []byte
	for _, e := range p.entries {
		b = append(b, e.Line...)
	}
	return b
}

// Schedule decides which notices are posted when. Times are counted from one moment of a monotonic clock. It is used by one goroutine at
// a time; the zero value is empty.
type Schedule[T any] struct {
	urgent   dues[T] // without an answer
	unproven dues[T] // with one on a used connection
	open     []*Post[T]
	last     time.Duration // when a post with urgent ones was made last
	posted   bool
	failures int           // in a row
	usual    time.Duration // time of an answer
}

// Add owes the agent a notice from now on.
func (s *Schedule[T]) Add(now time.Duration, e *Entry[T]) {
	e.came, e.due = now, now
	heap.Push(&s.urgent, e)
}

// Waits returns how many notices have no answer, and since when the first of them is owed.
func (s *Schedule[T]) Waits() (count int, since time.Duration) {
	for i, e := range s.urgent {
		if i == 0 || e.came < since {
			since = e.came
		}
	}
	return len(s.urgent), since
}

// Owed is the number of notices that are not proven.
func (s *Schedule[T]) Owed() int { return len(s.urgent) + len(s.unproven) }

// Want tells whether a post is due now: with notices that may go on any connection, and how often the first of them was posted; and whether
// one is due on a new connection.
func (s *Schedule[T]) Want(now time.Duration) (urgent bool, tries int, proof bool) {
	if urgent = s.urgent.isDue(now) && now >= s.next(now); urgent {
		tries = s.urgent[0].tries
	}
	return urgent, tries, s.unproven.isDue(now) && s.mayProve(now)
}

// mayProve tells whether there may be another post that proves alone.
func (s *Schedule[T]) mayProve(now time.Duration) bool {
	all, recent := 0, 0
	for _, p := range s.open {
		if p.urgent {
			continue
		}
		if all++; now-p.at < young {
			recent++
		}
	}
	return all < mostProofs && recent < mostYoungProofs
}

// Wake is the next time at which something may be due, if anything is owed.
func (s *Schedule[T]) Wake(now time.Duration) (at time.Duration, ok bool) {
	if len(s.urgent) > 0 {
		at, ok = max(s.urgent[0].due, s.next(now)), true
	}
	if len(s.unproven) > 0 && s.mayProve(now) && (!ok || s.unproven[0].due < at) {
		at, ok = s.unproven[0].due, true
	}
	return at, ok
}

// next is the time before which no notice without an answer is posted.
func (s *Schedule[T]) next(now time.Duration) time.Duration {
	if !s.posted {
		return 0
	}
	n := 0
	for _, p := range s.open {
		if p.urgent && now-p.at < young {
			n++
		}
	}
	return s.last + gaps[min(n, len(gaps)-1)]
}

// Take makes a post of what is due, on a connection that is new or was used before. Nil if there is nothing.
func (s *Schedule[T]) Take(now time.Duration, fresh bool) *Post[T] {
	p := &Post[T]{at: now}
	size := 0
	fits := func(h dues[T]) bool {
		return h.isDue(now) && len(p.entries) < mostEntries && (size == 0 || size+len(h[0].Line) <= mostBytes)
	}
	for now >= s.next(now) && fits(s.urgent) {
		p.urgent = true
		e := s.urgent[0]
		e.tries++
		e.due = now + s.hedge(e.tries)
		heap.Fix(&s.urgent, 0)
		p.entries, size = append(p.entries, e), size+len(e.Line)
	}
	for fresh && fits(s.unproven) {
		e := s.unproven[0]
		e.due = now + max(s.hedge(e.tries), proofAfter)
		heap.Fix(&s.unproven, 0)
		p.entries, size = append(p.entries, e), size+len(e.Line)
	}
	if len(p.entries) == 0 {
		return nil
	}
	for _, e := range p.entries {
		e.asked = e.asked || fresh
	}
	s.open = append(s.open, p)
	if p.urgent {
		s.last, s.posted = now, true
	}
	return p
}

// hedge is the time from a post of a notice until it is posted beside that, if there is no answer.
func (s *Schedule[T]) hedge(tries int) time.Duration {
	switch {
	case tries <= 1:
		return min(max(usualTimes*s.usual, leastHedge), mostHedge)
	case tries <= quickTries:
		return quickHedge
	}
	return min(mostHedge<<min(tries-quickTries, 10), lastHedge)
}

// Answered notes that the agent has taken a post, proven or not. It returns what is owed no more.
func (s *Schedule[T]) Answered(now time.Duration, p *Post[T], proven bool) (over []T) {
	s.close(p)
	s.failures = 0
	s.usual += (now - p.at - s.usual) / usualPart
	for _, e := range p.entries {
		switch {
		case e.over:
		case proven:
			over = append(over, e.Value)
			s.end(e)
		case !e.answered:
			heap.Remove(&s.urgent, e.place)
			e.answered, e.since, e.due = true, now, now+proofAfter
			heap.Push(&s.unproven, e)
		}
	}
	return over
}

func (s *Schedule[T]) close(p *Post[T]) {
	s.open = slices.DeleteFunc(s.open, func(one *Post[T]) bool { return one == p })
}

// end forgets a notice.
func (s *Schedule[T]) end(e *Entry[T]) {
	e.over = true
	if e.answered {
		heap.Remove(&s.unproven, e.place)
	} else {
		heap.Remove(&s.urgent, e.place)
	}
}

// Failed notes that a post can't be answered any more. What it had is due at once after a first failure, and soon after others.
func (s *Schedule[T]) Failed(now time.Duration, p *Post[T]) {
	s.close(p)
	pause := time.Duration(0)
	if s.failures > 0 {
		pause = min(firstPause<<min(s.failures-1, 10), lastPause)
	}
	s.failures++
	for _, e := range p.entries {
		if !e.over && !e.answered && e.due > now+pause {
			e.due = now + pause
			heap.Fix(&s.urgent, e.place)
		}
	}
}

// Moved notes that the agent is another one now: whatever is not proven is due at once, and posts that are open have no answer.
func (s *Schedule[T]) Moved(now time.Duration) {
	s.open, s.failures, s.usual, s.posted = nil, 0, 0, false
	for _, h := range []*dues[T]{&s.urgent, &s.unproven} {
		for _, e := range *h {
			e.due = now
		}
		heap.Init(h)
	}
}

// Trusted returns what was answered so long ago that the answer counts without a proof, where no new connection has been there for one. An
// agent that has not answered on a new connection may hang behind a copy of its last answer.
func (s *Schedule[T]) Trusted(now time.Duration) (over []T) {
	for _, e := range slices.Clone(s.unproven) {
		if now-e.since >= trustedAfter && !e.asked {
			over = append(over, e.Value)
			s.end(e)
		}
	}
	return over
}

// dues is a heap of notices by when they are due.
type dues[T any] []*Entry[T]

func (h dues[T]) isDue(now time.Duration) bool { return len(h) > 0 && h[0].due <= now }

// The methods of heap.Interface.

func (h dues[T]) Len() int           { return len(h) }
func (h dues[T]) Less(i, j int) bool { return h[i].due < h[j].due }
func (h dues[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *dues[T]) Push(x any) {
	e := x.(*Entry[T])
	e.place = len(*h)
	*h = append(*h, e)
}
func (h *dues[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
