package copies

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
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

func record(b byte) []byte { return append(binary.LittleEndian.AppendUint32(nil, 1), 0, 0, 0, 0, b) }

const patience = time.Second

// world is an owner, its two possible holders and the agreement, as the service puts them together, small enough that all that may
// happen is gone through. Frames may be late, come twice or never. Requests for notes may come late, twice, or after later ones, and their answers
// late or never; the owner's process may start again under the same lease.
type world struct {
	now     time.Duration
	owner   *Owner
	epoch   uint64
	dead    bool   // the owner's machine is lost
	note    Note   // of the agreement
	asked   []Note // on their way to the agreement, by any process of the owner
	waits   *Note  // whose answer the owner waits for
	shelves map[string]Shelf
	content map[string][]byte // records of each shelf, by their last byte
	wrote   []byte            // the owner's records
	frames  []flying
	places  []Chain // of the owner's stream, one for each record and the beginning
	said    int     // records that were said to be held
	ticket  uint64
	acks    []ack
	heir    []byte // what an heir goes on with
}

type flying struct {
	to string
	f  Frame
}

type ack struct {
	from string
	mark uint64
}

func newWorld() *world {
	w := &world{owner: NewOwner("owner", 1, patience, Chain{}), epoch: 1, shelves: map[string]Shelf{"a": {}, "b": {}}, content: map[string][]byte{}, places: []Chain{{}}}
	w.owner.Granted(Note{}, 1, 0)
	w.note, _ = w.owner.Ask(0, false)
	w.owner.Noted(Agreed)
	return w
}

// actions are all that may happen now, by name.
func (w *world) actions() (all []string) {
	add := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	if !w.dead {
		if len(w.wrote) < 3 {
			add("write")
		}
		add("want a")
		add("want b")
		if w.waits == nil {
			add("ask")
		} else {
			add("silence")
			if w.waits.Serial <= w.note.Serial {
				add("noted")
			}
		}
		add("cover")
		add("restart")
		for i := range w.acks {
			add("ack %d", i)
		}
		for _, name := range w.owner.Targets() {
			add("send %s", name)
		}
		add("lose")
	} else if w.heir == nil {
		add("inherit")
	}
	for i := range w.asked {
		if w.heir == nil { // by then the lease is the heir's
			add("decide %d", i)
			add("redecide %d", i)
		}
	}
	for i := range w.frames {
		add("arrive %d", i)
		add("again %d", i)
	}
	return all
}

