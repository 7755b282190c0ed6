package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingusher/lab/model"
)

// server is a destination's process: a listener, a limit, slow start after an outage, and a budget of calls in it.
type server struct {
	play   *play
	number int
	Server
	addrs []string // of its endpoints, the first one's first

	mu      sync.Mutex
	rng     *rand.Rand
	lns     []net.Listener // none while it refuses connections
	queue   int            // the socket of a server that has vanished; -1 for none
	fillers []net.Conn
	open    map[net.Conn]bool // true for one that is forgotten
	ill     Kind              // while out
	out     bool
	losing  bool          // its answers
	hangs   time.Duration // until when it answers nothing, with nobody told; it is not cold afterwards
	fell    bool
	back    time.Duration // when it came back from its last outage; 0 if it had none
	told    map[int]bool  // nodes that were told of the outage
	recent  []arrival     // within fallSpan, while cold
	tokens  float64
	at      time.Duration
	worst   load // the heaviest span of its slow start that counts
	work    sync.WaitGroup
	conns   atomic.Int64 // that were accepted
}

// arrival is a call that came.
type arrival struct {
	at   time.Duration
	id   string
	told bool
}

// load is what came within fallSpan, against the budget then.
type load struct {
	At           time.Duration
	Calls, Told  int
	Budget       float64
	Endpoint     int
	SinceItsBack time.Duration
}

func (l load) ratio() float64 {
	if l.Budget == 0 {
		return 0
	}
	return float64(l.Calls) / l.Budget
}

func newServer(p *play, number int) (*server, error) {
	s := &server{play: p, number: number, Server: p.day.Servers[number], rng: rand.New(rand.NewPCG(p.day.Seed, uint64(1000+number))),
		open: map[net.Conn]bool{}, told: map[int]bool{}, queue: -1}
	s.tokens = s.burst()
	if _, err := s.addAddr(); err != nil {
		return nil, err
	}
	return s, nil
}

// addAddr has the server listen at one more address.
func (s *server) addAddr() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, err := s.listen(loopback()) // another server would take the port while this one refuses connections
	if err == nil {
		s.addrs = append(s.addrs, addr)
	}
	return addr, err
}

func (s *server) burst() float64 { return max(1, 0.5*s.Limit) }

// listen accepts connections at an address. The lock is held.
func (s *server) listen(addr string) (string, error) {
	var ln net.Listener
	if err := bindAgain(func() (err error) {
		ln, err = net.Listen("tcp", addr)
		return err
	}); err != nil {
		return "", fmt.Errorf("server %d: %w", s.number, err)
	}
	s.lns = append(s.lns, ln)
	s.work.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[nc] = false
			s.mu.Unlock()
			s.work.Go(func() { s.converse(nc) })
		}
	})
	return ln.Addr().String(), nil
}

// bindAgain binds an address that was just given back. A process that is being started holds it a little longer: its copies of
// this process's sockets are closed by exec alone, after the fork has returned here.
func bindAgain(bind func() error) error {
	const patience, pause = 5 * time.Second, time.Millisecond
	for end := time.Now().Add(patience); ; time.Sleep(pause) {
		if err := bind(); !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return err
		}
	}
}

// unlisten closes the listeners. The lock is held.
func (s *server) unlisten() {
	for _, ln := range s.lns {
		ln.Close()
	}
	s.lns = nil
}

func (s *server) resetAll() {
	for nc := range s.open {
		resetConn(nc)
	}
}

func resetConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0) // an error leaves a plain close
	}
	nc.Close()
}

// fail begins an outage.
func (s *server) fail(kind Kind) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out, s.ill, s.told, s.back, s.recent = true, kind, map[int]bool{}, 0, nil
	switch kind {
	case Refuse:
		s.unlisten()
		s.resetAll()
	case Vanish:
		s.unlisten()
		return s.vanish()
	}
	return nil
}

