package delivery

import (
	"context"
	"sync"
	"time"
)

const (
	maxEnds   = 256                    // handed to a sink at once
	sinkPause = 100 * time.Millisecond // before one that gave up is asked again
)

// front is a Front at work.
type front struct {
	Front
	owed           mailbox
	unacknowledged backlog
}

// owe has an end go to the front's sink.
func (f *front) owe(e End) {
	f.unacknowledged.add(e.of)
	f.owed.put(e)
}

// oweAgain has the end of an earlier life go to the front's sink, if that is told of such.
func (f *front) oweAgain(p *past) {
	if f.Sink != nil && p.ended.state != Delivered {
		f.owe(newEnd(p))
	}
}

// hasTold tells whether the front's sink has nothing left to be told of a message that has ended.
func (f *front) hasTold(p *past) bool {
	return f.Sink == nil || p.ended.state == Delivered || p.told
}

// acknowledge notes that sinks have taken ends for good. One that is kept is forgotten once its front has acknowledged it as well.
func (n *Engine) acknowledge(ends []End) {
	for _, e := range ends {
		p := e.of
		n.fronts[p.front].unacknowledged.remove(p)
		if p.keep {
			p.told = true
		} else {
			n.forgetEnded(p, e.State)
		}
	}
	if n.cfg.Recorder != nil {
		n.recordNotices(ends)
	}
}

// mailbox holds the ends that a sink has yet to take, oldest first. The loop puts in, the sink's goroutine takes out.
type mailbox struct {
	mu   sync.Mutex
	ends []End
	more chan struct{} // holds one token while there may be ends
}

func (b *mailbox) put(e End) {
	b.mu.Lock()
	b.ends = append(b.ends, e)
	b.mu.Unlock()
	select {
	case b.more <- struct{}{}:
	default:
	}
}

// Take waits for ends and takes out as many as go to a sink at once; none once ctx has ended.
func (b *mailbox) Take(ctx context.Context) []End {
	for {
		b.mu.Lock()
		some := b.ends[:min(len(b.ends), maxEnds):min(len(b.ends), maxEnds)]
		if b.ends = b.ends[len(some):]; len(b.ends) == 0 {
			b.ends = nil
		}
		b.mu.Unlock()
		if len(some) > 0 {
			return some
		}
		select {
		case <-b.more:
		case <-ctx.Done():
			return nil
		}
	}
}

// report has a front's sink take its ends until ctx ends. What is not acknowledged by then is in the journal.
func (n *Engine) report(ctx context.Context, f *front) {
	f.Sink.Serve(ctx, &f.owed, func(ends []End) { n.tell(ctx, settled(ends)) })
}
