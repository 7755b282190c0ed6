package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// Guards against requests of a client that has left being sent on, and against an id that runs twice when it comes again on another connection: by its class
// it may not.
func TestAnIDThatComesAgainAfterItsClientHasLeftRunsOnce(t *testing.T) {
	const rounds, burst = 100, 300
	for _, c := range []struct {
		name    string
		clients int           // at once, which share the rounds
		waits   bool          // for the answers of the second try
		pause   time.Duration // the longest between the two tries
		work    time.Duration // of the endpoint
	}{
		{"one after the other", 1, true, 9 * time.Millisecond, 0},
		{"ten at once, again much later", 10, false, time.Second, 0},
		{"a slow endpoint", 4, false, 50 * time.Millisecond, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := start(t, standin.Limits{Cores: 8, MemoryMB: 256, Sockets: 2000, DiskMB: 32}, standin.Each(standin.Step{Delay: c.work}))
			var all sync.WaitGroup
			for client := range c.clients {
				all.Go(func() {
					for round := range rounds / c.clients {
						p.leaveAndComeAgain(fmt.Sprintf("payout-%d-%d", client, round), burst, c.pause*time.Duration(round%10)/10, c.waits)
					}
				})
			}
			all.Wait()
			time.Sleep(4 * time.Second) // the longest that a message lives
			twice := moreThanOnce(p.endpoint.Runs())
			t.Logf("%d ids ran, %d notices", len(p.endpoint.Runs()), len(p.discovery.Notices()))
			if len(twice) > 0 {
				t.Errorf("%d of %d payouts ran twice, among them %s", len(twice), rounds*burst, twice[0])
			}
		})
	}
}

// leaveAndComeAgain hands payouts in and resets the connection with all answers unread; after a pause it hands the same ones in on another.
func (p *process) leaveAndComeAgain(name string, count int, pause time.Duration, waits bool) {
	var all strings.Builder
	for i := range count {
		all.WriteString(enqueue(fmt.Sprint(name, "-", i), "prize-payout", 3*time.Second, "pay"))
	}
	first, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Error(err)
		return
	}
	write(first, all.String())
	first.(*net.TCPConn).SetLinger(0)
	first.Close()
	time.Sleep(pause)
	again, in := p.dial()
	if !write(again, all.String()) {
		p.t.Error("the connection is closed")
		return
	}
	if !waits {
		go io.Copy(io.Discard, again)
		return
	}
	for range count {
		if _, err := in.ReadString('\n'); err != nil {
			p.t.Error(err)
			return
		}
	}
	again.Close()
}
