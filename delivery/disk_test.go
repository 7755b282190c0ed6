package delivery

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"starlingusher/choice"
)

// meteredFiles note the most that a folder holds after any operation, as the deployment counts it. Some operations fail, in part or whole.
type meteredFiles struct {
	dir   string
	most  int64
	rng   *rand.Rand
	fails float64 // the share of operations that fail
}

func (s *meteredFiles) look() {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		panic(err)
	}
	sum := int64(0)
	for _, e := range entries {
		if info, err := os.Lstat(filepath.Join(s.dir, e.Name())); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	s.most = max(s.most, sum)
}

func (s *meteredFiles) fault() error {
	if s.fails > 0 && s.rng.Float64() < s.fails {
		return []error{syscall.ENOSPC, syscall.EIO}[s.rng.IntN(2)]
	}
	return nil
}

func (s *meteredFiles) open(name string, flag int) (journalFile, error) {
	if err := s.fault(); err != nil {
		return nil, err
	}
	f, err := osFiles{}.open(name, flag)
	if err != nil {
		return nil, err
	}
	s.look()
	return &meteredFile{f, s}, nil
}

func (s *meteredFiles) rename(from, to string) error {
	if err := s.fault(); err != nil {
		return err
	}
	defer s.look()
	return osFiles{}.rename(from, to)
}

func (s *meteredFiles) remove(name string) error {
	if err := s.fault(); err != nil {
		return err
	}
	return osFiles{}.remove(name)
}

type meteredFile struct {
	journalFile
	on *meteredFiles
}

func (f *meteredFile) WriteAt(b []byte, at int64) (int, error) {
	defer f.on.look()
	if err := f.on.fault(); err != nil {
		n, _ := f.journalFile.WriteAt(b[:f.on.rng.IntN(len(b)+1)], at)
		return n, err
	}
	return f.journalFile.WriteAt(b, at)
}

func (f *meteredFile) Write(b []byte) (int, error) {
	defer f.on.look()
	if err := f.on.fault(); err != nil {
		n, _ := f.journalFile.Write(b[:f.on.rng.IntN(len(b)+1)])
		return n, err
	}
	return f.journalFile.Write(b)
}

func (f *meteredFile) Truncate(size int64) error {
	if err := f.on.fault(); err != nil {
		return err
	}
	return f.journalFile.Truncate(size)
}

// diskDay is a random day of a journal, with kills.
type diskDay struct {
	t     *testing.T
	j     *journal
	files *meteredFiles
	rng   *rand.Rand
	mb    float64
	owed  map[string]bool // taken on, and its end not written
	next  int
	busy  int // messages that were refused
}

func (d *diskDay) open() {
	for try := range 1000 {
		if try > 100 {
			d.files.fails = 0 // the folder is well again
		}
		j, err := openJournalOn(d.files, d.files.dir, d.mb, time.Now(), nil)
		if err == nil {
			d.j = j
			return
		}
	}
	d.t.Fatal("the journal does not open")
}

// handIn takes several messages on in one write.
func (d *diskDay) handIn(count, least, most int) {
	var fresh []*past
	for range count {
		d.next++
		body := make([]byte, least+d.rng.IntN(most-least+1))
		m := &past{id: fmt.Sprint("m", d.next), key: "key", class: 1, dest: 7, deadline: time.Now().Add(time.Hour), body: body}
		p, err := d.j.accept(m)
		if errors.Is(err, errCrowded) && d.j.compact() == nil {
			p, err = d.j.accept(m)
		}
		if err != nil {
			d.busy++
			continue
		}
		fresh = append(fresh, p)
	}
	err := d.j.flush()
	for _, p := range fresh {
		if err == nil {
			d.owed[p.id] = true
		} else {
			d.j.add(record(recOver, p.seq)) // its client is told to come again
		}
	}
}

// goOn has something happen to a message, or to a route.
func (d *diskDay) goOn() {
	d.j.wait(waiter{dest: d.rng.IntN(40), endpoint: fmt.Sprint("endpoint ", d.rng.IntN(40))}, time.Now().Add(time.Hour))
	d.j.add(outageRecord(waiter{dest: d.rng.IntN(40)}, outage{health: choice.Health(d.rng.IntN(3)), since: time.Now()}))
	seqs := slices.Sorted(maps.Keys(d.j.live))
	for range min(len(seqs), 1+d.rng.IntN(6)) {
		p := d.j.live[seqs[d.rng.IntN(len(seqs))]]
		switch {
		case p == nil || !d.owed[p.id]:
		case p.ended == nil && len(p.sends) < 12 && d.rng.IntN(3) > 0:
			d.j.add(attemptRecord(p.seq, time.Now(), 0, ""))
			d.j.add(outcomeRecord(recFailed, p.seq, len(p.sends)-1))
		case p.ended == nil && d.rng.IntN(2) == 0:
			d.j.add(endedRecord(p.seq, ending{state: Failed, content: 1 << 60}))
		default:
			d.j.add(record(recOver, p.seq))
			delete(d.owed, p.id) // it may end now or, if that is not written, be owed still
		}
	}
	d.j.flush() // an error leaves what was done before
}

func (d *diskDay) kill() {
	d.j.f.Close()
	d.j.lock.Close()
	d.open()
}

func (d *diskDay) check(step int) {
	d.t.Helper()
	if limit := int64(d.mb * (1 << 20)); d.files.most > limit {
		d.t.Fatalf("step %d: the folder held %d bytes more than its limit", step, d.files.most-limit)
	}
	for id := range d.owed {
		if !hasLive(d.j, id) {
			d.t.Fatalf("step %d: %s was taken on and is gone", step, id)
		}
	}
}

// Guards against a folder that holds more than disk_mb at any instant: full pipelines of large bodies, kills, failing writes, a full journal.
func TestTheFolderHoldsNoMoreThanItsLimitAtAnyInstant(t *testing.T) {
	for _, mb := range []float64{1, 1.5, 2, 3, 8} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%v MB, seed %d", mb, seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 1))
				d := &diskDay{t: t, rng: rng, mb: mb, owed: map[string]bool{}, files: &meteredFiles{dir: t.TempDir(), rng: rng}}
				d.open()
				least, most := 48<<10, MaxBody
				if seed%3 == 1 {
					least, most = 0, 2000
				}
				for step := range 300 {
					if seed%2 == 1 && rng.IntN(10) == 0 {
						d.files.fails = []float64{0, 0.05, 1}[rng.IntN(3)]
					}
					d.handIn(1+rng.IntN(8), least, most)
					d.goOn()
					if rng.IntN(20) == 0 {
						d.kill()
					}
					d.check(step)
				}
				d.files.fails, d.j.retryAt = 0, time.Time{}
				for _, p := range d.j.live {
					d.j.add(record(recOver, p.seq))
				}
				clear(d.owed)
				if err := d.j.flush(); err != nil {
					t.Errorf("nothing is owed, and the journal can't be written: %v", err)
				}
				d.busy = 0
				if d.handIn(1, most, most); d.busy > 0 {
					t.Error("nothing is owed, and a message is refused")
				}
				d.check(-1)
				d.j.close()
			})
		}
	}
}
