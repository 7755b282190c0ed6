package clients

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// Guards against messages at a sound endpoint whose answers are equal being reported as failed though they were delivered, or called again.
func TestASoundEndpointWhoseAnswersAreEqualIsBelieved(t *testing.T) {
	for _, c := range []struct {
		class               string
		clients, at, second int // so many clients, with so many requests at once each, and messages a second of all; 0 for as many as the node takes
	}{
		{"prize-payout", 8, 32, 2000},
		{"prize-payout", 64, 32, 2000},
		{"prize-payout", 8, 1, 2000},
		{"table-status", 8, 32, 2000},
		{"prize-payout", 8, 32, 200},
		{"prize-payout", 8, 32, 1000},
		{"prize-payout", 8, 32, 0},
		{"table-status", 8, 32, 0},
	} {
		t.Run(fmt.Sprintf("%s/%dx%d/second=%d", c.class, c.clients, c.at, c.second), func(t *testing.T) {
			messages := 8192
			if c.second > 0 {
				messages = min(messages, 4*c.second)
			}
			p := start(t, standin.Limits{Cores: 8, MemoryMB: 256, Sockets: 2000, DiskMB: 32}, standin.Each(standin.Step{Delay: 5 * time.Millisecond}))
			var handing sync.WaitGroup
			began := time.Now()
			for client := range c.clients {
				handing.Go(func() {
					conn, in := p.dial()
					for sent := client * c.at; sent < messages; sent += c.clients * c.at {
						if c.second > 0 {
							time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / time.Duration(c.second))))
						}
						var all strings.Builder
						count := min(c.at, messages-sent)
						for i := range count {
							all.WriteString(enqueue(fmt.Sprint("m-", sent+i), c.class, 15*time.Second, "sound"))
						}
						if !write(conn, all.String()) {
							t.Error("the connection is closed")
							return
						}
						for range count {
							if line, err := in.ReadString('\n'); err != nil || line != "+OK\r\n" {
								t.Errorf("answered %q, %v", line, err)
								return
							}
						}
					}
				})
			}
			handing.Wait()
			took := time.Since(began)
			for end := time.Now().Add(patience); len(p.endpoint.Runs()) < messages && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(4 * time.Second) // calls that are sent again
			runs := p.endpoint.Runs()
			twice := len(moreThanOnce(runs))
			failed := map[string]bool{} // a notice may come twice
			for _, n := range p.discovery.Notices() {
				failed[n.ID] = true
			}
			t.Logf("%d messages in %v, %d ran, %d twice, %d reported as failed, %d connections, %v of processors", messages, took.Round(time.Millisecond), len(runs), twice, len(failed),
				p.endpoint.Conns(), p.processorTime())
			if twice > 0 || len(failed) > 0 {
				t.Errorf("%d of %d were called twice, %d reported as failed", twice, messages, len(failed))
			}
		})
	}
}
