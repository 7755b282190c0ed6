// Package budget shares a limit between nodes by rights: a node uses what it has a right to, and a right moves by leaving its
// giver before it reaches its taker. It is a pure machine without I/O, clock or randomness of its own: times are of the node's
// own monotonic clock and are handed in, and messages are returned. Nothing here is safe for concurrent use. Nothing is kept
// on a disk, so a folder that is lost or put back from an old copy changes nothing.
//
// After O'Neil's escrow method (1986) and the bounded counters of Balegas et al. (2015), with leases in place of durable
// records: what is lent is lent for a time.
//
// # What is shared
//
// A limit, whatever it is, is Whole units. Each of n nodes has an even part of them, Whole/n. A quarter of it is the node's
// floor: it is used without asking, and never lent. The rest is the node's seat, which is held by a lease: voters named in the
// settings grant it for Term at a time, a majority of them at once. So
//
//   - a node that hears a majority holds its own seat, and may lend parts of it;
//   - a seat whose node does not ask any more is granted to whoever asks for it, and its rights are back in use;
//   - a node that hears no majority has its floor within Term, and is deaf: Rights says so.
//
// # Why the sum never exceeds the whole
//
// Assumptions: the clocks' rates are within 1-Drift and 1+Drift of true time, and the settings' n, voters, Term and Drift are
// the same at all nodes; messages of other settings are refused. None on delay, loss, repeats, order, pauses or restarts.
//
//  1. A holder counts Term from before it asked. A voter gives the seat to nobody else for Term*(1+Drift)/(1-Drift) on its own
//     clock from when it granted, which lasts longer in true time. So while the holder counts a voter, that voter counts the holder.
//  2. Two majorities share a voter; so a seat has one holder at most at any instant. A life of a node is a holder of its own:
//     its next life waits until the votes for it have run out.
//  3. A voter that starts has forgotten what it granted, and grants nothing for as long as it would have kept a vote.
//  4. A loan ends within its lender's lease: it is granted for a term no longer than what is left of that lease at the grant,
//     and its borrower counts that term, shortened by (1-Drift)/(1+Drift), from before it asked. The lender does not use or
//     lend again what it lent until the term has run on its own clock. So a seat's units are used by one node at a time, and
//     when a seat changes hands nothing of it is on loan.
//  5. A grant counts once, for the one ask it answers, which the borrower forgets with the first answer. An ask is granted
//     once: its number only grows within a life.
//
// So at every instant the units in use are at most n seats and as many floors as there are processes: Whole for up to n of them,
// and m/n of Whole where m processes run and n was told too small. With n told too large the parts of nodes that don't exist
// are not used. A deaf node has Whole/(4n). What a deaf node then does with a limit beyond its floor is not this package's: see
// fleet.Known, which goes back to fleet.Part, so that a deaf node is as one that never talked.
package budget

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// Whole is a limit, in units.
const Whole = 1 << 20

const (
	floorPart = 4       // a node's floor is this part of its even one
	headroom  = 1.25    // a node asks for so many times what it wants,
	kept      = 1.1     // and keeps so many times of it when others ask
	askLeast  = 3       // lenders that are asked at a time, if there are so many,
	askMost   = 16      // and more of them the more is lacking: each is counted on for half a seat
	lead      = 0.25    // of Term: a loan that ends sooner is replaced
	askEvery  = 0.1     // of Term: the pause between two rounds
	minLoan   = 64      // units; less is not worth a message
	mostKeys  = 1 << 10 // of a message
	// What others name takes room here: keys that are lent, seats that are voted on, names that have asked.
	mostShares, mostNames = 1 << 13, 1 << 12
	// Those who asked for one seat at a time and got some votes each come again in so many different parts of a term.
	restSpread = 5
)

// Key names one thing that is shared: a destination's limit, or an endpoint's where it has one of its own.
type Key struct {
	Dest     int
	Endpoint string
}

// Settings are the same at all nodes.
type Settings struct {
	Fleet  int           // nodes that share, n
	Voters []string      // names of those that grant seats; an odd number of them
	Term   time.Duration // of a seat's lease
	Drift  float64       // longest difference of a clock's rate from true time, from 0 to below 1
}

// Digest tells settings apart: nodes with different ones don't share.
func (s Settings) Digest() uint64 {
	h := fnv.New64a()
	word := func(v uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(v >> (8 * i))
		}
		h.Write(b[:])
	}
	word(uint64(s.Fleet))
	word(uint64(s.Term))
	word(math.Float64bits(s.Drift))
	for _, v := range slices.Sorted(slices.Values(s.Voters)) {
		word(uint64(len(v)))
		h.Write([]byte(v))
	}
	return h.Sum64()
}

