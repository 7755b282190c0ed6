package model

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"starlingusher/choice"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// plainDay is a day of one class and certain nodes and partners.
func plainDay(nodes []float64, slots, batch int, partners ...Partner) *Day {
	d := &Day{Length: 30 * sec, Partners: partners, Kinds: []choice.Kind{{Batch: max(batch, 1), Room: 60_000}}, Net: Net{Way: 15 * ms},
		Classes: []Class{{Share: 1, Class: choice.Class{Aim: 3 * sec, Deadline: 12 * sec, Worth: 1, LateWorth: 0.3, Effect: choice.Keyed,
			Window: 15 * sec, GroupAll: true}}},
		Rules: choice.Settings{MaxAttempts: 8, MayCancel: true, MaxRetryAfter: 3 * sec, FallMultiple: 1.5, Fall: 2 * sec, ColdFrom: 0.26,
			WarmWithin: 9500 * ms, Halves: true, ConnIdle: 5 * sec, Weighted: true, RoughWeights: true, Tick: ms, DrainGrace: 250 * ms, AnswerGrace: 20 * ms}}
	for _, share := range nodes {
		d.Nodes = append(d.Nodes, Node{Share: share, Slots: slots, MaxOpen: 400})
	}
	for i := range d.Partners {
		p := &d.Partners[i]
		p.Law, p.Item, p.Endpoints = Uniform, 0.15, max(p.Endpoints, 1)
		p.Limit.Reports, p.Limit.Depth = true, 0.5
		p.Weight = float64(p.Servers) / p.Service.Seconds() * float64(p.Endpoints)
	}
	return d
}

