// Package server takes AS2 messages from partners: each is opened, handed into the engine as one message, and answered
// with a receipt that stays the same however often the message comes.
package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/as2"
	"starlingusher/as2/ledger"
	"starlingusher/delivery"
)

// Engine is what the server needs of a delivery.Engine.
type Engine interface {
	Hand(front string, m delivery.Message) delivery.Answer
	Ends(ctx context.Context, front string) ([]delivery.End, error)
	Acknowledge(ctx context.Context, front string, ids ...string) error
}

// Link is a partner as the server sees it.
type Link struct {
	Partner as2.Partner
	// Class and Dest are those of the messages that come from it, and Life how long they may take.
	Class, Dest int
	Life        time.Duration
	// ReceiptURL is where receipts are posted that it asks for by themselves. What a message names as the place is compared
	// with it and never called for itself. Empty: there are none.
	ReceiptURL string
}

// Options are a server's.
type Options struct {
	Self    string // our AS2 name
	Key     as2.Key
	Decrypt []as2.Key // ours, the present one and others that partners may still use
	Links   []Link
	Ledger  *ledger.Ledger
	Engine  Engine
	Front   string // the engine's, of what comes in
	// TakeReceipt takes the receipts of what we have sent. It may be nil.
	TakeReceipt func(header []as2.Field, body []byte, from as2.Partner) error
	Limits      as2.Limits
	Client      *http.Client // posts receipts
	Log         *slog.Logger
}

const (
	agent        = "coralyard"
	tidyEvery    = time.Second
	postEvery    = 500 * time.Millisecond
	postTime     = 10 * time.Second
	maxPosts     = 64
	maxHeadBytes = 16 << 10
	headTime     = 5 * time.Second // connections are few: one that says nothing keeps others out
	readTime     = 30 * time.Second
	idleTime     = 5 * time.Second
)

// Server is an http.Handler for a partner's posts, and has receipts posted and ends acknowledged while it runs.
type Server struct {
	o    Options
	more chan struct{} // holds a token while there may be receipts to post
	// taking is held by id while a message is looked up, handed in and kept: a repeat that comes meanwhile waits, or it could
	// be handed in after the first is over and forgotten.
	taking [64]sync.Mutex
}

// New makes a server.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Client == nil {
		o.Client = newClient()
	}
	return &Server{o: o, more: make(chan struct{}, 1)}
}

// newClient makes a client that uses no connection twice: a copy of an earlier answer would end a receipt that was never taken.
func newClient() *http.Client {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}
	return &http.Client{Timeout: postTime, Transport: transport}
}

// HTTP returns an http.Server for it, with bounds on time and size.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTime, ReadTimeout: readTime, WriteTimeout: 2 * readTime, IdleTimeout: idleTime,
		MaxHeaderBytes: maxHeadBytes}
}

// link is the partner of that name, with the certificates that are valid now.
func (s *Server) link(name string, now time.Time) *Link {
	for _, l := range s.o.Links {
		if l.Partner.ID == name {
			l.Partner = l.Partner.At(now)
			return &l
		}
	}
	return nil
}

// ServeHTTP takes a message or a receipt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "AS2 messages are posted", http.StatusMethodNotAllowed)
		return
	}
	l := s.link(as2.Unquote(r.Header.Get("AS2-From")), time.Now())
	if to := as2.Unquote(r.Header.Get("AS2-To")); l == nil || to != s.o.Self {
		http.Error(w, "no partnership of these AS2 names", http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.o.Limits.Body)))
	if err != nil {
		http.Error(w, "the message is too large, or did not come whole", http.StatusRequestEntityTooLarge)
		return
	}
	header := as2.Fields(r.Header)
	if kind := strings.ToLower(r.Header.Get("Content-Type")); s.o.TakeReceipt != nil &&
		(strings.HasPrefix(kind, "multipart/report") || strings.HasPrefix(kind, "multipart/signed")) {
		switch err := s.o.TakeReceipt(header, body, l.Partner); {
		case err == nil:
			w.WriteHeader(http.StatusOK)
			return
		case !errors.Is(err, as2.ErrNoMDN):
			if strings.HasPrefix(kind, "multipart/report") || isReport(body) {
				s.o.Log.Warn("a receipt proves nothing", "partner", l.Partner.ID, "err", err)
				http.Error(w, "the receipt is not taken", http.StatusBadRequest)
				return
			}
		}
	}
	s.take(w, r, l, header, body)
}

// isReport tells that a multipart/signed holds a receipt, whether or not its signature holds.
func isReport(body []byte) bool {
	head, _, _ := bytes.Cut(body, []byte("\r\n\r\n"))
	return bytes.Contains(bytes.ToLower(head), []byte("multipart/report"))
}

