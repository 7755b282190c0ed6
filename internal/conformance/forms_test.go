package conformance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	testpb "google.golang.org/grpc/interop/grpc_testing"
	grpcstatus "google.golang.org/grpc/status"

	"starlingusher/as2/gateway"
	"starlingusher/daemon"
	"starlingusher/delivery"
	"starlingusher/grpcdelivery"
	"starlingusher/internal/standin"
	"starlingusher/internal/standin/grpcpartner"
)

const patience = 60 * time.Second // for what must happen; nothing is asserted of how fast

// partner is what both kinds of stand-in offer.
type partner interface {
	Addr() string
	Do(standin.Script)
	Refuse()
	Close()
}

// form is one way of using the engine. Its methods fail the test by themselves.
type form interface {
	name() string
	partner(t *testing.T, ledger *standin.Ledger) partner
	// start begins a life on the state folder with these endpoints.
	start(t *testing.T, state string, members []standin.Member)
	// submit hands a message in and returns once it is taken on or turned away.
	submit(t *testing.T, m message)
	// kill ends the life by SIGKILL.
	kill(t *testing.T)
	// hold keeps ends from being acknowledged, and owed waits until one is owed.
	hold()
	owed(t *testing.T, id string)
	// end is the final answer of a message, "" while there is none.
	end(t *testing.T, id string) string
}

type message struct {
	id    string
	class int
	key   string
	dest  int
	life  time.Duration
}

var classes = []string{"status", "order", "payout"}

