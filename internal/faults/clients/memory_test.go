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

// crowd is hundreds of clients at once that do the same.
const crowd = 800

const largeBody = 64 << 10 // bytes; the most that a message may have

// Guards against a process over its limit of memory, where hundreds of clients hold large requests half written, write them slowly, send many at once, or
// send ones of very many words: what is not whole holds a part of the memory at most, and a sound client is served all the while.
func TestACrowdOfClientsWithLargeRequestsStaysInMemory(t *testing.T) {
	large := strings.Repeat("x", largeBody)
	whole := func(i, n int) string {
		return enqueue(fmt.Sprintf("large-%d-%d", i, n), "table-status", time.Second, large)
	}
	for _, c := range []struct {
		name   string
		memory int  // MB
		whole  bool // their requests come whole: they are owed answers, not a close
		do     func(c net.Conn, i int)
	}{
		{"all but 100 bytes", 64, false, func(c net.Conn, i int) { write(c, whole(i, 0)[:largeBody-100]) }},
		{"all but 100 bytes, with less memory", 48, false, func(c net.Conn, i int) { write(c, whole(i, 0)[:largeBody-100]) }},
		{"all but 100 bytes, with very little memory", 32, false, func(c net.Conn, i int) { write(c, whole(i, 0)[:largeBody-100]) }},
		{"half", 64, false, func(c net.Conn, i int) { write(c, whole(i, 0)[:largeBody/2]) }},
		{"slowly", 64, false, func(c net.Conn, i int) {
			text := whole(i, 0)
			for len(text) > 0 && write(c, text[:min(len(text), 2<<10)]) {
				text = text[min(len(text), 2<<10):]
				time.Sleep(15 * time.Millisecond)
			}
		}},
		{"sixteen at once", 64, true, func(c net.Conn, i int) {
			var all strings.Builder
			for n := range 16 {
				all.WriteString(whole(i, n))
			}
			write(c, all.String())
		}},
		{"one word less", 64, false, func(c net.Conn, i int) {
			write(c, "*8\r\n"+strings.Repeat("$1000\r\n"+strings.Repeat("k", 1000)+"\r\n", 7))
		}},
		{"fields without end", 64, false, func(c net.Conn, i int) {
			write(c, standin.Command("ENQUEUE", "0", fmt.Sprint("f", i), strings.Repeat("a=1,", 256)[:1023], large)[:largeBody])
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := standin.Limits{Cores: 1, MemoryMB: c.memory, Sockets: 3 * crowd, DiskMB: 3}
			p, calm := start(t, limits, nil), start(t, limits, nil)
			over := make(chan struct{})
			var sound sync.WaitGroup
			var late, asked, lateWithout int
			sound.Go(func() { late, asked = p.soundClient(over) })
			sound.Go(func() { lateWithout, _ = calm.soundClient(over) })
			var all sync.WaitGroup
			for i := range crowd {
				all.Go(func() {
					conn, err := net.Dial("tcp", p.addr)
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					conn.SetDeadline(time.Now().Add(5 * time.Second))
					go c.do(conn, i)
					began := time.Now()
					io.Copy(io.Discard, conn) // until the node closes it
					if took := time.Since(began); !c.whole && took > 4*time.Second {
						t.Errorf("client %d has neither an error nor a close after %v", i, took)
					}
				})
			}
			all.Wait()
			close(over)
			sound.Wait()
			t.Logf("a sound client: %d messages, %d answered late or never, %d by a node with no crowd", asked, late, lateWithout)
			if (late-lateWithout)*20 > asked {
				t.Errorf("%d of %d messages of a sound client were answered late or never, %d by a node with no crowd", late, asked, lateWithout)
			}
			peak := p.peakMemory()
			t.Logf("%.1f MB of %d at most", float64(peak)/megabytes, c.memory)
			if peak > c.memory*megabytes {
				t.Errorf("%.1f MB were resident, %d MB allowed", float64(peak)/megabytes, c.memory)
			}
		})
	}
}

// write writes as a client that does not care, and tells whether it could.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// soundClient hands a small message in each 20 ms until over is closed, and returns how many there were and how many were not answered within the time
// that clients wait.
func (p *process) soundClient(over <-chan struct{}) (late, asked int) {
	const answerWithin = 400 * time.Millisecond
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-over:
			if conn != nil {
				conn.Close()
			}
			return late, asked
		case <-time.After(20 * time.Millisecond):
		}
		asked++
		began := time.Now()
		answered := false
		for try := 0; try < 2 && !answered; try++ { // a connection that rested may be gone
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", p.addr, answerWithin); err != nil {
					conn = nil
					break
				}
			}
			conn.SetDeadline(began.Add(answerWithin))
			answer := make([]byte, 64)
			if write(conn, enqueue(fmt.Sprint("sound-", i), "table-status", 2*time.Second, "small")) {
				n, err := conn.Read(answer)
				answered = err == nil && n > 0
			}
			if !answered {
				conn.Close()
				conn = nil
			}
		}
		if !answered {
			late++
		}
	}
}
