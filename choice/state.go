package choice

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"starlingusher/fleet"
	"starlingusher/idle"
	"starlingusher/outage"
	"starlingusher/window"
)

// Sender decides for one delivery node.
type Sender struct {
	cfg       Settings
	t         tuned
	rng       *rand.Rand
	now       time.Duration
	dests     map[int]*destination
	emptied   []vacancy // of destinations that have lost all their endpoints, oldest first
	eps       map[string]*endpoint
	msgs      map[string]*message
	gone      int              // messages, no spare ones, that have ended since expire
	seq       uint64           // of the last message that was held
	looks     ranked[*message] // the held by when expire has to look at them
	deaths    ranked[*message] // the held by their deadlines
	waits     int              // messages that wait
	lines     map[string][]*message
	rests     map[string]time.Duration // keys at rest until then
	resting   []keyRest                // the same in the order in which they end
	parted    map[string]time.Duration // waits told by routes apart that have left the list
	crowded   map[int]time.Duration    // connection tables of a kind seem full until then
	wornTil   time.Duration            // kept connections are not trusted until then
	tenants   []fleet.Quota
	busy      int                   // calls out
	spares    int                   // spare messages among the open
	lent      int                   // calls out that are spare messages'
	sent      map[attempt]sending   // attempts without an outcome
	undecided map[attempt]undecided // attempts whose outcome may be another call's
	calling   []*destination        // with calls out, in no order
	lending   []*destination        // with spare messages waiting, likewise
	// The others that have messages waiting: those that may have a turn, by least slot time, and those that can have
	// none before a time.
	turns   ranked[*destination]
	parked  ranked[*destination]
	wakeAt  time.Duration // the earliest wake asked for
	asking  time.Duration // pause before the list is asked for again
	askAt   time.Duration
	leaveBy time.Duration // when the process ends; 0 while it stays
	fadeGap time.Duration // of fade: the factor by which slot time fades in that time
	fade    float64
	failing outage.Share
	actions []Action
	// healthChanges are those of the last step.
	healthChanges []HealthChange
}

// keyRest is a key's rest as it was when it began; a later one may have prolonged it.
type keyRest struct {
	key   string
	until time.Duration
}

// vacancy is a destination without an endpoint since then, or since it was last looked at.
type vacancy struct {
	d  *destination
	at time.Duration
}

// destination is one partner: its gate, endpoints and waiting messages.
type destination struct {
	id        int
	emptied   time.Duration // when its last endpoint left the list
	empty     bool          // it stands among the emptied
	gate      gate
	kind      int
	single    bool   // a call holds one message
	shared    *route // of all endpoints, unless they are routes apart
	endpoints []*endpoint
	waiting   []*message // in order of arrival
	spares    []*message // the spare ones that wait
	used      float64    // slot time it had of late, in seconds
	usedAt    time.Duration
	calls     []*call // out, oldest first
	lastTrial time.Duration
	lastSpare time.Duration // the last spare message that was let through a shut gate
	came      float64       // messages that came of late, fading
	cameAt    time.Duration

	turn   float64       // rank among turns: the logarithm of the slot time that it would have at time 0, which stays as it fades
	until  time.Duration // rank among parked
	places [2]int        // in turns and parked, -1 for none
}

// gate is the two-bound admission control of the paper, for one destination.
type gate struct {
	average, baseline float64 // seconds
	at                time.Duration
	seen, shut        bool
}

// refusals are those of a route that no pass has answered.
type refusals struct {
	since    time.Duration // the first of them; 0 for none
	waitless bool          // it told no wait
	bindAt   time.Duration // from then on one of an earlier life counts as an outage; 0 for never
	shut     bool          // another one followed after a while
}

