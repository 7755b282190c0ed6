package node

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"starlingusher/choice"
	"starlingusher/delivery"
)

// endedConn is a connection whose other side has ended it. Its first Close, which is its reader's, waits for the second.
type endedConn struct {
	net.Conn
	mu     sync.Mutex
	closes int
	first  chan struct{} // closed at the first Close
	second chan struct{}
}

func newEndedConn(nc net.Conn) *endedConn {
	return &endedConn{Conn: nc, first: make(chan struct{}), second: make(chan struct{})}
}

func (c *endedConn) Close() error {
	c.mu.Lock()
	c.closes++
	closes := c.closes
	c.mu.Unlock()
	switch closes {
	case 1:
		close(c.first)
		<-c.second
	case 2:
		close(c.second)
	}
	return c.Conn.Close()
}

// heldContext is a context that has whoever looks at it wait.
type heldContext struct {
	context.Context
	hold func()
}

func (c heldContext) Done() <-chan struct{} {
	c.hold()
	return c.Context.Done()
}

// Guards against a call that is given the end of the connection that was tried before.
func TestACallHearsNothingOfTheConnectionTriedBefore(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool := testPool()
	dial := pool.connect
	for order := range 1000 {
		var ended *endedConn
		pool.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil || ended != nil {
				return nc, err
			}
			nc.(*net.TCPConn).CloseRead()
			ended = newEndedConn(nc)
			return ended, nil
		}
		ctx := heldContext{t.Context(), func() {
			if ended != nil {
				<-ended.first // before the request is written
			}
		}}
		c := testCall(endpointAt(p.Addr()))
		c.Fresh = true
		c.Settle = func(*delivery.Result) { t.Error("it was settled twice") }
		if got := pool.Attempt(ctx, c); got.Outcome != choice.Pass {
			t.Fatalf("order %d: got %+v", order, got)
		}
	}
}

// halfWriter is a connection that takes half of a request and fails once something has come.
type halfWriter struct {
	net.Conn
	came chan struct{}
	once sync.Once
}

func (c *halfWriter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.once.Do(func() { close(c.came) })
	return n, err
}

func (c *halfWriter) Write(b []byte) (int, error) {
	n, _ := c.Conn.Write(b[:len(b)/2])
	<-c.came
	return n, syscall.EPIPE
}

// Guards against a request that could not be written whole, and whose call takes what comes meanwhile for its outcome.
func TestAResponseToHalfARequestIsNoOutcome(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if _, err := io.ReadFull(nc, make([]byte, 4)); err == nil {
					io.WriteString(nc, delivered)
				}
			}()
		}
	}()
	pool := testPool()
	dial := pool.connect
	pool.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		return &halfWriter{Conn: nc, came: make(chan struct{})}, err
	}
	for order := range 300 {
		c := testCall(endpointAt(ln.Addr().String()))
		c.Settle = func(*delivery.Result) { t.Error("it was settled later") }
		if got := pool.Attempt(t.Context(), c); got.Outcome != choice.NoRoute || !got.NotRun {
			t.Fatalf("order %d: got %+v", order, got)
		}
	}
}
