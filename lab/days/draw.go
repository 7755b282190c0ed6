package days

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/lab/model"
)

// dice draws by names: what is drawn for one field hangs on the seed and the field's name alone, so that a file with one
// field changed has the same days otherwise.
type dice uint64

func (d dice) stream(name string) *rand.PCG {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.NewPCG(uint64(d), h.Sum64())
}

func (d dice) uniform(name string) float64 { return float64(d.stream(name).Uint64()>>11) / (1 << 53) }

// number draws from a range; by logarithms where it spans a factor of eight.
func (d dice) number(name string, r Range) float64 {
	u := d.uniform(name)
	if r.Lo > 0 && r.Hi >= 8*r.Lo {
		return r.Lo * math.Pow(r.Hi/r.Lo, u)
	}
	return r.Lo + u*(r.Hi-r.Lo)
}

// whole draws a whole number, both ends included.
func (d dice) whole(name string, r Range) int {
	return int(math.Floor(r.Lo + d.uniform(name)*(math.Floor(r.Hi)-math.Floor(r.Lo)+1)))
}

func (d dice) span(name string, s Span) time.Duration {
	return time.Duration(d.number(name, Range{Lo: float64(s.Lo), Hi: float64(s.Hi)}))
}

func flag(b *bool) bool { return b == nil || *b }

// Draw draws the day of a seed.
func (s *Spec) Draw(seed uint64) *model.Day {
	d := dice(seed)
	day := &model.Day{Length: d.span("length", s.Length.or(40*time.Second))}
	day.Net = model.Net{Way: d.span("way", s.Net.Way.or(3*time.Millisecond)), Jitter: d.number("jitter", s.Net.Jitter.or(0.2, 0.2))}
	day.Clients = model.Clients{Retries: d.whole("retries", s.Clients.Retries.or(2, 2)), Least: d.span("least", s.Clients.Least.or(400*time.Millisecond)),
		Spread: d.span("spread", s.Clients.Spread.or(time.Second))}
	day.List = model.Discovery{Alone: s.List.Alone, Notice: d.span("notice", s.List.Notice.or(2*time.Second)), Source: model.Source{Each: d.span("each", s.List.Each),
		Patience: d.span("patience", s.List.Patience.or(2*time.Second)), Backlog: d.span("backlog", s.List.Backlog.or(4*time.Second))}}
	r := s.Rules
	day.Rules = choice.Settings{
		MaxAttempts: d.whole("attempts", r.Attempts.or(12, 12)), MayCancel: flag(r.Cancel), Halves: r.Halves, RoughWeights: flag(r.Rough),
		FullTold: r.FullTold, Weighted: true, OverShareWorth: d.number("over-share", r.OverShare.or(0.05, 0.05)), Tick: time.Millisecond, AnswerGrace: 20 * time.Millisecond,
		MaxRetryAfter: d.span("again", r.Again.or(3*time.Second)), ConnIdle: d.span("idle", r.Idle.or(5*time.Second)),
		DrainGrace: d.span("drain-grace", r.Drain.or(250*time.Millisecond)), FallMultiple: d.number("fall", r.Multiple.or(1.5, 1.5)),
		Fall: d.span("fall-within", r.Fall.or(2*time.Second)), ColdFrom: d.number("cold-from", r.ColdFrom.or(0.3, 0.3)),
		WarmWithin: d.span("warm", r.Warm.or(10*time.Second)),
	}
	service := s.classes(day, d)
	traffic := d.number("traffic", s.Traffic)
	for i, t := range s.Tenants {
		day.Tenants = append(day.Tenants, model.Tenant{PerSecond: traffic * d.number(fmt.Sprint("tenant", i), t.Share)})
	}
	rates := s.partners(day, d, traffic, d.number("load", s.Load.or(0.8, 0.8)))
	s.fleet(day, d, traffic, rates*service)
	for i, t := range s.Troubles {
		day.Troubles = append(day.Troubles, s.trouble(day, d, i, t))
	}
	return day
}

