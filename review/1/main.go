// Case: a second copy of an answer is taken for the answer to the next call, which never gets one.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/rig"
)

const (
	partners = 10
	struck   = 3                       // that hang at a time, three times
	work     = 60 * time.Millisecond   // of a call at an endpoint
	clump    = 16                      // messages that come together for one partner
	gap      = time.Millisecond        // between an answer and its copy
	apart    = 1500 * time.Millisecond // between the clumps for two partners
	hangFor  = 7 * time.Second
	life     = 8000 // of a message, in milliseconds
	lateness = 300*time.Millisecond + 50*time.Millisecond
)

type message struct {
	class string
	taken bool
	due   time.Time
}

// partner is an endpoint: it answers each call with 200. One answer is followed by a second copy, and the endpoint hangs from then on.
type partner struct {
	rig     *rig.Endpoint
	mu      sync.Mutex
	answers int
	spoilt  int // the answer that a copy follows
	hangs   time.Time
	copied  bool
}

func main() {
	// Either of the two disruptions can be left out alone, to tell which does it.
	copies := rig.Trouble() && os.Getenv("COPIES") != "0"
	hang := rig.Trouble() && os.Getenv("HANG") != "0"
	r := rig.NewRecord()
	draw := rand.New(rand.NewPCG(64, 2))
	var mu sync.Mutex
	delivered := map[string]time.Time{} // when a first line with 200 was written
	var members []rig.Member
	for i := range partners {
		p := &partner{spoilt: 4 + draw.IntN(5)}
		name := fmt.Sprintf("s-%d", i)
		p.rig = rig.NewEndpoint(r, func(c rig.Call, w net.Conn) bool {
			p.mu.Lock()
			hangs := time.Now().Before(p.hangs)
			p.mu.Unlock()
			if hangs {
				r.Add("%s: %s came on connection %d and gets no answer", name, c.ID, c.Conn)
				io.Copy(io.Discard, w)
				return false
			}
			time.Sleep(work)
			p.mu.Lock()
			if time.Now().Before(p.hangs) {
				p.mu.Unlock()
				r.Add("%s: %s was being worked on and gets no answer", name, c.ID)
				io.Copy(io.Discard, w)
				return false
			}
			p.answers++
			spoilt := p.answers == p.spoilt
			_, err := io.WriteString(w, answer)
			again := copies && spoilt
			if again {
				time.Sleep(gap)
				again = !waits(w)
			}
			if again {
				io.WriteString(w, answer)
			}
			if hang && spoilt {
				p.hangs = time.Now().Add(hangFor)
			}
			p.mu.Unlock()
			if err != nil {
				return false
			}
			mu.Lock()
			delivered[c.ID] = time.Now()
			mu.Unlock()
			r.Add("%s: %s on connection %d: 200, a second copy right behind it: %v, hangs from then on: %v", name, c.ID, c.Conn, again, hang && spoilt)
			return true
		})
		way := rig.NewProxy(r, p.rig.Addr, 10*time.Millisecond, 0.3)
		members = append(members, rig.Member{ID: name, HostPort: way.Addr, Locality: "ist-1", Flavor: "all-partners", Cell: i + 1, Phase: "SERVING", Size: 200})
	}
	a := rig.NewAgent(r, members)
	n := rig.NewNode(r, rig.Config{Name: "n1", Listen: rig.FreeAddress(), Discovery: a.Addr, Seed: "8c1f30d27a5be964",
		Limits: rig.Limits{Cores: 1, MemoryMB: 192, Sockets: 512, DiskMB: 3}, Known: a.List(), Settings: rig.Settings(nil)})
	n.Start()

	messages := map[string]*message{}
	number := 0
	send := func(dest, count int) {
		var all sync.WaitGroup
		for range count {
			mu.Lock()
			number++
			id := fmt.Sprintf("m%04d", number)
			m := &message{class: []string{"coin-order", "prize-payout"}[number%2], due: time.Now().Add(life * time.Millisecond)}
			messages[id] = m
			mu.Unlock()
			all.Go(func() {
				fields := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class, life, dest)
				if m.class == "coin-order" {
					fields += ",k=k" + id
				}
				line := "no connection"
				if c, err := rig.Dial(n.Config.Listen); err == nil {
					c.Write(rig.Enqueue(id, fields, strings.Repeat("x", 212)))
					if line, err = c.Answer(400 * time.Millisecond); err != nil {
						line = err.Error()
					}
					c.Close()
				}
				r.Add("client: %s %s for destination %d: %s", id, m.class, dest, line)
				m.taken = line == "+OK"
			})
		}
		all.Wait()
	}
	for i := range partners {
		send(i+1, 1)
	}
	time.Sleep(time.Second)
	for first := 0; first+struck <= partners; first += struck {
		for i := first; i < first+struck; i++ {
			send(i+1, clump)
			time.Sleep(apart)
		}
		time.Sleep(hangFor + 2*time.Second)
	}
	time.Sleep(life*time.Millisecond + time.Second)
	if !n.Alive() {
		rig.Quit(r, rig.NotRun, "the node has ended by itself")
	}
	taken, lost := 0, []string{}
	mu.Lock()
	for id, m := range messages {
		if !m.taken {
			continue
		}
		taken++
		at, ok := delivered[id]
		notice, ended := a.Notice(id)
		if (ok && at.Before(m.due.Add(lateness))) || (ended && notice.At.Before(m.due.Add(lateness))) {
			continue
		}
		lost = append(lost, id)
		r.Add("lost: %s %s: delivered %v, notice %v", id, m.class, ok, ended)
	}
	mu.Unlock()
	slices.Sort(lost)
	if len(lost) > 0 {
		rig.Quit(r, rig.Broken, "%d of %d messages that were taken on were neither delivered nor ended by a notice: %v", len(lost), taken, lost)
	}
	rig.Quit(r, rig.Held, "all %d messages that were taken on were delivered or ended by a notice", taken)
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// waits tells whether bytes of another request have come on a connection.
func waits(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	any := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		any = err == nil && n > 0
	})
	return any
}
