package carrier

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"starlingusher/as2"
	"starlingusher/as2/ledger"
	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/standin/as2bank"
)

const patience = 30 * time.Second // for what must happen; nothing is asserted of how fast

// keys are shared, since making them takes long: ours, the bank's, and another partner's.
var keys = sync.OnceValues(func() ([]as2.Key, error) { return as2bank.NewKeys(false, "us", "bank", "other") })

// rig is a bank, and a carrier to it with the address where receipts come by themselves.
type rig struct {
	t        *testing.T
	bank     *as2bank.Bank
	carrier  *Carrier
	path     string // of the ledger
	ledger   *ledger.Ledger
	receipts *httptest.Server
	taken    chan error
	late     chan delivery.Ref
	endpoint *delivery.Endpoint
}

func newRig(t *testing.T, async bool) *rig {
	t.Helper()
	k, err := keys()
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, path: filepath.Join(t.TempDir(), "as2.db"), taken: make(chan error, 100), late: make(chan delivery.Ref, 100)}
	if r.bank, err = as2bank.New("Bank One", "us", k[0].Cert, k[1], k[2]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.bank.Close)
	r.receipts = httptest.NewServer(taking(func() *Carrier { return r.carrier }, r.bank.Partner(), func(err error) { r.taken <- err }))
	t.Cleanup(r.receipts.Close)
	r.open(async)
	r.endpoint = delivery.NewEndpoint("e", r.bank.Addr())
	return r
}

// taking takes receipts that are posted.
func taking(c func() *Carrier, from as2.Partner, told func(error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if err = c().TakeReceipt(as2.Fields(req.Header), body, from); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		told(err)
	}
}

// receiver is the address of one for a benchmark.
func receiver(b *testing.B, c *Carrier, from as2.Partner) string {
	srv := httptest.NewServer(taking(func() *Carrier { return c }, from, func(error) {}))
	b.Cleanup(srv.Close)
	return srv.URL
}

// open begins a life of the carrier.
func (r *rig) open(async bool) {
	r.t.Helper()
	k, _ := keys()
	if r.ledger != nil {
		if err := r.ledger.Close(); err != nil {
			r.t.Fatal(err)
		}
	}
	var err error
	if r.ledger, err = ledger.Open(r.path); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { r.ledger.Close() })
	receipt := as2.Receipt{Want: true, Signed: true, Digest: as2.SHA256}
	if async {
		receipt.AsyncTo = r.receipts.URL
	}
	r.carrier = New(Options{Front: "as2", Self: "us", Key: k[0], Ledger: r.ledger, Limits: as2.DefaultLimits(),
		Links: map[int]Link{7: {Partner: r.bank.Partner(), Path: "/as2", ContentType: "application/xml", Receipt: receipt}},
		Late:  func(ref delivery.Ref) { r.late <- ref }})
}

var deadline = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func (r *rig) attempt(id string, left time.Duration) delivery.Result {
	return r.carrier.Attempt(r.t.Context(), delivery.Attempt{ID: id, Ref: delivery.Ref{Front: "as2", ID: id, Deadline: deadline}, Dest: 7,
		Body: []byte("<payout/>"), Endpoint: r.endpoint, NotPast: time.Now().Add(left)})
}

func (r *rig) messageID(id string) string {
	return r.carrier.MessageID(delivery.Ref{Front: "as2", ID: id, Deadline: deadline})
}

// What each answer proves, as the table of the design note says it.
func TestAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t, false)
	for i, c := range []struct {
		name    string
		fault   as2bank.Fault
		outcome choice.Outcome
		notRun  bool
		closed  bool
		refused bool
	}{
		{"good", as2bank.None, choice.Pass, false, true, false},
		{"cut in the receipt", as2bank.CutReceipt, choice.Cut, false, false, false},
		{"unsigned", as2bank.Unsigned, choice.Fault, false, false, false},
		{"signed by another partner", as2bank.Foreign, choice.Fault, false, false, false},
		{"for another message", as2bank.OtherMessage, choice.Fault, false, false, false},
		{"wrong MIC", as2bank.WrongMIC, choice.Fault, false, false, false},
		{"no receipt", as2bank.NoReceipt, choice.Fault, false, false, false},
		{"contradiction", as2bank.Contradiction, choice.Fault, false, false, false},
		{"error in the midst", as2bank.MidError, choice.Fault, false, false, false},
		{"reset", as2bank.Reset, choice.Cut, false, false, false},
		{"could not decrypt", as2bank.Decryption, choice.Pass, false, true, true},
		{"integrity", as2bank.Integrity, choice.Pass, false, true, true},
		{"busy", as2bank.Busy, choice.Fault, false, false, false},
	} {
		r.bank.Do(func(string) as2bank.Step { return as2bank.Step{Fault: c.fault} })
		id := fmt.Sprint("m", i)
		got := r.attempt(id, patience)
		if got.Outcome != c.outcome || got.NotRun != c.notRun || got.Closed != c.closed || got.Refused != c.refused {
			t.Errorf("%s: got %+v", c.name, got)
		}
		if c.fault == as2bank.Busy && got.Wait != time.Second {
			t.Errorf("%s: wait %v", c.name, got.Wait)
		}
		if n := r.bank.Applied()[r.messageID(id)]; (n == 1) != c.fault.Applies() {
			t.Errorf("%s: applied %d times", c.name, n)
		}
	}
}

func TestWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	r := newRig(t, false)
	r.bank.Do(func(string) as2bank.Step { return as2bank.Step{Fault: as2bank.Silent} })
	if got := r.attempt("silent", 200*time.Millisecond); got.Outcome != choice.TooSlow || got.NotRun || got.Closed {
		t.Errorf("silent: got %+v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	changed := r.bank.Changed()
	go func() {
		<-changed
		cancel()
	}()
	got := r.carrier.Attempt(ctx, delivery.Attempt{Ref: delivery.Ref{ID: "called off"}, Dest: 7, Endpoint: r.endpoint, NotPast: time.Now().Add(patience)})
	if got.Outcome != choice.Undone || got.NotRun {
		t.Errorf("called off: got %+v", got)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := ln.Addr().String()
	ln.Close()
	was := r.endpoint
	r.endpoint = delivery.NewEndpoint("e", nobody)
	if got := r.attempt("refused", patience); got.Outcome != choice.NoRoute || !got.NotRun {
		t.Errorf("refused: got %+v", got)
	}
	r.endpoint = was
	r.endpoint.Wait(time.Now().Add(time.Hour))
	if got := r.attempt("in a wait", patience); got.Outcome != choice.Stale || !got.NotRun {
		t.Errorf("in a wait: got %+v", got)
	}
	r.endpoint = delivery.NewEndpoint("e", r.bank.Addr())
	r.endpoint.Close()
	if got := r.attempt("drained", patience); got.Outcome != choice.Stale || !got.NotRun {
		t.Errorf("drained: got %+v", got)
	}
	got = r.carrier.Attempt(t.Context(), delivery.Attempt{Dest: 8, Endpoint: r.endpoint, NotPast: time.Now().Add(patience)})
	if !got.Closed || !got.Refused || !got.NotRun {
		t.Errorf("no partner: got %+v", got)
	}
}

// A receipt that comes by itself ends the attempt, before the answer or after it.
func TestReceiptsThatComeByThemselves(t *testing.T) {
	t.Parallel()
	r := newRig(t, true)
	for _, before := range []bool{true, false} {
		r.bank.Do(func(string) as2bank.Step { return as2bank.Step{Before: before} })
		if got := r.attempt(fmt.Sprint("before ", before), patience); got.Outcome != choice.Pass || !got.Closed || got.Refused {
			t.Errorf("before %v: got %+v", before, got)
		}
	}
	r.bank.Do(func(string) as2bank.Step { return as2bank.Step{Fault: as2bank.Foreign} })
	if got := r.attempt("foreign", 300*time.Millisecond); got.Outcome != choice.TooSlow || got.Closed {
		t.Errorf("foreign: got %+v", got)
	}
	r.bank.Do(func(string) as2bank.Step { return as2bank.Step{Fault: as2bank.Decryption} })
	if got := r.attempt("rejected", patience); !got.Closed || !got.Refused {
		t.Errorf("rejected: got %+v", got)
	}
}

// A receipt that comes after the deadline, and after a restart, is kept as proof, and nothing is sent again.
func TestALateReceipt(t *testing.T) {
	t.Parallel()
	r := newRig(t, true)
	hold := make(chan struct{})
	r.bank.Do(func(string) as2bank.Step { return as2bank.Step{Hold: hold} })
	if got := r.attempt("late", 200*time.Millisecond); got.Outcome != choice.TooSlow || got.Closed {
		t.Fatalf("got %+v", got)
	}
	r.open(true)
	close(hold)
	select {
	case err := <-r.taken:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patience):
		t.Fatal("no receipt came")
	}
	if ref := <-r.late; ref.ID != "late" {
		t.Errorf("got %+v", ref)
	}
	id := r.messageID("late")
	if s, ok, err := r.ledger.Sent(id); err != nil || !ok || s.Proof == nil || s.Proof.Proof != as2.Delivered || len(s.Proof.Body) == 0 {
		t.Errorf("got %+v, %v, %v", s, ok, err)
	}
	// Even if somebody has it sent again: the proof is there, and nothing goes out.
	if got := r.attempt("late", patience); got.Outcome != choice.Pass || !got.Closed {
		t.Errorf("got %+v", got)
	}
	if n := r.bank.Calls()[id]; n != 1 {
		t.Errorf("%d calls", n)
	}
}

// A repeat has the same Message-ID, and the bank drops it.
func TestARepeat(t *testing.T) {
	t.Parallel()
	r := newRig(t, false)
	n := 0
	r.bank.Do(func(string) as2bank.Step {
		if n++; n == 1 {
			return as2bank.Step{Fault: as2bank.CutReceipt}
		}
		return as2bank.Step{}
	})
	if got := r.attempt("m", patience); got.Outcome != choice.Cut {
		t.Fatalf("got %+v", got)
	}
	if got := r.attempt("m", patience); got.Outcome != choice.Pass || !got.Closed {
		t.Fatalf("got %+v", got)
	}
	id := r.messageID("m")
	if calls, applied := r.bank.Calls()[id], r.bank.Applied()[id]; calls != 2 || applied != 1 {
		t.Errorf("%d calls, applied %d times", calls, applied)
	}
	if other := r.carrier.MessageID(delivery.Ref{Front: "as2", ID: "m", Deadline: deadline.Add(time.Second)}); other == id {
		t.Error("an id that comes again has the Message-ID of the first")
	}
}
