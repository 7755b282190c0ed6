package shelf

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"starlingusher/internal/boltfile"
	"starlingusher/peers/copies"
)

func record(n int) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, uint32(n)), make([]byte, 4+n)...)
}

// What was kept is there after every opening, in its order; a fence outlasts the process; a whole frame takes the place of all; the budget
// holds; a dropped stream is gone.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	open := func() *Store {
		s, err := Open(dir, 4<<10)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	var at copies.Chain
	var want []byte
	for i := range 5 {
		f := copies.Frame{Stream: "x", Epoch: 3, Before: at, Records: record(10 + i)}
		after, v, err := s.Take(f)
		if err != nil || v != copies.Kept {
			t.Fatal(v, err)
		}
		at, want = after.At, append(want, f.Records...)
	}
	if _, err := Open(dir, 1<<20); !errors.Is(err, boltfile.ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	s = open()
	got, records, err := s.Fence("x", 9)
	if err != nil || got.At != at || got.Epoch != 3 || got.Fence != 9 || !bytes.Equal(records, want) {
		t.Fatalf("%+v, %d bytes, %v", got, len(records), err)
	}
	s.Close()
	s = open()
	if _, v, _ := s.Take(copies.Frame{Stream: "x", Epoch: 8, Before: at, Records: record(1)}); v != copies.Past {
		t.Errorf("a fence is forgotten: %v", v)
	}
	if _, v, _ := s.Take(copies.Frame{Stream: "y", Epoch: 1, Records: record(2 << 10)}); v != copies.Full {
		t.Errorf("beyond the budget: %v", v)
	}
	if after, v, err := s.Take(copies.Frame{Stream: "x", Epoch: 9, Before: at, Records: record(7), Whole: true}); v != copies.Kept || err != nil || after.At.Mark != at.Mark+1 {
		t.Errorf("%v, %v, %+v", v, err, after)
	}
	if _, records, _ := s.Fence("x", 9); !bytes.Equal(records, record(7)) || s.Lines()["x"].Bytes != int64(len(record(7))) {
		t.Errorf("%d bytes, %+v", len(records), s.Lines())
	}
	if err := s.Drop("x"); err != nil || len(s.Lines()) != 0 || s.Shelf("x") != (copies.Shelf{}) {
		t.Errorf("%v, %+v", err, s.Lines())
	}
	s.Close()
	path := filepath.Join(dir, Name)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, 1<<20); !errors.Is(err, boltfile.ErrDamaged) {
		t.Errorf("a file that is cut short: %v", err)
	}
}

func BenchmarkTake(b *testing.B) {
	s, err := Open(b.TempDir(), 1<<40)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var at copies.Chain
	for b.Loop() {
		after, v, err := s.Take(copies.Frame{Stream: "x", Epoch: 1, Before: at, Records: record(300)})
		if v != copies.Kept {
			b.Fatal(v, err)
		}
		at = after.At
	}
}
