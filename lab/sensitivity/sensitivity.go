// Package sensitivity varies the tuned values of the decisions over their ranges and ranks them by what they do to a day: Morris'
// elementary effects (Technometrics 33, 1991, pages 161-174), along random paths that change one value after the other.
package sensitivity

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"starlingusher/choice"
	"starlingusher/lab/days"
	"starlingusher/lab/experiment"
)

// levels is on how many points of its range each value is tried; a step is half of them and one, as Morris has it.
const levels = 4

// Effect is what a value does to a measure when it moves over its whole range, in the measure's unit.
type Effect struct {
	Value  choice.Value `json:"value"`
	Strong float64      `json:"strong"` // mean of the absolute effects (mu*),
	Half   float64      `json:"half"`   // half of its interval at 95%, by Student's t over the paths
	Mean   float64      `json:"mean"`   // with their signs
	Spread float64      `json:"spread"` // their deviation: effects that hang on other values, or on the seed
	None   bool         `json:"none"`   // no path showed any effect at all
}

// Plan is what is varied, and how.
type Plan struct {
	Spec    *days.Spec
	Measure string
	Values  []choice.Value // to vary
	Paths   int            // 2 and more
	Seed    uint64         // of the paths; each is played on a seed of days of its own, alike at all its points
	Workers int
	Store   *experiment.Store
	Tell    func(experiment.Progress)
}

// Run plays all paths, and returns the effects, strongest first.
func (p Plan) Run(ctx context.Context) ([]Effect, error) {
	if p.Paths < 2 || len(p.Values) == 0 {
		return nil, fmt.Errorf("%d paths over %d values: two paths and one value are the least", p.Paths, len(p.Values))
	}
	type step struct {
		value int
		by    float64 // of its range
	}
	var arms []experiment.Arm
	paths := make([][]step, p.Paths)
	effects := make([][]float64, len(p.Values))
	for i := range p.Paths {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		at := make([]float64, len(p.Values))
		for k := range at {
			at[k] = float64(rng.IntN(levels)) / (levels - 1)
		}
		add := func() error {
			spec := p.Spec
			for k, v := range p.Values {
				var err error
				x := strconv.FormatFloat(min(v.Least+at[k]*(v.Most-v.Least), v.Most), 'g', -1, 64)
				if spec, err = spec.With(days.TunedPrefix+v.Name, x); err != nil {
					return err
				}
			}
			arms = append(arms, experiment.Arm{Name: fmt.Sprintf("path %d", i), Spec: spec})
			return nil
		}
		if err := add(); err != nil {
			return nil, err
		}
		const jump = float64(levels) / (2 * (levels - 1))
		for _, k := range rng.Perm(len(at)) {
			by := jump
			if at[k]+by > 1+1e-9 {
				by = -jump
			}
			at[k] += by
			paths[i] = append(paths[i], step{k, by})
			if err := add(); err != nil {
				return nil, err
			}
		}
	}
	// Each path is a plan of its own, on its own seed: pairs of neighbours differ in one value alone.
	each := len(p.Values) + 1
	done, total := 0, len(arms)
	for i := range p.Paths {
		plan := experiment.Plan{Arms: arms[i*each : (i+1)*each], Seeds: []uint64{p.Seed*1000 + uint64(i)}, Workers: p.Workers, Store: p.Store}
		if p.Tell != nil {
			plan.Tell = func(g experiment.Progress) {
				p.Tell(experiment.Progress{Done: done + g.Done, Total: total, Left: g.Left})
			}
		}
		all, err := plan.Play(ctx)
		if err != nil {
			return nil, err
		}
		done += each
		for j, s := range paths[i] {
			change := all[j+1][0].Measures[p.Measure] - all[j][0].Measures[p.Measure]
			effects[s.value] = append(effects[s.value], change/s.by)
		}
	}
	result := make([]Effect, len(p.Values))
	for k, v := range p.Values {
		abs := make([]float64, len(effects[k]))
		none := true
		for i, x := range effects[k] {
			abs[i] = math.Abs(x)
			none = none && x == 0
		}
		n := float64(len(abs))
		t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975)
		result[k] = Effect{Value: v, Strong: stat.Mean(abs, nil), Half: t * stat.StdDev(abs, nil) / math.Sqrt(n), Mean: stat.Mean(effects[k], nil),
			Spread: stat.StdDev(effects[k], nil), None: none}
	}
	slices.SortStableFunc(result, func(a, b Effect) int { return cmp.Compare(b.Strong, a.Strong) })
	return result, nil
}
