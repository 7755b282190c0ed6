package clients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

const (
	gone     = "HTTP/1.1 410 Gone\r\n"
	goneLate = 50 * time.Millisecond // by which a call may cross the 410 for its message
	// heldUpFor is longer than a call may be out.
	heldUpFor = 5 * time.Second
)

// overServer turns all messages away until it opens. Then it answers every second one that its message is over, and delivers the others.
type overServer struct {
	write   func(nc net.Conn, number int) (goesOn bool) // the 410 of that number
	endless bool                                        // it passes over requests for a connection's end

	mu        sync.Mutex
	open      bool
	over      map[string]time.Time // when the first 410 of a message was written
	again     map[string]time.Duration
	delivered map[string]bool
}

func (s *overServer) serve(nc net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Trace-Id")
	s.mu.Lock()
	if at, over := s.over[id]; over && time.Since(at) > goneLate {
		s.again[id] = time.Since(at)
	}
	open, number := s.open, len(s.over)
	withdrawn := open && strings.HasSuffix(id, "0")
	if _, was := s.over[id]; withdrawn && !was {
		s.over[id] = time.Now()
	} else if open && !withdrawn {
		s.delivered[id] = true
	}
	s.mu.Unlock()
	text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	last := req.Close && !s.endless
	if last {
		nc = &lastResponse{Conn: nc}
	}
	switch {
	case withdrawn:
		return s.write(nc, number) && !last
	case !open:
		text = "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n"
	default:
		time.Sleep(5 * time.Millisecond) // its work
	}
	_, err := io.WriteString(nc, text)
	return err == nil && !last
}

// lastResponse is a connection whose next response says that it is the last one.
type lastResponse struct {
	net.Conn
	said bool
}

// Write implements io.Writer.
func (l *lastResponse) Write(text []byte) (int, error) {
	line, rest, whole := bytes.Cut(text, []byte("\r\n"))
	if l.said || !whole {
		return l.Conn.Write(text)
	}
	l.said = true
	_, err := l.Conn.Write(slices.Concat(line, []byte("\r\nConnection: close\r\n"), rest))
	return len(text), err
}

// saysGone writes a 410 in pieces, with a pause after each, and tells whether its connection goes on.
func saysGone(goesOn bool, pause time.Duration, pieces ...string) func(net.Conn, int) bool {
	return func(nc net.Conn, _ int) bool {
		for _, piece := range pieces {
			if _, err := io.WriteString(nc, piece); err != nil {
				return false
			}
			time.Sleep(pause)
		}
		return goesOn
	}
}

