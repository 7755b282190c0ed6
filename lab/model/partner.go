package model

import (
	"math"
	"math/rand/v2"
	"time"

	"starlingusher/choice"
)

// partner is a Partner in a run.
type partner struct {
	*Partner
	id        int
	endpoints []*endpoint
	ills      []Trouble // that strike it

	tokens   float64
	at       time.Duration
	window   int64 // the span that is counted, and
	counted  float64
	reports  *rand.PCG
	report   choice.Report
	next     choice.Report
	reported time.Duration

	coldFrom time.Duration // the end of the last outage that began; -1 while there was none
	saw      map[int]bool  // nodes that met a failure or a refusal in it
	cold     []load        // what came while it was cold, within Fall
	fell     bool          // it stays down
	worst    float64       // the most that knowing nodes sent it in a span, in times what it stands
	came     bySecond      // calls
	passed   bySecond      // those that passed
}

// load is work that came while the partner was cold.
type load struct {
	at   time.Duration
	work float64
	node int
}

// endpoint is one server of a partner.
type endpoint struct {
	id      string
	number  uint64
	partner *partner
	phase   choice.Phase
	gone    bool            // its process has ended
	busy    []time.Duration // when each server is free
	ends    []time.Duration // of those that are served or wait
	held    int             // connections, idle ones counted
}

// ill is the trouble of that kind that strikes the partner now, or nil.
func (p *partner) ill(kind Ill, now time.Duration) *Trouble {
	for i := range p.ills {
		if p.ills[i].Ill == kind && p.ills[i].during(now) {
			return &p.ills[i]
		}
	}
	return nil
}

// Outage tells that a trouble is an outage, after which the partner is cold.
func (t Trouble) Outage() bool {
	return t.Ill == Down || t.Ill == Silent || t.Ill == Shut || t.Ill == CutOff || (t.Ill == Failing && t.Size > 0.5)
}

// warmth is the share of its capacity that it has.
func (p *partner) warmth(now time.Duration, rules *choice.Settings) float64 {
	if p.coldFrom < 0 || now < p.coldFrom || rules.WarmWithin <= 0 {
		return 1
	}
	return min(1, rules.ColdFrom+(1-rules.ColdFrom)*(now-p.coldFrom).Seconds()/rules.WarmWithin.Seconds())
}

// capacity is the calls with one message that it does a second when warm.
func (p *partner) capacity() float64 {
	return float64(p.Endpoints*p.Servers) / p.Service.Seconds()
}

// limitAt is the limit now, in calls a second.
func (p *partner) limitAt(now time.Duration) float64 {
	limit := p.Limit.Rate
	if t := p.ill(Limits, now); t != nil {
		limit *= t.Size
	}
	return limit
}

// over takes a call against the limit, and tells whether it is refused.
func (p *partner) over(now time.Duration) bool {
	limit := p.limitAt(now)
	if p.Limit.Rate <= 0 {
		return false
	}
	if w := p.Limit.Window; w > 0 {
		if n := int64(now / w); n != p.window {
			p.window, p.counted = n, 0
		}
		most := max(1, limit*w.Seconds())
		p.tokens = most - p.counted
		if p.counted+1 > most {
			if p.Limit.Counted {
				p.counted++
			}
			return true
		}
		p.counted++
		return false
	}
	most := max(1, p.Limit.Depth*limit)
	p.tokens = min(p.tokens+limit*(now-p.at).Seconds(), most)
	p.at = now
	if p.tokens < 1 {
		if p.Limit.Counted {
			p.tokens = max(p.tokens-1, min(p.tokens, -p.Limit.Debt*limit))
		}
		return true
	}
	p.tokens--
	return false
}

// tell is what answers say of the limit.
func (p *partner) tell(now time.Duration) choice.Report {
	if !p.Limit.Reports {
		return choice.Report{}
	}
	if p.Limit.Rate <= 0 {
		return choice.Report{HasLimit: true, HasLeft: true}
	}
	if now-p.reported >= p.Limit.Period {
		if p.report = p.next; !p.report.HasLimit || now-p.reported >= p.Limit.Period+p.Limit.Delay {
			p.report = p.measure(now)
		}
		p.reported, p.next = now, p.measure(now)
	}
	return p.report
}

func (p *partner) measure(now time.Duration) choice.Report {
	limit := p.limitAt(now)
	most := max(1, p.Limit.Depth*limit)
	if w := p.Limit.Window; w > 0 {
		most = max(1, limit*w.Seconds())
	}
	left := min(max(p.tokens/most, 0), 1) * (1 + p.Limit.Noise*normal(p.reports))
	return choice.Report{HasLeft: true, HasLimit: true, Left: min(max(left, 0), 1), Limit: max(limit*(1+p.Limit.Noise*normal(p.reports)), 0)}
}

// connect is the arrival of a new connection, and tells whether it comes up.
func (r *run) connect(c *call) (choice.Ended, bool) {
	p := c.ep.partner
	switch {
	case c.ep.gone, p.fell, p.ill(Down, r.now) != nil:
		r.saw(p, c.node.id)
		return choice.Ended{Outcome: choice.NoRoute}, false
	case p.Conns > 0 && c.ep.held > p.Conns:
		r.turned++
		return choice.Ended{Outcome: choice.NoRoom, HungUp: true}, false
	}
	return choice.Ended{}, true
}

