package grpcpartner

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"starlingusher/internal/standin"
)

// Frame is what a Bare partner does with a stream whose message has come.
type Frame uint8

// The frames.
const (
	Answer       Frame = iota // an empty message, and OK
	RefuseStream              // RST_STREAM with REFUSED_STREAM (RFC 9113, section 8.7)
	CancelStream              // RST_STREAM with CANCEL, which proves nothing
	GoAway                    // GOAWAY that leaves the stream out (section 6.8), and the end of the connection
	GoAwayAfter               // GOAWAY that counts the stream in, and the end of the connection without an answer
)

// Bare speaks HTTP/2 frame by frame, so that it can do what a server library would not.
type Bare struct {
	*standin.Ledger
	ln      net.Listener
	script  func(stream int) Frame
	mu      sync.Mutex
	streams int
	open    map[net.Conn]bool
	mute    map[int]bool
	serving sync.WaitGroup
}

// Mute has the n-th connection (from 1) accepted and never spoken to. It is called before that comes.
func (b *Bare) Mute(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mute[n] = true
}

// NewBare starts one. The script is asked for each stream, counted from 0 over all connections.
func NewBare(script func(stream int) Frame) (*Bare, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	b := &Bare{Ledger: standin.NewLedger(), ln: ln, script: script, open: map[net.Conn]bool{}, mute: map[int]bool{}}
	b.serving.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.open[nc] = true
			b.mu.Unlock()
			number := b.Connected()
			b.serving.Go(func() {
				defer nc.Close()
				b.mu.Lock()
				mute := b.mute[number]
				b.mu.Unlock()
				if mute {
					io.Copy(io.Discard, nc)
					return
				}
				b.converse(nc, number)
			})
		}
	})
	return b, nil
}

// Addr is where it is called.
func (b *Bare) Addr() string { return b.ln.Addr().String() }

// Close ends it with all its connections.
func (b *Bare) Close() {
	b.ln.Close()
	b.mu.Lock()
	for nc := range b.open {
		nc.Close()
	}
	b.mu.Unlock()
	b.serving.Wait()
}

func (b *Bare) converse(nc net.Conn, number int) {
	preface := make([]byte, len(http2.ClientPreface))
	for have := 0; have < len(preface); {
		n, err := nc.Read(preface[have:])
		if err != nil {
			return
		}
		have += n
	}
	fr := http2.NewFramer(nc, nc)
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if fr.WriteSettings() != nil {
		return
	}
	calls := map[uint32]standin.Call{}
	for {
		f, err := fr.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				err = fr.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				err = fr.WritePing(true, f.Data)
			}
		case *http2.MetaHeadersFrame:
			c := standin.Call{Conn: number}
			for _, h := range f.Fields {
				switch h.Name {
				case ":path":
					c.Method = h.Value
				case "x-trace-id":
					c.ID = h.Value
				case "idempotency-key":
					c.Key = h.Value
				}
			}
			calls[f.StreamID] = c
		case *http2.DataFrame:
			if !f.StreamEnded() {
				continue
			}
			c := calls[f.StreamID]
			c.At = time.Now()
			b.mu.Lock()
			do := b.script(b.streams)
			b.streams++
			b.mu.Unlock()
			runs := standin.None
			if do == RefuseStream || do == GoAway {
				runs = standin.Full
			}
			b.Note(c, runs)
			switch do {
			case Answer:
				err = reply(fr, f.StreamID)
			case RefuseStream:
				err = fr.WriteRSTStream(f.StreamID, http2.ErrCodeRefusedStream)
			case CancelStream:
				err = fr.WriteRSTStream(f.StreamID, http2.ErrCodeCancel)
			case GoAway:
				fr.WriteGoAway(f.StreamID-1, http2.ErrCodeNo, nil)
				return
			case GoAwayAfter:
				fr.WriteGoAway(f.StreamID, http2.ErrCodeNo, nil)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reply answers a stream with an empty message and the status OK.
func reply(fr *http2.Framer, stream uint32) error {
	var block headerBlock
	enc := hpack.NewEncoder(&block)
	enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
	enc.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc+proto"})
	if err := fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block, EndHeaders: true}); err != nil {
		return err
	}
	if err := fr.WriteData(stream, false, make([]byte, 5)); err != nil {
		return err
	}
	block = nil
	enc.WriteField(hpack.HeaderField{Name: "grpc-status", Value: "0"})
	return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block, EndHeaders: true, EndStream: true})
}

type headerBlock []byte

func (b *headerBlock) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
