package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// The pauses between two tries of a dial that this machine can't make.
const (
	firstRedial = 5 * time.Millisecond
	lastRedial  = 100 * time.Millisecond
)

// localFailures are errors of a dial that tell of this machine alone: no descriptor, no memory for buffers, no port.
var localFailures = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN}

// isLocalFailure tells that a dial failed by this machine and says nothing of the server.
func isLocalFailure(err error) bool {
	for _, local := range localFailures {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}

// errNoLocal is of a dial that this machine could not make before its time was over.
var errNoLocal = errors.New("this machine can make no connection")

// redial dials, and again while this machine can't, until ctx ends. Then the error is errNoLocal.
func redial(ctx context.Context, dial func() (net.Conn, error)) (net.Conn, error) {
	for pause := firstRedial; ; pause = min(2*pause, lastRedial) {
		nc, err := dial()
		if err == nil || !isLocalFailure(err) {
			return nc, err
		}
		if !sleep(ctx, pause) {
			return nil, errors.Join(errNoLocal, err)
		}
	}
}
