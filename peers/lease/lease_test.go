package lease

import (
	"flag"
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
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue { // each is a minute of a fleet
		if err := f.Value.Set("40"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Whatever is lost, late, repeated, cut, stopped and started anew, with clocks that differ, and folders that are lost or put back from
// an old copy: at no instant may two act, tokens never fall, and no term has two leaders. Once all is well every voter votes and
// somebody may act.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		w := newWorld(t, voters, 2, rapid.Uint64().Draw(t, "seed"))
		w.often = rapid.Bool().Draw(t, "snapshots often")
		if w.folders = rapid.Bool().Draw(t, "folders"); w.folders {
			for i := range w.all {
				w.start(i)
			}
			w.ghosts = nil
		}
		w.run(8 * time.Second)
		spoilt := map[int]bool{} // voters whose folders are not what they were; a minority but in case 11
		for range rapid.IntRange(2, 9).Draw(t, "troubles") {
			i, h := rapid.IntRange(0, voters-1).Draw(t, "voter"), rapid.IntRange(0, voters+1).Draw(t, "node")
			p := w.all[i]
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			case 1: // one way
				w.cut[[2]int{i, h}] = true
			case 2: // a node from all others
				for j := range w.all {
					w.cut[[2]int{h, j}], w.cut[[2]int{j, h}] = h != j, h != j
				}
			case 3:
				w.kill(h)
			case 4:
				w.start(h)
			case 5:
				w.all[h].stopped = true
			case 6:
				w.all[h].stopped = false
			case 7:
				clear(w.cut)
			case 8: // for later
				p.old = p.disk.copied()
			case 9, 10: // the folder is lost, or an old one is put back
				if spoilt[i] = true; len(spoilt) > voters/2 {
					delete(spoilt, i)
					break
				}
				w.kill(i)
				p.disk.kept = p.old
				w.start(i)
			case 11: // the folders of most voters, or all, are lost at once; who remembers their tokens is heard
				w.heal()
				for j := range rapid.IntRange(voters/2+1, voters).Draw(t, "lost") {
					w.kill(j)
					w.all[j].disk.kept, w.all[j].old = nil, nil
					w.start(j)
				}
				clear(spoilt)
				w.run(15 * time.Second)
			}
			w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "tenths")) * 100 * ms)
		}
		w.heal()
		for late := w.now + time.Minute; w.settled() != ""; w.run(500 * ms) {
			if w.now > late {
				t.Fatal("all is well for a minute and ", w.settled())
			}
		}
		for before, late := w.acts, w.now+w.cfg.kept()+6*time.Second; w.acts == before; w.run(200 * ms) {
			if w.now > late {
				t.Fatal("all is well and nobody may act")
			}
		}
	})
}

// A voter whose folder was put back from an old copy does not vote by it, nor one whose folder was lost: each comes back as another voter,
// even if the snapshot that it begins with gets lost on its way.
func TestOldFolders(t *testing.T) {
	for _, lost := range []bool{false, true} {
		w := newWorld(t, 3, 1, 5)
		w.run(6 * time.Second)
		p := w.all[1]
		first := p.adm.id.ID
		old := p.disk.copied()
		w.run(6 * time.Second)
		w.kill(1)
		if p.disk.kept = old; lost {
			p.disk.kept = nil
		}
		w.dropSnaps = 2
		w.start(1)
		w.run(20 * time.Second)
		if why := w.settled(); why != "" || p.adm.id.ID == first {
			t.Errorf("lost %v: %s; its id was %x and is %x", lost, why, first, p.adm.id.ID)
		}
		if w.dropSnaps > 0 {
			t.Errorf("lost %v: no snapshot got lost", lost)
		}
	}
}

