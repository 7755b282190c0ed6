package node

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/node/pairing"
)

// restingPool is a pool as a node has it: connections rest between calls.
func restingPool(maxIdle int) *pool {
	return newPool(2*time.Second, time.Minute, maxIdle, slog.New(slog.DiscardHandler))
}

// Guards against silence behind a copy of a response that is taken for the proof that the next call was answered.
func TestAHangBehindACopyProvesNothing(t *testing.T) {
	for i, said := range []string{delivered, turnedAway, delivered} {
		for _, lag := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			for _, full := range []bool{false, true} {
				t.Run(fmt.Sprintf("%.12s, once %v, %v behind, full %v", said, i == 2, lag, full), func(t *testing.T) {
					t.Parallel()
					var calls atomic.Int32
					p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
						if calls.Add(1) > 1 {
							return silent(nc, req)
						}
						time.AfterFunc(lag, func() { says(said)(nc, nil) })
						return says(said)(nc, nil)
					})
					pool, call := restingPool(16), testCall(endpointAt(p.Addr()))
					if full {
						pool.maxIdle = 1
					}
					pool.Attempt(t.Context(), call)
					call.NotPast = time.Now().Add(3 * time.Second)
					call.Once = i == 2
					_, final := settledBy(t, pool, call)
					if final.Outcome == choice.Pass || final.NotRun {
						t.Errorf("got %+v", final)
					}
				})
			}
		}
	}
}

// Guards against calls to a healthy endpoint that are not believed, or wait, since all its responses are alike: they would be made again, or reported.
func TestEqualResponsesOfAHealthyEndpointAreBelieved(t *testing.T) {
	for _, clump := range []int{8, 48} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("clumps of %d, once %v", clump, once), func(t *testing.T) {
				t.Parallel()
				equalResponsesAreBelieved(t, clump, once)
			})
		}
	}
}

func equalResponsesAreBelieved(t *testing.T, clump int, once bool) {
	const clumps = 3
	p := newPartner(t, says(delivered))
	pool, call := restingPool(2*clump), testCall(endpointAt(p.Addr()))
	call.Once = once
	finals := make(chan delivery.Result)
	for range clumps {
		for range clump {
			go func() {
				call := call
				settled := make(chan *delivery.Result, 1)
				call.Settle = func(r *delivery.Result) { settled <- r }
				got := pool.Attempt(t.Context(), call)
				if got.Undecided {
					if final := <-settled; final != nil {
						got = *final
					}
				}
				finals <- got
			}()
		}
		for range clump {
			if got := <-finals; got.Outcome != choice.Pass {
				t.Errorf("got %+v", got)
			}
		}
		time.Sleep(2 * copySpan) // the time between clumps
	}
	if calls, conns := p.counts(); calls != clumps*clump || conns > 2*clump {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// Guards against a refused message that counts as delivered, since responses to the calls before it came twice and later than the next requests.
func TestResponsesThatComeLateAndTwiceDeliverNoRefusedMessage(t *testing.T) {
	var requests atomic.Int32
	p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
		if requests.Add(1) < 5 { // its own, a copy of it, the second one's own, a copy of that
			return says(delivered)(nc, req)
		}
		return says(turnedAway)(nc, req) // the third one's own
	})
	pool := newPool(2*time.Second, time.Minute, 1, slog.New(slog.DiscardHandler)) // one connection, so that none rests
	call := testCall(endpointAt(p.Addr()))
	call.UndecidedFor = 2 * time.Second
	third := make(chan *delivery.Result, 1)
	for i := range 5 {
		call.Settle = func(r *delivery.Result) {
			if i == 2 {
				third <- r
			}
		}
		pool.Attempt(t.Context(), call)
	}
	if final := <-third; final == nil || final.Outcome == choice.Pass || final.NotRun {
		t.Errorf("got %+v", final)
	}
	if _, conns := p.counts(); conns != 1 {
		t.Errorf("%d connections", conns)
	}
}

