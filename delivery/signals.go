package delivery

import (
	"log/slog"
	"time"

	"starlingusher/choice"
)

// The lines below tell, by the ids that clients gave, what became of each attempt that did not pass, each refusal and each
// message that ended undelivered, and what the decisions believe of a route. What passes is not logged.

// logAttempt logs an attempt that did not pass.
func (n *Engine) logAttempt(m *past, e called, outcome choice.Outcome, ominous bool) {
	if outcome == choice.Pass {
		return
	}
	attrs := []any{"message", m.id, "destination", m.dest, "endpoint", e.endpoint.ID, "attempt", e.n, "outcome", outcome.String(),
		"failure", ominous, "took", e.took.Round(time.Microsecond), "kept_connection", e.Kept}
	attrs = append(attrs, e.On.attrs()...)
	if e.Replies != 0 {
		attrs = append(attrs, "may_be_over", e.Replies.Has(choice.ReplyOver))
	}
	if e.Wait > 0 {
		attrs = append(attrs, "told_wait", e.Wait)
	}
	if e.Err != nil {
		attrs = append(attrs, "err", e.Err.Error())
	}
	n.log.Info("attempt ended", attrs...)
}

// attrs are the attributes of a line that tells of an exchange; none where the carrier does not number them.
func (x Exchange) attrs() []any {
	if x.Connection == 0 {
		return nil
	}
	return []any{"connection", x.Connection, "request", x.Number, "status", x.Status}
}

// logUndecided logs a response, other than a pass, that may be another call's.
func (n *Engine) logUndecided(m *past, e *called) {
	if e.Outcome == choice.Pass {
		return
	}
	attrs := []any{"message", m.id, "destination", m.dest, "endpoint", e.endpoint.ID, "attempt", e.n, "outcome", e.Outcome.String()}
	n.log.Info("attempt undecided", append(attrs, e.On.attrs()...)...)
}

// logHealth logs changes of the health of routes.
func (n *Engine) logHealth(changes []choice.HealthChange) {
	for _, c := range changes {
		n.log.Info("route health", "destination", c.Dest, "endpoint", c.Endpoint, "from", c.From.String(), "to", c.To.String(),
			"reason", c.Reason, "failures", c.Failures, "failing_for", c.Failing, slog.Float64("rate_per_s", c.Rate))
	}
}

// logRefusal logs a message that was not taken on.
func (n *Engine) logRefusal(id string, class, dest int, why string, after time.Duration) {
	n.log.Info("message refused", "message", id, "class", class, "destination", dest, "reason", why, "come_after", after)
}

// leastStep is how far the wall clock has to be from the journal's for a line in the log.
const leastStep = time.Second

// logClock logs that the wall clock was stepped since the journal was begun, or that it had to serve.
func (n *Engine) logClock() {
	c := n.journal.clock
	if step := c.start.Round(0).Sub(c.zero); step.Abs() >= leastStep {
		n.log.Warn("the wall clock was stepped", "by", step.Round(time.Millisecond))
	}
	if n.journal.reboot {
		n.log.Warn("the machine was started anew: the wall clock tells how long ago", "clock", c.zero)
	}
}

// noteJournal logs since when and why the journal can't be written, and when it can again.
func (n *Engine) noteJournal(err error) {
	switch {
	case err != nil && n.journalDown.IsZero():
		n.journalDown = time.Now()
		n.log.Error("the journal can't be written: new messages are refused", "err", err)
	case err == nil && !n.journalDown.IsZero():
		n.log.Warn("the journal is written again", "down_since", n.journalDown.Round(0), "for", time.Since(n.journalDown).Round(time.Millisecond))
		n.journalDown = time.Time{}
	}
}

// logEnd logs a message that was taken on and ends undelivered.
func (n *Engine) logEnd(p *past, e ending) {
	if e.state == Delivered {
		return
	}
	attrs := []any{"message", p.id, "class", p.class, "destination", p.dest, "state", e.state.String(), "attempts", len(p.sends),
		"time_left", time.Until(p.deadline).Round(time.Millisecond)}
	if p.lastErr != nil {
		attrs = append(attrs, "last_err", p.lastErr.Error())
	}
	n.log.Info("message ended undelivered", attrs...)
}
