// Package undelivered keeps the messages that ended undelivered, with all that is known of them, until a rule or a
// person has dealt with each. What rules may do stands in package rules; nothing here sends anything.
package undelivered

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"starlingusher/internal/boltfile"
	"starlingusher/undelivered/rules"
)

// State is what has become of an entry.
type State string

// The states of an entry. The first two are open, the others closed.
const (
	Waiting   State = "waiting"   // for a rule or a person
	Out       State = "out"       // a resend is under way
	Delivered State = "delivered" // by a resend, or by an answer that came late
	Applied   State = "applied"   // a person has found that the partner had done it
	Abandoned State = "abandoned" // a person has given it up
)

func (s State) open() bool { return s == Waiting || s == Out }

// Ref names a message across lives of the process: ids may come again, with another deadline.
type Ref struct {
	Front    string
	ID       string
	Deadline time.Time // of its first life; to the microsecond
}

func (r Ref) key() []byte {
	return binary.BigEndian.AppendUint64([]byte(r.Front+"\x00"+r.ID+"\x00"), uint64(r.Deadline.UnixMicro()))
}

// Entry is one undelivered message. Its body is kept apart: see Store.Body.
type Entry struct {
	Number   uint64          `json:"number"`
	Front    string          `json:"front,omitempty"`
	ID       string          `json:"id"`
	Key      string          `json:"key,omitempty"`
	Class    string          `json:"class"`
	Tenant   int             `json:"tenant,omitempty"` // its number in the settings, from 1; 0 for none
	Dest     int             `json:"destination"`
	Deadline time.Time       `json:"deadline"`
	Reason   rules.Reason    `json:"reason"`
	First    time.Time       `json:"first_ended"` // the end of its first life,
	Ended    time.Time       `json:"ended"`       // and of its last one
	Wait     time.Time       `json:"wait,omitzero"`
	Attempts []rules.Attempt `json:"attempts,omitempty"`
	Resends  int             `json:"resends,omitempty"`
	State    State           `json:"state"`
	Began    time.Time       `json:"began,omitzero"`    // Out: when the resend began
	Granted  bool            `json:"granted,omitempty"` // a person has decided that it is sent again
	Size     int             `json:"size"`              // of the body, in bytes
}

// Ref is the entry's message.
func (e *Entry) Ref() Ref { return Ref{e.Front, e.ID, e.Deadline} }

// Options are a store's.
type Options struct {
	// MaxBytes is what the file may hold.
	MaxBytes int64
	// Classes are those of the node, by name: what may be evicted depends on them.
	Classes []rules.Class
	// Now is the clock.
	Now func() time.Time
	// ReadOnly opens the file for reading beside others that do so.
	ReadOnly bool
}

// Errors of a store.
var (
	ErrInUse   = boltfile.ErrInUse
	ErrNewer   = errors.New("the store was written by a newer version")
	ErrUnknown = errors.New("no such entry")
	ErrMoved   = errors.New("the entry is not waiting any more")
	// ErrFull says that the budget is used up by entries that wait for a person, none of which is ever evicted.
	ErrFull = errors.New("the store is full of entries that wait for a person")
	// ErrDamaged says that the file can't be read as a store, or not to its end.
	ErrDamaged = boltfile.ErrDamaged
)

const (
	version = 1
	// The file holds pages that are half full, and two trees while one is written: of MaxBytes so much is for entries.
	share = 0.45
	// perEntry is what an entry takes beside its own bytes: its keys, and its page's share.
	perEntry     = 64
	expireAtOnce = 1000
	maxAudit     = 10_000 // lines of the audit trail; the oldest go
)

var (
	metaBucket    = []byte("meta")    // version, used
	entriesBucket = []byte("entries") // number -> entry
	bodiesBucket  = []byte("bodies")  // number -> body
	refsBucket    = []byte("refs")    // message -> number
	auditBucket   = []byte("audit")   // number -> record
	versionKey    = []byte("version")
	usedKey       = []byte("used")
)

// Store is a file of entries. It may be used by many goroutines at a time.
type Store struct {
	file *boltfile.File
	o    Options
}

