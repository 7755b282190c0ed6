// Package ratelog bounds how many lines of one message a log takes, so that a node under faults can log every attempt, refusal
// and close without the log becoming a load of its own, and keeps a slow reader of the log from holding the process.
package ratelog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Handler passes records on to another handler, at most so many a second of each message, of whatever level. The first record that passes after others were dropped says how many. It may be used by many goroutines at a time.
type Handler struct {
	next  slog.Handler
	state *state
}

// state is shared by all handlers that With made of one.
type state struct {
	perSecond int
	now       func() time.Time

	mu       sync.Mutex
	messages map[string]*message
}

// message is what is known of the lines of one message.
type message struct {
	began   time.Time // of the second that is counted
	passed  int
	dropped int
}

// New returns a handler that passes at most perSecond records a second of each message on to next.
func New(next slog.Handler, perSecond int) *Handler {
	return &Handler{next: next, state: &state{perSecond: perSecond, now: time.Now, messages: map[string]*message{}}}
}

// Enabled reports whether next takes records of a level.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle passes a record on, or drops it.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	passes, dropped := h.state.take(r.Message)
	if !passes {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("dropped_before", dropped))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs returns a handler with attributes that shares the bounds.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), state: h.state}
}

// WithGroup returns a handler with a group that shares the bounds.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), state: h.state}
}

// take counts a record, and tells whether it passes and how many were dropped before it.
func (s *state) take(text string) (passes bool, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.messages[text]
	if m == nil {
		m = &message{}
		s.messages[text] = m
	}
	now := s.now()
	if now.Sub(m.began) >= time.Second {
		m.began, m.passed = now, 0
	}
	if m.passed >= s.perSecond {
		m.dropped++
		return false, 0
	}
	m.passed++
	dropped, m.dropped = m.dropped, 0
	return true, dropped
}
