package budget

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// situation is where an exploration begins: three nodes, the clocks' rates, who lacks units and who is taken for gone. Of the
// two kinds of messages one is explored, and the other comes at once or not at all: both together are for the property below.
type situation struct {
	name  string
	rates []time.Duration
	wants []float64
	gone  []string // by the first node
	talk  int      // steps in which all hear each other, before
	loans bool     // asks and grants are explored, or else votes
	spans []int    // of time that passes in a move
}

// Rates within a third of each other's true time: 3 units a step, from 2 to 4.
var tiny = Settings{Fleet: 3, Voters: []string{nodeName(0), nodeName(1), nodeName(2)}, Term: 30, Drift: 1.0 / 3}

// talk lets everybody hear everything for so many steps.
func talk(w *world, steps int) {
	for range steps {
		for i := range w.nodes {
			w.tick(i)
		}
		for len(w.air) > 0 {
			w.deliver(0, false)
		}
		w.pass(1)
	}
}

var situations = []situation{
	{"lend, slow borrower", []time.Duration{2, 4, 3}, []float64{1, 0, 0}, nil, 32, true, []int{4, 9}},
	{"lend, fast borrower", []time.Duration{4, 2, 3}, []float64{1, 0, 0}, nil, 32, true, []int{4, 9}},
	{"two want", []time.Duration{3, 2, 4}, []float64{1, 0, 1}, nil, 32, true, []int{4, 9}},
	{"one taken for gone", []time.Duration{2, 3, 4}, []float64{1, 0, 0}, []string{nodeName(2)}, 32, false, []int{4, 9}},
	{"one is slow and taken for gone", []time.Duration{4, 3, 2}, []float64{1, 0, 0}, []string{nodeName(2)}, 32, false, []int{4, 9}},
	{"from the start", []time.Duration{2, 4, 3}, []float64{1, 0, 0}, []string{nodeName(2)}, 0, false, []int{9, 23}},
}

// settle has what is not explored come at once, or never; at a restart it is lost as well.
func (s situation) settle(w *world, lost bool) {
	for k := 0; k < len(w.air); {
		loan := w.air[k].m.Kind == Ask || w.air[k].m.Kind == Grant
		switch {
		case loan == s.loans:
			k++
		case s.loans && !lost:
			w.deliver(k, false)
		default:
			w.air = slices.Delete(w.air, k, k+1)
		}
	}
	if len(w.air) > mostInAir { // what was sent first is lost
		w.air = w.air[len(w.air)-mostInAir:]
	}
}

const mostInAir = 4

// explore walks through all that can happen from a situation: each node ticks, each message comes, comes and is kept to come
// again, or is lost, time goes on, a node starts anew. It returns the number of states, the depth to which all were seen, and
// what was wrong in the first in which something was.
func explore(s situation, most int) (states, depth int, fault string) {
	w := newWorld(tiny, s.rates, s.wants)
	talk(w, s.talk)
	if len(s.gone) > 0 {
		w.believe(0, s.gone)
	}
	w.air = nil
	seen := map[[16]byte]bool{}
	level := []*world{w}
	for ; len(level) > 0; depth++ {
		var next []*world
		for _, at := range level {
			var moves []func(*world)
			for _, steps := range s.spans {
				moves = append(moves, func(c *world) { c.pass(steps) })
			}
			for i := range at.nodes {
				moves = append(moves, func(c *world) { c.tick(i); s.settle(c, false) }, func(c *world) { c.start(i) })
				if s.loans {
					moves = append(moves, func(c *world) { c.tick(i); s.settle(c, true) })
				}
			}
			for k := range at.air {
				moves = append(moves, func(c *world) { c.deliver(k, false); s.settle(c, false) }, func(c *world) { c.deliver(k, true); s.settle(c, false) })
			}
			for _, move := range moves {
				c := at.clone()
				move(c)
				sum := sha256.Sum256([]byte(c.state()))
				if key := [16]byte(sum[:16]); !seen[key] {
					seen[key] = true
					next = append(next, c)
					if fault = c.fault(); fault != "" || len(seen) >= most {
						return len(seen), depth, fault
					}
				}
			}
		}
		level = next
	}
	return len(seen), depth, ""
}

// Whatever happens in whatever order, as far as the states go, nobody uses what another may use. CORALYARD_STATES asks for more.
func TestEveryInterleaving(t *testing.T) {
	most := 8_000
	if text := os.Getenv("CORALYARD_STATES"); text != "" {
		var err error
		if most, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range situations {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			states, depth, fault := explore(s, most)
			t.Logf("%d states, all to a depth of %d", states, depth)
			if fault != "" {
				t.Fatal(fault)
			}
		})
	}
}

