package soak

import (
	"os/exec"
	"testing"
	"time"
)

// Guards against a server that can't listen again because a process that is being started still holds its socket.
func TestAServerListensAgainWhileProcessesStart(t *testing.T) {
	day := Draw(1, 1, 1, 1, time.Second)
	s, err := newServer(&play{day: day, began: time.Now()}, 0)
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