// route is what limits, waits and outages bind: a destination, or an endpoint that is a route apart.
type route struct {
	dest      int
	endpoint  string        // empty for all endpoints of the destination
	waitUntil time.Duration // rule six, and rests of our own after refusals that told no wait
	toldUntil time.Duration // the part of it that was told
	limit     float64       // calls a second as reported
	reported  bool
	loweredAt time.Duration // when a report told of a much lower limit than before,
	raisedAt  time.Duration // and of a much higher one
	left      float64       // share of it left at the last report
	weight    float64
	part      fleet.Part // this sender's part of the limit
	known     fleet.Known
	tokens    float64
	tokensAt  time.Duration
	fails     int           // failures in a row
	failedAt  time.Duration // the first of them
	gap       outage.Gap    // since the last pass
	rest      time.Duration // after the last of the refusals in a row
	suspectAt time.Duration // the first failure that no pass has answered; 0 for none
	doubted   bool          // it may have been out for long enough to come back cold: slow start paces it
	tried     bool          // a call has gone out since that failure
	retry     bool          // the call that may follow a failure at once is not yet spent
	allowance float64       // with which slow start began
	refusals  refusals
	sick      bool
	harmless  bool // the last failure proved that nothing ran
	trialAt   time.Duration
	backoff   time.Duration
	trial     bool          // a trial is out
	coldFrom  time.Duration // start of the recovery; 0 none
	struckAt  time.Duration // start of the outage
	demand    float64       // this sender's messages for the route since then
	busiest   float64       // most calls passed in a second, for want of any limit
	passed    float64
	passedAt  time.Duration
}

type endpoint struct {
	id       string
	zone     int
	dest     *destination
	route    *route
	ready    bool
	response float64       // smoothed seconds, failures counting slow
	usual    float64       // smoothed seconds of passed calls
	provenAt time.Duration // the latest send of a call that passed in the usual time
	sentAt   time.Duration // last call
	gap      float64       // smoothed seconds between calls
	out      int           // calls out
	window   window.Window // of calls out, where no limit is told
	table    fleet.Table   // of connections
}

type message struct {
	id        string
	class     *Class
	key       string
	worth     float64
	dest      *destination
	arrived   time.Duration
	born      time.Duration // first hand-in, as far as the deadline tells
	aim       time.Duration
	dropDead  time.Duration
	attempts  int
	out       int
	mayRun    time.Duration // send time of the first attempt that may have run
	touched   bool          // there is such an attempt
	zone      int           // its endpoint's zone
	notBefore time.Duration
	waits     bool
	over      bool
	mayBeOver bool   // an endpoint may have said that nobody wants it any more
	seq       uint64 // in order of arrival; 0 until it is held
	size      int    // bytes that it takes in a call with several
	look      time.Duration
	slots     [2]int // its places in looks and deaths
	spare     bool   // see Resumed
}

// attempt names one Send.
type attempt struct {
	id string
	n  int
}

// sending is a message in a call.
type sending struct {
	m *message
	c *call
}

// undecided is an attempt whose answer may be another call's, and what the answer tells.
type undecided struct {
	m       *message
	c       *call
	outcome Outcome
	closed  bool   // the message is over
	ended   *Ended // where the route has not been judged by it; else nil
}

// call is one call at an endpoint, with one or several messages.
type call struct {
	ep         *endpoint
	sentAt     time.Duration
	left       int
	trial      bool
	sends      []attempt
	called     bool // called off
	judged     bool // one of its messages has told how it went
	corrected  bool // its outcome turned out to be another than was thought
	repeatable bool // none of its messages is unsafe
	spare      bool
}

// do adds an action to the reply.
func (s *Sender) do(a Action) { s.actions = append(s.actions, a) }

// seconds and span convert between durations and seconds.
func seconds(t time.Duration) float64 { return t.Seconds() }

func span(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// rank gives the indexes their orders.
func (s *Sender) rank() {
	s.looks.place = func(m *message) *int { return &m.slots[0] }
	s.looks.before = func(a, b *message) bool { return a.look < b.look || (a.look == b.look && a.seq < b.seq) }
	s.deaths.place = func(m *message) *int { return &m.slots[1] }
	s.deaths.before = func(a, b *message) bool {
		return a.dropDead < b.dropDead || (a.dropDead == b.dropDead && a.seq < b.seq)
	}
	s.turns.place = func(d *destination) *int { return &d.places[0] }
	s.turns.before = func(a, b *destination) bool { return a.turn < b.turn || (a.turn == b.turn && a.id < b.id) }
	s.parked.place = func(d *destination) *int { return &d.places[1] }
	s.parked.before = func(a, b *destination) bool { return a.until < b.until || (a.until == b.until && a.id < b.id) }
}

// ease takes a sample into a smoothed value.
func (s *Sender) ease(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + s.t.Smoothing*(min(sample, 20*old)-old)
}

// Knows tells that a destination is on the list, or was not long ago.
func (s *Sender) Knows(dest int) bool { return s.dests[dest] != nil }

// destination returns the state of a destination, new if it was not mentioned before.
func (s *Sender) destination(id int) *destination {
	d := s.dests[id]
	if d == nil {
		d = &destination{id: id, shared: newRoute(id, ""), places: [2]int{-1, -1}}
		s.dests[id] = d
		s.vacate(d)
	}
	return d
}

// keepOnly drops the endpoints that a whole list does not have.
func (s *Sender) keepOnly(entries []Entry) {
	named := make(map[string]bool, len(entries))
	for _, entry := range entries {
		named[entry.Endpoint] = true
	}
	var left []*endpoint
	for _, e := range s.eps {
		if !named[e.id] {
			left = append(left, e)
		}
	}
	slices.SortFunc(left, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) }) // nothing hangs on map order
	for _, e := range left {
		s.drop(e)
	}
}

