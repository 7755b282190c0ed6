package main

import (
	"bufio"
	"bytes"
	"context"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/standin"
	"starlingusher/undelivered"
	"starlingusher/undelivered/recovery"
)

const bankSettings = `{"fleetSize":1,"categories":[
	{"name":"table-status","effect":"idempotent","aim":100,"deadline":250,"worth":1,"lateWorth":0.3},
	{"name":"coin-order","effect":"deduplicated","aim":100,"deadline":250,"worth":3,"lateWorth":0.3,"window":3600000},
	{"name":"prize-payout","effect":"at_most_once","aim":100,"deadline":250,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":300,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":300},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":64},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":500,"maxRetryAfter":300,"retryAfter":true},
	"tick":5,"weights":"rough"}`

var bankClasses = []string{"table-status", "coin-order", "prize-payout"}

const bankRules = `max-mb: 16
rules:
  - classes: [coin-order]
    pause: 5ms
    pace: 5ms
    tries: 100
`

// sites counts the sites of this process.
var sites atomic.Int64

// site is a node's surroundings, which outlast its processes: folder, discovery and a bank of some branches.
type site struct {
	t         *testing.T
	dir       string
	discovery *standin.Discovery
	ledger    *standin.Ledger
	branches  []*standin.HTTP
	addr      string // of the node
}

func newSite(t *testing.T, branches int, script standin.Script) *site {
	t.Helper()
	dir, err := os.MkdirTemp("", "site") // a socket's path has to be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s := &site{t: t, dir: dir, ledger: standin.NewLedger()}
	if s.discovery, err = standin.NewDiscovery(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.discovery.Close)
	var members []standin.Member
	for i := range branches {
		b, err := standin.NewHTTP(script, s.ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.branches = append(s.branches, b)
		members = append(members, standin.Member{
			ID: fmt.Sprint("branch-", i), Addr: b.Addr(), Zone: "a", Kind: "plain", Dest: i, Phase: "SERVING", Size: 1000,
		})
	}
	s.addr = reserve(t)
	text, err := standin.NodeConfig(s.addr, s.discovery.Addr(), standin.Limits{Cores: 2, MemoryMB: 256, Sockets: 1000, DiskMB: 16},
		bankSettings, members)
	if err != nil {
		t.Fatal(err)
	}
	s.write("node.json", text)
	s.write("rules.yaml", []byte(bankRules))
	return s
}

func (s *site) write(name string, text []byte) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// command is the program as a child, with the node's environment.
func (s *site) command(more []string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), append([]string{"CORALYARD_TEST_CHILD=1", "ROUTER_CONFIG=" + filepath.Join(s.dir, "node.json"),
		"ROUTER_STATE=" + s.dir, undeliveredVariable + "=" + filepath.Join(s.dir, "rules.yaml")}, more...)...)
	return cmd
}

// child is a node's process.
type child struct {
	*exec.Cmd
	log bytes.Buffer
}

// start starts the node and waits until it takes clients.
func (s *site) start(more ...string) *child {
	s.t.Helper()
	c := &child{Cmd: s.command(more)}
	c.Stderr = &c.log
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		nc, err := net.Dial("tcp", s.addr)
		if err == nil {
			nc.Close()
			return c
		}
		if time.Now().After(end) {
			c.Process.Kill()
			c.Wait()
			s.t.Fatalf("the node takes no clients:\n%s", c.log.String())
		}
	}
}

