package node

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// Guards against a reserve that is empty for good since the first dial failed for another reason than this machine.
func TestAReserveIsFilledAfterADialThatFails(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	d := newSpareDialer(r.Addr())
	connect := d.connect
	for _, err := range []syscall.Errno{syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED} {
		var failed atomic.Bool
		d.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if failed.CompareAndSwap(false, true) {
				return nil, systemError("connect", err)
			}
			return connect(ctx, network, addr)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.run(ctx)
		}()
		d.want()
		eventually(t, "a connection in reserve after "+err.Error(), d.has)
		cancel()
		<-ended
	}
}

// Guards against notices that are not taken and of which the log says nothing.
func TestNoticesThatAreNotTakenAreLogged(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	r.RefusePosts(1)
	var text safeBuffer
	a := newAgent(r.Addr(), list{}, 1, wire.Names{}, slog.New(slog.NewTextHandler(&text, nil)))
	owed, acknowledged := serveNotices(t, a)
	owed <- []delivery.End{{ID: "first", State: delivery.Failed}}
	<-acknowledged
	if !strings.Contains(text.String(), "notices not taken") {
		t.Errorf("the log says %q", text.String())
	}
}

// safeBuffer is a buffer for several goroutines.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against notices that are overdue because this machine can make no connection for a while.
func TestANoticeIsPostedWhileNoConnectionCanBeMade(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	a := newAgent(r.Addr(), list{}, 1, wire.Names{}, slog.New(slog.DiscardHandler))
	var short atomic.Bool
	var made atomic.Int64
	connect := a.connect
	a.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if short.Load() {
			return nil, systemError("socket", syscall.ENFILE)
		}
		nc, err := connect(ctx, network, addr)
		made.Add(1)
		return nc, err
	}
	owed, _ := serveNotices(t, a)
	eventually(t, "connections in reserve", func() bool { return made.Load() >= 2 })
	short.Store(true)
	for _, id := range []string{"first", "second", "third"} {
		owed <- []delivery.End{{ID: id, State: delivery.Failed}}
		eventually(t, "the notice of "+id, func() bool { return r.State(id) == "failed" })
	}
}
