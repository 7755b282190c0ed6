package peers

import (
	"context"
	"encoding/json"
	"fmt"
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
