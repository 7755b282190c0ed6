package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Port is a TCP address of this machine that stays one stand-in's while nothing listens there: a connection is refused then, and no other
// program is given the address. Its methods may be called by many goroutines at a time.
type Port struct {
	fd   int // a socket that is bound and does not listen
	addr string
}

// ReservePort reserves an address of 127.0.0.1 that is free.
func ReservePort() (*Port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	var name unix.Sockaddr
	err = errors.Join(share(fd), unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	if err == nil {
		name, err = unix.Getsockname(fd)
	}
	at, ok := name.(*unix.SockaddrInet4)
	if err == nil && !ok {
		err = errors.New("its address is not of IPv4")
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("stand-in: %w", err), unix.Close(fd))
	}
	return &Port{fd: fd, addr: fmt.Sprintf("127.0.0.1:%d", at.Port)}, nil
}

// share lets several sockets of this user be bound to one address.
func share(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }

// Addr is the address.
func (p *Port) Addr() string { return p.addr }

// Listen takes connections there, until the listener is closed.
func (p *Port) Listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var shared error
		if err := raw.Control(func(fd uintptr) { shared = share(int(fd)) }); err != nil {
			return err
		}
		return shared
	}}
	ln, err := config.Listen(context.Background(), "tcp", p.addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ln, nil
}

// Close gives the address back.
func (p *Port) Close() error { return unix.Close(p.fd) }
