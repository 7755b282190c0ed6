package node

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A client's commands cost no more units than come back in the time that it takes, beyond its first ones, and one that rests has all of them again.
func TestPaceBoundsAClientsCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pace
		began := time.Now()
		now, units := began, 0
		for range rapid.IntRange(1, 300).Draw(t, "turns") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "microseconds between two turns")) * time.Microsecond)
			cost := rapid.IntRange(1, maxOwed*paceNothing).Draw(t, "units")
			units += cost
			now = now.Add(p.spend(now, cost))
			if most := paceBurst + int(now.Sub(began)/paceUnit) + 1; units > most {
				t.Fatalf("%d units in %v, %d at most", units, now.Sub(began), most)
			}
		}
		now = now.Add(paceBurst * paceUnit)
		if pause := p.spend(now, paceBurst); pause != 0 {
			t.Errorf("after a rest the first commands wait for %v", pause)
		}
	})
}
