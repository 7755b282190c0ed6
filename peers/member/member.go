// Package member knows who is there in a fleet of nodes that talk: a pure machine without I/O or clock of its own, after SWIM
// (Das, Gupta, Motivala, 2002) with the suspicion that its paper describes, and two parts of Lifeguard (Dadgar, Phillips,
// Currey, 2018): a suspicion ends sooner the more members share it, and a node that was stopped itself suspects nobody for
// what it did not hear. Times are of the node's own monotonic clock and are handed in; random numbers come from a seed.
// Nothing here is safe for concurrent use.
//
// # Who is who
//
// A member is a name and a life: a number drawn at random when its process starts, which so can't come again, also where its
// folder was lost or put back from an old copy. Nothing of a member is kept on a disk. What is known of a name is its
// record; of two, that with the higher incarnation holds, and a member that hears itself called anything but alive, or by
// another life, tells a higher one. So a new life needs no memory: whoever it joins tells it what it was called before.
//
// # What it costs
//
// A node sends a ping and an answer or so in each Period, whatever the number of members, with mostGossip records at most, and
// the whole list to one other in SyncEvery.
package member

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what a member is thought to be.
type State uint8

// The states, in the order in which one overrules the other within an incarnation.
const (
	Alive   State = iota
	Suspect       // did not answer, and may yet refute it
	Dead          // did not refute it in time; comes back by a higher incarnation
	Left          // said so itself
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Record is what is known of a member.
type Record struct {
	Name        string
	Life        uint64 // of its process
	Incarnation uint64
	State       State
	By          string // Suspect: who says so
	Addr        string // where it is called
	Machine     string // that it shares with others, empty if not told
	Zone        string
}

// overrules tells whether r says more than o of the same name.
func (r Record) overrules(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Life != o.Life {
		return r.Life > o.Life // two lives that told one incarnation: all agree on either, and the other tells a higher one
	}
	return r.State > o.State
}

// Settings of a node.
type Settings struct {
	Self   Record        // Name, Life, Addr, Machine and Zone
	Seeds  []string      // addresses that are asked for the list until somebody answers, and again if nobody else is there
	Period time.Duration // between two probes
}

const (
	answerPart  = 0.4 // of Period, before others are asked to probe
	helpers     = 3   // that are asked
	mostGossip  = 12  // records in a message
	gossipTimes = 4   // a record is told so many times log10(n+1) times, rounded up
	syncPeriods = 20  // Periods between two exchanges of the whole list
	suspectMost = 4   // Periods times log10(n+1) that a suspicion of one member lasts,
	suspectMin  = 2   // and that of four members
	agreeing    = 3   // others that have to share a suspicion for the shortest time
	forgetAfter = 600 // Periods for which one that is gone is remembered
	mostMembers = 4096
	mostSync    = 96 << 10 // bytes of the records in an exchange, roughly; of a longer list some are drawn
	bumpsMost   = 16       // lives of one name that outbid each other so often are two processes
	pausedAfter = 2        // Periods between two Ticks: this process was stopped
)

// Kind is what a message is.
type Kind uint8

// The kinds.
const (
	Ping     Kind = iota + 1 // asks whether the receiver, by its name and life, is there
	Ack                      // answers a Ping or a PingFor
	PingFor                  // asks the receiver to ping Target
	Sync                     // brings the whole list and asks for the other's
	SyncBack                 // answers it
)

// Message is from one member to another.
type Message struct {
	Kind    Kind
	Seq     uint64
	Target  string // Ping, PingFor: the name that is meant
	Records []Record
}

// Out is a message to a member, by its name; to a seed, of which only the address is known, by that.
type Out struct {
	To, Addr string
	Message
}

// Change is a member that is thought of otherwise than before.
type Change struct {
	Record
	Was   State
	Fresh bool // it was not known before, or is another life
}

type other struct {
	Record
	since  time.Duration   // when it came to this state
	agree  map[string]bool // who suspects it
	toTell int             // how many messages still carry it
}

// probe is a ping that is out.
type probe struct {
	target string
	at     time.Duration
	helped bool // others were asked
	back   string
	seq    uint64 // for somebody else: whom to answer and by which number
}

// Node is one node's view.
type Node struct {
	cfg     Settings
	self    Record
	rng     *rand.Rand
	others  map[string]*other
	suspect map[string]*other // those of them that are
	news    map[string]*other // those of them that are still to be told
	there   int               // those of them that are not gone
	ring    []string          // whom to probe next
	probes  map[uint64]probe
	seq     uint64
	last    time.Duration // Tick
	nextAt  time.Duration // probe
	syncAt  time.Duration
	toTell  int // of the own record
	bumps   int
	changes []Change
	said    bool // that it leaves
}

// New makes a node that starts now. Seed is for its random choices.
func New(cfg Settings, seed uint64, now time.Duration) *Node {
	n := &Node{cfg: cfg, self: cfg.Self, rng: rand.New(rand.NewPCG(seed, cfg.Self.Life)), last: now,
		others: map[string]*other{}, suspect: map[string]*other{}, news: map[string]*other{}, probes: map[uint64]probe{}}
	n.self.State, n.self.Incarnation, n.self.By = Alive, 1, ""
	n.nextAt = now + time.Duration(n.rng.Float64()*float64(cfg.Period))
	n.syncAt = now
	return n
}

// Self is the node's own record.
func (n *Node) Self() Record { return n.self }

// TwoProcesses tells that another process uses this node's name: both tell ever higher incarnations. It then tells no more.
func (n *Node) TwoProcesses() bool { return n.bumps >= bumpsMost }

// Members are all that are known, this node among them, by name.
func (n *Node) Members() []Record {
	all := []Record{n.self}
	for _, o := range n.others {
		all = append(all, o.Record)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Lookup is the record of a name.
func (n *Node) Lookup(name string) (Record, bool) {
	if name == n.self.Name {
		return n.self, true
	}
	o := n.others[name]
	if o == nil {
		return Record{}, false
	}
	return o.Record, true
}

// Changes returns what has changed since the last call.
func (n *Node) Changes() []Change {
	all := n.changes
	n.changes = nil
	return all
}

func (n *Node) periods(count float64) time.Duration {
	return time.Duration(count * float64(n.cfg.Period))
}

// tellings is in how many messages a record is told.
func (n *Node) tellings() int {
	return int(math.Ceil(gossipTimes * math.Log10(float64(n.there+2))))
}

// Tick does what time asks for: probes, helpers, suspicions that end, the exchange of lists. It is called a few times in a
// Period.
func (n *Node) Tick(now time.Duration) (out []Out) {
	if now-n.last > n.periods(pausedAfter) {
		// Nobody answered a process that was stopped. What was asked is asked anew, and suspicions begin again.
		clear(n.probes)
		for _, o := range n.suspect {
			o.since = now
		}
	}
	n.last = now
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) {
		p := n.probes[seq]
		waited := now - p.at
		switch o := n.others[p.target]; {
		case o == nil || o.State > Suspect, p.back != "" && waited >= n.cfg.Period:
			delete(n.probes, seq)
		case p.back == "" && waited >= n.cfg.Period:
			delete(n.probes, seq)
			r := o.Record
			r.State, r.By = Suspect, n.self.Name
			n.learn(now, r)
		case p.back == "" && !p.helped && waited >= n.periods(answerPart):
			p.helped = true
			n.probes[seq] = p
			for _, h := range n.some(helpers, p.target) {
				out = append(out, n.to(h, Message{Kind: PingFor, Seq: seq, Target: p.target}))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.suspect)) {
		if o := n.suspect[name]; now-o.since >= n.patience(o) {
			r := o.Record
			r.State, r.By = Dead, ""
			n.learn(now, r)
		}
	}
	if n.said {
		return out
	}
	if now >= n.nextAt {
		n.nextAt = now + n.cfg.Period
		if target := n.next(); target != "" {
			n.seq++
			n.probes[n.seq] = probe{target: target, at: now}
			out = append(out, n.to(target, Message{Kind: Ping, Seq: n.seq, Target: target}))
		}
	}
	if now >= n.syncAt {
		out = append(out, n.sync(now)...)
	}
	return out
}

// patience is how long a member may stay suspect.
func (n *Node) patience(o *other) time.Duration {
	most := math.Max(suspectMost*math.Log10(float64(n.there+2)), suspectMin)
	shared := math.Log(float64(min(len(o.agree)-1, agreeing)+1)) / math.Log(agreeing+1)
	return n.periods(most - (most-suspectMin)*math.Max(shared, 0))
}

// sync exchanges the whole list: with a seed while nobody else is known, and otherwise with anybody, be he thought dead: two
// halves that were cut apart find together again by it.
func (n *Node) sync(now time.Duration) []Out {
	n.syncAt = now + n.periods(syncPeriods*(0.75+0.5*n.rng.Float64()))
	maps.DeleteFunc(n.others, func(_ string, o *other) bool { return o.State > Suspect && now-o.since >= n.periods(forgetAfter) })
	m := Message{Kind: Sync, Records: n.listed()}
	if n.there == 0 {
		n.syncAt = now + n.cfg.Period
		var out []Out
		for _, addr := range n.cfg.Seeds {
			if addr != n.self.Addr {
				out = append(out, Out{Addr: addr, Message: m})
			}
		}
		return append(out, n.toOne(m)...)
	}
	return n.toOne(m)
}

// listed is the list for an exchange, this node itself always in it.
func (n *Node) listed() []Record {
	all := n.Members()
	size := func(r Record) int {
		return 48 + len(r.Name) + len(r.By) + len(r.Addr) + len(r.Machine) + len(r.Zone)
	}
	total := 0
	for _, r := range all {
		total += size(r)
	}
	if total <= mostSync {
		return all
	}
	n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	some, total := []Record{n.self}, size(n.self)
	for _, r := range all {
		if total += size(r); total > mostSync {
			break
		}
		some = append(some, r)
	}
	return some
}

func (n *Node) toOne(m Message) []Out {
	names := slices.Sorted(maps.Keys(n.others))
	names = slices.DeleteFunc(names, func(name string) bool { return n.others[name].State == Left })
	if len(names) == 0 {
		return nil
	}
	return []Out{{To: names[n.rng.IntN(len(names))], Message: m}}
}

// next is whom to probe: everybody once before anybody twice.
func (n *Node) next() string {
	for range 2 {
		for len(n.ring) > 0 {
			name := n.ring[0]
			n.ring = n.ring[1:]
			if o := n.others[name]; o != nil && o.State <= Suspect {
				return name
			}
		}
		n.ring = slices.Sorted(maps.Keys(n.others))
		n.rng.Shuffle(len(n.ring), func(i, j int) { n.ring[i], n.ring[j] = n.ring[j], n.ring[i] })
	}
	return ""
}

// some are members that are there, but for one.
func (n *Node) some(count int, not string) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(n.others)) {
		if n.others[name].State == Alive && name != not {
			all = append(all, name)
		}
	}
	n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// to makes a message to a member, with what is still to be told. Who is pinged hears what is said of him.
func (n *Node) to(name string, m Message) Out {
	if n.toTell > 0 {
		n.toTell--
		m.Records = append(m.Records, n.self)
	}
	if o := n.others[name]; o != nil && o.State != Alive {
		m.Records = append(m.Records, o.Record)
	}
	news := make([]*other, 0, len(n.news))
	for _, o := range n.news {
		if o.Name != name {
			news = append(news, o)
		}
	}
	slices.SortFunc(news, func(a, b *other) int { return cmp.Or(b.toTell-a.toTell, cmp.Compare(a.Name, b.Name)) })
	for _, o := range news[:min(len(news), mostGossip-len(m.Records))] {
		if o.toTell--; o.toTell <= 0 {
			delete(n.news, o.Name)
		}
		m.Records = append(m.Records, o.Record)
	}
	return Out{To: name, Message: m}
}

// Take takes a message of a member, by the name that it goes by.
func (n *Node) Take(now time.Duration, from string, m Message) (out []Out) {
	for _, r := range m.Records {
		n.learn(now, r)
	}
	if n.said {
		return nil
	}
	switch m.Kind {
	case Ping:
		if m.Target == n.self.Name {
			out = append(out, n.to(from, Message{Kind: Ack, Seq: m.Seq}))
		}
	case PingFor:
		if o := n.others[m.Target]; o != nil && o.State <= Suspect {
			n.seq++
			n.probes[n.seq] = probe{target: m.Target, at: now, back: from, seq: m.Seq}
			out = append(out, n.to(m.Target, Message{Kind: Ping, Seq: n.seq, Target: m.Target}))
		}
	case Ack:
		if p, ok := n.probes[m.Seq]; ok {
			delete(n.probes, m.Seq)
			if p.back != "" && from == p.target {
				out = append(out, n.to(p.back, Message{Kind: Ack, Seq: p.seq}))
			}
		}
	case Sync:
		out = append(out, Out{To: from, Message: Message{Kind: SyncBack, Records: n.listed()}})
	}
	return out
}

// learn takes a record, if it says more than what is known.
func (n *Node) learn(now time.Duration, r Record) {
	if r.Name == n.self.Name {
		n.refute(r)
		return
	}
	if r.Name == "" || r.State > Left {
		return
	}
	o := n.others[r.Name]
	if o == nil && len(n.others) >= mostMembers {
		return
	}
	if o != nil && !r.overrules(o.Record) {
		if r.State == Suspect && o.State == Suspect && r.Incarnation == o.Incarnation && r.Life == o.Life && !o.agree[r.By] && len(o.agree) <= agreeing {
			o.agree[r.By] = true
			o.Record.By, o.toTell = r.By, n.tellings()
			n.news[r.Name] = o
		}
		return
	}
	c := Change{Record: r, Was: Alive, Fresh: o == nil || o.Life != r.Life}
	if o != nil {
		c.Was = o.State
	}
	if o == nil || c.Fresh || c.Was != r.State {
		n.changes = append(n.changes, c)
	}
	fresh := &other{Record: r, since: now, toTell: n.tellings()}
	if o != nil && r.State > Suspect && o.State > Suspect {
		fresh.since = o.since
	}
	if o != nil && o.State <= Suspect {
		n.there--
	}
	if r.State <= Suspect {
		n.there++
	}
	delete(n.suspect, r.Name)
	if r.State == Suspect {
		fresh.agree = map[string]bool{r.By: true}
		n.suspect[r.Name] = fresh
	}
	n.others[r.Name], n.news[r.Name] = fresh, fresh
}

// refute answers what is said of this node itself.
func (n *Node) refute(r Record) {
	same := r.Life == n.self.Life && r.State == n.self.State && r.Incarnation == n.self.Incarnation
	if same || r.Incarnation < n.self.Incarnation || n.TwoProcesses() || r.Incarnation == math.MaxUint64 {
		return
	}
	if r.State == Alive && r.Life != n.self.Life {
		n.bumps++
	}
	n.self.Incarnation, n.toTell = r.Incarnation+1, n.tellings()
}

// Leave tells some others that this node leaves. It probes nobody from then on, and takes what it is told.
func (n *Node) Leave(time.Duration) (out []Out) {
	n.self.State, n.said = Left, true
	for _, name := range n.some(2*helpers, "") {
		n.toTell = 1
		out = append(out, n.to(name, Message{Kind: Ack}))
	}
	return out
}

// Met notes that a member has been heard by another way than a probe, as by a message of any kind.
func (n *Node) Met(name string, life uint64) {
	if o := n.others[name]; o == nil || o.Life != life {
		return
	}
	for seq, p := range n.probes {
		if p.target == name && p.back == "" {
			delete(n.probes, seq)
		}
	}
}