// drop forgets an endpoint that has left the list. Calls out there keep it until they end. If its id comes back
// it starts afresh, but for a wait that a route apart has told of.
func (s *Sender) drop(e *endpoint) {
	e.ready = false
	delete(s.eps, e.id)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	s.vacate(e.dest)
	s.inherit(e)
}

// vacate notes that a destination may have lost its last endpoint.
func (s *Sender) vacate(d *destination) {
	d.emptied = s.now
	if !d.empty && len(d.endpoints) == 0 {
		d.empty = true
		s.emptied = append(s.emptied, vacancy{d, s.now})
	}
}

// inherit hands on a wait that was told after its endpoint had left the list: it binds whoever has the id.
func (s *Sender) inherit(e *endpoint) {
	heir := s.eps[e.id]
	if heir == e || e.route == e.dest.shared || s.now >= e.route.waitUntil {
		return
	}
	if heir != nil {
		heir.route.waitUntil = max(heir.route.waitUntil, e.route.waitUntil)
	} else {
		s.parted[e.id] = e.route.waitUntil
	}
}

// wakeUp brings a destination for which something comes after a silence to what package idle still believes of it.
func (s *Sender) wakeUp(d *destination) {
	silence := s.now - max(d.cameAt, d.usedAt)
	if d.busy() || max(d.cameAt, d.usedAt) == 0 || silence < idle.StaleAfter {
		return
	}
	d.gate = gate{}
	shared := s.back(d.shared, silence)
	for _, e := range d.endpoints {
		r := shared
		if e.route != d.shared {
			r = s.back(e.route, silence)
		}
		*e = endpoint{id: e.id, zone: e.zone, dest: d, route: r, ready: e.ready}
	}
	d.shared = shared
}

// back is a route as it is met after a silence.
func (s *Sender) back(r *route, silence time.Duration) *route {
	past := idle.Past{Silence: silence, Wait: r.waitUntil - s.now, Capacity: r.limit}
	switch {
	case r.sick && r.harmless:
		past.Outage = idle.Harmless
	case r.sick:
		past.Outage = idle.Unsure
	case r.recovering():
		past.Outage = idle.Cold
	}
	if r.limit == 0 {
		past.Capacity = r.busiest
	}
	how, fresh := idle.Back(past), newRoute(r.dest, r.endpoint)
	s.strike(fresh)
	fresh.weight, fresh.waitUntil, fresh.busiest = r.weight, s.now+how.Wait, how.Capacity
	if r.limit > 0 && how.Capacity > 0 {
		fresh.limit, fresh.reported = how.Capacity, true
	}
	if fresh.harmless = how.Harmless; how.Trial {
		fresh.trialAt, fresh.tokens = s.now, 1
	} else { // the first call goes at once, and is the trial that it would have been
		fresh.sick, fresh.coldFrom, fresh.tokens = false, s.now, 1
	}
	return fresh
}

// recovering tells that the route is struck or may have been out, or is not yet surely warm again: slow start paces it.
func (r *route) recovering() bool { return r.sick || r.coldFrom > 0 || r.doubted }

// oldest is for how long the message has waited that has waited the longest.
func (d *destination) oldest(now time.Duration) time.Duration {
	if len(d.waiting) == 0 {
		return 0
	}
	return now - d.waiting[0].arrived
}

// unlimited tells that the route says that it has no limit: what it turns away finds its queue full.
func (r *route) unlimited() bool { return r.reported && r.limit == 0 }

// narrow has the calls to an endpoint that was struck grow from few again where no limit paces them: when the way back
// ended, all that had gathered went out at once, was turned away, and read as the next outage.
func (e *endpoint) narrow(now time.Duration) {
	if e.route.unlimited() {
		e.window.Restart(now)
	}
}

