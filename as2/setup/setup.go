// Package setup reads the operators' file of AS2 partners, with the certificates and keys that it names, and says what
// is wrong with it by line. Keys are never part of an error or of what is printed.
package setup

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"starlingusher/as2"
	"starlingusher/internal/filefault"
)

const (
	maxFile = 256 << 10
	maxPEM  = 256 << 10
	maxName = 128 // of an AS2 name (RFC 4130, 6.2)
	soon    = 30 * 24 * time.Hour
)

// FileError lists all the problems of a file.
type FileError = filefault.FileError

// Partner is one that messages are exchanged with.
type Partner struct {
	as2.Partner
	Line        int
	Path        string // of its URL; the address is the endpoint's
	TLS         *tls.Config
	Destination int // of messages to it; -1 for none
	ContentType string
	Subject     string
	Receipt     as2.Receipt
	BusyIsProof bool

	// Of messages from it; Class is empty for none.
	Class         string
	ToDestination int
	Life          time.Duration
	ReceiptURL    string
}

// File is a set-up that holds together.
type File struct {
	Self     string
	Key      as2.Key
	Keys     []as2.Key // for decryption: the present one and the next
	Listen   string    // empty for none
	Partners []Partner
	// Warnings are of what holds now and will not for long.
	Warnings []string
}

// Options are what a file is checked against.
type Options struct {
	Now     time.Time
	Classes []string // of the node; nil checks none
}

// Load reads a file. Names of other files in it are relative to its folder. A file with any problem is refused whole, by a
// *FileError with all of them.
func Load(path string, o Options) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("as2: set-up: %w", err)
	}
	return Parse(path, text, o)
}

// Parse is Load of a text.
func Parse(path string, text []byte, o Options) (*File, error) {
	p := &parser{dir: filepath.Dir(path), o: o}
	f := p.file(text)
	if len(p.problems) > 0 {
		return nil, filefault.New(path, p.problems)
	}
	return f, nil
}

type parser struct {
	dir      string
	o        Options
	problems []filefault.Problem
	warnings []string
}

func (p *parser) fail(line int, format string, args ...any) {
	p.problems = append(p.problems, filefault.Problem{Line: line, Text: fmt.Sprintf(format, args...)})
}

// The file's form.
type (
	value[T any] struct {
		V    T
		Line int
	}
	fileForm struct {
		Self     selfForm      `yaml:"self"`
		Partners []partnerForm `yaml:"partners"`
	}
	selfForm struct {
		ID       value[string] `yaml:"id"`
		Cert     value[string] `yaml:"certificate"`
		Key      value[string] `yaml:"key"`
		NextCert value[string] `yaml:"next-certificate"`
		NextKey  value[string] `yaml:"next-key"`
		Listen   value[string] `yaml:"listen"`
		URL      value[string] `yaml:"receipt-url"`
	}
	partnerForm struct {
		ID       value[string]   `yaml:"id"`
		Certs    []value[string] `yaml:"certificates"`
		Issuers  []value[string] `yaml:"issuers"`
		Encrypt  value[string]   `yaml:"encrypt-for"`
		Cipher   value[string]   `yaml:"cipher"`
		Digest   value[string]   `yaml:"digest"`
		Sign     value[bool]     `yaml:"sign"`
		SHA1     value[bool]     `yaml:"take-sha1"`
		Compress value[string]   `yaml:"compress"`
		Send     *sendForm       `yaml:"send"`
		Take     *takeForm       `yaml:"take"`
	}
	sendForm struct {
		Destination value[int]    `yaml:"destination"`
		Path        value[string] `yaml:"path"`
		TLS         value[bool]   `yaml:"tls"`
		TLSIssuers  value[string] `yaml:"tls-issuers"`
		ContentType value[string] `yaml:"content-type"`
		Subject     value[string] `yaml:"subject"`
		Receipt     value[string] `yaml:"receipt"`
		Busy        value[bool]   `yaml:"busy-is-proof"`
	}
	takeForm struct {
		Class       value[string] `yaml:"class"`
		Destination value[int]    `yaml:"destination"`
		Life        value[string] `yaml:"life"`
		ReceiptURL  value[string] `yaml:"receipt-url"`
	}
)

// UnmarshalYAML notes the line.
func (v *value[T]) UnmarshalYAML(n *yaml.Node) error {
	v.Line = n.Line
	if err := n.Decode(&v.V); err != nil {
		return fmt.Errorf("line %d: %q is not of the kind that is expected here", n.Line, n.Value)
	}
	return nil
}

