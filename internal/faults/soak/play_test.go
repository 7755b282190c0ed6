package soak

import (
	"testing"
	"time"
)

// Guards against taking a request for dropped by the node that crossed the SIGKILL of its node.
func TestARequestThatCrossesAKillIsNotCountedAsDropped(t *testing.T) {
	day := Draw(1, 1, 1, 1, time.Second)
	p := &play{day: day}
	p.begin(time.Now())
	p.history = newHistory(p)
	c := &clients{play: p, node: &node{play: p, number: 3}}
	before := p.now()
	c.failed("before", before, errDropped)
	ended := p.kills(3)
	c.failed("during", p.now(), errDropped)
	ended()
	time.Sleep(time.Millisecond) // later than the end by any clock
	c.failed("after", p.now(), errDropped)
	var texts []string
	for _, b := range p.history.breaches {
		texts = append(texts, b.Text)
	}
	if len(texts) != 2 {
		t.Errorf("breaches: %q, of before and after alone", texts)
	}
}

// Guards against blaming a node for the time in which the machine ran nothing, and against giving it more than that.
func TestAnEndMayBeAsLateAsTheMachineStoodStill(t *testing.T) {
	const due, stood = 10 * time.Second, 300 * time.Millisecond
	for _, c := range []struct {
		name  string
		woken time.Duration // late by stood
		now   time.Duration
		lost  int
	}{
		{"within the bound", 0, due + lostSlack + ruleSlack - time.Millisecond, 0},
		{"over the bound", 0, due + lostSlack + ruleSlack + 50*time.Millisecond, 1},
		{"over it by less than the stall", due + stood, due + lostSlack + ruleSlack + stood - 50*time.Millisecond, 0},
		{"over it by more than the stall", due + stood, due + lostSlack + ruleSlack + stood + 50*time.Millisecond, 1},
		{"a stall before the message was due", due, due + lostSlack + ruleSlack + 50*time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			day := Draw(1, 1, 1, 1, time.Second)
			p := &play{day: day}
			p.begin(time.Now().Add(-c.now))
			p.history = newHistory(p)
			p.history.messages["m"] = &message{class: &day.Classes[0], due: due, taken: true}
			if c.woken > 0 {
				p.history.wokenLate(c.woken, stood)
			}
			p.history.overdue(false)
			if p.history.counts.Lost != c.lost {
				t.Errorf("%d lost, %d expected", p.history.counts.Lost, c.lost)
			}
		})
	}
}
