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
		log.Warn("a response too many")
		log.Error("not kept")
	}
	log.Info("another")
	now = now.Add(time.Second)
	log.Info("attempt ended")
	log.Warn("a response too many")
	log.Error("not kept")
	text := out.String()
	for line, want := range map[string]int{"attempt ended": 3, "a response too many": 3, "not kept": 3, "msg=another": 1, "dropped_before=3": 3} {
		if got := strings.Count(text, line); got != want {
			t.Errorf("%q stands there %d times, want %d:\n%s", line, got, want, text)
		}
	}
}
