package recovery

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/undelivered"
	"starlingusher/undelivered/rules"
)

const patience = 30 * time.Second // for what must happen; nothing is asserted of how fast

// eventually waits for what goroutines of the rig bring about.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

const (
	status = iota
	order
	payout
)

var names = []string{"table-status", "coin-order", "prize-payout"}

// testSettings has short lives, and a bank of which only one zone knows a key.
func testSettings() choice.Settings {
	class := choice.Class{Aim: 100 * time.Millisecond, Deadline: 400 * time.Millisecond, Worth: 1, LateWorth: 0.3}
	safe, keyed, unsafe := class, class, class
	keyed.Effect, keyed.Window = choice.Keyed, time.Hour
	unsafe.Effect = choice.Unsafe
	return choice.Settings{
		Classes: []choice.Class{safe, keyed, unsafe}, Kinds: []choice.Kind{{Batch: 1}}, Fleet: 1, Slots: 64, MaxOpen: 500,
		MaxAttempts: 12, MayCancel: true, Tick: 5 * time.Millisecond, MaxRetryAfter: 3 * time.Second,
		DialTimeout: time.Second, ConnIdle: 5 * time.Second, DrainGrace: 250 * time.Millisecond,
		AnswerGrace: 20 * time.Millisecond, FullTold: true,
	}
}

const rulesText = `rules:
  - classes: [coin-order]
    pause: 1ms
    pace: 1ms
    tries: 50
`

// bank is a carrier that does what it is told.
type bank struct {
	mu    sync.Mutex
	do    func(context.Context, delivery.Attempt) delivery.Result
	calls []delivery.Attempt
}

func (b *bank) Attempt(ctx context.Context, a delivery.Attempt) delivery.Result {
	b.mu.Lock()
	b.calls = append(b.calls, a)
	do := b.do
	b.mu.Unlock()
	return do(ctx, a)
}
func (b *bank) HangUp(string, int) {}
func (b *bank) Close()             {}

func (b *bank) set(do func(context.Context, delivery.Attempt) delivery.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do = do
}

func (b *bank) count(id string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.calls {
		if a.ID == id {
			n++
		}
	}
	return n
}

func pass(context.Context, delivery.Attempt) delivery.Result {
	return delivery.Result{Outcome: choice.Pass, Closed: true}
}

// silent takes the call, and never answers.
func silent(ctx context.Context, a delivery.Attempt) delivery.Result {
	wait, cancel := context.WithDeadline(ctx, a.NotPast)
	defer cancel()
	<-wait.Done()
	return delivery.Result{Outcome: choice.TooSlow, Err: errors.New("no answer")}
}

type sink struct {
	mu   sync.Mutex
	ends map[string]delivery.State
}

func (s *sink) Serve(ctx context.Context, from delivery.Outbox, acknowledged func([]delivery.End)) {
	delivery.SinkFunc(s.Take).Serve(ctx, from, acknowledged)
}

func (s *sink) Take(_ context.Context, ends []delivery.End) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range ends {
		s.ends[e.ID] = e.State
	}
	return nil
}

func (s *sink) state(id string) (delivery.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.ends[id]
	return e, ok
}

// rig is an engine with its service, in one folder.
type rig struct {
	t      *testing.T
	folder string
	rules  string
	bank   *bank
	sink   *sink
	clock  *clock
	s      *Service
	e      *delivery.Engine
	stop   func()
}

// clock is the service's; it may be moved.
type clock struct {
	mu sync.Mutex
	by time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.by)
}

func (c *clock) move(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by += by
}

func newRig(t *testing.T, do func(context.Context, delivery.Attempt) delivery.Result) *rig {
	t.Helper()
	dir, err := os.MkdirTemp("", "undelivered") // a test's own folder has too long a name for a socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	r := &rig{
		t: t, folder: dir, rules: filepath.Join(dir, "rules.yaml"), bank: &bank{do: do},
		sink: &sink{ends: map[string]delivery.State{}}, clock: &clock{},
	}
	r.write(rulesText)
	r.start()
	return r
}

func (r *rig) write(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.rules, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) options() Options {
	return Options{Folder: r.folder, Rules: r.rules, Settings: testSettings(), Names: names, Now: r.clock.now,
		Log: slog.New(slog.DiscardHandler)}
}

