package clients

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// seen is what a process at an address was sent.
type seen struct {
	mu      sync.Mutex
	process int // the one that is there now
	calls   []arrived
}

type arrived struct {
	id      string
	process int
	at      time.Time
}

func (s *seen) script(work time.Duration) standin.Script {
	return func(c standin.Call) standin.Step {
		s.mu.Lock()
		s.calls = append(s.calls, arrived{c.ID, s.process, time.Now()})
		s.mu.Unlock()
		return standin.Step{Delay: work}
	}
}

func (s *seen) next() {
	s.mu.Lock()
	s.process++
	s.mu.Unlock()
}

// Guards against a new process at the address of one that has gone being taken for the old one: work of the old one's destination goes there, or runs twice.
func TestANewProcessAtAnOldAddressIsNotTakenForTheOldOne(t *testing.T) {
	const other = partner + 1 // the destination of the new process
	const grace = 250*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
	for _, c := range []struct {
		name   string
		id     string        // of the new process
		before time.Duration // from when it is listed until it is there
		work   time.Duration
		same   bool // its destination is that of the old one
	}{
		{"listed at once", "f", 0, 5 * time.Millisecond, false},
		{"listed before it is there", "f", 300 * time.Millisecond, 30 * time.Millisecond, false},
		{"with the id of the old one", "e", 0, 30 * time.Millisecond, false},
		{"with the id of the old one, listed before", "e", 300 * time.Millisecond, 5 * time.Millisecond, false},
		{"the same endpoint, started anew", "e", 0, 30 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var there seen
			p := start(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384, DiskMB: 3}, there.script(c.work))
			elsewhere, err := standin.NewHTTP(standin.Each(standin.Step{Delay: c.work}), nil) // as fast as the other one, or it gets nearly all
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(elsewhere.Close)
			member := standin.Member{ID: "g", Addr: elsewhere.Addr(), Zone: "a", Kind: "plain", Dest: partner, Phase: "SERVING", Size: 20000}
			p.discovery.Set(member)
			over := make(chan struct{})
			var handing sync.WaitGroup
			for _, dest := range []int{partner, other} {
				handing.Go(func() { p.handIn(over, dest) })
			}
			time.Sleep(time.Second)
			p.endpoint.Refuse()
			there.next()
			newcomer := member
			newcomer.ID, newcomer.Addr, newcomer.Dest = c.id, p.endpoint.Addr(), other
			if c.same {
				newcomer.Dest = partner
			}
			if c.id != "e" {
				gone := member
				gone.ID, gone.Addr, gone.Phase = "e", p.endpoint.Addr(), "DELETED"
				p.discovery.Set(gone)
			}
			p.discovery.Set(newcomer)
			told := time.Now()
			time.Sleep(c.before)
			if err := p.endpoint.Accept(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			close(over)
			handing.Wait()
			time.Sleep(time.Second)
			there.mu.Lock()
			defer there.mu.Unlock()
			reached := 0
			runs := map[string]int{}
			for id, count := range elsewhere.Runs() {
				runs[id] += count
			}
			for _, call := range there.calls {
				runs[call.id]++
				if call.process == 0 {
					continue
				}
				if strings.HasPrefix(call.id, fmt.Sprintf("to-%d-", newcomer.Dest)) {
					reached++
				} else if late := call.at.Sub(told); late > grace {
					t.Errorf("%s went to the new process %v after it was listed", call.id, late)
				}
			}
			for _, id := range moreThanOnce(runs) {
				t.Errorf("%s ran %d times", id, runs[id])
			}
			if reached == 0 {
				t.Errorf("the new process got nothing of its own: %d calls at its address, %d elsewhere", len(there.calls), len(elsewhere.Calls()))
			}
		})
	}
}

// handIn hands payouts for a destination in, one each 10 ms, until over is closed. Those to a destination that is not known yet are turned away.
func (p *process) handIn(over <-chan struct{}, dest int) {
	conn, in := p.dial()
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		case <-time.After(10 * time.Millisecond):
		}
		text := standin.Command("ENQUEUE", "0", fmt.Sprintf("to-%d-%d", dest, i), fmt.Sprintf("c=prize-payout,d=1000,dest=%d", dest), "pay")
		if !write(conn, text) {
			p.t.Error("the connection is closed")
			return
		}
		if _, err := in.ReadString('\n'); err != nil {
			p.t.Error(err)
			return
		}
	}
}
