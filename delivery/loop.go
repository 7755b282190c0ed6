package delivery

import (
	"context"
	"errors"
	"slices"
	"time"

	"starlingusher/choice"
)

// tell hands the loop an event.
func (n *Engine) tell(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// loop batches what has come and steps through it, until the node has left.
func (n *Engine) loop(ctx context.Context, gone <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]any, 0, maxBatch)
	for {
		asleep := n.untilWake()
		slept := time.Now()
		timer.Reset(asleep)
		clear(batch) // what it held is not to be kept
		batch = batch[:0]
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
		case <-gone:
			return
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case e := <-n.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		woken := time.Now()
		n.take(ctx, batch)
		n.logLate(woken.Sub(slept)-asleep, time.Since(woken), len(batch))
	}
}

// untilWake is the time to the module's next wake, or to the next try of a journal that could not be written.
func (n *Engine) untilWake() time.Duration {
	wait := time.Hour
	if n.wakeAt > 0 {
		wait = max(n.wakeAt-n.now(), 0)
	}
	broken := n.journal.broken
	for _, j := range n.inherited {
		broken = broken || j.broken
	}
	if broken {
		wait = min(wait, compactPause)
	}
	return wait
}

// take turns a batch into the module's events, and steps.
func (n *Engine) take(ctx context.Context, batch []any) {
	events := make([]choice.Event, 0, len(batch)+1) // one more for a wake
	fresh := newcomers{}
	for _, e := range batch {
		// Before all else: of a message in this batch it is not known yet whether it is taken on.
		if q, ok := e.(question); ok {
			n.answer(q)
		}
	}
	for _, e := range batch {
		switch e := e.(type) {
		case List:
			events = append(events, n.told(e))
		case *called:
			if n.isOut(e.attempt) {
				events = append(events, n.called(e))
			}
		case stood:
			if n.isOut(attempt(e)) {
				events = append(events, n.stands(attempt(e)))
			}
		case settled:
			n.acknowledge(e)
		case choice.Leaving:
			n.leaveBy = n.wall(e.By)
			events = append(events, e)
		case News:
			events = append(events, n.heard(e)...)
		case arrival:
			switch p := n.accept(e, fresh); {
			case p == nil:
			case p.again():
				events = append(events, n.resumed(p))
			default:
				events = append(events, n.arrived(p, e.Came.Add(e.Life)))
				if n.cfg.Shared != nil {
					n.cfg.Shared.Came(p.dest)
				}
			}
		case Covered:
			n.covered(ctx, e)
		case inherit:
			events = append(events, n.takeOver(e)...)
		case emptied:
			n.giveBack(e)
		case counted:
			e <- len(n.messages)
		case retold:
			n.copyAgain(string(e))
		case forsaken:
			if p := n.messages[e.ref]; p != nil {
				p.waiters = slices.DeleteFunc(p.waiters, func(c chan End) bool { return c == e.end })
			}
			n.byes = append(n.byes, e.done)
		}
	}
	// What the module is about to be told of, and the clients with it, rests on these records.
	n.hold.urgent = len(fresh) > 0
	if err := n.flush(); err != nil && len(fresh) > 0 {
		n.log.Info("messages turned away", "messages", len(fresh), "err", err)
		events = slices.DeleteFunc(events, func(e choice.Event) bool {
			switch e.(type) {
			case choice.Arrived, choice.Resumed:
				return true
			}
			return false
		})
		for num, all := range fresh {
			n.forget(n.byNumber(num))
			refusal := n.turnAway(all[0], TurnedByDisk)
			if errors.Is(err, errMayStand) {
				fresh.fail(num, errMayStand) // a refusal would promise that it does not run
			} else {
				fresh.reply(num, refusal)
			}
		}
		fresh = nil
	}
	if n.wakeAt > 0 && n.now() >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.Rang{Tag: "sweep"})
	}
	events, fresh = n.await(events, fresh)
	n.step(ctx, events, fresh)
}

// flush hands the keeper what it is to have, and then writes the journal's records.
func (n *Engine) flush() error {
	n.keepLost()
	return n.write()
}

// keepLost hands the keeper what has ended undelivered, and what was delivered late.
func (n *Engine) keepLost() {
	if len(n.lost) > 0 {
		if err := n.cfg.Keeper.Keep(n.lost); err != nil {
			for _, l := range n.lost {
				n.log.Error("an undelivered message is not kept", "front", l.Front, "id", l.ID, "class", l.Class,
					"destination", l.Dest, "state", l.State, "attempts", len(l.Tried), "err", err)
			}
		}
		n.lost = nil
	}
	if len(n.late) > 0 {
		if err := n.cfg.Keeper.Delivered(n.late); err != nil {
			for _, r := range n.late {
				n.log.Error("a late delivery is not kept", "front", r.Front, "id", r.ID, "err", err)
			}
		}
		n.late = nil
	}
}

// step lets the module decide and carries out what it says, in order, once the records are written that guard
// it. fresh are the messages whose clients still wait to hear whether they are taken on.
func (n *Engine) step(ctx context.Context, events []choice.Event, fresh newcomers) {
	var call *outgoing
	now := n.now()
	actions := n.sender.Step(now, events)
	if n.cfg.Recorder != nil {
		n.cfg.Recorder.Stepped(now, events, actions)
	}
	changes := n.sender.HealthChanges()
	n.logHealth(changes)
	n.noteHealth(changes)
	for _, a := range actions {
		switch a := a.(type) {
		case choice.Send:
			if !a.Joined {
				begun := n.newCall(a)
				a := act{do: func() { n.begin(ctx, begun) }}
				if n.cfg.Copies != nil {
					a.instead = func() { n.notBegun(ctx, begun) }
				}
				n.acts = append(n.acts, a)
				call = begun
			}
			call.legs = append(call.legs, n.leg(a, call.endpoint))
		case choice.PushBack:
			n.end(a.ID, ending{state: Returned, after: a.RetryAfter}, a.Why, fresh)
		case choice.Fail:
			n.end(a.ID, ending{state: Failed}, choice.Admitted, fresh)
		case choice.Cancel:
			n.acts = append(n.acts, act{do: func() {
				if c, ok := n.out[attempt{numOf(a.ID), a.Attempt}]; ok {
					c.cancel()
				}
			}})
		case choice.HangUp:
			for _, f := range n.fronts {
				f.Carrier.HangUp(a.Endpoint, a.Keep)
			}
		case choice.Wake:
			if n.wakeAt == 0 || a.At < n.wakeAt {
				n.wakeAt = a.At
			}
		case choice.Note:
			n.log.Info(a.Text)
		}
	}
	for num := range fresh { // not refused, so taken on: that is written, and with Copies held
		fresh.reply(num, Answer{})
	}
	n.hold.urgent = len(n.acts) > 0
	if err := n.flush(); err != nil {
		n.actUnguarded()
		return
	}
	n.guard(n.acts, n.byes)
	n.acts, n.byes = n.acts[:0], n.byes[:0]
}

// actUnguarded does what needs no record any more, while none can be written.
func (n *Engine) actUnguarded() {
	now := time.Now()
	n.acts = slices.DeleteFunc(n.acts, func(a act) bool {
		due := !a.unguarded.IsZero() && now.After(a.unguarded)
		if due {
			a.do()
		}
		return due
	})
}
