package delivery

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"starlingusher/choice"
)

// The journal is one file of records, appended only. A record is its payload's length and CRC-32, four bytes
// each, and the payload: a kind, the number of its message and what the kind calls for. What a process has
// written outlasts it, so nothing is synced; a kill can at most tear the last record.

const (
	recAccepted   byte = iota + 1 // a message was taken on
	recAttempt                    // an attempt is about to be sent
	recNotRun                     // an attempt failed, as in an outage, and is proven not to have run
	recFailed                     // an attempt failed and may have run
	recEnded                      // the final answer, whose notice is still owed
	recOver                       // nothing is owed any more
	recTurnedAway                 // an attempt did not run, and its destination is well
	recAgain                      // a further life was taken on; older builds pass it over
	recWait                       // a destination, or a route apart, asked to be left alone; likewise
	recChain                      // how far the chain of copies had come before the records that follow; likewise
	recOutage                     // the health of a route; likewise
	recClock                      // a stamp beside the machine's clock; likewise
	recReplies                    // what an attempt may have been answered; the last one counts; likewise
)

// MaxBody is how many bytes a message's body holds at most.
const MaxBody = 64 << 10

const (
	journalName    = "journal"
	recordHead     = 8
	maxWord        = 1 << 10 // of an id, a key and a front's name
	maxRecord      = MaxBody + 4*maxWord + 64
	messageReserve = 700       // room for the small records that will follow: 12 attempts at 36 to 45 bytes, and the end
	minCompact     = 256 << 10 // a smaller file is not worth compacting
	defaultDiskMB  = 3
	compactPause   = 100 * time.Millisecond // after a failed compaction
	lentShare      = 8                      // of the budget, one part in so many is for further lives
	maxWaits       = 1024                   // that are kept, those that end last; up to twice as many between clean-ups
	waitReserve    = 80                     // bytes of one with an id of 40
)

var (
	errDiskBudget  = errors.New("the journal's share of the disk is used up")
	errCrowded     = errors.New("the journal has to be compacted first")
	errJournalDown = errors.New("journal: it could not be written a moment ago")
	// errMayStand says that a next life may find records that could not be written, and neither be cut off.
	errMayStand = errors.New("it may be in the journal all the same")
)

// past is all that the journal knows of a message that still owes something.
type past struct {
	seq      uint64   // in its journal
	home     *journal // that its records go to
	id, key  string
	class    int
	tenant   int // as in Message
	dest     int
	body     []byte
	deadline time.Time
	front    string // the way that it came in
	keep     bool   // its end is owed to whoever asks by its id
	told     bool   // the front's sink has taken its end, in this process
	stored   int64  // bytes of its records in a new file
	mayZone  int32  // of a further life, see mayRun; here, where it takes no room
	sends    []pastSend
	ended    *ending

	// A further life: the deadline of the first, and the first attempt in any that may have run.
	first  time.Time // zero in a first life
	mayRun time.Time // zero for none

	// Of this process only.
	waiters []chan End // of those who handed it in and wait for its end
	lastErr error      // what its last attempt met
	wait    time.Time  // until when its destination asked to be left alone, as its attempts were told
}

// again tells that it is a further life.
func (p *past) again() bool { return !p.first.IsZero() }

// ref names the message across its lives.
func (p *past) ref() Ref {
	if p.again() {
		return Ref{p.front, p.id, p.first}
	}
	return Ref{p.front, p.id, p.home.clock.stamp(p.deadline)}
}

// pastSend is an attempt. One that has not failed was out when the journal ended, and may have run as well.
type pastSend struct {
	at             time.Time
	zone           int
	endpoint       string // if that is noted
	notRun, failed bool
	mayBeOver      bool // it may have been answered that the message is over

	// Of this process only.
	known   bool
	outcome choice.Outcome
	err     string
}

// ending is the final answer of a message.
type ending struct {
	state State
	after time.Duration
	code  int
	// content stands for the body and what went with it, which are not kept from then on.
	content contentDigest
}

// waiter is whom a wait binds: a destination, or an endpoint that is a route apart.
type waiter struct {
	dest     int
	endpoint string // empty for the destination
}

// num is the message's number among all that the engine has: seq, for its own journal.
func (p *past) num() uint64 { return p.home.base | p.seq }

// name is what the module calls the message. Ids may come again; numbers don't.
func (p *past) name() string { return strconv.FormatUint(p.num(), 10) }

// numOf reads a name; no message has number 0.
func numOf(name string) uint64 {
	num, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return 0
	}
	return num
}

