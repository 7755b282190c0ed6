package fleet

import "time"

// A source that all senders ask for the same list is sized for a few calls of each in a while, not for all at once: what was
// met takes one call from every sender in 2 to 8 s, and gives up those that would wait for longer than 2 s. Once it is behind, calls that
// are repeated sooner than that keep it behind for ever, and nobody is told anything.
const (
	askEach    = 50 * time.Millisecond  // of the span over which first calls spread, a sender,
	askLongest = 4 * time.Second        // and the longest such span
	againEach  = 100 * time.Millisecond // of the span before a first repeat, a sender,
	mostEach   = 200 * time.Millisecond // and of the span that it doubles up to,
	mostLeast  = 2 * time.Second        // which is so long at least,
	mostMost   = 40 * time.Second       // and at most
)

// Asking is how one sender asks a source that all n of them ask. The zero value is of one that has not asked yet.
//
// The bound: n senders that start at one instant call 20 times a second together, or n/4 times if they are more than 80. While
// all fail, from the second repeat on they call 10 times a second in the mean, or n/20 times if they are more than 200: a
// pause is uniform over its span, so that senders which failed at one instant come back at as many different ones.
type Asking struct{ fails int }

// First is the pause before the first call of a sender that has a list to go on with. What has changed since counts as told to
// it a few seconds later, so that it is bounded for any n.
func (a *Asking) First(n int, random float64) time.Duration {
	return time.Duration(random * float64(min(time.Duration(n)*askEach, askLongest)))
}

// Failed is the pause after a call that failed. Its span doubles with each one in a row.
func (a *Asking) Failed(n int, random float64) time.Duration {
	n = max(n, 1)
	most := min(max(time.Duration(n)*mostEach, mostLeast), mostMost)
	span := min(time.Duration(n)*againEach<<min(a.fails, 10), most)
	a.fails++
	return time.Duration(random * float64(span))
}

// Told notes that the source has told something: it is not behind.
func (a *Asking) Told() { a.fails = 0 }
