package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/node/notices"
	"starlingusher/internal/wire"
)

// agent is the platform's side of the engine at discovery's address: its list, and the notices that it takes. It is
// the engine's Membership and the daemon's Sink.
type agent struct {
	log   *slog.Logger
	names wire.Names
	after int64 // the revision that is known at the start
	nodes int   // that ask the same discovery
	relay Relay // nil where each node watches for itself

	connect      notices.DialFunc // of notices
	noticePlaces int              // connections whose notices have no answer

	mu      sync.Mutex
	site    *site
	courier *notices.Courier[delivery.End] // nil before Serve
}

// site is one address of discovery, for as long as it is the address.
type site struct {
	addr     string
	client   *http.Client // of the watch
	watches  *spareDialer // of the watch: what it is told binds at once
	moved    bool         // there was another one before
	asked    bool         // it has told this node something; only kept where there is a relay
	caughtUp time.Time    // until then a list may be older than what the one before has told
	left     context.Context
	leave    context.CancelFunc
}

func newSite(addr string) *site {
	s := &site{addr: addr, watches: newSpareDialer(addr)}
	s.client = &http.Client{Transport: freshTransport{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true, DialContext: s.watches.dial}, reserve: s.watches}}
	s.left, s.leave = context.WithCancel(context.Background())
	return s
}

// freshTransport makes each request on a new connection: on one that was used before, a copy of an earlier response would be taken for
// its response. While there is no connection in reserve, this machine may be unable to make one, and a used one has to do.
type freshTransport struct {
	*http.Transport
	reserve *spareDialer
}

// RoundTrip makes a request.
func (t freshTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.reserve.has() {
		t.CloseIdleConnections()
	}
	return t.Transport.RoundTrip(req)
}

// dialWith has connections of the watch made by another function. It is called before the site is used.
func (s *site) dialWith(connect connectFunc) { s.watches.connect = connect }

// Relay has one node's watch of discovery serve others. Its methods may be called by many goroutines at a time.
type Relay interface {
	// Moves tells where discovery is.
	Moves(addr string)
	// Told is a line of this node's own watch with its revision and the one that it follows on. Ended says that the watch has ended.
	Told(after, revision int64, line []byte)
	Ended()
	// Alone waits until this node has to watch for itself, or has not to.
	Alone(ctx context.Context, alone bool) error
	// List waits for a line of another's watch.
	List(ctx context.Context) ([]byte, error)
}

// The connections whose notices have no answer: a part of the node's sockets, up to a number with which a post goes out at least as often
// as notices come back unanswered.
const (
	noticeShare      = 16
	mostNoticePlaces = 32
)

// newAgent knows a list already: that of a node's configuration.
func newAgent(addr string, known list, nodes int, names wire.Names, log *slog.Logger) *agent {
	return &agent{log: log, names: names, after: known.Revision, nodes: nodes, site: newSite(addr), connect: new(net.Dialer).DialContext, noticePlaces: mostNoticePlaces}
}

// move takes the watch and the notices to another address. Being told the same address again changes nothing.
func (a *agent) move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.site.addr {
		return
	}
	a.log.Info("discovery moves", "to", addr)
	a.site.leave()
	a.site = newSite(addr)
	a.site.moved, a.site.caughtUp = true, time.Now().Add(catchUpTime)
	if a.courier != nil {
		a.courier.Move(addr)
	}
}

// at is where discovery is now, and a context that ends with ctx or when it moves.
func (a *agent) at(ctx context.Context) (*site, context.Context, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.site
	here, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.left, cancel)
	return s, here, func() {
		stop()
		cancel()
		if s.left.Err() != nil || ctx.Err() != nil {
			s.client.CloseIdleConnections()
		}
	}
}

