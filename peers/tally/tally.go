// Package tally counts over a fleet: what each node counts of its own is known to all that hear it, merged in any order and any
// number of times, with a bound on how far the sum may be off. It is a pure machine without I/O or clock: times are of the
// node's own monotonic clock and are handed in. Nothing here is safe for concurrent use.
//
// After the state-based counters of Shapiro et al. (2011), sent as deltas (Almeida, Shoker, Baquero, 2015): a node's counts
// only grow, and carry the life that counted them, so that a life that comes again with its old counts changes nothing, and a
// new life begins at zero beside the old one. Of two versions of one life's count the larger holds.
//
// State is bounded: by mostMembers lives and MostKeys keys of each. A life that is gone is kept as it was, for as long as
// there is room; then its counts go into a sum of those that are gone, by which it is known not to count again as long as its
// name is remembered.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// What is counted.
type What uint8

// The counts.
const (
	Begun   What = iota // calls that were begun
	Passed              // calls that passed
	Refused             // calls that were refused over a limit
	Failed              // calls that failed otherwise
	Cold                // calls begun at an endpoint on its way back from an outage
	Whats               // how many there are
)

func (w What) String() string {
	return [...]string{"begun", "passed", "refused", "failed", "cold"}[min(w, Cold)]
}

// Key is what the counts are of: an endpoint of a destination.
type Key struct {
	Dest     int
	Endpoint string
}

// Counts are those of a key, since the life that counts them began.
type Counts [Whats]uint64

// Max takes the larger of each count.
func (c *Counts) max(o Counts) (grew bool) {
	for i := range c {
		if o[i] > c[i] {
			c[i], grew = o[i], true
		}
	}
	return grew
}

// Life is one life of a member.
type Life struct {
	Name string
	Life uint64
}

// Report is what a life has counted, or the part of it that is news. Age is for how long it was on its way already, Pace how
// many calls a second the life begins at most, as it says.
type Report struct {
	Life
	Age    time.Duration
	Pace   float64
	Counts map[Key]Counts
}

const (
	mostMembers = 1024
	// MostKeys are counted of one life; what comes beyond is not counted, and Skipped says so.
	MostKeys = 1024
	tellings = 4 // messages that carry a piece of news on
)

// Between is a sum over the fleet: it was Low at least, and is High at most if each life keeps to its pace. Oldest is how long
// ago the oldest part of it was true.
type Between struct {
	Low, High uint64
	Oldest    time.Duration
}

type seen struct {
	counts map[Key]Counts
	at     time.Duration // by this node's clock, when it was true at the latest
	pace   float64
	news   map[Key]int // keys that are still to be told, in so many messages
}

// Tally is one node's.
type Tally struct {
	self    Life
	all     map[Life]*seen
	here    map[string]uint64 // the life of each name that is there; 0 for none
	past    map[Key]Counts    // of lives that were let go
	dropped map[Life]bool     // these
	skipped uint64
	cursor  Life // of Some
}

// New is a tally of a life that begins now.
func New(self Life, now time.Duration) *Tally {
	return &Tally{
		self: self, all: map[Life]*seen{self: {counts: map[Key]Counts{}, at: now, news: map[Key]int{}}},
		here: map[string]uint64{self.Name: self.Life}, past: map[Key]Counts{}, dropped: map[Life]bool{},
	}
}

// Add counts what this node did.
func (t *Tally) Add(key Key, what What, n uint64) {
	own := t.all[t.self]
	c, ok := own.counts[key]
	if !ok && len(own.counts) >= MostKeys {
		t.skipped += n
		return
	}
	c[what] += n
	own.counts[key] = c
	own.news[key] = tellings
}

// Skipped is how much was not counted for want of room.
func (t *Tally) Skipped() uint64 { return t.skipped }

// Pace is how many calls a second this node begins at most, as it tells the others.
func (t *Tally) Pace(perSecond float64) { t.all[t.self].pace = perSecond }

// Here notes which life of a name is there, 0 for none: others of it begin no further calls. One that was gone may come
// back, and its counts go on where they were.
func (t *Tally) Here(name string, life uint64) {
	if name != t.self.Name {
		t.here[name] = life
	}
}

// gone tells that a life is not there, as far as is known.
func (t *Tally) gone(l Life) bool {
	life, known := t.here[l.Name]
	return known && life != l.Life
}

