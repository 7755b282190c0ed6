package undelivered

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"starlingusher/choice"
	"starlingusher/undelivered/rules"
)

var (
	noon    = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	classes = []rules.Class{{Name: "table-status", Effect: choice.Safe}, {Name: "coin-order", Effect: choice.Keyed, Window: 12 * time.Second},
		{Name: "prize-payout", Effect: choice.Unsafe}}
)

func open(t testing.TB, path string, mb float64) *Store {
	t.Helper()
	s, err := Open(path, Options{MaxBytes: int64(mb * (1 << 20)), Classes: classes, Now: func() time.Time { return noon }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// entry is a failed message; one that ran waits for a person if it is a payout.
func entry(id string, class int, ran bool) Entry {
	return Entry{ID: id, Class: classes[class].Name, Dest: 7, Deadline: noon, Reason: rules.MayHaveRun, Ended: noon,
		Attempts: []rules.Attempt{{At: noon.Add(-time.Second), Endpoint: "e", Outcome: "cut", NotRun: !ran}}}
}

func keep(t testing.TB, s *Store, e Entry, body string) Entry {
	t.Helper()
	if err := s.Keep([]Entry{e}, [][]byte{[]byte(body)}); err != nil {
		t.Fatal(err)
	}
	got, err := s.Find(e.Ref())
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestKeepAndFind(t *testing.T) {
	path := filepath.Join(t.TempDir(), "undelivered")
	s := open(t, path, 4)
	e := keep(t, s, entry("a", 2, true), "body of a")
	if again := keep(t, s, entry("a", 2, true), "body of a"); again.Number != e.Number {
		t.Errorf("written again it is entry %d, not %d", again.Number, e.Number)
	}
	other := entry("a", 2, true)
	other.Deadline = noon.Add(time.Hour) // the id has come again
	if second := keep(t, s, other, ""); second.Number == e.Number {
		t.Error("two messages share an entry")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, path, 4)
	got, err := s.Get(e.Number)
	if err != nil || got.State != Waiting || got.ID != "a" || len(got.Attempts) != 1 || got.Size != 9 {
		t.Errorf("got %+v, %v", got, err)
	}
	if body, err := s.Body(e.Number); err != nil || string(body) != "body of a" {
		t.Errorf("got %q, %v", body, err)
	}
	if _, err := s.Get(99); !errors.Is(err, ErrUnknown) {
		t.Errorf("got %v", err)
	}
	n := 0
	if err := s.Each(e.Number+1, func(Entry) bool { n++; return true }); err != nil || n != 1 {
		t.Errorf("%d entries, %v", n, err)
	}
}

// A person and a rule that meet: one of them wins, and the other is told.
func TestOneOfTwoWins(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "undelivered"), 4)
	for i := range 50 {
		e := keep(t, s, entry(fmt.Sprint(i), 0, true), "")
		var both sync.WaitGroup
		var rule, person error
		both.Go(func() { _, rule = s.Begin(e.Number, false) })
		both.Go(func() { person = s.Decide(e.Number, Resend, "night shift", "the bank asked for it") })
		both.Wait()
		if (rule == nil) == (person == nil) || !errors.Is(errors.Join(rule, person), ErrMoved) {
			t.Fatalf("rule: %v, person: %v", rule, person)
		}
		want := Out
		if person == nil {
			want = Waiting
		}
		if got, err := s.Get(e.Number); err != nil || got.State != want || got.Granted != (person == nil) {
			t.Errorf("got %+v, %v", got, err)
		}
	}
}

func TestLivesOfAnEntry(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "undelivered"), 4)
	e := keep(t, s, entry("a", 0, true), "body")
	if _, err := s.Begin(e.Number, false); err != nil {
		t.Fatal(err)
	}
	if err := s.Back(e.Number); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Get(e.Number); err != nil || got.State != Waiting || got.Resends != 0 {
		t.Errorf("got %+v, %v", got, err)
	}
	if err := s.Back(e.Number); !errors.Is(err, ErrMoved) {
		t.Errorf("got %v", err)
	}
	if _, err := s.Begin(e.Number, false); err != nil {
		t.Fatal(err)
	}
	second := entry("a", 0, true) // it ends again, with the attempts of both lives
	second.Attempts = append(second.Attempts, rules.Attempt{At: noon, Endpoint: "e2"})
	if got := keep(t, s, second, "body"); got.Number != e.Number || got.Resends != 1 || len(got.Attempts) != 2 || got.State != Waiting {
		t.Errorf("got %+v", got)
	}
	if err := s.Deliver(second.Ref()); err != nil { // late, while it waits
		t.Fatal(err)
	}
	if got := keep(t, s, second, "body"); got.State != Delivered {
		t.Errorf("an end that is written again has opened it: %+v", got)
	}
	if err := s.Decide(e.Number, Abandon, "night shift", "too late"); !errors.Is(err, ErrMoved) {
		t.Errorf("got %v", err)
	}
	if err := s.Deliver(Ref{ID: "nothing"}); err != nil {
		t.Error(err)
	}
}

