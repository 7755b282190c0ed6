package soak

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// StreamFault is what happens to the bytes of a server's responses on their way.
type StreamFault uint8

// The faults of a stream.
const (
	CopyAtRest     StreamFault = iota // a response comes again a while after it came, whatever is under way then
	CopyAfterNext                     // a response comes again just after the next request has come
	CopyOlder                         // the response before the last one comes again just after the next request
	SeveralCopies                     // a response comes again twice, just after the next request
	PartBeforeNext                    // the first part of a response comes again ahead of the next response
	Informational                     // a response with a 1xx status comes ahead of the next response
	Pieces                            // a response comes byte by byte
	Endless                           // a response comes again and again, while the connection stands and for 3 s at most
	streamFaults
	CopyBeforeHang // a response comes again right behind itself, and its server answers nothing for a while from then on
)

var streamFaultNames = [streamFaults]string{"copy at rest", "copy after the next request", "copy of an older response", "several copies",
	"part before the next response", "1xx ahead", "in pieces", "endless"}

// String names the fault.
func (f StreamFault) String() string {
	switch {
	case f < streamFaults:
		return streamFaultNames[f]
	case f == CopyBeforeHang:
		return "copy before a hang"
	}
	return "unknown"
}

const (
	longestRest      = 150 * time.Millisecond // until a copy comes at rest
	longestAfterNext = 6 * time.Millisecond   // until a copy comes after the next request
	pieceEvery       = 200 * time.Microsecond
	longestEndless   = 3 * time.Second
	longestBehind    = 20 * time.Millisecond // until a copy comes before a hang
	leastHang        = 1500 * time.Millisecond
	mostHang         = 7 * time.Second
)

// Streams tells how often responses of a server are tampered with on their way, and by which faults.
type Streams struct {
	Share    float64 // of the responses
	Faults   []StreamFault
	Requests float64 // the share of clients' requests that come again, on a connection of their own
}

// stream is a server's side of a connection on which responses come again, in part or in pieces. One goroutine writes responses;
// copies are written beside it.
type stream struct {
	net.Conn
	server *server

	mu   sync.Mutex
	sent [][]byte // the last two responses, the last one at the end
	rng  *rand.Rand
}

func newStream(nc net.Conn, s *server) *stream {
	return &stream{Conn: nc, server: s, rng: rand.New(rand.NewPCG(s.play.day.Seed, uint64(s.number)<<32|uint64(s.conns.Add(1))))}
}

// draw tells whether a fault happens now, of those that are given.
func (s *stream) draw(among ...StreamFault) (StreamFault, bool) {
	streams := s.server.play.day.Streams
	if len(streams.Faults) == 0 || s.rng.Float64() >= streams.Share {
		return 0, false
	}
	f := streams.Faults[s.rng.IntN(len(streams.Faults))]
	for _, a := range among {
		if a == f {
			s.server.play.history.count(func(c *Counts) { c.Tampered++ })
			return f, true
		}
	}
	return 0, false
}

// requested notes that the next request has come.
func (s *stream) requested() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) == 0 {
		return
	}
	f, ok := s.draw(CopyAfterNext, CopyOlder, SeveralCopies)
	if !ok {
		return
	}
	copies := [][]byte{s.sent[len(s.sent)-1]}
	switch f {
	case CopyOlder:
		copies[0] = s.sent[0]
	case SeveralCopies:
		copies = append(copies, copies[0])
	}
	s.after(time.Duration(s.rng.Int64N(int64(longestAfterNext))), bytes.Join(copies, nil))
}

// after writes a copy after a while.
func (s *stream) after(wait time.Duration, b []byte) {
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Conn.Write(b) // an error says that the connection has ended
	})
}

// Write sends a response, and what is drawn to come with it.
func (s *stream) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.draw(CopyAtRest, PartBeforeNext, Informational, Pieces, Endless, CopyBeforeHang)
	var ahead []byte
	switch {
	case !ok:
	case f == CopyAtRest:
		s.after(time.Duration(s.rng.Int64N(int64(longestRest))), bytes.Clone(b))
	case f == PartBeforeNext && len(s.sent) > 0:
		last := s.sent[len(s.sent)-1]
		ahead = last[:1+s.rng.IntN(len(last)-1)]
	case f == Informational:
		ahead = []byte("HTTP/1.1 103 Early Hints\r\n\r\n")
	case f == Pieces:
		if err := s.inPieces(b); err != nil {
			return 0, err
		}
		s.keep(b)
		return len(b), nil
	}
	if _, err := s.Conn.Write(append(ahead, b...)); err != nil {
		return 0, err
	}
	switch {
	case ok && f == Endless:
		s.endless(b)
	case ok && f == CopyBeforeHang:
		s.after(time.Duration(s.rng.Int64N(int64(longestBehind))), bytes.Clone(b))
		s.server.hangFor(leastHang + time.Duration(s.rng.Int64N(int64(mostHang-leastHang))))
	}
	s.keep(b)
	return len(b), nil
}

// endless writes a response again until the connection ends, or for as long as it does so at most.
func (s *stream) endless(b []byte) {
	many := bytes.Repeat(b, 16)
	for end := time.Now().Add(longestEndless); time.Now().Before(end); {
		if _, err := s.Conn.Write(many); err != nil {
			return
		}
	}
}

func (s *stream) inPieces(b []byte) error {
	for i := range b {
		if _, err := s.Conn.Write(b[i : i+1]); err != nil {
			return err
		}
		time.Sleep(pieceEvery) // the rate at which bytes come
	}
	return nil
}

func (s *stream) keep(b []byte) {
	if s.sent = append(s.sent, bytes.Clone(b)); len(s.sent) > 2 {
		s.sent = s.sent[1:]
	}
}
