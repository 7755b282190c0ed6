package node

import (
	"bufio"
	queue "container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

const (
	maxBody    = delivery.MaxBody
	maxWord    = 1 << 10 // of a request's words, all but the body
	maxArgs    = 8
	bodyArg    = 4 // the body's place among the words of an ENQUEUE
	maxLine    = 512
	maxSkipped = 1 << 20 // of words that are too large, so that the connection stays of use
	maxEmpty   = 16      // empty commands ahead of a real one
	maxLife    = 24 * time.Hour
	maxUnsent  = 4 << 10 // answers to commands that came together go out together
	maxOwed    = 64      // messages of one client that are handed in before the first is answered

	// A client that says nothing, or does not come to the end of a request, is owed an error or a close within
	// 3 s of connecting; these two together keep that. Others give up on an answer after 0.4 s.
	idleTimeout    = 2 * time.Second
	requestTimeout = 800 * time.Millisecond // from a request's first byte to its last, and to write an answer
	closeGrace     = 250 * time.Millisecond // for requests that are half read when the node leaves
	lingerTimeout  = 300 * time.Millisecond // in which a client may read why it is being hung up on
	lookTime       = time.Millisecond
	maxLooks       = 64                    // reads past the deadline, each of what had come by then
	evictPause     = 20 * time.Millisecond // for a place that was asked back
)

// answerLine is what the client is told of an answer.
func answerLine(a delivery.Answer) string {
	switch {
	case a.Failed != "":
		return "-ERR " + a.Failed + "\r\n"
	case a.Refused && a.After >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.After.Milliseconds(), 10) + "\r\n"
	case a.Refused:
		return "-BUSY\r\n"
	}
	return "+OK\r\n"
}

// session is one client's connection. Only its own goroutine reads and writes; the clients' lock guards place.
type session struct {
	net.Conn
	owed   []promise // answers, in order: all that come after one that is awaited
	unsent []byte
	readAt time.Time // when the last bytes came
	looks  int
	used   bool           // it has had an answer
	asked  string         // why it was asked to end; the clients' lock guards it
	place  *queue.Element // among those with no request open
	room   bodyRoom       // of the request that is read
	pace   pace
	pause  time.Duration // before its next command
}

// promise is an answer to a command: a line, or one that is made of what the engine says.
type promise struct {
	line   string
	answer func() delivery.Answer
	units  int // of memory that its body holds until the answer is known
}

// Read flushes first: the client may be waiting for those answers. A deadline that passed while the process did
// not run, or that asks the place back, says nothing of bytes that have come meanwhile, so there is a last look:
// a connection must not end on a whole request.
func (s *session) Read(p []byte) (int, error) {
	if err := s.flush(); err != nil {
		return 0, err
	}
	n, err := s.Conn.Read(p)
	for ; n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && s.looks < maxLooks; s.looks++ {
		if lerr := s.SetReadDeadline(time.Now().Add(lookTime)); lerr != nil {
			return 0, lerr
		}
		if n, err = s.Conn.Read(p); n == 0 {
			break
		}
	}
	s.readAt = time.Now()
	return n, err
}

// settle waits for the answers that are owed, and takes their commands out of the client's budget.
func (s *session) settle() {
	if len(s.owed) == 0 {
		return
	}
	units := 0
	for i, p := range s.owed {
		cost := paceNothing
		if p.answer != nil {
			answer := p.answer()
			if answer == (delivery.Answer{}) {
				cost = paceTaken
			}
			p.line = answerLine(answer)
		}
		units += cost
		s.unsent = append(s.unsent, p.line...)
		s.room.give(p.units)
		s.owed[i] = promise{}
	}
	s.owed = s.owed[:0]
	s.pause = s.pace.spend(time.Now(), units)
}

// awaitBudget has a client that is over its budget wait, once it has its answers, unless the node stops.
func (s *session) awaitBudget(stop <-chan struct{}) error {
	if s.pause == 0 {
		return nil
	}
	if err := s.flush(); err != nil {
		return err
	}
	over := time.NewTimer(s.pause)
	defer over.Stop()
	s.pause = 0
	select {
	case <-over.C:
	case <-stop:
	}
	return nil
}

