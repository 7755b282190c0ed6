package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rule is what a day is held to.
type Rule uint8

// The rules.
const (
	SlowStart    Rule = iota // a server that came back is sent no more than its budget by nodes that were told
	Answered                 // a request that was read is answered, in its time
	Ended                    // a message that was taken on is delivered or ended by a notice, in its time
	EffectOnce               // no effect takes place twice, and a return promises the truth
	WaitKept                 // a server that told a wait is left alone
	DrainKept                // an endpoint that drains is sent nothing new
	ReadyInTime              // a restarted process is ready in time, and none ends by itself
	WithinLimits             // memory and descriptors
	OverKept                 // a message is not called again once its server said that it is over
	rules
)

var ruleNames = [rules]string{"slow start", "answered", "ended", "effect once", "wait kept", "drain kept", "ready in time", "within limits", "over kept"}

// String names the rule.
func (r Rule) String() string {
	if r < rules {
		return ruleNames[r]
	}
	return "unknown"
}

// Breach is a broken rule.
type Breach struct {
	Rule Rule
	At   time.Duration
	Text string
}

// String is the breach in a line.
func (b Breach) String() string { return fmt.Sprintf("%8.3f s %s: %s", b.At.Seconds(), b.Rule, b.Text) }

// message is what is known of one hand-in.
type message struct {
	node      int
	class     *Class
	key       string
	due       time.Duration
	taken     bool // its client has heard that it was taken on
	refused   bool // its client has heard that it was not, and that coming again is harmless
	runs      []time.Duration
	delivered bool
	ended     string        // the state of its notice
	over      time.Duration // when a server said that it is over, which its node may have heard; 0 for never
	isOver    bool
}

// wait is a wait that a server told a node, with its answer to a message.
type wait struct {
	told, until time.Duration
	message     string
}

// history is what clients, servers and discovery saw.
type history struct {
	play *play

	mu       sync.Mutex
	messages map[string]*message
	keys     map[string][]time.Duration // runs of the effects of a key that count
	waiting  map[[2]int]wait            // by node and server
	absent   map[int]bool               // nodes without a process
	drains   map[string]time.Duration   // endpoints that drain, since when that was told
	away     []span                     // of nodes: from a signal until they have been ready again for a while
	breaches []Breach
	counts   Counts
	late     time.Duration // that this process was last woken after its time
	stalls   []stall
}

// stall is a time in which this process was not woken although it was to be: the machine ran neither it nor, most likely, the nodes.
type stall struct{ from, to time.Duration }

// leastStall is how late a process may be woken on a machine that runs.
const leastStall = 20 * time.Millisecond

// Counts are how often things happened.
type Counts struct {
	Handed, Taken, Refused, Failed, Unanswered, Resent, Delivered, Returned, Lost int
	Tampered                                                                      int // responses that came again, in part or in pieces
	Over                                                                          int // messages that a server said are over
}

// span is a time in which a node was away.
type span struct {
	node     int
	from, to time.Duration // to is 0 while it lasts
}

// touches tells whether a span of a node has a moment in common with the time from one moment to another.
func (s span) touches(node int, from, to time.Duration) bool {
	return s.node == node && s.from <= to && (s.to == 0 || s.to >= from)
}

func newHistory(p *play) *history {
	return &history{play: p, messages: map[string]*message{}, keys: map[string][]time.Duration{}, waiting: map[[2]int]wait{}, absent: map[int]bool{}, drains: map[string]time.Duration{}}
}

func (h *history) breach(rule Rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breachLocked(rule, format, args...)
}

func (h *history) breachLocked(rule Rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...) + fmt.Sprintf(" (the rig was woken %v late before)", h.late.Round(time.Millisecond))
	h.breaches = append(h.breaches, Breach{rule, h.play.now(), text})
}

// wokenLate notes how late this process was woken now: what it counts against a time may be as late.
func (h *history) wokenLate(now, by time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = by
	if by >= leastStall {
		h.stalls = append(h.stalls, stall{now - by, now})
	}
}

// stalledSince is for how long the machine has stood still since a moment. The lock is held.
func (h *history) stalledSince(from time.Duration) (sum time.Duration) {
	for _, s := range slices.Backward(h.stalls) {
		if s.to <= from {
			break
		}
		sum += s.to - max(s.from, from)
	}
	return sum
}

func (h *history) count(f func(*Counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.counts)
}

// handed notes a message before it is written to its node.
func (h *history) handed(id string, m *message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages[id] = m
	h.counts.Handed++
}

// taken notes that a client has heard that its message was taken on.
func (h *history) taken(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages[id].taken = true
	h.counts.Taken++
}

// refused notes that a client has heard that its message was refused.
func (h *history) refused(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages[id].refused = true
	h.counts.Refused++
	h.refusedRan(id)
}

// refusedRan notes the breach of a message that may not be repeated, was refused and runs. The lock is held.
func (h *history) refusedRan(id string) {
	if m := h.messages[id]; m.refused && len(m.runs) > 0 && m.class.Effect == AtMostOnce {
		h.breachLocked(EffectOnce, "message %s was refused and has run", id)
	}
}