func (r *rig) start() {
	r.t.Helper()
	var err error
	if r.s, err = Open(r.options()); err != nil {
		r.t.Fatal(err)
	}
	r.e, err = delivery.Open(delivery.Config{
		State: r.folder, Settings: testSettings(), Seed: "1", Keeper: r.s,
		Known: delivery.List{Members: []delivery.Member{{ID: "e", Addr: r.folder, Dest: 7, Weight: 1000}}},
	}, delivery.Front{Carrier: r.bank, Sink: r.sink})
	if err != nil {
		r.t.Fatal(err)
	}
	if err := r.s.Start(r.e); err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { r.s.Run(ctx) })
	parts.Go(func() {
		if err := r.e.Run(ctx); err != nil {
			r.t.Error(err)
		}
	})
	r.stop = sync.OnceFunc(func() {
		cancel()
		parts.Wait()
		if err := r.s.Close(); err != nil {
			r.t.Error(err)
		}
	})
	r.t.Cleanup(r.stop)
}

func (r *rig) hand(id string, class int) {
	r.t.Helper()
	m := delivery.Message{ID: id, Class: class, Dest: 7, Came: time.Now(), Life: 400 * time.Millisecond, Body: []byte("body of " + id)}
	if class == order {
		m.Key = "key of " + id
	}
	if a := r.e.Hand("", m); a.Refused || a.Failed != "" {
		r.t.Fatalf("%s was turned away: %+v", id, a)
	}
}

// entry waits until a message has an entry that fits.
func (r *rig) entry(id, what string, fits func(Row) bool) (found Row) {
	r.t.Helper()
	eventually(r.t, id+" "+what, func() bool {
		ok := false
		if err := r.s.Desk().List(context.Background(), Filter{}, func(row Row) error {
			if row.ID == id && fits(row) {
				found, ok = row, true
			}
			return nil
		}); err != nil {
			r.t.Fatal(err)
		}
		return ok
	})
	return found
}

func is(s undelivered.State) func(Row) bool { return func(r Row) bool { return r.State == s } }

func TestARuleSendsAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.hand("a", order)
	e := r.entry("a", "sent again without an answer", func(row Row) bool { return row.Resends >= 1 && row.State == undelivered.Waiting })
	if e.Reason != rules.OutOfTime || len(e.Attempts) < 2 || e.Attempts[0].Endpoint != "e" || e.Attempts[0].Outcome != "no-answer" ||
		e.Attempts[0].NotRun || e.Attempts[0].Err != "no answer" {
		t.Errorf("got %+v", e.Entry)
	}
	if s, ok := r.sink.state("a"); !ok || s != delivery.Failed {
		t.Errorf("its client heard %v, %v", s, ok)
	}
	r.bank.set(pass)
	r.entry("a", "delivered", is(undelivered.Delivered))
	r.bank.mu.Lock()
	defer r.bank.mu.Unlock()
	for _, c := range r.bank.calls {
		if c.ID != "a" || c.Key != "key of a" || string(c.Body) != "body of a" {
			t.Errorf("got %+v", c)
		}
	}
}

// Guards against an entry that the engine can't take holding up the others of its destination for a minute.
func TestAnEntryThatIsNotTakenHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	gone := delivery.Lost{Ref: delivery.Ref{Front: "a front that is gone", ID: "x", Deadline: time.Now()}, Key: "key of x", Class: order, Dest: 7,
		Body: []byte("body"), State: delivery.Failed, Due: time.Now(), Ended: time.Now()}
	if err := r.s.Keep([]delivery.Lost{gone}); err != nil {
		t.Fatal(err)
	}
	r.hand("a", order)
	r.entry("a", "kept", is(undelivered.Waiting))
	r.bank.set(pass)
	r.entry("a", "delivered", is(undelivered.Delivered))
	if e := r.entry("x", "waiting", is(undelivered.Waiting)); e.Resends != 0 {
		t.Errorf("got %+v", e.Entry)
	}
}

func TestAnUnsafeMessageWaitsForAPerson(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.write("rules:\n  - pause: 1ms\n    pace: 1ms\n    tries: 50\n")
	if err := r.s.Reload(); err != nil {
		t.Fatal(err)
	}
	r.hand("p", payout)
	r.hand("o", order)
	e := r.entry("p", "waiting for a person", func(row Row) bool { return row.Waits == ForPerson })
	r.bank.set(pass)
	r.entry("o", "sent again by the rule", is(undelivered.Delivered))
	if n := r.bank.count("p"); n != 1 {
		t.Fatalf("%d calls of a payout that may have run", n)
	}
	if err := r.s.Desk().Decide(t.Context(), e.Number, undelivered.Resend, "night shift", "the bank has none"); err != nil {
		t.Fatal(err)
	}
	e = r.entry("p", "delivered", is(undelivered.Delivered))
	if n := r.bank.count("p"); n != 2 || e.Resends != 1 {
		t.Errorf("%d calls, %+v", n, e.Entry)
	}
	if err := r.s.Desk().Decide(t.Context(), e.Number, undelivered.Abandon, "day shift", "late"); !errors.Is(err, undelivered.ErrMoved) {
		t.Errorf("got %v", err)
	}
	if _, lines, err := r.s.Desk().Show(t.Context(), e.Number); err != nil || len(lines) != 1 || lines[0].Name != "night shift" {
		t.Errorf("got %+v, %v", lines, err)
	}
}

