package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Delivered is a plain good answer.
const Delivered = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// HTTP is a partner that speaks HTTP/1.1.
type HTTP struct {
	*Ledger
	serve func(net.Conn, *http.Request) bool
	reply func(Call) (header string, body []byte) // of a good answer; nil for the step's own

	port *Port
	idle atomic.Int64 // nanoseconds; 0 for no such time

	mu     sync.Mutex
	ln     net.Listener // nil while it refuses
	open   map[net.Conn]bool
	script Script
	closed chan struct{}
	done   sync.WaitGroup
}

// NewHTTP starts a partner that does what the script says. The ledger may be shared; nil makes a new one.
func NewHTTP(script Script, ledger *Ledger) (*HTTP, error) { return newHTTP(script, nil, nil, ledger) }

// NewReplyingHTTP is NewHTTP with replies made of each call that is answered well: lines of a header, each with its line
// end, and a body.
func NewReplyingHTTP(script Script, ledger *Ledger, reply func(Call) (header string, body []byte)) (*HTTP, error) {
	return newHTTP(script, nil, reply, ledger)
}

// NewRawHTTP starts a partner of which serve answers each request that has come whole, on the bare connection. False
// closes it.
func NewRawHTTP(serve func(nc net.Conn, req *http.Request) bool) (*HTTP, error) {
	return newHTTP(nil, serve, nil, nil)
}

func newHTTP(script Script, serve func(net.Conn, *http.Request) bool, reply func(Call) (string, []byte), ledger *Ledger) (*HTTP, error) {
	if ledger == nil {
		ledger = NewLedger()
	}
	port, err := ReservePort()
	if err != nil {
		return nil, err
	}
	p := &HTTP{Ledger: ledger, serve: serve, reply: reply, open: map[net.Conn]bool{}, script: script, closed: make(chan struct{}), port: port}
	return p, p.Accept()
}

// Addr is where it is called; it stays the same while it refuses.
func (p *HTTP) Addr() string { return p.port.Addr() }

// Do changes the script for the calls that come from now on.
func (p *HTTP) Do(s Script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = s
}

// Refuse closes its listener and resets what is open: it is down until Accept.
func (p *HTTP) Refuse() {
	p.mu.Lock()
	ln := p.ln
	p.ln = nil
	for nc := range p.open {
		reset(nc)
	}
	p.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
}

// CloseIdle has it close connections that have stood idle for so long, from the next request on each.
func (p *HTTP) CloseIdle(after time.Duration) { p.idle.Store(int64(after)) }

// Accept takes connections, at the address that it had before.
func (p *HTTP) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		return nil
	}
	ln, err := p.port.Listen()
	if err != nil {
		return err
	}
	p.ln = ln
	p.done.Go(func() { p.accept(ln) })
	return nil
}

func (p *HTTP) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.ln != ln {
			p.mu.Unlock()
			nc.Close()
			continue
		}
		p.open[nc] = true
		p.mu.Unlock()
		number := p.Connected()
		p.done.Go(func() {
			defer func() {
				p.mu.Lock()
				delete(p.open, nc)
				p.mu.Unlock()
				nc.Close()
			}()
			p.converse(nc, number)
		})
	}
}

// Close ends it with all its connections.
func (p *HTTP) Close() {
	close(p.closed)
	p.Refuse()
	p.done.Wait()
	p.port.Close() // an error says that it is closed
}

// reset closes a connection so that the other side sees a reset.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

func (p *HTTP) converse(nc net.Conn, number int) {
	br := bufio.NewReader(nc)
	for {
		if idle := p.idle.Load(); idle > 0 {
			nc.SetReadDeadline(time.Now().Add(time.Duration(idle))) // an error says that it is closed
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := Call{
			ID: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key"), Method: req.Method + " " + req.URL.Path,
			Body: body, Header: req.Header, Conn: number, At: time.Now(),
		}
		if p.serve != nil {
			p.Note(c, None)
			req.Body = io.NopCloser(bytes.NewReader(body))
			if !p.serve(nc, req) {
				return
			}
			continue
		}
		p.mu.Lock()
		script := p.script
		p.mu.Unlock()
		var s Step
		if script != nil {
			s = script(c)
		}
		p.Note(c, s.Fault)
		if !p.answer(nc, c, s, req.Close) {
			return
		}
	}
}

// answer does a step, and tells whether the connection goes on. The last response on it says so.
func (p *HTTP) answer(nc net.Conn, c Call, s Step, last bool) bool {
	if s.Delay > 0 {
		t := time.NewTimer(s.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.closed:
			return false
		}
	}
	text := ""
	switch s.Fault {
	case None:
		header, body := load(s), s.Reply
		if p.reply != nil {
			header, body = p.reply(c)
		}
		text = "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
	case Error:
		text = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	case Silent:
		io.Copy(io.Discard, nc) // until the caller gives up
		return false
	case Reset:
		reset(nc)
		return false
	case Cut:
		io.WriteString(nc, "HTTP/1.1 2")
		return false
	case Limit:
		text = fmt.Sprintf("HTTP/1.1 429 Limit\r\n%sRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", load(s), s.Wait.Seconds())
	case Full:
		text = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	}
	if last {
		line, rest, _ := strings.Cut(text, "\r\n")
		text = line + "\r\nConnection: close\r\n" + rest
	}
	_, err := io.WriteString(nc, text)
	return err == nil && !last
}

// load is the line of a load report, or nothing.
func load(s Step) string {
	if s.Load == nil {
		return ""
	}
	return fmt.Sprintf("Endpoint-Load-Metrics: x0=%.3f,x1=%.3f\r\n", s.Load["x0"], s.Load["x1"])
}
