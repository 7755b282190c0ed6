// Package carrier makes the engine's attempts as AS2 messages, and takes the receipts that come by themselves.
package carrier

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/as2"
	"starlingusher/as2/ledger"
	"starlingusher/choice"
	"starlingusher/delivery"
)

// Link is how messages go to one destination.
type Link struct {
	Partner     as2.Partner
	Path        string      // of the partner's URL; its address is the endpoint's
	TLS         *tls.Config // nil for plain HTTP
	ContentType string
	Subject     string
	Receipt     as2.Receipt
	// BusyIsProof says that the partner has promised: a status of 429 or 503 without a receipt means that it has not looked
	// at the message.
	BusyIsProof bool
}

// Options are a carrier's.
type Options struct {
	Front string // the engine's name of it
	Self  string // our AS2 name
	Key   as2.Key
	Links map[int]Link // by destination
	// Ledger remembers what was sent. It is the carrier's and the server's of one set-up.
	Ledger      *ledger.Ledger
	DialTimeout time.Duration
	Limits      as2.Limits
	Log         *slog.Logger
	// Late is told of a message that a receipt proves to be delivered when nobody waits for it any more. It may be nil.
	Late func(delivery.Ref)
}

// Carrier is a delivery.Carrier. Each attempt has a connection of its own, so that nothing but the partner can make it
// take effect twice.
type Carrier struct {
	o Options

	mu      sync.Mutex
	waiting map[string]*waiter // attempts that wait for a receipt, by Message-ID
}

// waiter is an attempt. proven is closed once a receipt has proven what became of it.
type waiter struct {
	proven chan struct{}
	proof  ledger.Proof
}

// New makes a carrier.
func New(o Options) *Carrier {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	return &Carrier{o: o, waiting: map[string]*waiter{}}
}

// MessageID is a message's, the same in all its attempts and lives (RFC 4130, 5.3.3).
func (c *Carrier) MessageID(r delivery.Ref) string {
	sum := sha256.Sum256([]byte(r.Front + "\x00" + r.ID + "\x00" + strconv.FormatInt(r.Deadline.UnixMicro(), 10)))
	domain := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '.' {
			return r
		}
		return '-'
	}, c.o.Self)
	return "<" + hex.EncodeToString(sum[:16]) + "@" + domain + ">"
}

// Attempt sends a message and waits for its receipt, be it in the answer or by itself.
func (c *Carrier) Attempt(ctx context.Context, a delivery.Attempt) delivery.Result {
	link, ok := c.o.Links[a.Dest]
	if !ok {
		return refused(fmt.Errorf("as2: destination %d has no partner", a.Dest))
	}
	ctx, cancel := context.WithDeadline(ctx, a.NotPast)
	defer cancel()
	m := as2.Outgoing{From: c.o.Self, To: link.Partner.ID, ID: c.MessageID(a.Ref), Subject: link.Subject, ContentType: link.ContentType,
		Body: a.Body, Receipt: link.Receipt}
	sealed, err := as2.Seal(m, link.Partner, c.o.Key)
	if err != nil {
		return refused(err)
	}
	if !a.MayBegin(time.Now()) || ctx.Err() != nil {
		return delivery.Result{Outcome: choice.Stale, NotRun: true}
	}
	w := c.wait(m.ID)
	defer c.leave(m.ID, w)
	sent := as2.Sent{ID: m.ID, From: m.From, To: m.To, MICs: []as2.MIC{sealed.MIC}, Receipt: m.Receipt}
	if sealed.Old.Digest != "" {
		sent.MICs = append(sent.MICs, sealed.Old)
	}
	known, err := c.o.Ledger.Sending(ledger.Sent{Sent: sent, Partner: link.Partner.ID, Ref: a.Ref}, time.Now())
	if err != nil {
		return delivery.Result{Outcome: choice.NoRoute, NotRun: true, Err: err}
	}
	if known.Proof != nil { // its receipt came when nobody waited
		return proven(*known.Proof)
	}
	return c.call(ctx, a, link, sealed, known.Sent, w)
}

func refused(err error) delivery.Result {
	return delivery.Result{Outcome: choice.Stale, NotRun: true, Closed: true, Refused: true, Err: err}
}

// proven is an attempt of whose message a receipt has proven what became.
func proven(p ledger.Proof) delivery.Result {
	if p.Proof == as2.Delivered {
		return delivery.Result{Outcome: choice.Pass, Closed: true, Reply: p}
	}
	return delivery.Result{Outcome: choice.Pass, Closed: true, Refused: true, Reply: p, Err: errors.New(p.Why)}
}

func (c *Carrier) wait(id string) *waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &waiter{proven: make(chan struct{})}
	c.waiting[id] = w
	return w
}

func (c *Carrier) leave(id string, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[id] == w {
		delete(c.waiting, id)
	}
}

var errClosed = errors.New("as2: the endpoint drains or asked for a wait, or the time for a repeat is over")

