package soak

import (
	"net"
	"net/http"
	"os/exec"
	"testing"
	"time"
)

// Guards against a server that can't listen again because a process that is being started still holds its socket.
func TestAServerListensAgainWhileProcessesStart(t *testing.T) {
	day := Draw(1, 1, 1, 1, time.Second)
	p := &play{day: day}
	p.begin(time.Now())
	s, err := newServer(p, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if err := exec.Command("true").Run(); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	for range 40 {
		for _, kind := range []Kind{Vanish, Refuse} {
			if err := s.fail(kind); err != nil {
				t.Fatal(err)
			}
			if err := s.recover(); err != nil {
				t.Fatal(err)
			}
		}
	}
	close(stop)
	<-ended
}

// Guards against holding a node to a wait that was told over a connection that had broken before.
func TestAWaitOverABrokenConnectionBindsNobody(t *testing.T) {
	day := Draw(1, 1, 1, 1, time.Second)
	p := &play{day: day}
	p.begin(time.Now().Add(-time.Minute))
	p.history = newHistory(p)
	s, err := newServer(p, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	req := &http.Request{Header: http.Header{"X-Trace-Id": {"n0-1"}}}
	for range 30 { // more than it takes at once
		nc, other := net.Pipe()
		other.Close()
		s.answer(newStream(nc, s), req)
	}
	if len(p.history.waiting) > 0 {
		t.Errorf("node 0 is held to %+v", p.history.waiting)
	}
}
