package delivery

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"
)

const (
	// repeatMemory is for how long after its end a message that is handed in again has no second effect. A client whose
	// connection broke over the answer hands its request in once more at once; a machine that is short of descriptors may
	// read that only seconds later.
	repeatMemory = 10 * time.Second
	// repeatMost bounds how many ended messages are remembered; beyond it the oldest are forgotten first. It is as many as end in repeatMemory
	// at 6,500 a second, and takes 4 MB.
	repeatMost = 1 << 16
)

// nameSeed is of the digests of messages' names in this process.
var nameSeed = maphash.MakeSeed()

// recentEnds remembers the messages that ended, or were refused, a short while ago, by front and id as ref has them. Names stand as digests, so that many
// take little room. The zero value is ready; it is for one goroutine.
type recentEnds struct {
	known map[uint64]knownEnd
	queue endQueue
	most  int // 0 for repeatMost
}

// knownEnd is how a message ended, and what was in it.
type knownEnd struct {
	state   State
	content contentDigest
}

// recentEnd is a message and when it ended.
type recentEnd struct {
	name uint64
	at   time.Duration
}

// add notes that a message has ended now, and how.
func (r *recentEnds) add(name string, end knownEnd, now time.Duration) {
	r.expire(now)
	digest := maphash.String(nameSeed, name)
	if _, known := r.known[digest]; known {
		return
	}
	if r.queue.count >= cmp.Or(r.most, repeatMost) {
		r.drop()
	}
	if r.known == nil {
		r.known = map[uint64]knownEnd{}
	}
	r.known[digest] = end
	r.queue.push(recentEnd{digest, now})
}

// look tells whether a message ended within repeatMemory, and how.
func (r *recentEnds) look(name string, now time.Duration) (end knownEnd, known bool) {
	r.expire(now)
	end, known = r.known[maphash.String(nameSeed, name)]
	return end, known
}

// expire drops what ended longer ago than repeatMemory.
func (r *recentEnds) expire(now time.Duration) {
	for r.queue.count > 0 && now-r.queue.oldest().at > repeatMemory {
		r.drop()
	}
}

// drop drops the oldest. The room of many goes with the last.
func (r *recentEnds) drop() {
	delete(r.known, r.queue.oldest().name)
	if r.queue.pop(); r.queue.count == 0 {
		*r = recentEnds{most: r.most}
	}
}

// chunkEnds is how many ends a part of a queue holds.
const chunkEnds = 512

// endQueue holds ends, oldest first, in parts that are neither moved nor made larger: a queue that grows by being copied costs several times its room. The
// zero value is empty.
type endQueue struct {
	chunks [][]recentEnd // all but the last are full
	first  int           // of the first chunk, what is still there begins here
	count  int
}

func (q *endQueue) push(e recentEnd) {
	last := len(q.chunks) - 1
	if last < 0 || len(q.chunks[last]) == chunkEnds {
		q.chunks = append(q.chunks, make([]recentEnd, 0, chunkEnds))
		last++
	}
	q.chunks[last] = append(q.chunks[last], e)
	q.count++
}

// oldest returns the oldest end of a queue that holds one.
func (q *endQueue) oldest() recentEnd { return q.chunks[0][q.first] }

// pop drops the oldest end of a queue that holds one.
func (q *endQueue) pop() {
	q.count--
	if q.first++; q.first == chunkEnds {
		q.chunks = slices.Delete(q.chunks, 0, 1)
		q.first = 0
	}
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
	case a.Unkept != nil && state != Returned:
		a.answer(messageFailed) // whether it is the same message can't be told any more
	case !a.front.NewIDs || state == Delivered:
		n.acts = append(n.acts, act{do: func() { a.reply <- Answer{} }})
	case state == Returned:
		a.answer(n.turnAway(a, TurnedByRepeat))
	default:
		a.answer(messageFailed)
	}
}

// messageFailed is the answer to a message that comes again after it ended as failed.
var messageFailed = Answer{Failed: "the message failed"}

// answerAfterEnd answers a message that is handed in once the engine has ended, when nothing changes any more: it may be called by many goroutines
// at a time. One that the next life will go on with is not refused, for that promises that it does not run.
func (n *Engine) answerAfterEnd(a arrival) Answer {
	refusal := Answer{Refused: true, After: n.cfg.Settings.MaxRetryAfter}
	name := ref(a.front.Name, a.ID)
	end, ended := n.ended.known[maphash.String(nameSeed, name)]
	var own digester
	p := n.messages[name]
	if p != nil {
		if end, ended = (knownEnd{content: own.ofPast(p)}), p.ended != nil; ended {
			end.state = p.ended.state
		}
	}
	switch {
	case p != nil && !ended && a.Unkept != nil && !isOpenMessage(p, a.Message):
		return refusal
	case a.life != nil || (p == nil && !ended) || !end.content.matches(own.ofMessage(a.Message)):
		return refusal
	case p != nil && n.hold.by[p] != nil:
		return Answer{Failed: errMayStand.Error()}
	case p != nil && p.again():
		return messageFailed
	case ended && a.Unkept != nil && end.state != Returned:
		return messageFailed
	case p != nil && !ended, !a.front.NewIDs, end.state == Delivered:
		return Answer{}
	case end.state == Returned:
		return refusal
	}
	return messageFailed
}

// forgetEnded forgets a message that has its end, but for what tells it from a new one of its id. One that was returned may come
// again under that, unless its front has new IDs.
func (n *Engine) forgetEnded(p *past, state State) {
	if !p.again() && (state != Returned || n.fronts[p.front].NewIDs) {
		n.ended.add(ref(p.front, p.id), knownEnd{state, n.digester.ofPast(p)}, n.now())
	}
	n.forget(p)
}
