package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"starlingusher/peers/link/peerspb"
)

// receiver takes the streams of others.
type receiver struct {
	peerspb.UnimplementedPeersServer
	link *Link
}

func sizeOf(m proto.Message) int { return proto.Size(m) }

// Talk takes a stream until it ends. A packet that can't be read ends it, with the reason for the sender.
func (r *receiver) Talk(s grpc.ClientStreamingServer[peerspb.Packet, peerspb.Done]) error {
	l := r.link
	var pace delay
	var life uint64 // whose clock it is
	for {
		m, err := s.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return s.SendAndClose(&peerspb.Done{})
		case err != nil:
			return err
		}
		p, err := fromProto(m)
		if err != nil {
			r.refuse(s, err)
			return status.Error(codes.InvalidArgument, err.Error())
		}
		size := uint64(sizeOf(m))
		if p.Life != life { // one stream may bring those of several lives, where something stands in between
			pace, life = delay{}, p.Life
		}
		if now := time.Since(l.begun); pace.late(now, p.Sent) {
			l.count(func(c *Counts) { c.Late, c.BytesIn = c.Late+1, c.BytesIn+size })
			continue
		}
		l.count(func(c *Counts) { c.Received, c.BytesIn = c.Received+1, c.BytesIn+size })
		if p.To != "" && p.To != l.o.Name {
			continue // this address was another's
		}
		select {
		case l.in <- p:
		case <-l.life.Done():
			return status.Error(codes.Unavailable, "the node leaves")
		}
	}
}

// refuse logs a packet that can't be read, once a minute for each address.
func (r *receiver) refuse(s grpc.ServerStream, err error) {
	l, from := r.link, "unknown"
	if p, ok := peer.FromContext(s.Context()); ok {
		from = p.Addr.String()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen.Bad++
	host := from
	if len(l.bad) > mostWays {
		clear(l.bad)
	}
	if at, ok := l.bad[host]; !ok || time.Since(at) > time.Minute {
		l.bad[host] = time.Now()
		l.o.Log.Warn("a peer's packet is not read", "from", from, "err", err)
	}
}

// delay tells packets that were under way for long. The clocks of both sides have nothing in common but, nearly, their rate: what
// came the fastest of late is the measure, and so a stream all of which is slow is not told. The zero value is of a stream of
// which nothing has come.
type delay struct {
	known  bool
	least  time.Duration // of received less sent
	before time.Duration // the least of the span before
	from   time.Duration // when this span began
}

func (d *delay) late(now, sent time.Duration) bool {
	diff := now - sent
	switch {
	case !d.known:
		d.known, d.least, d.before, d.from = true, diff, diff, now
	case now-d.from >= fastest:
		d.before, d.least, d.from = d.least, diff, now
	}
	d.least = min(d.least, diff)
	return diff-min(d.least, d.before) > Stale
}

// Look answers an operator.
func (r *receiver) Look(ctx context.Context, _ *peerspb.LookRequest) (*peerspb.LookReply, error) {
	if r.link.o.Look == nil {
		return nil, status.Error(codes.Unimplemented, "this node tells nothing")
	}
	text, err := r.link.o.Look(ctx)
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &peerspb.LookReply{Json: text}, nil
}

// Look asks the node at an address.
func Look(ctx context.Context, addr string) ([]byte, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, fmt.Errorf("peers: %s: %w", addr, err)
	}
	defer conn.Close()
	reply, err := peerspb.NewPeersClient(conn).Look(ctx, &peerspb.LookRequest{}, grpc.MaxCallRecvMsgSize(maxLook))
	if err != nil {
		return nil, fmt.Errorf("peers: %s: %w", addr, err)
	}
	return reply.Json, nil
}
