package node

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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
	var text bytes.Buffer
	a := newAgent(r.Addr(), list{}, 1, wire.Names{}, slog.New(slog.NewTextHandler(&text, nil)))
	if err := a.Take(t.Context(), []delivery.End{{ID: "first", State: delivery.Failed}}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "notices not taken") {
		t.Errorf("the log says %q", text.String())
	}
}

// Guards against notices that are overdue because this machine can make no connection for a while.
func TestANoticeIsPostedWhileNoConnectionCanBeMade(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	a := newAgent(r.Addr(), list{}, 1, wire.Names{}, slog.New(slog.DiscardHandler))
	var short atomic.Bool
	connect := a.site.spare.connect
	a.site.spare.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if short.Load() {
			return nil, systemError("socket", syscall.ENFILE)
		}
		return connect(ctx, network, addr)
	}
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		a.Watch(ctx, func(delivery.List) {})
	}()
	defer func() {
		cancel()
		<-watched
	}()
	eventually(t, "a connection in reserve", a.site.spare.has)
	short.Store(true)
	posting, end := context.WithTimeout(ctx, 10*time.Second)
	defer end()
	for _, id := range []string{"first", "second"} {
		if err := a.Take(posting, []delivery.End{{ID: id, State: delivery.Failed}}); err != nil {
			t.Fatal(err)
		}
		if got := r.State(id); got != "failed" {
			t.Errorf("%s is %q", id, got)
		}
	}
}
