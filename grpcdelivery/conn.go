// Package grpcdelivery is the delivery engine as a plug-in for gRPC clients: a Conn stands where generated stubs take
// a *grpc.ClientConn, and every unary call on it is journalled, sent when and where package choice decides, repeated
// only where that does no harm, and ended once.
//
// What a call can end with is documented at Conn.Invoke.
package grpcdelivery

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // the codec of generated stubs
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"starlingusher/choice"
	"starlingusher/delivery"
)

// Domain is that of the google.rpc.ErrorInfo in a status of the plug-in's own.
const Domain = "coralyard"

// Reasons in such an ErrorInfo. Its metadata tell the message's id as "id".
const (
	ReasonRefused    = "REFUSED"         // not done, and coming again is harmless
	ReasonMayHaveRun = "MAY_HAVE_RUN"    // it may have been done: only the partner knows
	ReasonContinues  = "CONTINUES"       // the caller has stopped waiting; the message goes on to its end
	ReasonReplySize  = "REPLY_TOO_LARGE" // done, but its reply is larger than the caller takes
	ReasonInvalid    = "INVALID"         // the call can't be taken on as it is
	ReasonEnded      = "ENDED_BEFORE"    // a message of this id was delivered before; its reply is not kept
	ReasonStopped    = "STOPPED"         // the engine has stopped, and has not taken the call on
)

// endGrace is given to the engine to tell the end when the caller's deadline has passed: it gives one by then.
const endGrace = time.Second

// Method says how calls of one method are delivered.
type Method struct {
	Class int // its number in the engine's settings
	Dest  int // the destination's number in the list
	// Timeout bounds how long a call may still be delivered; 0 leaves it to the class. The caller's deadline holds
	// as well.
	Timeout time.Duration
	// Key takes the idempotency key from a request; nil for a class without one, or where a call option gives it.
	Key func(request any) string
}

// Options are a Conn's.
type Options struct {
	// Methods is the table, by full name: "/package.Service/Method".
	Methods map[string]Method
	// Unlisted serves all other methods. Its class has to be one that is never repeated.
	Unlisted Method
}

