package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
)

// net/http's Transport is not used for calls: it takes a request with an Idempotency-Key for replayable and
// sends it again by itself when a reused connection breaks, dials beside a call that may find an idle
// connection first, and does not tell how much of a request was written. Here a request is written once, on
// one connection, by one Write.

const (
	maxAnswerHead = 32 << 10
	maxAnswerBody = maxBody
	answerTimeout = 500 * time.Millisecond // from an answer's first byte to its last
	idleMargin    = 400 * time.Millisecond // an endpoint's idle clock may be ahead of ours by an answer's way
	loadHeader    = "Endpoint-Load-Metrics"
	requestHead   = 192 // bytes of a request's head but for what varies, at least
	maxContinues  = 8   // 1xx answers ahead of the real one
	longestWait   = 10 * time.Minute
	mostLeft      = 2   // in a load report: of a share, which may be noisy,
	mostLimit     = 1e6 // and of a limit
)

// pool makes calls, on connections that it keeps between them.
type pool struct {
	connect func(ctx context.Context, network, addr string) (net.Conn, error)
	idleFor time.Duration
	maxIdle int

	mu   sync.Mutex
	idle map[string][]*conn // by endpoint; the last one was used last
	size int
}

// conn is a connection to an endpoint. One goroutine reads from it for as long as it lives: answers to calls and, between
// calls, that the endpoint closes it or says something unasked for. So a read that waits is there already when a call
// begins, where a watch that had to be called back and a read of the call's own cost one more each.
type conn struct {
	net.Conn
	addr  string
	limit *io.LimitedReader
	br    *bufio.Reader

	idleSince time.Time // while it is kept; of whoever has it

	mu   sync.Mutex
	call *call // whose answer is awaited
	gone bool  // nothing more comes of it
}

// call is a request and what becomes of it.
type call struct {
	request []byte
	body    func([]byte) error // is shown what a good answer holds; nil for one that means nothing
	end     chan callEnd       // takes one without blocking
}

type callEnd struct {
	res   delivery.Result
	reuse bool // the connection is good for another call
	err   error
}

func newPool(dialTimeout, connIdle time.Duration, maxIdle int) *pool {
	if dialTimeout <= 0 {
		dialTimeout = time.Second
	}
	return &pool{
		connect: (&net.Dialer{Timeout: dialTimeout}).DialContext, idleFor: max(connIdle-idleMargin, connIdle/2), maxIdle: maxIdle,
		idle: map[string][]*conn{},
	}
}

// Attempt makes one call. It returns when its slot is free again: at the answer, or with the connection closed.
func (p *pool) Attempt(ctx context.Context, c delivery.Attempt) delivery.Result {
	request, err := encodeRequest(c)
	if err != nil {
		return delivery.Result{Outcome: choice.Stale, NotRun: true, Err: err}
	}
	return p.call(ctx, c, request, nil)
}

// call makes the call of an attempt. What body can't read is no answer.
func (p *pool) call(ctx context.Context, c delivery.Attempt, request []byte, body func([]byte) error) delivery.Result {
	x := &call{request: request, body: body, end: make(chan callEnd, 1)}
	ctx, cancel := context.WithDeadline(ctx, c.NotPast)
	defer cancel()
	if !c.MayBegin(time.Now()) || ctx.Err() != nil {
		return delivery.Result{Outcome: choice.Stale, NotRun: true}
	}
	var k *conn
	if c.Fresh {
		p.shed(c.Endpoint.ID) // the new one takes its place: an endpoint holds only so many
	} else {
		k = p.take(c.Endpoint, x)
	}
	kept := k != nil
	if kept {
		c.Times.Took(k.idleSince)
	} else {
		var err error
		c.Times.Dial()
		if k, err = p.dial(ctx, c.Endpoint.Addr); errors.Is(err, errNoLocal) {
			return delivery.Result{Outcome: choice.Stale, NotRun: true, Err: err}
		} else if err != nil {
			return delivery.Result{Outcome: choice.NoRoute, NotRun: true, Err: err}
		}
		c.Times.Connect()
		k.call = x
		go p.read(k, c.Endpoint.ID) // ends with the connection
	}
	// A dial takes up to a second; a wait told, a drain heard of or a repeat's time that is over meanwhile forbids the
	// first byte.
	if !c.MayBegin(time.Now()) {
		if k.leave(x) {
			p.give(c.Endpoint, k)
		}
		return delivery.Result{Outcome: choice.Stale, NotRun: true}
	}
	stop := context.AfterFunc(ctx, func() { k.Close() })
	res, reuse := k.exchange(ctx, x, c.Times)
	res.Kept = kept
	if stop() && reuse {
		p.give(c.Endpoint, k)
	} else {
		k.Close()
	}
	return res
}

