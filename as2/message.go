package as2

import (
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Partner is one side's view of the other, as far as messages need it.
type Partner struct {
	ID      string              // its AS2 name (RFC 4130, 6.2)
	Certs   []*x509.Certificate // that it signs with: the present one, and the next
	Encrypt *x509.Certificate   // that is encrypted for; nil for none
	Sign    bool                // messages are signed, and must be
	Cipher  Cipher
	Digest  Digest
	SHA1    bool // signatures and MICs with SHA-1 are taken from it
	// Compress says when messages are compressed.
	Compress Compression
}

// At is the partner with the certificates that are valid at a time: a signature by another one is not taken.
func (p Partner) At(now time.Time) Partner {
	var valid []*x509.Certificate
	for _, c := range p.Certs {
		if !now.Before(c.NotBefore) && !now.After(c.NotAfter) {
			valid = append(valid, c)
		}
	}
	p.Certs = valid
	return p
}

// Compression says when messages are compressed (RFC 5402, 2).
type Compression uint8

// The compressions.
const (
	Uncompressed  Compression = iota
	CompressFirst             // and then signed
	SignFirst                 // and then compressed
)

// Receipt says what receipt is asked for.
type Receipt struct {
	Want   bool
	Signed bool
	Digest Digest // of its MIC
	// AsyncTo is where it is to be posted; empty for one in the answer.
	AsyncTo string
}

// Outgoing is a message to be sent.
type Outgoing struct {
	From, To    string // AS2 names
	ID          string // Message-ID, in angle brackets; a repeat has the same
	Subject     string
	ContentType string
	Name        string // of the document; empty for none
	Body        []byte
	Receipt     Receipt
}

// Sealed is a message as it goes over HTTP, and what its receipt has to say of it.
type Sealed struct {
	Header []Field
	Body   []byte
	MIC    MIC
	Old    MIC // the same by SHA-1, for a partner that knows no other digest; zero where that is not taken
}

// MIC is a message integrity check (RFC 4130, 7.3.1).
type MIC struct {
	Sum    []byte
	Digest Digest
}

func (m MIC) String() string {
	if m.Digest == "" {
		return ""
	}
	return base64.StdEncoding.EncodeToString(m.Sum) + ", " + string(m.Digest)
}

func parseMIC(text string) (MIC, error) {
	sum, name, ok := strings.Cut(text, ",")
	if !ok {
		return MIC{}, fmt.Errorf("Received-Content-MIC %q: %w", short(text), ErrSyntax)
	}
	d, err := ParseDigest(name)
	if err != nil {
		return MIC{}, fmt.Errorf("Received-Content-MIC: %w", err)
	}
	b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(sum))
	if err != nil || len(b) != digests[d].hash.Size() {
		return MIC{}, fmt.Errorf("Received-Content-MIC %q: %w", short(text), ErrSyntax)
	}
	return MIC{b, d}, nil
}

const (
	typeSignature = "application/pkcs7-signature"
	typeCMS       = "application/pkcs7-mime"
)

// quoted is an AS2 name as it stands in a header (RFC 4130, 6.2).
func quoted(name string) string {
	if strings.ContainsAny(name, " \"\\") {
		return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(name) + `"`
	}
	return name
}

