package budget

import (
	"maps"
	"math"
	"slices"
	"time"
)

// never is before any time.
const never = time.Duration(math.MinInt64 / 2)

// holder is a life of a node.
type holder struct {
	name string
	life uint64
}

// vote is a voter's word that a seat is one holder's until a time of the voter's clock.
type vote struct {
	to     holder
	until  time.Duration
	owner  bool // the seat's own node has asked for it meanwhile, so that the holder is not granted it again
	asksBy time.Duration
}

// voter grants seats. It remembers nothing of its lives before, and so is quiet at first.
type voter struct {
	quietTil time.Duration
	votes    map[string]vote
}

// grant tells whether the seat is the asker's, from now on for as long as votes are kept.
func (v *voter) grant(now time.Duration, cfg Settings, seat string, to holder) bool {
	if now < v.quietTil {
		return false
	}
	old, held := v.votes[seat]
	if !held && len(v.votes) >= mostNames {
		return false
	}
	held = held && now < old.until
	own := to.name == seat
	switch {
	case held && old.to != to:
		if own {
			old.owner, old.asksBy = true, now+cfg.kept()
			v.votes[seat] = old
		}
		return false
	case !own && old.owner && now < old.asksBy: // its node is back, and comes first
		return false
	}
	v.votes[seat] = vote{to: to, until: now + cfg.kept()}
	return true
}

// sweep forgets votes that bind nobody.
func (v *voter) sweep(now time.Duration) {
	for seat, old := range v.votes {
		if now >= old.until && now >= old.asksBy {
			delete(v.votes, seat)
		}
	}
}

// tenure is a seat as its holder knows it: when it asked each voter that has granted it.
type tenure struct {
	votes map[string]time.Duration
	since time.Duration // when it was first asked for
	until time.Duration // to which it is this node's: Term from the oldest of the latest votes that make a majority
}

// granted takes a vote.
func (t *tenure) granted(cfg Settings, voter string, askedAt time.Duration) {
	if t.votes == nil {
		t.votes = map[string]time.Duration{}
	}
	if at, ok := t.votes[voter]; ok && askedAt <= at {
		return
	}
	t.votes[voter] = askedAt
	if most := len(cfg.Voters)/2 + 1; len(t.votes) >= most {
		t.until = max(t.until, slices.Sorted(maps.Values(t.votes))[len(t.votes)-most]+cfg.Term)
	}
}

// forget drops votes that were asked for before a time.
func (t *tenure) forget(before time.Duration) {
	for voter, at := range t.votes {
		if at < before {
			delete(t.votes, voter)
		}
	}
}

// until is the time to which a seat is this node's; a time that has passed where it is not.
func (n *Node) until(seat string) time.Duration {
	if t := n.seats[seat]; t != nil {
		return t.until
	}
	return never
}

// renew asks the voters for the seats that this node holds, and for one of a node that is gone if it lacks something.
// A seat is asked for again when a third of its lease has run, or when it is not held.
func (n *Node) renew(now time.Duration) []Out {
	if n.until(n.name) > now && n.lacks(now, minLoan) {
		if seat, ok := n.claimable(now); ok {
			n.seats[seat] = &tenure{since: now, until: never}
		}
	}
	var out []Out
	spare := !n.lacks(now, -n.cfg.seat())
	for _, seat := range slices.Sorted(maps.Keys(n.seats)) {
		if seat != n.name && !slices.Contains(n.gone, seat) {
			continue // its node is back: it is left to run out
		}
		if t := n.seats[seat]; seat != n.name && n.until(seat) <= now && now-t.since > n.cfg.Term/2 {
			delete(n.seats, seat)
			n.rests[seat] = now + n.cfg.Term/4 // the votes for its own node have not run out yet
			if len(t.votes) > 0 {
				// Somebody else has the others: who keeps asking would keep them apart for ever.
				n.rests[seat] = now + n.cfg.kept() + n.cfg.Term*time.Duration(n.life%restSpread)/restSpread
			}
			continue
		}
		if n.until(seat)-now > n.cfg.Term*2/3 {
			continue
		}
		if spare && seat != n.name { // one at a time is let go: others may need it
			spare = false
			continue
		}
		for _, voter := range n.cfg.Voters {
			seq := n.ask(question{at: now, to: voter, seat: seat})
			m := Message{Kind: VoteFor, Digest: n.digest, Life: n.life, Seq: seq, Seat: seat}
			if voter != n.name {
				out = append(out, Out{voter, m})
				continue
			}
			// A node that votes asks itself as well.
			if granted := n.voter.grant(now, n.cfg, seat, holder{n.name, n.life}); granted {
				n.seats[seat].granted(n.cfg, voter, now)
			}
			delete(n.asked, seq)
		}
	}
	return out
}

// lacks tells that the node needs so many units of some key beyond what it has; below 0, that it could not do with so many less.
func (n *Node) lacks(now time.Duration, units int64) bool {
	for key, s := range n.shares {
		if n.needs(now, key, s) >= units {
			return true
		}
	}
	return false
}

// claimable is a seat of a node that is gone which this node does not hold or ask for yet, one at a time: each node begins at
// another.
func (n *Node) claimable(now time.Duration) (string, bool) {
	for seat := range n.seats {
		if seat != n.name && n.until(seat) <= now {
			return "", false
		}
	}
	for i := range n.gone {
		seat := n.gone[(uint64(i)+n.life)%uint64(len(n.gone))]
		if n.seats[seat] == nil && now >= n.rests[seat] {
			return seat, true
		}
	}
	return "", false
}
