// Package peers has the nodes of a fleet talk: one service beside a node's engine, which tells the others what the engine's calls
// meet and tells the engine what the others know. Package core decides what is said and believed, package link carries it.
//
// Nothing of it exists where no file is named for it. However it fails, a node that hears nothing goes by what it sees itself,
// as one that never talked.
package peers

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/fleet"
	"starlingusher/peers/budget"
	"starlingusher/peers/core"
	"starlingusher/peers/link"
	"starlingusher/peers/member"
)

const (
	tickEvery = 50 * time.Millisecond
	mostSeen  = 1 << 16 // sightings between two ticks; beyond that they are counted and not told
	leaveTime = 200 * time.Millisecond
	lookTime  = 2 * time.Second
)

// Options of a service.
type Options struct {
	File     *File
	Settings choice.Settings // of the node
	State    string          // the node's folder that lasts; only a voter of leases writes to it
	Log      *slog.Logger
}

// Service is a node's side. It is a delivery.Shared.
type Service struct {
	o     Options
	self  member.Record
	begun time.Time // the core's clock shows 0
	core  *core.Core
	link  *link.Link
	looks chan chan Status
	quits chan struct{} // closed once this node is to leave its fellows for good
	quit  sync.Once
	// Of leases; nil where the file has no part on them, or not on that.
	leases    *leases
	discovery *Discovery
	trials    *trials
	copies    *Copies

	mu     sync.Mutex
	where  map[string]string // addresses of members, by name
	seen   []sighting
	missed uint64
	apart  map[int][]string       // endpoints of destinations whose endpoints are routes apart
	addrs  map[string]string      // of endpoints that are ready, by id,
	dests  map[int]map[string]int // and those of each destination
	news   map[core.Key]fleet.Known
	fresh  chan struct{}
}

// sighting is something that the engine told, until the next tick.
type sighting struct {
	at    time.Duration
	what  uint8
	key   core.Key
	sign  core.Sign
	limit float64
}

const (
	came uint8 = iota
	sent
	saw
	began
)

// Open listens. Run has to be called next, or Close.
func Open(o Options) (*Service, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil { // a life that could come again would be believed as the old one
		return nil, fmt.Errorf("peers: %w", err)
	}
	s := &Service{
		o: o, begun: time.Now(), looks: make(chan chan Status), quits: make(chan struct{}), apart: map[int][]string{}, addrs: map[string]string{}, dests: map[int]map[string]int{},
		news: map[core.Key]fleet.Known{}, fresh: make(chan struct{}, 1),
		self: member.Record{Name: o.File.Name, Life: binary.LittleEndian.Uint64(seed[:8]) | 1, Addr: o.File.Advertise, Machine: o.File.Machine, Zone: o.File.Zone},
	}
	if s.self.Name == "" {
		return nil, fmt.Errorf("peers: the node has no name")
	}
	var err error
	var holder link.Holder
	if o.File.Copies != nil {
		if s.copies, err = openCopies(s, o.State); err != nil {
			return nil, err
		}
		holder = s.copies
	}
	s.link, err = link.Open(link.Options{Holder: holder, Listen: o.File.Listen, Name: s.self.Name, Life: s.self.Life, Log: o.Log, Look: s.look, Leases: newOperator(s)})
	if err != nil {
		return nil, errors.Join(err, s.closeStores())
	}
	s.core = core.New(core.Settings{
		Member:    member.Settings{Self: s.self, Seeds: o.File.Seeds, Period: o.File.Period},
		Budget:    budget.Settings{Fleet: max(o.Settings.Fleet, 1), Voters: o.File.Voters, Term: o.File.Term, Drift: o.File.Drift},
		Addresses: o.File.Addresses,
	}, binary.LittleEndian.Uint64(seed[8:]), 0)
	if o.File.Leases != nil {
		if s.leases, err = openLeases(s, o.State); err != nil {
			s.link.Close()
			return nil, errors.Join(err, s.closeStores())
		}
		if o.File.Leases.Discovery != "" {
			s.discovery = newDiscovery(s)
		}
		if o.File.Leases.Trials {
			s.trials = &trials{s: s, wanted: map[core.Key]string{}, todo: make(chan func(context.Context), mostTodo)}
		}
	}
	o.Log.Info("talking to peers", "name", s.self.Name, "life", fmt.Sprintf("%016x", s.self.Life), "listen", s.link.Addr(), "seeds", o.File.Seeds, "voters", o.File.Voters)
	return s, nil
}

// Close gives back what Open took. It may be called after Run, and again.
func (s *Service) Close() {
	s.link.Close()
	if err := s.closeStores(); err != nil {
		s.o.Log.Error("a file can't be closed", "err", err)
	}
}