const settings = `{"fleetSize":1,"categories":[
	{"name":"status","effect":"idempotent","group":"all","aim":4000,"deadline":30000,"worth":1,"lateWorth":0.3},
	{"name":"order","effect":"deduplicated","group":"all","aim":4000,"deadline":30000,"worth":3,"lateWorth":0.3,"window":30000},
	{"name":"payout","effect":"at_most_once","group":"all","aim":4000,"deadline":30000,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":1000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":8},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":40,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

func writeConfig(t *testing.T, discovery string, members []standin.Member) string {
	t.Helper()
	text, err := standin.NodeConfig("127.0.0.1:0", discovery,
		standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3}, settings, members)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestMain is a node in one of the forms when a test starts this binary as a child.
func TestMain(m *testing.M) {
	var err error
	switch os.Getenv("CORALYARD_TEST_FORM") {
	case "":
		os.Exit(m.Run())
	case "daemon":
		err = daemonMain()
	case "plug-in":
		err = pluginMain()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// child is a life in a process of its own.
type child struct {
	cmd *exec.Cmd
	in  io.Writer
	out *bufio.Reader
}

func startChild(t *testing.T, form, state, config string, more ...string) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_FORM="+form, "ROUTER_STATE="+state, "ROUTER_CONFIG="+config)
	cmd.Env = append(cmd.Env, more...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	c := &child{cmd, in, bufio.NewReader(out)}
	t.Cleanup(c.kill)
	return c
}

func (c *child) kill() {
	c.cmd.Process.Kill() // it may have ended
	c.cmd.Wait()
}

func (c *child) line(t *testing.T) string {
	t.Helper()
	text, err := c.out.ReadString('\n')
	if err != nil {
		t.Fatalf("the child has ended: %v", err)
	}
	return strings.TrimSpace(text)
}

// daemonForm is the node over RESP2 and HTTP.
type daemonForm struct {
	child     *child
	addr      string
	discovery *standin.Discovery
	ledger    *standin.Ledger
	early     map[string]string // answered on arrival
	env       []string          // of the child, beside its own
}

func (*daemonForm) name() string { return "daemon" }

func (d *daemonForm) partner(t *testing.T, ledger *standin.Ledger) partner {
	t.Helper()
	d.ledger = ledger
	p, err := standin.NewHTTP(nil, ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func daemonMain() error {
	cfg, err := daemon.Load(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	log, x := slog.New(slog.DiscardHandler), daemon.Extras{}
	if file := os.Getenv("CORALYARD_TEST_AS2"); file != "" {
		g, err := gateway.Open(gateway.Options{File: file, State: cfg.State, Classes: cfg.Names.Classes, DialTimeout: cfg.Settings.DialTimeout, Log: log})
		if err != nil {
			return err
		}
		x.Carriers = g.Carriers()
	}
	d, err := daemon.OpenWith(cfg, log, x)
	if err != nil {
		return err
	}
	fmt.Println(d.Addr())
	return d.Run(context.Background())
}

func (d *daemonForm) start(t *testing.T, state string, members []standin.Member) {
	t.Helper()
	if d.discovery == nil {
		var err error
		if d.discovery, err = standin.NewDiscovery(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.discovery.Close)
		d.early = map[string]string{}
	}
	d.discovery.RefusePosts(0)
	d.child = startChild(t, "daemon", state, writeConfig(t, d.discovery.Addr(), members), d.env...)
	d.addr = d.child.line(t)
}

func (d *daemonForm) submit(t *testing.T, m message) {
	t.Helper()
	nc, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", classes[m.class], m.life.Milliseconds(), m.dest)
	if m.key != "" {
		fields += ",k=" + m.key
	}
	if _, err := io.WriteString(nc, standin.Command("ENQUEUE", "0", m.id, fields, "body")); err != nil {
		t.Fatal(err)
	}
	answer, err := bufio.NewReader(nc).ReadString('\n')
	switch {
	case err != nil:
		t.Fatal(err)
	case strings.HasPrefix(answer, "-BUSY"):
		d.early[m.id] = "returned"
	case answer != "+OK\r\n":
		d.early[m.id] = "invalid"
	}
}

func (d *daemonForm) kill(t *testing.T) { d.child.kill() }

func (d *daemonForm) hold() { d.discovery.RefusePosts(1 << 30) }

func (d *daemonForm) owed(t *testing.T, id string) {
	t.Helper()
	await(t, "a notice that is refused", func() bool { return d.discovery.Refused() > 0 })
}

// end is what was answered on arrival or by a notice. A delivery has no notice; it is seen where it took place.
func (d *daemonForm) end(t *testing.T, id string) string {
	if e := d.early[id]; e != "" {
		return e
	}
	if s := d.discovery.State(id); s != "" {
		return s
	}
	if d.ledger.Answered()[id] > 0 {
		return "delivered"
	}
	return ""
}

// pluginForm is a wallet that calls over gRPC.
type pluginForm struct {
	child *child
	early map[string]string
}

func (*pluginForm) name() string { return "plug-in" }

func (p *pluginForm) partner(t *testing.T, ledger *standin.Ledger) partner {
	t.Helper()
	s, err := grpcpartner.New(nil, ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// pluginMain obeys its standard input: "call ID CLASS KEY DEST MS", answered "taken" or by the end if that comes first,
// and "end ID". It acknowledges nothing, so that each end can be asked for in each life.
func pluginMain() error {
	cfg, err := daemon.Load(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	c, err := grpcdelivery.Open(cfg.Engine(), "wallet", grpcdelivery.Options{Unlisted: grpcdelivery.Method{Class: 2},
		Methods: map[string]grpcdelivery.Method{"/grpc.testing.TestService/UnaryCall": {}}},
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	fmt.Println("ready")
	stub := testpb.NewTestServiceClient(c)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		f := strings.Split(lines.Text(), " ")
		if f[0] == "end" {
			switch e, err := c.End(context.Background(), f[1]); err {
			case nil:
				fmt.Println(e.State)
			default:
				fmt.Println("none:", err)
			}
			continue
		}
		var n [3]int
		for i, at := range []int{2, 4, 5} {
			if n[i], err = strconv.Atoi(f[at]); err != nil {
				return err
			}
		}
		done := make(chan error, 1)
		go func() {
			opts := []grpc.CallOption{grpcdelivery.MessageID(f[1]), grpcdelivery.Class(n[0]), grpcdelivery.Destination(n[1]),
				grpcdelivery.Timeout(time.Duration(n[2]) * time.Millisecond)}
			if f[3] != "" {
				opts = append(opts, grpcdelivery.Key(f[3]))
			}
			_, err := stub.UnaryCall(context.Background(), &testpb.SimpleRequest{}, opts...)
			done <- err
		}()
		for said := false; !said; {
			select {
			case err := <-done:
				fmt.Println(outcome(err))
				said = true
			default:
				if _, err := c.End(context.Background(), f[1]); err == nil || err == delivery.ErrPending {
					fmt.Println("taken")
					said = true
				}
			}
		}
	}
	return lines.Err()
}

// outcome is an end in the words of the daemon.
func outcome(err error) string {
	switch reason := grpcdelivery.Reason(err); {
	case err == nil:
		return "delivered"
	case reason == grpcdelivery.ReasonRefused:
		return "returned"
	case reason == grpcdelivery.ReasonMayHaveRun:
		return "failed"
	case grpcstatus.Code(err) == codes.InvalidArgument:
		return "invalid"
	}
	return err.Error()
}

func (p *pluginForm) start(t *testing.T, state string, members []standin.Member) {
	t.Helper()
	if p.early == nil {
		p.early = map[string]string{}
	}
	p.child = startChild(t, "plug-in", state, writeConfig(t, "127.0.0.1:9", members))
	if got := p.child.line(t); got != "ready" {
		t.Fatalf("got %q", got)
	}
}

func (p *pluginForm) submit(t *testing.T, m message) {
	t.Helper()
	fmt.Fprintf(p.child.in, "call %s %d %s %d %d\n", m.id, m.class, m.key, m.dest, m.life.Milliseconds())
	if got := p.child.line(t); got != "taken" {
		p.early[m.id] = got
	}
}

func (p *pluginForm) kill(t *testing.T) { p.child.kill() }

func (p *pluginForm) hold() {} // nothing acknowledges in this form

func (p *pluginForm) owed(t *testing.T, id string) {
	t.Helper()
	await(t, "an end", func() bool { return p.ask(t, id) != "" })
}

func (p *pluginForm) ask(t *testing.T, id string) string {
	t.Helper()
	fmt.Fprintf(p.child.in, "end %s\n", id)
	if got := p.child.line(t); !strings.HasPrefix(got, "none:") {
		return got
	}
	return ""
}

func (p *pluginForm) end(t *testing.T, id string) string {
	t.Helper()
	if e := p.ask(t, id); e != "" {
		return e
	}
	return p.early[id]
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}
