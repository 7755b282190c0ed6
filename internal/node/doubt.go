package node

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"starlingusher/choice"
	"starlingusher/delivery"
)

// This file tells what a message may have been answered where no response to its call is certain. What may be done then is decided by
// choice.Replies.

// replyOf is what a response with a status says of the message in its call.
func replyOf(status int) choice.Reply {
	switch status {
	case http.StatusOK:
		return choice.ReplyPass
	case http.StatusGone:
		return choice.ReplyOver
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return choice.ReplyRefused
	}
	return choice.ReplyFault
}

// stateReplies are what the states in a response to a call with several messages say.
var stateReplies = map[string]choice.Reply{
	"accepted": choice.ReplyPass, "fault": choice.ReplyFault, "deferred": choice.ReplyRefused, "no_more": choice.ReplyRefused,
	"expired": choice.ReplyOver, overOrAnother: choice.ReplyOver,
}

// definedStatuses are those that the platform's protocol has.
var definedStatuses = [...]int{http.StatusOK, http.StatusGone, http.StatusTooManyRequests, http.StatusInternalServerError,
	http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// repliesBegun are what a status line may say of which only the beginning came; none before the first digit of its status.
func repliesBegun(line []byte) (r choice.Replies) {
	_, code, _ := bytes.Cut(line, []byte(" "))
	if len(code) == 0 {
		return 0
	}
	for _, status := range definedStatuses {
		if bytes.HasPrefix([]byte(strconv.Itoa(status)), code[:min(len(code), 3)]) {
			r |= choice.RepliesOf(replyOf(status))
		}
	}
	return r
}

// repliesWithin are those of status lines that may stand somewhere in a text that is no whole response: parts of copies may stand ahead of a
// response, and take its beginning for theirs.
func repliesWithin(text []byte) (r choice.Replies) {
	for word := range bytes.FieldsSeq(text) {
		for _, status := range definedStatuses {
			if string(word) == strconv.Itoa(status) {
				r |= choice.RepliesOf(replyOf(status))
			}
		}
	}
	return r
}

// statesWithin are the states of messages of a call that a text tells which is no whole response; the one that ends a message counts.
func statesWithin(text []byte, all []delivery.Attempt) map[string]string {
	states := map[string]string{}
	for rest := text; ; {
		i := bytes.IndexByte(rest, '{')
		if i < 0 {
			return states
		}
		var told state
		err := json.NewDecoder(bytes.NewReader(rest[i:])).Decode(&told)
		if err == nil && isNamed(all, told.ID) && stateReplies[states[told.ID]] != choice.ReplyOver {
			states[told.ID] = told.State
		}
		rest = rest[i+1:]
	}
}

// isNamed tells whether a call has a message of an id.
func isNamed(all []delivery.Attempt, id string) bool {
	return slices.ContainsFunc(all, func(a delivery.Attempt) bool { return a.ID == id })
}

// replies are those that a response has for a message of its call: by the state that it tells of the message, or else by its status.
func (a *answer) replies(id string) choice.Replies {
	if state, told := a.states[id]; told {
		if reply, known := stateReplies[state]; known {
			return choice.RepliesOf(reply)
		}
		return choice.RepliesOf(choice.ReplyFault)
	}
	return a.said
}

// inDoubt has an answer tell what it says, for a call of which it may not be the true one.
func (x *call) inDoubt(a answer) answer {
	return x.oneOf(a, a)
}

// unknown is the answer of a call that may have run, and that any of the responses given may have answered.
func (x *call) unknown(err error, came ...answer) answer {
	return x.oneOf(answer{result: delivery.Result{Outcome: choice.Cut, Err: err}}, came...)
}

// oneOf adds to an answer the replies that the responses given have for each message of the call.
func (x *call) oneOf(a answer, came ...answer) answer {
	for i := range came {
		a.result.On.Status = cmp.Or(came[i].result.On.Status, a.result.On.Status)
		if x.all == nil {
			a.result.Replies |= came[i].said
		}
	}
	if x.all == nil {
		return a
	}
	a.may = make(map[string]choice.Replies, len(x.all))
	for _, m := range x.all {
		for i := range came {
			a.may[m.ID] |= came[i].replies(m.ID)
		}
	}
	return a
}
