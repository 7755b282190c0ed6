package lease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"starlingusher/internal/planted"
	"starlingusher/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

const ms = time.Millisecond

// group is voters and holders in virtual time, each with a clock of its own, and a network and disks between.
type group struct {
	t       fatal
	rng     *rand.Rand
	cfg     Settings
	true_   time.Duration
	rate    []float64 // of the clocks, voters first
	voters  []*Voter
	disks   []*State
	holders []*Holder
	ghosts  []ghost
	lives   uint64
	down    []bool // voters
	stopped []bool // holders
	cut     map[[2]int]bool
	loss    float64
	air     []flight
	last    uint64 // token by which somebody acted
	acts    int
	ids     []uint64
}

// ghost is an earlier life of a holder, which hears nothing any more.
type ghost struct {
	*Holder
	place int
}

type flight struct {
	at       time.Duration
	from, to int // places: voters, then holders
	raw      []byte
	command  *Command
	answer   *Answer
}

// fatal ends a test, a property as well.
type fatal interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

const name = "discovery"

func newGroup(t fatal, voters, holders int, seed uint64) *group {
	g := &group{t: t, rng: rand.New(rand.NewPCG(seed, 9)), cfg: Settings{Term: 3000 * ms, Drift: 0.1, Tick: 50 * ms}, cut: map[[2]int]bool{},
		down: make([]bool, voters), stopped: make([]bool, holders)}
	for range voters + holders {
		g.rate = append(g.rate, 0.9+0.2*g.rng.Float64())
	}
	for i := range voters {
		g.ids = append(g.ids, uint64(i+1))
		g.voters, g.disks = append(g.voters, nil), append(g.disks, nil)
	}
	for i := range voters {
		g.start(i)
	}
	for i := range holders {
		g.holders = append(g.holders, nil)
		g.begin(i)
	}
	return g
}

// clock is what a place's clock shows: its rate, from a point of its own.
func (g *group) clock(place int) time.Duration {
	return time.Duration(place+1)*time.Hour + time.Duration(float64(g.true_)*g.rate[place])
}

func (g *group) start(i int) {
	v, err := NewVoter(g.cfg, g.ids[i], g.ids, g.disks[i], g.clock(i))
	if err != nil {
		g.t.Fatal(err)
	}
	g.voters[i], g.down[i] = v, false
}

func (g *group) begin(i int) {
	g.lives++
	if old := g.holders[i]; old != nil { // its process may only be stopped, and go on later
		g.ghosts = append(g.ghosts, ghost{old, len(g.voters) + i})
	}
	g.holders[i] = NewHolder(g.cfg, Owner{fmt.Sprint("h", i), g.lives})
	g.holders[i].Want(name)
	g.stopped[i] = false
}

func (g *group) send(f flight) {
	if g.cut[[2]int{f.from, f.to}] || g.rng.Float64() < g.loss {
		return
	}
	f.at = g.true_ + time.Duration(1+g.rng.IntN(40))*ms
	g.air = append(g.air, f)
	if g.rng.Float64() < g.loss/2 { // again, later
		f.at += time.Duration(g.rng.IntN(4000)) * ms
		g.air = append(g.air, f)
	}
}

// write is a disk.
func (g *group) write(i int, w Write) {
	d := g.disks[i]
	if d == nil {
		d = &State{}
		g.disks[i] = d
	}
	if w.Hard != nil {
		d.Hard = proto.Clone(w.Hard).(*raftpb.HardState)
	}
	if w.Snapshot != nil {
		d.Snapshot = w.Snapshot
		d.Entries = slices.DeleteFunc(d.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= w.Snapshot.GetMetadata().GetIndex() })
	}
	if len(w.Entries) > 0 {
		d.Entries = slices.DeleteFunc(d.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= w.Entries[0].GetIndex() })
		d.Entries = append(d.Entries, w.Entries...)
	}
}

// drain carries out what a voter wants done; it may die after its write.
func (g *group) drain(i int) {
	for !g.down[i] {
		out, ok, err := g.voters[i].Output(g.clock(i))
		if err != nil {
			g.t.Fatal(err)
		}
		if !ok {
			return
		}
		g.write(i, out.Write)
		if g.loss > 0 && g.rng.IntN(400) == 0 {
			g.down[i] = true
			return
		}
		for _, m := range out.Messages {
			g.send(flight{from: i, to: int(m.To) - 1, raw: m.Raw})
		}
		for _, a := range out.Answers {
			var h int
			fmt.Sscanf(a.Asker, "h%d", &h)
			g.send(flight{from: i, to: len(g.voters) + h, answer: &a})
		}
		if g.rng.IntN(30) == 0 { // a snapshot sooner than usual
			g.voters[i].since = compactEvery
		}
		s, err := g.voters[i].Done()
		if err != nil {
			g.t.Fatal(err)
		}
		if s != nil {
			g.write(i, Write{Snapshot: s})
		}
	}
}

