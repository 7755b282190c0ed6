package delivery

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// holders is a Copies whose tests say what is held.
type holders struct {
	mu     sync.Mutex
	chunks []Chunk
	last   uint64
	auto   bool // all is held at once
	refuse bool
	until  time.Time
	tell   chan Covered
}

func newHolders(auto bool) *holders {
	return &holders{auto: auto, until: time.Now().Add(time.Hour), tell: make(chan Covered, 1000)}
}

func (h *holders) Takes() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return 700 * time.Millisecond, !h.refuse
}

func (h *holders) Until(string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until
}

func (h *holders) Append(ticket uint64, chunks []Chunk, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chunks, h.last = append(h.chunks, chunks...), ticket
	if h.auto {
		h.tell <- Covered{Ticket: ticket}
	}
}

func (h *holders) Watch(ctx context.Context, tell func(Covered)) {
	for {
		select {
		case c := <-h.tell:
			tell(c)
		case <-ctx.Done():
			return
		}
	}
}

// cover says that all that went out so far is held, or is not, and all that will.
func (h *holders) cover(short bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.auto = !short
	h.tell <- Covered{Ticket: h.last, Short: short}
}

func (h *holders) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.chunks)
}

// A message is taken on once its record is held and not before, by whoever hands it in, once or twice; its call is made once the attempt's is.
func TestNothingBeforeItIsHeld(t *testing.T) {
	h, c := newHolders(false), newCarrier(pass)
	cfg := config(t.TempDir(), at(t, "e", 7))
	cfg.Copies = h
	n, stop := start(t, cfg, Front{Carrier: c})
	defer stop()
	first, second := n.Offer("", message("a", 0, time.Minute)), Offered{}
	eventually(t, "the record goes out", func() bool { return h.count() == 1 })
	second = n.Offer("", message("a", 0, time.Minute)) // handed in again meanwhile
	answers := make(chan Answer, 2)
	go func() { answers <- first.Answer() }()
	go func() { answers <- second.Answer() }()
	select {
	case a := <-answers:
		t.Fatalf("answered before it is held: %+v", a)
	case <-c.came:
		t.Fatal("called before it is held")
	case <-time.After(20 * time.Millisecond):
	}
	h.tell <- Covered{Ticket: 1}
	for range 2 {
		if a := <-answers; a.Refused || a.Failed != "" {
			t.Errorf("%+v", a)
		}
	}
	eventually(t, "the attempt's record goes out", func() bool { return h.count() == 2 })
	select {
	case <-c.came:
		t.Fatal("called before the attempt is held")
	case <-time.After(20 * time.Millisecond):
	}
	h.cover(false)
	if a := c.next(t); a.ID != "a" || a.BeginBy.IsZero() || a.BeginBy.After(h.until) {
		t.Errorf("%+v, the journal is this node's until %v", a, h.until)
	}
}

// What can't be held is refused with a time, and a call that can't be is not made; a journal that is not this node's any more begins nothing.
func TestWhatCantBeHeld(t *testing.T) {
	h, c := newHolders(true), newCarrier(pass)
	cfg := config(t.TempDir(), at(t, "e", 7))
	cfg.Copies = h
	n, stop := start(t, cfg, Front{Carrier: c})
	defer stop()
	h.mu.Lock()
	h.refuse = true
	h.mu.Unlock()
	if a := n.Hand("", message("a", 0, time.Minute)); !a.Refused || a.After != 700*time.Millisecond {
		t.Errorf("without holders: %+v", a)
	}
	h.mu.Lock()
	h.refuse, h.auto = false, false
	h.mu.Unlock()
	before := h.count()
	b := n.Offer("", message("b", 0, time.Minute))
	eventually(t, "the record goes out", func() bool { return h.count() > before })
	h.cover(true)
	if a := b.Answer(); !a.Refused {
		t.Errorf("not held: %+v", a)
	}
	h.mu.Lock()
	h.auto, h.until = true, time.Now()
	h.mu.Unlock()
	if a := n.Hand("", message("c", 0, time.Minute)); a.Refused || a.Failed != "" {
		t.Errorf("%+v", a)
	}
	select {
	case a := <-c.came:
		t.Errorf("a call of a journal that is not this node's: %+v", a)
	case <-time.After(50 * time.Millisecond):
	}
	h.mu.Lock()
	h.until = time.Now().Add(time.Hour)
	h.mu.Unlock()
	if a := c.next(t); a.ID != "c" {
		t.Errorf("%+v", a)
	}
}

