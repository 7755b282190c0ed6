package as2

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"mime"
	"strings"
)

// Limits bound what is read.
type Limits struct {
	Body    int // bytes of a message, and of what it decompresses to
	Header  int // bytes of one entity's header
	Fields  int // number of its fields
	Parts   int // of one multipart
	Nesting int // entities within entities
}

// DefaultLimits are enough for a message of 1 MiB.
func DefaultLimits() Limits {
	return Limits{Body: 1 << 20, Header: 16 << 10, Fields: 100, Parts: 8, Nesting: 8}
}

// Errors of what is read.
var (
	ErrTooLarge = errors.New("it is larger than is read")
	ErrSyntax   = errors.New("it is not well formed")
)

// Field is one of a header.
type Field struct{ Name, Value string }

// Fields are those of a header as net/http has it.
func Fields(header map[string][]string) []Field {
	all := make([]Field, 0, len(header))
	for name, values := range header {
		for _, v := range values {
			all = append(all, Field{name, v})
		}
	}
	return all
}

// Put sets the fields in a header as net/http has it.
func Put(header map[string][]string, fields []Field) {
	for _, f := range fields {
		header[f.Name] = []string{f.Value}
	}
}

// Entity is a MIME entity (RFC 2045): a header, and a body as its Content-Transfer-Encoding has it.
type Entity struct {
	Header []Field
	Body   []byte
	raw    []byte // all of it as it was read, for what is signed over it
}

// Get returns the first field of that name, or nothing.
func (e *Entity) Get(name string) string {
	for _, f := range e.Header {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Bytes is the entity in canonical form: lines of the header end in CRLF, and the body stands as it is.
func (e *Entity) Bytes() []byte {
	if e.raw != nil {
		return e.raw
	}
	var b bytes.Buffer
	for _, f := range e.Header {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(e.Body)
	return b.Bytes()
}

// mediaType is the entity's, in lower case, with its parameters.
func (e *Entity) mediaType() (string, map[string]string, error) {
	text := e.Get("Content-Type")
	if text == "" {
		return "text/plain", nil, nil // RFC 2045, 5.2
	}
	kind, params, err := mime.ParseMediaType(text)
	if err != nil {
		return "", nil, fmt.Errorf("Content-Type %q: %w", short(text), ErrSyntax)
	}
	return kind, params, nil
}

func short(text string) string {
	if len(text) > 80 {
		return text[:77] + "..."
	}
	return text
}

// ReadEntity reads an entity from its bytes: its header, an empty line and its body. Lines may end in CRLF or in LF.
func ReadEntity(raw []byte, l Limits) (*Entity, error) {
	if len(raw) > l.Body {
		return nil, fmt.Errorf("an entity of %d bytes: %w", len(raw), ErrTooLarge)
	}
	e := &Entity{raw: raw}
	rest, used := raw, 0
	for {
		line, after, ok := bytes.Cut(rest, []byte("\n"))
		if !ok && len(rest) == 0 && len(e.Header) > 0 {
			return e, nil // an empty body, whose line end belongs to a boundary
		}
		if !ok {
			return nil, fmt.Errorf("an entity without an end of its header: %w", ErrSyntax)
		}
		if used += len(line) + 1; used > l.Header {
			return nil, fmt.Errorf("a header of more than %d bytes: %w", l.Header, ErrTooLarge)
		}
		rest = after
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			e.Body = rest
			return e, nil
		}
		if line[0] == ' ' || line[0] == '\t' { // folded, RFC 5322, 2.2.3
			if len(e.Header) == 0 {
				return nil, fmt.Errorf("a header that begins with a folded line: %w", ErrSyntax)
			}
			f := &e.Header[len(e.Header)-1]
			f.Value = strings.TrimSpace(f.Value + " " + string(bytes.TrimSpace(line)))
			continue
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return nil, fmt.Errorf("a header's line %q: %w", short(string(line)), ErrSyntax)
		}
		if len(e.Header) >= l.Fields {
			return nil, fmt.Errorf("a header of more than %d fields: %w", l.Fields, ErrTooLarge)
		}
		e.Header = append(e.Header, Field{name, strings.TrimSpace(value)})
	}
}

// decoded is the body without its Content-Transfer-Encoding (RFC 2045, 6).
func (e *Entity) decoded() ([]byte, error) {
	switch coding := strings.ToLower(e.Get("Content-Transfer-Encoding")); coding {
	case "", "7bit", "8bit", "binary":
		return e.Body, nil
	case "base64":
		clean := make([]byte, 0, len(e.Body))
		for _, c := range e.Body {
			if c != '\r' && c != '\n' && c != ' ' && c != '\t' {
				clean = append(clean, c)
			}
		}
		out := make([]byte, base64.StdEncoding.DecodedLen(len(clean)))
		n, err := base64.StdEncoding.Decode(out, clean)
		if err != nil {
			return nil, fmt.Errorf("base64: %w", ErrSyntax)
		}
		return out[:n], nil
	default:
		return nil, fmt.Errorf("Content-Transfer-Encoding %q is not known: %w", short(coding), ErrSyntax)
	}
}

// splitMultipart returns a multipart's parts with the very bytes between the boundaries (RFC 2046, 5.1.1): the line end
// before a boundary belongs to the boundary.
func splitMultipart(body []byte, boundary string, l Limits) ([][]byte, error) {
	if boundary == "" || len(boundary) > 70 {
		return nil, fmt.Errorf("a multipart without a boundary, or with one of more than 70 characters: %w", ErrSyntax)
	}
	mark := []byte("--" + boundary)
	var parts [][]byte
	start := -1 // of the part that is being read
	for at := 0; at <= len(body); {
		end := bytes.IndexByte(body[at:], '\n')
		next := len(body) + 1
		line := body[at:]
		if end >= 0 {
			line, next = body[at:at+end], at+end+1
		}
		if bytes.HasPrefix(line, mark) {
			tail := bytes.TrimRight(line[len(mark):], " \t\r")
			last := bytes.Equal(tail, []byte("--"))
			if last || len(tail) == 0 {
				if start >= 0 {
					stop := max(at-1, start) // without the line end before the boundary
					if stop > start && body[stop-1] == '\r' {
						stop--
					}
					parts = append(parts, body[start:stop])
				}
				if last {
					return parts, nil
				}
				if len(parts) >= l.Parts {
					return nil, fmt.Errorf("a multipart of more than %d parts: %w", l.Parts, ErrTooLarge)
				}
				start = min(next, len(body))
			}
		}
		at = next
	}
	return nil, fmt.Errorf("a multipart without its last boundary: %w", ErrSyntax)
}

// canonical ends each line in CRLF.
func canonical(text []byte) []byte {
	out := make([]byte, 0, len(text)+len(text)/32)
	for i, c := range text {
		if c == '\n' && (i == 0 || text[i-1] != '\r') {
			out = append(out, '\r')
		}
		out = append(out, c)
	}
	return out
}

func newBoundary() string {
	var b [18]byte
	rand.Read(b[:])
	return "as2-" + hex.EncodeToString(b[:])
}

// multipart writes parts as a multipart's body.
func multipart(boundary string, parts ...[]byte) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		b.WriteString("--" + boundary + "\r\n")
		b.Write(p)
		b.WriteString("\r\n")
	}
	b.WriteString("--" + boundary + "--\r\n")
	return b.Bytes()
}