// Hard times: most of what can be delivered in time is, few calls are refused, and no rule is broken on any of the seeds.
func TestHardTimes(t *testing.T) {
	one := []float64{1}
	for _, c := range []struct {
		name        string
		day         *Day
		messages    int
		perSecond   float64 // evenly, over all partners by chance; 0 for the clump
		troubles    []Trouble
		inTime, all float64 // shares that are delivered within the aim, and at all, at least
		over        float64 // calls refused a message, at most
	}{
		{name: "a clump of three seconds finds the queue full", day: plainDay(one, 40, 1, Partner{Servers: 2, Queue: 4, Service: 200 * ms}), messages: 90,
			inTime: 0.75, all: 0.99, over: 0.5},
		{name: "a stall of half a second every three", day: plainDay(one, 40, 1, Partner{Servers: 2, Queue: 4, Service: 150 * ms},
			Partner{Servers: 4, Queue: 4, Service: 150 * ms}), messages: 150, perSecond: 10,
			troubles: []Trouble{{Ill: Stalls, For: 60 * sec, Partners: []int{0}, Size: 0.5, Every: 3 * sec}}, inTime: 0.98, all: 0.999, over: 0.12},
		{name: "a limit at a tenth for eight seconds", day: plainDay(one, 20, 10, Partner{Servers: 20, Queue: 20, Service: 150 * ms, Limit: Limit{Rate: 5}}),
			messages: 300, perSecond: 15, troubles: []Trouble{{Ill: Limits, At: 5 * sec, For: 8 * sec, Partners: []int{0}, Size: 0.1}}, inTime: 0.5, all: 0.9, over: 0.1},
		{name: "refusals use up the limit", day: plainDay(one, 20, 1, Partner{Servers: 20, Queue: 20, Service: 150 * ms, Limit: Limit{Rate: 6, Counted: true}}),
			messages: 300, perSecond: 5, inTime: 0.85, all: 0.95, over: 0.2},
		{name: "connections tear", day: plainDay(one, 20, 1, Partner{Servers: 4, Queue: 8, Service: 150 * ms}, Partner{Servers: 4, Queue: 8, Service: 300 * ms},
			Partner{Servers: 20, Queue: 20, Service: 150 * ms, Limit: Limit{Rate: 8}}), messages: 400, perSecond: 12,
			troubles: []Trouble{{Ill: Tears, For: 60 * sec, Partners: []int{0, 1, 2}, Size: 0.15}}, inTime: 0.95, all: 0.999, over: 0.1},
		{name: "a third is silent, and slots are three", day: plainDay(one, 3, 1, Partner{Servers: 8, Queue: 8, Service: 150 * ms},
			Partner{Servers: 8, Queue: 8, Service: 150 * ms}, Partner{Servers: 8, Queue: 8, Service: 150 * ms}), messages: 240, perSecond: 10,
			troubles: []Trouble{{Ill: Silent, At: 4 * sec, For: 10 * sec, Partners: []int{0}}}, inTime: 0.68, all: 0.72, over: 0.1},
		{name: "slots are a sixth too few", day: plainDay(one, 6, 1, Partner{Servers: 8, Queue: 20, Service: 130 * ms}, Partner{Servers: 5, Queue: 10, Service: 200 * ms}),
			messages: 900, perSecond: 39, inTime: 0.55, all: 0.65, over: 0.1},
		{name: "three nodes, and a large partner comes back cold", day: plainDay([]float64{0.7, 0.2, 0.1}, 40, 1, Partner{Servers: 10, Queue: 15, Service: 200 * ms},
			Partner{Servers: 10, Queue: 15, Service: 200 * ms}), messages: 2400, perSecond: 80,
			troubles: []Trouble{{Ill: Silent, At: 8 * sec, For: 8 * sec, Partners: []int{0}}}, inTime: 0.6, all: 0.75, over: 0.1},
		{name: "two nodes, and a partner with a limit that takes ten in a call comes back cold", day: plainDay([]float64{0.7, 0.3}, 20, 10,
			Partner{Servers: 4, Queue: 10, Service: 300 * ms, Limit: Limit{Rate: 5}}), messages: 900, perSecond: 25,
			troubles: []Trouble{{Ill: Silent, At: 8 * sec, For: 8 * sec, Partners: []int{0}}}, inTime: 0.2, all: 0.5, over: 0.1},
		{name: "the same, with one call in fifty answered meanwhile", day: plainDay([]float64{0.7, 0.3}, 20, 10,
			Partner{Servers: 4, Queue: 10, Service: 300 * ms, Limit: Limit{Rate: 12}}), messages: 900, perSecond: 25,
			troubles: []Trouble{{Ill: Silent, At: 8 * sec, For: 9 * sec, Partners: []int{0}, Size: 0.02}}, inTime: 0.2, all: 0.5, over: 0.1},
		{name: "endpoints are replaced while discovery is late", day: plainDay([]float64{0.6, 0.4}, 20, 1, Partner{Servers: 4, Queue: 8, Service: 150 * ms, Endpoints: 3},
			Partner{Servers: 6, Queue: 8, Service: 150 * ms, Endpoints: 2}), messages: 400, perSecond: 15,
			troubles: []Trouble{{Ill: Replace, At: 5 * sec, For: 5 * sec, Partners: []int{0, 1}, Size: 0.7}}, inTime: 0.95, all: 0.99, over: 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.day.Troubles, c.day.List.Notice = c.troubles, 2*sec
			const seeds = 6
			inTime, all, over, cold := 0.0, 0.0, 0.0, 0.0
			for seed := range uint64(seeds) {
				rng := rand.New(rand.NewPCG(seed, 4))
				day := *c.day
				for i := range c.messages {
					g := Given{At: time.Duration(float64(i) / max(c.perSecond, 1) * float64(sec)), Partner: rng.IntN(len(day.Partners))}
					if c.perSecond == 0 {
						g.At = sec + time.Duration(max(i-30, 0))*250*ms
					}
					for x := rng.Float64() - day.Nodes[0].Share; x > 0 && g.Node < len(day.Nodes)-1; x -= day.Nodes[g.Node].Share {
						g.Node++
					}
					day.Given = append(day.Given, g)
					day.Length = max(day.Length, g.At+sec)
				}
				r := day.Play(Options{Seed: seed})
				for _, b := range r.Broken {
					t.Errorf("seed %d: %v", seed, b)
				}
				inTime, all, over, cold = inTime+r.InTime/seeds, all+r.Delivered/seeds, over+r.Over/seeds, max(cold, r.Cold)
			}
			t.Logf("%.3f in time, %.3f delivered, %.3f calls refused a message, cold %.2f", inTime, all, over, cold)
			if inTime < c.inTime || all < c.all || over > c.over {
				t.Errorf("%.2f, %.2f and %.2f are wanted", c.inTime, c.all, c.over)
			}
		})
	}
}

