package peers

import (
	"bytes"
	"context"
	"sync"
	"time"

	"starlingusher/peers/core"
	"starlingusher/peers/relay"
)

// Discovery has one node's watch of discovery serve others. It is the node's side of that: the part of the node that watches tells it what
// its watch is told, and asks it whether it has to watch. Its methods may be called by many goroutines at a time.
type Discovery struct {
	s     *Service
	lease string
	lists chan relay.List
	todo  chan bool // whether the lease is wanted, for the goroutine that may wait

	mu      sync.Mutex
	r       *relay.Relay
	changed chan struct{} // closed when Alone may be another
	alone   bool
	holder  string
}

const mostRelayed = 64

func newDiscovery(s *Service) *Discovery {
	name := "discovery"
	if s.o.File.Leases.Discovery == Zone {
		name += "/" + s.o.File.Zone
	}
	return &Discovery{
		s: s, lease: name, lists: make(chan relay.List, mostRelayed), todo: make(chan bool, 1), r: relay.New(name, s.self.Name, s.now()), changed: make(chan struct{}), alone: true,
	}
}

// Discovery is this node's side of one watch for many, nil where each node watches for itself.
func (s *Service) Discovery() *Discovery { return s.discovery }

// Moves notes that discovery is at another address.
func (d *Discovery) Moves(addr string) { d.with(func(r *relay.Relay) { r.Moves(d.s.now(), addr) }) }

// Told notes a line of this node's own watch, with its revision and the one that it follows on. It is copied.
func (d *Discovery) Told(after, revision int64, line []byte) {
	line = bytes.Clone(line)
	d.with(func(r *relay.Relay) { r.Told(d.s.now(), relay.List{After: after, Revision: revision, Line: line}) })
}

// Ended notes that this node's own watch does not stand any more.
func (d *Discovery) Ended() { d.with((*relay.Relay).Ended) }

func (d *Discovery) with(do func(*relay.Relay)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do(d.r)
	d.look()
}

// look tells those who wait whether the node is alone. The lock is held.
func (d *Discovery) look() {
	if alone := d.r.Alone(d.s.now()); alone != d.alone {
		d.alone = alone
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// Alone waits until this node has to watch for itself, or has not to, and then returns nil; or until ctx ends.
func (d *Discovery) Alone(ctx context.Context, alone bool) error {
	for {
		d.mu.Lock()
		is, changed := d.alone, d.changed
		d.mu.Unlock()
		if is == alone {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// List waits for a line that another's watch was told and this node has not come to.
func (d *Discovery) List(ctx context.Context) ([]byte, error) {
	select {
	case l := <-d.lists:
		return l.Line, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take takes words that have come, and tick says what is due. Both are called from the service's goroutine.
func (d *Discovery) take(from string, all []relay.Word) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range all {
		lists, refused := d.r.Take(d.s.now(), from, w)
		if refused {
			d.s.o.Log.Warn("a list of a watcher whose lease is over is refused", "from", from, "token", w.Token)
		}
		for _, l := range lists {
			select {
			case d.lists <- l:
			default: // who takes them is stopped; what is missing shows by the next revision
				d.r.Missed(l)
			}
		}
		if !w.Ask && !refused {
			d.holder = from
		}
	}
	d.look()
}

func (d *Discovery) tick(now time.Duration) {
	token, _, mine := d.s.leases.may(d.lease, 0)
	if !mine {
		token = 0
	}
	holder, _ := d.s.leases.other(d.lease)
	d.mu.Lock()
	if holder == "" {
		holder = d.holder
	}
	out := d.r.Tick(now, token, holder)
	d.look()
	alone := d.alone
	d.mu.Unlock()
	for _, o := range out {
		d.s.link.Send(d.s.address(o.To), core.Packet{To: o.To, Relay: []relay.Word{o.Word}})
	}
	select {
	case d.todo <- alone || mine:
	default:
	}
}

// run asks for the lease while it may be this node's to watch, until ctx ends.
func (d *Discovery) run(ctx context.Context) {
	wanted := false
	for {
		select {
		case want := <-d.todo:
			if want == wanted {
				continue
			}
			wanted = want
			if !want {
				d.s.leases.rest(ctx, d.lease)
			} else if err := d.s.leases.want(ctx, d.lease); err != nil {
				wanted = false
			}
		case <-ctx.Done():
			return
		}
	}
}
