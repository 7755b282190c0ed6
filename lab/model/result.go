package model

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingusher/choice"
)

// bySecond counts by seconds of the day.
type bySecond []int

func (b *bySecond) count(at time.Duration) {
	second := int(at / time.Second)
	for len(*b) <= second {
		*b = append(*b, 0)
	}
	(*b)[second]++
}

// Span counts the calls from one second to before another.
func (b bySecond) Span(from, to time.Duration) (n int) {
	for i := int(from / time.Second); i < int(to/time.Second) && i < len(b); i++ {
		n += b[i]
	}
	return n
}

// Second is what came of the messages that were handed in first within one second of the day, and what happened then.
type Second struct {
	Asked, Got float64 // worth
	Refused    int     // messages turned away, each time
	Calls      int     // that passed
	Over       int     // that were refused
}

// Result is what came of a day.
type Result struct {
	Messages  int     `json:"messages"`   // of clients, however often handed in
	Worth     float64 `json:"worth"`      // delivered, of what was asked for
	WorstTen  float64 `json:"worst-ten"`  // the same over the worst ten seconds of arrivals,
	WorstPart float64 `json:"worst-part"` // and of the class or tenant that was served worst
	Service   float64 `json:"service"`    // the three together, less what calls beyond limits and connections cost; see Score
	InTime    float64 `json:"in-time"`    // share of the messages that were delivered within their aim,
	Delivered float64 `json:"delivered"`  // and at all
	Refusals  float64 `json:"refusals"`   // answers that a message may come again, a message
	Failed    float64 `json:"failed"`     // share that ended as failed
	Calls     float64 `json:"calls"`      // a message
	Over      float64 `json:"over"`       // calls refused for a limit or a full queue, a message
	Turned    float64 `json:"turned"`     // connections turned away at full tables, a message
	Opened    float64 `json:"opened"`     // connections opened, a message
	Work      float64 `json:"work"`       // server seconds a message
	Twice     int     `json:"twice"`      // keyed messages whose effect took place again, handed in again beyond their window
	Fell      int     `json:"fell"`       // partners that fell over
	Cold      float64 `json:"cold"`       // the most that a cold partner was sent by those who saw it fail, in times what it stands

	// Held is where messages spent their time, in seconds of all messages together: the holds of package choice while they
	// wait, and what became of the calls that they were in. Only with Options.Holds.
	Held     map[string]float64
	Classes  []ClassEnds
	Seconds  []Second
	Latency  *hdrhistogram.Histogram // of delivered messages, in microseconds from their first hand-in
	Partners []Calls                 // by partner
	Broken   []Broken                // the first breaches of rules
	Breaches map[string]int          // all of them, by rule
}

// Calls are a partner's, by second of the day.
type Calls struct {
	Came, Passed bySecond
	Limit        []float64 // calls a second; 0 for none
	Stands       []float64 // calls a second that it can do
}

// ClassEnds are shares of the messages of a class by their last end.
type ClassEnds struct {
	Messages                            int
	Delivered, InTime, Returned, Failed float64
}

// The weights of Score, and the prices of a call refused a message and of a connection opened a message.
const (
	ofWorth, ofTen, ofPart = 0.6, 0.25, 0.15
	priceOver, priceOpened = 0.02, 0.03
)

// Score is a result's one figure: six tenths the worth delivered, a quarter that of the worst ten seconds, the rest that of the
// class or tenant served worst; less two points of a hundred for a refused call a message and three for a connection a
// message. A day with a broken rule counts nothing.
func (r *Result) Score() float64 {
	if len(r.Broken) > 0 {
		return 0
	}
	return ofWorth*r.Worth + ofTen*r.WorstTen + ofPart*r.WorstPart - priceOver*r.Over - priceOpened*r.Opened
}

// Quantile is a quantile of the latency, in seconds.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(100*q)) / 1e6
}

// tally counts what comes of a day.
type tally struct {
	day                         *Day
	messages, delivered, timely int
	refusals, failures          int
	refused, fell, twice        int // calls, partners, effects
	calls, handshakes, turned   int
	work                        float64
	held                        map[string]float64
	worth, gained               float64
	bodies                      []*body
	seconds                     []Second
	parts                       map[[2]int]*[2]float64 // asked and got by class (0, i) and tenant (1, i)
	shares                      []share
	latency                     *hdrhistogram.Histogram
}

// share is a tenant's, over the whole fleet.
type share struct {
	tokens float64
	at     time.Duration
}

func (t *tally) begin(d *Day) {
	t.day, t.parts, t.shares = d, map[[2]int]*[2]float64{}, make([]share, len(d.Tenants))
	t.latency = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func (t *tally) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, Second{})
	}
	return &t.seconds[i]
}

// asked counts a client's new message.
func (t *tally) asked(r *run, p *partner, class int, b *body) {
	c := &t.day.Classes[class]
	b.worth = max(c.Worth, 0)
	b.part = p.Tenant
	if i := p.Tenant; i >= 0 && i < len(t.day.Tenants) && t.day.Tenants[i].PerSecond > 0 {
		s, rate := &t.shares[i], t.day.Tenants[i].PerSecond
		s.tokens = min(s.tokens+rate*(r.now-s.at).Seconds(), 2*rate+1)
		if s.at = r.now; s.tokens < 1 {
			b.worth *= t.day.Rules.OverShareWorth
			b.part = -1
		} else {
			s.tokens--
		}
	}
	t.messages++
	t.bodies = append(t.bodies, b)
	b.class = class
	t.worth += b.worth
	t.second(b.born).Asked += b.worth
	for _, k := range t.partsOf(class, b) {
		k[0] += b.worth
	}
}

