// Package faults is a rig: a fleet of processes of the program on loopback addresses, with a way of its own from each to each,
// and faults that are done to the ways and the processes by a schedule drawn from a seed. What partners, clients and processes saw
// is a history, which is checked after the run.
package faults

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingusher/internal/standin"
	"starlingusher/lab/load"
	"starlingusher/peers"
)

// Options of a fleet.
type Options struct {
	Program string // the node
	Folder  string // for files; it exists
	Nodes   int
	Seed    uint64
	Limit   float64       // that the partner tells, in calls a second
	Rate    float64       // messages a second that each node's clients hand in
	Period  time.Duration // of the members' probes,
	Term    time.Duration // and of a right
	Silent  bool          // the nodes do not talk
	Copies  int           // further nodes that hold each one's journal; 0 for none
	Audit   bool          // what a folder held that was lost is asked for all the same
	Inherit time.Duration // after which a node that is not heard is inherited
	Clocks  bool          // each node's clocks are off in their own way; Program is a Skewed one
	Leases  time.Duration // term of leases, by which nodes do a duty at a witness, watch discovery and try what is out; 0 for none
	// Direct has nodes call each other without ways between, for fleets that have too many; no faults of ways then. The first
	// Deaf of them call and are called at addresses where nobody is.
	Direct bool
	Deaf   int
	Heavy  float64 // times the others' messages come to the first node; 0 for as many
	// Answer is what the partner does with a call; nil to answer all well. What it answers well is delivered.
	Answer func(standin.Call) standin.Step
	// Patience is for how long what must come to pass is waited for; a minute if not given.
	Patience time.Duration
}

// records tells that nodes record what they decide. Without talk nothing is held against it, and clocks that are off tell nothing.
func (o *Options) records() bool { return !o.Silent && !o.Clocks }

const (
	deadline = 3 * time.Second // of messages
	classes  = 3
)

var classNames = [classes]string{"table-status", "coin-order", "prize-payout"}

// Fleet is processes that run, with their partner, discovery and clients.
type Fleet struct {
	o         Options
	history   *History
	partner   *standin.HTTP
	discovery *standin.Discovery
	ends      *load.Ends
	nodes     []*node
	ways      [][]*way // from, to
	witness   *witness
	restarts  sync.WaitGroup
	handed    func(id string) // is told of each message that clients hand in; nil for nobody
}

// node is a place in the fleet: a folder and addresses, and the process that has them now.
type node struct {
	i            int
	name         string
	folder       string
	listen, talk string // to clients, to peers
	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has ended
	wanted       bool          // it is to run
	stopped      bool
	clients      *load.RESP
	sent         int
}

// exitPast is the status of a node whose journal others have gone on with.
const exitPast = 9

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// reserve finds addresses that nobody uses: on a loopback address of this fleet's own, where no connection that goes out takes
// a port in between.
func reserve(n int, seed uint64) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()/128%250, 1+seed%250)
	var all []string
	for range n {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		all = append(all, ln.Addr().String())
	}
	return all, nil
}

