// Package stage has what the cases of this review share: processes of the project, and stand-ins of clients, endpoints, the agent and the
// network between them. All addresses are loopback ones.
package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// Stage is one run of a case.
type Stage struct {
	Root    string // of the project
	Folder  string // temporary
	Trouble bool

	began   time.Time
	mu      sync.Mutex
	record  *os.File
	cleanup []func()
}

// Open begins a run: it reads TROUBLE, PROJECT and RECORD from the environment.
func Open() *Stage {
	s := &Stage{Root: os.Getenv("PROJECT"), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if s.Folder, err = os.MkdirTemp("", "case-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if s.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if _, err := os.Stat(s.Program()); err != nil {
		s.End(NotRun, "the program is not built: %v", err)
	}
	time.AfterFunc(115*time.Second, func() { s.End(NotRun, "the case took too long") })
	return s
}

// Program is the built daemon and operators' tool.
func (s *Stage) Program() string { return filepath.Join(s.Root, "bin", "coralyard") }

// Note writes a line of the record.
func (s *Stage) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// OnEnd has something done at the end, the last one first.
func (s *Stage) OnEnd(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanup = append(s.cleanup, do)
}

// End ends the run.
func (s *Stage) End(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.Note("END %d: %s", code, text)
	fmt.Printf("%d: %s\n", code, text)
	s.mu.Lock()
	all := s.cleanup
	s.cleanup = nil
	s.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.Folder)
	} else {
		fmt.Println("kept:", s.Folder)
	}
	os.Exit(code)
}

// Must ends a run that can't go on.
func (s *Stage) Must(err error, what string) {
	if err != nil {
		s.End(NotRun, "%s: %v", what, err)
	}
}

// Until waits for something, and tells whether it came about in time.
func Until(within time.Duration, is func() bool) bool {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		if is() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// FreeAddr is a loopback address on which nobody listens.
func (s *Stage) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.Must(err, "no free port")
	defer ln.Close()
	return ln.Addr().String()
}

// Process is one that a case has started.
type Process struct {
	stage *Stage
	Name  string
	cmd   *exec.Cmd
	Done  chan struct{}
	mu    sync.Mutex
	meant bool
}