// Guards against a message being called again after its endpoint said that it is over, whatever that response looked like and whoever ended meanwhile.
func TestAMessageThatIsOverIsNotCalledAgain(t *testing.T) {
	t.Parallel()
	whole := gone + "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name  string
		write func(nc net.Conn, number int) bool
		stop  os.Signal // ends the node while calls are out, and another process goes on in its folder; nil for none
	}{
		{"whole, and the node is held up", func(nc net.Conn, _ int) bool {
			time.Sleep(100 * time.Millisecond) // its work
			return saysGone(true, 0, whole)(nc, 0)
		}, syscall.SIGSTOP},
		{"whole", saysGone(true, 0, whole), nil},
		{"whole, at connections without end", saysGone(true, 0, whole), nil},
		{"with a date", func(nc net.Conn, _ int) bool {
			return saysGone(true, 0, gone+"Date: "+time.Now().UTC().Format(http.TimeFormat)+"\r\nContent-Length: 0\r\n\r\n")(nc, 0)
		}, nil},
		{"in pieces", saysGone(true, 30*time.Millisecond, whole[:9], whole[9:20], whole[20:30], whole[30:]), nil},
		{"one in twenty twice", func(nc net.Conn, number int) bool {
			return saysGone(true, 0, strings.Repeat(whole, 1+(number%20)/19))(nc, number)
		}, nil},
		{"with an end", saysGone(false, 0, gone+"Connection: close\r\nContent-Length: 0\r\n\r\n"), nil},
		{"a status line in two pieces", saysGone(false, 30*time.Millisecond, whole[:11], whole[11:]), nil},
		{"half a status line", saysGone(false, 0, whole[:11]), nil},
		{"half a head", saysGone(false, 0, gone+"Content-Le"), nil},
		{"half a body", saysGone(false, 0, gone+"Content-Length: 100\r\n\r\nhalf"), nil},
		{"a length that is no number", saysGone(true, 0, gone+"Content-Length: none\r\n\r\n"), nil},
		{"a body that goes on", func(nc net.Conn, _ int) bool {
			saysGone(false, 0, gone+"Content-Length: 100000000\r\n\r\n", strings.Repeat("x", 100_000))(nc, 0)
			io.Copy(io.Discard, nc) // until the node gives it up
			return false
		}, nil},
		{"whole, and the node is told to end", saysGone(true, 0, whole), syscall.SIGTERM},
		{"whole, and the node is killed", saysGone(true, 0, whole), syscall.SIGKILL},
		{"half a head, and the node is killed", saysGone(false, 0, gone+"Content-Le"), syscall.SIGKILL},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := &overServer{write: c.write, endless: strings.HasSuffix(c.name, "without end"), over: map[string]time.Time{}, again: map[string]time.Duration{}, delivered: map[string]bool{}}
			endpoint, err := standin.NewRawHTTP(server.serve)
			if err != nil {
				t.Fatal(err)
			}
			p := startAt(t, standin.Limits{Cores: 2, MemoryMB: 128, Sockets: 500, DiskMB: 8}, endpoint)
			taken := 0
			hand := func(count int) {
				conn, in := p.dial()
				defer conn.Close()
				for range count {
					write(conn, enqueue(fmt.Sprintf("%x-%d", taken, taken%2), "table-status", 15*time.Second, "over"))
					if line, err := in.ReadString('\n'); err == nil && line == "+OK\r\n" {
						taken++
					}
				}
			}
			hand(300)
			time.Sleep(time.Second) // the endpoint's outage
			server.mu.Lock()
			server.open = true
			server.mu.Unlock()
			for i := range 100 {
				time.Sleep(30 * time.Millisecond) // the clients' rate
				switch {
				case c.stop == syscall.SIGSTOP && i%50 == 0:
					hand(150)
					p.holdUp(heldUpFor)
				case i == 30 && c.stop != nil && c.stop != syscall.SIGSTOP:
					p.replace(c.stop)
				}
				hand(4)
			}
			ended := func() (without, falsely int) {
				notices := map[string]bool{}
				for _, n := range p.discovery.Notices() {
					notices[n.ID] = true
				}
				server.mu.Lock()
				defer server.mu.Unlock()
				for i := range taken {
					id := fmt.Sprintf("%x-%d", i, i%2)
					if _, over := server.over[id]; !over && !server.delivered[id] && !notices[id] {
						without++
					}
					if server.delivered[id] && notices[id] {
						falsely++
					}
				}
				return without, falsely
			}
			for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if without, _ := ended(); without == 0 {
					break
				}
			}
			time.Sleep(2 * time.Second) // calls that are made again
			without, falsely := ended()
			server.mu.Lock()
			defer server.mu.Unlock()
			t.Logf("%d taken on, %d over, %d of them called again, %d delivered, %d of them reported as failed", taken, len(server.over), len(server.again), len(server.delivered), falsely)
			for id := range server.again {
				t.Logf("the node's log of %s:\n%s", id, p.linesOf(id))
			}
			if len(server.again) > 0 || without > 0 || len(server.over) < 100 {
				t.Errorf("%d of %d messages that were over were called again, %d messages have no end", len(server.again), len(server.over), without)
			}
		})
	}
}
