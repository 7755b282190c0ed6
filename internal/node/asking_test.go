package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// trips is a transport that is a function.
type trips func(*http.Request) (*http.Response, error)

func (f trips) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// closer is a Closer that is a function.
type closer func()

func (f closer) Close() error {
	f()
	return nil
}

// noConnection is a dial in a test without a network.
func noConnection(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }

// A node of a fleet of three hundred asks for the list at its start, and after a watch has gone silent it has asked again before
// what it missed counts as told.
func TestAskedBeforeItBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, asked := time.Now(), make(chan time.Duration, 9)
		known := list{Revision: 3, Members: []member{{ID: "e", Addr: "e", Phase: "SERVING"}}}
		a := newAgent("discovery:1", known, 300, wire.Names{}, slog.New(slog.DiscardHandler))
		a.site.dialWith(noConnection)
		a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
			asked <- time.Since(began)
			silent, w := io.Pipe() // after one line
			stop := make(chan struct{})
			go func() {
				select {
				case <-r.Context().Done():
				case <-stop:
				}
				w.CloseWithError(r.Context().Err())
			}()
			line := strings.NewReader(`{"revision":3,"complete":false,"members":[]}` + "\n")
			return &http.Response{StatusCode: http.StatusOK, Body: struct {
				io.Reader
				io.Closer
			}{io.MultiReader(line, silent), closer(func() { close(stop) })}}, nil
		})
		watched := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer close(watched)
			a.Watch(ctx, func(delivery.List) {})
		}()
		before := <-asked
		if before != 0 {
			t.Errorf("asked first after %v", before)
		}
		for range 5 {
			next := <-asked
			if deaf := next - before; deaf > 6*time.Second {
				t.Errorf("deaf for %v", deaf)
			}
			before = next
		}
		cancel()
		<-watched
	})
}