// Conn is a grpc.ClientConnInterface on an engine. It may be used by many goroutines at a time.
type Conn struct {
	engine  *delivery.Engine
	carrier *Carrier
	classes []choice.Class
	options Options
	codec   encoding.CodecV2
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// NewConn makes a Conn on an engine that was opened with the carrier under its front's name. Several may share an engine,
// with each other and with other fronts.
func NewConn(engine *delivery.Engine, carrier *Carrier, o Options) (*Conn, error) {
	if !engine.Serves(carrier.front, carrier) {
		return nil, fmt.Errorf("grpcdelivery: %w: %q with this carrier", delivery.ErrUnknownFront, carrier.front)
	}
	o.Methods = maps.Clone(o.Methods)
	classes := engine.Classes()
	c := &Conn{engine: engine, carrier: carrier, classes: classes, options: o, codec: encoding.GetCodecV2("proto")}
	for name, m := range o.Methods {
		if m.Class < 0 || m.Class >= len(classes) || len(name) > maxMethod || name == "" {
			return nil, fmt.Errorf("grpcdelivery: method %q: class %d of %d", name, m.Class, len(classes))
		}
	}
	if u := o.Unlisted.Class; u < 0 || u >= len(classes) || classes[u].Effect != choice.Unsafe {
		return nil, fmt.Errorf("grpcdelivery: methods that are not listed need a class that is never repeated; %d is none", u)
	}
	return c, nil
}

// Client is an engine of its own with a Conn on it, for a program that has no other front.
type Client struct {
	*Conn
	stop func() error
}

// Open opens an engine with the one front, runs it, and returns a Conn on it. The front's name is kept in the state
// folder, and so must stay the same.
func Open(cfg delivery.Config, front string, o Options, dial ...grpc.DialOption) (*Client, error) {
	carrier, err := NewCarrier(front, cfg.Settings.DialTimeout, dial...)
	if err != nil {
		return nil, err
	}
	engine, err := delivery.Open(cfg, delivery.Front{Name: front, Carrier: carrier})
	if err != nil {
		return nil, err
	}
	conn, err := NewConn(engine, carrier, o)
	if err != nil {
		return nil, errors.Join(err, engine.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- engine.Run(ctx) }()
	return &Client{conn, func() error {
		cancel()
		return <-done
	}}, nil
}

// Close stops the engine, after its LeaveAfter: what has not ended by then goes on in the next life. It is called once.
func (c *Client) Close() error { return c.stop() }

// callOption is a grpc.CallOption of the plug-in's own.
type callOption struct {
	grpc.EmptyCallOption
	apply func(*asked)
}

// asked is how one call is to be delivered.
type asked struct {
	Method
	id, key string
	keep    bool
}

// Class gives a call another class than its method's. A method that is not in the table stays one that is never
// repeated: any other class for it is an error.
func Class(n int) grpc.CallOption { return callOption{apply: func(a *asked) { a.Class = n }} }

// Destination gives a call another destination than its method's.
func Destination(n int) grpc.CallOption { return callOption{apply: func(a *asked) { a.Dest = n }} }

// Timeout gives a call another timeout than its method's.
func Timeout(d time.Duration) grpc.CallOption {
	return callOption{apply: func(a *asked) { a.Timeout = d }}
}

// Key gives a call its idempotency key.
func Key(k string) grpc.CallOption { return callOption{apply: func(a *asked) { a.key = k }} }

// MessageID gives a call an id of the application's own, under which it finds the end also after a crash. The end is
// kept until Acknowledge. A call under the id of a message that the engine has already is not done twice.
func MessageID(id string) grpc.CallOption {
	return callOption{apply: func(a *asked) { a.id, a.keep = id, true }}
}

// NewStream is not offered: a stream has no one answer that could end it.
func (c *Conn) NewStream(_ context.Context, _ *grpc.StreamDesc, method string, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Errorf(codes.Unimplemented, "grpcdelivery: %s: streaming methods are not delivered", method)
}

// Invoke delivers a unary call and waits for its end. Beside the partner's own statuses, which stand for calls that it
// has refused for good, it returns:
//
//	code               reason           what has become of the call
//	OK                                  delivered
//	Unavailable        REFUSED          not done; coming again is harmless, after google.rpc.RetryInfo
//	Unknown            MAY_HAVE_RUN     it may have been done, and is not sent again
//	Canceled,          CONTINUES        the caller has stopped waiting; the message goes on, and its end is kept
//	DeadlineExceeded                    until it is acknowledged: see Ends
//	ResourceExhausted  REPLY_TOO_LARGE  done; the reply is larger than the caller takes
//	ResourceExhausted  INVALID          not done: the request is larger than delivery.MaxBody
//	InvalidArgument    INVALID          not done: no such class or destination, or another fault of the call itself
//	AlreadyExists      ENDED_BEFORE     delivered before under the same id; the reply is not kept
//	Unavailable        STOPPED          not done: the engine has stopped
//
// The caller's deadline is the message's. Metadata and credentials of the call's context and options go with it while
// its caller waits, and not into the journal: what a later life sends has those of the dial options alone.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	want, live, taken, err := c.read(ctx, method, args, opts)
	if err == nil {
		err = c.deliver(ctx, method, args, reply, want, live, taken)
	}
	for _, o := range opts {
		if f, ok := o.(grpc.OnFinishCallOption); ok {
			f.OnFinish(err)
		}
	}
	return err
}

// results is where the caller wants what came with the answer.
type results struct {
	header, trailer []*metadata.MD
	peers           []grpc.PeerCallOption
}

// read sorts the call's options.
func (c *Conn) read(ctx context.Context, method string, args any, opts []grpc.CallOption) (asked, *call, results, error) {
	m, listed := c.options.Methods[method]
	if !listed {
		m = c.options.Unlisted
	}
	want, live, taken := asked{Method: m}, &call{}, results{}
	for _, o := range opts {
		switch o := o.(type) {
		case callOption:
			o.apply(&want)
		case grpc.HeaderCallOption:
			taken.header = append(taken.header, o.HeaderAddr)
		case grpc.TrailerCallOption:
			taken.trailer = append(taken.trailer, o.TrailerAddr)
		case grpc.PeerCallOption:
			taken.peers = append(taken.peers, o)
		case grpc.PerRPCCredsCallOption:
			live.credentials = o.Creds
		case grpc.ForceCodecCallOption, grpc.ForceCodecV2CallOption, grpc.CustomCodecCallOption, grpc.ContentSubtypeCallOption:
			return want, nil, taken, invalid(codes.InvalidArgument, "", "another codec than proto can't be delivered")
		case grpc.OnFinishCallOption, grpc.FailFastCallOption: // the first is called by Invoke; choice decides the other
		default:
			live.options = append(live.options, o)
		}
	}
	live.options = slices.Clip(live.options) // attempts of one call may run side by side, and each adds its own
	live.md, _ = metadata.FromOutgoingContext(ctx)
	switch {
	case want.Class < 0 || want.Class >= len(c.classes):
		return want, nil, taken, invalid(codes.InvalidArgument, want.id, "unknown class %d", want.Class)
	case !listed && c.classes[want.Class].Effect != choice.Unsafe:
		return want, nil, taken, invalid(codes.InvalidArgument, want.id, "%s is not in the table, and so never repeatable", method)
	case len(method) > maxMethod || method == "":
		return want, nil, taken, invalid(codes.InvalidArgument, want.id, "a method's name has 1 to %d bytes", maxMethod)
	}
	if want.key == "" && want.Method.Key != nil {
		want.key = want.Method.Key(args)
	}
	if want.key == "" && c.classes[want.Class].Effect == choice.Keyed {
		return want, nil, taken, invalid(codes.InvalidArgument, want.id, "class %d needs an idempotency key", want.Class)
	}
	for _, word := range []string{want.id, want.key} {
		if !isToken(word) {
			return want, nil, taken, invalid(codes.InvalidArgument, "", "%q can't be used as an id or a key: up to 256 visible ASCII characters", word)
		}
	}
	if want.id == "" {
		want.id = rand.Text()
	}
	return want, live, taken, nil
}

// isToken tells that a word can go into metadata as it is.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) <= 256
}

