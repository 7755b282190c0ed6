package node

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// Guards against a new process at discovery's address that counts revisions anew being taken for the one before: what changed after a revision of the other
// one's is nothing to it, and the node would go on with a list that nobody has any more.
func TestADiscoveryThatCountsAnewIsAskedForAllItHas(t *testing.T) {
	for _, first := range []string{listOf(3, false), listOf(0, false), listOf(3, false, serving("f", "f:1", 7, "SERVING"))} {
		t.Run(first, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAgent("discovery:1", list{Revision: 41}, 300, wire.Names{}, slog.New(slog.DiscardHandler))
				a.site.dialWith(noConnection)
				restarted := time.Now().Add(5 * time.Second)
				a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
					ctx, cancel := context.WithCancel(r.Context())
					if time.Now().Before(restarted) {
						time.AfterFunc(time.Until(restarted), cancel)
						return &http.Response{StatusCode: http.StatusOK, Body: piecesBody(ctx, 0, listOf(41, false)+"\n", "\n")}, nil
					}
					context.AfterFunc(r.Context(), cancel)
					text := first
					if r.URL.Query().Get("after") == "0" {
						text = listOf(3, true, serving("e", "e:1", 7, "SERVING"))
					}
					return &http.Response{StatusCode: http.StatusOK, Body: piecesBody(ctx, 0, text+"\n")}, nil
				})
				whole := make(chan time.Duration, 9)
				watched := make(chan struct{})
				ctx, cancel := context.WithCancel(context.Background())
				go func() {
					defer close(watched)
					a.Watch(ctx, func(l delivery.List) {
						if l.Complete {
							whole <- time.Since(restarted)
						} else if time.Now().After(restarted) {
							t.Errorf("told as a change: %+v", l)
						}
					})
				}()
				select {
				case late := <-whole:
					if late > 6*time.Second {
						t.Errorf("the whole list is told %v after the restart", late)
					}
				case <-time.After(time.Minute):
					t.Error("the whole list is never asked for")
				}
				cancel()
				<-watched
			})
		})
	}
}
