// Package core is one node's side of a fleet that talks: the machines of package member, budget, tally and verdict put
// together. It has no I/O and no clock: times are of the node's own monotonic clock and are handed in, packets come and go by
// calls, and the same code runs in service and in virtual time. Nothing here is safe for concurrent use.
package core

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"starlingusher/fleet"
	"starlingusher/peers/budget"
	"starlingusher/peers/lease"
	"starlingusher/peers/member"
	"starlingusher/peers/relay"
	"starlingusher/peers/tally"
	"starlingusher/peers/verdict"
)

// Packet is what one node tells another at once.
type Packet struct {
	From string
	Life uint64
	To   string        // empty where only the address was known
	Sent time.Duration // on the sender's clock; set and read by links

	Member   []member.Message
	Budget   []budget.Message
	Reports  []tally.Report
	Evidence []verdict.Evidence
	Lease    []lease.Message // of leases and
	Relay    []relay.Word    // of discovery's lists, which package peers takes and sends beside the core
}

// Letter is a packet and the address that it goes to.
type Letter struct {
	Addr string
	Packet
}

// Key is a destination's route, or an endpoint's where that is a route apart.
type Key struct {
	Dest     int
	Endpoint string
}

// Sign is what a call told of its route.
type Sign uint8

// The signs.
const (
	Nothing Sign = iota
	Passed
	Refused // over the limit
	Failed
)

// Settings of a node.
type Settings struct {
	Member    member.Settings
	Budget    budget.Settings
	Addresses map[string]string // where this node calls others, by name, instead of at what they say
}

const (
	spreadEvery  = 100 * time.Millisecond // evidence is told on
	countEvery   = time.Second            // counts are
	wantEvery    = 250 * time.Millisecond // demand is looked at
	renewEvery   = 300 * time.Millisecond // what the decisions know is told them again
	spreadTo     = 3                      // members at a time
	mostEvidence = 64                     // in a packet
	mostCounts   = 256                    // keys in a packet
	mostNeeds    = 1024                   // routes that are kept without traffic
	demandSpan   = 2 * time.Second        // over which arrivals are smoothed
)

// demand is what a node needs of a route.
type demand struct {
	came   float64 // messages that came of late, fading
	at     time.Duration
	limit  float64 // calls a second as told, 0 for none
	said   fleet.Known
	saidAt time.Duration
	trials Trials // who tries it while it is out, by a lease
	trialT time.Duration
}

// Trials is what a lease of a route's trials says.
type Trials uint8

// Without a lease, or a word of it, those that see a route out share its trials out by what they hear.
const (
	TrialsShared Trials = iota
	TrialsMine          // until the lease is over
	TrialsOthers        // until its holder has to be heard of again
)

// Core is one node's side.
type Core struct {
	cfg     Settings
	rng     *rand.Rand
	members *member.Node
	rights  *budget.Node
	counts  *tally.Tally
	book    *verdict.Book
	needs   map[Key]*demand
	out     map[string]*Letter // by address
	order   []string
	events  []Event

	alive, gone []string // other members, as they were told to the machines last
	deaf        bool
	deafFrom    time.Duration
	strange     map[string]bool // whose settings differ
	spreadAt    time.Duration
	countAt     time.Duration
	wantAt      time.Duration
	twin        bool
	moved       bool // members' addresses may have changed
}

// Event is something for the log.
type Event struct {
	Kind   EventKind
	Member member.Change // MemberChanged
	Name   string        // OtherSettings: whose
	For    time.Duration // Hears: for how long it was deaf
}

// EventKind is what an event is.
type EventKind uint8

// The events.
const (
	MemberChanged EventKind = iota + 1
	Deaf                    // no majority of the voters is heard: the node goes by what it may have alone
	Hears                   // it is again
	OtherSettings           // a member has other settings of shares
	TwoProcesses            // another process uses this node's name
)

