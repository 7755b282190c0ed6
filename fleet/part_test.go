package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever traffic senders have and however old their news is: once all were refused their parts sum up to no more than
// the bound, nobody's is too small to come back, and growth keeps to its pace.
func TestPartsOfALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "n")
		dead := rapid.IntRange(0, n-1).Draw(t, "dead")
		skew := rapid.Float64Range(0, 3).Draw(t, "skew")
		demand := rapid.Float64Range(0.1, 3).Draw(t, "demand") // of all, in times the limit
		parts, own, weights := make([]Part, n-dead), make([]float64, n-dead), 0.0
		for i := range own {
			own[i] = 1 / (1 + skew*float64(i))
			weights += own[i]
		}
		now, sum := time.Hour, 0.0
		for i := range parts {
			own[i] *= demand / weights
			parts[i].Refused(now, n, own[i])
			sum += parts[i].Share()
		}
		even := 1 / float64(n)
		if most := demand + partLeast; sum > most+1e-9 {
			t.Fatalf("%d parts sum up to %.2f times the limit, of a demand of %.2f", len(parts), sum, demand)
		}
		for range rapid.IntRange(1, 40).Draw(t, "passes") {
			pause := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause"))
			left := rapid.Float64Range(0, 1).Draw(t, "left")
			now += pause
			for i := range parts {
				before := parts[i].Share()
				parts[i].Passed(now, n, left)
				after := parts[i].Share()
				span := min(pause, max(time.Second, time.Duration(left*float64(partNews)))).Seconds()
				if after < before || after > 1 || after > before+partGrow*max(before, even)*span+1e-9 {
					t.Fatalf("a part grew from %v to %v in %v", before, after, pause)
				}
			}
		}
		for i := range parts { // nobody starves: any number of refusals leaves a part that is found out within so many even ones
			for range 50 {
				parts[i].Refused(now, n, own[i])
			}
			if got := parts[i].Share(); got < min(partLeast*even, 1)-1e-12 {
				t.Fatalf("a part of %v of an even one is left", got/even)
			}
		}
	})
}
