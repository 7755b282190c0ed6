package fleet

import "time"

const (
	partCut   = 0.5  // factor on the part at a refusal over the limit
	partGrow  = 0.15 // growth a second while calls pass, of the part or of an even one
	partLeast = 0.7  // of an even part: a sender of which nothing is heard any more would never learn that there is room
	partNews  = 10 * time.Second
	// A refusal tells that others wait as well, and where refused calls use up the limit, it is in debt: the next call comes
	// half a pause of the new pace later at the soonest, and a whole one at the latest.
	partSaved = 0.5
)

// Part is one sender's part of a limit that all n share, between 0.7/n and 1. The zero value is the whole limit: a sender
// that was never refused goes by its own demand, and all demands together mostly stay under the limit.
//
// The bound: once each of n senders was refused, their parts sum up to no more than 0.7 and what they asked for of late together,
// in times the limit (twice what each asked for is cut to a half); while all calls pass the sum grows by 15% a second at most, of itself or of the limit. Where refused
// calls use the limit up, growth decides how much is lost: in a model of eighty senders with clumps, growth of 25% had
// 0.17 calls refused a message, 15% has 0.11, and 5% leaves a third more messages late.
type Part struct {
	cut   bool
	share float64
	at    time.Duration // of the last news
}

// Share is the part, as a share of the limit.
func (p *Part) Share() float64 {
	if !p.cut {
		return 1
	}
	return p.share
}

// Refused takes a refusal over the limit. The part falls to twice this sender's own demand at once, which is given as a share
// of the limit, 0 for not known, and is halved from there. A sender knows its part by nothing else.
func (p *Part) Refused(now time.Duration, n int, own float64) {
	share := p.Share()
	if own > 0 {
		share = min(share, 2*own)
	}
	p.cut, p.share, p.at = true, max(share*partCut, min(partLeast/float64(max(n, 1)), 1)), now
}

// Saved is what may stay of a bucket of calls after a refusal.
func (p *Part) Saved(random float64) float64 { return partSaved * random }

// News notes that something was heard of the limit that changes nothing: growth counts from here.
func (p *Part) News(now time.Duration) { p.at = now }

// Passed takes a call that passed, and the share of the limit that it told to be left, 0 for none told. A sender that
// calls rarely would never grow in steps of a second: where it is told that there is room it grows by its whole pause, up to 10 s.
func (p *Part) Passed(now time.Duration, n int, left float64) {
	most := max(time.Second, time.Duration(left*float64(partNews)))
	if p.cut {
		share := p.share + partGrow*max(p.share, 1/float64(max(n, 1)))*min(most, now-p.at).Seconds()
		p.share, p.cut = share, share < 1
	}
	p.at = now
}
