package as2

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func vector(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "openssl", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func vectorKey(t *testing.T, name string) Key {
	t.Helper()
	c, _ := pem.Decode(vector(t, name+".pem"))
	k, _ := pem.Decode(vector(t, name+".key"))
	cert, err := x509.ParseCertificate(c.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.ParsePKCS8PrivateKey(k.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	return Key{cert, key}
}

// Messages and receipts that the openssl command made; testdata/openssl/make.sh has the commands.
func TestVectors(t *testing.T) {
	us, bank, ec := vectorKey(t, "us"), vectorKey(t, "bank"), vectorKey(t, "ec")
	mic := (MIC{SHA256.sum(vector(t, "part")), SHA256}).String()
	from := Partner{ID: "us", Certs: []*x509.Certificate{us.Cert, ec.Cert}, Sign: true}
	const content = "ISA*00*TEST~\r\n"
	for _, name := range []string{"signed-sha256.eml", "signed-sha384.eml", "signed-sha512.eml", "signed-ec.eml"} {
		e, err := ReadEntity(vector(t, name), DefaultLimits())
		if err != nil {
			t.Fatal(err)
		}
		o, err := Open(e.Header, e.Body, from, nil, SHA256, DefaultLimits())
		if err != nil || string(o.Body) != content || !o.Signed || o.MIC.String() != mic {
			t.Errorf("%s: %+v, %v", name, o, err)
		}
	}
	old, err := ReadEntity(vector(t, "signed-sha1.eml"), DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(old.Header, old.Body, from, nil, "", DefaultLimits()); !errors.Is(err, ErrWeak) {
		t.Errorf("SHA-1: %v", err)
	}
	from.SHA1 = true
	if o, err := Open(old.Header, old.Body, from, nil, "", DefaultLimits()); err != nil || o.MIC.Digest != SHA1 {
		t.Errorf("SHA-1, where it is taken: %+v, %v", o, err)
	}
	for _, name := range []string{"sealed-aes128.der", "sealed-aes256.der", "sealed-des3.der", "sealed-stream.der"} {
		o, err := Open([]Field{{"Content-Type", "application/pkcs7-mime; smime-type=enveloped-data"}}, vector(t, name), from,
			[]Key{us, bank}, SHA256, DefaultLimits())
		if err != nil || string(o.Body) != content || !o.Signed || !o.Encrypted || o.MIC.String() != mic {
			t.Errorf("%s: %+v, %v", name, o, err)
		}
	}
	e, err := ReadEntity(vector(t, "receipt.eml"), DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	sent := Sent{ID: "<payout-1@us>", From: "us", To: "bank", MICs: []MIC{{SHA256.sum(vector(t, "part")), SHA256}}, Receipt: Receipt{Want: true, Signed: true}}
	p, why := JudgeAnswer(sent, 200, e.Header, e.Body, Partner{ID: "bank", Certs: []*x509.Certificate{bank.Cert}}, DefaultLimits())
	if p != Delivered {
		t.Errorf("receipt: %s, %s", p, why)
	}
}

// A report in the form of the example in RFC 4130, appendix A: quoted names, and a digest's old name.
func TestReportAsInTheRFC(t *testing.T) {
	const report = "Content-Type: multipart/report; Report-Type=disposition-notification;\r\n    boundary=\"----=_Part_56_1672293592.1028122454656\"\r\n" +
		"AS2-From: \"  as2Name  \"\r\nAS2-To: 0123456780000\r\n\r\n" +
		"------=_Part_56_1672293592.1028122454656\r\nContent-Type: text/plain\r\nContent-Transfer-Encoding: 7bit\r\n\r\n" +
		"MDN for -\r\n Status: processed\r\n\r\n" +
		"------=_Part_56_1672293592.1028122454656\r\nContent-Type: message/disposition-notification\r\nContent-Transfer-Encoding: 7bit\r\n\r\n" +
		"Reporting-UA: AS2@test:8101\r\nOriginal-Recipient: rfc822; \"  as2Name  \"\r\nFinal-Recipient: rfc822; \"  as2Name  \"\r\n" +
		"Original-Message-ID: <200207310834482A70BF63@\\\"~~foo~~\\\">\r\nReceived-content-MIC: 7v7F++fQaNB1sVLFtMRp+dF+eG4=, sha1\r\n" +
		"Disposition: automatic-action/MDN-sent-automatically;\r\n processed\r\n\r\n" +
		"------=_Part_56_1672293592.1028122454656--\r\n"
	e, err := ReadEntity([]byte(report), DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	m, err := ReadMDN(e.Header, e.Body, Partner{}, DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	if m.From != "  as2Name  " || m.To != "0123456780000" || m.OriginalID != `<200207310834482A70BF63@\"~~foo~~\">` || m.Signed ||
		!m.Disposition.Processed || m.Disposition.Severity != "" || m.MIC.String() != "7v7F++fQaNB1sVLFtMRp+dF+eG4=, sha1" {
		t.Errorf("got %+v", m)
	}
}
