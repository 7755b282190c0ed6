package delivery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/choice"
)

// steppedClock is the machine's clock beside a wall clock that was stepped between two lives.
type steppedClock struct {
	boot  string
	began time.Time
	ahead time.Duration // of the wall clock since then
}

func (c *steppedClock) read() (string, time.Duration, bool) {
	return c.boot, time.Hour + time.Since(c.began) - c.ahead, true
}

// TestSpansOfTimeOutlastAStepOfTheWallClock guards against windows, deadlines and waits that a step between two lives ends or stretches.
func TestSpansOfTimeOutlastAStepOfTheWallClock(t *testing.T) {
	// The bubble's clock is the wall's. A step forward by an hour is a sleep of which the machine's clock has only the rest;
	// after a step back its clock has gone on for longer than the wall's.
	for _, c := range []struct {
		name             string
		wall, real       time.Duration // between the lives
		boot             string
		sent             bool // the keyed message, whose window is a minute, is repeated
		expired, waiting bool // the deadline of 50 s and the wait of 10 s
	}{
		{name: "no step", wall: time.Second, real: time.Second, boot: "a", sent: true, waiting: true},
		{name: "an hour forward", wall: time.Hour + time.Second, real: time.Second, boot: "a", sent: true, waiting: true},
		{name: "five seconds forward", wall: 12 * time.Second, real: 7 * time.Second, boot: "a", sent: true, waiting: true},
		{name: "five seconds back", wall: time.Second, real: 6 * time.Second, boot: "a", sent: true, waiting: true},
		{name: "an hour back", wall: time.Second, real: time.Hour + time.Second, boot: "a", expired: true},
		{name: "another start of the machine", wall: time.Second, real: time.Second, boot: "b", waiting: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				machine := &steppedClock{boot: "a", began: time.Now()}
				cfg := config(t.TempDir(), at(t, "e", 7), at(t, "f", 8))
				cfg.Boot = machine.read
				silent := newCarrier(func(ctx context.Context, a Attempt) Result {
					if a.Endpoint.ID == "f" {
						return Result{Outcome: choice.NoRoom, NotRun: true, Wait: 10 * time.Second}
					}
					<-ctx.Done()
					return Result{Outcome: choice.Cut}
				})
				n, stop := start(t, cfg, Front{Carrier: silent, Sink: &sink{}})
				keyed := message("keyed", order, 50*time.Second)
				keyed.Key = "k"
				told := message("told", status, 50*time.Second)
				told.Dest = 8
				for _, m := range []Message{keyed, told} {
					if a := n.Hand("", m); a != (Answer{}) {
						t.Fatalf("got %+v", a)
					}
				}
				synctest.Wait()
				stop()
				time.Sleep(c.wall)
				machine.ahead, machine.boot = c.wall-c.real, c.boot

				sent := map[string]bool{}
				again, ends := newCarrier(func(_ context.Context, a Attempt) Result {
					return Result{Outcome: choice.Pass, Closed: true}
				}), &sink{}
				_, stop = start(t, cfg, Front{Carrier: again, Sink: ends})
				time.Sleep(time.Second)
				synctest.Wait()
				stop()
				for _, a := range again.calls {
					sent[a.ID] = true
				}
				if sent["keyed"] != c.sent {
					t.Errorf("the keyed message was sent again: %v, want %v", sent["keyed"], c.sent)
				}
				if want := !c.expired && !c.waiting; sent["told"] != want {
					t.Errorf("the message whose destination told a wait was sent: %v, want %v", sent["told"], want)
				}
				if keyed, told := ends.state("keyed"), ends.state("told"); c.expired && (keyed != "failed" || told != "returned") {
					t.Errorf("past their time they ended %q and %q", keyed, told)
				}
			})
		})
	}
}