// While a rule's resend is out, a person is told that it is.
func TestAPersonMeetsARule(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.hand("o", order)
	r.entry("o", "kept", func(Row) bool { return true })
	out, answer := make(chan struct{}, 100), make(chan struct{})
	r.bank.set(func(ctx context.Context, a delivery.Attempt) delivery.Result {
		out <- struct{}{}
		select {
		case <-answer:
		case <-ctx.Done():
		}
		return pass(ctx, a)
	})
	<-out
	e := r.entry("o", "out", is(undelivered.Out))
	for _, a := range []undelivered.Action{undelivered.Resend, undelivered.Apply, undelivered.Abandon} {
		if err := r.s.Desk().Decide(t.Context(), e.Number, a, "night shift", "asked for"); !errors.Is(err, undelivered.ErrMoved) {
			t.Errorf("%s: %v", a, err)
		}
	}
	close(answer)
	r.entry("o", "delivered", is(undelivered.Delivered))
}

// An answer that comes after the end closes the entry that waits.
func TestALateAnswer(t *testing.T) {
	t.Parallel()
	late := make(chan struct{})
	r := newRig(t, func(ctx context.Context, a delivery.Attempt) delivery.Result {
		<-late // it is not even given up at its deadline
		return pass(ctx, a)
	})
	r.hand("p", payout)
	r.entry("p", "waiting for a person", func(row Row) bool { return row.Waits == ForPerson })
	close(late)
	r.entry("p", "delivered", is(undelivered.Delivered))
	if n := r.bank.count("p"); n != 1 {
		t.Errorf("%d calls", n)
	}
}

// A wait that was told just before the end binds the resend, in the next process too.
func TestAWaitOutlastsTheProcess(t *testing.T) {
	t.Parallel()
	first := true
	r := newRig(t, nil)
	r.bank.set(func(ctx context.Context, a delivery.Attempt) delivery.Result {
		r.bank.mu.Lock()
		ran := first
		first = false
		r.bank.mu.Unlock()
		if ran {
			return delivery.Result{Outcome: choice.Cut}
		}
		return delivery.Result{Outcome: choice.NoRoom, NotRun: true, Wait: 30 * time.Minute}
	})
	r.hand("o", order)
	e := r.entry("o", "kept", is(undelivered.Waiting))
	if !e.Next.Equal(e.Wait) || time.Until(e.Wait) < 29*time.Minute || len(e.Attempts) < 2 || !e.Attempts[1].NotRun {
		t.Fatalf("got %+v", e)
	}
	r.stop()
	// The journal keeps the wait too, by the engine's clock, which the test can't move: here the store alone has it.
	if err := os.Remove(filepath.Join(r.folder, "journal")); err != nil {
		t.Fatal(err)
	}
	calls := r.bank.count("o")
	r.bank.set(pass)
	r.start()
	// The service has looked at it once this one, which it finds later, is delivered.
	r.hand("other", status)
	eventually(t, "another message", func() bool { return r.bank.count("other") == 1 })
	if e := r.entry("o", "waiting", is(undelivered.Waiting)); r.bank.count("o") != calls {
		t.Fatalf("sent within its wait: %+v", e)
	}
	r.clock.move(31 * time.Minute)
	r.s.more()
	r.entry("o", "delivered", is(undelivered.Delivered))
}

// A clock that is set back proves nothing of a window: a person decides.
func TestTheClockStepsBack(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.clock.move(-time.Hour)
	r.hand("o", order)
	r.entry("o", "waiting for a person", func(row Row) bool { return row.Waits == ForPerson })
	r.bank.set(pass)
	r.hand("p", order) // delivery goes on
	eventually(t, "another message", func() bool { return r.bank.count("p") == 1 })
	if n := r.bank.count("o"); n > 2 {
		t.Errorf("%d calls", n)
	}
	r.clock.move(time.Hour)
	r.s.more()
	r.entry("o", "delivered", is(undelivered.Delivered))
}

