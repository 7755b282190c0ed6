// Package rig starts the delivery node as its deploy file says and plays what stands round it: clients, endpoints and
// discovery's agent, all on loopback addresses.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble tells whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

// NewRecord begins the file record.txt in the case's folder.
func NewRecord() *Record {
	dir := os.Getenv("CASE_DIR")
	if dir == "" {
		dir = "."
	}
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		Quit(nil, NotRun, "record.txt: %v", err)
	}
	return &Record{out: bufio.NewWriter(f), file: f, began: time.Now()}
}

// Add writes a line with the seconds since the beginning.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

var (
	startedMu sync.Mutex
	started   []*Node
	folders   []string
)

// Quit ends all processes that were started, and the case with an exit code.
func Quit(r *Record, code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	startedMu.Lock()
	for _, n := range started {
		n.kill()
	}
	for i, f := range folders {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			os.Rename(filepath.Join(f, "log"), fmt.Sprintf("%s/log-%d", keep, i))
		}
		os.RemoveAll(f)
	}
	startedMu.Unlock()
	word := map[int]string{Held: "HELD", Broken: "BROKEN", NotRun: "NOT RUN"}[code]
	fmt.Println(word+":", text)
	if r != nil {
		r.Add("%s: %s", word, text)
		r.close()
	}
	os.Exit(code)
}

// Root is the checkout: the folder above the review.
func Root() string {
	if dir := os.Getenv("PROJECT_ROOT"); dir != "" {
		return dir
	}
	return "."
}

// Folder is a temporary folder that goes with the case.
func Folder() string {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		Quit(nil, NotRun, "%v", err)
	}
	startedMu.Lock()
	folders = append(folders, dir)
	startedMu.Unlock()
	return dir
}

