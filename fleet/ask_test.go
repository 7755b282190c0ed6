package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Few senders ask again soon, many in spans that the source can bear, each once before what it missed binds, and nobody waits for ever.
func TestAskingBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, random := rapid.IntRange(0, 2000).Draw(t, "n"), rapid.Float64Range(0, 0.999999).Draw(t, "random")
		var a Asking
		before := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "failures") {
			pause := a.Failed(n, random)
			if pause < before || pause > mostMost || (n <= 4 && pause > mostLeast) || (i == 0 && (pause > againMost || (n <= 4 && pause > 400*time.Millisecond))) {
				t.Fatalf("pause %d is %v, after %v", i, pause, before)
			}
			before = pause
		}
		a.Told()
		if again := a.Failed(n, random); again > before {
			t.Fatalf("%v after a success, %v before it", again, before)
		}
	})
}

// Senders whose calls fail at one instant do not come back at one: of n of them no tenth of a second sees many more than its even
// part of the span that the doc comment states, for any n, and again after further failures.
func TestSendersThatFailTogetherComeBackApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "n")
		failures := rapid.IntRange(1, 6).Draw(t, "failures")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const tenth = 100 * time.Millisecond
		counts := map[time.Duration]int{}
		for range n {
			var a Asking
			pause := time.Duration(0)
			for range failures {
				pause = a.Failed(n, rng.Float64())
			}
			counts[pause/tenth]++
		}
		span := min(time.Duration(n)*againEach, againMost) << (failures - 1)
		span = min(span, min(max(time.Duration(n)*mostEach, mostLeast), mostMost))
		even := float64(n) * min(1, float64(tenth)/float64(span))
		for at, count := range counts {
			// Beyond six deviations of a Poisson count, and one for the smallest: once in some millions of windows.
			if most := even + 6*math.Sqrt(even) + 4; float64(count) > most {
				t.Fatalf("%d of %d call in the tenth at %v, %.1f at most", count, n, at*tenth, most)
			}
		}
	})
}
