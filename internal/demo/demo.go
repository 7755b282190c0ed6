// Package demo shows a delivery node at work: a node, an embedded discovery and three stand-in partners in one
// process, of which one fails and comes back.
package demo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"starlingusher/daemon"
	"starlingusher/internal/standin"
)

const settings = `{"fleetSize":1,"categories":[
	{"name":"table-status","effect":"idempotent","aim":2000,"deadline":6000,"worth":1,"lateWorth":0.3},
	{"name":"coin-order","effect":"deduplicated","group":"all","aim":2000,"deadline":6000,"worth":3,"lateWorth":0.3,"window":12000},
	{"name":"prize-payout","effect":"at_most_once","aim":2000,"deadline":6000,"worth":4,"lateWorth":0.3}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":2000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":16},
	"failureDomains":["a"],"flavors":["plain"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":200,"maxRetryAfter":3000,"retryAfter":true},
	"tick":5,"weights":"rough"}`

var classes = []string{"table-status", "coin-order", "prize-payout"}

const (
	life     = 6 * time.Second
	tries    = 4 // of a client that is refused, the first among them
	pace     = 12 * time.Millisecond
	patience = 3 * life
)

// Row is what became of the messages of one class.
type Row struct {
	Class                            string
	Sent, Delivered, Refused, Failed int
	Runs                             int // calls that ran at the partners
	Twice                            int // effects beyond one
}

// Run plays the demo with that many messages in the folder, which must exist, and writes to out as it goes. It returns
// a row a class.
func Run(ctx context.Context, out io.Writer, folder string, messages int) ([]Row, error) {
	d, err := standin.NewDiscovery()
	if err != nil {
		return nil, err
	}
	defer d.Close()
	ledger := standin.NewLedger()
	var partners []*standin.HTTP
	var members []standin.Member
	for i, name := range []string{"cafe", "payments", "bank"} {
		// A little slow, and one call in forty of the bank's breaks after it has run.
		n, mu := 0, sync.Mutex{}
		p, err := standin.NewHTTP(func(standin.Call) standin.Step {
			mu.Lock()
			defer mu.Unlock()
			if n++; name == "bank" && n%40 == 0 {
				return standin.Step{Fault: standin.Reset}
			}
			return standin.Step{Delay: 20 * time.Millisecond}
		}, ledger)
		if err != nil {
			return nil, err
		}
		defer p.Close()
		partners = append(partners, p)
		members = append(members, standin.Member{
			ID: name, Addr: p.Addr(), Zone: "a", Kind: "plain", Dest: i + 1, Phase: "SERVING", Size: 200,
		})
	}
	n, err := start(folder, d.Addr(), members)
	if err != nil {
		return nil, err
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	ran := make(chan error, 1)
	go func() { ran <- n.Run(serving) }()

	fmt.Fprintf(out, "One node, three partners, %d messages. Partner payments goes down after a third of them and is back after two thirds.\n", messages)
	p := &play{ledger: ledger, discovery: d, addr: n.Addr().String(), early: map[string]string{}}
	if err := p.send(ctx, out, messages, partners[1]); err != nil {
		return nil, err
	}
	rows, err := p.await(ctx, out, messages)
	if err != nil {
		return nil, err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tdelivered\trefused\tfailed\tcalls that ran\teffects beyond one\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Class, r.Sent, r.Delivered, r.Refused, r.Failed, r.Runs, r.Twice)
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	fmt.Fprintln(out, "refused: not done, the client was told when to come again. failed: it may have been done, and is not sent again.")
	fmt.Fprintln(out, "table-status may take effect more than once; nothing else does.")
	stop()
	return rows, <-ran
}

func start(folder, discovery string, members []standin.Member) (*daemon.Daemon, error) {
	text, err := standin.NodeConfig("127.0.0.1:0", discovery,
		standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3}, settings, members)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	state := filepath.Join(folder, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		return nil, err
	}
	cfg, err := daemon.Load(path, state)
	if err != nil {
		return nil, err
	}
	return daemon.Open(cfg, slog.New(slog.DiscardHandler))
}

// play is a run of the demo.
type play struct {
	ledger    *standin.Ledger
	discovery *standin.Discovery
	addr      string

	mu    sync.Mutex
	early map[string]string // refused for the last time, or failed on arrival
}

