// Package load hands messages in to a node over real sockets by a schedule that waits for nobody: a message is due when it is
// due, however slow the answers before it are, and its latency counts from then on (no coordinated omission). It checks that
// each message that was taken on gets one end.
package load

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Schedule is when messages are due, from the start on, in order.
type Schedule = iter.Seq[time.Duration]

// Stage is a rate for a while; it changes evenly from From to To.
type Stage struct {
	From, To float64 // messages a second
	For      time.Duration
}

// Stages are one after the other: a constant rate is one stage, steps are several, and a ramp is one with two rates. Messages are
// due where the area under the rate reaches whole numbers.
func Stages(all ...Stage) Schedule {
	return func(yield func(time.Duration) bool) {
		began, due := 0.0, 0.0 // seconds, messages before the stage
		next := 1.0
		for _, s := range all {
			length := s.For.Seconds()
			slope := 0.0
			if length > 0 {
				slope = (s.To - s.From) / length
			}
			for {
				// From*t + slope*t^2/2 = next - due
				want := next - due
				t := 0.0
				if slope == 0 {
					t = want / s.From
				} else {
					root := s.From*s.From + 2*slope*want
					if root < 0 {
						break // the rate falls to nothing before that
					}
					t = (math.Sqrt(root) - s.From) / slope
				}
				if math.IsNaN(t) || t > length {
					break
				}
				if !yield(time.Duration((began + t) * float64(time.Second))) {
					return
				}
				next++
			}
			due += (s.From + s.To) / 2 * length
			began += length
		}
	}
}

// Clumps come by chance, so many messages within a span, at a rate in the mean for a while. The same seed gives the same.
func Clumps(rate float64, size int, within, length time.Duration, seed uint64) Schedule {
	return func(yield func(time.Duration) bool) {
		rng := rand.New(rand.NewPCG(seed, 11))
		var all []time.Duration
		for at := 0.0; ; {
			if at += rng.ExpFloat64() * float64(size) / rate; at >= length.Seconds() {
				break
			}
			for range size {
				all = append(all, time.Duration(at*float64(time.Second))+time.Duration(rng.Float64()*float64(within)))
			}
		}
		slices.Sort(all)
		for _, at := range all {
			if !yield(at) {
				return
			}
		}
	}
}

// Check tells what is wrong with stages.
func Check(all []Stage) error {
	for i, s := range all {
		if s.From < 0 || s.To < 0 || math.IsNaN(s.From+s.To) || math.IsInf(s.From+s.To, 0) || s.For <= 0 {
			return fmt.Errorf("stage %d: %g to %g messages a second for %v: rates are 0 and more, and a stage lasts for longer than nothing", i, s.From, s.To, s.For)
		}
	}
	return nil
}
