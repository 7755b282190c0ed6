package choice

import "time"

// Hold is what keeps a message that was taken on from being sent at a moment.
type Hold uint8

// The holds. Where a destination has several endpoints, the hold is that of the one that is the nearest to being open,
// in this order.
const (
	HoldTurn     Hold = iota // nothing but that its turn comes with the next step
	HoldSlot                 // all slots are taken
	HoldSlow                 // slow destinations together hold the slots that they may
	HoldKey                  // its key's turn, or its key's rest
	HoldRetry                // its own rest after a failure
	HoldPace                 // the partner's limit, as far as this sender's part of it goes
	HoldDeaf                 // likewise, by the part that it may have alone since it hears no other node any more
	HoldReturn               // the pace of the way back from an outage
	HoldRest                 // the rest after a refusal that told no wait
	HoldTold                 // a wait that the partner asked for
	HoldTable                // the endpoint's connection table is full
	HoldWindow               // as many calls are out as its queue takes
	HoldTrial                // an outage: the next trial, or the outcome of the one that is out
	HoldUnsure               // it may have run, or it may not be risked on a sick route
	HoldLeaving              // the process ends before a call would
	HoldEndpoint             // no endpoint is ready
	Holds                    // how many there are
)

var holdNames = [Holds]string{
	"turn", "slot", "slow", "key", "retry", "pace", "deaf", "return", "rest", "told", "table", "window", "trial", "unsure", "leaving", "endpoint",
}

func (h Hold) String() string {
	if h < Holds {
		return holdNames[h]
	}
	return "unknown"
}

// Waiting calls f for each message that waits, in order of arrival at its destination, with what holds it after the last
// Step. It decides nothing and changes nothing, so it may be called between any two steps; not beside one.
func (s *Sender) Waiting(f func(id string, why Hold)) {
	slow := -1.0 // slots that slow destinations hold, counted once
	for _, d := range s.dests {
		if len(d.waiting) == 0 && len(d.spares) == 0 {
			continue
		}
		if slow < 0 {
			slow = float64(s.lameHeld())
		}
		capped := s.cfg.Slots > 0 && slow >= max(1, s.t.SlowShare*float64(s.cfg.Slots)) && s.lame(d)
		for _, all := range [][]*message{d.waiting, d.spares} {
			for _, m := range all {
				f(m.id, s.holdOf(m, capped))
			}
		}
	}
}

func (s *Sender) holdOf(m *message, capped bool) Hold {
	why := HoldEndpoint
	for _, e := range m.dest.endpoints {
		why = min(why, s.holdAt(m, e))
	}
	if why > HoldSlow {
		return why
	}
	switch {
	case s.cfg.Slots > 0 && s.busy >= s.cfg.Slots:
		return HoldSlot
	case capped:
		return HoldSlow
	}
	return HoldTurn
}

// holdAt is what check would stumble over first, but for slots. It refills no bucket: a step would then find another
// sum than it did without being asked.
func (s *Sender) holdAt(m *message, e *endpoint) Hold {
	r := e.route
	switch {
	case !e.ready:
		return HoldEndpoint
	case s.leaveBy > 0 && s.now+s.leaveSpan(m, e) > s.leaveBy:
		return HoldLeaving
	case r.sick && (r.trial || s.now < r.trialAt || r.known.Spared(s.now)):
		return HoldTrial
	case s.now < r.toldUntil:
		return HoldTold
	case s.now < r.waitUntil:
		return HoldRest
	case !e.table.Allows(s.now, e.out):
		return HoldTable
	case !r.recovering() && !e.window.Allows(s.now, e.out):
		return HoldWindow
	case m.class.Effect == Unsafe && (m.touched || (r.sick && !r.harmless && s.now-m.arrived <= (m.dropDead-m.arrived)/2)),
		m.class.Effect == Keyed && m.touched && (s.now > s.windowEnd(m) || (!m.class.GroupAll && e.zone != m.zone)):
		return HoldUnsure
	case s.tokensAt(r) < 1 && r.recovering():
		return HoldReturn
	case s.tokensAt(r) < 1 && r.known.Deaf(s.now):
		return HoldDeaf
	case s.tokensAt(r) < 1:
		return HoldPace
	case s.now < m.notBefore:
		return HoldRetry
	case m.key != "" && ((s.now < s.rests[m.key] && (m.attempts == 0 || m.spare)) || !s.firstOfLine(m)):
		return HoldKey
	}
	return HoldTurn
}

// tokensAt is what refill would find, without the bound on saving up, which lies at one or above.
func (s *Sender) tokensAt(r *route) float64 {
	rate, bound := s.pace(r)
	if !bound {
		return 1
	}
	return r.tokens + rate*seconds(s.now-r.tokensAt)
}

// firstOfLine tells that nobody with the message's key stands before it.
func (s *Sender) firstOfLine(m *message) bool {
	for _, o := range s.lines[m.key] {
		if o == m {
			return true
		}
		if !o.over || o.out > 0 {
			return false
		}
	}
	return true
}

// View is what a Sender believes of one route of a destination after the last Step. Times are on its clock, rates in calls a
// second, response times in seconds.
type View struct {
	Endpoint      string // the route's own, or the first of those that share it
	Waiting, Out  int    // messages that wait at the destination, calls that are out there
	GateShut      bool
	Average       float64 // response time that the gate goes by
	Usual         float64 // of passed calls at the endpoint
	Limit         float64 // of all senders; 0 for none
	Part          float64 // of it that is this sender's
	Shared, Deaf  bool    // a right that the other nodes know of; it had one and hears nobody any more
	Pace          float64 // at which it may send; 0 for no bound
	Tokens        float64 // calls that may go at once
	Window        float64 // calls that may be out at the endpoint; 0 for any number
	Fails         int     // failures in a row
	Sick          bool    // an outage: only trials go
	Returning     bool    // on the way back from one
	WaitsUntil    time.Duration
	TurnedAwayFor time.Duration // for how long all calls have been turned away
}

// Views returns what the Sender believes of a destination, route by route. It decides nothing and changes nothing, as
// Waiting.
func (s *Sender) Views(dest int) []View {
	d := s.dests[dest]
	if d == nil {
		return nil
	}
	var all []View
	for i, e := range d.endpoints {
		r := e.route
		if i > 0 && r == d.shared {
			break
		}
		v := View{
			Endpoint: e.id, Waiting: len(d.waiting), Out: len(d.calls), GateShut: d.gate.shut, Average: d.gate.average,
			Usual: e.usual, Limit: s.limit(r), Part: r.known.Part(s.now, &r.part), Shared: r.known.Shared(s.now), Deaf: r.known.Deaf(s.now), Tokens: s.tokensAt(r), Window: e.window.Size(s.now), Fails: r.fails,
			Sick: r.sick, Returning: !r.sick && r.coldFrom > 0, WaitsUntil: r.waitUntil, TurnedAwayFor: e.window.TurnedAway(s.now),
		}
		if rate, bound := s.pace(r); bound {
			v.Pace = rate
		}
		all = append(all, v)
	}
	return all
}