// classes draws the classes, and tells the mean factor on service times.
func (s *Spec) classes(day *model.Day, d dice) (service float64) {
	shares := 0.0
	for i, c := range s.Classes {
		at := fmt.Sprint("class", i)
		effect := map[string]choice.Effect{"safe": choice.Safe, "keyed": choice.Keyed, "unsafe": choice.Unsafe}[c.Effect]
		one := model.Class{Share: d.number(at+"share", c.Share.or(1, 1)), Service: d.number(at+"service", c.Service.or(1, 1)), Class: choice.Class{
			Aim: d.span(at+"aim", c.Aim), Deadline: d.span(at+"life", c.Life), Worth: d.number(at+"worth", c.Worth.or(1, 1)),
			LateWorth: d.number(at+"late", c.Late.or(0.3, 0.3)), Effect: effect, Window: d.span(at+"window", c.Window), GroupAll: effect == choice.Keyed,
			Ordered: c.Ordered}}
		day.Classes = append(day.Classes, one)
		service += one.Share * one.Service
		shares += one.Share
	}
	return service / shares
}

// partners draws the partners, and tells how many slots a message a second keeps busy in the mean.
func (s *Spec) partners(day *model.Day, d dice, traffic, load float64) (busy float64) {
	type group struct {
		spec   Partners
		number int
		kind   int
	}
	var all []group
	left := 1.0
	for k, p := range s.Partners {
		day.Kinds = append(day.Kinds, choice.Kind{Batch: d.whole(fmt.Sprint("batch", k), p.Batch.or(1, 1)), Room: 60_000})
		for i := range d.whole(fmt.Sprint("count", k), p.Count) {
			all = append(all, group{p, i, k})
		}
		if p.Traffic.Set {
			left -= d.number("share"+p.Name, p.Traffic)
		}
	}
	// Within a kind that has a share of its own, and over those that have none, traffic falls by zipf.
	zipf := d.number("zipf", s.Zipf.or(0.9, 0.9))
	sums, ranks, parts := map[string]float64{}, map[string]int{}, make([]float64, len(all))
	pool := func(g group) string {
		if g.spec.Traffic.Set {
			return g.spec.Name
		}
		return ""
	}
	for i, g := range all {
		ranks[pool(g)]++
		parts[i] = math.Pow(float64(ranks[pool(g)]), -zipf)
		sums[pool(g)] += parts[i]
	}
	for i, g := range all {
		share := max(left, 0)
		if g.spec.Traffic.Set {
			share = d.number("share"+g.spec.Name, g.spec.Traffic)
		}
		rate := traffic * share * parts[i] / sums[pool(g)] // at load 1
		p := s.partner(d, g.spec, fmt.Sprint(g.spec.Name, g.number), rate, float64(day.Kinds[g.kind].Batch))
		p.Kind, p.Rate = g.kind, rate*load
		if len(day.Tenants) > 0 {
			p.Tenant = d.whole(fmt.Sprint("tenant of", g.spec.Name, g.number), Range{Hi: float64(len(day.Tenants) - 1)})
		}
		day.Partners = append(day.Partners, p)
		busy += rate / traffic * (p.Service + 2*day.Net.Way).Seconds()
	}
	return busy
}

// partner draws one with so many messages a second at load 1.
func (s *Spec) partner(d dice, g Partners, at string, rate, batch float64) model.Partner {
	p := model.Partner{
		Service: d.span(at+"service", g.Service.or(150*time.Millisecond)), CV: d.number(at+"cv", g.CV.or(0.5, 0.5)),
		Clumps: d.number(at+"clumps", g.Clumps), Clump: d.span(at+"clump", g.Clump.or(1800*time.Millisecond)).Seconds(),
		Endpoints: d.whole(at+"endpoints", g.Endpoints.or(1, 1)), Item: d.number(at+"item", g.Item.or(0.15, 0.15)),
		Tells: d.number(at+"tells", g.Tells.or(0.4, 0.4)), Wait: d.span(at+"wait", g.Wait.or(700*time.Millisecond)),
		Law: map[string]model.Law{"": model.LogNormal, "lognormal": model.LogNormal, "exponential": model.Exponential,
			"uniform": model.Uniform, "fixed": model.Fixed}[g.Law],
	}
	// What a call of several messages takes off a limit is one; half of the most in a call is what comes together.
	calls := rate / max(1, batch/2)
	takes := rate
	if l := g.Limit; l != nil {
		one := model.Limit{Rate: max(calls*d.number(at+"headroom", l.Headroom.or(1.3, 1.3)), d.number(at+"least", l.Least.or(2, 2))),
			Window: d.span(at+"window", l.Window), Depth: d.span(at+"depth", l.Depth.or(500*time.Millisecond)).Seconds(),
			Counted: d.uniform(at+"counted") < d.number(at+"counts", l.Counted), Debt: d.span(at+"debt", l.Debt).Seconds(),
			Reports: flag(l.Reports), Period: d.span(at+"period", l.Period.or(250*time.Millisecond)),
			Delay: d.span(at+"delay", l.Delay.or(100*time.Millisecond)), Noise: d.number(at+"noise", l.Noise.or(0.08, 0.08))}
		p.Limit = one
		takes = one.Rate * (1 + (batch-1)/2*p.Item)
	} else {
		p.Limit.Reports = true // that there is none
	}
	takes = max(takes, 1) * d.number(at+"spare", g.Spare.or(1.3, 1.3))
	p.Servers = max(1, int(math.Ceil(takes*p.Service.Seconds()/float64(p.Endpoints))))
	p.Queue = int(math.Ceil(float64(p.Servers) * d.number(at+"queue", g.Queue.or(2, 2))))
	if g.Conns.Set {
		p.Conns = max(8, int(float64(p.Servers)*d.number(at+"conns", g.Conns)))
	}
	listed := cmp.Or(p.Limit.Rate, float64(p.Servers*p.Endpoints)/p.Service.Seconds())
	p.Weight = listed * d.number(at+"listed", g.Listed.or(1, 1))
	return p
}

