// Package talk has the nodes of the laboratory's days talk: each has the machines of package peers/core beside its decisions, with
// a network between them in virtual time. Beside it stands what an all-knowing fleet would do, as the measure.
package talk

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet"
	"starlingusher/lab/model"
	"starlingusher/peers/budget"
	"starlingusher/peers/core"
	"starlingusher/peers/lease"
	"starlingusher/peers/member"
)

const (
	tick   = 50 * time.Millisecond
	before = 60 * time.Second // the fleet has talked for so long when a day begins
	slow   = 250 * time.Millisecond
	voters = 5
)

// Talk is a fleet of which a share can't hear the others and is not heard, and whose packets get lost.
type Talk struct {
	Deaf float64 // share of the nodes
	Loss float64 // share of the packets
	// Leases has one node try a route that is out, and one watch discovery for all.
	Leases bool

	w       model.World
	rng     *rand.Rand
	nodes   []*core.Core
	deaf    []bool
	lives   uint64
	Packets int
	Lost    int
	Count
	tasks []*tasks // of each node's life, with Leases
	kept  []lease.Kept
}

// Count is what a fleet costs those that it calls.
type Count struct {
	Trials, Out float64 // calls at partners that are out, and seconds that partners are
	Watches     float64 // of discovery that stand, over the day's mean
	watched     float64
}

// sent counts a call, and looks counts the partners that are out and the watches that stand, for a time.
func (c *Count) sent(w model.World, dest int) {
	if out, _ := w.Struck(dest); out {
		c.Trials++
	}
}

func (c *Count) look(w model.World, watches int, span time.Duration) {
	for d := range w.Partners() {
		if out, _ := w.Struck(d); out {
			c.Out += span.Seconds()
		}
	}
	c.Watches = (c.Watches*c.watched + float64(watches)*span.Seconds()) / (c.watched + span.Seconds())
	c.watched += span.Seconds()
}

// Silent is a fleet that does not talk: it is counted alone.
type Silent struct {
	Count
	w model.World
}

// Begin is model.Beside's, as the rest.
func (s *Silent) Begin(w model.World) {
	s.w = w
	every(w, func() {
		here := 0
		for i := range w.Nodes() {
			if !w.Dead(i) {
				here++
			}
		}
		s.look(w, here, tick)
	})
}

// Began is model.Beside's.
func (s *Silent) Began(int) {}

// Died is model.Beside's.
func (s *Silent) Died(int) {}

// Came is model.Beside's.
func (s *Silent) Came(int, int) {}

// Sent is model.Beside's.
func (s *Silent) Sent(_, dest int) { s.sent(s.w, dest) }

// Saw is model.Beside's.
func (s *Silent) Saw(int, int, choice.Ended, bool) {}

// every has something done each tick of a day.
func every(w model.World, do func()) {
	var next func()
	next = func() {
		do()
		if w.Now() < w.Length() {
			w.At(w.Now()+tick, next)
		}
	}
	w.At(tick, next)
}

// Begin has the fleet talk for a while before the day.
func (t *Talk) Begin(w model.World) {
	t.w, t.rng = w, rand.New(rand.NewPCG(w.Seed(), 77))
	n := w.Nodes()
	t.nodes, t.deaf = make([]*core.Core, n), make([]bool, n)
	t.tasks, t.kept = make([]*tasks, n), make([]lease.Kept, n)
	for i := range t.deaf {
		t.deaf[i] = float64((i*7919)%n) < t.Deaf*float64(n) // spread over the fleet, some of the voters among them
	}
	for i := range t.nodes {
		t.start(i, 0)
	}
	type flight struct {
		to int
		p  core.Packet
	}
	var air []flight
	for at := time.Duration(0); at < before; at += slow {
		due := air
		air = nil
		for _, f := range due {
			t.nodes[f.to].Take(at, f.p)
		}
		for i, c := range t.nodes {
			c.Tick(at)
			if t.tasks[i] != nil && at%time.Second == 0 {
				t.tasks[i].early(at)
			}
			for _, l := range c.Letters() {
				if to, ok := t.reaches(i, l); ok {
					air = append(air, flight{to, l.Packet})
				}
			}
			c.Events()
		}
	}
	for i := range t.nodes {
		t.beat(i, t.nodes[i])
	}
	every(w, func() {
		watches := 0
		for i := range w.Nodes() {
			if !w.Dead(i) && (t.tasks[i] == nil || t.tasks[i].watches) {
				watches++
			}
		}
		t.look(w, watches, tick)
	})
}

