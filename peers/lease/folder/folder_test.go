package folder

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"starlingusher/internal/boltfile"
	"starlingusher/internal/rapidseed"
	"starlingusher/peers/lease"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte{byte(index), byte(term)}}
}

// What was written is there after every opening, as one who only remembers it has it.
func TestFolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "lease-folder-")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		var want *lease.Kept
		for range rapid.IntRange(1, 5).Draw(t, "lives") {
			f, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			got, err := f.Load()
			if err != nil {
				t.Fatal(err)
			}
			same(t, got, want)
			for range rapid.IntRange(0, 6).Draw(t, "writes") {
				if want == nil {
					want = &lease.Kept{}
					if err := f.Write(lease.Write{Identity: &want.Identity}); err != nil {
						t.Fatal(err)
					}
				}
				id := want.Identity
				id.Count++
				w := lease.Write{Identity: &id, Sync: rapid.Bool().Draw(t, "sync")}
				s := &want.State
				last := s.Snapshot.GetMetadata().GetIndex() + uint64(len(s.Entries))
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					s.Hard = &raftpb.HardState{Term: proto.Uint64(rapid.Uint64().Draw(t, "term")), Vote: proto.Uint64(3), Commit: proto.Uint64(last)}
					w.Hard = s.Hard
				case 1: // entries, some of which replace others
					from := s.Snapshot.GetMetadata().GetIndex() + uint64(rapid.IntRange(0, len(s.Entries)).Draw(t, "from"))
					s.Entries = s.Entries[:from-s.Snapshot.GetMetadata().GetIndex()]
					for i := range uint64(rapid.IntRange(1, 4).Draw(t, "entries")) {
						e := entry(from+i+1, id.Count)
						s.Entries, w.Entries = append(s.Entries, e), append(w.Entries, e)
					}
				case 2: // of this voter's own making, or another's that takes the place of all there is
					gone := uint64(rapid.IntRange(0, len(s.Entries)).Draw(t, "gone"))
					index := s.Snapshot.GetMetadata().GetIndex() + gone
					if w.Whole = rapid.Bool().Draw(t, "whole"); w.Whole {
						index, s.Entries = index+20, nil
					} else {
						s.Entries = s.Entries[gone:]
					}
					if index == 0 {
						continue
					}
					s.Snapshot = &raftpb.Snapshot{Data: []byte("table"), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1)}}
					w.Snapshot = s.Snapshot
				case 3:
					w.Reset = true
					want.State = lease.State{}
				}
				want.Identity = id
				if err := f.Write(w); err != nil {
					t.Fatal(err)
				}
			}
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func same(t *rapid.T, got, want *lease.Kept) {
	switch {
	case (got == nil) != (want == nil):
		t.Fatalf("%+v, want %+v", got, want)
	case got == nil:
		return
	case got.Identity.Count != want.Identity.Count, !proto.Equal(got.State.Hard, want.State.Hard), !proto.Equal(got.State.Snapshot, want.State.Snapshot),
		len(got.State.Entries) != len(want.State.Entries):
		t.Fatalf("%+v, want %+v", got, want)
	}
	for i, e := range want.State.Entries {
		if !proto.Equal(got.State.Entries[i], e) {
			t.Fatalf("entry %d: %v, want %v", i, got.State.Entries[i], e)
		}
	}
}

// A file that was spoilt is an error that names it, and is left as it is; a voter that does not know what it promised must not vote.
func TestSpoilt(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); !errors.Is(err, boltfile.ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	if err := f.Write(lease.Write{Identity: &lease.Identity{ID: 7}, Entries: []*raftpb.Entry{entry(1, 1)}, Sync: true}); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, Name)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Open(dir); !errors.Is(err, boltfile.ErrDamaged) {
		t.Errorf("a file that is cut short: %v", err)
		f.Close()
	}
	if info, err := os.Stat(path); err != nil || info.Size() != int64(len(text)/2) {
		t.Errorf("the spoilt file: %v, %v", info, err)
	}
}
