package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/internal/node/jsonstream"
)

// indented is a list with each of its values on a line of its own.
func indented(revision int, members ...string) string {
	var compact any
	if err := json.Unmarshal([]byte(listOf(revision, false, members...)), &compact); err != nil {
		panic(err)
	}
	text, err := json.MarshalIndent(compact, "", "\t")
	if err != nil {
		panic(err)
	}
	return string(text)
}

// piecesBody is a watch's body that hands out one piece after another, each after a pause, and is then silent until it is closed.
func piecesBody(ctx context.Context, pause time.Duration, pieces ...string) io.ReadCloser {
	body, w := io.Pipe()
	go func() {
		for _, piece := range pieces {
			if !sleep(ctx, pause) {
				break
			}
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
		<-ctx.Done()
		w.CloseWithError(ctx.Err())
	}()
	return body
}

// Guards against lists of a watch that are not read since they do not stand on a line of their own: the node then sends messages by the
// list of its configuration.
func TestListsAreReadInAnyFormOfTheirObjects(t *testing.T) {
	e := serving("e", "127.0.0.1:9", 7, "SERVING")
	long := indented(5, e, serving("f", "127.0.0.1:10", 7, "DRAINING"))
	half := strings.Index(long, `"members"`)
	for _, c := range []struct {
		name   string
		pieces []string
	}{
		{"one line each", []string{listOf(4, false, e) + "\n", listOf(5, false, e) + "\n"}},
		{"indented", []string{indented(4, e) + "\n", "\n", indented(5, e) + "\n"}},
		{"with the line ends of another system", []string{strings.ReplaceAll(indented(4, e), "\n", "\r\n") + "\r\n\r\n", strings.ReplaceAll(long, "\n", "\r\n") + "\r\n"}},
		{"nothing between them", []string{indented(4, e) + listOf(5, false, e)}},
		{"two in one line", []string{listOf(4, false, e) + " \t" + listOf(5, false, e) + "\n"}},
		{"no line end behind the last", []string{listOf(4, false, e) + "\n", long}},
		{"white space around", []string{"\n \t\r\n" + indented(4, e) + "\n\n\n  " + indented(5, e) + "\n\n"}},
		{"a byte at a time", strings.Split(indented(4, e)+"\n"+long+"\n", "")},
		{"an empty line before the rest", []string{long[:half], "\n", long[half:] + "\n"}},
		{"many empty lines within", []string{strings.ReplaceAll(indented(5, e), "\n", strings.Repeat("\n", 200)) + "\n"}},
		{"many empty lines between", []string{strings.Repeat("\n", 90) + listOf(4, false, e) + strings.Repeat("\n", 90) + listOf(5, false, e)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				watches := 0
				client := &http.Client{Transport: trips(func(r *http.Request) (*http.Response, error) {
					watches++
					return &http.Response{StatusCode: http.StatusOK, Body: piecesBody(r.Context(), time.Millisecond, c.pieces...)}, nil
				})}
				watch(ctx, slog.New(slog.DiscardHandler), client, "discovery:1", 2, 1, true, func(l list) error {
					if l.Revision == 5 {
						cancel()
					}
					return nil
				})
				if errors.Is(ctx.Err(), context.DeadlineExceeded) || watches != 1 {
					t.Errorf("revision 5 was not told by the first watch; %d were opened", watches)
				}
			})
		})
	}
}

// Guards against a stream that breaks in an object taking what came before it along, and against a reader that waits for an end of an
// object that can have none.
func TestWhatCameBeforeASpoiltObjectIsTold(t *testing.T) {
	e := serving("e", "127.0.0.1:9", 7, "SERVING")
	for _, c := range []struct {
		name, spoilt string
		reason       error
	}{
		{"ends in the middle", indented(5, e)[:40], io.ErrUnexpectedEOF},
		{"no JSON", "<html>", jsonstream.ErrNotAnObject},
		{"a list of lists", "[" + listOf(5, false, e) + "]", jsonstream.ErrNotAnObject},
		{"half of one before the next", listOf(5, false, e)[:50] + "\n" + listOf(6, false, e) + "\n", jsonstream.ErrSyntax},
		{"larger than any list", `{"revision":5,"` + strings.Repeat("x", maxListBytes), jsonstream.ErrTooLong},
		{"white space without end", strings.Repeat(" ", maxListBytes+1), jsonstream.ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &watcher{log: slog.New(slog.DiscardHandler)}
			var told []int64
			w.tell = func(l list) error {
				told = append(told, l.Revision)
				return nil
			}
			w.client = &http.Client{Transport: trips(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(indented(4, e) + "\n" + c.spoilt))}, nil
			})}
			err := w.follow(t.Context(), w.open(func() {}))
			if !errors.Is(err, c.reason) || !slices.Equal(told, []int64{4}) {
				t.Errorf("told %v, ended with %v", told, err)
			}
		})
	}
}

// Guards against an object that never ends: the node hears of a change by another watch, and the watch that has it is given up.
func TestAnObjectThatNeverEndsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 2 * longestObject
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), span)
		defer cancel()
		heard, over := time.Duration(0), make(chan time.Duration, 1)
		watches := 0
		client := &http.Client{Transport: trips(func(r *http.Request) (*http.Response, error) {
			watches++
			if watches > 1 {
				return &http.Response{StatusCode: http.StatusOK, Body: piecesBody(r.Context(), 0, listOf(5, false)+"\n")}, nil
			}
			endless := slices.Repeat([]string{"\n", " "}, int(span/time.Second))
			go func() {
				<-r.Context().Done()
				over <- time.Since(began)
			}()
			return &http.Response{StatusCode: http.StatusOK, Body: piecesBody(r.Context(), time.Second, append([]string{`{"revision":4,`}, endless...)...)}, nil
		})}
		watch(ctx, slog.New(slog.DiscardHandler), client, "discovery:1", 2, 1, true, func(l list) error {
			if heard == 0 {
				heard = time.Since(began)
			}
			return nil
		})
		if told := 6 * time.Second; heard == 0 || heard > told {
			t.Errorf("heard after %v, counts as told after %v", heard, told)
		}
		if given := <-over; given > longestObject+time.Second {
			t.Errorf("given up after %v", given)
		}
	})
}

// Guards against objects that never end on each watch: each is given up in its time, and the node goes on to ask.
func TestObjectsThatNeverEndOnEachWatchAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &watcher{log: slog.New(slog.DiscardHandler)}
		w.client = &http.Client{Transport: trips(func(r *http.Request) (*http.Response, error) {
			pieces := append([]string{"{"}, slices.Repeat([]string{"\n"}, 1000)...)
			return &http.Response{StatusCode: http.StatusOK, Body: piecesBody(r.Context(), time.Second, pieces...)}, nil
		})}
		began := time.Now()
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		err := w.follow(ctx, w.open(func() { cancel(nil) }))
		if took := time.Since(began); !errors.Is(err, errUnfinished) || took > longestObject+2*time.Second {
			t.Errorf("ended with %v after %v", err, took)
		}
		if fmt.Sprint(err) == "" {
			t.Error("no reason is told")
		}
	})
}
