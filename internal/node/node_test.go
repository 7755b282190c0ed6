package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/choice"
)

func itoa(n int) string { return strconv.Itoa(n) }

// registry is discovery on a loopback socket: lists go to whoever watches, notices are kept.
type registry struct {
	srv *httptest.Server

	mu      sync.Mutex
	lists   []string
	more    chan struct{} // closed when lists grows
	watches int
	posts   int
	refuse  int // so many posts of notices are answered 503
	notices []map[string]any
	cut     context.Context // ends the watches that are open
	cutNow  context.CancelFunc
}

func newRegistry(t *testing.T) *registry {
	t.Helper()
	r := &registry{more: make(chan struct{})}
	r.cut, r.cutNow = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.watches++
		cut := r.cut
		r.mu.Unlock()
		for sent := 0; ; {
			r.mu.Lock()
			news, more := r.lists[sent:], r.more
			sent = len(r.lists)
			r.mu.Unlock()
			for _, l := range news {
				fmt.Fprintf(w, "%s\n\n", l)
			}
			w.(http.Flusher).Flush()
			select {
			case <-more:
			case <-cut.Done():
				return
			case <-req.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.posts++
		if r.posts <= r.refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		lines := bufio.NewScanner(req.Body)
		for lines.Scan() {
			var n map[string]any
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.notices = append(r.notices, n)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.srv = httptest.NewServer(mux)
	t.Cleanup(func() {
		r.cutNow()
		r.srv.CloseClientConnections()
		r.srv.Close()
	})
	return r
}

func (r *registry) addr() string { return r.srv.Listener.Addr().String() }

func (r *registry) tell(l string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, l)
	close(r.more)
	r.more = make(chan struct{})
}

// state is what the notices said of a message, "" while there was none.
func (r *registry) state(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.notices {
		if n["id"] == id {
			return n["state"].(string)
		}
	}
	return ""
}

func listOf(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

func serving(id, addr string, dest int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"m","cell":%d,"phase":%q,"size":1000}`, id, addr, dest, phase)
}

const testSettings = `{"fleetSize":1,"categories":[
	{"name":"status","effect":"idempotent","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":5000},
	{"name":"order","effect":"deduplicated","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":60000},
	{"name":"payout","effect":"at_most_once","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":5000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":8},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":4,"maxRetryAfter":3000,"mayDuplicate":true,"retryAfter":true},
	"tick":5,"weights":"rough"}`

// writeConfig writes a node's configuration and returns its path.
func writeConfig(t *testing.T, listen, discovery string, known ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,"settings":%s}`,
		listen, discovery, listOf(1, true, known...), testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startNode runs a node in this process until the test ends or stop is called.
func startNode(t *testing.T, r *registry, state string, known ...string) (addr string, stop func()) {
	t.Helper()
	return startAltered(t, r, state, nil, known...)
}

// startAltered is startNode with something changed in the configuration.
func startAltered(
	t *testing.T, r *registry, state string, alter func(*Config), known ...string,
) (addr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	cfg, err := LoadConfig(writeConfig(t, addr, r.addr(), known...), state)
	if err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(&cfg)
	}
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, ln) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return addr, stop
}

const ofStatus, ofOrder, ofPayout = "c=status,d=50000,dest=7", "c=order,d=50000,dest=7,k=key", "c=payout,d=50000,dest=7"

func mustAnswer(t *testing.T, addr, text, want string) {
	t.Helper()
	if got := ask(t, addr, text); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestDeliversAndForgets(t *testing.T) {
	t.Parallel()
	p, state := newPartner(t, says(delivered)), t.TempDir()
	r := newRegistry(t)
	addr, stop := startNode(t, r, state, serving("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, resp("PING"), "+PONG")
	mustAnswer(t, addr, enqueue("a", ofOrder, "body"), "+OK")
	if req := p.next(t); req.Header.Get("X-Trace-Id") != "a" || req.Header.Get("Idempotency-Key") != "key" {
		t.Errorf("got %v", req.Header)
	}
	if got := ask(t, addr, enqueue("b", "c=status,d=5000,dest=99", "")); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("an unknown destination: %q", got)
	}
	stop()
	if j := openTest(t, state, 3); len(j.live) != 0 {
		t.Errorf("%d live after delivery", len(j.live))
	}
}

// held is the list of a destination that is known and has no endpoint to send to.
func held() string { return serving("e0", "127.0.0.1:9", 7, "DRAINING") }

func TestHeldMessageIsTakenOnOnceAndRoomIsBounded(t *testing.T) {
	t.Parallel()
	p, r := newPartner(t, says(delivered)), newRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), held())
	mustAnswer(t, addr, enqueue("a", ofStatus, "x"), "+OK")
	mustAnswer(t, addr, enqueue("a", ofStatus, "x"), "+OK") // the same one again
	answers := map[string]int{}
	for i := range 6 {
		answers[strings.Fields(ask(t, addr, enqueue("m"+itoa(i), ofStatus, "x")))[0]]++
	}
	if answers["-BUSY"] < 3 || answers["+OK"] < 1 { // four may be held in all
		t.Errorf("got %v", answers)
	}
	r.tell(listOf(2, false, serving("e", p.addr(), 7, "SERVING")))
	seen := map[string]int{}
	for range 1 + answers["+OK"] {
		seen[p.next(t).Header.Get("X-Trace-Id")]++
	}
	if len(seen) != 1+answers["+OK"] {
		t.Errorf("got %v", seen)
	}
}

func TestDrainAndWholeList(t *testing.T) {
	t.Parallel()
	first, second, r := newPartner(t, says(delivered)), newPartner(t, says(delivered)), newRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), serving("e1", first.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueue("a", ofStatus, ""), "+OK")
	first.next(t)
	for i, l := range []string{
		listOf(2, false, serving("e1", first.addr(), 7, "DRAINING"), serving("e2", second.addr(), 7, "SERVING")),
		listOf(3, true, serving("e1", first.addr(), 7, "SERVING")), // e2 is not in it, and so gone
	} {
		from, other := []*partner{second, first}[i], []*partner{first, second}[i]
		before, _ := other.counts()
		r.tell(l)
		sentOn := func() bool {
			// Until the list has come the other one is right; from the first call on the new one only it is.
			mustAnswer(t, addr, enqueue(fmt.Sprintf("m%d", time.Now().UnixNano()), ofStatus, ""), "+OK")
			select {
			case <-from.came:
				return true
			case <-other.came:
				return false
			case <-time.After(patience):
				t.Fatal("no call came")
				return false
			}
		}
		eventually(t, "the new list is followed", sentOn)
		after, _ := other.counts()
		for range 5 {
			if !sentOn() {
				t.Error("a call went to the endpoint that is drained or gone")
			}
		}
		if now, _ := other.counts(); now != after || before > after {
			t.Errorf("%d calls more", now-after)
		}
	}
}

func TestToldWaitIsKept(t *testing.T) {
	t.Parallel()
	const wait = 700 * time.Millisecond
	var mu sync.Mutex
	var told time.Time
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if told.IsZero() {
			io.WriteString(nc, "HTTP/1.1 429 No\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n")
			told = time.Now()
			return true
		}
		if early := wait - 100*time.Millisecond - time.Since(told); early > 0 { // calls that cross the answer are let through
			t.Errorf("a call came %v early", early)
		}
		return says(delivered)(nc, nil)
	})
	r := newRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), serving("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueue("a", ofPayout, ""), "+OK")
	p.next(t)
	mustAnswer(t, addr, enqueue("b", ofStatus, ""), "+OK")
	p.next(t)
	p.next(t)
}

