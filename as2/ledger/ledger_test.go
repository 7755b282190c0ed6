package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"starlingusher/as2"
	"starlingusher/delivery"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func open(t *testing.T, path string) *Ledger {
	t.Helper()
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func sent(id string, sum byte) Sent {
	return Sent{Sent: as2.Sent{ID: id, From: "us", To: "bank", MICs: []as2.MIC{{Sum: []byte{sum}, Digest: as2.SHA256}}}, Partner: "bank",
		Ref: delivery.Ref{ID: "m", Deadline: noon}}
}

// A repeat adds its MIC, and what is proven once stays, in the next life too.
func TestSentAndProven(t *testing.T) {
	path := filepath.Join(t.TempDir(), "as2.db")
	l := open(t, path)
	for i, c := range []struct {
		sum  byte
		mics int
	}{{1, 1}, {1, 1}, {2, 2}} {
		known, err := l.Sending(sent("<a>", c.sum), noon.Add(time.Duration(i)*time.Second))
		if err != nil || len(known.MICs) != c.mics || known.Times != i+1 || !known.First.Equal(noon) || known.Proof != nil {
			t.Errorf("%d: %+v, %v", i, known, err)
		}
	}
	if _, err := l.Prove("<b>", Proof{Proof: as2.Delivered}); err == nil {
		t.Error("a message that was never sent was proven")
	}
	if p, err := l.Prove("<a>", Proof{At: noon, Proof: as2.Delivered, Why: "first"}); err != nil || p.Why != "first" {
		t.Errorf("%+v, %v", p, err)
	}
	l.Close()
	l = open(t, path)
	if p, err := l.Prove("<a>", Proof{At: noon, Proof: as2.Rejected, Why: "second"}); err != nil || p.Why != "first" || p.Proof != as2.Delivered {
		t.Errorf("%+v, %v", p, err)
	}
	if known, err := l.Sending(sent("<a>", 1), noon); err != nil || known.Proof == nil || known.Ref.ID != "m" {
		t.Errorf("%+v, %v", known, err)
	}
	if _, found, err := l.Sent("<b>"); found || err != nil {
		t.Errorf("%v, %v", found, err)
	}
}

// A message keeps the receipt that it was given first; one that is owed is not forgotten.
func TestReceivedAndOwed(t *testing.T) {
	l := open(t, filepath.Join(t.TempDir(), "as2.db"))
	first := Received{Partner: "bank", Engine: "e1", ID: "<a>", At: noon, Body: []byte("first"), PostTo: "http://bank/"}
	for _, body := range []string{"first", "second"} {
		r := first
		r.Body = []byte(body)
		if kept, err := l.Receive(r); err != nil || string(kept.Body) != "first" {
			t.Errorf("%+v, %v", kept, err)
		}
	}
	if kept, err := l.Receive(Received{Partner: "other", Engine: "e2", ID: "<a>", At: noon, Body: []byte("other")}); err != nil || string(kept.Body) != "other" {
		t.Errorf("another partner's: %+v, %v", kept, err)
	}
	if owed, err := l.Owed(10); err != nil || len(owed) != 1 || owed[0].Partner != "bank" {
		t.Errorf("%+v, %v", owed, err)
	}
	if gone, err := l.Forget(noon.Add(time.Hour)); err != nil || gone != 2 { // the other partner's, under both its names
		t.Errorf("%d gone, %v", gone, err)
	}
	if known, err := l.Known("e1"); err != nil || !known {
		t.Errorf("%v, %v", known, err)
	}
	if err := l.Posted("bank", "<a>"); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Forget(noon); err != nil {
		t.Fatal(err)
	}
	if _, found, err := l.Received("bank", "<a>"); err != nil || !found {
		t.Errorf("it is forgotten too early: %v", err)
	}
	if _, err := l.Forget(noon.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	if _, found, err := l.Received("bank", "<a>"); err != nil || found {
		t.Errorf("it is not forgotten: %v", err)
	}
	if known, err := l.Known("e1"); err != nil || known {
		t.Errorf("%v, %v", known, err)
	}
}

func TestFilesThatAreNone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "as2.db")
	if err := os.WriteFile(path, make([]byte, 10_000), 0o600); err != nil {
		t.Fatal(err)
	}
	if l, err := Open(path); err == nil {
		l.Close()
		t.Error("it was opened")
	}
}

// A file that is cut short is an error, where bbolt's mapped memory would end the process.
func TestAFileThatIsCutShort(t *testing.T) {
	path := filepath.Join(t.TempDir(), "as2.db")
	l := open(t, path)
	for i := range 200 {
		if _, err := l.Sending(sent(fmt.Sprintf("<%d>", i), 1), noon); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	if err := os.Truncate(path, 16<<10); err != nil {
		t.Fatal(err)
	}
	if l, err := Open(path); !errors.Is(err, ErrDamaged) {
		t.Errorf("got %v", err)
		if err == nil {
			l.Close()
		}
	}
}