// giveBack has a call not count whose connection broke or never came up: at a slow pace its messages would wait seconds for
// the next. On the way back from an outage it counts, for it may have run.
func (r *route) giveBack() {
	if !r.recovering() {
		r.tokens = max(r.tokens, min(r.tokens+1, 1))
	}
}

// told has a wait bind.
func (r *route) told(until time.Duration) {
	r.waitUntil, r.toldUntil = max(r.waitUntil, until), max(r.toldUntil, until)
}

// route is that of a destination's endpoints, or of one that is a route apart; nil for none that is known.
func (s *Sender) route(dest int, endpoint string) *route {
	if e := s.eps[endpoint]; endpoint != "" && e != nil && e.dest.id == dest {
		return e.route
	}
	if d := s.dests[dest]; d != nil && endpoint == "" {
		return d.shared
	}
	return nil
}

// heard notes what others of the fleet know of a route.
func (s *Sender) heard(e Heard) {
	r := s.route(e.Dest, e.Endpoint)
	if r == nil {
		return
	}
	s.refill(r) // at the pace that held until now
	r.known = e.Known
	if r.sick {
		r.trialAt = r.known.Trial(s.now, r.struckAt, r.trialAt, s.rng.Float64())
	}
	s.stir(s.dests[e.Dest])
}

// toldBefore has a wait bind that was told in an earlier life. An endpoint that is not on the list is bound as one that
// has left it with a wait.
func (s *Sender) toldBefore(w Waits) {
	e := s.eps[w.Endpoint]
	switch {
	case w.Endpoint == "":
		s.destination(w.Dest).shared.told(w.Until)
	case e != nil:
		e.route.told(w.Until)
	default:
		s.parted[w.Endpoint] = max(s.parted[w.Endpoint], w.Until)
	}
}

// forget lets go of destinations that have had no endpoint for long and nothing under way, and of waits that are
// over. It looks at those alone whose time has come.
func (s *Sender) forget() {
	for len(s.emptied) > 0 && s.now-s.emptied[0].at >= s.t.ForgetAfter {
		d := s.emptied[0].d
		s.emptied[0].d, s.emptied = nil, s.emptied[1:]
		d.empty = false
		switch {
		case len(d.endpoints) > 0:
		case d.busy() || s.now < d.shared.waitUntil:
			s.vacate(d)
		case s.now-d.emptied < s.t.ForgetAfter: // it had one in between
			d.empty = true
			s.emptied = append(s.emptied, vacancy{d, d.emptied})
		default:
			delete(s.dests, d.id)
		}
	}
	maps.DeleteFunc(s.parted, func(_ string, until time.Duration) bool { return s.now >= until })
}

// restKey lets a key rest from now on, and forgets the rests that are over.
func (s *Sender) restKey(key string) {
	until := s.now + s.cfg.OrderSettle
	s.rests[key] = until
	s.resting = append(s.resting, keyRest{key, until})
	for s.resting[0].until <= s.now {
		if s.rests[s.resting[0].key] <= s.now {
			delete(s.rests, s.resting[0].key)
		}
		if s.resting = s.resting[1:]; len(s.resting) == 0 {
			return
		}
	}
}

// apart tells that the endpoints are routes of their own.
func (s *Sender) apart(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].Apart
}

// batch is the most messages in one call, and the bytes that they may take.
func (s *Sender) batch(d *destination) (most, room int) {
	if d.single || d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1, 0
	}
	k := s.cfg.Kinds[d.kind]
	if k.Room <= 0 {
		k.Room = math.MaxInt
	}
	return max(k.Batch, 1), k.Room
}

// enqueue puts a message among its destination's waiting, in order of arrival.
func (s *Sender) enqueue(m *message) {
	if m.waits || m.over {
		return
	}
	d := m.dest
	m.waits = true
	s.waits++
	if m.spare {
		if m.key != "" { // it holds its key's turn only while it is out
			s.lines[m.key] = slices.DeleteFunc(s.lines[m.key], func(o *message) bool { return o == m })
			s.trimLine(m.key)
		}
		if d.spares = append(d.spares, m); len(d.spares) == 1 {
			s.lending = append(s.lending, d)
		}
		return
	}
	i := len(d.waiting)
	for i > 0 && d.waiting[i-1].arrived > m.arrived {
		i--
	}
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = m
	s.stir(d)
}

