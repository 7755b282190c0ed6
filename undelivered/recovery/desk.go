package recovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"starlingusher/undelivered"
	"starlingusher/undelivered/rules"
)

// Who an entry waits for.
const (
	ForRule   = "rule"
	ForPerson = "person"
)

// Row is an entry with what the rules say of it now.
type Row struct {
	undelivered.Entry
	Waits string    `json:"waits,omitempty"` // ForRule, ForPerson, or empty for one that does not wait
	Why   string    `json:"why,omitempty"`
	Next  time.Time `json:"next,omitzero"` // when a rule may send it, if that is known
}

// Filter picks entries. An empty field picks all.
type Filter struct {
	Classes []string            `json:"classes,omitempty"`
	Dests   []int               `json:"destinations,omitempty"`
	Reasons []rules.Reason      `json:"reasons,omitempty"`
	States  []undelivered.State `json:"states,omitempty"`
	Waits   string              `json:"waits,omitempty"`
	From    time.Time           `json:"from,omitzero"` // ended then or later,
	To      time.Time           `json:"to,omitzero"`   // and before that
	After   uint64              `json:"after,omitempty"`
	Limit   int                 `json:"limit,omitempty"`
}

func (f *Filter) takes(r *Row) bool {
	return (len(f.Classes) == 0 || slices.Contains(f.Classes, r.Class)) &&
		(len(f.Dests) == 0 || slices.Contains(f.Dests, r.Dest)) &&
		(len(f.Reasons) == 0 || slices.Contains(f.Reasons, r.Reason)) &&
		(len(f.States) == 0 || slices.Contains(f.States, r.State)) &&
		(f.Waits == "" || f.Waits == r.Waits) &&
		(f.From.IsZero() || !r.Ended.Before(f.From)) && (f.To.IsZero() || r.Ended.Before(f.To))
}

// marks are texts that each entry holds which the filter takes; looking for them costs less than reading the entry.
func (f *Filter) marks() (marks [][]byte) {
	mark := func(field string, value any) {
		text, err := json.Marshal(value)
		if err == nil {
			marks = append(marks, append([]byte(`"`+field+`":`), text...))
		}
	}
	if len(f.Classes) == 1 {
		mark("class", f.Classes[0])
	}
	if len(f.Dests) == 1 {
		mark("destination", f.Dests[0])
	}
	if len(f.Reasons) == 1 {
		mark("reason", f.Reasons[0])
	}
	if len(f.States) == 1 {
		mark("state", f.States[0])
	}
	return marks
}

// Count is one line of Stats.
type Count struct {
	Class  string            `json:"class"`
	State  undelivered.State `json:"state"`
	Waits  string            `json:"waits,omitempty"`
	Count  int               `json:"count"`
	Oldest time.Time         `json:"oldest"` // end
	Bytes  int64             `json:"body_bytes"`
}

// Stats are a store's.
type Stats struct {
	Counts    []Count `json:"counts"`
	FileBytes int64   `json:"file_bytes"`
	MaxBytes  int64   `json:"max_bytes,omitempty"`
}

// Access is what a person has of the undelivered messages: in the process or on a folder by a Desk, over the socket by
// a Client.
type Access interface {
	// List hands on the entries that the filter takes, oldest first, until do returns an error.
	List(ctx context.Context, f Filter, do func(Row) error) error
	// Show returns an entry and its lines of the audit trail.
	Show(ctx context.Context, n uint64) (Row, []undelivered.Record, error)
	// Body returns an entry's body. It may hold personal data.
	Body(ctx context.Context, n uint64) ([]byte, error)
	// Decide takes a person's decision; see undelivered.Store.
	Decide(ctx context.Context, n uint64, a undelivered.Action, name, why string) error
	// Stats counts.
	Stats(ctx context.Context) (Stats, error)
	// Audit hands on the audit trail, oldest first, until do returns an error.
	Audit(ctx context.Context, do func(undelivered.Record) error) error
	// Close ends the access.
	Close() error
}

// Desk is the Access to a store that is open in this process.
type Desk struct {
	o       Options
	store   *undelivered.Store
	rules   func() *rules.Set // nil sets say nothing of resends
	changed func()
}

// OpenFolder opens the store of a node that does not run. Without rules in the options nothing is said of what they
// would do.
func OpenFolder(o Options) (*Desk, error) {
	o.complete()
	var set *rules.Set
	if o.Rules != "" {
		var err error
		if set, err = o.load(); err != nil {
			return nil, err
		}
	}
	store, err := openStore(&o, set, false)
	if err != nil {
		return nil, err
	}
	return &Desk{o: o, store: store, rules: func() *rules.Set { return set }, changed: func() {}}, nil
}

