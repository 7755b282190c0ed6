package node

import (
	"time"

	"starlingusher/delivery"
)

const (
	// bodyUnit is what large bodies are counted in, in bytes. Those that fit into a client's buffer are not counted, and wait for nobody.
	bodyUnit = 4 << 10
	// bodyShare is the part of the node's memory that large bodies may take, from their first bytes to the answers to their messages.
	bodyShare = 8
	// leastBodies is the least that there is for them, in bytes: some of the largest.
	leastBodies = 1 << 20
	// unlimitedBodies is what there is where the node has no limit of memory, in bytes.
	unlimitedBodies = 64 << 20
	// bodyWait is how long a body waits for memory before its message is refused. Clients give up on an answer after 0.4 s.
	bodyWait = 100 * time.Millisecond
)

// bodyMemory is the memory that is left for large bodies of all clients. It holds a token for each unit that is taken. It may be used by many goroutines
// at a time.
type bodyMemory chan struct{}

// newBodyMemory is a part of a limit in MB; 0 for no limit.
func newBodyMemory(limitMB int64) bodyMemory {
	bytes := limitMB << 20 / bodyShare
	if limitMB <= 0 {
		bytes = unlimitedBodies
	}
	return make(bodyMemory, max(bytes, leastBodies)/bodyUnit)
}

// take takes units, or none. It waits for those that others give back, up to bodyWait.
func (m bodyMemory) take(units int) bool {
	var late <-chan time.Time
	for taken := range units {
		select {
		case m <- struct{}{}:
			continue
		default:
		}
		if late == nil {
			late = time.After(bodyWait)
		}
		select {
		case m <- struct{}{}:
		case <-late:
			m.give(taken)
			return false
		}
	}
	return true
}

// give gives units back.
func (m bodyMemory) give(units int) {
	for range units {
		<-m
	}
}

// bodyRoom is the part of the memory for bodies that the request which a client is sending has. The zero value counts nothing and is never short.
type bodyRoom struct {
	memory bodyMemory
	before func() // is called before a wait: it gives back what the same client holds for nothing
	units  int
	unkept *delivery.Unkept // the body that there was no memory for; nil for none
}

// grow makes room for so many bytes in all, and tells whether there was any.
func (r *bodyRoom) grow(bytes int) bool {
	if r.memory == nil {
		return true
	}
	more := (bytes+bodyUnit-1)/bodyUnit - r.units
	if more <= 0 {
		return true
	}
	if len(r.memory)+more > cap(r.memory) && r.before != nil {
		r.before()
	}
	if !r.memory.take(more) {
		return false
	}
	r.units += more
	return true
}

// pass begins a body that is not kept.
func (r *bodyRoom) pass() *delivery.Unkept {
	r.unkept = delivery.NewUnkept(bodyWait)
	return r.unkept
}

// detach returns the units of the request that was read. Give is called with them once their message is answered.
func (r *bodyRoom) detach() int {
	units := r.units
	r.units = 0
	return units
}

// give gives units back.
func (r *bodyRoom) give(units int) {
	if units > 0 {
		r.memory.give(units)
	}
}
