package choice

import "math"

// This file is slow start: what may be sent to a route on its way back from an outage.

// capacity is a careful guess of what the route takes a second from all senders when it is warm.
func (s *Sender) capacity(r *route) float64 {
	switch {
	case r.limit > 0:
		return r.limit
	case r.weight > 0 && s.cfg.RoughWeights:
		return r.weight / s.t.RoughWeight
	case r.weight > 0:
		return r.weight
	}
	return max(r.busiest, 1)
}

// pace is how many calls a second this sender may send on the route, and whether it is so bound.
func (s *Sender) pace(r *route) (rate float64, bound bool) {
	share := s.cfg.ColdFrom
	if r.coldFrom > 0 && s.cfg.WarmWithin > 0 {
		share += (1 - share) * min(1, seconds(s.now-r.coldFrom)/seconds(s.cfg.WarmWithin))
	}
	return s.paceAt(r, share)
}

// fastest is what the pace grows to by time alone.
func (s *Sender) fastest(r *route) float64 {
	rate, _ := s.paceAt(r, 1)
	return rate
}

// paceAt is the pace when a route on its way back has a share of its capacity.
func (s *Sender) paceAt(r *route, share float64) (rate float64, bound bool) {
	if r.recovering() && s.cfg.Fall > 0 && s.cfg.FallMultiple > 0 {
		capable := s.cfg.FallMultiple * share * s.capacity(r)
		fall := seconds(s.cfg.Fall)
		alone := s.slowStartPart(r) * safeCalls(capable*fall, s.cfg.Fleet) / fall
		return r.known.Cold(s.now, alone, s.t.KnowingShare*capable), true
	}
	limit := s.limit(r)
	return r.known.Part(s.now, &r.part) * limit, limit > 0
}

// slowStartPart is this sender's part of what all senders may send on the way back: something to all alike,
// something by what it was handed since the outage began, and something by what passed before. An even share
// alone starves the few senders of a large fleet that hold messages. The three add up, so that the parts of
// all senders sum up to one where the demand of all is the capacity. The greatest of the three would sum up
// to more, for it is another one at each sender.
func (s *Sender) slowStartPart(r *route) float64 {
	capacity := s.capacity(r)
	own := r.demand / (seconds(s.now-r.struckAt) + seconds(s.t.DemandPrior))
	even := 1 / float64(s.cfg.Fleet)
	known := s.t.DemandPart*min(own/capacity, 1) + s.t.FlowPart*r.gap.Before()/capacity
	// Of a fleet of one, the even share is all there is; the more senders there are, the less does it tell.
	return min(even*(s.t.EvenPart+(1-s.t.EvenPart)*even)+(1-even)*known, 1)
}

// slowStartBudget is how many calls a cold server bears in the time of the settings, of which it can do n.
func slowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// expireRetry takes back the call that may follow a failure at once, where a message has waited for longer
// than that: its slots or its rest were not free, and others that waited as well would go out with it.
func (s *Sender) expireRetry(d *destination, r *route) {
	if r.retry && s.now-max(d.waiting[0].arrived, r.suspectAt) > s.t.SuspectSpan {
		r.retry = false
		r.tokens = min(r.tokens, r.allowance)
	}
}

// safeCalls is how many calls all senders together may send in the mean, of which a cold server can do n, so
// that a count that is higher by three deviations is still within its budget. The count of each of the
// senders is off by one at most, since nothing is saved up: their variances sum up to a quarter a sender, or
// to the mean where each sends seldom.
func safeCalls(n float64, senders int) float64 {
	const deviations, most = 3, 1.15 // a little more than it can do is served from the queue
	budget := slowStartBudget(n)
	root := (math.Sqrt(deviations*deviations+4*budget) - deviations) / 2
	even := budget - deviations*math.Sqrt(float64(senders)/4)
	return min(max(root*root, even), max(most*n, 1))
}