// errHead is of what would end a line of a request's head, or be none there.
var errHead = errors.New("an id, a key or an address that can't stand in a request's head")

// encodeRequest writes a whole request, so that one Write sends it. What goes into its head must not end a line there.
func encodeRequest(c delivery.Attempt) ([]byte, error) {
	if !isToken(c.ID) || (c.Key != "" && !isToken(c.Key)) || !isToken(c.Endpoint.Addr) {
		return nil, errHead
	}
	b := make([]byte, 0, requestHead+len(c.ID)+len(c.Key)+len(c.Endpoint.Addr)+len(c.Body))
	b = appendHead(b, "/v1/messages", c, len(c.Body))
	if c.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), c.Key...)
	}
	b = append(append(b, "\r\nX-Trace-Id: "...), c.ID...)
	return append(append(b, "\r\n\r\n"...), c.Body...), nil
}

// appendHead begins a request; the last line is still to be ended.
func appendHead(b []byte, path string, c delivery.Attempt, length int) []byte {
	b = append(append(append(b, "POST "...), path...), " HTTP/1.1\r\nHost: "...)
	b = append(b, c.Endpoint.Addr...)
	b = append(b, "\r\nUser-Agent: coralyard\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	b = append(b, "\r\nX-Expires-In: "...)
	b = strconv.AppendInt(b, max(time.Until(c.NotPast).Milliseconds(), 1), 10)
	return append(b, 'm')
}

func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := redial(ctx, func() (net.Conn, error) { return p.connect(ctx, "tcp", addr) })
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr), nil
}

func newConn(nc net.Conn, addr string) *conn {
	l := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, addr: addr, limit: l, br: bufio.NewReaderSize(l, 4096)}
}

// exchange writes the request and waits for the answer; reuse tells that the connection is good for another call.
func (k *conn) exchange(ctx context.Context, x *call, times *delivery.Times) (res delivery.Result, reuse bool) {
	times.Write()
	n, err := k.Write(x.request)
	times.Wrote()
	if err != nil && n < len(x.request) {
		return delivery.Result{Outcome: choice.NoRoute, NotRun: true, Err: err}, false // without its last byte the endpoint has not begun it
	}
	end := <-x.end // the reader ends with the connection, which ends with ctx
	if end.err == nil {
		return end.res, end.reuse
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return delivery.Result{Outcome: choice.TooSlow, Err: end.err}, false
	case ctx.Err() != nil:
		return delivery.Result{Outcome: choice.Undone, Err: end.err}, false
	}
	return delivery.Result{Outcome: choice.Cut, Err: end.err}, false
}

// read is the connection's reader.
func (p *pool) read(k *conn, endpoint string) {
	for {
		k.limit.N = maxAnswerHead + maxAnswerBody
		_, err := k.br.Peek(1)
		k.mu.Lock()
		x := k.call
		var timeout net.Error
		if x != nil && errors.As(err, &timeout) && timeout.Timeout() {
			k.mu.Unlock()
			continue // it had stood idle for too long when a call took it just now, and the deadline is gone
		}
		k.gone = x == nil || err != nil
		k.mu.Unlock()
		if k.gone {
			p.forget(k, endpoint)
			if x != nil {
				x.end <- callEnd{err: fmt.Errorf("answer: %w", err)}
			}
			return
		}
		var end callEnd
		end.res, end.reuse, end.err = k.answer(x.body)
		k.mu.Lock()
		k.call = nil
		gone := !end.reuse
		k.gone = gone
		k.mu.Unlock()
		x.end <- end
		if gone {
			k.Close()
			return
		}
	}
}

