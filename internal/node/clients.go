package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The reader below is our own: redcon v1.6.4 indexes out of its buffer on a bulk length near the largest
// integer, loops over whatever array count it is told, and buffers requests without bound.

const (
	maxBody    = 64 << 10
	maxWord    = 1 << 10 // of a request's words, all but the body
	maxArgs    = 8
	maxLine    = 512     // a length line, or an inline command
	maxSkipped = 1 << 20 // of a body that is too large, so that the connection stays of use
	maxLife    = 24 * time.Hour

	requestTimeout = 5 * time.Second        // from a request's first byte to its last, and to write an answer
	closeGrace     = 500 * time.Millisecond // for requests that are half read when the node leaves
	lingerTimeout  = 300 * time.Millisecond // in which a client may read why it is being hung up on
)

// request is one message as a client hands it in.
type request struct {
	id, key     string
	class, dest int
	life        time.Duration
	body        []byte
	came        time.Time
}

// answer is what the client is told: taken on, refused, or failed with a reason.
type answer struct {
	refused bool
	after   time.Duration
	failed  string
}

func (a answer) line() string {
	switch {
	case a.failed != "":
		return "-ERR " + a.failed + "\r\n"
	case a.refused && a.after >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.after.Milliseconds(), 10) + "\r\n"
	case a.refused:
		return "-BUSY\r\n"
	}
	return "+OK\r\n"
}

// errProtocol ends a connection: where its next request begins can't be told.
var errProtocol = errors.New("Protocol error")

// errTooLarge is a request that was read to its end and can't be taken.
var errTooLarge = errors.New("a body holds 65536 bytes at most")

// readCommand reads an array of bulk strings or an inline command, within bounds.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	line, err := readLine(r)
	if err != nil || len(line) == 0 {
		return nil, err
	}
	if line[0] != '*' {
		var words [][]byte
		for _, w := range strings.Fields(string(line)) {
			words = append(words, []byte(w))
		}
		return words, nil
	}
	count, err := strconv.Atoi(string(line[1:]))
	if err != nil || count < 0 || count > maxArgs {
		return nil, fmt.Errorf("%w: invalid multibulk length", errProtocol)
	}
	args := make([][]byte, 0, count)
	tooLarge := false
	for range count {
		line, err := readLine(r)
		if err != nil {
			return nil, unexpected(err)
		}
		if len(line) == 0 || line[0] != '$' {
			return nil, fmt.Errorf("%w: expected '$'", errProtocol)
		}
		size, err := strconv.Atoi(string(line[1:]))
		if err != nil || size < 0 || size > maxSkipped {
			return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
		}
		if size > maxBody {
			tooLarge = true
			if _, err := r.Discard(size); err != nil {
				return nil, unexpected(err)
			}
			size = 0
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(r, arg); err != nil {
			return nil, unexpected(err)
		}
		if string(arg[size:]) != "\r\n" {
			return nil, fmt.Errorf("%w: a bulk string of another length than told", errProtocol)
		}
		args = append(args, arg[:size:size])
	}
	if tooLarge {
		return nil, errTooLarge
	}
	return args, nil
}

// unexpected keeps an end inside a request apart from one between requests.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLine) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpected(err)
		}
		return nil, err
	}
	return []byte(strings.TrimRight(string(line), "\r\n")), nil
}

