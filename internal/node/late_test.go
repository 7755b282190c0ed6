package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/choice"
)

// A repeat that is dropped as one only until its time must not go out later, though the connection for it was asked for in
// time and has come up: a dial to a part of the network that was cut off takes up to a second.
func TestARepeatIsNotWrittenAfterItsTime(t *testing.T) {
	for _, tc := range []struct {
		name  string
		dial  time.Duration
		by    time.Duration // after the start; 0 for any time
		calls int
	}{
		{"in time", time.Second, 1001 * time.Millisecond, 1},
		{"late", time.Second, 999 * time.Millisecond, 0},
		{"any time", time.Second, 0, 1},
		{"over before", 0, -time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, calls := testPool(), 0
				p.connect = func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(tc.dial)
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						if req, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
							io.Copy(io.Discard, req.Body)
							calls++
							io.WriteString(far, delivered)
						}
					}()
					return near, nil
				}
				a := testCall(endpointAt("partner:1"))
				if tc.by != 0 {
					a.BeginBy = time.Now().Add(tc.by)
				}
				got := p.Attempt(t.Context(), a)
				p.Close()
				synctest.Wait()
				if calls != tc.calls {
					t.Errorf("%d calls, want %d", calls, tc.calls)
				}
				if tc.calls == 0 && (got.Outcome != choice.Stale || !got.NotRun) {
					t.Errorf("got %+v, want that it is stale and has not run", got)
				}
			})
		})
	}
}
