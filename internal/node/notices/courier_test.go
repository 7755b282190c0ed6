package notices

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// agent is a peer whose connections each do what they are told by their number, from 1.
type agent struct {
	ln    net.Listener
	serve func(number int, nc net.Conn, in *bufio.Reader)
	work  sync.WaitGroup

	mu    sync.Mutex
	taken map[string]int // how often, by line
}

func newAgent(t *testing.T, serve func(a *agent, number int, nc net.Conn, in *bufio.Reader)) *agent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{ln: ln, taken: map[string]int{}}
	a.work.Go(func() {
		for number := 1; ; number++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			a.work.Go(func() {
				defer nc.Close()
				serve(a, number, nc, bufio.NewReader(nc))
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		a.work.Wait()
	})
	return a
}

// read takes a post, and tells whether there was one.
func (a *agent) read(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for line := range strings.Lines(string(body)) {
		a.taken[line]++
	}
	return true
}

const taken = "HTTP/1.1 204 No Content\r\n\r\n"

// post posts notices at intervals, and returns how long it took until the agent had each, and until all were acknowledged.
func post(t *testing.T, a *agent, count int) (longest time.Duration, log string) {
	t.Helper()
	acks := make(chan string, count)
	var text strings.Builder
	c := New(a.ln.Addr().String(), 16, new(net.Dialer).DialContext, slog.New(slog.NewTextHandler(&text, nil)), func(all []string) {
		for _, one := range all {
			acks <- one
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	for i := range count {
		line := fmt.Sprint("n", i, "\n")
		began := time.Now()
		c.Post([]*Entry[string]{{Value: line, Line: []byte(line)}})
		for had := false; !had; time.Sleep(time.Millisecond) {
			a.mu.Lock()
			had = a.taken[line] > 0
			a.mu.Unlock()
			if longest = max(longest, time.Since(began)); longest > 10*time.Second {
				t.Fatalf("%q is not taken", line)
			}
		}
	}
	for range count {
		line := <-acks
		a.mu.Lock()
		if a.taken[line] == 0 {
			t.Errorf("%q is acknowledged and was never taken", line)
		}
		a.mu.Unlock()
	}
	cancel()
	<-ended
	return longest, text.String()
}

// Guards against notices that are late since some ways to the agent are silent, reset or slow, while others work.
func TestNoticesGoByTheWaysThatWork(t *testing.T) {
	const inTime = 300 * time.Millisecond
	hold := func(nc net.Conn) { io.Copy(io.Discard, nc) }
	for name, serve := range map[string]func(a *agent, number int, nc net.Conn, in *bufio.Reader){
		"every second connection silent": func(a *agent, number int, nc net.Conn, in *bufio.Reader) {
			if number%2 == 1 {
				hold(nc)
			}
			for a.read(in) {
				io.WriteString(nc, taken)
			}
		},
		"connections silent after a response": func(a *agent, _ int, nc net.Conn, in *bufio.Reader) {
			a.read(in)
			io.WriteString(nc, taken)
			hold(nc)
		},
		"every second connection reset": func(a *agent, number int, nc net.Conn, in *bufio.Reader) {
			if number%2 == 1 {
				nc.(*net.TCPConn).SetLinger(0)
				return
			}
			for a.read(in) {
				io.WriteString(nc, taken)
			}
		},
		"answers after 0.6 s": func(a *agent, _ int, nc net.Conn, in *bufio.Reader) {
			for a.read(in) {
				time.Sleep(600 * time.Millisecond)
				io.WriteString(nc, taken)
			}
		},
		"one answer refuses, one does not": func(a *agent, number int, nc net.Conn, in *bufio.Reader) {
			if number%2 == 1 {
				http.ReadRequest(in)
				io.WriteString(nc, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
				hold(nc)
			}
			for a.read(in) {
				io.WriteString(nc, taken)
			}
		},
		"each response twice": func(a *agent, _ int, nc net.Conn, in *bufio.Reader) {
			for a.read(in) {
				io.WriteString(nc, taken+taken)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if longest, log := post(t, newAgent(t, serve), 8); longest > inTime {
				t.Errorf("a notice took %v\n%s", longest, log)
			}
		})
	}
}

// Guards against a race of the last notices with a courier that ends.
func TestNoticesMayComeWhileTheCourierEnds(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	for range 50 {
		c := New("agent:1", 4, refused, slog.New(slog.DiscardHandler), func([]int) {})
		ctx, cancel := context.WithCancel(t.Context())
		var posting sync.WaitGroup
		posting.Go(func() {
			for i := range 100 {
				c.Post([]*Entry[int]{{Value: i, Line: Line("m", "failed", 0)}})
			}
			cancel()
			for i := range 100 {
				c.Post([]*Entry[int]{{Value: i, Line: Line("m", "failed", 0)}})
			}
		})
		c.Run(ctx)
		posting.Wait()
	}
}