// run lets true time pass, a step of 10 ms at a time, and looks at each who may act.
func (g *group) run(span time.Duration) {
	for end := g.true_ + span; g.true_ < end; {
		g.true_ += 10 * ms
		due := g.air
		g.air = nil
		for _, f := range due {
			switch n := len(g.voters); {
			case f.at > g.true_, f.to >= n && g.stopped[f.to-n]:
				g.air = append(g.air, f)
			case f.to >= n:
				g.holders[f.to-n].Answered(*f.answer)
			case g.down[f.to]:
			case f.command != nil:
				if err := g.voters[f.to].Propose(*f.command); err != nil {
					g.t.Fatal(err)
				}
			default:
				if err := g.voters[f.to].Step(f.raw); err != nil {
					g.t.Fatal(err)
				}
			}
		}
		for i, v := range g.voters {
			if !g.down[i] {
				v.Tick(g.clock(i))
				g.drain(i)
			}
		}
		for i, h := range g.holders {
			if g.stopped[i] {
				continue
			}
			for _, c := range h.Tick(g.clock(len(g.voters) + i)) {
				g.send(flight{from: len(g.voters) + i, to: g.rng.IntN(len(g.voters)), command: &c})
			}
		}
		g.look()
	}
}

// look asks every holder whether it may act at this instant, those that are stopped as well.
func (g *group) look() {
	acting := -1
	all := slices.Clone(g.ghosts)
	for i, h := range g.holders {
		all = append(all, ghost{h, len(g.voters) + i})
	}
	for i, h := range all {
		token, ok := h.May(g.clock(h.place), name, 0)
		if !ok {
			continue
		}
		g.acts++
		if acting >= 0 {
			g.t.Fatalf("at %v %v and %v may both act", g.true_, all[acting].owner, h.owner)
		}
		acting = i
		if token < g.last {
			g.t.Fatalf("at %v %v may act by token %d, somebody did by %d", g.true_, h.owner, token, g.last)
		}
		g.last = token
	}
}

// Whatever is lost, late, repeated, cut, stopped and started anew, with clocks that differ: at no instant may two act, and tokens never
// fall. Once all is well somebody may act.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		g := newGroup(t, voters, 3, rapid.Uint64().Draw(t, "seed"))
		g.run(6 * time.Second)
		for range rapid.IntRange(2, 10).Draw(t, "troubles") {
			i, h := rapid.IntRange(0, voters-1).Draw(t, "voter"), rapid.IntRange(0, 2).Draw(t, "holder")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				g.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			case 1: // one way
				g.cut[[2]int{i, rapid.IntRange(0, voters+2).Draw(t, "to")}] = true
			case 2: // a voter from all others
				for j := range voters + 3 {
					g.cut[[2]int{i, j}], g.cut[[2]int{j, i}] = true, true
				}
			case 3:
				g.down[i] = true
			case 4:
				g.start(i)
			case 5:
				g.stopped[h] = true
			case 6:
				g.stopped[h] = false
			case 7:
				g.begin(h)
			case 8: // a holder is cut off
				for j := range voters {
					g.cut[[2]int{voters + h, j}], g.cut[[2]int{j, voters + h}] = true, true
				}
			}
			g.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "tenths")) * 100 * ms)
		}
		g.loss = 0
		clear(g.cut)
		clear(g.stopped)
		for i := range voters {
			if g.down[i] {
				g.start(i)
			}
		}
		g.run(15 * time.Second)
		before := g.acts
		g.run(time.Second)
		if g.acts == before {
			t.Fatal("all is well and nobody may act")
		}
	})
}

