package model

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (e event) before(o event) bool { return e.at < o.at || (e.at == o.at && e.seq < o.seq) }

// queue is a heap of what is still to come, soonest first. container/heap would box each event.
type queue[T interface{ before(T) bool }] []T

// push adds x.
func (q *queue[T]) push(x T) {
	*q = append(*q, x)
	all := *q
	i := len(all) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !x.before(all[up]) {
			break
		}
		all[i] = all[up]
		i = up
	}
	all[i] = x
}

// pop takes the soonest, of one at least.
func (q *queue[T]) pop() T {
	all := *q
	first, n := all[0], len(all)-1
	x := all[n]
	var none T
	all[n] = none
	all = all[:n]
	*q = all
	if n == 0 {
		return first
	}
	i := 0
	for {
		down := 2*i + 1
		if down >= n {
			break
		}
		if right := down + 1; right < n && all[right].before(all[down]) {
			down = right
		}
		if !all[down].before(x) {
			break
		}
		all[i] = all[down]
		i = down
	}
	all[i] = x
	return first
}

// run is a day that is being played.
type run struct {
	day      *Day
	seed     uint64
	options  Options
	todo     queue[event]
	now      time.Duration
	seq      int
	nodes    []*node
	partners []*partner
	all      map[string]*endpoint
	changes  []change // of the list, in order
	source   Source
	stale    []Trouble
	rules    *checker
	shares   []float64 // of the nodes, summed up
	classes  []float64 // likewise

	tally
	// hand takes a message that a client hands in for the first time: offer, unless somebody else is to have them.
	hand func(number uint64, tries int, p *partner, class int, key string, b *body)
}

// change is one of the list.
type change struct {
	at      time.Duration
	entries []choice.Entry
}

// node is a Node in a run.
type node struct {
	Node
	id       int
	life     int
	began    time.Duration // its life
	dead     bool
	leaving  bool
	decide   Decider
	held     map[string]*message
	out      int // calls
	conns    map[*endpoint]*conns
	calling  map[string]*call // by message
	watching bool
	known    int // changes that it was told
	asking   fleet.Asking
	unheard  int // calls in a row that failed
	asks     *rand.PCG
	wakes    time.Duration // the soonest that was asked for
}

// message is one that a client has handed in, once.
type message struct {
	number   uint64 // of the client's message
	tries    int
	node     int
	partner  *partner
	class    *Class
	classNo  int
	key      string
	body     *body
	dropDead time.Duration
	attempts int
	out      int
	sentAt   time.Duration // the last attempt
	mayRun   time.Duration // when the first attempt was made that may have run
	touched  bool
	effects  int // Keyed: that it had, under this id
	failed   bool
	ended    bool
	name     string
	steps    []Step
}

// body is what all hand-ins of one message share.
type body struct {
	born    time.Duration
	effects int
	first   time.Duration
	got     bool
	node    int
	class   int
	last    string        // how it ended last
	age     time.Duration // when it was delivered
	worth   float64
	part    int // its tenant, if it is within that one's share; else -1
}

func (m *message) id() string { return m.name }

// told are its steps.
func (m *message) told() []Step { return slices.Clone(m.steps) }

func newRun(d *Day, o Options) *run {
	r := &run{day: d, seed: o.Seed, options: o, all: map[string]*endpoint{}, source: d.List.Source}
	r.rules = newChecker(r)
	r.hand = r.offer
	r.tally.begin(d)
	total := 0.0
	for _, n := range d.Nodes {
		total += n.Share
		r.shares = append(r.shares, total)
	}
	total = 0
	for _, c := range d.Classes {
		total += c.Share
		r.classes = append(r.classes, total)
	}
	for i := range d.Partners {
		p := &partner{Partner: &d.Partners[i], id: i, coldFrom: -1, reports: stream(r.seed, ofReport, uint64(i))}
		p.tokens = max(1, p.Limit.Depth*p.Limit.Rate)
		for range p.Endpoints {
			r.endpoint(p)
		}
		r.partners = append(r.partners, p)
	}
	for i, n := range d.Nodes {
		r.nodes = append(r.nodes, &node{Node: n, id: i, asks: stream(r.seed, ofAsking, uint64(i))})
	}
	return r
}

