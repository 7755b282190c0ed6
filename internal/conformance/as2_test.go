package conformance

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"starlingusher/as2"
	"starlingusher/internal/standin"
	"starlingusher/internal/standin/as2bank"
)

// as2Keys are ours and the partners', shared since making them takes long.
var as2Keys = sync.OnceValues(func() ([]as2.Key, error) { return as2bank.NewKeys(true, "us", "bank") })

// as2Form is the daemon with partners that take AS2 messages, and that promise not to look at what they turn away.
type as2Form struct{ daemonForm }

func (*as2Form) name() string { return "AS2" }

func (a *as2Form) partner(t *testing.T, ledger *standin.Ledger) partner {
	t.Helper()
	keys, err := as2Keys()
	if err != nil {
		t.Fatal(err)
	}
	a.ledger = ledger
	p, err := standin.NewReplyingHTTP(nil, ledger, func(c standin.Call) (string, []byte) { return as2Reply(c, keys) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// as2Reply is a partner's receipt; a message that it can't read gets none.
func as2Reply(c standin.Call, keys []as2.Key) (string, []byte) {
	get := func(name string) string { return strings.Trim(strings.Join(c.Header[name], ""), `"`) }
	us := as2.Partner{ID: get("As2-From"), Certs: []*x509.Certificate{keys[0].Cert}, Sign: true}
	o, err := as2.Open(as2.Fields(c.Header), c.Body, us, nil, "", as2.DefaultLimits())
	if err != nil {
		return "", nil
	}
	m := as2.MDN{From: get("As2-To"), To: us.ID, ID: "<receipt@bank>", OriginalID: get("Message-Id"),
		Disposition: as2.Disposition{Processed: true}, MIC: o.MIC, Agent: "stand-in"}
	s, err := m.Write(keys[1], as2.SHA256)
	if err != nil {
		return "", nil
	}
	var lines strings.Builder
	for _, f := range s.Header {
		lines.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	return lines.String(), s.Body
}

func (a *as2Form) start(t *testing.T, state string, members []standin.Member) {
	t.Helper()
	keys, err := as2Keys()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) {
		text := der
		if kind != "" {
			text = pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	der, err := x509.MarshalPKCS8PrivateKey(keys[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	write("us.pem", "CERTIFICATE", keys[0].Cert.Raw)
	write("us.key", "PRIVATE KEY", der)
	write("bank.pem", "CERTIFICATE", keys[1].Cert.Raw)
	text := "self: {id: us, certificate: us.pem, key: us.key}\npartners:\n"
	dests := map[int]bool{}
	for _, m := range members {
		if !dests[m.Dest] {
			dests[m.Dest] = true
			text += fmt.Sprintf("  - id: Bank %d\n    certificates: [bank.pem]\n    send: {destination: %d, path: /as2, busy-is-proof: true}\n", m.Dest, m.Dest)
		}
	}
	write("as2.yaml", "", []byte(text))
	a.env = []string{"CORALYARD_TEST_AS2=" + filepath.Join(dir, "as2.yaml")}
	a.daemonForm.start(t, state, members)
}
