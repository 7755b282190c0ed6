// Package model plays days of a fleet in virtual time: nodes that run the real decisions of package choice, the partners that
// they share, clients that come again, and nodes that die at once. It shows what no node sees by itself, in seconds for a day
// of eighty. A day is deterministic by its seed, starts no goroutine and waits for nothing; days may be played side by side.
//
// Partners follow what was measured of real ones (docs/design/fleet.md): a token bucket that refused calls use up as well,
// down into a debt, and reports that are late and a little noisy. Service beyond the limit, connections and slots of
// partners are not modelled.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"starlingusher/choice"
)

// What all days have alike. Aim and Life are of each message: worth falls evenly from the one to 0.3 at the other.
const (
	Aim  = 3 * time.Second
	Life = 12 * time.Second

	way        = 15 * time.Millisecond // to a partner or back, a fifth more or less
	service    = 30 * time.Millisecond // the mean
	coldFrom   = 0.3                   // share of its capacity that a partner has when it comes back,
	warmIn     = 11 * time.Second      // until which it has all of it
	toldWait   = 700 * time.Millisecond
	stands     = 1.5 // times its present capacity, in any fallSpan, before it falls over
	fallSpan   = 2 * time.Second
	spare      = 1.2 // capacity over the limit
	reportSpan = 250 * time.Millisecond
	noise      = 0.08
	clump      = 1.8 // seconds of the limit, that come within
	clumpSpan  = 0.5 // seconds
	killAt     = 12 * time.Second
	backAfter  = 1500 * time.Millisecond
	retries    = 2 // of a client that was turned away, after
	retryLeast = 400 * time.Millisecond
)

// Partner takes so many calls a second from all nodes together. It holds a day's state: each day wants its own.
type Partner struct {
	Limit func(at time.Duration) float64 // calls a second
	Down  func(at time.Duration) bool    // refuses connections; nil for never
	Back  time.Duration                  // the end of that; it is cold from then on. 0 for none
	Depth float64                        // seconds of the limit that may go at once,
	Debt  float64                        // and that refused calls may use up ahead
	Tells float64                        // share of its refusals that tell a wait

	tokens   float64
	at       time.Duration
	report   choice.Report // what answers tell
	next     choice.Report // what they tell from the next refreshing on
	reported time.Duration
	cold     []time.Duration // calls that came while it was cold
	passed   []time.Duration
}

// Day is what is played.
type Day struct {
	Nodes    int
	Partners []*Partner
	Length   time.Duration // of arrivals
	Load     float64       // messages a second, over the limits at the day's start
	Clumps   float64       // share of the messages that come in clumps for one partner
	Killed   int           // so many nodes die at 12 s, and are back 1.5 s later with what they had taken on
	Slots    int           // of each node
}

// Result is of a day.
type Result struct {
	Worth   float64 // delivered, of what was asked for
	Refused float64 // calls refused over a limit, for each message
	Fell    float64 // the most that a cold partner was sent, in times what it stands; it would have fallen over above 1
	Waits   int     // calls that were sent before a wait had ended that their node was told
}

// Passed is how many calls passed at a partner in a span of the day that was played.
func (p *Partner) Passed(from, to time.Duration) (n int) {
	for _, at := range p.passed {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Play plays a day.
func (d Day) Play(seed uint64) Result {
	r := &run{Day: d, rng: rand.New(rand.NewPCG(seed, 80)), open: map[string]*message{}, lives: make([]int, d.Nodes),
		waits: map[[2]int]time.Duration{}}
	for i, p := range d.Partners {
		r.entries = append(r.entries, choice.Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: p.Limit(0) * (0.8 + 0.7*r.rng.Float64())})
		p.tokens = p.Depth * p.Limit(0)
	}
	for i := range d.Nodes {
		r.senders = append(r.senders, choice.New(d.settings(), seed*1000+uint64(i)))
		r.step(i, choice.Listed{Whole: true, Entries: r.entries})
		if i < d.Killed {
			r.at(killAt, func() { r.kill(i) })
		}
	}
	for dest, p := range d.Partners {
		perSecond := p.Limit(0) * d.Load
		plain := perSecond * (1 - d.Clumps)
		for at := r.rng.ExpFloat64() / plain; at < d.Length.Seconds(); at += r.rng.ExpFloat64() / plain {
			r.arrival(dest, at)
		}
		size := clump * p.Limit(0)
		for at := r.rng.ExpFloat64(); d.Clumps > 0 && at < d.Length.Seconds(); at += r.rng.ExpFloat64() * size / (perSecond * d.Clumps) {
			for range int(size) {
				r.arrival(dest, at+clumpSpan*r.rng.Float64())
			}
		}
	}
	for r.todo.Len() > 0 {
		e := heap.Pop(&r.todo).(event)
		if r.now = e.at; r.now > d.Length+Life+time.Second {
			break
		}
		e.do()
	}
	res := Result{Worth: r.worth / float64(r.asked), Refused: float64(r.refused) / float64(r.asked), Waits: r.broken}
	for _, p := range d.Partners {
		res.Fell = max(res.Fell, p.fell())
	}
	return res
}

func (d Day) settings() choice.Settings {
	return choice.Settings{
		Classes: []choice.Class{{Aim: Aim, Deadline: Life, Worth: 1, LateWorth: 0.3, Effect: choice.Keyed, Window: Life, GroupAll: true}},
		Kinds:   []choice.Kind{{}}, Fleet: d.Nodes, Slots: d.Slots, MaxOpen: 80, MaxAttempts: 12, MayCancel: true, Weighted: true,
		RoughWeights: true, FullTold: true, MaxRetryAfter: 3 * time.Second, ConnIdle: 5 * time.Second, Tick: time.Millisecond,
		FallMultiple: stands, Fall: fallSpan, ColdFrom: coldFrom, WarmWithin: warmIn,
	}
}

// call is a call's arrival.
func (p *Partner) call(now time.Duration, rng *rand.Rand) (choice.Outcome, choice.Report) {
	limit := p.Limit(now)
	p.tokens = min(p.tokens+limit*(now-p.at).Seconds(), p.Depth*limit)
	p.at = now
	if now-p.reported > reportSpan {
		p.report, p.reported = p.next, now
		left := min(max(p.tokens/(p.Depth*limit), 0), 1) * (1 + noise*rng.NormFloat64())
		p.next = choice.Report{HasLeft: true, HasLimit: true, Left: left, Limit: limit * (1 + noise*rng.NormFloat64())}
	}
	if p.Back > 0 && now >= p.Back && now < p.Back+warmIn {
		p.cold = append(p.cold, now)
	}
	if p.tokens < 1 {
		p.tokens = max(p.tokens-1, -p.Debt*limit)
		return choice.NoRoom, p.report
	}
	p.tokens--
	p.passed = append(p.passed, now)
	return choice.Pass, p.report
}

// fell tells by how much the worst span exceeds what it stands.
func (p *Partner) fell() (worst float64) {
	first := 0
	for i, last := range p.cold {
		for last-p.cold[first] >= fallSpan {
			first++
		}
		warm := coldFrom + (1-coldFrom)*(last-p.Back).Seconds()/warmIn.Seconds()
		worst = max(worst, float64(i-first)/(stands*spare*p.Limit(last)*warm*fallSpan.Seconds()))
	}
	return worst
}
