package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

const (
	// For so long another server is given to catch up with what was told; then its revisions are taken to count
	// something else. What changes counts as told 4 s after a move.
	catchUpTime  = 2 * time.Second
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// list is discovery's form of the list of endpoints, whole or as changes.
type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`

	line  []byte // the JSON object as it came, until the next one comes
	after int64  // the revision that it follows on
}

type member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	// Addrs is where other fronts than the daemon's call the member, by their names. The platform gives none.
	Addrs map[string]string `json:"addrs,omitempty"`
}

var phases = map[string]choice.Phase{
	"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone,
}

// told converts a list for the engine. A member of a phase that is not known is taken as draining.
func (l list) told(names wire.Names) delivery.List {
	out := delivery.List{Complete: l.Complete, Members: make([]delivery.Member, 0, len(l.Members))}
	for _, m := range l.Members {
		phase, ok := phases[m.Phase]
		if !ok {
			phase = choice.Draining
		}
		out.Members = append(out.Members, delivery.Member{
			ID: m.ID, Addr: m.Addr, Addrs: m.Addrs, Zone: slices.Index(names.Zones, m.Locality),
			Kind: slices.Index(names.Kinds, m.Flavor), Dest: m.Cell, Phase: phase, Weight: m.Size,
		})
	}
	return out
}

// odd tells of members that are not what the settings lead to expect. They are used all the same, as told takes them.
func (l list) odd(names wire.Names) []string {
	var all []string
	for _, m := range l.Members {
		if _, ok := phases[m.Phase]; !ok {
			all = append(all, fmt.Sprintf("%s has the unknown phase %q, and is taken as draining", m.ID, m.Phase))
		}
		if m.Phase == "DELETED" {
			continue
		}
		if !slices.Contains(names.Zones, m.Locality) {
			all = append(all, fmt.Sprintf("%s is in %q, a zone that the settings do not name", m.ID, m.Locality))
		}
		if !slices.Contains(names.Kinds, m.Flavor) {
			all = append(all, fmt.Sprintf("%s is of kind %q, which the settings do not name", m.ID, m.Flavor))
		}
	}
	return all
}

// backoff is a pause that doubles, with half of it left to chance so that nodes don't return in step.
type backoff time.Duration

func (b *backoff) next() time.Duration {
	*b = min(max(2**b, backoff(firstBackoff)), backoff(lastBackoff))
	return time.Duration(*b)/2 + rand.N(time.Duration(*b)/2)
}

// sleep waits, and tells whether the context is still alive after it.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// errBehind says that a server has not yet been sent what another one has told.
var errBehind = errors.New("the list is older than what was told before")
