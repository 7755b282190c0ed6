package lease

import (
	"maps"
	"slices"
	"time"
)

// Identity is what a voter's folder says of itself, durable with the rest of its state.
type Identity struct {
	// ID is drawn with the folder, and is the voter's as long as the folder is. A folder that is lost costs it its vote.
	ID uint64 `json:"id"`
	// Group is the group that it is of, 0 for none yet, and Promise the id of the voter that may found one with it.
	Group   uint64 `json:"group,omitempty"`
	Promise uint64 `json:"promise,omitempty"`
	// Count grows with every write of the folder and goes with every message of the agreement. Seen are the largest counts of the
	// others. So a folder that was put back from an old copy is told: somebody has seen more of it than it knows itself.
	Count uint64            `json:"count"`
	Seen  map[uint64]uint64 `json:"seen,omitempty"`
	// Floor is a token that was granted by a group that is gone: what is granted is above it.
	Floor uint64 `json:"floor,omitempty"`
}

// Hello is what voters tell each other of themselves.
type Hello struct {
	ID      uint64            `json:"id"`
	Group   uint64            `json:"group,omitempty"`
	Promise uint64            `json:"promise,omitempty"`
	Voters  map[uint64]string `json:"voters,omitempty"` // of the configuration that it has come to
	Applied uint64            `json:"applied,omitempty"`
	Led     bool              `json:"led,omitempty"`   // it hears a leader
	Of      uint64            `json:"of,omitempty"`    // the id of who is addressed, as far as it is known,
	Seen    uint64            `json:"seen,omitempty"`  // and the largest count that was seen of it
	Floor   uint64            `json:"floor,omitempty"` // the largest token that it knows of
	Reply   bool              `json:"reply,omitempty"`
}

// Standing is how far a voter has come.
type Standing uint8

// The standings.
const (
	Fresh    Standing = iota // in no group: it has an empty folder
	Checking                 // it has a folder, and asks the others whether that is its last one
	In                       // it votes
)

func (s Standing) String() string { return [...]string{"fresh", "checking", "in"}[min(s, In)] }

const (
	askTicks    = 4   // between two rounds of hellos of a voter that is not in
	lookTicks   = 40  // and of one that is
	recentTicks = 20  // a hello counts for so long,
	lockTicks   = 60  // a promise stands for so long after the last word of whom it was given to, which is longer by any bound on drift
	giveUpTicks = 400 // after so long without a word of all the others a voter whose group has a leader begins anew
)

type greeting struct {
	Hello
	at time.Duration
}

// admission is a voter's way into its group. It is pure, as all here.
//
// A group is founded once, by the first of the voters' names, when all of them say that they are in none and have promised
// themselves to it: so a folder that was lost can't found another one beside the group that it was of, since the others say that they
// are in it. Whoever is in a group tells it to those whom its configuration names.
//
// A voter with a folder asks all others what they have seen of it before it says anything in the agreement, so that a vote which
// its folder has forgotten is not given again. A voter whose folder is an old copy, or that was taken out meanwhile, begins anew with
// another id. One that can't ask all others waits; only if the group goes on without it may it begin anew.
//
// A group of which fewer than a majority of all voters are left is gone: no configuration of it has a majority any more. Who is not heard counts as left, and
// so does every folder that the configuration names. Then those who are left begin anew as well, and another group is founded.
// What the one before granted may still be held, so a voter that begins in a group has nothing granted for as long as a lease may last; and
// tokens go on above all that any holder remembers.
type admission struct {
	cfg     Settings
	self    string
	names   []string // of all voters, sorted
	draw    func() uint64
	id      Identity
	stand   Standing
	dirty   bool
	heard   map[string]greeting
	asked   time.Duration
	begun   time.Duration
	promise time.Duration // when whom it is promised to was last heard
	whole   time.Duration // when the group was last not known to be gone
	why     string        // why it began anew, for the log
}

func newAdmission(cfg Settings, self string, names []string, id *Identity, draw func() uint64, now time.Duration) *admission {
	a := &admission{cfg: cfg, self: self, names: slices.Sorted(slices.Values(names)), draw: draw, heard: map[string]greeting{}, asked: now - time.Hour, begun: now, promise: now}
	if id == nil {
		a.anew(now, "")
		return a
	}
	a.id = *id
	if a.id.Seen == nil {
		a.id.Seen = map[uint64]uint64{}
	}
	a.whole = now
	if a.id.Group != 0 {
		a.stand = Checking
	}
	return a
}

// anew draws another id: what the folder held is not its voter's any more.
func (a *admission) anew(now time.Duration, why string) {
	a.id = Identity{ID: a.draw() | 1, Seen: map[uint64]uint64{}, Floor: a.id.Floor}
	a.stand, a.dirty, a.why, a.begun, a.whole = Fresh, true, why, now, now
}

func (a *admission) ticks(n int) time.Duration { return time.Duration(n) * a.cfg.Tick }

// recent is the last word of a voter by its name.
func (a *admission) recent(now time.Duration, name string) (Hello, bool) {
	g, ok := a.heard[name]
	return g.Hello, ok && now-g.at <= a.ticks(recentTicks)
}

