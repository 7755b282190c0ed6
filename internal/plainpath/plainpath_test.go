// Package plainpath measures what one message costs the daemon on its plain path: accepted, sent once, answered. It has a
// benchmark, and a guard that fails when a message costs more than limits.json allows.
package plainpath

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/daemon"
	"starlingusher/internal/standin"
)

const (
	clients  = 8
	deep     = 32 // requests that a client has under way
	partners = 8
	held     = 200             // calls that a partner is given that never answers
	connIdle = 5 * time.Second // for which a partner keeps an idle connection, as settings has it
	settings = `{"fleetSize":1,"categories":[{"name":"payout","effect":"at_most_once","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":1024},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":100000,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`
)

// TestMain is the daemon when the benchmark starts this binary as a child.
func TestMain(m *testing.M) {
	if os.Getenv("CORALYARD_TEST_CHILD") == "" {
		os.Exit(m.Run())
	}
	if err := child(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func child() error {
	cfg, err := daemon.Load(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	d, err := daemon.Open(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	go func() { // asked by a line, it tells what the process has allocated so far
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			fmt.Println(m.Mallocs, m.TotalAlloc)
		}
	}()
	return d.Run(context.Background())
}

// node is a daemon in a process of its own, with partners that answer at once.
type node struct {
	cmd    *exec.Cmd
	addr   string
	dests  int // that answer; one more never does
	in     io.Writer
	out    *bufio.Reader
	tested testing.TB

	discovery *standin.Discovery
	partners  []*standin.HTTP
}

func startNode(b testing.TB, dests int) *node {
	b.Helper()
	d, err := standin.NewDiscovery()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	var addrs []string
	var all []*standin.HTTP
	for i := range partners + 1 {
		p, err := standin.NewRawHTTP(func(nc net.Conn, _ *http.Request) bool {
			if i == partners {
				io.Copy(io.Discard, nc) // never answers
				return false
			}
			_, err := io.WriteString(nc, standin.Delivered)
			return err == nil
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(p.Close)
		p.CloseIdle(connIdle)
		all = append(all, p)
		addrs = append(addrs, p.Addr())
	}
	var members []standin.Member
	for i := range dests + 1 {
		m := standin.Member{ID: fmt.Sprint("e", i), Addr: addrs[i%partners], Zone: "z", Kind: "m", Dest: i, Phase: "SERVING", Size: 1e6}
		if i == dests {
			m.Addr = addrs[partners]
		}
		members = append(members, m)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	text, err := standin.NodeConfig(listen, d.Addr(),
		standin.Limits{Cores: 2, MemoryMB: 1024, Sockets: 4096, DiskMB: 256}, settings, members)
	if err != nil {
		b.Fatal(err)
	}
	config := filepath.Join(b.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		b.Fatal(err)
	}
	program := os.Args[0]
	if other := os.Getenv("CORALYARD_BINARY"); other != "" {
		program = other
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "GOMAXPROCS=2", "ROUTER_CONFIG="+config, "ROUTER_STATE="+b.TempDir())
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return &node{cmd: cmd, addr: listen, dests: dests, in: in, out: bufio.NewReader(out), tested: b, discovery: d, partners: all}
}

// BenchmarkPlainPath hands messages in by 8 connections, 32 deep, for 8 partners that answer at once, and reads the
// daemon's own CPU time and its read and write system calls from /proc, as the kernel counts them for any process of
// one's own. Calls other than the read and write families (epoll, accept, futex, send and receive) are not in those counts.
// CORALYARD_BINARY names another build's program to measure.
func BenchmarkPlainPath(b *testing.B) {
	for _, dests := range []int{partners, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(dests), func(b *testing.B) {
			n := startNode(b, dests)
			n.play(max(4000, 2*dests)) // warms up
			before := read(b, n.cmd.Process.Pid)
			b.ResetTimer()
			busy := n.play(b.N)
			b.StopTimer()
			after := read(b, n.cmd.Process.Pid)
			messages := float64(b.N)
			b.ReportMetric((after.cpu-before.cpu).Seconds()*1e6/messages, "cpu-us/msg")
			b.ReportMetric(float64(after.calls-before.calls)/messages, "rw-calls/msg")
			b.ReportMetric(float64(busy)/messages, "busy/msg")
		})
	}
}

// allocated asks the daemon for the number and the bytes of its allocations.
func (n *node) allocated() (count, size float64) {
	n.tested.Helper()
	if _, err := io.WriteString(n.in, "?\n"); err != nil {
		n.tested.Fatal(err)
	}
	if _, err := fmt.Fscan(n.out, &count, &size); err != nil {
		n.tested.Fatal(err)
	}
	return count, size
}

// guardVariable has TestCost run: it needs a build without the race detector, under which pools drop what they hold.
const guardVariable = "CORALYARD_GUARD"

// TestCost counts what a message costs, which repeats as times do not, and fails above the limits in limits.json. .ci/run
// runs it.
func TestCost(t *testing.T) {
	if os.Getenv(guardVariable) == "" {
		t.Skip(guardVariable + " is not set")
	}
	text, err := os.ReadFile("limits.json")
	if err != nil {
		t.Fatal(err)
	}
	var limits map[string]float64
	if err := json.Unmarshal(text, &limits); err != nil {
		t.Fatal(err)
	}
	n := startNode(t, partners)
	n.play(4000)
	check := func(beside string, share float64) {
		for name, got := range n.cost() {
			limit, ok := limits[name]
			limit *= 1 + share
			t.Logf("%s a message%s: %.2f, %.2f at most", name, beside, got, limit)
			if !ok || got > limit {
				t.Errorf("%s a message%s: %.2f, %.2f at most", name, beside, got, limit)
			}
		}
	}
	check("", 0)
	time.Sleep(connIdle + time.Second) // until partners have ended connections whose last response is in doubt
	if reported, twice := n.falseEnds(); reported > 0 || twice > 0 {
		t.Errorf("%d messages were delivered and reported as failed, %d were called twice", reported, twice)
	}
	if busy, err := client(n.addr, "held", held, func(int) int { return n.dests }); busy > 0 || err != nil {
		t.Fatalf("%d messages were refused, %v", busy, err)
	}
	check(" beside "+strconv.Itoa(held)+" calls that one partner holds open", limits["share more beside calls held open"])
}

// cost is what a message costs, in counts that repeat.
func (n *node) cost() map[string]float64 {
	n.tested.Helper()
	const messages = 20_000
	count, size := n.allocated()
	calls := read(n.tested, n.cmd.Process.Pid).calls
	if busy := n.play(messages); busy > 0 {
		n.tested.Fatalf("%d messages were refused", busy)
	}
	calls = read(n.tested, n.cmd.Process.Pid).calls - calls
	count2, size2 := n.allocated()
	return map[string]float64{
		"read and write calls": float64(calls) / messages, "allocations": (count2 - count) / messages, "allocated bytes": (size2 - size) / messages,
	}
}

// falseEnds counts the messages that were reported as failed, and those that were called twice.
func (n *node) falseEnds() (reported, twice int) {
	ids := map[string]bool{}
	for _, notice := range n.discovery.Notices() {
		ids[notice.ID] = true
	}
	for _, p := range n.partners {
		for _, runs := range p.Runs() {
			if runs > 1 {
				twice++
			}
		}
	}
	return len(ids), twice
}

// play hands messages in, and returns how many were refused.
func (n *node) play(messages int) int {
	b := n.tested
	b.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	busy := 0
	for c := range clients {
		all.Go(func() {
			refused, err := client(n.addr, fmt.Sprintf("%d-%d", c, time.Now().UnixNano()), messages/clients+1, func(i int) int {
				return (clients*i + c) % n.dests
			})
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			busy += refused
			mu.Unlock()
		})
	}
	all.Wait()
	return busy
}

func client(addr, name string, n int, dest func(int) int) (busy int, err error) {
	nc, err := net.Dial("tcp", addr)
	for end := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(end); nc, err = net.Dial("tcp", addr) {
		time.Sleep(10 * time.Millisecond) // it is starting
	}
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	r, w := bufio.NewReader(nc), bufio.NewWriter(nc)
	body := strings.Repeat("x", 200)
	for sent := 0; sent < n; {
		some := min(deep, n-sent)
		for i := range some {
			w.WriteString(standin.Command("ENQUEUE", "0", fmt.Sprintf("%s-%d", name, sent+i),
				"c=payout,d=50000,dest="+strconv.Itoa(dest(sent+i)), body)) // its error comes with Flush
		}
		if err := w.Flush(); err != nil {
			return busy, err
		}
		for range some {
			line, err := r.ReadString('\n')
			if err != nil {
				return busy, err
			}
			if strings.HasPrefix(line, "-BUSY") {
				busy++
			} else if line != "+OK\r\n" {
				return busy, fmt.Errorf("got %q", line)
			}
		}
		sent += some
	}
	return busy, nil
}

// counts are the kernel's of a process.
type counts struct {
	cpu   time.Duration
	calls int64 // of the read and write families
}

func read(b testing.TB, pid int) counts {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var c counts
	for _, ticks := range f[11:13] { // user and system time, in hundredths of a second
		n, err := strconv.ParseInt(ticks, 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		c.cpu += time.Duration(n) * 10 * time.Millisecond
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "syscr" || name == "syscw" {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				b.Fatal(err)
			}
			c.calls += n
		}
	}
	return c
}
