// Package folder keeps what a voter of leases has promised, in a bbolt file of its node's folder. What it says was written is
// durable: promises are synced, since a vote is one.
package folder

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"starlingusher/internal/boltfile"
	"starlingusher/peers/lease"
)

// Name of the file in a node's folder.
const Name = "lease.db"

const version = 1

var (
	meta     = []byte("meta") // version, identity, hard, snapshot
	entries  = []byte("entries")
	versionK = []byte("version")
	identity = []byte("identity")
	hard     = []byte("hard")
	snapshot = []byte("snapshot")
)

// ErrNewer says that a later build has written the file.
var ErrNewer = errors.New("the file was written by a newer version")

// Folder is an open file. It is for one goroutine.
type Folder struct{ file *boltfile.File }

// Open opens or makes the file in a node's folder. One that is damaged, in use or of a later build is an error and left as it
// is: a voter that does not know what it promised must not vote.
func Open(dir string) (*Folder, error) {
	file, err := boltfile.Open(filepath.Join(dir, Name), false, func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(meta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(entries); err != nil {
			return err
		}
		if v := b.Get(versionK); v == nil {
			return b.Put(versionK, []byte{version})
		} else if len(v) != 1 || v[0] > version {
			return ErrNewer
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	return &Folder{file}, nil
}

// Close gives the file back.
func (f *Folder) Close() error { return f.file.Close() }

// Load reads what the folder holds, nil if that is nothing.
func (f *Folder) Load() (*lease.Kept, error) {
	k := &lease.Kept{}
	err := f.file.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(meta)
		raw := b.Get(identity)
		if raw == nil {
			k = nil
			return nil
		}
		if err := json.Unmarshal(raw, &k.Identity); err != nil {
			return fmt.Errorf("identity: %w", err)
		}
		if raw := b.Get(hard); raw != nil {
			k.State.Hard = &raftpb.HardState{}
			if err := proto.Unmarshal(raw, k.State.Hard); err != nil {
				return fmt.Errorf("state: %w", err)
			}
		}
		if raw := b.Get(snapshot); raw != nil {
			k.State.Snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(raw, k.State.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		return tx.Bucket(entries).ForEach(func(key, raw []byte) error {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(raw, e); err != nil || len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() {
				return fmt.Errorf("entry %x: it is not what was written (%w)", key, err)
			}
			if e.GetIndex() > k.State.Snapshot.GetMetadata().GetIndex() {
				k.State.Entries = append(k.State.Entries, e)
			}
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("lease: %s: %w: %w", f.file.Path(), boltfile.ErrDamaged, err)
	}
	return k, nil
}

func index(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Write makes it durable, all of it or nothing.
func (f *Folder) Write(w lease.Write) error {
	update := f.file.Update
	if w.Sync || w.Snapshot != nil {
		update = f.file.UpdateSynced
	}
	err := update(func(tx *bbolt.Tx) error {
		if w.Reset {
			if err := drop(tx); err != nil {
				return err
			}
		}
		b, log := tx.Bucket(meta), tx.Bucket(entries)
		if w.Identity != nil {
			raw, err := json.Marshal(w.Identity)
			if err == nil {
				err = b.Put(identity, raw)
			}
			if err != nil {
				return err
			}
		}
		if w.Hard != nil {
			if err := put(b, hard, w.Hard); err != nil {
				return err
			}
		}
		if w.Snapshot != nil {
			if err := put(b, snapshot, w.Snapshot); err != nil {
				return err
			}
			to := index(w.Snapshot.GetMetadata().GetIndex() + 1)
			if w.Whole {
				to = nil
			}
			if err := cut(log, nil, to); err != nil {
				return err
			}
		}
		if len(w.Entries) == 0 {
			return nil
		}
		if err := cut(log, index(w.Entries[0].GetIndex()), nil); err != nil {
			return err
		}
		for _, e := range w.Entries {
			if err := put(log, index(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("lease: %w", err)
	}
	return nil
}

// drop forgets all but the version.
func drop(tx *bbolt.Tx) error {
	if err := tx.DeleteBucket(entries); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entries); err != nil {
		return err
	}
	for _, key := range [][]byte{hard, snapshot, identity} {
		if err := tx.Bucket(meta).Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// cut deletes the entries from one key, or the first, up to another, or the end.
func cut(log *bbolt.Bucket, from, to []byte) error {
	var gone [][]byte
	c := log.Cursor()
	for key, _ := c.Seek(from); key != nil && (to == nil || string(key) < string(to)); key, _ = c.Next() {
		gone = append(gone, key)
	}
	for _, key := range gone {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}
