package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/node/notices"
	"starlingusher/internal/wire"
)

const noticesTaken = "HTTP/1.1 204 No Content\r\n\r\n"

// Guards against a copy of the answer to earlier notices that ends notices which were never taken.
func TestACopyOfAnAnswerEndsNoNotices(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	t.Cleanup(func() {
		ln.Close()
		served.Wait()
	})
	var taken sync.Map // ids of notices
	served.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer nc.Close()
				in := bufio.NewReader(nc)
				for first := true; ; first = false {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					if first { // any later request on the connection meets a copy, and then its end
						for line := range strings.Lines(string(body)) {
							taken.Store(line, true)
						}
					}
					io.WriteString(nc, noticesTaken)
					if !first {
						return
					}
				}
			})
		}
	})
	a := newAgent(ln.Addr().String(), list{}, 1, wire.Names{}, slog.New(slog.DiscardHandler))
	owed, acknowledged := serveNotices(t, a)
	const posts = 5
	for i := range posts {
		owed <- []delivery.End{{ID: fmt.Sprint(i), State: delivery.Failed}}
		time.Sleep(time.Millisecond) // so that they go out in posts of their own
	}
	for range posts {
		e := <-acknowledged
		if _, ok := taken.Load(string(notices.Line(e.ID, "failed", 0))); !ok {
			t.Errorf("notice %s is acknowledged and was never taken", e.ID)
		}
	}
}

// outbox hands out ends.
type outbox chan []delivery.End

func (o outbox) Take(ctx context.Context) []delivery.End {
	select {
	case some := <-o:
		return some
	case <-ctx.Done():
		return nil
	}
}

// serveNotices has an agent take ends until the test ends, and tells of those that are acknowledged.
func serveNotices(t *testing.T, a *agent) (owed outbox, acknowledged <-chan delivery.End) {
	owed, acks := make(outbox), make(chan delivery.End, 99)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Serve(ctx, owed, func(some []delivery.End) {
			for _, e := range some {
				acks <- e
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return owed, acks
}

// Guards against an older line of a watch that comes again and undoes what was told since.
func TestALineOfAWatchThatComesAgainIsPassedOver(t *testing.T) {
	t.Parallel()
	drains := listOf(6, false, serving("e", "127.0.0.1:9", 7, "DRAINING"))
	serves := listOf(5, false, serving("e", "127.0.0.1:9", 7, "SERVING"))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for _, line := range []string{serves, drains, serves, listOf(7, false)} {
			fmt.Fprintln(w, line)
		}
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var told []int64
	watch(ctx, slog.New(slog.DiscardHandler), srv.Client(), srv.Listener.Addr().String(), 0, 1, true, func(l list) error {
		if told = append(told, l.Revision); l.Revision == 7 {
			cancel()
		}
		return nil
	})
	if want := []int64{5, 6, 7}; !slices.Equal(told, want) {
		t.Errorf("told %v, want %v", told, want)
	}
}
