// Package lease gives a name to one holder of a fleet at a time: agreement of a few voters on a table, and the holder's side. It is
// pure: no I/O, no clock of its own, no goroutine. Times are of the node's own monotonic clock and are handed in; what has to be
// durable, and when, is told by Output. Agreement is go.etcd.io/raft/v3's, a pure machine as well; only its election time-outs
// come from a random source of its own. Nothing here is safe for concurrent use.
//
// # Who may act
//
// A holder counts Term from before it asked, on its own clock. A voter has a lease end only after Term*(1+Drift)/(1-Drift) on its own
// clock from when it saw it taken, or from its start if it found it taken, and only if it was not taken again since: the command
// names the count of renewals that it is based on. Every voter may ask for that, and the log decides; who leads, and who thinks it
// does, is no matter. So while clocks keep to Drift, two holders never may act at one instant: the second one's grant stands in the log
// behind the end of the first one's lease, which was asked for after that had run out at the holder.
//
// Assumed is the bound on the clocks' rates, and that what a voter made durable is there in its next life. Nothing is assumed on
// delay, loss, order or pauses. Wall clocks are nowhere.
//
// # What holds without any clock
//
// Tokens: each grant has a larger one than every grant before it. A holder that was stopped between looking and acting is kept
// from harm by receivers that remember the largest token of a name and refuse smaller ones, as package relay and a duty's server do.
//
// # Acts
//
// An act has a bound. Holder.May says whether one of that length may begin: it ends within what is left of the lease.
package lease

import (
	"maps"
	"slices"
	"time"
)

// Grip is what a holder has of a name.
type Grip struct {
	Token uint64
	Until time.Duration // by the holder's clock
	// Note and Serial are the lease's, as of the last answer.
	Note   string
	Serial uint64
}

// Heard is what the voters told last of a name that this holder wants and does not have.
type Heard struct {
	Lease Lease
	At    time.Duration // when it was asked for, by the holder's clock
	Place int           // in the line, from 1; 0 for none
}

type question struct {
	name string
	at   time.Duration
}

// Holder is the side of who wants to hold names. It asks voters by commands, which may get lost.
type Holder struct {
	cfg    Settings
	owner  Owner
	ask    uint64
	above  uint64 // the largest token that it knows of
	open   map[uint64]question
	wanted map[string]Owner // as whom
	grips  map[string]Grip
	heard  map[string]Heard
	asked  map[string]time.Duration
}

// NewHolder is a holder that has nothing yet.
func NewHolder(cfg Settings, owner Owner) *Holder {
	return &Holder{cfg: cfg, owner: owner, open: map[uint64]question{}, wanted: map[string]Owner{}, grips: map[string]Grip{}, heard: map[string]Heard{}, asked: map[string]time.Duration{}}
}

// Want has a name asked for and renewed until Drop.
func (h *Holder) Want(name string) { h.wanted[name] = h.owner }

// WantAs is Want as another life: one that goes on over the lives of the process, as that of a folder which only one process has at a
// time. A lease that the process before held is this one's at once.
func (h *Holder) WantAs(name string, life uint64) { h.wanted[name] = Owner{h.owner.Name, life} }

// Drop gives a name back, or a place in its line: the holder does not act by it any more, and the command tells the voters.
func (h *Holder) Drop(name string) Command {
	owner, ok := h.wanted[name]
	if !ok {
		owner = h.owner
	}
	delete(h.wanted, name)
	delete(h.asked, name)
	delete(h.heard, name)
	g, ok := h.grips[name]
	delete(h.grips, name)
	for ask, q := range h.open { // an answer that is on its way gives nothing any more
		if q.name == name {
			delete(h.open, ask)
		}
	}
	if !ok {
		return Command{Do: Quit, Name: name, Owner: owner}
	}
	return Command{Do: Release, Name: name, Owner: owner, Token: g.Token}
}

// pause is how long after one question for a name the next one comes: sooner for who has it or is the next one.
func (h *Holder) pause(now time.Duration, name string) time.Duration {
	if g, ok := h.grips[name]; ok && now < g.Until {
		return h.cfg.Term / 5
	}
	if place := h.heard[name].Place; place > 1 {
		return h.cfg.Term / 2
	}
	return h.cfg.Term / 5
}

// Tick returns the commands that are to be asked of some voter now: for names that are wanted, some five times a term, and those that
// are held when a third of the term has run.
func (h *Holder) Tick(now time.Duration) (all []Command) {
	for ask, q := range h.open {
		if now-q.at >= h.cfg.Term {
			delete(h.open, ask)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.wanted)) {
		if at, ok := h.asked[name]; ok && now-at < h.pause(now, name) {
			continue
		}
		if g, ok := h.grips[name]; ok && g.Until-now > h.cfg.Term*2/3 {
			continue
		}
		h.ask++
		h.asked[name], h.open[h.ask] = now, question{name, now}
		all = append(all, Command{Do: Take, Name: name, Owner: h.wanted[name], Above: h.above, Asker: h.owner.Name, AskerLife: h.owner.Life, Ask: h.ask})
	}
	return all
}

// Answered takes an answer, and tells whether it was to a question of this holder. One to a question of an earlier process of the same name is not.
func (h *Holder) Answered(a Answer) bool {
	q, ok := h.open[a.Ask]
	if !ok || !a.isFor(h.owner) || q.name != a.Lease.Name {
		return false
	}
	delete(h.open, a.Ask)
	h.above = max(h.above, a.Lease.Token)
	if !a.Done || a.Lease.Owner != h.wanted[q.name] {
		h.heard[q.name] = Heard{a.Lease, q.at, a.Place}
		return true
	}
	delete(h.heard, q.name)
	// Counted from before it was asked for.
	g, until := h.grips[q.name], q.at+h.cfg.Term
	if a.Lease.Token > g.Token {
		g = Grip{Token: a.Lease.Token}
	}
	if a.Lease.Token == g.Token && until > g.Until {
		g.Until, g.Note, g.Serial = until, a.Lease.Note, a.Lease.Serial
	}
	h.grips[q.name] = g
	return true
}

// Remember notes a token that somebody has seen: what is granted to this holder from now on is above it.
func (h *Holder) Remember(token uint64) { h.above = max(h.above, token) }

// Grips are the names that this holder has had, those as well whose time has run.
func (h *Holder) Grips() map[string]Grip { return h.grips }

// Heard tells what the voters told last of a name that this holder wants and does not have; At is 0 if nothing.
func (h *Holder) Heard(name string) Heard { return h.heard[name] }

// Wants are the names that are asked for.
func (h *Holder) Wants() []string { return slices.Sorted(maps.Keys(h.wanted)) }

// May tells whether an act of that length may begin now, and by which token.
func (h *Holder) May(now time.Duration, name string, length time.Duration) (token uint64, ok bool) {
	g, held := h.grips[name]
	if !held || now+length >= g.Until {
		return 0, false
	}
	return g.Token, true
}