// New makes a node's side that begins now. Seed is for its random choices.
func New(cfg Settings, seed uint64, now time.Duration) *Core {
	self := cfg.Member.Self
	return &Core{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, self.Life)), members: member.New(cfg.Member, seed, now),
		rights: budget.New(cfg.Budget, self.Name, self.Life, now), counts: tally.New(tally.Life{Name: self.Name, Life: self.Life}, now),
		book: verdict.New(verdict.Observer{Name: self.Name, Life: self.Life}), needs: map[Key]*demand{}, out: map[string]*Letter{},
		strange: map[string]bool{}, deaf: true, deafFrom: now, moved: true,
	}
}

func (c *Core) need(key Key) *demand {
	d := c.needs[key]
	if d == nil {
		d = &demand{}
		c.needs[key] = d
	}
	return d
}

// Came notes a message that was taken on for a route; of a destination with routes apart, for each of them its part.
func (c *Core) Came(now time.Duration, key Key, part float64) {
	d := c.need(key)
	d.came = d.rate(now)*demandSpan.Seconds() + part
	d.at = now
}

func (d *demand) rate(now time.Duration) float64 {
	return d.came * math.Exp(-(now-d.at).Seconds()/demandSpan.Seconds()) / demandSpan.Seconds()
}

// Sent notes a call that begins.
func (c *Core) Sent(key Key) { c.counts.Add(tally.Key(key), tally.Begun, 1) }

// Saw notes what a call told. A limit below 0 was not told.
func (c *Core) Saw(now time.Duration, key Key, sign Sign, limit float64) {
	if limit >= 0 && !math.IsInf(limit, 0) && !math.IsNaN(limit) {
		c.need(key).limit = limit
	}
	k := verdict.Key(key)
	switch sign {
	case Passed:
		c.counts.Add(tally.Key(key), tally.Passed, 1)
		c.book.Passed(now, k)
	case Refused:
		c.counts.Add(tally.Key(key), tally.Refused, 1)
		c.book.Refused(now, k)
	case Failed:
		c.counts.Add(tally.Key(key), tally.Failed, 1)
		c.book.Failed(now, k)
	}
}

// Began notes that an endpoint is another one from now on.
func (c *Core) Began(now time.Duration, key Key) { c.book.Began(now, verdict.Key(key)) }

// to is the letter that goes to an address at the end of this moment.
func (c *Core) to(addr, name string) *Letter {
	l := c.out[addr]
	if l == nil {
		self := c.cfg.Member.Self
		l = &Letter{Addr: addr, Packet: Packet{From: self.Name, Life: self.Life, To: name}}
		c.out[addr] = l
		c.order = append(c.order, addr)
	}
	return l
}

// toName is the letter to a member, nil if nobody knows where it is.
func (c *Core) toName(name string) *Letter {
	addr := c.address(name)
	if addr == "" {
		return nil
	}
	return c.to(addr, name)
}

func (c *Core) sendMember(all []member.Out) {
	for _, o := range all {
		l := (*Letter)(nil)
		if o.To != "" {
			l = c.toName(o.To)
		} else {
			l = c.to(o.Addr, "")
		}
		if l != nil {
			l.Member = append(l.Member, o.Message)
		}
	}
}

func (c *Core) sendBudget(all []budget.Out) {
	for _, o := range all {
		if l := c.toName(o.To); l != nil {
			l.Budget = append(l.Budget, o.Message)
		}
	}
}

// Letters returns what is to be sent since the last call.
func (c *Core) Letters() []Letter {
	all := make([]Letter, 0, len(c.order))
	for _, addr := range c.order {
		all = append(all, *c.out[addr])
	}
	clear(c.out)
	c.order = c.order[:0]
	return all
}

// Events returns what is for the log since the last call.
func (c *Core) Events() []Event {
	all := c.events
	c.events = nil
	return all
}

