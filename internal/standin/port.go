package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Port is a TCP address of this machine that stays one stand-in's while nothing listens there: a connection is refused then, and no other
// program is given the address. Its methods may be called by many goroutines at a time.
type Port struct {
	fd   int // a socket that is bound and does not listen
	addr string
}

// loopback is an address of this process's own, by its number: what it listened on is given to no other process, so that callers which are about to end
// meet nobody else's stand-ins. Rigs that reserve addresses for nodes take those that end on 1 to 250.
func loopback() [4]byte {
	const nets, hosts, standIns = 128, 250, 251
	pid := os.Getpid()
	return [4]byte{127, byte(64 + pid%nets), byte(pid / nets % hosts), standIns}
}

// listen takes connections at an address that is free.
func listen() (net.Listener, error) {
	at := netip.AddrPortFrom(netip.AddrFrom4(loopback()), 0)
	ln, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ln, nil
}

// ReservePort reserves an address that is free.
func ReservePort() (*Port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	var name unix.Sockaddr
	err = errors.Join(share(fd), unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback()}))
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
	return &Port{fd: fd, addr: netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String()}, nil
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
