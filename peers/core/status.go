package core

import (
	"maps"
	"slices"
	"time"

	"starlingusher/peers/budget"
	"starlingusher/peers/tally"
	"starlingusher/peers/verdict"
)

// Status is what a node knows of its fleet.
type Status struct {
	Name    string     `json:"name"`
	Life    uint64     `json:"life"`
	Deaf    bool       `json:"deaf"`
	Since   float64    `json:"deaf_s,omitempty"` // for how long it is deaf, in seconds
	Talks   float64    `json:"talks_s"`          // for how long it holds its seat if it hears nothing more
	Seats   []string   `json:"seats"`
	Members []Member   `json:"members"`
	Routes  []Route    `json:"routes"`
	Known   []Evidence `json:"evidence"`
}

// Member is one that is known.
type Member struct {
	Name        string `json:"name"`
	Life        uint64 `json:"life"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Addr        string `json:"addr"`
	Machine     string `json:"machine,omitempty"`
	Zone        string `json:"zone,omitempty"`
}

// Route is what is shared of one. Shares are of its limit.
type Route struct {
	Dest     int              `json:"destination"`
	Endpoint string           `json:"endpoint,omitempty"`
	Limit    float64          `json:"limit"`
	Wants    float64          `json:"wants"` // calls a second
	Right    float64          `json:"right"`
	Lent     float64          `json:"lent"`
	Borrowed float64          `json:"borrowed"`
	Debt     float64          `json:"debt_s,omitempty"` // for how long it is known to be in debt
	Out      bool             `json:"out,omitempty"`
	Counts   map[string]Count `json:"counts"` // over the fleet
}

// Count is one over the fleet, between two bounds.
type Count struct {
	Low  uint64  `json:"low"`
	High uint64  `json:"high"`
	Age  float64 `json:"age_s"`
}

// Evidence is what others told.
type Evidence struct {
	Dest     int     `json:"destination"`
	Endpoint string  `json:"endpoint,omitempty"`
	What     string  `json:"what"`
	By       string  `json:"by"`
	Seen     float64 `json:"seen_s"` // ago
	Since    float64 `json:"since_s"`
	Calls    uint32  `json:"calls"`
}

// Status tells what the node knows now.
func (c *Core) Status(now time.Duration) Status {
	self := c.members.Self()
	st := Status{Name: self.Name, Life: self.Life, Deaf: c.rights.Talks() <= now, Seats: c.rights.Seats(now), Talks: max(c.rights.Talks()-now, 0).Seconds()}
	if st.Deaf {
		st.Since = (now - c.deafFrom).Seconds()
	}
	for _, m := range c.members.Members() {
		st.Members = append(st.Members, Member{m.Name, m.Life, m.Incarnation, m.State.String(), m.Addr, m.Machine, m.Zone})
	}
	keys := map[Key]bool{}
	for key := range c.needs {
		keys[key] = true
	}
	for _, key := range c.counts.Keys() {
		keys[Key(key)] = true
	}
	for _, key := range slices.SortedFunc(maps.Keys(keys), compareKeys) {
		r := Route{Dest: key.Dest, Endpoint: key.Endpoint, Counts: map[string]Count{}}
		units, _, _ := c.rights.Rights(now, budget.Key(key))
		lent, borrowed := c.rights.Loans(now, budget.Key(key))
		r.Right, r.Lent, r.Borrowed = float64(units)/budget.Whole, float64(lent)/budget.Whole, float64(borrowed)/budget.Whole
		if d := c.needs[key]; d != nil {
			r.Limit, r.Wants = d.limit, d.rate(now)
		}
		f := c.book.Find(now, verdict.Key(key))
		r.Out, r.Debt = f.Out, max(f.Debt-now, 0).Seconds()
		for what := range tally.Whats {
			if b := c.counts.Sum(now, tally.Key(key), what); b.High > 0 {
				r.Counts[what.String()] = Count{b.Low, b.High, b.Oldest.Seconds()}
			}
		}
		st.Routes = append(st.Routes, r)
	}
	for _, e := range c.book.Known(now) {
		st.Known = append(st.Known, Evidence{e.Key.Dest, e.Key.Endpoint, e.Kind.String(), e.Observer.Name, e.Age.Seconds(), e.Since.Seconds(), e.Calls})
	}
	return st
}