// deliver hands the call to the engine and turns its end into a status.
func (c *Conn) deliver(ctx context.Context, method string, args, reply any, want asked, live *call, taken results) error {
	came := time.Now()
	life := c.classes[want.Class].Deadline
	if want.Timeout > 0 && (life <= 0 || want.Timeout < life) {
		life = want.Timeout
	}
	if d, ok := ctx.Deadline(); ok && (life <= 0 || d.Sub(came) < life) {
		life = d.Sub(came)
	}
	if err := ctx.Err(); err != nil {
		return status.FromContextError(err).Err() // not taken on
	}
	if life <= 0 {
		return invalid(codes.InvalidArgument, want.id, "neither the class, the table nor the caller gives a deadline")
	}
	request, err := c.codec.Marshal(args)
	if err != nil {
		return invalid(codes.Internal, want.id, "the request can't be encoded: %v", err)
	}
	body := envelope(method, request)
	request.Free()
	if len(body) > delivery.MaxBody {
		return invalid(codes.ResourceExhausted, want.id, "a request and its method hold %d bytes at most, this one %d", delivery.MaxBody, len(body))
	}
	c.carrier.attach(want.id, live)
	defer c.carrier.detach(want.id, live)
	waits, stop := patient(ctx)
	defer stop()
	end, err := c.engine.Do(waits, c.carrier.front, delivery.Message{
		ID: want.id, Key: want.key, Body: body, Class: want.Class, Dest: want.Dest, Came: came, Life: life, Keep: want.keep,
	})
	switch {
	case errors.Is(err, delivery.ErrInvalid):
		return invalid(codes.InvalidArgument, want.id, "%v", err)
	case errors.Is(err, delivery.ErrWaitOver):
		code := codes.DeadlineExceeded
		if !errors.Is(err, context.DeadlineExceeded) {
			code = codes.Canceled
		}
		return own(code, ReasonContinues, want.id, err.Error())
	case err != nil:
		return own(codes.Unavailable, ReasonStopped, want.id, err.Error(), &errdetails.RetryInfo{RetryDelay: durationpb.New(endGrace)})
	}
	return c.finish(end, reply, taken)
}