// dequeue takes it out again.
func (s *Sender) dequeue(m *message) {
	if !m.waits {
		return
	}
	m.waits = false
	s.waits--
	d := m.dest
	queue := &d.waiting
	if m.spare {
		queue = &d.spares
	}
	for i, w := range *queue {
		if w == m {
			*queue = append((*queue)[:i], (*queue)[i+1:]...)
			break
		}
	}
	if len(d.waiting) == 0 {
		s.turns.remove(d)
		s.parked.remove(d)
	}
	if m.spare && len(d.spares) == 0 {
		s.lending = slices.DeleteFunc(s.lending, func(o *destination) bool { return o == d })
	}
}

// othersWait tells that a message waits that is no spare one.
func (s *Sender) othersWait() bool {
	n := s.waits
	for _, d := range s.lending {
		n -= len(d.spares)
	}
	return n > 0
}

// busy tells that a destination has messages waiting or calls out.
func (d *destination) busy() bool { return len(d.waiting)+len(d.spares)+len(d.calls) > 0 }

// stir notes news of a destination: if it has no calls out and something waits there, it may have a turn.
func (s *Sender) stir(d *destination) {
	if len(d.waiting) == 0 || len(d.calls) > 0 || d.places[0] >= 0 {
		return
	}
	s.parked.remove(d)
	s.spend(d)
	d.turn = math.Inf(-1)
	if d.used > 0 {
		d.turn = math.Log(d.used) + seconds(d.usedAt)/seconds(s.t.SlotSpan)
	}
	s.turns.add(d)
}

// park has a destination that can have no turn wait for a time.
func (s *Sender) park(d *destination, until time.Duration) {
	s.turns.remove(d)
	d.until = until
	s.parked.add(d)
}

// unpark gives those back their turns whose time has come.
func (s *Sender) unpark() {
	for s.parked.Len() > 0 && s.parked.all[0].until <= s.now {
		s.stir(s.parked.all[0])
	}
}

// call notes a call that goes out.
func (s *Sender) call(d *destination, c *call) {
	if len(d.calls) == 0 {
		s.spend(d)
		s.turns.remove(d)
		s.parked.remove(d)
		s.calling = append(s.calling, d)
	}
	d.calls = append(d.calls, c)
}

// hangEnd gives back the slot of a call all of whose messages have their outcomes.
func (s *Sender) hangEnd(c *call) {
	s.busy--
	if c.spare {
		s.lent--
	}
	c.ep.out--
	d := c.ep.dest
	s.spend(d)
	d.calls = slices.DeleteFunc(d.calls, func(o *call) bool { return o == c })
	if len(d.calls) == 0 {
		i := slices.Index(s.calling, d)
		last := len(s.calling) - 1
		s.calling[i], s.calling[last] = s.calling[last], nil
		s.calling = s.calling[:last]
		s.stir(d)
	}
}

// trimLine drops ended messages from the head of a key's line; one with an attempt out still holds its turn.
func (s *Sender) trimLine(key string) {
	line := s.lines[key]
	if len(line) == 0 {
		return
	}
	for len(line) > 0 && line[0].over && line[0].out == 0 {
		line = line[1:]
	}
	if s.lines[key] = line; len(line) == 0 {
		delete(s.lines, key)
	}
}

// keep puts a message among the held, and unkeep takes it out once it has ended.
func (s *Sender) keep(m *message) {
	s.seq++
	m.seq, m.look = s.seq, s.nextLook(m)
	s.looks.add(m)
	s.deaths.add(m)
}

func (s *Sender) unkeep(m *message) {
	if m.seq == 0 {
		return
	}
	s.looks.remove(m) // expire may just have it
	s.deaths.remove(m)
	if m.spare {
		s.spares--
	} else {
		s.gone++
	}
}

// lookAgain notes that a message may have to be looked at at another time.
func (s *Sender) lookAgain(m *message) {
	if m.seq > 0 && !m.over && m.slots[0] >= 0 {
		m.look = s.nextLook(m)
		s.looks.fix(m)
	}
}

// due takes out the messages that are to be looked at now, in order of arrival.
func (s *Sender) due() []*message {
	var all []*message
	for s.looks.Len() > 0 && s.looks.all[0].look <= s.now {
		m := s.looks.all[0]
		s.looks.remove(m)
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

// open is how many messages are held that are not spare. The ended count until expire; those whose answer is
// undecided don't, for they need no more than their place in the journal.
func (s *Sender) open() int { return s.deaths.Len() - s.spares + s.gone - len(s.undecided) }