// Take takes a packet.
func (c *Core) Take(now time.Duration, p Packet) {
	if p.From == c.cfg.Member.Self.Name && p.Life == c.cfg.Member.Self.Life {
		return
	}
	for _, m := range p.Member {
		c.sendMember(c.members.Take(now, p.From, m))
	}
	c.follow()
	// Of a name only the life that is there is believed; a fresh one was just told by its records.
	if r, ok := c.members.Lookup(p.From); !ok || r.Life != p.Life {
		return
	}
	c.members.Met(p.From, p.Life)
	for _, m := range p.Budget {
		out, strange := c.rights.Take(now, p.From, m)
		c.sendBudget(out)
		if strange && !c.strange[p.From] {
			c.strange[p.From] = true
			c.events = append(c.events, Event{Kind: OtherSettings, Name: p.From})
		}
	}
	c.counts.Take(now, p.Reports)
	c.book.Hear(now, p.Evidence)
}

// follow hands on what has changed among the members.
func (c *Core) follow() {
	changes := c.members.Changes()
	if len(changes) == 0 {
		return
	}
	for _, ch := range changes {
		c.events = append(c.events, Event{Kind: MemberChanged, Member: ch})
		if ch.State >= member.Dead {
			c.counts.Here(ch.Name, 0)
		} else {
			c.counts.Here(ch.Name, ch.Life)
		}
		delete(c.strange, ch.Name)
	}
	c.alive, c.gone, c.moved = nil, nil, true
	for _, r := range c.members.Members() {
		switch {
		case r.Name == c.cfg.Member.Self.Name:
		case r.State >= member.Dead:
			c.gone = append(c.gone, r.Name)
		case r.State == member.Alive:
			c.alive = append(c.alive, r.Name)
		}
	}
	c.rights.Know(c.alive, c.gone)
}

// some are members that are there, drawn.
func (c *Core) some(count int) []string {
	if len(c.alive) <= count {
		return c.alive
	}
	all := make([]string, 0, count)
	for _, i := range c.rng.Perm(len(c.alive))[:count] {
		all = append(all, c.alive[i])
	}
	return all
}

// Tick does what time asks for. It is called some twenty times a second.
func (c *Core) Tick(now time.Duration) {
	c.sendMember(c.members.Tick(now))
	c.follow()
	if now >= c.wantAt {
		c.wantAt = now + wantEvery
		c.look(now)
	}
	c.sendBudget(c.rights.Tick(now))
	c.hearing(now)
	if now >= c.spreadAt {
		c.spreadAt = now + spreadEvery
		if news := c.book.News(now, mostEvidence); len(news) > 0 {
			for _, name := range c.some(spreadTo) {
				if l := c.toName(name); l != nil {
					l.Evidence = append(l.Evidence, news...)
				}
			}
		}
	}
	if now >= c.countAt {
		c.countAt = now + countEvery
		c.book.Tick(now)
		if len(c.alive) > 0 {
			news := c.counts.News(now, mostCounts, false)
			some := c.some(spreadTo)
			for _, name := range some {
				if l := c.toName(name); l != nil {
					l.Reports = append(l.Reports, news...)
				}
			}
			if l := c.toName(some[0]); l != nil {
				l.Reports = append(l.Reports, c.counts.Some(now, mostCounts)...)
			}
		}
	}
	if !c.twin && c.members.TwoProcesses() {
		c.twin = true
		c.events = append(c.events, Event{Kind: TwoProcesses})
	}
}

// look tells the rights what each route needs, and the others how fast this node may go.
func (c *Core) look(now time.Duration) {
	pace := 0.0
	for key, d := range c.needs {
		rate := d.rate(now)
		pace += rate
		switch {
		case rate < 1e-3 && (d.limit <= 0 || len(c.needs) > mostNeeds):
			c.rights.Forget(budget.Key(key))
			delete(c.needs, key)
		case d.limit > 0:
			c.rights.Want(budget.Key(key), rate/d.limit)
		}
	}
	c.counts.Pace(pace * 4) // with its attempts, and a burst
}

// hearing notes whether the node hears a majority of the voters.
func (c *Core) hearing(now time.Duration) {
	deaf := c.rights.Talks() <= now
	switch {
	case deaf && !c.deaf:
		c.deafFrom = now
		c.events = append(c.events, Event{Kind: Deaf})
	case !deaf && c.deaf:
		c.events = append(c.events, Event{Kind: Hears, For: now - c.deafFrom})
	}
	c.deaf = deaf
}

