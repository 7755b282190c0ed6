package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Few senders ask again soon, many in spans that the source can bear, and nobody asks so late that the list binds before it can be heard.
func TestAskingBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, random := rapid.IntRange(0, 2000).Draw(t, "n"), rapid.Float64Range(0, 0.999999).Draw(t, "random")
		took := time.Duration(rapid.IntRange(0, 2500).Draw(t, "took")) * time.Millisecond
		var a Asking
		before := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "failures") {
			pause := a.Failed(n, took, random)
			if pause < before || took+pause > ToldWithin-answerTime || (n <= 4 && pause > mostLeast) ||
				(i == 0 && (pause > againMost || (n <= 4 && pause > 400*time.Millisecond))) {
				t.Fatalf("pause %d is %v, after %v", i, pause, before)
			}
			before = pause
		}
		a.Told()
		if again := a.Failed(n, took, random); again > before {
			t.Fatalf("%v after a success, %v before it", again, before)
		}
	})
}

// Senders whose calls fail at one instant do not come back at one, nor later on, whatever their calls take: of n of them no tenth of a second sees
// many more than its even part of the span that the doc comment states, for any n.
func TestSendersThatFailTogetherComeBackApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "n")
		failures := rapid.IntRange(1, 6).Draw(t, "failures")
		together := rapid.Bool().Draw(t, "calls fail at one instant") // and else each after a time of its own
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const tenth = 100 * time.Millisecond
		const longestCall = 2500 * time.Millisecond
		asking, began := make([]Asking, n), make([]time.Duration, n)
		for range failures {
			last := slices.Max(began)
			for i := range n {
				took := time.Duration(rng.Float64() * float64(longestCall))
				if at := last - began[i]; together && at <= longestCall {
					took = at
				}
				if asking[i].fails == 0 {
					took = 0
				}
				began[i] += took + asking[i].Failed(n, took, rng.Float64())
			}
		}
		counts := map[time.Duration]int{}
		for _, at := range began {
			counts[at/tenth]++
		}
		span := min(time.Duration(n)*againEach, againMost)
		even := float64(n) * min(1, float64(tenth)/float64(span))
		for at, count := range counts {
			// Beyond six deviations of a Poisson count, and one for the smallest: once in some millions of windows.
			if most := even + 6*math.Sqrt(even) + 4; float64(count) > most {
				t.Fatalf("%d of %d call in the tenth at %v, %.1f at most", count, n, at*tenth, most)
			}
		}
	})
}

// outageCalls plays n senders whose source fails each call for a time, each call taking a while to fail. It returns how late the last one asks after the
// source can be reached, and the most calls in a second from the first repeat on, in the outage and after it.
func outageCalls(n int, outage, took time.Duration, rng *rand.Rand) (last time.Duration, in, after int) {
	inOutage, afterIt := map[time.Duration]int{}, map[time.Duration]int{}
	for range n {
		var a Asking
		// Watches that stood break at once, and are asked for again within a tenth of a second.
		at := time.Duration(rng.Float64() * float64(100*time.Millisecond))
		for at < outage {
			at += took + a.Failed(n, took, rng.Float64())
			if at < outage {
				inOutage[at/time.Second]++
			}
		}
		last = max(last, at-outage)
		afterIt[(at-outage)/time.Second]++
	}
	for _, count := range inOutage {
		in = max(in, count)
	}
	for _, count := range afterIt {
		after = max(after, count)
	}
	return last, in, after
}

// Guards against nodes that ask a discovery again only long after it has come back, and so go by a list that binds no more; and against a crowd
// of them that the bound could be bought by.
func TestSendersHearSoonAfterAnOutageOfTheirSource(t *testing.T) {
	for _, n := range []int{1, 5, 30, 300, 900} {
		for _, outage := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second, time.Minute} {
			for _, took := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("n=%d/outage=%v/took=%v", n, outage, took), func(t *testing.T) {
					last, in, after := outageCalls(n, outage, took, rand.New(rand.NewPCG(1, uint64(n))))
					t.Logf("last %v after the return; %d calls in a second in the outage, %d after it", last, in, after)
					if last > ToldWithin-answerTime {
						t.Errorf("asked %v after the return", last)
					}
					// n/3.5 a second is what a first failure of all makes; a few more for few senders, and six deviations.
					even := max(float64(n)*float64(time.Second)/float64(againMost), 10)
					if most := int(even*2 + 6*math.Sqrt(even)); in > most || after > most {
						t.Errorf("%d and %d calls in a second, %d at most", in, after, most)
					}
				})
			}
		}
	}
}