// An act longer than what is left may not begin, a name that was given back goes to the first in line at once and with a larger token, and
// an operator's word ends a lease of a holder that goes on.
func TestHandingOn(t *testing.T) {
	w := newWorld(t, 3, 1, 4)
	w.run(9 * time.Second)
	may := func(p *place, length time.Duration) (uint64, bool) { return p.Holder().May(w.clock(p), name, length) }
	who := slices.IndexFunc(w.all, func(p *place) bool { _, ok := may(p, 0); return ok })
	if who < 0 {
		t.Fatal("nobody holds the name")
	}
	h := w.all[who]
	if _, ok := may(h, w.cfg.Term); ok {
		t.Error("an act as long as a term may begin")
	}
	first, _ := may(h, 0)
	line := w.all[0].Voter().Line(name)
	if len(line) != 3 {
		t.Fatalf("in line are %v", line)
	}
	h.Drop(name)
	w.drain(who)
	if _, ok := may(h, 0); ok {
		t.Error("who gave a name back may act by it")
	}
	at := w.now
	for w.now < at+20*time.Second {
		w.run(10 * ms)
		if next := slices.IndexFunc(w.all, func(p *place) bool { _, ok := may(p, 0); return ok }); next >= 0 {
			p := w.all[next]
			if token, _ := may(p, 0); token <= first || w.now-at > time.Second || p.name != line[0].Name {
				t.Errorf("%s by token %d after %d, %v later; the first in line was %v", p.name, token, first, w.now-at, line[0])
			}
			break
		}
	}
	var got Result
	told := false
	h.Holder().Want("another")
	w.run(time.Second)
	h.Call(w.clock(h), Command{Do: Force, Name: "another", Reason: "test"}, func(r Result, ok bool) { got, told = r, ok })
	w.drain(who)
	w.run(300 * ms)
	if !told || !got.Done {
		t.Errorf("an operator's word: %+v, %v", got, told)
	}
	w.cut[[2]int{who, 0}], w.cut[[2]int{who, 1}], w.cut[[2]int{who, 2}], w.cut[[2]int{who, 3}] = true, true, true, true
	h.Call(w.clock(h), Command{Do: Read, Name: name}, func(_ Result, ok bool) { told = ok })
	w.drain(who)
	if w.run(2 * w.cfg.Term); told {
		t.Error("a question that nobody heard is answered")
	}
}

// The table is bounded, fits in a message when it is full, is kept by snapshots, and passes over what it does not know.
func TestTable(t *testing.T) {
	tab := newTable()
	rng := rand.New(rand.NewPCG(1, 1))
	o := Owner{"node-a", rng.Uint64()}
	for i := range MostNames + 3 {
		if r := tab.apply(Command{Do: Take, Name: fmt.Sprint("lease-", i), Owner: o}); r.Done != (i < MostNames) {
			t.Fatalf("name %d: %+v", i, r)
		}
		for j := range mostLine + 2 {
			if r := tab.apply(Command{Do: Take, Name: fmt.Sprint("lease-", i), Owner: Owner{fmt.Sprint("node-", j), rng.Uint64()}}); i < MostNames && r.Place > mostLine {
				t.Fatalf("%+v", r)
			}
		}
	}
	raw := tab.snapshot()
	if len(raw) > maxMessage*3/4 {
		t.Errorf("a full table has %d bytes", len(raw))
	}
	again, err := restore(raw)
	if err != nil || len(again.Leases) != MostNames || again.Last != MostNames {
		t.Fatalf("%d leases, last %d, %v", len(again.Leases), again.Last, err)
	}
	for _, c := range []Command{{}, {Do: 99, Name: "lease-1"}, {Do: Release, Name: "lease-1", Owner: o, Token: 9}, {Do: Expire, Name: "lease-1", Token: 2, Renewals: 1},
		{Do: Take, Name: "lease-1", Owner: Owner{"b", 2}}, {Do: Take, Owner: o}, {Do: Take, Name: "x"}} {
		if r := again.apply(c); r.Done {
			t.Errorf("%+v is done: %+v", c, r)
		}
	}
	for _, bad := range [][]byte{nil, []byte("{"), newTable().snapshot()[:5]} {
		if _, err := restore(bad); err == nil {
			t.Errorf("a broken snapshot is read: %q", bad)
		}
	}
}

