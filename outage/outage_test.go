package outage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestGap(t *testing.T) {
	const s = time.Second
	type failure struct {
		at   time.Duration
		torn bool
	}
	for _, c := range []struct {
		name   string
		before time.Duration // a pass; 0 none
		failed []failure
		stays  bool
		passes time.Duration
		brief  bool
	}{
		{"connections that broke, and a pass soon after", 10 * s, []failure{{11 * s, true}, {11 * s, true}}, false, 12 * s, true},
		{"an error among them", 10 * s, []failure{{11 * s, true}, {11 * s, false}, {11 * s, true}}, false, 12 * s, false},
		{"an error first", 10 * s, []failure{{11 * s, false}, {11 * s, true}}, false, 12 * s, false},
		{"long", 10 * s, []failure{{11 * s, true}}, false, 10*s + Shortest, false},
		{"nothing known before", 0, []failure{{1 * s, true}}, false, 2 * s, false},
		{"on the way back from another", 10 * s, []failure{{11 * s, true}}, true, 12 * s, false},
	} {
		var g Gap
		if c.before > 0 {
			g.Passed(c.before, 1)
		}
		for i, f := range c.failed {
			g.Failed(i == 0, f.torn)
		}
		if c.stays {
			g.Stays()
		}
		if got := g.Passed(c.passes, 1); got != c.brief {
			t.Errorf("%s: brief: %v", c.name, got)
		}
		if g.Passed(c.passes+s, 1) {
			t.Errorf("%s: two passes in a row had a gap between them", c.name)
		}
	}
}

// A run that is no luck is the longer the more fails everywhere, and within bounds.
func TestRunGrowsWithTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Share
		last := s.Run(2)
		if last != 2 {
			t.Fatalf("with nothing failing %v in a row are needed", last)
		}
		for range rapid.IntRange(0, 200).Draw(t, "failures") {
			s.Failed()
			if r := s.Run(2); r < last || r > 12 {
				t.Fatalf("%v in a row, %v before one more failure", r, last)
			} else {
				last = r
			}
		}
		for range 300 {
			s.Passed()
		}
		if s.Run(3) != 3 {
			t.Fatalf("after 300 passes still %v", s.Run(3))
		}
	})
}

// What a way back may begin with is a margin less than what passed, whatever its rhythm, and stays while the way back lasts.
func TestBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		every := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms between passes")) * time.Millisecond
		work := rapid.Float64Range(1, 4).Draw(t, "work")
		var g Gap
		now := time.Second
		for range int(40*time.Second/every) + 1 {
			g.Passed(now, work)
			now += every
		}
		if g.Before() != 0 {
			t.Fatal("before any outage")
		}
		g.Struck()
		rate := work / every.Seconds()
		got := g.Before()
		// A pass counts in full when it comes, so a slow rhythm reads high by half a pass in the span.
		if high := keep * (rate + work/flowSpan.Seconds()); got > high || got < 0.9*keep*rate {
			t.Fatalf("%v a second passed, the way back begins with %v", rate, got)
		}
		g.Passed(now+time.Minute, work)
		if g.Before() != got {
			t.Fatal("a pass on the way back changed what was before")
		}
	})
}
