package fleet

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// Whatever happens to a table, what its sender keeps stays in bounds, and it is tried again soon.
func TestTableBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "n")
		var table Table
		now, lastFull, begun := time.Hour, time.Duration(-1), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause"))
			random := rapid.Float64Range(0, 0.999).Draw(t, "random")
			if rapid.Bool().Draw(t, "full") {
				table.Full(now, n, rapid.IntRange(0, 4).Draw(t, "out"), random)
				lastFull = now
				if table.Open() > now+2*shy.Longest {
					t.Fatalf("left alone for %v", table.Open()-now)
				}
			} else {
				table.Passed(now, n, true)
				begun++
			}
			// The sum over n such senders: 8 to begin with, and 8*8/n for n calls on new connections.
			if sum := float64(n) * table.part; sum > places+begun*places*share(n)+1e-9 && n > 8 {
				t.Fatalf("%d senders keep %.1f after %v calls each", n, sum, begun)
			}
			if k := table.Keep(n, random); lastFull == now && (k < 0 || k > 1) {
				t.Fatalf("%d kept just after a full table", k)
			}
		}
		if !table.Allows(now+fullSpan+2*shy.Longest, 1000) {
			t.Fatal("a table is never tried again")
		}
	})
}

// Pauses of many senders that were turned away at one instant are spread over as long as the pause itself.
func TestRestSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refusals, random := rapid.IntRange(1, 50).Draw(t, "refusals"), rapid.Float64Range(0, 0.999).Draw(t, "random")
		pause := shy.After(refusals, 0)
		if got := shy.After(refusals, random); got < pause || got >= 2*pause+1 || pause > shy.Longest || pause < shy.First {
			t.Fatalf("%v, of a pause of %v", got, pause)
		}
	})
}
