// Command 10 plays a case: discovery's lists come indented.
package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"review/stage"
)

const settings = `{"fleetSize":1,"categories":[
	{"name":"table-status","effect":"idempotent","group":"all","aim":4000,"deadline":12000,"worth":1,"lateWorth":0.3,"window":5000},
	{"name":"prize-payout","effect":"at_most_once","group":"all","aim":3000,"deadline":12000,"worth":4,"lateWorth":0.3,"window":5000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

const (
	told  = 6 * time.Second // at the latest, whether or not it arrived
	grace = 250*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
	pace  = 50 * time.Millisecond
	after = 20 * time.Second
)

func main() {
	s := stage.Open()
	good := func(stage.Call) (int, time.Duration) { return 200, 20 * time.Millisecond }
	old, other := s.Endpoint("at-old-address", good), s.Endpoint("other-of-1", good)
	member := func(id, addr string, dest int) stage.Member {
		return stage.Member{ID: id, Addr: addr, Zone: "a", Kind: "plain", Dest: dest, Phase: "SERVING", Size: 200}
	}
	before := []stage.Member{member("old-of-1", old.Addr, 1), member("other-of-1", other.Addr, 1)}
	then := []stage.Member{member("new-of-2", old.Addr, 2), member("other-of-1", other.Addr, 1)}
	agent := s.Agent("n1", before)
	agent.Indent(s.Trouble)
	state, config, clients := filepath.Join(s.Folder, "state"), filepath.Join(s.Folder, "config.json"), s.FreeAddr()
	s.Must(os.Mkdir(state, 0o700), "state")
	s.WriteConfig(config, "n1", clients, agent.Addr, settings, before)
	s.Daemon("n1", "ROUTER_NAME=n1", "ROUTER_CONFIG="+config, "ROUTER_STATE="+state)
	if !s.Ready(clients, 10*time.Second) {
		s.End(stage.NotRun, "the node is not ready")
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var handing sync.WaitGroup
	handing.Add(1)
	go func() {
		defer handing.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pace):
			}
			handing.Add(1)
			go func() {
				defer handing.Done()
				s.Enqueue("n1", clients, stage.Number("of-1-", i), "c=prize-payout,d=4000,dest=1", "for partner 1")
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	agent.List(then)
	at := time.Now()
	s.Note("the list changes: old-of-1 is gone, and new-of-2, of another partner, is at its address")
	time.Sleep(after)
	close(stop)
	handing.Wait()
	time.Sleep(time.Second)
	foreign := 0
	var last time.Duration
	for _, c := range old.Calls() {
		if since := c.At.Sub(at); since > told+grace && strings.HasPrefix(c.ID, "of-1-") {
			foreign++
			last = max(last, since)
		}
	}
	if len(other.Calls()) == 0 {
		s.End(stage.NotRun, "nothing came through")
	}
	if foreign > 0 {
		s.End(stage.Broken, "an endpoint of partner 2 got %d payouts for partner 1, up to %v after the change of the list", foreign, last.Round(time.Millisecond))
	}
	s.End(stage.Held, "no endpoint got messages of another partner")
}
