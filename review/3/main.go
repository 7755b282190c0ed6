// Case: the folder that lasts holds more than disk_mb while the journal is compacted.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	diskMB   = 3
	partners = 8                     // two of which hang at a time: a quarter of the traffic
	every    = 40 * time.Millisecond // a message
	life     = 8000                  // of a message, in milliseconds
	quiet    = 8 * time.Second
	hangFor  = 12 * time.Second
	outages  = 3

	clump      = 6  // messages for one partner at once,
	clumpEvery = 30 // after so many others: 17 percent of all
)

func main() {
	r := rig.NewRecord()
	var members []rig.Member
	var all []*rig.Endpoint
	well := rig.OK(15 * time.Millisecond)
	for i := range partners {
		e := rig.NewEndpoint(r, well)
		all = append(all, e)
		members = append(members, member(fmt.Sprintf("s-%d", i), e.Addr, i))
	}
	a := rig.NewAgent(r, members)
	n := rig.NewNode(r, rig.Config{Name: "n1", Listen: rig.FreeAddress(), Discovery: a.Addr, Seed: "8c1f30d27a5be964",
		Limits: rig.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: diskMB}, Known: a.List(), Settings: rig.Settings(func(s map[string]any) {
			s["domain"].(map[string]any)["workers"] = 24
		})})
	n.Start()
	peak := rig.WatchFolder(n.State)
	// Clients hand messages in one by one, for each partner in turn, and now and then several at once.
	stop := make(chan struct{})
	draw := rand.New(rand.NewPCG(64, 1))
	names := 0
	var answering sync.WaitGroup
	send := func(dest, count int) {
		for range count {
			id := names
			names++
			body := strings.Repeat("x", 48<<10+draw.IntN(16<<10+1))
			answering.Go(func() {
				line := "no connection"
				if c, err := rig.Dial(n.Config.Listen); err == nil {
					c.Write(rig.Enqueue(fmt.Sprintf("m-%05d", id), fmt.Sprintf("c=coin-order,d=%d,k=k-%05d,dest=%d", life, id, dest), body))
					if line, err = c.Answer(400 * time.Millisecond); err != nil {
						line = err.Error()
					}
					c.Close()
				}
				r.Add("client: m-%05d with %d bytes for destination %d: %s", id, len(body), dest, line)
			})
		}
	}
	var clients sync.WaitGroup
	clients.Go(func() {
		defer answering.Wait()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			send(number%partners, 1)
			if number%clumpEvery == clumpEvery-1 {
				send(number/clumpEvery%partners, clump)
			}
		}
	})
	for i := range outages {
		time.Sleep(quiet)
		struck := []int{2 * i % partners, 2*i%partners + 1}
		if rig.Trouble() {
			for _, j := range struck {
				all[j].Set(rig.Hang())
			}
			r.Add("endpoints s-%d and s-%d take calls and answer none", struck[0], struck[1])
		}
		time.Sleep(hangFor)
		for _, j := range struck {
			all[j].Set(well)
		}
		r.Add("all endpoints answer")
	}
	close(stop)
	clients.Wait()
	bytes, files, looks := peak.Stop()
	limit := int64(diskMB) << 20
	r.Add("the folder held %d bytes at most of %d allowed: %v (%d looks)", bytes, limit, files, looks)
	switch {
	case !n.Alive():
		rig.Quit(r, rig.NotRun, "the node has ended by itself")
	case bytes > limit:
		rig.Quit(r, rig.Broken, "the folder held %d bytes, %d more than disk_mb", bytes, bytes-limit)
	}
	rig.Quit(r, rig.Held, "the folder held %d bytes at most of %d", bytes, limit)
}

func member(id, addr string, dest int) rig.Member {
	return rig.Member{ID: id, HostPort: addr, Locality: "ist-1", Flavor: "all-partners", Cell: dest, Phase: "SERVING", Size: 400}
}
