package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The reader below is our own: redcon v1.6.4 indexes out of its buffer on a bulk length near the largest
// integer, loops over whatever array count it is told, and buffers requests without bound.

const lineEnd = "\r\n"

// errProtocol ends a connection: where its next request begins can't be told.
var errProtocol = errors.New("Protocol error")

// errBulkLength is of a bulk string that is not followed by the end of its line.
var errBulkLength = fmt.Errorf("%w: a bulk string of another length than told", errProtocol)

// errTooLarge is a request that was read to its end and can't be taken.
var errTooLarge = errors.New("a body holds 65536 bytes at most")

// errCrowded is a request that was read to its end, and for whose body there was no memory. Its words come with it, the body empty.
var errCrowded = errors.New("no memory for the body")

// readCommand reads an array of bulk strings or an inline command, within bounds, and a body into the room that there is for it. Empty commands
// are passed over.
func readCommand(r *bufio.Reader, room *bodyRoom) ([][]byte, error) {
	for range maxEmpty {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		var args [][]byte
		if len(line) > 0 && line[0] == '*' {
			args, err = readArray(r, line[1:], room)
		} else {
			args = bytes.Fields(bytes.Clone(line))
		}
		if err != nil {
			return args, err
		}
		if len(args) > 0 {
			return args, nil
		}
	}
	return nil, fmt.Errorf("%w: nothing but empty commands", errProtocol)
}

func readArray(r *bufio.Reader, length []byte, room *bodyRoom) ([][]byte, error) {
	count, err := number(string(length))
	if err != nil || count > maxArgs {
		return nil, fmt.Errorf("%w: invalid multibulk length", errProtocol)
	}
	args := make([][]byte, 0, count)
	skipped, crowded := 0, false
	for i := range count {
		line, err := readLine(r)
		if err != nil {
			return nil, unexpected(err)
		}
		if len(line) == 0 || line[0] != '$' {
			return nil, fmt.Errorf("%w: expected '$'", errProtocol)
		}
		size, err := number(string(line[1:]))
		if err != nil {
			return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
		}
		most := maxWord
		if i == bodyArg {
			most = maxBody
		}
		if size > most {
			if skipped += size; skipped > maxSkipped {
				return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
			}
			if _, err := r.Discard(size); err != nil {
				return nil, unexpected(err)
			}
			size = 0
		}
		arg, err := readBulk(r, size, room)
		if errors.Is(err, errCrowded) {
			crowded = true
		} else if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	switch {
	case skipped > 0:
		return nil, errTooLarge
	case crowded:
		return args, errCrowded
	}
	return args, nil
}

// readBulk reads a bulk string and the end of its line. Room is made as the bytes come, not as they are announced. Where there is none, the string is
// written to room.unkept, and the error is errCrowded.
func readBulk(r *bufio.Reader, size int, room *bodyRoom) ([]byte, error) {
	whole := size + len(lineEnd)
	first := min(whole, r.Size())
	if whole > first && !room.grow(first) {
		return nil, passRest(r, size, "", room.pass())
	}
	arg := make([]byte, first)
	if _, err := io.ReadFull(r, arg); err != nil {
		return nil, unexpected(err)
	}
	for have := len(arg); have < whole; have = len(arg) {
		more := min(have, whole-have)
		if !room.grow(have + more) {
			to, body := room.pass(), arg[:min(have, size)]
			if _, err := to.Write(body); err != nil {
				return nil, err
			}
			end := string(arg[len(body):]) // a copy, so that what was read is not held until the rest has come
			return nil, passRest(r, size-len(body), end, to)
		}
		arg = append(arg, make([]byte, more)...)
		if _, err := io.ReadFull(r, arg[have:]); err != nil {
			return nil, unexpected(err)
		}
	}
	if string(arg[size:]) != lineEnd {
		return nil, errBulkLength
	}
	return arg[:size:size], nil
}

// passRest writes what is left of a bulk string to another place, and reads past the end of its line, of which a part may have been read. Its error
// is never nil.
func passRest(r *bufio.Reader, left int, end string, to io.Writer) error {
	for left > 0 { // from the reader's own buffer: io.Copy would take another one for each client
		if _, err := r.Peek(1); err != nil {
			return unexpected(err)
		}
		part, err := r.Peek(min(left, r.Buffered()))
		if err == nil {
			_, err = to.Write(part)
		}
		if err != nil {
			return err
		}
		left -= len(part)
		r.Discard(len(part)) // what is buffered can be discarded
	}
	rest := make([]byte, len(lineEnd)-len(end))
	if _, err := io.ReadFull(r, rest); err != nil {
		return unexpected(err)
	}
	if end+string(rest) != lineEnd {
		return errBulkLength
	}
	return errCrowded
}

// number reads a whole number as the protocol writes it: digits alone.
func number(text string) (int, error) {
	if len(text) > 9 {
		return 0, errors.New("the number is too long")
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, errors.New("the number has other characters than digits")
		}
	}
	return strconv.Atoi(text)
}

// unexpected keeps an end inside a request apart from one between requests.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine reads a line and returns it without its end. It is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLine) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpected(err)
		}
		return nil, err
	}
	return bytes.TrimRight(line, lineEnd), nil
}