// streamOf is what a holder makes of chunks, as it is to be.
func streamOf(t *testing.T, chunks []Chunk) (at Chain, records []byte) {
	t.Helper()
	for _, c := range chunks {
		if c.Before != at || !Whole(c.Records) {
			t.Fatalf("a chunk behind %+v follows %+v", c.Before, at)
		}
		if c.Whole {
			at, records = at.Anew(c.Records), append([]byte(nil), c.Records...)
		} else {
			for rest := c.Records; len(rest) > 0; {
				n := recordHead + int(rest[0]) + int(rest[1])<<8 + int(rest[2])<<16
				at = at.Next(rest[:n])
				rest = rest[n:]
			}
			records = append(records, c.Records...)
		}
		if at != c.After {
			t.Fatalf("%+v, the owner says %+v", at, c.After)
		}
	}
	return at, records
}

// What a holder has is a journal as the owner's own is, at every point; and where the chain stands is known from the owner's file alone.
func TestAStreamIsTheJournal(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 3)
	j.copied = true
	history(t, j)
	look := func(what string) {
		t.Helper()
		at, records := streamOf(t, j.news)
		if place, err := Place(dir); err != nil || place != at || j.chain != at {
			t.Fatalf("%s: the file is at %+v, the stream at %+v, %v", what, place, at, err)
		}
		to := filepath.Join(t.TempDir(), "inherited")
		if err := Restore(to, at, records); err != nil {
			t.Fatal(err)
		}
		again := openTest(t, to, 3)
		sameLive(t, again.live, j.live)
		if again.chain != at {
			t.Errorf("%s: restored at %+v, of %+v", what, again.chain, at)
		}
		if err := Restore(to, at, records); err == nil {
			t.Error("a journal is written over")
		}
	}
	look("written")
	if err := j.anew(); err != nil {
		t.Fatal(err)
	}
	look("told anew")
	mustAccept(t, j, "later", []byte("x"))
	mustFlush(t, j)
	look("and written again")
	if at, err := Place(t.TempDir()); err != nil || at != (Chain{}) {
		t.Errorf("of no journal: %+v, %v", at, err)
	}
}

// An engine goes on with another's journal: what waits is sent, a payout that may have run is not sent again, ends that are owed are told, waits bind, and the journal
// is given back once it owes nothing. Of a stale one nothing is repeated that may not be.
func TestInherit(t *testing.T) {
	for _, stale := range []bool{false, true} {
		lost := t.TempDir()
		j := openTest(t, lost, 3)
		deadline := time.UnixMicro(time.Now().Add(time.Minute).UnixMicro())
		take := func(id string, class int) *past {
			p, err := j.accept(&past{id: id, class: class, dest: 7, deadline: deadline, body: []byte(id)})
			if err != nil {
				t.Fatal(err)
			}
			return p
		}
		take("status", 0)
		take("payout", 2)
		ran := take("ran", 2)
		j.add(attemptRecord(ran.seq, time.Now(), 0, ""))
		done := take("done", 2)
		j.add(endedRecord(done.seq, ending{state: Failed}))
		mustFlush(t, j)
		j.f.Close()

		c, s := newCarrier(pass), new(sink)
		cfg := config(t.TempDir(), at(t, "e", 7))
		n, stop := start(t, cfg, Front{Carrier: c, Sink: s})
		if err := n.Inherit(t.Context(), lost, stale); err != nil {
			t.Fatal(err)
		}
		eventually(t, "all ends", func() bool {
			return s.state("ran") == "failed" && s.state("done") == "failed" && (!stale || s.state("payout") == "failed")
		})
		var dirs []string
		eventually(t, "the journal owes nothing", func() bool {
			all, err := n.Done(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			dirs = append(dirs, all...)
			return len(dirs) == 1
		})
		want := []string{"payout", "status"}
		if stale {
			want = []string{"status"}
		}
		if got := c.ids(); len(got) != len(want) || got[0] != want[0] || got[len(got)-1] != want[len(want)-1] {
			t.Errorf("stale %v: calls of %v, want %v", stale, got, want)
		}
		if err := n.Inherit(t.Context(), filepath.Join(lost, "nowhere"), false); err == nil {
			t.Error("a folder that is not there is inherited")
		}
		stop()
		if _, err := os.Stat(filepath.Join(lost, journalName)); err != nil {
			t.Errorf("the folder is for whoever asked to remove: %v", err)
		}
	}
}
