package delivery

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/choice"
)

// TestARestartDoesNotForgetAnOutage guards against a node that met a failure, restarts, and sends at full speed to a server that returns.
func TestARestartDoesNotForgetAnOutage(t *testing.T) {
	// One refusal may be of a limit that was busy for a moment, until an outage could have passed.
	away := map[string]time.Duration{"fault": time.Second, "refusal": 4 * time.Second}
	for name, met := range map[string]Result{"fault": {Outcome: choice.Fault}, "refusal": {Outcome: choice.NoRoom, NotRun: true}} {
		for _, compact := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, compact %v", name, compact), func(t *testing.T) { restartInOutage(t, met, away[name], compact) })
		}
	}
}

// restartInOutage restarts a node that met an outage at its only server.
func restartInOutage(t *testing.T, met Result, away time.Duration, compact bool) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config(t.TempDir(), at(t, "e", 7))
		cfg.Settings.Fleet, cfg.Settings.Slots, cfg.Settings.MaxOpen = 33, 20, 100
		cfg.Known.Members[0].Weight = 10
		cfg.Settings.Fall, cfg.Settings.FallMultiple = 2*time.Second, 1.5
		cfg.Settings.ColdFrom, cfg.Settings.WarmWithin = 0.2, 10*time.Second
		out := newCarrier(always(met))
		n, stop := start(t, cfg, Front{Carrier: out, Sink: &sink{}})
		if a := n.Hand("", message("payout", payout, 50*time.Second)); a != (Answer{}) {
			t.Fatalf("got %+v", a)
		}
		synctest.Wait()
		if compact {
			if err := n.journal.compact(); err != nil {
				t.Fatal(err)
			}
		}
		stop()
		time.Sleep(away)

		var calls atomic.Int32
		n, stop = start(t, cfg, Front{Sink: &sink{}, Carrier: newCarrier(func(context.Context, Attempt) Result {
			calls.Add(1)
			return Result{Outcome: choice.Pass, Closed: true}
		})})
		for i := range 10 {
			if a := n.Hand("", message(fmt.Sprint("m", i), status, 50*time.Second)); a != (Answer{}) {
				t.Fatalf("got %+v", a)
			}
		}
		time.Sleep(2 * time.Second)
		if got := calls.Load(); got > 1 {
			t.Errorf("%d calls within 2 s of the restart by a node of 33 that was told of the outage, one is allowed", got)
		}
		stop()
	})
}