// journal appends records and keeps what is live, so that it can write the file anew.
type journal struct {
	dir     string
	base    uint64   // of its messages' numbers in the engine
	limit   int64    // of the folder, for all of the journal's files
	budget  int64    // of it, what messages may claim
	lock    *os.File // the folder itself
	files   fileSystem
	f       journalFile
	clock   timeline
	read    reading // of the machine's clock when it was opened; without a boot where there is none
	reboot  bool    // the machine was started anew since the last life
	written int64   // good bytes in the file
	extent  int64   // bytes in the file; more than are good where a write failed and could not be cut off
	live    map[uint64]*past
	waits   map[waiter]time.Time // until when they asked to be left alone
	outages map[waiter]outage    // routes that were not healthy when last heard of
	held    int64                // sum of the sizes of what is live
	stored  int64                // bytes of its messages' records in a new file
	lent    int64                // the part of it that further lives take
	pending []byte               // records not yet in the file
	next    uint64
	broken  bool // the file lacks records of what is live; only a new file will do
	retryAt time.Time

	// Where further nodes hold what is written here: what they are yet to be told, and how far that goes. See stream.go.
	copied bool
	chain  Chain
	news   []Chunk
}

// ErrInUse says that another engine, in this process or another one, has the state folder.
var ErrInUse = errors.New("another engine has this state folder")

// lockFolder takes the folder for one journal. The lock is the kernel's, of the open file: it holds against other
// openings in this process as well, and goes with the process however that ends.
func lockFolder(dir string) (*os.File, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := syscall.Flock(int(d.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		d.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, fmt.Errorf("journal: %s: %w", dir, err)
	}
	return d, nil
}

// openJournal replays the journal in dir, as far as its records are whole. The life that it begins starts now.
func openJournal(dir string, diskMB float64, now time.Time, clock BootClock) (*journal, error) {
	return openJournalOn(osFiles{}, dir, diskMB, now, clock)
}

func openJournalOn(files fileSystem, dir string, diskMB float64, now time.Time, clock BootClock) (_ *journal, err error) {
	if diskMB <= 0 {
		diskMB = defaultDiskMB
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			lock.Close()
		}
	}()
	j := &journal{
		dir: dir, files: files, lock: lock, limit: int64(diskMB*bytesInMB) - diskRounding, budget: int64(diskMB*bytesInMB) - diskMargin,
		live: map[uint64]*past{}, waits: map[waiter]time.Time{}, outages: map[waiter]outage{}, next: 1,
	}
	// A compaction that was cut short left its file; the old one is still whole.
	if err = files.remove(j.path() + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	f, err := files.open(j.path(), os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.f = f
	last, err := lastReading(f)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("journal: %w", err), f.Close())
	}
	j.clock, j.read, j.reboot = resume(now, clock, last)
	r := bufio.NewReaderSize(f, 64<<10)
	for {
		payload, err := readRecord(r)
		if errors.Is(err, errNoRecord) {
			break // the end, or a torn tail: what it would have guarded was not done
		}
		if err != nil { // what stands behind it is owed all the same
			return nil, errors.Join(fmt.Errorf("journal: %w", err), f.Close())
		}
		j.follow(payload)
		j.apply(payload)
		j.written += int64(recordHead + len(payload))
	}
	if j.extent, err = f.Seek(0, io.SeekEnd); err != nil {
		return nil, errors.Join(fmt.Errorf("journal: %w", err), f.Close())
	}
	if err = j.rewind(); err != nil { // a torn tail must not stand before new records: a new file will do
		j.broken = true
	}
	if j.read.boot != "" {
		j.add(clockRecord(j.read))
	}
	return j, nil
}

// lastReading finds the last reading of the machine's clock in a journal's file, and goes back to its beginning.
func lastReading(f io.ReadSeeker) (last reading, err error) {
	r := bufio.NewReaderSize(f, 64<<10)
	for {
		payload, err := readRecord(r)
		if errors.Is(err, errNoRecord) {
			break // the end, or a torn tail
		}
		if err != nil {
			return last, err
		}
		if payload[0] != recClock {
			continue
		}
		fields := &fields{b: payload[1:]}
		fields.number()
		if read := fields.reading(); !fields.bad {
			last = read
		}
	}
	_, err = f.Seek(0, io.SeekStart)
	return last, err
}

func (j *journal) path() string { return filepath.Join(j.dir, journalName) }

