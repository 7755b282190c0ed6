// Package relay has one node watch discovery for others: what it is told it passes on with its revision, and who follows watches for
// itself as soon as it does not hear the watcher. It is pure: times are of the node's own monotonic clock and are handed in,
// words are returned. Nothing here is safe for concurrent use.
//
// # What keeps a follower from being deaf
//
// A follower does without a watch of its own only while it heard the watcher within Silence, by a token no smaller than any it
// has heard, of the discovery that it was told itself, and has come to the revision that the watcher has. The watcher speaks every
// Beat, and only while its own watch stands and its lease has time left. So whatever becomes of the watcher, its way or its lease, a
// follower asks discovery itself within Silence; a list that was lost on its way shows by the next word's revision. A watcher that was stopped says
// nothing; one that goes on after its lease ran out is refused by whoever has heard a newer one, and what it says is no less true
// than a list that was slow.
package relay

import (
	"maps"
	"slices"
	"time"
)

// Spans of a relay.
const (
	Beat     = 50 * time.Millisecond  // between two words of a watcher
	Silence  = 120 * time.Millisecond // after which a follower watches for itself; the drain rule binds 250 ms after discovery told
	askEvery = time.Second            // a follower asks the watcher for words so often,
	follows  = 3 * time.Second        // and is told for so long after
	again    = 200 * time.Millisecond // a list is said again in the words of so long
	// MostList is the size of a list that is passed on, in bytes; a larger one each follower asks for itself.
	MostList      = 96 << 10
	mostFollowers = 4096
	mostLists     = 16
)

// List is a line of discovery's, with the revision that it follows on and its own.
type List struct {
	After, Revision int64
	Line            []byte
}

// Word is from the watcher to a follower, or with Ask the other way.
type Word struct {
	Lease     string
	Token     uint64
	Discovery string
	Revision  int64 // that the watcher has
	Lists     []List
	Ask       bool
}

// Out is a word and the name of the node that it goes to.
type Out struct {
	To string
	Word
}

type said struct {
	List
	at time.Duration
}

// Relay is one node's side, of one lease.
type Relay struct {
	lease, self string
	discovery   string
	own         bool  // its own watch stands
	revision    int64 // that this node has come to
	// As the watcher.
	followers map[string]time.Duration
	lists     []said
	spokeAt   time.Duration
	// As a follower.
	fence   uint64
	heardAt time.Duration // the last word that counts
	has     int64         // revision that the watcher has by it
	askedAt time.Duration
}

// New is a relay of a node that begins now, and has heard nothing.
func New(lease, self string, now time.Duration) *Relay {
	const never = time.Hour
	return &Relay{lease: lease, self: self, followers: map[string]time.Duration{}, spokeAt: now - never, heardAt: now - never, askedAt: now - never}
}

// Moves notes that discovery is at another address, where nothing is known of what stands.
func (r *Relay) Moves(now time.Duration, discovery string) {
	if discovery != r.discovery {
		r.discovery, r.own, r.lists, r.heardAt, r.revision, r.has = discovery, false, nil, now-time.Hour, 0, 0
	}
}

// Told notes a line that this node's own watch was told.
func (r *Relay) Told(now time.Duration, l List) {
	r.own = true
	if l.Revision == r.revision { // nothing is new
		return
	}
	r.revision = l.Revision
	if len(l.Line) <= MostList {
		r.lists = append(r.lists, said{l, now})
	} else {
		r.lists = nil // a gap: who has not come so far by himself asks for it
	}
	if over := len(r.lists) - mostLists; over > 0 {
		r.lists = slices.Delete(r.lists, 0, over)
	}
	r.spokeAt = now - Beat // it is said at once
}

// Ended notes that this node's own watch does not stand any more.
func (r *Relay) Ended() { r.own = false }

// Take takes a word. It returns the lists that this node has not come to and can follow, and tells whether the word was refused by the fence.
func (r *Relay) Take(now time.Duration, from string, w Word) (lists []List, refused bool) {
	switch {
	case w.Lease != r.lease:
		return nil, false
	case w.Ask:
		if len(r.followers) < mostFollowers || r.followers[from] != 0 {
			r.followers[from] = now
		}
		return nil, false
	case w.Token < r.fence:
		return nil, true
	}
	r.fence = w.Token
	if w.Discovery != r.discovery {
		return nil, false
	}
	r.heardAt, r.has = now, w.Revision
	for _, l := range w.Lists {
		if l.After <= r.revision && r.revision < l.Revision {
			r.revision = l.Revision
			lists = append(lists, l)
		}
	}
	return lists, false
}

// Missed takes back that this node has come to a list: it could not take it.
func (r *Relay) Missed(l List) { r.revision = min(r.revision, l.After) }

// Alone tells whether this node has to watch for itself.
func (r *Relay) Alone(now time.Duration) bool {
	return now-r.heardAt > Silence || r.has > r.revision || r.discovery == ""
}

// Tick returns the words that are due. Token is that of the lease, 0 where this node does not hold it, and holder who does as far as
// is known.
func (r *Relay) Tick(now time.Duration, token uint64, holder string) (out []Out) {
	r.lists = slices.DeleteFunc(r.lists, func(s said) bool { return now-s.at > again })
	if token == 0 {
		if holder != "" && holder != r.self && now-r.askedAt >= askEvery {
			r.askedAt = now
			out = append(out, Out{holder, Word{Lease: r.lease, Discovery: r.discovery, Ask: true}})
		}
		return out
	}
	if !r.own || now-r.spokeAt < Beat {
		return nil
	}
	r.spokeAt = now
	w := Word{Lease: r.lease, Token: token, Discovery: r.discovery, Revision: r.revision}
	size := 0
	for _, s := range slices.Backward(r.lists) {
		if size += len(s.Line); size > MostList {
			break
		}
		w.Lists = append([]List{s.List}, w.Lists...)
	}
	for _, name := range slices.Sorted(maps.Keys(r.followers)) {
		if now-r.followers[name] > follows {
			delete(r.followers, name)
			continue
		}
		out = append(out, Out{name, w})
	}
	return out
}
