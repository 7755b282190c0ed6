// Package neighbour is a TCP proxy that stands in for a slow or broken peer of a process: what it passes on comes late, in pieces, twice or
// not at all, as a seed draws it. It runs in a process of its own, so that it is late by its faults alone.
package neighbour

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Kind is what goes wrong.
type Kind string

// The kinds of faults.
const (
	LateRead   Kind = "late read"        // a connection's first bytes are passed on a while after it came up
	LateAnswer Kind = "late answer"      // requests are passed on at once, each response a while later
	Trickle    Kind = "trickle"          // responses come byte by byte
	Silent     Kind = "silent"           // nothing is passed on
	SilentKept Kind = "silent when kept" // nothing is passed on after a connection's first response
	Reset      Kind = "reset"            // a connection is reset once it has sent something
	FullQueue  Kind = "full queue"       // no connection comes up; those that stand go on
	Twice      Kind = "twice"            // each response comes twice
)

// Fault is something that goes wrong on some connections for some time.
type Fault struct {
	Kind  Kind
	Edge  string  // how the first request on a connection begins; empty for all connections
	Share float64 // of the connections
	Least time.Duration
	Most  time.Duration // of the delay
	From  time.Duration // from when on
	For   time.Duration // and for how long; 0 for ever
	Every time.Duration // after which it comes again; 0 for never
}

// String is the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%s (%q, share %.2f) by %v to %v, from %v for %v, every %v", f.Kind, f.Edge, f.Share, f.Least, f.Most, f.From, f.For, f.Every)
}

// active tells whether the fault is on at a time.
func (f Fault) active(at time.Duration) bool {
	at -= f.From
	if at < 0 {
		return false
	}
	if f.Every > 0 {
		at %= f.Every
	}
	return f.For == 0 || at < f.For
}

// Spec tells a proxy what to do.
type Spec struct {
	Seed    uint64
	Targets []string // the addresses that it stands in front of
	Faults  []Fault
}

// proxy is a proxy at work, in front of one address.
type proxy struct {
	Spec
	target string
	ln     *net.TCPListener
	began  time.Time
	count  atomic.Uint64
	work   sync.WaitGroup
}

// serve passes connections on until ctx ends.
func serve(ctx context.Context, spec Spec, target string, ln *net.TCPListener) error {
	p := &proxy{Spec: spec, target: target, ln: ln, began: time.Now()}
	defer p.work.Wait()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for _, f := range spec.Faults {
		if f.Kind == FullQueue {
			p.work.Go(func() { p.fillAndEmpty(ctx, f) })
		}
	}
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		waited := false
		for p.isFull() && sleep(ctx, time.Millisecond) { // it is one of those that fill the queue
			waited = true
		}
		p.work.Go(func() { p.pass(ctx, nc, waited) })
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *proxy) isFull() bool {
	at := time.Since(p.began)
	for _, f := range p.Faults {
		if f.Kind == FullQueue && f.active(at) {
			return true
		}
	}
	return false
}

const (
	usualQueue = 128
	checkEvery = 2 * time.Millisecond // whether a window has begun or ended
)

// fillAndEmpty has the system drop what would connect while the fault is on.
func (p *proxy) fillAndEmpty(ctx context.Context, f Fault) {
	var fillers []net.Conn
	defer func() { closeAll(fillers) }()
	for sleep(ctx, checkEvery) {
		switch full := f.active(time.Since(p.began)); {
		case full && fillers == nil:
			p.queue(0)
			for range 3 {
				nc, err := net.DialTimeout("tcp", p.ln.Addr().String(), 20*time.Millisecond)
				if err != nil {
					break
				}
				fillers = append(fillers, nc)
			}
		case !full && fillers != nil:
			closeAll(fillers)
			fillers = nil
			p.queue(usualQueue)
		}
	}
}

func closeAll(all []net.Conn) {
	for _, nc := range all {
		nc.Close()
	}
}

// queue sets how many connections wait to be accepted at most.
func (p *proxy) queue(length int) {
	if raw, err := p.ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), length) }) // an error leaves it as it was
	}
}

// link is a connection and the one beyond it.
type link struct {
	client, server *net.TCPConn
	faults         []Fault // of this connection
	rng            *rand.Rand
	began          time.Time // of the proxy
	answered       atomic.Bool
}

