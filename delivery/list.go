package delivery

import (
	"errors"
	"fmt"
	"maps"
	"sync/atomic"

	"starlingusher/choice"
)

// endpoint makes an endpoint of a list's member.
func (n *Engine) endpoint(m Member) *Endpoint {
	return &Endpoint{ID: m.ID, Addr: m.Addr, addrs: m.Addrs, dest: m.Dest, zone: m.Zone, shut: make(chan struct{}), base: n.start, wait: n.waitOf(m)}
}

// listed brings the endpoints up to date. Calls that have not written their first byte hear of it by Shut.
// An endpoint that another engine of this process calls is taken as draining, and the error says so.
func (n *Engine) listed(l List) (_ choice.Listed, taken error) {
	if l.Complete || len(n.waits) > n.waitsMost { // at every doubling, so that a change costs no more in a long list
		maps.DeleteFunc(n.waits, func(dest int, _ *atomic.Int64) bool { return !n.sender.Knows(dest) })
		n.waitsMost = max(2*len(n.waits), leastWaits)
	}
	if n.cfg.Shared != nil {
		n.cfg.Shared.Listed(l)
	}
	entries := make([]choice.Entry, 0, len(l.Members))
	named := map[string]bool{}
	for _, m := range l.Members {
		if m.ID == "" {
			continue
		}
		named[m.ID] = true
		e := n.eps[m.ID]
		if m.Phase == choice.Ready && (e == nil || !e.isMember(m)) {
			n.shut(e)
			e = n.endpoint(m)
			if err := claimAll(n, e.claimedAddrs()); err != nil {
				taken = errors.Join(taken, fmt.Errorf("delivery: endpoint %s: %w", m.ID, err))
				m.Phase = choice.Draining
			} else {
				n.eps[m.ID] = e
			}
		} else if m.Phase != choice.Ready {
			n.shut(e)
		}
		entries = append(entries, choice.Entry{
			Endpoint: m.ID, Zone: m.Zone, Kind: m.Kind, Dest: m.Dest, Phase: m.Phase, Weight: m.Weight,
			Single: !n.batches(m.Dest),
		})
	}
	if l.Complete {
		for id, e := range n.eps {
			if !named[id] {
				n.shut(e)
			}
		}
	}
	return choice.Listed{Whole: l.Complete, Entries: entries}, taken
}

// isMember tells whether an endpoint is still the one that a list names. At another address, or for another destination, it is another process.
func (e *Endpoint) isMember(m Member) bool {
	return e.Addr == m.Addr && maps.Equal(e.addrs, m.Addrs) && e.dest == m.Dest
}

// told is listed for what the source tells: endpoints that another engine calls are no more than a line in the log.
func (n *Engine) told(l List) choice.Listed {
	listed, err := n.listed(l)
	if err != nil {
		n.log.Error("endpoints are not used", "err", err)
	}
	return listed
}

func (n *Engine) shut(e *Endpoint) {
	if e == nil {
		return
	}
	e.Close()
	delete(n.eps, e.ID)
	releaseAll(e.claimedAddrs())
	for _, f := range n.fronts {
		f.Carrier.HangUp(e.ID, 0)
	}
}

// waiterOf is whom a wait binds that an endpoint told.
func (n *Engine) waiterOf(e *Endpoint, dest int) waiter {
	if e.wait == n.waits[dest] {
		return waiter{dest: dest}
	}
	return waiter{dest, e.ID}
}

// waitOf is where the waits are kept that bind an endpoint: its own if it is a route apart.
func (n *Engine) waitOf(m Member) *atomic.Int64 {
	if kinds := n.cfg.Settings.Kinds; m.Kind >= 0 && m.Kind < len(kinds) && kinds[m.Kind].Apart {
		return new(atomic.Int64)
	}
	if n.waits[m.Dest] == nil {
		n.waits[m.Dest] = new(atomic.Int64)
	}
	return n.waits[m.Dest]
}
