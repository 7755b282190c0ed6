package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// clients are those of one node. They keep their connections, open more when all are busy, and use what is open until the node
// ends it or is killed.
type clients struct {
	play *play
	node *node
	rng  *rand.Rand // of the goroutine that hands in

	mu     sync.Mutex
	again  *rand.Rand // of the requests that come again; nil for none
	idle   []*clientConn
	number int
	work   sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// body is what a client wants done; it may be handed in more than once.
type body struct {
	class  *Class
	server int
	key    string
	born   time.Duration
	tries  int
}

// errUnread says that a connection ended before the node read the request; errDropped, that it ended after that.
var (
	errUnread  = errors.New("the connection ended over a request that was not read")
	errDropped = errors.New("the request was read and the connection closed with no answer")
	errLate    = errors.New("no answer in time")
)

// run hands messages in at the node's share of the day's rate until the day is over.
func (c *clients) run(ctx context.Context) {
	rate := c.play.day.Rate * c.play.day.Shares[c.node.number]
	defer c.work.Wait()
	for next := 0.0; ; {
		next += c.rng.ExpFloat64() / rate
		if next > c.play.day.Length.Seconds() {
			return
		}
		due := time.NewTimer(time.Duration(next*float64(time.Second)) - c.play.now())
		select {
		case <-due.C:
			b := c.draw()
			c.work.Go(func() { c.hand(ctx, b) })
		case <-c.node.leaving:
			c.burst(ctx)
		case <-ctx.Done():
			due.Stop()
			return
		}
		due.Stop()
	}
}

// The messages that are handed in round the end of a node's process.
const (
	burstEvery  = 5 * time.Millisecond
	burstLength = 200 * time.Millisecond
)

// burst hands messages in at short intervals while the node is told to end or killed, so that some cross its closes.
func (c *clients) burst(ctx context.Context) {
	began := c.play.now()
	for at := time.Duration(0); at < burstLength; at += burstEvery {
		if !c.play.sleepUntil(ctx, began+at) {
			return
		}
		b := c.draw()
		c.work.Go(func() { c.hand(ctx, b) })
	}
}

// draw draws a message.
func (c *clients) draw() *body {
	d := c.play.day
	b := &body{class: &d.Classes[len(d.Classes)-1], born: c.play.now()}
	x := c.rng.Float64()
	for i := range d.Classes {
		if x -= d.Classes[i].Share; x < 0 {
			b.class = &d.Classes[i]
			break
		}
	}
	x = c.rng.Float64()
	for i, s := range d.Servers {
		if x -= s.Share; x < 0 {
			b.server = i
			break
		}
	}
	if b.class.Effect == Deduplicated {
		b.key = fmt.Sprintf("k%016x", c.rng.Uint64())
	}
	return b
}

// hand hands a message in once, and again if it is refused.
func (c *clients) hand(ctx context.Context, b *body) {
	now := c.play.now()
	left := b.born + b.class.Deadline - now
	if left < 50*time.Millisecond || ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("n%d-%d", c.node.number, c.number)
	c.mu.Unlock()
	c.play.history.handed(id, &message{node: c.node.number, class: b.class, key: b.key, due: now + left})
	text := request(id, b, left)
	c.comesAgain(ctx, text)
	answer, err := c.ask(ctx, id, text)
	switch {
	case err != nil:
		c.failed(id, now, err)
	case strings.HasPrefix(answer, "+"):
		c.play.history.taken(id)
	case strings.HasPrefix(answer, "-BUSY"):
		c.play.history.refused(id)
		c.handAgain(ctx, b, answer)
	default:
		c.play.history.count(func(n *Counts) { n.Failed++ })
	}
}

// longestAgain is the time until a request comes again.
const longestAgain = 300 * time.Millisecond

// comesAgain has a request come again on its way, on a connection of its own, if that is drawn. Its client hears of no answer.
func (c *clients) comesAgain(ctx context.Context, text string) {
	c.mu.Lock()
	again := c.again != nil && c.again.Float64() < c.play.day.Streams.Requests
	wait := time.Duration(0)
	if again {
		wait = time.Duration(c.again.Int64N(int64(longestAgain)))
	}
	c.mu.Unlock()
	if !again {
		return
	}
	c.play.history.count(func(n *Counts) { n.Tampered++ })
	c.work.Go(func() {
		if !c.play.sleepUntil(ctx, c.play.now()+wait) {
			return
		}
		conn, err := c.dial(ctx)
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, text); err == nil {
			conn.SetReadDeadline(time.Now().Add(answerLongest)) // an error ends the read as well
			conn.in.ReadString('\n')
		}
	})
}