// even is a node's even part, floor what it has without asking, and seat the rest.
func (s Settings) even() int64  { return Whole / int64(max(s.Fleet, 1)) }
func (s Settings) floor() int64 { return s.even() / floorPart }
func (s Settings) seat() int64  { return s.even() - s.floor() }

// kept is how long a voter keeps a vote.
func (s Settings) kept() time.Duration {
	return time.Duration(math.Ceil(float64(s.Term) * (1 + s.Drift) / (1 - s.Drift)))
}

// trusted is how long a borrower counts on a term that was told by another clock.
func (s Settings) trusted(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 - s.Drift) / (1 + s.Drift))
}

// Kind is what a message is.
type Kind uint8

// The kinds. A VoteFor asks a voter for a seat and a Vote answers it; an Ask asks a lender and a Grant answers it.
const (
	VoteFor Kind = iota + 1
	Vote
	Ask
	Grant
)

// Amount is so many units of a key.
type Amount struct {
	Key   Key
	Units int64
}

// Message is from one node to another. Digest is that of the sender's settings.
type Message struct {
	Kind    Kind
	Digest  uint64
	Life    uint64 // of the node that asks
	Seq     uint64 // of the question, within that life
	Seat    string // VoteFor, Vote: whose seat
	Granted bool   // Vote
	Term    time.Duration
	Amounts []Amount // Ask, Grant
}

// Out is a message to a node, by its name.
type Out struct {
	To string
	Message
}

// loan is units that are lent, or borrowed, until a time of this node's clock.
type loan struct {
	units int64
	until time.Duration
}

// question is one that is not answered yet.
type question struct {
	at   time.Duration
	to   string
	seat string
	asks []Amount
}

// share is what a node has to do with a key.
type share struct {
	want     float64 // share of the limit that it needs, with no headroom
	lent     []loan
	borrowed []loan
}

// Node is one node's side. Its life is a number that no other life of any node has.
type Node struct {
	cfg    Settings
	digest uint64
	name   string
	life   uint64
	seq    uint64
	voter  *voter // nil for one that is none
	seats  map[string]*tenure
	asked  map[uint64]question
	heard  map[string]asker
	shares map[Key]*share
	rests  map[string]time.Duration // seats that are not asked for before
	alive  []string                 // other nodes that are thought to be there,
	gone   []string                 // and those that were and are not
	turn   int
	nextAt time.Duration
}

// asker is the latest question of a node.
type asker struct {
	life, seq uint64
}

// New makes a node that starts now.
func New(cfg Settings, name string, life uint64, now time.Duration) *Node {
	n := &Node{
		cfg: cfg, digest: cfg.Digest(), name: name, life: life, seats: map[string]*tenure{name: {until: never}}, asked: map[uint64]question{},
		heard: map[string]asker{}, shares: map[Key]*share{}, rests: map[string]time.Duration{},
	}
	if slices.Contains(cfg.Voters, name) {
		n.voter = &voter{quietTil: now + cfg.kept(), votes: map[string]vote{}}
	}
	return n
}

// Know tells the node who else is there, and who was there and is gone. A wrong belief costs time and never a right: seats of
// those that are gone can be had only once the voters don't hear of them either.
func (n *Node) Know(alive, gone []string) {
	others := func(all []string) []string {
		return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == n.name })
	}
	n.alive, n.gone = others(alive), others(gone)
	slices.Sort(n.alive)
	slices.Sort(n.gone)
}

// Want tells what share of a limit the node needs now; what is beyond the whole does not count.
func (n *Node) Want(key Key, part float64) {
	n.share(key).want = min(max(part, 0), 1)
}

// Forget lets go of a key that is not used any more, as far as nothing of it is lent or borrowed.
func (n *Node) Forget(key Key) {
	if s := n.shares[key]; s != nil && len(s.lent) == 0 && len(s.borrowed) == 0 {
		delete(n.shares, key)
	}
}

func (n *Node) share(key Key) *share {
	s := n.shares[key]
	if s == nil {
		s = &share{}
		n.shares[key] = s
	}
	return s
}

// Talks tells until when the node holds its own seat; a time that has passed while it is deaf.
func (n *Node) Talks() time.Duration { return n.until(n.name) }