func (w *world) do(action string) error {
	var what, arg string
	fmt.Sscan(action, &what, &arg)
	n, _ := strconv.Atoi(arg)
	switch what {
	case "write":
		w.wrote = append(w.wrote, byte(len(w.wrote)+1))
		next, _ := w.places[len(w.places)-1].next(record(w.wrote[len(w.wrote)-1]))
		w.places = append(w.places, next)
		w.ticket++
		w.owner.Wrote(w.now, w.ticket, next)
	case "want":
		w.owner.Choose([]string{arg})
	case "ask":
		if note, ok := w.owner.Ask(w.now, false); ok {
			w.waits, w.asked = &note, append(w.asked, note)
		}
	case "decide", "redecide":
		if w.asked[n].Serial > w.note.Serial {
			w.note = w.asked[n]
		}
		if what == "decide" {
			w.asked = slices.Delete(w.asked, n, n+1)
		}
	case "noted":
		outcome := Refused
		if w.note.String() == w.waits.String() && w.note.Serial == w.waits.Serial {
			outcome = Agreed
		}
		w.owner.Noted(outcome)
		w.waits = nil
	case "silence":
		w.owner.Noted(Unknown)
		w.waits = nil
	case "restart": // of the process, with its folder and its lease
		w.owner = NewOwner("owner", 1, patience, w.places[len(w.places)-1])
		w.owner.Granted(w.note, w.epoch, w.note.Serial)
		w.waits, w.acks = nil, nil
	case "cover":
		if ticket, short, ok := w.owner.Covered(w.now, true); ok && !short {
			w.said = max(w.said, int(ticket))
		}
	case "ack":
		w.owner.Acked(w.acks[n].from, w.acks[n].mark)
		w.acks = slices.Delete(w.acks, n, n+1)
	case "send": // the next record that the holder lacks, or all
		at := w.shelves[arg].At
		i := slices.Index(w.places, at)
		if i >= 0 && i < len(w.wrote) {
			w.frames = append(w.frames, flying{arg, Frame{Epoch: w.epoch, Before: w.places[i], Records: record(w.wrote[i])}})
		}
		w.acks = append(w.acks, ack{arg, at.Mark})
	case "arrive", "again":
		f := w.frames[n]
		if what == "arrive" {
			w.frames = slices.Delete(w.frames, n, n+1)
		}
		after, v, write := w.shelves[f.to].Take(f.f)
		if write {
			w.content[f.to] = append(slices.Clone(w.content[f.to]), f.f.Records[len(f.f.Records)-1])
		}
		w.shelves[f.to] = after
		if v == Kept && !w.dead {
			w.acks = append(w.acks, ack{f.to, after.At.Mark})
		}
	case "lose":
		w.dead = true
	case "inherit":
		var found []Found
		for _, h := range w.note.Holders {
			s := w.shelves[h]
			s.Fence = w.epoch + 1
			w.shelves[h] = s
			found = append(found, Found{h, s})
		}
		from, missing := Heir(w.note, found)
		if missing != "" {
			if w.said > 0 {
				return fmt.Errorf("%d records were said to be held, and nobody can be read: %s", w.said, missing)
			}
			break
		}
		w.heir = append([]byte{}, w.content[from]...)
		if len(w.heir) < w.said || !slices.Equal(w.heir, w.wrote[:len(w.heir)]) {
			return fmt.Errorf("%d of %v were said to be held, the heir reads %v", w.said, w.wrote, w.heir)
		}
	}
	if w.heir != nil {
		for _, h := range w.note.Holders { // nothing of the old epoch gets in behind the heir
			if len(w.content[h]) > len(w.heir) && slices.Equal(w.content[h][:len(w.heir)], w.heir) && w.shelves[h].Epoch <= w.epoch && what == "arrive" {
				return fmt.Errorf("%s took a frame of a past epoch", h)
			}
		}
	}
	return nil
}

func (w *world) key() string {
	return fmt.Sprint(w.owner.note, w.owner.asked, w.owner.acked, w.owner.wants, w.owner.covered, w.owner.tickets, w.owner.doubted, w.owner.settled, w.dead, w.note, w.asked, w.waits != nil, w.shelves, w.wrote, w.frames, w.said, w.acks, w.heir)
}

// Whatever order frames, answers, notes and the loss of the owner come in: an heir that reads the noted holders has every record that was ever said
// to be held, in its order, and nothing of the old epoch gets in behind it. Breadth first over all orders; CORALYARD_STATES asks for more.
func TestEveryOrder(t *testing.T) {
	most := 12000
	if n, err := strconv.Atoi(os.Getenv("CORALYARD_STATES")); err == nil {
		most = n
	}
	play := func(path []string) (*world, error) {
		w := newWorld()
		for i, a := range path {
			if err := w.do(a); err != nil {
				return w, fmt.Errorf("%w, after %v", err, path[:i+1])
			}
		}
		return w, nil
	}
	seen, depth := map[string]bool{}, 0
	for queue := [][]string{{}}; len(queue) > 0 && len(seen) < most; queue = queue[1:] {
		w, _ := play(queue[0])
		for _, a := range w.actions() {
			path := append(slices.Clone(queue[0]), a)
			next, err := play(path)
			if err != nil {
				t.Fatal(err)
			}
			if k := next.key(); !seen[k] {
				seen[k], depth = true, len(path)
				queue = append(queue, path)
			}
		}
	}
	t.Logf("%d states, to a depth of %d", len(seen), depth)
}

// likely is how often a kind of action is done on a walk, against the others that can be done: mostly what was sent arrives, and what was asked
// for is answered.
var likely = map[string]int{
	"write": 4, "want": 3, "ask": 8, "silence": 2, "noted": 8, "cover": 8, "restart": 1, "ack": 8, "send": 8, "lose": 1, "inherit": 20,
	"decide": 6, "redecide": 1, "arrive": 8, "again": 1,
}

