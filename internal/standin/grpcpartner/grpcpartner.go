// Package grpcpartner has stand-in partners that speak gRPC. They stand apart from package standin so that programs
// which need only HTTP do not carry the library.
package grpcpartner

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"starlingusher/internal/grpcframe"
	"starlingusher/internal/standin"
)

// Partner answers unary calls of any method. What it replies is Step.Reply, an encoded message.
type Partner struct {
	*standin.Ledger
	options []grpc.ServerOption
	port    *standin.Port

	mu      sync.Mutex
	script  standin.Script
	srv     *grpc.Server // nil while it refuses
	open    map[string]*tracked
	serving sync.WaitGroup
}

// New starts a partner that does what the script says. The ledger may be shared; nil makes a new one.
func New(script standin.Script, ledger *standin.Ledger, options ...grpc.ServerOption) (*Partner, error) {
	if ledger == nil {
		ledger = standin.NewLedger()
	}
	port, err := standin.ReservePort()
	if err != nil {
		return nil, err
	}
	p := &Partner{Ledger: ledger, options: options, port: port, script: script, open: map[string]*tracked{}}
	return p, p.Accept()
}

// Addr is where it is called; it stays the same while it refuses.
func (p *Partner) Addr() string { return p.port.Addr() }

// Do changes the script for the calls that come from now on.
func (p *Partner) Do(s standin.Script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = s
}

// Accept takes connections, at the address that it had before.
func (p *Partner) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.srv != nil {
		return nil
	}
	ln, err := p.port.Listen()
	if err != nil {
		return err
	}
	srv := grpc.NewServer(append([]grpc.ServerOption{
		grpc.ForceServerCodecV2(grpcframe.Codec{}), grpc.UnknownServiceHandler(p.serve)}, p.options...)...)
	p.srv = srv
	p.serving.Go(func() { srv.Serve(listener{ln, p}) }) // ends by Stop
	return nil
}

// Refuse closes its listener and resets what is open: it is down until Accept.
func (p *Partner) Refuse() {
	p.mu.Lock()
	srv := p.srv
	p.srv = nil
	open := slices.Collect(maps.Values(p.open))
	p.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
	if srv != nil {
		srv.Stop()
	}
}

// Restart asks its callers to go (GOAWAY), lets their calls end, and serves new connections at the same address.
func (p *Partner) Restart() error {
	p.mu.Lock()
	srv := p.srv
	p.srv = nil
	p.mu.Unlock()
	if srv != nil {
		srv.GracefulStop()
	}
	return p.Accept()
}

// Close ends it with all its connections.
func (p *Partner) Close() {
	p.Refuse()
	p.serving.Wait()
	p.port.Close() // an error says that it is closed
}

func (p *Partner) serve(_ any, stream grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(stream)
	var body grpcframe.Frame
	if err := stream.RecvMsg(&body); err != nil {
		return err
	}
	md, _ := metadata.FromIncomingContext(stream.Context())
	c := standin.Call{
		ID: first(md, "x-trace-id"), Key: first(md, "idempotency-key"), Method: method, Body: body, Header: md, At: time.Now(),
	}
	p.mu.Lock()
	var nc *tracked
	if from, ok := peer.FromContext(stream.Context()); ok {
		nc = p.open[from.Addr.String()]
	}
	script := p.script
	p.mu.Unlock()
	if nc != nil {
		c.Conn = nc.number
	}
	var s standin.Step
	if script != nil {
		s = script(c)
	}
	p.Note(c, s.Fault)
	return answer(stream, nc, s)
}

func answer(stream grpc.ServerStream, nc *tracked, s standin.Step) error {
	if s.Delay > 0 {
		t := time.NewTimer(s.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		}
	}
	if s.Load != nil {
		text, err := proto.Marshal(&orca.OrcaLoadReport{NamedMetrics: s.Load})
		if err != nil {
			return err
		}
		stream.SetTrailer(metadata.Pairs("endpoint-load-metrics-bin", string(text)))
	}
	switch s.Fault {
	case standin.Error:
		return status.Error(codes.Internal, "stand-in error")
	case standin.Silent:
		<-stream.Context().Done()
		return status.FromContextError(stream.Context().Err()).Err()
	case standin.Reset:
		nc.reset()
		return nil
	case standin.Cut:
		if err := stream.SendHeader(nil); err != nil {
			return err
		}
		nc.flushed(stream.Context())
		nc.reset()
		return nil
	case standin.Limit:
		st, err := status.New(codes.ResourceExhausted, "over the limit").WithDetails(
			&errdetails.RetryInfo{RetryDelay: durationpb.New(s.Wait)})
		if err != nil {
			return err
		}
		return st.Err()
	case standin.Full:
		return status.Error(codes.ResourceExhausted, "full")
	}
	if s.Status != 0 {
		return status.Error(codes.Code(s.Status), "stand-in status")
	}
	return stream.SendMsg(grpcframe.Frame(s.Reply))
}

func first(md metadata.MD, name string) string {
	if v := md.Get(name); len(v) > 0 {
		return v[0]
	}
	return ""
}

// listener hands out connections that can be found again by their peer.
type listener struct {
	net.Listener
	p *Partner
}

func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &tracked{Conn: nc, p: l.p, number: l.p.Connected(), wrote: make(chan struct{}, 1)}
	l.p.mu.Lock()
	l.p.open[nc.RemoteAddr().String()] = t
	l.p.mu.Unlock()
	return t, nil
}

// tracked is a connection that can be reset under the server.
type tracked struct {
	net.Conn
	p      *Partner
	number int
	wrote  chan struct{} // holds a token after a write
}

func (t *tracked) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	select {
	case t.wrote <- struct{}{}:
	default:
	}
	return n, err
}

// flushed waits until something has been written.
func (t *tracked) flushed(ctx context.Context) {
	select {
	case <-t.wrote:
	default:
	}
	select {
	case <-t.wrote:
	case <-ctx.Done():
	}
}

func (t *tracked) reset() {
	if c, ok := t.Conn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	t.Close()
}

func (t *tracked) Close() error {
	t.p.mu.Lock()
	if name := t.RemoteAddr().String(); t.p.open[name] == t {
		delete(t.p.open, name)
	}
	t.p.mu.Unlock()
	return t.Conn.Close()
}
