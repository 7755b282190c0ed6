package delivery

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

func openTest(t *testing.T, dir string, mb float64) *journal {
	t.Helper()
	j, err := openJournal(dir, mb, time.Now(), nil)
	if err != nil {
		t.Fatal(err)
	}
	j.lock.Close() // a test opens the folder again while it has the old journal, as if that had died
	t.Cleanup(func() { j.f.Close() })
	return j
}

func mustFlush(t *testing.T, j *journal) {
	t.Helper()
	if err := j.flush(); err != nil {
		t.Fatal(err)
	}
}

func mustAccept(t *testing.T, j *journal, id string, body []byte) *past {
	t.Helper()
	p, err := j.accept(&past{
		id: id, key: "k" + id, class: 1, dest: 7, body: body, deadline: time.UnixMicro(time.Now().UnixMicro()),
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// history writes something of every kind, and returns what is then live.
func history(t *testing.T, j *journal) map[uint64]*past {
	t.Helper()
	now := time.UnixMicro(time.Now().UnixMicro())
	a, b := mustAccept(t, j, "a", []byte("body of a")), mustAccept(t, j, "b", nil)
	c, d := mustAccept(t, j, "c", []byte{0, 255}), mustAccept(t, j, "d", []byte("d"))
	j.add(attemptRecord(a.seq, now, 0, ""))
	j.add(attemptRecord(a.seq, now.Add(time.Second), 2, ""))
	j.add(outcomeRecord(recNotRun, a.seq, 0))
	j.add(outcomeRecord(recFailed, a.seq, 1))
	j.add(endedRecord(b.seq, ending{after: 500 * time.Millisecond}))
	j.add(endedRecord(c.seq, ending{state: Failed}))
	j.add(record(recOver, d.seq))
	mustFlush(t, j)
	return j.live
}

func sameLive(t *testing.T, got, want map[uint64]*past) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d live, want %d", len(got), len(want))
	}
	for seq, w := range want {
		g := got[seq]
		if g == nil || !bytes.Equal(g.body, w.body) {
			t.Fatalf("got %+v, want %+v", g, w)
		}
		gc, wc := *g, *w
		gc.body, wc.body, gc.home, wc.home = nil, nil, nil, nil
		for _, p := range []*past{&gc, &wc} { // each life has a monotonic clock of its own
			p.deadline, p.first, p.mayRun = p.deadline.Round(0), p.first.Round(0), p.mayRun.Round(0)
			p.sends = slices.Clone(p.sends)
			for i := range p.sends {
				p.sends[i].at = p.sends[i].at.Round(0)
			}
		}
		if !reflect.DeepEqual(gc, wc) {
			t.Errorf("got %+v, want %+v", gc, wc)
		}
	}
}

func TestJournalOutlastsItsProcess(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 3)
	want := history(t, j)
	again := openTest(t, dir, 3)
	sameLive(t, again.live, want)
	if again.next != j.next || again.held != j.held {
		t.Errorf("next %d, held %d; want %d, %d", again.next, again.held, j.next, j.held)
	}
	if err := again.compact(); err != nil {
		t.Fatal(err)
	}
	sameLive(t, openTest(t, dir, 3).live, want)
}

// A kill tears the last record at any byte; all before it must be there, and what follows must be readable.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	history(t, openTest(t, dir, 3))
	whole, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j := openTest(t, dir, 3)
		before := len(j.live)
		mustAccept(t, j, "new", []byte("after the tear"))
		mustFlush(t, j)
		if again := openTest(t, dir, 3); len(again.live) != before+1 {
			t.Fatalf("cut at %d: %d live, want %d", cut, len(again.live), before+1)
		}
	}
	for i := range whole { // a flipped byte ends the replay there, and is no panic
		bad := bytes.Clone(whole)
		bad[i] ^= 0x55
		if err := os.WriteFile(filepath.Join(dir, journalName), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		openTest(t, dir, 3)
	}
}

