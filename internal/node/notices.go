package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
)

const (
	maxNotices = 256 // in one request
	// A notice is answered at once, and is overdue 300 ms after its message's time: a connection that has died in
	// silence must leave time for another.
	noticeTimeout = 150 * time.Millisecond
)

// notice is the end of a message that was taken on and not delivered.
type notice struct {
	of      *past
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms,omitempty"`
}

func newNotice(p *past) notice {
	n := notice{of: p, ID: p.id, State: "returned", AfterMS: p.ended.after.Milliseconds()}
	if p.ended.failed {
		n.State, n.AfterMS = "failed", 0
	}
	return n
}

// report posts each batch of notices until it is answered 204, and then says so; owed comes first. It returns
// what was not answered when ctx ended. A notice may be posted twice: one for a message that is over does no harm.
func report(
	ctx context.Context, log *slog.Logger, client *http.Client, addr string, owed []notice, in <-chan []notice,
	settled func([]notice),
) []notice {
	var pause backoff
	for ctx.Err() == nil {
		if len(owed) == 0 {
			select {
			case <-ctx.Done():
			case owed = <-in:
			}
			continue
		}
		some := owed[:min(len(owed), maxNotices)]
		if err := post(ctx, client, addr, some); err != nil {
			if ctx.Err() == nil {
				log.Warn("notices not taken", "count", len(some), "err", err)
				sleep(ctx, pause.next())
			}
			continue
		}
		pause = 0
		settled(some)
		owed = owed[len(some):]
	}
	return owed
}

func post(ctx context.Context, client *http.Client, addr string, batch []notice) error {
	var b bytes.Buffer
	enc := json.NewEncoder(&b) // one object a line
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/reports", &b)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("reports: %s", resp.Status)
	}
	return nil
}
