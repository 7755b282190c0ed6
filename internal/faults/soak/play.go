package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingusher/internal/faults/neighbour"
	"starlingusher/internal/standin"
)

// dropEvery is how often a server that drops its connections does.
const dropEvery = 150 * time.Millisecond

// Options are how a day is played.
type Options struct {
	Program string // the node
	Folder  string // for the nodes' files and logs; it exists
}

// Report is what came of a day.
type Report struct {
	Breaches []Breach
	Counts   Counts
	Worst    load // of all servers' slow starts, by the share of the budget
}

// play is a day that is being played.
type play struct {
	day       *Day
	options   Options
	began     atomic.Pointer[time.Time] // set anew once all nodes are ready; their logs are read before that
	history   *history
	servers   []*server
	nodes     []*node
	discovery []*agent     // the first is where nodes begin
	between   func() error // ends the neighbour in front of the servers; nil where there is none
	noticed   [2]int       // notices of each that were taken; of the goroutine that watches

	mu        sync.Mutex
	endpoints map[string]string // by address
	phases    map[string]standin.Member
	deaths    []span     // of nodes: from just before SIGKILL until their process has ended
	beside    []net.Conn // of idle and half-way clients
	work      sync.WaitGroup
}

func (p *play) now() time.Duration { return time.Since(*p.began.Load()) }

// begin makes an instant the day's first.
func (p *play) begin(at time.Time) { p.began.Store(&at) }

func (p *play) sleepUntil(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(at - p.now())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run plays a day. The error is of the rig; broken rules are in the report.
func Run(ctx context.Context, day *Day, o Options) (_ *Report, err error) {
	p := &play{day: day, options: o, endpoints: map[string]string{}, phases: map[string]standin.Member{}}
	p.begin(time.Now())
	p.history = newHistory(p)
	ctx, cancel := context.WithCancel(ctx)
	defer p.close()
	defer cancel()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	p.begin(time.Now())
	var all sync.WaitGroup
	for _, n := range p.nodes {
		c := &clients{play: p, node: n, rng: rand.New(rand.NewPCG(day.Seed, uint64(2000+n.number))),
			again: rand.New(rand.NewPCG(day.Seed, uint64(3000+n.number)))}
		n.leaving = make(chan struct{}, 1)
		all.Go(func() { c.run(ctx) })
	}
	watched, stop := context.WithCancel(ctx)
	defer stop()
	all.Go(func() { p.watch(watched) })
	var faults sync.WaitGroup
	errs := make(chan error, len(day.Faults))
	for _, f := range day.Faults {
		faults.Go(func() {
			if p.sleepUntil(ctx, f.At) {
				errs <- p.inflict(ctx, f)
			}
		})
	}
	faults.Wait()
	close(errs)
	for e := range errs {
		err = errors.Join(err, e)
	}
	longest := time.Duration(0)
	for _, c := range day.Classes {
		longest = max(longest, c.Deadline)
	}
	p.sleepUntil(ctx, day.Length+longest+lostSlack+ruleSlack+restartGrace)
	stop()
	all.Wait()
	if ctx.Err() != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	p.notices()
	p.history.overdue(true)
	return p.report(), err
}

func (p *play) report() *Report {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	r := &Report{Breaches: slices.Clone(p.history.breaches), Counts: p.history.counts}
	for _, s := range p.servers {
		s.mu.Lock()
		if s.worst.ratio() > r.Worst.ratio() {
			r.Worst = s.worst
		}
		s.mu.Unlock()
	}
	return r
}

func (p *play) start(ctx context.Context) error {
	for range 2 {
		d, err := newAgent()
		if err != nil {
			return err
		}
		p.discovery = append(p.discovery, d)
		if len(p.day.Agent) > 0 {
			if err := d.behind(p.day.Seed, p.day.Agent); err != nil {
				return err
			}
		}
	}
	for i := range p.day.Servers {
		s, err := newServer(p, i)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, s)
	}
	addrs, err := p.addrs()
	if err != nil {
		return err
	}
	for i, s := range p.servers {
		p.endpoint(s, fmt.Sprintf("s%d", i), addrs[i], "SERVING")
	}
	started := make(chan error, p.day.Nodes)
	for i := range p.day.Nodes {
		listen, err := reserve()
		if err != nil {
			return err
		}
		n := &node{play: p, number: i, folder: filepath.Join(p.options.Folder, fmt.Sprintf("n%d", i)), listen: listen, discovery: p.discovery[0].addr}
		p.nodes = append(p.nodes, n)
	}
	for _, n := range p.nodes {
		p.work.Go(func() { started <- n.start(ctx) })
	}
	for range p.nodes {
		err = errors.Join(err, <-started)
	}
	return err
}

