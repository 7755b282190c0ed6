// Package verdict keeps what nodes tell each other of endpoints: that one is out, is back, or that a limit is in debt. It is a
// pure machine without I/O or clock: times are of the node's own monotonic clock and are handed in. Nothing here is safe for
// concurrent use.
//
// # What evidence can do
//
// Evidence is what one life of a node saw of one endpoint, and when. What others say never overrules what a node saw itself
// later: each answer is asked together with the time of the node's own latest sight. And one observer alone, be it deaf,
// paused or lying, can neither shut an endpoint for others nor open it:
//
//   - Out counts once agreeing observers have seen it, and is then still no more than a reason to believe one's own failure sooner;
//   - Back makes a trial due, no more: the trial tells;
//   - Debt slows others down after a single refusal, since waiting for a second one is what it is to spare. An observer's word
//     does so for debtSpan, and then not again for debtRest unless another one has said the same in between: a liar costs the
//     others debtSpan of each debtSpan+debtRest.
//
// Evidence ages: it is believed for beliefSpan from when it was seen, and what was seen before an endpoint was told to be another one
// (Began) does not count after it. Ages are told with it and grow by the time that it is carried on; a way that takes long
// makes it look younger than it is by that time alone, and links drop what was under way for longer than they state.
package verdict

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Kind is what was seen.
type Kind uint8

// The kinds.
const (
	Out  Kind = iota + 1 // calls failed in a row, with none that passed between
	Back                 // a call passed
	Debt                 // a call was refused over the limit
)

func (k Kind) String() string { return [...]string{"", "out", "back", "debt"}[min(k, Debt)] }

// Key is an endpoint, or a destination's limit where Endpoint is empty.
type Key struct {
	Dest     int
	Endpoint string
}

// Observer is a life of a node.
type Observer struct {
	Name string
	Life uint64
}

// Evidence is what an observer saw of a key, Age ago when it is told. Since is for how long it was so already then: of Out since the
// first failure, of Back since the first pass. Seq numbers an observer's evidence.
type Evidence struct {
	Key      Key
	Kind     Kind
	Observer Observer
	Seq      uint64
	Age      time.Duration
	Since    time.Duration
	Calls    uint32 // that it rests on
}

const (
	agreeing = 2 // observers
	// With so many that say the same, only some go on saying it.
	mostAgreeing = 6
	outCalls     = 2 // failures in a row
	beliefSpan   = 3 * time.Second
	debtSpan     = time.Second
	debtRest     = 4 * time.Second
	againAfter   = 500 * time.Millisecond // the same is told again if it is still so
	tellings     = 3
	// MostKeys and mostEach bound the state: keys, and observers of each.
	MostKeys = 4096
	mostEach = 64
)

// heard is evidence as it is kept, with times of this node's clock.
type heard struct {
	Evidence
	seenAt, since time.Duration
	tell          int
}

// own is what this node sees of a key.
type own struct {
	fails    uint32
	failedAt time.Duration // the first of them
	passedAt time.Duration // the last
	passing  time.Duration // the first of those in a row
	sight    time.Duration // the last of any kind
	said     map[Kind]time.Duration
}

type place struct {
	began  time.Duration // evidence from before does not count
	has    bool
	own    own
	others map[Observer]map[Kind]heard
	slow   map[Observer]time.Duration // when a debt that it told was first believed, of late
}

// Book is one node's.
type Book struct {
	self Observer
	seq  uint64
	all  map[Key]*place
	mine []heard
	tell map[Key]bool // of which others told something that is still to be told on
}

// New is an empty book.
func New(self Observer) *Book { return &Book{self: self, all: map[Key]*place{}, tell: map[Key]bool{}} }

func (b *Book) place(now time.Duration, key Key) *place {
	p := b.all[key]
	if p == nil {
		if len(b.all) >= MostKeys {
			b.sweep(now)
			if len(b.all) >= MostKeys {
				return nil
			}
		}
		p = &place{others: map[Observer]map[Kind]heard{}, slow: map[Observer]time.Duration{}, own: own{said: map[Kind]time.Duration{}}}
		b.all[key] = p
	}
	return p
}

// Began notes that the endpoint is another one from now on: it was started anew, or has another address.
func (b *Book) Began(now time.Duration, key Key) {
	if p := b.place(now, key); p != nil {
		p.began, p.has = now, true
		p.own = own{said: map[Kind]time.Duration{}}
		clear(p.others)
		clear(p.slow)
	}
}

// Passed, Failed and Refused note what this node's own calls met.
func (b *Book) Passed(now time.Duration, key Key) {
	p := b.place(now, key)
	if p == nil {
		return
	}
	// Only who saw it out, or is told so, has something to say.
	if o := &p.own; o.fails > 0 || o.passedAt == 0 {
		o.passing = now
	}
	wasOut := p.own.fails >= outCalls
	p.own.fails, p.own.passedAt, p.own.sight = 0, now, now
	if wasOut || b.others(now, p, Out, 0) > 0 {
		b.say(now, key, p, Back, now-p.own.passing, 1)
	}
}