// Close gives a folder's store back.
func (d *Desk) Close() error { return d.store.Close() }

func (d *Desk) row(e undelivered.Entry, set *rules.Set, now time.Time) Row {
	row := Row{Entry: e}
	if e.State != undelivered.Waiting {
		return row
	}
	r, known := d.store.Rule(&e)
	row.Waits = ForPerson
	switch {
	case !known:
		row.Why = "its class is not known here"
		return row
	case set == nil:
		standing, _, why := rules.Stand(&r, now)
		if row.Why = why; standing == rules.Free || e.Granted {
			row.Waits = ForRule
		}
		return row
	}
	v := set.Judge(&r, time.Time{}, now)
	row.Why, row.Next = v.Why, v.At
	if !v.Person {
		row.Waits = ForRule
	}
	return row
}

// listBatch is how many entries are read at a time: a slow reader must not keep the store from using its pages again.
const listBatch = 256

// List is Access's.
func (d *Desk) List(ctx context.Context, f Filter, do func(Row) error) error {
	set, marks, from, given := d.rules(), f.marks(), f.After+1, 0
	batch := make([]Row, 0, listBatch)
	for {
		batch = batch[:0]
		now, done := d.o.Now(), true
		if err := d.store.Scan(from, func(text []byte) bool {
			for _, m := range marks {
				if !bytes.Contains(text, m) {
					return false
				}
			}
			return true
		}, func(e undelivered.Entry) bool {
			from = e.Number + 1
			if row := d.row(e, set, now); f.takes(&row) {
				batch = append(batch, row)
			}
			done = len(batch) < listBatch
			return done
		}); err != nil {
			return err
		}
		for _, row := range batch {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := do(row); err != nil {
				return err
			}
			if given++; f.Limit > 0 && given >= f.Limit {
				return nil
			}
		}
		if done {
			return nil
		}
	}
}

// Show is Access's.
func (d *Desk) Show(_ context.Context, n uint64) (Row, []undelivered.Record, error) {
	e, err := d.store.Get(n)
	if err != nil {
		return Row{}, nil, err
	}
	var lines []undelivered.Record
	if err := d.store.Audit(func(r undelivered.Record) bool {
		if r.Entry == n {
			lines = append(lines, r)
		}
		return true
	}); err != nil {
		return Row{}, nil, err
	}
	return d.row(e, d.rules(), d.o.Now()), lines, nil
}

// Body is Access's.
func (d *Desk) Body(_ context.Context, n uint64) ([]byte, error) { return d.store.Body(n) }

// Decide is Access's.
func (d *Desk) Decide(_ context.Context, n uint64, a undelivered.Action, name, why string) error {
	if err := d.store.Decide(n, a, name, why); err != nil {
		return err
	}
	d.changed()
	return nil
}

// Stats is Access's.
func (d *Desk) Stats(ctx context.Context) (Stats, error) {
	var s Stats
	if set := d.rules(); set != nil {
		s.MaxBytes = set.MaxBytes
	}
	var err error
	if s.FileBytes, err = d.store.Size(); err != nil {
		return s, err
	}
	type kind struct {
		class string
		state undelivered.State
		waits string
	}
	at := map[kind]int{}
	err = d.List(ctx, Filter{}, func(r Row) error {
		k := kind{r.Class, r.State, r.Waits}
		i, ok := at[k]
		if !ok {
			i = len(s.Counts)
			at[k] = i
			s.Counts = append(s.Counts, Count{Class: r.Class, State: r.State, Waits: r.Waits, Oldest: r.Ended})
		}
		c := &s.Counts[i]
		c.Count++
		c.Bytes += int64(r.Size)
		if r.Ended.Before(c.Oldest) {
			c.Oldest = r.Ended
		}
		return nil
	})
	return s, err
}

// Audit is Access's.
func (d *Desk) Audit(_ context.Context, do func(undelivered.Record) error) (err error) {
	var all []undelivered.Record // at most some thousand short lines
	if err := d.store.Audit(func(r undelivered.Record) bool { all = append(all, r); return true }); err != nil {
		return err
	}
	for _, r := range all {
		if err := do(r); err != nil {
			return err
		}
	}
	return nil
}

// kinds are the errors that go over the socket by name.
var kinds = map[string]error{
	"unknown": undelivered.ErrUnknown, "moved": undelivered.ErrMoved, "damaged": undelivered.ErrDamaged, "full": undelivered.ErrFull,
}

func kindOf(err error) string {
	for name, kind := range kinds {
		if errors.Is(err, kind) {
			return name
		}
	}
	return ""
}

// told is an error that came over the socket.
type told struct {
	text string
	kind error
}

func (t told) Error() string { return t.text }
func (t told) Unwrap() error { return t.kind }