func (s *Service) closeStores() (err error) {
	if s.copies != nil {
		err = s.copies.store.Close()
	}
	if s.leases != nil {
		err = errors.Join(err, s.leases.close())
	}
	return err
}

// Copies is this node's side of journals that stand on further nodes, nil where they don't.
func (s *Service) Copies() *Copies { return s.copies }

func (s *Service) now() time.Duration { return time.Since(s.begun) }

// Run talks until ctx ends, and then tells some others that it leaves.
func (s *Service) Run(ctx context.Context) {
	defer s.link.Close()
	wait := s.besides(ctx)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	quits := s.quits
	for {
		select {
		case p := <-s.link.Packets():
			s.core.Take(s.now(), p)
			s.pass(p)
		case <-tick.C:
			s.told()
			s.core.Tick(s.now())
			s.locate()
			if s.trials != nil {
				s.trials.tick(s.now())
			}
			if s.discovery != nil {
				s.discovery.tick(s.now())
			}
			s.publish()
		case <-quits:
			quits = nil
			s.core.Leave(s.now())
			s.post()
		case reply := <-s.looks:
			reply <- s.status()
		case <-ctx.Done():
			s.core.Leave(s.now())
			s.post()
			wait()
			time.Sleep(leaveTime) // for what was posted; nothing waits for it to arrive
			return
		}
		s.post()
		s.log()
	}
}

// leave has this node tell its fellows that it leaves for good, while it still runs.
func (s *Service) leave() { s.quit.Do(func() { close(s.quits) }) }

// besides starts what a node with leases has beside the service's goroutine. What it returns is called when ctx has ended, and waits: those
// who act by leases end first, then what is held is given back.
func (s *Service) besides(ctx context.Context) (wait func()) {
	if s.leases == nil {
		return func() {}
	}
	var acting, holding sync.WaitGroup
	held, end := context.WithCancel(context.WithoutCancel(ctx))
	holding.Go(func() { s.leases.run(held) })
	if s.discovery != nil {
		acting.Go(func() { s.discovery.run(ctx) })
	}
	if s.trials != nil {
		acting.Go(func() { s.trials.run(ctx) })
	}
	if s.copies != nil {
		acting.Go(func() { s.copies.run(ctx) })
	}
	for _, d := range s.o.File.Leases.Duties {
		acting.Go(func() { s.serve(ctx, d) })
	}
	return func() {
		acting.Wait()
		end()
		holding.Wait()
	}
}

// pass hands on what is not the core's.
func (s *Service) pass(p core.Packet) {
	if s.leases != nil && len(p.Lease) > 0 {
		s.leases.take(p)
	}
	if s.discovery != nil && len(p.Relay) > 0 {
		s.discovery.take(p.From, p.Relay)
	}
}

// locate notes where members are, for those who send beside the core.
func (s *Service) locate() {
	if s.leases == nil || !s.core.Moved() {
		return
	}
	where := s.core.Addresses()
	if s.copies != nil {
		s.copies.know(s.core.Members())
	}
	s.mu.Lock()
	s.where = where
	s.mu.Unlock()
}

// address is where a node is reached, empty if that is not known.
func (s *Service) address(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.where[name]
}

func (s *Service) post() {
	for _, l := range s.core.Letters() {
		s.link.Send(l.Addr, l.Packet)
	}
}

// told hands the core what the engine told since the last tick.
func (s *Service) told() {
	s.mu.Lock()
	seen := s.seen
	s.seen = nil
	s.mu.Unlock()
	for _, e := range seen {
		switch e.what {
		case came:
			s.core.Came(e.at, e.key, e.limit)
		case sent:
			s.core.Sent(e.key)
		case saw:
			s.core.Saw(e.at, e.key, e.sign, e.limit)
		case began:
			s.core.Began(e.at, e.key)
		}
	}
}

// publish has the engine told what is new for it.
func (s *Service) publish() {
	news := s.core.News(s.now())
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	for _, n := range news {
		s.news[n.Key] = n.Known
	}
	s.mu.Unlock()
	select {
	case s.fresh <- struct{}{}:
	default:
	}
}

// log writes what has changed.
func (s *Service) log() {
	for _, e := range s.core.Events() {
		switch e.Kind {
		case core.MemberChanged:
			m := e.Member
			s.o.Log.Info("peer "+m.State.String(), "peer", m.Name, "life", fmt.Sprintf("%016x", m.Life), "was", m.Was.String(), "new", m.Fresh, "by", m.By,
				"addr", m.Addr, "machine", m.Machine, "zone", m.Zone)
		case core.Deaf:
			s.o.Log.Warn("deaf: no majority of the voters is heard, limits go by what this node may have alone", "voters", s.o.File.Voters)
		case core.Hears:
			s.o.Log.Info("hears the voters", "after", e.For.Round(time.Millisecond))
		case core.OtherSettings:
			s.o.Log.Error("a peer has other settings of shares: nothing is shared with it; fleetSize, voters, term and drift must be the same", "peer", e.Name)
		case core.TwoProcesses:
			s.o.Log.Error("another process uses this node's name among its peers", "name", s.self.Name)
		}
	}
}

