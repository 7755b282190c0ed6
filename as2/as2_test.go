package as2

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// newKey makes a key with a certificate of its own.
func newKey(t testing.TB, name string, kind string) Key {
	t.Helper()
	var key crypto.Signer
	var err error
	switch kind {
	case "P-256":
		key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case "RSA-3072":
		key, err = rsa.GenerateKey(rand.Reader, 3072)
	default:
		key, err = rsa.GenerateKey(rand.Reader, 2048)
	}
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageKeyEncipherment,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return Key{cert, key}
}

// parties are keys that tests share, since making them takes long.
var parties = sync.OnceValue(func() map[string]Key {
	t := &testing.B{}
	return map[string]Key{"us": newKey(t, "us", ""), "bank": newKey(t, "bank", ""), "other": newKey(t, "other", ""),
		"ec": newKey(t, "ec", "P-256")}
})

func keyOf(name string) Key { return parties()[name] }

// bankAsSeen is the bank as we see it, and usAsSeen we as the bank sees us.
func bankAsSeen() Partner {
	return Partner{ID: "Bank One", Certs: []*x509.Certificate{keyOf("bank").Cert}, Encrypt: keyOf("bank").Cert, Sign: true, Cipher: AES256, Digest: SHA256}
}

func usAsSeen() Partner {
	return Partner{ID: "us", Certs: []*x509.Certificate{keyOf("us").Cert}, Encrypt: keyOf("us").Cert, Sign: true, Cipher: AES256, Digest: SHA256}
}

func payout() Outgoing {
	return Outgoing{From: "us", To: "Bank One", ID: "<payout-1@us>", Subject: "payout", ContentType: "application/xml", Name: "payout 1.xml",
		Body: []byte("<payout id=\"1\">\n<amount>12.50</amount>\r\n\x00\xff</payout>"), Receipt: Receipt{Want: true, Signed: true}}
}

// Each order that the RFCs allow is read back, and both sides have the same MIC.
func TestSealAndOpen(t *testing.T) {
	for _, signs := range []string{"", "us", "ec"} {
		for _, c := range []Compression{Uncompressed, CompressFirst, SignFirst} {
			for _, cipher := range []Cipher{"", AES128, AES256} {
				for _, d := range []Digest{SHA256, SHA384, SHA512} {
					name := fmt.Sprint("signed by ", signs, ", compression ", c, ", cipher ", cipher, ", ", d)
					to := Partner{ID: "Bank One", Sign: signs != "", Cipher: cipher, Digest: d, Compress: c}
					from := Partner{ID: "us", Sign: signs != ""}
					own := Key{}
					if signs != "" {
						own = keyOf(signs)
						from.Certs = []*x509.Certificate{keyOf("other").Cert, own.Cert}
					}
					if cipher != "" {
						to.Encrypt = keyOf("bank").Cert
					}
					m := payout()
					s, err := Seal(m, to, own)
					if err != nil {
						t.Fatalf("%s: %v", name, err)
					}
					o, err := Open(s.Header, s.Body, from, []Key{keyOf("other"), keyOf("bank")}, s.MIC.Digest, DefaultLimits())
					if err != nil {
						t.Errorf("%s: %v", name, err)
						continue
					}
					if !bytes.Equal(o.Body, m.Body) || o.ContentType != m.ContentType || (cipher != "" || signs != "" || c != 0) && o.Name != m.Name {
						t.Errorf("%s: got %+v", name, o)
					}
					if o.MIC.String() != s.MIC.String() || o.MIC.Digest != d {
						t.Errorf("%s: MIC %s, sent %s", name, o.MIC, s.MIC)
					}
					if o.Signed != (signs != "") || o.Encrypted != (cipher != "") || o.Compressed != (c != 0) {
						t.Errorf("%s: got %+v", name, o)
					}
				}
			}
		}
	}
}