// Start starts a command, as the deploy file has it, with a log of its own.
func (s *Stage) Start(name string, env []string, words ...string) *Process {
	log, err := os.OpenFile(filepath.Join(s.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.Must(err, "log")
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = s.Root, append(os.Environ(), env...), log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	s.Must(cmd.Start(), "start of "+name)
	log.Close()
	p := &Process{stage: s, Name: name, cmd: cmd, Done: make(chan struct{})}
	s.Note("process %s starts", name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		s.Note("process %s has ended, meant=%v: %v", name, p.meant, cmd.ProcessState)
		_ = err
		close(p.Done)
	}()
	s.OnEnd(func() { p.Kill(); syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	return p
}

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// ExitCode is that of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Signal sends a signal.
func (p *Process) Signal(sig syscall.Signal) {
	p.stage.Note("%s is sent %v", p.Name, sig)
	p.cmd.Process.Signal(sig)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.meant = true
	p.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.Done
}

// Daemon starts a node by the deploy file's command.
func (s *Stage) Daemon(name string, env ...string) *Process {
	return s.Start(name, env, "/bin/sh", "-c", "exec bin/coralyard")
}

// Member is an entry of discovery's list.
type Member struct {
	ID    string  `json:"id"`
	Addr  string  `json:"host_port"`
	Zone  string  `json:"locality"`
	Kind  string  `json:"flavor"`
	Dest  int     `json:"cell"`
	Phase string  `json:"phase"`
	Size  float64 `json:"size"`
	Since int64   `json:"up_since_ms"`
}

// WriteConfig writes a node's configuration.
func (s *Stage) WriteConfig(path, name, listen, discovery, settings string, known []Member) {
	if known == nil {
		known = []Member{}
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":    map[string]any{"revision": 1, "complete": true, "members": known},
		"settings": json.RawMessage(settings),
	})
	s.Must(err, "configuration")
	s.Must(os.WriteFile(path, text, 0o600), "configuration")
}

// Notice is the end of a message as a node reports it.
type Notice struct {
	ID    string `json:"id"`
	State string `json:"state"`
	After int64  `json:"after_ms"`
	At    time.Time
}

// Agent is the platform's agent of one node: the list, and the notices that it takes.
type Agent struct {
	stage *Stage
	name  string
	Addr  string

	mu      sync.Mutex
	line    string
	version int
	changed chan struct{}
	notices []Notice
	indent  bool // lists come on several lines
	crowded bool // calls for the list are turned away
}

// Agent starts one that lists members.
func (s *Stage) Agent(name string, members []Member) *Agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.Must(err, "agent")
	a := &Agent{stage: s, name: name, Addr: ln.Addr().String(), version: 1, changed: make(chan struct{})}
	a.List(members)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.list)
	mux.HandleFunc("POST /reports", a.report)
	srv := &http.Server{Handler: mux}
	go srv.Serve(ln)
	s.OnEnd(func() { srv.Close() })
	return a
}

// Crowd ends all watches, and has calls for the list turned away, until it is called with false.
func (a *Agent) Crowd(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crowded = on
	close(a.changed)
	a.changed = make(chan struct{})
}

// Indent has lists come indented.
func (a *Agent) Indent(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.indent = on
}

// List changes the list: it is told as a whole.
func (a *Agent) List(members []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	text, _ := json.Marshal(map[string]any{"revision": a.version, "complete": true, "members": members})
	a.line = string(text)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) list(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch") != ""
	first := true
	for {
		a.mu.Lock()
		line, changed, crowded := a.line, a.changed, a.crowded
		if a.indent {
			var b bytes.Buffer
			json.Indent(&b, []byte(line), "", "  ")
			line = b.String()
		}
		a.mu.Unlock()
		if crowded {
			if first {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		first = false
		fmt.Fprintln(w, line)
		w.(http.Flusher).Flush()
		if !watch {
			return
		}
	same:
		for {
			select {
			case <-changed:
				break same
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		}
	}
}

func (a *Agent) report(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	var all []Notice
	for _, line := range bytes.Split(body, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		n := Notice{At: now}
		if err := json.Unmarshal(line, &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	a.mu.Lock()
	for _, n := range all {
		a.stage.Note("agent of %s: notice %s %s after_ms=%d", a.name, n.ID, n.State, n.After)
	}
	a.notices = append(a.notices, all...)
	a.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Notices are those that came so far.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice(nil), a.notices...)
}

// Call is a call that came whole.
type Call struct {
	ID, Key, Body string
	At            time.Time
	Status        int
}

// Endpoint is a partner's endpoint.
type Endpoint struct {
	stage *Stage
	name  string
	Addr  string

	mu     sync.Mutex
	ln     net.Listener
	open   map[net.Conn]bool
	answer func(Call) (status int, after time.Duration)
	calls  []Call
}

// Endpoint starts one. answer gives the status of each call, and when it is written.
func (s *Stage) Endpoint(name string, answer func(Call) (int, time.Duration)) *Endpoint {
	e := &Endpoint{stage: s, name: name, Addr: s.FreeAddr(), open: map[net.Conn]bool{}, answer: answer}
	e.Accept()
	s.OnEnd(e.Refuse)
	return e
}

// Answer changes how calls are answered.
func (e *Endpoint) Answer(answer func(Call) (int, time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

// Accept takes connections.
func (e *Endpoint) Accept() {
	ln, err := net.Listen("tcp", e.Addr)
	e.stage.Must(err, "endpoint")
	e.mu.Lock()
	e.ln = ln
	e.mu.Unlock()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open[nc] = true
			e.mu.Unlock()
			go e.converse(nc)
		}
	}()
}

// Refuse ends its listener and its connections: connections are refused until Accept.
func (e *Endpoint) Refuse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ln.Close()
	for nc := range e.open {
		nc.Close()
	}
	e.open = map[net.Conn]bool{}
}

var texts = map[int]string{200: "OK", 429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}

func (e *Endpoint) converse(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := Call{ID: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key"), Body: string(body), At: time.Now()}
		e.mu.Lock()
		answer := e.answer
		e.mu.Unlock()
		status, after := answer(c)
		c.Status = status
		e.mu.Lock()
		e.calls = append(e.calls, c)
		e.mu.Unlock()
		e.stage.Note("endpoint %s: call id=%s body=%q answer=%d", e.name, c.ID, c.Body, status)
		if status == 0 { // never answered
			io.Copy(io.Discard, r)
			return
		}
		time.Sleep(after)
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, texts[status]); err != nil {
			return
		}
	}
}

// Calls are those that came so far.
func (e *Endpoint) Calls() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Call(nil), e.calls...)
}

// Enqueue hands a message in, as a client does that waits for 400 ms. The answer is empty if none came.
func (s *Stage) Enqueue(node, addr, id, fields, body string) (answer string, err error) {
	nc, err := net.DialTimeout("tcp", addr, 400*time.Millisecond)
	if err != nil {
		s.Note("client of %s: %s can't be handed in: %v", node, id, err)
		return "", err
	}
	defer nc.Close()
	var b strings.Builder
	words := []string{"ENQUEUE", "7f3a9c21e0b4d655", id, fields, body}
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return "", err
	}
	nc.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
	line, err := bufio.NewReader(nc).ReadString('\n')
	answer = strings.TrimSpace(line)
	s.Note("client of %s: id=%s %s body=%q answered %q", node, id, fields, body, answer)
	return answer, err
}

