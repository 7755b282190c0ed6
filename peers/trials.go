package peers

import (
	"context"
	"fmt"
	"time"

	"starlingusher/peers/core"
)

// trialsHeard is for how long the word that another node tries a route counts; then this node tries by itself.
const trialsHeard = time.Second

// trials has one node of those that find a route out try it, by a lease. It is called from the service's goroutine.
//
// A late trial of a node that was stopped is one call more at the endpoint, of a message that is under way there by the rules of all
// attempts: it is harmless twice, and needs no fence.
type trials struct {
	s      *Service
	wanted map[core.Key]string
	todo   chan func(context.Context) // what may have to wait for the leases' goroutine, in order
}

func trialName(key core.Key) string { return fmt.Sprintf("trial/%d/%s", key.Dest, key.Endpoint) }

func (t *trials) tick(now time.Duration) {
	l := t.s.leases
	failing, tried := t.s.core.Failing(now)
	still := map[core.Key]bool{}
	for i, key := range failing {
		name := trialName(key)
		if len(name) > mostTrialName {
			continue
		}
		_, until, mine := l.may(name, 0)
		holder, at := l.other(name)
		others := !mine && holder != "" && now-at < trialsHeard
		switch {
		case mine:
			t.s.core.Trials(key, core.TrialsMine, until)
		case others:
			t.s.core.Trials(key, core.TrialsOthers, at+trialsHeard)
		}
		// Who does not try, for want of messages, leaves it to those who do.
		if still[key] = tried[i] || others; still[key] && t.wanted[key] == "" && t.later(func(ctx context.Context) { t.failed(name, l.want(ctx, name)) }) {
			t.wanted[key] = name
		}
	}
	for key, name := range t.wanted {
		if !still[key] && t.later(func(ctx context.Context) { l.rest(ctx, name) }) {
			delete(t.wanted, key)
		}
	}
}

func (t *trials) failed(name string, err error) {
	if err != nil {
		t.s.o.Log.Debug("trials are not shared out", "lease", name, "err", err)
	}
}

// later has something done beside the service's goroutine, unless too much waits for that.
func (t *trials) later(do func(context.Context)) bool {
	select {
	case t.todo <- do:
		return true
	default:
		return false
	}
}

// run does what waits, until ctx ends.
func (t *trials) run(ctx context.Context) {
	for {
		select {
		case do := <-t.todo:
			do(ctx)
		case <-ctx.Done():
			return
		}
	}
}

const (
	mostTrialName = 128
	mostTodo      = 256
)
