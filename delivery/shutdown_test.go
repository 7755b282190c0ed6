package delivery

import (
	"context"
	"fmt"
	"testing"
	"time"

	"starlingusher/choice"
)

// Guards against a process that ends by itself at the very end of a shutdown: an undecided call has been left to the next life, and what settles it comes while
// the end of another call is waited for.
func TestACallThatIsSettledWhileTheEngineEndsIsLeftToTheNextLife(t *testing.T) {
	for name, settle := range map[string]*Result{
		"its answer stands": nil,
		"it may have run":   {Outcome: choice.Cut},
		"it is delivered":   {Outcome: choice.Pass, Closed: true},
	} {
		t.Run(name, func(t *testing.T) {
			const undecided = 4
			settles := make(chan func(*Result), undecided)
			c := newCarrier(func(ctx context.Context, a Attempt) Result {
				if a.Class == status {
					settles <- a.Settle
					return Result{Outcome: choice.Pass, Closed: true, Undecided: true}
				}
				<-ctx.Done() // the engine calls it off once it has left the others to the next life
				for range undecided {
					go (<-settles)(settle)
				}
				time.Sleep(50 * time.Millisecond) // their events are there before the end of this call
				return Result{Outcome: choice.Undone}
			})
			cfg := config(t.TempDir(), at(t, "e", 7))
			cfg.Settings.MaxOpen = 9
			n, stop := start(t, cfg, Front{Carrier: c, Sink: &sink{}})
			for i := range undecided {
				if a := n.Hand("", message(fmt.Sprint("undecided", i), status, 50*time.Second)); a != (Answer{}) {
					t.Fatalf("got %+v", a)
				}
			}
			eventually(t, "the answers are there", func() bool { return len(settles) == undecided })
			if a := n.Hand("", message("out", payout, 50*time.Second)); a != (Answer{}) {
				t.Fatalf("got %+v", a)
			}
			eventually(t, "all calls are out", func() bool { return len(c.ids()) == undecided+1 })
			stop()
			if left := openTest(t, cfg.State, 3).live; len(left) != undecided+1 {
				t.Errorf("%d messages are left to the next life", len(left))
			}
		})
	}
}
