package delivery

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"starlingusher/choice"
)

// outage is what is noted of a route that is not healthy.
type outage struct {
	health choice.Health
	since  time.Time
}

// outageReserve is about the bytes that a noted outage takes in the journal, with an endpoint's id of 40.
const outageReserve = 80

// outageRecord notes a route's health. It names no message: there is none of number 0.
func outageRecord(w waiter, o outage) []byte {
	b := recordFor(recOutage, 0, smallRecord+len(w.endpoint))
	b = appendBytes(binary.AppendUvarint(b, uint64(w.dest)), []byte(w.endpoint))
	return appendTime(append(b, byte(o.health)), o.since)
}

// applyOutage brings what is noted up to date with a record.
func (j *journal) applyOutage(f *fields) {
	w := waiter{dest: int(f.number()), endpoint: string(f.bytes())}
	o := outage{health: choice.Health(f.number()), since: f.time()}
	switch {
	case f.bad:
	case o.health == choice.Healthy:
		delete(j.outages, w)
	default:
		j.outages[w] = o
	}
}

// noteHealth writes what the last step changed of the health of routes, so that the next life goes on with it.
func (n *Engine) noteHealth(changes []choice.HealthChange) {
	for _, c := range changes {
		w, o := waiter{c.Dest, c.Endpoint}, outage{health: c.To, since: n.journal.clock.stamp(n.wall(c.Since))}
		if _, noted := n.journal.outages[w]; noted || c.To != choice.Healthy {
			n.journal.add(outageRecord(w, o))
		}
	}
}

// outagesBefore are the events of what an earlier life noted, in the order of the routes.
func (n *Engine) outagesBefore() []choice.Event {
	routes := slices.SortedFunc(maps.Keys(n.journal.outages), compareWaiters)
	events := make([]choice.Event, 0, len(routes))
	for _, w := range routes {
		o := n.journal.outages[w]
		events = append(events, choice.Outage{Dest: w.dest, Endpoint: w.endpoint, Health: o.health, Since: n.at(o.since)})
	}
	return events
}
