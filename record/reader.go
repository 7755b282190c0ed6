package record

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	maxChunk  = 8 << 20  // compressed; a step that takes a whole list of 100,000 endpoints fits
	maxMemory = 64 << 20 // of the decompression
)

// Damage says where a segment ends before its end. What stood before it was read.
type Damage struct {
	File   string
	Offset int64 // of the chunk that can't be read, in bytes from the beginning of the file
	Err    error
}

func (d *Damage) Error() string {
	return fmt.Sprintf("%s: at byte %d: %v", d.File, d.Offset, d.Err)
}

func (d *Damage) Unwrap() error { return d.Err }

// Errors of a reader.
var (
	ErrFormat = errors.New("not a segment of a recording")
	ErrSchema = errors.New("the recording is of another format than this build's")
	ErrCut    = errors.New("the chunk is cut short")
	ErrSum    = errors.New("the chunk's checksum does not fit")
)

// Life is what is left of one life of a node: its segments in order.
type Life struct {
	Node  string
	Began int64 // Unix time in nanoseconds
	Files []string
	Whole bool // the first segment is there, and none is missing in between: it can be played again
}

// Lives lists what a folder holds, oldest first. A path of one segment gives that alone.
func Lives(path string) ([]Life, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	if !info.IsDir() {
		s, _ := parseName(info.Name())
		return []Life{{s.node, s.life, []string{path}, s.number == 1}}, nil
	}
	all, err := segmentsOf(path)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	slices.SortFunc(all, func(a, b segment) int {
		return cmp.Or(cmp.Compare(a.life, b.life), cmp.Compare(a.node, b.node), cmp.Compare(a.number, b.number))
	})
	var lives []Life
	for _, s := range all {
		last := len(lives) - 1
		if last < 0 || lives[last].Began != s.life || lives[last].Node != s.node {
			lives = append(lives, Life{Node: s.node, Began: s.life, Whole: true})
			last++
		}
		l := &lives[last]
		l.Files = append(l.Files, s.path)
		l.Whole = l.Whole && s.number == len(l.Files)
	}
	return lives, nil
}

// Read hands on the header of each segment of a life and each record, in order. It ends early with the error of take.
// Damage in a segment ends that segment; all of it is returned, joined, when the rest has been read.
func (l Life) Read(head func(Header) error, take func(Record) error) error {
	var damage []error
	for _, name := range l.Files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("recording: %w", err)
		}
		err = ReadSegment(name, f, head, take)
		f.Close()
		var d *Damage
		switch {
		case errors.As(err, &d):
			damage = append(damage, d)
		case err != nil:
			return err
		}
	}
	return errors.Join(damage...)
}

// ReadSegment reads one segment; name is for errors. See Life.Read.
func ReadSegment(name string, r io.Reader, head func(Header) error, take func(Record) error) error {
	_, dec, err := modes()
	if err != nil {
		return err
	}
	c := &chunks{r: bufio.NewReader(r)}
	first := make([]byte, len(magic))
	if n, err := io.ReadFull(c.r, first); err != nil || string(first) != magic {
		if string(first[:n]) == magic[:n] && n < len(magic) {
			return &Damage{name, 0, ErrCut}
		}
		return fmt.Errorf("%s: %w", name, ErrFormat)
	}
	c.offset = int64(len(magic))
	unzip, err := zstd.NewReader(c, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMemory), zstd.WithDecoderLowmem(true))
	if err != nil {
		return err
	}
	defer unzip.Close()
	items := dec.NewDecoder(unzip)
	var h Header
	switch err := items.Decode(&h); {
	case h.Schema != 0 && h.Schema != Schema:
		return fmt.Errorf("%s: it has schema %d, this build reads %d: %w", name, h.Schema, Schema, ErrSchema)
	case err != nil:
		return c.damage(name, err)
	case h.Schema == 0:
		return fmt.Errorf("%s: no header: %w", name, ErrFormat)
	}
	if err := head(h); err != nil {
		return err
	}
	for {
		var item Record
		if err := items.Decode(&item); err != nil {
			return c.damage(name, err)
		}
		if item == (Record{}) {
			return c.damage(name, ErrUnknownItem)
		}
		if err := take(item); err != nil {
			return err
		}
	}
}

// chunks is the stream that the chunks hold.
type chunks struct {
	r      *bufio.Reader
	offset int64 // of the chunk that is being read, or of the next
	size   int64 // of it with its head; 0 before it
	left   []byte
	err    error
}

// damage is what ended the reading: nothing at the end of the stream, or at the end of the file after a whole chunk, as a
// kill leaves it.
func (c *chunks) damage(name string, err error) error {
	var unknown *cbor.UnknownFieldError
	switch {
	case c.err != nil && c.err != io.EOF:
		return &Damage{name, c.offset, c.err}
	case errors.As(err, &unknown):
		return fmt.Errorf("%s: at byte %d: %w: %w", name, c.offset, ErrSchema, err)
	case c.err == io.EOF && len(c.left) == 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
		return nil
	}
	return &Damage{name, c.offset, err}
}

func (c *chunks) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if len(c.left) == 0 {
		if c.err == nil {
			c.err = c.next()
		}
		if c.err != nil {
			return 0, c.err
		}
	}
	n := copy(b, c.left)
	c.left = c.left[n:]
	return n, nil
}

func (c *chunks) next() error {
	c.offset += c.size
	c.size = 0
	var head [8]byte
	switch n, err := io.ReadFull(c.r, head[:]); {
	case err == io.EOF && n == 0:
		return io.EOF
	case err == io.ErrUnexpectedEOF:
		return ErrCut
	case err != nil:
		return err
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length == 0 || length > maxChunk {
		return fmt.Errorf("the chunk says that it has %d bytes; %d at most", length, maxChunk)
	}
	// What is said to come is read as it comes, or a few bytes could claim all memory.
	text, err := io.ReadAll(io.LimitReader(c.r, int64(length)))
	switch {
	case err != nil:
		return err
	case len(text) < int(length):
		return ErrCut
	case crc32.Checksum(text, castagnoli) != binary.LittleEndian.Uint32(head[4:]):
		return ErrSum
	}
	c.left, c.size = text, int64(len(head)+len(text))
	return nil
}