func (p *parser) file(text []byte) *File {
	var form fileForm
	if p.problems = filefault.DecodeYAML(text, maxFile, &form); len(p.problems) > 0 {
		return nil
	}
	f := &File{}
	p.self(&form.Self, f)
	if len(form.Partners) == 0 {
		p.fail(1, "partners are missing")
	}
	ids, dests := map[string]int{}, map[int]int{}
	for i := range form.Partners {
		partner := p.partner(&form.Partners[i], f, form.Self.URL.V)
		if before, ok := ids[partner.ID]; ok {
			p.fail(partner.Line, "partner %q stands in line %d already", partner.ID, before)
		}
		ids[partner.ID] = partner.Line
		if partner.Destination >= 0 {
			if before, ok := dests[partner.Destination]; ok {
				p.fail(partner.Line, "destination %d belongs to the partner of line %d already", partner.Destination, before)
			}
			dests[partner.Destination] = partner.Line
		}
		f.Partners = append(f.Partners, partner)
	}
	f.Warnings = p.warnings
	return f
}

func (p *parser) name(v value[string], what string) string {
	switch {
	case v.V == "":
		p.fail(max(v.Line, 1), "%s is missing", what)
	case len(v.V) > maxName || strings.TrimSpace(v.V) != v.V || strings.ContainsFunc(v.V, func(r rune) bool { return r < ' ' || r > '~' }):
		p.fail(v.Line, "%s %q: an AS2 name has 1 to %d printable ASCII characters, with none of space at its ends", what, v.V, maxName)
	}
	return v.V
}

func (p *parser) self(form *selfForm, f *File) {
	f.Self = p.name(form.ID, "self.id")
	f.Listen = form.Listen.V
	for i, pair := range [][2]value[string]{{form.Cert, form.Key}, {form.NextCert, form.NextKey}} {
		what := []string{"self", "self, next"}[i]
		if pair[0].V == "" && pair[1].V == "" {
			if i == 0 {
				p.fail(max(form.ID.Line, 1), "self has no certificate and key")
			}
			continue
		}
		if pair[0].V == "" || pair[1].V == "" {
			p.fail(max(pair[0].Line, pair[1].Line), "%s: certificate and key go together", what)
			continue
		}
		cert := p.cert(pair[0], what)
		key := p.key(pair[1])
		if cert == nil || key == nil {
			continue
		}
		if !sameKey(cert.PublicKey, key) {
			p.fail(pair[1].Line, "%s: the key is not that of the certificate", what)
			continue
		}
		p.judge(pair[0].Line, what, cert, x509.KeyUsageDigitalSignature|x509.KeyUsageKeyEncipherment, nil, i > 0)
		k := as2.Key{Cert: cert, Key: key}
		if i == 0 {
			f.Key = k
		}
		f.Keys = append(f.Keys, k)
	}
}

func sameKey(public any, private crypto.Signer) bool {
	eq, ok := public.(interface{ Equal(crypto.PublicKey) bool })
	return ok && eq.Equal(private.Public())
}

// block reads the one PEM block of a file.
func (p *parser) block(v value[string], kinds ...string) []byte {
	path := v.V
	if !filepath.IsAbs(path) {
		path = filepath.Join(p.dir, path)
	}
	info, err := os.Stat(path)
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s is no file", v.V)
	}
	if err == nil && info.Size() > maxPEM {
		err = fmt.Errorf("%d bytes, %d at most", info.Size(), maxPEM)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		p.fail(v.Line, "%v", err)
		return nil
	}
	b, _ := pem.Decode(text)
	if b == nil {
		p.fail(v.Line, "%s holds no PEM block", v.V)
		return nil
	}
	if !slices.Contains(kinds, b.Type) {
		p.fail(v.Line, "%s holds a %s where a %s is expected", v.V, b.Type, kinds[0])
		return nil
	}
	return b.Bytes
}

func (p *parser) cert(v value[string], what string) *x509.Certificate {
	der := p.block(v, "CERTIFICATE")
	if der == nil {
		return nil
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		p.fail(v.Line, "%s: %s is no certificate: %v", what, v.V, err)
		return nil
	}
	return c
}

func (p *parser) key(v value[string]) crypto.Signer {
	der := p.block(v, "PRIVATE KEY", "RSA PRIVATE KEY", "EC PRIVATE KEY")
	if der == nil {
		return nil
	}
	for _, parse := range []func([]byte) (any, error){
		x509.ParsePKCS8PrivateKey,
		func(b []byte) (any, error) { return x509.ParsePKCS1PrivateKey(b) },
		func(b []byte) (any, error) { return x509.ParseECPrivateKey(b) },
	} {
		if k, err := parse(der); err == nil {
			if s, ok := k.(crypto.Signer); ok {
				return s
			}
		}
	}
	p.fail(v.Line, "%s holds no key that can be read; an encrypted one has to be decrypted first", v.V)
	return nil
}