// patient is ctx without its deadline: the message has the same, and ends by it, a moment before or after the caller's
// own clock. A caller that cancels is not waited for.
func patient(ctx context.Context) (context.Context, func()) {
	waits, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(endGrace, func() { cancel(context.DeadlineExceeded) })
			return
		}
		cancel(context.Canceled)
	})
	return waits, func() {
		stop()
		cancel(nil)
	}
}

// finish turns an end into what the caller sees.
func (c *Conn) finish(end delivery.End, reply any, taken results) error {
	ans, _ := end.Reply.(*answer)
	if ans != nil {
		for _, md := range taken.header {
			*md = ans.header
		}
		for _, md := range taken.trailer {
			*md = ans.trailer
		}
		for _, p := range taken.peers {
			*p.PeerAddr = *ans.peer
		}
	}
	switch end.State {
	case delivery.Delivered:
		switch {
		case ans == nil:
			return own(codes.AlreadyExists, ReasonEnded, end.ID, "delivered before; the reply is not kept")
		case ans.err != nil:
			return own(codes.ResourceExhausted, ReasonReplySize, end.ID, status.Convert(ans.err).Message())
		}
		if err := c.codec.Unmarshal(bufferSlice(ans.body), reply); err != nil {
			return own(codes.Internal, ReasonReplySize, end.ID, "delivered; the reply can't be decoded: "+err.Error())
		}
		return nil
	case delivery.Refused:
		if ans == nil {
			return status.Error(codes.Code(end.Code), "refused by the partner before")
		}
		return ans.err
	case delivery.Returned:
		return own(codes.Unavailable, ReasonRefused, end.ID, because("not done", end.Err),
			&errdetails.RetryInfo{RetryDelay: durationpb.New(end.After)})
	}
	return own(codes.Unknown, ReasonMayHaveRun, end.ID, because("it may have been done", end.Err))
}

func because(text string, err error) string {
	if err == nil {
		return text
	}
	return text + "; the last attempt: " + err.Error()
}

// MayHaveRun tells that a call has ended without an answer, though it may have been done.
func MayHaveRun(err error) bool { return Reason(err) == ReasonMayHaveRun }

// Reason is the plug-in's own reason in a status, "" for a status of the partner's.
func Reason(err error) string {
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok && info.GetDomain() == Domain {
			return info.GetReason()
		}
	}
	return ""
}

// End returns the end of the message of that id, delivery.ErrPending if it has none yet, or delivery.ErrMissing.
func (c *Conn) End(ctx context.Context, id string) (delivery.End, error) {
	return c.engine.Lookup(ctx, c.carrier.front, id)
}

// Ends returns all ends that wait to be acknowledged, those that an earlier life has left among them.
func (c *Conn) Ends(ctx context.Context) ([]delivery.End, error) {
	return c.engine.Ends(ctx, c.carrier.front)
}

// Acknowledge says that the application has the ends of these messages. They are forgotten.
func (c *Conn) Acknowledge(ctx context.Context, ids ...string) error {
	return c.engine.Acknowledge(ctx, c.carrier.front, ids...)
}

func invalid(code codes.Code, id, format string, args ...any) error {
	return own(code, ReasonInvalid, id, fmt.Sprintf(format, args...))
}
