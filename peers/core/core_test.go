package core

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/fleet"
	"starlingusher/internal/rapidseed"
	"starlingusher/peers/budget"
	"starlingusher/peers/member"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

const step = 50 * time.Millisecond

// cores are nodes in virtual time, each with its own clock, whose packets take a step.
type cores struct {
	rng   *rand.Rand
	now   time.Duration
	nodes []*Core
	off   []time.Duration // of each clock
	cut   func(from, to int) bool
	held  func(i int) bool // it does not run now
	air   []flight
	lives uint64
	sent  int
}

type flight struct {
	to int
	p  Packet
}

func newCores(n int, seed uint64) *cores {
	f := &cores{rng: rand.New(rand.NewPCG(seed, 5)), nodes: make([]*Core, n), off: make([]time.Duration, n), cut: func(int, int) bool { return false },
		held: func(int) bool { return false }}
	for i := range n {
		f.off[i] = time.Duration(f.rng.IntN(1000)) * time.Hour
		f.start(i)
	}
	return f
}

func (f *cores) start(i int) {
	f.lives++
	f.nodes[i] = New(Settings{
		Member: member.Settings{Self: member.Record{Name: fmt.Sprint("n", i), Life: f.rng.Uint64(), Addr: fmt.Sprint("n", i)}, Seeds: []string{"n0", "n1"}, Period: 500 * time.Millisecond},
		Budget: budget.Settings{Fleet: len(f.nodes), Voters: []string{"n0", "n1", "n2"}, Term: 3 * time.Second, Drift: 0.01},
	}, f.lives, f.at(i))
}

func (f *cores) at(i int) time.Duration { return f.now + f.off[i] }

func (f *cores) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		due := f.air
		f.air = nil
		for _, a := range due {
			if f.held(a.to) {
				f.air = append(f.air, a)
			} else if n := f.nodes[a.to]; n != nil {
				n.Take(f.at(a.to), a.p)
			}
		}
		for i, n := range f.nodes {
			if n == nil || f.held(i) {
				continue
			}
			n.Tick(f.at(i))
			for _, l := range n.Letters() {
				to := 0
				fmt.Sscanf(l.Addr, "n%d", &to)
				if f.sent++; !f.cut(i, to) {
					f.air = append(f.air, flight{to, l.Packet})
				}
			}
		}
	}
}

var key = Key{Dest: 3}

// known is what a node's decisions were told last.
func (f *cores) known(i int) News {
	d := f.nodes[i].need(key)
	return News{key, f.nodes[i].known(f.at(i), key, d)}
}

// A limit's refusal at one node slows the others, their share follows demand, an outage that two see is told to a third, and one
// node's pass has the others try.
func TestWhatOneSeesOthersKnow(t *testing.T) {
	f := newCores(8, 1)
	f.run(20 * time.Second)
	for i, n := range f.nodes {
		n.Saw(f.at(i), key, Passed, 100)
		rate := 3
		if i == 5 {
			rate = 40
		}
		for range rate {
			n.Came(f.at(i), key, 1)
		}
	}
	f.run(time.Second)
	if share := f.known(5).Known.Share; share < 0.2 {
		t.Errorf("a node with a third of the limit asked for has %.2f of it", share)
	}
	f.nodes[2].Saw(f.at(2), key, Refused, 100)
	f.run(500 * time.Millisecond)
	for i := range f.nodes {
		if k := f.known(i).Known; i != 2 && k.DebtTil <= f.at(i) {
			t.Errorf("n%d does not know of the debt", i)
		}
	}
	for range 3 {
		f.nodes[0].Saw(f.at(0), key, Failed, -1)
		f.nodes[1].Saw(f.at(1), key, Failed, -1)
	}
	f.run(500 * time.Millisecond)
	if k := f.known(6).Known; !k.Out(f.at(6)) {
		t.Error("n6 does not know of the outage")
	}
	f.nodes[6].Saw(f.at(6), key, Failed, -1)
	f.nodes[6].Saw(f.at(6), key, Failed, -1)
	f.run(200 * time.Millisecond)
	spared := 0
	for _, i := range []int{0, 1, 6} {
		if k := f.known(i).Known; k.Spared(f.at(i)) {
			spared++
		}
	}
	if spared != 1 {
		t.Errorf("%d of three that see the outage are spared the trials, all but two should be", spared)
	}
	f.nodes[0].Saw(f.at(0), key, Passed, -1)
	f.run(500 * time.Millisecond)
	if k := f.known(6).Known; k.BackFrom == 0 || k.Out(f.at(6)) {
		t.Errorf("n6 does not know that it is back: %+v", k)
	}
}