func TestDiscoverySilentAndBack(t *testing.T) {
	t.Parallel()
	p, r := newPartner(t, says(delivered)), newRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), held())
	watching := func(least int) func() bool {
		return func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.watches >= least
		}
	}
	eventually(t, "a watch", watching(1))
	mustAnswer(t, addr, enqueue("a", ofStatus, ""), "+OK") // without discovery all goes on
	r.mu.Lock()
	r.cutNow()
	r.cut, r.cutNow = context.WithCancel(context.Background())
	r.mu.Unlock()
	eventually(t, "the watch is taken up again", watching(2))
	r.tell(listOf(2, true, serving("e", p.addr(), 7, "SERVING")))
	p.next(t)
}

// A watch may die without a sign. What the list tells meanwhile counts as told all the same, so the silence itself
// must end it; 8 s is twice the time allowed.
func TestSilentWatchIsTakenUpAgain(t *testing.T) {
	t.Parallel()
	began, watches := time.Now(), make(chan time.Duration, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		watches <- time.Since(began)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var ended sync.WaitGroup
	ended.Go(func() {
		watch(ctx, slog.New(slog.DiscardHandler), srv.Client(), srv.Listener.Addr().String(), 0, func(list) error { return nil })
	})
	<-watches
	if again := <-watches; again > 8*time.Second {
		t.Errorf("the silent watch is left after %v", again)
	}
	cancel()
	ended.Wait()
}

// Another server may be behind the one before: its older list must not undo a drain, and the newer one must come. One
// whose revisions count something else is believed after a while.
func TestAnotherDiscoveryThatIsBehind(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		lists []int // revisions, one a watch; the last one again and again
		want  []int64
	}{
		{"behind, then not", []int{4, 4, 6}, []int64{5, 6}},
		{"of its own counting", []int{1}, []int64{5, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var watches atomic.Int32
			serve := func(revision func() int) string {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					fmt.Fprintln(w, listOf(revision(), false))
					w.(http.Flusher).Flush()
					<-req.Context().Done()
				}))
				t.Cleanup(srv.Close)
				return srv.Listener.Addr().String()
			}
			n := bareNode(t, held())
			n.cfg.Discovery = serve(func() int { return 5 })
			ctx, cancel := context.WithCancel(t.Context())
			var ended sync.WaitGroup
			ended.Go(func() { n.consult(ctx) })
			for i, want := range c.want {
				if l := (<-n.events).(list); l.Revision != want {
					t.Errorf("list %d: got revision %d, want %d", i, l.Revision, want)
				}
				if i == 0 {
					n.Move(serve(func() int { return c.lists[min(int(watches.Add(1)), len(c.lists))-1] }))
				}
			}
			cancel()
			ended.Wait()
		})
	}
}