// Start starts the fleet; Close ends it.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Patience == 0 {
		o.Patience = time.Minute
	}
	f := &Fleet{o: o, history: newHistory(o), ends: load.NewEnds()}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) (err error) {
	if f.discovery, err = standin.NewDiscovery(); err != nil {
		return err
	}
	f.partner, err = standin.NewHTTP(func(c standin.Call) standin.Step {
		step := standin.Step{Delay: 2 * time.Millisecond, Load: map[string]float64{"x0": 0.5, "x1": f.o.Limit}}
		if f.o.Answer != nil {
			step = f.o.Answer(c)
		}
		f.history.called(c, step.Fault != standin.Limit)
		if step.Fault == standin.None {
			f.ends.Delivered(c.ID)
		}
		return step
	}, nil)
	if err != nil {
		return err
	}
	if f.o.Leases > 0 {
		f.witness = newWitness(f.o.Seed)
		f.history.witness = f.witness
	}
	addrs, err := reserve(2*f.o.Nodes, f.o.Seed)
	if err != nil {
		return err
	}
	for i := range f.o.Nodes {
		n := &node{i: i, name: nodeName(i), folder: filepath.Join(f.o.Folder, nodeName(i)), listen: addrs[2*i], talk: addrs[2*i+1]}
		f.nodes = append(f.nodes, n)
	}
	for i := range f.o.Nodes {
		if f.ways = append(f.ways, make([]*way, f.o.Nodes)); f.o.Direct {
			continue
		}
		for j := range f.o.Nodes {
			if i == j {
				continue
			}
			if f.ways[i][j], err = newWay(f.nodes[j].talk, f.o.Seed+uint64(i*100+j)); err != nil {
				return err
			}
		}
	}
	for _, n := range f.nodes {
		if err := f.prepare(n); err != nil {
			return err
		}
		if err := f.run(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// settings are the platform's, of a fleet of so many.
func settings(nodes int) string {
	return fmt.Sprintf(`{"fleetSize":%d,"categories":[
	{"name":"table-status","effect":"idempotent","aim":1000,"deadline":3000,"worth":1,"lateWorth":0.3},
	{"name":"coin-order","effect":"deduplicated","group":"all","aim":1000,"deadline":3000,"worth":3,"lateWorth":0.3,"window":8000},
	{"name":"prize-payout","effect":"at_most_once","aim":1000,"deadline":3000,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":2000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":32},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":400,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"nominal"}`, nodes)
}

// prepare writes a node's files.
func (f *Fleet) prepare(n *node) error {
	if err := os.MkdirAll(filepath.Join(n.folder, "state"), 0o700); err != nil {
		return err
	}
	member := standin.Member{ID: "e", Addr: f.partner.Addr(), Zone: "a", Kind: "plain", Dest: 1, Phase: "SERVING", Size: f.o.Limit}
	text, err := standin.NodeConfig(n.listen, f.discovery.Addr(), standin.Limits{Cores: 1, MemoryMB: 128, Sockets: 1024, DiskMB: 16}, settings(f.o.Nodes), []standin.Member{member})
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlisten: %s\nperiod: %v\nterm: %v\ndrift: %v\n", n.name, n.talk, f.o.Period, f.o.Term, drift/1000.0)
	fmt.Fprintf(&b, "voters: [")
	for i := range min(f.o.Nodes, 5) / 2 * 2 {
		fmt.Fprintf(&b, "%s, ", nodeName(f.o.Nodes-2-i))
	}
	fmt.Fprintf(&b, "%s]\nseeds:\n", nodeName(f.o.Nodes-1))
	var addresses strings.Builder
	const nobody = "127.0.0.1:1"
	for j := range f.nodes {
		switch {
		case !f.o.Direct || j == n.i:
		case n.i < f.o.Deaf || j < f.o.Deaf:
			fmt.Fprintf(&b, "  - %s\n", nobody)
			fmt.Fprintf(&addresses, "  %s: %s\n", nodeName(j), nobody)
		case j%(f.o.Nodes/4+1) == f.o.Nodes/4:
			fmt.Fprintf(&b, "  - %s\n", f.nodes[j].talk)
		}
	}
	for j, w := range f.ways[n.i] {
		if w == nil {
			continue
		}
		if j < 3 {
			fmt.Fprintf(&b, "  - %s\n", w.addr())
		}
		fmt.Fprintf(&addresses, "  %s: %s\n", nodeName(j), w.addr())
	}
	if addresses.Len() > 0 {
		fmt.Fprintf(&b, "addresses:\n%s", addresses.String())
	}
	if f.o.Leases > 0 {
		fmt.Fprintf(&b, "leases:\n  term: %v\n  discovery: fleet\n  trials: true\n  duties:\n    - {name: witness, url: %q, every: 10ms, within: %v}\n", f.o.Leases, f.witness.url(), f.o.Leases/8)
	}
	if f.o.Copies > 0 {
		fmt.Fprintf(&b, "machine: m%d\ncopies: {k: %d, inherit: %v}\n", n.i, f.o.Copies, f.o.Inherit)
	}
	return errors.Join(os.WriteFile(filepath.Join(n.folder, "config.json"), text, 0o600), os.WriteFile(filepath.Join(n.folder, "peers.yaml"), []byte(b.String()), 0o600))
}

// run starts a node's process, and waits until it takes clients.
func (f *Fleet) run(ctx context.Context, n *node) error {
	cmd := exec.Command(f.o.Program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(n.folder, "config.json"), "ROUTER_STATE="+filepath.Join(n.folder, "state"), "ROUTER_NAME="+n.name)
	if f.o.Clocks {
		cmd.Env = append(cmd.Env, clock(f.o.Seed, n.i))
	}
	if !f.o.Silent {
		cmd.Env = append(cmd.Env, "CORALYARD_PEERS="+filepath.Join(n.folder, "peers.yaml"))
	}
	if f.o.records() {
		cmd.Env = append(cmd.Env, "CORALYARD_RECORDING="+n.recordings())
	}
	words, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.history.process(n.i, started, "")
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.wanted, n.stopped = cmd, done, true, false
	n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	go func() { // ends with the process
		defer close(done)
		defer log.Close()
		f.read(n, io.TeeReader(words, log))
		err := cmd.Wait()
		n.mu.Lock()
		unwanted := n.wanted
		n.mu.Unlock()
		if !unwanted {
			return
		}
		if f.o.Copies > 0 && cmd.ProcessState.ExitCode() == exitPast { // whoever looks after the node starts it again
			f.history.process(n.i, past, "")
			f.restarts.Go(func() {
				n.mu.Lock()
				if n.cmd == cmd {
					n.cmd = nil
				}
				n.mu.Unlock()
				if err := f.again(ctx, n); err != nil && ctx.Err() == nil {
					f.history.process(n.i, crashed, err.Error())
				}
			})
			return
		}
		f.history.process(n.i, crashed, fmt.Sprint(err))
	}()
	late := time.After(f.o.Patience)
	for {
		clients, err := load.Dial(n.listen, 2)
		if err == nil {
			n.mu.Lock()
			n.clients = clients
			n.mu.Unlock()
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-done:
			if f.o.Copies > 0 && cmd.ProcessState.ExitCode() == exitPast {
				return nil // it is started again already
			}
			n.mu.Lock()
			killed := !n.wanted
			n.mu.Unlock()
			if killed {
				return nil // by the schedule, while it started
			}
			return fmt.Errorf("node %d has ended: see %s", n.i, filepath.Join(n.folder, "log"))
		case <-late:
			return fmt.Errorf("node %d takes no clients: %w", n.i, err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read takes from a process's log when it was deaf.
func (f *Fleet) read(n *node, words io.Reader) {
	lines := bufio.NewScanner(words)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.Contains(line, `msg="deaf:`):
			f.history.process(n.i, deaf, line)
		case strings.Contains(line, `msg="a journal is inherited"`):
			f.history.process(n.i, heir, line)
		case strings.Contains(line, `msg="hears the voters"`):
			f.history.process(n.i, hears, line)
		case strings.Contains(line, "panic:") || strings.Contains(line, "DATA RACE"):
			f.history.process(n.i, crashed, line)
		}
	}
}

// kill ends a node's process at once. What its clients were not answered is as if it was not taken on.
func (f *Fleet) kill(n *node) {
	n.mu.Lock()
	cmd, done, clients := n.cmd, n.done, n.clients
	n.wanted, n.clients = false, nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-done
	if clients != nil {
		clients.Close()
	}
	n.mu.Lock()
	n.cmd = nil
	n.mu.Unlock()
	f.history.process(n.i, killed, "")
}

// pause stops a node's process, or has it go on.
func (f *Fleet) pause(n *node, stop bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.stopped == stop {
		return nil
	}
	n.stopped = stop
	if stop {
		f.history.process(n.i, paused, "")
		return n.cmd.Process.Signal(syscall.SIGSTOP)
	}
	f.history.process(n.i, resumed, "")
	return n.cmd.Process.Signal(syscall.SIGCONT)
}

// Load has every node's clients hand messages in until ctx ends.
func (f *Fleet) Load(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() {
			rate := f.o.Rate
			if n.i == 0 && f.o.Heavy > 0 {
				rate *= f.o.Heavy
			}
			pause := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer pause.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-pause.C:
					f.hand(n)
				}
			}
		})
	}
	all.Wait()
}

func (f *Fleet) hand(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.stopped {
		return
	}
	if n.clients == nil { // the node closes connections that are idle
		var err error
		if n.clients, err = load.Dial(n.listen, 2); err != nil {
			n.clients = nil
			return
		}
	}
	clients := n.clients
	n.sent++
	number := n.sent
	class := number % classes
	m := load.Message{ID: fmt.Sprintf("%s-%d", n.name, number), Class: classNames[class], Dest: 1, Life: deadline, Body: []byte("a message")}
	if class == 1 {
		m.Key = m.ID
	}
	if f.handed != nil {
		f.handed(m.ID)
	}
	clients.Hand(m, func(a load.Answer) {
		switch {
		case a.Err != nil:
			go f.hangUp(n, clients) // not here: it waits for who calls this
		case a.Taken:
			f.ends.Taken(m.ID)
			f.history.taken(n.i, number)
		}
	})
}

// hangUp lets go of connections that have ended.
func (f *Fleet) hangUp(n *node, clients *load.RESP) {
	n.mu.Lock()
	mine := n.clients == clients
	if mine {
		n.clients = nil
	}
	n.mu.Unlock()
	if mine {
		clients.Close()
	}
}

// Look asks a node what it knows.
func (f *Fleet) Look(ctx context.Context, i int) (peers.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return peers.Look(ctx, f.nodes[i].talk)
}

// Close ends all processes and ways.
func (f *Fleet) Close() {
	defer f.restarts.Wait()
	for _, n := range f.nodes {
		f.pause(n, false) // one that is stopped can't be waited for; an error means that it has ended
		f.kill(n)
	}
	for _, from := range f.ways {
		for _, w := range from {
			if w != nil {
				w.close()
			}
		}
	}
	if f.partner != nil {
		f.partner.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	if f.witness != nil {
		f.witness.close()
	}
}
