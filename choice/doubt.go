package choice

import "math/bits"

// This file decides what may be done with a message whose attempt can't be told to have had one certain
// response: the response may be a copy of an earlier one, it may have come in part, or its connection ended
// with it. Several explanations are open then, and a step is lawful only if it is lawful under each of them.

// Reply is what a response says of a message.
type Reply uint8

// The replies.
const (
	ReplyNone    Reply = iota // no response
	ReplyPass                 // the message is delivered
	ReplyFault                // it may have run
	ReplyRefused              // it has not run; it may be sent again
	ReplyOver                 // it has not run and is over: it was withdrawn, or its time ran out
	replyCount
)

// Replies is a set of replies, each of which may be the true one of an attempt. The zero value says that no
// response came.
type Replies uint8

// RepliesOf is the set of the replies given.
func RepliesOf(all ...Reply) (r Replies) {
	for _, reply := range all {
		r |= 1 << reply
	}
	return r
}

// Has tells whether a reply is in the set.
func (r Replies) Has(reply Reply) bool {
	return r&(1<<reply) != 0 || (r == 0 && reply == ReplyNone)
}

// IsCertain tells whether the set has one reply: whichever response is the true one, it says the same of
// the message.
func (r Replies) IsCertain() bool { return bits.OnesCount8(uint8(r)) == 1 }

// Next is what may be done with a message after an attempt in doubt.
type Next uint8

// The steps.
const (
	Retry Next = iota // it may be sent again
	// EndOnly: it ends as failed, and is not sent again. A report of a message that is over does no harm,
	// a call does.
	EndOnly
)

// Next returns the step that is lawful whichever of the replies is the true one.
func (r Replies) Next(effect Effect) Next {
	mayHaveRun := r.Has(ReplyNone) || r.Has(ReplyPass) || r.Has(ReplyFault)
	if r.Has(ReplyOver) || (mayHaveRun && effect == Unsafe) {
		return EndOnly
	}
	return Retry
}
