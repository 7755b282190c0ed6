// Package rules decides what of the undelivered messages may be sent again, and when. It has no clock and no I/O: the
// same history, rules and time give the same verdict.
//
// It never offers a message that may take effect twice. An unsafe one that may have run, and a keyed one whose key the
// destination may have forgotten, wait for a person. How and where a message goes, and whether now, stays with package
// choice, through which every resend passes.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"starlingusher/choice"
)

// Class is what rules need to know of a class of messages.
type Class struct {
	Name    string
	Effect  choice.Effect
	Window  time.Duration // Keyed: for how long the destination drops repeats, at least
	Ordered bool          // messages with one key take turns
}

// Attempt is one that was made in any life of a message.
type Attempt struct {
	At       time.Time `json:"at"`
	Endpoint string    `json:"endpoint,omitempty"`
	Zone     int       `json:"zone"`
	Outcome  string    `json:"outcome,omitempty"` // in words; empty where it was not seen
	Err      string    `json:"error,omitempty"`   // what it met
	NotRun   bool      `json:"not_run"`           // proven not to have run, and never to run
}

// Reason is why a message ended undelivered.
type Reason string

// The reasons.
const (
	OutOfTime   Reason = "out-of-time"  // its deadline came
	MayHaveRun  Reason = "may-have-run" // it must not be sent again, or not any more
	OutOfTries  Reason = "out-of-tries" // it has had all its attempts
	Interrupted Reason = "interrupted"  // its process ended with an attempt out
	Refused     Reason = "refused"      // the partner has answered a further life that it will not do it, or may have answered that nobody wants it
)

var reasons = []Reason{OutOfTime, MayHaveRun, OutOfTries, Interrupted, Refused}

// Entry is an undelivered message.
type Entry struct {
	Number   uint64 // of the entry; lower ones are older
	Class    Class
	Key      string
	Dest     int
	Reason   Reason
	First    time.Time // the end of its first life,
	Ended    time.Time // and of its last one
	Attempts []Attempt // of all its lives, in their order
	Resends  int       // lives after the first in which it was sent
	Wait     time.Time // until when the partner asked to be left alone
	Out      bool      // a life of it is under way
	Decided  bool      // a person has decided on it
	Granted  bool      // a person has decided that it is sent again
}

// MayHaveRun returns the first and the last of the attempts that may have run.
func (e *Entry) MayHaveRun() (first, last Attempt, any bool) {
	for _, a := range e.Attempts {
		if a.NotRun {
			continue
		}
		if !any || a.At.Before(first.At) {
			first = a
		}
		if !any || a.At.After(last.At) {
			last = a
		}
		any = true
	}
	return first, last, any
}

// windowMargin is taken off a window: the last attempt of a resend must begin within it, on the partner's clock.
const windowMargin = 2 * time.Second

// Standing is what may be done with an entry by rule, whatever the rules say.
type Standing uint8

// The standings.
const (
	Free    Standing = iota // may be sent again
	Person                  // waits for a person
	Settled                 // under way, or decided
)

// Stand tells an entry's standing at a time, and until when it lasts; the zero time is for good. A clock that stands
// before an attempt that may have run has been set back, and proves nothing of a window.
func Stand(e *Entry, now time.Time) (s Standing, until time.Time, why string) {
	if e.Out {
		return Settled, time.Time{}, "a resend is under way"
	}
	if e.Decided {
		return Settled, time.Time{}, "a person has decided"
	}
	if e.Reason == Refused {
		return Person, time.Time{}, "the partner has refused it"
	}
	if e.Class.Ordered && e.Key != "" {
		return Person, time.Time{}, "a later message of its key may have overtaken it"
	}
	first, last, touched := e.MayHaveRun()
	if !touched {
		return Free, time.Time{}, "no attempt has run"
	}
	switch e.Class.Effect {
	case choice.Safe:
		return Free, time.Time{}, "repeats are harmless"
	case choice.Keyed:
		end := first.At.Add(e.Class.Window - windowMargin)
		switch {
		case now.Before(last.At):
			return Person, last.At, "the clock stands before an attempt that was made"
		case !now.Before(end):
			return Person, time.Time{}, "the destination may have forgotten its key"
		}
		return Free, end, "the destination still drops repeats of its key"
	}
	return Person, time.Time{}, "it may have run"
}

// Clock is a time of day.
type Clock struct{ Hour, Minute int }

func (c Clock) minutes() int { return c.Hour*60 + c.Minute }

// Span is a part of each day, which may go over midnight.
type Span struct{ From, To Clock }

func (s Span) holds(at time.Time) bool {
	m, from, to := at.Hour()*60+at.Minute(), s.From.minutes(), s.To.minutes()
	if from <= to {
		return from <= m && m < to
	}
	return m >= from || m < to
}

// end is when the span that holds a time is over.
func (s Span) end(at time.Time) time.Time {
	end := time.Date(at.Year(), at.Month(), at.Day(), s.To.Hour, s.To.Minute, 0, 0, at.Location())
	if !end.After(at) {
		end = time.Date(at.Year(), at.Month(), at.Day()+1, s.To.Hour, s.To.Minute, 0, 0, at.Location())
	}
	return end
}