// Guards against an entry that is never looked at again since a round's clock stood before its last attempt.
func TestAnEntryIsSentOnceTheClockHasPassedItsLastAttempt(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.clock.move(-2 * time.Second)
	r.hand("o", order)
	r.entry("o", "waiting for a person", func(row Row) bool { return row.Waits == ForPerson })
	r.bank.set(pass)
	r.clock.move(2 * time.Second)
	r.entry("o", "delivered", is(undelivered.Delivered))
}

func TestRulesThatAreNotTaken(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	for _, bad := range []string{
		"rules:\n  - classes: [coin-order]\n    pause: 1m\n    tri", // half written
		"rules:\n  - classes: [coin-order]\n    hold: true\n    tries: 3\n    pause: 1s\n    pace: 1s\n",
		"rules:\n  - classes: [coin-odor]\n    hold: true\n",
	} {
		r.write(bad)
		err := r.s.Reload()
		if err == nil || !strings.Contains(err.Error(), "rules.yaml:") {
			t.Errorf("%q: %v names no line", bad, err)
		}
	}
	r.hand("o", order) // by the old rules
	r.entry("o", "kept", func(Row) bool { return true })
	r.bank.set(pass)
	r.entry("o", "delivered", is(undelivered.Delivered))
	r.stop()
	if _, err := Open(r.options()); err == nil {
		t.Error("a service was opened with rules that are none")
	}
}

// A store that can't be read is left as it is, and what ends from then on has another.
func TestADamagedStore(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.hand("p", payout)
	r.entry("p", "kept", is(undelivered.Waiting))
	r.stop()
	path := filepath.Join(r.folder, storeName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, spoilt := range map[string][]byte{
		"cut short": text[:len(text)/2/4096*4096], "noise": []byte(strings.Repeat("noise", 10_000)), "empty": {},
	} {
		if err := os.WriteFile(path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		r.start()
		r.hand("p after "+name, payout)
		r.entry("p after "+name, "kept", is(undelivered.Waiting))
		r.stop()
		if left, err := os.ReadFile(path); name != "empty" && (err != nil || string(left) != string(spoilt)) {
			t.Errorf("%s: the file was changed", name)
		}
	}
}

// The socket is its owner's alone, and shows a person the same as the desk does.
func TestTheSocket(t *testing.T) {
	t.Parallel()
	r := newRig(t, silent)
	r.hand("p", payout)
	e := r.entry("p", "waiting for a person", func(row Row) bool { return row.Waits == ForPerson })
	info, err := os.Stat(filepath.Join(r.folder, socketName))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("%v, %v", info, err)
	}
	c, err := Dial(r.folder)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var rows []Row
	if err := c.List(t.Context(), Filter{Classes: []string{"prize-payout"}}, func(row Row) error { rows = append(rows, row); return nil }); err != nil {
		t.Fatal(err)
	}
	if len(rows) != 1 || rows[0].ID != "p" || rows[0].Waits != ForPerson {
		t.Errorf("got %+v", rows)
	}
	if err := c.List(t.Context(), Filter{Classes: []string{"coin-order"}}, func(row Row) error { return errors.New("there is one") }); err != nil {
		t.Error(err)
	}
	if body, err := c.Body(t.Context(), e.Number); err != nil || string(body) != "body of p" {
		t.Errorf("%q, %v", body, err)
	}
	if _, _, err := c.Show(t.Context(), e.Number+1); !errors.Is(err, undelivered.ErrUnknown) {
		t.Errorf("got %v", err)
	}
	if err := c.Decide(t.Context(), e.Number, undelivered.Apply, "", "seen"); err == nil {
		t.Error("a decision without a name was taken")
	}
	if err := c.Decide(t.Context(), e.Number, undelivered.Apply, "night shift", "seen at the bank"); err != nil {
		t.Error(err)
	}
	if err := c.Decide(t.Context(), e.Number, undelivered.Resend, "day shift", "again"); !errors.Is(err, undelivered.ErrMoved) {
		t.Errorf("got %v", err)
	}
	row, lines, err := c.Show(t.Context(), e.Number)
	if err != nil || row.State != undelivered.Applied || len(lines) != 1 || lines[0].Name != "night shift" {
		t.Errorf("%+v, %+v, %v", row, lines, err)
	}
	s, err := c.Stats(t.Context())
	if err != nil || len(s.Counts) != 1 || s.Counts[0].Count != 1 || s.FileBytes == 0 {
		t.Errorf("%+v, %v", s, err)
	}
	n := 0
	if err := c.Audit(t.Context(), func(undelivered.Record) error { n++; return nil }); err != nil || n != 1 {
		t.Errorf("%d, %v", n, err)
	}
	r.stop()
	if _, err := Dial(r.folder); !errors.Is(err, ErrNotServing) {
		t.Errorf("got %v", err)
	}
}