// Payouts that get no answer are out for all their time. While others pass at their partner they must not hold those
// up: once they looked slow, they took all the slots that slow partners may have, and nothing more was sent.
func TestLostCallsHoldNobodyUp(t *testing.T) {
	t.Parallel()
	answer := says(delivered)
	p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
		if strings.HasPrefix(req.Header.Get("X-Trace-Id"), "lost") {
			return silent(nc, req)
		}
		return answer(nc, req)
	})
	addr, _ := startAltered(t, newRegistry(t), t.TempDir(), func(c *Config) { c.Settings.Slots = 4 },
		serving("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueue("first", ofStatus, ""), "+OK")
	p.next(t)
	for _, id := range []string{"lost1", "lost2"} {
		mustAnswer(t, addr, enqueue(id, ofPayout, ""), "+OK")
		p.next(t)
	}
	// Well past the time after which a call looks slow each message still goes out at once: its payouts have 50 s.
	began, every := time.Now(), time.NewTicker(20*time.Millisecond)
	defer every.Stop()
	for i := 0; time.Since(began) < 2*time.Second; i++ {
		mustAnswer(t, addr, enqueue("m"+itoa(i), ofStatus, ""), "+OK")
		p.next(t)
		<-every.C
	}
}

// A partner whose table of connections others fill refuses new ones and closes them. That is no limit, for which the
// rests would grow to half a minute here: one connection is tried every now and then until there is room.
func TestFullConnectionTable(t *testing.T) {
	t.Parallel()
	const refusals = 9
	var conns atomic.Int32
	p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
		if conns.Add(1) <= refusals {
			says("HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(nc, req)
			return false
		}
		return says(delivered)(nc, req)
	})
	addr, _ := startNode(t, newRegistry(t), t.TempDir(), serving("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueue("a", ofStatus, ""), "+OK")
	eventually(t, "it is delivered", func() bool {
		calls, _ := p.counts()
		return calls > refusals
	})
}

func TestNoticeIsRetriedUntilTaken(t *testing.T) {
	t.Parallel()
	p, r := newPartner(t, says("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), newRegistry(t)
	r.refuse = 2
	state := t.TempDir()
	addr, stop := startNode(t, r, state, serving("e", p.addr(), 7, "SERVING"), serving("h", "127.0.0.1:9", 8, "DRAINING"))
	mustAnswer(t, addr, enqueue("unsafe", ofPayout, ""), "+OK") // it may have run: failed
	mustAnswer(t, addr, enqueue("short", "c=status,d=300,dest=8", ""), "+OK")
	eventually(t, "the notice of a failure", func() bool { return r.state("unsafe") == "failed" })
	eventually(t, "the notice of a refusal", func() bool { return r.state("short") == "returned" })
	stop()
	if calls, _ := p.counts(); calls != 1 {
		t.Errorf("%d calls", calls)
	}
	if j := openTest(t, state, 3); len(j.live) != 0 {
		t.Errorf("%d live after their notices", len(j.live))
	}
}

// TestMain is the node itself when a test starts this binary as a child.
func TestMain(m *testing.M) {
	if os.Getenv("CORALYARD_TEST_CHILD") == "" {
		os.Exit(m.Run())
	}
	if err := childMain(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func childMain() error {
	cfg, err := LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	n, err := New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr()) // the parent reads where to connect
	ctx, cancel := context.WithCancel(context.Background())
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		cancel()
	}()
	return n.Run(ctx, ln)
}

type child struct {
	cmd  *exec.Cmd
	addr string
}

func startChild(t *testing.T, r *registry, state string, known ...string) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+state,
		"ROUTER_CONFIG="+writeConfig(t, "127.0.0.1:0", r.addr(), known...))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	c := &child{cmd, strings.TrimSpace(addr)}
	mustAnswer(t, c.addr, resp("PING"), "+PONG")
	return c
}

func (c *child) kill(t *testing.T) {
	t.Helper()
	if err := c.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	c.cmd.Wait() // its error says that it was killed
}

// Killed with a call of each effect out: what may be repeated is delivered by the next life, what may not fails
// without another call.
func TestKilledWhileCallsAreOut(t *testing.T) {
	t.Parallel()
	p, r, state := newPartner(t, silent), newRegistry(t), t.TempDir()
	known := serving("e", p.addr(), 7, "SERVING")
	c := startChild(t, r, state, known)
	for id, fields := range map[string]string{"safe": ofStatus, "keyed": ofOrder, "unsafe": ofPayout} {
		mustAnswer(t, c.addr, enqueue(id, fields, "body of "+id), "+OK")
		if got := p.next(t).Header.Get("X-Trace-Id"); got != id {
			t.Fatalf("got a call for %q", got)
		}
	}
	c.kill(t)

	q := newPartner(t, says(delivered))
	startChild(t, r, state, serving("e", q.addr(), 7, "SERVING"))
	seen := map[string]string{}
	for range 2 {
		req := q.next(t)
		seen[req.Header.Get("X-Trace-Id")] = req.Header.Get("Idempotency-Key")
	}
	if key, ok := seen["keyed"]; !ok || key != "key" || len(seen) != 2 {
		t.Errorf("delivered: %v", seen)
	}
	eventually(t, "the unsafe one fails", func() bool { return r.state("unsafe") == "failed" })
	if calls, _ := q.counts(); calls != 2 {
		t.Errorf("%d calls", calls)
	}
}

// Killed before anything was sent: all three effects are delivered, once each, in their order.
func TestKilledWhileMessagesAreHeld(t *testing.T) {
	t.Parallel()
	p, r, state := newPartner(t, says(delivered)), newRegistry(t), t.TempDir()
	c := startChild(t, r, state, held())
	ids := []string{"safe", "keyed", "unsafe"}
	for i, fields := range []string{ofStatus, ofOrder, ofPayout} {
		mustAnswer(t, c.addr, enqueue(ids[i], fields, ""), "+OK")
	}
	c.kill(t)
	c = startChild(t, r, state, held())
	mustAnswer(t, c.addr, enqueue("safe", ofStatus, ""), "+OK") // handed in again: no second effect
	c.kill(t)
	startChild(t, r, state, serving("e", p.addr(), 7, "SERVING"))
	seen := map[string]int{}
	for range ids {
		seen[p.next(t).Header.Get("X-Trace-Id")]++
	}
	if len(seen) != 3 {
		t.Errorf("got %v", seen)
	}
	if calls, _ := p.counts(); calls != 3 {
		t.Errorf("%d calls", calls)
	}
}

// A journal as a kill between two records leaves it, for each effect and each record.
func TestEveryPointOfAKill(t *testing.T) {
	t.Parallel()
	for class, name := range []string{"safe", "keyed", "unsafe"} {
		for point, records := range []string{"accepted", "attempt", "not run", "ended"} {
			t.Run(name+" "+records, func(t *testing.T) {
				t.Parallel()
				p, r, state := newPartner(t, says(delivered)), newRegistry(t), t.TempDir()
				j := openTest(t, state, 3)
				m, err := j.accept(&past{id: "a", key: "k", class: class, dest: 7, deadline: time.Now().Add(50 * time.Second)})
				if err != nil {
					t.Fatal(err)
				}
				for i, rec := range [][]byte{
					attemptRecord(m.seq, time.Now(), 0), outcomeRecord(recNotRun, m.seq, 0), endedRecord(m.seq, ending{after: time.Second}),
				} {
					if i < point {
						j.add(rec)
					}
				}
				mustFlush(t, j)
				startNode(t, r, state, serving("e", p.addr(), 7, "SERVING"))
				switch {
				case records == "ended":
					eventually(t, "the owed notice", func() bool { return r.state("a") == "returned" })
				case name == "unsafe" && records == "attempt":
					eventually(t, "the failure", func() bool { return r.state("a") == "failed" })
				default:
					p.next(t)
					return
				}
				if calls, _ := p.counts(); calls != 0 {
					t.Errorf("%d calls", calls)
				}
			})
		}
	}
}

// The module must hear after a restart that a destination failed before it, or it would meet one that is coming
// back cold with the whole backlog. A call that was merely out when the process died is no such sign.
func TestFailuresAreRememberedAcrossARestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name            string
		records         func(seq uint64) []byte
		failed, touched bool
	}{
		{"out at the kill", func(seq uint64) []byte { return nil }, false, true},
		{"timed out", func(seq uint64) []byte { return outcomeRecord(recFailed, seq, 0) }, true, true},
		{"no route", func(seq uint64) []byte { return outcomeRecord(recNotRun, seq, 0) }, true, false},
		{"over a limit", func(seq uint64) []byte { return outcomeRecord(recTurnedAway, seq, 0) }, false, false},
	} {
		dir := t.TempDir()
		j := openTest(t, dir, 3)
		m := mustAccept(t, j, "a", nil)
		j.add(attemptRecord(m.seq, time.Now(), 0))
		if rec := c.records(m.seq); rec != nil {
			j.add(rec)
		}
		mustFlush(t, j)
		if err := j.compact(); err != nil { // keeps them apart as well
			t.Fatal(err)
		}
		n := &Node{start: time.Now()}
		for _, p := range openTest(t, dir, 3).live {
			r := n.resumed(p)
			if r.Failed != c.failed || r.Touched != c.touched || r.Attempts != 1 || (r.Touched && r.MayRun > n.now()) {
				t.Errorf("%s: got %+v", c.name, r)
			}
		}
	}
}

