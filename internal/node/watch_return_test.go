package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// Guards against a drain that counts from discovery's return and is missed, since no watch is open between two tries.
func TestWhatDiscoveryTellsAtItsReturnIsHeardAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent("discovery:1", list{Revision: 3}, 300, wire.Names{}, slog.New(slog.DiscardHandler))
		a.site.dialWith(noConnection)
		returned := make(chan struct{}) // discovery is silent until then
		a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) { return silentWatch(r, returned, nil), nil })
		heard := follow(t, a)
		time.Sleep(watchSilence + time.Millisecond) // the first watch has been given up just before
		back := time.Now()
		close(returned)
		<-heard
		if late := time.Since(back); late > 10*time.Millisecond {
			t.Errorf("heard %v after the return", late)
		}
	})
}

// Guards against a node that hears nothing for seconds since its watch's connection broke.
func TestAWatchThatBreaksIsOpenedAgainBeforeADrainBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent("discovery:1", list{Revision: 3}, 300, wire.Names{}, slog.New(slog.DiscardHandler))
		a.site.dialWith(noConnection)
		asked, broke := make(chan time.Time, 99), make(chan time.Time, 99)
		a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
			asked <- time.Now()
			body, w := io.Pipe()
			go func() {
				io.WriteString(w, `{"revision":3,"complete":false,"members":[]}`+"\n")
				time.Sleep(2 * time.Second)
				broke <- time.Now()
				w.CloseWithError(syscall.ETIMEDOUT)
			}()
			return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
		})
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			a.Watch(ctx, func(delivery.List) {})
		}()
		<-asked
		for range 10 {
			at := <-broke
			if deaf := (<-asked).Sub(at); deaf > 200*time.Millisecond {
				t.Errorf("asked again %v after the break", deaf)
			}
		}
		cancel()
		<-watched
	})
}
