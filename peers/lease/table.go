package lease

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/klauspost/compress/zstd"
)

// Owner is a life of a node.
type Owner struct {
	Name string `json:"name"`
	Life uint64 `json:"life"`
}

// Lease is a name that somebody holds.
type Lease struct {
	Name  string `json:"name"`
	Owner Owner  `json:"owner"`
	// Token is larger than that of every lease that was granted before, of any name.
	Token uint64 `json:"token"`
	// Renewals counts how often it was taken again by its owner. An end by time names the count that it is based on.
	Renewals uint64 `json:"renewals"`
	// Note is what its holder, or the one before, had the voters write down with it.
	Note string `json:"note,omitempty"`
	// Serial is that of the last note under this token.
	Serial uint64 `json:"serial,omitempty"`
}

// Do is what a command does to the table.
type Do uint8

// The commands. All are in the log of the voters, in one order.
const (
	Take    Do = iota + 1 // grants a name that is free to the first in line, renews it for its owner, or puts the asker in line
	Release               // ends the lease of a token, by its owner
	Expire                // ends the lease of a token and count of renewals, whose time has run at a voter
	Force                 // ends whatever lease of the name there is, by an operator
	Read                  // changes nothing, and tells who holds the name
	Quit                  // takes the asker out of the line
	Raise                 // has all further tokens be above one that somebody remembers
	Note                  // writes Reason down with the lease of a token, by its owner; it outlasts the lease
)

// Command is an entry of the log. Asker, AskerLife, Ask and Via name the question that it came by and the voter that answers it.
type Command struct {
	Do       Do     `json:"do"`
	Name     string `json:"name"`
	Owner    Owner  `json:"owner,omitzero"`
	Token    uint64 `json:"token,omitempty"`
	Renewals uint64 `json:"renewals,omitempty"`
	Reason   string `json:"reason,omitempty"` // Force, Note
	// Serial orders the notes under one token: one that comes after a later one is refused, since requests may overtake each other.
	// With 0 a note takes the place of any.
	Serial uint64 `json:"serial,omitempty"`
	// Above is the largest token that the asker knows of. What is granted is larger: a group that was founded anew, because a majority
	// of its folders was lost, goes on above all that anybody remembers.
	Above uint64 `json:"above,omitempty"`
	Asker string `json:"asker,omitempty"`
	// AskerLife is the process that asked. Each process numbers its questions from the beginning.
	AskerLife uint64 `json:"asker_life,omitempty"`
	Ask       uint64 `json:"ask,omitempty"`
	Via       uint64 `json:"via,omitempty"`
}

// Result is what became of a command.
type Result struct {
	Done  bool  `json:"done"`
	Lease Lease `json:"lease"`           // as it is then; of a name that is free only the name
	Place int   `json:"place,omitempty"` // of the asker in the line, from 1; 0 for none
}

// Bounds of the table.
const (
	MostNames = 2048 // that are held at a time; a name beyond them is refused
	mostLine  = 4    // that wait for one name; others come again
	maxName   = 128  // bytes of a name,
	maxNote   = 96   // and of a note; the notes of names that are free are kept as well
	mostNotes = 2048
	patience  = 2 // a waiter that asked so often since the name is free goes before those who did not ask at all
)

// waiter is an owner in line, with how often it has asked since the name is free.
type waiter struct {
	Owner Owner `json:"owner"`
	Asks  int   `json:"asks,omitempty"`
}

// table is what the log makes of it: the same at all voters after the same entries. It has no clock.
type table struct {
	Leases map[string]Lease    `json:"leases"`
	Lines  map[string][]waiter `json:"lines,omitempty"`
	Notes  map[string]string   `json:"notes,omitempty"`
	Last   uint64              `json:"last"`             // token that was granted
	Voters map[uint64]string   `json:"voters,omitempty"` // names of those in the configuration
}

func newTable() *table {
	return &table{Leases: map[string]Lease{}, Lines: map[string][]waiter{}, Notes: map[string]string{}, Voters: map[uint64]string{}}
}

func (t *table) apply(c Command) Result {
	l, held := t.Leases[c.Name]
	l.Name = c.Name
	switch done := false; c.Do {
	case Take:
		if c.Name == "" || len(c.Name) > maxName || c.Owner.Name == "" {
			return Result{Lease: l}
		}
		return t.take(c, l, held)
	case Release:
		done = held && l.Token == c.Token && l.Owner == c.Owner
		t.leave(c.Name, c.Owner)
		return t.ended(l, done)
	case Expire:
		done = held && l.Token == c.Token && l.Renewals == c.Renewals
		return t.ended(l, done)
	case Force:
		return t.ended(l, held)
	case Quit:
		t.leave(c.Name, c.Owner)
		return Result{Done: true, Lease: l}
	case Read:
		return Result{Done: true, Lease: l}
	case Note:
		return t.note(c, l, held)
	case Raise:
		t.Last = max(t.Last, c.Above)
		return Result{Done: true, Lease: l}
	}
	return Result{Lease: l}
}

