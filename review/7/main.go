// Command 7 plays a case: a message that was taken over AS2, and told to its partner as processed, while the endpoint that it goes to refuses
// connections for longer than its time.
package main

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"review/stage"
)

const settings = `{"fleetSize":1,"categories":[
	{"name":"table-status","effect":"idempotent","aim":4000,"deadline":12000,"worth":1,"lateWorth":0.3},
	{"name":"coin-order","effect":"deduplicated","group":"all","aim":3000,"deadline":12000,"worth":3,"lateWorth":0.3,"window":12000},
	{"name":"prize-payout","effect":"at_most_once","aim":3000,"deadline":12000,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":8},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

const (
	life     = 10 * time.Second
	outage   = 15 * time.Second // 8.3 to 22 s
	overdue  = 300*time.Millisecond + 50*time.Millisecond
	messages = 3
	rules    = "zone: Europe/Istanbul\nmax-mb: 1\nrules:\n  - classes: [coin-order]\n    pause: 2s\n    pace: 200ms\n    tries: 3\n"
)

// pair writes a key and its certificate.
func pair(s *stage.Stage, name string) {
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	s.Must(err, "key")
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(365 * 24 * time.Hour), KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageKeyEncipherment}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	s.Must(err, "certificate")
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	s.Must(err, "key")
	for file, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: cert}, name + ".key": {Type: "PRIVATE KEY", Bytes: pkcs8}} {
		s.Must(os.WriteFile(filepath.Join(s.Folder, file), pem.EncodeToMemory(block), 0o600), "key file")
	}
}

func main() {
	s := stage.Open()
	pair(s, "us")
	pair(s, "bank")
	listen := s.FreeAddr()
	ours := fmt.Sprintf(`self: {id: us, certificate: us.pem, key: us.key, listen: %q}
partners:
  - id: Bank One
    certificates: [bank.pem]
    encrypt-for: bank.pem
    take: {class: prize-payout, destination: 3, life: %v}
`, listen, life)
	banks := `self: {id: Bank One, certificate: bank.pem, key: bank.key}
partners:
  - id: us
    certificates: [us.pem]
    encrypt-for: us.pem
    send: {destination: 0, path: /as2, content-type: application/xml, receipt: signed}
`
	for name, text := range map[string]string{"us.yaml": ours, "bank.yaml": banks, "undelivered.yaml": rules} {
		s.Must(os.WriteFile(filepath.Join(s.Folder, name), []byte(text), 0o600), name)
	}
	endpoint := s.Endpoint("e3", func(stage.Call) (int, time.Duration) { return 200, 20 * time.Millisecond })
	agent := s.Agent("n1", []stage.Member{{ID: "e3", Addr: endpoint.Addr, Zone: "a", Kind: "plain", Dest: 3, Phase: "SERVING", Size: 100}})
	state, config, clients := filepath.Join(s.Folder, "state"), filepath.Join(s.Folder, "config.json"), s.FreeAddr()
	s.Must(os.Mkdir(state, 0o700), "state")
	s.WriteConfig(config, "n1", clients, agent.Addr, settings, nil)
	env := []string{"ROUTER_NAME=n1", "ROUTER_CONFIG=" + config, "ROUTER_STATE=" + state,
		"CORALYARD_AS2=" + filepath.Join(s.Folder, "us.yaml"), "CORALYARD_UNDELIVERED=" + filepath.Join(s.Folder, "undelivered.yaml")}
	s.Daemon("n1", env...)
	if !s.Ready(clients, 10*time.Second) {
		s.End(stage.NotRun, "the node is not ready")
	}
	time.Sleep(time.Second)
	tool := func(words ...string) string {
		cmd := exec.Command(s.Program(), words...)
		cmd.Env = append(os.Environ(), env...)
		out, err := cmd.CombinedOutput()
		s.Note("$ coralyard %s\n%s(%v)", strings.Join(words, " "), out, err)
		return string(out)
	}
	// A message that the node takes when all is well shows that the set-up holds.
	send := func(i int) bool {
		file := filepath.Join(s.Folder, stage.Number("payout-", i)+".xml")
		s.Must(os.WriteFile(file, []byte(stage.Number("<payout n='", i)+"'/>"), 0o600), "payout")
		out := tool("as2", "send", filepath.Join(s.Folder, "bank.yaml"), "us", listen, file)
		return strings.Contains(out, "delivered:")
	}
	if !send(0) || !stage.Until(5*time.Second, func() bool { return len(endpoint.Calls()) == 1 }) {
		s.End(stage.NotRun, "a message is not delivered when all is well")
	}

	var began time.Time
	if s.Trouble {
		time.Sleep(time.Second) // the first message has its answer
		s.Note("the endpoint refuses connections from now on")
		endpoint.Refuse()
		began = time.Now()
	}
	var taken []int
	for i := 1; i <= messages; i++ {
		if send(i) {
			taken = append(taken, i)
		}
	}
	due := time.Now().Add(life)
	if len(taken) == 0 {
		s.End(stage.Held, "no message was taken")
	}
	if s.Trouble {
		time.Sleep(time.Until(began.Add(outage)))
		s.Note("the endpoint takes connections again")
		endpoint.Accept()
	}
	time.Sleep(time.Until(due.Add(overdue)))
	time.Sleep(12 * time.Second) // what is sent again by rule, or late, would have come
	kept := tool("undelivered", "list")
	lost := 0
	for _, i := range taken {
		delivered := false
		for _, c := range endpoint.Calls() {
			delivered = delivered || c.Status == 200 && strings.Contains(c.Body, stage.Number("<payout n='", i)+"'/>")
		}
		if !delivered {
			lost++
		}
		s.Note("payout-%d: told to its partner as processed, delivered=%v", i, delivered)
	}
	entries := 0
	for _, line := range strings.Split(kept, "\n") {
		if strings.Contains(line, "prize-payout") {
			entries++
		}
	}
	notices := len(agent.Notices())
	s.Note("taken %d, not delivered %d, notices %d, undelivered entries %d", len(taken), lost, notices, entries)
	if lost > notices+entries {
		s.End(stage.Broken, "%d of %d messages that were taken have neither been delivered nor ended by a notice, and are kept nowhere", lost-notices-entries, len(taken))
	}
	s.End(stage.Held, "all %d messages have their ends", len(taken))
}
