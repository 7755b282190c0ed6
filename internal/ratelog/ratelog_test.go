package ratelog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestLinesOfOneMessageAreBoundedAndTheDroppedAreCounted(t *testing.T) {
	var out bytes.Buffer
	h := New(slog.NewTextHandler(&out, nil), 2)
	now := time.Unix(1000, 0)
	h.state.now = func() time.Time { return now }
	log := slog.New(h).With("node", "n0")
	for range 5 {
		log.Info("attempt ended")
		log.Warn("disk full")
	}
	log.Info("another")
	now = now.Add(time.Second)
	log.Info("attempt ended")
	text := out.String()
	for line, want := range map[string]int{"attempt ended": 3, "disk full": 5, "msg=another": 1, "dropped_before=3": 1} {
		if got := strings.Count(text, line); got != want {
			t.Errorf("%q stands there %d times, want %d:\n%s", line, got, want, text)
		}
	}
}
