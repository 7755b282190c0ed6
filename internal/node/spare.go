package node

import (
	"context"
	"net"
	"sync"
	"time"
)

// connectFunc makes a connection, as net.Dialer.DialContext does.
type connectFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// agentDialTimeout bounds a dial of discovery, with time for one repeat of a lost first packet.
const agentDialTimeout = 2 * time.Second

// spareDialer dials one address and keeps one connection in reserve, for a time in which this machine can make none. Its methods may
// be called by many goroutines at a time.
type spareDialer struct {
	addr    string
	connect connectFunc
	wanted  chan struct{} // holds a token when there may be no spare connection

	mu    sync.Mutex
	spare net.Conn
}

func newSpareDialer(addr string) *spareDialer {
	dialer := &net.Dialer{Timeout: agentDialTimeout}
	d := &spareDialer{addr: addr, connect: dialer.DialContext, wanted: make(chan struct{}, 1)}
	d.want()
	return d
}

// want asks for a spare connection, if there is none.
func (d *spareDialer) want() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// run makes spare connections until ctx ends, and closes the last one.
func (d *spareDialer) run(ctx context.Context) {
	var pause backoff
	for {
		select {
		case <-ctx.Done():
			d.keep(nil)
			return
		case <-d.wanted:
		}
		if d.has() {
			continue
		}
		nc, err := redial(ctx, func() (net.Conn, error) { return d.connect(ctx, "tcp", d.addr) })
		if err != nil {
			d.want()
			sleep(ctx, pause.next())
			continue
		}
		d.keep(nc)
		pause = 0
	}
}

func (d *spareDialer) has() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spare != nil
}

// keep has a connection, or none, in place of the spare one.
func (d *spareDialer) keep(nc net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare != nil {
		d.spare.Close()
	}
	d.spare = nc
}

// dial returns a new connection or, if none can be made, the spare one.
func (d *spareDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := d.connect(ctx, network, addr)
	if err == nil {
		return nc, nil
	}
	d.want()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spare == nil {
		return nil, err
	}
	nc, d.spare = d.spare, nil
	return nc, nil
}
