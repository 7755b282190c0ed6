// Package ledger is what AS2 remembers across lives of a process: the messages that were sent, with what their receipts
// have to say and what has been proven of them, and the messages that came, with the receipts that they were given.
package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"starlingusher/as2"
	"starlingusher/delivery"
	"starlingusher/internal/boltfile"
)

// Sent is a message that was sent, at least once.
type Sent struct {
	as2.Sent
	Partner string       `json:"partner"` // its AS2 name
	Ref     delivery.Ref `json:"ref"`     // of the engine's message
	First   time.Time    `json:"first"`   // when it was first sent
	Last    time.Time    `json:"last"`
	Times   int          `json:"times"`
	Proof   *Proof       `json:"proof,omitempty"`
}

// Proof is what a receipt has proven.
type Proof struct {
	At     time.Time   `json:"at"`
	Proof  as2.Proof   `json:"proof"`
	Why    string      `json:"why"`
	Header []as2.Field `json:"header"` // of the receipt, as it came,
	Body   []byte      `json:"body"`   // and its body: together they can be verified again
}

// Received is a message that was taken from a partner.
type Received struct {
	Partner string      `json:"partner"`
	Engine  string      `json:"engine"` // the engine's id of it
	ID      string      `json:"id"`     // its Message-ID
	At      time.Time   `json:"at"`
	MIC     string      `json:"mic"`
	Header  []as2.Field `json:"header"` // of the receipt that it was given; none if none was asked for
	Body    []byte      `json:"body"`
	PostTo  string      `json:"post_to,omitempty"` // where the receipt is still to be posted
}

// ErrDamaged says that the file can't be read as a ledger.
var ErrDamaged = boltfile.ErrDamaged

var (
	sentBucket     = []byte("sent")     // Message-ID -> Sent
	receivedBucket = []byte("received") // partner, Message-ID -> Received
	engineBucket   = []byte("engine")   // the engine's ids of receivedBucket
	owedBucket     = []byte("owed")     // keys of receivedBucket whose receipts are still to be posted
)

// Ledger is a file. It may be used by many goroutines at a time. Like the journal it is not synced: what a process has
// written outlasts it.
type Ledger struct{ file *boltfile.File }

// Open opens or makes the ledger. A file that is torn is an error that names it.
func Open(path string) (*Ledger, error) {
	f, err := boltfile.Open(path, false, func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{sentBucket, receivedBucket, engineBucket, owedBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("as2: ledger: %w", err)
	}
	return &Ledger{f}, nil
}

// Close gives the file back.
func (l *Ledger) Close() error { return l.file.Close() }

func read[T any](tx *bbolt.Tx, bucket, key []byte) (v T, found bool, err error) {
	text := tx.Bucket(bucket).Get(key)
	if text == nil {
		return v, false, nil
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return v, false, fmt.Errorf("as2: %s %q: %w: %w", bucket, key, ErrDamaged, err)
	}
	return v, true, nil
}

func write(tx *bbolt.Tx, bucket, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put(key, text)
}

// Sending notes that a message is about to be sent, before its first byte, and returns what is known of it. A repeat
// adds its MIC, if that is another one.
func (l *Ledger) Sending(s Sent, now time.Time) (known Sent, err error) {
	err = l.file.Update(func(tx *bbolt.Tx) error {
		before, found, err := read[Sent](tx, sentBucket, []byte(s.ID))
		if err != nil {
			return err
		}
		if !found {
			before = s
			before.MICs, before.First = nil, now
		}
		for _, m := range s.MICs {
			have := false
			for _, b := range before.MICs {
				have = have || (b.Digest == m.Digest && bytes.Equal(b.Sum, m.Sum))
			}
			if !have {
				before.MICs = append(before.MICs, m)
			}
		}
		before.Last, before.Times = now, before.Times+1
		known = before
		return write(tx, sentBucket, []byte(s.ID), before)
	})
	return known, err
}

// Sent returns what is known of a message that was sent.
func (l *Ledger) Sent(id string) (s Sent, found bool, err error) {
	err = l.file.View(func(tx *bbolt.Tx) error {
		s, found, err = read[Sent](tx, sentBucket, []byte(id))
		return err
	})
	return s, found, err
}

// Each hands the messages that were sent on to do until it returns false. do must not use the ledger.
func (l *Ledger) Each(do func(Sent) bool) error {
	return l.file.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(sentBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			var s Sent
			if err := json.Unmarshal(v, &s); err != nil {
				return fmt.Errorf("as2: sent %q: %w", k, ErrDamaged)
			}
			if !do(s) {
				return nil
			}
		}
		return nil
	})
}

