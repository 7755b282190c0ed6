package clients

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// Guards against requests of a client that has left being sent on, and against an id that runs twice when it comes again on another connection: by its class
// it may not.
func TestAnIDThatComesAgainAfterItsClientHasLeftRunsOnce(t *testing.T) {
	const rounds, burst = 100, 300
	p := start(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384, DiskMB: 3}, nil)
	for round := range rounds {
		var all strings.Builder
		for i := range burst {
			all.WriteString(enqueue(fmt.Sprintf("payout-%d-%d", round, i), "prize-payout", 3*time.Second, "pay"))
		}
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		write(c, all.String())
		c.(*net.TCPConn).SetLinger(0) // it resets the connection, with all answers unread
		c.Close()
		time.Sleep(time.Duration(round%10) * time.Millisecond)
		again, in := p.dial()
		if !write(again, all.String()) {
			t.Fatal("the connection is closed")
		}
		for range burst {
			if _, err := in.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		again.Close()
	}
	time.Sleep(time.Second) // calls that are out
	twice := 0
	for id, runs := range p.endpoint.Runs() {
		if runs > 1 {
			if twice++; twice < 5 {
				t.Logf("%s ran %d times", id, runs)
			}
		}
	}
	t.Logf("%d ids ran, %d notices", len(p.endpoint.Runs()), len(p.discovery.Notices()))
	if twice > 0 {
		t.Errorf("%d of %d payouts ran twice", twice, rounds*burst)
	}
}
