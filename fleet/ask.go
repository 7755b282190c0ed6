package fleet

import "time"

// A source that all senders ask for the same list is sized for a few calls of each in a while, not for all at once: what was
// met takes one call from every sender in 2 to 8 s, and gives up those that would wait for longer than 2 s. On the other hand, what the source has
// to tell binds a sender ToldWithin after the source could be reached again, whatever became of the calls before.
const (
	// ToldWithin is the longest time from when a source can be reached to when what it has counts as told.
	ToldWithin = 6 * time.Second

	againEach  = 100 * time.Millisecond  // of the span before a first repeat, a sender,
	againMost  = 3500 * time.Millisecond // and the longest such span
	mostEach   = 200 * time.Millisecond  // of the span that it doubles up to, a sender,
	mostLeast  = 2 * time.Second         // which is so long at least
	answerTime = 300 * time.Millisecond  // of ToldWithin, for the call that succeeds
	leastMost  = time.Second             // the longest pause after a call that took nearly all of ToldWithin to fail
)

// Asking is how one sender asks a source that all n of them ask. The zero value is of one that has not failed yet. A first call
// waits for nothing: what was told while the sender did not ask binds it from its start, and a source that is at hand answers
// at once.
//
// The bound: a call follows on the begin of a failed one within ToldWithin less answerTime, so that the source may come back at any time in
// between. n senders whose calls fail at one instant come back at as many different ones: 10 a second together, or n/3.5 if they are more
// than 35. While the source goes on to fail, few senders call half as often with each further failure, down to 5 times a second together.
// Many can't, by the bound: each calls again 5.7 s after the begin of its call before, so that they stay as far apart as their first repeats were,
// with 2.2 s of each 5.7 s in which nobody calls: a source that is behind catches up in these.
type Asking struct{ fails int }

// Failed is the pause after a call that took so long to fail. Its span doubles with each one in a row, as far as the bound allows.
func (a *Asking) Failed(n int, took time.Duration, random float64) time.Duration {
	n = max(n, 1)
	longest := max(ToldWithin-answerTime-took, leastMost)
	first := min(time.Duration(n)*againEach, againMost)
	span := min(first<<min(a.fails, 10), max(time.Duration(n)*mostEach, mostLeast))
	again := a.fails > 0
	a.fails++
	if again && span > longest {
		return longest
	}
	return time.Duration(random * float64(min(span, longest)))
}

// Told notes that the source has told something: it is not behind.
func (a *Asking) Told() { a.fails = 0 }
