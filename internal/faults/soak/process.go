package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingusher/internal/faults"
	"starlingusher/internal/standin"
)

// node is a place in the fleet: a folder that lasts, an address, and the process that has them now.
type node struct {
	play   *play
	number int
	folder string
	listen string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	wanted    bool          // it is to run
	discovery string
	lives     int
	leaving   chan struct{} // holds a token when the process is about to be told to end, or killed
}

// hosts counts the loopback addresses that this process has taken.
var hosts atomic.Int64

// loopback is an address of this machine that nothing else takes a port of, in this process or another one.
func loopback() string {
	n := int(hosts.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, (os.Getpid()/128+n/250)%250, 1+n%250)
}

// reserve finds a port that nobody uses.
func reserve() (string, error) {
	ln, err := net.Listen("tcp", loopback())
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// settings are the platform's.
func (d *Day) settings() (json.RawMessage, error) {
	ms := func(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
	var classes []map[string]any
	for _, c := range d.Classes {
		one := map[string]any{"name": c.Name, "effect": c.Effect, "aim": ms(c.Deadline) / 4, "deadline": ms(c.Deadline), "worth": 1, "lateWorth": 0.3}
		if c.Effect == Deduplicated {
			one["window"], one["group"] = ms(c.Window), "all"
		}
		classes = append(classes, one)
	}
	return json.Marshal(map[string]any{
		"fleetSize": d.Nodes, "categories": classes, "discovery": "pushed", "failureDomains": []string{"a"}, "flavors": []string{"plain"},
		"contract": map[string]any{"coldFrom": d.ColdFrom, "fall": ms(fallSpan), "fallMultiple": fallMultiple, "graceToAnswer": 20,
			"stopSendingWithin": ms(drainGrace), "warmWithin": ms(d.WarmIn)},
		"domain": map[string]any{"decay": "line", "kindBatch": []int{1}, "separateRoutes": []bool{false}, "workers": d.Slots},
		"limits": map[string]any{"cancel": true, "connIdle": 5000, "dialTimeout": 1000, "maxAttempts": 12, "maxOpen": d.MaxOpen,
			"maxRetryAfter": 3000, "retryAfter": true},
		"tick": 5, "weights": "rough",
	})
}

// configure writes the node's configuration, with the list as discovery has it now.
func (n *node) configure() error {
	settings, err := n.play.day.settings()
	if err != nil {
		return err
	}
	text, err := standin.NodeConfig(n.listen, n.discovery, standin.Limits{Cores: 0.25, MemoryMB: 64, Sockets: 384, DiskMB: 3}, string(settings), n.play.members())
	if err != nil {
		return err
	}
	path := filepath.Join(n.folder, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// move tells the process by a new configuration where discovery is now.
func (n *node) move(discovery string) error {
	n.discovery = discovery
	if err := n.configure(); err != nil {
		return err
	}
	n.signal(syscall.SIGHUP)
	return nil
}

// start starts the process and waits until it takes clients.
func (n *node) start(ctx context.Context) error {
	if err := errors.Join(os.MkdirAll(filepath.Join(n.folder, "state"), 0o700), n.configure()); err != nil {
		return err
	}
	cmd := exec.Command(n.play.options.Program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(n.folder, "config.json"), "ROUTER_STATE="+filepath.Join(n.folder, "state"),
		"ROUTER_NAME="+fmt.Sprintf("n%d", n.number), "ROUTER_DISCOVERY="+n.discovery)
	n.lives++
	if n.play.day.Clocks {
		cmd.Env = append(cmd.Env, n.clock())
	}
	if n.play.day.Calls {
		cmd.Env = append(cmd.Env, n.calls().Environment())
	}
	words, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := n.play.day.narrow(words); err != nil {
		return errors.Join(err, log.Close())
	}
	began := n.play.now()
	n.play.history.begins(n.number)
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.wanted = cmd, done, true
	n.mu.Unlock()
	go func() { // ends with the process
		defer close(done)
		defer log.Close()
		n.read(io.TeeReader(&heldReader{Reader: words, play: n.play}, log))
		words.Close()
		err := cmd.Wait()
		n.mu.Lock()
		wanted := n.wanted
		n.mu.Unlock()
		if wanted {
			n.play.history.breach(ReadyInTime, "node %d ended by itself: %v", n.number, err)
		}
	}()
	for {
		nc, err := net.DialTimeout("tcp", n.listen, time.Second)
		if err == nil {
			_, err = io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
			if err == nil {
				nc.SetReadDeadline(time.Now().Add(time.Second))
				_, err = bufio.NewReader(nc).ReadString('\n')
			}
			nc.Close()
		}
		if err == nil {
			n.play.history.ready(n.number)
			return nil
		}
		if n.play.now()-began > readyWithin {
			n.play.history.breach(ReadyInTime, "node %d is not ready after %v: %v", n.number, readyWithin, err)
			return fmt.Errorf("node %d is not ready: %w", n.number, err)
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-done:
			return fmt.Errorf("node %d has ended (%v): %s", n.number, cmd.ProcessState, n.lastWords())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lastWords are the last lines of the node's log.
func (n *node) lastWords() string {
	const most = 2000
	text, err := os.ReadFile(filepath.Join(n.folder, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-most, 0):])
}

// clock draws how far off the wall clock of the next life is, and a step in it.
func (n *node) clock() string {
	rng := rand.New(rand.NewPCG(n.play.day.Seed, uint64(5000+100*n.number+n.lives)))
	steps := []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour}
	after := time.Duration(rng.Int64N(int64(n.play.day.Length)))
	return faults.SteppedClock(steps[rng.IntN(len(steps))], after, steps[rng.IntN(len(steps))])
}

// calls draws which system calls of the next life fail: seldom and at any time on sockets, all that need a descriptor for two
// seconds, and those that write the folder for some seconds, both now and then from the start.
func (n *node) calls() faults.Calls {
	const socketsFail, folderFails = 2 * time.Second, 4 * time.Second
	rng := rand.New(rand.NewPCG(n.play.day.Seed, uint64(9000+100*n.number+n.lives)))
	if n.play.day.Rarely > 0 {
		return faults.Calls{Seed: rng.Uint64(), InAMillion: n.play.day.Rarely}
	}
	left := max(n.play.day.Length-n.play.now(), time.Second)
	c := faults.Calls{Seed: rng.Uint64(), InAMillion: []int{0, 1000, 10_000}[rng.IntN(3)]}
	if rng.IntN(2) == 0 {
		c.SocketsFrom = max(0, time.Duration(rng.Int64N(int64(left)))-time.Second)
		c.SocketsTo = c.SocketsFrom + socketsFail
	}
	if rng.IntN(2) == 0 {
		c.FolderFrom = max(0, time.Duration(rng.Int64N(int64(left)))-time.Second)
		c.FolderTo = c.FolderFrom + time.Duration(rng.Int64N(int64(folderFails)))
	}
	return c
}

// heldReader is a reader of a log that stands still now and then.
type heldReader struct {
	io.Reader
	play *play
}

// Read waits for the end of a time in which nobody reads logs, and ends when their readers are gone.
func (r *heldReader) Read(b []byte) (int, error) {
	if gone := r.play.day.LogGone; gone > 0 && r.play.now() > gone {
		return 0, io.EOF
	}
	for _, w := range r.play.day.LogHeld {
		if now := r.play.now(); now >= w.From && now < w.To {
			time.Sleep(w.To - now) // the pace of a slow reader
		}
	}
	return r.Reader.Read(b)
}

// read takes from the process's log what it was told of servers, and its end in a panic.
func (n *node) read(words io.Reader) {
	lines := bufio.NewScanner(words)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.Contains(line, `msg="attempt ended"`):
			if server, err := strconv.Atoi(field(line, "destination")); err == nil && server < len(n.play.servers) {
				n.play.servers[server].toldNode(n.number)
				if field(line, "outcome") == "cut" {
					n.play.history.unheard(n.number, server, field(line, "message"))
				}
			}
		case strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:"):
			n.play.history.breach(ReadyInTime, "node %d: %s", n.number, line)
		}
	}
	io.Copy(io.Discard, words) // a line that is too long ends the scan, and must not hold the process up
}

// field is the value of a key in a line of the log.
func field(line, key string) string {
	_, rest, ok := strings.Cut(line, " "+key+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// signal sends the process a signal, if there is one.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.cmd.Process.Signal(s) // an error says that it has ended
	}
}

// end ends the process: by SIGTERM, and SIGKILL at the earliest time that is allowed, or at once.
func (n *node) end(at time.Duration) {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.wanted = false
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	if at > 0 {
		n.signal(syscall.SIGTERM)
		late := time.NewTimer(at)
		defer late.Stop()
		select {
		case <-done:
		case <-late.C:
		}
	}
	select {
	case <-done:
	default:
		ended := n.play.kills(n.number)
		n.signal(syscall.SIGKILL)
		<-done
		ended()
	}
	n.play.history.gone(n.number)
	n.mu.Lock()
	n.cmd = nil
	n.mu.Unlock()
}

// usage is the process's memory in bytes and its open descriptors; 0 where there is no process.
func (n *node) usage() (memory, descriptors int) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return 0, 0
	}
	at := filepath.Join("/proc", strconv.Itoa(cmd.Process.Pid))
	text, err := os.ReadFile(filepath.Join(at, "statm"))
	if err != nil {
		return 0, 0
	}
	if words := strings.Fields(string(text)); len(words) > 1 {
		pages, _ := strconv.Atoi(words[1])
		memory = pages * os.Getpagesize()
	}
	open, err := os.ReadDir(filepath.Join(at, "fd"))
	if err != nil {
		return memory, 0
	}
	return memory, len(open)
}
