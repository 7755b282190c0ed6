// Package boltfile opens bbolt files so that a damaged one is an error, where bbolt panics or its mapped memory faults.
package boltfile

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Errors of a file.
var (
	ErrInUse = errors.New("another process has the store")
	// ErrDamaged says that the file can't be read, or not to its end.
	ErrDamaged = errors.New("the store is damaged")
)

const (
	// A process that was killed may be seen to have ended before the kernel has given up its locks. With 100 ms, of which bbolt
	// waits for half, a node that came back at once found its own store in use, and kept nothing for all its life.
	lockTime = 2 * time.Second
	grow     = 64 << 10 // the file grows by so much
)

// File is an open file. It may be used by many goroutines at a time. Like the journal it is not synced: what a process
// has written outlasts it, and a power cut may cost it.
type File struct{ db *bbolt.DB }

// Open opens or makes a file, and has prepare look at what is there, by a transaction that may write unless readOnly. A file
// that is torn is an error that names it, and is left as it is.
func Open(path string, readOnly bool, prepare func(*bbolt.Tx) error) (_ *File, err error) {
	defer caught(path, &err)
	if info, err := os.Stat(path); err == nil && info.Size() > 0 {
		if err := whole(path, info.Size()); err != nil {
			return nil, err
		}
	}
	db, err := open(path, readOnly)
	if err != nil {
		return nil, err
	}
	db.AllocSize = grow
	if readOnly {
		err = db.View(prepare)
	} else {
		err = db.Update(prepare)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return &File{db}, nil
}

func open(path string, readOnly bool) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{
		Timeout: lockTime, NoSync: true, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType, ReadOnly: readOnly,
	})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%s can't be read: %w: %w", path, ErrDamaged, err)
	case err != nil:
		return nil, fmt.Errorf("%s can't be read: %w", path, err)
	}
	return db, nil
}

// whole tells whether the file has all the pages that it speaks of. bbolt maps it into memory, where a page that is
// missing would end the process.
func whole(path string, size int64) (err error) {
	db, err := open(path, true)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > size {
			return fmt.Errorf("%s is cut short, %d bytes of %d: %w", path, size, tx.Size(), ErrDamaged)
		}
		return nil
	})
}

// caught turns what bbolt panics with at a damaged page into an error. It is deferred.
func caught(path string, err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%s: %w: %v", path, ErrDamaged, r)
	}
}

// Update is bbolt's.
func (f *File) Update(do func(*bbolt.Tx) error) (err error) {
	defer caught(f.db.Path(), &err)
	return f.db.Update(do)
}

// UpdateSynced is Update of what is to outlast a power cut as well. It is not called beside other updates.
func (f *File) UpdateSynced(do func(*bbolt.Tx) error) error {
	f.db.NoSync = false
	defer func() { f.db.NoSync = true }()
	return f.Update(do)
}

// View is bbolt's.
func (f *File) View(do func(*bbolt.Tx) error) (err error) {
	defer caught(f.db.Path(), &err)
	return f.db.View(do)
}

// Path is where the file stands.
func (f *File) Path() string { return f.db.Path() }

// Close gives the file back.
func (f *File) Close() error { return f.db.Close() }
