package grpcdelivery

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/grpcframe"
)

const (
	// The names of the message's id and idempotency key in a call's metadata, as over HTTP.
	idHeader  = "x-trace-id"
	keyHeader = "idempotency-key"
	// orcaTrailer holds the per-request load report: gRFC A51, xds.data.orca.v3.OrcaLoadReport.
	orcaTrailer = "endpoint-load-metrics-bin"
	longestWait = 10 * time.Minute // of those that a partner may ask for
	mostLimit   = 1e6              // calls a second that a report may tell
	dialTimeout = time.Second      // if none is given
)

// Carrier makes attempts as unary gRPC calls. It keeps one channel to an endpoint, on which calls share a connection.
// The library repeats a call by itself only where the partner's transport says that it has not processed it (RFC 9113,
// sections 6.8 and 8.7), and not past a drain or a wait; retry policies and service configs are off.
type Carrier struct {
	front       string
	dialTimeout time.Duration
	options     []grpc.DialOption

	mu       sync.Mutex
	channels map[string]*channel // by endpoint
	live     map[string]*call    // by message, those whose caller waits
	repeats  atomic.Int64
}

// channel is a connection to an endpoint, to be closed after its last call once it is retired.
type channel struct {
	cc      *grpc.ClientConn
	addr    string
	calls   int
	retired bool
	last    atomic.Pointer[string] // the local address that the last call went out from
	heard   atomic.Int64           // when an answer last came, in nanoseconds since opened; 0 if none has
	opened  time.Time
}

// NewCarrier makes the carrier of the front of that name. The dial options are those of all its channels: transport
// credentials are needed, as grpc.NewClient needs them, and keepalive, per-call credentials and the like go there.
// dial bounds the time to a connection; 0 is one second.
func NewCarrier(front string, dial time.Duration, options ...grpc.DialOption) (*Carrier, error) {
	if dial <= 0 {
		dial = dialTimeout
	}
	c := &Carrier{front: front, dialTimeout: dial, channels: map[string]*channel{}, live: map[string]*call{}}
	// Ours come last, so that they hold whatever else is given.
	c.options = append(append(c.options, options...),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithStatsHandler(watcher{}))
	cc, err := c.open("127.0.0.1:9") // opens no connection yet, but checks the options
	if err != nil {
		return nil, fmt.Errorf("grpcdelivery: %w", err)
	}
	return c, cc.Close()
}

func (c *Carrier) open(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, c.options...)
}

// Repeats counts the calls that the library has sent again by itself, each after the partner's transport said that it
// had not processed the one before.
func (c *Carrier) Repeats() int64 { return c.repeats.Load() }

// call is what an Invoke that waits adds to its attempts: nothing of it outlasts the process.
type call struct {
	md          metadata.MD
	credentials credentials.PerRPCCredentials
	options     []grpc.CallOption
	most        int // bytes of a reply
}

// answer is what the partner said, for the Invoke that waits.
type answer struct {
	body            []byte
	header, trailer metadata.MD
	peer            *peer.Peer
	err             error // a status: the partner's, or that its reply can't be taken
}

// attach keeps what the caller adds. Of two under one id the first has handed the message in, and counts.
func (c *Carrier) attach(id string, k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.live[id] == nil {
		c.live[id] = k
	}
}

func (c *Carrier) detach(id string, k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.live[id] == k {
		delete(c.live, id)
	}
}

