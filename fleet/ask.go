package fleet

import "time"

// A source that all senders ask for the same list is sized for a few calls of each in a while, not for all at once: what was
// met takes one call from every sender in 2 to 8 s, and gives up those that would wait for longer than 2 s. Once it is behind, calls that
// are repeated sooner than that keep it behind for ever, and nobody is told anything.
const (
	againEach = 100 * time.Millisecond  // of the span before a first repeat, a sender,
	againMost = 3500 * time.Millisecond // and the longest such span: what a silent watch missed counts as told 6 s later, and 2.5 s are gone
	mostEach  = 200 * time.Millisecond  // of the span that it doubles up to, a sender,
	mostLeast = 2 * time.Second         // which is so long at least,
	mostMost  = 40 * time.Second        // and at most
)

// Asking is how one sender asks a source that all n of them ask. The zero value is of one that has not failed yet. A first call
// waits for nothing: what was told while the sender did not ask binds it from its start, and a source that is at hand answers
// at once.
//
// The bound: n senders whose calls fail at one instant call 10 times a second together, or n/3.5 times if they are more than
// 35, and half as often with each further failure, down to 5 times a second or n/40. A pause is uniform over its span, so that
// senders which failed at one instant come back at as many different ones. A sender whose source works again is without it for
// 3.5 s at most after a first failure.
type Asking struct{ fails int }

// Failed is the pause after a call that failed. Its span doubles with each one in a row.
func (a *Asking) Failed(n int, random float64) time.Duration {
	n = max(n, 1)
	most := min(max(time.Duration(n)*mostEach, mostLeast), mostMost)
	span := min(min(time.Duration(n)*againEach, againMost)<<min(a.fails, 10), most)
	a.fails++
	return time.Duration(random * float64(span))
}

// Told notes that the source has told something: it is not behind.
func (a *Asking) Told() { a.fails = 0 }
