package delivery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/choice"
)

// staleCopy is a copy of a lost journal, of before its messages were sent: one order that was not tried, one whose first attempt is known, a payout and
// a status.
func staleCopy(t *testing.T, attempt time.Time) (dir string) {
	t.Helper()
	dir = t.TempDir()
	j, err := openJournal(dir, 3, time.Now(), nil)
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(50 * time.Second)
	for id, class := range map[string]int{"untried": order, "tried": order, "payout": payout, "status": status} {
		p, err := j.accept(&past{id: id, key: "key of " + id, class: class, dest: 7, deadline: deadline, body: []byte(id)})
		if err != nil {
			t.Fatal(err)
		}
		if id == "tried" {
			j.add(attemptRecord(p.seq, j.clock.stamp(attempt), 0, ""))
		}
	}
	mustFlush(t, j)
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Guards against an heir with a stale copy that counts a key's window from when it takes the copy up: the partner may have forgotten the key by then. What
// is known of the first attempt still counts, and what may simply be repeated is sent.
func TestAnHeirCountsNoWindowFromAStaleCopy(t *testing.T) {
	for _, window := range []time.Duration{500 * time.Millisecond, 5 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(window), func(t *testing.T) {
			lost := staleCopy(t, time.Now())
			cfg := config(t.TempDir(), at(t, "e", 7))
			cfg.Settings.Classes[order].Window = window
			for life := range 2 {
				c, s := newCarrier(pass), new(sink)
				if life == 0 { // it is killed before it does anything: nothing but the records is left
					c = newCarrier(silent)
				}
				n, stop := start(t, cfg, Front{Carrier: c, Sink: s})
				if life == 0 {
					n.Inherit(t.Context(), lost, true)
					stop()
					continue
				}
				// The next one takes the folder for whole, as its note may say by then.
				if err := n.Inherit(t.Context(), lost, false); err != nil {
					t.Fatal(err)
				}
				eventually(t, "all ends", func() bool {
					open, err := n.Open(t.Context())
					return err == nil && open == 0
				})
				stop()
				for _, id := range c.ids() {
					if id == "untried" || id == "payout" {
						t.Errorf("%s was sent, though it may have run before", id)
					}
				}
			}
		})
	}
}

// Guards against a window that a second start counts by a wall clock which was stepped while the machine was started anew.
func TestNoWindowHoldsInAnyLifeAfterAnotherStartOfTheMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &steppedClock{boot: "a", began: time.Now()}
		cfg := config(t.TempDir(), at(t, "e", 7))
		cfg.Boot = machine.read
		cfg.Settings.Classes[order].Window = time.Hour
		lives := []string{"a", "b", "b"}
		var sent []string
		for life, boot := range lives {
			machine.boot = boot
			c := newCarrier(func(ctx context.Context, _ Attempt) Result {
				if life == 0 {
					<-ctx.Done()
					return Result{Outcome: choice.Cut}
				}
				return Result{Outcome: choice.Pass, Closed: true}
			})
			if life == 1 { // killed before the first decision: its records are written, its ends are not
				n, err := Open(cfg, Front{Carrier: c, Sink: &sink{}})
				if err != nil {
					t.Fatal(err)
				}
				n.replayed()
				if err := n.flush(); err != nil {
					t.Fatal(err)
				}
				n.Close()
				continue
			}
			n, stop := start(t, cfg, Front{Carrier: c, Sink: &sink{}})
			if life == 0 {
				m := message("keyed", order, 50*time.Second)
				m.Key = "k"
				if a := n.Hand("", m); a != (Answer{}) {
					t.Fatalf("got %+v", a)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
			stop()
			sent = append(sent, c.ids()...)
		}
		if len(sent) != 1 {
			t.Errorf("sent %v, once is allowed", sent)
		}
	})
}
