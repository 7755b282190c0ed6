package record_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/fleet"
	"starlingusher/record"
	"starlingusher/record/account"
)

const (
	childVariable = "RECORD_TEST_CHILD" // names the folder that a child process records to
	secret        = "never-to-be-found"
)

func TestMain(m *testing.M) {
	if folder := os.Getenv(childVariable); folder != "" {
		child(folder)
	}
	os.Exit(m.Run())
}

// partner is a carrier whose calls end as a script says.
type partner struct {
	mu     sync.Mutex
	script []delivery.Result
}

func (p *partner) Attempt(ctx context.Context, a delivery.Attempt) delivery.Result {
	p.mu.Lock()
	r := delivery.Result{Outcome: choice.Pass, Closed: true, Report: choice.Report{HasLimit: true}}
	if len(p.script) > 0 {
		r, p.script = p.script[0], p.script[1:]
	}
	p.mu.Unlock()
	a.Times.Dial()
	select {
	case <-time.After(3 * time.Millisecond):
	case <-ctx.Done():
		return delivery.Result{Outcome: choice.Undone}
	}
	a.Times.Connect()
	took := 80 * time.Millisecond
	if r.Outcome == choice.TooSlow {
		took = time.Until(a.NotPast)
	}
	a.Times.Write()
	a.Times.Wrote()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return delivery.Result{Outcome: choice.Undone}
	}
	return r
}

func (*partner) HangUp(string, int) {}
func (*partner) Close()             {}

// ends is a sink.
type ends struct {
	mu  sync.Mutex
	all map[string]delivery.State
}

func (e *ends) Serve(ctx context.Context, from delivery.Outbox, acknowledged func([]delivery.End)) {
	delivery.SinkFunc(e.Take).Serve(ctx, from, acknowledged)
}

func (e *ends) Take(_ context.Context, all []delivery.End) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range all {
		e.all[x.ID] = x.State
	}
	return nil
}

func settings() choice.Settings {
	return choice.Settings{
		Classes: []choice.Class{
			{Aim: time.Second, Deadline: 8 * time.Second, Worth: 1, LateWorth: 0.3},
			{Aim: time.Second, Deadline: 8 * time.Second, Worth: 3, LateWorth: 0.3, Effect: choice.Keyed, Window: 9 * time.Second, GroupAll: true},
			{Aim: time.Second, Deadline: 8 * time.Second, Worth: 4, Effect: choice.Unsafe, Ordered: true},
		},
		Slots: 4, MaxOpen: 12, MaxAttempts: 4, MayCancel: true, MaxRetryAfter: time.Second, FallMultiple: 1.5, Fall: 2 * time.Second,
		ColdFrom: 0.3, WarmWithin: 3 * time.Second, Halves: true, Fleet: 1,
	}
}

// played is what an engine did to some messages.
type played struct {
	answers map[string]delivery.Answer
	ends    map[string]delivery.State
}

