package as2

import (
	"bytes"
	"compress/zlib"
	"crypto"
	_ "crypto/sha1" // read, for old partners
	_ "crypto/sha256"
	_ "crypto/sha512"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/smallstep/pkcs7"
)

// Key is a private key with its certificate.
type Key struct {
	Cert *x509.Certificate
	Key  crypto.PrivateKey
}

// Digest is a hash by the name that AS2 gives it.
type Digest string

// The digests. SHA-1 is only read.
const (
	SHA1   Digest = "sha1"
	SHA256 Digest = "sha-256"
	SHA384 Digest = "sha-384"
	SHA512 Digest = "sha-512"
)

var digests = map[Digest]struct {
	hash crypto.Hash
	oid  asn1.ObjectIdentifier
}{
	SHA1:   {crypto.SHA1, pkcs7.OIDDigestAlgorithmSHA1},
	SHA256: {crypto.SHA256, pkcs7.OIDDigestAlgorithmSHA256},
	SHA384: {crypto.SHA384, pkcs7.OIDDigestAlgorithmSHA384},
	SHA512: {crypto.SHA512, pkcs7.OIDDigestAlgorithmSHA512},
}

// ParseDigest reads a digest's name as partners write it: sha256, sha-256 and SHA256 are one (RFC 5751, 3.4.3.2).
func ParseDigest(text string) (Digest, error) {
	name := strings.ToLower(strings.TrimSpace(text))
	for d := range digests {
		if name == string(d) || name == strings.ReplaceAll(string(d), "-", "") || (d == SHA1 && name == "sha-1") {
			return d, nil
		}
	}
	return "", fmt.Errorf("digest %q is not known: sha-256, sha-384, sha-512 and sha1 are", short(text))
}

func (d Digest) sum(data []byte) []byte {
	h := digests[d].hash.New()
	h.Write(data)
	return h.Sum(nil)
}

// Cipher encrypts contents.
type Cipher string

// The ciphers.
const (
	AES128 Cipher = "aes128-cbc"
	AES256 Cipher = "aes256-cbc"
)

var ciphers = map[Cipher]int{AES128: pkcs7.EncryptionAlgorithmAES128CBC, AES256: pkcs7.EncryptionAlgorithmAES256CBC}

// Errors of cryptography.
var (
	ErrSignature  = errors.New("the signature does not hold")
	ErrDecryption = errors.New("it can't be decrypted")
	ErrWeak       = errors.New("a digest that is not taken from this partner")
)

const (
	maxASN1Depth    = 24
	maxASN1Elements = 4096
)

// checkASN1 bounds what the CMS library is given: it goes down by recursion, copying at each level, and believes lengths.
func checkASN1(data []byte) error {
	elements := 0
	var walk func(b []byte, depth int, open bool) ([]byte, error)
	walk = func(b []byte, depth int, open bool) ([]byte, error) {
		for len(b) > 0 {
			if open && len(b) >= 2 && b[0] == 0 && b[1] == 0 {
				return b[2:], nil // the end of contents of indefinite length
			}
			if elements++; depth > maxASN1Depth || elements > maxASN1Elements {
				return nil, fmt.Errorf("ASN.1 nested too deep or of too many elements: %w", ErrTooLarge)
			}
			compound, i := b[0]&0x20 != 0, 1
			if b[0]&0x1f == 0x1f {
				for i < len(b) && b[i]&0x80 != 0 && i < 4 {
					i++
				}
				i++
			}
			if i >= len(b) {
				return nil, fmt.Errorf("ASN.1 that ends too early: %w", ErrSyntax)
			}
			n, long := int(b[i]), 0
			i++
			switch {
			case n == 0x80:
				if !compound {
					return nil, fmt.Errorf("ASN.1 of indefinite length: %w", ErrSyntax)
				}
				rest, err := walk(b[i:], depth+1, true)
				if err != nil {
					return nil, err
				}
				b = rest
				continue
			case n > 0x80:
				long, n = n-0x80, 0
				if long > 4 || i+long > len(b) {
					return nil, fmt.Errorf("ASN.1 of an impossible length: %w", ErrSyntax)
				}
				for _, c := range b[i : i+long] {
					n = n<<8 | int(c)
				}
				i += long
			}
			if n < 0 || n > len(b)-i {
				return nil, fmt.Errorf("ASN.1 of a length beyond its end: %w", ErrSyntax)
			}
			if compound {
				if _, err := walk(b[i:i+n], depth+1, false); err != nil {
					return nil, err
				}
			}
			b = b[i+n:]
		}
		if open {
			return nil, fmt.Errorf("ASN.1 of indefinite length without its end: %w", ErrSyntax)
		}
		return nil, nil
	}
	_, err := walk(data, 0, false)
	return err
}