// pass serves one connection, which may have waited in the queue.
func (p *proxy) pass(ctx context.Context, nc net.Conn, waited bool) {
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	came := time.Since(p.began)
	l := &link{client: nc.(*net.TCPConn), rng: rand.New(rand.NewPCG(p.Seed, p.count.Add(1))), began: p.began}
	buffer := make([]byte, 64<<10)
	n, err := nc.Read(buffer)
	if err != nil {
		return
	}
	l.draw(p.Faults, came, string(buffer[:n]))
	if late := l.delay(LateRead); late > 0 || waited {
		if n = l.hold(buffer, n, p.began.Add(came+late+time.Millisecond)); n == 0 {
			return // it was given up meanwhile
		}
	}
	switch {
	case l.has(Reset):
		l.client.SetLinger(0) // an error leaves a plain close
		return
	case l.has(Silent):
		l.swallow(buffer)
		return
	}
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		l.client.SetLinger(0)
		return
	}
	defer other.Close()
	defer context.AfterFunc(ctx, func() { other.Close() })()
	l.server = other.(*net.TCPConn)
	var back sync.WaitGroup
	back.Go(func() { l.backward(ctx) })
	l.forward(buffer, n)
	back.Wait()
}

// draw chooses the faults of the connection. All of them are drawn, so that one does not move another.
func (l *link) draw(all []Fault, came time.Duration, first string) {
	for _, f := range all {
		if drawn := l.rng.Float64() < f.Share; drawn && strings.HasPrefix(first, f.Edge) && f.active(came) {
			l.faults = append(l.faults, f)
		}
	}
}

func (l *link) has(kind Kind) bool {
	for _, f := range l.faults {
		if f.Kind == kind {
			return true
		}
	}
	return false
}

// delay draws the delay of a kind of fault; 0 for a connection that has none.
func (l *link) delay(kind Kind) time.Duration {
	for _, f := range l.faults {
		if f.Kind == kind && f.Most > f.Least {
			return f.Least + time.Duration(l.rng.Int64N(int64(f.Most-f.Least)))
		} else if f.Kind == kind {
			return f.Least
		}
	}
	return 0
}

// hold gathers what comes until a time, beside the n bytes that are there, and returns how much that is; 0 if the connection ends.
func (l *link) hold(buffer []byte, n int, until time.Time) int {
	l.client.SetReadDeadline(until) // an error is one of reading
	for n < len(buffer) {
		more, err := l.client.Read(buffer[n:])
		n += more
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if err != nil {
			return 0
		}
	}
	l.client.SetReadDeadline(time.Time{})
	return n
}

// swallow reads until the connection ends.
func (l *link) swallow(buffer []byte) {
	for {
		if _, err := l.client.Read(buffer); err != nil {
			return
		}
	}
}

// forward passes requests on; the first n bytes are there.
func (l *link) forward(buffer []byte, n int) {
	defer l.server.CloseWrite()
	for {
		if !l.has(SilentKept) || !l.answered.Load() {
			if _, err := l.server.Write(buffer[:n]); err != nil {
				return
			}
		}
		var err error
		if n, err = l.client.Read(buffer); err != nil {
			return
		}
	}
}

// backward passes responses on.
func (l *link) backward(ctx context.Context) {
	defer l.client.CloseWrite()
	buffer := make([]byte, 64<<10)
	for {
		n, err := l.server.Read(buffer)
		if err != nil {
			return
		}
		if late := l.delay(LateAnswer); late > 0 && !sleep(ctx, late) {
			return
		}
		if !l.answer(ctx, buffer[:n]) || (l.has(Twice) && !l.answer(ctx, buffer[:n])) {
			return
		}
		l.answered.Store(true)
	}
}

func (l *link) answer(ctx context.Context, b []byte) bool {
	pause := l.delay(Trickle)
	if pause == 0 {
		_, err := l.client.Write(b)
		return err == nil
	}
	for i := range b {
		if _, err := l.client.Write(b[i : i+1]); err != nil || !sleep(ctx, pause) {
			return false
		}
	}
	return true
}

// encode and decode are the form in which a process is told its Spec.
func (s Spec) encode() (string, error) {
	text, err := json.Marshal(s)
	return string(text), err
}

func decode(text string) (s Spec, err error) {
	err = json.Unmarshal([]byte(text), &s)
	return s, err
}
