package peers

import (
	"context"
	"sync"
	"time"

	"starlingusher/peers/lease"
	"starlingusher/peers/link"
)

// operator is what operators' processes ask of the node's leases. A name is one process's at a time here: what the node holds, one of them acts
// by.
type operator struct {
	s        *Service
	mu       *sync.Mutex
	sessions map[string]uint64
	free     map[string]chan struct{} // closed when the session of a name ends
}

func newOperator(s *Service) operator {
	return operator{s: s, mu: new(sync.Mutex), sessions: map[string]uint64{}, free: map[string]chan struct{}{}}
}

// Command asks one command of the voters.
func (o operator) Command(ctx context.Context, c lease.Command) (lease.Result, error) {
	if o.s.leases == nil {
		return lease.Result{}, ErrNoLeases
	}
	return o.s.leases.command(ctx, c)
}

// claim waits until the name is the session's at this node.
func (o operator) claim(ctx context.Context, name string, session uint64) error {
	for {
		o.mu.Lock()
		free, taken := o.free[name]
		if !taken {
			o.free[name], o.sessions[name] = make(chan struct{}), session
		}
		o.mu.Unlock()
		if !taken {
			return nil
		}
		select {
		case <-free:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o operator) unclaim(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.free[name])
	delete(o.free, name)
	delete(o.sessions, name)
}

// Hold has the node hold a lease until ctx ends, and tells of every change.
func (o operator) Hold(ctx context.Context, name string, session uint64, tell func(link.Held) error) error {
	l := o.s.leases
	if l == nil {
		return ErrNoLeases
	}
	if err := o.claim(ctx, name, session); err != nil {
		return err
	}
	defer o.unclaim(name)
	if err := l.want(ctx, name); err != nil {
		return err
	}
	defer l.rest(context.WithoutCancel(ctx), name)
	for {
		news := l.news()
		if err := tell(o.Held(name, session)); err != nil {
			return err
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Held tells what a session has of a lease now.
func (o operator) Held(name string, session uint64) link.Held {
	l := o.s.leases
	if l == nil {
		return link.Held{}
	}
	o.mu.Lock()
	mine, taken := o.sessions[name]
	o.mu.Unlock()
	switch token, until, ok := l.may(name, 0); {
	case taken && mine != session:
		return link.Held{Holder: o.s.self.Name}
	case !ok || !taken:
		holder, _ := l.other(name)
		return link.Held{Holder: holder}
	default:
		return link.Held{Token: token, Left: max(until-o.s.now(), time.Microsecond), Holder: o.s.self.Name}
	}
}