// The MIC is over what RFC 4130, 7.3.1, says, in each form.
func TestWhatTheMICIsOver(t *testing.T) {
	m := payout()
	part := "Content-Type: application/xml\r\nContent-Transfer-Encoding: binary\r\nContent-Disposition: attachment; filename=\"payout 1.xml\"\r\n\r\n" + string(m.Body)
	for _, c := range []struct {
		name string
		to   Partner
		over string
	}{
		{"signed", Partner{Sign: true, Digest: SHA256}, part},
		{"signed and encrypted", bankAsSeen(), part},
		{"encrypted", Partner{Encrypt: keyOf("bank").Cert, Cipher: AES128, Digest: SHA256}, part},
		{"signed, then compressed", Partner{Sign: true, Digest: SHA256, Compress: SignFirst}, part},
		{"compressed", Partner{Digest: SHA256, Compress: CompressFirst}, part},
		{"plain", Partner{Digest: SHA256}, string(m.Body)},
	} {
		s, err := Seal(m, c.to, keyOf("us"))
		if err != nil {
			t.Fatal(err)
		}
		if want := (MIC{SHA256.sum([]byte(c.over)), SHA256}); s.MIC.String() != want.String() {
			t.Errorf("%s: %s, want %s", c.name, s.MIC, want)
		}
	}
}