// Whatever is cut and whoever begins anew, the shares that nodes hold at one instant never sum up beyond the limit, and a node that
// hears nobody holds none after the term.
func TestSharesInAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "n")
		f := newCores(n, rapid.Uint64().Draw(t, "seed"))
		cutFor := make([]time.Duration, n)
		var alone []int // hear nobody, or are not heard
		look := func(d time.Duration) {
			for range d / (250 * time.Millisecond) {
				f.run(250 * time.Millisecond)
				sum := 0.0
				for i, c := range f.nodes {
					for range rapid.IntRange(0, 6).Draw(t, "came") {
						c.Came(f.at(i), key, 1)
					}
					c.Saw(f.at(i), key, Passed, 50)
					k := f.known(i).Known
					if k.Shared(f.at(i)) {
						sum += k.Share
					}
					if cutFor[i] += 250 * time.Millisecond; slices.Contains(alone, i) && cutFor[i] > 4*time.Second && k.Shared(f.at(i)) {
						t.Fatalf("n%d hears nobody for %v and holds a share", i, cutFor[i])
					}
				}
				if sum > 1+1e-6 {
					t.Fatalf("the shares sum up to %.3f", sum)
				}
			}
		}
		look(10 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "troubles") {
			alone = nil
			for i := range n {
				if rapid.IntRange(0, 2).Draw(t, "alone") == 0 {
					alone = append(alone, i)
				}
			}
			mute := rapid.Bool().Draw(t, "one way")
			f.cut = func(from, to int) bool { return slices.Contains(alone, from) || !mute && slices.Contains(alone, to) }
			clear(cutFor)
			if rapid.Bool().Draw(t, "anew") {
				f.start(rapid.IntRange(0, n-1).Draw(t, "who"))
			}
			look(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		}
	})
}

// Guards against a node that is held up, with loans that run out meanwhile, and goes beyond its right without being deaf.
func TestWhatDecisionsGoByAddsUpWhileNodesAreHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "n")
		f := newCores(n, rapid.Uint64().Draw(t, "seed"))
		told := make([]fleet.Known, n)
		var held []int
		f.held = func(i int) bool { return slices.Contains(held, i) }
		look := func(d time.Duration) {
			for range d / (2 * step) {
				f.run(2 * step)
				sum := 0.0
				for i, c := range f.nodes {
					if !f.held(i) {
						for range rapid.IntRange(0, 6).Draw(t, "came") {
							c.Came(f.at(i), key, 1)
						}
						c.Saw(f.at(i), key, Passed, 50)
						for _, news := range c.News(f.at(i)) {
							told[i] = news.Known
						}
					}
					if deaf := c.rights.Talks() <= f.at(i); !deaf && told[i].ShareTil > 0 {
						sum += told[i].Part(f.at(i), new(fleet.Part))
					}
				}
				if sum > 1.02 { // a rise by two in a hundred is not told at once
					t.Fatalf("the parts by which nodes go sum up to %.3f, %v are held", sum, held)
				}
			}
		}
		look(8 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "holds") {
			held = rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n/2, rapid.ID[int]).Draw(t, "held")
			look(time.Duration(rapid.IntRange(1, 20).Draw(t, "for")) * 200 * time.Millisecond)
		}
	})
}

// BenchmarkFleet is the cost of a node in a second by the size of its fleet, with traffic at thirty routes.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 80, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newCores(n, 1)
			f.run(40 * time.Second)
			f.sent = 0
			begun := f.now
			for b.Loop() {
				for i, c := range f.nodes {
					k := Key{Dest: f.rng.IntN(30)}
					c.Came(f.at(i), k, 1)
					c.Sent(k)
					c.Saw(f.at(i), k, Passed, 200)
				}
				f.run(time.Second)
			}
			seconds := (f.now - begun).Seconds()
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/float64(n), "us/node/s")
			b.ReportMetric(float64(f.sent)/seconds/float64(n), "packets/node/s")
		})
	}
}