// parseCMS reads a CMS object. The library panics on some that are none.
func parseCMS(der []byte) (p *pkcs7.PKCS7, err error) {
	defer caught(&err, ErrSyntax)
	if err := checkASN1(der); err != nil {
		return nil, err
	}
	if p, err = pkcs7.Parse(der); err != nil {
		return nil, fmt.Errorf("CMS: %w: %w", ErrSyntax, err)
	}
	return p, nil
}

func caught(err *error, kind error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("CMS: %w: %v", kind, r)
	}
}

// sign returns a detached signature over data (RFC 5652, 5).
func sign(data []byte, k Key, d Digest) ([]byte, error) {
	if d == SHA1 || digests[d].oid == nil {
		return nil, fmt.Errorf("as2: nothing is signed with digest %q", d)
	}
	s, err := pkcs7.NewSignedData(data)
	if err != nil {
		return nil, fmt.Errorf("as2: sign: %w", err)
	}
	s.SetDigestAlgorithm(digests[d].oid)
	if err := s.AddSigner(k.Cert, k.Key, pkcs7.SignerInfoConfig{}); err != nil {
		return nil, fmt.Errorf("as2: sign: %w", err)
	}
	s.Detach()
	return s.Finish()
}

// verify checks a detached signature by one of the partner's certificates, and returns which. Certificates that come
// with the signature prove nothing and are not looked at: one could have the partner's name and another key.
func verify(data, signature []byte, certs []*x509.Certificate, weak bool) (by *x509.Certificate, d Digest, err error) {
	defer caught(&err, ErrSignature)
	p, err := parseCMS(signature)
	if err != nil {
		return nil, "", err
	}
	if len(p.Signers) != 1 {
		return nil, "", fmt.Errorf("%d signers where one is expected: %w", len(p.Signers), ErrSignature)
	}
	if len(p.Content) > 0 {
		return nil, "", fmt.Errorf("the signature brings a content of its own: %w", ErrSignature)
	}
	for name, known := range digests {
		if p.Signers[0].DigestAlgorithm.Algorithm.Equal(known.oid) {
			d = name
		}
	}
	switch {
	case d == "":
		return nil, "", fmt.Errorf("digest %v: %w", p.Signers[0].DigestAlgorithm.Algorithm, ErrWeak)
	case d == SHA1 && !weak:
		return nil, "", fmt.Errorf("%s: %w", d, ErrWeak)
	case len(p.Signers[0].AuthenticatedAttributes) == 0:
		// Over bare content, a signature could be taken from one over attributes.
		return nil, "", fmt.Errorf("no signed attributes: %w", ErrSignature)
	}
	p.Content = data
	p.Certificates = certs
	if err := p.Verify(); err != nil {
		return nil, d, fmt.Errorf("%w: %w", ErrSignature, err)
	}
	return p.GetOnlySigner(), d, nil
}

// encrypting guards the library's variable for the cipher.
var encrypting sync.Mutex

// encrypt returns an EnvelopedData for the certificate's holder (RFC 5652, 6).
func encrypt(data []byte, to *x509.Certificate, c Cipher) ([]byte, error) {
	algorithm, ok := ciphers[c]
	if !ok {
		return nil, fmt.Errorf("as2: cipher %q is not known: %s and %s are", c, AES128, AES256)
	}
	encrypting.Lock()
	defer encrypting.Unlock()
	pkcs7.ContentEncryptionAlgorithm = algorithm
	out, err := pkcs7.Encrypt(data, []*x509.Certificate{to})
	if err != nil {
		return nil, fmt.Errorf("as2: encrypt: %w", err)
	}
	return out, nil
}