// Attempt makes one call.
func (c *Carrier) Attempt(ctx context.Context, a delivery.Attempt) delivery.Result {
	ctx, cancel := context.WithDeadline(ctx, a.NotPast)
	defer cancel()
	method, body, err := openEnvelope(a.Body)
	if err != nil {
		return delivery.Result{
			Outcome: choice.Stale, NotRun: true, Closed: true, Refused: true, Code: int(codes.InvalidArgument), Err: err,
		}
	}
	if !a.MayBegin(time.Now()) || ctx.Err() != nil {
		return delivery.Result{Outcome: choice.Stale, NotRun: true}
	}
	ch, err := c.take(a.Endpoint, a.Fresh)
	if err != nil {
		return delivery.Result{Outcome: choice.NoRoute, NotRun: true, Err: err}
	}
	defer c.release(ch)
	if err := ch.connect(ctx, c.dialTimeout); err != nil {
		c.retire(a.Endpoint.ID, ch) // a channel that failed stays so for longer than the module wants
		return delivery.Result{Outcome: choice.NoRoute, NotRun: true, Err: err}
	}
	c.mu.Lock()
	live := c.live[a.ID]
	c.mu.Unlock()
	if live == nil {
		live = &call{}
	}
	call, cancelCall := context.WithCancel(ctx)
	defer cancelCall()
	t := &trace{}
	// A channel that loses its connection has the call wait for another one: no longer than for the first.
	t.waiting = time.AfterFunc(c.dialTimeout, func() {
		if t.phase.CompareAndSwap(phaseWaits, phaseExpired) {
			cancelCall()
		}
	})
	defer t.waiting.Stop()
	t.dialTimeout = c.dialTimeout
	ans := &answer{peer: &peer.Peer{}}
	options := append(live.options,
		grpc.ForceCodecV2(grpcframe.Codec{}), grpc.Header(&ans.header), grpc.Trailer(&ans.trailer), grpc.Peer(ans.peer),
		grpc.PerRPCCredentials(gate{a, t, live.credentials}))
	md := live.md.Copy()
	if md == nil {
		md = metadata.MD{}
	}
	md.Set(idHeader, a.ID)
	if a.Key != "" {
		md.Set(keyHeader, a.Key)
	}
	call = metadata.NewOutgoingContext(context.WithValue(call, traceKey{}, t), md)
	var reply grpcframe.Frame
	began := time.Now()
	err = ch.cc.Invoke(call, method, grpcframe.Frame(body), &reply, options...)
	c.repeats.Add(t.repeats.Load())
	if t.headers.Load() || t.trailers.Load() {
		ch.heard.Store(int64(time.Since(ch.opened)))
	} else if errors.Is(ctx.Err(), context.DeadlineExceeded) && ch.heard.Load() < int64(began.Sub(ch.opened)) {
		c.retire(a.Endpoint.ID, ch) // its machine may be gone: a connection does not show that by itself
	}
	ans.body = reply
	res := judge(err, t.facts(), ans)
	if from := t.from.Load(); from != nil {
		before := ch.last.Swap(from)
		res.Kept = before != nil && *before == *from
	}
	if ctx.Err() != nil && res.Outcome == choice.Cut {
		res.Outcome = choice.Undone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			res.Outcome = choice.TooSlow
		}
	}
	return res
}

// facts are what the transport has shown of an attempt; they prove more than a status does.
type facts struct {
	sent     bool // the message was handed to the transport, and is not proven to be unprocessed
	headers  bool // the partner's headers have come,
	trailers bool // or its trailers
	shut     bool // the endpoint drained, or asked for a wait, before anything was sent
}

// judge says what a call's end proves. The table stands in docs/design/engine.md.
func judge(err error, f facts, ans *answer) delivery.Result {
	if err == nil {
		return delivery.Result{Outcome: choice.Pass, Closed: true, Report: loadReport(ans.trailer), Reply: ans}
	}
	st := status.Convert(err)
	r := delivery.Result{Outcome: choice.Cut, Report: loadReport(ans.trailer), Err: err}
	switch {
	case f.shut:
		return delivery.Result{Outcome: choice.Stale, NotRun: true}
	case !f.sent:
		r.Outcome, r.NotRun = choice.NoRoute, true
		return r
	case f.headers && st.Code() == codes.ResourceExhausted && strings.HasPrefix(st.Message(), "grpc: received message"):
		// A reply began to come and our side finds it too large: the partner has done the work. The words are the
		// library's, which has no other sign of it; a server says them, if at all, without headers.
		ans.err = err
		return delivery.Result{Outcome: choice.Pass, Closed: true, Reply: ans, Err: err}
	case !f.trailers:
		return r // the status is our own library's guess
	}
	r.Wait = retryDelay(st)
	switch st.Code() {
	case codes.ResourceExhausted:
		if f.headers { // it had begun to answer
			r.Outcome = choice.Fault
			return r
		}
		r.Outcome, r.NotRun = choice.NoRoom, true
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied, codes.FailedPrecondition,
		codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated:
		ans.err = err
		return delivery.Result{
			Outcome: choice.Pass, Closed: true, Refused: true, Code: int(st.Code()), Report: r.Report, Reply: ans, Err: err,
		}
	default: // Unavailable among them: a partner may say so after it has begun
		r.Outcome = choice.Fault
	}
	return r
}

