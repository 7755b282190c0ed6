package node

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// The pauses between two tries of a dial that this machine can't make.
const (
	firstRedial = 5 * time.Millisecond
	lastRedial  = 100 * time.Millisecond
)

// shortages are errors that tell of this machine alone: no descriptor, or no memory for buffers.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN}

func isShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(one error) bool { return errors.Is(err, one) })
}

// isLocalFailure tells that a dial failed by this machine, which has no port left or is short of something, and says nothing of the
// server.
func isLocalFailure(err error) bool { return isShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL) }

// unreachable are errors of a dial that met nothing that could answer it.
var unreachable = []error{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ETIMEDOUT}

// hasReachedNobody tells that an error is of a dial that no server could notice: it failed by this machine, or on the way.
func hasReachedNobody(err error) bool {
	var failed *net.OpError
	if !errors.As(err, &failed) || failed.Op != "dial" {
		return false
	}
	return isLocalFailure(err) || slices.ContainsFunc(unreachable, func(one error) bool { return errors.Is(err, one) })
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

// The times for which a start or a new configuration waits for what this machine lacks.
const (
	localPatience = 10 * time.Second
	localPause    = 20 * time.Millisecond
)

// whenAble does something, and again for a while as long as this machine lacks what it takes.
func whenAble(do func() error) error {
	for end := time.Now().Add(localPatience); ; time.Sleep(localPause) {
		err := do()
		passing := isShortage(err) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EINTR)
		if !passing || time.Now().After(end) {
			return err
		}
	}
}

// readFile is os.ReadFile that waits while this machine can open or read none.
func readFile(path string) (text []byte, err error) {
	err = whenAble(func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}

// Listen listens on a TCP address, and waits while this machine can make no socket. An address that is not this machine's is an
// error at once.
func Listen(addr string) (ln net.Listener, err error) {
	err = whenAble(func() (err error) {
		ln, err = net.Listen("tcp", addr)
		return err
	})
	return ln, err
}