// Seats are the seats that the node holds now, its own among them.
func (n *Node) Seats(now time.Duration) []string {
	var all []string
	for seat := range n.seats {
		if n.until(seat) > now {
			all = append(all, seat)
		}
	}
	slices.Sort(all)
	return all
}

// Rights are the units of a key that the node may use now, and until when it may use so many if it hears nothing more.
// It is deaf if it does not hold its own seat; then these are its floor, for any time.
func (n *Node) Rights(now time.Duration, key Key) (units int64, until time.Duration, deaf bool) {
	units, until = n.cfg.floor(), math.MaxInt64
	if deaf = n.until(n.name) <= now; deaf {
		return units, until, deaf
	}
	for _, t := range n.seats {
		if t.until > now {
			units += n.cfg.seat()
			until = min(until, t.until)
		}
	}
	s := n.shares[key]
	if s == nil {
		return units, until, false
	}
	for _, l := range s.lent {
		if l.until > now {
			units -= l.units
		}
	}
	for _, l := range s.borrowed {
		if l.until > now {
			units += l.units
			until = min(until, l.until)
		}
	}
	return units, until, false
}

// Assured are the units of a key that the node may use until a time whatever it does not hear before: its floor and its own seat, less what
// it has lent. A deaf node has its floor alone.
func (n *Node) Assured(now time.Duration, key Key) (units int64, until time.Duration) {
	if until = n.until(n.name); until <= now {
		return n.cfg.floor(), until
	}
	lent, _ := n.Loans(now, key)
	return max(n.cfg.even()-lent, n.cfg.floor()), until
}

// Loans are the units of a key that are lent to others and borrowed from others now.
func (n *Node) Loans(now time.Duration, key Key) (lent, borrowed int64) {
	s := n.shares[key]
	if s == nil {
		return 0, 0
	}
	for _, l := range s.lent {
		if l.until > now {
			lent += l.units
		}
	}
	for _, l := range s.borrowed {
		if l.until > now {
			borrowed += l.units
		}
	}
	return lent, borrowed
}

// Every is the pause between two calls of Tick that the machine is made for.
func (s Settings) Every() time.Duration { return time.Duration(float64(s.Term) * askEvery) }

// Tick renews what the node holds, and asks for what it lacks. It may be called at any time.
func (n *Node) Tick(now time.Duration) []Out {
	if now < n.nextAt {
		return nil
	}
	n.nextAt = now + n.cfg.Every()
	n.sweep(now)
	out := n.renew(now)
	return append(out, n.borrow(now)...)
}

// sweep lets go of what is over.
func (n *Node) sweep(now time.Duration) {
	for seq, q := range n.asked {
		if now-q.at >= n.cfg.Term {
			delete(n.asked, seq)
		}
	}
	past := func(l loan) bool { return l.until <= now }
	for _, s := range n.shares {
		s.lent, s.borrowed = slices.DeleteFunc(s.lent, past), slices.DeleteFunc(s.borrowed, past)
	}
	maps.DeleteFunc(n.shares, func(_ Key, s *share) bool { return s.want == 0 && len(s.lent)+len(s.borrowed) == 0 })
	for seat, t := range n.seats {
		if seat != n.name && !slices.Contains(n.gone, seat) && n.until(seat) <= now {
			delete(n.seats, seat)
		} else {
			t.forget(now - n.cfg.Term)
		}
	}
	maps.DeleteFunc(n.rests, func(_ string, until time.Duration) bool { return until <= now })
	if n.voter != nil {
		n.voter.sweep(now)
	}
}

// ask numbers a question.
func (n *Node) ask(q question) uint64 {
	n.seq++
	n.asked[n.seq] = q
	return n.seq
}

// needs is what the node asks for of a key: what it will lack once the loans that are about to end have ended.
func (n *Node) needs(now time.Duration, key Key, s *share) int64 {
	have, _, _ := n.Rights(now, key)
	soon := now + time.Duration(float64(n.cfg.Term)*lead)
	for _, l := range s.borrowed {
		if l.until > now && l.until <= soon {
			have -= l.units
		}
	}
	return min(int64(s.want*headroom*Whole), Whole) - have
}

