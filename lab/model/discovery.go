package model

import (
	"time"
)

// ask has a node call discovery in a while.
func (r *run) ask(n *node, pause time.Duration) {
	r.later(n, r.now+pause, func() {
		if n.watching {
			return
		}
		asked := r.now
		end, ok := asked, r.source.Each == 0
		if !ok {
			end, ok = r.source.call(asked)
		}
		for _, t := range r.stale {
			if t.during(r.now) {
				end, ok = r.now+r.day.Net.Way, false
			}
		}
		r.later(n, end, func() {
			if !ok {
				r.ask(n, r.failed(n, end-asked))
				return
			}
			n.asking.Told()
			n.unheard = 0
			n.watching = true
			r.catchUp(n, len(r.changes))
		})
	})
}

// failed is the pause after a call that took so long to fail.
func (r *run) failed(n *node, took time.Duration) time.Duration {
	u := uniform(n.asks)
	if n.unheard++; r.day.List.Alone {
		return time.Duration(u * float64(min(50*time.Millisecond<<min(n.unheard-1, 10), 2*time.Second)))
	}
	return n.asking.Failed(len(r.nodes), took, u)
}
