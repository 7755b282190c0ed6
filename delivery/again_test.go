package delivery

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"starlingusher/choice"
)

// keeper takes what is lost, and fails while it is told to.
type keeper struct {
	mu        sync.Mutex
	lost      []Lost
	delivered []Ref
	fails     bool
	before    func() // called in Keep
}

func (k *keeper) Keep(l []Lost) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.before != nil {
		k.before()
	}
	if k.fails {
		return errors.New("the disk is full")
	}
	k.lost = append(k.lost, l...)
	return nil
}

func (k *keeper) Delivered(r []Ref) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delivered = append(k.delivered, r...)
	return nil
}

func (k *keeper) count() (lost, delivered int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.lost), len(k.delivered)
}

func keeping(state string, k *keeper, members ...Member) Config {
	cfg := config(state, members...)
	cfg.Keeper = k
	cfg.Settings.Classes[order].GroupAll = false
	return cfg
}

func again(m Message, mayRun time.Time) Life {
	return Life{Message: m, First: time.Now().Add(-time.Minute).Truncate(time.Microsecond), MayRun: mayRun, Zone: 0}
}

// What fails is with the keeper before the end is written or told, and comes with its attempts.
func TestAKeeperHasItFirst(t *testing.T) {
	k, s, state := &keeper{}, &sink{}, t.TempDir()
	var told, written bool
	var n *Engine
	k.before = func() {
		told = s.state("p") != ""
		written = len(n.journal.pending) == 0
	}
	c := newCarrier(always(Result{Outcome: choice.Cut, Err: errors.New("broken off")}))
	n, stop := start(t, keeping(state, k, at(t, "e", 7)), Front{Carrier: c, Sink: s})
	if a := n.Hand("", message("p", payout, time.Minute)); a.Refused || a.Failed != "" {
		t.Fatalf("got %+v", a)
	}
	eventually(t, "the end", func() bool { return s.state("p") == Failed.String() })
	stop()
	if told || written {
		t.Errorf("told %v, written %v before it was kept", told, written)
	}
	if len(k.lost) != 1 {
		t.Fatalf("got %+v", k.lost)
	}
	l := k.lost[0]
	if l.ID != "p" || l.State != Failed || l.Again || string(l.Body) != "body of p" || len(l.Tried) != 1 {
		t.Fatalf("got %+v", l)
	}
	if a := l.Tried[0]; a.Endpoint != "e" || !a.Known || a.NotRun || a.Outcome != choice.Cut || a.Err != "broken off" {
		t.Errorf("got %+v", a)
	}
}

// A keeper that can't keep it holds nothing up.
func TestAKeeperThatFails(t *testing.T) {
	k, s := &keeper{fails: true}, &sink{}
	n, _ := start(t, keeping(t.TempDir(), k, at(t, "e", 7)), Front{Carrier: newCarrier(always(Result{Outcome: choice.Cut})), Sink: s})
	n.Hand("", message("p", payout, time.Minute))
	eventually(t, "the end", func() bool { return s.state("p") == Failed.String() })
}

// A further life is delivered, the keeper hears of it, and nobody else does.
func TestAFurtherLife(t *testing.T) {
	k, s := &keeper{}, &sink{}
	c := newCarrier(pass)
	n, stop := start(t, keeping(t.TempDir(), k, at(t, "e", 7)), Front{Carrier: c, Sink: s})
	l := again(message("o", order, time.Minute), time.Now().Add(-time.Second))
	if a := n.Resend("", l); a.Refused || a.Failed != "" {
		t.Fatalf("got %+v", a)
	}
	eventually(t, "the delivery", func() bool { _, d := k.count(); return d == 1 })
	stop()
	if got := k.delivered[0]; got.ID != "o" || !got.Deadline.Equal(l.First) || len(k.lost) != 0 || s.state("o") != "" {
		t.Errorf("got %+v, lost %+v, told %q", got, k.lost, s.state("o"))
	}
}

// What its past forbids is not sent: a payout that may have run, an order whose window is over or whose zone is gone.
func TestAFurtherLifeWithAPast(t *testing.T) {
	k, c := &keeper{}, newCarrier(pass)
	n, _ := start(t, keeping(t.TempDir(), k, at(t, "e", 7)), Front{Carrier: c, Sink: &sink{}})
	for _, l := range []Life{
		again(message("p", payout, time.Minute), time.Now().Add(-time.Second)),
		again(message("o", order, time.Minute), time.Now().Add(-2*time.Minute)),
	} {
		if a := n.Resend("", l); a.Failed == "" {
			t.Errorf("%s was taken: %+v", l.ID, a)
		}
	}
	if ids := c.ids(); len(ids) != 0 {
		t.Errorf("sent %v", ids)
	}
	if a := n.Resend("", Life{Message: Message{ID: "x", Class: payout, Dest: 99}}); a.Failed == "" {
		t.Errorf("an unknown destination: %+v", a)
	}
	if a := n.Resend("nobody's", Life{}); a.Failed == "" {
		t.Errorf("an unknown front: %+v", a)
	}
}

