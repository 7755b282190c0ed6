package delivery

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"starlingusher/choice"
)

// book is what the partners of all lives have seen, and what the sink was told.
type book struct {
	mu     sync.Mutex
	script []Result
	began  map[string][]bool // by message: of each attempt, whether it may have run
	passed map[string]bool
	ends   map[string][]State
}

// carry is a carrier of one life. Once that is over, whatever its engine still does is not real.
type carry struct {
	b    *book
	life context.Context
}

func (c carry) Attempt(ctx context.Context, a Attempt) Result {
	if a.Endpoint.ClosedTo(time.Now()) || c.life.Err() != nil {
		return Result{Outcome: choice.Stale, NotRun: true}
	}
	c.b.mu.Lock()
	r := Result{Outcome: choice.Pass, Closed: true}
	if len(c.b.script) > 0 {
		r, c.b.script = c.b.script[0], c.b.script[1:]
	}
	n := len(c.b.began[a.ID])
	c.b.began[a.ID] = append(c.b.began[a.ID], !r.NotRun)
	c.b.mu.Unlock()
	took := 100 * time.Millisecond
	if r.Outcome == choice.TooSlow {
		took = time.Until(a.NotPast)
	}
	t := time.NewTimer(took)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		r = Result{Outcome: choice.Undone}
		if c.life.Err() == nil {
			c.b.mu.Lock()
			c.b.began[a.ID][n] = true // called off, it may run all the same
			c.b.mu.Unlock()
		}
	}
	if r.Outcome == choice.Pass && c.life.Err() == nil {
		c.b.mu.Lock()
		c.b.passed[a.ID] = true
		c.b.mu.Unlock()
	}
	return r
}

func (carry) HangUp(string, int) {}
func (carry) Close()             {}

func (c carry) Serve(ctx context.Context, from Outbox, acknowledged func([]End)) {
	SinkFunc(c.Take).Serve(ctx, from, acknowledged)
}

func (c carry) Take(_ context.Context, ends []End) error {
	if c.life.Err() != nil {
		return c.life.Err()
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	for _, e := range ends {
		c.b.ends[e.ID] = append(c.b.ends[e.ID], e.State)
	}
	return nil
}

// Whatever partners do, and wherever processes are killed: an unsafe message is not sent once it may have run, one that
// is returned has not run, and every message that was taken on has one end.
func TestLivesKeepTheRules(t *testing.T) {
	results := []Result{
		{Outcome: choice.Pass, Closed: true}, {Outcome: choice.Fault}, {Outcome: choice.Cut}, {Outcome: choice.TooSlow},
		{Outcome: choice.NoRoom, NotRun: true, Wait: 700 * time.Millisecond}, {Outcome: choice.NoRoom, NotRun: true},
		{Outcome: choice.NoRoute, NotRun: true}, {Outcome: choice.Cut, NotRun: true}, {Outcome: choice.NoRoom},
	}
	root := t.TempDir()
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(results), 0, 30).Draw(rt, "results")
		lives := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 4).Draw(rt, "milliseconds of each life")
		kinds := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 10).Draw(rt, "classes")
		seconds := rapid.SliceOfN(rapid.IntRange(2, 40), 10, 10).Draw(rt, "seconds to live")
		drained := rapid.IntRange(0, len(lives)).Draw(rt, "life without an endpoint")
		round++
		dir := filepath.Join(root, fmt.Sprint(round))
		synctest.Test(t, func(*testing.T) {
			b := &book{script: script, began: map[string][]bool{}, passed: map[string]bool{}, ends: map[string][]State{}}
			taken := map[string]int{}
			for life := range len(lives) + 1 {
				state := filepath.Join(dir, fmt.Sprint(life))
				if err := os.MkdirAll(state, 0o700); err != nil {
					rt.Fatal(err)
				}
				if life > 0 { // what the one before had written when it was killed
					text, err := os.ReadFile(filepath.Join(dir, fmt.Sprint(life-1), journalName))
					if err != nil {
						rt.Fatal(err)
					}
					if err := os.WriteFile(filepath.Join(state, journalName), text, 0o600); err != nil {
						rt.Fatal(err)
					}
				}
				alive, kill := context.WithCancel(context.Background())
				c := carry{b, alive}
				member := Member{ID: "e", Addr: "e", Dest: 7, Weight: 1000}
				if life == drained && life < len(lives) {
					member.Phase = choice.Draining
				}
				cfg := config(state, member)
				cfg.Settings.MaxOpen = 100
				n, err := Open(cfg, Front{Carrier: c, Sink: c})
				if err != nil {
					rt.Fatal(err)
				}
				ctx, stop := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go func() { done <- n.Run(ctx) }()
				if life == 0 {
					for i, class := range kinds {
						m := message(fmt.Sprint("m", i), class, time.Duration(seconds[i])*time.Second)
						if n.Hand("", m) == (Answer{}) {
							taken[m.ID] = class
						}
					}
				}
				if life < len(lives) {
					time.Sleep(time.Duration(lives[life]) * time.Millisecond)
				} else {
					time.Sleep(2 * time.Minute) // all have ended by then
				}
				synctest.Wait()
				kill() // from here on nothing of it is real; what it goes on to write goes to a folder that nobody reads
				if life < len(lives) {
					saved, err := os.ReadFile(filepath.Join(state, journalName))
					if err != nil {
						rt.Fatal(err)
					}
					stop()
					err = <-done
					if err := errors.Join(err, os.WriteFile(filepath.Join(state, journalName), saved, 0o600)); err != nil {
						rt.Fatal(err)
					}
					continue
				}
				stop()
				if err := <-done; err != nil {
					rt.Fatal(err)
				}
				if left := len(n.journal.live); left != 0 {
					rt.Errorf("%d messages are left without an end", left)
				}
			}
			for id, class := range taken {
				mayHave := 0
				for i, ran := range b.began[id] {
					if class == payout && mayHave > 0 {
						rt.Errorf("%s is sent again (attempt %d) though it may have run", id, i)
					}
					if ran {
						mayHave++
					}
				}
				ends := b.ends[id]
				if len(ends) == 0 && !b.passed[id] {
					rt.Errorf("%s has no end", id)
				}
				for _, e := range ends {
					if e != ends[0] {
						rt.Errorf("%s has the ends %v", id, ends)
					}
					if class == payout && e == Returned && mayHave > 0 {
						rt.Errorf("%s is returned though it may have run", id)
					}
				}
			}
		})
	})
}