// apply brings what is live up to date with one record.
func (j *journal) apply(payload []byte) {
	f := &fields{b: payload[1:], clock: j.clock}
	seq := f.number()
	if payload[0] == recChain || payload[0] == recClock {
		return
	}
	if payload[0] == recOutage {
		j.applyOutage(f)
		return
	}
	if payload[0] == recWait {
		w := waiter{dest: int(f.number()), endpoint: string(f.bytes())}
		if until := f.time(); !f.bad && until.After(j.waits[w]) {
			j.waits[w] = until
		}
		return
	}
	j.next = max(j.next, seq+1)
	p := j.live[seq]
	if p == nil && payload[0] != recAccepted && payload[0] != recAgain {
		return
	}
	switch payload[0] {
	case recAccepted:
		p = f.message(seq)
		if len(f.b) > 0 { // builds up to 40fe13b wrote nothing more, and messages of the nameless front need nothing
			p.front = string(f.bytes())
			p.keep = f.number() == 1
		}
		if len(f.b) > 0 { // no more is written of one that has no tenant
			p.tenant = int(f.number())
		}
		if !f.bad {
			j.begin(p, payload)
		}
	case recAgain:
		p = f.message(seq)
		p.front, p.first = string(f.bytes()), f.wall()
		if f.number() == 1 {
			p.mayRun, p.mayZone = f.time(), int32(f.number())
		}
		if len(f.b) > 0 {
			p.tenant = int(f.number())
		}
		if !f.bad {
			j.begin(p, payload)
		}
	case recAttempt:
		s := pastSend{at: f.time(), zone: int(f.number())}
		if len(f.b) > 0 {
			s.endpoint = string(f.bytes())
		}
		if !f.bad {
			p.sends = append(p.sends, s)
			j.grow(p, payload)
		}
	case recNotRun:
		if n := f.number(); !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].notRun, p.sends[n].failed = true, true
			j.grow(p, payload)
		}
	case recTurnedAway:
		if n := f.number(); !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].notRun = true
			j.grow(p, payload)
		}
	case recFailed:
		if n := f.number(); !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].failed = true
			j.grow(p, payload)
		}
	case recReplies:
		n, replies := f.number(), choice.Replies(f.number())
		if !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].mayBeOver = replies.Has(choice.ReplyOver)
			j.grow(p, payload)
		}
	case recEnded:
		e := &ending{state: State(f.number()), after: time.Duration(f.number()) * time.Millisecond}
		if len(f.b) > 0 {
			e.code = int(f.number())
		}
		if len(f.b) > 0 { // builds up to 02b6b71 wrote nothing more
			e.content = contentDigest(f.number())
		}
		if !f.bad {
			j.release(p)
			p.ended, p.body, p.sends = e, nil, nil // only the notice is owed
			p.stored = int64(endedRoom + len(p.id) + len(p.key) + len(p.front))
			j.hold(p)
		}
	case recOver:
		j.release(p)
		delete(j.live, seq)
	}
}

// begin has a message live, by the record that takes it on.
func (j *journal) begin(p *past, payload []byte) {
	p.stored = int64(recordHead + len(payload))
	j.live[p.seq] = j.own(p)
	j.hold(p)
}

// own makes a message one of this journal's.
func (j *journal) own(p *past) *past {
	p.home = j
	return p
}

// add queues a record for the next flush, and brings what is live up to date.
func (j *journal) add(payload []byte) {
	j.pending = appendRecord(j.pending, payload)
	j.apply(payload)
}

// wait notes a wait that was told. One that ends no later than what is noted of the same is not written.
func (j *journal) wait(w waiter, until time.Time) {
	stamp := j.clock.stamp(until)
	if j.clock.life(stamp).After(j.waits[w]) {
		j.add(waitRecord(w, stamp))
	}
	if len(j.waits) > 2*maxWaits {
		j.running(time.Now())
	}
}

// routesSize is about the room that waits and outages take, which compaction writes again.
func (j *journal) routesSize() int64 {
	return int64(len(j.waits))*waitReserve + int64(len(j.outages))*outageReserve
}

// running returns the waits that have not ended, at most so many as are kept, those that end last first, and forgets the others.
func (j *journal) running(now time.Time) []waiter {
	maps.DeleteFunc(j.waits, func(_ waiter, until time.Time) bool { return !until.After(now) })
	all := slices.SortedFunc(maps.Keys(j.waits), func(a, b waiter) int {
		return cmp.Or(j.waits[b].Compare(j.waits[a]), compareWaiters(a, b))
	})
	for len(all) > maxWaits {
		delete(j.waits, all[len(all)-1])
		all = all[:len(all)-1]
	}
	return all
}

// compareWaiters orders by destination and endpoint.
func compareWaiters(a, b waiter) int {
	return cmp.Or(cmp.Compare(a.dest, b.dest), cmp.Compare(a.endpoint, b.endpoint))
}