// Watch follows discovery, wherever it moves, until ctx ends. Another server is asked for all it has, so that nothing
// is lost; while its list is older than what was told, it is not taken, or a drain could be undone.
func (a *agent) Watch(ctx context.Context, tell func(delivery.List)) {
	r := &reader{agent: a, newest: a.after, tell: tell}
	var beside sync.WaitGroup
	defer beside.Wait()
	if a.relay != nil {
		beside.Go(func() { r.relayed(ctx) })
	}
	for ctx.Err() == nil {
		s, here, leave := a.at(ctx)
		beside.Go(func() { s.watches.run(here) })
		if a.relay == nil {
			r.watch(here, s)
		} else {
			a.relay.Moves(s.addr)
			for a.relay.Alone(here, true) == nil {
				// Once another's watch serves this node as well, its own is of no use.
				own, end := context.WithCancel(here)
				beside.Go(func() {
					a.relay.Alone(own, false) // an error says that the watch has ended before
					end()
				})
				r.watch(own, s)
				end()
				a.relay.Ended()
			}
		}
		leave()
	}
}

// reader takes lists from whoever tells them, in the order of their revisions.
type reader struct {
	*agent
	tell func(delivery.List)

	mu     sync.Mutex
	newest int64
}

// watch follows a watch of this node's own until ctx ends.
func (r *reader) watch(ctx context.Context, s *site) {
	r.mu.Lock()
	after := r.newest
	r.mu.Unlock()
	if s.moved && !s.asked {
		after = 0
	}
	watch(ctx, r.log, s.client, s.addr, after, r.nodes, r.relay == nil, func(l list) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		if l.Revision < r.newest && time.Now().Before(s.caughtUp) {
			return errBehind
		}
		if r.relay != nil {
			if ctx.Err() != nil { // another's watch serves this node by now
				return ctx.Err()
			}
			s.asked = true
			defer r.relay.Told(l.after, l.Revision, l.line)
		}
		r.take(s.addr, l)
		return nil
	})
}

// take hands a list on. The lock is held.
func (r *reader) take(from string, l list) {
	r.newest = l.Revision
	for _, odd := range l.odd(r.names) {
		r.log.Warn("a member of the list is odd", "discovery", from, "revision", l.Revision, "why", odd)
	}
	r.tell(l.told(r.names))
}

// relayed takes the lists of another's watch until ctx ends.
func (r *reader) relayed(ctx context.Context) {
	for {
		line, err := r.relay.List(ctx)
		if err != nil {
			return
		}
		var l list
		if err := json.Unmarshal(line, &l); err != nil {
			r.log.Error("a list of another node's watch can't be read", "err", err)
			continue
		}
		r.mu.Lock()
		if l.Revision > r.newest {
			r.take("another node's watch", l)
		}
		r.mu.Unlock()
	}
}

// Serve has the courier post ends until ctx ends, at whatever address discovery then has. A notice may be posted twice: one for a message
// that is over does no harm. All fronts of one engine share the courier, and so does what acknowledges their ends.
func (a *agent) Serve(ctx context.Context, from delivery.Outbox, acknowledged func([]delivery.End)) {
	courier, first := a.openCourier(acknowledged)
	var taking sync.WaitGroup
	defer taking.Wait()
	taking.Go(func() {
		for ends := from.Take(ctx); len(ends) > 0; ends = from.Take(ctx) {
			courier.Post(entriesOf(ends))
		}
	})
	if first {
		courier.Run(ctx)
	}
}

// openCourier returns the courier, and tells whether it is new: then it has to be run.
func (a *agent) openCourier(acknowledged func([]delivery.End)) (courier *notices.Courier[delivery.End], first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.courier != nil {
		return a.courier, false
	}
	a.courier = notices.New(a.site.addr, a.noticePlaces, a.connect, a.log, acknowledged)
	return a.courier, true
}

// entriesOf are the notices of ends. The platform knows no other word for an end that is none to come again after, so that a refusal is
// told as a failure.
func entriesOf(ends []delivery.End) []*notices.Entry[delivery.End] {
	all := make([]*notices.Entry[delivery.End], 0, len(ends))
	for _, e := range ends {
		state := e.State
		if state == delivery.Refused {
			state = delivery.Failed
		}
		all = append(all, &notices.Entry[delivery.End]{Value: e, Line: notices.Line(e.ID, state.String(), e.After)})
	}
	return all
}
