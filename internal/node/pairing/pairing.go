// Package pairing tells which request a response on an HTTP/1.1 connection answers. A response names no request: it belongs to the
// oldest one without a response, unless a copy of an earlier response, or a part of one, came in between. The package does no
// input or output and reads no clock; a Tracker is used by one goroutine at a time.
package pairing

import "slices"

// State is what is known of a connection.
type State uint8

// The states of a connection.
const (
	Fresh     State = iota // no response has come yet
	InStep                 // each request has had its response
	Waiting                // a request waits for its response
	Undecided              // the response that came last may be a copy of an earlier one
	OutOfStep              // more responses came than requests went out: the connection must not be used again
)

var stateNames = [...]string{"fresh", "in step", "waiting", "undecided", "out of step"}

// String names the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Response is what a Tracker needs to know of a response.
type Response struct {
	// Fingerprint is equal for equal heads of responses, and differs for others; 0 where it is not known.
	Fingerprint uint64
	// Named is, for a response whose body names what the request asked for, a fingerprint of its head and its body; 0 for others.
	Named   uint64
	Pass    bool // it has status 200
	Foreign bool // its body names none of what the request asked for: it answers another one
	// Final says that the response ends its connection, as the request asked for which is marked as the last one: no response before it does.
	Final bool
	// Kind is equal for responses whose heads differ in their dates at most; 0 where it is not known.
	Kind uint64
}

// Verdict is what a response means for the request that it came for.
type Verdict uint8

// The verdicts.
const (
	Own       Verdict = iota // it answers the request
	MayBeCopy                // it answers the request, or is a copy of an earlier response: see Quiet
	Corrected                // it answers the request, for which a copy of an earlier response was taken
	Ambiguous                // it can't be told which response answers the request
	Skipped                  // it answers another request; this one's response is still to come
	Surplus                  // it answers no request
)

var verdictNames = [...]string{"own", "may be a copy", "corrected", "ambiguous", "skipped", "surplus"}

// String names the verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// MostCopies is how many responses on a connection may answer no request of theirs. With more of them nothing of it can be told apart, and
// a server could have its caller read without end.
const MostCopies = 8

// mostSeen is how many different responses are remembered; a connection that has had more is not used again.
const mostSeen = 256

// mostRecent is of how many responses a copy may still come: they came since the connection was quiet last.
const mostRecent = 32

// Tracker follows the requests and responses of one connection. The zero value is that of a new connection.
//
// It goes by three facts. The first response on a connection is no copy. Where all requests before have had their responses, one
// that differs from each earlier response is no copy either. And a copy follows soon behind its original, or else the server goes on
// to answer: so a connection that stays quiet after a response has nothing more to say, unless that response equals one which came
// since the connection was quiet last. Then silence proves nothing, for a server that hangs behind a copy is as quiet.
type Tracker struct {
	state   State
	seen    []uint64 // fingerprints of the responses that came
	opaque  bool     // a response came whose fingerprint is not known
	refused bool     // a response other than a pass came
	exact   bool     // all requests before the one that waits, or is undecided, have had their responses
	proves  bool     // quiet after the response proves it, for no copy of one that is equal was on its way when its request went out
	recent  []uint64 // fingerprints of the responses since a request went out on a quiet connection, 0 for one that is not known
	copies  int      // responses that answered no request, or another one
	last    bool     // no further request goes out
	marked  bool     // the request that went out last asked for the end of the connection
	pending Response // Undecided: the response that may be a copy
}

// State returns what is known of the connection.
func (t *Tracker) State() State { return t.state }

// First tells whether no response has come yet.
func (t *Tracker) First() bool { return len(t.seen) == 0 && !t.opaque }

// OnlyPasses tells whether no response other than a pass has come: then a refusal can't be a copy.
func (t *Tracker) OnlyPasses() bool { return !t.refused }

// Reusable tells whether another request may go out.
func (t *Tracker) Reusable() bool {
	return t.copies == 0 && !t.last && t.state != OutOfStep && t.state != Waiting && len(t.seen) < mostSeen
}

