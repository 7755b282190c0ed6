package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"starlingusher/choice"
	"starlingusher/delivery"
)

const (
	batchRoom  = maxBody - 2 // of a body with several messages, less its brackets
	batchFrame = len(`{"id":"","key":"","body":""},`)
	mostEscape = 6 // bytes that JSON may take for one of an id or a key
)

// entry is a message in a call with several.
type entry struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // in Base64
}

// state is how one of them ended.
type state struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Batches is delivery.Batcher's: the settings tell the kinds of destination that take several messages.
func (p *pool) Batches(int) bool { return true }

// Room is delivery.Batcher's.
func (p *pool) Room() int { return batchRoom }

// Size is delivery.Batcher's.
func (p *pool) Size(id, key string, body int) int {
	return batchFrame + mostEscape*(len(id)+len(key)) + (body+2)/3*4
}

// AttemptAll makes one call with several messages. Its answer has to come whole and to name each of them, or those that
// it does not name may have run. Fronts choose ids by themselves, and a call can't name one twice: a second message of an
// id is not sent.
func (p *pool) AttemptAll(ctx context.Context, all []delivery.Attempt) []delivery.Result {
	results := make([]delivery.Result, len(all))
	var sent []delivery.Attempt
	var places []int
	for i, a := range all {
		if slices.ContainsFunc(sent, func(o delivery.Attempt) bool { return o.ID == a.ID }) {
			results[i] = delivery.Result{Outcome: choice.Stale, NotRun: true, Err: errTwice}
			continue
		}
		sent, places = append(sent, a), append(places, i)
	}
	for i, res := range p.attemptAll(ctx, sent) {
		results[places[i]] = res
	}
	return results
}

var errTwice = errors.New("another message of this id is in the call")

// attemptAll is AttemptAll for messages of different ids.
func (p *pool) attemptAll(ctx context.Context, all []delivery.Attempt) []delivery.Result {
	last := all[0]
	for _, a := range all {
		last.Fresh, last.Once = last.Fresh || a.Fresh, last.Once || a.Once
		last.UndecidedFor = min(last.UndecidedFor, a.UndecidedFor)
		if a.NotPast.After(last.NotPast) {
			last.NotPast = a.NotPast
		}
		if last.BeginBy.IsZero() || (!a.BeginBy.IsZero() && a.BeginBy.Before(last.BeginBy)) {
			last.BeginBy = a.BeginBy
		}
	}
	request, err := encodeBatch(last, all)
	if err != nil {
		return resultsOf(notSent(choice.Stale, err), all)
	}
	x := newCall(request)
	x.all = all
	if all[0].Settle == nil {
		return resultsOf(p.wait(ctx, last, x), all)
	}
	a, _ := p.call(ctx, last, x)
	return resultsOf(a, all)
}

// resultsOf is what became of each message of a call.
func resultsOf(a answer, all []delivery.Attempt) []delivery.Result {
	results := make([]delivery.Result, len(all))
	for i, c := range all {
		if results[i] = a.result; a.states != nil {
			results[i] = stateOf(a.result, a.states[c.ID])
		}
		results[i].Replies |= a.may[c.ID]
	}
	return results
}

// encodeBatch writes a whole request, so that one Write sends it.
func encodeBatch(c delivery.Attempt, all []delivery.Attempt) ([]byte, error) {
	entries := make([]entry, len(all))
	for i, a := range all {
		if !isToken(a.ID) || (a.Key != "" && !isToken(a.Key)) || !isToken(a.Endpoint.Addr) {
			return nil, fmt.Errorf("message %d of a call: %w", i, errHead)
		}
		entries[i] = entry{a.ID, a.Key, a.Body}
		if a.Body == nil {
			entries[i].Body = []byte{} // JSON has null for it
		}
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return nil, fmt.Errorf("messages of a call: %w", err)
	}
	b := make([]byte, 0, requestHead+len(c.Endpoint.Addr)+len(body))
	b = appendHead(b, "/v1/messages:batch", c, len(body))
	return append(append(b, "\r\nContent-Type: application/json\r\n\r\n"...), body...), nil
}

// readStates reads how the messages of a call ended, and tells whether any of them is named. One that is named twice has no state.
func readStates(body []byte, all []delivery.Attempt) (states map[string]string, named bool, err error) {
	var told []state
	if err := json.Unmarshal(body, &told); err != nil {
		return nil, false, fmt.Errorf("the ends of messages: %w", err)
	}
	states = make(map[string]string, len(told))
	for _, s := range told {
		if before, twice := states[s.ID]; twice {
			s.State = ambiguousState(before, s.State)
		}
		states[s.ID] = s.State
	}
	named = slices.ContainsFunc(all, func(a delivery.Attempt) bool { _, ok := states[a.ID]; return ok })
	return states, named, nil
}

// overOrAnother is the state of a message that a response says to be over and something else as well.
const overOrAnother = "expired, or another"

// ambiguousState is the state of a message of which a response tells two.
func ambiguousState(a, b string) string {
	if stateReplies[a] == choice.ReplyOver || stateReplies[b] == choice.ReplyOver {
		return overOrAnother
	}
	return ""
}

// stateOf is the result of one message, by its state in the response that res tells of. What is not known may have run.
func stateOf(res delivery.Result, state string) delivery.Result {
	res.Outcome, res.Closed, res.NotRun = choice.Fault, false, false
	switch state {
	case "accepted":
		res.Outcome, res.Closed = choice.Pass, true
	case "fault":
	case "deferred":
		res.Outcome, res.NotRun = choice.NoRoom, true
	case "expired":
		res.Outcome, res.NotRun, res.Closed = choice.Stale, true, true
	case "no_more":
		res.Outcome, res.NotRun = choice.Stale, true
	default:
		if state == overOrAnother {
			res.Replies = choice.RepliesOf(choice.ReplyFault, choice.ReplyOver)
		}
		res.Err = errors.New("the answer does not tell what became of it")
	}
	return res
}

// turnedDown tells that a call with several messages was not taken as it was written: none of them has run.
func turnedDown(code int) bool {
	return code == http.StatusBadRequest || code == http.StatusRequestEntityTooLarge
}