// A further life and a new message of its ID don't meet, whichever comes first.
func TestAFurtherLifeAndANewMessageOfItsID(t *testing.T) {
	let := make(chan struct{})
	c := newCarrier(func(ctx context.Context, a Attempt) Result {
		<-let
		return pass(ctx, a)
	})
	k := &keeper{}
	n, _ := start(t, keeping(t.TempDir(), k, at(t, "e", 7)), Front{Carrier: c, Sink: &sink{}})
	if a := n.Resend("", again(message("o", order, time.Minute), time.Time{})); a.Refused || a.Failed != "" {
		t.Fatalf("got %+v", a)
	}
	if a := n.Hand("", message("o", order, time.Minute)); !a.Refused || a.After <= 0 {
		t.Errorf("got %+v", a)
	}
	n.Hand("", message("m", order, time.Minute))
	if a := n.Resend("", again(message("m", order, time.Minute), time.Time{})); !a.Refused || a.After <= 0 {
		t.Errorf("got %+v", a)
	}
	close(let)
	eventually(t, "both calls", func() bool { return len(c.ids()) == 2 })
}

// Killed, a further life goes on with the past of all its lives; a compaction in between changes nothing.
func TestAFurtherLifeOutlastsItsProcess(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		state, mayRun := t.TempDir(), time.Now().Add(-30*time.Second).Truncate(time.Microsecond)
		first := time.Now().Add(-20 * time.Second).Truncate(time.Microsecond)
		j := openTest(t, state, 3)
		p, err := j.accept(&past{id: "o", key: "k", class: order, dest: 7, body: []byte("body"), deadline: time.Now().Add(time.Minute),
			first: first, mayRun: mayRun, mayZone: 3})
		if err != nil {
			t.Fatal(err)
		}
		j.add(attemptRecord(p.seq, time.Now(), 3, "e"))
		j.add(outcomeRecord(recNotRun, p.seq, 0))
		if compacted {
			if err := j.compact(); err != nil {
				t.Fatal(err)
			}
		}
		mustFlush(t, j)
		n, err := Open(keeping(state, &keeper{}, held()), Front{Carrier: newCarrier(pass), Sink: &sink{}})
		if err != nil {
			t.Fatal(err)
		}
		if o := n.Owed(); len(o) != 1 || !o[0].Again || o[0].ID != "o" || !o[0].Deadline.Equal(first) {
			t.Errorf("owed: %+v", o)
		}
		for _, e := range n.replayed() {
			if r, ok := e.(choice.Resumed); ok {
				if !r.Spare || !r.Touched || r.MayRun != n.at(mayRun) || r.Zone != 3 || r.Attempts != 1 || !r.Failed {
					t.Errorf("got %+v", r)
				}
			}
		}
		if n.again != 1 || n.held != 0 || n.journal.live[p.seq].sends[0].endpoint != "e" {
			t.Errorf("again %d, held %d", n.again, n.held)
		}
		n.Close()
	}
}

// Further lives take no more than their part of the journal and their number.
func TestFurtherLivesAreFew(t *testing.T) {
	n, err := Open(keeping(t.TempDir(), &keeper{}, held()), Front{Carrier: newCarrier(pass), Sink: &sink{}})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	n.step(t.Context(), n.replayed(), nil)
	taken := func(body int) (n1 int) {
		for i := range 2 * maxAgain {
			m := message("o"+time.Duration(i).String(), order, time.Minute)
			m.Body = make([]byte, body)
			l := again(m, time.Time{})
			a := arrival{Message: m, front: n.fronts[""], life: &l, reply: make(chan Answer, 1)}
			n.take(t.Context(), []any{a})
			if r := <-a.reply; !r.Refused && r.Failed == "" {
				n1++
			}
		}
		return n1
	}
	if got := taken(32 << 10); got == 0 || int64(got)*32<<10 > n.journal.budget/lentShare {
		t.Errorf("%d large ones", got)
	}
	if got := taken(0); got == 0 || n.again > maxAgain {
		t.Errorf("%d small ones, %d in all", got, n.again)
	}
	a := n.handIn("live", time.Minute)
	n.take(t.Context(), []any{a})
	if r := <-a.reply; r.Refused || r.Failed != "" {
		t.Errorf("a live message beside them: %+v", r)
	}
}

// Guards against one late further life being taken for one that is of no use, for which its whole destination was left alone.
func TestAFurtherLifeWhoseTimeIsUpMayComeAgain(t *testing.T) {
	c := newCarrier(pass)
	n, _ := start(t, keeping(t.TempDir(), &keeper{}, at(t, "e", 7)), Front{Carrier: c, Sink: &sink{}})
	for _, left := range []time.Duration{-time.Second, 0, 10 * time.Millisecond, 20 * time.Millisecond} {
		m := message("o", order, left)
		if a := n.Resend("", again(m, time.Now().Add(-time.Second))); a.Failed != "" || !a.Refused {
			t.Errorf("with %v left: %+v", left, a)
		}
	}
	if ids := c.ids(); len(ids) != 0 {
		t.Errorf("sent %v", ids)
	}
}
