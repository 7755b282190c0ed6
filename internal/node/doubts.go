package node

import (
	"slices"
	"time"

	"starlingusher/internal/node/pairing"
)

// doubts are the calls of one connection whose responses are in doubt, in the order of their requests. Copies of earlier responses may have come
// among theirs, so that each may have had the response noted with it, one noted with a later call, or none. The zero value is empty; it is used under the
// connection's lock.
type doubts struct {
	calls  []*call
	differ bool // not all responses say the same
}

// isEmpty tells whether no response is in doubt.
func (d *doubts) isEmpty() bool { return len(d.calls) == 0 }

// last is the call whose response came last; nil for none.
func (d *doubts) last() *call {
	if d.isEmpty() {
		return nil
	}
	return d.calls[len(d.calls)-1]
}

// add takes one more call. It returns the oldest one if so many equal responses followed its own that its true one is among them, however many copies
// there are, and takes it out.
func (d *doubts) add(x *call) (certain *call) {
	last := d.last()
	d.differ = d.differ || (last != nil && !x.saysAs(last))
	d.calls = append(d.calls, x)
	if d.differ || len(d.calls) <= pairing.MostCopies {
		return nil
	}
	certain = d.calls[0]
	d.calls = slices.Delete(d.calls, 0, 1)
	return certain
}

// takeAll empties d and returns what it held.
func (d *doubts) takeAll() row {
	all := row(d.calls)
	*d = doubts{}
	return all
}

// takeBeforeLast takes out all but the last one.
func (d *doubts) takeBeforeLast() row {
	last := d.last()
	before := d.takeAll()
	d.calls = []*call{last}
	return before[:len(before)-1]
}

// takeOver takes out the calls that may not stay undecided beyond a time since processStart. It returns what becomes of them, to be called without the
// connection's lock, and their number.
func (d *doubts) takeOver(now time.Duration, why error) (settle func(), count int) {
	var over, kept row
	var answers []answer
	for i, x := range d.calls {
		if x.until > now {
			kept = append(kept, x)
			continue
		}
		over, answers = append(over, x), append(answers, row(d.calls[i:]).unknown(why))
	}
	d.calls = kept
	return func() {
		for i, x := range over {
			x.settled(&answers[i])
		}
	}, len(over)
}

// firstUntil is until when the first of them may stay undecided, since processStart.
func (d *doubts) firstUntil() time.Duration {
	first := d.calls[0].until
	for _, x := range d.calls[1:] {
		first = min(first, x.until)
	}
	return first
}

// row are calls in doubt that were taken out, in the order of their requests. It is used without the connection's lock.
type row []*call

// unknown is the answer of the first call if nothing more tells: any response from its own on may be its true one, also those that came besides.
func (d row) unknown(why error, came ...answer) answer {
	all := make([]answer, 0, len(d)+len(came))
	for _, x := range d {
		all = append(all, x.answer)
	}
	return d[0].unknown(why, append(all, came...)...)
}

// settleUnknown settles all of them as calls that may have run.
func (d row) settleUnknown(why error, came ...answer) {
	for i, x := range d {
		a := d[i:].unknown(why, came...)
		x.settled(&a)
	}
}

// settleInOrder settles all of them once no further response can come, but for those given. If just as many came as requests went out, each is its own
// call's; if there were more, only those calls are certain whose response says the same as all after it.
func (d row) settleInOrder(exact bool, came ...answer) {
	for i, x := range d {
		if exact || d[i:].agree(came) {
			x.settled(nil)
			continue
		}
		a := d[i:].unknown(errAmbiguous, came...)
		x.settled(&a)
	}
}

// agree tells whether all responses, and those that came besides, say the same.
func (d row) agree(came []answer) bool {
	for i := 1; i < len(d); i++ {
		if !d[i].saysAs(d[i-1]) {
			return false
		}
	}
	for i := range came {
		if !d[0].says(&came[i]) {
			return false
		}
	}
	return true
}

// says tells whether a response to a call with one message says what the call's own does.
func (x *call) says(a *answer) bool {
	return x.all == nil && a.said == x.answer.said && a.said.IsCertain()
}

// saysAs tells whether the responses of two calls say the same: their heads differ in nothing, or both say one thing of one message.
func (x *call) saysAs(other *call) bool {
	if other.all == nil && x.says(&other.answer) {
		return true
	}
	return x.said.Fingerprint != 0 && x.said == other.said
}
