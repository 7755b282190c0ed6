package fleet

import "time"

const (
	debtPart = 0.75                   // of a share, while others know that the limit is in debt
	soon     = 200 * time.Millisecond // within which those who hear of a pass try as well
)

// Known is what a sender that talks with the others of its fleet knows of a route: its right to a part of the limit, and what
// they have seen there. The zero value is of a sender that does not talk, and each thing is over when its time is: then
// all is as if nothing had ever been told.
//
// The bound: shares that are valid at one instant sum up to 1 over all senders that talk (package peers/budget proves it, for
// any cut). A sender that is deaf has none, and goes by its Part as if it had never talked. So n senders of which d are deaf take no
// more than the limit, and what those d would have taken without talk: never more than without it, and never less than a
// quarter of an even part.
type Known struct {
	Share    float64       // part of the limit that this sender has a right to
	ShareTil time.Duration // until then, if it hears nothing more
	Least    float64       // part of it that is left of the right when loans from others have run out
	LeastTil time.Duration // until then, if it hears nothing more
	DebtTil  time.Duration // others were refused: the limit is in debt until then
	OutTil   time.Duration // several others find the route out
	SpareTil time.Duration // others try whether it is back, and this sender need not
	BackFrom time.Duration // since when calls of others pass there, 0 for not known
}

// Shared tells that the sender holds a right now.
func (k *Known) Shared(now time.Duration) bool { return now < max(k.ShareTil, k.LeastTil) }

// Deaf tells that the sender held a right and holds none: it hears nobody any more.
func (k *Known) Deaf(now time.Duration) bool { return k.ShareTil > 0 && !k.Shared(now) }

// right is the part of the limit that the sender has a right to now; it holds one.
func (k *Known) right(now time.Duration) float64 {
	if now < k.ShareTil {
		return k.Share
	}
	return k.Least
}

// Shift is the same on a clock that shows by more.
func (k Known) Shift(by time.Duration) Known {
	for _, t := range []*time.Duration{&k.ShareTil, &k.LeastTil, &k.DebtTil, &k.OutTil, &k.SpareTil, &k.BackFrom} {
		if *t != 0 {
			*t += by
		}
	}
	return k
}

// Part is the part of the limit that may be used: the right, or what the sender may have alone.
func (k *Known) Part(now time.Duration, alone *Part) float64 {
	switch {
	case !k.Shared(now):
		return alone.Share()
	case now < k.DebtTil:
		return k.right(now) * debtPart
	}
	return k.right(now)
}

// Out tells that others find the route out.
func (k *Known) Out(now time.Duration) bool { return now < k.OutTil }

// Spared tells that a trial may be left to others.
func (k *Known) Spared(now time.Duration) bool { return now < k.SpareTil }

// Cold is the part, in calls a second, that a route on its way back may be given of what all together may send there: by the
// right, since rights add up by themselves, or what the sender would take alone.
func (k *Known) Cold(now time.Duration, alone, all float64) float64 {
	if !k.Shared(now) {
		return alone
	}
	return k.Part(now, nil) * all
}

// Trial is when a route that was struck is tried next, which was to be at due. Calls of others that pass there make it due
// soon, at a time that is drawn: it overrules nothing that was seen here, for the trial tells.
func (k *Known) Trial(now, struck, due time.Duration, random float64) time.Duration {
	if k.BackFrom <= struck {
		return due
	}
	return min(due, now+time.Duration(random*float64(soon)))
}

// Since is when a route that was struck came back: when calls of others first passed after that, if they did, or now.
func (k *Known) Since(now, struck time.Duration) time.Duration {
	if k.BackFrom > struck {
		return min(k.BackFrom, now)
	}
	return now
}
