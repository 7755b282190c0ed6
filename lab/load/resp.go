package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RESP is a node that takes messages over RESP2, by some connections on which requests are written without waiting for the
// answers before them.
type RESP struct {
	addr   string
	conns  []*respConn
	next   int
	closed bool
}

// errClosed says that a connection ended before the answer.
var errClosed = errors.New("the connection ended before the answer")

// respConn writes what is queued, and matches answers in order.
type respConn struct {
	nc    net.Conn
	mu    sync.Mutex
	more  *sync.Cond
	queue []byte         // not yet written; any size, since the schedule waits for nobody
	open  []func(Answer) // without an answer, oldest first
	gone  error
	done  sync.WaitGroup
}

// Dial connects to a node.
func Dial(addr string, conns int) (*RESP, error) {
	r := &RESP{addr: addr}
	for range max(conns, 1) {
		c, err := dialResp(addr)
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.conns = append(r.conns, c)
	}
	return r, nil
}

func dialResp(addr string) (*respConn, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &respConn{nc: nc}
	c.more = sync.NewCond(&c.mu)
	c.done.Go(c.write)
	c.done.Go(c.read)
	return c, nil
}

// ended tells that a connection carries nothing more.
func (c *respConn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone != nil
}

// Hand writes an ENQUEUE, on a new connection where the node has ended the one whose turn it is: a node may close those that rest.
// It is called by one goroutine at a time.
func (r *RESP) Hand(m Message, done func(Answer)) {
	turn := r.next % len(r.conns)
	r.next++
	if r.conns[turn].ended() && !r.closed {
		if c, err := dialResp(r.addr); err == nil {
			r.conns[turn] = c
		}
	}
	c := r.conns[turn]
	c.mu.Lock()
	if c.gone != nil {
		err := c.gone
		c.mu.Unlock()
		done(Answer{Err: err})
		return
	}
	c.queue = appendEnqueue(c.queue, m)
	c.open = append(c.open, done)
	c.mu.Unlock()
	c.more.Signal()
}

// appendEnqueue appends a message's request: the command, a key of zeros, its id, its fields and its body.
func appendEnqueue(b []byte, m Message) []byte {
	fields := "c=" + m.Class + ",d=" + strconv.FormatInt(m.Life.Milliseconds(), 10) + ",dest=" + strconv.Itoa(m.Dest)
	if m.Tenant != "" {
		fields += ",t=" + m.Tenant
	}
	if m.Key != "" {
		fields += ",k=" + m.Key
	}
	if m.Again {
		fields += ",r=1"
	}
	b = append(b, "*5\r\n"...)
	for _, word := range [][]byte{[]byte("ENQUEUE"), []byte("0000000000000000"), []byte(m.ID), []byte(fields), m.Body} {
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(word)), 10)
		b = append(b, "\r\n"...)
		b = append(b, word...)
		b = append(b, "\r\n"...)
	}
	return b
}

func (c *respConn) write() {
	for {
		c.mu.Lock()
		for len(c.queue) == 0 && c.gone == nil {
			c.more.Wait()
		}
		some := c.queue
		c.queue = nil
		gone := c.gone
		c.mu.Unlock()
		if gone != nil {
			return
		}
		if _, err := c.nc.Write(some); err != nil {
			c.end(err)
			return
		}
	}
}

func (c *respConn) read() {
	lines := bufio.NewReaderSize(c.nc, 32<<10)
	for {
		a, err := readAnswer(lines)
		if err != nil {
			c.end(err)
			return
		}
		c.mu.Lock()
		if len(c.open) == 0 {
			c.mu.Unlock()
			c.end(errors.New("an answer that nobody waits for"))
			return
		}
		done := c.open[0]
		c.open = c.open[1:]
		c.mu.Unlock()
		done(a)
	}
}

// mostLine bounds an answer's line.
const mostLine = 4096

// readAnswer reads +OK, a bulk string, -BUSY with or without a time, or any other error.
func readAnswer(r *bufio.Reader) (Answer, error) {
	text, err := readLine(r)
	if err != nil {
		return Answer{}, err
	}
	switch text[0] {
	case '+':
		return Answer{Taken: true}, nil
	case '$':
		n, err := strconv.Atoi(text[1:])
		if err != nil || n < 0 || n > 64<<10 {
			return Answer{}, fmt.Errorf("a bulk string of %q bytes", text[1:])
		}
		if _, err := io.CopyN(io.Discard, r, int64(n)+2); err != nil {
			return Answer{}, err
		}
		return Answer{Taken: true}, nil
	case '-':
		word, rest, _ := strings.Cut(text[1:], " ")
		if word != "BUSY" {
			return Answer{Err: errors.New(text[1:])}, nil
		}
		if rest == "" {
			return Answer{}, nil
		}
		ms, err := strconv.Atoi(rest)
		if err != nil || ms < 0 {
			return Answer{}, fmt.Errorf("a wait of %q milliseconds", rest)
		}
		return Answer{After: time.Duration(ms) * time.Millisecond}, nil
	}
	return Answer{}, fmt.Errorf("%q is no answer", text)
}

// readLine reads a line of at least one byte, without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > mostLine {
			return "", fmt.Errorf("a line of over %d bytes", mostLine)
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
	text := strings.TrimRight(string(line), "\r\n")
	if text == "" {
		return "", errors.New("an empty line")
	}
	return text, nil
}

// end ends the connection once, and what waits on it.
func (c *respConn) end(err error) {
	c.mu.Lock()
	if c.gone != nil {
		c.mu.Unlock()
		return
	}
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		err = errClosed
	}
	c.gone = err
	open := c.open
	c.open = nil
	c.mu.Unlock()
	c.more.Signal()
	c.nc.Close()
	for _, done := range open {
		done(Answer{Err: err})
	}
}

// Close ends the connections; what has no answer is done with an error.
func (r *RESP) Close() error {
	r.closed = true
	for _, c := range r.conns {
		c.end(errClosed)
		c.done.Wait()
	}
	return nil
}
