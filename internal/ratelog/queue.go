package ratelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Queue queues lines for another writer, which one goroutine calls. A line that finds no room is dropped; the next one that does is
// preceded by a line that tells how many were. Its methods may be called by many goroutines at a time.
type Queue struct {
	out   io.Writer
	most  int // bytes in the queue
	ready chan struct{}
	done  chan struct{} // closed when nothing more is written

	mu      sync.Mutex
	lines   []byte
	dropped int // lines since the last one that was queued
	closed  bool
}

// NewQueue returns a Queue that queues at most so many bytes for out. Close has to be called at the end.
func NewQueue(out io.Writer, most int) *Queue {
	q := &Queue{out: out, most: most, ready: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line, or drops it. It does not wait, and returns no error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.lines)+len(line) > q.most {
		q.dropped++
		return len(line), nil
	}
	q.tellDropped()
	q.lines = append(q.lines, line...)
	q.wake()
	return len(line), nil
}

// tellDropped queues a line that tells how many were dropped, if any were. The lock is held.
func (q *Queue) tellDropped() {
	if q.dropped == 0 {
		return
	}
	q.lines = fmt.Appendf(q.lines, "time=%s level=WARN msg=\"log lines dropped: nobody read them in time\" count=%d\n",
		time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"), q.dropped)
	q.dropped = 0
}

func (q *Queue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// run writes what is queued, all of it at once, until the Queue is closed.
func (q *Queue) run() {
	defer close(q.done)
	var batch []byte
	for range q.ready {
		for more := true; more; {
			var last bool
			if batch, last = q.take(batch); len(batch) > 0 {
				q.out.Write(batch) // a log that can't be written is no reason to stop
			} else if more = false; last {
				return
			}
		}
	}
}

// take returns what is queued, in exchange for a buffer that is not used any more, and whether the Queue is closed.
func (q *Queue) take(used []byte) (batch []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.tellDropped()
	}
	batch, q.lines = q.lines, used[:0]
	return batch, q.closed
}

// Close writes what is queued, and waits for that as long as it is told at most. Lines that come later are dropped.
func (q *Queue) Close(patience time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.wake()
	q.mu.Unlock()
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case <-q.done:
	case <-late.C:
	}
}
