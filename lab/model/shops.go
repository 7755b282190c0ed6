package model

import (
	"time"

	"starlingusher/choice"
)

// Shops are the partners of a day alone, for callers that are not emulated, as a daemon over sockets is. The caller keeps the
// clock. It is not safe for concurrent use.
type Shops struct {
	r        *run
	attempts map[string]int
}

// Shops returns the partners of a day as it begins.
func (d *Day) Shops(seed uint64) *Shops {
	s := &Shops{r: newRun(d, Options{Seed: seed}), attempts: map[string]int{}}
	for _, t := range d.Troubles {
		for _, i := range t.Partners {
			p := s.r.partners[i]
			p.ills = append(p.ills, t)
		}
	}
	return s
}

// Endpoints are all endpoints, as the list has them.
func (s *Shops) Endpoints() (all []choice.Entry) {
	for _, p := range s.r.partners {
		for _, e := range p.endpoints {
			all = append(all, s.r.entry(e))
		}
	}
	return all
}

// Down tells that no connection to an endpoint comes up now.
func (s *Shops) Down(now time.Duration, endpoint string) bool {
	p := s.r.all[endpoint].partner
	return p.fell || p.ill(Down, now) != nil
}

// Asked is a message of a call: the client's number, how often it was handed in before, its id on the wire, and its class.
type Asked struct {
	Number uint64
	Tries  int
	ID     string
	Class  int
}

// Call is a call that has come whole, and tells how it ends, after how long, and whether the partner has done it; a negative time
// for never. Outages begin and end by the clock.
func (s *Shops) Call(now time.Duration, who int, endpoint string, kept bool, all []Asked) (end choice.Ended, after time.Duration, ran bool) {
	r := s.r
	r.now = max(now, r.now)
	e := r.all[endpoint]
	for _, t := range e.partner.ills {
		if t.Outage() && now >= t.At && e.partner.coldFrom < t.At+t.For {
			e.partner.saw, e.partner.coldFrom, e.partner.cold = map[int]bool{}, t.At+t.For, nil
		}
	}
	c := &call{node: &node{id: who}, ep: e, fresh: !kept, factor: 1}
	for _, a := range all {
		m := &message{number: a.Number, tries: a.Tries, node: who, partner: e.partner, class: &r.day.Classes[a.Class], classNo: a.Class, body: &body{}, name: a.ID}
		if len(c.parts) == 0 {
			c.fate = r.fate(m, s.attempts[a.ID])
			if f := m.class.Service; f > 0 {
				c.factor = f
			}
		}
		s.attempts[a.ID]++
		c.parts = append(c.parts, part{m, 0})
	}
	e.partner.came.count(r.now)
	end, at, ran := r.arrival(c)
	if end.Outcome != choice.Pass && end.Outcome != choice.Stale {
		r.saw(e.partner, who)
	}
	if at < 0 {
		return end, -1, ran
	}
	return end, at - r.now, ran
}

// Arrivals are the messages that a day's clients hand in, in order, each with its number.
func (d *Day) Arrivals(seed uint64) (all []Given, numbers []uint64) {
	r := newRun(d, Options{Seed: seed})
	r.hand = func(number uint64, _ int, p *partner, class int, _ string, b *body) {
		all, numbers = append(all, Given{b.born, b.node, p.id, class}), append(numbers, number)
	}
	for _, t := range d.Troubles {
		for _, i := range t.Partners {
			r.partners[i].ills = append(r.partners[i].ills, t)
		}
	}
	r.clients()
	for len(r.todo) > 0 {
		e := r.todo.pop()
		r.now = e.at
		e.do()
	}
	return all, numbers
}
