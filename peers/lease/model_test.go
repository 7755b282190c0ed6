package lease

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
)

// An action of the model. Everything that may happen is one: nothing is drawn, elections among it.
type action struct {
	what   string
	who, i int
}

// situation is three voters and two would-be holders after some actions. A situation can't be copied, since raft's machines can't, and
// so is played again from its beginning.
type situation struct {
	cfg     Settings
	now     time.Duration // true time, in steps of half a term
	voters  [3]*Voter
	disks   [3]disk
	holders [2]*Holder
	air     []parcel
	left    map[string]int // how often each kind of action may yet happen
	last    uint64
	wrong   string
}

type parcel struct {
	to      int // voters, then holders
	raw     []byte
	command *Command
	answer  *Answer
}

func (p parcel) same(o parcel) bool {
	return p.to == o.to && bytes.Equal(p.raw, o.raw) && p.command == o.command && p.answer == o.answer
}

// limits of a path: what is not named may happen as often as it is possible. What is lost is what never arrives.
var limits = map[string]int{"time": 5, "ask": 4, "campaign": 2, "crash": 1, "die": 1, "again": 1}

func newSituation(t *testing.T) *situation {
	s := &situation{cfg: Settings{Term: 1000 * ms, Drift: 0.1, Tick: 10 * ms}, left: maps.Clone(limits)}
	first := Found(map[uint64]string{1: "a", 2: "b", 3: "c"}, 0)
	for i := range s.voters {
		s.disks[i].kept = &Kept{State: *first} // as if all had been told
		s.start(t, i)
	}
	for i := range s.holders {
		s.holders[i] = NewHolder(s.cfg, Owner{fmt.Sprint("h", i), uint64(i + 1)})
		s.holders[i].Want(name)
	}
	return s
}

// voterClock runs as fast as Drift allows, holderClock as slowly: who waits is early, who holds is late.
func (s *situation) voterClock() time.Duration  { return s.now * 110 / 100 }
func (s *situation) holderClock() time.Duration { return s.now * 90 / 100 }

func (s *situation) start(t *testing.T, i int) {
	v, err := NewVoter(s.cfg, uint64(i+1), &s.disks[i].copied().State, s.voterClock())
	if err != nil {
		t.Fatal(err)
	}
	s.voters[i] = v
}

// settle carries out what a voter wants done. Dies has it die after its first write, so that nothing of it goes out.
func (s *situation) settle(t *testing.T, i int, dies bool) {
	for v := s.voters[i]; v != nil; {
		out, ok, err := v.Output(s.voterClock())
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return
		}
		s.disks[i].write(out.Write)
		if dies && !out.Write.Empty() {
			s.voters[i] = nil
			return
		}
		for _, m := range out.Messages {
			s.air = append(s.air, parcel{to: int(m.To) - 1, raw: m.Raw})
		}
		for _, a := range out.Answers {
			s.air = append(s.air, parcel{to: 3 + int(a.Asker[1]-'0'), answer: &a})
		}
		if _, err := v.Done(); err != nil {
			t.Fatal(err)
		}
	}
}

// can are all actions that may happen now.
func (s *situation) can() (all []action) {
	add := func(what string, who, i int) {
		if left, limited := s.left[what]; !limited || left > 0 {
			all = append(all, action{what, who, i})
		}
	}
	for i, p := range s.air {
		if slices.ContainsFunc(s.air[:i], p.same) {
			continue
		}
		add("deliver", p.to, i)
		add("again", p.to, i)
		if p.to < 3 {
			add("die", p.to, i)
		}
	}
	for i, v := range s.voters {
		if v == nil {
			add("start", i, 0)
			continue
		}
		add("crash", i, 0)
		if v.node.BasicStatus().RaftState != raft.StateLeader {
			add("campaign", i, 0)
		}
	}
	for h := range s.holders {
		for i, v := range s.voters[:2] {
			if v != nil {
				add("ask", h, i)
			}
		}
	}
	add("time", 0, 0)
	return all
}

func (s *situation) do(t *testing.T, a action) {
	if _, limited := s.left[a.what]; limited {
		s.left[a.what]--
	}
	switch a.what {
	case "deliver", "again", "die":
		p := s.air[a.i]
		if a.what != "again" {
			s.air = slices.Delete(s.air, a.i, a.i+1)
		}
		switch {
		case p.to >= 3:
			s.holders[p.to-3].Answered(*p.answer)
		case s.voters[p.to] == nil:
		case p.command != nil:
			s.voters[p.to].Propose(*p.command) // an error is a loss
			s.settle(t, p.to, a.what == "die")
		default:
			s.voters[p.to].Step(p.raw)
			s.settle(t, p.to, a.what == "die")
		}
	case "start":
		s.start(t, a.who)
		s.settle(t, a.who, false)
	case "crash":
		s.voters[a.who] = nil
	case "campaign":
		s.voters[a.who].node.Campaign()
		s.settle(t, a.who, false)
	case "ask":
		h := s.holders[a.who]
		for _, c := range h.Tick(s.holderClock()) {
			s.air = append(s.air, parcel{to: a.i, command: &c})
		}
	case "time":
		s.now += s.cfg.Term / 2
		for i, v := range s.voters {
			if v == nil {
				continue
			}
			if v.Leads() { // what was lost is sent again; nothing of a leader's tick is drawn
				v.node.Tick()
			} else {
				for range electionTicks {
					v.node.TickQuiesced() // it takes the leader for gone, and begins nothing by itself
				}
			}
			v.nextAt = s.voterClock() + time.Hour
			v.Tick(s.voterClock())
			s.settle(t, i, false)
		}
	}
	s.look()
}