// Prove keeps what a receipt has proven of a message. What is kept once stays: a receipt that comes again, or another one,
// changes nothing. It returns what is kept.
func (l *Ledger) Prove(id string, p Proof) (kept Proof, err error) {
	err = l.file.Update(func(tx *bbolt.Tx) error {
		s, found, err := read[Sent](tx, sentBucket, []byte(id))
		switch {
		case err != nil:
			return err
		case !found:
			return fmt.Errorf("as2: message %q was not sent from here", id)
		case s.Proof != nil:
			kept = *s.Proof
			return nil
		}
		s.Proof, kept = &p, p
		return write(tx, sentBucket, []byte(id), s)
	})
	return kept, err
}

func receivedKey(partner, id string) []byte { return []byte(partner + "\x00" + id) }

// Receive keeps a message that was taken, with its receipt. One that is known already keeps the receipt that it has, which
// is returned.
func (l *Ledger) Receive(r Received) (kept Received, err error) {
	err = l.file.Update(func(tx *bbolt.Tx) error {
		key := receivedKey(r.Partner, r.ID)
		before, found, err := read[Received](tx, receivedBucket, key)
		if err != nil {
			return err
		}
		if found {
			kept = before
			return nil
		}
		kept = r
		if r.PostTo != "" {
			if err := tx.Bucket(owedBucket).Put(key, nil); err != nil {
				return err
			}
		}
		return errors.Join(tx.Bucket(engineBucket).Put([]byte(r.Engine), key), write(tx, receivedBucket, key, r))
	})
	return kept, err
}

// Known tells whether a message that was taken is kept, by the engine's id of it.
func (l *Ledger) Known(engine string) (known bool, err error) {
	err = l.file.View(func(tx *bbolt.Tx) error {
		known = tx.Bucket(engineBucket).Get([]byte(engine)) != nil
		return nil
	})
	return known, err
}

// Received returns a message that was taken.
func (l *Ledger) Received(partner, id string) (r Received, found bool, err error) {
	err = l.file.View(func(tx *bbolt.Tx) error {
		r, found, err = read[Received](tx, receivedBucket, receivedKey(partner, id))
		return err
	})
	return r, found, err
}

// Owed returns the messages whose receipts are still to be posted, so many at most.
func (l *Ledger) Owed(most int) (all []Received, err error) {
	err = l.file.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(owedBucket).Cursor()
		for k, _ := c.First(); k != nil && len(all) < most; k, _ = c.Next() {
			r, found, err := read[Received](tx, receivedBucket, k)
			if err != nil {
				return err
			}
			if found {
				all = append(all, r)
			}
		}
		return nil
	})
	return all, err
}

// Owe has a message's receipt posted, again where it was before.
func (l *Ledger) Owe(partner, id string) error {
	return l.file.Update(func(tx *bbolt.Tx) error { return tx.Bucket(owedBucket).Put(receivedKey(partner, id), nil) })
}

// Posted says that a receipt has been taken by its partner.
func (l *Ledger) Posted(partner, id string) error {
	return l.file.Update(func(tx *bbolt.Tx) error { return tx.Bucket(owedBucket).Delete(receivedKey(partner, id)) })
}

// Forget drops what was sent or taken before a time and is not owed any more, and returns how much that was. A message
// that comes again after that has a second effect, so the time is longer than any partner repeats.
func (l *Ledger) Forget(before time.Time) (gone int, err error) {
	err = l.file.Update(func(tx *bbolt.Tx) error {
		var old [][2][]byte
		sent := tx.Bucket(sentBucket).Cursor()
		for k, v := sent.First(); k != nil; k, v = sent.Next() {
			var s Sent
			if err := json.Unmarshal(v, &s); err != nil {
				return fmt.Errorf("as2: sent %q: %w", k, ErrDamaged)
			}
			if s.Last.Before(before) {
				old = append(old, [2][]byte{sentBucket, bytes.Clone(k)})
			}
		}
		received := tx.Bucket(receivedBucket).Cursor()
		for k, v := received.First(); k != nil; k, v = received.Next() {
			var r Received
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("as2: received %q: %w", k, ErrDamaged)
			}
			owed, _ := tx.Bucket(owedBucket).Cursor().Seek(k)
			if r.At.Before(before) && !bytes.Equal(owed, k) {
				old = append(old, [2][]byte{receivedBucket, bytes.Clone(k)}, [2][]byte{engineBucket, []byte(r.Engine)})
			}
		}
		for _, o := range old {
			if err := tx.Bucket(o[0]).Delete(o[1]); err != nil {
				return err
			}
		}
		gone = len(old)
		return nil
	})
	return gone, err
}
