package delivery

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// journalFile is what the journal needs of an open file.
type journalFile interface {
	io.ReadWriteSeeker
	io.ReaderAt
	io.WriterAt
	io.Closer
	Name() string
	Truncate(size int64) error
}

// fileSystem is where the journal has its files: the system's, or in tests one that fails.
type fileSystem interface {
	open(name string, flag int) (journalFile, error)
	rename(from, to string) error
	remove(name string) error
}

// osFiles are the system's files.
type osFiles struct{}

func (osFiles) open(name string, flag int) (journalFile, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err // not a nil file in an interface that is none
	}
	return f, nil
}

func (osFiles) rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) remove(name string) error { return os.Remove(name) }

// The times in which a start waits for a folder that fails.
const (
	openPatience = 20 * time.Second
	openPause    = 100 * time.Millisecond
)

// transient tells that a folder may be well again soon: the disk is full or fails, or the machine is short of something.
func transient(err error) bool {
	for _, one := range []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN} {
		if errors.Is(err, one) && !errors.Is(err, ErrInUse) {
			return true
		}
	}
	return false
}

// openWhenReady opens the journal, and waits for a folder that fails for a while: what it holds is owed, and a node that does not start
// delivers nothing.
func (n *Engine) openWhenReady() (*journal, error) {
	for {
		j, err := openJournalOn(n.files(), n.cfg.State, n.cfg.DiskMB, n.start, n.cfg.Boot)
		if err == nil || !transient(err) || time.Since(n.start) > openPatience {
			return j, err
		}
		n.log.Info("waiting for the state folder", "err", err)
		time.Sleep(openPause)
	}
}

// files are the system's, unless a test has others.
func (n *Engine) files() fileSystem {
	if n.cfg.files != nil {
		return n.cfg.files
	}
	return osFiles{}
}