// FreeAddress is a loopback address that nobody listens on.
func FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Quit(nil, NotRun, "%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// RunCommand is the deploy file's command for a delivery node.
func RunCommand() string {
	text, err := os.ReadFile(filepath.Join(Root(), "deploy", "balancer.toml"))
	if err != nil {
		Quit(nil, NotRun, "%v", err)
	}
	m := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`).FindSubmatch(text)
	if m == nil {
		Quit(nil, NotRun, "the deploy file names no run command")
	}
	return string(m[1])
}

// Config is what a node is told.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     List           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Limits are a machine's.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// List is discovery's form of the list of endpoints.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one endpoint of it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Settings are like those of a small deployment; change takes them before they are returned.
func Settings(change func(s map[string]any)) map[string]any {
	const text = `{"callers":{"marksRetry":false},
	"categories":[
	 {"name":"table-status","effect":"idempotent","group":"all","aim":4000,"deadline":28000,"lateWorth":0.3,"stream":false,"window":5000,"worth":1},
	 {"name":"coin-order","effect":"deduplicated","group":"all","aim":3000,"deadline":28000,"lateWorth":0.3,"stream":false,"window":12000,"worth":3},
	 {"name":"prize-payout","effect":"at_most_once","group":"all","aim":3000,"deadline":24000,"lateWorth":0.3,"stream":false,"window":5000,"worth":4}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"mustAskIn":10000,"stopSendingWithin":250,"warmWithin":11000},
	"customers":[],"discovery":"pushed",
	"domain":{"decay":"line","feeByZone":[0],"kindBatch":[1,1],"refusedPrice":0,"separateRoutes":[false,false],"workers":9},
	"failureDomains":["ist-1"],"flavors":["big-partners","all-partners"],"fleetSize":2,
	"goal":{"whole":0.55,"worstClass":0.2,"worstTenant":0,"worstWindow":0.25},"kindOfService":"deliver",
	"limits":{"cancel":true,"connIdle":5000,"cpuUsPerRequest":0,"cpuUsPerS":100000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":269,"maxRetryAfter":3000,"mayDuplicate":true,"mayTell":false,"probes":false,"retryAfter":true,"streamsPerConn":1},
	"myNumber":0,"overShareWorth":0.1,
	"prices":{"connection":0,"crossZone":0,"discovery":0,"handshake":0.02,"lateFail":0.02,"moves":0,"origin":0,"peer":0,"probe":0,"waste":0.08},
	"report":{"fields":["x0","x1"],"how":"piggyback"},"tick":5,"tier":0,"tiers":["partners"],"weights":"rough","worthBy":"request","zone":0}`
	var s map[string]any
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	if change != nil {
		change(s)
	}
	return s
}

// Node is a delivery node's machine: its configuration, its folder that lasts, and its process while there is one.
type Node struct {
	Config Config
	State  string
	Env    []string

	record *Record
	dir    string
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	log    *os.File
}

// NewNode makes a node's machine.
func NewNode(r *Record, c Config) *Node {
	dir := Folder()
	n := &Node{Config: c, State: filepath.Join(dir, "state"), dir: dir, record: r}
	if err := os.Mkdir(n.State, 0o700); err != nil {
		Quit(r, NotRun, "%v", err)
	}
	startedMu.Lock()
	started = append(started, n)
	startedMu.Unlock()
	return n
}

// Log is the file of the node's log.
func (n *Node) Log() string { return filepath.Join(n.dir, "log") }

// WriteConfig replaces the configuration's file.
func (n *Node) WriteConfig() {
	text, err := json.Marshal(n.Config)
	if err == nil {
		err = os.WriteFile(filepath.Join(n.dir, "config.new"), text, 0o600)
	}
	if err == nil {
		err = os.Rename(filepath.Join(n.dir, "config.new"), filepath.Join(n.dir, "config.json"))
	}
	if err != nil {
		Quit(n.record, NotRun, "%v", err)
	}
}

// Start starts the process and waits until it answers PING.
func (n *Node) Start() {
	n.WriteConfig()
	log, err := os.OpenFile(n.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Quit(n.record, NotRun, "%v", err)
	}
	tmp := filepath.Join(n.dir, "tmp")
	os.MkdirAll(tmp, 0o700)
	cmd := exec.Command("/bin/sh", "-c", RunCommand())
	cmd.Dir, cmd.Stdout, cmd.Stderr = Root(), log, log
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+n.Config.Name, "ROUTER_LISTEN="+n.Config.Listen, "ROUTER_DISCOVERY="+n.Config.Discovery,
		"ROUTER_STATE="+n.State, "ROUTER_CONFIG="+filepath.Join(n.dir, "config.json"), "TMPDIR="+tmp)
	cmd.Env = append(cmd.Env, n.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		Quit(n.record, NotRun, "the node can't be started: %v", err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		n.record.Add("node %s: process %d ended: %v", n.Config.Name, cmd.Process.Pid, err)
		close(ended)
	}()
	n.record.Add("node %s: process %d started", n.Config.Name, cmd.Process.Pid)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if n.ping() {
			n.record.Add("node %s: ready", n.Config.Name)
			return
		}
		if time.Now().After(end) {
			Quit(n.record, NotRun, "the node was not ready within 30 s")
		}
	}
}

func (n *Node) ping() bool {
	c, err := Dial(n.Config.Listen)
	if err != nil {
		return false
	}
	defer c.Close()
	line, err := c.Do(time.Second, "PING")
	return err == nil && line == "+PONG"
}

// Pid is the process's number.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.record.Add("node %s: %v", n.Config.Name, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(s)
}

// Wait waits until the process has ended, and tells whether it has.
func (n *Node) Wait(most time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if most <= 0 {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Alive tells whether the process runs.
func (n *Node) Alive() bool { return !n.Wait(0) }

// Kill ends the process at once, and waits until it is gone.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.Wait(10 * time.Second)
}

func (n *Node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Kill()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
	}
}

// Client is one connection of a client.
type Client struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects to a node.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Command is a command as it is written.
func Command(words ...string) []byte {
	var b []byte
	b = append(b, "*"+strconv.Itoa(len(words))+"\r\n"...)
	for _, w := range words {
		b = append(b, "$"+strconv.Itoa(len(w))+"\r\n"...)
		b = append(append(b, w...), "\r\n"...)
	}
	return b
}

// Enqueue is a request that hands a message in.
func Enqueue(id, fields, body string) []byte {
	return Command("ENQUEUE", "0000000000000000", id, fields, body)
}

// Answer reads one answer.
func (c *Client) Answer(most time.Duration) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(most)); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	return "", errors.New("a bulk string was not expected")
}

// Do writes a command and reads its answer.
func (c *Client) Do(most time.Duration, words ...string) (string, error) {
	if _, err := c.Write(Command(words...)); err != nil {
		return "", err
	}
	return c.Answer(most)
}
