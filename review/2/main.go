// Case: a bad client's message with the id of another client's open request is delivered in the place of that client's own, which
// is answered as taken on and is never heard of again.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	clients  = 6
	length   = 40 * time.Second
	share    = 0.1  // of the open requests whose ids the bad client uses
	life     = 4000 // of a message, in milliseconds
	lateness = 300*time.Millisecond + 50*time.Millisecond
)

type message struct {
	body      string
	taken     bool
	due       time.Time
	delivered bool // a call with its id and its body was answered with 200 by an endpoint of its destination
	foreign   int  // calls with its id and another body
}

func main() {
	r := rig.NewRecord()
	var mu sync.Mutex
	messages := map[string]*message{}
	endpoint := func(name string, dest int) *rig.Endpoint {
		return rig.NewEndpoint(r, func(c rig.Call, w net.Conn) bool {
			time.Sleep(20 * time.Millisecond)
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			mu.Lock()
			m := messages[c.ID]
			own := m != nil && m.body == string(c.Text) && dest == 1
			switch {
			case own && err == nil:
				m.delivered = true
			case m != nil:
				m.foreign++
			}
			mu.Unlock()
			r.Add("%s of destination %d: %s: 200, with the usual client's body: %v", name, dest, c.ID, own)
			return err == nil
		})
	}
	one, two := endpoint("s-1", 1), endpoint("s-2", 2)
	a := rig.NewAgent(r, []rig.Member{
		{ID: "s-1", HostPort: one.Addr, Locality: "ist-1", Flavor: "all-partners", Cell: 1, Phase: "SERVING", Size: 400},
		{ID: "s-2", HostPort: two.Addr, Locality: "ist-1", Flavor: "all-partners", Cell: 2, Phase: "SERVING", Size: 400}})
	n := rig.NewNode(r, rig.Config{Name: "n1", Listen: rig.FreeAddress(), Discovery: a.Addr, Seed: "8c1f30d27a5be964",
		Limits: rig.Limits{Cores: 1, MemoryMB: 192, Sockets: 512, DiskMB: 3}, Known: a.List(), Settings: rig.Settings(nil)})
	n.Start()

	open := make(chan string) // the id of a request that is open, for the bad client
	stop := make(chan struct{})
	var bad, usual sync.WaitGroup
	bad.Go(func() {
		for {
			c, err := rig.Dial(n.Config.Listen)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			select {
			case <-stop:
				c.Close()
				return
			case <-time.After(time.Second):
			case id := <-open:
				c.Write(rig.Enqueue(id, fmt.Sprintf("c=table-status,d=%d,dest=2", life), "of the bad client"))
				line, err := c.Answer(3 * time.Second)
				if err != nil {
					line = err.Error()
				}
				r.Add("bad client: %s, the id of another client's open request: %s", id, line)
			}
			c.Close()
		}
	})
	end := time.Now().Add(length)
	number := 0
	for i := range clients {
		usual.Go(func() {
			draw := rand.New(rand.NewPCG(64, uint64(i)))
			var c *rig.Client
			for time.Now().Before(end) {
				mu.Lock()
				number++
				id := fmt.Sprintf("m%06d", number)
				m := &message{body: fmt.Sprintf("payout %d%s", number, strings.Repeat(".", draw.IntN(400))), due: time.Now().Add(life * time.Millisecond)}
				messages[id] = m
				mu.Unlock()
				line := "no connection"
				if c == nil {
					c, _ = rig.Dial(n.Config.Listen)
				}
				if c != nil {
					c.Write(rig.Enqueue(id, fmt.Sprintf("c=prize-payout,d=%d,dest=1", life), m.body))
					if rig.Trouble() && draw.Float64() < share {
						select {
						case open <- id: // the whole request has been written
						default:
						}
					}
					var err error
					if line, err = c.Answer(400 * time.Millisecond); err != nil {
						line = err.Error()
						c.Close()
						c = nil
					}
				}
				mu.Lock()
				m.taken = line == "+OK"
				mu.Unlock()
				r.Add("usual client %d: %s prize-payout for destination 1, %d bytes: %s", i, id, len(m.body), line)
				time.Sleep(time.Duration(100+draw.IntN(200)) * time.Millisecond)
			}
		})
	}
	usual.Wait()
	close(stop)
	bad.Wait()
	time.Sleep(life*time.Millisecond + time.Second)
	if !n.Alive() {
		rig.Quit(r, rig.NotRun, "the node has ended by itself")
	}
	taken, foreign, lost := 0, 0, []string{}
	mu.Lock()
	for id, m := range messages {
		if !m.taken {
			continue
		}
		taken++
		if m.delivered {
			continue
		}
		if notice, ok := a.Notice(id); ok && notice.At.Before(m.due.Add(lateness)) {
			continue
		}
		lost = append(lost, id)
		if m.foreign > 0 {
			foreign++
		}
		r.Add("lost: %s: neither delivered nor ended by a notice; calls with its id and a foreign body: %d", id, m.foreign)
	}
	mu.Unlock()
	slices.Sort(lost)
	if len(lost) > 0 {
		rig.Quit(r, rig.Broken, "%d of %d messages of usual clients were taken on and neither delivered nor ended by a notice; for %d of them another's body was sent under their id: %v",
			len(lost), taken, foreign, lost)
	}
	rig.Quit(r, rig.Held, "all %d messages of usual clients that were taken on were delivered or ended by a notice", taken)
}
