package jsonstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// objectsOf reads all objects of a stream.
func objectsOf(in io.Reader, most int) (all [][]byte, err error) {
	r := NewReader(in, most)
	for {
		event, err := r.Next()
		if err != nil {
			return all, err
		}
		if event == Object {
			all = append(all, bytes.Clone(r.Bytes()))
		}
	}
}

// FuzzReader holds the reader against the standard library's: it finds the same objects, however the bytes come, and ends no later.
func FuzzReader(f *testing.F) {
	for _, text := range []string{
		`{}`, "{\"a\":[1,2.5e-3,true,null,{\"b\":\"\\\"}\"}]}\n\n{ }", `{"a":1}{"b":2}`, `{"a"`, `[]`, "{\"a\":1\n{\"b\":2}", `{"a":[}]`, `{,}`, `{"a":1,}`, "\xff", "{\"\x00\":1}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		const most = 1 << 20
		got, gotErr := objectsOf(bytes.NewReader(text), most)
		pieces, piecesErr := objectsOf(iotest.OneByteReader(bytes.NewReader(text)), most)
		if len(got) != len(pieces) || gotErr.Error() != piecesErr.Error() {
			t.Fatalf("%d objects and %v, in pieces %d and %v", len(got), gotErr, len(pieces), piecesErr)
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		for i := 0; ; i++ {
			var want json.RawMessage
			err := decoder.Decode(&want)
			if err == nil && want[0] != '{' {
				if i != len(got) || !errors.Is(gotErr, ErrNotAnObject) {
					t.Fatalf("value %d is %q; %d objects and %v", i, want, len(got), gotErr)
				}
				return
			}
			if err != nil {
				if len(got) > i && json.Valid(got[i]) {
					t.Fatalf("object %d is %q, the decoder says %v", i, got[i], err)
				}
				return
			}
			if i >= len(got) || !bytes.Equal(got[i], want) {
				t.Fatalf("object %d is %q; read are %q", i, want, got)
			}
		}
	})
}

// A line between objects counts as empty, the end of an object's line does not.
func TestEmptyLines(t *testing.T) {
	r := NewReader(bytes.NewReader([]byte("\n {\n\n\"a\":1}  \r\n \n{}\n{}{}\n\n")), 100)
	want := []Event{EmptyLine, Begun, Object, EmptyLine, Begun, Object, Begun, Object, Begun, Object, EmptyLine}
	for i, event := range want {
		if got, err := r.Next(); err != nil || got != event {
			t.Errorf("event %d is %d with %v, want %d", i, got, err, event)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

// Objects and white space have a bound.
func TestBounds(t *testing.T) {
	if all, err := objectsOf(bytes.NewReader([]byte(`{"a":12345}{"a":123456}`)), 11); len(all) != 1 || !errors.Is(err, ErrTooLong) {
		t.Errorf("%d objects and %v", len(all), err)
	}
	if _, err := objectsOf(bytes.NewReader(bytes.Repeat([]byte{' '}, 12)), 11); !errors.Is(err, ErrTooLong) {
		t.Errorf("white space: %v", err)
	}
}