// addrs is where nodes find the servers: behind a neighbour, if there is one.
func (p *play) addrs() (all []string, err error) {
	for _, s := range p.servers {
		all = append(all, s.addrs[0])
	}
	if len(p.day.Between) > 0 {
		all, p.between, err = neighbour.Start(neighbour.Spec{Seed: p.day.Seed, Targets: all, Faults: p.day.Between})
	}
	return all, err
}

// endpoint puts an endpoint of a server on the list, or changes its phase.
func (p *play) endpoint(s *server, id, addr, phase string) standin.Member {
	m := standin.Member{ID: id, Addr: addr, Zone: "a", Kind: "plain", Dest: s.number, Phase: phase, Size: s.Weight}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[m.Addr] = id
	if phase == "DELETED" {
		delete(p.phases, id)
	} else {
		p.phases[id] = m
	}
	return m
}

// members is the list as it is now.
func (p *play) members() []standin.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []standin.Member
	for _, m := range p.phases {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b standin.Member) int { return a.Dest - b.Dest })
	return all
}

// endpointAt is the endpoint whose address a call names.
func (p *play) endpointAt(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[addr]
}

// kills notes that a node's process is about to be killed. The returned function notes that it has ended.
func (p *play) kills(node int) (ended func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.deaths)
	p.deaths = append(p.deaths, span{node: node, from: p.now()})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.deaths[i].to = p.now()
	}
}

// killed tells whether a node's process was being killed at some time from one moment to another.
func (p *play) killed(node int, from, to time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.deaths, func(s span) bool { return s.touches(node, from, to) })
}

// inflict does a fault, and returns when it is over.
func (p *play) inflict(ctx context.Context, f Fault) error {
	over := f.At + f.For
	switch {
	case f.Kind.outage():
		s := p.servers[f.Target]
		if err := s.fail(f.Kind); err != nil {
			return err
		}
		p.sleepUntil(ctx, over)
		return s.recover()
	case f.Kind == Terminate, f.Kind == Kill:
		return p.restart(ctx, f)
	case f.Kind == Late:
		return p.servers[f.Target].late(func() { p.sleepUntil(ctx, over) })
	case f.Kind == Lose:
		p.servers[f.Target].lose(true)
		p.sleepUntil(ctx, over)
		p.servers[f.Target].lose(false)
		return nil
	case f.Kind == Forget:
		p.servers[f.Target].forget()
		return nil
	case f.Kind == Drop:
		for at := f.At; at < over; at += dropEvery {
			p.sleepUntil(ctx, at)
			p.servers[f.Target].drop()
		}
		return nil
	}
	n := p.nodes[f.Target%len(p.nodes)]
	switch f.Kind {
	case Stop:
		n.signal(syscall.SIGSTOP)
		p.sleepUntil(ctx, over)
		n.signal(syscall.SIGCONT)
	case Move:
		return n.move(p.discovery[1].addr)
	case Moves:
		const moves = 6
		for i := range moves {
			if err := n.move(p.discovery[1-i%2].addr); err != nil {
				return err
			}
			p.sleepUntil(ctx, f.At+f.For*time.Duration(i+1)/moves)
		}
	case Replace:
		return p.replace(ctx, f)
	case Silence:
		for _, d := range p.discovery {
			d.setDown(true)
		}
		p.sleepUntil(ctx, over)
		for _, d := range p.discovery {
			for _, m := range d.setDown(false) {
				p.told(m)
			}
		}
	case Crowded:
		for _, d := range p.discovery {
			d.setCrowded(true)
		}
		p.history.postponeDrains()
		p.sleepUntil(ctx, over)
		for _, d := range p.discovery {
			d.setCrowded(false)
		}
	case Crowd, Halves:
		p.crowd(ctx, n, f)
	}
	return nil
}