// Over its share of the disk the node is taken for crashed: the old file, the new one and all.
func TestDiskBudgetHoldsWithLargeBodies(t *testing.T) {
	dir := t.TempDir()
	const mb = 1
	j := openTest(t, dir, mb)
	body := make([]byte, MaxBody)
	var held []*past
	most, refused := int64(0), 0
	for i := range 400 {
		p, err := j.accept(&past{id: fmt.Sprint(i), body: body, deadline: time.Now()})
		switch {
		case errors.Is(err, errDiskBudget):
			refused++
			j.add(record(recOver, held[0].seq))
			held = held[1:]
		case err != nil:
			t.Fatal(err)
		default:
			held = append(held, p)
			j.add(attemptRecord(p.seq, time.Now(), 0, ""))
		}
		live := int64(0) // what a compaction would write now, beside the file that is there
		for _, p := range j.live {
			live += int64(len(acceptedRecord(p))) + recordHead + 64
		}
		most = max(most, j.written+live)
		mustFlush(t, j)
		info, err := os.Stat(j.path())
		if err != nil {
			t.Fatal(err)
		}
		if info.Size() != j.written {
			t.Fatalf("the file has %d bytes, the journal counts %d", info.Size(), j.written)
		}
	}
	if refused == 0 || most > mb<<20 {
		t.Errorf("refused %d, most on disk %d", refused, most)
	}
	if again := openTest(t, dir, mb); len(again.live) != len(held) {
		t.Errorf("%d live, want %d", len(again.live), len(held))
	}
}

func TestCompactionDropsWhatIsOver(t *testing.T) {
	j := openTest(t, t.TempDir(), 3)
	body := make([]byte, 1000)
	for i := range 5000 {
		p := mustAccept(t, j, fmt.Sprint(i), body)
		j.add(record(recOver, p.seq))
		mustFlush(t, j)
	}
	if j.written > 2*minCompact || len(j.live) != 0 || j.held != 0 {
		t.Errorf("%d bytes, %d live, %d held", j.written, len(j.live), j.held)
	}
}

// A journal that can't be written must not lose what it has, nor take anything more on.
func TestUnwritableJournal(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 3)
	want := history(t, j)
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := j.f
	defer good.Close()
	j.f = full
	if err := os.Mkdir(j.path()+".new", 0o700); err != nil { // no compaction either
		t.Fatal(err)
	}
	p := mustAccept(t, j, "lost", []byte("x"))
	if err := j.flush(); err == nil {
		t.Fatal("the full disk took it")
	}
	j.add(record(recOver, p.seq)) // its client is refused
	if _, err := j.accept(&past{id: "more"}); err == nil {
		t.Error("taken on without a journal")
	}
	if err := j.flush(); err == nil {
		t.Error("compacted onto a full disk")
	}
	if err := os.Remove(j.path() + ".new"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the journal is written again", func() bool { return j.flush() == nil })
	sameLive(t, openTest(t, dir, 3).live, want)
}

// What is set aside for a message must hold all that may follow it, or its end could find the disk full.
func TestReserveHoldsAllThatFollows(t *testing.T) {
	const attempts, seq = 12, 1 << 40
	var all []byte
	for i := range attempts {
		all = appendRecord(all, attemptRecord(seq, time.Now(), -1, "")) // of a zone that has no number
		all = appendRecord(all, outcomeRecord(recFailed, seq, i))
	}
	all = appendRecord(all, endedRecord(seq, ending{after: 24 * time.Hour}))
	all = appendRecord(all, record(recOver, seq))
	accepted := appendRecord(nil, acceptedRecord(&past{seq: seq, deadline: time.Now(), class: 9, dest: 1e6}))
	if got := len(all) + len(accepted); got > messageReserve {
		t.Errorf("%d bytes, %d are set aside", got, messageReserve)
	}
}

// Whatever a state folder holds, it opens, and what is then live is the same after a compaction and another start.
func FuzzReplay(f *testing.F) {
	old, err := os.ReadFile(filepath.Join("testdata", "state-40fe13b", journalName))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(old)
	p := &past{seq: 1, id: "a", key: "k", class: 2, dest: 7, body: []byte("body"), deadline: time.UnixMicro(1), front: "wallet", keep: true}
	f.Add(appendRecord(appendRecord(nil, acceptedRecord(p)), endedRecord(1, ending{state: Refused, code: 7})))
	f.Add(appendRecord(nil, []byte{recEnded, 1}))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		j := openTest(t, dir, 16)
		if err := j.compact(); err != nil {
			t.Fatal(err)
		}
		sameLive(t, openTest(t, dir, 16).live, j.live)
	})
}