// ended takes the lease away if it is done with. Who waits is counted from here on.
func (t *table) ended(l Lease, done bool) Result {
	if !done {
		return Result{Lease: l}
	}
	delete(t.Leases, l.Name)
	for i := range t.Lines[l.Name] {
		t.Lines[l.Name][i].Asks = 0
	}
	return Result{Done: true, Lease: Lease{Name: l.Name}}
}

func (t *table) take(c Command, l Lease, held bool) Result {
	if held && l.Owner == c.Owner {
		l.Renewals++
		t.Leases[c.Name] = l
		return Result{Done: true, Lease: l}
	}
	line := t.Lines[c.Name]
	// A new life of the same node takes the place of the one before, which will not ask any more.
	place := slices.IndexFunc(line, func(w waiter) bool { return w.Owner.Name == c.Owner.Name })
	if place >= 0 && line[place].Owner != c.Owner {
		line[place] = waiter{Owner: c.Owner}
	}
	if held || len(t.Leases) >= MostNames {
		if place < 0 && len(line) < mostLine && (held || len(line) > 0) {
			line, place = append(line, waiter{Owner: c.Owner}), len(line)
		}
		t.keep(c.Name, line)
		return Result{Lease: l, Place: place + 1}
	}
	if place > 0 {
		line[place].Asks++
		if line[place].Asks >= patience {
			ahead := slices.DeleteFunc(slices.Clone(line[:place]), func(w waiter) bool { return w.Asks == 0 })
			line = append(ahead, line[place:]...)
			place = len(ahead)
		}
	} else if place == 0 {
		line[0].Asks++
	}
	if place > 0 || place < 0 && len(line) > 0 {
		if place < 0 && len(line) < mostLine {
			line, place = append(line, waiter{Owner: c.Owner, Asks: 1}), len(line)
		}
		t.keep(c.Name, line)
		return Result{Lease: l, Place: place + 1}
	}
	if place == 0 {
		line = line[1:]
	}
	t.keep(c.Name, line)
	t.Last = max(t.Last, c.Above) + 1
	l = Lease{Name: c.Name, Owner: c.Owner, Token: t.Last, Note: t.Notes[c.Name]}
	t.Leases[c.Name] = l
	return Result{Done: true, Lease: l}
}

func (t *table) note(c Command, l Lease, held bool) Result {
	_, was := t.Notes[c.Name]
	if !held || l.Owner != c.Owner || l.Token != c.Token || len(c.Reason) > maxNote || !was && len(t.Notes) >= mostNotes {
		return Result{Lease: l}
	}
	if c.Serial != 0 && c.Serial <= l.Serial {
		again := c.Serial == l.Serial && c.Reason == l.Note
		return Result{Done: again, Lease: l}
	}
	l.Serial = c.Serial
	if l.Note = c.Reason; c.Reason == "" {
		delete(t.Notes, c.Name)
	} else {
		t.Notes[c.Name] = c.Reason
	}
	t.Leases[c.Name] = l
	return Result{Done: true, Lease: l}
}

// leave takes an owner out of a line.
func (t *table) leave(name string, o Owner) {
	t.keep(name, slices.DeleteFunc(t.Lines[name], func(w waiter) bool { return w.Owner == o }))
}

func (t *table) keep(name string, line []waiter) {
	if len(line) == 0 {
		delete(t.Lines, name)
		return
	}
	t.Lines[name] = line
}

// all are the leases by name.
func (t *table) all() []Lease {
	return slices.SortedFunc(maps.Values(t.Leases), func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
}

// How the bytes after the first one of a snapshot are written.
const (
	plain byte = iota
	compressed
)

const (
	smallTable = 4 << 10 // bytes, below which compression is not worth it
	maxTable   = 8 << 20
)

// snapshot is the table as it goes to disks and to voters that are far behind: as JSON, compressed if it is large, since it has to fit in a message.
func (t *table) snapshot() []byte {
	raw, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	if len(raw) < smallTable {
		return append([]byte{plain}, raw...)
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // of options alone
	}
	return w.EncodeAll(raw, []byte{compressed})
}

// unpacked is the JSON of a snapshot.
func unpacked(raw []byte) ([]byte, error) {
	if len(raw) > 0 && raw[0] == plain {
		return raw[1:], nil
	}
	if len(raw) == 0 || raw[0] != compressed {
		return nil, errors.New("its form is not known")
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTable))
	if err != nil {
		panic(err) // of options alone
	}
	defer r.Close()
	return r.DecodeAll(raw[1:], nil)
}

func restore(raw []byte) (*table, error) {
	text, err := unpacked(raw)
	if err != nil {
		return nil, fmt.Errorf("lease: snapshot: %w", err)
	}
	t := newTable()
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("lease: snapshot: %w", err)
	}
	if t.Leases == nil || t.Lines == nil || t.Notes == nil || t.Voters == nil {
		return nil, fmt.Errorf("lease: snapshot: a part of the table is missing")
	}
	return t, nil
}
