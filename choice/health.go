package choice

import "time"

// Health is what a Sender believes of a route.
type Health uint8

// The states of a route.
const (
	Healthy    Health = iota
	Out               // an outage: single trials only
	Recovering        // back from an outage, in slow start
)

var healthNames = [...]string{"healthy", "out", "recovering"}

// String names the state.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "unknown"
}

// HealthChange is a change of what a Sender believes of a route.
type HealthChange struct {
	Dest     int
	Endpoint string // empty unless the endpoint is a route apart
	From, To Health
	Reason   string
	Failures int           // in a row, at the time of the change
	Failing  time.Duration // since the first of them
	Rate     float64       // calls a second that the route's slow start allows this sender now; 0 where none binds
}

// HealthChanges returns the changes that the last Step made, in order. It decides nothing.
func (s *Sender) HealthChanges() []HealthChange { return s.healthChanges }

// health is the state that the fields of a route say.
func (r *route) health() Health {
	switch {
	case r.sick:
		return Out
	case r.coldFrom > 0:
		return Recovering
	}
	return Healthy
}

// noteHealth records a change of a route's health from what it was before.
func (s *Sender) noteHealth(r *route, before Health, reason string) {
	after := r.health()
	if before == after {
		return
	}
	change := HealthChange{Dest: r.dest, Endpoint: r.endpoint, From: before, To: after, Reason: reason, Failures: r.fails}
	if r.fails > 0 {
		change.Failing = s.now - r.failedAt
	}
	if rate, bound := s.pace(r); bound && r.recovering() {
		change.Rate = rate
	}
	s.healthChanges = append(s.healthChanges, change)
}