// draw picks one of some actions.
func draw(rng *rand.Rand, all []string) string {
	weight := func(action string) int {
		kind, _, _ := strings.Cut(action, " ")
		return likely[kind]
	}
	sum := 0
	for _, a := range all {
		sum += weight(a)
	}
	at := rng.IntN(sum)
	for _, a := range all {
		if at -= weight(a); at < 0 {
			return a
		}
	}
	return all[len(all)-1]
}

// The same by walks that go deeper, and mostly forward: what was sent arrives, what was asked is answered.
func TestWalks(t *testing.T) {
	for seed := range uint64(12000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newWorld()
		var path []string
		for range 60 {
			can := w.actions()
			if len(can) == 0 {
				break
			}
			a := draw(rng, can)
			path = append(path, a)
			if err := w.do(a); err != nil {
				t.Fatalf("seed %d: %v, after %v", seed, err, path)
			}
		}
	}
}

// Guards against a note of which the owner knows too little: what it says to be held has to stand at whoever the voters have in the note, or come to.
func TestANoteWithoutAnAnswerMayStand(t *testing.T) {
	const (
		heldByA  = "want a, send a, ack 0, ask, decide 0, noted, write, send a, arrive 0, ack 0, ack 0, cover, "
		bHasIt   = "want b, send b, arrive 0, ack 0, ack 0, ask, "
		aHasMore = "write, send a, arrive 0, ack 0, ack 0, cover, "
		backToA  = "want a, send a, ack 0, ask, "
	)
	for name, path := range map[string]string{
		"agreed on, the answer on its way":           heldByA + bHasIt + "decide 0, " + aHasMore,
		"agreed on, the answer lost":                 heldByA + bHasIt + "decide 0, silence, " + aHasMore,
		"agreed on late":                             heldByA + bHasIt + "silence, " + aHasMore + "decide 0, ",
		"it comes after a later one":                 heldByA + bHasIt + "silence, " + backToA + "decide 1, noted, decide 0, " + aHasMore,
		"of the process before":                      heldByA + bHasIt + "restart, want a, " + aHasMore + "decide 0, ",
		"of the process before, after a further one": heldByA + bHasIt + "silence, ask, restart, " + backToA + "decide 2, noted, decide 1, " + aHasMore,
	} {
		w := newWorld()
		for _, action := range append(strings.Split(strings.TrimSuffix(path, ", "), ", "), "lose", "inherit") {
			if !slices.Contains(w.actions(), action) {
				t.Fatalf("%s: %s can't be done", name, action)
			}
			if err := w.do(action); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// An heir reads the noted holder that has most, waits where none answers, and names those that differ at one place.
func TestHeir(t *testing.T) {
	at := func(mark uint64, b byte) Shelf { return Shelf{At: Chain{Mark: mark, Digest: [32]byte{b}}} }
	note := Note{Holders: []string{"a", "b"}}
	for _, c := range []struct {
		found []Found
		from  string
		why   string
	}{
		{nil, "", "none of a, b"},
		{[]Found{{"a", at(5, 1)}, {"b", at(9, 2)}}, "b", ""},
		{[]Found{{"b", at(9, 2)}, {"a", at(5, 1)}}, "b", ""},
		{[]Found{{"c", at(50, 1)}, {"a", at(5, 1)}}, "a", ""},
		{[]Found{{"c", at(50, 1)}}, "", "none of a, b"},
		{[]Found{{"a", Shelf{}}}, "", "none of a, b"}, // its folder was lost
		{[]Found{{"a", Shelf{}}, {"b", at(5, 1)}}, "b", ""},
		{[]Found{{"a", at(5, 1)}, {"b", at(5, 2)}}, "", "b and a have different records"},
	} {
		if from, why := Heir(note, c.found); from != c.from || !strings.HasPrefix(why, c.why) {
			t.Errorf("%+v: %q, %q", c.found, from, why)
		}
	}
}

// A holder takes what follows on what it has, once; it refuses past epochs, gaps, other records at a place that it has, and an owner
// that knows less than it does.
func TestShelf(t *testing.T) {
	one, two := record(1), record(2)
	var s Shelf
	take := func(f Frame, want Verdict) {
		t.Helper()
		after, v, _ := s.Take(f)
		if v != want {
			t.Errorf("%+v at %+v: %v, want %v", f, s, v, want)
		}
		s = after
	}
	first, _ := Chain{}.next(one)
	other, _ := Chain{}.next(two)
	take(Frame{Epoch: 2, Records: one}, Kept)
	take(Frame{Epoch: 2, Records: one}, Kept) // again
	take(Frame{Epoch: 1, Before: first, Records: two}, Past)
	take(Frame{Epoch: 2, Before: other, Records: two}, Invalid)
	take(Frame{Epoch: 2, Before: Chain{Mark: 90}, Records: two}, Gap)
	take(Frame{Epoch: 2, Before: first, Records: two[:5]}, Invalid)
	take(Frame{Epoch: 3, Records: one}, Kept) // the next owner has the same
	take(Frame{Epoch: 3, Before: first, Records: two}, Kept)
	take(Frame{Epoch: 4, Records: one}, Ahead)
	take(Frame{Epoch: 3, Before: Chain{Mark: 2}, Records: one, Whole: true}, Ahead)
	take(Frame{Epoch: 4, Before: s.At, Records: one, Whole: true}, Kept)
	if s.Fence = 9; s.Epoch != 4 {
		t.Errorf("%+v", s)
	}
	take(Frame{Epoch: 8, Before: s.At, Records: one}, Past)
}

// What can't be held in time is said to be so, what is held in between is not mixed with it, and an owner that may go on alone does so only once
// that is agreed on.
func TestOwner(t *testing.T) {
	o := NewOwner("owner", 1, patience, Chain{})
	o.Granted(Note{}, 1, 0)
	if note, ok := o.Ask(0, false); !ok || note.String() != "@1" || o.IsNoted() {
		t.Error("an owner does not note its epoch", note, ok)
	}
	o.Noted(Agreed)
	if _, ok := o.Ask(0, false); ok || o.Holds(0) {
		t.Error("holders are noted that there are not")
	}
	o.Wrote(0, 1, Chain{Mark: 10})
	if _, _, ok := o.Covered(patience, true); ok {
		t.Error("covered at once")
	}
	if n, short, ok := o.Covered(patience+1, true); !ok || !short || n != 1 {
		t.Error("what waited in vain is not given up", n, short, ok)
	}
	o.Choose([]string{"a"})
	o.Acked("a", 10)
	note, ok := o.Ask(0, false)
	if !ok || note.String() != "a@1" || o.Holds(0) {
		t.Errorf("%v, %v", note, ok)
	}
	o.Noted(Agreed)
	o.Wrote(0, 2, Chain{Mark: 20})
	o.Wrote(0, 3, Chain{Mark: 30})
	o.Acked("a", 20)
	if n, short, ok := o.Covered(1, true); n != 2 || short || !ok || !o.Holds(1) {
		t.Error(n, short, ok, o.Holds(1))
	}
	o.Acked("a", 30)
	if _, _, ok := o.Covered(1, false); ok {
		t.Error("counted as held without its lease")
	}
	o.Covered(1, true)
	o.Wrote(2, 4, Chain{Mark: 40})
	o.Choose([]string{"b"})
	o.Acked("b", 40)
	if _, _, ok := o.Covered(3, true); ok {
		t.Error("who is to hold it counts before the voters know")
	}
	o.Choose(nil) // the holder is gone
	o.Ask(10, true)
	if o.Holds(10) {
		t.Error("new messages are taken on though nobody can hold them")
	}
	if note, ok := o.Ask(10+2*patience, true); !ok || !note.Alone {
		t.Errorf("%v, %v", note, ok)
	}
	if _, short, ok := o.Covered(20, true); ok && !short {
		t.Error("alone before it is agreed on")
	}
	o.Noted(Agreed)
	if n, short, ok := o.Covered(20, true); n != 4 || short || !ok || !o.Alone() {
		t.Error(n, short, ok)
	}
	o.Granted(o.Note(), 2, 0) // the lease had ended, and is had again
	o.Wrote(21, 5, Chain{Mark: 50})
	if _, _, ok := o.Covered(21, true); ok || o.Holds(21) {
		t.Error("held before the voters know of the new epoch")
	}
}

// Guards against an heir of a stale copy whose holders are noted as having all, before the stream says what the copy may lack: the next heir would take the
// copies for whole.
func TestAnHeirOfAStaleCopyNotesThatUntilItsStreamSaysSo(t *testing.T) {
	o := NewOwner("heir", 1, patience, Chain{Mark: 10})
	o.SetLacks(true)
	o.Granted(Note{Holders: []string{"heir"}, Alone: true, Epoch: 1}, 2, 0)
	if note, ok := o.Ask(1, true); !ok || !note.Alone || note.Epoch != 2 {
		t.Fatalf("%v, %v", note, ok)
	}
	o.Noted(Agreed)
	o.Choose([]string{"a"})
	o.Acked("a", 10)
	if note, ok := o.Ask(2, true); !ok || !note.Alone || !slices.Equal(note.Holders, []string{"a"}) {
		t.Errorf("before the stream says so: %v, %v", note, ok)
	}
	o.Noted(Agreed)
	o.Wrote(3, 1, Chain{Mark: 20}) // what the copy may lack
	o.SetLacks(false)
	o.Covered(4, true)
	if note, ok := o.Ask(5, true); ok && !note.Alone {
		t.Errorf("before the holder has it: %v", note)
	}
	o.Acked("a", 20)
	if note, ok := o.Ask(6, true); !ok || note.Alone {
		t.Errorf("once the holder has it: %v, %v", note, ok)
	}
}

// An heir that held the stream itself stands in its note until further nodes have all of it, and is none of them.
func TestHeirIsNoHolder(t *testing.T) {
	o := NewOwner("b", 1, patience, Chain{Mark: 10})
	o.Granted(Note{Holders: []string{"b"}, Epoch: 3}, 4, 0)
	o.Ask(0, false)
	o.Noted(Agreed)
	o.Acked("b", 99)
	o.Wrote(0, 1, Chain{Mark: 20})
	if _, _, ok := o.Covered(1, true); ok || o.Holds(1) || len(o.Targets()) != 0 {
		t.Error("an heir is its own further node")
	}
	o.Choose([]string{"c"})
	o.Acked("c", 20)
	if note, ok := o.Ask(2, false); !ok || note.String() != "c@4" {
		t.Errorf("%v, %v", note, ok)
	}
	o.Noted(Agreed)
	if n, short, ok := o.Covered(3, true); n != 1 || short || !ok {
		t.Error(n, short, ok)
	}
}

// Guards against an heir that takes records which were never held, and lie on a node that is not noted, for a sign that its own journal is old.
func TestWhatWasNeverHeldIsNotMoreThanAnHeirHas(t *testing.T) {
	read := Chain{Mark: 50}
	for _, epoch := range []uint64{3, 4, mostEpoch} {
		leftover := Shelf{At: Chain{Mark: read.Mark + 70}, Epoch: epoch - 1}
		heir := Frame{Epoch: epoch, Before: Begin(read, epoch), Records: record(1), Whole: true}
		after, v, write := leftover.Take(heir)
		if v != Kept || !write || heir.Before.Mark <= leftover.At.Mark {
			t.Errorf("epoch %d: %v behind %+v", epoch, v, leftover.At)
		}
		leftover = Shelf{At: Chain{Mark: after.At.Mark + 1<<30}, Epoch: epoch} // of an heir that is gone as well
		if next := Begin(heir.Before, epoch+1); next.Mark <= leftover.At.Mark && epoch < mostEpoch {
			t.Errorf("after epoch %d: %+v", epoch, next)
		}
	}
}

// Holders are on other machines and in other zones where there are such, and few streams move when a node comes or goes.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, k := rapid.IntRange(2, 40).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "k")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		var all []Node
		for i := range n {
			all = append(all, Node{fmt.Sprint("n", i), fmt.Sprint("m", i/rapid.IntRange(1, 2).Draw(t, "a machine")), fmt.Sprint("z", i%zones)})
		}
		owner := all[0]
		moved := 0
		for s := range 60 {
			stream := fmt.Sprint("stream", s)
			chosen := Choose(stream, owner, all, k)
			in := map[string]bool{}
			for _, name := range chosen {
				h := all[slices.IndexFunc(all, func(o Node) bool { return o.Name == name })]
				if h.Name == owner.Name || h.Machine == owner.Machine {
					t.Fatalf("%v holds for %v", h, owner)
				}
				in[h.Zone] = true
			}
			if others := zones - 1; len(chosen) == k && k == 1 && others > 0 && n >= 2*zones+2 && in[owner.Zone] {
				t.Fatalf("%v are in the owner's zone alone", chosen)
			}
			if !slices.Equal(chosen, Choose(stream, owner, all, k)) {
				t.Fatal("chosen otherwise the second time")
			}
			if fewer := Choose(stream, owner, all[:n-1], k); !slices.Contains(chosen, all[n-1].Name) && !slices.Equal(chosen, fewer) {
				moved++
			}
		}
		if moved > 30 {
			t.Fatalf("%d of 60 streams moved for a node that held none of them", moved)
		}
	})
}

