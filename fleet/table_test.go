package fleet

import (
	"container/heap"
	"math/rand/v2"
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

// crowd is n senders at one endpoint: their calls come at random, take a while, and hold a connection, as those do that are
// kept idle for up to idleFor.
type crowd struct {
	n, room   int
	perSecond float64
	call      time.Duration
	keep      func(t *Table, random float64) int // how many are kept after a call
}

const idleFor = 5 * time.Second

type happening struct {
	at   time.Duration
	who  int
	ends bool // of a call, not of its beginning
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// play tells how many calls were turned away, and how many connections opened, for each call that passed in a minute.
func (c crowd) play(seed uint64) (refused, opened float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	tables, idle := make([]Table, c.n), make([]time.Duration, c.n) // idle until, one at most each
	out, held := make([]int, c.n), 0
	var todo agenda
	for at := 0.0; at < 60; at += rng.ExpFloat64() / c.perSecond {
		// A few senders have most of the traffic.
		who := int(float64(c.n) * rng.Float64() * rng.Float64())
		todo = append(todo, happening{at: time.Duration(at * float64(time.Second)), who: who})
	}
	heap.Init(&todo)
	calls := float64(len(todo))
	for len(todo) > 0 {
		h := heap.Pop(&todo).(happening)
		now, t := h.at, &tables[h.who]
		idles := 0
		for _, until := range idle {
			if until > now {
				idles++
			}
		}
		if h.ends {
			out[h.who]--
			held--
			if k := c.keep(t, rng.Float64()); k != 0 {
				idle[h.who] = now + idleFor
			}
			continue
		}
		if !t.Allows(now, out[h.who]) {
			h.at = max(t.Open(), now+30*time.Millisecond)
			heap.Push(&todo, h)
			continue
		}
		fresh := idle[h.who] <= now
		if fresh && held+idles >= c.room {
			refused++
			t.Full(now, c.n, out[h.who], rng.Float64())
			heap.Push(&todo, h)
			continue
		}
		if fresh {
			opened++
		}
		idle[h.who] = 0
		out[h.who]++
		held++
		t.Passed(now, c.n, fresh)
		heap.Push(&todo, happening{at: now + c.call, who: h.who, ends: true})
	}
	return refused / calls, opened / calls
}

// Eighty senders share a table that holds what all their calls need twice over. With one kept connection each, as a single
// sender rightly does, most calls are turned away; with parts of the places few are.
func TestTableOfMany(t *testing.T) {
	byPart := func(n int) func(*Table, float64) int {
		return func(t *Table, random float64) int { return t.Keep(n, random) }
	}
	for _, c := range []struct {
		name            string
		crowd           crowd
		refused, opened float64 // a call, at most
		more            bool    // more refused calls than that are wanted
	}{
		{"eighty, one kept each", crowd{n: 80, room: 16, perSecond: 100, call: 80 * time.Millisecond, keep: func(*Table, float64) int { return 1 }}, 2, 1, true},
		{"eighty, by parts", crowd{n: 80, room: 16, perSecond: 100, call: 80 * time.Millisecond, keep: byPart(80)}, 0.15, 1, false},
		{"eighty, by parts, room for all", crowd{n: 80, room: 1000, perSecond: 100, call: 80 * time.Millisecond, keep: byPart(80)}, 0, 0.9, false},
		{"two, by parts", crowd{n: 2, room: 16, perSecond: 20, call: 80 * time.Millisecond, keep: byPart(2)}, 0, 0.75, false},
	} {
		refused, opened := c.crowd.play(1)
		t.Logf("%s: %.2f turned away and %.2f connections opened a call", c.name, refused, opened)
		if (refused > c.refused) != c.more || opened > c.opened {
			t.Errorf("%s: %.2f turned away and %.2f opened a call; %.2f and %.2f are the bounds", c.name, refused, opened, c.refused, c.opened)
		}
	}
}

// Whatever happens to a table, what its sender keeps stays in bounds, and it is tried again soon.
func TestTableBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "n")
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