// retryDelay is the wait that a status asks for, 0 for none (google.rpc.RetryInfo, AIP-193).
func retryDelay(st *status.Status) time.Duration {
	for _, d := range st.Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok && info.GetRetryDelay().IsValid() {
			return min(max(info.GetRetryDelay().AsDuration(), 0), longestWait)
		}
	}
	return 0
}

// loadReport reads the share left as x0 and the limit in calls a second as x1 of the named metrics; where there is no
// x0, application utilization is what is not left. A report that can't be read, be it in part, is none.
func loadReport(trailer metadata.MD) choice.Report {
	values := trailer.Get(orcaTrailer)
	if len(values) != 1 {
		return choice.Report{}
	}
	var m orca.OrcaLoadReport
	if proto.Unmarshal([]byte(values[0]), &m) != nil {
		return choice.Report{}
	}
	var r choice.Report
	r.Left, r.HasLeft = m.GetNamedMetrics()["x0"]
	r.Limit, r.HasLimit = m.GetNamedMetrics()["x1"]
	if used := m.GetApplicationUtilization(); !r.HasLeft && used > 0 {
		r.Left, r.HasLeft = max(1-used, 0), true
	}
	sound := func(v, most float64) bool { return !math.IsNaN(v) && v >= 0 && v <= most }
	if !sound(r.Left, 2) || !sound(r.Limit, mostLimit) {
		return choice.Report{}
	}
	return r
}

// take returns the endpoint's channel; fresh asks for a new one.
func (c *Carrier) take(e *delivery.Endpoint, fresh bool) (*channel, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := e.AddrFor(c.front)
	ch := c.channels[e.ID]
	if ch != nil && (fresh || ch.addr != addr || ch.cc.GetState() == connectivity.TransientFailure) {
		c.drop(e.ID, ch)
		ch = nil
	}
	if ch == nil {
		cc, err := c.open(addr)
		if err != nil {
			return nil, err
		}
		ch = &channel{cc: cc, addr: addr, opened: time.Now()}
		if e.Gone() { // nobody would ever close it
			ch.retired = true
		} else {
			c.channels[e.ID] = ch
		}
	}
	ch.calls++
	return ch, nil
}

// drop retires a channel; the lock is held.
func (c *Carrier) drop(id string, ch *channel) {
	if c.channels[id] == ch {
		delete(c.channels, id)
	}
	if ch.retired = true; ch.calls == 0 {
		ch.cc.Close()
	}
}

func (c *Carrier) retire(id string, ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ch.retired {
		c.drop(id, ch)
	}
}

func (c *Carrier) release(ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch.calls--; ch.calls == 0 && ch.retired {
		ch.cc.Close()
	}
}

// connect waits until the channel has a connection.
func (ch *channel) connect(ctx context.Context, within time.Duration) error {
	if ch.cc.GetState() == connectivity.Ready {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		switch s := ch.cc.GetState(); s {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.New("grpcdelivery: no connection to " + ch.addr)
		default:
			ch.cc.Connect()
			if !ch.cc.WaitForStateChange(ctx, s) {
				return fmt.Errorf("grpcdelivery: no connection to %s: %w", ch.addr, ctx.Err())
			}
		}
	}
}

