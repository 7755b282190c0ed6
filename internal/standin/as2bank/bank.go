// Package as2bank is a stand-in for a bank that takes payouts as AS2 messages, with faults that are told by a script, and
// books of its own of what it has applied.
package as2bank

import (
	"bytes"
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"starlingusher/as2"
)

// Fault is what the bank does with a message.
type Fault uint8

// The faults. Those down to Reset apply the payout.
const (
	None          Fault = iota
	CutReceipt          // and ends the connection in the middle of the receipt
	Unsigned            // and gives a receipt that is not signed
	Foreign             // and signs the receipt with another partner's key
	OtherMessage        // and gives a receipt for another message
	WrongMIC            // and gives a MIC over the content alone
	NoReceipt           // and answers 200 with nothing
	Contradiction       // and answers 500 with a good receipt
	MidError            // and reports an unexpected processing error
	Silent              // and never answers
	Reset               // and resets the connection
	Decryption          // reports that it could not decrypt it
	Integrity           // reports that its integrity check failed
	Busy                // answers 503 without looking at it
)

// Applies tells that the payout is applied.
func (f Fault) Applies() bool { return f <= Reset }

// Step is what the bank does with one message.
type Step struct {
	Fault Fault
	// Before has a receipt that is posted by itself overtake the HTTP answer. Without it that receipt comes after the
	// answer, once Hold is closed, if there is one.
	Before bool
	Hold   <-chan struct{}
}

// NewKey makes a key with a certificate of its own; ec makes it an ECDSA one.
func NewKey(name string, ec bool) (as2.Key, error) {
	var key crypto.Signer
	var err error
	if ec {
		key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	} else {
		key, err = rsa.GenerateKey(rand.Reader, 2048)
	}
	if err != nil {
		return as2.Key{}, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return as2.Key{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(365 * 24 * time.Hour), KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageKeyEncipherment,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return as2.Key{}, err
	}
	cert, err := x509.ParseCertificate(der)
	return as2.Key{Cert: cert, Key: key}, err
}

// NewKeys makes a key for each name.
func NewKeys(ec bool, names ...string) ([]as2.Key, error) {
	var all []as2.Key
	for _, name := range names {
		k, err := NewKey(name, ec)
		if err != nil {
			return nil, err
		}
		all = append(all, k)
	}
	return all, nil
}

// Bank is the stand-in. It may be used by many goroutines at a time.
type Bank struct {
	Name  string
	Key   as2.Key
	other as2.Key
	us    as2.Partner
	srv   *http.Server
	ln    net.Listener
	done  sync.WaitGroup
	life  context.Context
	end   context.CancelFunc

	mu      sync.Mutex
	script  func(id string) Step
	calls   map[string]int
	applied map[string]int // by Message-ID
	byKey   map[string]int // by the key of the call, or the id of one without
	given   map[string]receipt
	changed chan struct{}
}

type receipt struct {
	sealed *as2.Sealed
	post   string
}

// New starts a bank that knows us by a certificate. other is a valid key of some other partner.
func New(name, us string, ours *x509.Certificate, key, other as2.Key) (*Bank, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Bank{
		Name: name, Key: key, other: other, ln: ln, us: as2.Partner{ID: us, Certs: []*x509.Certificate{ours}, Sign: true},
		calls: map[string]int{}, applied: map[string]int{}, byKey: map[string]int{}, given: map[string]receipt{},
		changed: make(chan struct{}),
	}
	b.life, b.end = context.WithCancel(context.Background())
	b.srv = &http.Server{Handler: b}
	b.done.Go(func() { b.srv.Serve(ln) })
	return b, nil
}

// Addr is where it is called.
func (b *Bank) Addr() string { return b.ln.Addr().String() }

// Partner is the bank as we see it: signed, and encrypted for it.
func (b *Bank) Partner() as2.Partner {
	return as2.Partner{ID: b.Name, Certs: []*x509.Certificate{b.Key.Cert}, Encrypt: b.Key.Cert, Sign: true, Cipher: as2.AES256, Digest: as2.SHA256}
}

// Do changes the script: what to do with each message, by its Message-ID. nil does all well.
func (b *Bank) Do(script func(id string) Step) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script = script
}

// Close ends it with all its connections.
func (b *Bank) Close() {
	b.end()
	b.srv.Close()
	b.done.Wait()
}

// Calls counts the calls that have come whole, by Message-ID.
func (b *Bank) Calls() map[string]int { return b.copy(&b.calls) }

// Came tells whether a message has come.
func (b *Bank) Came(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[id] > 0
}

// Applied counts the payouts that were applied, by Message-ID. A repeat that the bank knows is not applied again.
func (b *Bank) Applied() map[string]int { return b.copy(&b.applied) }