// start makes a node's side anew.
func (t *Talk) start(i int, now time.Duration) {
	t.lives++
	n := len(t.nodes)
	count := min(voters, n-1+n%2)
	names := make([]string, 0, count)
	for v := range count {
		names = append(names, t.w.Name(v*n/count))
	}
	t.nodes[i] = core.New(core.Settings{
		Member: member.Settings{
			Self:  member.Record{Name: t.w.Name(i), Life: t.lives<<20 | t.rng.Uint64()>>48, Addr: t.w.Name(i)},
			Seeds: []string{t.w.Name(0), t.w.Name(n / 2), t.w.Name(n - 1)}, Period: 500 * time.Millisecond,
		},
		Budget: budget.Settings{Fleet: n, Voters: names, Term: 3 * time.Second, Drift: 0.01},
	}, t.rng.Uint64(), now)
	if t.Leases {
		t.tasks[i] = newTasks(t, i, names, now)
	}
}

// reaches draws whether a letter arrives, and tells where.
func (t *Talk) reaches(from int, l core.Letter) (int, bool) {
	var to int
	if _, err := fmt.Sscanf(l.Addr, "n%d", &to); err != nil || to == from || to >= len(t.nodes) {
		return 0, false
	}
	t.Packets++
	if t.deaf[from] || t.deaf[to] || t.rng.Float64() < t.Loss {
		t.Lost++
		return 0, false
	}
	return to, true
}

// now is the time of the machines.
func (t *Talk) now() time.Duration { return t.w.Now() + before }

// beat has a life tick as long as it lasts.
func (t *Talk) beat(i int, c *core.Core) {
	var next func()
	next = func() {
		if t.nodes[i] != c {
			return
		}
		c.Tick(t.now())
		if t.tasks[i] != nil {
			t.tasks[i].tick(c)
		}
		t.after(i, c)
		if t.w.Now() < t.w.Length()+15*time.Second {
			t.w.At(t.w.Now()+tick, next)
		}
	}
	t.w.At(t.w.Now()+time.Duration(t.rng.Float64()*float64(tick)), next)
}

// after sends what a machine wants sent, and tells its node's decisions what is new.
func (t *Talk) after(i int, c *core.Core) {
	for _, l := range c.Letters() {
		to, ok := t.reaches(i, l)
		if !ok {
			continue
		}
		t.w.At(t.w.Now()+time.Duration((0.5+t.rng.Float64())*float64(t.w.Way())), func() {
			if o := t.nodes[to]; o != nil {
				o.Take(t.now(), l.Packet)
				t.after(to, o)
			}
		})
	}
	c.Events()
	var events []choice.Event
	for _, n := range c.News(t.now()) {
		events = append(events, choice.Heard{Dest: n.Key.Dest, Known: n.Known.Shift(-before)})
	}
	if len(events) > 0 {
		t.w.Step(i, events...)
	}
}

// Began begins another life; the first one has talked before the day.
func (t *Talk) Began(i int) {
	if t.nodes[i] == nil {
		t.start(i, t.now())
		t.beat(i, t.nodes[i])
	}
}

// Died ends a life.
func (t *Talk) Died(i int) { t.nodes[i], t.tasks[i] = nil, nil }

// Came, Sent and Saw are model.Beside's.
func (t *Talk) Came(i, dest int) {
	if c := t.nodes[i]; c != nil {
		c.Came(t.now(), core.Key{Dest: dest}, 1)
	}
}