// Request notes that a request goes out. Rested says that the connection had been quiet for as long as a copy of the response before may
// take to follow it. A request that follows an undecided response leaves that undecided for good, and each response from then on.
func (t *Tracker) Request(rested bool) {
	t.exact = t.state != Undecided
	if rested && t.exact {
		t.recent = t.recent[:0]
	}
	t.state = Waiting
}

// Mark notes that the request which goes out asks for the end of the connection: a response that says so is its own, and proves those before it, since
// responses come in order. No further request goes out.
func (t *Tracker) Mark() { t.marked, t.last = true, true }

// Withdraw takes back a request of which no byte went out.
func (t *Tracker) Withdraw() {
	switch {
	case t.state != Waiting:
	case t.First():
		t.state = Fresh
	default:
		t.state = InStep
	}
}

// Response notes a response that came whole.
func (t *Tracker) Response(r Response) Verdict {
	switch t.state {
	case Waiting:
		return t.answered(r)
	case Undecided:
		return t.followed(r)
	}
	t.copies++
	t.state = OutOfStep
	return Surplus
}

// answered notes the response that comes while a request waits.
func (t *Tracker) answered(r Response) Verdict {
	first, known := t.First(), t.knows(r)
	if r.Foreign && !first {
		if t.copies++; t.copies > MostCopies {
			t.state = OutOfStep
			return Ambiguous
		}
		return Skipped
	}
	t.proves = t.exact && !t.cameLately(r)
	t.remember(r)
	if t.isMarked(r) {
		t.exact, t.state = true, InStep
		return Own
	}
	if first || (t.exact && !known) {
		t.state = InStep
		return Own
	}
	t.state, t.pending = Undecided, r
	return MayBeCopy
}

// followed notes a response that comes after one that may be a copy.
func (t *Tracker) followed(r Response) Verdict {
	t.copies++
	if t.isMarked(r) {
		t.state = OutOfStep
		return Corrected
	}
	if r.Fingerprint != 0 && r == t.pending && t.copies <= MostCopies {
		return MayBeCopy // whichever of the two it is, it says the same
	}
	known := t.knows(r)
	t.state = OutOfStep
	if t.exact && !known && t.copies <= MostCopies {
		return Corrected
	}
	return Ambiguous
}

// isMarked tells whether a response is surely the one to a marked request. A first response proves itself.
func (t *Tracker) isMarked(r Response) bool { return t.marked && r.Final }

// Settles tells whether Quiet would prove the undecided response.
func (t *Tracker) Settles() bool { return t.state == InStep || (t.state == Undecided && t.proves) }

// Ordered tells whether no more responses came than requests went out, so that the end of the connection proves each to be its request's own.
func (t *Tracker) Ordered() bool { return t.copies == 0 }

// Last notes that no further request goes out.
func (t *Tracker) Last() { t.last = true }

// Quiet notes that nothing followed an undecided response for far longer than a response usually takes, and tells whether that proves it
// to be the request's own. Otherwise nothing more on the connection can be told apart.
func (t *Tracker) Quiet() (proven bool) {
	switch {
	case t.state != Undecided:
		return t.state == InStep
	case !t.proves:
		t.state = OutOfStep
		return false
	}
	t.state = InStep
	return true
}

// knows tells whether a response may be a copy of an earlier one.
func (t *Tracker) knows(r Response) bool {
	if r.Named != 0 {
		return slices.Contains(t.seen, r.Named)
	}
	return r.Fingerprint == 0 || t.opaque || slices.Contains(t.seen, r.Fingerprint)
}

// cameLately tells whether a response may be a copy of one that came since the connection was quiet last.
func (t *Tracker) cameLately(r Response) bool {
	unknown := r.Fingerprint == 0 && len(t.recent) > 0
	return unknown || slices.Contains(t.recent, 0) || slices.Contains(t.recent, r.Fingerprint)
}

func (t *Tracker) remember(r Response) {
	if len(t.recent) == mostRecent {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, r.Fingerprint)
	t.refused = t.refused || !r.Pass
	t.opaque = t.opaque || r.Fingerprint == 0
	for _, f := range [...]uint64{r.Fingerprint, r.Named} {
		if f != 0 && !slices.Contains(t.seen, f) {
			t.seen = append(t.seen, f)
		}
	}
}
