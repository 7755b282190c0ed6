// Package clients plays hostile and unlucky clients against the program as a process: it has to stay within its memory, serve others, and run nothing twice.
package clients

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/faults"
	"starlingusher/internal/standin"
)

const (
	patience  = 20 * time.Second
	partner   = 7 // the destination of the one endpoint
	megabytes = 1 << 20
)

const settings = `{"fleetSize":1,"categories":[
	{"name":"table-status","effect":"idempotent","aim":4000,"deadline":20000,"worth":1,"lateWorth":0.3},
	{"name":"prize-payout","effect":"at_most_once","aim":4000,"deadline":20000,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":64},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":20000,"maxRetryAfter":300,"retryAfter":true},
	"tick":5,"weights":"rough"}`

// given is another build to play instead of this one, to compare the two.
var given = flag.String("clients.program", "", "the program to play; empty for a build of this code")

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(func() int {
		if program = *given; program != "" {
			return m.Run()
		}
		folder, err := os.MkdirTemp("", "clients-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(folder)
		if program, err = faults.Build(context.Background(), folder); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// process is a node as a process, with an endpoint and discovery of its own.
type process struct {
	t         *testing.T
	cmd       *exec.Cmd
	addr      string
	endpoint  *standin.HTTP
	discovery *standin.Discovery
	log       lockedBuffer
	told      bool // to end
}

// lockedBuffer is a buffer that may be read while it is written to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

// String is all that was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func start(t *testing.T, limits standin.Limits, script standin.Script) *process {
	t.Helper()
	endpoint, err := standin.NewHTTP(script, nil)
	if err != nil {
		t.Fatal(err)
	}
	return startAt(t, limits, endpoint)
}

// startAt starts a node whose one endpoint is the one given, and is closed with the test.
func startAt(t *testing.T, limits standin.Limits, endpoint *standin.HTTP) *process {
	t.Helper()
	return startAtMany(t, limits, endpoint, 1)
}

// startAtMany starts a node with so many endpoints, which the one given is for all of them. It is closed with the test.
func startAtMany(t *testing.T, limits standin.Limits, endpoint *standin.HTTP, endpoints int) *process {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	p := &process{t: t, endpoint: endpoint}
	var err error
	t.Cleanup(p.endpoint.Close)
	p.discovery, err = standin.NewDiscovery()
	must(err)
	t.Cleanup(p.discovery.Close)
	port, err := standin.ReservePort()
	must(err)
	p.addr = port.Addr()
	must(port.Close())
	members := make([]standin.Member, endpoints)
	for i := range members {
		id := "e"
		if i > 0 {
			id = fmt.Sprint("e", i)
		}
		members[i] = standin.Member{ID: id, Addr: p.endpoint.Addr(), Zone: "a", Kind: "plain", Dest: partner, Phase: "SERVING", Size: 20000}
	}
	text, err := standin.NodeConfig(p.addr, p.discovery.Addr(), limits, settings, members)
	must(err)
	folder := t.TempDir()
	config := filepath.Join(folder, "node.json")
	must(os.WriteFile(config, text, 0o600))
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_STATE="+folder, "ROUTER_NAME=n")
	p.cmd.Stderr = &p.log
	must(p.cmd.Start())
	t.Cleanup(p.stop)
	p.awaitClients()
	return p
}

// awaitClients waits until the process takes clients.
func (p *process) awaitClients() {
	p.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", p.addr); err == nil {
			c.Close()
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("the node takes no clients:\n%s", p.log.String())
		}
	}
}

// replace ends the process by a signal, and starts another one in its folder.
func (p *process) replace(signal os.Signal) {
	p.t.Helper()
	p.cmd.Process.Signal(signal)
	p.cmd.Wait() // a kill is no success
	next := exec.Command(program)
	next.Env, next.Stderr = p.cmd.Env, p.cmd.Stderr
	p.cmd = next
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.awaitClients()
}

// holdUp stops the process for a while, as a machine that is busy does.
func (p *process) holdUp(span time.Duration) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		p.t.Fatal(err)
	}
	time.Sleep(span)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		p.t.Fatal(err)
	}
}

// linesOf are the lines of the processes' log that name a message.
func (p *process) linesOf(id string) string {
	var lines strings.Builder
	for line := range strings.Lines(p.log.String()) {
		if strings.Contains(line, "message="+id+" ") {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// tell has the process end as the platform does, and does not wait for that.
func (p *process) tell() {
	if !p.told {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	p.told = true
}

// stop ends the process as the platform does, and fails the test if it has ended by itself.
func (p *process) stop() {
	p.tell()
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the node ended by itself, or badly: %v\n%s", err, p.log.String())
	}
}

// peakMemory is the most memory that the process has had resident, in bytes.
func (p *process) peakMemory() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				p.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	p.t.Fatal("the system tells no peak of memory")
	return 0
}

// processorTime is what the process has used of processors.
func (p *process) processorTime() time.Duration {
	p.t.Helper()
	const userField, systemField, tick = 13, 14, 10 * time.Millisecond // of /proc/PID/stat, counted from 0
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	fields := strings.Fields(string(text))
	user, err1 := strconv.Atoi(fields[userField])
	system, err2 := strconv.Atoi(fields[systemField])
	if err := errors.Join(err1, err2); err != nil {
		p.t.Fatal(err)
	}
	return time.Duration(user+system) * tick
}

// dial connects a client, with a bound for all that it does.
func (p *process) dial() (net.Conn, *bufio.Reader) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(2 * patience)); err != nil {
		p.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// moreThanOnce are the ids that ran more than once.
func moreThanOnce(runs map[string]int) (ids []string) {
	for id, count := range runs {
		if count > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// enqueue is the command that hands a message in.
func enqueue(id, class string, life time.Duration, body string) string {
	return standin.Command("ENQUEUE", "0", id, fmt.Sprintf("c=%s,d=%d,dest=%d", class, life.Milliseconds(), partner), body)
}