// restart ends a node's process and starts another.
func (p *play) restart(ctx context.Context, f Fault) error {
	n := p.nodes[f.Target%len(p.nodes)]
	p.history.leaves(n.number)
	n.leaving <- struct{}{}
	if f.Kind == Terminate {
		n.end(killAfter)
	} else {
		p.sleepUntil(ctx, p.now()+burstLength/2)
		n.end(0)
	}
	if !p.sleepUntil(ctx, p.now()+max(startAfter, f.For)) {
		return ctx.Err()
	}
	return n.start(ctx)
}

// replace has a server's endpoint drain and go, with another one in its place.
func (p *play) replace(ctx context.Context, f Fault) error {
	s := p.servers[f.Target]
	addr, err := s.addAddr()
	if err != nil {
		return err
	}
	old := fmt.Sprintf("s%d", f.Target)
	p.tell(p.endpoint(s, fmt.Sprintf("s%d-%d", f.Target, f.At.Milliseconds()), addr, "SERVING"))
	p.tell(p.endpoint(s, old, s.addrs[0], "DRAINING"))
	p.sleepUntil(ctx, f.At+f.For)
	p.tell(p.endpoint(s, old, s.addrs[0], "DELETED"))
	return nil
}

// tell has discovery tell of a change.
func (p *play) tell(m standin.Member) {
	for _, d := range p.discovery {
		if d.set(m) {
			p.told(m)
		}
	}
}

// told notes what counts as told to nodes: from now on, or from when it does at the latest if discovery was crowded or is slow.
func (p *play) told(m standin.Member) {
	if m.Phase != "DRAINING" {
		return
	}
	at := p.now()
	if p.day.hasSlowWatches() || slices.ContainsFunc(p.discovery, (*agent).isBehind) {
		at += toldWithin
	}
	p.history.draining(m.ID, at)
}

// crowd connects clients to a node that say nothing, or half a request, and stay.
func (p *play) crowd(ctx context.Context, n *node, f Fault) {
	var halves sync.WaitGroup
	defer halves.Wait()
	for range 150 {
		nc, err := net.DialTimeout("tcp", n.listen, 100*time.Millisecond)
		if err != nil {
			break
		}
		p.mu.Lock()
		p.beside = append(p.beside, nc)
		p.mu.Unlock()
		if f.Kind == Halves {
			if _, err := io.WriteString(nc, "*5\r\n$7\r\nENQ"); err == nil {
				halves.Go(func() { p.endsHalf(n, nc) })
			}
		}
	}
	p.sleepUntil(ctx, f.At+f.For)
}

// endsHalf checks that a client that stopped in the middle of a request gets its error or its close.
func (p *play) endsHalf(n *node, nc net.Conn) {
	stopped := p.now()
	nc.SetReadDeadline(time.Now().Add(halvesWithin + ruleSlack)) // an error says that it is closed
	_, err := nc.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) && !p.history.isAway(n.number, stopped, p.now()) {
		p.history.breach(Answered, "node %d has left half a request of %.3f s without an error or a close", n.number, stopped.Seconds())
	}
}

// watch takes notices, and looks after what is overdue and what processes use, until the day is over.
func (p *play) watch(ctx context.Context) {
	const every = 50 * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	last := p.now()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		woken := p.now()
		p.history.wokenLate(woken, woken-last-every) // a stall may fall into what follows as well
		last = woken
		p.notices()
		p.history.overdue(false)
		if i%20 == 0 {
			p.usages()
			last = p.now() // reading of many processes is no stall
		}
	}
}

func (p *play) notices() {
	for i, d := range p.discovery {
		all := d.noticesAfter(p.noticed[i])
		for _, n := range all {
			p.history.noticed(n.ID, n.State)
		}
		p.noticed[i] += len(all)
	}
}

func (p *play) usages() {
	for _, n := range p.nodes {
		if memory, descriptors := n.usage(); memory > 64<<20 || descriptors > 384 {
			p.history.breach(WithinLimits, "node %d has %d MB and %d descriptors", n.number, memory>>20, descriptors)
		}
	}
}

func (p *play) close() {
	for _, n := range p.nodes {
		n.signal(syscall.SIGCONT)
		n.end(0)
	}
	for _, nc := range p.beside {
		nc.Close()
	}
	if p.between != nil {
		p.between() // its error is of a process that ends anyway
	}
	for _, s := range p.servers {
		s.close()
	}
	for _, d := range p.discovery {
		d.close()
	}
	p.work.Wait()
}