// wanted is what receipt a message asks for.
type wanted struct {
	receipt bool
	signed  bool
	digest  as2.Digest
	postTo  string
}

func wants(h http.Header) wanted {
	w := wanted{receipt: h.Get("Disposition-Notification-To") != "", postTo: strings.TrimSpace(h.Get("Receipt-Delivery-Option"))}
	for _, option := range strings.Split(h.Get("Disposition-Notification-Options"), ";") { // RFC 4130, 7.3
		name, values, _ := strings.Cut(option, "=")
		list := strings.Split(values, ",")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "signed-receipt-protocol":
			for _, v := range list {
				w.signed = w.signed || strings.EqualFold(strings.TrimSpace(v), "pkcs7-signature")
			}
		case "signed-receipt-micalg":
			for _, v := range list {
				if d, err := as2.ParseDigest(v); err == nil && w.digest == "" {
					w.digest = d
				}
			}
		}
	}
	return w
}

// take takes a message: it is with the engine before its receipt is written, and the receipt is kept before it is given.
// Killed in between, the partner has no receipt and sends the message again, which the engine knows by its id.
func (s *Server) take(w http.ResponseWriter, r *http.Request, l *Link, header []as2.Field, body []byte) {
	id, want := strings.TrimSpace(r.Header.Get("Message-ID")), wants(r.Header)
	switch {
	case id == "" || len(id) > 998: // RFC 5322, 2.1.1
		http.Error(w, "a message without a Message-ID", http.StatusBadRequest)
		return
	case want.postTo != "" && want.postTo != l.ReceiptURL:
		http.Error(w, "receipts are not posted to that address", http.StatusBadRequest)
		return
	}
	o, err := as2.Open(header, body, l.Partner, s.o.Decrypt, want.digest, s.o.Limits)
	if err != nil {
		s.o.Log.Warn("a message is not taken", "partner", l.Partner.ID, "message", id, "err", err)
		s.reject(w, l, id, want, err)
		return
	}
	record, refuse := s.admit(l, id, want, o)
	if refuse != nil {
		refuse(w)
		return
	}
	s.again(w, record)
}

// admit hands a message in that is not known yet, and returns its record, or how to answer where it is not taken.
func (s *Server) admit(l *Link, id string, want wanted, o *as2.Opened) (ledger.Received, func(http.ResponseWriter)) {
	engineID := messageID(l.Partner.ID, id)
	sum := sha256.Sum256([]byte(engineID))
	lock := &s.taking[int(sum[0])%len(s.taking)]
	lock.Lock()
	defer lock.Unlock()
	notNow := func(after time.Duration, err error) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { s.unavailable(w, after, err) }
	}
	known, found, err := s.o.Ledger.Received(l.Partner.ID, id)
	switch {
	case err != nil:
		return known, notNow(time.Second, err)
	case found:
		return known, nil
	}
	a := s.o.Engine.Hand(s.o.Front, delivery.Message{
		ID: engineID, Key: engineID, Body: o.Body, Class: l.Class, Dest: l.Dest, Came: time.Now(), Life: l.Life, Keep: true,
	})
	switch {
	case a.Refused:
		return known, notNow(a.After, nil)
	case a.Failed != "":
		s.o.Log.Error("a message is not taken on", "partner", l.Partner.ID, "message", id, "why", a.Failed)
		return known, func(w http.ResponseWriter) {
			s.reject(w, l, id, want, &as2.OpenError{Problem: as2.UnexpectedProcessing, Err: errors.New(a.Failed)})
		}
	}
	record := ledger.Received{Partner: l.Partner.ID, Engine: engineID, ID: id, At: time.Now(), MIC: o.MIC.String()}
	if want.receipt {
		sealed, err := s.receipt(l, id, want, as2.Disposition{Processed: true}, o.MIC, "The message was taken.")
		if err != nil {
			return known, notNow(time.Second, err)
		}
		record.Header, record.Body, record.PostTo = sealed.Header, sealed.Body, want.postTo
	}
	if record, err = s.o.Ledger.Receive(record); err != nil {
		return known, notNow(time.Second, err)
	}
	return record, nil
}

// messageID is the engine's id of a message: short, and of visible characters.
func messageID(partner, id string) string {
	sum := sha256.Sum256([]byte(partner + "\x00" + id))
	return "as2-" + hex.EncodeToString(sum[:16])
}

