// Package link carries packets between nodes: one gRPC stream for each way of a pair, opened when there is something to say
// and closed after a silence. It is the only package under peers with sockets. Links are neither encrypted nor signed.
//
// A packet is sent once or not at all, and nothing waits for it: what can't be sent within Stale is dropped, oldest first. A
// packet that was under way for longer than Stale beyond the fastest of its stream is dropped at its receiver, since what it
// tells of is dated by its age.
package link

//go:generate protoc -I peerspb --go_out=peerspb --go_opt=paths=source_relative --go-grpc_out=peerspb --go-grpc_opt=paths=source_relative peerspb/peers.proto

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"starlingusher/peers/core"
	"starlingusher/peers/lease"
	"starlingusher/peers/link/peerspb"
)

const (
	// Stale is the age at which a packet is not worth sending, or believing, any more.
	Stale      = time.Second
	queueMost  = 64 // packets that wait for a way
	idleAfter  = 10 * time.Second
	dialAgain  = 250 * time.Millisecond // pause after a way that could not be had, doubled
	dialLast   = 4 * time.Second        // up to this
	dialWithin = 2 * time.Second
	fastest    = 30 * time.Second // for so long the fastest packet of a stream is the measure
	inbox      = 1024
	mostWays   = 1024
	maxLook    = 16 << 20 // bytes of an answer to an operator
)

// Options of a link.
type Options struct {
	Listen string // where others reach this node; empty for nowhere
	Name   string
	Life   uint64
	Log    *slog.Logger
	// Look answers an operator, in JSON.
	Look func(context.Context) ([]byte, error)
	// Leases does what an operator's processes ask of leases; nil for nobody.
	Leases Leases
	// Holder keeps copies for others; nil for none.
	Holder Holder
}

// Leases is a node's side of what operators ask.
type Leases interface {
	// Command asks the voters.
	Command(context.Context, lease.Command) (lease.Result, error)
	// Hold holds a lease for a session until ctx ends or tell fails, which is told of every change.
	Hold(ctx context.Context, name string, session uint64, tell func(Held) error) error
	// Held is what the session has of a lease now.
	Held(name string, session uint64) Held
}

// Held is what a node has of a lease.
type Held struct {
	Token  uint64        // 0 if it does not have it
	Left   time.Duration // of it
	Holder string        // as far as is known
}

// Link is a node's side of all its ways.
type Link struct {
	o     Options
	begun time.Time
	ln    net.Listener
	in    chan core.Packet

	mu   sync.Mutex
	ways map[string]*way // by address
	down bool
	life context.Context
	end  context.CancelFunc
	work sync.WaitGroup
	bad  map[string]time.Time // when an unreadable packet of an address was last logged
	seen Counts
}

// Counts are what went over all ways so far.
type Counts struct {
	Sent, Received, Dropped, Late, Bad uint64
	BytesOut, BytesIn                  uint64
}

// way is one way to an address.
type way struct {
	addr  string
	queue chan queued
	since time.Time
	up    bool
	err   string // why it is not
	sent  uint64
}

type queued struct {
	p  core.Packet
	at time.Time
}

// Way is the state of one way, for operators.
type Way struct {
	Addr  string    `json:"addr"`
	Up    bool      `json:"up"`
	Since time.Time `json:"since"`
	Sent  uint64    `json:"sent"`
	Err   string    `json:"error,omitempty"`
}

// Open listens. Close has to be called in the end.
func Open(o Options) (*Link, error) {
	l := &Link{o: o, begun: time.Now(), in: make(chan core.Packet, inbox), ways: map[string]*way{}, bad: map[string]time.Time{}}
	l.life, l.end = context.WithCancel(context.Background())
	if o.Listen == "" {
		return l, nil
	}
	var err error
	if l.ln, err = net.Listen("tcp", o.Listen); err != nil {
		l.end()
		return nil, fmt.Errorf("peers: %w", err)
	}
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(maxPacket), grpc.MaxConcurrentStreams(4), grpc.ConnectionTimeout(dialWithin), grpc.MaxHeaderListSize(8<<10))
	peerspb.RegisterPeersServer(srv, &receiver{link: l})
	l.work.Go(func() {
		if err := srv.Serve(l.ln); err != nil && l.life.Err() == nil {
			o.Log.Error("peers are not listened to any more", "err", err)
		}
	})
	l.work.Go(func() {
		<-l.life.Done()
		srv.Stop()
	})
	return l, nil
}

// Addr is where the link listens, nil if it does not.
func (l *Link) Addr() net.Addr {
	if l.ln == nil {
		return nil
	}
	return l.ln.Addr()
}

