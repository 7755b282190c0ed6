package delivery

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingFiles fail a run of their operations, each of which may be done in part.
type failingFiles struct {
	errno       syscall.Errno
	first, last int // the operations that fail, counted from 1
	done        int
}

func (s *failingFiles) fails() error {
	if s.done++; s.done >= s.first && s.done <= s.last {
		return s.errno
	}
	return nil
}

func (s *failingFiles) open(name string, flag int) (journalFile, error) {
	if err := s.fails(); err != nil {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	f, err := osFiles{}.open(name, flag)
	if err != nil {
		return nil, err
	}
	return &failingFile{f, s}, nil
}

func (s *failingFiles) rename(from, to string) error {
	return errors.Join(s.fails(), func() error {
		if s.done >= s.first && s.done <= s.last {
			return nil // not done
		}
		return osFiles{}.rename(from, to)
	}())
}

func (s *failingFiles) remove(name string) error {
	if err := s.fails(); err != nil {
		return err
	}
	return osFiles{}.remove(name)
}

type failingFile struct {
	journalFile
	on *failingFiles
}

func (f *failingFile) Read(b []byte) (int, error) {
	if err := f.on.fails(); err != nil {
		return 0, err
	}
	return f.journalFile.Read(b)
}

func (f *failingFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.on.fails(); err != nil {
		n, _ := f.journalFile.WriteAt(b[:len(b)/2], at) // a disk that runs full takes a part
		return n, err
	}
	return f.journalFile.WriteAt(b, at)
}

func (f *failingFile) Write(b []byte) (int, error) {
	if err := f.on.fails(); err != nil {
		n, _ := f.journalFile.Write(b[:len(b)/2])
		return n, err
	}
	return f.journalFile.Write(b)
}

func (f *failingFile) Truncate(size int64) error {
	if err := f.on.fails(); err != nil {
		return err
	}
	return f.journalFile.Truncate(size)
}

// TestAFolderThatFailsForAWhileLosesNothingThatWasTakenOn guards against losing messages to ENOSPC and EIO at any operation of the journal.
func TestAFolderThatFailsForAWhileLosesNothingThatWasTakenOn(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		for first := 1; first <= 40; first++ {
			for _, length := range []int{1, 2, 7} {
				t.Run(fmt.Sprintf("%v from %d for %d", errno, first, length), func(t *testing.T) {
					t.Parallel()
					files := &failingFiles{errno: errno, first: first, last: first + length - 1}
					failWhile(t, files, rand.New(rand.NewPCG(uint64(first), uint64(length))))
				})
			}
		}
	}
}

// failWhile takes messages on and ends them over files that fail, and kills the journal after each step.
func failWhile(t *testing.T, files *failingFiles, rng *rand.Rand) {
	dir := t.TempDir()
	open := func() *journal {
		for range files.last + 2 {
			j, err := openJournalOn(files, dir, 3, time.Now(), nil)
			if err == nil {
				return j
			}
		}
		t.Fatal("the journal does not open once the folder is well")
		return nil
	}
	j := open()
	owed := map[string]bool{} // taken on, and its end not written
	for i := range 30 {
		id := fmt.Sprint("m", i)
		p, err := j.accept(&past{id: id, class: 1, dest: 7, deadline: time.Now().Add(time.Hour)})
		if err == nil {
			if err = j.flush(); err == nil {
				owed[id] = true
			} else {
				j.add(record(recOver, p.seq)) // its client is told to come again
			}
		}
		for _, p := range j.live {
			if owed[p.id] && rng.IntN(3) == 0 {
				j.add(record(recOver, p.seq))
				delete(owed, p.id) // it may end now or, if that is not written, be owed still
				break
			}
		}
		j.flush() // an error leaves what was done before
		if i%7 == 6 {
			j.retryAt = time.Time{}
			j.compact() // likewise
		}
		if i%5 == 4 { // a kill
			j.f.Close()
			j.lock.Close()
			j = open()
		}
		for id := range owed {
			if !hasLive(j, id) {
				t.Fatalf("step %d: %s was taken on and is gone", i, id)
			}
		}
	}
	j.retryAt = time.Time{}
	if err := j.flush(); err != nil {
		t.Errorf("the folder is well, and the journal is not: %v", err)
	}
	j.f.Close()
	j.lock.Close()
	again := openTest(t, dir, 3)
	for id := range owed {
		if !hasLive(again, id) {
			t.Errorf("%s was taken on and is gone at the end", id)
		}
	}
}

func hasLive(j *journal, id string) bool {
	for _, p := range j.live {
		if p.id == id {
			return true
		}
	}
	return false
}

