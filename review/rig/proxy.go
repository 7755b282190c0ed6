package rig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Proxy is a network between a node and an endpoint: whatever is written comes out in order, a while later.
type Proxy struct {
	Addr string

	to     string
	delay  time.Duration
	jitter float64

	mu   sync.Mutex
	draw *rand.Rand
}

// NewProxy leads connections on. Each piece of them takes the delay, more or less by a part of it.
func NewProxy(r *Record, to string, delay time.Duration, jitter float64) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Quit(r, NotRun, "%v", err)
	}
	p := &Proxy{Addr: ln.Addr().String(), to: to, delay: delay, jitter: jitter, draw: rand.New(rand.NewPCG(7, 64))}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.lead(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *Proxy) takes() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(p.delay) * (1 + p.jitter*(2*p.draw.Float64()-1)))
}

func (p *Proxy) lead(c *net.TCPConn) {
	t, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		c.SetLinger(0)
		c.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pass(c, t.(*net.TCPConn)) })
	both.Go(func() { p.pass(t.(*net.TCPConn), c) })
	both.Wait()
	c.Close()
	t.Close()
}

type piece struct {
	due   time.Time
	bytes []byte
}

func (p *Proxy) pass(from, to *net.TCPConn) {
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{due: time.Now().Add(p.takes()), bytes: append([]byte{}, b[:n]...)}
			}
			if err != nil {
				pieces <- piece{due: time.Now().Add(p.takes())}
				return
			}
		}
	}()
	for one := range pieces {
		time.Sleep(time.Until(one.due))
		if one.bytes == nil {
			to.CloseWrite()
			return
		}
		if _, err := to.Write(one.bytes); err != nil {
			from.Close()
			for range pieces {
			}
			return
		}
	}
}
