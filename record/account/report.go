package account

import (
	"cmp"
	"slices"
	"time"
)

// Report is an account that is closed.
type Report struct {
	First, Last time.Duration // steps, on the recording's clock
	Steps       int
	Untrusted   string     // why what is held from some point on is held for unknown reasons; empty if the replay is the same
	Messages    []*Message // in the order in which they ended; those that are open come last
}

// Report closes the account.
func (a *Account) Report() Report {
	r := Report{First: a.first, Last: a.now, Steps: a.steps, Untrusted: a.why, Messages: a.ended}
	left := make([]*Message, 0, len(a.open))
	for _, m := range a.open {
		left = append(left, m)
	}
	slices.SortFunc(left, func(x, y *Message) int { return cmp.Or(cmp.Compare(x.Came, y.Came), cmp.Compare(x.Name, y.Name)) })
	for _, m := range left {
		if m.out != nil {
			a.flown(m, Silent)
		}
		a.spend(m, a.now, m.held, "", "")
		m.Ended = max(a.now, m.Came)
	}
	r.Messages = append(slices.Clip(r.Messages), left...)
	return r
}

// Life is how long a message was with the node.
func (m *Message) Life() time.Duration { return m.Ended - m.Came }

// Lost is the worth that it did not get.
func (m *Message) Lost() float64 { return m.Worth - m.Got }

// Sum adds up messages.
type Sum struct {
	Messages, Attempts int
	Fates              [Fates]int
	Worth, Got         float64
	Spans              [Spans]time.Duration
	// Blame is the worth lost, by the spans in which messages that came late or were given up spent their time.
	Blame  [Spans]float64
	Turned float64 // the worth lost by messages that were refused at arrival
}

// Add takes a message into the sum.
func (s *Sum) Add(m *Message) {
	s.Messages++
	s.Attempts += m.Attempts
	s.Fates[m.Fate]++
	s.Worth += m.Worth
	s.Got += m.Got
	life := m.Life()
	for i, d := range m.Spans {
		s.Spans[i] += d
	}
	switch m.Fate {
	case RefusedGate, RefusedRoom, RefusedOther:
		s.Turned += m.Lost()
	case Delivered, GivenUp, Failed:
		for i, d := range m.Spans {
			if life > 0 {
				s.Blame[i] += m.Lost() * float64(d) / float64(life)
			}
		}
	}
}

// By sums up messages by what key makes of them; those with the same key go together. Keys come in order.
func By[K cmp.Ordered](messages []*Message, key func(*Message) K) ([]K, map[K]*Sum) {
	sums := map[K]*Sum{}
	var keys []K
	for _, m := range messages {
		k := key(m)
		if sums[k] == nil {
			sums[k] = &Sum{}
			keys = append(keys, k)
		}
		sums[k].Add(m)
	}
	slices.Sort(keys)
	return keys, sums
}

// Worst returns the messages that lost most, and of these the longest; n at most.
func Worst(messages []*Message, n int) []*Message {
	all := slices.Clone(messages)
	slices.SortStableFunc(all, func(x, y *Message) int {
		return cmp.Or(cmp.Compare(y.Lost(), x.Lost()), cmp.Compare(y.Life(), x.Life()))
	})
	return all[:min(n, len(all))]
}

// Largest returns the spans of a sum that have any time, the longest first.
func (s *Sum) Largest() []Span {
	var all []Span
	for i := range Spans {
		if s.Spans[i] > 0 {
			all = append(all, i)
		}
	}
	slices.SortStableFunc(all, func(x, y Span) int { return cmp.Compare(s.Spans[y], s.Spans[x]) })
	return all
}
