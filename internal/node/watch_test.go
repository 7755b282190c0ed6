package node

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"starlingusher/internal/wire"
)

// Whatever a discovery does to a watch, the next one goes on after the last list that came whole, nothing of a spoilt one is
// told, and the log says why it ended.
func TestWatchGoesOnAfterTheLastList(t *testing.T) {
	t.Parallel()
	whole := func(revision int) string { return listOf(revision, true, serving("e", "127.0.0.1:9", 7, "SERVING")) }
	for _, c := range []struct {
		name   string
		spoilt func(w http.ResponseWriter, req *http.Request) // the second watch, after one that told revision 4
		reason string
		again  bool // it tells revision 4 more than once
	}{
		{"turned away", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "503", false},
		{"closes half way through a list", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, whole(9)[:30])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, "EOF", false},
		{"tells what is no list", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"revision":"nine"}`) }, "cannot unmarshal", false},
		{"writes empty lines without end", func(w http.ResponseWriter, _ *http.Request) {
			for err := error(nil); err == nil; {
				_, err = fmt.Fprintln(w)
			}
		}, "over 100 lines in 1s that tell nothing", false},
		{"tells the same without end", func(w http.ResponseWriter, _ *http.Request) {
			for err := error(nil); err == nil; {
				_, err = fmt.Fprintln(w, listOf(4, false))
			}
		}, "over 100 lines in 1s that tell nothing", true},
		{"accepts and is silent", func(w http.ResponseWriter, req *http.Request) { <-req.Context().Done() }, "no line for 2.5s", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var asked []string
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				mu.Lock()
				asked = append(asked, req.URL.Query().Get("after"))
				n := len(asked)
				mu.Unlock()
				switch n {
				case 1:
					fmt.Fprintln(w, whole(4))
				case 2:
					c.spoilt(w, req)
				default:
					fmt.Fprintln(w, whole(5))
					w.(http.Flusher).Flush()
					<-req.Context().Done()
				}
			}))
			defer srv.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var text bytes.Buffer
			var told []int64
			watch(ctx, slog.New(slog.NewTextHandler(&text, nil)), srv.Client(), srv.Listener.Addr().String(), 2, 1, true, func(l list) error {
				if told = append(told, l.Revision); l.Revision == 5 {
					cancel()
				}
				return nil
			})
			if c.again {
				told = slices.Compact(told)
			}
			if !slices.Equal(asked, []string{"2", "4", "4"}) || !slices.Equal(told, []int64{4, 5}) {
				t.Errorf("asked for what comes after %v, told %v", asked, told)
			}
			if !strings.Contains(text.String(), c.reason) {
				t.Errorf("the log does not say %q:\n%s", c.reason, text.String())
			}
		})
	}
}

// What a list says that the settings do not know is told in words, member by member.
func TestOddMembers(t *testing.T) {
	names := wire.Names{Zones: []string{"a", "b"}, Kinds: []string{"plain"}}
	good := member{ID: "good", Locality: "b", Flavor: "plain", Phase: "SERVING"}
	for _, c := range []struct {
		name string
		with func(m *member)
		want string
	}{
		{"nothing", func(*member) {}, ""},
		{"phase", func(m *member) { m.Phase = "RESTING" }, `odd has the unknown phase "RESTING", and is taken as draining`},
		{"zone", func(m *member) { m.Locality = "c" }, `odd is in "c", a zone that the settings do not name`},
		{"kind", func(m *member) { m.Flavor = "" }, `odd is of kind "", which the settings do not name`},
		{"gone", func(m *member) { m.Phase, m.Locality, m.Flavor = "DELETED", "", "" }, ""},
	} {
		odd := good
		odd.ID = "odd"
		c.with(&odd)
		l := list{Members: []member{good, odd}}
		if got := strings.Join(l.odd(names), "; "); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		if got := l.told(names); len(got.Members) != 2 {
			t.Errorf("%s: %d members are told", c.name, len(got.Members))
		}
	}
}
