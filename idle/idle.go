// Package idle decides what is still believed of a destination that has been silent, and how the first message after the
// silence is to be sent. It knows no clock, socket or randomness: package choice asks it when something comes for a
// destination that had nothing to do.
//
// What a sender has learned of a destination grows old in steps. Its pace, latency and gate are news of minutes: a part that
// was cut at a busy hour, or an endpoint that was slow then, must not hold back the first message of the next day. Its
// capacity holds for days. That it fell, and nobody has seen it up since, stays true until a call has passed.
package idle

import "time"

const (
	// StaleAfter is the silence after which pace, latency and gate are no longer believed.
	StaleAfter = 10 * time.Minute
	// CapacityFor is for how long the capacity that was seen or told is believed.
	CapacityFor = 3 * 24 * time.Hour
	// DoubtFor is for how long an outage of the unsure class keeps what may not be repeated from being the first call. After
	// that somebody has to find out, and a destination that gets nothing else would never be called.
	DoubtFor = time.Hour
)

// Outage is what the last calls before the silence had to say.
type Outage uint8

// The classes of an outage.
const (
	None     Outage = iota // the last call passed, and it was warm
	Cold                   // it was on its way back
	Harmless               // it was down, and the failures proved that nothing ran
	Unsure                 // it was down, and calls may have run
)

// Past is what a sender has of a route from before a silence.
type Past struct {
	Silence  time.Duration // since anything came for it, or was out there
	Wait     time.Duration // what is left of a wait that it told; 0 or less for none
	Outage   Outage
	Capacity float64 // calls a second that it takes from all senders, as told or seen; 0 for not known
}

// Return is how the route is met.
type Return struct {
	// AsBefore says that all stands as it was: the silence was short. The other fields are then zero.
	AsBefore bool
	// Wait is for how long nothing may be sent, whatever else holds.
	Wait time.Duration
	// Trial says that single calls come first, until one has passed; Harmless, that what may not be repeated may be among
	// them. Without Trial calls go at once. Either way the route is cold until it is surely warm.
	Trial, Harmless bool
	// Capacity is believed; 0 for none.
	Capacity float64
}

// Back tells how a route is met after a silence. A wait that was told binds however long ago that was. Failures in a row that
// made no outage are forgotten with the rest: after hours they say nothing of the next call.
func Back(p Past) Return {
	if p.Silence < StaleAfter {
		return Return{AsBefore: true}
	}
	r := Return{Wait: max(p.Wait, 0)}
	r.Trial = p.Outage == Harmless || p.Outage == Unsure
	r.Harmless = r.Trial && (p.Outage == Harmless || p.Silence >= DoubtFor)
	if p.Silence < CapacityFor && p.Capacity > 0 {
		r.Capacity = p.Capacity
	}
	return r
}