// endpoint adds one to a partner.
func (r *run) endpoint(p *partner) *endpoint {
	e := &endpoint{id: "e" + strconv.Itoa(p.id) + "-" + strconv.Itoa(len(p.endpoints)), number: uint64(len(r.all)), partner: p,
		busy: make([]time.Duration, p.Servers)}
	p.endpoints = append(p.endpoints, e)
	r.all[e.id] = e
	return e
}

func (r *run) entry(e *endpoint) choice.Entry {
	return choice.Entry{Endpoint: e.id, Kind: e.partner.Kind, Dest: e.partner.id, Phase: e.phase, Weight: e.partner.Weight}
}

// settings are a node's.
func (r *run) settings(n *node) choice.Settings {
	s := r.day.Rules
	s.Classes = make([]choice.Class, len(r.day.Classes))
	for i, c := range r.day.Classes {
		s.Classes[i] = c.Class
	}
	s.Tenants = make([]choice.Tenant, len(r.day.Tenants))
	for i, t := range r.day.Tenants {
		s.Tenants[i] = choice.Tenant{PerSecond: t.PerSecond}
	}
	s.Kinds, s.Fleet, s.Slots, s.MaxOpen = r.day.Kinds, len(r.nodes), n.Slots, n.MaxOpen
	return s
}

func (r *run) at(t time.Duration, do func()) {
	r.seq++
	r.todo.push(event{max(t, r.now), r.seq, do})
}

// later does something for a node at a time, unless it has died before.
func (r *run) later(n *node, t time.Duration, do func()) {
	life := n.life
	r.at(t, func() {
		if n.life == life && !n.dead {
			do()
		}
	})
}

// play plays to the end of what came.
func (r *run) play() {
	for _, t := range r.day.Troubles {
		r.trouble(t)
	}
	if b := r.options.Beside; b != nil {
		b.Begin(World{r})
	}
	for _, n := range r.nodes {
		r.start(n, nil)
	}
	r.clients()
	longest := time.Duration(0)
	for _, c := range r.day.Classes {
		longest = max(longest, c.Deadline)
	}
	last := r.day.Length + longest + time.Second
	if r.options.Holds {
		r.looks(last)
	}
	for len(r.todo) > 0 {
		e := r.todo.pop()
		if r.now = e.at; r.now > last {
			break
		}
		e.do()
	}
	r.rules.over()
}

// clients plans all that comes.
func (r *run) clients() {
	for _, p := range r.partners {
		r.arrivals(p)
	}
	const given = 1 << 60 // their numbers begin above all others
	for i, g := range r.day.Given {
		r.at(g.At, func() {
			p := r.partners[g.Partner]
			b := &body{born: r.now, node: g.Node}
			r.tally.asked(r, p, g.Class, b)
			r.hand(given+uint64(i), 0, p, g.Class, "", b)
		})
	}
}

// trouble plans one.
func (r *run) trouble(t Trouble) {
	for _, i := range t.Partners {
		p := r.partners[i]
		p.ills = append(p.ills, t)
		if t.Outage() {
			r.at(t.At, func() { p.saw, p.coldFrom, p.cold = map[int]bool{}, t.At+t.For, nil })
			if t.Ill == Down { // its process ends, and with it what it served
				r.at(t.At, func() {
					for _, e := range p.endpoints {
						clear(e.busy)
						e.ends = nil
					}
				})
			}
		}
		if t.Ill == Replace {
			r.replace(p, t)
		}
	}
	for k, i := range t.Nodes {
		n := r.nodes[i]
		back := t.At + t.For
		if t.Every > 0 {
			back += time.Duration(uniform(stream(r.seed, ofNode, uint64(i)<<8|uint64(k&0xff))) * float64(t.Every))
		}
		switch t.Ill {
		case Kill:
			r.at(t.At, func() { r.kill(n) })
			r.at(back, func() { r.comeBack(n) })
		case Leave:
			const notice = time.Second
			r.later(n, t.At, func() {
				n.leaving = true
				r.step(n, choice.Leaving{By: r.now + notice})
			})
			r.at(t.At+notice, func() { r.kill(n) })
			r.at(max(back, t.At+notice+time.Millisecond), func() { r.comeBack(n) })
		}
	}
	if t.Ill == Stale {
		r.stale = append(r.stale, t)
		r.at(t.At, func() {
			for _, n := range r.nodes {
				n.watching = false
			}
		})
		r.at(t.At+t.For, func() {
			for _, n := range r.nodes {
				r.ask(n, r.failed(n, 0))
			}
		})
	}
}