// Guards against a response in doubt that counts without a proof, and against one that is given up though a proof comes later.
func TestAResponseInDoubtIsSettledByWhatComesLater(t *testing.T) {
	const idle = 2 * time.Second // of connections, by the settings
	last := strings.Replace(delivered, "\r\n", "\r\nConnection: close\r\n", 1)
	hang := func(nc net.Conn, _ *http.Request) bool { return silent(nc, nil) }
	for _, c := range []struct {
		name   string
		next   func(net.Conn, *http.Request) bool // what the next calls meet, later than clearAfter
		calls  int                                // so many
		ends   time.Duration                      // when the endpoint ends the connection, after its response; 0 for never
		resets bool
		want   choice.Outcome
	}{
		{"the next one is marked", says(last), 1, 0, false, choice.Pass},
		{"the next one is equal, as a copy may be", says(delivered), 1, 0, false, choice.Cut},
		{"more are equal than copies may be", says(delivered), pairing.MostCopies, 0, false, choice.Pass},
		{"the next one is another", says(turnedAway), 1, 0, false, choice.Cut},
		{"the next one is equal, and its connection ends", func(nc net.Conn, req *http.Request) bool {
			says(delivered)(nc, req)
			return false
		}, 1, 0, false, choice.Cut},
		{"the next one never comes", hang, 1, 0, false, choice.Cut},
		{"an end at its time", nil, 0, idle, false, choice.Pass},
		{"an early end", nil, 0, idle / 3, false, choice.Cut},
		{"a reset", nil, 0, idle, true, choice.Cut},
		{"nothing", nil, 0, 0, false, choice.Cut},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
				if calls.Add(1) > 2 {
					return c.next(nc, req)
				}
				if c.ends > 0 && calls.Load() == 2 {
					time.AfterFunc(c.ends, func() {
						if c.resets {
							nc.(*net.TCPConn).SetLinger(0)
						}
						nc.Close()
					})
				}
				return says(delivered)(nc, req)
			})
			pool := newPool(2*time.Second, idle, 1, slog.New(slog.DiscardHandler)) // one connection, so that none rests
			call := testCall(endpointAt(p.Addr()))
			pool.Attempt(t.Context(), call)
			settled := make(chan *delivery.Result, 1)
			call.Settle = func(r *delivery.Result) { settled <- r }
			call.UndecidedFor = 2500 * time.Millisecond
			if got := pool.Attempt(t.Context(), call); !got.Undecided {
				t.Fatalf("got %+v", got)
			}
			if c.calls == 1 {
				time.Sleep(clearAfter + 50*time.Millisecond)
			}
			for range c.calls {
				next := testCall(call.Endpoint)
				next.NotPast = time.Now().Add(300 * time.Millisecond)
				next.Settle = func(*delivery.Result) {}
				pool.Attempt(t.Context(), next)
			}
			got := choice.Pass
			if final := <-settled; final != nil {
				got = final.Outcome
			}
			if _, conns := p.counts(); got != c.want || conns != 1 {
				t.Errorf("%v on %d connections, want %v", got, conns, c.want)
			}
		})
	}
}

// Guards against more connections to a sound endpoint than calls need whose doubt can wait for its proof, and against calls without time for that on
// connections that did not rest.
func TestConnectionsRestForCallsThatCannotWaitForTheirProof(t *testing.T) {
	const idle, calls = time.Second, 2 * mostUnrested
	for _, c := range []struct {
		name    string
		wait    time.Duration // for which a call may stay undecided
		refuses bool          // the endpoint turned the first call away, and ended its connection
		conns   int
	}{
		{"time for the proof", time.Minute, false, mostUnrested},
		{"time for the proof, at an endpoint that refuses", time.Minute, true, calls},
		{"too little time", idle, false, calls},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var count atomic.Int32
			p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
				if first := count.Add(1) == 1; first && c.refuses {
					says(turnedAway)(nc, nil)
					return false
				}
				return says(delivered)(nc, nil)
			})
			pool := newPool(2*time.Second, idle, 4*calls, slog.New(slog.DiscardHandler))
			pool.restFor = time.Minute
			call := testCall(endpointAt(p.Addr()))
			call.UndecidedFor, call.Settle = c.wait, func(*delivery.Result) {}
			for range calls {
				pool.Attempt(t.Context(), call)
			}
			if _, conns := p.counts(); conns != c.conns {
				t.Errorf("%d connections for %d calls, want %d", conns, calls, c.conns)
			}
		})
	}
}
