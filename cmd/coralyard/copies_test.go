package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"starlingusher/peers/link"
)

// Guards against a drain that is given up since the voters of leases did not answer once.
func TestADrainOutlastsAnAnswerThatFails(t *testing.T) {
	silence := fmt.Errorf("peers: %w", status.Error(codes.Unavailable, "the voters of leases are not heard"))
	none := status.Error(codes.Unimplemented, "this node has no copies")
	type answer struct {
		d   link.Drained
		err error
	}
	for name, c := range map[string]struct {
		answers []answer // the last one stands
		want    error
		says    int
	}{
		"silence once":  {[]answer{{link.Drained{Open: 7}, nil}, {err: silence}, {link.Drained{Open: 7}, nil}, {link.Drained{Done: true}, nil}}, nil, 4},
		"silence":       {[]answer{{err: silence}}, context.DeadlineExceeded, 1},
		"no copies":     {[]answer{{err: none}}, none, 0},
		"never done":    {[]answer{{link.Drained{Open: 1}, nil}}, context.DeadlineExceeded, 1},
		"done at once":  {[]answer{{link.Drained{Done: true}, nil}}, nil, 1},
		"done at last":  {[]answer{{link.Drained{Open: 1}, nil}, {link.Drained{Open: 1}, nil}, {link.Drained{Done: true}, nil}}, nil, 2},
		"holds changes": {[]answer{{link.Drained{Holds: []string{"a"}}, nil}, {link.Drained{Holds: []string{"b"}}, nil}, {link.Drained{Done: true}, nil}}, nil, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			left := slices.Clone(c.answers)
			var said []string
			err := waitDrained(ctx, time.Second, func(context.Context) (link.Drained, error) {
				a := left[0]
				left = left[min(1, len(left)-1):]
				return a.d, a.err
			}, func(line string) { said = append(said, line) })
			if !errors.Is(err, c.want) || len(said) != c.says {
				t.Errorf("%s: got %v, said %q", name, err, said)
			}
		})
	}
}