// fleet draws the nodes.
func (s *Spec) fleet(day *model.Day, d dice, traffic, busy float64) {
	f := s.Fleet
	skew := d.number("skew", f.Skew.or(1.5, 1.5))
	slots, least := d.number("slots", f.Slots.or(2, 2)), d.number("least-slots", f.LeastSlots.or(4, 4))
	hold, leastHold := d.span("hold", f.Hold.or(8*time.Second)).Seconds(), d.number("least-hold", f.LeastHold.or(16, 16))
	total := 0.0
	for i := range d.whole("nodes", f.Nodes.or(3, 3)) {
		n := model.Node{Share: math.Pow(0.15+0.85*d.uniform(fmt.Sprint("node", i)), skew)}
		total += n.Share
		day.Nodes = append(day.Nodes, n)
	}
	for i := range day.Nodes {
		n := &day.Nodes[i]
		part := n.Share / total * traffic
		n.Slots = int(math.Ceil(max(least, slots*part*busy)))
		n.MaxOpen = int(math.Ceil(max(leastHold, hold*part)))
	}
}

// trouble draws when it comes, how long it lasts, and whom it strikes.
func (s *Spec) trouble(day *model.Day, d dice, i int, t Trouble) model.Trouble {
	at := fmt.Sprint("trouble", i)
	ill, _ := illOf(t.Kind)
	one := model.Trouble{Ill: ill, At: d.span(at+"at", t.At), For: d.span(at+"for", t.For), Size: d.number(at+"size", t.Size), Every: d.span(at+"every", t.Every)}
	order := rand.New(d.stream(at + "whom"))
	within := func(all []int, n int) []int {
		return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i >= n })
	}
	if ill.OfNodes() {
		if t.Whom != nil {
			one.Nodes = within(t.Whom, len(day.Nodes))
			return one
		}
		n := d.number(at+"nodes", t.Nodes)
		if t.Nodes.Hi < 1 {
			n *= float64(len(day.Nodes))
		}
		one.Nodes = order.Perm(len(day.Nodes))[:min(int(math.Round(n)), len(day.Nodes))]
		slices.Sort(one.Nodes)
		return one
	}
	if ill == model.Stale || t.Whom != nil {
		one.Partners = within(t.Whom, len(day.Partners))
		return one
	}
	whole := 0.0
	for _, p := range day.Partners {
		whole += p.Rate
	}
	want, number, got := d.number(at+"traffic", t.Traffic)*whole, d.whole(at+"number", t.Number), 0.0
	for _, k := range order.Perm(len(day.Partners)) {
		p := day.Partners[k]
		if t.Of != "" && s.Partners[p.Kind].Name != t.Of {
			continue
		}
		switch {
		case t.Number.Set && len(one.Partners) >= number:
		case t.Traffic.Set && got > 0 && got+p.Rate > 1.15*want: // it would be far more
		default:
			one.Partners = append(one.Partners, k)
			got += p.Rate
		}
	}
	slices.Sort(one.Partners)
	return one
}