// add keeps a sighting for the next tick.
func (s *Service) add(e ...sighting) {
	at := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range e {
		if len(s.seen) >= mostSeen {
			s.missed++
			continue
		}
		one.at = at
		s.seen = append(s.seen, one)
	}
}

// Listed is delivery.Shared's: which endpoints are routes apart, and which have another address than before.
func (s *Service) Listed(l delivery.List) {
	s.mu.Lock()
	var fresh []sighting
	named, touched := map[string]bool{}, map[int]bool{}
	for _, m := range l.Members {
		if m.ID == "" {
			continue
		}
		named[m.ID], touched[m.Dest] = true, true
		of := s.dests[m.Dest]
		if of == nil {
			of = map[string]int{}
			s.dests[m.Dest] = of
		}
		old, was := s.addrs[m.ID]
		if m.Phase != choice.Ready {
			delete(s.addrs, m.ID)
			delete(of, m.ID)
			continue
		}
		kinds := s.o.Settings.Kinds
		isApart := m.Kind >= 0 && m.Kind < len(kinds) && kinds[m.Kind].Apart
		if !was || old != m.Addr {
			key := core.Key{Dest: m.Dest}
			if isApart {
				key.Endpoint = m.ID
			}
			if was || isApart || len(of) == 0 { // of a shared route the others go on
				fresh = append(fresh, sighting{what: began, key: key})
			}
		}
		s.addrs[m.ID], of[m.ID] = m.Addr, m.Kind
	}
	for dest, of := range s.dests {
		if !l.Complete && !touched[dest] {
			continue
		}
		if l.Complete {
			maps.DeleteFunc(of, func(id string, _ int) bool { return !named[id] })
		}
		var ids []string
		for id, kind := range of {
			if kinds := s.o.Settings.Kinds; kind >= 0 && kind < len(kinds) && kinds[kind].Apart {
				ids = append(ids, id)
			}
		}
		s.apart[dest] = ids
		if len(of) == 0 {
			delete(s.dests, dest)
			delete(s.apart, dest)
		}
	}
	if l.Complete {
		maps.DeleteFunc(s.addrs, func(id, _ string) bool { return !named[id] })
	}
	s.mu.Unlock()
	s.add(fresh...)
}

// Came is delivery.Shared's.
func (s *Service) Came(dest int) {
	s.mu.Lock()
	apart := s.apart[dest]
	s.mu.Unlock()
	if len(apart) == 0 {
		s.add(sighting{what: came, key: core.Key{Dest: dest}, limit: 1})
		return
	}
	for _, id := range apart {
		s.add(sighting{what: came, key: core.Key{Dest: dest, Endpoint: id}, limit: 1 / float64(len(apart))})
	}
}

// Sent is delivery.Shared's.
func (s *Service) Sent(dest int, endpoint string) {
	s.add(sighting{what: sent, key: core.Key{Dest: dest, Endpoint: endpoint}})
}

// Saw is delivery.Shared's.
func (s *Service) Saw(v delivery.Sight) {
	e := sighting{what: saw, key: core.Key{Dest: v.Dest, Endpoint: v.Endpoint}, limit: -1}
	if v.HasLimit {
		e.limit = v.Limit
	}
	e.sign = [...]core.Sign{delivery.SawPass: core.Passed, delivery.SawRefusal: core.Refused, delivery.SawFailure: core.Failed}[v.Sign]
	s.add(e)
}

// Watch is delivery.Shared's.
func (s *Service) Watch(ctx context.Context, tell func(delivery.News)) {
	for {
		select {
		case <-s.fresh:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		news := s.news
		s.news = map[core.Key]fleet.Known{}
		s.mu.Unlock()
		out := delivery.News{Zero: s.begun}
		for key, k := range news {
			out.Heard = append(out.Heard, choice.Heard{Dest: key.Dest, Endpoint: key.Endpoint, Known: k})
		}
		tell(out)
	}
}

// look answers an operator.
func (s *Service) look(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	reply := make(chan Status, 1)
	select {
	case s.looks <- reply:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	st := <-reply
	if s.leases != nil {
		got := make(chan *LeaseStatus, 1)
		if err := s.leases.inside(ctx, func(now time.Duration) { got <- s.leases.status(now) }); err != nil {
			return nil, err
		}
		st.Leases = <-got
	}
	if s.copies != nil {
		st.Copies = s.copies.status(s.now())
	}
	return json.Marshal(st)
}
