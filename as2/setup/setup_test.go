package setup

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingusher/as2"
)

var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// folder holds certificates of all kinds, and the keys of some.
func folder(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, kind string, der []byte) {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	large, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	other, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	curve, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	day := 24 * time.Hour
	both := x509.KeyUsageDigitalSignature | x509.KeyUsageKeyEncipherment
	issuer := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "issuer"}, NotBefore: now.Add(-day), NotAfter: now.Add(900 * day),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	for i, c := range []struct {
		name       string
		key        crypto.Signer
		from, till time.Duration
		usage      x509.KeyUsage
		by         crypto.Signer
	}{
		{"issuer", other, -day, 900 * day, x509.KeyUsageCertSign, other},
		{"us", large, -day, 365 * day, both, other},
		{"next", large, 10 * day, 700 * day, both, other},
		{"bank", large, -day, 365 * day, both, other},
		{"bank-soon", large, -day, 10 * day, both, other},
		{"bank-expired", large, -20 * day, -day, both, other},
		{"bank-early", large, 5 * day, 365 * day, both, other},
		{"bank-usage", large, -day, 365 * day, x509.KeyUsageCRLSign, other},
		{"bank-signs", large, -day, 365 * day, x509.KeyUsageDigitalSignature, other},
		{"bank-curve", curve, -day, 365 * day, x509.KeyUsageDigitalSignature, other},
		{"stranger", large, -day, 365 * day, both, large},
	} {
		template := &x509.Certificate{SerialNumber: big.NewInt(int64(i + 2)), Subject: pkix.Name{CommonName: c.name}, NotBefore: now.Add(c.from),
			NotAfter: now.Add(c.till), KeyUsage: c.usage}
		parent := issuer
		if c.by == crypto.Signer(large) {
			parent = template
		}
		if c.name == "issuer" {
			template = issuer
		}
		der, err := x509.CreateCertificate(rand.Reader, template, parent, c.key.Public(), c.by)
		if err != nil {
			t.Fatal(err)
		}
		write(c.name+".pem", "CERTIFICATE", der)
	}
	for name, key := range map[string]any{"us.key": large, "other.key": other, "curve.key": curve} {
		der, err := x509.MarshalPKCS8PrivateKey(key)
		if err != nil {
			t.Fatal(err)
		}
		write(name, "PRIVATE KEY", der)
	}
	return dir
}

const good = `self:
  id: kahvecioglu
  certificate: us.pem
  key: us.key
  next-certificate: next.pem
  next-key: us.key
  listen: 127.0.0.1:4080
  receipt-url: https://as2.example/receipts
partners:
  - id: Bank One
    certificates: [bank.pem, bank-early.pem]
    issuers: [issuer.pem]
    encrypt-for: bank.pem
    compress: before-signing
    send:
      destination: 7
      path: /as2
      content-type: application/xml
      receipt: signed-by-itself
    take:
      class: bank-advice
      destination: 3
      life: 1m
`

func TestLoad(t *testing.T) {
	dir := folder(t)
	path := filepath.Join(dir, "as2.yaml")
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(path, Options{Now: now, Classes: []string{"bank-advice"}})
	if err != nil {
		t.Fatal(err)
	}
	p := f.Partners[0]
	if f.Self != "kahvecioglu" || len(f.Keys) != 2 || f.Listen != "127.0.0.1:4080" || p.ID != "Bank One" || len(p.Certs) != 2 ||
		p.Encrypt == nil || !p.Sign || p.Compress != as2.CompressFirst || p.Digest != as2.SHA256 || p.Cipher != as2.AES256 ||
		p.Destination != 7 || p.Receipt.AsyncTo != "https://as2.example/receipts" || p.Class != "bank-advice" || p.ToDestination != 3 || p.Life != time.Minute {
		t.Errorf("got %+v", f)
	}
	if len(f.Warnings) != 2 { // two that are not valid yet, each as a next one
		t.Errorf("warnings: %q", f.Warnings)
	}
}

// Each fault is told with its line, in words of its own, and without anything of a key.
func TestFaults(t *testing.T) {
	dir := folder(t)
	for _, c := range []struct {
		old, new string
		line     int
		words    string
	}{
		{"certificates: [bank.pem,", "certificates: [bank-expired.pem,", 11, "expired on 2026-11-30"},
		{"certificates: [bank.pem,", "certificates: [bank-early.pem,", 11, "not valid before 2026-12-06"},
		{"certificates: [bank.pem,", "certificates: [bank-usage.pem,", 11, "does not allow signatures"},
		{"certificates: [bank.pem,", "certificates: [stranger.pem,", 11, "not among the partner's issuers"},
		{"certificates: [bank.pem,", "certificates: [nowhere.pem,", 11, "no such file"},
		{"certificates: [bank.pem,", "certificates: [us.key,", 11, "PRIVATE KEY where a CERTIFICATE"},
		{"encrypt-for: bank.pem", "encrypt-for: bank-signs.pem", 13, "does not allow encryption"},
		{"encrypt-for: bank.pem", "encrypt-for: bank-curve.pem", 13, "only RSA keys"},
		{"  key: us.key", "  key: other.key", 4, "not that of the certificate"},
		{"  key: us.key", "  key: us.pem", 4, "CERTIFICATE where a PRIVATE KEY"},
		{"id: kahvecioglu", "id: \"\"", 2, "missing"},
		{"id: kahvecioglu", "id: Bank One", 10, "our own AS2 name"},
		{"compress: before-signing", "compress: twice", 14, "none of no, before-signing"},
		{"compress: before-signing", "digest: md5", 14, "not known"},
		{"compress: before-signing", "digest: sha1", 14, "take-sha1"},
		{"compress: before-signing", "cipher: des", 14, "not known"},
		{"compress: before-signing", "colour: red", 14, "colour"},
		{"destination: 7", "destination: -7", 16, "below 0"},
		{"destination: 7", "destination: seven", 16, "not of the kind"},
		{"path: /as2", "path: as2", 17, "begin with /"},
		{"receipt: signed-by-itself", "receipt: none", 19, "neither signed nor"},
		{"class: bank-advice", "class: bank-advise", 21, "no class of this node"},
		{"life: 1m", "life: forever", 23, "no duration"},
		{"self:", "self: [", 1, ""},
		{"  receipt-url: https://as2.example/receipts\n", "", 18, "needs self.receipt-url"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		_, err := Parse(filepath.Join(dir, "as2.yaml"), []byte(text), Options{Now: now, Classes: []string{"bank-advice"}})
		var f *FileError
		if !errors.As(err, &f) {
			t.Errorf("%s: got %v", c.new, err)
			continue
		}
		found := false
		for _, p := range f.Problems {
			found = found || (strings.Contains(p.Text, c.words) && (p.Line == c.line || c.words == ""))
		}
		if !found {
			t.Errorf("%s: want line %d, %q; got %v", c.new, c.line, c.words, err)
		}
		if strings.Contains(err.Error(), "MII") {
			t.Errorf("%s: something of a key is told: %v", c.new, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	dir := folder(f)
	f.Add([]byte(good))
	f.Add([]byte("self: {id: a}\npartners: [{id: b}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(filepath.Join(dir, "as2.yaml"), text, Options{Now: now})
		if (file == nil) == (err == nil) {
			t.Errorf("%v and %v", file, err)
		}
	})
}