func (s *session) flush() error {
	s.settle()
	if len(s.unsent) == 0 {
		return nil
	}
	if err := s.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	_, err := s.Write(s.unsent)
	s.unsent = s.unsent[:0]
	return err
}

// say queues an answer.
func (s *session) say(p promise) error {
	s.owed = append(s.owed, p)
	s.used = true
	if len(s.owed) < maxOwed {
		return nil
	}
	if s.settle(); len(s.unsent) < maxUnsent {
		return nil
	}
	return s.flush()
}

// clients serves the node's clients.
type clients struct {
	ln     net.Listener
	room   chan struct{} // a place for each connection
	keep   int           // of connections that are idle after a request at most; see rest
	stop   chan struct{}
	served chan struct{} // closed when nothing more is accepted
	names  wire.Names
	offer  func(delivery.Message) func() delivery.Answer
	log    *slog.Logger
	bodies bodyMemory

	mu     sync.Mutex
	open   map[*session]bool
	idle   [2]queue.List // sessions with no request open, oldest first: those never answered, and the others
	closed bool          // connections end between requests,
	cut    bool          // and inside of those that are not whole
	wg     sync.WaitGroup
}

func newClients(ln net.Listener, most int, bodies bodyMemory, names wire.Names, log *slog.Logger, offer func(delivery.Message) func() delivery.Answer) *clients {
	return &clients{
		ln: ln, room: make(chan struct{}, max(most, 1)), keep: max(most/3, 1), stop: make(chan struct{}), served: make(chan struct{}),
		names: names, offer: offer, log: log, bodies: bodies, open: map[*session]bool{},
	}
}

// serve accepts connections until the listener is closed. With all places taken, the one that has been idle
// longest is asked back, and the next connection waits in the backlog until it is.
func (c *clients) serve(ctx context.Context) {
	defer close(c.served)
	for {
		for taken := false; !taken; {
			select {
			case c.room <- struct{}{}:
				taken = true
			default:
				c.evict()
				select {
				case c.room <- struct{}{}:
					taken = true
				case <-time.After(evictPause):
				case <-c.stop:
					return
				}
			}
		}
		nc, err := c.ln.Accept()
		if err != nil {
			<-c.room
			if !errors.Is(err, net.ErrClosed) {
				c.log.Warn("accept failed", "err", err)
			}
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

// evict asks the longest idle session to give its place back. Those that never asked for anything go first.
func (c *clients) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.idle {
		if c.idle[i].Len() > 0 {
			c.askBack(&c.idle[i], "all places are taken")
			return
		}
	}
}

// askBack ends the longest idle session of a list that holds one; the lock is held.
func (c *clients) askBack(idle *queue.List, why string) {
	s := idle.Front().Value.(*session)
	s.asked = why
	c.unplace(s)
	s.SetReadDeadline(time.Unix(1, 0)) // not closed from here: see Read
}

// rest puts a session among the idle ones, and tells whether it may go on. Clients may have only so many connections
// themselves: where most ask once and then keep theirs, all that they may open were idle ones here, and nobody could
// hand anything in. So those idle longest go once there are more than keep. It guards as well against pools that
// never shrink; clients that take turns on more connections than that pay with new ones.
func (c *clients) rest(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || s.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
		return false
	}
	i := 0
	if s.used {
		i = 1
	}
	s.place, s.looks = c.idle[i].PushBack(s), 0
	if c.idle[1].Len() > c.keep {
		c.askBack(&c.idle[1], "too many idle connections")
	}
	return true
}

// begin takes a session whose request has begun out of the idle ones.
func (c *clients) begin(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unplace(s)
	if c.cut { // what has come by now is answered, and nothing is waited for
		return true
	}
	s.looks, s.asked = 0, ""
	return s.SetReadDeadline(time.Now().Add(requestTimeout)) == nil
}

func (c *clients) unplace(s *session) {
	if s.place != nil {
		for i := range c.idle {
			c.idle[i].Remove(s.place) // of the list that it is not in, this does nothing
		}
		s.place = nil
	}
}

func (c *clients) serveConn(nc net.Conn) {
	s := &session{Conn: nc}
	s.room = bodyRoom{memory: c.bodies, before: s.settle}
	c.mu.Lock()
	c.open[s] = true
	c.mu.Unlock()
	requests := 0
	reason := ""
	defer func() {
		s.room.give(s.room.detach())
		s.settle() // what is owed gives its memory back, heard or not
		c.mu.Lock()
		c.unplace(s)
		delete(c.open, s)
		asked := s.asked
		c.mu.Unlock()
		nc.Close()
		c.log.Info("client connection closed", "client", nc.RemoteAddr().String(), "reason", reason, "asked", asked, "requests", requests)
	}()
	r := bufio.NewReaderSize(s, 4096)
	for {
		if err := s.awaitBudget(c.stop); err != nil {
			reason = "the answer can't be written: " + err.Error()
			return
		}
		if r.Buffered() == 0 && !c.rest(s) {
			reason = "the node leaves"
			s.flush()
			return
		}
		if _, err := r.Peek(1); err != nil {
			reason = "no request: " + err.Error()
			return
		}
		came := s.readAt
		if !c.begin(s) {
			reason = "the connection can't be read"
			s.flush()
			return
		}
		requests++
		args, err := readCommand(r, &s.room)
		var p promise
		switch {
		case err == nil:
			p = c.command(args, came)
		case errors.Is(err, errTooLarge):
			p = failed(err)
		case errors.Is(err, errCrowded):
			p = c.answerUnkept(args, came, s.room.unkept)
		case errors.Is(err, errProtocol), errors.Is(err, os.ErrDeadlineExceeded):
			if !errors.Is(err, errProtocol) {
				err = fmt.Errorf("%w: the request took too long", errProtocol)
			}
			reason = err.Error()
			if s.say(failed(err)) == nil && s.flush() == nil {
				c.linger(s)
			}
			return
		default:
			reason = "inside a request: " + err.Error()
			return
		}
		p.units = s.room.detach()
		if err := s.say(p); err != nil {
			reason = "the answer can't be written: " + err.Error()
			return
		}
	}
}

func failed(err error) promise {
	return promise{line: answerLine(delivery.Answer{Failed: err.Error()})}
}

var errUnknownCommand = errors.New("unknown command")

// command begins one command. Its answer is asked for when the client has sent no more, or waits for it.
func (c *clients) command(args [][]byte, came time.Time) promise {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		return promise{line: "+PONG\r\n"}
	case "ENQUEUE":
		q, err := parseEnqueue(args, c.names, came)
		if err != nil {
			return failed(err)
		}
		return promise{answer: c.offer(q)}
	}
	return failed(errUnknownCommand)
}

