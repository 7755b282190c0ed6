package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/delivery"
	"starlingusher/fleet"
	"starlingusher/internal/wire"
)

// refusals are the ways in which discovery gives a watch nothing to go by, while it can be reached or can't.
var refusals = map[string]func(r *http.Request) (*http.Response, error){
	"turned away":              status(http.StatusServiceUnavailable, 0),
	"turned away after a wait": status(http.StatusServiceUnavailable, 2*time.Second),
	"told to come later": func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"60"}}, Body: http.NoBody}, nil
	},
	"reset":                        func(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset by peer") },
	"opened and closed":            text(""),
	"half a list":                  text(`{"revision":4,"complete":true,"mem`),
	"a list that can't be":         text(`{"revision":"four"}` + "\n"),
	"answered by another one":      text("<html>"),
	"the old list, at once closed": text(`{"revision":3,"complete":false,"members":[]}` + "\n"),
	"silent on connections that die": func(r *http.Request) (*http.Response, error) {
		body, _ := io.Pipe()
		return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
	},
}

// status answers with a status after a while.
func status(code int, after time.Duration) func(r *http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		sleep(r.Context(), after)
		return &http.Response{StatusCode: code, Status: http.StatusText(code), Body: http.NoBody}, nil
	}
}

// text answers with a body that ends.
func text(body string) func(r *http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// Guards against a node of a large fleet that asks discovery again only long after it could be reached, and sends by a list that binds no more.
func TestANodeHearsInTimeAfterAnyFailureOfDiscovery(t *testing.T) {
	for name, refuse := range refusals {
		for _, nodes := range []int{1, 30, 300, 900} {
			for _, outage := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Minute} {
				t.Run(fmt.Sprintf("%s/nodes=%d/outage=%v", name, nodes, outage), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { hearsInTime(t, nodes, outage, refuse) })
				})
			}
		}
	}
}

func hearsInTime(t *testing.T, nodes int, outage time.Duration, refuse func(*http.Request) (*http.Response, error)) {
	a := newAgent("discovery:1", list{Revision: 3}, nodes, wire.Names{}, slog.New(slog.DiscardHandler))
	a.site.dialWith(noConnection)
	back := time.Now().Add(outage)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
		if time.Now().Before(back) {
			resp, err := refuse(r)
			if resp != nil {
				if pipe, ok := resp.Body.(*io.PipeReader); ok {
					context.AfterFunc(r.Context(), func() { pipe.CloseWithError(r.Context().Err()) })
				}
			}
			return resp, err
		}
		body := piecesBody(r.Context(), 0, listOf(4, false, serving("e", "e:1", 7, "DRAINING"))+"\n")
		return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
	})
	heard := make(chan time.Duration, 1)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		a.Watch(ctx, func(l delivery.List) {
			if len(l.Members) > 0 {
				heard <- time.Since(back)
			}
		})
	}()
	if late := <-heard; late > fleet.ToldWithin {
		t.Errorf("heard %v after discovery could be reached", late)
	}
	cancel()
	<-watched
}