// play runs an engine with a recorder for eleven seconds of its bubble's time; messages come at random.
func play(t rapid.TB, state string, rec *record.Writer, script []delivery.Result, messages int, seed uint64) played {
	e := &ends{all: map[string]delivery.State{}}
	p := &partner{script: script}
	cfg := delivery.Config{State: state, Settings: settings(), Seed: "7", Recorder: rec, Known: delivery.List{Complete: true, Members: []delivery.Member{
		{ID: "a", Addr: "a", Dest: 1}, {ID: "b", Addr: "b", Dest: 1}, {ID: "c", Addr: "c", Dest: 2, Weight: 3},
	}}}
	n, err := delivery.Open(cfg, delivery.Front{Carrier: p, Sink: e})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- n.Run(ctx) }()
	rng := rand.New(rand.NewPCG(seed, 1))
	answers := map[string]delivery.Answer{}
	for i := range messages {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		id := fmt.Sprint("m", i)
		answers[id] = n.Hand("", delivery.Message{ID: id, Key: fmt.Sprint(secret, rng.IntN(4)), Body: []byte(secret), Class: rng.IntN(3),
			Dest: 1 + rng.IntN(2), Came: time.Now(), Life: time.Duration(1+rng.IntN(8)) * time.Second})
	}
	time.Sleep(11 * time.Second)
	cancel()
	if err := <-over; err != nil {
		t.Fatal(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return played{answers, e.all}
}

func newWriter(t rapid.TB, folder string, bytes int64) *record.Writer {
	w, err := record.NewWriter(record.Options{Folder: folder, Bytes: bytes, Name: "n1", Build: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func reportOf(t rapid.TB, l record.Life) account.Report {
	var a *account.Account
	err := l.Read(func(h record.Header) error {
		if a == nil {
			a = account.New(h, l.Whole, func(*account.Message) bool { return true })
		}
		return nil
	}, func(r record.Record) error { return a.Add(r) })
	if err != nil {
		t.Fatal(err)
	}
	return a.Report()
}

func onlyLife(t rapid.TB, folder string) record.Life {
	lives, err := record.Lives(folder)
	if err != nil || len(lives) != 1 {
		t.Fatalf("%d lives, %v", len(lives), err)
	}
	return lives[0]
}

// Whatever partners do: the recording plays again, action for action; each message is accounted for with the end that its
// front saw; its spans sum up to its life; and neither keys nor bodies are in it.
func TestARecordingAccountsForEveryMessage(t *testing.T) {
	results := []delivery.Result{
		{Outcome: choice.Pass, Closed: true}, {Outcome: choice.Fault}, {Outcome: choice.Cut}, {Outcome: choice.Cut, Kept: true}, {Outcome: choice.TooSlow},
		{Outcome: choice.NoRoom, NotRun: true, Wait: 700 * time.Millisecond}, {Outcome: choice.NoRoom, NotRun: true, Report: choice.Report{HasLimit: true}},
		{Outcome: choice.NoRoom, NotRun: true, Report: choice.Report{HasLimit: true, Limit: 2, HasLeft: true, Left: 0.5}}, {Outcome: choice.NoRoute, NotRun: true},
		{Outcome: choice.Stale, NotRun: true, Closed: true},
	}
	root, round := t.TempDir(), 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom(results), 0, 60).Draw(rt, "results")
		messages := rapid.IntRange(0, 60).Draw(rt, "messages")
		seed := rapid.Uint64().Draw(rt, "seed")
		round++
		folder, state := filepath.Join(root, fmt.Sprint("r", round)), filepath.Join(root, fmt.Sprint("s", round))
		if err := os.MkdirAll(state, 0o700); err != nil {
			rt.Fatal(err)
		}
		var did played
		synctest.Test(t, func(*testing.T) {
			w := newWriter(rt, folder, 1<<20)
			did = play(rt, state, w, script, messages, seed)
			if err := w.Close(); err != nil {
				rt.Fatal(err)
			}
		})
		r := reportOf(rt, onlyLife(rt, folder))
		if r.Untrusted != "" {
			rt.Fatal(r.Untrusted)
		}
		if len(r.Messages) != messages {
			rt.Fatalf("%d messages are accounted for, %d came", len(r.Messages), messages)
		}
		for _, m := range r.Messages {
			var sum, pieces time.Duration
			at := m.Came
			for _, d := range m.Spans {
				sum += d
			}
			for _, p := range m.Pieces {
				pieces += p.To - p.From
				if p.From != at {
					rt.Fatalf("%s: a piece begins at %v, the one before ends at %v", m.ID, p.From, at)
				}
				at = p.To
			}
			if sum != m.Life() || pieces != m.Life() {
				rt.Fatalf("%s lived for %v: its spans make %v, its pieces %v", m.ID, m.Life(), sum, pieces)
			}
			state, ended := did.ends[m.ID]
			ok := false
			switch m.Fate {
			case account.RefusedGate, account.RefusedRoom:
				ok = did.answers[m.ID].Refused
			case account.GivenUp:
				ok = ended && state == delivery.Returned
			case account.Failed:
				ok = ended && state == delivery.Failed
			case account.Delivered, account.Over:
				ok = !ended
			}
			if !ok {
				rt.Fatalf("%s: %v; its front heard %+v, %v (%v)", m.ID, m.Fate, did.answers[m.ID], state, ended)
			}
		}
		for _, name := range onlyLife(rt, folder).Files {
			if err := eachItem(name, func(text string) {
				if strings.Contains(text, secret) {
					rt.Fatal("a key or a body is in the recording")
				}
			}); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

func eachItem(name string, f func(string)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return record.ReadSegment(name, file, func(h record.Header) error { return nil }, func(r record.Record) error {
		if r.Step != nil {
			for _, e := range r.Step.Events {
				f(fmt.Sprintf("%+v %+v", e.Arrived, e.Resumed))
			}
		}
		f(fmt.Sprintf("%+v", r.Handed))
		return nil
	})
}

// sample is a small recording's only segment.
func sample(t testing.TB) []byte {
	folder := t.TempDir()
	w := newWriter(t, folder, 1<<20)
	w.Opened(settings(), 7, time.Unix(1, 0))
	for i := range 20 {
		now := time.Duration(i) * time.Second
		w.Handed(delivery.Handed{Name: fmt.Sprint(i), ID: fmt.Sprint("m", i), Came: now})
		w.Stepped(now, []choice.Event{choice.Rang{Tag: "x"}}, []choice.Action{choice.Note{Text: strings.Repeat("y", i)}})
		if i%5 == 0 {
			w.Flush()
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(onlyLife(t, folder).Files[0])
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func readAll(text []byte) (records []string, err error) {
	err = record.ReadSegment("x", bytes.NewReader(text), func(record.Header) error { return nil }, func(r record.Record) error {
		records = append(records, fmt.Sprintf("%+v %+v %+v", r.Handed, r.Step, r.Missing))
		return nil
	})
	return records, err
}

// A segment that is cut at any byte, or has any bit turned, is read as far as its last whole chunk, and says where it ends.
func TestDamagedSegments(t *testing.T) {
	text := sample(t)
	whole, err := readAll(text)
	if err != nil || len(whole) != 40 {
		t.Fatalf("%d records, %v", len(whole), err)
	}
	prefix := func(got []string) bool {
		for i := range got {
			if i >= len(whole) || got[i][:20] != whole[i][:20] {
				return false
			}
		}
		return true
	}
	cleanCuts := 0
	for i := range text {
		got, err := readAll(text[:i])
		var d *record.Damage
		if err == nil {
			cleanCuts++
		}
		if !prefix(got) || (err != nil && !errors.As(err, &d)) || (d != nil && d.Offset > int64(i)) {
			t.Fatalf("cut at byte %d of %d: %d records, %v", i, len(text), len(got), err)
		}
		for bit := range 8 {
			spoilt := bytes.Clone(text)
			spoilt[i] ^= 1 << bit
			got, err := readAll(spoilt)
			if err == nil || !prefix(got) || (!errors.As(err, &d) && !errors.Is(err, record.ErrFormat)) {
				t.Fatalf("bit %d of byte %d: %d records, %v", bit, i, len(got), err)
			}
		}
	}
	if cleanCuts == 0 || cleanCuts > 6 { // after whole chunks
		t.Errorf("%d cuts were not noticed as such", cleanCuts)
	}
}

// A folder holds no more than it may; what is left of a life that lost its beginning says so.
func TestARecordingIsBounded(t *testing.T) {
	folder := t.TempDir()
	const most = 1 << 20
	w := newWriter(t, folder, most)
	w.Opened(settings(), 7, time.Unix(1, 0))
	rng := rand.New(rand.NewPCG(1, 1))
	noise := make([]byte, 4<<10)
	total := 0
	for i := range 1200 {
		for j := range noise {
			noise[j] = byte(rng.Uint32())
		}
		w.Stepped(time.Duration(i), nil, []choice.Action{choice.Note{Text: fmt.Sprintf("%x", noise)}})
		if i%20 == 0 {
			w.Flush()
			total = 0
			entries, err := os.ReadDir(folder)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range entries {
				if info, err := e.Info(); err == nil {
					total += int(info.Size())
				}
			}
			if total > most {
				t.Fatalf("%d bytes after %d records", total, i)
			}
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	l := onlyLife(t, folder)
	r := reportOf(t, l)
	if l.Whole || r.Untrusted == "" || total < most/2 {
		t.Errorf("%d bytes; the life is whole: %v, the replay trusted: %q", total, l.Whole, r.Untrusted)
	}
}

// A folder that can't be written ends the recording, once and in words, and holds nobody up.
func TestARecordingThatCantBeWritten(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "r")
	var log bytes.Buffer
	w, err := record.NewWriter(record.Options{Folder: folder, Bytes: 1 << 20, Log: slog.New(slog.NewTextHandler(&log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	w.Opened(settings(), 7, time.Unix(1, 0))
	w.Flush()
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		w.Handed(delivery.Handed{Name: fmt.Sprint(i), ID: fmt.Sprintf("%x%x%x%x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())})
		if i%100 == 0 {
			w.Flush()
		}
	}
	if err := w.Close(); !errors.Is(err, os.ErrNotExist) || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("%v; its log: %s", err, log.String())
	}
	if _, err := record.NewWriter(record.Options{Folder: os.Args[0], Bytes: 1 << 20}); err == nil {
		t.Error("a file is taken for a folder")
	}
}

// A recording that does not play again as it was is never wrong in silence.
func TestAnotherBuildsRecording(t *testing.T) {
	folder := t.TempDir()
	w := newWriter(t, folder, 1<<20)
	w.Opened(settings(), 7, time.Unix(1, 0))
	list := choice.Listed{Whole: true, Entries: []choice.Entry{{Endpoint: "a", Dest: 1}}}
	w.Stepped(time.Hour, []choice.Event{list}, nil)
	w.Handed(delivery.Handed{Name: "1", ID: "m", Came: time.Hour})
	// The module of that build held the message; today's sends it.
	w.Stepped(time.Hour+time.Second, []choice.Event{choice.Arrived{ID: "1", Dest: 1, DropDead: 2 * time.Hour}}, nil)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	r := reportOf(t, onlyLife(t, folder))
	if !strings.Contains(r.Untrusted, "step 2") || len(r.Messages) != 1 {
		t.Errorf("%q, %d messages", r.Untrusted, len(r.Messages))
	}
}

// child records until it is killed.
func child(folder string) {
	w, err := record.NewWriter(record.Options{Folder: folder, Bytes: 1 << 20, Name: "child"})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	w.Opened(settings(), 7, time.Now())
	for i := 0; ; i++ {
		w.Handed(delivery.Handed{Name: fmt.Sprint(i), ID: strings.Repeat("m", i%300), Came: time.Duration(i)})
		if i%100 == 0 {
			w.Flush()
			fmt.Println(i)
		}
	}
}

// What was flushed before a SIGKILL is read, and nothing that was not recorded.
func TestKilledRecordings(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	for range 8 {
		folder := t.TempDir()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childVariable+"="+folder)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		flushed := 0
		lines := bufio.NewScanner(out)
		for range 1 + rng.IntN(200) {
			if !lines.Scan() {
				t.Fatal("the child ended:", lines.Text())
			}
			fmt.Sscan(lines.Text(), &flushed)
		}
		cmd.Process.Kill()
		cmd.Wait()
		l := onlyLife(t, folder)
		next, first := 0, -1
		err = l.Read(func(record.Header) error { return nil }, func(r record.Record) error {
			if r.Missing != nil {
				t.Fatalf("%d records are missing: the child waits for its writer", r.Missing.Records)
			}
			n := 0
			fmt.Sscan(r.Handed.Name, &n)
			if first < 0 {
				first, next = n, n // earlier segments may have made room
			}
			if n != next || len(r.Handed.ID) != n%300 {
				t.Fatalf("record %d is %s with %d bytes", next, r.Handed.Name, len(r.Handed.ID))
			}
			next++
			return nil
		})
		var d *record.Damage
		if (err != nil && !errors.As(err, &d)) || next <= flushed || (l.Whole && first != 0) {
			t.Fatalf("read from %d to %d, flushed were %d: %v", first, next, flushed, err)
		}
	}
}

func FuzzReadSegment(f *testing.F) {
	text := sample(f)
	f.Add(text)
	f.Add(text[:len(text)/2])
	f.Fuzz(func(t *testing.T, text []byte) {
		var a *account.Account
		record.ReadSegment("x", bytes.NewReader(text), func(h record.Header) error {
			a = account.New(h, false, nil)
			return nil
		}, func(r record.Record) error { return a.Add(r) })
		if a != nil {
			a.Report()
		}
	})
}

// What other nodes told is recorded as it was.
func TestWhatOthersToldIsRecorded(t *testing.T) {
	want := choice.Heard{Dest: 3, Endpoint: "e", Known: fleet.Known{Share: 0.25, ShareTil: 9, DebtTil: 8, OutTil: 7, SpareTil: 6, BackFrom: 5}}
	raw, err := cbor.Marshal(record.EventOf(want, func(s string) string { return s }))
	if err != nil {
		t.Fatal(err)
	}
	var e record.Event
	if err := cbor.Unmarshal(raw, &e); err != nil {
		t.Fatal(err)
	}
	if got, err := e.Event(); err != nil || got != choice.Event(want) {
		t.Errorf("%+v, %v", got, err)
	}
}