// Rule says which entries are sent again, and how. The first rule that fits an entry is its rule.
type Rule struct {
	Line         int // where it stands in its file
	Classes      []string
	Destinations []int // all if none is named
	Reasons      []Reason
	MaxAttempts  int           // fits entries with no more attempts than that, 0 for any number
	MaxAge       time.Duration // of an entry since the end of its first life that is sent again, 0 for any
	Pause        time.Duration // from the end of one life to the next
	Pace         time.Duration // between two resends to one destination
	Tries        int           // resends of one entry at most
	Quiet        []Span
	Hold         bool // entries that fit wait for a person
}

func (r *Rule) fits(e *Entry) bool {
	return (len(r.Classes) == 0 || slices.Contains(r.Classes, e.Class.Name)) &&
		(len(r.Destinations) == 0 || slices.Contains(r.Destinations, e.Dest)) &&
		(len(r.Reasons) == 0 || slices.Contains(r.Reasons, e.Reason)) &&
		(r.MaxAttempts == 0 || len(e.Attempts) <= r.MaxAttempts)
}

// Set is a file of rules.
type Set struct {
	Rules []Rule
	Zone  *time.Location // of the quiet hours
	// The store's budget: what its file may hold, and for how long entries are kept that no person has to decide on.
	MaxBytes int64
	MaxAge   time.Duration
}

// Verdict is what a set says of an entry.
type Verdict struct {
	Send   bool
	Person bool      // waits for a person
	At     time.Time // not Send: when to look again; the zero time for never, unless the rules change
	Why    string
	Line   int // of the rule, 0 for none
}

// Judge says what is to be done with an entry now. last is when a resend last went to its destination.
func (s *Set) Judge(e *Entry, last, now time.Time) Verdict {
	standing, until, why := Stand(e, now)
	if e.Granted && standing != Settled {
		if e.Wait.After(now) {
			return Verdict{At: e.Wait, Why: "the partner asked to be left alone"}
		}
		return Verdict{Send: true, Why: "a person has decided so"}
	}
	switch standing {
	case Settled:
		return Verdict{Why: why}
	case Person:
		return Verdict{Person: true, At: until, Why: why}
	}
	for i := range s.Rules {
		r := &s.Rules[i]
		if !r.fits(e) {
			continue
		}
		v := r.judge(e, last, now, s.Zone)
		if v.Line = r.Line; !v.Send && !v.Person && !until.IsZero() && !v.At.Before(until) {
			return Verdict{Person: true, Why: "its key's window ends before the rule lets it go", Line: r.Line}
		}
		return v
	}
	return Verdict{Person: true, Why: "no rule fits"}
}

func (r *Rule) judge(e *Entry, last, now time.Time, zone *time.Location) Verdict {
	switch {
	case r.Hold:
		return Verdict{Person: true, Why: "the rule holds it for a person"}
	case e.Resends >= r.Tries:
		return Verdict{Person: true, Why: fmt.Sprintf("%d resends have failed", e.Resends)}
	case r.MaxAge > 0 && now.Sub(e.First) > r.MaxAge:
		return Verdict{Person: true, Why: "it is too old for the rule"}
	}
	at, why := e.Ended.Add(r.Pause), "the rule's pause"
	for _, w := range []struct {
		at  time.Time
		why string
	}{{e.Wait, "the partner asked to be left alone"}, {paced(last, r.Pace), "the rule's pace"}} {
		if w.at.After(at) {
			at, why = w.at, w.why
		}
	}
	// A clock that was set back must not have an entry wait for what it had passed already.
	if longest := max(r.Pause, r.Pace); at.Sub(now) > longest && why != "the partner asked to be left alone" {
		at = now.Add(longest)
	}
	if !at.After(now) {
		at = now
	}
	for range r.Quiet { // one quiet span may end in another; Parse sees to it that they leave some of the day
		for _, q := range r.Quiet {
			if local := at.In(zone); q.holds(local) {
				at, why = q.end(local), "quiet hours"
			}
		}
	}
	if at.After(now) {
		return Verdict{At: at, Why: why}
	}
	return Verdict{Send: true, Why: "the rule lets it go"}
}

func paced(last time.Time, pace time.Duration) time.Time {
	if last.IsZero() {
		return last
	}
	return last.Add(pace)
}

// Plan says which entries to send now, at most room of them, oldest first and by turns of their destinations' paces, and
// when to look again; the zero time is never. last holds when a resend last went to each destination, and is brought up
// to date for those that are returned.
func (s *Set) Plan(entries []Entry, last map[int]time.Time, room int, now time.Time) (send []uint64, again time.Time) {
	order := make([]*Entry, 0, len(entries))
	for i := range entries {
		order = append(order, &entries[i])
	}
	slices.SortStableFunc(order, func(a, b *Entry) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range order {
		v := s.Judge(e, last[e.Dest], now)
		switch {
		case v.Send && len(send) < room:
			send = append(send, e.Number)
			last[e.Dest] = now
		case v.Send: // there is no room: whoever makes some asks again
		case !v.At.IsZero() && (again.IsZero() || v.At.Before(again)):
			again = v.At
		}
	}
	return send, again
}
