// Package shelf keeps what a node holds of others' journals, in a bbolt file of its folder. Like the journals themselves it is not synced:
// what a process has written outlasts it, and a power cut may cost it; then the node holds nothing and is told anew.
package shelf

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"sync"

	"go.etcd.io/bbolt"

	"starlingusher/internal/boltfile"
	"starlingusher/peers/copies"
)

// Name of the file in a node's folder.
const Name = "copies.db"

const (
	version = 1
	// A file holds pages that are half full: so much of the budget is for records.
	share = 0.5
)

var (
	metaBucket    = []byte("meta")    // version
	shelvesBucket = []byte("shelves") // stream -> its shelf
	recordsBucket = []byte("records") // stream -> bucket of number -> records
	versionKey    = []byte("version")
)

// ErrNewer says that a later build has written the file.
var ErrNewer = errors.New("the file was written by a newer version")

// Line is a stream that is held.
type Line struct {
	copies.Shelf
	Bytes int64
}

// Store is an open file. It may be used by many goroutines at a time.
type Store struct {
	file *boltfile.File
	most int64

	mu    sync.Mutex // over every change, so that a judgement and its write are one
	lines map[string]Line
	used  int64
}

// Open opens or makes the file in a node's folder, which may hold so many bytes.
func Open(dir string, most int64) (*Store, error) {
	s := &Store{most: int64(float64(most) * share), lines: map[string]Line{}}
	file, err := boltfile.Open(filepath.Join(dir, Name), false, func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, shelvesBucket, recordsBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		if v := meta.Get(versionKey); v == nil {
			if err := meta.Put(versionKey, []byte{version}); err != nil {
				return err
			}
		} else if len(v) != 1 || v[0] > version {
			return ErrNewer
		}
		return tx.Bucket(shelvesBucket).ForEach(func(stream, raw []byte) error {
			var l Line
			if err := json.Unmarshal(raw, &l); err != nil {
				return fmt.Errorf("stream %q: %w", stream, err)
			}
			s.lines[string(stream)] = l
			s.used += l.Bytes
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	s.file = file
	return s, nil
}

// Close gives the file back.
func (s *Store) Close() error { return s.file.Close() }

// Lines are all streams that are held, by name.
func (s *Store) Lines() map[string]Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Line, len(s.lines))
	for stream, l := range s.lines {
		all[stream] = l
	}
	return all
}

// Shelf is what is held of a stream; the zero value for nothing.
func (s *Store) Shelf(stream string) copies.Shelf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines[stream].Shelf
}

// Take judges a frame, and has it written if it is kept. On an error nothing has changed.
func (s *Store) Take(f copies.Frame) (copies.Shelf, copies.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.lines[f.Stream]
	after, v, write := line.Take(f)
	if !write {
		return line.Shelf, v, nil
	}
	next := Line{Shelf: after, Bytes: line.Bytes + int64(len(f.Records))}
	if f.Whole {
		next.Bytes = int64(len(f.Records))
	}
	if s.used-line.Bytes+next.Bytes > s.most {
		return line.Shelf, copies.Full, nil
	}
	err := s.file.Update(func(tx *bbolt.Tx) error {
		all := tx.Bucket(recordsBucket)
		if f.Whole && all.Bucket([]byte(f.Stream)) != nil {
			if err := all.DeleteBucket([]byte(f.Stream)); err != nil {
				return err
			}
		}
		b, err := all.CreateBucketIfNotExists([]byte(f.Stream))
		if err != nil {
			return err
		}
		b.FillPercent = 1 // appended only
		n, err := b.NextSequence()
		if err != nil {
			return err
		}
		if err := b.Put(binary.BigEndian.AppendUint64(nil, n), f.Records); err != nil {
			return err
		}
		return put(tx, f.Stream, next)
	})
	if err != nil {
		return line.Shelf, copies.Full, fmt.Errorf("copies: %w", err)
	}
	s.set(f.Stream, next)
	return after, copies.Kept, nil
}

func put(tx *bbolt.Tx, stream string, l Line) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return tx.Bucket(shelvesBucket).Put([]byte(stream), raw)
}

func (s *Store) set(stream string, l Line) {
	s.used += l.Bytes - s.lines[stream].Bytes
	s.lines[stream] = l
}

// Fence has no frame of a smaller epoch be taken any more, and returns what is held.
func (s *Store) Fence(stream string, epoch uint64) (copies.Shelf, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.lines[stream]
	var records []byte
	err := s.file.Update(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(recordsBucket).Bucket([]byte(stream)); b != nil {
			if err := b.ForEach(func(_, part []byte) error {
				records = append(records, part...)
				return nil
			}); err != nil {
				return err
			}
		}
		if epoch <= line.Fence {
			return nil
		}
		line.Fence = epoch
		return put(tx, stream, line)
	})
	if err != nil {
		return copies.Shelf{}, nil, fmt.Errorf("copies: %w", err)
	}
	s.set(stream, line)
	return line.Shelf, records, nil
}

// Drop forgets a stream.
func (s *Store) Drop(stream string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.file.Update(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(recordsBucket); b.Bucket([]byte(stream)) != nil {
			if err := b.DeleteBucket([]byte(stream)); err != nil {
				return err
			}
		}
		return tx.Bucket(shelvesBucket).Delete([]byte(stream))
	})
	if err != nil {
		return fmt.Errorf("copies: %w", err)
	}
	s.set(stream, Line{})
	delete(s.lines, stream)
	return nil
}
