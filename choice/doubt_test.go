package choice

import (
	"testing"
	"time"
)

// lawful tells whether a step is allowed where one reply is known to be the true one, by the platform's pages.
func lawful(step Next, truth Reply, effect Effect) bool {
	if step == EndOnly {
		return true // a report of a message that is delivered or over does no harm, any other is owed an end
	}
	switch truth {
	case ReplyOver:
		return false
	case ReplyRefused:
		return true
	default: // it has run, or may have
		return effect != Unsafe
	}
}

// Guards against a step that is taken in doubt though it breaks a rule under one of the explanations, and against one that gives up more than that needs.
func TestAStepInDoubtIsLawfulUnderEachReply(t *testing.T) {
	for set := range Replies(1 << replyCount) {
		for _, effect := range []Effect{Safe, Keyed, Unsafe} {
			retryIsLawful := true
			for reply := range replyCount {
				if set.Has(reply) {
					retryIsLawful = retryIsLawful && lawful(Retry, reply, effect)
				}
			}
			if got := set.Next(effect); (got == Retry) != retryIsLawful {
				t.Errorf("replies %05b, effect %d: got %d, retry is lawful: %v", set, effect, got, retryIsLawful)
			}
		}
	}
}

// Guards against a message that may be over being sent again.
func TestAMessageThatMayBeOverIsNotSentAgain(t *testing.T) {
	over := RepliesOf(ReplyNone, ReplyOver)
	for class := range settings().Classes {
		for name, ends := range map[string][]Ended{
			"in doubt":         {{Outcome: Cut, Replies: over}},
			"not whole":        {{Outcome: NoRoute, Replies: RepliesOf(ReplyOver)}},
			"settled in doubt": {{Outcome: Stale, Closed: true, Undecided: true, Replies: RepliesOf(ReplyOver)}, {Outcome: Cut, Settled: true, Replies: over}},
		} {
			s, now := New(settings(), 1), time.Hour
			actions := s.Step(now, []Event{one(), Arrived{ID: "m", Class: class, DropDead: now + 30*time.Second}})
			for _, e := range ends {
				e.ID, e.Endpoint = "m", "a"
				actions = append(actions, s.Step(now+time.Millisecond, []Event{e})...)
			}
			for at := now; at < now+time.Minute; at += 10 * time.Millisecond {
				actions = append(actions, s.Step(at, []Event{Rang{}})...)
			}
			sends, fails := 0, 0
			for _, a := range actions {
				switch a.(type) {
				case Send:
					sends++
				case Fail:
					fails++
				}
			}
			if sends != 1 || fails != 1 {
				t.Errorf("class %d, %s: sent %d times, failed %d times", class, name, sends, fails)
			}
		}
	}
}