// TestAJournalTornAtAnyByteKeepsWhatStandsBefore guards against a kill in the middle of the last write.
func TestAJournalTornAtAnyByteKeepsWhatStandsBefore(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 3)
	mustAccept(t, j, "first", []byte("a body"))
	mustFlush(t, j)
	whole := j.written
	mustAccept(t, j, "second", []byte("another"))
	mustFlush(t, j)
	text, err := os.ReadFile(j.path())
	if err != nil {
		t.Fatal(err)
	}
	for cut := whole; cut < int64(len(text)); cut++ {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, journalName), text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		again := openTest(t, torn, 3)
		if !hasLive(again, "first") || hasLive(again, "second") || again.written != whole {
			t.Errorf("torn at byte %d: %d live, %d bytes good", cut, len(again.live), again.written)
		}
	}
}

// downFiles let some writes through, and fail all that come after them.
type downFiles struct {
	osFiles
	writes atomic.Int64 // that still get through
}

func (s *downFiles) open(name string, flag int) (journalFile, error) {
	if s.writes.Load() <= 0 {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.EIO}
	}
	f, err := s.osFiles.open(name, flag)
	if err != nil {
		return nil, err
	}
	return &downFile{f, s}, nil
}

type downFile struct {
	journalFile
	on *downFiles
}

func (f *downFile) WriteAt(b []byte, at int64) (int, error) {
	if f.on.writes.Add(-1) < 0 {
		return 0, syscall.ENOSPC
	}
	return f.journalFile.WriteAt(b, at)
}

// Guards against final answers that wait for a folder that fails until long after the messages' time.
func TestAFinalAnswerComesInTimeWhileTheFolderFails(t *testing.T) {
	for class := range 3 {
		files, s := &downFiles{}, &sink{}
		files.writes.Store(1) // the record of a message that is taken on, and not that of its attempt
		cfg := config(t.TempDir(), at(t, "e", 7))
		cfg.files = files
		c := newCarrier(pass)
		n, stop := start(t, cfg, Front{Carrier: c, Sink: s})
		if a := n.Hand("", message("m", class, 200*time.Millisecond)); a.Refused || a.Failed != "" {
			t.Fatalf("got %+v", a)
		}
		eventually(t, "the end", func() bool { return s.state("m") != "" })
		if ids := c.ids(); len(ids) != 0 {
			t.Errorf("class %d: sent %v with no record of it", class, ids)
		}
		// Else stopping says that the journal could not be written.
		files.writes.Store(1000)
		eventually(t, "the journal", func() bool { return !n.Hand("", message("next", class, time.Minute)).Refused })
		stop()
	}
}

// Guards against a promise that a message will not run, when a kill may have the next life find its record.
func TestAMessageWhoseRecordCanNotBeCutOffIsNotRefused(t *testing.T) {
	for _, cut := range []bool{false, true} {
		dir := t.TempDir()
		files := &halfFiles{cuts: cut}
		cfg := config(dir, at(t, "e", 7))
		cfg.files = files
		n, err := Open(cfg, Front{Carrier: newCarrier(pass), Sink: &sink{}})
		if err != nil {
			t.Fatal(err)
		}
		n.step(t.Context(), n.replayed(), nil)
		files.down = true
		a := n.handIn("m", time.Minute)
		n.take(t.Context(), []any{a})
		answer := <-a.reply
		again := openTest(t, copyOf(t, dir), 3)
		if promised := answer.Refused; promised != cut || (promised && hasLive(again, "m")) {
			t.Errorf("cut %v: %+v, and the next life has it: %v", cut, answer, hasLive(again, "m"))
		}
		files.down = false
		n.Close()
	}
}

// halfFiles, once down, say that writes failed which were done, and cut off what stands behind or not.
type halfFiles struct {
	osFiles
	down, cuts bool
}

func (s *halfFiles) open(name string, flag int) (journalFile, error) {
	if s.down {
		return nil, syscall.EIO
	}
	f, err := s.osFiles.open(name, flag)
	if err != nil {
		return nil, err
	}
	return &halfFile{f, s}, nil
}

type halfFile struct {
	journalFile
	on *halfFiles
}

func (f *halfFile) WriteAt(b []byte, at int64) (int, error) {
	n, err := f.journalFile.WriteAt(b, at)
	if f.on.down {
		return 0, errors.Join(err, syscall.EIO)
	}
	return n, err
}

func (f *halfFile) Truncate(size int64) error {
	if f.on.down && !f.on.cuts {
		return syscall.EIO
	}
	return f.journalFile.Truncate(size)
}

// copyOf is another folder with the journal as it is now.
func copyOf(t *testing.T, dir string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, journalName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return other
}
