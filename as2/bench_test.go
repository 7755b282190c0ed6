package as2

import (
	"crypto/x509"
	"fmt"
	"testing"
)

// BenchmarkMessage seals and opens a message, beside the bare calls of the CMS library and the digest of the MIC: signed and
// encrypted with RSA keys, signed with P-256.
func BenchmarkMessage(b *testing.B) {
	for _, kind := range []string{"RSA-2048", "RSA-3072", "P-256"} {
		us, bank := newKey(b, "us", kind), newKey(b, "bank", kind)
		for _, size := range []int{1 << 10, 64 << 10} {
			m := payout()
			m.Body = make([]byte, size)
			to := Partner{ID: m.To, Sign: true, Digest: SHA256, Cipher: AES256}
			if kind != "P-256" {
				to.Encrypt = bank.Cert
			}
			from := Partner{ID: m.From, Sign: true, Certs: []*x509.Certificate{us.Cert}}
			b.Run(fmt.Sprintf("%s/%d/as2", kind, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					s, err := Seal(m, to, us)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := Open(s.Header, s.Body, from, []Key{bank}, "", DefaultLimits()); err != nil {
						b.Fatal(err)
					}
				}
			})
			b.Run(fmt.Sprintf("%s/%d/bare", kind, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					signature, err := sign(m.Body, us, SHA256)
					if err != nil {
						b.Fatal(err)
					}
					body := m.Body
					if to.Encrypt != nil {
						der, err := encrypt(body, bank.Cert, AES256)
						if err != nil {
							b.Fatal(err)
						}
						p, err := parseCMS(der)
						if err != nil {
							b.Fatal(err)
						}
						if body, err = p.Decrypt(bank.Cert, bank.Key); err != nil {
							b.Fatal(err)
						}
					}
					if _, _, err := verify(body, signature, from.Certs, false); err != nil {
						b.Fatal(err)
					}
					SHA256.sum(body)
				}
			})
		}
	}
}
