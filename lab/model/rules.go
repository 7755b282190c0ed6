package model

import (
	"fmt"
	"strings"
	"time"

	"starlingusher/choice"
)

// Rule is one that every day is held to.
type Rule uint8

// The rules.
const (
	OneEnd      Rule = iota // each message gets one final answer, in its time
	EffectOnce              // no effect twice, and a refusal promises the truth
	DrainKept               // nothing new to an endpoint that a node was told to drain, after the grace
	WaitKept                // nothing to a partner that told a wait, until that has passed
	OrderKept               // messages of one key take turns where their class asks for it
	ColdSpared              // no returning partner falls over by nodes that saw it fail
	LimitsOfOwn             // attempts, copies and slots within the settings
)

var ruleNames = [...]string{"one end", "effect once", "drain kept", "wait kept", "order kept", "cold spared", "own limits"}

// String names the rule.
func (r Rule) String() string { return ruleNames[r] }

// Step is something that happened to a message.
type Step struct {
	At       time.Duration
	Message  string
	Node     int
	What     string
	Endpoint string // of a call
}

// String is the step in a line.
func (s Step) String() string {
	return strings.TrimRight(fmt.Sprintf("%9.3f s  node %d  %s  %s %s", s.At.Seconds(), s.Node, s.Message, s.What, s.Endpoint), " ")
}

// Broken is a broken rule, with the steps that led there.
type Broken struct {
	Rule    Rule
	At      time.Duration
	Node    int
	Message string // empty where it is no one message's
	Why     string
	Steps   []Step
}

// String is the breach and its steps, a line each.
func (b Broken) String() string {
	var w strings.Builder
	fmt.Fprintf(&w, "%s: %s (%.3f s, node %d, %s)", b.Rule, b.Why, b.At.Seconds(), b.Node, b.Message)
	for _, s := range b.Steps {
		fmt.Fprintf(&w, "\n  %v", s)
	}
	return w.String()
}

// keptBroken is how many breaches are kept with their steps; all are counted.
const keptBroken = 16

// checker watches the rules over the whole fleet, by what partners did and what nodes were told. It knows nothing of how
// nodes decide.
type checker struct {
	r      *run
	broken []Broken
	count  [len(ruleNames)]int
	waits  map[[2]int]time.Duration // a node was told by a partner, until then
	drains map[int]map[string]time.Duration
	lines  map[string][]*message // by node and key, in the order of acceptance
	rests  map[string]time.Duration
}

func newChecker(r *run) *checker {
	return &checker{r: r, waits: map[[2]int]time.Duration{}, drains: map[int]map[string]time.Duration{}, lines: map[string][]*message{},
		rests: map[string]time.Duration{}}
}

func (c *checker) breach(rule Rule, node int, m *message, format string, args ...any) {
	c.count[rule]++
	if len(c.broken) >= keptBroken {
		return
	}
	b := Broken{Rule: rule, At: c.r.now, Node: node, Why: fmt.Sprintf(format, args...)}
	if m != nil {
		b.Message, b.Steps = m.id(), m.told()
	}
	c.broken = append(c.broken, b)
}

// told notes what a node was told with an end: the wait binds from then on.
func (c *checker) told(node int, p *partner, wait time.Duration) {
	key := [2]int{node, p.id}
	c.waits[key] = max(c.waits[key], c.r.now+wait)
}

// listed notes a change that a node was told of.
func (c *checker) listed(node int, entries []choice.Entry) {
	for _, e := range entries {
		if e.Phase == choice.Ready {
			continue
		}
		if c.drains[node] == nil {
			c.drains[node] = map[string]time.Duration{}
		}
		if _, ok := c.drains[node][e.Endpoint]; !ok {
			c.drains[node][e.Endpoint] = c.r.now
		}
	}
}

// accepted notes a message that a node has taken on.
func (c *checker) accepted(m *message) {
	if m.class.Ordered && m.key != "" {
		line := fmt.Sprint(m.node, "/", m.key)
		c.lines[line] = append(c.lines[line], m)
	}
}