func TestDecisionsAreAudited(t *testing.T) {
	path := filepath.Join(t.TempDir(), "undelivered")
	s := open(t, path, 4)
	e := keep(t, s, entry("a", 2, true), "")
	for _, bad := range []struct {
		action    Action
		name, why string
	}{{Apply, "", "why"}, {Apply, "night shift", " "}, {"shred", "night shift", "why"}} {
		if err := s.Decide(e.Number, bad.action, bad.name, bad.why); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
	if err := s.Decide(e.Number, Apply, "night shift", "the bank shows it"); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = open(t, path, 4)
	var all []Record
	if err := s.Audit(func(r Record) bool { all = append(all, r); return true }); err != nil {
		t.Fatal(err)
	}
	if len(all) != 1 || all[0] != (Record{noon, e.Number, "a", Apply, "night shift", "the bank shows it"}) {
		t.Errorf("got %+v", all)
	}
	if got, err := s.Get(e.Number); err != nil || got.State != Applied {
		t.Errorf("got %+v, %v", got, err)
	}
}

// The budget is kept on disk: what is closed goes first, then what no person has to decide on, the oldest of each. What
// waits for a person never goes, and when nothing else is left the store says so.
func TestBudget(t *testing.T) {
	const budget = 1.0
	s := open(t, filepath.Join(t.TempDir(), "undelivered"), budget)
	body := strings.Repeat("x", 2000)
	var payouts []Entry
	for i := range 40 {
		payouts = append(payouts, keep(t, s, entry(fmt.Sprint("payout", i), 2, true), body))
	}
	closed := keep(t, s, entry("closed", 2, true), body)
	if err := s.Decide(closed.Number, Abandon, "night shift", "tested"); err != nil {
		t.Fatal(err)
	}
	first := keep(t, s, entry("status0", 0, true), body)
	for i := range 1000 {
		keep(t, s, entry(fmt.Sprint("status", i+1), 0, true), body)
		if size, err := s.Size(); err != nil || size > budget*(1<<20) {
			t.Fatalf("the file holds %d bytes, %v", size, err)
		}
	}
	for _, gone := range []Entry{closed, first} {
		if _, err := s.Get(gone.Number); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s is still there: %v", gone.ID, err)
		}
	}
	for i := 0; ; i++ {
		err := s.Keep([]Entry{entry(fmt.Sprint("more", i), 2, true)}, [][]byte{[]byte(body)})
		if errors.Is(err, ErrFull) {
			break
		}
		if err != nil || i > 10000 {
			t.Fatalf("%d: %v", i, err)
		}
	}
	for _, p := range payouts {
		if got, err := s.Get(p.Number); err != nil || got.State != Waiting {
			t.Errorf("%+v, %v", got, err)
		}
	}
	if size, err := s.Size(); err != nil || size > budget*(1<<20) {
		t.Errorf("the file holds %d bytes, %v", size, err)
	}
}

func TestFilesThatAreNoStore(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good")
	s := open(t, good, 4)
	for i := range 100 {
		keep(t, s, entry(fmt.Sprint(i), 0, true), "body")
	}
	if _, err := Open(good, Options{}); !errors.Is(err, ErrInUse) {
		t.Errorf("a second opening: %v", err)
	}
	s.Close()
	whole, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	newer := filepath.Join(dir, "newer")
	if err := os.WriteFile(newer, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	db, err := bbolt.Open(newer, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(versionKey, encode(version+1)) }); err != nil {
		t.Fatal(err)
	}
	db.Close()
	if _, err := Open(newer, Options{}); !errors.Is(err, ErrNewer) {
		t.Errorf("got %v", err)
	}
	for name, text := range map[string][]byte{"noise": []byte(strings.Repeat("noise", 5000)), "truncated": whole[:5000], "short": whole[:10]} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := Open(path, Options{}); err == nil {
			s.Close()
			t.Errorf("%s was opened", name)
		} else if !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v does not name the file", name, err)
		}
		if left, err := os.ReadFile(path); err != nil || string(left) != string(text) {
			t.Errorf("%s was changed", name)
		}
	}
}