// parseEnqueue reads the words of an ENQUEUE.
func parseEnqueue(args [][]byte, classes []string, came time.Time) (request, error) {
	q := request{came: came, class: -1, dest: -1, life: -1}
	if len(args) != 5 {
		return q, errors.New("wrong number of arguments for 'enqueue' command")
	}
	q.id, q.body = string(args[2]), args[4]
	if !isToken(q.id) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxWord {
		return q, errors.New("the fields are too long")
	}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			if q.class = slices.Index(classes, value); q.class < 0 {
				return q, errors.New("unknown class")
			}
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= float64(maxLife.Milliseconds())) {
				return q, errors.New("d is no time in milliseconds")
			}
			q.life = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return q, errors.New("dest is no number")
			}
			q.dest = n
		case "k":
			if q.key = value; !isToken(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.class < 0 || q.life < 0 || q.dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isToken tells that a word can go into a header as it is.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

// clients serves the node's clients.
type clients struct {
	ln      net.Listener
	room    chan struct{} // a place for each connection
	stop    chan struct{}
	served  chan struct{} // closed when nothing more is accepted
	classes []string
	hand    func(request) answer

	mu     sync.Mutex
	idle   map[net.Conn]bool // open connections; true between requests
	closed bool
	wg     sync.WaitGroup
}

func newClients(ln net.Listener, most int, classes []string, hand func(request) answer) *clients {
	return &clients{
		ln: ln, room: make(chan struct{}, max(most, 1)), stop: make(chan struct{}), served: make(chan struct{}),
		classes: classes, hand: hand, idle: map[net.Conn]bool{},
	}
}

// serve accepts connections until the listener is closed. With all places taken the next waits in the backlog.
func (c *clients) serve(ctx context.Context) {
	defer close(c.served)
	for {
		select {
		case c.room <- struct{}{}:
		case <-c.stop:
			return
		}
		nc, err := c.ln.Accept()
		if err != nil {
			<-c.room
			if errors.Is(err, net.ErrClosed) || !sleep(ctx, firstBackoff) { // out of descriptors, most likely
				return
			}
			continue
		}
		c.wg.Go(func() {
			defer func() { <-c.room }()
			c.serveConn(nc)
		})
	}
}

// mark notes whether a connection stands between requests, and tells whether it may go on.
func (c *clients) mark(nc net.Conn, idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && idle {
		return false
	}
	c.idle[nc] = idle
	return true
}

func (c *clients) serveConn(nc net.Conn) {
	defer func() {
		c.mu.Lock()
		delete(c.idle, nc)
		c.mu.Unlock()
		nc.Close()
	}()
	r := bufio.NewReaderSize(nc, 4096)
	for {
		// In this order: close calls idle connections back by their deadline.
		if nc.SetDeadline(time.Time{}) != nil || (r.Buffered() == 0 && !c.mark(nc, true)) {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		came := time.Now()
		c.mark(nc, false)
		if nc.SetDeadline(came.Add(requestTimeout)) != nil {
			return
		}
		args, err := readCommand(r)
		var line string
		switch {
		case err == nil && len(args) == 0:
			continue
		case err == nil:
			line = c.command(args, came)
		case errors.Is(err, errTooLarge):
			line = answer{failed: err.Error()}.line()
		case errors.Is(err, errProtocol):
			if _, err := io.WriteString(nc, answer{failed: err.Error()}.line()); err == nil {
				linger(nc)
			}
			return
		default:
			return // the client went away inside a request
		}
		if nc.SetWriteDeadline(time.Now().Add(requestTimeout)) != nil {
			return
		}
		if _, err := io.WriteString(nc, line); err != nil {
			return
		}
	}
}

// command answers one command.
func (c *clients) command(args [][]byte, came time.Time) string {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		return "+PONG\r\n"
	case "ENQUEUE":
		q, err := parseEnqueue(args, c.classes, came)
		if err != nil {
			return answer{failed: err.Error()}.line()
		}
		return c.hand(q).line()
	}
	return answer{failed: "unknown command"}.line()
}

// linger lets the client read the last answer: closing over unread bytes would reset the connection and take
// the answer with it.
func linger(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok && t.CloseWrite() == nil && nc.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.Copy(io.Discard, io.LimitReader(nc, maxSkipped)) // whatever comes, the connection ends next
	}
}

// close stops accepting, hangs up on clients between requests, and lets the others have their answer first. A
// client that is slow with the rest of its request must not hold the node until it is killed.
func (c *clients) close() {
	close(c.stop)
	c.ln.Close()
	<-c.served
	c.mu.Lock()
	c.closed = true
	for nc, idle := range c.idle {
		if idle {
			// Not closed from here: a request that has just been read must have its answer.
			nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
	c.mu.Unlock()
	slow := time.AfterFunc(closeGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for nc := range c.idle {
			nc.Close()
		}
	})
	defer slow.Stop()
	c.wg.Wait()
}
