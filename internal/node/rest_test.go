package node

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
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
