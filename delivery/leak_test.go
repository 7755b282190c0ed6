package delivery

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"starlingusher/choice"
)

// passing is a carrier of which each call passes, and which remembers nothing.
type passing struct{}

func (passing) Attempt(_ context.Context, a Attempt) Result {
	if !a.MayBegin(time.Now()) {
		return Result{Outcome: choice.Stale, NotRun: true}
	}
	return Result{Outcome: choice.Pass, Closed: true}
}
func (passing) HangUp(string, int) {}
func (passing) Close()             {}

// A long run of messages under ever new ids and keys, of endpoints that come and go and of lists leaves live memory where it
// was: less than half of an object for each message.
func TestNothingIsKeptOfWhatIsOver(t *testing.T) {
	const warm, long, each = 1000, 8000, 10 // messages, and those to an endpoint
	endpoint := func(id string) Member {
		m := at(t, id, 7)
		m.Weight = 1e6 // calls a second
		return m
	}
	cfg, members := config(t.TempDir(), endpoint("first")), make(chan List)
	cfg.Members = source(members)
	n, _ := start(t, cfg, Front{Carrier: passing{}, Sink: &sink{}})
	sent := 0
	run := func(count int) {
		for range count {
			if sent%each == 0 {
				members <- List{Complete: true, Members: []Member{endpoint(fmt.Sprint("e", sent))}}
			}
			m := message(fmt.Sprint("m", sent), sent%3, time.Minute)
			m.Keep = false
			if e, err := n.Do(t.Context(), "", m); err != nil || e.State != Delivered {
				t.Fatalf("message %d: %+v, %v", sent, e, err)
			}
			sent++
		}
	}
	live := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapObjects)
	}
	run(warm)
	before := live()
	run(long)
	if more := live() - before; more > long/2 {
		t.Errorf("%d objects more after %d messages", more, long)
	}
}