// begin has the connection's next answer go to a call, and tells whether there can be one.
func (k *conn) begin(x *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone || k.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	k.call = x
	return true
}

// leave takes a call back of which nothing was written, and tells whether the connection is still good.
func (k *conn) leave(x *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.call == x {
		k.call = nil
	}
	return !k.gone
}

// answer reads one answer and tells whether the connection may carry another call. A 200 holds from its first
// line on, unless its body counts: the message is delivered, whatever becomes of the rest. Any other answer has to come
// whole, within bounds of size and time, to prove anything. What stands behind an answer ends the connection, not the
// answer.
func (k *conn) answer(body func([]byte) error) (delivery.Result, bool, error) {
	for range maxContinues {
		k.limit.N = maxAnswerHead + maxAnswerBody
		if _, err := k.br.Peek(1); err != nil {
			return delivery.Result{}, false, fmt.Errorf("answer: %w", err)
		}
		if err := k.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
			return delivery.Result{}, false, fmt.Errorf("answer: %w", err)
		}
		code, err := k.status()
		heard := time.Now()
		if err != nil {
			return delivery.Result{}, false, fmt.Errorf("answer: %w", err)
		}
		res, reuse, err := k.rest(body)
		if err != nil && code == http.StatusOK && body == nil {
			res, err = delivery.Result{Outcome: choice.Pass, Closed: true}, nil
		}
		if err != nil {
			return delivery.Result{}, false, fmt.Errorf("answer: %w", err)
		}
		if err := k.SetReadDeadline(time.Time{}); err != nil {
			reuse = false
		}
		if code >= 200 {
			res.Heard = heard
			return res, reuse, nil
		}
	}
	return delivery.Result{}, false, errors.New("answer: only 1xx")
}

// status looks at the first line, as soon as it is there.
func (k *conn) status() (int, error) {
	for n := k.br.Buffered(); ; n = max(n+1, k.br.Buffered()) {
		seen, err := k.br.Peek(n)
		if line, _, ok := bytes.Cut(seen, []byte("\n")); ok {
			return statusCode(strings.TrimSuffix(string(line), "\r"))
		}
		if err != nil {
			return 0, err
		}
	}
}

// statusCode reads a line like "HTTP/1.1 200 OK".
func statusCode(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := number(code)
	if err != nil || len(code) != 3 || n < 100 || (version != "HTTP/1.1" && version != "HTTP/1.0") {
		return 0, errors.New("no HTTP")
	}
	return n, nil
}

// rest reads an answer of which the first line is known to be there.
func (k *conn) rest(body func([]byte) error) (delivery.Result, bool, error) {
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return delivery.Result{}, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 {
		return delivery.Result{}, true, nil
	}
	res := outcome(resp)
	res.HungUp = resp.Close
	res.NotRun = res.NotRun || (body != nil && turnedDown(resp.StatusCode))
	if body != nil && resp.StatusCode == http.StatusOK {
		var text []byte
		if text, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBody+1)); err == nil && len(text) <= maxAnswerBody {
			err = body(text)
		}
		res.Wait = toldWait(resp)
		return res, err == nil && !resp.Close && k.br.Buffered() == 0, tooLarge(int64(len(text)), err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBody+1))
	err = tooLarge(n, err)
	return res, err == nil && !resp.Close && k.br.Buffered() == 0, err
}

// tooLarge is the error of a body that was read to the bound and did not end there.
func tooLarge(n int64, err error) error {
	if err == nil && n > maxAnswerBody {
		return errors.New("the body is too large")
	}
	return err
}

// toldWait is how long an answer asks to be left alone; 0 if it does not, or not in a way that can be read.
func toldWait(resp *http.Response) time.Duration {
	sec, err := decimal(resp.Header.Get("Retry-After"), math.MaxFloat64)
	if err != nil {
		return 0
	}
	return time.Duration(min(sec, longestWait.Seconds()) * float64(time.Second))
}