// The same deeper, along walks that are drawn: both kinds of messages, most of which come, and ways that are cut for a while.
func TestWalks(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := situations[seed%uint64(len(situations))]
		w := newWorld(tiny, s.rates, s.wants)
		talk(w, s.talk)
		var cut [3][3]bool // ways on which nothing comes, for a while
		arrives := func(k int, keep bool) {
			if f := w.air[k]; cut[f.from][f.to] {
				w.air = slices.Delete(w.air, k, k+1)
			} else {
				w.deliver(k, keep)
			}
		}
		for step := range 160 {
			switch i := rng.IntN(3); rng.IntN(32) {
			case 0:
				w.start(i)
			case 1:
				w.believe(i, []string{nodeName(rng.IntN(3))})
			case 2:
				w.believe(i, nil)
			case 3, 4, 5, 6, 7:
				w.pass(1 + rng.IntN(4))
			case 8, 9, 10, 11:
				w.tick(i)
			case 12: // all that is on its way is lost
				w.air = nil
			case 13:
				cut[i][rng.IntN(3)] = rng.IntN(2) == 0
			case 14, 15, 16, 17, 18, 19, 20: // a whole round of one node's
				for w.tick(i); len(w.air) > 0; {
					arrives(0, false)
				}
			default:
				if len(w.air) > 0 {
					arrives(rng.IntN(len(w.air)), rng.IntN(8) == 0)
				}
			}
			if len(w.air) > 24 {
				w.air = w.air[len(w.air)-24:]
			}
			if fault := w.fault(); fault != "" {
				t.Fatalf("walk %d, step %d: %s", seed, step, fault)
			}
		}
	}
}

// With any number of nodes, clocks, cuts, losses, repeats and restarts: the sum in use never exceeds the whole, a deaf node is deaf by
// the time that is stated, and after all hear each other again everybody has its seat.
func TestSumInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 5, 7, 9, 20, 60, 200, 500}).Draw(t, "n")
		// The number is known wrong by up to a half or two times in some.
		cfg := Settings{Fleet: max(1, n*rapid.SampledFrom([]int{2, 2, 1, 4}).Draw(t, "known as")/2), Term: 300, Drift: 0.1}
		for i := range min(n, 5) / 2 * 2 {
			cfg.Voters = append(cfg.Voters, nodeName(i))
		}
		cfg.Voters = append(cfg.Voters, nodeName(min(n, 5)-1)) // an odd number
		if n%2 == 0 && n < 5 {
			cfg.Voters = cfg.Voters[:1]
		}
		rates, wants := make([]time.Duration, n), make([]float64, n)
		for i := range rates {
			rates[i] = time.Duration(rapid.IntRange(9, 11).Draw(t, "rate"))
			wants[i] = rapid.SampledFrom([]float64{0, 0.1 / float64(n), 1 / float64(n), 4 / float64(n), 1}).Draw(t, "want")
		}
		w := newWorld(cfg, rates, wants)
		cut := make([]bool, n)
		deafSince := make([]time.Duration, n)
		steps := max(6, min(100, 1000/n))
		for range steps {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				w.start(rapid.IntRange(0, n-1).Draw(t, "starts"))
			case 1, 2:
				i := rapid.IntRange(0, n-1).Draw(t, "cut")
				cut[i], deafSince[i] = !cut[i], w.now[i]
			case 3: // everybody takes the cut ones for gone, and some that are not
				var gone []string
				for i := range cut {
					if cut[i] {
						gone = append(gone, nodeName(i))
					}
				}
				gone = append(gone, nodeName(rapid.IntRange(0, n-1).Draw(t, "wrong")))
				gone = gone[max(0, len(gone)-8):]
				for i := range w.nodes {
					w.believe(i, gone)
				}
			}
			for i := range w.nodes {
				w.tick(i)
			}
			drop, twice := rapid.IntRange(2, 9).Draw(t, "drop"), rapid.Bool().Draw(t, "twice")
			for round := 0; len(w.air) > 0 && round < 6*n+20; round++ {
				f := w.air[len(w.air)-1]
				switch k := len(w.air) - 1; {
				case cut[f.from] || cut[f.to], round%drop == drop-1:
					w.air = w.air[:k]
				default:
					w.deliver(k, twice && round%7 == 3)
				}
				if round%(n+4) == 0 {
					if fault := w.fault(); fault != "" {
						t.Fatal(fault)
					}
				}
			}
			if len(w.air) > 20 { // some come much later
				w.air = w.air[:20]
			}
			w.pass(rapid.IntRange(1, 8).Draw(t, "steps"))
			if fault := w.fault(); fault != "" {
				t.Fatal(fault)
			}
			for i, node := range w.nodes {
				if _, _, deaf := node.Rights(w.now[i], w.key); cut[i] && n > 5 && !deaf && w.now[i]-deafSince[i] > cfg.Term {
					t.Fatalf("%s is cut off for %d and goes on with its seat", node.name, w.now[i]-deafSince[i])
				}
			}
		}
		for i := range w.nodes {
			w.believe(i, nil)
		}
		clear(cut)
		w.air = nil
		talk(w, int(cfg.kept()/9)*2+8)
		for i, node := range w.nodes {
			if _, _, deaf := node.Rights(w.now[i], w.key); deaf {
				t.Fatalf("%s hears everybody and is deaf", node.name)
			}
		}
	})
}

