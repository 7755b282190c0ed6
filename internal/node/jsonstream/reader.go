// Package jsonstream splits a stream of bytes into the JSON objects in it and the empty lines between them. Objects may stand in any form
// that JSON allows: on a line of their own, on several lines, or right behind each other.
package jsonstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

var (
	// ErrNotAnObject says that something else than an object stands in the stream.
	ErrNotAnObject = errors.New("jsonstream: not an object")
	// ErrSyntax says that an object can't be continued to a valid one.
	ErrSyntax = errors.New("jsonstream: invalid JSON")
	// ErrTooLong says that an object, or the white space between two, is longer than the reader takes.
	ErrTooLong = errors.New("jsonstream: too long")
)

// Event is what Next has come upon.
type Event int

const (
	// EmptyLine is a line between objects that holds nothing but white space.
	EmptyLine Event = iota
	// Begun is the first byte of an object; the next event is its end, or an error.
	Begun
	// Object is the last byte of an object, which Bytes returns.
	Object
)

const readSize = 16 << 10 // bytes

// Reader reads a stream of objects. It is used by one goroutine at a time.
type Reader struct {
	in        *bufio.Reader
	maxBytes  int
	object    []byte
	syntax    syntax
	inObject  bool
	blank     int  // bytes of white space since the last event
	afterLine bool // an object ended on this line: its line end is not an empty line
}

// NewReader returns a reader of in that takes objects of up to maxBytes.
func NewReader(in io.Reader, maxBytes int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readSize), maxBytes: maxBytes}
}

// Bytes returns the object that Next has read last. They are valid until the next call of Next.
func (r *Reader) Bytes() []byte { return r.object }

// Next reads up to the next event. At the end of the stream the error is io.EOF, and io.ErrUnexpectedEOF within an object. Only the form of
// an object is checked: strings, numbers and names may still be invalid.
func (r *Reader) Next() (Event, error) {
	if r.inObject {
		return r.finish()
	}
	for {
		c, err := r.in.ReadByte()
		switch {
		case err != nil:
			return 0, err
		case c == '{':
			r.begin()
			return Begun, nil
		case !isSpace(c):
			return 0, fmt.Errorf("%w, but %q", ErrNotAnObject, c)
		case c == '\n' && !r.afterLine:
			r.blank = 0
			return EmptyLine, nil
		case c == '\n':
			r.afterLine = false
		}
		if r.blank++; r.blank > r.maxBytes {
			return 0, fmt.Errorf("%w: white space of over %d bytes", ErrTooLong, r.maxBytes)
		}
	}
}

// begin notes the first byte of an object.
func (r *Reader) begin() {
	r.object = append(r.object[:0], '{')
	r.syntax = newSyntax(r.syntax.open)
	r.inObject, r.afterLine, r.blank = true, true, 0
}

// finish reads the rest of an object.
func (r *Reader) finish() (Event, error) {
	for {
		c, err := r.in.ReadByte()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if len(r.object) >= r.maxBytes {
			return 0, fmt.Errorf("%w: an object of over %d bytes", ErrTooLong, r.maxBytes)
		}
		r.object = append(r.object, c)
		if !r.syntax.next(c) {
			return 0, fmt.Errorf("%w: %q at byte %d of an object", ErrSyntax, c, len(r.object))
		}
		if r.syntax.isOver() {
			r.inObject = false
			return Object, nil
		}
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }
