package faults

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"starlingusher/peers/link/peerspb"
)

// Ill is what is wrong with a way. The zero value is a way on which all is well.
type Ill struct {
	Cut      bool          // nothing can be opened, and what is open breaks
	Hang     bool          // all is taken and nothing arrives
	Loss     float64       // share of the packets that don't arrive,
	Repeat   float64       // and of those that arrive twice, the second time later
	Delay    time.Duration // of each packet
	Reorder  time.Duration // more delay, drawn for each up to this
	Throttle time.Duration // least time between two packets
}

// way carries packets from one node to another, one way: a stand-in for the network between them, packet by packet.
type way struct {
	peerspb.UnimplementedPeersServer
	ln     net.Listener
	srv    *grpc.Server
	to     string
	life   context.Context
	end    context.CancelFunc
	work   sync.WaitGroup
	onward *grpc.ClientConn

	mu     sync.Mutex
	rng    *rand.Rand
	ill    Ill
	broken chan struct{} // closed when what is open breaks
	stream grpc.ClientStreamingClient[peerspb.Packet, peerspb.Done]
	nextAt time.Time
}

func newWay(to string, seed uint64) (*way, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &way{ln: ln, to: to, srv: grpc.NewServer(), rng: rand.New(rand.NewPCG(seed, 3)), broken: make(chan struct{})}
	w.life, w.end = context.WithCancel(context.Background())
	if w.onward, err = grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 200 * time.Millisecond}})); err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	peerspb.RegisterPeersServer(w.srv, w)
	w.work.Go(func() { w.srv.Serve(ln) }) // its error is that it was stopped
	return w, nil
}

func (w *way) addr() string { return w.ln.Addr().String() }

func (w *way) close() {
	w.end()
	w.srv.Stop()
	w.work.Wait()
	w.onward.Close()
}

// set makes the way ill, or well. What is open breaks where the illness is a cut, and on reset.
func (w *way) set(ill Ill, reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ill = ill
	if ill.Cut || reset {
		close(w.broken)
		w.broken = make(chan struct{})
	}
}

func (w *way) now() (Ill, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ill, w.broken
}

// Talk takes packets and carries on those that the way lets through.
func (w *way) Talk(s grpc.ClientStreamingServer[peerspb.Packet, peerspb.Done]) error {
	ill, broken := w.now()
	if ill.Cut {
		return status.Error(codes.Unavailable, "cut")
	}
	packets, failed := make(chan *peerspb.Packet), make(chan error, 1)
	go func() { // it ends with the stream
		for {
			p, err := s.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case packets <- p:
			case <-s.Context().Done():
				return
			}
		}
	}()
	for {
		select {
		case p := <-packets:
			w.carry(p)
		case err := <-failed:
			if errors.Is(err, io.EOF) {
				return s.SendAndClose(&peerspb.Done{})
			}
			return err
		case <-broken:
			return status.Error(codes.Unavailable, "reset")
		case <-w.life.Done():
			return status.Error(codes.Unavailable, "over")
		}
	}
}

// carry draws what becomes of a packet.
func (w *way) carry(p *peerspb.Packet) {
	w.mu.Lock()
	ill, lost, again := w.ill, w.rng.Float64(), w.rng.Float64()
	delay := ill.Delay + time.Duration(w.rng.Float64()*float64(ill.Reorder))
	if ill.Throttle > 0 {
		at := time.Now()
		if w.nextAt.Before(at) {
			w.nextAt = at
		}
		delay += w.nextAt.Sub(at)
		w.nextAt = w.nextAt.Add(ill.Throttle)
	}
	w.mu.Unlock()
	if ill.Hang || lost < ill.Loss {
		return
	}
	w.after(delay, p)
	if again < ill.Repeat {
		w.after(2*delay+100*time.Millisecond, p)
	}
}

// Copy carries frames and answers both ways, as long as the way is neither cut nor hangs. What is under way in a stream is not lost or
// repeated, as in a connection.
func (w *way) Copy(s grpc.BidiStreamingServer[peerspb.CopyFrame, peerspb.CopyAnswer]) error {
	ill, broken := w.now()
	if ill.Cut {
		return status.Error(codes.Unavailable, "cut")
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	to, err := peerspb.NewPeersClient(w.onward).Copy(ctx)
	if err != nil {
		return err
	}
	ends := make(chan error, 2)
	go func() { // ends with the call
		for {
			m, err := s.Recv()
			if err == nil && w.passes(ctx) {
				err = to.Send(m)
			}
			if err != nil {
				ends <- err
				return
			}
		}
	}()
	go func() {
		for {
			m, err := to.Recv()
			if err == nil && w.passes(ctx) {
				err = s.Send(m)
			}
			if err != nil {
				ends <- err
				return
			}
		}
	}()
	select {
	case err = <-ends:
		if errors.Is(err, io.EOF) {
			err = nil
		}
	case <-broken:
		err = status.Error(codes.Unavailable, "cut")
	case <-w.life.Done():
		err = status.Error(codes.Unavailable, "closed")
	}
	return err
}

// passes holds a message up as the way does, and tells whether it goes on; one that hangs comes when the way is well.
func (w *way) passes(ctx context.Context) bool {
	for {
		ill, _ := w.now()
		if !ill.Hang {
			t := time.NewTimer(ill.Delay)
			defer t.Stop()
			select {
			case <-t.C:
			case <-ctx.Done():
			}
			return ctx.Err() == nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// Fence carries what an heir asks.
func (w *way) Fence(m *peerspb.FenceRequest, s grpc.ServerStreamingServer[peerspb.FencePart]) error {
	if ill, _ := w.now(); ill.Cut || !w.passes(s.Context()) {
		return status.Error(codes.Unavailable, "cut")
	}
	to, err := peerspb.NewPeersClient(w.onward).Fence(s.Context(), m)
	for err == nil {
		var part *peerspb.FencePart
		if part, err = to.Recv(); err == nil {
			err = s.Send(part)
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (w *way) after(d time.Duration, p *peerspb.Packet) {
	if d == 0 {
		w.forward(p)
		return
	}
	w.work.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			if ill, _ := w.now(); !ill.Cut {
				w.forward(p)
			}
		case <-w.life.Done():
		}
	})
}

// forward sends a packet on, by a new stream if the last one broke. One that can't be sent is lost.
func (w *way) forward(p *peerspb.Packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range 2 {
		if w.stream == nil {
			s, err := peerspb.NewPeersClient(w.onward).Talk(w.life)
			if err != nil {
				return
			}
			w.stream = s
		}
		if w.stream.Send(p) == nil {
			return
		}
		w.stream = nil
	}
}
