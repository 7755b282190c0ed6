package delivery

import (
	"slices"
	"time"

	"starlingusher/choice"
)

// unknownAge is how long ago an attempt is noted to have been made of which nobody knows when it was: no window of a class is as long.
const unknownAge = longestSpan / 2

// unknownAttempt says so in words.
const unknownAttempt = "nobody knows when it was made, or whether"

// mayHaveRun tells whether an attempt of the message may have run, by what its journal knows.
func (p *past) mayHaveRun() bool {
	return !p.mayRun.IsZero() || slices.ContainsFunc(p.sends, func(s pastSend) bool { return !s.notRun })
}

// noteUnknownAttempt writes down what an engine that takes a message up from a journal can't know of it, so that no later life counts a window from
// the time of this one. A stale journal may lack attempts. Where the machine was started anew, or is another one, the wall clock may have been stepped
// since the attempts that it has.
func (n *Engine) noteUnknownAttempt(p *past, stale bool) {
	effect := n.cfg.Settings.Classes[p.class].Effect
	ran := p.mayHaveRun()
	lacks := stale && !ran && effect != choice.Safe
	unsure := p.home.reboot && ran && effect == choice.Keyed
	if lacks || unsure {
		p.home.add(unknownAttemptRecord(p))
	}
}

// unknownAttemptRecord is of an attempt that may have run nobody knows when.
func unknownAttemptRecord(p *past) []byte {
	return attemptRecord(p.seq, p.home.clock.stamp(p.home.clock.start).Add(-unknownAge), 0, "")
}

// isUnknown tells whether an attempt stands for one of which nobody knows when it was made.
func (s pastSend) isUnknown(now time.Time) bool { return now.Sub(s.at) > unknownAge/2 }
