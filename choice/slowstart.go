package choice

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

// pace is how many calls a second this sender may send on the route, and whether it is so bound. Of the cold
// budget it takes what passed of its calls before, or what its own demand since the outage began calls for:
// over all senders that sums up to what a warm one can do. An even share starves the few senders of a large
// fleet that hold messages, and wastes what the others leave.
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
		even := s.capacity(r) / float64(s.cfg.Fleet)
		own := r.demand / max(seconds(s.now-r.struckAt), seconds(s.cfg.Fall))
		part := max(s.t.KnowingShare*even, s.t.DemandShare*min(own, s.capacity(r)), r.gap.Before())
		part = r.known.Cold(s.now, part, s.t.KnowingShare*s.capacity(r))
		return s.cfg.FallMultiple * share * part, true
	}
	limit := s.limit(r)
	return r.known.Part(s.now, &r.part) * limit, limit > 0
}