// Leave tells the others that this node leaves.
func (c *Core) Leave(now time.Duration) { c.sendMember(c.members.Leave(now)) }

// Failing are the routes that this node has found out by itself, in order, and whether it has tried each of late.
func (c *Core) Failing(now time.Duration) (all []Key, tried []bool) {
	for _, key := range slices.SortedFunc(maps.Keys(c.needs), compareKeys) {
		if f := c.book.Find(now, verdict.Key(key)); f.Failing {
			all, tried = append(all, key), append(tried, f.Tried)
		}
	}
	return all, tried
}

// Trials says who tries a route until a time.
func (c *Core) Trials(key Key, who Trials, until time.Duration) {
	if d := c.needs[key]; d != nil {
		d.trials, d.trialT = who, until
	}
}

// address is where a node is reached, empty if that is not known.
func (c *Core) address(name string) string {
	if addr := c.cfg.Addresses[name]; addr != "" {
		return addr
	}
	r, _ := c.members.Lookup(name)
	return r.Addr
}

// Moved tells whether Addresses may be others than at the last call.
func (c *Core) Moved() bool {
	moved := c.moved
	c.moved = false
	return moved
}

// Members are all that are known.
func (c *Core) Members() []member.Record { return c.members.Members() }

// Addresses are where nodes are reached, by name.
func (c *Core) Addresses() map[string]string {
	all := maps.Clone(c.cfg.Addresses)
	if all == nil {
		all = map[string]string{}
	}
	for _, r := range c.members.Members() {
		if all[r.Name] == "" && r.Addr != "" {
			all[r.Name] = r.Addr
		}
	}
	return all
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
}

// News is what the decisions are to know of a route, with times of the core's clock.
type News struct {
	Key   Key
	Known fleet.Known
}

// News returns what has changed for the decisions, and what would be over soon.
func (c *Core) News(now time.Duration) []News {
	var all []News
	for _, key := range slices.SortedFunc(maps.Keys(c.needs), compareKeys) {
		d := c.needs[key]
		k := c.known(now, key, d)
		if k != d.said && (differs(now, k, d.said) || now-d.saidAt >= renewEvery) {
			d.said, d.saidAt = k, now
			all = append(all, News{key, k})
		}
	}
	return all
}

// known is what the others and the rights tell of a route.
func (c *Core) known(now time.Duration, key Key, d *demand) fleet.Known {
	var k fleet.Known
	if d.limit > 0 {
		if units, until, deaf := c.rights.Rights(now, budget.Key(key)); !deaf {
			k.Share, k.ShareTil = float64(units)/budget.Whole, until
			assured, until := c.rights.Assured(now, budget.Key(key))
			k.Least, k.LeastTil = min(k.Share, float64(assured)/budget.Whole), until
		} else if d.said.ShareTil > 0 { // it had a right, and lost it then
			k.ShareTil, k.LeastTil = min(d.said.ShareTil, now), min(d.said.LeastTil, now)
		}
	}
	f := c.book.Find(now, verdict.Key(key))
	k.DebtTil, k.SpareTil, k.BackFrom = f.Debt, f.Spare, f.Back
	if f.Failing && now < d.trialT {
		switch d.trials {
		case TrialsMine:
			k.SpareTil = 0
		case TrialsOthers:
			k.SpareTil = d.trialT
		}
	}
	if f.Out {
		k.OutTil = f.Until
	}
	return k
}

// differs tells whether the decisions should hear of a change at once. What is not theirs any more may be another's by now, however little.
func differs(now time.Duration, a, b fleet.Known) bool {
	return a.Share < b.Share || a.Least < b.Least || a.Share > 1.02*b.Share || a.Shared(now) != b.Shared(now) || a.Out(now) != b.Out(now) ||
		a.Spared(now) != b.Spared(now) || a.BackFrom != b.BackFrom || (now < a.DebtTil) != (now < b.DebtTil)
}
