package delivery

import (
	"context"
	"sync"
	"time"
)

const (
	oldEnd       = 3 * time.Second // an end that is not acknowledged for longer is logged
	backlogEvery = time.Second     // between two such lines
	lateLoop     = 100 * time.Millisecond
	lateEvery    = time.Second // between two lines of a late loop
)

// backlog is the set of a front's ends that its sink has not acknowledged. Its methods may be called by many goroutines at a time.
type backlog struct {
	mu     sync.Mutex
	since  map[*past]time.Time
	filled chan struct{} // holds a token when the set may have ceased to be empty
}

func newBacklog() backlog {
	return backlog{since: map[*past]time.Time{}, filled: make(chan struct{}, 1)}
}

func (b *backlog) add(p *past) {
	b.mu.Lock()
	b.since[p] = time.Now()
	b.mu.Unlock()
	select {
	case b.filled <- struct{}{}:
	default:
	}
}

func (b *backlog) remove(p *past) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.since, p)
}

// oldest returns how many ends wait, and the one that waits for longest; nil for none.
func (b *backlog) oldest() (count int, p *past, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for one, at := range b.since {
		if p == nil || at.Before(since) {
			p, since = one, at
		}
	}
	return len(b.since), p, since
}

// watchBacklog logs, once a second at most, that ends of a front wait for too long to be acknowledged, until ctx ends.
func (n *Engine) watchBacklog(ctx context.Context, f *front) {
	for {
		select {
		case <-f.unacknowledged.filled:
		case <-ctx.Done():
			return
		}
		for {
			count, p, since := f.unacknowledged.oldest()
			if count == 0 {
				break
			}
			age := time.Since(since)
			if age >= oldEnd {
				n.log.Warn("ends wait to be acknowledged", "count", count, "oldest", p.id, "oldest_age", age.Round(time.Millisecond))
			}
			sleep(ctx, max(oldEnd-age, backlogEvery))
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// logLate logs that the loop's wake came late, or that its last step took long: all that the engine does waits for it.
func (n *Engine) logLate(asleep, step time.Duration, events int) {
	if max(asleep, step) < lateLoop || time.Since(n.lateLogged) < lateEvery {
		return
	}
	n.lateLogged = time.Now()
	n.log.Warn("the engine's loop was late", "woken_late", asleep.Round(time.Millisecond), "step_took", step.Round(time.Millisecond),
		"events", events, "queued", len(n.events))
}
