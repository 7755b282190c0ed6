// Package search looks for days that hurt: it draws troubles, plays the days, keeps the worst, and shrinks them to the
// smallest that still hurt. A search is deterministic by its seed.
package search

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"starlingusher/choice"
	"starlingusher/lab/days"
	"starlingusher/lab/model"
)

// Target is what a search looks for.
type Target uint8

// The targets.
const (
	// Rule is a broken rule.
	Rule Target = iota
	// Metastable is a fleet whose load is back to normal and whose service is not, 30 s after the last trouble has ended and
	// every partner is warm: of ten seconds of messages at least a fifth less is delivered than without the troubles.
	Metastable
)

// String is the target's name.
func (t Target) String() string { return [...]string{"rule", "metastable"}[t] }

const (
	settleAfter = 30 * time.Second // of the last trouble and its way back
	watched     = 10 * time.Second // of arrivals, from then on
	lost        = 0.2              // of the service without troubles
	mostIlls    = 4                // in a drawn day
	// Outages on record last five seconds and more, and the decisions take shorter ones for none (outage.Shortest): a
	// partner that is cold after less has not been met.
	shortest = 3 * time.Second
)

// Search is what is looked for, and where.
type Search struct {
	Spec    *days.Spec
	Target  Target
	Budget  int // days that may be played, shrinking included
	Workers int
	Seed    uint64
	Keep    int // finds, at most
	// New makes the decisions that are played; nil for the program's own.
	New func(cfg choice.Settings, seed uint64) model.Decider
	// Kinds are the troubles that may be drawn; nil for all.
	Kinds []model.Ill
}

// Find is a day that hurts.
type Find struct {
	Seed     uint64          // of its draw
	Length   time.Duration   // of its arrivals
	Troubles []model.Trouble // shrunk
	Drawn    int             // troubles that it had before
	Hurt     float64         // by the target's measure: breaches, or the share of the service that is lost
	Why      string
	Played   int // days that had been played when it was found
}

// Run searches until the budget is used up or ctx ends, whichever is first, and returns the finds, worst first, and how many
// days were played.
func (s Search) Run(ctx context.Context) ([]Find, int, error) {
	if s.Budget < 1 {
		return nil, 0, fmt.Errorf("a budget of %d days plays none", s.Budget)
	}
	type found struct {
		Find
		day *model.Day
	}
	var finds []found
	played := 0
	// A third of the budget is for shrinking what the rest finds.
	for round := 0; played < s.Budget*2/3 && len(finds) < max(s.Keep, 1) && ctx.Err() == nil; round++ {
		size := min(max(s.Workers, 1)*4, s.Budget*2/3-played)
		batch := make([]found, size)
		s.each(size, func(i int) {
			seed := s.Seed + uint64(played+i)
			day := s.draw(seed)
			hurt, why := s.hurt(day, seed)
			batch[i] = found{Find{Seed: seed, Drawn: len(day.Troubles), Hurt: hurt, Why: why, Played: played + i + 1}, day}
		})
		played += size
		for _, f := range batch {
			if f.Hurt > 0 {
				finds = append(finds, f)
			}
		}
	}
	slices.SortStableFunc(finds, func(a, b found) int { return cmp.Compare(b.Hurt, a.Hurt) })
	finds = finds[:min(len(finds), max(s.Keep, 1))]
	var all []Find
	for i, f := range finds {
		most := (s.Budget - played) / (len(finds) - i)
		day, n := s.shrink(ctx, f.day, f.Seed, most)
		played += n
		f.Find.Troubles, f.Find.Length = day.Troubles, day.Length
		f.Find.Hurt, f.Find.Why = s.hurt(day, f.Seed)
		all = append(all, f.Find)
	}
	return all, played, ctx.Err()
}

// each does something for 0 to n-1 by the workers.
func (s Search) each(n int, do func(i int)) {
	var wait sync.WaitGroup
	todo := make(chan int)
	for range max(s.Workers, 1) {
		wait.Go(func() {
			for i := range todo {
				do(i)
			}
		})
	}
	for i := range n {
		todo <- i
	}
	close(todo)
	wait.Wait()
}