// replace drains some of a partner's endpoints, has new ones come, and ends the old ones.
func (r *run) replace(p *partner, t Trouble) {
	span := max(t.For, time.Second)
	draws := stream(r.seed, ofNotice, uint64(p.id)<<1|1)
	for i := range p.Endpoints {
		u, when := uniform(draws), uniform(draws)
		if u >= t.Size {
			continue
		}
		r.at(t.At+time.Duration(when*float64(span)), func() {
			old := p.endpoints[i]
			if old.phase != choice.Ready {
				return
			}
			fresh := r.endpoint(p)
			old.phase = choice.Draining
			r.changed(r.entry(old), r.entry(fresh))
			r.at(r.now+8*time.Second, func() {
				old.phase, old.gone = choice.Gone, true
				r.changed(r.entry(old))
			})
		})
	}
}

// changed tells everybody who watches of a change.
func (r *run) changed(entries ...choice.Entry) {
	number := len(r.changes)
	r.changes = append(r.changes, change{r.now, entries})
	for _, n := range r.nodes {
		if n.dead || !n.watching {
			continue
		}
		u := uniform(stream(r.seed, ofNotice, uint64(number)<<17|uint64(n.id)<<1))
		r.later(n, r.now+time.Duration((0.5+u)*float64(r.day.List.Notice)), func() {
			if n.watching {
				r.catchUp(n, number+1)
			}
		})
	}
}

// catchUp tells a node of the changes up to a number.
func (r *run) catchUp(n *node, to int) {
	var entries []choice.Entry
	for ; n.known < to; n.known++ {
		entries = append(entries, r.changes[n.known].entries...)
	}
	if len(entries) > 0 {
		r.rules.listed(n.id, entries)
		r.step(n, choice.Listed{Entries: entries})
	}
}

// start begins a life of a node: it has the list as it was told last, and what its journal holds.
func (r *run) start(n *node, owed []*message) {
	n.began, n.dead, n.leaving, n.out, n.conns, n.calling, n.wakes = r.now, false, false, 0, map[*endpoint]*conns{}, map[string]*call{}, 0
	n.watching, n.asking, n.unheard = n.life == 0, fleet.Asking{}, 0
	if n.held == nil {
		n.held = map[string]*message{}
	}
	seed := r.seed*1_000_003 + uint64(n.id)*1009 + uint64(n.life)
	if r.options.New != nil {
		n.decide = r.options.New(r.settings(n), seed)
	} else {
		n.decide = choice.New(r.settings(n), seed)
	}
	entries := make([]choice.Entry, 0, len(r.all))
	for _, p := range r.partners {
		for _, e := range p.endpoints {
			entries = append(entries, choice.Entry{Endpoint: e.id, Kind: p.Kind, Dest: p.id, Weight: p.Weight})
		}
	}
	if n.life > 0 { // as it had it: the changes that it was told, on the list of the first day
		byID := map[string]choice.Phase{}
		seen := map[string]bool{}
		for _, c := range r.changes[:n.known] {
			for _, e := range c.entries {
				byID[e.Endpoint], seen[e.Endpoint] = e.Phase, true
			}
		}
		entries = slices.DeleteFunc(entries, func(e choice.Entry) bool {
			return byID[e.Endpoint] == choice.Gone || (r.added(e.Endpoint) && !seen[e.Endpoint])
		})
		for i := range entries {
			entries[i].Phase = byID[entries[i].Endpoint]
		}
		r.ask(n, 0)
	}
	events := []choice.Event{choice.Listed{Whole: true, Entries: entries}}
	for _, p := range r.partners {
		if until := r.rules.waits[[2]int{n.id, p.id}]; until > r.now {
			events = append(events, choice.Waits{Dest: p.id, Until: until})
		}
	}
	for _, m := range owed {
		events = append(events, choice.Resumed{Arrived: m.arrived(), Attempts: m.attempts, Touched: m.touched, MayRun: m.mayRun, Failed: m.failed})
	}
	r.step(n, events...)
	if r.options.Beside != nil {
		r.options.Beside.Began(n.id)
	}
}