// failed judges a request that was not answered.
func (c *clients) failed(id string, asked time.Duration, err error) {
	c.play.history.count(func(n *Counts) { n.Unanswered++ })
	if !errors.Is(err, errDropped) && !errors.Is(err, errLate) {
		return
	}
	if c.play.killed(c.node.number, asked, c.play.now()) {
		return // the process was killed over it
	}
	c.play.history.breach(Answered, "message %s of node %d, handed in at %.3f s: %v", id, c.node.number, asked.Seconds(), err)
}

// handAgain comes back after a refusal, as many clients do at once and some after the time that they were told.
func (c *clients) handAgain(ctx context.Context, b *body, answer string) {
	if b.tries++; b.tries > 2 {
		return
	}
	wait := 100 * time.Millisecond
	if fields := strings.Fields(answer); len(fields) > 1 && b.tries%2 == 0 {
		if ms, err := strconv.Atoi(fields[1]); err == nil {
			wait = time.Duration(ms) * time.Millisecond
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		c.hand(ctx, b)
	case <-ctx.Done():
	}
}

// ask writes a request and reads its answer. A request that was not read goes out once more on a new connection.
func (c *clients) ask(ctx context.Context, id, text string) (string, error) {
	conn := c.take()
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx); err != nil {
			return "", errUnread
		}
	}
	answer, err := c.exchange(conn, text)
	if !errors.Is(err, errUnread) {
		return answer, err
	}
	c.play.history.count(func(n *Counts) { n.Resent++ })
	if conn, err = c.dial(ctx); err != nil {
		return "", errUnread
	}
	return c.exchange(conn, text)
}

func (c *clients) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

func (c *clients) dial(ctx context.Context) (*clientConn, error) {
	d := net.Dialer{Timeout: time.Second}
	nc, err := d.DialContext(ctx, "tcp", c.node.listen)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReader(nc)}, nil
}

// exchange writes a request and waits for the answer: for as long as clients do, and then for as long as the rules give, to tell a
// slow answer from none.
func (c *clients) exchange(conn *clientConn, text string) (string, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
		return "", errUnread
	}
	asked := time.Now()
	if err := conn.SetReadDeadline(asked.Add(answerLongest)); err != nil {
		conn.Close()
		return "", errUnread
	}
	line, err := conn.in.ReadString('\n')
	if err == nil && time.Since(asked) < answerPatience {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
		return line, nil
	}
	defer conn.Close()
	var timeout net.Error
	switch {
	case err == nil:
		return "", fmt.Errorf("answered after %v", time.Since(asked)) // its client has given up, and counts on nothing
	case errors.As(err, &timeout) && timeout.Timeout():
		return "", errLate
	case errors.Is(err, io.EOF) && len(line) == 0 && !unread(conn.Conn):
		return "", errDropped
	case errors.Is(err, io.EOF) && len(line) > 0:
		return "", errDropped
	}
	return "", errUnread
}

// unread tells whether the other side of a connection that it has ended did not read what was written: the system answers such
// bytes with a reset.
func unread(nc net.Conn) bool {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	for range 10 { // a reset takes no longer over loopback
		pending := 0
		if err := raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); err != nil || pending != 0 {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// request is an ENQUEUE.
func request(id string, b *body, left time.Duration) string {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", b.class.Name, left.Milliseconds(), b.server)
	if b.key != "" {
		fields += ",k=" + b.key
	}
	var out strings.Builder
	out.WriteString("*5\r\n")
	for _, word := range []string{"ENQUEUE", "0000000000000000", id, fields, "a message"} {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(word), word)
	}
	return out.String()
}
