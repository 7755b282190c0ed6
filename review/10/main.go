// Command 10 plays a case: a node whose journal stands on further nodes is cut off from all others for a while, and is back.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"review/stage"
)

const settings = `{"fleetSize":3,"categories":[
	{"name":"table-status","effect":"idempotent","aim":4000,"deadline":12000,"worth":1,"lateWorth":0.3},
	{"name":"coin-order","effect":"deduplicated","group":"all","aim":3000,"deadline":12000,"worth":3,"lateWorth":0.3,"window":12000},
	{"name":"prize-payout","effect":"at_most_once","aim":3000,"deadline":12000,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":8,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

const (
	life    = 12 * time.Second
	cutFor  = 6 * time.Second
	after   = 10 * time.Second
	inherit = 5 * time.Second
	term    = time.Second
)

func main() {
	s := stage.Open()
	endpoint := s.Endpoint("bank", func(stage.Call) (int, time.Duration) { return 200, 20 * time.Millisecond })
	member := func(addr string) []stage.Member {
		return []stage.Member{{ID: "bank", Addr: addr, Zone: "a", Kind: "plain", Dest: 1, Phase: "SERVING", Size: 200}}
	}
	var talk, clients [3]string
	for i := range talk {
		talk[i], clients[i] = s.FreeAddr(), s.FreeAddr()
	}
	// All ways from and to n0 can be cut.
	var ways []*stage.Way
	way := func(to string) string {
		w := s.Way(to)
		ways = append(ways, w)
		return w.Addr
	}
	var agents [3]*stage.Agent
	var start [3]func() *stage.Process
	for i := range talk {
		name := stage.Number("n", i)
		addr := endpoint.Addr
		if i == 0 {
			addr = way(addr)
		}
		agents[i] = s.Agent(name, member(addr))
		folder := filepath.Join(s.Folder, name)
		s.Must(os.MkdirAll(filepath.Join(folder, "state"), 0o700), "folder")
		s.WriteConfig(filepath.Join(folder, "config.json"), name, clients[i], agents[i].Addr, settings, nil)
		var seeds, addresses strings.Builder
		for j := range talk {
			if j == i {
				continue
			}
			to := talk[j]
			if i == 0 || j == 0 {
				to = way(to)
			}
			fmt.Fprintf(&seeds, "  - %s\n", to)
			fmt.Fprintf(&addresses, "  n%d: %s\n", j, to)
		}
		peers := fmt.Sprintf("name: %s\nmachine: m%d\nlisten: %s\nvoters: [n0, n1, n2]\nseeds:\n%saddresses:\n%speriod: 200ms\nterm: %v\nleases:\n  term: %v\ncopies: {k: 1, inherit: %v}\n",
			name, i, talk[i], seeds.String(), addresses.String(), term, term, inherit)
		s.Must(os.WriteFile(filepath.Join(folder, "peers.yaml"), []byte(peers), 0o600), "peers")
		start[i] = func() *stage.Process {
			return s.Daemon(name, "ROUTER_NAME="+name, "ROUTER_CONFIG="+filepath.Join(folder, "config.json"),
				"ROUTER_STATE="+filepath.Join(folder, "state"), "CORALYARD_PEERS="+filepath.Join(folder, "peers.yaml"))
		}
	}
	var nodes [3]*stage.Process
	for i := range start {
		nodes[i] = start[i]()
	}
	for i := range clients {
		if !s.Ready(clients[i], 20*time.Second) {
			s.End(stage.NotRun, "node %d is not ready", i)
		}
	}
	fields := func(class string, life time.Duration) string {
		return fmt.Sprintf("c=%s,d=%d,dest=1", class, life.Milliseconds())
	}
	warm := 0
	for i := range clients {
		if !stage.Until(20*time.Second, func() bool {
			warm++
			a, _ := s.Enqueue(stage.Number("n", i), clients[i], stage.Number("warm-", warm), fields("table-status", 3*time.Second), "warm")
			return strings.HasPrefix(a, "+")
		}) {
			s.End(stage.NotRun, "node %d takes nothing on", i)
		}
	}
	time.Sleep(time.Second)

	// Something is owed when the node is cut off: the bank turns one message away for longer than that lasts.
	endpoint.Answer(func(c stage.Call) (int, time.Duration) {
		if c.Body == "owed" {
			return 503, 5 * time.Millisecond
		}
		return 200, 20 * time.Millisecond
	})
	if a, _ := s.Enqueue("n0", clients[0], "owed", fields("prize-payout", life), "owed"); a != "+OK" {
		s.End(stage.NotRun, "nothing was taken on")
	}
	time.Sleep(200 * time.Millisecond)
	if s.Trouble {
		s.Note("n0 is cut off")
		for _, w := range ways {
			w.Cut()
		}
	}
	time.Sleep(cutFor)
	if s.Trouble {
		s.Note("n0 is back")
		for _, w := range ways {
			w.Heal()
		}
	}
	time.Sleep(after)
	for i, p := range nodes {
		select {
		case <-p.Done:
			s.Note("n%d takes connections: %v", i, s.Ready(clients[i], 500*time.Millisecond))
			s.End(stage.Broken, "n%d has ended by itself with status %d; nobody sent it a signal", i, p.ExitCode())
		default:
		}
		if !s.Ready(clients[i], 500*time.Millisecond) {
			s.End(stage.Broken, "n%d does not answer PING", i)
		}
	}
	s.End(stage.Held, "all nodes run")
}
