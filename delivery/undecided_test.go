package delivery

import (
	"context"
	"testing"
	"time"

	"starlingusher/choice"
)

// undecidedCarrier passes each first attempt undecided, and leaves to the test what became of it.
func undecidedCarrier(settle *func(*Result)) *carrier {
	calls := 0
	return newCarrier(func(_ context.Context, a Attempt) Result {
		if calls++; calls > 1 {
			return Result{Outcome: choice.Pass, Closed: true}
		}
		*settle = a.Settle
		return Result{Outcome: choice.Pass, Closed: true, Kept: true, Undecided: true}
	})
}

// Guards against a message that is forgotten by an answer which turns out to be another call's.
func TestAnUndecidedMessageIsOwedUntilItIsSettled(t *testing.T) {
	for name, c := range map[string]struct {
		final *Result
		calls int
	}{
		"the answer stands":        {nil, 1},
		"it was refused":           {&Result{Outcome: choice.NoRoom, NotRun: true, Kept: true}, 2},
		"it may have run":          {&Result{Outcome: choice.Cut, Kept: true}, 2},
		"another one delivered it": {&Result{Outcome: choice.Pass, Closed: true, Kept: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var settle func(*Result)
			carried := undecidedCarrier(&settle)
			n := bare(t, carried, at(t, "e", 7))
			a := n.handIn("a", 50*time.Second)
			n.take(t.Context(), []any{a})
			<-a.reply
			n.take(t.Context(), []any{<-n.events})
			if p := n.messages["a"]; p == nil || p.ended != nil || n.unsettled != 1 || n.held != 1 {
				t.Fatalf("undecided: %+v, %d unsettled, %d held", p, n.unsettled, n.held)
			}
			settle(c.final)
			for end := time.Now().Add(20 * time.Second); n.messages["a"] != nil && time.Now().Before(end); {
				select {
				case e := <-n.events:
					n.take(t.Context(), []any{e})
				case <-time.After(n.untilWake()):
					n.take(t.Context(), nil)
				}
			}
			if n.messages["a"] != nil || n.unsettled != 0 || len(n.out) != 0 || len(carried.ids()) != c.calls {
				t.Errorf("%d unsettled, %d out, calls %v", n.unsettled, len(n.out), carried.ids())
			}
			close(n.quit)
			n.calls.Wait()
		})
	}
}

// Guards against a message that an old answer ends for good because the process ended before it was settled.
func TestAnUndecidedMessageIsResumedAfterARestart(t *testing.T) {
	var settle func(*Result)
	n := bare(t, undecidedCarrier(&settle), at(t, "e", 7))
	a := n.handIn("a", 50*time.Second)
	n.take(t.Context(), []any{a})
	<-a.reply
	n.take(t.Context(), []any{<-n.events})
	close(n.quit)
	settle(nil) // nobody takes it any more, and it holds nobody up
	n.calls.Wait()
	state := n.cfg.State
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	if owed := openTest(t, state, 3).live; len(owed) != 1 {
		t.Errorf("%d messages are owed", len(owed))
	}
}

// Guards against a next life that sends a message again which its endpoint said is over, or gives one up of which that turned out not to be so.
func TestTheNextLifeKnowsWhatMayBeOver(t *testing.T) {
	corrected := &Result{Outcome: choice.NoRoom, NotRun: true, Kept: true, Wait: time.Hour}
	for name, c := range map[string]struct {
		final     *Result
		compact   bool
		mayBeOver bool
	}{
		"undecided":            {nil, false, true},
		"undecided, compacted": {nil, true, true},
		"refused after all":    {corrected, false, false},
		"refused, compacted":   {corrected, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var settle func(*Result)
			n := bare(t, newCarrier(func(_ context.Context, a Attempt) Result {
				settle = a.Settle
				return Result{Outcome: choice.Stale, NotRun: true, Closed: true, Kept: true, Undecided: true, Replies: choice.RepliesOf(choice.ReplyOver)}
			}), at(t, "e", 7))
			a := n.handIn("a", 50*time.Second)
			n.take(t.Context(), []any{a})
			<-a.reply
			n.take(t.Context(), []any{<-n.events})
			if c.final != nil {
				settle(c.final)
				n.take(t.Context(), []any{<-n.events})
			}
			if c.compact {
				if err := n.journal.compact(); err != nil {
					t.Fatal(err)
				}
			}
			close(n.quit)
			n.calls.Wait()
			if err := n.Close(); err != nil {
				t.Fatal(err)
			}
			owed := openTest(t, n.cfg.State, 3).live
			if len(owed) != 1 {
				t.Fatalf("%d messages are owed", len(owed))
			}
			for _, p := range owed {
				if p.sends[0].mayBeOver != c.mayBeOver {
					t.Errorf("%+v", p.sends)
				}
			}
		})
	}
}

// Guards against a message that stays undecided for so long that it can't be repeated in time, or that others of its key wait.
func TestNoMessageStaysUndecidedForTooLong(t *testing.T) {
	n := bare(t, newCarrier(pass), held())
	now := time.Now()
	for name, c := range map[string]struct {
		class choice.Class
		key   string
		want  time.Duration // from now; 0 for no longer than it takes
	}{
		"safe":                 {choice.Class{Effect: choice.Safe}, "", 10 * time.Second},
		"keyed":                {choice.Class{Effect: choice.Keyed, Window: 4 * time.Second}, "k", 2 * time.Second},
		"keyed, a long window": {choice.Class{Effect: choice.Keyed, Window: time.Minute}, "k", 10 * time.Second},
		"unsafe":               {choice.Class{Effect: choice.Unsafe}, "", 20 * time.Second},
		"in turn":              {choice.Class{Effect: choice.Unsafe, Ordered: true}, "k", 0},
	} {
		n.cfg.Settings.Classes = []choice.Class{c.class}
		if got := n.undecidedFor(&past{key: c.key, deadline: now.Add(20 * time.Second)}, now); got != c.want {
			t.Errorf("%s: for %v", name, got)
		}
	}
}
