package delivery

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Copies holds journals on further nodes. Its methods are called from the engine's one goroutine, and must not block. Where there is
// one, the engine does what a record guards only once the record is held: it says that a message is taken on, writes a call's first byte, tells an end.
type Copies interface {
	// Takes tells whether a message may be taken on now, or else after when it makes sense to come again.
	Takes() (after time.Duration, ok bool)
	// Append takes what was written to journals since the last call, in order, under a ticket that only grows. Urgent says that something waits for it.
	Append(ticket uint64, chunks []Chunk, urgent bool)
	// Until is when a journal stops being this node's to go on with, if nothing more is heard: no attempt of it is begun later.
	Until(stream string) time.Time
	// Watch tells how far all is held, until ctx ends.
	Watch(ctx context.Context, tell func(Covered))
}

// Chunk is a part of a journal's stream: records as they stand in its file, behind what the chain names. With Whole they are all
// that is live, and take the place of what came before.
type Chunk struct {
	Stream  string // the journal's folder
	Before  Chain
	After   Chain
	Records []byte
	Whole   bool
}

// Chain is a place in a journal's stream: how many bytes came before it, and a digest over them.
type Chain struct {
	Mark   uint64
	Digest [sha256.Size]byte
}

// Next is the place behind records.
func (c Chain) Next(records []byte) Chain {
	both := make([]byte, 0, 512) // on the stack, but for long records
	both = append(append(both, c.Digest[:]...), records...)
	return Chain{Mark: c.Mark + uint64(len(records)), Digest: sha256.Sum256(both)}
}

// Anew is the place behind records that take the place of all before.
func (c Chain) Anew(records []byte) Chain {
	return Chain{Mark: c.Mark + 1, Digest: sha256.Sum256(records)}
}

// Covered says that what went out up to a ticket is held, or can't be in time.
type Covered struct {
	Ticket uint64
	// Short says that it is not held: what can be taken back is, and the rest is done all the same.
	Short bool
}

// follow keeps the chain at a record that is replayed.
func (j *journal) follow(payload []byte) {
	if payload[0] != recChain {
		j.chain = j.chain.Next(appendRecord(nil, payload))
		return
	}
	f := &fields{b: payload[1:]}
	f.number()
	mark, digest := f.number(), f.bytes()
	if !f.bad && len(digest) == sha256.Size {
		j.chain.Mark = mark
		copy(j.chain.Digest[:], digest)
	}
}

// tell notes records that were written.
func (j *journal) tell(records []byte) {
	if !j.copied || len(records) == 0 {
		return
	}
	// A record at a time, as it is replayed.
	before := j.chain
	for rest := records; len(rest) > 0; {
		n := recordHead + int(binary.LittleEndian.Uint32(rest))
		j.chain = j.chain.Next(rest[:n])
		rest = rest[n:]
	}
	j.news = append(j.news, Chunk{Stream: j.dir, Before: before, After: j.chain, Records: append([]byte(nil), records...)})
}

// tellAll notes what a new file holds, and writes behind it how far the chain has come with it.
func (j *journal) tellAll(w *bufio.Writer, f io.ReaderAt, size *int64) error {
	if !j.copied {
		return nil
	}
	if err := w.Flush(); err != nil {
		return err
	}
	whole := make([]byte, *size)
	if _, err := f.ReadAt(whole, 0); err != nil {
		return err
	}
	before := j.chain
	j.chain = before.Anew(whole)
	j.news = append(j.news, Chunk{Stream: j.dir, Before: before, After: j.chain, Records: whole, Whole: true})
	r := binary.AppendUvarint(record(recChain, 0), j.chain.Mark)
	n, _ := w.Write(appendRecord(nil, appendBytes(r, j.chain.Digest[:]))) // the error stays with w
	*size += int64(n)
	return nil
}

// anew has all that is live told, for a node that has nothing of it yet.
func (j *journal) anew() error {
	if len(j.pending) > 0 {
		if err := j.flush(); err != nil {
			return err
		}
	}
	j.retryAt = time.Time{}
	return j.compact()
}

// Place tells how far the stream of a journal that nobody has open goes, for who has to know before it is opened.
func Place(dir string) (Chain, error) {
	f, err := os.Open(filepath.Join(dir, journalName))
	if errors.Is(err, os.ErrNotExist) {
		return Chain{}, nil
	}
	if err != nil {
		return Chain{}, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	j := &journal{}
	for r := bufio.NewReaderSize(f, 64<<10); ; {
		payload, err := readRecord(r)
		if errors.Is(err, errNoRecord) {
			return j.chain, nil
		}
		if err != nil {
			return Chain{}, fmt.Errorf("journal: %w", err)
		}
		j.follow(payload)
	}
}

// Restore writes a journal's file of records that another node held. The folder has none.
func Restore(dir string, at Chain, records []byte) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	r := appendBytes(binary.AppendUvarint(record(recChain, 0), at.Mark), at.Digest[:])
	_, err = f.Write(appendRecord(records[:len(records):len(records)], r))
	return errors.Join(err, f.Close())
}

// Whole tells whether bytes are whole records, as they stand in a journal.
func Whole(records []byte) bool {
	for r := (&sliceReader{records}); len(r.b) > 0; {
		if _, err := readRecord(r); err != nil {
			return false
		}
	}
	return true
}

type sliceReader struct{ b []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}