// linesOf are the lines of the log of a process that has ended that name a message.
func (c *child) linesOf(id string) string {
	var lines strings.Builder
	for line := range strings.Lines(c.log.String()) {
		if strings.Contains(line, "message="+id+" ") {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

func (c *child) kill() {
	c.Process.Kill()
	c.Wait()
}

// hand hands messages in on one connection, and returns which of them the node has taken on.
func (s *site) hand(ids []string, class, dest func(i int) int) map[string]bool {
	return s.handAs(ids, func(i int) string {
		fields := fmt.Sprintf("c=%s,d=250,dest=%d", bankClasses[class(i)], dest(i))
		if class(i) == 1 {
			fields += ",k=key-" + ids[i]
		}
		return fields
	})
}

func (s *site) handAs(ids []string, fields func(i int) string) map[string]bool {
	taken, _ := s.handAll(ids, fields)
	return taken
}

// handAll returns as well which were turned away; what happened to the others is not known.
func (s *site) handAll(ids []string, fields func(i int) string) (taken, away map[string]bool) {
	taken, away = map[string]bool{}, map[string]bool{}
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		return taken, away
	}
	defer nc.Close()
	var text strings.Builder
	for i, id := range ids {
		text.WriteString(standin.Command("ENQUEUE", "0", id, fields(i), "body of "+id))
	}
	if _, err := io.WriteString(nc, text.String()); err != nil {
		return taken, away
	}
	r := bufio.NewReader(nc)
	for _, id := range ids {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		switch {
		case strings.HasPrefix(line, "+OK"):
			taken[id] = true
		case strings.HasPrefix(line, "-BUSY"):
			away[id] = true
		}
	}
	return taken, away
}

func seedOf(t *testing.T, variable string) uint64 {
	t.Helper()
	seed := uint64(20261201)
	if text := os.Getenv(variable); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d", seed)
	return seed
}

// The node is killed at any instant, two hundred times: while messages end, entries are written, rules resend and a
// person decides. No message is lost, none has two entries or two different final answers, and by the bank's own count
// no coin order has taken effect twice and no payout has run twice.
func TestKilledWhileMessagesEndAndAreSentAgain(t *testing.T) {
	r := rand.New(rand.NewPCG(seedOf(t, "UNDELIVERED_SEED"), 1))
	faults := rand.New(rand.NewPCG(r.Uint64(), 2))
	lock := make(chan struct{}, 1) // of faults
	s := newSite(t, 4, func(standin.Call) standin.Step {
		lock <- struct{}{}
		defer func() { <-lock }()
		switch x := faults.Float64(); {
		case x < 0.35:
			return standin.Step{Fault: standin.Silent}
		case x < 0.45:
			return standin.Step{Fault: standin.Reset}
		case x < 0.5:
			return standin.Step{Fault: standin.Limit, Wait: 50 * time.Millisecond}
		}
		return standin.Step{Delay: time.Duration(faults.IntN(30)) * time.Millisecond}
	})
	const rounds, each = 200, 9
	class := func(i int) int { return i % 3 }
	taken, seen, decided := map[string]int{}, map[string]bool{}, 0
	person := func() {
		c, err := recovery.Dial(s.dir)
		if err != nil {
			return // killed, or not yet serving
		}
		defer c.Close()
		var rows []recovery.Row
		f := recovery.Filter{Waits: recovery.ForPerson, Limit: 20}
		if err := c.List(t.Context(), f, func(row recovery.Row) error { rows = append(rows, row); return nil }); err != nil {
			return
		}
		runs := s.ledger.Runs()
		for _, row := range rows {
			if !seen[row.ID] {
				seen[row.ID] = true // a call of it may just be under way to the bank; it is decided on later
				continue
			}
			action := undelivered.Apply
			if runs[row.ID] == 0 {
				action = undelivered.Resend
			}
			err := c.Decide(t.Context(), row.Number, action, "night shift", "the bank's books")
			switch {
			case err == nil:
				decided++
			case errors.Is(err, undelivered.ErrMoved):
			default:
				return
			}
		}
	}
	for round := range rounds {
		node := s.start()
		var ids []string
		for i := range each {
			ids = append(ids, fmt.Sprintf("m%d-%d", round, i))
		}
		die := time.Duration(r.IntN(350)) * time.Millisecond
		shot := time.AfterFunc(die, func() { node.Process.Kill() })
		for id := range s.hand(ids, class, func(i int) int { return i % 4 }) {
			i, _ := strconv.Atoi(id[strings.Index(id, "-")+1:])
			taken[id] = class(i)
		}
		person()
		node.Wait()
		shot.Stop()
	}
	for _, b := range s.branches {
		b.Do(nil)
	}
	node := s.start()
	settled := func() (left []string, rows map[string][]recovery.Row) {
		rows = map[string][]recovery.Row{}
		c, err := recovery.Dial(s.dir)
		if err != nil {
			return []string{"not yet serving"}, rows
		}
		defer c.Close()
		if err := c.List(t.Context(), recovery.Filter{}, func(row recovery.Row) error {
			rows[row.ID] = append(rows[row.ID], row)
			if row.State == undelivered.Out || row.Waits == recovery.ForRule {
				left = append(left, fmt.Sprintf("%s: %+v", row.ID, row))
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		return left, rows
	}
	states := func() map[string]map[string]bool {
		all := map[string]map[string]bool{}
		for _, n := range s.discovery.Notices() {
			if all[n.ID] == nil {
				all[n.ID] = map[string]bool{}
			}
			all[n.ID][n.State] = true
		}
		return all
	}
	// What has no notice and no entry has been delivered in the end.
	var rows map[string][]recovery.Row
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		left, all := settled()
		rows = all
		runs, told := s.ledger.Runs(), states()
		for id := range taken {
			if runs[id] == 0 && told[id] == nil && rows[id] == nil {
				left = append(left, id+": never ran, has no notice and no entry")
			}
			if told[id]["failed"] && rows[id] == nil {
				left = append(left, fmt.Sprintf("%s: failed with no entry; it ran %d times", id, runs[id]))
			}
		}
		if len(left) == 0 {
			break
		}
		if time.Now().After(end) {
			node.Process.Signal(syscall.SIGQUIT) // what its goroutines do goes to the log
			node.Wait()
			t.Fatalf("%d messages have no end:\n%s\n%s", len(left), strings.Join(left, "\n"), node.log.String())
		}
	}
	node.Process.Signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		t.Errorf("%v\n%s", err, node.log.String())
	}
	runs, effects, told := s.ledger.Runs(), s.ledger.Effects(time.Hour), states()
	kept, resent := 0, 0
	for id, class := range taken {
		if len(rows[id]) > 1 {
			t.Errorf("%s has %d entries", id, len(rows[id]))
		}
		if len(told[id]) > 1 {
			t.Errorf("%s has the final answers %v", id, told[id])
		}
		if told[id]["failed"] && len(rows[id]) == 0 {
			t.Errorf("%s failed and is not kept", id)
		}
		if class == 1 && effects["key-"+id] > 1 {
			t.Errorf("coin order %s took effect %d times", id, effects["key-"+id])
		}
		if class == 2 && runs[id] > 1 {
			t.Errorf("payout %s ran %d times", id, runs[id])
		}
		for _, row := range rows[id] {
			kept++
			if row.Resends > 0 {
				resent++
			}
			if class == 1 && row.State == undelivered.Delivered && effects["key-"+id] != 1 {
				t.Errorf("coin order %s is delivered and took effect %d times", id, effects["key-"+id])
			}
		}
	}
	t.Logf("%d messages taken on, %d kept, %d resent, %d decisions", len(taken), kept, resent, decided)
	if len(taken) < rounds || kept < rounds/5 || resent < 5 || decided < 3 {
		t.Error("the run has hardly anything to show")
	}
}

// A full disk stops no delivery: ends are given, and the log says what waits to be written.
func TestAFullDisk(t *testing.T) {
	s := newSite(t, 4, standin.Each(standin.Step{Fault: standin.Silent}))
	node := s.start("CORALYARD_TEST_FILE_SIZE=" + strconv.Itoa(160<<10))
	defer node.kill()
	// Each message is handed in until it is taken on, under a new id each time, and has to have its end then.
	const messages = 60
	big := strings.Repeat("x", 8000)
	id := func(i, try int) string { return fmt.Sprintf("p%d.%d", i, try) }
	tries, taken := make([]int, messages), make([]bool, messages)
	hasEnd := func(id string) bool { return s.discovery.State(id) == "failed" || s.discovery.State(id) == "returned" }
	failed := 0
	for end := time.Now().Add(patience); failed < messages; time.Sleep(10 * time.Millisecond) {
		failed = 0
		for i := range messages {
			if taken[i] && hasEnd(id(i, tries[i])) {
				failed++
			}
			if taken[i] {
				continue
			}
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatalf("%v\n%s", err, node.log.String())
			}
			tries[i]++
			io.WriteString(nc, standin.Command("ENQUEUE", "0", id(i, tries[i]), fmt.Sprintf("c=prize-payout,d=250,dest=%d", i%4), big))
			line, _ := bufio.NewReader(nc).ReadString('\n') // an end of the connection takes nothing on
			taken[i] = strings.HasPrefix(line, "+")
			nc.Close()
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d have their ends\n%s", failed, messages, node.log.String())
		}
	}
	for _, b := range s.branches {
		b.Do(nil)
	}
	delivers := func() bool {
		for id := range s.ledger.Answered() {
			if strings.HasPrefix(id, "after") {
				return true
			}
		}
		return false
	}
	for try, end := 0, time.Now().Add(patience); !delivers(); time.Sleep(10 * time.Millisecond) {
		try++
		s.hand([]string{fmt.Sprint("after", try)}, func(int) int { return 0 }, func(int) int { return 1 })
		if time.Now().After(end) {
			t.Fatalf("delivery has stopped\n%s", node.log.String())
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	c, err := recovery.Dial(s.dir)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Stats(ctx); err != nil {
		t.Errorf("%v", err)
	}
	node.kill()
	if !strings.Contains(node.log.String(), "can't be written; they wait in memory") {
		t.Errorf("the log says nothing of it:\n%s", node.log.String())
	}
}

// reserve finds a port that nobody uses, on an address of this process's own: no other takes it while no node runs.
func reserve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()/128%250, 1+sites.Add(1)%250))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