func TestWhatCantBeOpened(t *testing.T) {
	seal := func(to Partner, own Key) *Sealed {
		s, err := Seal(payout(), to, own)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	signed := bankAsSeen()
	signed.Encrypt = nil
	changed := seal(signed, keyOf("us"))
	changed.Body = bytes.Replace(changed.Body, []byte("12.50"), []byte("92.50"), 1)
	plain := seal(Partner{Digest: SHA256}, Key{})
	forged := keyOf("us")
	forged.Cert = &x509.Certificate{} // the name of our certificate over another key
	*forged.Cert = *keyOf("us").Cert
	forged.Key = keyOf("other").Key
	l := DefaultLimits()
	for _, c := range []struct {
		name string
		s    *Sealed
		keys []Key
		want Problem
	}{
		{"changed on the way", changed, nil, AuthenticationFailed},
		{"signed by another", seal(signed, keyOf("other")), nil, AuthenticationFailed},
		{"signed in our name by another key", seal(signed, forged), nil, AuthenticationFailed},
		{"not signed", plain, nil, InsufficientSecurity},
		{"encrypted for another", seal(bankAsSeen(), keyOf("us")), []Key{keyOf("other")}, DecryptionFailed},
		{"too large", &Sealed{Header: plain.Header, Body: make([]byte, l.Body+1)}, nil, UnexpectedProcessing},
	} {
		_, err := Open(c.s.Header, c.s.Body, usAsSeen(), c.keys, "", l)
		var p *OpenError
		if !errors.As(err, &p) || p.Problem != c.want {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}

// A signature holds over the canonical form where a product has sent line ends of its own.
func TestLineEndsOfOtherProducts(t *testing.T) {
	e := &Entity{Header: []Field{{"Content-Type", "text/plain"}}, Body: []byte("one\r\ntwo\r\n")}
	s, err := signed(e, keyOf("us"), SHA256)
	if err != nil {
		t.Fatal(err)
	}
	body := bytes.Replace(s.Body, e.Bytes(), bytes.ReplaceAll(e.Bytes(), []byte("\r\n"), []byte("\n")), 1)
	o, err := Open(s.Header, body, usAsSeen(), nil, "", DefaultLimits())
	if err != nil || string(o.Body) != "one\r\ntwo\r\n" || o.MIC.String() != (MIC{SHA256.sum(e.Bytes()), SHA256}).String() {
		t.Errorf("got %+v, %v", o, err)
	}
}

func receipt(t *testing.T, m *MDN, own Key, d Digest) *Sealed {
	t.Helper()
	s, err := m.Write(own, d)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What a receipt proves, and what it does not.
func TestProof(t *testing.T) {
	s, err := Seal(payout(), bankAsSeen(), keyOf("us"))
	if err != nil {
		t.Fatal(err)
	}
	m := payout()
	sent := Sent{ID: m.ID, From: m.From, To: m.To, MICs: []MIC{s.MIC}, Receipt: m.Receipt}
	good := MDN{From: "Bank One", To: "us", ID: "<r@bank>", OriginalID: m.ID, Disposition: Disposition{Processed: true}, MIC: s.MIC, Text: "taken", Agent: "bank"}
	with := func(change func(*MDN)) *MDN {
		c := good
		change(&c)
		return &c
	}
	problemOf := func(detail string) func(*MDN) {
		return func(m *MDN) { m.Disposition = Disposition{true, "error", detail} }
	}
	async := sent
	async.Receipt.AsyncTo = "http://us/receipts"
	part := "Content-Type: application/xml\r\nContent-Transfer-Encoding: binary\r\nContent-Disposition: attachment; filename=\"payout 1.xml\"\r\n\r\n" + string(m.Body)
	over := func(text string) MIC { return MIC{SHA256.sum([]byte(text)), SHA256} }
	for _, c := range []struct {
		name   string
		sent   Sent
		status int
		mdn    *MDN
		key    string
		digest Digest
		want   Proof
	}{
		{"as it should be", sent, 200, &good, "bank", SHA256, Delivered},
		{"SHA-512 over the receipt", sent, 200, &good, "bank", SHA512, Delivered},
		{"not signed", sent, 200, &good, "bank", "", Unproven},
		{"signed by another", sent, 200, &good, "other", SHA256, Unproven},
		{"for another message", sent, 200, with(func(m *MDN) { m.OriginalID = "<payout-2@us>" }), "bank", SHA256, Unproven},
		{"from another partner", sent, 200, with(func(m *MDN) { m.From = "Bank Two" }), "bank", SHA256, Unproven},
		{"to another", sent, 200, with(func(m *MDN) { m.To = "them" }), "bank", SHA256, Unproven},
		{"no MIC", sent, 200, with(func(m *MDN) { m.MIC = MIC{} }), "bank", SHA256, Unproven},
		{"MIC of the content alone", sent, 200, with(func(m *MDN) { m.MIC = over(string(payout().Body)) }), "bank", SHA256, Unproven},
		{"MIC with other line ends", sent, 200, with(func(m *MDN) { m.MIC = over(strings.ReplaceAll(part, "\r\n", "\n")) }), "bank", SHA256, Unproven},
		{"MIC of a canonical text", sent, 200, with(func(m *MDN) { m.MIC = over(string(canonical([]byte(part)))) }), "bank", SHA256, Unproven},
		{"MIC of the part with its line end", sent, 200, with(func(m *MDN) { m.MIC = over(part + "\r\n") }), "bank", SHA256, Unproven},
		{"MIC of another digest", sent, 200, with(func(m *MDN) { m.MIC = MIC{SHA512.sum([]byte(part)), SHA512} }), "bank", SHA256, Unproven},
		{"had it before", sent, 200, with(func(m *MDN) { m.Disposition = Disposition{true, "warning", "duplicate-document"}; m.MIC = MIC{} }), "bank", SHA256, Delivered},
		{"another warning", sent, 200, with(func(m *MDN) {
			m.Disposition = Disposition{true, "warning", "authentication-failed, processing continued"}
		}), "bank", SHA256, Delivered},
		{"can't decrypt it", sent, 200, with(problemOf("decryption-failed")), "bank", SHA256, Rejected},
		{"integrity", sent, 200, with(problemOf("integrity-check-failed")), "bank", SHA256, Rejected},
		{"failed in the midst", sent, 200, with(problemOf("unexpected-processing-error")), "bank", SHA256, Unproven},
		{"of its own words", sent, 200, with(problemOf("the moon is full")), "bank", SHA256, Unproven},
		{"failed", sent, 200, with(func(m *MDN) { m.Disposition = Disposition{false, "failure", "unsupported format"} }), "bank", SHA256, Rejected},
		{"processed, with status 500", sent, 500, &good, "bank", SHA256, Unproven},
		{"rejected, with status 400", sent, 400, with(problemOf("decryption-failed")), "bank", SHA256, Rejected},
		{"rejected without a signature", sent, 200, with(problemOf("decryption-failed")), "bank", "", Unproven},
		{"nothing", sent, 200, nil, "", "", Unproven},
		{"nothing, where it comes by itself", async, 202, nil, "", "", Awaited},
		{"status 500, where it comes by itself", async, 500, nil, "", "", Unproven},
		{"at once, though asked for by itself", async, 200, &good, "bank", SHA256, Delivered},
		{"a receipt that proves nothing, though asked for by itself", async, 200, with(func(m *MDN) { m.MIC = MIC{} }), "bank", SHA256, Unproven},
	} {
		var answer Sealed
		if c.mdn != nil {
			answer = *receipt(t, c.mdn, keyOf(c.key), c.digest)
		}
		got, why := JudgeAnswer(c.sent, c.status, answer.Header, answer.Body, bankAsSeen(), DefaultLimits())
		if got != c.want || why == "" {
			t.Errorf("%s: %s, %q; want %s", c.name, got, why, c.want)
		}
	}
	// Cut anywhere, it proves nothing.
	whole := receipt(t, &good, keyOf("bank"), SHA256)
	for n := range len(whole.Body) - len("--\r\n") {
		if p, why := JudgeAnswer(sent, 200, whole.Header, whole.Body[:n], bankAsSeen(), DefaultLimits()); p != Unproven {
			t.Fatalf("cut at %d of %d: %s, %s", n, len(whole.Body), p, why)
		}
	}
}

// A partner that knows no other digest answers with SHA-1, where that is taken.
func TestAnOldPartner(t *testing.T) {
	p := bankAsSeen()
	for _, taken := range []bool{false, true} {
		p.SHA1 = taken
		s, err := Seal(payout(), p, keyOf("us"))
		if err != nil {
			t.Fatal(err)
		}
		if (s.Old.Digest == SHA1) != taken {
			t.Errorf("taken %v: %s", taken, s.Old)
		}
		o, err := Open(s.Header, s.Body, usAsSeen(), []Key{keyOf("bank")}, SHA1, DefaultLimits())
		if err != nil {
			t.Fatal(err)
		}
		m := &MDN{From: "Bank One", To: "us", OriginalID: payout().ID, Disposition: Disposition{Processed: true}, MIC: o.MIC, Signed: true}
		sent := Sent{ID: payout().ID, From: "us", To: "Bank One", MICs: []MIC{s.MIC, s.Old}, Receipt: payout().Receipt}
		if got, why := Judge(sent, m); (got == Delivered) != taken {
			t.Errorf("taken %v: %s, %s", taken, got, why)
		}
	}
}

// A certificate that is not valid any more, or not yet, proves nothing.
func TestCertificatesAtATime(t *testing.T) {
	p := bankAsSeen()
	for at, want := range map[time.Duration]int{0: 1, 2 * time.Hour: 0, -2 * time.Hour: 0} {
		if got := p.At(time.Now().Add(at)); len(got.Certs) != want {
			t.Errorf("%v: %d certificates", at, len(got.Certs))
		}
	}
	s, err := Seal(payout(), usAsSeen(), keyOf("us"))
	if err != nil {
		t.Fatal(err)
	}
	var e *OpenError
	if _, err := Open(s.Header, s.Body, usAsSeen().At(time.Now().Add(2*time.Hour)), []Key{keyOf("us")}, "", DefaultLimits()); !errors.As(err, &e) || e.Problem != AuthenticationFailed {
		t.Errorf("got %v", err)
	}
}

func TestBombs(t *testing.T) {
	l := DefaultLimits()
	zeros, err := compress(append([]byte("Content-Type: text/plain\r\n\r\n"), make([]byte, 64<<20)...))
	if err != nil {
		t.Fatal(err)
	}
	deep := &Entity{Header: []Field{{"Content-Type", "text/plain"}}, Body: []byte("x")}
	for range 1000 {
		b := newBoundary()
		deep = &Entity{Header: []Field{{"Content-Type", `multipart/signed; protocol="application/pkcs7-signature"; boundary="` + b + `"`}},
			Body: multipart(b, deep.Bytes(), []byte("Content-Type: application/pkcs7-signature\r\n\r\nx"))}
	}
	cms := []Field{{"Content-Type", "application/pkcs7-mime; smime-type=enveloped-data"}}
	for _, c := range []struct {
		name   string
		header []Field
		body   []byte
	}{
		{"decompression", []Field{{"Content-Type", "application/pkcs7-mime; smime-type=compressed-data"}}, zeros},
		{"nested multiparts", deep.Header, deep.Body},
		{"ASN.1 nested", cms, bytes.Repeat([]byte{0x30, 0x80}, 400_000)},
		{"ASN.1 of absurd lengths", cms, []byte{0x30, 0x84, 0xff, 0xff, 0xff, 0xff, 0}},
		{"ASN.1 of longer lengths", cms, []byte{0x30, 0x89, 1, 1, 1, 1, 1, 1, 1, 1, 1, 0}},
		{"ASN.1 of many elements", cms, append([]byte{0x30, 0x83, 0x0f, 0, 0}, make([]byte, 0xf0000)...)},
		{"parts without end", []Field{{"Content-Type", `multipart/signed; boundary="b"`}}, bytes.Repeat([]byte("--b\r\n\r\n"), 100_000)},
	} {
		if _, err := Open(c.header, c.body, usAsSeen(), []Key{keyOf("bank")}, "", l); err == nil {
			t.Errorf("%s: it was opened", c.name)
		}
	}
	for name, raw := range map[string]string{
		"a line":  "X: " + strings.Repeat("y", 1<<19) + "\r\n\r\n",
		"fields":  strings.Repeat("X: y\r\n", 200) + "\r\n",
		"no end":  "X: y",
		"a fold":  " y\r\n\r\n",
		"no name": ": y\r\n\r\n",
	} {
		if _, err := ReadEntity([]byte(raw), l); !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrSyntax) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestHeadersThatCantBeWritten(t *testing.T) {
	for _, change := range []func(*Outgoing){
		func(m *Outgoing) { m.ID = "<a>\r\nX: y" }, func(m *Outgoing) { m.From = "a\nb" }, func(m *Outgoing) { m.ContentType = "a/b\r\n\r\n" },
	} {
		m := payout()
		change(&m)
		if _, err := Seal(m, bankAsSeen(), keyOf("us")); !errors.Is(err, ErrHeader) {
			t.Errorf("got %v", err)
		}
	}
}

// What we write holds for the openssl command, and what that writes holds for us.
func TestOpenSSL(t *testing.T) {
	path, err := exec.LookPath("openssl")
	if err != nil {
		t.Skip("there is no openssl command here")
	}
	dir := t.TempDir()
	write := func(name string, text []byte) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	run := func(args ...string) []byte {
		out, err := exec.Command(path, args...).CombinedOutput()
		if err != nil {
			t.Fatalf("openssl %s: %v\n%s", strings.Join(args, " "), err, out)
		}
		return out
	}
	cert := write("us.pem", pemOf(keyOf("us").Cert))
	bankCert, bankKey := write("bank.pem", pemOf(keyOf("bank").Cert)), write("bank.key", pemOfKey(t, keyOf("bank").Key))
	usKey := write("us.key", pemOfKey(t, keyOf("us").Key))
	// openssl reads S/MIME by lines, so that only a text goes through it whole; the signature of a binary content is checked
	// apart from its multipart.
	for _, c := range []struct {
		compress Compression
		body     string
	}{{Uncompressed, "ISA*00~\r\nIEA*1~\r\n"}, {Uncompressed, string(payout().Body)}, {CompressFirst, string(payout().Body)}} {
		to, m := bankAsSeen(), payout()
		to.Compress, m.Body = c.compress, []byte(c.body)
		s, err := Seal(m, to, keyOf("us"))
		if err != nil {
			t.Fatal(err)
		}
		signed := filepath.Join(dir, "signed")
		run("cms", "-decrypt", "-binary", "-inform", "DER", "-in", write("sealed", s.Body), "-recip", bankCert, "-inkey", bankKey, "-out", signed)
		raw, err := os.ReadFile(signed)
		if err != nil {
			t.Fatal(err)
		}
		e, err := ReadEntity(raw, DefaultLimits())
		if err != nil {
			t.Fatal(err)
		}
		_, params, err := e.mediaType()
		if err != nil {
			t.Fatal(err)
		}
		parts, err := splitMultipart(e.Body, params["boundary"], DefaultLimits())
		if err != nil || len(parts) != 2 {
			t.Fatalf("%d parts, %v", len(parts), err)
		}
		_, signature, _ := bytes.Cut(parts[1], []byte("\r\n\r\n"))
		armoured := append(append([]byte("-----BEGIN CMS-----\n"), signature...), "\n-----END CMS-----\n"...)
		run("cms", "-verify", "-binary", "-inform", "PEM", "-in", write("signature", armoured), "-content", write("content", parts[0]),
			"-certfile", cert, "-noverify", "-out", filepath.Join(dir, "out"))
		if !strings.Contains(c.body, "\x00") {
			run("cms", "-verify", "-in", signed, "-certfile", cert, "-noverify", "-out", filepath.Join(dir, "out"))
			out, err := os.ReadFile(filepath.Join(dir, "out"))
			if err != nil || !bytes.HasSuffix(out, m.Body) {
				t.Errorf("openssl read %q, %v", out, err)
			}
		}
	}
	part := write("part", []byte("Content-Type: application/edi-x12\r\n\r\nISA*00~\r\n"))
	for _, digest := range []string{"sha256", "sha384", "sha512", "sha1"} {
		run("cms", "-sign", "-binary", "-md", digest, "-in", part, "-signer", cert, "-inkey", usKey, "-outform", "SMIME", "-out", filepath.Join(dir, "signed"))
		run("cms", "-encrypt", "-binary", "-aes256", "-in", filepath.Join(dir, "signed"), "-outform", "DER", "-out", filepath.Join(dir, "sealed"), bankCert)
		body, err := os.ReadFile(filepath.Join(dir, "sealed"))
		if err != nil {
			t.Fatal(err)
		}
		from := usAsSeen()
		from.SHA1 = true
		o, err := Open([]Field{{"Content-Type", "application/pkcs7-mime; smime-type=enveloped-data"}}, body, from, []Key{keyOf("bank")}, "", DefaultLimits())
		if err != nil || string(o.Body) != "ISA*00~\r\n" || !o.Signed || !o.Encrypted {
			t.Errorf("%s: got %+v, %v", digest, o, err)
		}
	}
}

func pemOf(c *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
}

func pemOfKey(t *testing.T, k crypto.PrivateKey) []byte {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
}

func FuzzOpen(f *testing.F) {
	s, err := Seal(payout(), Partner{Sign: true, Digest: SHA256}, keyOf("us"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add((&Entity{Header: s.Header, Body: s.Body}).Bytes())
	f.Add([]byte("Content-Type: multipart/signed; boundary=b\r\n\r\n--b\r\n\r\n--b\r\n\r\n--b--"))
	f.Add([]byte("Content-Type: application/pkcs7-mime; smime-type=compressed-data\r\n\r\n0"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := ReadEntity(raw, DefaultLimits())
		if err != nil {
			return
		}
		Open(e.Header, e.Body, usAsSeen(), []Key{keyOf("bank")}, "", DefaultLimits())
	})
}

func FuzzReadMDN(f *testing.F) {
	m := &MDN{From: "Bank One", To: "us", ID: "<r@bank>", OriginalID: "<m>", Disposition: Disposition{Processed: true}, MIC: MIC{SHA256.sum(nil), SHA256}}
	s, err := m.Write(Key{}, "")
	if err != nil {
		f.Fatal(err)
	}
	f.Add((&Entity{Header: s.Header, Body: s.Body}).Bytes())
	f.Add([]byte("Content-Type: multipart/report; boundary=b\r\n\r\n--b\r\nContent-Type: message/disposition-notification\r\n\r\nDisposition: a; processed/error: x\r\n--b--"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := ReadEntity(raw, DefaultLimits())
		if err != nil {
			return
		}
		m, err := ReadMDN(e.Header, e.Body, bankAsSeen(), DefaultLimits())
		if err == nil {
			Judge(Sent{ID: "<m>", Receipt: Receipt{Signed: true}}, m)
		}
	})
}

func FuzzCMS(f *testing.F) {
	signature, err := sign([]byte("x"), keyOf("us"), SHA256)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(signature)
	sealed, err := encrypt([]byte("x"), keyOf("bank").Cert, AES128)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	small, err := compress([]byte("x"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(small)
	f.Fuzz(func(t *testing.T, der []byte) {
		if _, _, err := verify([]byte("x"), der, []*x509.Certificate{keyOf("us").Cert}, false); err == nil && !bytes.Equal(der, signature) {
			return // another encoding of a signature that holds
		}
		decrypt(der, []Key{keyOf("bank")})
		if out, err := decompress(der, 1000); err == nil && len(out) > 1000 {
			t.Errorf("%d bytes", len(out))
		}
	})
}