// A note is read as it was written.
func TestNote(t *testing.T) {
	for _, n := range []Note{{}, {Holders: []string{"a"}}, {Holders: []string{"a", "b"}, Alone: true}, {Holders: []string{"a"}, Over: true}, {Alone: true, Over: true}, {Holders: []string{"a"}, Epoch: 77}, {Epoch: 1 << 60}} {
		if got := ParseNote(n.String()); got.String() != n.String() || got.Alone != n.Alone || got.Over != n.Over || got.Epoch != n.Epoch || len(got.Holders) != len(n.Holders) {
			t.Errorf("%+v is read as %+v", n, got)
		}
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	file := "peers/copies/copies.go"
	planted.Check(t, "../..", "./peers/copies", "^(TestWalks|TestANoteWithoutAnAnswerMayStand|TestShelf|TestOwner|TestHeir|TestHeirIsNoHolder|TestWhatWasNeverHeldIsNotMoreThanAnHeirHas)$", []planted.Fault{
		{Name: "said before it is held", File: file, Old: "least = min(least, o.acked[name])", New: "least = max(o.acked[name], least)"},
		{Name: "a past epoch is accepted", File: file, Old: "case f.Epoch < s.Fence || f.Epoch < s.Epoch:", New: "case f.Epoch+9 < s.Fence:"},
		{Name: "the longest stream is not taken", File: file, Old: "cmp.Compare(f.Shelf.Epoch, found[best].Shelf.Epoch)) > 0:", New: "cmp.Compare(f.Shelf.Epoch, found[best].Shelf.Epoch)) < 0:"},
		{Name: "the digest is not compared", File: file, Old: "case f.Before == s.At:", New: "case f.Before.Mark == s.At.Mark:"},
		{Name: "new holders count before they have what the old ones have", File: file, Old: "return o.held(names) >= o.oldest()", New: "return true"},
		{Name: "holders count before they are noted", File: file, Old: "return o.held(further)", New: "return o.held(o.wants)"},
		{Name: "held without the lease", File: file, Old: "	if leased {\n		mark", New: "	if true {\n		mark"},
		{Name: "alone before it is agreed on", File: file, Old: "	if note.Alone {\n", New: "	if note.Alone || o.asked != nil && o.asked.Alone {\n"},
		{Name: "held before the epoch is noted", File: file, Old: "	leased = leased && o.IsNoted()\n", New: ""},
		{Name: "an heir goes on at the place that it has read", File: file, Old: "min(epoch, mostEpoch)*epochPlaces", New: "0"},
		{Name: "a lost copy is read", File: file, Old: "case f.Shelf.At.Mark == 0:", New: "case false:"},
		{Name: "an heir counts itself", File: file, Old: "	if !slices.Contains(note.Holders, o.self) {", New: "	if true {"},
		{Name: "a note whose answer is not heard counts for nothing", File: file, Old: "all := append([]Note{o.note}, o.doubted...)", New: "all := []Note{o.note}"},
		{Name: "a note that is asked for counts for nothing until it is answered", File: file, Old: "	if o.asked != nil {\n		all", New: "	if false {\n		all"},
		{Name: "notes of an earlier process are forgotten", File: file, Old: "o.settled, o.asked, o.doubted = false, nil, nil", New: "o.settled, o.asked, o.doubted = true, nil, nil"},
		{Name: "notes are numbered anew by each process", File: file, Old: "serial+serialsOfProcess", New: "serial"},
		{Name: "anybody's copy is read", File: file, Old: "if !slices.Contains(note.Holders, f.Holder) {", New: "if false {"},
	})
}