func (t *tally) partsOf(class int, b *body) (all []*[2]float64) {
	keys := [][2]int{{0, class}}
	if b.part >= 0 && len(t.day.Tenants) > 0 {
		keys = append(keys, [2]int{1, b.part})
	}
	for _, k := range keys {
		if t.parts[k] == nil {
			t.parts[k] = new([2]float64)
		}
		all = append(all, t.parts[k])
	}
	return all
}

// got counts an answer that a message was delivered, the first of it.
func (t *tally) got(now time.Duration, m *message) {
	b := m.body
	if b.got {
		return
	}
	b.got = true
	age := now - b.born
	b.age = age
	worth := b.worth * t.day.Value(m.classNo, age)
	t.delivered++
	if age <= m.class.Aim {
		t.timely++
	}
	t.gained += worth
	t.second(b.born).Got += worth
	t.second(now).Calls++
	for _, k := range t.partsOf(m.classNo, b) {
		k[1] += worth
	}
	// Out of the histogram's range is nothing: a message has minutes at most.
	_ = t.latency.RecordValue(max(1, age.Microseconds()))
}

// Value is the share of its worth that a message of a class has at an age.
func (d *Day) Value(class int, age time.Duration) float64 {
	c := &d.Classes[class].Class
	switch {
	case age > c.Deadline:
		return 0
	case age <= c.Aim || c.Aim <= 0:
		return 1
	case d.Rules.Halves:
		return max(c.LateWorth, math.Exp2(-float64(age-c.Aim)/float64(c.Aim)))
	}
	return 1 - (1-c.LateWorth)*float64(age-c.Aim)/float64(max(c.Deadline-c.Aim, 1))
}

// end counts a final answer.
func (t *tally) end(m *message, how string, now time.Duration) {
	switch how {
	case "refused":
		t.refusals++
		t.second(now).Refused++
	case "failed":
		t.failures++
	}
	m.body.last = how
}

// looks samples what holds messages.
func (r *run) looks(until time.Duration) {
	const each = 100 * time.Millisecond
	r.tally.held = map[string]float64{}
	var look func()
	look = func() {
		for _, n := range r.nodes {
			if w, ok := n.decide.(waiter); ok && !n.dead {
				w.Waiting(func(_ string, why choice.Hold) { r.tally.held["held: "+why.String()] += each.Seconds() })
			}
		}
		if r.now < until {
			r.at(r.now+each, look)
		}
	}
	r.at(0, look)
}

// waiter tells what holds the messages that wait.
type waiter interface {
	Waiting(f func(id string, why choice.Hold))
}

// over counts a call that was refused.
func (t *tally) over(now time.Duration) {
	t.refused++
	t.second(now).Over++
}

func (r *run) result() *Result {
	t := &r.tally
	of := max(float64(t.messages), 1)
	res := &Result{Messages: t.messages, Worth: ratio(t.gained, t.worth), WorstTen: 1, WorstPart: 1, InTime: float64(t.timely) / of,
		Delivered: float64(t.delivered) / of, Refusals: float64(t.refusals) / of, Failed: float64(t.failures) / of,
		Calls: float64(t.calls) / of, Over: float64(t.refused) / of, Turned: float64(t.turned) / of, Opened: float64(t.handshakes) / of,
		Work: t.work / of, Twice: t.twice, Fell: t.fell, Held: t.held, Seconds: t.seconds, Latency: t.latency, Broken: r.rules.broken, Breaches: map[string]int{}}
	res.Classes = make([]ClassEnds, len(t.day.Classes))
	for _, b := range t.bodies {
		e := &res.Classes[b.class]
		e.Messages++
		switch {
		case b.got:
			e.Delivered++
			if b.age <= t.day.Classes[b.class].Aim {
				e.InTime++
			}
		case b.last == "failed":
			e.Failed++
		default:
			e.Returned++
		}
	}
	for i := range res.Classes {
		e := &res.Classes[i]
		for _, x := range []*float64{&e.Delivered, &e.InTime, &e.Returned, &e.Failed} {
			*x /= max(float64(e.Messages), 1)
		}
	}
	for rule, n := range r.rules.count {
		if n > 0 {
			res.Breaches[Rule(rule).String()] = n
		}
	}
	const ten = 10
	last := int(math.Ceil(r.day.Length.Seconds()))
	for i := 0; i+ten <= min(last, len(t.seconds)); i++ {
		asked, got := 0.0, 0.0
		for _, s := range t.seconds[i : i+ten] {
			asked += s.Asked
			got += s.Got
		}
		res.WorstTen = min(res.WorstTen, ratio(got, asked))
	}
	for _, k := range t.parts {
		res.WorstPart = min(res.WorstPart, ratio(k[1], k[0]))
	}
	for _, p := range r.partners {
		res.Cold = max(res.Cold, p.worst)
		c := Calls{Came: p.came, Passed: p.passed}
		for i := range max(last, len(p.came)) {
			at := time.Duration(i)*time.Second + time.Second/2
			c.Limit = append(c.Limit, p.limitAt(at))
			stands := p.capacity() * p.warmth(at, &r.day.Rules)
			for _, ill := range p.ills {
				if ill.Outage() && ill.during(at) {
					stands = 0
				} else if ill.Ill == Slow && ill.during(at) {
					stands /= ill.Size
				}
			}
			c.Stands = append(c.Stands, stands)
		}
		res.Partners = append(res.Partners, c)
	}
	res.Service = res.Score()
	return res
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

// Rules lists the rules that were broken, in their order.
func (r *Result) Rules() (all []string) {
	for name := range r.Breaches {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
