package member

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
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

const period = time.Second

// fleet is nodes in virtual time, with a network between them that takes 1 to 60 ms.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	nodes   []*Node
	stopped []bool
	cut     map[[2]int]bool
	loss    float64
	air     []flight
	lives   uint64
	bytes   int
	changes []Change
}

type flight struct {
	at       time.Duration
	from, to int
	m        Message
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), nodes: make([]*Node, n), stopped: make([]bool, n), cut: map[[2]int]bool{}}
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	f.lives++
	f.nodes[i] = New(Settings{Self: Record{Name: name(i), Life: f.rng.Uint64(), Addr: name(i)}, Seeds: []string{name(0), name(len(f.nodes) - 1)}, Period: period}, f.lives, f.now)
	f.stopped[i] = false
}

func (f *fleet) send(from int, out []Out) {
	for _, o := range out {
		to, addr := 0, o.To
		if addr == "" {
			addr = o.Addr
		}
		fmt.Sscanf(addr, "n%d", &to)
		f.bytes += 20 + 60*len(o.Records)
		if f.cut[[2]int{from, to}] || f.rng.Float64() < f.loss {
			continue
		}
		f.air = append(f.air, flight{f.now + time.Duration(1+f.rng.IntN(60))*time.Millisecond, from, to, o.Message})
	}
}

// run lets so much time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		due := f.air
		f.air = nil
		for _, a := range due {
			switch {
			case f.stopped[a.to], a.at > f.now: // a process that is stopped gets it when it goes on
				f.air = append(f.air, a)
			default:
				f.send(a.to, f.nodes[a.to].Take(f.now, name(a.from), a.m))
			}
		}
		for i, n := range f.nodes {
			if !f.stopped[i] {
				f.send(i, n.Tick(f.now))
				f.changes = append(f.changes, n.Changes()...)
			}
		}
	}
}

// views tells how the nodes that run see each other, and fails where two of them differ.
func (f *fleet) agree(t interface {
	Fatalf(string, ...any)
	Helper()
}, gone ...int) {
	t.Helper()
	for i, n := range f.nodes {
		if f.stopped[i] {
			continue
		}
		for j, o := range f.nodes {
			r, ok := n.Lookup(name(j))
			dead := slices.Contains(gone, j)
			switch {
			case !ok && !dead, ok && dead != (r.State >= Dead):
				t.Fatalf("at %v n%d thinks of n%d as %v (known %v), it is gone: %v", f.now, i, j, r.State, ok, dead)
			case ok && !dead && r.Life != o.Self().Life:
				t.Fatalf("n%d knows another life of n%d", i, j)
			}
		}
	}
}

// Whatever was cut, lost, stopped and started anew: once it is over, all agree on who is there, and by which life.
func TestViewsAgreeAfterHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "n")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"))
		f.run(10 * period)
		f.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "i"), rapid.IntRange(0, n-1).Draw(t, "j")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // one way only
				f.cut[[2]int{i, j}] = true
			case 1: // two halves
				for a := range n {
					for b := range n {
						if (a < i) != (b < i) {
							f.cut[[2]int{a, b}] = true
						}
					}
				}
			case 2:
				f.stopped[i] = true
			case 3:
				f.start(i)
			case 4: // cut off from all, outward
				for b := range n {
					f.cut[[2]int{i, b}] = true
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "periods")) * period)
		}
		f.loss, f.cut = 0, map[[2]int]bool{}
		clear(f.stopped)
		f.run(4 * syncPeriods * period)
		f.agree(t)
	})
}

// A member that dies is known to be dead by all within the stated time, one that leaves at once, and nobody else is thought dead.
func TestDeathIsNoticed(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		f := newFleet(n, 11)
		f.run(80 * period)
		f.agree(t)
		f.stopped[n/2] = true
		f.changes = nil
		at, bytes := f.now, f.bytes
		all, first := time.Duration(0), time.Duration(0)
		for all == 0 && f.now < at+60*period {
			f.run(100 * time.Millisecond)
			knowing := 0
			for i, o := range f.nodes {
				if r, _ := o.Lookup(name(n / 2)); i != n/2 && r.State == Dead {
					knowing++
				}
			}
			if knowing > 0 && first == 0 {
				first = f.now - at
			}
			if knowing == n-1 {
				all = f.now - at
			}
		}
		seconds := (f.now - at).Seconds()
		t.Logf("%d members: first knows after %v, all after %v; %.0f bytes a second a node", n, first, all, float64(f.bytes-bytes)/seconds/float64(n))
		if all == 0 || all > 20*period {
			t.Errorf("%d members: not known to all after %v", n, all)
		}
		for _, c := range f.changes {
			if c.State == Dead && c.Name != name(n/2) {
				t.Errorf("%d members: %s is thought dead", n, c.Name)
			}
		}
	}
}