// answerUnkept answers a request whose body was not kept. Only the engine knows whether its message is taken on already, and whether coming again
// would do harm.
func (c *clients) answerUnkept(args [][]byte, came time.Time, body *delivery.Unkept) promise {
	if !strings.EqualFold(string(args[0]), "ENQUEUE") {
		return failed(errUnknownCommand)
	}
	m, err := parseEnqueue(args, c.names, came)
	if err != nil {
		return failed(err)
	}
	m.Unkept = body
	return promise{answer: c.offer(m)}
}

// linger lets the client read the last answer: closing over unread bytes would reset the connection and take
// the answer with it. Meanwhile its place may be asked back.
func (c *clients) linger(s *session) {
	t, ok := s.Conn.(*net.TCPConn)
	s.used = false // the first to go
	if !ok || t.CloseWrite() != nil || !c.rest(s) || s.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	io.Copy(io.Discard, io.LimitReader(t, maxSkipped)) // whatever comes, the connection ends next
}

// cutShort ends requests that are not whole, with an error. Those that are whole keep their connection until they are answered.
func (c *clients) cutShort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	for s := range c.open {
		s.asked = "the node leaves, and its request is not whole"
		s.SetReadDeadline(time.Unix(1, 0))                // see Read
		s.SetWriteDeadline(time.Now().Add(lingerTimeout)) // a client that reads no answer
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
	for i := range c.idle {
		for e := c.idle[i].Front(); e != nil; e = e.Next() {
			s := e.Value.(*session)
			s.asked = "the node leaves"
			s.SetReadDeadline(time.Unix(1, 0)) // see Read
		}
	}
	c.mu.Unlock()
	defer time.AfterFunc(closeGrace, c.cutShort).Stop()
	c.wg.Wait()
}