// runs notes that a server does a message.
func (h *history) runs(id string, server int, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.messages[id]
	if m == nil {
		h.breachLocked(EffectOnce, "server %d was sent message %q, which nobody handed in", server, id)
		return
	}
	m.runs = append(m.runs, now)
	h.refusedRan(id)
	if m.ended == "returned" && m.class.Effect == AtMostOnce {
		h.breachLocked(EffectOnce, "message %s was returned as not done and ran afterwards", id)
	}
	switch m.class.Effect {
	case AtMostOnce:
		if len(m.runs) > 1 {
			h.breachLocked(EffectOnce, "message %s may not be repeated and ran %d times, at %v", id, len(m.runs), m.runs)
		}
	case Deduplicated:
		if last := h.keys[m.key]; len(last) > 0 && now-last[len(last)-1] <= m.class.Window {
			return
		}
		if h.keys[m.key] = append(h.keys[m.key], now); len(m.runs) > 1 {
			h.breachLocked(EffectOnce, "message %s ran again, %v after its first run, beyond its window of %v", id, now-m.runs[0], m.class.Window)
		}
	}
}

// called notes a call for a message that came to an endpoint.
func (h *history) called(now time.Duration, id string, node, server int, endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.messages[id]; m != nil && m.over > 0 && now > m.over+overSlack {
		h.breachLocked(OverKept, "message %s (%s) was called at server %d %v after a server said that it is over", id, m.class.Name, server, now-m.over)
	}
	if w := h.waiting[[2]int{node, server}]; now > w.told+waitSlack+ruleSlack && now < w.until {
		h.breachLocked(WaitKept, "server %d was called by node %d %v before the wait that it told has ended, %v after that was told",
			server, node, w.until-now, now-w.told)
	}
	if told, ok := h.drains[endpoint]; ok && now > told+drainGrace+ruleSlack {
		h.breachLocked(DrainKept, "endpoint %s was called by node %d %v after it was told to drain", endpoint, node, now-told)
	}
}

// draining notes that from a moment on it counts as told that an endpoint drains.
func (h *history) draining(endpoint string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if before, ok := h.drains[endpoint]; !ok || at < before {
		h.drains[endpoint] = at
	}
}

// postponeDrains has drains that were told just before discovery became crowded count from when they do at the latest: a process that
// begins meanwhile is turned away.
func (h *history) postponeDrains() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.play.now()
	for endpoint, at := range h.drains {
		if now-at < toldWithin {
			h.drains[endpoint] = at + toldWithin
		}
	}
}

// waits notes that a server asked a node to be left alone, with its answer to a message.
func (h *history) waits(now time.Duration, node, server int, id string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.absent[node] {
		return // the answer to a call of a process that has ended
	}
	w := h.waiting[[2]int{node, server}]
	if until := now + d; until > w.until {
		h.waiting[[2]int{node, server}] = wait{now, until, id}
	}
}

// unheard notes that a node's connection broke under a message: what its answer told was not read.
func (h *history) unheard(node, server int, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := [2]int{node, server}; h.waiting[k].message == id {
		delete(h.waiting, k)
	}
}

// delivered notes that a server answers that it has done a message.
func (h *history) delivered(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.messages[id]; m != nil && !m.delivered {
		m.delivered = true
		h.counts.Delivered++
	}
}

// isOver notes that a server says that a message is over.
func (h *history) isOver(now time.Duration, id string, node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.messages[id]
	if m == nil {
		return
	}
	if !m.isOver {
		m.isOver = true
		h.counts.Over++
	}
	if m.over == 0 && !h.absent[node] {
		m.over = now
	}
}

// noticed notes the notice of a message.
func (h *history) noticed(id, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.messages[id]
	if m == nil || m.ended != "" {
		return
	}
	m.ended = state
	h.counts.Returned++
	if state == "returned" && m.class.Effect == AtMostOnce && len(m.runs) > 0 {
		h.breachLocked(EffectOnce, "message %s was returned as not done and has run", id)
	}
}

// leaves notes that a node was sent a signal that ends it, and ready that it serves again.
func (h *history) leaves(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.away = append(h.away, span{node: node, from: h.play.now()})
}

func (h *history) ready(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.away {
		if s := &h.away[i]; s.node == node && s.to == 0 {
			s.to = h.play.now() + restartGrace + ruleSlack
		}
	}
}

// begins notes that a process of a node is started.
func (h *history) begins(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.absent, node)
}

// gone notes that a node's process has ended, and no other has begun. Waits that it was told just before may not have reached its
// journal: a restart ends those, by the page. The others bind its next life too.
func (h *history) gone(node int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.play.now()
	h.absent[node] = true
	for k, w := range h.waiting {
		if k[0] == node && now-w.told < journaledWithin {
			delete(h.waiting, k)
		}
	}
	for _, m := range h.messages {
		if m.node == node && now-m.over < journaledWithin {
			m.over = 0
		}
	}
}

// isAway tells whether a node was away at some time from one moment to another.
func (h *history) isAway(node int, from, to time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.away, func(s span) bool { return s.touches(node, from, to) })
}

// overdue notes the messages that have had no end in their time.
func (h *history) overdue(final bool) {
	now := h.play.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, m := range h.messages {
		if !m.taken || m.delivered || m.ended != "" || m.isOver {
			continue
		}
		late := m.due + lostSlack + ruleSlack
		late += h.stalledSince(m.due) // the rule is one for a machine that runs
		for _, s := range h.away {
			if s.node == m.node && s.from <= late {
				if s.to == 0 {
					late = now + time.Hour
				}
				late = max(late, s.to)
			}
		}
		if now <= late && !final {
			continue
		}
		h.counts.Lost++
		m.ended = "lost"
		h.breachLocked(Ended, "message %s (%s) was taken on by node %d, was due at %.3f s and has no end; it ran %d times", id, m.class.Name, m.node, m.due.Seconds(), len(m.runs))
	}
}
