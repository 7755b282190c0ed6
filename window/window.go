// Package window says how many calls may be out at once at an endpoint that tells no limit but turns calls away when its
// queue is full: a congestion window, that falls to what was taken when calls are turned away and grows by a call with
// each window of calls that passed (additive increase, as in RFC 5681, section 3.1), more slowly where the last one was
// turned away. Calls that take much longer than they took at best wait in the queue: more of them would get nothing done
// and hold slots that others want, so the window then stays, or falls as slowly as it grew. It has no I/O and no clock of
// its own, and a Window is not safe for concurrent use.
//
// A full queue and an outage look alike in a single refusal. What tells them apart is whether anything passes meanwhile:
// a run of refusals without a pass that lasts longer than a pause would is a sign of an outage.
package window

import (
	"math"
	"time"
)

const (
	least  = 1.0              // calls: with none out the next refusal or pass could not come
	forget = 30 * time.Second // after the last refusal the window is open again
	// Pause is how long a run of refusals without a pass may last before it is no full queue any more: stalls of half a
	// second are common, and a call takes its time after them.
	Pause = 700 * time.Millisecond

	weight   = 0.2              // of a call in the mean time that calls take
	bestSpan = 60 * time.Second // the best mean grows by a factor e in this time, lest it stay one lucky moment's
	probing  = 0.25             // of the usual growth above what was taken at the last refusal
	enough   = 2.0              // a mean of so many times the best is no reason to send more at once,
	tooMuch  = 3.0              // and one of so many is a reason to send less
)

// Window is of one endpoint. The zero value is open.
type Window struct {
	size    float64       // calls; 0 while it is open
	full    float64       // what was taken at the last refusal; 0 if there was none
	fullAt  time.Duration // the last refusal
	refused time.Duration // the first refusal since the last pass; 0 none
	mean    float64       // seconds that calls took of late,
	best    float64       // and the lowest that this was
	at      time.Duration // of the last pass
}

// Refused notes a call that was turned away for a full queue, with so many others still out there. It tells whether that
// is a sign of an outage.
func (w *Window) Refused(now time.Duration, out int) (outage bool) {
	if w.refused == 0 {
		w.refused = max(now, 1)
	}
	if to := max(float64(out), least); !w.bounded(now) || to < w.size {
		w.size = to
	}
	w.fullAt, w.full = now, w.size
	return w.TurnedAway(now) > Pause
}

// Restart has the window grow from one call again, and learn anew how long calls take: after an outage a cold endpoint
// takes longer than it did.
func (w *Window) Restart(now time.Duration) {
	w.size, w.fullAt, w.mean, w.best = least, now, 0, 0
}

// Passed notes a call that passed in that time, with so many others still out there. A window that is not used does not
// change.
func (w *Window) Passed(now time.Duration, out int, took time.Duration) {
	w.refused = 0
	sec := took.Seconds()
	if w.best == 0 {
		w.mean, w.best = sec, sec
	}
	w.mean += weight * (sec - w.mean)
	w.best = min(w.best*math.Exp((now-w.at).Seconds()/bestSpan.Seconds()), w.mean)
	w.at = now
	switch {
	case !w.bounded(now) || float64(out+1) < w.size/2:
	case w.mean <= enough*w.best && (w.full == 0 || w.size < w.full):
		w.size += 1 / w.size
	case w.mean <= enough*w.best:
		w.size += probing / w.size
	case w.mean > tooMuch*w.best:
		w.size = max(w.size-1/w.size, least)
	}
}

// Allows tells whether a further call may go out beside those that are there.
func (w *Window) Allows(now time.Duration, out int) bool {
	return !w.bounded(now) || float64(out)+1 <= w.size
}

// Size is how many calls may be out; 0 for any number.
func (w *Window) Size(now time.Duration) float64 {
	if !w.bounded(now) {
		return 0
	}
	return w.size
}

// TurnedAway is for how long nothing has passed while calls were turned away; 0 if that is not so.
func (w *Window) TurnedAway(now time.Duration) time.Duration {
	if w.refused == 0 {
		return 0
	}
	return now - w.refused
}

func (w *Window) bounded(now time.Duration) bool {
	return w.size > 0 && now-w.fullAt < forget
}