// borrow asks some others for what is lacking. Who is asked goes round, from a place of the node's own.
func (n *Node) borrow(now time.Duration) []Out {
	if n.until(n.name) <= now || len(n.alive) == 0 {
		return nil
	}
	var asks []Amount
	for key, s := range n.shares {
		if lack := n.needs(now, key, s); lack >= minLoan {
			asks = append(asks, Amount{key, lack})
		}
	}
	if len(asks) == 0 {
		return nil
	}
	slices.SortFunc(asks, func(a, b Amount) int { return compareKeys(a.Key, b.Key) })
	most := int64(0)
	for _, a := range asks {
		most = max(most, a.Units)
	}
	some := min(max(askLeast, int(2*most/max(n.cfg.seat(), 1))), askMost, len(n.alive))
	out := make([]Out, 0, some)
	for i := range some {
		to := n.alive[(n.turn+i+int(n.life%uint64(len(n.alive))))%len(n.alive)]
		each := slices.Clone(asks)
		for j := range each { // each lender for its part of it
			each[j].Units = (each[j].Units + int64(some) - 1) / int64(some)
		}
		seq := n.ask(question{at: now, to: to, asks: each})
		out = append(out, Out{to, Message{Kind: Ask, Digest: n.digest, Life: n.life, Seq: seq, Amounts: each}})
	}
	n.turn = (n.turn + some) % len(n.alive)
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
}

// Take takes a message of a node, and returns what to answer. One with other settings is passed over, and said to be.
func (n *Node) Take(now time.Duration, from string, m Message) (out []Out, strange bool) {
	if m.Digest != n.digest {
		return nil, true
	}
	switch m.Kind {
	case VoteFor:
		if n.voter != nil {
			granted := n.voter.grant(now, n.cfg, m.Seat, holder{from, m.Life})
			out = append(out, Out{from, Message{Kind: Vote, Digest: n.digest, Life: m.Life, Seq: m.Seq, Seat: m.Seat, Granted: granted}})
		}
	case Vote:
		if q, ok := n.answered(from, m); ok && q.seat == m.Seat && m.Granted && slices.Contains(n.cfg.Voters, from) {
			if t := n.seats[m.Seat]; t != nil {
				t.granted(n.cfg, from, q.at)
			}
		}
	case Ask:
		if given := n.lend(now, from, &m); len(given) > 0 {
			out = append(out, Out{from, Message{Kind: Grant, Digest: n.digest, Life: m.Life, Seq: m.Seq, Term: n.until(n.name) - now, Amounts: given}})
		}
	case Grant:
		if q, ok := n.answered(from, m); ok && m.Term > 0 {
			n.borrowed(q, m)
		}
	}
	return out, false
}

// answered takes the question that a message answers, which is then no question any more.
func (n *Node) answered(from string, m Message) (question, bool) {
	q, ok := n.asked[m.Seq]
	if !ok || m.Life != n.life || q.to != from || (q.seat == "") != (m.Kind == Grant) {
		return question{}, false
	}
	delete(n.asked, m.Seq)
	return q, true
}

// lend gives what can be spared, of this node's own seat alone: what it has borrowed, or holds for one that is gone, is not lent.
func (n *Node) lend(now time.Duration, to string, m *Message) []Amount {
	last, known := n.heard[to]
	if last.life == m.Life && m.Seq <= last.seq || !known && len(n.heard) >= mostNames {
		return nil
	}
	until := n.until(n.name)
	n.heard[to] = asker{m.Life, m.Seq}
	if until <= now {
		return nil
	}
	var given []Amount
	for _, a := range m.Amounts {
		if len(given) >= mostKeys || n.shares[a.Key] == nil && len(n.shares) >= mostShares || slices.ContainsFunc(given, func(g Amount) bool { return g.Key == a.Key }) {
			continue
		}
		s := n.share(a.Key)
		spare := n.cfg.even() - int64(s.want*kept*Whole)
		left := n.cfg.seat()
		for _, l := range s.lent {
			if l.until > now {
				spare -= l.units
				left -= l.units
			}
		}
		if units := min(a.Units, spare, left); units >= minLoan {
			s.lent = append(s.lent, loan{units, until})
			given = append(given, Amount{a.Key, units})
		}
	}
	return given
}

// borrowed takes what was granted, no more than was asked for.
func (n *Node) borrowed(q question, m Message) {
	term := min(m.Term, n.cfg.Term)
	for _, a := range m.Amounts {
		i := slices.IndexFunc(q.asks, func(b Amount) bool { return b.Key == a.Key && b.Units > 0 })
		if i < 0 || a.Units <= 0 {
			continue
		}
		units := min(a.Units, q.asks[i].Units)
		q.asks[i].Units = 0
		s := n.share(a.Key)
		s.borrowed = append(s.borrowed, loan{units, q.at + n.cfg.trusted(term)})
	}
}