// Open opens or makes the store. A file that is torn or of another make is an error that names it, and is left as it
// is. Like the journal it is not synced: what a process has written outlasts it, and a power cut may cost it.
func Open(path string, o Options) (*Store, error) {
	look := prepare
	if o.ReadOnly {
		look = known
	}
	f, err := boltfile.Open(path, o.ReadOnly, look)
	if err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	return &Store{f, o}, nil
}

// known tells whether a file that is not new is one of ours.
func known(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return errors.New("it is no store of undelivered messages")
	}
	switch v := number(meta.Get(versionKey)); {
	case v > version:
		return fmt.Errorf("%w (%d; this one knows %d)", ErrNewer, v, version)
	case v == 0:
		return errors.New("it has no version, and so is no store")
	}
	return nil
}

func prepare(tx *bbolt.Tx) error {
	if tx.Bucket(metaBucket) != nil {
		if err := known(tx); err != nil {
			return err
		}
	}
	for _, name := range [][]byte{metaBucket, entriesBucket, bodiesBucket, refsBucket, auditBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(versionKey, encode(version))
}

// Close gives the file back.
func (s *Store) Close() error { return s.file.Close() }

func encode(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func number(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// decode reads an entry; whatever stands there, it returns an entry or an error.
func decode(text []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(text, &e); err != nil {
		return Entry{}, fmt.Errorf("undelivered: an entry can't be read: %w", err)
	}
	switch e.State {
	case Waiting, Out, Delivered, Applied, Abandoned:
		return e, nil
	}
	return Entry{}, fmt.Errorf("undelivered: entry %d has the unknown state %q", e.Number, e.State)
}

func cost(text []byte, body int) uint64 { return uint64(len(text) + body + perEntry) }

// Keep takes entries, all or none, with their bodies. One whose message has an entry already takes its place under the
// same number: the end of a resend, or an end that is written again after a kill. Where there is no room the oldest go
// that are closed, and then the oldest that no person has to decide on; ErrFull says that none are left.
func (s *Store) Keep(entries []Entry, bodies [][]byte) error {
	return s.update(func(tx *bbolt.Tx) error {
		for i := range entries {
			if err := s.keep(tx, entries[i], bodies[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Store) update(do func(*bbolt.Tx) error) error {
	if err := s.file.Update(do); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

func (s *Store) keep(tx *bbolt.Tx, e Entry, body []byte) error {
	replaced := false
	e.First = e.Ended
	refs, all, bodies := tx.Bucket(refsBucket), tx.Bucket(entriesBucket), tx.Bucket(bodiesBucket)
	e.Size = len(body)
	if old := refs.Get(e.Ref().key()); old != nil {
		e.Number = number(old)
		before, err := decode(all.Get(old))
		if err != nil {
			return err
		}
		if !before.State.open() {
			return nil // decided meanwhile; an end that is written again changes nothing
		}
		e.First = before.First
		if before.State == Out || before.Resends > 0 {
			e.Resends = before.Resends
			e.Attempts = join(before.Attempts, e.Attempts)
			if before.State == Out && len(e.Attempts) == len(before.Attempts) {
				e.Resends-- // it was not sent at all
			}
		}
		if err := s.remove(tx, before); err != nil {
			return err
		}
		replaced = true
	} else {
		n, err := all.NextSequence()
		if err != nil {
			return err
		}
		e.Number = n
	}
	e.State, e.Granted, e.Began = Waiting, false, time.Time{}
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	// What is known of an entry must not be lost for want of room: it is over the budget by some attempts then.
	if err := s.room(tx, cost(text, len(body))); err != nil && !(replaced && errors.Is(err, ErrFull)) {
		return err
	}
	if err := errors.Join(refs.Put(e.Ref().key(), encode(e.Number)), all.Put(encode(e.Number), text),
		bodies.Put(encode(e.Number), body)); err != nil {
		return err
	}
	return s.use(tx, int64(cost(text, len(body))))
}

// join adds the attempts of a later life to those of the ones before, which it may hold as well.
func join(before, after []rules.Attempt) []rules.Attempt {
	all := append([]rules.Attempt(nil), before...)
	for _, a := range after {
		known := false
		for _, b := range before {
			known = known || (a.At.Equal(b.At) && a.Endpoint == b.Endpoint)
		}
		if !known {
			all = append(all, a)
		}
	}
	return all
}

func (s *Store) use(tx *bbolt.Tx, n int64) error {
	meta := tx.Bucket(metaBucket)
	return meta.Put(usedKey, encode(uint64(max(int64(number(meta.Get(usedKey)))+n, 0))))
}

// remove takes an entry out of all buckets.
func (s *Store) remove(tx *bbolt.Tx, e Entry) error {
	key := encode(e.Number)
	text := tx.Bucket(entriesBucket).Get(key)
	size := cost(text, e.Size)
	if err := errors.Join(tx.Bucket(refsBucket).Delete(e.Ref().key()), tx.Bucket(bodiesBucket).Delete(key),
		tx.Bucket(entriesBucket).Delete(key)); err != nil {
		return err
	}
	return s.use(tx, -int64(size))
}

// room evicts what may go until so many more bytes fit.
func (s *Store) room(tx *bbolt.Tx, need uint64) error {
	limit := uint64(float64(s.o.MaxBytes) * share)
	meta := tx.Bucket(metaBucket)
	if number(meta.Get(usedKey))+need <= limit {
		return nil
	}
	// A little more than needed, so that not every entry has to look for room.
	target := limit - min(limit, max(need, limit/16))
	for _, mayGo := range []func(*Entry) bool{
		func(e *Entry) bool { return !e.State.open() },
		func(e *Entry) bool { return e.State == Waiting && s.free(e) },
	} {
		var gone []Entry
		freed := uint64(0)
		used := number(meta.Get(usedKey))
		c := tx.Bucket(entriesBucket).Cursor()
		for k, v := c.First(); k != nil && used-min(used, freed) > target; k, v = c.Next() {
			e, err := decode(v)
			if err != nil {
				return err
			}
			if mayGo(&e) {
				gone = append(gone, e)
				freed += cost(v, e.Size)
			}
		}
		for _, e := range gone {
			if err := s.remove(tx, e); err != nil {
				return err
			}
		}
		if number(meta.Get(usedKey))+need <= limit {
			return nil
		}
	}
	return ErrFull
}

// free tells that no person has to decide on an entry.
func (s *Store) free(e *Entry) bool {
	if e.Granted {
		return false // a person's decision is not lost before it is carried out
	}
	r, ok := s.Rule(e)
	if !ok {
		return false
	}
	standing, _, _ := rules.Stand(&r, s.o.Now())
	return standing == rules.Free
}

// Rule is an entry as the rules see it; false if its class is not known any more.
func (s *Store) Rule(e *Entry) (rules.Entry, bool) {
	r := rules.Entry{
		Number: e.Number, Key: e.Key, Dest: e.Dest, Granted: e.Granted, Reason: e.Reason, First: e.First, Ended: e.Ended, Attempts: e.Attempts, Resends: e.Resends,
		Wait: e.Wait, Out: e.State == Out, Decided: !e.State.open(),
	}
	for _, c := range s.o.Classes {
		if c.Name == e.Class {
			r.Class = c
			return r, true
		}
	}
	return r, false
}

// Get returns an entry.
func (s *Store) Get(n uint64) (e Entry, err error) {
	err = s.file.View(func(tx *bbolt.Tx) error {
		e, err = get(tx, n)
		return err
	})
	return e, err
}

func get(tx *bbolt.Tx, n uint64) (Entry, error) {
	text := tx.Bucket(entriesBucket).Get(encode(n))
	if text == nil {
		return Entry{}, fmt.Errorf("undelivered: %d: %w", n, ErrUnknown)
	}
	return decode(text)
}

// Find returns the entry of a message.
func (s *Store) Find(r Ref) (e Entry, err error) {
	err = s.file.View(func(tx *bbolt.Tx) error {
		n := tx.Bucket(refsBucket).Get(r.key())
		if n == nil {
			return fmt.Errorf("undelivered: %s: %w", r.ID, ErrUnknown)
		}
		e, err = get(tx, number(n))
		return err
	})
	return e, err
}

// Body returns an entry's body. It may hold personal data.
func (s *Store) Body(n uint64) (body []byte, err error) {
	err = s.file.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bodiesBucket).Get(encode(n))
		if b == nil {
			return fmt.Errorf("undelivered: %d: %w", n, ErrUnknown)
		}
		body = append([]byte{}, b...)
		return nil
	})
	return body, err
}

// Each hands the entries from a number on to do, in their order, until it returns false. Only one is held at a time. do
// must not use the store.
func (s *Store) Each(from uint64, do func(Entry) bool) error {
	return s.Scan(from, func([]byte) bool { return true }, do)
}

// Scan is Each of the entries whose JSON text wanted lets through, which costs less than reading them.
func (s *Store) Scan(from uint64, wanted func(text []byte) bool, do func(Entry) bool) error {
	return s.file.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(entriesBucket).Cursor()
		for k, v := c.Seek(encode(from)); k != nil; k, v = c.Next() {
			if !wanted(v) {
				continue
			}
			e, err := decode(v)
			if err != nil {
				return err
			}
			if !do(e) {
				return nil
			}
		}
		return nil
	})
}

// Action is what a person decides.
type Action string

// The actions.
const (
	Resend  Action = "resend"  // send it again, whatever it may have done
	Apply   Action = "applied" // the partner has done it
	Abandon Action = "abandon" // it is given up
)

// Record is one line of the audit trail.
type Record struct {
	At     time.Time `json:"at"`
	Entry  uint64    `json:"entry"`
	ID     string    `json:"id"`
	Action Action    `json:"action"`
	Name   string    `json:"name"`
	Why    string    `json:"why"`
}

// Decide takes a person's decision on an entry that waits, and writes it to the audit trail in one with what it
// changes. Whoever comes second, be it a rule's resend or another person, gets ErrMoved. A decision to resend leaves the
// entry waiting, with Granted set, until Begin.
func (s *Store) Decide(n uint64, a Action, name, why string) error {
	if strings.TrimSpace(name) == "" || strings.TrimSpace(why) == "" {
		return errors.New("undelivered: a decision needs a name and a reason")
	}
	to, ok := map[Action]State{Resend: Waiting, Apply: Applied, Abandon: Abandoned}[a]
	if !ok {
		return fmt.Errorf("undelivered: unknown action %q", a)
	}
	return s.update(func(tx *bbolt.Tx) error {
		e, err := get(tx, n)
		switch {
		case err != nil:
			return err
		case e.State != Waiting:
			return fmt.Errorf("%d is %s: %w", n, e.State, ErrMoved)
		case e.Granted && a == Resend:
			return fmt.Errorf("%d is to be sent again already: %w", n, ErrMoved)
		}
		e.State, e.Granted = to, a == Resend
		if err := s.put(tx, e); err != nil {
			return err
		}
		audit := tx.Bucket(auditBucket)
		line, err := audit.NextSequence()
		if err != nil {
			return err
		}
		text, err := json.Marshal(Record{s.o.Now(), n, e.ID, a, name, why})
		if err != nil {
			return err
		}
		if line > maxAudit {
			if err := audit.Delete(encode(line - maxAudit)); err != nil {
				return err
			}
		}
		return audit.Put(encode(line), text)
	})
}

// Begin marks that a resend of an entry is under way, and returns it as it then is, or ErrMoved. granted says whose
// resend it is: a rule's does not begin where a person has decided meanwhile.
func (s *Store) Begin(n uint64, granted bool) (e Entry, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		e, err = get(tx, n)
		switch {
		case err != nil:
			return err
		case e.State != Waiting:
			return fmt.Errorf("%d is %s: %w", n, e.State, ErrMoved)
		case e.Granted != granted:
			return fmt.Errorf("%d has been decided on: %w", n, ErrMoved)
		}
		e.State, e.Resends, e.Began = Out, e.Resends+1, s.o.Now()
		return s.put(tx, e)
	})
	return e, err
}

// Reconcile brings the store in line with the messages that the engine owes an end, at its start. A message that still
// lives its first life has its entry written again when that ends, and none until then. A resend that the engine
// does not know may never have begun, or its end could not be written: it counts as one that may have run. A mark of a
// resend that is missing is made. It returns how many entries it has changed.
func (s *Store) Reconcile(first, again []Ref) (changed int, err error) {
	lives := map[string]bool{}
	for _, r := range again {
		lives[string(r.key())] = true
	}
	err = s.update(func(tx *bbolt.Tx) error {
		refs := tx.Bucket(refsBucket)
		for _, r := range first {
			if n := refs.Get(r.key()); n != nil {
				e, err := get(tx, number(n))
				if err != nil {
					return err
				}
				if !e.State.open() {
					continue
				}
				if err := s.remove(tx, e); err != nil {
					return err
				}
				changed++
			}
		}
		var differ []Entry
		c := tx.Bucket(entriesBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if !bytes.Contains(v, openMark) && !bytes.Contains(v, outMark) {
				continue
			}
			e, err := decode(v)
			if err != nil {
				return err
			}
			switch live := lives[string(e.Ref().key())]; {
			case e.State == Out && !live:
				e.State = Waiting
				e.Attempts = append(e.Attempts, rules.Attempt{At: e.Began, Err: "its process ended, and how it ended is not known"})
				e.Reason, e.Ended, e.Began, e.Granted = rules.Interrupted, s.o.Now(), time.Time{}, false
			case e.State == Waiting && live:
				e.State, e.Began = Out, s.o.Now()
			default:
				continue
			}
			differ = append(differ, e)
		}
		for _, e := range differ {
			if err := s.put(tx, e); err != nil {
				return err
			}
		}
		changed += len(differ)
		return nil
	})
	return changed, err
}

// What the text of an entry in one of the open states holds.
var (
	openMark = []byte(`"state":"waiting"`)
	outMark  = []byte(`"state":"out"`)
)

// Expire evicts what ended before a time and no person has to decide on, or is closed, and returns how many that were.
func (s *Store) Expire(before time.Time) (gone int, err error) {
	var old []Entry
	if err := s.Each(0, func(e Entry) bool {
		if e.Ended.Before(before) && (!e.State.open() || (e.State == Waiting && s.free(&e))) {
			old = append(old, e)
		}
		return len(old) < expireAtOnce
	}); err != nil {
		return 0, err
	}
	if len(old) == 0 {
		return 0, nil
	}
	err = s.update(func(tx *bbolt.Tx) error {
		for _, o := range old {
			e, err := get(tx, o.Number)
			if errors.Is(err, ErrUnknown) {
				continue
			}
			if err != nil {
				return err
			}
			if e.State != o.State || !e.Ended.Equal(o.Ended) {
				continue // somebody was faster
			}
			if err := s.remove(tx, e); err != nil {
				return err
			}
			gone++
		}
		return nil
	})
	return gone, err
}

// Back takes a resend back that was marked and is known not to have begun.
func (s *Store) Back(n uint64) error {
	return s.update(func(tx *bbolt.Tx) error {
		e, err := get(tx, n)
		if err != nil {
			return err
		}
		if e.State != Out {
			return fmt.Errorf("%d is %s: %w", n, e.State, ErrMoved)
		}
		e.State, e.Resends, e.Began = Waiting, e.Resends-1, time.Time{}
		return s.put(tx, e)
	})
}

// Deliver closes the messages' entries as delivered, wherever they stand: by a resend, or by an answer that came late.
// A message without an entry is no error.
func (s *Store) Deliver(refs ...Ref) error {
	return s.update(func(tx *bbolt.Tx) error {
		for _, r := range refs {
			n := tx.Bucket(refsBucket).Get(r.key())
			if n == nil {
				continue
			}
			e, err := get(tx, number(n))
			if err != nil {
				return err
			}
			e.State, e.Granted, e.Began = Delivered, false, time.Time{}
			if err := s.put(tx, e); err != nil {
				return err
			}
		}
		return nil
	})
}

// put writes an entry that is there already.
func (s *Store) put(tx *bbolt.Tx, e Entry) error {
	all := tx.Bucket(entriesBucket)
	key := encode(e.Number)
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	before := len(all.Get(key))
	if err := all.Put(key, text); err != nil {
		return err
	}
	return s.use(tx, int64(len(text)-before))
}

// Audit hands the audit trail on, oldest first, until do returns false. do must not use the store.
func (s *Store) Audit(do func(Record) bool) error {
	return s.file.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(auditBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			var r Record
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("undelivered: audit line %d can't be read: %w", number(k), err)
			}
			if !do(r) {
				return nil
			}
		}
		return nil
	})
}

// Size is what the file takes on disk now.
func (s *Store) Size() (int64, error) {
	info, err := os.Stat(s.file.Path())
	if err != nil {
		return 0, fmt.Errorf("undelivered: %w", err)
	}
	return info.Size(), nil
}
