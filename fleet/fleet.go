// Package fleet decides what one sender's part is of what all senders of a fleet share, where they may not talk with each
// other: places in a partner's connection table, room under its limit, and turns after a wait. It has no clock, I/O or
// randomness of its own: times are of the caller's clock, and random numbers are handed in, each from 0 to below 1. Nothing
// here is safe for concurrent use.
//
// The model: n senders, of which each knows n and what it was told itself. What is harmless for one may be harmful when all
// do it, so each rule here is stated as a bound on what all n do together. Senders that are dead take nothing, so a bound
// holds with any number of them; what they leave is taken up by growth alone. No rule looks at n by a threshold: with few
// senders the parts are so large that they bind nobody.
package fleet

import "time"

// Rest is the pause after a refusal of its kind that tells no wait: the first of them, doubled with each further one in a row
// up to Longest, and stretched by a random number to at most twice that, so that senders which were refused at one
// instant do not come back at one.
type Rest struct {
	First, Longest time.Duration
}

// After is the pause after so many refusals in a row, 1 or more.
func (r Rest) After(refusals int, random float64) time.Duration {
	pause := r.First
	for i := 1; i < refusals && pause < r.Longest; i++ {
		pause *= 2
	}
	pause = min(pause, r.Longest)
	return pause + time.Duration(random*float64(pause))
}