// A Result hangs on the day and the seed alone.
func TestADayIsDeterministic(t *testing.T) {
	day := plainDay([]float64{0.5, 0.3, 0.2}, 20, 10, Partner{Servers: 4, Queue: 8, Service: 150 * ms, Rate: 12, Clumps: 0.2, Clump: 2,
		Limit: Limit{Rate: 14, Counted: true, Debt: 0.5, Noise: 0.1}, Tells: 0.5, Wait: 500 * ms, Conns: 12}, Partner{Servers: 4, Queue: 8, Service: 150 * ms, Rate: 10, Endpoints: 2})
	day.Clients = Clients{Retries: 2, Least: 300 * ms, Spread: sec}
	for _, ill := range Ills() {
		tr := Trouble{Ill: ill, At: 5 * sec, For: 4 * sec, Partners: []int{0}, Size: 0.4, Every: 2 * sec}
		if ill.OfNodes() {
			tr.Partners, tr.Nodes = nil, []int{1}
		}
		tr.At += time.Duration(ill) * sec
		day.Troubles = append(day.Troubles, tr)
	}
	var first string
	for range 3 {
		r := day.Play(Options{Seed: 9})
		got := fmt.Sprintf("%+v %v %v", r.Seconds, r.Partners, []float64{r.Service, r.Calls, r.Over, r.Cold, r.Opened, r.Work})
		if first == "" {
			first = got
		}
		if got != first {
			t.Fatalf("%s\n%s", first, got)
		}
	}
}

// Partners are cut off again and again: keyed messages are repeated within their window or not at all, though connections
// come up late. A node that does not know by when a repeat has to begin breaks the rule on the same days.
func TestNoRepeatAfterACutOff(t *testing.T) {
	day := plainDay([]float64{0.5, 0.3, 0.2}, 40, 1, Partner{Servers: 8, Queue: 8, Service: 150 * ms, Rate: 12, Endpoints: 2},
		Partner{Servers: 8, Queue: 8, Service: 150 * ms, Rate: 12, Endpoints: 2})
	day.Classes[0].Window = 3 * sec
	for at := 3 * sec; at < day.Length; at += 6 * sec {
		day.Troubles = append(day.Troubles, Trouble{Ill: CutOff, At: at, For: 3300 * ms, Partners: []int{0, 1}})
	}
	broken, ignorant := 0, 0
	for seed := range uint64(12) {
		broken += day.Play(Options{Seed: seed}).Breaches[EffectOnce.String()]
		ignorant += day.Play(Options{Seed: seed, New: func(cfg choice.Settings, seed uint64) Decider { return hasty{choice.New(cfg, seed)} }}).Breaches[EffectOnce.String()]
	}
	if broken > 0 || ignorant == 0 {
		t.Errorf("broken %d times, and %d times by nodes that do not know", broken, ignorant)
	}
}

// hasty is a Sender that does not say by when a call has to begin.
type hasty struct{ *choice.Sender }

func (h hasty) Step(now time.Duration, events []choice.Event) []choice.Action {
	all := h.Sender.Step(now, events)
	for i, a := range all {
		if s, ok := a.(choice.Send); ok {
			s.BeginBy = 0
			all[i] = s
		}
	}
	return all
}

// broken is a Sender that decides wrongly.
type broken struct {
	*choice.Sender
	wrong func(e choice.Event) choice.Event
}