// arrival is a call's arrival at an endpoint: how it will end, and when the answer is sent; never if at is negative. ran says
// that the partner has done it, or will.
func (r *run) arrival(c *call) (end choice.Ended, at time.Duration, ran bool) {
	e, p, now := c.ep, c.ep.partner, r.now
	f := c.fate
	never := time.Duration(-1)
	if e.gone || p.fell || p.ill(Down, now) != nil { // the connection has broken
		r.saw(p, c.node.id)
		return choice.Ended{Outcome: choice.Cut, Kept: !c.fresh}, now, false
	}
	end = choice.Ended{Outcome: choice.Pass, Kept: !c.fresh}
	if p.ill(CutOff, now) != nil { // it was on its way on an open connection
		return end, never, false
	}
	if t := p.ill(Lost, now); t != nil && f.tear < t.Size {
		return end, never, f.answer < 0.5
	}
	if t := p.ill(Tears, now); t != nil && f.tear < t.Size {
		end.Outcome = choice.Cut
		return end, now, f.answer < 0.5
	}
	if t := p.ill(Worn, now); t != nil && !c.fresh && f.tear < t.Size {
		end.Outcome = choice.Cut
		return end, now, f.answer < 0.5
	}
	r.cold(c)
	if t := p.ill(Silent, now); t != nil && f.tear >= t.Size {
		return end, never, f.answer < 0.5
	}
	end.Report = p.tell(now)
	if t := p.ill(Shut, now); t != nil {
		r.saw(p, c.node.id)
		end.Outcome = choice.NoRoom
		if f.wait < p.Tells {
			end.Wait = t.At + t.For - now
		}
		return end, now, false
	}
	refused := func() (choice.Ended, time.Duration, bool) {
		r.tally.over(now)
		r.saw(p, c.node.id)
		end.Outcome = choice.NoRoom
		if f.wait < p.Tells {
			if end.Wait = p.Wait; p.Limit.Window > 0 {
				end.Wait = p.Limit.Window - now%p.Limit.Window
			}
		}
		return end, now, false
	}
	if p.over(now) {
		return refused()
	}
	live := e.ends[:0]
	for _, t := range e.ends {
		if t > now {
			live = append(live, t)
		}
	}
	if e.ends = live; len(live) >= p.Servers+p.Queue {
		return refused()
	}
	free := 0
	for i := range e.busy {
		if e.busy[i] < e.busy[free] {
			free = i
		}
	}
	work := float64(p.service(f.service)) * c.factor * (1 + p.Item*float64(len(c.parts)-1)) / p.warmth(now, &r.day.Rules)
	if t := p.ill(Slow, now); t != nil {
		work *= t.Size
	}
	begins := max(e.busy[free], now)
	if t := p.ill(Stalls, begins); t != nil && t.Every > 0 {
		still := time.Duration(t.Size * float64(time.Second))
		if since := (begins - t.At) % t.Every; since < still {
			begins += still - since
		}
	}
	e.busy[free] = begins + time.Duration(work)
	e.ends = append(e.ends, e.busy[free])
	r.work += work / float64(time.Second)
	if t := p.ill(Failing, now); t != nil && f.answer < t.Size {
		end.Outcome = choice.Fault
		return end, e.busy[free], false
	}
	if t := p.ill(Spoilt, now); t != nil && f.answer < t.Size {
		end.Outcome = choice.Cut
		return end, e.busy[free], true
	}
	p.passed.count(now)
	end.Closed = true
	return end, e.busy[free], true
}

// saw notes that a node met a failure or a refusal while the partner was struck.
func (r *run) saw(p *partner, node int) {
	if p.saw != nil && (p.coldFrom < 0 || r.now < p.coldFrom) {
		p.saw[node] = true
	}
}

// cold counts a call to a partner on its way back, and has it fall over.
func (r *run) cold(c *call) {
	p, rules := c.ep.partner, &r.day.Rules
	if rules.Fall <= 0 || p.warmth(r.now, rules) >= 1 {
		return
	}
	p.cold = append(p.cold, load{r.now, 1 + p.Item*float64(len(c.parts)-1), c.node.id})
	first := 0
	for r.now-p.cold[first].at >= rules.Fall {
		first++
	}
	p.cold = p.cold[first:]
	sum, knowing := 0.0, 0.0
	for _, l := range p.cold {
		sum += l.work
		if p.saw[l.node] {
			knowing += l.work
		}
	}
	stands := SlowStartBudget(rules.FallMultiple * p.capacity() * p.warmth(r.now, rules) * rules.Fall.Seconds())
	times := sum / stands
	counts := knowing > sum*2/3
	if counts {
		p.worst = max(p.worst, times)
	}
	if times > 1 && !p.fell {
		p.fell = true
		r.fell++
		if counts {
			r.rules.fell(c, sum, knowing, stands)
		}
	}
}

// SlowStartBudget is how many calls a cold partner bears within the time of the rules, of which it can do n: the operators' figures.
func SlowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
