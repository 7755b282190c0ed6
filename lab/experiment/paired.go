package experiment

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"starlingusher/lab/days"
)

// Difference is how a measure differs between two arms, over pairs with the same seed.
type Difference struct {
	Measure     string  `json:"measure"`
	Pairs       int     `json:"pairs"`
	Base        float64 `json:"base"` // means
	Other       float64 `json:"other"`
	Mean        float64 `json:"mean"` // of other less base
	Low         float64 `json:"low"`  // its interval at 95%, by Student's t over the pairs
	High        float64 `json:"high"`
	Noise       bool    `json:"noise"` // the interval holds 0
	SeedsWanted int     `json:"seeds_wanted,omitempty"`
}

// Paired compares a measure of two arms that were played on the same seeds, two at least.
// Where the interval holds 0, SeedsWanted is how many pairs would tell a difference of this size, as far as this spread
// tells; 0 where there is none at all.
func Paired(measure string, base, other []days.Outcome) (Difference, error) {
	if len(base) != len(other) {
		return Difference{}, fmt.Errorf("%d days and %d: they are no pairs", len(base), len(other))
	}
	if len(base) < 2 {
		return Difference{}, errors.New("two pairs at least are wanted")
	}
	diffs := make([]float64, len(base))
	a, b := make([]float64, len(base)), make([]float64, len(base))
	for i := range base {
		if base[i].Seed != other[i].Seed {
			return Difference{}, fmt.Errorf("seeds %d and %d: they are no pair", base[i].Seed, other[i].Seed)
		}
		a[i], b[i] = base[i].Measures[measure], other[i].Measures[measure]
		diffs[i] = b[i] - a[i]
	}
	d := Difference{Measure: measure, Pairs: len(base), Base: mean(a), Other: mean(b), Mean: mean(diffs), Noise: true}
	sd := stat.StdDev(diffs, nil)
	half := quantile(d.Pairs) * sd / math.Sqrt(float64(d.Pairs))
	d.Low, d.High = d.Mean-half, d.Mean+half
	if d.Noise = d.Low <= 0 && d.High >= 0; d.Noise && d.Mean != 0 {
		d.SeedsWanted = seedsWanted(d.Mean, sd)
	}
	return d, nil
}

// seedsWanted is the least number of pairs whose interval around a mean would not hold 0; at most a million.
func seedsWanted(mean, sd float64) int {
	n := 2
	for n < 1_000_000 && quantile(n)*sd/math.Sqrt(float64(n)) >= math.Abs(mean) {
		n = max(n+1, n*11/10)
	}
	return n
}

// quantile is Student's t for an interval at 95% over so many pairs.
func quantile(n int) float64 {
	return distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
}

func mean(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return stat.Mean(x, nil)
}

// Mean is the mean of a measure and half of its interval at 95%; NaN for that of a single day.
func Mean(measure string, all []days.Outcome) (m, half float64) {
	x := make([]float64, len(all))
	for i, o := range all {
		x[i] = o.Measures[measure]
	}
	return Interval(x)
}

// Interval is the mean of values, as of differences by seed, and half of its interval at 95%; NaN for that of a single one.
func Interval(x []float64) (m, half float64) {
	if len(x) < 2 {
		return mean(x), math.NaN()
	}
	return mean(x), quantile(len(x)) * stat.StdDev(x, nil) / math.Sqrt(float64(len(x)))
}