// An act longer than what is left may not begin, a name that was given back is free at once and costs the next one a larger token, and
// an operator's word ends a lease of a holder that goes on.
func TestHandingOn(t *testing.T) {
	g := newGroup(t, 3, 2, 4)
	g.run(5 * time.Second)
	who := slices.IndexFunc(g.holders, func(h *Holder) bool { _, ok := h.May(g.clock(3+slices.Index(g.holders, h)), name, 0); return ok })
	if who < 0 {
		t.Fatal("nobody holds the name")
	}
	h := g.holders[who]
	if _, ok := h.May(g.clock(3+who), name, g.cfg.Term); ok {
		t.Error("an act as long as a term may begin")
	}
	first := h.grips[name].Token
	c, ok := h.Drop(name)
	if !ok {
		t.Fatal("nothing to give back")
	}
	g.send(flight{from: 3 + who, to: 0, command: &c})
	at := g.true_
	for other := g.holders[1-who]; g.true_ < at+20*time.Second; g.run(10 * ms) {
		if token, ok := other.May(g.clock(3+1-who), name, 0); ok {
			if token <= first || g.true_-at > time.Second {
				t.Errorf("token %d after %d, %v later", token, first, g.true_-at)
			}
			break
		}
	}
	g.send(flight{from: 3, to: 1, command: &Command{Do: Force, Name: name, Reason: "test"}})
	g.run(100 * ms)
	var f Fence
	if !f.Passes(name, 7) || f.Passes(name, 6) || !f.Passes(name, 7) || !f.Passes("other", 1) {
		t.Error("the fence")
	}
}

// The table is bounded, is kept by snapshots, and passes over what it does not know.
func TestTable(t *testing.T) {
	tab := newTable()
	o := Owner{"a", 1}
	for i := range MostNames + 3 {
		if r := tab.apply(Command{Do: Take, Name: fmt.Sprint(i), Owner: o}); r.Done != (i < MostNames) {
			t.Fatalf("name %d: %+v", i, r)
		}
	}
	again, err := restore(tab.snapshot())
	if err != nil || len(again.Leases) != MostNames || again.Last != MostNames {
		t.Fatalf("%d leases, last %d, %v", len(again.Leases), again.Last, err)
	}
	for _, c := range []Command{{}, {Do: 99, Name: "1"}, {Do: Release, Name: "1", Owner: o, Token: 9}, {Do: Expire, Name: "1", Token: 2, Renewals: 1}, {Do: Take, Name: "1", Owner: Owner{"b", 2}}} {
		if r := again.apply(c); r.Done {
			t.Errorf("%+v is done: %+v", c, r)
		}
	}
	if _, err := restore([]byte("{")); err == nil {
		t.Error("a broken snapshot is read")
	}
}

// No bytes end a voter.
func FuzzStep(f *testing.F) {
	m := raftpb.Message{To: proto.Uint64(1), From: proto.Uint64(2), Term: proto.Uint64(3)}
	raw, err := proto.Marshal(&m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{8, 3, 16, 1, 24, 2})
	f.Fuzz(func(t *testing.T, raw []byte) {
		v, err := NewVoter(Settings{Term: time.Second, Tick: ms}, 1, []uint64{1, 2, 3}, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := v.Step(raw); err != nil {
			return
		}
		v.Tick(time.Second)
		if _, ok, err := v.Output(time.Second); err == nil && ok {
			v.Done()
		}
	})
}

func TestPlantedFaultsAreFound(t *testing.T) {
	voter, holder, tab := "peers/lease/voter.go", "peers/lease/holder.go", "peers/lease/table.go"
	planted.Check(t, "../..", "./peers/lease", "^(TestOneHolder|TestHandingOn|TestTable)$", []planted.Fault{
		{Name: "a holder counts from the answer", File: holder, Old: "h.grips[name]\n\tdelete(h.grips, name)\n\tfor", New: "h.grips[name]\n\tfor"},
		{Name: "the term is counted from the next question", File: holder, Old: "until := h.grips[q.name], q.at+h.cfg.Term", New: "until := h.grips[q.name], h.asked[q.name]+2*h.cfg.Term"},
		{Name: "drift is forgotten", File: voter, Old: "float64(s.Term) * (1 + s.Drift) / (1 - s.Drift)", New: "float64(s.Term) * (1 - s.Drift)"},
		{Name: "an end does not look at renewals", File: tab, Old: "l.Token == c.Token && l.Renewals == c.Renewals", New: "l.Token == c.Token"},
		{Name: "tokens begin again", File: tab, Old: "\t\tt.Last++\n", New: "\t\tt.Last = uint64(len(t.Leases) + 1)\n"},
		{Name: "a lease that was found is as old as it can be", File: voter, Old: "v.seen[l.Name] = seen{lease: l, at: now}", New: "v.seen[l.Name] = seen{lease: l, at: now - v.cfg.kept()}"},
		{Name: "another's lease is renewed", File: tab, Old: "held && l.Owner == c.Owner:\n\t\t\tl.Renewals++", New: "held:\n\t\t\tl.Owner = c.Owner\n\t\t\tl.Renewals++"},
		{Name: "a new life is the old owner", File: tab, Old: "held && l.Owner == c.Owner:\n", New: "held && l.Owner.Name == c.Owner.Name:\n\t\t\tl.Owner = c.Owner\n"},
	})
}
