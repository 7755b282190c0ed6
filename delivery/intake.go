package delivery

import (
	"errors"
	"fmt"
	"time"
)

// Hand hands a message in for the front of that name, and waits to hear whether it is taken on. Its end goes to the
// front's sink. A message that the engine has already, by its ID and its content, or that ended a few seconds ago, is taken
// on with no second effect; another one of such an ID is not taken on. It may be called by many goroutines at a time, but
// not for long after Run has ended.
func (n *Engine) Hand(front string, m Message) Answer { return n.Offer(front, m).Answer() }

// Offer is Hand without the wait: a front that has several messages at once offers all of them, and then asks for the
// answers, so that one write of the journal may take them on together. They are taken in the order of the offers.
func (n *Engine) Offer(front string, m Message) Offered {
	f := n.fronts[front]
	if f == nil {
		reply := make(chan Answer, 1)
		reply <- Answer{Failed: ErrUnknownFront.Error()}
		return Offered{engine: n, reply: reply}
	}
	return n.submit(arrival{Message: m, front: f, reply: make(chan Answer, 1)})
}

// Offered is a message that was offered. Its Answer is asked for once.
type Offered struct {
	engine *Engine
	reply  chan Answer // takes one
	handed any         // the arrival, as the loop was given it
}

// Resend hands in a further life of a message that ended undelivered, and waits to hear whether it is taken on. It is
// sent where nothing else waits, and only if the decisions allow it with the past that it is given. It is refused, too,
// while the engine has a message of this ID or many further lives. Its end goes to the Keeper alone.
func (n *Engine) Resend(front string, l Life) Answer {
	f := n.fronts[front]
	if f == nil {
		return Answer{Failed: ErrUnknownFront.Error()}
	}
	if l.First.IsZero() {
		l.First = l.Came.Add(l.Message.Life)
	}
	l.Keep = false
	return n.submit(arrival{Message: l.Message, front: f, life: &l, reply: make(chan Answer, 1)}).Answer()
}

func (n *Engine) submit(a arrival) Offered {
	handed := any(a)
	select {
	case n.events <- handed:
		return Offered{engine: n, reply: a.reply, handed: handed}
	case <-n.over:
		a.reply <- n.answerAfterEnd(a)
		return Offered{engine: n, reply: a.reply, handed: handed}
	}
}

// Answer waits to hear whether the message is taken on.
func (o Offered) Answer() Answer {
	select {
	case r := <-o.reply:
		return r
	case <-o.engine.over:
		select {
		case r := <-o.reply:
			return r
		default: // the loop has ended and did not answer it
			return o.engine.answerAfterEnd(o.handed.(arrival))
		}
	}
}

// newcomers are the messages of a batch, with all who handed them in: one id may stand there more than once.
type newcomers map[uint64][]arrival

func (w newcomers) reply(num uint64, a Answer) {
	for _, c := range w[num] {
		c.answer(a)
	}
}

// fail tells all who handed a message in that it failed, with no promise of what became of it.
func (w newcomers) fail(num uint64, why error) {
	for _, a := range w[num] {
		if a.end != nil {
			a.end <- End{ID: a.ID, State: Failed, Err: why}
		} else {
			a.reply <- Answer{Failed: why.Error()}
		}
	}
}

// answer tells whoever handed the message in whether it was taken on. Those who wait for its end are told no more
// than that it is refused.
func (a arrival) answer(x Answer) {
	switch {
	case a.reply != nil:
		a.reply <- x
	case x.Failed != "":
		a.end <- End{ID: a.ID, Err: fmt.Errorf("%w: %s", ErrInvalid, x.Failed)}
	case x.Refused:
		a.end <- End{ID: a.ID, State: Returned, After: x.After}
	}
}