// Unquote reads an AS2 name as it stands in a header (RFC 4130, 6.2).
func Unquote(text string) string {
	text = strings.TrimSpace(text)
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		return strings.NewReplacer(`\\`, `\`, `\"`, `"`).Replace(text[1 : len(text)-1])
	}
	return text
}

// ErrHeader is wrapped by what Seal says of a message whose header can't be written.
var ErrHeader = errors.New("a header's value has a line end or another control character")

func checkValue(name, value string) error {
	for _, r := range value {
		if r < ' ' || r == 0x7f {
			return fmt.Errorf("as2: %s %q: %w", name, short(value), ErrHeader)
		}
	}
	return nil
}

// Seal signs, compresses and encrypts a message for a partner. The same message sealed again differs in its bytes, and
// has the same MIC unless it is compressed before it is signed.
func Seal(m Outgoing, p Partner, own Key) (*Sealed, error) {
	for name, value := range map[string]string{"AS2-From": m.From, "AS2-To": m.To, "Message-ID": m.ID, "Subject": m.Subject,
		"Content-Type": m.ContentType, "name": m.Name, "Receipt-Delivery-Option": m.Receipt.AsyncTo} {
		if err := checkValue(name, value); err != nil {
			return nil, err
		}
	}
	e := &Entity{Header: []Field{{"Content-Type", m.ContentType}, {"Content-Transfer-Encoding", "binary"}}, Body: m.Body}
	if m.Name != "" {
		e.Header = append(e.Header, Field{"Content-Disposition", `attachment; filename=` + quoted(m.Name)})
	}
	micDigest := p.Digest
	if m.Receipt.Digest != "" {
		micDigest = m.Receipt.Digest
	}
	var err error
	plain, micOver := true, e.Body // of what is neither signed, compressed nor encrypted the content alone counts
	inner := func() {
		if plain {
			plain, micOver = false, e.Bytes()
		}
	}
	if p.Compress == CompressFirst {
		inner()
		if e, err = compressed(e); err != nil {
			return nil, err
		}
	}
	if p.Sign {
		micOver, plain = e.Bytes(), false
		if e, err = signed(e, own, p.Digest); err != nil {
			return nil, err
		}
	}
	if p.Compress == SignFirst {
		inner()
		if e, err = compressed(e); err != nil {
			return nil, err
		}
	}
	if p.Encrypt != nil {
		inner()
		der, err := encrypt(e.Bytes(), p.Encrypt, p.Cipher)
		if err != nil {
			return nil, err
		}
		e = cmsEntity("enveloped-data", "smime.p7m", der)
	}
	s := &Sealed{Body: e.Body, MIC: MIC{micDigest.sum(micOver), micDigest}}
	if p.SHA1 {
		s.Old = MIC{SHA1.sum(micOver), SHA1}
	}
	s.Header = []Field{{"MIME-Version", "1.0"}, {"AS2-Version", "1.2"}, {"AS2-From", quoted(m.From)}, {"AS2-To", quoted(m.To)},
		{"Message-ID", m.ID}}
	if m.Subject != "" {
		s.Header = append(s.Header, Field{"Subject", m.Subject})
	}
	s.Header = append(s.Header, e.Header...)
	if m.Receipt.Want {
		s.Header = append(s.Header, Field{"Disposition-Notification-To", quoted(m.From)})
		if m.Receipt.Signed {
			s.Header = append(s.Header, Field{"Disposition-Notification-Options",
				"signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, " + string(micDigest)})
		}
		if m.Receipt.AsyncTo != "" {
			s.Header = append(s.Header, Field{"Receipt-Delivery-Option", m.Receipt.AsyncTo})
		}
	}
	return s, nil
}

func cmsEntity(kind, name string, der []byte) *Entity {
	return &Entity{Header: []Field{{"Content-Type", typeCMS + "; smime-type=" + kind + `; name="` + name + `"`},
		{"Content-Transfer-Encoding", "binary"}, {"Content-Disposition", `attachment; filename="` + name + `"`}}, Body: der}
}

func compressed(e *Entity) (*Entity, error) {
	der, err := compress(e.Bytes())
	if err != nil {
		return nil, fmt.Errorf("as2: compress: %w", err)
	}
	return cmsEntity("compressed-data", "smime.p7z", der), nil
}

// signed wraps an entity in a multipart/signed (RFC 1847, 2.1).
func signed(e *Entity, own Key, d Digest) (*Entity, error) {
	over := e.Bytes()
	signature, err := sign(over, own, d)
	if err != nil {
		return nil, err
	}
	part := &Entity{Header: []Field{{"Content-Type", typeSignature + `; name="smime.p7s"`}, {"Content-Transfer-Encoding", "base64"},
		{"Content-Disposition", `attachment; filename="smime.p7s"`}}, Body: base64Lines(signature)}
	boundary := newBoundary()
	return &Entity{
		Header: []Field{{"Content-Type", `multipart/signed; protocol="` + typeSignature + `"; micalg="` + string(d) + `"; boundary="` + boundary + `"`}},
		Body:   multipart(boundary, over, part.Bytes()),
	}, nil
}

func base64Lines(data []byte) []byte {
	text := base64.StdEncoding.EncodeToString(data)
	var b strings.Builder
	for len(text) > 76 {
		b.WriteString(text[:76] + "\r\n")
		text = text[76:]
	}
	b.WriteString(text)
	return []byte(b.String())
}

// Opened is a message that has been read.
type Opened struct {
	ContentType string
	Name        string
	Body        []byte
	Content     *Entity // the innermost
	MIC         MIC     // as a receipt has to give it
	SignedBy    *x509.Certificate
	Signed      bool
	Encrypted   bool
	Compressed  bool
}

// Problem is why a message can't be taken, in the words of a receipt's disposition modifier (RFC 4130, 7.5.3).
type Problem string

// The problems.
const (
	AuthenticationFailed Problem = "authentication-failed"
	DecompressionFailed  Problem = "decompression-failed"
	DecryptionFailed     Problem = "decryption-failed"
	InsufficientSecurity Problem = "insufficient-message-security"
	IntegrityFailed      Problem = "integrity-check-failed"
	UnexpectedProcessing Problem = "unexpected-processing-error"
)

// OpenError says why a message can't be opened, and what its receipt has to say.
type OpenError struct {
	Problem Problem
	Err     error
}

func (e *OpenError) Error() string { return "as2: " + string(e.Problem) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

func problem(p Problem, err error) error { return &OpenError{p, err} }

// Open decrypts, decompresses and verifies a message from a partner, in whichever order it was made. header are those of
// HTTP that belong to the message's entity; mic is the digest that the receipt was asked for, or empty.
func Open(header []Field, body []byte, from Partner, own []Key, mic Digest, l Limits) (*Opened, error) {
	if len(body) > l.Body {
		return nil, problem(UnexpectedProcessing, fmt.Errorf("a body of %d bytes: %w", len(body), ErrTooLarge))
	}
	o := &Opened{}
	e := &Entity{Header: header, Body: body}
	over, plain := body, true
	digest := mic
	for depth := 0; ; depth++ {
		if depth > l.Nesting {
			return nil, problem(UnexpectedProcessing, fmt.Errorf("more than %d layers: %w", l.Nesting, ErrTooLarge))
		}
		kind, params, err := e.mediaType()
		if err != nil {
			return nil, problem(UnexpectedProcessing, err)
		}
		smime := strings.ToLower(params["smime-type"])
		switch {
		case kind == typeCMS && smime == "compressed-data", kind == "application/x-pkcs7-mime" && smime == "compressed-data":
			if o.Compressed {
				return nil, problem(DecompressionFailed, fmt.Errorf("it is compressed twice: %w", ErrSyntax))
			}
			o.Compressed = true
			der, err := e.decoded()
			if err != nil {
				return nil, problem(DecompressionFailed, err)
			}
			text, err := decompress(der, l.Body)
			if err != nil {
				return nil, problem(DecompressionFailed, err)
			}
			if e, err = ReadEntity(text, l); err != nil {
				return nil, problem(DecompressionFailed, err)
			}
			if !o.Signed { // what is signed within, or the content within, counts
				over, plain = e.Bytes(), false
			}
		case kind == typeCMS || kind == "application/x-pkcs7-mime":
			if o.Encrypted || o.Signed {
				return nil, problem(DecryptionFailed, fmt.Errorf("it is encrypted within a layer that can't hold that: %w", ErrSyntax))
			}
			o.Encrypted = true
			der, err := e.decoded()
			if err != nil {
				return nil, problem(DecryptionFailed, err)
			}
			text, err := decrypt(der, own)
			if err != nil {
				return nil, problem(DecryptionFailed, err)
			}
			if e, err = ReadEntity(text, l); err != nil {
				return nil, problem(DecryptionFailed, err)
			}
			over, plain = e.Bytes(), false
		case kind == "multipart/signed":
			if o.Signed {
				return nil, problem(AuthenticationFailed, fmt.Errorf("it is signed twice: %w", ErrSyntax))
			}
			inner, by, d, err := openSigned(e, params, from, l)
			if err != nil {
				p := AuthenticationFailed
				if errors.Is(err, ErrSyntax) || errors.Is(err, ErrTooLarge) {
					p = UnexpectedProcessing
				}
				return nil, problem(p, err)
			}
			o.Signed, o.SignedBy = true, by
			e, over, plain = inner, inner.Bytes(), false
			if digest == "" {
				digest = d
			}
		default:
			if from.Sign && !o.Signed {
				return nil, problem(InsufficientSecurity, errors.New("it is not signed"))
			}
			if digest == "" {
				digest = SHA256
			}
			if o.Body, err = e.decoded(); err != nil {
				return nil, problem(UnexpectedProcessing, err)
			}
			o.Content, o.ContentType = e, e.Get("Content-Type")
			if _, params, err := (&Entity{Header: []Field{{"Content-Type", e.Get("Content-Disposition")}}}).mediaType(); err == nil {
				o.Name = params["filename"]
			}
			if plain {
				over = o.Body
			}
			o.MIC = MIC{digest.sum(over), digest}
			return o, nil
		}
	}
}

// openSigned verifies a multipart/signed and returns what is signed, in the form in which the signature holds.
func openSigned(e *Entity, params map[string]string, from Partner, l Limits) (*Entity, *x509.Certificate, Digest, error) {
	parts, err := splitMultipart(e.Body, params["boundary"], l)
	if err != nil {
		return nil, nil, "", err
	}
	if len(parts) != 2 {
		return nil, nil, "", fmt.Errorf("multipart/signed of %d parts: %w", len(parts), ErrSyntax)
	}
	second, err := ReadEntity(parts[1], l)
	if err != nil {
		return nil, nil, "", err
	}
	if kind, _, err := second.mediaType(); err != nil || (kind != typeSignature && kind != "application/x-pkcs7-signature") {
		return nil, nil, "", fmt.Errorf("a signature of type %q: %w", short(kind), ErrSyntax)
	}
	signature, err := second.decoded()
	if err != nil {
		return nil, nil, "", err
	}
	by, d, err := verify(parts[0], signature, from.Certs, from.SHA1)
	over := parts[0]
	if errors.Is(err, ErrSignature) {
		// Some products sign the canonical form and send line ends of their own (RFC 8551, 3.1.1).
		if lines := canonical(over); len(lines) != len(over) {
			if by2, d2, err2 := verify(lines, signature, from.Certs, from.SHA1); err2 == nil {
				by, d, err, over = by2, d2, nil, lines
			}
		}
	}
	if err != nil {
		return nil, nil, "", err
	}
	inner, err := ReadEntity(over, l)
	return inner, by, d, err
}
