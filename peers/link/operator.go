package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"starlingusher/peers/lease"
	"starlingusher/peers/link/peerspb"
)

// Command asks the voters for an operator.
func (r *receiver) Command(ctx context.Context, m *peerspb.LeaseCommand) (*peerspb.LeaseResult, error) {
	if r.link.o.Leases == nil {
		return nil, status.Error(codes.Unimplemented, "this node has no leases")
	}
	var in reading
	c := in.command(m)
	if in.err != nil {
		return nil, status.Error(codes.InvalidArgument, in.err.Error())
	}
	if c.Do == lease.Expire { // which only voters say
		return nil, status.Error(codes.InvalidArgument, "not an operator's command")
	}
	got, err := r.link.o.Leases.Command(ctx, c)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return leaseToProto(&lease.Message{Answers: []lease.Answer{{Result: got}}}).Answers[0], nil
}

func heldToProto(h Held) *peerspb.HoldReply {
	return &peerspb.HoldReply{Token: h.Token, LeftUs: micros(h.Left), Holder: h.Holder}
}

// Hold holds a lease for as long as the stream is open.
func (r *receiver) Hold(m *peerspb.HoldRequest, s grpc.ServerStreamingServer[peerspb.HoldReply]) error {
	if r.link.o.Leases == nil || m.GetName() == "" || len(m.GetName()) > maxName {
		return status.Errorf(codes.InvalidArgument, "this node has no leases, or the name %.40q is none", m.GetName())
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	defer context.AfterFunc(r.link.life, cancel)()
	err := r.link.o.Leases.Hold(ctx, m.GetName(), m.GetSession(), func(h Held) error { return s.Send(heldToProto(h)) })
	return status.Error(codes.Unavailable, err.Error())
}

// Held tells what the node has of a lease now.
func (r *receiver) Held(_ context.Context, m *peerspb.HoldRequest) (*peerspb.HoldReply, error) {
	if r.link.o.Leases == nil {
		return nil, status.Error(codes.Unimplemented, "this node has no leases")
	}
	return heldToProto(r.link.o.Leases.Held(m.GetName(), m.GetSession())), nil
}

// Operator is an operator's process's connection to a node.
type Operator struct {
	conn    *grpc.ClientConn
	to      peerspb.PeersClient
	addr    string
	session uint64
}

// Dial makes a connection to the node at an address, which is opened by the first call. Close has to be called in the end.
func Dial(addr string) (*Operator, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, fmt.Errorf("peers: %s: %w", addr, err)
	}
	return &Operator{conn, peerspb.NewPeersClient(conn), addr, rand.Uint64()}, nil
}

// Close closes the connection. What it holds is given back.
func (o *Operator) Close() error { return o.conn.Close() }

// Command has the node ask the voters. On an error the command may have been carried out, or may still be.
func (o *Operator) Command(ctx context.Context, c lease.Command) (lease.Result, error) {
	got, err := o.to.Command(ctx, CommandToProto(&c))
	if err != nil {
		return lease.Result{}, fmt.Errorf("peers: %s: %w", o.addr, err)
	}
	var in reading
	m := in.lease(&peerspb.Lease{Answers: []*peerspb.LeaseResult{got}})
	if in.err != nil {
		return lease.Result{}, in.err
	}
	return m.Answers[0].Result, nil
}

// Hold has the node hold a lease until ctx ends or the stream breaks, and calls woken at each change; Held tells what it is.
func (o *Operator) Hold(ctx context.Context, name string, woken func(Held)) error {
	s, err := o.to.Hold(ctx, &peerspb.HoldRequest{Name: name, Session: o.session})
	for err == nil {
		var m *peerspb.HoldReply
		if m, err = s.Recv(); err == nil {
			woken(held(m))
		}
	}
	return fmt.Errorf("peers: %s: %w", o.addr, err)
}

func held(m *peerspb.HoldReply) Held {
	return Held{Token: m.GetToken(), Left: min(time.Duration(min(m.GetLeftUs(), 1<<50))*time.Microsecond, maxSpan), Holder: m.GetHolder()}
}

// Held tells what the node has of a lease, and until when by this process's clock: counted from before it was asked.
func (o *Operator) Held(ctx context.Context, name string) (Held, time.Time, error) {
	asked := time.Now()
	m, err := o.to.Held(ctx, &peerspb.HoldRequest{Name: name, Session: o.session})
	if err != nil {
		return Held{}, time.Time{}, fmt.Errorf("peers: %s: %w", o.addr, err)
	}
	h := held(m)
	return h, asked.Add(h.Left), nil
}