// Sent is model.Beside's.
func (t *Talk) Sent(i, dest int) {
	t.sent(t.w, dest)
	if c := t.nodes[i]; c != nil {
		c.Sent(core.Key{Dest: dest})
	}
}

// Saw is model.Beside's.
func (t *Talk) Saw(i, dest int, end choice.Ended, ominous bool) {
	c := t.nodes[i]
	if c == nil {
		return
	}
	limit := -1.0
	if end.Report.HasLimit {
		limit = end.Report.Limit
	}
	c.Saw(t.now(), core.Key{Dest: dest}, Sign(end, ominous), limit)
}

// Sign is what the end of a call tells the others, as the engine tells it.
func Sign(end choice.Ended, ominous bool) core.Sign {
	switch {
	case end.Outcome == choice.Pass:
		return core.Passed
	case ominous:
		return core.Failed
	case end.Outcome == choice.NoRoom && (end.Kept || !end.HungUp):
		return core.Refused
	}
	return core.Nothing
}

// Oracle is an all-knowing fleet: each node knows at once, from the day itself and not by talk, what all ask for, whose limit is in
// debt, who is out, and since when who is back.
type Oracle struct {
	w      model.World
	came   []float64 // messages of late, by node and partner, fading
	at     []time.Duration
	debtAt []time.Duration
	Count
}

const fades = 5 * time.Second

// Begin is model.Beside's.
func (o *Oracle) Begin(w model.World) {
	o.w = w
	o.came, o.at = make([]float64, w.Nodes()*w.Partners()), make([]time.Duration, w.Nodes()*w.Partners())
	o.debtAt = make([]time.Duration, w.Partners())
	for d := range o.debtAt {
		o.debtAt[d] = -time.Hour
	}
	var next func()
	next = func() {
		for d := range o.debtAt {
			o.tell(d)
		}
		o.look(o.w, 1, tick)
		if w.Now() < w.Length()+15*time.Second {
			w.At(w.Now()+tick, next)
		}
	}
	w.At(tick, next)
}

func (o *Oracle) recent(i int) float64 {
	return o.came[i] * math.Exp(-(o.w.Now()-o.at[i]).Seconds()/fades.Seconds())
}

// tell gives each node its part by what it was asked for.
func (o *Oracle) tell(dest int) {
	now, sum, here := o.w.Now(), 0.0, 0
	for n := range o.w.Nodes() {
		if !o.w.Dead(n) {
			sum += o.recent(n*o.w.Partners() + dest)
			here++
		}
	}
	out, back := o.w.Struck(dest)
	for n := range o.w.Nodes() {
		if o.w.Dead(n) {
			continue
		}
		k := fleet.Known{}
		if o.w.Limit(dest) > 0 {
			// A tenth evenly, so that who asks for nothing yet can begin.
			k.Share, k.ShareTil = 0.95*(0.1/float64(here)+0.9*o.recent(n*o.w.Partners()+dest)/max(sum, 1e-9)), now+3*tick
		}
		if now-o.debtAt[dest] < time.Second {
			k.DebtTil = o.debtAt[dest] + time.Second
		}
		if out {
			k.OutTil = now + 3*tick
			if n%max(o.w.Nodes()/2, 1) != 0 { // two try
				k.SpareTil = now + 3*tick
			}
		} else if back > 0 {
			k.BackFrom = back
		}
		o.w.Step(n, choice.Heard{Dest: dest, Known: k})
	}
}

// Began and Died are model.Beside's.
func (o *Oracle) Began(int) {}

// Died is model.Beside's.
func (o *Oracle) Died(int) {}

// Came is model.Beside's.
func (o *Oracle) Came(node, dest int) {
	i := node*o.w.Partners() + dest
	o.came[i], o.at[i] = o.recent(i)+1, o.w.Now()
}

// Sent is model.Beside's.
func (o *Oracle) Sent(_, dest int) { o.sent(o.w, dest) }

// Saw is model.Beside's.
func (o *Oracle) Saw(_, dest int, end choice.Ended, ominous bool) {
	if Sign(end, ominous) == core.Refused {
		o.debtAt[dest] = o.w.Now()
	}
}