// decrypt opens an EnvelopedData with the first of the keys that it is for.
func decrypt(der []byte, keys []Key) (out []byte, err error) {
	defer caught(&err, ErrDecryption)
	p, err := parseCMS(der)
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		if out, err = p.Decrypt(k.Cert, k.Key); err == nil {
			return out, nil
		}
	}
	return nil, fmt.Errorf("%w: with none of our %d keys", ErrDecryption, len(keys)) // the cause would tell an attacker more
}

var (
	oidCompressed = asn1.ObjectIdentifier{1, 2, 840, 113549, 1, 9, 16, 1, 9} // RFC 3274, 1
	oidZlib       = asn1.ObjectIdentifier{1, 2, 840, 113549, 1, 9, 16, 3, 8} // RFC 3274, 2
)

type compressedInfo struct {
	Type    asn1.ObjectIdentifier
	Content compressedData `asn1:"explicit,tag:0"`
}

type compressedData struct {
	Version   int
	Algorithm pkix.AlgorithmIdentifier
	Content   struct {
		Type asn1.ObjectIdentifier
		Data []byte `asn1:"explicit,optional,tag:0"`
	}
}

// compress returns a CompressedData (RFC 3274).
func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := zlib.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	var c compressedInfo
	c.Type = oidCompressed
	c.Content.Algorithm.Algorithm = oidZlib
	c.Content.Content.Type, c.Content.Content.Data = pkcs7.OIDData, b.Bytes()
	return asn1.Marshal(c)
}

// decompress opens a CompressedData, up to a number of bytes.
func decompress(der []byte, most int) ([]byte, error) {
	if err := checkASN1(der); err != nil {
		return nil, err
	}
	var c compressedInfo
	if rest, err := asn1.Unmarshal(der, &c); err != nil || len(rest) > 0 {
		if data, ok := indefinite(der); ok {
			return inflate(data, most)
		}
		return nil, fmt.Errorf("CompressedData: %w", ErrSyntax)
	}
	if !c.Type.Equal(oidCompressed) || !c.Content.Algorithm.Algorithm.Equal(oidZlib) {
		return nil, fmt.Errorf("CompressedData of type %v: %w", c.Type, ErrSyntax)
	}
	return inflate(c.Content.Content.Data, most)
}

func inflate(data []byte, most int) ([]byte, error) {
	r, err := zlib.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("CompressedData: %w", ErrSyntax)
	}
	out, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("CompressedData: %w", ErrSyntax)
	}
	if len(out) > most {
		return nil, fmt.Errorf("CompressedData of more than %d bytes: %w", most, ErrTooLarge)
	}
	return out, nil
}

// indefinite finds the octets of a CompressedData in BER of indefinite length, as streaming writers make it: the
// object identifiers are as above, and the content is made of octet strings.
func indefinite(ber []byte) (data []byte, ok bool) {
	zlibID, err := asn1.Marshal(oidZlib)
	if err != nil || !bytes.Contains(ber, zlibID) {
		return nil, false
	}
	dataID, err := asn1.Marshal(pkcs7.OIDData)
	if err != nil {
		return nil, false
	}
	_, rest, ok := bytes.Cut(ber, dataID)
	for len(rest) > 0 && ok {
		switch {
		case rest[0] == 0xa0 || rest[0] == 0x24: // the explicit tag, and the string that is made of others
			if len(rest) < 2 {
				return nil, false
			}
			skip := 2
			if rest[1] > 0x80 {
				skip += int(rest[1] - 0x80)
			}
			if skip > len(rest) {
				return nil, false
			}
			rest = rest[skip:]
		case rest[0] == 0x04:
			var part []byte
			if rest, err = asn1.Unmarshal(rest, &part); err != nil {
				return nil, false
			}
			data = append(data, part...)
		case rest[0] == 0:
			return data, len(data) > 0
		default:
			return nil, false
		}
	}
	return data, len(data) > 0
}