// sends watches a call that a node begins.
func (c *checker) sends(n *node, call *call) {
	r, p := c.r, call.ep.partner
	if until := c.waits[[2]int{n.id, p.id}]; r.now < until {
		c.breach(WaitKept, n.id, call.parts[0].m, "sent to partner %d %v before the wait it told has ended", p.id, until-r.now)
	}
	if told, ok := c.drains[n.id][call.ep.id]; ok && r.now > told+r.day.Rules.DrainGrace {
		c.breach(DrainKept, n.id, call.parts[0].m, "sent to %s, which drains, %v after that was told", call.ep.id, r.now-told)
	}
	if n.out > n.Slots && n.Slots > 0 {
		c.breach(LimitsOfOwn, n.id, call.parts[0].m, "%d calls out with %d slots", n.out, n.Slots)
	}
	for _, part := range call.parts {
		m := part.m
		if most := r.day.Rules.MaxAttempts; most > 0 && m.attempts > most {
			c.breach(LimitsOfOwn, n.id, m, "%d attempts, %d are allowed", m.attempts, most)
		}
		if m.out > 1 {
			c.breach(LimitsOfOwn, n.id, m, "%d copies are out", m.out)
		}
		if m.class.Ordered && m.key != "" {
			line := c.lines[fmt.Sprint(m.node, "/", m.key)]
			for len(line) > 0 && line[0].ended && line[0].out == 0 {
				line = line[1:]
			}
			c.lines[fmt.Sprint(m.node, "/", m.key)] = line
			if len(line) > 0 && line[0] != m {
				c.breach(OrderKept, n.id, m, "sent before %s of the same key has its end", line[0].id())
			}
		}
	}
}

// ran notes that a partner does a message: its effect, unless it remembers the key. What a keyed message does that was handed
// in again after a refusal is counted (Result.Twice) and breaks no rule: its node can't know of the time before.
func (c *checker) ran(node int, m *message) {
	b, now := m.body, c.r.now
	switch m.class.Effect {
	case choice.Unsafe:
		if b.effects++; b.effects > 1 {
			c.breach(EffectOnce, node, m, "the effect took place %d times", b.effects)
		}
	case choice.Keyed:
		if b.effects > 0 && now <= b.first+m.class.Window {
			break // dropped
		}
		if b.effects++; b.effects > 1 {
			c.r.twice++
		}
		b.first = now
		if m.effects++; m.effects > 1 {
			c.breach(EffectOnce, node, m, "the effect took place again, beyond its window of %v", m.class.Window)
		}
	}
}

// ends notes a final answer.
func (c *checker) ends(m *message, how string, refused bool) {
	if m.ended {
		c.breach(OneEnd, m.node, m, "a second end: %s", how)
	}
	// What was up while its node was dead is due when that is back.
	if due := max(m.dropDead, c.r.nodes[m.node].began); c.r.now > due+c.r.day.Rules.AnswerGrace {
		c.breach(OneEnd, m.node, m, "%s %v after its time was up", how, c.r.now-due)
	}
	if refused && m.class.Effect == choice.Unsafe && (m.body.effects > 0 || m.out > 0) {
		c.breach(EffectOnce, m.node, m, "refused as harmless to repeat, and its effect took place or may yet")
	}
}

// fell notes that a partner was pushed over.
func (c *checker) fell(call *call, sum, knowing, stands float64) {
	c.breach(ColdSpared, call.node.id, call.parts[0].m, "partner %d was sent %.1f calls' work within %v while it stands %.1f, %.1f of it by nodes that saw it fail",
		call.ep.partner.id, sum, c.r.day.Rules.Fall, stands, knowing)
}

// over looks for what has no end at the day's. A node that is dead then owes its ends when it is back.
func (c *checker) over() {
	for _, n := range c.r.nodes {
		if n.dead {
			continue
		}
		for _, m := range n.sorted() {
			c.breach(OneEnd, n.id, m, "no end")
		}
	}
}