// What others name is bounded, and what nobody needs any more is forgotten.
func TestWhatOthersNameIsBounded(t *testing.T) {
	cfg := Settings{Fleet: 3, Term: 300, Voters: []string{nodeName(0)}}
	n := New(cfg, nodeName(0), 1, 0)
	n.Know([]string{nodeName(1)}, nil)
	now := cfg.kept()
	n.Tick(now)
	for i := range 3 * mostShares {
		n.Take(now, fmt.Sprint("x", i), Message{Kind: Ask, Digest: n.digest, Life: 2, Seq: 1, Amounts: []Amount{{Key{Dest: i}, 100}}})
		n.Take(now, "x", Message{Kind: VoteFor, Digest: n.digest, Life: 2, Seq: uint64(i), Seat: fmt.Sprint("s", i)})
	}
	if len(n.shares) == 0 || len(n.shares) > mostShares || len(n.heard) > mostNames || len(n.voter.votes) > mostNames {
		t.Errorf("%d shares, %d names, %d votes", len(n.shares), len(n.heard), len(n.voter.votes))
	}
	n.Tick(now + 3*cfg.Term)
	if len(n.shares) != 0 || len(n.voter.votes) > 1 {
		t.Errorf("%d shares and %d votes are kept for nobody", len(n.shares), len(n.voter.votes))
	}
}

// Rights go where they are needed: one that wants most of a limit gets what the others leave, also of those that are gone, and gives
// back when they want it again.
func TestRightsFollowDemand(t *testing.T) {
	cfg := Settings{Fleet: 5, Term: 300, Drift: 0.05, Voters: []string{nodeName(0), nodeName(1), nodeName(2)}}
	w := newWorld(cfg, []time.Duration{10, 10, 10, 10, 10}, []float64{0.6, 0.02, 0.02, 0.02, 0.02})
	talk(w, 60)
	has := func(i int) float64 {
		units, _, _ := w.nodes[i].Rights(w.now[i], w.key)
		return float64(units) / Whole
	}
	if got := has(0); got < 0.6 {
		t.Errorf("has %.2f of the limit, wants 0.60", got)
	}
	// Two of them die, and their seats with what was lent of them.
	w.nodes[3], w.nodes[4] = New(cfg, "dead", 98, 0), New(cfg, "dead", 99, 0)
	for i := range 3 {
		w.believe(i, []string{nodeName(3), nodeName(4)})
	}
	w.nodes[0].Want(w.key, 0.9)
	for range 240 {
		for i := range 3 {
			w.tick(i)
		}
		for len(w.air) > 0 {
			if w.air[0].to < 0 || w.air[0].to > 2 {
				w.air = w.air[1:]
				continue
			}
			w.deliver(0, false)
		}
		w.pass(1)
		if fault := w.fault(); fault != "" {
			t.Fatal(fault)
		}
	}
	if got := has(0); got < 0.75 {
		t.Errorf("has %.2f of the limit, with two of five gone that do not use theirs", got)
	}
	if got := w.nodes[0].Seats(w.now[0]); len(got) != 3 {
		t.Errorf("holds the seats %v", got)
	}
	w.nodes[0].Want(w.key, 0.1)
	talkAmong := func(steps int) {
		for range steps {
			for i := range 3 {
				w.tick(i)
			}
			for len(w.air) > 0 {
				if w.air[0].to < 0 || w.air[0].to > 2 {
					w.air = w.air[1:]
					continue
				}
				w.deliver(0, false)
			}
			w.pass(1)
		}
	}
	talkAmong(120)
	if got := w.nodes[0].Seats(w.now[0]); len(got) != 1 {
		t.Errorf("goes on holding the seats %v without need", got)
	}
	for i := range 3 {
		w.nodes[i].Want(w.key, 1)
	}
	talkAmong(120)
	for i := range 3 {
		if got := has(i); got < 0.2-1e-5 {
			t.Errorf("%d has %.2f of the limit, its even part is 0.20", i, got)
		}
	}
}
