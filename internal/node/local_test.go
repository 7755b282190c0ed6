package node

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/standin"
	"starlingusher/internal/wire"
)

func systemError(call string, err syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, err)}
}

// TestADialThatFailsByThisMachineIsNoOutage guards against striking a server because this machine has no descriptor, buffer or port.
func TestADialThatFailsByThisMachineIsNoOutage(t *testing.T) {
	partner, err := standin.NewHTTP(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer partner.Close()
	for errno, want := range map[syscall.Errno]choice.Outcome{
		syscall.EMFILE: choice.Pass, syscall.ENFILE: choice.Pass, syscall.ENOBUFS: choice.Pass, syscall.ENOMEM: choice.Pass,
		syscall.EADDRNOTAVAIL: choice.Pass, syscall.ECONNREFUSED: choice.NoRoute, syscall.ENETUNREACH: choice.NoRoute,
		syscall.EHOSTUNREACH: choice.NoRoute, syscall.ETIMEDOUT: choice.NoRoute, syscall.ECONNABORTED: choice.NoRoute,
	} {
		for _, always := range []bool{false, true} {
			p := newPool(time.Second, 5*time.Second, 8, slog.New(slog.DiscardHandler))
			dial, fails := p.connect, atomic.Int32{}
			p.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if fails.Add(1) <= 3 || always {
					return nil, systemError("connect", errno)
				}
				return dial(ctx, network, addr)
			}
			res := p.Attempt(context.Background(), delivery.Attempt{ID: "m", Body: []byte("body"),
				Endpoint: delivery.NewEndpoint("e", partner.Addr()), NotPast: time.Now().Add(300 * time.Millisecond)})
			p.Close()
			expected := want
			if always && want == choice.Pass {
				expected = choice.Stale
			}
			if res.Outcome != expected || (expected != choice.Pass && !res.NotRun) {
				t.Errorf("%v, always %v: got %v, not run %v, want %v", errno, always, res.Outcome, res.NotRun, expected)
			}
			if n := fails.Load(); n > 40 {
				t.Errorf("%v: %d dials within 300 ms", errno, n)
			}
		}
	}
}

// failingListener fails so many accepts with one error each time.
type failingListener struct {
	net.Listener
	left  atomic.Int32
	errno syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// TestTheListenerOutlastsFailingAccepts guards against a node that takes no clients any more after an accept failed.
func TestTheListenerOutlastsFailingAccepts(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EINVAL, syscall.EIO} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			flaky := &failingListener{Listener: ln, errno: errno}
			flaky.left.Store(5)
			c := newClients(flaky, 8, nil, wire.Names{}, slog.New(slog.DiscardHandler), nil)
			ctx, cancel := context.WithCancel(context.Background())
			go c.serve(ctx) // ends with the listener
			defer func() {
				cancel()
				c.close()
			}()
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			fmt.Fprint(nc, "PING\r\n")
			nc.SetReadDeadline(time.Now().Add(5 * time.Second))
			line, err := bufio.NewReader(nc).ReadString('\n')
			if err != nil || line != "+PONG\r\n" {
				t.Errorf("got %q, %v", line, err)
			}
		})
	}
}

// Guards against a start or a new configuration that is refused because this machine has no descriptor for a moment.
func TestAStartWaitsForAMachineThatIsShort(t *testing.T) {
	for errno, waits := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EIO: true, syscall.EINTR: true,
		syscall.EADDRNOTAVAIL: false, syscall.EADDRINUSE: false, syscall.ENOENT: false, syscall.EACCES: false,
	} {
		calls := 0
		err := whenAble(func() error {
			if calls++; calls < 4 {
				return systemError("open", errno)
			}
			return nil
		})
		if waited := err == nil; waited != waits || (!waits && calls != 1) {
			t.Errorf("%v: %v after %d calls", errno, err, calls)
		}
	}
}