func id(i int) string { return "m" + strconv.Itoa(i) }

// send hands the messages in at a steady pace, with the partner down in the middle third.
func (p *play) send(ctx context.Context, out io.Writer, messages int, fails *standin.HTTP) error {
	tick := time.NewTicker(pace)
	defer tick.Stop()
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range messages {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		switch i {
		case messages / 3:
			fails.Refuse()
			fmt.Fprintf(out, "%4d sent   payments refuses connections\n", i)
		case 2 * messages / 3:
			if err := fails.Accept(); err != nil {
				return err
			}
			fmt.Fprintf(out, "%4d sent   payments is back, cold\n", i)
		default:
			if i > 0 && i%100 == 0 {
				fmt.Fprintf(out, "%4d sent   %d ended\n", i, p.ended(i))
			}
		}
		clients.Go(func() { p.client(ctx, i) })
	}
	return nil
}

// client hands one message in, and again when it is told to. Its id stays: the node has nothing of what it refused.
func (p *play) client(ctx context.Context, i int) {
	for range tries {
		wait, err := p.handIn(i)
		switch {
		case err != nil:
			p.note(i, "failed")
			return
		case wait == 0:
			return
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
	p.note(i, "returned")
}

func (p *play) note(i int, end string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.early[id(i)] = end
}

// handIn returns 0 if the message is taken on, and the time to come again if it is refused.
func (p *play) handIn(i int) (time.Duration, error) {
	nc, err := net.Dial("tcp", p.addr)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", classes[i%len(classes)], life.Milliseconds(), i/len(classes)%3+1)
	if i%len(classes) == 1 {
		fields += ",k=order" + strconv.Itoa(i)
	}
	if _, err := io.WriteString(nc, standin.Command("ENQUEUE", "0", id(i), fields, "a message")); err != nil {
		return 0, err
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil {
		return 0, err
	}
	answer := strings.Fields(line)
	switch {
	case answer[0] == "+OK":
		return 0, nil
	case answer[0] == "-BUSY" && len(answer) == 2:
		ms, err := strconv.Atoi(answer[1])
		return max(time.Duration(ms), 1) * time.Millisecond, err
	case answer[0] == "-BUSY":
		return 500 * time.Millisecond, nil
	}
	return 0, errors.New(line)
}

// end is the final answer of a message, "" while there is none.
func (p *play) end(i int, notices map[string]string, answered map[string]int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m := id(i); {
	case answered[m] > 0:
		return "delivered"
	case notices[m] != "":
		return notices[m]
	default:
		return p.early[m]
	}
}

func (p *play) known() (notices map[string]string, answered map[string]int) {
	notices = map[string]string{}
	for _, n := range p.discovery.Notices() {
		notices[n.ID] = n.State
	}
	return notices, p.ledger.Answered()
}

func (p *play) ended(messages int) int {
	notices, answered := p.known()
	ended := 0
	for i := range messages {
		if p.end(i, notices, answered) != "" {
			ended++
		}
	}
	return ended
}

// await waits until every message has its end, and counts them.
func (p *play) await(ctx context.Context, out io.Writer, messages int) ([]Row, error) {
	late := time.NewTimer(patience)
	defer late.Stop()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for p.ended(messages) < messages {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-late.C:
			return nil, fmt.Errorf("demo: %d of %d messages have their end after %v", p.ended(messages), messages, patience)
		}
	}
	fmt.Fprintf(out, "%4d sent   all ended\n\n", messages)
	notices, answered := p.known()
	runs, effects := p.ledger.Runs(), p.ledger.Effects(time.Hour)
	rows := make([]Row, len(classes))
	for i := range messages {
		r := &rows[i%len(classes)]
		r.Class = classes[i%len(classes)]
		r.Sent++
		r.Runs += runs[id(i)]
		name := id(i)
		if i%len(classes) == 1 {
			name = "order" + strconv.Itoa(i)
		}
		r.Twice += max(effects[name]-1, 0)
		switch p.end(i, notices, answered) {
		case "delivered":
			r.Delivered++
		case "failed":
			r.Failed++
		default:
			r.Refused++
		}
	}
	return rows, nil
}