func (s *situation) look() {
	acting := 0
	for _, h := range s.holders {
		token, ok := h.May(s.holderClock(), name, 0)
		if !ok {
			continue
		}
		acting++
		if token < s.last {
			s.wrong = fmt.Sprintf("somebody may act by token %d after %d", token, s.last)
		}
		s.last = token
	}
	if acting > 1 {
		s.wrong = "two may act"
	}
}

// key tells situations apart that may go on differently.
func (s *situation) key() uint64 {
	h := fnv.New64a()
	for i, v := range s.voters {
		if v != nil {
			st := v.node.BasicStatus()
			fmt.Fprint(h, i, st.RaftState, st.GetTerm(), st.GetVote(), st.Lead, st.GetCommit(), v.applied, v.table.all(), v.table.Lines, v.table.Last)
			for _, l := range v.seen {
				fmt.Fprint(h, l.lease, s.now-l.at, l.asking)
			}
			last, _ := v.storage.LastIndex()
			fmt.Fprint(h, last)
		}
		if k := s.disks[i].kept; k != nil {
			fmt.Fprint(h, k.State.Hard, len(k.State.Entries))
			for _, e := range k.State.Entries {
				fmt.Fprint(h, e.GetTerm(), string(e.GetData()))
			}
		}
	}
	for _, c := range s.holders {
		g := c.grips[name]
		fmt.Fprint(h, g.Token, g.Until-s.holderClock(), c.ask, len(c.open), c.heard[name].Place, s.holderClock()-c.asked[name])
	}
	var flying []string
	for _, p := range s.air {
		flying = append(flying, fmt.Sprint(p.to, string(p.raw), p.command, p.answer))
	}
	slices.Sort(flying)
	fmt.Fprint(h, flying, s.left, s.last)
	return h.Sum64()
}

// Every order of what may happen to three voters and two holders, with loss, repeats, any order, deaths at a write and between, and
// clocks that differ as far as they may: breadth first from a group with a leader and from one whose holder has its lease. At most one may act, and
// tokens never fall. CORALYARD_STATES asks for more situations.
func TestEveryOrder(t *testing.T) {
	most := 3000
	if n, err := strconv.Atoi(os.Getenv("CORALYARD_STATES")); err == nil {
		most = n
	}
	play := func(path []action) *situation {
		s := newSituation(t)
		for _, a := range path {
			s.do(t, a)
		}
		return s
	}
	// run makes a path on which all that is sent arrives.
	run := func(path []action) []action {
		for s := play(path); len(s.air) > 0; s = play(path) {
			path = append(path, action{"deliver", 0, 0})
		}
		return path
	}
	led := run([]action{{"campaign", 0, 0}})
	held := run(append(slices.Clone(led), action{"ask", 0, 0}))
	over := run(append(slices.Clone(held), action{"time", 0, 0}, action{"time", 0, 0}))
	for from, begun := range map[string][]action{"a leader": led, "a holder": held, "a holder whose time is nearly over": over} {
		seen := map[uint64]bool{}
		queue := [][]action{begun}
		depth := 0
		for len(queue) > 0 && len(seen) < most {
			path := queue[0]
			queue = queue[1:]
			for _, a := range play(path).can() {
				next := append(slices.Clone(path), a)
				s := play(next)
				if s.wrong != "" {
					t.Fatalf("%s, after %v", s.wrong, next)
				}
				if k := s.key(); !seen[k] {
					seen[k] = true
					queue = append(queue, next)
					depth = len(next) - len(begun)
				}
			}
		}
		t.Logf("from %s: %d situations, to a depth of %d", from, len(seen), depth)
	}
}

// Walks go deeper than every order can, and drop the limits.
func TestWalks(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s := newSituation(t)
		s.left = map[string]int{}
		var path []action
		for range 60 {
			can := s.can()
			path = append(path, can[rng.IntN(len(can))])
			if s.do(t, path[len(path)-1]); s.wrong != "" {
				t.Fatalf("seed %d: %s, after %v", seed, s.wrong, path)
			}
		}
	}
}
