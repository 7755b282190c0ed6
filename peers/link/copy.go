package link

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"starlingusher/peers/copies"
	"starlingusher/peers/link/peerspb"
)

const (
	framePart = 128 << 10 // bytes of records in a message
	maxFrame  = 64 << 20  // and in a frame
)

// Holder is a node's side of streams that it holds for others. Its methods may be called by many goroutines at a time.
type Holder interface {
	// Take judges and keeps a frame. One without records only tells that the owner is there.
	Take(copies.Frame) (copies.Shelf, copies.Verdict)
	// Fence has no frame of a smaller epoch be taken, and returns what is held. With epoch 0 it returns the shelf alone.
	Fence(stream string, epoch uint64) (copies.Shelf, []byte, error)
	// Drain has the node leave for good, and tells how far it is.
	Drain(context.Context) (Drained, error)
}

// Drained is how far a node is with leaving.
type Drained struct {
	Open  int      // messages that it still owes something
	Holds []string // streams whose owners still count on it
	Done  bool     // it may be switched off, with its disk
}

// Drain has the node leave for good.
func (r *receiver) Drain(ctx context.Context, _ *peerspb.DrainRequest) (*peerspb.DrainReply, error) {
	if r.link.o.Holder == nil {
		return nil, status.Error(codes.Unimplemented, "this node has no copies")
	}
	d, err := r.link.o.Holder.Drain(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerspb.DrainReply{Open: uint64(d.Open), Holds: d.Holds, Done: d.Done}, nil
}

// Drain has the node leave for good, and tells how far it is.
func (o *Operator) Drain(ctx context.Context) (Drained, error) {
	m, err := o.to.Drain(ctx, &peerspb.DrainRequest{})
	if err != nil {
		return Drained{}, fmt.Errorf("peers: %s: %w", o.addr, err)
	}
	return Drained{int(min(m.GetOpen(), 1<<31)), m.GetHolds(), m.GetDone()}, nil
}

func chainOf(r *reading, mark uint64, digest []byte) copies.Chain {
	c := copies.Chain{Mark: mark}
	if len(digest) != sha256.Size && len(digest) != 0 {
		r.fail("the length of a digest", len(digest))
	}
	copy(c.Digest[:], digest)
	return c
}

// Copy takes frames until the stream ends.
func (r *receiver) Copy(s grpc.BidiStreamingServer[peerspb.CopyFrame, peerspb.CopyAnswer]) error {
	if r.link.o.Holder == nil {
		return status.Error(codes.Unimplemented, "this node holds no copies")
	}
	var f copies.Frame
	for {
		m, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var in reading
		if len(f.Records) == 0 {
			f = copies.Frame{Stream: in.text("a stream", m.GetStream()), Epoch: m.GetEpoch(), Before: chainOf(&in, m.GetMark(), m.GetDigest()), Whole: m.GetWhole()}
		}
		if len(f.Records)+len(m.GetRecords()) > maxFrame {
			in.fail("the length of a frame", len(f.Records)+len(m.GetRecords()))
		}
		if in.err != nil || f.Stream == "" {
			return status.Errorf(codes.InvalidArgument, "a frame: %v", in.err)
		}
		f.Records = append(f.Records, m.GetRecords()...)
		if m.GetMore() {
			continue
		}
		at, v := r.link.o.Holder.Take(f)
		f = copies.Frame{}
		if err := s.Send(&peerspb.CopyAnswer{Verdict: uint32(v), Mark: at.At.Mark, Digest: at.At.Digest[:], Epoch: at.Epoch, Fence: at.Fence}); err != nil {
			return err
		}
	}
}

// Fence gives what is held.
func (r *receiver) Fence(m *peerspb.FenceRequest, s grpc.ServerStreamingServer[peerspb.FencePart]) error {
	if r.link.o.Holder == nil {
		return status.Error(codes.Unimplemented, "this node holds no copies")
	}
	at, records, err := r.link.o.Holder.Fence(m.GetStream(), m.GetEpoch())
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	part := &peerspb.FencePart{Mark: at.At.Mark, Digest: at.At.Digest[:], Epoch: at.Epoch, Fence: at.Fence}
	for {
		n := min(len(records), framePart)
		part.Records, records = records[:n], records[n:]
		if err := s.Send(part); err != nil {
			return err
		}
		if part = (&peerspb.FencePart{}); len(records) == 0 {
			return nil
		}
	}
}

// CopyWay is an owner's way to a holder of one stream.
type CopyWay struct {
	conn *grpc.ClientConn
	s    grpc.BidiStreamingClient[peerspb.CopyFrame, peerspb.CopyAnswer]
}

// OpenCopy opens a way to the node at an address. It ends with ctx; Close has to be called in the end.
func OpenCopy(ctx context.Context, addr string) (*CopyWay, error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, fmt.Errorf("copies: %s: %w", addr, err)
	}
	s, err := peerspb.NewPeersClient(conn).Copy(ctx)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("copies: %s: %w", addr, err), conn.Close())
	}
	return &CopyWay{conn, s}, nil
}

// Close ends the way.
func (w *CopyWay) Close() error { return w.conn.Close() }

// Send sends a frame; one goroutine at a time may.
func (w *CopyWay) Send(f *copies.Frame) error {
	for first := true; first || len(f.Records) > 0; first = false {
		n := min(len(f.Records), framePart)
		m := &peerspb.CopyFrame{Records: f.Records[:n], More: n < len(f.Records)}
		if first {
			m.Stream, m.Epoch, m.Mark, m.Digest, m.Whole = f.Stream, f.Epoch, f.Before.Mark, f.Before.Digest[:], f.Whole
			rest := *f
			f = &rest
		}
		f.Records = f.Records[n:]
		if err := w.s.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// Answer waits for what the holder says of the next frame; one goroutine at a time may.
func (w *CopyWay) Answer() (copies.Shelf, copies.Verdict, error) {
	m, err := w.s.Recv()
	if err != nil {
		return copies.Shelf{}, 0, err
	}
	var in reading
	at := copies.Shelf{At: chainOf(&in, m.GetMark(), m.GetDigest()), Epoch: m.GetEpoch(), Fence: m.GetFence()}
	v := copies.Verdict(in.within("a verdict", uint64(m.GetVerdict()), uint64(copies.Full)))
	return at, v, in.err
}

// Fence fences the holder at an address, and reads what it has.
func Fence(ctx context.Context, addr, stream string, epoch uint64) (copies.Shelf, []byte, error) {
	conn, err := dial(addr)
	if err != nil {
		return copies.Shelf{}, nil, fmt.Errorf("copies: %s: %w", addr, err)
	}
	defer conn.Close()
	s, err := peerspb.NewPeersClient(conn).Fence(ctx, &peerspb.FenceRequest{Stream: stream, Epoch: epoch})
	var at copies.Shelf
	var records []byte
	for first := true; err == nil; first = false {
		var m *peerspb.FencePart
		if m, err = s.Recv(); err != nil {
			break
		}
		if first {
			var in reading
			at = copies.Shelf{At: chainOf(&in, m.GetMark(), m.GetDigest()), Epoch: m.GetEpoch(), Fence: m.GetFence()}
			if in.err != nil {
				return copies.Shelf{}, nil, in.err
			}
		}
		if records = append(records, m.GetRecords()...); len(records) > maxFrame {
			return copies.Shelf{}, nil, fmt.Errorf("%w: a stream of over %d bytes", ErrBadPacket, maxFrame)
		}
	}
	if !errors.Is(err, io.EOF) {
		return copies.Shelf{}, nil, fmt.Errorf("copies: %s: %w", addr, err)
	}
	return at, records, nil
}