// vanish has the system drop what would connect: a listener whose queue is full and that accepts nothing.
func (s *server) vanish() error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	s.queue = fd
	host, port, err := net.SplitHostPort(s.addrs[0])
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	to := &syscall.SockaddrInet4{Port: number}
	copy(to.Addr[:], net.ParseIP(host).To4())
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := bindAgain(func() error { return syscall.Bind(fd, to) }); err != nil {
		return err
	}
	if err := bindAgain(func() error { return syscall.Listen(fd, 0) }); err != nil {
		return err
	}
	for range 2 {
		nc, err := net.DialTimeout("tcp", s.addrs[0], 50*time.Millisecond)
		if err != nil {
			break // it is full
		}
		s.fillers = append(s.fillers, nc)
	}
	return nil
}

// recover ends an outage: the server is cold from now on.
func (s *server) recover() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fell || !s.out {
		return nil
	}
	if s.ill == Hang || s.ill == Vanish {
		s.resetAll()
	}
	s.out, s.back, s.recent = false, s.play.now(), nil
	s.tokens, s.at = s.burst(), s.back
	return s.appear()
}

// appear undoes vanish, and has the server listen if it does not. The lock is held.
func (s *server) appear() error {
	for _, nc := range s.fillers {
		nc.Close()
	}
	if s.queue >= 0 {
		syscall.Close(s.queue)
		s.queue, s.fillers = -1, nil
	}
	if len(s.lns) > 0 {
		return nil
	}
	for _, addr := range s.addrs {
		if _, err := s.listen(addr); err != nil {
			return err
		}
	}
	return nil
}

// late has connections come up only after a while. Those that stand go on.
func (s *server) late(wait func()) error {
	s.mu.Lock()
	s.unlisten()
	err := s.vanish()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appear()
}

// lose has the server lose its answers, or no more.
func (s *server) lose(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = losing
}

// drop resets all connections.
func (s *server) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetAll()
}

// forget has the server know nothing of the connections that stand.
func (s *server) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.open {
		s.open[nc] = true
	}
}

func (s *server) hasForgotten(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[nc]
}

// toldNode notes that a node met a failure or a refusal.
func (s *server) toldNode(node int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out && node >= 0 {
		s.told[node] = true
	}
}

func (s *server) close() {
	s.mu.Lock()
	s.unlisten()
	s.resetAll()
	if s.queue >= 0 {
		syscall.Close(s.queue)
	}
	for _, nc := range s.fillers {
		nc.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

// converse answers the calls of one connection.
func (s *server) converse(nc net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.open, nc)
		s.mu.Unlock()
		nc.Close()
	}()
	in := bufio.NewReader(nc)
	out := newStream(nc, s)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		out.requested()
		if s.hasForgotten(nc) {
			io.Copy(io.Discard, nc) // until the caller gives up
			return
		}
		if !s.answer(out, req) {
			return
		}
	}
}

