package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"starlingusher/peers/core"
	"starlingusher/peers/link"
)

// Status is what a node knows of its fleet, for operators.
type Status struct {
	core.Status
	At     time.Time    `json:"at"`
	Ways   []link.Way   `json:"ways"`
	Seen   link.Counts  `json:"packets"`
	Missed uint64       `json:"missed,omitempty"` // sightings that were not told for want of room
	Leases *LeaseStatus `json:"leases,omitempty"`
	Copies *CopyStatus  `json:"copies,omitempty"`
}

func (s *Service) status() Status {
	s.mu.Lock()
	missed := s.missed
	s.mu.Unlock()
	return Status{Status: s.core.Status(s.now()), At: time.Now(), Ways: s.link.Ways(), Seen: s.link.Seen(), Missed: missed}
}

// Look asks the node that listens at an address what it knows of its fleet.
func Look(ctx context.Context, addr string) (Status, error) {
	var st Status
	text, err := link.Look(ctx, addr)
	if err != nil {
		return st, err
	}
	if err := json.Unmarshal(text, &st); err != nil {
		return st, fmt.Errorf("peers: %s: %w", addr, err)
	}
	return st, nil
}

// CopyStatus is what a node knows of journals that stand on further nodes.
type CopyStatus struct {
	Own  []OwnLine  `json:"own"`
	Held []HeldLine `json:"held"`
}

// OwnLine is a stream that this node goes on with.
type OwnLine struct {
	Stream    string           `json:"stream"`
	Inherited bool             `json:"inherited,omitempty"`
	Epoch     uint64           `json:"epoch"`  // 0 while its lease is not had
	Left      float64          `json:"left_s"` // of the lease
	Mark      uint64           `json:"mark"`
	Holders   []string         `json:"holders"`
	Alone     bool             `json:"alone,omitempty"`
	Holds     bool             `json:"holds"`  // new messages can be held now
	Behind    map[string]int64 `json:"behind"` // bytes that each holder lacks, -1 for one of which nothing is known
}

// HeldLine is a stream that this node holds for another.
type HeldLine struct {
	Stream string  `json:"stream"`
	Epoch  uint64  `json:"epoch"`
	Mark   uint64  `json:"mark"`
	Bytes  int64   `json:"bytes"`
	Heard  float64 `json:"heard_s"` // ago, of its owner
}

func (c *Copies) status(now time.Duration) *CopyStatus {
	st := &CopyStatus{Own: []OwnLine{}, Held: []HeldLine{}}
	lines := c.store.Lines()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, dir := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[dir]
		_, until, leased := c.s.leases.may(s.name, 0)
		line := OwnLine{Stream: s.name, Inherited: dir != c.state, Mark: s.owner.At().Mark, Holders: s.owner.Note().Holders, Alone: s.owner.Alone(), Holds: leased && s.owner.Holds(now), Behind: s.owner.Behind()}
		if leased {
			line.Epoch, line.Left = s.epoch, (until - now).Seconds()
		}
		st.Own = append(st.Own, line)
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		l := lines[name]
		at, ok := c.heard[name]
		if !ok {
			at = c.begun
		}
		st.Held = append(st.Held, HeldLine{name, l.Epoch, l.At.Mark, l.Bytes, (now - at).Seconds()})
	}
	return st
}