// accept numbers a new message, queues its record and returns what is kept of it; it refuses what the disk may not have room for. With errCrowded
// there is room once the journal has been compacted.
func (j *journal) accept(p *past) (*past, error) {
	if j.broken {
		return nil, errJournalDown
	}
	if !j.fits(p.size()) || (p.again() && j.lent+p.size() > j.budget/lentShare) {
		return nil, errDiskBudget
	}
	if j.crowded(p.size()) {
		return nil, errCrowded
	}
	p.seq = j.next
	j.add(j.taken(p))
	return j.live[p.seq], nil
}

// flush writes what is queued. On an error nothing that the queued records guard may be done. What is live
// stays true all the same, and goes to a new file as soon as one can be written.
func (j *journal) flush() error {
	if len(j.pending) == 0 && !j.broken {
		return nil
	}
	after := j.written + int64(len(j.pending))
	if j.broken || after+j.claimed() > j.budget || (after > minCompact && after > 4*j.held) {
		if err := j.compact(); !j.mayAppend(err, after) {
			return err
		}
	}
	if _, err := j.f.WriteAt(j.pending, j.written); err != nil {
		// Whole records of what is not going to be done must not be found at the next start.
		j.pending, j.broken, j.extent = nil, true, max(j.extent, after)
		if cut := j.rewind(); cut != nil {
			err = errors.Join(err, cut)
			if size, unknown := j.f.Seek(0, io.SeekEnd); unknown != nil || size > j.written {
				err = errors.Join(err, errMayStand)
			}
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.written, j.extent = after, max(j.extent, after)
	j.tell(j.pending)
	j.pending = j.pending[:0]
	return nil
}

// rewind cuts off whatever stands behind the last whole record.
func (j *journal) rewind() error {
	err := j.f.Truncate(j.written)
	if err == nil {
		j.extent = j.written
	}
	return err
}

// compact writes what is live, queued records included, to a new file that takes the old one's place.
func (j *journal) compact() (err error) {
	if time.Now().Before(j.retryAt) {
		return errJournalDown
	}
	if j.extent > j.written {
		j.rewind() // an error leaves it as it is
	}
	if err := j.mayCompact(); err != nil {
		return err
	}
	chain, news := j.chain, len(j.news)
	defer func() {
		if err != nil {
			j.chain, j.news = chain, j.news[:news]
		}
		if err != nil { // a full disk should not have all that is live written to it again and again
			j.pending, j.broken, j.retryAt = nil, true, time.Now().Add(compactPause)
		}
	}()
	f, err := j.files.open(j.path()+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return fmt.Errorf("journal: compaction: %w", err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("journal: compaction: %w", err), f.Close(), j.files.remove(f.Name()))
		}
	}()
	w := bufio.NewWriterSize(f, 64<<10)
	size := int64(0)
	put := func(payload []byte) {
		n, _ := w.Write(appendRecord(nil, payload)) // the error stays with w
		size += int64(n)
	}
	putIfRoom := func(payload []byte) { // what serves the next life well, and is not owed
		if j.extent+size+int64(recordHead+len(payload))+fixedRecords <= j.limit {
			put(payload)
		}
	}
	if j.read.boot != "" {
		put(clockRecord(j.read))
	}
	for _, p := range j.live {
		put(j.taken(p))
		for i, s := range p.sends {
			put(attemptRecord(p.seq, j.clock.stamp(s.at), s.zone, s.endpoint))
			switch {
			case s.notRun && s.failed:
				put(outcomeRecord(recNotRun, p.seq, i))
			case s.notRun:
				put(outcomeRecord(recTurnedAway, p.seq, i))
			case s.failed:
				put(outcomeRecord(recFailed, p.seq, i))
			}
			if s.mayBeOver {
				put(repliesRecord(p.seq, i, choice.RepliesOf(choice.ReplyOver)))
			}
		}
		if p.ended != nil {
			put(endedRecord(p.seq, *p.ended))
		}
	}
	for w, o := range j.outages {
		putIfRoom(outageRecord(w, outage{o.health, j.clock.stamp(o.since)}))
	}
	for _, w := range j.running(time.Now()) {
		putIfRoom(waitRecord(w, j.clock.stamp(j.waits[w])))
	}
	if err := j.tellAll(w, f, &size); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := j.files.rename(f.Name(), j.path()); err != nil {
		return err
	}
	old := j.f
	j.f, j.written, j.extent, j.pending, j.broken = f, size, size, nil, false // a large buffer is not kept
	old.Close()                                                               // nothing of the old file is needed any more
	return nil
}

func (j *journal) close() error {
	return errors.Join(j.flush(), j.f.Close(), j.lock.Close())
}
