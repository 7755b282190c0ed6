package standin

import (
	"io"
	"net"
	"sync"
)

// Way is the network between a node and a partner: it passes bytes on, until it is frozen.
type Way struct {
	ln net.Listener
	to string

	mu      sync.Mutex
	open    map[net.Conn]bool
	frozen  chan struct{} // closed for the connections that were open when it froze
	serving sync.WaitGroup
}

// NewWay starts one that leads to an address.
func NewWay(to string) (*Way, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	w := &Way{ln: ln, to: to, open: map[net.Conn]bool{}, frozen: make(chan struct{})}
	w.serving.Go(func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			w.mu.Lock()
			w.open[near], w.open[far] = true, true
			frozen := w.frozen
			w.mu.Unlock()
			w.serving.Go(func() { pass(near, far, frozen) })
			w.serving.Go(func() { pass(far, near, frozen) })
		}
	})
	return w, nil
}

// pass hands bytes on. Once frozen it swallows them, and tells neither side of anything.
func pass(to, from net.Conn, frozen <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-frozen:
			io.Copy(io.Discard, from)
			return
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// Addr is where it begins.
func (w *Way) Addr() string { return w.ln.Addr().String() }

// Freeze has all that passes now vanish without a sign, as when a machine is gone. New connections go through.
func (w *Way) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.frozen)
	w.frozen = make(chan struct{})
}

// Close ends it with all its connections.
func (w *Way) Close() {
	w.ln.Close()
	w.mu.Lock()
	for nc := range w.open {
		nc.Close()
	}
	w.mu.Unlock()
	w.serving.Wait()
}
