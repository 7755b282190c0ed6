package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const patience = 30 * time.Second // for what must happen; nothing is asserted of how fast

// TestMain is the program itself when a test starts this binary as a child.
func TestMain(m *testing.M) {
	if os.Getenv("CORALYARD_TEST_CHILD") != "" {
		if text := os.Getenv("CORALYARD_TEST_FILE_SIZE"); text != "" { // a disk on which no file gets larger
			var n uint64
			if _, err := fmt.Sscan(text, &n); err != nil {
				panic(err)
			}
			signal.Ignore(syscall.SIGXFSZ)
			if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// registry is a discovery that lists nothing and tells of what comes to it.
type registry struct {
	*httptest.Server
	watches chan string // the query of each watch that begins
	ended   chan struct{}
	posts   chan string // the first notice of each post
	answer  int         // to posts; 0 for none
}

func newRegistry(t *testing.T, answer int) *registry {
	t.Helper()
	r := &registry{
		watches: make(chan string, 100), ended: make(chan struct{}, 100), posts: make(chan string, 100), answer: answer,
	}
	stop, cancel := context.WithCancel(context.Background())
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			line, _ := bufio.NewReader(req.Body).ReadString('\n')
			r.posts <- line
			if r.answer == 0 {
				select {
				case <-req.Context().Done():
				case <-stop.Done():
				}
				return
			}
			w.WriteHeader(r.answer)
			return
		}
		r.watches <- req.URL.RawQuery
		fmt.Fprintln(w, `{"revision":9,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:9","cell":7,"phase":"DRAINING"}]}`)
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
		case <-stop.Done():
		}
		r.ended <- struct{}{}
	}))
	t.Cleanup(func() {
		cancel()
		r.CloseClientConnections()
		r.Close()
	})
	return r
}

func (r *registry) addr() string { return r.Listener.Addr().String() }

func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("never: " + what)
		panic("unreachable")
	}
}

const settings = `{"fleetSize":1,"categories":[{"name":"status","effect":"idempotent","deadline":60000,"aim":4000,"worth":1}],
	"domain":{"workers":8},"limits":{"maxOpen":9,"retryAfter":true,"maxRetryAfter":3000},"tick":5}`

func writeConfig(t *testing.T, path, listen, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":3},
		"known":{"revision":41,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:9","cell":7,"phase":"DRAINING"}]},
		"settings":%s}`, listen, discovery, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP moves the watch and the reports at once, what is owed goes to the new address, a configuration that can't
// be used changes nothing, and the program goes on through all of it to the end of SIGTERM's leave.
func TestSIGHUP(t *testing.T) {
	first, second := newRegistry(t, 0), newRegistry(t, http.StatusNoContent) // the first never answers a notice
	listen := reserve(t)
	config := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, config, listen, first.addr())
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+t.TempDir(), "ROUTER_CONFIG="+config)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	signal := func(s os.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if got := await(t, "the watch", first.watches); got != "watch=1&after=41" {
		t.Errorf("got %q", got)
	}
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprint(nc, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$23\r\nc=status,d=100,dest=007\r\n$0\r\n\r\n")
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+OK\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	notice := await(t, "a notice", first.posts)

	if err := os.WriteFile(config, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	signal(syscall.SIGHUP)
	writeConfig(t, config, listen, second.addr())
	for range 20 {
		signal(syscall.SIGHUP)
	}
	await(t, "the end of the old watch", first.ended)
	if got := await(t, "the watch at the new address", second.watches); got != "watch=1&after=0" {
		t.Errorf("another server's revision was asked for: %q", got)
	}
	if got := await(t, "the notice at the new address", second.posts); got != notice {
		t.Errorf("got %q, want %q", got, notice)
	}
	signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for {
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(50 * time.Millisecond):
			cmd.Process.Signal(syscall.SIGHUP) // also on the way out, where it may find the process gone
		}
	}
}