// Failed notes a sign of an outage.
func (b *Book) Failed(now time.Duration, key Key) {
	p := b.place(now, key)
	if p == nil {
		return
	}
	if p.own.fails == 0 {
		p.own.failedAt = now
	}
	p.own.fails++
	p.own.sight = now
	// Once enough others say so it is only for those who try to say it again, or a whole fleet would.
	if p.own.fails >= outCalls && (b.others(now, p, Out, p.own.passedAt) < mostAgreeing || b.spared(now, key, p) == 0) {
		b.say(now, key, p, Out, now-p.own.failedAt, p.own.fails)
	}
}

// Refused notes a refusal over the limit.
func (b *Book) Refused(now time.Duration, key Key) {
	// Who knows it by others has nothing to add.
	if p := b.place(now, key); p != nil && b.Find(now, key).Debt <= now {
		b.say(now, key, p, Debt, 0, 1)
	}
}

// say tells the others, unless it was just told.
func (b *Book) say(now time.Duration, key Key, p *place, kind Kind, since time.Duration, calls uint32) {
	if at, ok := p.own.said[kind]; ok && now-at < againAfter {
		return
	}
	p.own.said[kind] = now
	b.seq++
	e := Evidence{Key: key, Kind: kind, Observer: b.self, Seq: b.seq, Since: since, Calls: calls}
	b.mine = append(b.mine, heard{Evidence: e, seenAt: now, since: now - since, tell: tellings})
}

// Hear takes what others tell, now.
func (b *Book) Hear(now time.Duration, all []Evidence) {
	for _, e := range all {
		if e.Observer == b.self || e.Observer.Name == b.self.Name || e.Kind < Out || e.Kind > Debt || e.Age < 0 || e.Age > beliefSpan || e.Since < 0 {
			continue
		}
		p := b.place(now, e.Key)
		if p == nil {
			continue
		}
		seenAt := now - e.Age
		if p.has && seenAt <= p.began {
			continue // of the one that was there before
		}
		of := p.others[e.Observer]
		if of == nil {
			if len(p.others) >= mostEach {
				continue
			}
			of = map[Kind]heard{}
			p.others[e.Observer] = of
		}
		if old, ok := of[e.Kind]; ok && old.Seq >= e.Seq {
			if old.Seq == e.Seq && seenAt < old.seenAt { // a copy that came by a shorter way tells its age better
				old.since -= old.seenAt - seenAt
				old.seenAt = seenAt
				of[e.Kind] = old
			}
			continue
		}
		b.tell[e.Key] = true
		of[e.Kind] = heard{Evidence: e, seenAt: seenAt, since: seenAt - e.Since, tell: tellings}
		if e.Kind == Debt {
			if from, ok := p.slow[e.Observer]; !ok || now-from >= debtSpan+debtRest || b.debtors(now, p) > 1 {
				p.slow[e.Observer] = now
			}
		}
	}
}

// debtors is how many others told of a debt within debtSpan.
func (b *Book) debtors(now time.Duration, p *place) (n int) {
	for _, of := range p.others {
		if h, ok := of[Debt]; ok && now-h.seenAt < debtSpan {
			n++
		}
	}
	return n
}

// believed tells whether evidence still counts, against what this node saw itself by then.
func believed(now time.Duration, h heard, after time.Duration) bool {
	return now-h.seenAt < beliefSpan && h.seenAt > after
}

// others counts the observers whose latest word is of that kind and was seen after a time.
func (b *Book) others(now time.Duration, p *place, kind Kind, after time.Duration) (n int) {
	opposite := map[Kind]Kind{Out: Back, Back: Out}[kind]
	for _, of := range p.others {
		h, ok := of[kind]
		if o, has := of[opposite]; !ok || has && o.seenAt > h.seenAt {
			continue
		}
		if believed(now, h, after) {
			n++
		}
	}
	return n
}

// Finding is what is known of a key from others, after what this node has seen itself.
type Finding struct {
	Out   bool          // several have seen it fail, and none has seen it pass since
	By    int           // observers that say so
	Back  time.Duration // since when others have had calls pass, if anybody has after it was out; 0 for nobody
	Debt  time.Duration // the limit is in debt until then; 0 if it is not known to be
	Spare time.Duration // until then others try whether it is back, and this node need not; 0 if it has to
	Until time.Duration // for how long all this holds if nothing more is heard
	// Failing tells that this node itself has found it out and knows of nobody who has passed since, Tried that it has tried of late.
	Failing, Tried bool
}

// triers is how many of those that see an endpoint fail go on trying it.
const triers = 2

// rank is an observer's place in the order in which those that see a key fail try it: another one for each key.
func rank(key Key, o Observer) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d\x00%s\x00%s\x00%d", key.Dest, key.Endpoint, o.Name, o.Life)
	return h.Sum64()
}

