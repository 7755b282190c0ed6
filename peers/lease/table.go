package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
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
}

// Do is what a command does to the table.
type Do uint8

// The commands. All are in the log of the voters, in one order.
const (
	Take    Do = iota + 1 // grants a name that is free, or renews it for its owner
	Release               // ends the lease of a token, by its owner
	Expire                // ends the lease of a token and count of renewals, whose time has run at a voter
	Force                 // ends whatever lease of the name there is, by an operator
)

// Command is an entry of the log. Asker and Ask name the question that it came by, for the answer.
type Command struct {
	Do       Do     `json:"do"`
	Name     string `json:"name"`
	Owner    Owner  `json:"owner,omitzero"`
	Token    uint64 `json:"token,omitempty"`
	Renewals uint64 `json:"renewals,omitempty"`
	Reason   string `json:"reason,omitempty"` // Force
	Asker    string `json:"asker,omitempty"`
	Ask      uint64 `json:"ask,omitempty"`
}

// Result is what became of a command.
type Result struct {
	Done  bool  `json:"done"`
	Lease Lease `json:"lease"` // as it is then; of a name that is free only the name
}

// MostNames are held at a time; a name beyond them is refused.
const MostNames = 4096

// table is what the log makes of it: the same at all voters after the same entries. It has no clock.
type table struct {
	Leases map[string]Lease `json:"leases"`
	Last   uint64           `json:"last"` // token that was granted
}

func newTable() *table { return &table{Leases: map[string]Lease{}} }

func (t *table) apply(c Command) Result {
	l, held := t.Leases[c.Name]
	done := false
	switch c.Do {
	case Take:
		switch {
		case held && l.Owner == c.Owner:
			l.Renewals++
			done = true
		case !held && c.Name != "" && len(t.Leases) < MostNames:
			t.Last++
			l = Lease{Name: c.Name, Owner: c.Owner, Token: t.Last}
			done = true
		}
		if done {
			t.Leases[c.Name] = l
		}
	case Release:
		done = held && l.Token == c.Token && l.Owner == c.Owner
	case Expire:
		done = held && l.Token == c.Token && l.Renewals == c.Renewals
	case Force:
		done = held
	}
	if done && c.Do != Take {
		delete(t.Leases, c.Name)
		l = Lease{}
	}
	l.Name = c.Name
	return Result{done, l}
}

// all are the leases by name.
func (t *table) all() []Lease {
	return slices.SortedFunc(maps.Values(t.Leases), func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
}

func (t *table) snapshot() []byte {
	raw, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return raw
}

func restore(raw []byte) (*table, error) {
	t := newTable()
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, fmt.Errorf("lease: snapshot: %w", err)
	}
	if t.Leases == nil {
		t.Leases = map[string]Lease{}
	}
	return t, nil
}
