// Command 9 plays a case: the holder of a node's journal is killed, the node goes on alone and is lost with its machine, and the
// holder, back with an older copy, goes on with the journal.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/stage"
)

const settings = `{"fleetSize":5,"categories":[
	{"name":"table-status","effect":"idempotent","group":"all","aim":4000,"deadline":28000,"worth":1,"lateWorth":0.3,"window":5000},
	{"name":"coin-order","effect":"deduplicated","group":"all","aim":3000,"deadline":28000,"worth":3,"lateWorth":0.3,"window":5000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

const (
	nodes   = 5
	life    = 25 * time.Second
	window  = 5 * time.Second // for which the partner drops a repeat
	away    = 2 * time.Second // of the holder: 1.5 to 7 s
	awayToo = 7 * time.Second // of the owner: likewise
	inherit = 5 * time.Second
	term    = time.Second
	count   = 12
	pace    = 60 * time.Millisecond
)

// partner applies orders, and drops a repeat with the same key for as long as it says.
type partner struct {
	mu      sync.Mutex
	full    bool
	applied map[string][]time.Time
}

func (p *partner) take(s *stage.Stage, c stage.Call) (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Key == "" {
		return 200, 5 * time.Millisecond
	}
	if p.full {
		return 503, 5 * time.Millisecond
	}
	before := p.applied[c.Key]
	if len(before) > 0 && time.Since(before[len(before)-1]) < window {
		s.Note("partner: %s is a repeat of key %s, %.2f s after it was applied: dropped", c.ID, c.Key, time.Since(before[len(before)-1]).Seconds())
	} else {
		p.applied[c.Key] = append(before, time.Now())
		s.Note("partner: %s with key %s is applied, for the %d. time", c.ID, c.Key, len(p.applied[c.Key]))
	}
	return 200, 20 * time.Millisecond
}

func main() {
	s := stage.Open()
	p := &partner{applied: map[string][]time.Time{}}
	endpoint := s.Endpoint("e1", func(c stage.Call) (int, time.Duration) { return p.take(s, c) })
	members := []stage.Member{{ID: "e1", Addr: endpoint.Addr, Zone: "a", Kind: "plain", Dest: 1, Phase: "SERVING", Size: 200}}
	var talk, clients [nodes]string
	var agents [nodes]*stage.Agent
	var start [nodes]func() *stage.Process
	var running [nodes]*stage.Process
	for i := range talk {
		talk[i], clients[i] = s.FreeAddr(), s.FreeAddr()
	}
	for i := range talk {
		name := stage.Number("n", i)
		agents[i] = s.Agent(name, members)
		folder := filepath.Join(s.Folder, name)
		s.Must(os.MkdirAll(filepath.Join(folder, "state"), 0o700), "folder")
		s.WriteConfig(filepath.Join(folder, "config.json"), name, clients[i], agents[i].Addr, settings, nil)
		peers := fmt.Sprintf("name: %s\nmachine: m%d\nlisten: %s\nvoters: [n0, n1, n2, n3, n4]\nseeds: [%q, %q, %q]\nperiod: 2s\nterm: %v\nleases:\n  term: %v\ncopies: {k: 1, without: alone, inherit: %v}\n",
			name, i, talk[i], talk[0], talk[1], talk[2], term, term, inherit)
		s.Must(os.WriteFile(filepath.Join(folder, "peers.yaml"), []byte(peers), 0o600), "peers")
		start[i] = func() *stage.Process {
			return s.Daemon(name, "ROUTER_NAME="+name, "ROUTER_CONFIG="+filepath.Join(folder, "config.json"),
				"ROUTER_STATE="+filepath.Join(folder, "state"), "CORALYARD_PEERS="+filepath.Join(folder, "peers.yaml"))
		}
	}
	for i := range start {
		running[i] = start[i]()
		go func() { // whoever looks after a node starts it again when it finds its journal past
			for p := running[i]; ; p = start[i]() {
				if <-p.Done; p.ExitCode() != 9 {
					return
				}
			}
		}()
	}
	for i := range clients {
		if !s.Ready(clients[i], 20*time.Second) {
			s.End(stage.NotRun, "node %d is not ready", i)
		}
	}
	warm := 0
	for i := range clients {
		if !stage.Until(20*time.Second, func() bool {
			warm++
			a, _ := s.Enqueue(stage.Number("n", i), clients[i], stage.Number("warm-", warm), "c=table-status,d=3000,dest=1", "warm")
			return strings.HasPrefix(a, "+")
		}) {
			s.End(stage.NotRun, "node %d takes nothing on", i)
		}
	}
	time.Sleep(3 * time.Second)
	// Any node whose journal is held by one that does not lead the voters, and that does not lead them itself: an election would last longer than the case.
	said := regexp.MustCompile(`msg=copies .*stream=owner/(n\d)/.* holders=\[(n\d)\] alone=(true|false)`)
	leads := regexp.MustCompile(`msg="leads the voters of leases( no more)?"`)
	holders, leader := map[int]int{}, -1
	for i := range nodes {
		log, err := os.ReadFile(filepath.Join(s.Folder, stage.Number("n", i)+".log"))
		s.Must(err, "log")
		for _, m := range said.FindAllStringSubmatch(string(log), -1) {
			if m[1] == stage.Number("n", i) && m[3] == "false" {
				holders[i] = int(m[2][1] - '0')
			}
		}
		if all := leads.FindAllStringSubmatch(string(log), -1); len(all) > 0 && all[len(all)-1][1] == "" {
			leader = i
		}
	}
	owner, holder := -1, -1
	for i, h := range holders {
		if i != leader && h != leader {
			owner, holder = i, h
		}
	}
	if owner < 0 {
		s.End(stage.NotRun, "no node has a holder that does not lead")
	}
	name := stage.Number("n", owner)
	s.Note("n%d holds the journal of %s; n%d leads the voters", holder, name, leader)

	s.Note("the partner's queue is full from now on")
	p.mu.Lock()
	p.full = true
	p.mu.Unlock()
	taken := 0
	for i := range count {
		if a, _ := s.Enqueue(name, clients[owner], stage.Number("order-", i), fmt.Sprintf("c=coin-order,d=%d,k=key-%d,dest=1", life.Milliseconds(), i), stage.Number("order ", i)); a == "+OK" {
			taken++
		}
		time.Sleep(pace)
	}
	if taken == 0 {
		s.End(stage.NotRun, "nothing was taken on")
	}
	began := time.Now()
	if s.Trouble {
		running[holder].Signal(syscall.SIGKILL)
		time.AfterFunc(away, func() { start[holder]() })
	}
	p.mu.Lock()
	p.full = false
	p.mu.Unlock()
	s.Note("the partner is well again")
	// The owner dies soon after it has gone on: some of its orders are done by then.
	ran := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.applied)
	}
	stage.Until(5*time.Second, func() bool { return ran() > 0 })
	time.Sleep(100 * time.Millisecond)
	s.Note("%d of %d orders are applied %.2f s after the partner was well", ran(), taken, time.Since(began).Seconds())
	if s.Trouble {
		running[owner].Signal(syscall.SIGKILL)
		<-running[owner].Done
		state := filepath.Join(s.Folder, name, "state")
		s.Must(os.RemoveAll(state), "lost folder")
		s.Must(os.Mkdir(state, 0o700), "folder")
		s.Note("the machine of %s is lost with its folder", name)
		time.AfterFunc(awayToo, func() { start[owner]() })
	}
	time.Sleep(25 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	twice := 0
	for key, at := range p.applied {
		s.Note("%s: applied %d times", key, len(at))
		if len(at) > 1 {
			twice++
		}
	}
	if twice > 0 {
		s.End(stage.Broken, "%d of %d orders were applied twice: they were sent again after the partner had forgotten their keys", twice, taken)
	}
	s.End(stage.Held, "no order was applied twice")
}
