package rig

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is one call at an endpoint, whole.
type Call struct {
	At     time.Time
	ID     string
	Key    string
	Body   int
	Path   string
	Number int // among the endpoint's calls, from 0
	Conn   int // of the endpoint's connections
	Text   []byte
}

// Reply is what an endpoint does about a call. It writes the answer, and tells whether the connection goes on.
type Reply func(c Call, w net.Conn) bool

// Endpoint is a server of a partner.
type Endpoint struct {
	Addr string

	record *Record
	ln     net.Listener
	mu     sync.Mutex
	reply  Reply
	calls  []Call
	conns  int
}

// NewEndpoint serves at a free address.
func NewEndpoint(r *Record, reply Reply) *Endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Quit(r, NotRun, "%v", err)
	}
	e := &Endpoint{Addr: ln.Addr().String(), record: r, ln: ln, reply: reply}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			number := e.conns
			e.mu.Unlock()
			go e.serve(c, number)
		}
	}()
	return e
}

// Set has another reply from now on.
func (e *Endpoint) Set(reply Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reply = reply
}

// Calls are those that came so far.
func (e *Endpoint) Calls() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Call{}, e.calls...)
}

func (e *Endpoint) serve(c net.Conn, number int) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		call := Call{At: time.Now(), ID: q.Header.Get("X-Trace-Id"), Key: q.Header.Get("Idempotency-Key"), Body: len(body), Path: q.URL.Path, Conn: number}
		e.mu.Lock()
		call.Number = len(e.calls)
		e.calls = append(e.calls, call)
		reply := e.reply
		e.mu.Unlock()
		call.Text = body
		if !reply(call, c) {
			return
		}
	}
}

// OK answers 200 after a time.
func OK(after time.Duration) Reply {
	return func(_ Call, w net.Conn) bool {
		time.Sleep(after)
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
}

// Hang answers nothing, for as long as the node keeps the connection.
func Hang() Reply {
	return func(_ Call, w net.Conn) bool {
		io.Copy(io.Discard, w)
		return false
	}
}
