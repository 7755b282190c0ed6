package delivery

import "time"

const (
	// repeatMemory is for how long after its end a message that is handed in again has no second effect. A client whose
	// connection broke over the answer hands its request in once more at once; a machine that is short of descriptors may
	// read that only seconds later.
	repeatMemory = 10 * time.Second
	// repeatMost bounds how many ended messages are remembered; beyond it the oldest are forgotten first.
	repeatMost = 1024
)

// recentEnds remembers the messages that ended, or were refused, a short while ago, by front and id as ref has them. It is for one goroutine.
type recentEnds struct {
	known map[string]knownEnd
	queue [repeatMost]recentEnd // a ring, oldest first
	first int
	count int
}

// knownEnd is how a message ended, and what was in it.
type knownEnd struct {
	state   State
	content contentDigest
}

// recentEnd is a message and when it ended.
type recentEnd struct {
	name string
	at   time.Duration
}

// add notes that a message has ended now, and how.
func (r *recentEnds) add(name string, end knownEnd, now time.Duration) {
	r.expire(now)
	if _, known := r.known[name]; known {
		return
	}
	if r.count == repeatMost {
		r.drop()
	}
	if r.known == nil {
		r.known = map[string]knownEnd{}
	}
	r.known[name] = end
	r.queue[(r.first+r.count)%repeatMost] = recentEnd{name, now}
	r.count++
}

// look tells whether a message ended within repeatMemory, and how.
func (r *recentEnds) look(name string, now time.Duration) (end knownEnd, known bool) {
	r.expire(now)
	end, known = r.known[name]
	return end, known
}

// expire drops what ended longer ago than repeatMemory.
func (r *recentEnds) expire(now time.Duration) {
	for r.count > 0 && now-r.queue[r.first].at > repeatMemory {
		r.drop()
	}
}

// drop drops the oldest.
func (r *recentEnds) drop() {
	delete(r.known, r.queue[r.first].name)
	r.queue[r.first] = recentEnd{}
	r.first = (r.first + 1) % repeatMost
	r.count--
}

// noteRefused remembers a message that was not taken on, so that a copy of it on its way is not taken on either.
func (n *Engine) noteRefused(front, id string) {
	if n.fronts[front].NewIDs {
		n.refused.add(ref(front, id), knownEnd{state: Refused}, n.now())
	}
}

// endedAs tells whether a message that is handed in again has ended, be it that its end is not acknowledged yet, and how.
func (n *Engine) endedAs(a arrival, p *past) (state State, ended bool) {
	switch {
	case a.reply == nil || a.life != nil:
		return 0, false
	case p != nil && p.ended != nil:
		return p.ended.state, true
	case p != nil:
		return 0, false
	}
	end, ended := n.ended.look(ref(a.front.Name, a.ID), n.now())
	return end.state, ended
}

// answerRepeat answers a message that was taken on before and has ended, with no second effect. Whoever hears that it is taken on waits for
// an end from then on: where IDs are new, one that was not delivered is answered by its end.
func (n *Engine) answerRepeat(a arrival, state State) {
	n.log.Info("message handed in again", "message", a.ID, "class", a.Class, "destination", a.Dest, "ended", state.String())
	switch {
	case !a.front.NewIDs || state == Delivered:
		n.acts = append(n.acts, act{do: func() { a.reply <- Answer{} }})
	case state == Returned:
		a.answer(n.turnAway(a, TurnedByRepeat))
	default:
		a.answer(Answer{Failed: "the message failed"})
	}
}

// forgetEnded forgets a message that has its end, but for what tells it from a new one of its id. One that was returned may come
// again under that, unless its front has new IDs.
func (n *Engine) forgetEnded(p *past, state State) {
	if !p.again() && (state != Returned || n.fronts[p.front].NewIDs) {
		n.ended.add(ref(p.front, p.id), knownEnd{state, n.digester.ofPast(p)}, n.now())
	}
	n.forget(p)
}
