package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/fleet"
	"starlingusher/internal/wire"
)

const (
	maxListLine = 4 << 20
	// An empty line comes every 2 s. A watch without one has died, though its connection may not show it, and what
	// changes counts as told to the node 4 s later all the same. A new watch is answered at once.
	watchSilence = 2500 * time.Millisecond
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

	line  []byte // as it came, until the next one comes
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

// watch follows discovery until the context ends, and hands each list on. One that is not taken ends its watch,
// and is asked for again. All nodes of the fleet ask the same discovery.
func watch(ctx context.Context, log *slog.Logger, client *http.Client, addr string, after int64, nodes int, tell func(list) error) {
	var asking fleet.Asking
	for ctx.Err() == nil {
		first, began := true, time.Now()
		err := watchOnce(ctx, client, addr, after, func(l list) error {
			if first {
				log.Info("watching", "discovery", addr, "after", after, "revision", l.Revision, "complete", l.Complete,
					"members", len(l.Members))
			}
			if err := tell(l); err != nil {
				return err
			}
			after, first = l.Revision, false
			if len(l.Members) > 0 {
				asking.Told()
			}
			return nil
		})
		if !first && time.Since(began) >= watchSilence {
			asking.Told() // it has told something, be it that nothing has changed, and stood
		}
		if ctx.Err() == nil {
			pause := asking.Failed(nodes, rand.Float64())
			log.Info("watch ended", "discovery", addr, "after", after, "err", err, "again_in", pause)
			sleep(ctx, pause)
		}
	}
}

// errSilent ends a watch on which no line came for too long.
var errSilent = fmt.Errorf("watch: no line for %v", watchSilence)

// watchOnce follows one watch to its end. One that has gone silent is given up: its machine may be gone.
func watchOnce(ctx context.Context, client *http.Client, addr string, after int64, tell func(list) error) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer func() {
		if context.Cause(ctx) == errSilent {
			err = errSilent
		}
		cancel(nil)
	}()
	silence := time.AfterFunc(watchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", addr, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxListLine)
	for lines.Scan() {
		silence.Reset(watchSilence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		l := list{line: line, after: after}
		if err := json.Unmarshal(line, &l); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		after = l.Revision
		if err := tell(l); err != nil {
			return err
		}
	}
	return errors.Join(lines.Err(), io.EOF)
}