// TestMain writes to a store until it is killed, when a test starts this binary as a child.
func TestMain(m *testing.M) {
	if path := os.Getenv("UNDELIVERED_TEST_STORE"); path != "" {
		if err := write(path); err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// write keeps, begins, decides and delivers without end, and says what is done.
func write(path string) error {
	s, err := Open(path, Options{MaxBytes: 64 << 20, Classes: classes, Now: time.Now})
	if err != nil {
		return err
	}
	start := 0
	if err := s.Each(0, func(Entry) bool { start++; return true }); err != nil {
		return err
	}
	for i := start; ; i++ {
		e := entry(fmt.Sprint("m", i), i%3, true)
		if err := s.Keep([]Entry{e}, [][]byte{[]byte("body of " + e.ID)}); err != nil {
			return err
		}
		fmt.Println("kept", e.ID)
		got, err := s.Find(e.Ref())
		if err != nil {
			return err
		}
		switch i % 4 {
		case 1:
			err = s.Decide(got.Number, Apply, "night shift", "seen")
		case 2:
			_, err = s.Begin(got.Number, false)
		case 3:
			err = s.Deliver(e.Ref())
		}
		if err != nil {
			return err
		}
		fmt.Println("done", e.ID)
	}
}

// Killed at any instant, the store opens again, has every entry that it said it had, once, with its body, and each
// decision with its line in the audit trail.
func TestKilledAtAnyInstant(t *testing.T) {
	seed := uint64(20261201)
	if text := os.Getenv("UNDELIVERED_SEED"); text != "" {
		if _, err := fmt.Sscan(text, &seed); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 0))
	path := filepath.Join(t.TempDir(), "undelivered")
	kept, done := map[string]bool{}, map[string]bool{}
	for range 20 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "UNDELIVERED_TEST_STORE="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		after := 1 + r.IntN(200)
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			if n == after {
				cmd.Process.Kill()
			}
			what, id, _ := strings.Cut(lines.Text(), " ")
			switch what {
			case "kept":
				kept[id] = true
			case "done":
				done[id] = true
			default:
				t.Fatal(lines.Text())
			}
		}
		cmd.Wait()
		check(t, path, kept, done)
	}
}

func check(t *testing.T, path string, kept, done map[string]bool) {
	t.Helper()
	s, err := Open(path, Options{MaxBytes: 64 << 20, Classes: classes, Now: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	audited := map[uint64]int{}
	if err := s.Audit(func(r Record) bool { audited[r.Entry]++; return true }); err != nil {
		t.Fatal(err)
	}
	seen := map[string]Entry{}
	if err := s.Each(0, func(e Entry) bool {
		if _, ok := seen[e.ID]; ok {
			t.Errorf("%s has two entries", e.ID)
		}
		seen[e.ID] = e
		return true
	}); err != nil {
		t.Fatal(err)
	}
	for id := range kept {
		e, ok := seen[id]
		if !ok {
			t.Fatalf("%s is gone", id)
		}
		if body, err := s.Body(e.Number); err != nil || string(body) != "body of "+id {
			t.Errorf("%s has the body %q, %v", id, body, err)
		}
		if want := e.State == Applied; want != (audited[e.Number] == 1) {
			t.Errorf("%s is %s and has %d lines in the audit trail", id, e.State, audited[e.Number])
		}
	}
	for id := range done {
		var i int
		if _, err := fmt.Sscanf(id, "m%d", &i); err != nil {
			t.Fatal(err)
		}
		if want := []State{Waiting, Applied, Out, Delivered}[i%4]; seen[id].State != want {
			t.Errorf("%s is %s, not %s", id, seen[id].State, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"number":1,"id":"a","class":"x","state":"waiting","attempts":[{"At":"2026-12-01T12:00:00Z"}]}`))
	f.Add([]byte(`{"state":"gone"}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if e, err := decode(text); err != nil && (e.ID != "" || e.State != "") {
			t.Errorf("%+v with %v", e, err)
		}
	})
}

func BenchmarkKeep(b *testing.B) {
	s := open(b, filepath.Join(b.TempDir(), "undelivered"), 4096)
	body := []byte(strings.Repeat("x", 212))
	i := 0
	for b.Loop() {
		if err := s.Keep([]Entry{entry(fmt.Sprint(i), 2, true)}, [][]byte{body}); err != nil {
			b.Fatal(err)
		}
		i++
	}
	size, err := s.Size()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(size)/float64(i), "disk-B/entry")
}
