package tally

import (
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/internal/planted"
	"starlingusher/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// In whatever order reports come, however often, with lives that end, come back and begin anew: what a node knows of the sum lies
// within what it says, and once all is told everybody knows the same, each call counted once.
func TestSumsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "n")
		const pace = 10
		now := time.Minute
		var lives uint64
		nodes := make([]*Tally, n)
		start := func(i int) {
			lives++
			nodes[i] = New(Life{fmt.Sprint("n", i), lives}, now)
			nodes[i].Pace(pace)
			for j := range nodes {
				if nodes[j] != nil {
					nodes[j].Here(fmt.Sprint("n", i), lives)
					nodes[i].Here(fmt.Sprint("n", j), nodes[j].self.Life)
				}
			}
		}
		for i := range nodes {
			start(i)
		}
		keys := []Key{{1, ""}, {1, "e"}, {2, ""}}
		truth := map[Key]uint64{}
		count := func(i int, n uint64) {
			key := keys[rapid.IntRange(0, 2).Draw(t, "key")]
			nodes[i].Add(key, Begun, n)
			truth[key] += n
		}
		var air [][]Report
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // a second, in which each begins no more than its pace
				now += time.Second
				for j := range nodes {
					count(j, uint64(rapid.IntRange(0, pace).Draw(t, "calls")))
				}
			case 1, 2:
				air = append(air, nodes[i].News(now, rapid.IntRange(1, 9).Draw(t, "most"), rapid.Bool().Draw(t, "whole")))
			case 3, 4:
				if len(air) > 0 {
					r := air[rapid.IntRange(0, len(air)-1).Draw(t, "which")]
					nodes[i].Take(now, r)
				}
			case 5: // all that it counted and told nobody is lost with it
				for j := range nodes {
					if j != i {
						nodes[j].Take(now, nodes[i].News(now, 0, true))
					}
				}
				start(i)
			}
			for j := range nodes {
				for _, key := range keys {
					if b := nodes[j].Sum(now, key, Begun); b.Low > truth[key] || b.Low > b.High {
						t.Fatalf("node %d says %+v of %v, it is %d", j, b, key, truth[key])
					}
				}
			}
		}
		for range 2 {
			for i := range nodes {
				r := nodes[i].News(now, 0, true)
				for j := range nodes {
					nodes[j].Take(now, r)
					nodes[j].Take(now, r)
				}
			}
		}
		for _, key := range keys {
			for j := range nodes {
				b := nodes[j].Sum(now, key, Begun)
				if b.Low != truth[key] || b.High != truth[key] || b.Oldest != 0 {
					t.Fatalf("node %d says %+v of %v, it is %d", j, b, key, truth[key])
				}
			}
		}
		// From here on nothing is told, and each begins what its pace allows.
		silent := time.Duration(rapid.IntRange(1, 20).Draw(t, "silent")) * time.Second
		now += silent
		for j := range nodes {
			nodes[j].Add(keys[0], Begun, uint64(silent.Seconds()*pace))
			truth[keys[0]] += uint64(silent.Seconds() * pace)
		}
		nodes[0].Take(now, nodes[1].News(now, 0, true)) // which knows no more of the others, and as old as it is
		if b := nodes[0].Sum(now, keys[0], Begun); truth[keys[0]] < b.Low || truth[keys[0]] > b.High || b.Oldest != silent {
			t.Fatalf("after %v of silence: %+v, it is %d", silent, b, truth[keys[0]])
		}
	})
}

// State is bounded: lives that are gone make room, and are not counted again when they are told again.
func TestRoom(t *testing.T) {
	node := New(Life{"self", 1}, 0)
	key := Key{Dest: 3}
	report := func(i int) []Report {
		return []Report{{Life: Life{fmt.Sprint("n", i), uint64(i + 2)}, Counts: map[Key]Counts{key: {Begun: 1}}}}
	}
	for i := range 3 * mostMembers / 2 {
		node.Take(time.Duration(i), report(i))
		node.Here(fmt.Sprint("n", i), 0)
		node.Take(time.Duration(i), report(i/2))
	}
	if len(node.all) > mostMembers {
		t.Errorf("%d lives are kept", len(node.all))
	}
	if b := node.Sum(0, key, Begun); b.Low != 3*mostMembers/2 {
		t.Errorf("%d calls counted, there were %d", b.Low, 3*mostMembers/2)
	}
	for i := range MostKeys + 5 {
		node.Add(Key{Dest: i}, Passed, 1)
	}
	if node.Skipped() != 5 || len(node.all[node.self].counts) != MostKeys {
		t.Errorf("%d skipped, %d kept", node.Skipped(), len(node.all[node.self].counts))
	}
	if got := len(maps.Clone(node.all[node.self].news)); got > MostKeys {
		t.Errorf("%d keys to tell", got)
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	planted.Check(t, "../..", "./peers/tally", "^(TestSumsAgree|TestRoom)$", []planted.Fault{
		{Name: "a report adds up instead of merging", File: "peers/tally/tally.go", Old: "c[i], grew = o[i], true", New: "c[i], grew = c[i]+o[i], true"},
		{Name: "a life that was let go counts again", File: "peers/tally/tally.go", Old: "t.dropped[oldest] = true", New: "t.dropped[Life{}] = true"},
		{Name: "an old report makes the news younger", File: "peers/tally/tally.go", Old: "if at := now - r.Age; at >= s.at {", New: "if at := now; at >= s.at {"},
	})
}
