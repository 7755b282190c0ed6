package notices

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// This file is which way a post goes: on which connection, and which connections there are.

// ways are the connections that wait for a post, the best ones first.
type ways[T any] struct {
	known    []*conn[T] // have answered more than once, the quickest first
	used     []*conn[T] // have answered once, the one that did so last first
	fresh    []*conn[T] // have answered nothing, the oldest first
	newFirst bool       // used ones were silent lately while new ones answered
}

func (c *Courier[T]) ways(now time.Duration) (w ways[T]) {
	w.newFirst = now < c.newUntil
	full := c.countBusy() >= c.places
	for _, k := range c.conns {
		switch {
		case k.busy(), !k.used && full:
		case k.answers > 1:
			w.known = append(w.known, k)
		case k.used:
			w.used = append(w.used, k)
		default:
			w.fresh = append(w.fresh, k)
		}
	}
	slices.SortStableFunc(w.known, func(a, b *conn[T]) int { return cmp.Compare(a.took, b.took) })
	slices.SortStableFunc(w.used, func(a, b *conn[T]) int { return cmp.Compare(b.good, a.good) })
	slices.SortStableFunc(w.fresh, func(a, b *conn[T]) int { return cmp.Compare(a.good, b.good) })
	return w
}

// choose returns the connection for a post; nil if there is none. What has answered before goes ahead of what is untried; a notice that is
// posted again goes another way, in turn on new connections and on others that have answered. Of new ones the oldest has had most time to
// be accepted, but for one that is so old that it may have died. A proof alone leaves new ones in reserve. Where all places are taken by posts
// without an answer, used ones alone have room.
func (w ways[T]) choose(now time.Duration, urgent bool, tries int) *conn[T] {
	if !urgent {
		if len(w.fresh) < reserve {
			return nil
		}
		return w.fresh[0]
	}
	fresh := w.fresh
	if tries > 0 && len(fresh) > 0 && now-fresh[0].good > oldReserve {
		fresh = fresh[len(fresh)-1:]
	}
	var order [][]*conn[T]
	switch {
	case tries%2 == 1:
		order = [][]*conn[T]{fresh, w.known, w.used}
	case tries == 0 && w.newFirst:
		order = [][]*conn[T]{w.known, fresh, w.used}
	default:
		order = [][]*conn[T]{w.known, w.used, fresh}
	}
	for _, some := range order {
		if len(some) > 0 {
			return some[0]
		}
	}
	return nil
}

// next returns the connection for the next post; nil if none is due, or none is there for it.
func (c *Courier[T]) next(now time.Duration) *conn[T] {
	urgent, tries, proof := c.schedule.Want(now)
	if !urgent && !proof {
		return nil
	}
	if k := c.ways(now).choose(now, urgent, tries); k != nil {
		return k
	}
	if urgent && now-c.schedule.urgent[0].due >= leastHedge {
		return c.behindOthers()
	}
	return nil
}

// behindOthers returns a connection on which a post goes out behind one that has no answer: the agent may read it all the same. That is
// where no other way has opened for a while.
func (c *Courier[T]) behindOthers() (best *conn[T]) {
	for _, k := range c.conns {
		if k.busy() && len(k.posts) < mostPosts && (best == nil || len(k.posts) < len(best.posts) || (len(k.posts) == len(best.posts) && k.good > best.good)) {
			best = k
		}
	}
	return best
}

func (c *Courier[T]) countBusy() (n int) {
	for _, k := range c.conns {
		if k.busy() {
			n++
		}
	}
	return n
}

// countIdle counts the connections that wait for a post, used or new.
func (c *Courier[T]) countIdle(used bool) (n int) {
	for _, k := range c.conns {
		if !k.busy() && k.used == used {
			n++
		}
	}
	return n
}

// wanted is how many new connections there are to be.
func (c *Courier[T]) wanted() int { return reserve + min(c.countBusy(), mostExtra) }

// replenish dials what is missing. Dials that hang hold nobody: others are made beside them.
func (c *Courier[T]) replenish(ctx context.Context, now time.Duration, beside *sync.WaitGroup) {
	for len(c.dials) < mostDials && c.countIdle(false)+c.dialsUnderway(now) < c.wanted() && now >= c.redialAt {
		c.dials = append(c.dials, now)
		addr := c.addr
		beside.Go(func() {
			dialling, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			nc, err := c.dial(dialling, "tcp", addr)
			c.tell(dialled{nc, addr, err, now})
		})
	}
}

// dialsUnderway counts the dials that do not hang: a dial counts for a while that doubles with the number of those before it.
func (c *Courier[T]) dialsUnderway(now time.Duration) (n int) {
	for i, began := range c.dials {
		if now-began < hungRedial<<i {
			n++
		}
	}
	return n
}

// keepBest closes the used connections that are one too many to wait for a post, the worst ones.
func (c *Courier[T]) keepBest(now time.Duration) {
	w := c.ways(now)
	kept := append(w.known, w.used...)
	for _, k := range kept[min(len(kept), max(leastKept, c.places/keptPart)):] {
		c.drop(k)
	}
}
