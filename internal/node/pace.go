package node

import "time"

// A client that writes without a rest keeps one goroutine or another runnable all the time. On one processor the scheduler then looks for what others have sent
// every 10 ms at best, and for goroutines that wait in its global queue only every 61 turns. So such a client has to rest now and then: its connection has
// a budget of commands, in units, that fills again with time. What it may do at once and for long is far above what a sound client does.
const (
	paceTaken   = 1                     // units of a message that is taken on,
	paceNothing = 5                     // and of a command that has no effect
	paceBurst   = 4096                  // units that a client may spend at once
	paceUnit    = 50 * time.Microsecond // in which one unit comes back
)

// pace is the budget of one client's commands. The zero value is full.
type pace struct {
	spent time.Duration // units that are spent, as the time in which they come back
	at    time.Time
}

// spend takes units out of the budget, and returns how long the client has to rest before its next command.
func (p *pace) spend(now time.Time, units int) time.Duration {
	p.spent = max(p.spent-now.Sub(p.at), 0) + time.Duration(units)*paceUnit
	p.at = now
	return max(p.spent-paceBurst*paceUnit, 0)
}