// accept journals a new message and returns it; one that is not new, or can't be taken on, gets its answer.
func (n *Engine) accept(a arrival, fresh newcomers) *past {
	name := ref(a.front.Name, a.ID)
	p := n.messages[name]
	if p != nil && (p.again() || a.life != nil) {
		// A further life and a new message of its ID don't meet, or one's end could be taken for the other's.
		if a.life == nil && a.front.NewIDs && n.isMessage(p, a.Message) {
			a.answer(messageFailed) // that was its end; a refusal would promise that no further life of it runs
		} else {
			a.answer(n.turnAway(a, TurnedByLife))
		}
		return nil
	}
	if n.takesAnothersID(a, p) {
		n.refuseAnothersID(a)
		return nil
	}
	switch {
	case p != nil && a.end != nil && p.ended != nil: // it has ended before, and says the same again
		end := newEnd(p)
		n.acts = append(n.acts, act{do: func() { a.end <- end }})
		return nil
	case p != nil && n.hold.by[p] != nil: // nor is this one's
		if a.end != nil {
			p.waiters = append(p.waiters, a.end)
		}
		fresh := n.hold.by[p].fresh
		fresh[p.num()] = append(fresh[p.num()], a)
		return nil
	case p != nil && a.end != nil:
		p.waiters = append(p.waiters, a.end)
		if fresh[p.num()] != nil {
			fresh[p.num()] = append(fresh[p.num()], a)
		}
		return nil
	case p != nil && fresh[p.num()] != nil: // its fate is not known yet
		fresh[p.num()] = append(fresh[p.num()], a)
		return nil
	}
	if state, ended := n.endedAs(a, p); ended {
		n.answerRepeat(a, state)
		return nil
	}
	_, refused := n.refused.look(name, n.now())
	switch {
	case p != nil: // taken on before: handed in again it has no second effect
		n.acts = append(n.acts, act{do: func() { a.reply <- Answer{} }})
		return nil
	case a.reply != nil && a.life == nil && refused:
		a.answer(n.turnAway(a, TurnedByRepeat))
		return nil
	case a.Unkept != nil:
		a.answer(n.turnAwayFor(a, TurnedByMemory, a.Unkept.After))
		return nil
	case a.Class < 0 || a.Class >= len(n.cfg.Settings.Classes):
		a.answer(Answer{Failed: "unknown class"})
		return nil
	case len(a.Body) > MaxBody || len(a.ID) > maxWord || len(a.Key) > maxWord:
		a.answer(Answer{Failed: fmt.Sprintf("a body holds %d bytes at most, an ID and a key %d", MaxBody, maxWord)})
		return nil
	case a.Tenant < 0 || a.Tenant > len(n.cfg.Settings.Tenants):
		a.answer(Answer{Failed: "unknown tenant"})
		return nil
	case !n.sender.Knows(a.Dest):
		a.answer(Answer{Failed: "unknown destination"})
		return nil
	case a.life != nil && n.again >= maxAgain,
		a.life == nil && n.cfg.Settings.MaxOpen > 0 && n.held-n.unsettled >= n.cfg.Settings.MaxOpen:
		a.answer(n.turnAway(a, TurnedByRoom))
		return nil
	}
	if n.cfg.Copies != nil {
		if after, ok := n.cfg.Copies.Takes(); !ok {
			a.answer(n.turnAwayFor(a, TurnedByCopies, after))
			return nil
		}
	}
	p = &past{id: a.ID, key: a.Key, class: a.Class, tenant: a.Tenant, dest: a.Dest, body: a.Body,
		deadline: a.Came.Add(a.Life), front: a.front.Name, keep: a.Keep}
	if a.life != nil {
		p.first, p.mayRun, p.mayZone = a.life.First, a.life.MayRun, int32(a.life.Zone)
	}
	p, err := n.journalNew(p)
	if err != nil {
		a.answer(n.turnAway(a, TurnedByDisk))
		return nil
	}
	if a.end != nil {
		p.waiters = append(p.waiters, a.end)
	}
	n.messages[name] = p
	*n.count(p)++
	fresh[p.num()] = []arrival{a}
	if n.cfg.Recorder != nil {
		n.cfg.Recorder.Handed(Handed{Name: p.name(), Front: p.front, ID: p.id, Came: n.at(a.Came)})
	}
	return p
}

// journalNew has the journal take a message, and compacts it before if it has to be.
func (n *Engine) journalNew(p *past) (*past, error) {
	taken, err := n.journal.accept(p)
	if !errors.Is(err, errCrowded) {
		return taken, err
	}
	n.keepLost() // before the records of their ends are written
	if err := n.journal.compact(); err != nil {
		return nil, err
	}
	return n.journal.accept(p)
}

// turnAway refuses a message for want of room, before the module has heard of it.
func (n *Engine) turnAway(a arrival, why string) Answer {
	return n.turnAwayFor(a, why, n.sender.StayAway(a.Dest))
}

func (n *Engine) turnAwayFor(a arrival, why string, after time.Duration) Answer {
	n.logRefusal(a.ID, a.Class, a.Dest, why, after)
	n.noteRefused(a.front.Name, a.ID)
	if n.cfg.Recorder != nil {
		n.cfg.Recorder.Turned(Turned{At: n.now(), Came: n.at(a.Came), Front: a.front.Name, ID: a.ID, Class: a.Class,
			Tenant: a.Tenant, Dest: a.Dest, After: after, Why: why})
	}
	return Answer{Refused: true, After: after}
}