// Take merges what was told, now. It may come in any order and any number of times.
func (t *Tally) Take(now time.Duration, reports []Report) {
	for _, r := range reports {
		if r.Life == t.self || t.dropped[r.Life] || r.Name == "" {
			continue // nobody knows better than this node what it did
		}
		s := t.all[r.Life]
		if s == nil {
			if !t.room() {
				continue
			}
			s = &seen{counts: map[Key]Counts{}, news: map[Key]int{}, at: now - r.Age}
			t.all[r.Life] = s
		}
		if at := now - r.Age; at >= s.at {
			s.at, s.pace = at, r.Pace
		}
		for key, counts := range r.Counts {
			c, ok := s.counts[key]
			if !ok && len(s.counts) >= MostKeys {
				continue
			}
			if c.max(counts) {
				s.counts[key], s.news[key] = c, tellings
			}
		}
	}
}

// room lets go of a life that is gone, if there is none for another.
func (t *Tally) room() bool {
	if len(t.all) < mostMembers {
		return true
	}
	var oldest Life
	found := false
	for l, s := range t.all {
		if t.gone(l) && (!found || s.at < t.all[oldest].at || (s.at == t.all[oldest].at && compare(l, oldest) < 0)) {
			oldest, found = l, true
		}
	}
	if !found {
		return false
	}
	for key, c := range t.all[oldest].counts {
		sum := t.past[key]
		for i := range sum {
			sum[i] += c[i]
		}
		t.past[key] = sum
	}
	delete(t.all, oldest)
	if len(t.dropped) >= mostMembers {
		clear(t.dropped)
	}
	t.dropped[oldest] = true
	return true
}

func compare(a, b Life) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life)) }

// News is what is still to be told, at most so many keys of all lives, the node's own first. Whole reports everything
// that it knows instead, for who has just come.
func (t *Tally) News(now time.Duration, most int, whole bool) []Report {
	lives := slices.SortedFunc(maps.Keys(t.all), func(a, b Life) int {
		if a == t.self || b == t.self {
			return map[bool]int{true: -1, false: 1}[a == t.self]
		}
		return cmp.Or(cmp.Compare(t.all[b].at, t.all[a].at), compare(a, b))
	})
	t.all[t.self].at = now
	var out []Report
	for _, l := range lives {
		s := t.all[l]
		r := Report{Life: l, Age: now - s.at, Pace: s.pace, Counts: map[Key]Counts{}}
		keys := slices.SortedFunc(maps.Keys(s.news), func(a, b Key) int {
			return cmp.Or(cmp.Compare(s.news[b], s.news[a]), cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		if whole {
			keys = slices.Collect(maps.Keys(s.counts))
		}
		for _, key := range keys {
			if most <= 0 && !whole {
				break
			}
			most--
			r.Counts[key] = s.counts[key]
			if s.news[key]--; s.news[key] <= 0 {
				delete(s.news, key)
			}
		}
		if len(r.Counts) > 0 || l == t.self {
			out = append(out, r)
		}
		if most <= 0 && !whole {
			break
		}
	}
	return out
}

// Some is a part of all that is known, news or not, at most so many keys: the next part at each call. Told on and on, it
// has all nodes know the same, also those that were not there when it was news.
func (t *Tally) Some(now time.Duration, most int) []Report {
	t.all[t.self].at = now
	lives := slices.SortedFunc(maps.Keys(t.all), compare)
	start, _ := slices.BinarySearchFunc(lives, t.cursor, compare)
	var out []Report
	for i := range lives {
		l := lives[(start+i)%len(lives)]
		s := t.all[l]
		if len(s.counts) > most && len(out) > 0 {
			t.cursor = l
			break
		}
		out = append(out, Report{Life: l, Age: now - s.at, Pace: s.pace, Counts: maps.Clone(s.counts)})
		most -= len(s.counts) + 1
		if most <= 0 {
			t.cursor = lives[(start+i+1)%len(lives)]
			break
		}
	}
	return out
}

// Sum is a count of a key over the fleet, as this node knows it now.
func (t *Tally) Sum(now time.Duration, key Key, what What) Between {
	b := Between{Low: t.past[key][what]}
	b.High = b.Low
	for l, s := range t.all {
		n := s.counts[key][what]
		b.Low += n
		b.High += n
		if l == t.self || t.gone(l) {
			continue
		}
		age := max(now-s.at, 0)
		b.Oldest = max(b.Oldest, age)
		b.High += uint64(age.Seconds()*s.pace + 0.999999)
	}
	return b
}

// Keys are all that anybody has counted, in order.
func (t *Tally) Keys() []Key {
	all := map[Key]bool{}
	for key := range t.past {
		all[key] = true
	}
	for _, s := range t.all {
		for key := range s.counts {
			all[key] = true
		}
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}