func (s *Server) receipt(l *Link, id string, want wanted, d as2.Disposition, mic as2.MIC, text string) (*as2.Sealed, error) {
	m := &as2.MDN{From: s.o.Self, To: l.Partner.ID, ID: strings.Replace(messageID("receipt", id), "as2-", "<", 1) + "@" + agent + ">",
		OriginalID: id, Disposition: d, MIC: mic, Text: text, Agent: agent}
	digest := as2.Digest("")
	if want.signed {
		if digest = want.digest; digest == "" || digest == as2.SHA1 {
			digest = as2.SHA256 // nothing is signed with SHA-1 any more
		}
	}
	return m.Write(s.o.Key, digest)
}

// again gives the receipt that a message has.
func (s *Server) again(w http.ResponseWriter, r ledger.Received) {
	if r.PostTo != "" {
		if err := s.o.Ledger.Owe(r.Partner, r.ID); err != nil {
			s.unavailable(w, time.Second, err)
			return
		}
		select {
		case s.more <- struct{}{}:
		default:
		}
		w.WriteHeader(http.StatusAccepted)
		return
	}
	put(w, r.Header, r.Body)
}

func put(w http.ResponseWriter, header []as2.Field, body []byte) {
	as2.Put(w.Header(), header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	w.Write(body) // a partner that does not get it asks again
}

// reject answers a message that can't be taken, by a receipt if one is asked for. It is not kept: the next message of
// this id may be whole.
func (s *Server) reject(w http.ResponseWriter, l *Link, id string, want wanted, cause error) {
	problem := as2.UnexpectedProcessing
	if e := (*as2.OpenError)(nil); errors.As(cause, &e) {
		problem = e.Problem
	}
	if !want.receipt {
		http.Error(w, string(problem), http.StatusBadRequest)
		return
	}
	sealed, err := s.receipt(l, id, want, as2.Disposition{Processed: true, Severity: "error", Detail: string(problem)}, as2.MIC{},
		"The message was not taken: "+string(problem)+".")
	if err != nil {
		s.unavailable(w, time.Second, err)
		return
	}
	if want.postTo != "" { // also an error comes the way that was asked for, but once
		w.WriteHeader(http.StatusAccepted)
		go s.post(context.Background(), l.ReceiptURL, sealed.Header, sealed.Body)
		return
	}
	put(w, sealed.Header, sealed.Body)
}

func (s *Server) unavailable(w http.ResponseWriter, after time.Duration, err error) {
	if err != nil {
		s.o.Log.Error("a message can't be taken now", "err", err)
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(max(1, math.Ceil(after.Seconds())))))
	http.Error(w, "not now", http.StatusServiceUnavailable)
}

// Run posts receipts and acknowledges ends until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tidy, post := time.NewTicker(tidyEvery), time.NewTicker(postEvery)
	defer tidy.Stop()
	defer post.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tidy.C:
			if err := s.acknowledge(ctx); err != nil && ctx.Err() == nil {
				s.o.Log.Error("ends can't be acknowledged", "err", err)
			}
			continue
		case <-post.C:
		case <-s.more:
		}
		s.postOwed(ctx)
	}
}

// acknowledge has the engine forget the messages whose receipts are kept: from then on a repeat is known by the ledger. Those that were not delivered
// stay until the front's sink has taken their ends.
func (s *Server) acknowledge(ctx context.Context) error {
	ends, err := s.o.Engine.Ends(ctx, s.o.Front)
	if err != nil || len(ends) == 0 {
		return err
	}
	var ids []string
	for _, e := range ends {
		kept, err := s.o.Ledger.Known(e.ID)
		if err != nil {
			return err
		}
		if kept {
			ids = append(ids, e.ID)
		}
	}
	return s.o.Engine.Acknowledge(ctx, s.o.Front, ids...)
}

func (s *Server) postOwed(ctx context.Context) {
	owed, err := s.o.Ledger.Owed(maxPosts)
	if err != nil {
		s.o.Log.Error("receipts can't be posted", "err", err)
		return
	}
	for _, r := range owed {
		if err := s.post(ctx, r.PostTo, r.Header, r.Body); err != nil {
			s.o.Log.Warn("a receipt is not taken", "partner", r.Partner, "message", r.ID, "err", err)
			continue
		}
		if err := s.o.Ledger.Posted(r.Partner, r.ID); err != nil {
			s.o.Log.Error("a receipt will be posted again", "err", err)
		}
	}
}

func (s *Server) post(ctx context.Context, to string, header []as2.Field, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, postTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	as2.Put(req.Header, header)
	resp, err := s.o.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeadBytes))
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return fmt.Errorf("as2: the partner answers %s to a receipt", resp.Status)
	}
	return nil
}