// Find tells what is known of a key.
func (b *Book) Find(now time.Duration, key Key) Finding {
	p := b.all[key]
	if p == nil {
		return Finding{}
	}
	var f Finding
	f.By = b.others(now, p, Out, p.own.passedAt)
	latestOut, firstBack := time.Duration(0), time.Duration(0)
	for _, of := range p.others {
		if h, ok := of[Out]; ok && believed(now, h, p.own.passedAt) {
			latestOut = max(latestOut, h.seenAt)
			f.Until = max(f.Until, h.seenAt+beliefSpan)
		}
	}
	for _, of := range p.others {
		// What a node saw itself later is not overruled by an earlier pass of another.
		if h, ok := of[Back]; ok && believed(now, h, max(p.own.failedLast(), latestOut)) {
			if firstBack == 0 || h.since < firstBack {
				firstBack = max(h.since, 1)
			}
			f.Until = max(f.Until, h.seenAt+beliefSpan)
		}
	}
	f.Back = firstBack
	f.Out = f.By >= agreeing && f.Back == 0
	for o, from := range p.slow {
		h, ok := p.others[o][Debt]
		if ok && now < from+debtSpan && believed(now, h, 0) {
			f.Debt = max(f.Debt, from+debtSpan)
		}
	}
	f.Until = max(f.Until, f.Debt)
	if f.Back == 0 && p.own.fails >= outCalls {
		f.Spare = b.spared(now, key, p)
		f.Failing, f.Tried = true, now-p.own.failedLast() <= beliefSpan
	}
	return f
}

// spared is until when trials may be left to those who come before this node: triers of them, as long as their last failures
// are believed. Who stops trying, or is not heard any more, is not counted on for longer.
func (b *Book) spared(now time.Duration, key Key, p *place) time.Duration {
	own := rank(key, b.self)
	var until []time.Duration
	for o, of := range p.others {
		if h, ok := of[Out]; ok && believed(now, h, p.own.passedAt) && rank(key, o) < own {
			until = append(until, h.seenAt+beliefSpan)
		}
	}
	if len(until) < triers {
		return 0
	}
	slices.Sort(until)
	return until[len(until)-triers]
}

// failedLast is when this node last saw a failure that no pass of its own came after.
func (o own) failedLast() time.Duration {
	if o.fails == 0 {
		return 0
	}
	return o.sight
}

// News is what is still to be told, this node's own and that of others which is worth carrying on, at most so much.
func (b *Book) News(now time.Duration, most int) []Evidence {
	var out []Evidence
	give := func(h *heard) bool {
		if h.tell <= 0 || now-h.seenAt >= beliefSpan || len(out) >= most {
			return false
		}
		h.tell--
		e := h.Evidence
		e.Age = now - h.seenAt
		out = append(out, e)
		return true
	}
	for i := range b.mine {
		give(&b.mine[i])
	}
	b.mine = slices.DeleteFunc(b.mine, func(h heard) bool { return h.tell <= 0 || now-h.seenAt >= beliefSpan })
	for _, key := range slices.SortedFunc(maps.Keys(b.tell), func(a, c Key) int {
		return cmp.Or(cmp.Compare(a.Dest, c.Dest), cmp.Compare(a.Endpoint, c.Endpoint))
	}) {
		if len(out) >= most {
			break
		}
		p := b.all[key]
		if delete(b.tell, key); p == nil {
			continue
		}
		others := p.others
		for _, o := range slices.SortedFunc(maps.Keys(others), func(a, c Observer) int {
			return cmp.Or(cmp.Compare(a.Name, c.Name), cmp.Compare(a.Life, c.Life))
		}) {
			for kind := Out; kind <= Debt; kind++ {
				h, ok := others[o][kind]
				if ok && give(&h) {
					others[o][kind] = h
				}
				if ok && h.tell > 0 && now-h.seenAt < beliefSpan {
					b.tell[key] = true
				}
			}
		}
	}
	return out
}

// sweep lets go of keys of which nothing is believed any more.
func (b *Book) sweep(now time.Duration) {
	maps.DeleteFunc(b.all, func(_ Key, p *place) bool {
		for o, of := range p.others {
			maps.DeleteFunc(of, func(_ Kind, h heard) bool { return now-h.seenAt >= beliefSpan })
			if len(of) == 0 {
				delete(p.others, o)
			}
		}
		maps.DeleteFunc(p.slow, func(_ Observer, from time.Duration) bool { return now-from >= debtSpan+debtRest })
		return len(p.others) == 0 && now-p.own.sight >= beliefSpan && now-p.began >= beliefSpan
	})
}

// Tick lets go of what is over. It is called about once a second.
func (b *Book) Tick(now time.Duration) { b.sweep(now) }

// Known are the keys of which others have told something that is believed, in order, with the evidence as it is now.
func (b *Book) Known(now time.Duration) []Evidence {
	var out []Evidence
	for _, p := range b.all {
		for _, of := range p.others {
			for _, h := range of {
				if now-h.seenAt < beliefSpan {
					e := h.Evidence
					e.Age, e.Since = now-h.seenAt, h.seenAt-h.since
					out = append(out, e)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, c Evidence) int {
		return cmp.Or(cmp.Compare(a.Key.Dest, c.Key.Dest), cmp.Compare(a.Key.Endpoint, c.Key.Endpoint), cmp.Compare(a.Observer.Name, c.Observer.Name), cmp.Compare(a.Kind, c.Kind))
	})
	return out
}