// ByKey counts the payouts that were applied, by the idempotency key of their call, or the sender's id of one without:
// whatever Message-IDs they came under.
func (b *Bank) ByKey() map[string]int { return b.copy(&b.byKey) }

func (b *Bank) copy(m *map[string]int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range *m {
		out[k] = v
	}
	return out
}

// ServeHTTP takes a message.
func (b *Bank) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Message-ID")
	b.mu.Lock()
	script := b.script
	b.mu.Unlock()
	var s Step
	if script != nil {
		s = script(id)
	}
	header := as2.Fields(r.Header)
	if s.Fault == Busy {
		b.note(id, "", false)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	o, err := as2.Open(header, body, b.us, []as2.Key{b.Key}, "", as2.DefaultLimits())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Trace-Id")
	}
	before := b.note(id, key, s.Fault.Applies())
	m := &as2.MDN{From: b.Name, To: b.us.ID, ID: "<receipt-" + strings.Trim(id, "<>") + ">", OriginalID: id,
		Disposition: as2.Disposition{Processed: true}, MIC: o.MIC, Text: "Thank you.", Agent: "as2bank"}
	if before != nil && s.Fault.Applies() {
		b.answer(w, r, s, before.sealed, before.post)
		return
	}
	signer, digest := b.Key, as2.SHA256
	switch s.Fault {
	case Unsigned:
		digest = ""
	case Foreign:
		signer = b.other
	case OtherMessage:
		m.OriginalID = "<another@us>"
	case WrongMIC:
		m.MIC = as2.MIC{Sum: bytes.Repeat([]byte{7}, 32), Digest: as2.SHA256}
	case MidError:
		m.Disposition = as2.Disposition{Processed: true, Severity: "error", Detail: string(as2.UnexpectedProcessing)}
	case Decryption:
		m.Disposition = as2.Disposition{Processed: true, Severity: "error", Detail: string(as2.DecryptionFailed)}
	case Integrity:
		m.Disposition = as2.Disposition{Processed: true, Severity: "error", Detail: string(as2.IntegrityFailed)}
	}
	sealed, err := m.Write(signer, digest)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	post := r.Header.Get("Receipt-Delivery-Option")
	if s.Fault == None {
		b.mu.Lock()
		b.given[id] = receipt{sealed, post}
		b.mu.Unlock()
	}
	b.answer(w, r, s, sealed, post)
}

// note takes a call down, and returns the receipt that the message was given before.
func (b *Bank) note(id, key string, applies bool) *receipt {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[id]++
	if applies && b.applied[id] == 0 {
		b.applied[id]++
		if key == "" {
			key = id
		}
		b.byKey[key]++
	}
	close(b.changed)
	b.changed = make(chan struct{})
	if r, ok := b.given[id]; ok {
		return &r
	}
	return nil
}

// Changed is closed at the next call.
func (b *Bank) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Bank) answer(w http.ResponseWriter, r *http.Request, s Step, sealed *as2.Sealed, post string) {
	status := http.StatusOK
	switch s.Fault {
	case Silent:
		select {
		case <-r.Context().Done():
		case <-b.life.Done():
		}
		return
	case Reset:
		b.hijack(w, func(nc net.Conn) {
			nc.(*net.TCPConn).SetLinger(0)
		})
		return
	case NoReceipt:
		w.WriteHeader(status)
		return
	case CutReceipt:
		b.hijack(w, func(nc net.Conn) {
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n")
			for _, f := range sealed.Header {
				fmt.Fprintf(nc, "%s: %s\r\n", f.Name, f.Value)
			}
			fmt.Fprintf(nc, "Content-Length: %d\r\n\r\n%s", len(sealed.Body), sealed.Body[:len(sealed.Body)/2])
		})
		return
	case Contradiction:
		status = http.StatusInternalServerError
	}
	if post == "" {
		as2.Put(w.Header(), sealed.Header)
		w.WriteHeader(status)
		w.Write(sealed.Body)
		return
	}
	if s.Before {
		b.Post(post, sealed)
		w.WriteHeader(status)
		return
	}
	w.WriteHeader(status)
	b.done.Go(func() {
		if s.Hold != nil {
			select {
			case <-s.Hold:
			case <-b.life.Done():
				return
			}
		}
		b.Post(post, sealed)
	})
}

// Post posts a receipt to us, once, and returns the status.
func (b *Bank) Post(to string, sealed *as2.Sealed) int {
	ctx, cancel := context.WithTimeout(b.life, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, to, bytes.NewReader(sealed.Body))
	if err != nil {
		return 0
	}
	as2.Put(req.Header, sealed.Header)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (b *Bank) hijack(w http.ResponseWriter, do func(net.Conn)) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	do(nc)
	nc.Close()
}
