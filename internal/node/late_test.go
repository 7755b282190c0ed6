package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
)

// trickledTo makes a call to a partner that writes a text a byte at a time, and then says nothing more.
func trickledTo(t *testing.T, text string, pause time.Duration) delivery.Result {
	t.Helper()
	p := testPool()
	var serving sync.WaitGroup
	defer serving.Wait()
	p.connect = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		serving.Go(func() {
			defer far.Close()
			if req, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				io.Copy(io.Discard, req.Body)
			}
			for i := range text {
				time.Sleep(pause)
				if _, err := io.WriteString(far, text[i:i+1]); err != nil {
					return
				}
			}
			io.Copy(io.Discard, far)
		})
		return near, nil
	}
	got := p.Attempt(t.Context(), testCall(endpointAt("partner:1")))
	p.Close()
	return got
}

// Guards against a refusal, and a wait in it, that is thrown away since its bytes come slowly.
func TestASlowRefusalIsHeard(t *testing.T) {
	const wait = "HTTP/1.1 429 No\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nbusy"
	for _, times := range []float64{0.5, 0.9, 1.1, 3} {
		t.Run(fmt.Sprint(times, " times the bound"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := trickledTo(t, wait, time.Duration(times*float64(answerTimeout))/time.Duration(len(wait)))
				if got.Outcome != choice.NoRoom || !got.NotRun || got.Wait != 3*time.Second {
					t.Errorf("got %+v", got)
				}
			})
		})
	}
	t.Run("for ever", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			got := trickledTo(t, wait[:len(wait)-4]+wait, answerTimeout/2)
			if took := time.Since(began); got.Outcome != choice.Cut || took > wholeTimeout+answerTimeout {
				t.Errorf("got %+v after %v", got, took)
			}
		})
	})
}

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

// heldUpConn is a connection of a process that is held up ahead of one of its reads.
type heldUpConn struct {
	*net.TCPConn
	reads   int
	heldUp  int // number of the read that waits
	arrived chan struct{}
	goOn    chan struct{}
}

// Read implements io.Reader.
func (c *heldUpConn) Read(b []byte) (int, error) {
	if c.reads++; c.reads == c.heldUp {
		close(c.arrived)
		<-c.goOn
	}
	return c.TCPConn.Read(b)
}

// Guards against a response that is thrown away, so that its message is called again, since the process was held up past the time for it.
func TestAResponseThatArrivesWhileTheProcessIsHeldUpCounts(t *testing.T) {
	const over = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name    string
		pieces  []string
		heldUp  int // ahead of the read of that number
		span    time.Duration
		givenUp bool
	}{
		{"the call is given up", []string{over}, 1, 100 * time.Millisecond, true},
		{"the time between its pieces is over", []string{over[:20], over[20:]}, 2, answerTimeout + 100*time.Millisecond, false},
		{"the time for all of it is over", []string{over[:20], over[20:]}, 2, wholeTimeout + 100*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, next, written := testPool(), make(chan struct{}, len(c.pieces)), make(chan struct{})
			server := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
				for _, piece := range c.pieces {
					<-next
					io.WriteString(nc, piece) // an error shows in the call
				}
				close(written)
				return true
			})
			held := &heldUpConn{heldUp: c.heldUp, arrived: make(chan struct{}), goOn: make(chan struct{})}
			p.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := new(net.Dialer).DialContext(ctx, network, addr)
				if err == nil {
					held.TCPConn = nc.(*net.TCPConn)
				}
				return held, err
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan delivery.Result)
			go func() { ended <- p.Attempt(ctx, testCall(endpointAt(server.Addr()))) }()
			for range c.heldUp - 1 {
				next <- struct{}{}
			}
			<-held.arrived
			for range len(c.pieces) - c.heldUp + 1 {
				next <- struct{}{}
			}
			<-written
			if c.givenUp {
				cancel()
			}
			time.AfterFunc(c.span, func() { close(held.goOn) })
			if got := <-ended; got.Outcome != choice.Stale || !got.Closed || !got.NotRun {
				t.Errorf("got %+v", got)
			}
		})
	}
}