// Packets are what others send.
func (l *Link) Packets() <-chan core.Packet { return l.in }

// Close ends all ways.
func (l *Link) Close() {
	l.mu.Lock()
	l.down = true
	l.mu.Unlock()
	l.end()
	l.work.Wait()
}

// Send sends a packet to an address, soon or not at all; it does not block.
func (l *Link) Send(addr string, p core.Packet) {
	p.From, p.Life = l.o.Name, l.o.Life
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || addr == "" {
		return
	}
	w := l.ways[addr]
	if w == nil {
		if len(l.ways) >= mostWays {
			l.seen.Dropped++
			return
		}
		w = &way{addr: addr, queue: make(chan queued, queueMost), since: time.Now()}
		l.ways[addr] = w
		l.work.Go(func() { l.serve(w) })
	}
	for q := (queued{p, time.Now()}); ; {
		select {
		case w.queue <- q:
			return
		default:
		}
		select {
		case <-w.queue: // the oldest is worth least
			l.seen.Dropped++
		default:
		}
	}
}

// serve sends what is queued for a way, until nothing has come for a while.
func (l *Link) serve(w *way) {
	pause := dialAgain
	for {
		idle := l.stream(w)
		l.mu.Lock()
		if idle && len(w.queue) == 0 || l.life.Err() != nil {
			delete(l.ways, w.addr)
			l.mu.Unlock()
			return
		}
		again := pause
		if w.sent > 0 && w.up {
			again = dialAgain
		}
		w.up, w.since = false, time.Now()
		l.mu.Unlock()
		select {
		case <-time.After(again):
		case <-l.life.Done():
		}
		pause = min(2*again, dialLast)
	}
}

// dial makes a connection that is opened by the first call.
func dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(), grpc.WithUserAgent("coralyard-peers"))
}

// stream opens a way and sends over it until it breaks or nothing is to be said; then it returns true.
func (l *Link) stream(w *way) (idle bool) {
	ctx, cancel := context.WithCancel(l.life)
	defer cancel()
	conn, err := dial(w.addr)
	if err != nil {
		l.broken(w, err)
		return false
	}
	defer conn.Close()
	late := time.AfterFunc(dialWithin, cancel) // until the first packet is out
	defer late.Stop()
	s, err := peerspb.NewPeersClient(conn).Talk(ctx)
	if err != nil {
		l.broken(w, err)
		return false
	}
	late.Stop()
	l.mu.Lock()
	w.up, w.since, w.err = true, time.Now(), ""
	l.mu.Unlock()
	gone := make(chan error, 1)
	l.work.Go(func() { gone <- s.RecvMsg(new(peerspb.Done)) })
	quiet := time.NewTimer(idleAfter)
	defer quiet.Stop()
	for {
		select {
		case q := <-w.queue:
			if time.Since(q.at) > Stale {
				l.count(func(c *Counts) { c.Dropped++ })
				continue
			}
			q.p.Sent = time.Since(l.begun)
			m := toProto(&q.p)
			// A way on which nothing moves must not hold its sender for ever.
			stuck := time.AfterFunc(2*Stale, cancel)
			err := s.Send(m)
			if !stuck.Stop() && err == nil {
				err = context.DeadlineExceeded
			}
			if err != nil {
				if errors.Is(err, io.EOF) { // the stream's own error is what the receiver said
					err = <-gone
				}
				l.broken(w, err)
				return false
			}
			l.mu.Lock()
			w.sent++
			l.seen.Sent++
			l.seen.BytesOut += uint64(sizeOf(m))
			l.mu.Unlock()
			quiet.Reset(idleAfter)
		case err := <-gone:
			l.broken(w, err)
			return false
		case <-quiet.C:
			return true
		case <-l.life.Done():
			return true
		}
	}
}

func (l *Link) broken(w *way, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.err == "" && l.life.Err() == nil && err != nil {
		l.o.Log.Info("no way to a peer", "addr", w.addr, "err", err)
	}
	if err != nil {
		w.err = err.Error()
	}
}

func (l *Link) count(add func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.seen)
}

// Seen are the counts so far, and Ways the ways that are open or wanted, by address.
func (l *Link) Seen() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

// Ways are those that are open or wanted.
func (l *Link) Ways() []Way {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Way
	for _, addr := range slices.Sorted(maps.Keys(l.ways)) {
		w := l.ways[addr]
		all = append(all, Way{addr, w.up, w.since, w.sent, w.err})
	}
	return all
}