// draw is the day of a seed with troubles drawn for it in place of the file's.
func (s Search) draw(seed uint64) *model.Day {
	day := s.Spec.Draw(seed)
	rng := rand.New(rand.NewPCG(seed, 0x5ea))
	kinds := s.Kinds
	if kinds == nil {
		kinds = model.Ills()
	}
	day.Troubles = nil
	begins := day.Length / 5
	for range 1 + rng.IntN(mostIlls) {
		t := model.Trouble{Ill: kinds[rng.IntN(len(kinds))]}
		t.At = begins + time.Duration(rng.Int64N(int64(day.Length/3)))
		t.For = time.Second + time.Duration(rng.Int64N(int64(15*time.Second)))
		switch t.Ill {
		case model.Failing, model.Tears, model.Worn, model.Spoilt, model.Lost, model.Replace:
			t.Size = 0.05 + 0.95*rng.Float64()
		case model.Silent:
			t.Size = 0.05 * float64(rng.IntN(2))
		case model.Slow:
			t.Size = 1.5 + 18*rng.Float64()
		case model.Surge:
			t.Size = 1.2 + 2*rng.Float64()
		case model.Limits:
			t.Size = 0.1 + 0.7*rng.Float64()
		case model.Stalls:
			t.Every = 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
			t.Size = 0.2 + 0.5*rng.Float64()
		case model.Kill, model.Leave:
			t.Every = time.Duration(rng.Int64N(int64(3 * time.Second)))
			t.Nodes = pick(rng, len(day.Nodes))
		}
		if !t.Ill.OfNodes() && t.Ill != model.Stale {
			t.Partners = pick(rng, len(day.Partners))
		}
		if t.Outage() {
			t.For = max(t.For, shortest)
		}
		day.Troubles = append(day.Troubles, t)
	}
	if s.Target == Metastable {
		day.Length = s.watch(day) + watched
	}
	return day
}

// pick draws some of n, at least one.
func pick(rng *rand.Rand, n int) []int {
	all := rng.Perm(n)[:1+rng.IntN(n)]
	slices.Sort(all)
	return all
}

// watch is from when on a metastable day is watched.
func (s Search) watch(day *model.Day) time.Duration {
	end := time.Duration(0)
	for _, t := range day.Troubles {
		back := time.Duration(0)
		if t.Ill != model.Surge && t.Ill != model.Stale {
			back = day.Rules.WarmWithin
		}
		end = max(end, t.At+t.For+t.Every+back)
	}
	return (end + settleAfter).Round(time.Second)
}

// hurt plays a day and tells how much it hurts, 0 for not enough.
func (s Search) hurt(day *model.Day, seed uint64) (float64, string) {
	options := s.Spec.Options(seed)
	if s.New != nil {
		options.New = s.New
	}
	r := day.Play(options)
	if s.Target == Rule {
		total := 0
		for _, n := range r.Breaches {
			total += n
		}
		if total == 0 {
			return 0, ""
		}
		return float64(total), r.Broken[0].String()
	}
	calm := *day
	calm.Troubles = nil
	from := int(s.watch(day) / time.Second)
	with, without := served(r, from), served(calm.Play(options), from)
	if with >= (1-lost)*without {
		return 0, ""
	}
	return 1 - with/without, fmt.Sprintf("%.3f of the worth handed in from %d s on is delivered, %.3f without the troubles", with, from, without)
}

// served is the share of the worth that came in the watched span and was delivered.
func served(r *model.Result, from int) float64 {
	asked, got := 0.0, 0.0
	for i := from; i < from+int(watched/time.Second) && i < len(r.Seconds); i++ {
		asked += r.Seconds[i].Asked
		got += r.Seconds[i].Got
	}
	if asked == 0 {
		return 1
	}
	return got / asked
}

// shrink makes a day smaller while it still hurts: whole troubles go first, then whom they strike, how long they last, and how
// large they are. It tells how many days it played.
func (s Search) shrink(ctx context.Context, day *model.Day, seed uint64, most int) (*model.Day, int) {
	played := 0
	try := func(change func(d *model.Day) bool) bool {
		if played >= most || ctx.Err() != nil {
			return false
		}
		smaller := *day
		smaller.Troubles = make([]model.Trouble, len(day.Troubles))
		for i, t := range day.Troubles {
			t.Partners, t.Nodes = slices.Clone(t.Partners), slices.Clone(t.Nodes)
			smaller.Troubles[i] = t
		}
		if !change(&smaller) {
			return false
		}
		played++
		if h, _ := s.hurt(&smaller, seed); h == 0 {
			return false
		}
		day = &smaller
		return true
	}
	halves := func(list func(t *model.Trouble) *[]int, i int) bool {
		return try(func(d *model.Day) bool {
			l := list(&d.Troubles[i])
			if len(*l) < 2 {
				return false
			}
			*l = (*l)[:len(*l)/2]
			return true
		}) || try(func(d *model.Day) bool {
			l := list(&d.Troubles[i])
			if len(*l) < 2 {
				return false
			}
			*l = (*l)[len(*l)/2:]
			return true
		})
	}
	for again := true; again; {
		again = false
		for i := len(day.Troubles) - 1; i >= 0; i-- {
			again = try(func(d *model.Day) bool {
				d.Troubles = slices.Delete(d.Troubles, i, i+1)
				return len(d.Troubles) > 0
			}) || again
		}
		for i := range day.Troubles {
			for halves(func(t *model.Trouble) *[]int { return &t.Partners }, i) || halves(func(t *model.Trouble) *[]int { return &t.Nodes }, i) {
				again = true
			}
			for try(func(d *model.Day) bool {
				t := &d.Troubles[i]
				t.For = (t.For / 2).Round(time.Millisecond)
				return t.For >= 200*time.Millisecond && (!t.Outage() || t.For >= shortest)
			}) {
				again = true
			}
		}
	}
	return day, played
}
