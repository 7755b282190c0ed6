package delivery

import (
	"context"
	"sync"
	"testing"
	"time"

	"starlingusher/choice"
)

// slowSink holds all acknowledgements back until it is released.
type slowSink struct {
	sink
	release chan struct{}
}

func (s *slowSink) Serve(ctx context.Context, from Outbox, acknowledged func([]End)) {
	SinkFunc(s.Take).Serve(ctx, from, func(ends []End) {
		select {
		case <-s.release:
			acknowledged(ends)
		case <-ctx.Done():
		}
	})
}

// Guards against a message that was told to be processed and whose end nobody hears of: it is kept as undelivered and told to the sink, as failed since
// nobody hands it in again, and kept in the journal until both the sink and the front have acknowledged it.
func TestAnEndThatNobodyComesAgainAfterIsToldAndKept(t *testing.T) {
	for _, c := range []struct {
		name  string
		keeps bool // the keeper can keep it
		class int
		life  time.Duration
		do    func(context.Context, Attempt) Result
		want  State
	}{
		{"never reached", true, payout, 200 * time.Millisecond, always(Result{Outcome: choice.NoRoute, NotRun: true}), Failed},
		{"never reached, and the keeper is full", false, payout, 200 * time.Millisecond, always(Result{Outcome: choice.NoRoute, NotRun: true}), Failed},
		{"may have run", true, payout, time.Second, always(Result{Outcome: choice.Cut}), Failed},
		{"may have run, keyed", true, order, 200 * time.Millisecond, always(Result{Outcome: choice.Fault}), Failed},
		{"refused for good", true, payout, time.Second, always(Result{Outcome: choice.Pass, Closed: true, Refused: true, Code: 7}), Refused},
		{"delivered", true, payout, time.Second, always(Result{Outcome: choice.Pass, Closed: true}), Delivered},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			state, k := t.TempDir(), &keeper{fails: !c.keeps}
			told := &slowSink{release: make(chan struct{})}
			front := Front{Name: "bank", Carrier: newCarrier(c.do), Sink: told, NoRetry: true}
			n, stop := start(t, keeping(state, k, at(t, "e", 7)), front)
			m := message("a", c.class, c.life)
			m.Keep = true
			if a := n.Hand("bank", m); a != (Answer{}) {
				t.Fatalf("not taken on: %+v", a)
			}
			over := func() bool {
				ends, err := n.Ends(t.Context(), "bank")
				return err == nil && len(ends) == 1 && ends[0].State == c.want
			}
			eventually(t, "the end is kept", over)
			lost := c.want != Delivered
			if lost {
				eventually(t, "the sink is told", func() bool { return told.state("a") == c.want.String() })
				// The front has it; the sink has not acknowledged it.
				if err := n.Acknowledge(t.Context(), "bank", "a"); err != nil || !over() {
					t.Errorf("forgotten before the sink has acknowledged it, %v", err)
				}
			}
			if kept, _ := k.count(); (kept == 1) != (lost && c.keeps) {
				t.Errorf("%d are kept as undelivered", kept)
			}
			stop()
			told = &slowSink{release: make(chan struct{})}
			front.Sink = told
			n, stop = start(t, keeping(state, k, at(t, "e", 7)), front)
			if lost {
				eventually(t, "the sink is told again in the next life", func() bool { return told.state("a") == c.want.String() })
			}
			close(told.release)
			if a := n.Hand("bank", m); a != (Answer{}) {
				t.Errorf("a repeat is answered with %+v", a)
			}
			eventually(t, "both have acknowledged it", func() bool {
				if err := n.Acknowledge(t.Context(), "bank", "a"); err != nil {
					return false
				}
				ends, err := n.Ends(t.Context(), "bank")
				return err == nil && len(ends) == 0
			})
			stop()
			told.mu.Lock()
			defer told.mu.Unlock()
			if !lost && len(told.ends) > 0 {
				t.Errorf("the sink was told of a delivery: %+v", told.ends)
			}
			if left := openTest(t, state, 3).live; len(left) != 0 {
				t.Errorf("%d are left in the journal", len(left))
			}
		})
	}
}

// Guards against two fronts whose ends go the same way being told for each other.
func TestASinkOfTwoFrontsAcknowledgesEachForItself(t *testing.T) {
	shared := &sink{}
	c := newCarrier(always(Result{Outcome: choice.NoRoute, NotRun: true}))
	n, stop := start(t, config(t.TempDir(), at(t, "e", 7)), Front{Carrier: c, Sink: shared}, Front{Name: "bank", Carrier: c, Sink: shared, NoRetry: true})
	var handing sync.WaitGroup
	for _, front := range []string{"", "bank"} {
		handing.Go(func() {
			m := message("a", payout, 200*time.Millisecond)
			m.Keep = front != ""
			if a := n.Hand(front, m); a != (Answer{}) {
				t.Errorf("front %q: %+v", front, a)
			}
		})
	}
	handing.Wait()
	eventually(t, "both ends are told", func() bool {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		states := map[State]int{}
		for _, e := range shared.ends {
			states[e.State]++
		}
		return states[Returned] == 1 && states[Failed] == 1
	})
	stop()
}