// outcome reads the protocol's table of answers.
func outcome(resp *http.Response) delivery.Result {
	res := delivery.Result{Report: loadReport(resp.Header.Values(loadHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		res.Outcome, res.Closed = choice.Pass, true
	case http.StatusTooManyRequests:
		res.Outcome, res.NotRun, res.Wait = choice.NoRoom, true, toldWait(resp)
	case http.StatusServiceUnavailable:
		res.Outcome, res.NotRun = choice.NoRoom, true
		if resp.Header.Get("X-Line-Busy") == "1" {
			res.Outcome, res.NoSlot = choice.Stale, true
		}
	case http.StatusGatewayTimeout:
		res.Outcome, res.NotRun = choice.Stale, true
	case http.StatusGone:
		res.Outcome, res.NotRun, res.Closed = choice.Stale, true, true
	default: // 500, and what the protocol does not know: it may have run
		res.Outcome = choice.Fault
	}
	return res
}

// loadReport reads "x0=0.4,x1=25". One that can't be read, be it in part, is none: the module believes a limit.
func loadReport(values []string) choice.Report {
	var r choice.Report
	if len(values) != 1 {
		return r
	}
	for field := range strings.SplitSeq(values[0], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		switch {
		case name == "x0" && !r.HasLeft:
			r.HasLeft = true
			r.Left, err = decimal(value, mostLeft)
		case name == "x1" && !r.HasLimit:
			r.HasLimit = true
			r.Limit, err = decimal(value, mostLimit)
		default:
			err = errors.New("no field of a report")
		}
		if err != nil {
			return choice.Report{}
		}
	}
	return r
}

// take returns a kept connection that is still good, the one used last, with the call begun on it; or nil.
func (p *pool) take(e *delivery.Endpoint, x *call) *conn {
	for {
		p.mu.Lock()
		kept := p.idle[e.ID]
		if len(kept) == 0 {
			p.mu.Unlock()
			return nil
		}
		k := kept[len(kept)-1]
		p.drop(e.ID, len(kept)-1)
		p.mu.Unlock()
		if k.addr == e.Addr && k.begin(x) {
			return k
		}
		k.Close()
	}
}

// drop takes the i-th kept connection of an endpoint out; the lock is held.
func (p *pool) drop(id string, i int) {
	p.size--
	if p.idle[id] = slices.Delete(p.idle[id], i, i+1); len(p.idle[id]) == 0 {
		delete(p.idle, id)
	}
}

// give keeps a connection for the next call: it is closed when its reader ends, and when it has stood idle for nearly as
// long as the endpoint allows.
func (p *pool) give(e *delivery.Endpoint, k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An endpoint is shut before its kept connections are hung up on, so that none is kept after that. The reader marks
	// its end before it looks here, so that none is kept after that either.
	if p.size >= p.maxIdle || e.Gone() || !k.idleFor(p.idleFor) {
		k.Close()
		return
	}
	k.idleSince = time.Now()
	p.idle[e.ID] = append(p.idle[e.ID], k)
	p.size++
}

// idleFor lets a connection stand idle for a time, and tells whether it can.
func (k *conn) idleFor(idle time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.gone && k.SetReadDeadline(time.Now().Add(idle)) == nil
}

// forget closes a connection whose reader has ended, and takes it from the kept ones.
func (p *pool) forget(k *conn, endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.idle[endpoint], k); i >= 0 {
		p.drop(endpoint, i)
	}
	k.Close()
}

// shed closes one kept connection of an endpoint, if there is any.
func (p *pool) shed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) > 0 {
		p.idle[id][0].Close()
		p.drop(id, 0)
	}
}

// HangUp closes the kept connections of an endpoint, all but those keep that were used last.
func (p *pool) HangUp(id string, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[id]) > keep {
		p.idle[id][0].Close()
		p.drop(id, 0)
	}
}

// Close closes all kept connections.
func (p *pool) Close() {
	p.mu.Lock()
	ids := make([]string, 0, len(p.idle))
	for id := range p.idle {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.HangUp(id, 0)
	}
}