// HangUp gives an endpoint's channel back unless one is to be kept: there is no more than one.
func (c *Carrier) HangUp(endpoint string, keep int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.channels[endpoint]; ch != nil && keep == 0 {
		c.drop(endpoint, ch)
	}
}

// Close closes all channels.
func (c *Carrier) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, ch := range c.channels {
		c.drop(id, ch)
	}
}

// The phases of an attempt: it waits for a connection, has begun on one, or has waited for too long and must not begin.
const (
	phaseWaits int32 = iota
	phaseBegun
	phaseExpired
)

// trace collects what the transport reports of one attempt, whose library may repeat it.
type trace struct {
	phase                         atomic.Int32
	waiting                       *time.Timer // ends the wait for a connection
	dialTimeout                   time.Duration
	sent, headers, trailers, shut atomic.Bool
	repeats                       atomic.Int64
	from                          atomic.Pointer[string]
}

func (t *trace) facts() facts {
	return facts{sent: t.sent.Load(), headers: t.headers.Load(), trailers: t.trailers.Load(), shut: t.shut.Load() && !t.sent.Load()}
}

type traceKey struct{}

// watcher is the stats.Handler that fills the traces.
type watcher struct{}

func (watcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (watcher) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (watcher) HandleConn(context.Context, stats.ConnStats)                       {}

func (watcher) HandleRPC(ctx context.Context, s stats.RPCStats) {
	t, ok := ctx.Value(traceKey{}).(*trace)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		if s.IsTransparentRetryAttempt {
			// The library repeats only what the transport says was not processed: that one is proven not to have run.
			if t.sent.Swap(false) {
				t.repeats.Add(1)
			}
			if t.phase.CompareAndSwap(phaseBegun, phaseWaits) {
				t.waiting.Reset(t.dialTimeout)
			}
		}
	case *stats.OutHeader:
		if s.LocalAddr != nil {
			from := s.LocalAddr.String()
			t.from.Store(&from)
		}
	case *stats.OutPayload:
		t.sent.Store(true) // without the message the partner has nothing to run
	case *stats.InHeader:
		t.headers.Store(true)
	case *stats.InTrailer:
		t.trailers.Store(true)
	}
}

// gate is asked for credentials when a stream is about to begin, also for a repeat by the library and after any wait
// for a connection: the last moment at which a drain, a wait or a repeat that comes too late can be held back.
type gate struct {
	attempt delivery.Attempt
	trace   *trace
	inner   credentials.PerRPCCredentials
}

func (g gate) GetRequestMetadata(ctx context.Context, uri ...string) (map[string]string, error) {
	if !g.trace.phase.CompareAndSwap(phaseWaits, phaseBegun) && g.trace.phase.Load() == phaseExpired {
		return nil, status.Error(codes.Unavailable, "no connection in time")
	}
	if !g.attempt.MayBegin(time.Now()) {
		g.trace.shut.Store(true)
		return nil, status.Error(codes.Unavailable, "the endpoint drains or asked to be left alone, or the time for a repeat is over")
	}
	if g.inner == nil {
		return nil, nil
	}
	return g.inner.GetRequestMetadata(ctx, uri...)
}

func (g gate) RequireTransportSecurity() bool {
	return g.inner != nil && g.inner.RequireTransportSecurity()
}

const maxMethod = 512 // bytes of a method's name

// envelope is the body as the journal holds it: the method, and the encoded request.
func envelope(method string, request mem.BufferSlice) []byte {
	b := make([]byte, 0, binary.MaxVarintLen64+len(method)+request.Len())
	b = append(binary.AppendUvarint(b, uint64(len(method))), method...)
	n := len(b)
	b = b[:n+request.Len()]
	request.CopyTo(b[n:])
	return b
}

func openEnvelope(b []byte) (method string, request []byte, err error) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > maxMethod || n > uint64(len(b)-size) || n == 0 {
		return "", nil, errors.New("grpcdelivery: the message is no gRPC call")
	}
	return string(b[size : size+int(n)]), b[size+int(n):], nil
}
