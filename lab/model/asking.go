package model

import (
	"time"

	"starlingusher/fleet"
)

// Source is a source that answers one call after the other, does the work of those too whose callers have given up, and
// turns calls away while its backlog is long.
type Source struct {
	Each     time.Duration // that a call takes
	Patience time.Duration // of its callers
	Backlog  time.Duration // above which calls are turned away
	free     time.Duration
}

// call tells when its caller knows the end, and whether that is an answer.
func (o *Source) call(now time.Duration) (time.Duration, bool) {
	o.free = max(o.free, now)
	if o.free-now > o.Backlog {
		return now, false
	}
	o.free += o.Each
	if o.free-now > o.Patience {
		return now + o.Patience, false
	}
	return o.free, true
}

// Herd has n senders start at one instant, and tells when the last of them was told, and how many calls the one made that
// made most; 0 if not all were told within two minutes.
func Herd(n int, o Source, failed func(a *fleet.Asking, took time.Duration) time.Duration) (last time.Duration, most int) {
	asking, calls := make([]fleet.Asking, n), make([]int, n)
	var todo queue[happening]
	for i := range n {
		todo.push(happening{who: i})
	}
	for len(todo) > 0 {
		h := todo.pop()
		if h.at > 2*time.Minute {
			return 0, 0
		}
		calls[h.who]++
		most = max(most, calls[h.who])
		end, ok := o.call(h.at)
		if ok {
			asking[h.who].Told()
			last = max(last, end)
			continue
		}
		todo.push(happening{at: end + failed(&asking[h.who], end-h.at), who: h.who})
	}
	return last, most
}

type happening struct {
	at  time.Duration
	who int
}

func (h happening) before(o happening) bool { return h.at < o.at }
