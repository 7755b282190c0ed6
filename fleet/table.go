package fleet

import (
	"math"
	"time"
)

// What endpoints hold is told nowhere; it shows when a table is full. Until then all senders together keep so many idle
// connections as fit into the smallest tables met, and a sender whose part of these is a whole one or more hardly notices.
const (
	places   = 8.0              // idle connections that all senders together keep at an endpoint, to begin with
	fullSpan = 30 * time.Second // a sign of a full table binds for so long
	roomGrow = 2.0              // calls a second that are tried in that time beyond those known to fit
)

var shy = Rest{First: 120 * time.Millisecond, Longest: 2 * time.Second}

// Table is an endpoint's connection table as one sender sees it. The zero value is of an endpoint that was never called.
//
// Eighty senders that each keep one connection between two calls fill a table that would have done for all their calls, and
// then those that hold none get nothing. So a sender keeps idle connections only by its part of the places: the sum over
// all senders begins at 8, grows by at most 8*(8/n) for n calls that passed on new connections, and is halved, sender by
// sender, where the table was found full. What it costs is a handshake for each call that finds none kept.
type Table struct {
	known  bool
	part   float64       // idle connections that this sender may keep, a fraction by chance
	fullAt time.Duration // the last sign of a full table
	full   bool          // there was one
	room   float64       // calls of this sender's that fitted then
	signs  int           // in a row
	shyTil time.Duration // with no call there it is left alone until then
}

// share is one sender's part of the places.
func share(n int) float64 { return places / float64(max(n, 1)) }

func (t *Table) begin(n int) {
	if !t.known {
		t.known, t.part = true, share(n)
	}
}

// Full notes a new connection that was turned away, with so many calls of this sender's still out there, which have their
// places.
func (t *Table) Full(now time.Duration, n, out int, random float64) {
	t.begin(n)
	t.signs++
	if out == 0 { // somebody else has to leave first
		t.shyTil = now + shy.After(t.signs, random)
	}
	t.full, t.fullAt, t.room = true, now, float64(max(out, 1))
	t.part = max(min(t.part/2, 1), min(1, share(n)*share(n)))
}

// Passed notes a call that passed, on a new connection or on a kept one.
func (t *Table) Passed(now time.Duration, n int, fresh bool) {
	t.begin(n)
	t.signs = 0
	if fresh && !t.lately(now) {
		t.part = min(t.part+share(n)*share(n), places)
	}
}

// Open is when the table may be tried again; a time that has passed while nothing is known against it.
func (t *Table) Open() time.Duration { return t.shyTil }

// Allows tells whether a further call may go out beside so many of this sender's, as far as it is known how many fit.
func (t *Table) Allows(now time.Duration, out int) bool {
	return now >= t.shyTil && (!t.lately(now) || float64(out) < t.room+roomGrow*(now-t.fullAt).Seconds())
}

// Keep is how many idle connections are kept after a call; a negative number for all.
func (t *Table) Keep(n int, random float64) int {
	t.begin(n)
	if t.part >= places {
		return -1
	}
	return int(math.Floor(t.part + random))
}

func (t *Table) lately(now time.Duration) bool { return t.full && now-t.fullAt < fullSpan }