func (b broken) Step(now time.Duration, events []choice.Event) []choice.Action {
	told := make([]choice.Event, len(events))
	for i, e := range events {
		told[i] = b.wrong(e)
	}
	return b.Sender.Step(now, told)
}

// Each rule's checker sees decisions that break it, with the steps that led there; and none of them sees anything in the
// decisions as they are.
func TestCheckersSeeWhatIsBroken(t *testing.T) {
	as := func(cfg func(*choice.Settings), wrong func(choice.Event) choice.Event) func(choice.Settings, uint64) Decider {
		return func(s choice.Settings, seed uint64) Decider {
			cfg(&s)
			return broken{choice.New(s, seed), wrong}
		}
	}
	same := func(e choice.Event) choice.Event { return e }
	nothing := func(*choice.Settings) {}
	for _, c := range []struct {
		rule  Rule
		class choice.Class
		ill   Trouble
		wrong func(choice.Settings, uint64) Decider
	}{
		{WaitKept, choice.Class{}, Trouble{Ill: Shut, At: 5 * sec, For: 5 * sec}, as(nothing, func(e choice.Event) choice.Event {
			if e, ok := e.(choice.Ended); ok {
				e.Wait = 0
				return e
			}
			return e
		})},
		{EffectOnce, choice.Class{Effect: choice.Unsafe}, Trouble{Ill: Tears, At: 5 * sec, For: 10 * sec, Size: 0.4},
			as(func(s *choice.Settings) { s.Classes[0].Effect = choice.Safe }, same)},
		{ColdSpared, choice.Class{}, Trouble{Ill: Down, At: 5 * sec, For: 8 * sec}, as(func(s *choice.Settings) { s.Fall = 0 }, same)},
		{DrainKept, choice.Class{}, Trouble{Ill: Replace, At: 5 * sec, For: sec, Size: 1}, as(nothing, func(e choice.Event) choice.Event {
			if l, ok := e.(choice.Listed); ok {
				l.Entries = append([]choice.Entry(nil), l.Entries...)
				for i := range l.Entries {
					l.Entries[i].Phase = choice.Ready
				}
				return l
			}
			return e
		})},
		{LimitsOfOwn, choice.Class{}, Trouble{Ill: Tears, At: 5 * sec, For: 10 * sec, Size: 0.9}, as(func(s *choice.Settings) { s.MaxAttempts = 100 }, same)},
		{OneEnd, choice.Class{}, Trouble{Ill: Silent, At: 5 * sec, For: 20 * sec}, as(nothing, func(e choice.Event) choice.Event {
			if a, ok := e.(choice.Arrived); ok {
				a.DropDead += 5 * sec
				return a
			}
			return e
		})},
	} {
		day := plainDay([]float64{1}, 60, 1, Partner{Servers: 10, Queue: 200, Service: 200 * ms, Rate: 45, Tells: 1, Wait: 700 * ms,
			Limit: Limit{Rate: 50}})
		day.Rules.MaxAttempts, day.Rules.FallMultiple = 4, 1
		class := &day.Classes[0].Class
		if class.Effect = c.class.Effect; class.Effect != choice.Unsafe {
			class.Effect = choice.Keyed
		} else {
			class.Window = 0
		}
		c.ill.Partners = []int{0}
		day.Troubles, day.List.Notice = []Trouble{c.ill}, sec
		if r := day.Play(Options{Seed: 3}); len(r.Broken) > 0 {
			t.Errorf("%v: the decisions as they are: %v", c.rule, r.Broken[0])
		}
		r := day.Play(Options{Seed: 3, New: c.wrong})
		if r.Breaches[c.rule.String()] == 0 {
			t.Errorf("%v: nothing is seen of it: %v %v", c.rule, r.Breaches, r.Partners[0].Came)
			continue
		}
		for _, b := range r.Broken {
			if b.Rule == c.rule && (b.Message == "" || len(b.Steps) < 2) {
				t.Errorf("%v: without its message and steps: %v", c.rule, b)
			}
		}
	}
}