func TestOverdueAndPastTheWindowEndAtOnce(t *testing.T) {
	t.Parallel()
	p, r, state := newPartner(t, says(delivered)), newRegistry(t), t.TempDir()
	j := openTest(t, state, 3)
	late, err := j.accept(&past{id: "late", class: 0, dest: 7, deadline: time.Now().Add(-time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	forgotten, err := j.accept(&past{id: "forgotten", key: "k", class: 1, dest: 7, deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	j.add(attemptRecord(late.seq, time.Now().Add(-time.Minute), 0))
	j.add(attemptRecord(forgotten.seq, time.Now().Add(-2*time.Minute), 0)) // its key is remembered for one
	mustFlush(t, j)
	startNode(t, r, state, serving("e", p.addr(), 7, "SERVING"))
	eventually(t, "the overdue one's end", func() bool { return r.state("late") == "returned" })
	eventually(t, "the forgotten key's end", func() bool { return r.state("forgotten") == "failed" })
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// After SIGTERM clients are answered as ever, the process ends well by itself, and the next one has what was held.
func TestSIGTERM(t *testing.T) {
	t.Parallel()
	p, r, state := newPartner(t, says(delivered)), newRegistry(t), t.TempDir()
	c := startChild(t, r, state, held())
	nc, br := dialTest(t, c.addr)
	if err := c.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{enqueue("a", ofStatus, ""), enqueue("b", ofPayout, "")} { // on an old connection
		if _, err := io.WriteString(nc, m); err != nil {
			t.Fatal(err)
		}
		if line, err := br.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
	}
	mustAnswer(t, c.addr, enqueue("c", ofOrder, ""), "+OK") // and on a new one
	if err := c.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	startChild(t, r, state, serving("e", p.addr(), 7, "SERVING"))
	seen := map[string]bool{}
	for range 3 {
		seen[p.next(t).Header.Get("X-Trace-Id")] = true
	}
	if len(seen) != 3 {
		t.Errorf("got %v", seen)
	}
}

// bareNode is a node of which the test itself is the loop.
func bareNode(t *testing.T, known ...string) *Node {
	t.Helper()
	cfg, err := LoadConfig(writeConfig(t, "127.0.0.1:0", "127.0.0.1:9", known...), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.step(t.Context(), n.replayed(), nil)
	return n
}

func handIn(id string, life time.Duration) arrival {
	return arrival{request{id: id, class: 0, dest: 7, life: life, came: time.Now()}, make(chan answer, 1)}
}

// An id handed in twice at once must not be taken on for the one and refused for the other, nor before it is written.
func TestOneIDTwiceInABatchHasOneFate(t *testing.T) {
	for name, c := range map[string]struct {
		life time.Duration
		down bool
		want answer
	}{
		"taken on":            {50 * time.Second, false, answer{}},
		"refused":             {0, false, answer{refused: true, after: 3 * time.Second}}, // by the module, out of time
		"the journal is down": {50 * time.Second, true, answer{refused: true, after: 3 * time.Second}},
	} {
		n := bareNode(t, held())
		if c.down {
			n.journal.f.Close()
		}
		all := []arrival{handIn("a", c.life), handIn("a", c.life), handIn("a", c.life)}
		n.take(t.Context(), []any{all[0], all[1], all[2]})
		for _, a := range all {
			select {
			case got := <-a.reply:
				if got != c.want {
					t.Errorf("%s: got %+v", name, got)
				}
			default:
				t.Errorf("%s: no answer", name)
			}
		}
		if taken := len(n.messages) == 1; taken != (c.want == answer{}) || n.held != len(n.messages) {
			t.Errorf("%s: %d messages, %d held", name, len(n.messages), n.held)
		}
	}
}

// An id may come again while a call under it is still out. The two must not be taken for one another.
func TestAnIDUsedAgainWhileItsCallIsOut(t *testing.T) {
	p := newPartner(t, silent)
	n := bareNode(t, serving("e", p.addr(), 7, "SERVING"))
	n.take(t.Context(), []any{handIn("a", 50*time.Second)})
	p.next(t)
	n.step(t.Context(), []choice.Event{choice.Dropped{ID: n.messages["a"].name()}}, nil)
	n.forget(n.messages["a"])
	n.take(t.Context(), []any{handIn("a", 50*time.Second)})
	p.next(t)
	if len(n.out) != 2 {
		t.Fatalf("%d calls out", len(n.out))
	}
	for _, c := range n.out {
		c.cancel()
	}
	for range 2 {
		n.take(t.Context(), []any{<-n.events})
	}
	if n.messages["a"] == nil || n.held != 1 {
		t.Error("the first one's call has ended the second message")
	}
	for a, c := range n.out { // a second attempt of the second message, by then
		if a.seq != n.messages["a"].seq {
			t.Errorf("a call of message %d is out", a.seq)
		}
		c.cancel()
	}
	n.calls.Wait()
}

// A call that the leaving node cuts off, and a refusal over a limit, must not make the next life hold its destination
// for one that comes back cold.
func TestLeavingIsNoOutage(t *testing.T) {
	for name, c := range map[string]struct {
		serve           func(net.Conn, *http.Request) bool
		failed, touched bool
	}{
		"cut off":      {silent, false, true},
		"over a limit": {says("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"), false, false},
		"error":        {says("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), true, true},
	} {
		p := newPartner(t, c.serve)
		n := bareNode(t, serving("e", p.addr(), 7, "SERVING"))
		n.take(t.Context(), []any{handIn("a", 50*time.Second)})
		p.next(t)
		n.take(t.Context(), []any{choice.Leaving{By: 1}})
		for _, out := range n.out {
			if name == "cut off" {
				out.cancel()
			}
		}
		n.take(t.Context(), []any{<-n.events})
		if r := n.resumed(n.messages["a"]); r.Failed != c.failed || r.Touched != c.touched || r.Attempts != 1 {
			t.Errorf("%s: got %+v", name, r)
		}
		n.pool.close()
		n.calls.Wait()
	}
}

// -BUSY tells when to come back, also where the module is not asked.
func TestTurnedAwayWithATime(t *testing.T) {
	n := bareNode(t, held())
	for i := range 8 {
		a := handIn(itoa(i), 50*time.Second)
		n.take(t.Context(), []any{a})
		if got := <-a.reply; got.refused && got.after <= 0 {
			t.Errorf("got %+v", got)
		} else if i == 7 && !got.refused {
			t.Errorf("there is room for %d", i)
		}
	}
}

// Endpoints, destinations and ids come and go; what the node keeps of them must not grow.
func TestNodeForgetsWhatHasGone(t *testing.T) {
	p := newPartner(t, says(delivered))
	n := bareNode(t, held())
	for i := range 2000 {
		members := []member{{ID: "e" + itoa(i), Addr: p.addr(), Cell: i, Phase: "SERVING"}, {ID: "e" + itoa(i-1), Cell: i - 1, Phase: "DELETED"}}
		a := handIn("m"+itoa(i), 50*time.Second)
		a.dest = i
		n.take(t.Context(), []any{list{Revision: int64(i), Members: members}})
		n.take(t.Context(), []any{a})
		for len(n.out) > 0 {
			n.take(t.Context(), []any{<-n.events})
			p.next(t)
		}
	}
	for what, size := range map[string]int{
		"endpoints": len(n.eps), "messages": len(n.messages), "live": len(n.journal.live), "held": n.held, "kept": keptBy(n.pool),
	} {
		if size > 2 {
			t.Errorf("%s: %d", what, size)
		}
	}
	n.start = n.start.Add(-time.Hour) // all windows pass
	for range 2 {
		n.take(t.Context(), []any{list{Complete: true, Members: []member{{ID: "last", Addr: p.addr(), Cell: 1e6, Phase: "SERVING"}}}})
	}
	if len(n.waits) > 2 || n.sender.Knows(3) {
		t.Errorf("%d waits", len(n.waits))
	}
	n.pool.close()
	n.calls.Wait()
}
