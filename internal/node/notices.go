package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"starlingusher/delivery"
)

const (
	// A notice is answered at once, and is overdue 300 ms after its message's time: a connection that has died in
	// silence must leave time for another.
	noticeTimeout = 150 * time.Millisecond
	// The agent is on the same machine. What can be posted again has to be posted before it is overdue.
	longestNoticePause = 100 * time.Millisecond
)

// notice is the end of a message that was taken on and not delivered.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms,omitempty"`
}

// newNotice tells of a refusal as of a failure: the platform knows no other word for an end that is none to come again
// after.
func newNotice(e delivery.End) notice {
	state := e.State
	if state == delivery.Refused {
		state = delivery.Failed
	}
	return notice{ID: e.ID, State: state.String(), AfterMS: e.After.Milliseconds()}
}

func post(ctx context.Context, client *http.Client, addr string, batch []delivery.End) error {
	var b bytes.Buffer
	enc := json.NewEncoder(&b) // one object a line
	for _, e := range batch {
		if err := enc.Encode(newNotice(e)); err != nil {
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