// added tells that an endpoint came after the day had begun.
func (r *run) added(id string) bool {
	e := r.all[id]
	i := slices.Index(e.partner.endpoints, e)
	return i >= e.partner.Endpoints
}

// kill ends a life.
func (r *run) kill(n *node) {
	if n.dead {
		return
	}
	n.dead = true
	n.life++
	for e, c := range n.conns { // its connections are closed; calls that have arrived run on
		e.held -= c.open()
	}
	n.conns = nil
	if r.options.Beside != nil {
		r.options.Beside.Died(n.id)
	}
	for _, m := range n.held {
		if m.out > 0 && !m.touched {
			m.touched, m.mayRun = true, m.sentAt
		}
		m.out = 0
	}
}

func (r *run) comeBack(n *node) {
	if n.dead {
		owed := n.sorted()
		for _, m := range owed {
			r.trace(m, "taken up again", "")
		}
		r.start(n, owed)
	}
}

// sorted are its messages in an order that does not vary.
func (n *node) sorted() []*message {
	return slices.SortedFunc(maps.Values(n.held), func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.body.born, b.body.born), cmp.Compare(a.name, b.name))
	})
}

// step hands events to a node's decisions and carries their actions out.
func (r *run) step(n *node, events ...choice.Event) {
	var calls []*call
	for _, a := range n.decide.Step(r.now, events) {
		// Fields that older builds lack stand alone, so that they can be taken out (lab/experiment).
		joined, keep, beginBy := false, 0, time.Duration(0)
		switch a := a.(type) {
		case choice.Send:
			joined = a.Joined
			beginBy = a.BeginBy
			m := n.held[a.ID]
			if m == nil || r.all[a.Endpoint] == nil {
				r.rules.breach(OneEnd, n.id, m, "%s was sent, and has its end", a.ID)
				continue
			}
			if !joined || len(calls) == 0 {
				calls = append(calls, r.newCall(n, a))
			}
			calls[len(calls)-1].add(r, m, a.NotPast, beginBy)
		case choice.Wake:
			r.wake(n, a)
		case choice.Cancel:
			r.cancel(n, a)
		case choice.HangUp:
			if e := r.all[a.Endpoint]; e != nil {
				keep = a.Keep
				n.conn(e).keep(r, e, keep)
			}
		case choice.Fail:
			r.end(n, a.ID, "failed", false)
		case choice.PushBack:
			m := n.held[a.ID]
			r.end(n, a.ID, "refused", true)
			if m != nil {
				r.again(m, a.RetryAfter)
			}
		}
	}
	for _, c := range calls {
		r.begin(c)
	}
}

// wake rings once for all that was asked for up to then.
func (r *run) wake(n *node, a choice.Wake) {
	at := max(a.At, r.now+1)
	if n.wakes > r.now && n.wakes <= at {
		return
	}
	n.wakes = at
	r.later(n, at, func() {
		if n.wakes == at {
			n.wakes = 0
			r.step(n, choice.Rang{Tag: a.Tag})
		}
	})
}

// end takes a message's final answer.
func (r *run) end(n *node, id, how string, refused bool) {
	m := n.held[id]
	if m == nil {
		r.rules.breach(OneEnd, n.id, nil, "%s is %s, and has its end", id, how)
		return
	}
	r.trace(m, how, "")
	r.rules.ends(m, how, refused)
	m.ended = true
	delete(n.held, id)
	r.tally.end(m, how, r.now)
}

