package node

import (
	"maps"
	"time"
)

// leastSwept is the number of entries up to which an expiring set is not swept.
const leastSwept = 64

// expiring is a set of names that hold until a time. The zero value is empty. It is used by one goroutine at a time.
type expiring struct {
	until map[string]time.Time
	sweep int // the number of entries at which those that are over are dropped
}

// add has a name hold for a time from now on.
func (e *expiring) add(name string, span time.Duration) {
	now := time.Now()
	if e.until == nil {
		e.until, e.sweep = map[string]time.Time{}, leastSwept
	}
	if len(e.until) >= e.sweep {
		maps.DeleteFunc(e.until, func(_ string, end time.Time) bool { return now.After(end) })
		e.sweep = max(2*len(e.until), leastSwept)
	}
	e.until[name] = now.Add(span)
}

// has tells whether a name still holds.
func (e *expiring) has(name string) bool {
	end, ok := e.until[name]
	return ok && time.Now().Before(end)
}