// due tells whether the others are to be greeted now.
func (a *admission) due(now time.Duration) bool {
	pause := askTicks
	if a.stand == In && !a.odd() {
		pause = lookTicks
	}
	if now-a.asked < a.ticks(pause) {
		return false
	}
	a.asked = now
	return true
}

// odd tells that somebody is not in this voter's group, by his last word.
func (a *admission) odd() bool {
	for _, g := range a.heard {
		if g.Group != a.id.Group {
			return true
		}
	}
	return false
}

// step is what has changed for the voter.
type step uint8

const (
	nothing  step = iota
	founds        // it begins a group with voters
	joins         // it is in one that exists, and is told all by the others
	goesOn        // its folder is its last one
	beginsOn      // its folder is not, or it was taken out: what it holds is not its own any more
)

// take notes a word of another voter.
func (a *admission) take(now time.Duration, from string, h Hello) {
	a.heard[from] = greeting{h, now}
	if a.stand == Fresh && h.ID == a.id.Promise {
		a.promise = now
	}
}

// next tells what follows from what was heard. voters is the configuration that this voter has come to itself, with the index of it.
func (a *admission) next(now time.Duration, voters map[uint64]string, applied uint64) (step, map[uint64]string) {
	switch a.stand {
	case Fresh:
		return a.fresh(now)
	case Checking, In:
		if a.gone(now, voters) {
			a.anew(now, "the group is gone: the folders of most voters were lost")
			return beginsOn, nil
		}
	}
	if a.stand == Checking {
		return a.check(now, voters, applied), nil
	}
	for _, name := range a.names {
		if h, ok := a.recent(now, name); ok && h.Group == a.id.Group && h.Applied > applied && len(h.Voters) > 0 && h.Voters[a.id.ID] == "" && len(voters) > 0 {
			a.anew(now, "the others have taken this voter out")
			return beginsOn, nil
		}
	}
	return nothing, nil
}

// gone tells that this voter's group can never agree on anything any more, and has been so for a while. Who is of its configuration and has
// not joined yet is left.
func (a *admission) gone(now time.Duration, voters map[uint64]string) bool {
	conf := maps.Clone(voters)
	if conf == nil {
		conf = map[uint64]string{}
	}
	for _, g := range a.heard {
		if g.Group == a.id.Group {
			maps.Copy(conf, g.Voters)
		}
	}
	left := 1
	for _, name := range a.names {
		if name == a.self {
			continue
		}
		h, ok := a.recent(now, name)
		if !ok || h.Group == a.id.Group || conf[h.ID] == name {
			left++
		}
	}
	if left >= len(a.names)/2+1 {
		a.whole = now
	}
	return now-a.whole > a.ticks(lockTicks)
}

func (a *admission) fresh(now time.Duration) (step, map[uint64]string) {
	all := map[uint64]string{a.id.ID: a.self}
	for _, name := range a.names {
		if name == a.self {
			continue
		}
		h, ok := a.recent(now, name)
		switch {
		case !ok:
		case h.Group != 0 && h.Voters[a.id.ID] == a.self:
			a.id.Group, a.id.Promise, a.stand, a.dirty, a.whole = h.Group, 0, In, true, now
			return joins, nil
		case h.Group == 0 && h.Promise == a.id.ID:
			all[h.ID] = name
		}
	}
	first := a.names[0]
	switch {
	case first == a.self:
		if len(all) == len(a.names) {
			a.id.Group, a.stand, a.dirty, a.whole = a.draw()|1, In, true, now
			return founds, all
		}
	default:
		h, ok := a.recent(now, first)
		if ok && h.Group == 0 && h.ID != a.id.Promise && (a.id.Promise == 0 || now-a.promise > a.ticks(lockTicks)) {
			a.id.Promise, a.promise, a.dirty = h.ID, now, true
		}
	}
	return nothing, nil
}

// check holds the folder against what the others have seen of it.
func (a *admission) check(now time.Duration, voters map[uint64]string, applied uint64) step {
	needed := maps.Clone(voters)
	if needed == nil {
		needed = map[uint64]string{}
	}
	led := false
	for _, name := range a.names {
		h, ok := a.recent(now, name)
		if name == a.self || !ok || h.Group != a.id.Group || h.Of != a.id.ID {
			continue
		}
		led = led || h.Led
		switch {
		case h.Seen > a.id.Count:
			a.anew(now, "the folder is an old copy: another voter has seen more of it")
			return beginsOn
		case len(h.Voters) > 0 && h.Voters[a.id.ID] == "" && h.Applied >= applied:
			a.anew(now, "the others have taken this voter out")
			return beginsOn
		}
		maps.Copy(needed, h.Voters)
	}
	for id, name := range needed {
		if id == a.id.ID {
			continue
		}
		// Its own word, or that of the voter that stands in its place, whose folder was lost.
		if h, ok := a.recent(now, name); !ok || h.Of != a.id.ID || h.ID == id && h.Group != a.id.Group {
			if led && now-a.begun > a.ticks(giveUpTicks) {
				a.anew(now, "not all of the others answer, and the group goes on without this voter")
				return beginsOn
			}
			return nothing
		}
	}
	if len(needed) < 2 && len(a.names) > 1 { // it was about to be told all, and has heard nobody yet
		return nothing
	}
	a.stand = In
	return goesOn
}