// again has a client come again with a message that was turned away.
func (r *run) again(m *message, after time.Duration) {
	c := &r.day.Clients
	if m.tries >= c.Retries {
		return
	}
	u := uniform(stream(r.seed, ofClient, m.number<<4|uint64(m.tries&0xf)))
	at := r.now + max(after, c.Least) + time.Duration(u*float64(c.Spread))
	if at >= m.dropDead || (m.class.Effect == choice.Keyed && m.touched && at >= m.mayRun+m.class.Window) {
		return // a keyed message that may have taken effect comes inside its window alone
	}
	r.at(at, func() { r.offer(m.number, m.tries+1, m.partner, m.classNo, m.key, m.body) })
}

// offer hands a message in. A client waits for a node that is dead.
func (r *run) offer(number uint64, tries int, p *partner, class int, key string, b *body) {
	n := r.nodes[b.node]
	if n.dead || n.leaving {
		const retry = 250 * time.Millisecond
		if r.now+retry < b.born+r.day.Classes[class].Deadline {
			r.at(r.now+retry, func() { r.offer(number, tries, p, class, key, b) })
		}
		return
	}
	c := &r.day.Classes[class]
	m := &message{number: number, tries: tries, node: n.id, partner: p, class: c, classNo: class, key: key, body: b,
		dropDead: b.born + c.Deadline, name: "m" + strconv.FormatUint(number, 10) + "." + strconv.Itoa(tries)}
	n.held[m.name] = m
	r.trace(m, "handed in", "")
	r.rules.accepted(m)
	r.step(n, m.arrived())
	if r.options.Beside != nil {
		r.options.Beside.Came(n.id, p.id)
	}
}

func (m *message) arrived() choice.Arrived {
	return choice.Arrived{ID: m.name, Class: m.classNo, Tenant: m.partner.Tenant, Dest: m.partner.id, Key: m.key, DropDead: m.dropDead, Size: 100}
}

// arrivals plans the next message of a partner, and it the one after.
func (r *run) arrivals(p *partner) {
	if p.Rate <= 0 {
		return
	}
	plain, clumps := stream(r.seed, ofArrivals, uint64(p.id)), stream(r.seed, ofClumps, uint64(p.id))
	number := uint64(p.id) << 24
	come := func(s *rand.PCG) {
		number++
		r.come(number, p, s)
	}
	surge := func() float64 {
		if t := p.ill(Surge, r.now); t != nil {
			return t.Size
		}
		return 1
	}
	if perSecond := p.Rate * (1 - p.Clumps); perSecond > 0 {
		var next func()
		plan := func() {
			at := r.now + time.Duration(exponential(plain)/(perSecond*surge())*float64(time.Second))
			if at < r.day.Length {
				r.at(at, next)
			}
		}
		next = func() {
			come(plain)
			plan()
		}
		plan()
	}
	if p.Clumps <= 0 {
		return
	}
	size := p.Clump * cmp.Or(p.Limit.Rate, p.Rate)
	size = max(1, math.Round(size))
	pause := size / (p.Rate * p.Clumps)
	var next func()
	plan := func() {
		if at := r.now + time.Duration(exponential(clumps)*pause*float64(time.Second)); at < r.day.Length {
			r.at(at, next)
		}
	}
	next = func() {
		for range int(size) {
			at := r.now + time.Duration(uniform(clumps)*float64(500*time.Millisecond))
			r.at(at, func() { come(clumps) })
		}
		plan()
	}
	plan()
}

// come has a client hand in a new message at one of the nodes.
func (r *run) come(number uint64, p *partner, s *rand.PCG) {
	pick := func(sums []float64) int {
		x := uniform(s) * sums[len(sums)-1]
		i, _ := slices.BinarySearch(sums, x)
		return min(i, len(sums)-1)
	}
	class := pick(r.classes)
	b := &body{born: r.now, node: pick(r.shares)}
	key := ""
	if r.day.Classes[class].Ordered {
		key = fmt.Sprint(p.id, "/", uint64(uniform(s)*16))
	}
	r.tally.asked(r, p, class, b)
	r.hand(number, 0, p, class, key, b)
}

// trace notes a step of a message.
func (r *run) trace(m *message, what, endpoint string) {
	s := Step{r.now, m.name, m.node, what, endpoint}
	m.steps = append(m.steps, s)
	if r.options.Trace != nil {
		r.options.Trace(s)
	}
}