// call makes the HTTP call and judges its answer.
func (c *Carrier) call(ctx context.Context, a delivery.Attempt, link Link, sealed *as2.Sealed, sent as2.Sent, w *waiter) delivery.Result {
	scheme := "http"
	if link.TLS != nil {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+a.Endpoint.AddrFor(c.o.Front)+link.Path, nil)
	if err != nil {
		return refused(err)
	}
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(sealed.Body)), int64(len(sealed.Body))
	as2.Put(req.Header, sealed.Header)
	req.Header.Set("User-Agent", "coralyard")
	req.Header.Set("X-Trace-Id", a.ID)
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
	}
	var began atomic.Bool // the first byte may have gone out
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, TLSClientConfig: link.TLS, TLSHandshakeTimeout: c.o.DialTimeout,
		MaxResponseHeaderBytes: int64(c.o.Limits.Header),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: c.o.DialTimeout}
			nc, err := d.DialContext(ctx, network, addr)
			if err == nil && !a.MayBegin(time.Now()) {
				nc.Close()
				return nil, errClosed
			}
			return nc, err
		},
	}
	// A drain calls off what has not begun.
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-a.Endpoint.Shut():
			if !began.Load() {
				stop()
			}
		case <-ctx.Done():
		}
	}()
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { began.Store(true) },
	})))
	if err != nil {
		return c.failed(ctx, a, err, began.Load(), w)
	}
	defer resp.Body.Close()
	heard := time.Now()
	body, readErr := io.ReadAll(io.LimitReader(resp.Body, int64(c.o.Limits.Body)+1))
	header := as2.Fields(resp.Header)
	proof, why := as2.Unproven, fmt.Sprint("the receipt ends too early: ", readErr)
	if readErr == nil {
		proof, why = as2.JudgeAnswer(sent, resp.StatusCode, header, body, link.Partner.At(heard), c.o.Limits)
	}
	switch proof {
	case as2.Delivered, as2.Rejected:
		kept, err := c.o.Ledger.Prove(sent.ID, ledger.Proof{At: heard, Proof: proof, Why: why, Header: header, Body: body})
		if err != nil { // the proof holds, whether or not it is kept
			c.o.Log.Error("a receipt is not kept", "message", sent.ID, "err", err)
			kept = ledger.Proof{At: heard, Proof: proof, Why: why}
		}
		r := proven(kept)
		r.Heard = heard
		return r
	case as2.Awaited:
		select {
		case <-w.proven:
			return proven(w.proof)
		case <-ctx.Done():
			return given(ctx, errors.New("as2: the receipt has not come"))
		}
	}
	select {
	case <-w.proven: // by itself, and before the answer
		return proven(w.proof)
	default:
	}
	r := delivery.Result{Outcome: choice.Fault, Heard: heard, Err: errors.New("as2: " + why)}
	if readErr != nil {
		r.Outcome = choice.Cut
	}
	if busy := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable; busy && link.BusyIsProof {
		r.Outcome, r.NotRun = choice.NoRoom, true
	}
	if sec, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && sec > 0 && sec <= longestWait.Seconds() {
		r.Wait = time.Duration(sec * float64(time.Second))
	}
	return r
}

const longestWait = 10 * time.Minute // of those that a partner may ask for

// given is an attempt that was given up.
func given(ctx context.Context, err error) delivery.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return delivery.Result{Outcome: choice.TooSlow, Err: err}
	}
	return delivery.Result{Outcome: choice.Undone, Err: err}
}

// failed is an attempt whose call brought no answer.
func (c *Carrier) failed(ctx context.Context, a delivery.Attempt, err error, began bool, w *waiter) delivery.Result {
	select {
	case <-w.proven: // its receipt came by itself all the same
		return proven(w.proof)
	default:
	}
	switch {
	case !began && (errors.Is(err, errClosed) || a.Endpoint.Gone()):
		return delivery.Result{Outcome: choice.Stale, NotRun: true, Err: err}
	case !began && ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return delivery.Result{Outcome: choice.Undone, NotRun: true, Err: err}
	case !began:
		return delivery.Result{Outcome: choice.NoRoute, NotRun: true, Err: err}
	case ctx.Err() != nil:
		return given(ctx, err)
	}
	return delivery.Result{Outcome: choice.Cut, Err: err}
}

// TakeReceipt takes a receipt that has come by itself. It returns an error if it proves nothing, and as2.ErrNoMDN if it is
// none.
func (c *Carrier) TakeReceipt(header []as2.Field, body []byte, from as2.Partner) error {
	m, err := as2.ReadMDN(header, body, from, c.o.Limits)
	if err != nil {
		return err
	}
	s, found, err := c.o.Ledger.Sent(m.OriginalID)
	switch {
	case err != nil:
		return err
	case !found || s.Partner != from.ID:
		return fmt.Errorf("as2: a receipt for a message that was not sent to %s", from.ID)
	}
	proof, why := as2.Judge(s.Sent, m)
	if proof != as2.Delivered && proof != as2.Rejected {
		return fmt.Errorf("as2: a receipt for %s proves nothing: %s", s.ID, why)
	}
	kept, err := c.o.Ledger.Prove(s.ID, ledger.Proof{At: time.Now(), Proof: proof, Why: why, Header: header, Body: body})
	if err != nil {
		return err
	}
	c.mu.Lock()
	w := c.waiting[s.ID]
	delete(c.waiting, s.ID)
	c.mu.Unlock()
	switch {
	case w != nil:
		w.proof = kept
		close(w.proven)
	case kept.Proof == as2.Delivered && c.o.Late != nil:
		c.o.Late(s.Ref)
	}
	return nil
}

// HangUp is delivery.Carrier's; no connection is kept.
func (c *Carrier) HangUp(string, int) {}

// Close is delivery.Carrier's.
func (c *Carrier) Close() {}
