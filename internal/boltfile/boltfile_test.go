package boltfile

import (
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// A lock that its holder is about to give up, as one of a process that has just been killed, is waited for.
func TestOpenWaitsForALockThatGoes(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "store")
	nothing := func(*bbolt.Tx) error { return nil }
	before, err := Open(path, false, nothing)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(300*time.Millisecond, func() { before.Close() })
	after, err := Open(path, false, nothing)
	if err != nil {
		t.Fatal(err)
	}
	after.Close()
}
