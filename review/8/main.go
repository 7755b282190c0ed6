// Command 8 plays a case: discovery is crowded for a while and turns calls away, and nodes of a large fleet ask it again too late.
package main

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"review/stage"
)

const settings = `{"fleetSize":300,"categories":[
	{"name":"table-status","effect":"idempotent","group":"all","aim":4000,"deadline":12000,"worth":1,"lateWorth":0.3,"window":5000},
	{"name":"prize-payout","effect":"at_most_once","group":"all","aim":3000,"deadline":12000,"worth":4,"lateWorth":0.3,"window":5000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

const (
	nodes   = 5
	crowded = 8 * time.Second
	told    = 6 * time.Second                                                   // at the latest, after discovery had it and could be reached
	grace   = 250*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond // of drains, of sockets, and for a node that is held up
	pace    = 100 * time.Millisecond
	after   = 30 * time.Second
)

func main() {
	s := stage.Open()
	good := func(stage.Call) (int, time.Duration) { return 200, 20 * time.Millisecond }
	old, other := s.Endpoint("at-old-address", good), s.Endpoint("other-of-1", good)
	member := func(id, addr string, dest int) stage.Member {
		return stage.Member{ID: id, Addr: addr, Zone: "a", Kind: "plain", Dest: dest, Phase: "SERVING", Size: 200}
	}
	before := []stage.Member{member("old-of-1", old.Addr, 1), member("other-of-1", other.Addr, 1)}
	// The old one's place is taken by an endpoint of another partner.
	then := []stage.Member{member("new-of-2", old.Addr, 2), member("other-of-1", other.Addr, 1)}
	agent := s.Agent("all", before)
	var clients [nodes]string
	for i := range clients {
		name := stage.Number("n", i)
		folder := filepath.Join(s.Folder, name)
		s.Must(os.MkdirAll(filepath.Join(folder, "state"), 0o700), "folder")
		config := filepath.Join(folder, "config.json")
		clients[i] = s.FreeAddr()
		s.WriteConfig(config, name, clients[i], agent.Addr, settings, before)
		s.Daemon(name, "ROUTER_NAME="+name, "ROUTER_CONFIG="+config, "ROUTER_STATE="+filepath.Join(folder, "state"))
	}
	for i := range clients {
		if !s.Ready(clients[i], 10*time.Second) {
			s.End(stage.NotRun, "node %d is not ready", i)
		}
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var handing sync.WaitGroup
	for n := range clients {
		handing.Add(1)
		go func() {
			defer handing.Done()
			name := stage.Number("n", n)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pace):
				}
				handing.Add(1)
				go func() {
					defer handing.Done()
					s.Enqueue(name, clients[n], stage.Number(name+"-of-1-", i), "c=prize-payout,d=4000,dest=1", "for partner 1")
				}()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if s.Trouble {
		s.Note("discovery is crowded: it ends its watches and turns calls away")
		agent.Crowd(true)
		time.Sleep(crowded)
	}
	agent.List(then)
	agent.Crowd(false)
	at := time.Now()
	s.Note("discovery answers, and the list has changed: old-of-1 is gone, and new-of-2, of another partner, is at its address")
	time.Sleep(after)
	close(stop)
	handing.Wait()
	time.Sleep(time.Second)
	foreign := map[string]int{}
	var last time.Duration
	for _, c := range old.Calls() {
		if since := c.At.Sub(at); since > told+grace {
			foreign[c.ID[:2]]++
			last = max(last, since)
		}
	}
	for name, count := range foreign {
		s.Note("%s sent %d payouts for partner 1 to the endpoint of partner 2 later than %v after discovery had the change and could be reached", name, count, told+grace)
	}
	if len(other.Calls()) == 0 {
		s.End(stage.NotRun, "nothing came through")
	}
	if len(foreign) > 0 {
		s.End(stage.Broken, "an endpoint of partner 2 got payouts for partner 1 from %d of %d nodes, up to %v after the change could be had", len(foreign), nodes, last.Round(time.Millisecond))
	}
	s.End(stage.Held, "no endpoint got messages of another partner")
}