// Ready waits until a node answers PING.
func (s *Stage) Ready(addr string, within time.Duration) bool {
	return Until(within, func() bool {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return false
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(400 * time.Millisecond))
		io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(nc).ReadString('\n')
		return strings.HasPrefix(line, "+PONG")
	})
}

// Way is a part of the network between two machines: a forwarder that may be cut. While it is cut open connections are silent and new ones never
// come up to the other side; when it is back, those are reset.
type Way struct {
	stage *Stage
	to    string
	Addr  string

	mu    sync.Mutex
	cut   bool
	heal  chan struct{} // closed when it is not cut
	conns map[net.Conn]bool
	held  map[net.Conn]bool // those that were silent in a cut
}

// Way starts one.
func (s *Stage) Way(to string) *Way {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.Must(err, "way")
	w := &Way{stage: s, to: to, Addr: ln.Addr().String(), heal: make(chan struct{}), conns: map[net.Conn]bool{}, held: map[net.Conn]bool{}}
	close(w.heal)
	s.OnEnd(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go w.carry(nc)
		}
	}()
	return w
}

func (w *Way) carry(nc net.Conn) {
	defer nc.Close()
	w.mu.Lock()
	w.conns[nc] = true
	cut := w.cut
	if cut {
		w.held[nc] = true
	}
	heal := w.heal
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, nc)
		delete(w.held, nc)
		w.mu.Unlock()
	}()
	if cut {
		<-heal
		nc.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.DialTimeout("tcp", w.to, time.Second)
	if err != nil {
		nc.(*net.TCPConn).SetLinger(0)
		return
	}
	defer out.Close()
	var both sync.WaitGroup
	pump := func(to, from net.Conn) {
		defer both.Done()
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			w.mu.Lock()
			cut, heal := w.cut, w.heal
			w.mu.Unlock()
			if cut { // nothing gets through any more: it is reset when the network is back
				<-heal
				nc.(*net.TCPConn).SetLinger(0)
				out.(*net.TCPConn).SetLinger(0)
				nc.Close()
				out.Close()
				return
			}
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					nc.Close()
					out.Close()
					return
				}
			}
			if err != nil {
				nc.Close()
				out.Close()
				return
			}
		}
	}
	both.Add(2)
	go pump(out, nc)
	go pump(nc, out)
	both.Wait()
}

// Cut cuts the way, and Heal mends it.
func (w *Way) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut, w.heal = true, make(chan struct{})
}

// Heal mends the way.
func (w *Way) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		w.cut = false
		close(w.heal)
	}
}

// Number is a short id.
func Number(prefix string, i int) string { return prefix + strconv.Itoa(i) }
