package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// drainGrace is how long after it was told a drain binds.
const drainGrace = 250 * time.Millisecond

// shortMachine makes connections to discovery, but for times in which it has no descriptor.
type shortMachine struct {
	short atomic.Bool
	net.Dialer
}

func (m *shortMachine) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if m.short.Load() {
		return nil, systemError("socket", syscall.ENFILE)
	}
	return m.DialContext(ctx, network, addr)
}

// follow has an agent watch until the test ends, and hands on each list that has members.
func follow(t *testing.T, a *agent) <-chan delivery.List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	heard, watched := make(chan delivery.List, 9), make(chan struct{})
	go func() {
		defer close(watched)
		a.Watch(ctx, func(l delivery.List) {
			if len(l.Members) > 0 {
				heard <- l
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-watched
	})
	return heard
}

// silentWatch is a watch that says nothing until discovery returns. Then it breaks, or tells that an endpoint drains.
func silentWatch(r *http.Request, returned <-chan struct{}, breaks error) *http.Response {
	body, w := io.Pipe()
	go func() {
		select {
		case <-returned:
			if breaks != nil {
				w.CloseWithError(breaks)
				return
			}
			io.WriteString(w, `{"revision":4,"complete":false,"members":[{"id":"e","host_port":"e","phase":"DRAINING"}]}`+"\n")
		case <-r.Context().Done():
		}
		<-r.Context().Done()
		w.CloseWithError(r.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body}
}

// Guards against a drain that is missed since the watch breaks while this machine can make no connection.
func TestADrainIsHeardWhileNoConnectionCanBeMade(t *testing.T) {
	t.Parallel()
	var watches atomic.Int32
	broken := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if watches.Add(1) == 1 {
			fmt.Fprintln(w, listOf(4, false))
			w.(http.Flusher).Flush()
			<-broken
			panic(http.ErrAbortHandler) // the connection breaks
		}
		fmt.Fprintln(w, listOf(5, false, serving("e", "127.0.0.1:9", 7, "DRAINING")))
	}))
	t.Cleanup(srv.Close)
	a := newAgent(srv.Listener.Addr().String(), list{}, 1, wire.Names{}, slog.New(slog.DiscardHandler))
	var machine shortMachine
	a.site.dialWith(machine.dial)
	heard := follow(t, a)
	eventually(t, "a watch and its reserve", func() bool { return watches.Load() == 1 && a.site.watches.has() })
	machine.short.Store(true)
	close(broken)
	select {
	case <-heard:
	case <-time.After(drainGrace):
		t.Error("the drain was not heard in its grace")
	}
}

// Guards against a node that hears nothing for seconds after its machine can make connections again.
func TestAWatchIsOpenedSoonAfterAShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent("discovery:1", list{Revision: 3}, 300, wire.Names{}, slog.New(slog.DiscardHandler))
		const shortage = 2 * time.Second
		began, asked := time.Now(), make(chan time.Duration, 1)
		a.site.dialWith(noConnection)
		a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
			if time.Since(began) < shortage {
				return nil, systemError("socket", syscall.EMFILE)
			}
			asked <- time.Since(began)
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		follow(t, a)
		if late := <-asked - shortage; late > 200*time.Millisecond {
			t.Errorf("asked %v after the shortage", late)
		}
	})
}

// Guards against ending the watch that stands, but is silent, for one that could not be opened.
func TestASilentWatchOutlastsTriesThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent("discovery:1", list{Revision: 3}, 300, wire.Names{}, slog.New(slog.DiscardHandler))
		a.site.dialWith(noConnection)
		returned := make(chan struct{})
		var tries atomic.Int32
		a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
			if tries.Add(1) > 1 {
				return nil, net.ErrClosed
			}
			return silentWatch(r, returned, nil), nil
		})
		heard := follow(t, a)
		time.Sleep(30 * time.Second)
		close(returned)
		select {
		case <-heard:
		case <-time.After(drainGrace):
			t.Errorf("the drain was not heard in its grace, after %d tries", tries.Load())
		}
	})
}

// Guards against a drain that is told at discovery's return and missed since the watch that was silent breaks over it.
func TestASilentWatchThatBreaksIsOpenedAgainInTheGraceOfADrain(t *testing.T) {
	for range 10 { // pauses are drawn
		synctest.Test(t, func(t *testing.T) {
			a := newAgent("discovery:1", list{Revision: 3}, 300, wire.Names{}, slog.New(slog.DiscardHandler))
			a.site.dialWith(noConnection)
			returned := make(chan struct{})
			var tries atomic.Int32
			a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
				var breaks error
				if tries.Add(1) == 1 {
					breaks = syscall.ETIMEDOUT
				}
				return silentWatch(r, returned, breaks), nil
			})
			heard := follow(t, a)
			time.Sleep(watchSilence + time.Millisecond) // the first watch has been given up just before
			close(returned)
			select {
			case <-heard:
			case <-time.After(drainGrace):
				t.Errorf("the drain was not heard in its grace, after %d tries", tries.Load())
			}
		})
	}
}
