package clients

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// Guards against a message being answered as refused, and called all the same, since it was handed in again while others hold the memory for bodies.
func TestAMessageThatIsTakenOnIsNotRefusedForWantOfMemory(t *testing.T) {
	const repeats, holders, size = 5, 150, 60_000
	for _, class := range []string{"table-status", "prize-payout"} {
		t.Run(class, func(t *testing.T) {
			p := start(t, standin.Limits{Cores: 2, MemoryMB: 32, Sockets: 600, DiskMB: 8}, standin.Each(standin.Step{Fault: standin.Full}))
			hand := func(id, body string) string {
				conn, in := p.dial()
				defer conn.Close()
				write(conn, enqueue(id, class, 15*time.Second, body))
				line, err := in.ReadString('\n')
				if err != nil {
					return err.Error()
				}
				return strings.TrimSpace(line)
			}
			body := func(i int) string { return strings.Repeat(fmt.Sprint(i), size) }
			for i := range repeats {
				if got := hand(fmt.Sprint("m-", i), body(i)); got != "+OK" {
					t.Fatalf("message %d is answered %q", i, got)
				}
			}
			var held sync.WaitGroup
			for i := range holders {
				held.Go(func() {
					conn, err := net.Dial("tcp", p.addr)
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { conn.Close() })
					text := enqueue(fmt.Sprint("held-", i), class, 15*time.Second, body(i%10))
					write(conn, text[:len(text)-20])
				})
			}
			held.Wait()
			refused, others := 0, 0
			for end := time.Now().Add(time.Second); refused == 0 && time.Now().Before(end); others++ {
				if got := hand(fmt.Sprint("early-", others), body(7)); strings.HasPrefix(got, "-BUSY") {
					refused++
				}
			}
			for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); {
				if got := hand(fmt.Sprint("new-", others), body(7)); strings.HasPrefix(got, "-BUSY") {
					refused++
				}
				others++
				for i := range repeats {
					if got := hand(fmt.Sprint("m-", i), body(i)); got != "+OK" {
						t.Errorf("message %d, which is taken on, is answered %q", i, got)
					}
					if got := hand(fmt.Sprint("m-", i), body(i + 1)[:size]); strings.HasPrefix(got, "+OK") {
						t.Errorf("another message of the id of message %d is answered %q", i, got)
					}
				}
			}
			t.Logf("%d of %d new messages were refused", refused, others)
			if refused == 0 {
				t.Error("nothing was refused: the memory was not short")
			}
			p.endpoint.Do(nil)
			for end := time.Now().Add(patience); time.Now().Before(end) && len(p.endpoint.Answered()) < repeats; time.Sleep(10 * time.Millisecond) {
			}
			for i := range repeats {
				if id := fmt.Sprint("m-", i); p.endpoint.Answered()[id] != 1 {
					t.Errorf("message %d was delivered %d times", i, p.endpoint.Answered()[id])
				}
			}
		})
	}
}