// Who waits is granted in the order of asking; who does not ask any more is passed over, and a token is larger than all that an asker
// remembers.
func TestLine(t *testing.T) {
	tab := newTable()
	take := func(name string, above uint64) Result {
		return tab.apply(Command{Do: Take, Name: "x", Owner: Owner{name, 1}, Above: above})
	}
	a := take("a", 40)
	if a.Lease.Token != 41 || take("b", 0).Place != 1 || take("c", 0).Place != 2 || take("d", 0).Place != 3 {
		t.Fatalf("%+v", tab)
	}
	tab.apply(Command{Do: Quit, Name: "x", Owner: Owner{"c", 1}})
	tab.apply(Command{Do: Release, Name: "x", Owner: Owner{"a", 1}, Token: 41})
	if r := take("d", 0); r.Done || r.Place != 2 {
		t.Errorf("d goes before b: %+v", r)
	}
	if r := take("d", 0); !r.Done || r.Lease.Token != 42 { // b does not ask
		t.Errorf("nobody has the name while its first does not ask: %+v", r)
	}
	if r := tab.apply(Command{Do: Read, Name: "x"}); r.Lease.Owner.Name != "d" {
		t.Errorf("%+v", r)
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
		v, err := NewVoter(Settings{Term: time.Second, Tick: ms}, 1, Found(map[uint64]string{1: "a", 2: "b", 3: "c"}, 0), 0)
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
	voter, holder, tab, adm, node := "peers/lease/voter.go", "peers/lease/holder.go", "peers/lease/table.go", "peers/lease/admission.go", "peers/lease/node.go"
	planted.Check(t, "../..", "./peers/lease", "^(TestOneHolder|TestOldFolders|TestHandingOn|TestTable|TestLine|TestAnAnswerToAnEarlierProcessGrantsNothing|TestAVoterAnswersNothingOfItsLogAgain)$", []planted.Fault{
		{Name: "a holder that gave a name back goes on", File: holder, Old: "h.grips[name]\n\tdelete(h.grips, name)\n\tfor", New: "h.grips[name]\n\tfor"},
		{Name: "a holder counts from the next question", File: holder, Old: "until := h.grips[q.name], q.at+h.cfg.Term", New: "until := h.grips[q.name], h.asked[q.name]+2*h.cfg.Term"},
		{Name: "drift is forgotten", File: voter, Old: "float64(s.Term) * (1 + s.Drift) / (1 - s.Drift)", New: "float64(s.Term) * (1 - s.Drift)"},
		{Name: "an end does not look at renewals", File: tab, Old: "l.Token == c.Token && l.Renewals == c.Renewals", New: "l.Token == c.Token"},
		{Name: "tokens begin again", File: tab, Old: "\tt.Last = max(t.Last, c.Above) + 1\n", New: "\tt.Last = uint64(len(t.Leases) + 1)\n"},
		{Name: "a lease that was found is as old as it can be", File: voter, Old: "v.seen[l.Name] = seen{lease: l, since: now, at: now}", New: "v.seen[l.Name] = seen{lease: l, since: now, at: now - v.cfg.kept()}"},
		{Name: "another's lease is renewed", File: tab, Old: "if held && l.Owner == c.Owner {\n\t\tl.Renewals++", New: "if held {\n\t\tl.Owner = c.Owner\n\t\tl.Renewals++"},
		{Name: "a new life is the old owner", File: tab, Old: "if held && l.Owner == c.Owner {\n", New: "if held && l.Owner.Name == c.Owner.Name {\n\t\tl.Owner = c.Owner\n"},
		{Name: "an old copy is believed", File: adm, Old: "case h.Seen > a.id.Count:", New: "case h.Seen > a.id.Count+1<<40:"},
		{Name: "who is taken in gets a snapshot without him", File: voter, Old: "\tv.since = compactEvery // who", New: "\t// who"},
		{Name: "a group that follows on another grants at once", File: node, Old: "n.voter, n.quiet = v, now+n.cfg.kept()", New: "n.voter, n.quiet = v, now"},
		{Name: "a group whose folders were lost is waited for", File: adm, Old: "return now-a.whole > a.ticks(lockTicks)", New: "return false && now > a.whole"},
		{Name: "a snapshot that got lost is not sent again", File: voter, Old: "v.node.ReportSnapshot(id, raft.SnapshotFailure)", New: "_ = id"},
		{Name: "an answer to any process of the name is taken", File: voter, Old: "(a.Life == o.Life || a.Life == 0)", New: "true"},
		{Name: "what is in the log is answered again", File: voter, Old: " && v.applied > v.past {", New: " {"},
		{Name: "a lost folder keeps its vote", File: node, Old: "\tif !slices.Contains(voters, self.Name) {\n\t\treturn n, nil\n\t}\n", New: "\tif !slices.Contains(voters, self.Name) {\n\t\treturn n, nil\n\t}\n\tdraw = func() uint64 { return uint64(self.Name[1]) }\n"},
	})
}

// Guards against a note that overtook a later one and takes its place.
func TestALateNoteDoesNotReplaceALaterOne(t *testing.T) {
	tab := newTable()
	owner := Owner{"n", 1}
	token := tab.apply(Command{Do: Take, Name: name, Owner: owner}).Lease.Token
	write := func(text string, serial uint64) Result {
		return tab.apply(Command{Do: Note, Name: name, Owner: owner, Token: token, Reason: text, Serial: serial})
	}
	for _, c := range []struct {
		text   string
		serial uint64
		done   bool
		want   string
	}{
		{"a", 5, true, "a"},
		{"b", 7, true, "b"},
		{"c", 6, false, "b"}, // late
		{"b", 7, true, "b"},  // a repeat
		{"d", 7, false, "b"}, // of another process
		{"a", 5, false, "b"},
	} {
		if r := write(c.text, c.serial); r.Done != c.done || r.Lease.Note != c.want || tab.Notes[name] != c.want {
			t.Errorf("%q by %d: %+v", c.text, c.serial, r)
		}
	}
	tab.apply(Command{Do: Take, Name: name, Owner: owner}) // a renewal
	if r := write("a", 6); r.Done {
		t.Errorf("after a renewal: %+v", r)
	}
	tab.apply(Command{Do: Release, Name: name, Owner: owner, Token: token})
	token = tab.apply(Command{Do: Take, Name: name, Owner: owner}).Lease.Token
	if r := write("e", 1); !r.Done || r.Lease.Note != "e" {
		t.Errorf("under the next token: %+v", r)
	}
}

// Guards against an answer to an earlier process, which is taken for the answer to this one's question of the same number.
func TestAnAnswerToAnEarlierProcessGrantsNothing(t *testing.T) {
	const folder, ofThis, before = 77, 2, 1
	for _, life := range []uint64{before, ofThis} {
		n, err := NewNode(Settings{Term: time.Second, Drift: 0.1, Tick: 10 * ms}, Owner{"a", ofThis}, []string{"v"}, nil, rand.New(rand.NewPCG(1, 1)).Uint64, 0)
		if err != nil {
			t.Fatal(err)
		}
		n.Holder().WantAs(name, folder)
		asked := n.Holder().Tick(0)
		noted := false
		n.Call(0, Command{Do: Note, Name: name}, func(Result, bool) { noted = true })
		held := Result{Done: true, Lease: Lease{Name: name, Owner: Owner{"a", folder}, Token: 5}}
		answers := []Answer{{Asker: "a", Life: life, Ask: asked[0].Ask, Result: held}, {Asker: "a", Life: life, Ask: n.next, Result: held}}
		if err := n.Take(ms, "v", 9, Message{Kind: Tell, Answers: answers}); err != nil {
			t.Fatal(err)
		}
		if _, may := n.Holder().May(ms, name, 0); may != (life == ofThis) || noted != (life == ofThis) {
			t.Errorf("an answer to life %d, in life %d: it may act %v, its note is answered %v", life, ofThis, may, noted)
		}
	}
}

// Guards against a voter that answers the questions in its log anew at each start.
func TestAVoterAnswersNothingOfItsLogAgain(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.run(9 * time.Second)
	kept := w.all[0].disk.copied()
	v, err := NewVoter(w.cfg, kept.Identity.ID, &kept.State, 0)
	if err != nil {
		t.Fatal(err)
	}
	carriedOut := v.Applied()
	for now := time.Duration(0); now < w.cfg.Term; now += w.cfg.Tick { // the lease that was found lasts
		v.Tick(now)
		for {
			out, ok, err := v.Output(now)
			if err != nil {
				t.Fatal(err)
			}
			if !ok {
				break
			}
			if len(out.Answers) > 0 {
				t.Fatalf("it answers %+v", out.Answers)
			}
			if _, err := v.Done(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if v.Applied() <= carriedOut || len(v.Leases()) == 0 {
		t.Errorf("it has carried out nothing: applied %d, leases %v", v.Applied(), v.Leases())
	}
}

// Guards against a proposal that is refused since two leaders in a row handed it on, and it came back to its voter.
func TestAProposalThatComesBackIsTaken(t *testing.T) {
	v, err := NewVoter(Settings{Term: time.Second, Tick: ms}, 1, Found(map[uint64]string{1: "a", 2: "b"}, 0), 0)
	if err != nil {
		t.Fatal(err)
	}
	command := []*raftpb.Entry{{Data: []byte("{}")}}
	for _, c := range []struct {
		kind    raftpb.MessageType
		entries []*raftpb.Entry
		taken   bool
	}{
		{raftpb.MessageType_MsgProp, command, true},
		{raftpb.MessageType_MsgProp, nil, false},
		{raftpb.MessageType_MsgApp, command, false},
		{raftpb.MessageType_MsgVote, nil, false},
	} {
		m := raftpb.Message{Type: c.kind.Enum(), To: proto.Uint64(1), From: proto.Uint64(1), Entries: c.entries}
		raw, err := proto.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		if err := v.Step(raw); (err == nil) != c.taken {
			t.Errorf("%v of %d entries: %v", c.kind, len(c.entries), err)
		}
	}
}