// judge tells apart what may be wrong with a certificate. The next one may be not valid yet.
func (p *parser) judge(line int, what string, c *x509.Certificate, usage x509.KeyUsage, issuers *x509.CertPool, next bool) {
	who := fmt.Sprintf("%s: the certificate of %q, serial %x", what, c.Subject.CommonName, c.SerialNumber)
	switch k := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if k.N.BitLen() < 2048 {
			p.fail(line, "%s: an RSA key of %d bits, 2048 at least", who, k.N.BitLen())
		}
	case *ecdsa.PublicKey:
		if usage&x509.KeyUsageKeyEncipherment != 0 && usage&x509.KeyUsageDigitalSignature == 0 {
			p.fail(line, "%s: nothing can be encrypted for an ECDSA key", who)
		}
	default:
		p.fail(line, "%s: a key of a kind that is not known; RSA and ECDSA are", who)
	}
	switch {
	case p.o.Now.After(c.NotAfter):
		p.fail(line, "%s: expired on %s", who, c.NotAfter.UTC().Format(time.DateOnly))
	case p.o.Now.Before(c.NotBefore) && !next:
		p.fail(line, "%s: not valid before %s", who, c.NotBefore.UTC().Format(time.DateOnly))
	case p.o.Now.Before(c.NotBefore):
		p.warnings = append(p.warnings, fmt.Sprintf("%s: not valid before %s", who, c.NotBefore.UTC().Format(time.DateOnly)))
	case c.NotAfter.Sub(p.o.Now) < soon:
		p.warnings = append(p.warnings, fmt.Sprintf("%s: expires on %s", who, c.NotAfter.UTC().Format(time.DateOnly)))
	}
	if c.KeyUsage != 0 {
		if usage&x509.KeyUsageDigitalSignature != 0 && c.KeyUsage&(x509.KeyUsageDigitalSignature|x509.KeyUsageContentCommitment) == 0 {
			p.fail(line, "%s: its key usage does not allow signatures", who)
		}
		if usage == x509.KeyUsageKeyEncipherment && c.KeyUsage&x509.KeyUsageKeyEncipherment == 0 {
			p.fail(line, "%s: its key usage does not allow encryption of keys", who)
		}
	}
	if issuers != nil {
		_, err := c.Verify(x509.VerifyOptions{Roots: issuers, CurrentTime: c.NotBefore.Add(time.Second), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		if unknown := (x509.UnknownAuthorityError{}); errors.As(err, &unknown) {
			p.fail(line, "%s: its issuer %q is not among the partner's issuers", who, c.Issuer.CommonName)
		} else if err != nil {
			p.fail(line, "%s: %v", who, err)
		}
	}
}

func (p *parser) pool(all []value[string], what string) *x509.CertPool {
	if len(all) == 0 {
		return nil
	}
	pool := x509.NewCertPool()
	for _, v := range all {
		if c := p.cert(v, what); c != nil {
			pool.AddCert(c)
		}
	}
	return pool
}

func (p *parser) partner(form *partnerForm, f *File, receiptURL string) Partner {
	out := Partner{Line: max(form.ID.Line, 1), Destination: -1, ToDestination: -1}
	out.ID = p.name(form.ID, "a partner's id")
	what := fmt.Sprintf("partner %q", out.ID)
	if out.ID != "" && out.ID == f.Self {
		p.fail(out.Line, "%s has our own AS2 name", what)
	}
	out.Sign = form.Sign.V || form.Sign.Line == 0 // signed unless it says otherwise
	out.SHA1 = form.SHA1.V
	out.Digest, out.Cipher = as2.SHA256, as2.AES256
	if form.Digest.Line > 0 {
		d, err := as2.ParseDigest(form.Digest.V)
		if err != nil {
			p.fail(form.Digest.Line, "%s: %v", what, err)
		} else if d == as2.SHA1 {
			p.fail(form.Digest.Line, "%s: nothing is signed with sha1; take-sha1 takes it from an old partner", what)
		}
		out.Digest = d
	}
	if form.Cipher.Line > 0 {
		if out.Cipher = as2.Cipher(form.Cipher.V); out.Cipher != as2.AES128 && out.Cipher != as2.AES256 {
			p.fail(form.Cipher.Line, "%s: cipher %q is not known: %s and %s are", what, form.Cipher.V, as2.AES128, as2.AES256)
		}
	}
	switch form.Compress.V {
	case "", "no":
	case "before-signing":
		out.Compress = as2.CompressFirst
	case "after-signing":
		out.Compress = as2.SignFirst
	default:
		p.fail(form.Compress.Line, "%s: compress: %q is none of no, before-signing and after-signing", what, form.Compress.V)
	}
	issuers := p.pool(form.Issuers, what)
	if len(form.Certs) == 0 {
		p.fail(out.Line, "%s has no certificates", what)
	}
	for i, v := range form.Certs {
		if c := p.cert(v, what); c != nil {
			p.judge(v.Line, what, c, x509.KeyUsageDigitalSignature, issuers, i > 0)
			out.Certs = append(out.Certs, c)
		}
	}
	if form.Encrypt.V != "" {
		if c := p.cert(form.Encrypt, what); c != nil {
			if _, ok := c.PublicKey.(*rsa.PublicKey); !ok {
				p.fail(form.Encrypt.Line, "%s: encrypt-for: only RSA keys can be encrypted for", what)
			}
			p.judge(form.Encrypt.Line, what, c, x509.KeyUsageKeyEncipherment, issuers, false)
			out.Encrypt = c
		}
	}
	if form.Send == nil && form.Take == nil {
		p.fail(out.Line, "%s neither sends nor takes: one of send and take is needed", what)
	}
	if form.Send != nil {
		p.send(form.Send, &out, what, receiptURL)
	}
	if form.Take != nil {
		p.take(form.Take, &out, what)
	}
	return out
}

func (p *parser) send(form *sendForm, out *Partner, what, receiptURL string) {
	if form.Destination.Line == 0 || form.Destination.V < 0 {
		p.fail(max(form.Destination.Line, out.Line), "%s: send.destination is missing, or below 0", what)
	}
	out.Destination, out.Path, out.ContentType, out.Subject = form.Destination.V, form.Path.V, form.ContentType.V, form.Subject.V
	if !strings.HasPrefix(out.Path, "/") || strings.ContainsAny(out.Path, " \r\n\t#") {
		p.fail(max(form.Path.Line, out.Line), "%s: send.path has to begin with /", what)
	}
	if out.ContentType == "" {
		out.ContentType = "application/octet-stream"
	}
	if form.TLS.V {
		out.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
		if form.TLSIssuers.V != "" {
			out.TLS.RootCAs = p.pool([]value[string]{form.TLSIssuers}, what)
		}
	}
	out.BusyIsProof = form.Busy.V
	out.Receipt = as2.Receipt{Want: true, Signed: true, Digest: out.Digest}
	switch form.Receipt.V {
	case "", "signed":
	case "signed-by-itself":
		if u, err := url.Parse(receiptURL); err != nil || u.Host == "" {
			p.fail(form.Receipt.Line, "%s: a receipt that comes by itself needs self.receipt-url, where partners reach this node", what)
		}
		out.Receipt.AsyncTo = receiptURL
	default:
		// An unsigned receipt, or none, proves nothing, and no payout could ever count as delivered.
		p.fail(form.Receipt.Line, "%s: receipt: %q is neither signed nor signed-by-itself", what, form.Receipt.V)
	}
}

func (p *parser) take(form *takeForm, out *Partner, what string) {
	out.Class, out.ToDestination, out.ReceiptURL = form.Class.V, form.Destination.V, form.ReceiptURL.V
	if out.Class == "" {
		p.fail(out.Line, "%s: take.class is missing", what)
	} else if p.o.Classes != nil && !slices.Contains(p.o.Classes, out.Class) {
		p.fail(form.Class.Line, "%s: take.class: %q is no class of this node: %s", what, out.Class, strings.Join(p.o.Classes, ", "))
	}
	if form.Destination.Line == 0 || form.Destination.V < 0 {
		p.fail(max(form.Destination.Line, out.Line), "%s: take.destination is missing, or below 0", what)
	}
	out.Life = 30 * time.Second
	if form.Life.Line > 0 {
		d, err := time.ParseDuration(form.Life.V)
		if err != nil || d <= 0 || d > 24*time.Hour {
			p.fail(form.Life.Line, "%s: take.life: %q is no duration up to 24h, as 30s is", what, form.Life.V)
		}
		out.Life = d
	}
	if out.ReceiptURL != "" {
		if u, err := url.Parse(out.ReceiptURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			p.fail(form.ReceiptURL.Line, "%s: take.receipt-url: %q is no http or https URL", what, out.ReceiptURL)
		}
	}
}