// answer answers a call, and tells whether its connection goes on.
func (s *server) answer(nc *stream, req *http.Request) bool {
	id := req.Header.Get("X-Trace-Id")
	node := nodeOf(id)
	now := s.play.now()
	s.play.history.called(now, id, node, s.number, s.play.endpointAt(req.Host))
	s.mu.Lock()
	if s.out {
		kind := s.ill
		s.mu.Unlock()
		return s.answerOut(nc, kind, node)
	}
	if now < s.hangs {
		s.mu.Unlock()
		io.Copy(io.Discard, nc) // until the caller gives up
		return false
	}
	s.arrived(now, id, node)
	if s.fell {
		s.mu.Unlock()
		resetConn(nc.Conn)
		return false
	}
	if s.play.day.withdrawn(id) {
		s.mu.Unlock()
		_, err := io.WriteString(nc, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
		if err == nil {
			s.play.history.isOver(s.play.now(), id, node)
		}
		return err == nil
	}
	warm := 1.0
	if s.back > 0 {
		warm = s.play.day.warmth(now - s.back)
	}
	s.tokens = min(s.tokens+s.Limit*(now-s.at).Seconds(), s.burst())
	s.at = now
	if s.tokens < 1 && s.play.day.Plain {
		s.mu.Unlock()
		time.Sleep(s.Service) // a server that is at work
		_, err := io.WriteString(nc, "HTTP/1.1 503 Limit\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if s.tokens < 1 {
		wait := time.Duration((1-s.tokens)/s.Limit*float64(time.Second)) + time.Duration(s.rng.Int64N(int64(longestWait)))
		wait = wait.Round(time.Millisecond) // as it is written
		s.mu.Unlock()
		s.play.history.waits(now, node, s.number, id, wait)
		_, err := fmt.Fprintf(nc, "HTTP/1.1 429 Limit\r\n%sRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", s.report(), wait.Seconds())
		if err != nil { // the connection broke before
			s.play.history.unheard(node, s.number, id)
		}
		return err == nil
	}
	s.tokens--
	took := time.Duration(float64(s.Service) * s.rng.ExpFloat64() / warm)
	failed := s.rng.Float64() < 0.008
	s.mu.Unlock()

	s.play.history.runs(id, s.number, now)
	time.Sleep(took) // a server that is at work
	s.mu.Lock()
	out, hangs := s.out || s.fell || s.losing, s.play.now() < s.hangs
	s.mu.Unlock()
	if hangs {
		io.Copy(io.Discard, nc) // it has run, and its caller is never told
		return false
	}
	if out {
		resetConn(nc.Conn)
		return false
	}
	if failed {
		_, err := io.WriteString(nc, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.play.history.delivered(id)
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", s.report())
	return err == nil
}

// hangFor has the server answer nothing for a while.
func (s *server) hangFor(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs = max(s.hangs, s.play.now()+span)
}

// answerOut answers a call while the server is out.
func (s *server) answerOut(nc *stream, kind Kind, node int) bool {
	switch kind {
	case Fail:
		s.toldNode(node)
		_, err := io.WriteString(nc, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case Shut:
		s.toldNode(node)
		_, err := io.WriteString(nc, "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case Hang, Vanish:
		io.Copy(io.Discard, nc) // until the caller gives up, or the server comes back
		s.toldNode(node)
		return false
	}
	resetConn(nc.Conn)
	return false
}

// report is the header in which answers tell the limit; none on days on which they hold no report.
func (s *server) report() string {
	if s.play.day.Plain {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := min(max(s.tokens/s.burst(), 0), 1)
	return fmt.Sprintf("Endpoint-Load-Metrics: x0=%.3f,x1=%.3f\r\n", left, s.Limit*(1+0.1*max(-2, min(2, s.rng.NormFloat64()))))
}

// arrived counts a call to a cold server, and has it fall when its budget is spent. The lock is held.
func (s *server) arrived(now time.Duration, id string, node int) {
	if s.back == 0 || s.fell {
		return
	}
	warm := s.play.day.warmth(now - s.back)
	if warm >= 1 {
		return
	}
	s.recent = append(s.recent, arrival{now, id, s.told[node]})
	for now-s.recent[0].at >= fallSpan {
		s.recent = s.recent[1:]
	}
	l := load{At: now, Calls: len(s.recent), Endpoint: s.number, SinceItsBack: now - s.back}
	for _, a := range s.recent {
		if a.told {
			l.Told++
		}
	}
	l.Budget = model.SlowStartBudget(fallMultiple * s.Limit * warm * fallSpan.Seconds())
	counts := float64(l.Told) > 2.0/3*float64(l.Calls)
	if counts && l.ratio() > s.worst.ratio() {
		s.worst = l
	}
	if float64(l.Calls) > l.Budget {
		s.fell = true
		if counts {
			s.play.history.breach(SlowStart, "server %d was sent %d calls within %v, %d of them by nodes that were told of its outage, %.1f are allowed, %.3f s after its return at %.3f s: %s",
				s.number, l.Calls, fallSpan, l.Told, l.Budget, l.SinceItsBack.Seconds(), s.back.Seconds(), s.trace())
		}
	}
}

// trace lists the calls of the last fallSpan: when they came after the return, and those of nodes that were told with a star.
func (s *server) trace() string {
	var b strings.Builder
	for _, a := range s.recent {
		star := ""
		if a.told {
			star = "*"
		}
		fmt.Fprintf(&b, "%s%s@%.3f ", a.id, star, (a.at - s.back).Seconds())
	}
	return b.String()
}

// nodeOf is the node that a message was handed to, by its id; -1 for none.
func nodeOf(id string) int {
	name, _, ok := strings.Cut(id, "-")
	if !ok || len(name) < 2 {
		return -1
	}
	n, err := strconv.Atoi(name[1:])
	if err != nil {
		return -1
	}
	return n
}
