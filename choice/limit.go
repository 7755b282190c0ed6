package choice

import "math"

// This file is what a sender takes of a route's limit and of an endpoint's connections.

// report takes what an endpoint tells of its limit; odd values are skipped. The room left changes by the
// moment: without a report there is none to count on.
func (s *Sender) report(r *route, rep Report) {
	r.left = 0
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		if rep.Limit < s.t.Lowered*r.limit {
			r.loweredAt = s.now
		} else if r.limit > 0 && r.limit < s.t.Lowered*rep.Limit {
			r.raisedAt = s.now
		}
		r.reported, r.limit = true, rep.Limit
		if rep.HasLeft && rep.Left > 0 {
			r.left = min(rep.Left, 1)
		}
	}
}

// giveBack closes idle connections that stand in other senders' way: an endpoint's table may be small, idle
// ones counted, and a large fleet fills it. All go where the connection would be closed before its next use
// anyway, and at a kind where connects failed of late; elsewhere this sender's part of the places stays. A
// message that waits for its pace keeps none: eighty senders that wait so would fill the table for others.
func (s *Sender) giveBack(ep *endpoint) {
	unused := s.cfg.ConnIdle > 0 && (ep.gap == 0 || ep.gap > seconds(s.cfg.ConnIdle))
	switch {
	case len(ep.dest.waiting) > 0 && s.routeOpen(ep):
	case unused || s.now < s.crowded[ep.dest.kind]:
		s.do(HangUp{Endpoint: ep.id})
	default:
		if keep := ep.table.Keep(s.cfg.Fleet, s.rng.Float64()); keep >= 0 {
			s.do(HangUp{Endpoint: ep.id, Keep: keep})
		}
	}
}

// crowd takes a new connection that was refused and closed: the endpoint's table is full, while the
// connections that it holds go on being served. That is neither its limit nor an outage: taken for a limit,
// it cut the pace to a quarter and stopped the calls that had a connection. As many calls as are out there
// fit, and little by little more is tried; lost calls, which hold a connection each, are called off. It
// guards against any peer that sheds connections rather than calls. It could do harm at one that hangs up
// so on whatever is above its limit: the pace would fall by the connections alone.
func (s *Sender) crowd(ep *endpoint) {
	ep.table.Full(s.now, s.cfg.Fleet, ep.out, s.rng.Float64())
	for _, c := range ep.dest.calls {
		if c.ep == ep && s.lost(c) {
			s.callOff(c)
		}
	}
}

// cut lowers this sender's part of the limit at a refusal, by its own demand. A refusal that tells of a limit
// which has just been lowered says nothing of the part.
func (s *Sender) cut(d *destination, r *route) {
	own := 0.0
	if limit := s.limit(r); limit > 0 {
		own = s.rate(d) / limit
	}
	if r.loweredAt == s.now {
		r.part.News(s.now)
	} else {
		r.part.Refused(s.now, s.cfg.Fleet, own)
	}
	r.tokens = min(r.tokens, r.part.Saved(s.rng.Float64()))
}

// limit is what the route takes a second from all senders as far as it is told, 0 for no limit.
func (s *Sender) limit(r *route) float64 {
	if !r.reported && r.weight > 0 {
		return r.weight
	}
	return r.limit
}

// rate is how many messages a second came here for the destination of late.
func (s *Sender) rate(d *destination) float64 {
	return d.came * math.Exp(-seconds(s.now-d.cameAt)/seconds(s.t.DemandSpan)) / seconds(s.t.DemandSpan)
}

// refill brings the token bucket up to now. On the way back from an outage nothing is saved up for a burst.
func (s *Sender) refill(r *route) {
	s.doubt(r)
	rate, bound := s.pace(r)
	if !bound {
		r.tokens, r.tokensAt = 1, s.now
		return
	}
	most := max(1, s.t.BurstSpan*rate)
	if r.recovering() {
		most = 1
	}
	r.tokens = min(r.tokens+rate*seconds(s.now-r.tokensAt), most)
	r.tokensAt = s.now
}