// A process that was stopped for long suspects nobody for it, is back by itself, and a new life of a name is seen as one.
func TestStoppedProcessAndNewLife(t *testing.T) {
	f := newFleet(12, 3)
	f.run(20 * period)
	f.stopped[4] = true
	f.run(25 * period)
	f.agree(t, 4)
	f.stopped[4], f.changes = false, nil
	f.run(15 * period)
	f.agree(t)
	for _, c := range f.changes {
		if c.State == Dead || c.State == Suspect && c.Name != name(4) {
			t.Errorf("%s is thought %v after n4 went on", c.Name, c.State)
		}
	}
	old := f.nodes[4].Self()
	f.start(4)
	f.changes = nil
	f.run(15 * period)
	f.agree(t)
	if now := f.nodes[4].Self(); now.Life == old.Life || now.Incarnation <= old.Incarnation {
		t.Errorf("a new life is %+v after %+v", now, old)
	}
	if !slices.ContainsFunc(f.changes, func(c Change) bool { return c.Name == name(4) && c.Fresh }) {
		t.Error("nobody was told of another life")
	}
	f.send(4, f.nodes[4].Leave(f.now))
	f.stopped[4] = true
	f.run(3 * period)
	f.agree(t, 4)
	if r, _ := f.nodes[0].Lookup(name(4)); r.State != Left {
		t.Errorf("n4 has left and is thought %v", r.State)
	}
}

// What a node asked before it was stopped is not held against those who could not answer it.
func TestStoppedNodeSuspectsNobody(t *testing.T) {
	n := New(Settings{Self: Record{Name: "a", Life: 1}, Period: period}, 1, 0)
	n.Take(0, "b", Message{Kind: SyncBack, Records: []Record{{Name: "b", Life: 2, Incarnation: 1, Addr: "b"}}})
	for at := time.Duration(0); len(n.probes) == 0; at += period / 4 {
		n.Tick(at)
	}
	n.Tick(30 * period)
	if b, _ := n.Lookup("b"); b.State != Alive {
		t.Errorf("b is thought %v", b.State)
	}
}

// However many names somebody tells, no more than so many are kept.
func TestMembersAreBounded(t *testing.T) {
	n := New(Settings{Self: Record{Name: "a", Life: 1}, Period: period}, 1, 0)
	for i := range 3 * mostMembers {
		n.Take(0, "b", Message{Kind: Ack, Records: []Record{{Name: name(i), Life: 2, Incarnation: 1}}})
	}
	if got := len(n.Members()); got != mostMembers+1 {
		t.Errorf("%d members", got)
	}
}

// Two processes of one name are told so, and end the contest.
func TestTwoProcessesOfOneName(t *testing.T) {
	f := newFleet(5, 3)
	f.run(10 * period)
	twin := New(Settings{Self: Record{Name: name(2), Life: 77, Addr: name(2)}, Period: period}, 5, f.now)
	for range 200 {
		f.run(period)
		twin.Take(f.now, name(0), Message{Kind: SyncBack, Records: f.nodes[0].Members()})
		f.send(2, f.nodes[0].Take(f.now, name(2), Message{Kind: SyncBack, Records: twin.Members()}))
	}
	if !f.nodes[2].TwoProcesses() && !twin.TwoProcesses() {
		t.Error("neither of two processes knows of the other")
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	file := "peers/member/member.go"
	planted.Check(t, "../..", "./peers/member", "^(TestViewsAgreeAfterHealing|TestStoppedProcessAndNewLife|TestStoppedNodeSuspectsNobody|TestTwoProcessesOfOneName)$", []planted.Fault{
		{Name: "a new life repeats the old incarnation", File: file, Old: "n.self.Incarnation, n.toTell = r.Incarnation+1, n.tellings()", New: "n.self.Incarnation, n.toTell = r.Incarnation, n.tellings()"},
		{Name: "nothing is refuted", File: file, Old: "same := r.Life", New: "same := r.State != Alive || r.Life"},
		{Name: "a stopped process suspects others", File: file, Old: "\t\tclear(n.probes)\n", New: ""},
		{Name: "the dead are not asked", File: file, Old: "n.others[name].State == Left })\n\tif", New: "n.others[name].State > Suspect })\n\tif"},
		{Name: "two processes go on for ever", File: file, Old: "\t\tn.bumps++\n", New: ""},
	})
}

// BenchmarkDetect is the time from a death until the first member knows of it, and until all do, in periods.
func BenchmarkDetect(b *testing.B) {
	for _, n := range []int{8, 80, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 1)
			f.run(90 * period)
			var firsts, alls []float64
			for b.Loop() {
				i := f.rng.IntN(n)
				life := f.nodes[i].Self().Life
				f.stopped[i] = true
				at, first := f.now, 0.0
				for knowing := 0; knowing < n-1; {
					f.run(100 * time.Millisecond)
					knowing = 0
					for j, o := range f.nodes {
						if r, _ := o.Lookup(name(i)); j != i && (r.State == Dead || r.Life != life) {
							knowing++
						}
					}
					if first == 0 && knowing > 0 {
						first = (f.now - at).Seconds()
					}
				}
				firsts, alls = append(firsts, first), append(alls, (f.now-at).Seconds())
				f.start(i)
				f.run(30 * period)
			}
			slices.Sort(firsts)
			slices.Sort(alls)
			at := func(x []float64, q float64) float64 { return x[int(q*float64(len(x)-1))] }
			b.ReportMetric(at(firsts, 0.5), "first-median")
			b.ReportMetric(at(firsts, 0.99), "first-p99")
			b.ReportMetric(at(alls, 0.5), "all-median")
			b.ReportMetric(at(alls, 0.99), "all-p99")
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 80, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 1)
			f.run(20 * period)
			f.bytes = 0
			begun := f.now
			for b.Loop() {
				f.run(period)
			}
			seconds := (f.now - begun).Seconds()
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/float64(n), "us/node/s")
			b.ReportMetric(float64(f.bytes)/seconds/float64(n), "bytes/node/s")
		})
	}
}
