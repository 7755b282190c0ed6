// Package sockets plays a day of the laboratory with real daemons: a process for each node, the day's partners as stand-ins over
// HTTP, its clients over RESP2, in real time on loopback addresses. What comes of it stands beside what the emulator makes of the
// same day, so that the emulator is believed as far as it is checked.
package sockets

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/standin"
	"starlingusher/lab/load"
	"starlingusher/lab/model"
)

// Outcome is what came of a day.
type Outcome struct {
	Classes []model.ClassEnds
	Worth   float64 // delivered, of what was asked for, by the first hand-in and the answer of the partner
	Calls   int
	Refused int // calls over a limit or at a full queue
	Load    *load.Report
}

// Options are how a day is played.
type Options struct {
	Seed    uint64
	Program string // the daemon
	Folder  string // for the nodes' files; it exists
}

// Errors of a day.
var errNode = errors.New("a node has ended")

// play is a day that is being played.
type play struct {
	day    *model.Day
	began  time.Time
	ends   *load.Ends
	mu     sync.Mutex // of all below
	shops  *model.Shops
	bodies map[string]*body // by id on the wire
	calls  int
	over   int
}

// body is a client's message.
type body struct {
	number uint64
	class  int
	born   time.Duration
	tries  int
	end    string
	got    time.Duration // when a partner's answer was written; 0 if none was
	node   int
	dest   int
}

// Play plays a day; it takes the day's length and the longest life of a message. Troubles of nodes, discovery and the list are
// not played: a day that has them is an error.
func Play(ctx context.Context, day *model.Day, o Options) (_ *Outcome, err error) {
	for _, t := range day.Troubles {
		if t.Ill.OfNodes() || t.Ill == model.Stale || t.Ill == model.Replace {
			return nil, fmt.Errorf("trouble %s is not played over sockets", t.Ill)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &play{day: day, ends: load.NewEnds(), shops: day.Shops(o.Seed), bodies: map[string]*body{}}
	d, err := standin.NewDiscovery()
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var nodes []*load.RESP
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel(nil)
	p.began = time.Now()
	for i := range day.Nodes {
		members, close, err := p.partners(i)
		defer close()
		if err != nil {
			return nil, err
		}
		n, err := p.node(ctx, o, i, d.Addr(), members, &all, cancel)
		if err != nil {
			return nil, err
		}
		defer n.Close()
		nodes = append(nodes, n)
	}
	p.mu.Lock()
	p.began = time.Now() // all are ready
	p.mu.Unlock()
	report, err := p.clients(ctx, o, nodes, d)
	if err != nil {
		return nil, err
	}
	return p.outcome(report), nil
}

func (p *play) now() time.Duration { return time.Since(p.began) }

// partners starts the day's endpoints as one node sees them, so that it is known who calls.
func (p *play) partners(node int) (members []standin.Member, close func(), err error) {
	var open []*standin.HTTP
	close = func() {
		for _, h := range open {
			h.Close()
		}
	}
	for _, e := range p.shops.Endpoints() {
		h, err := standin.NewRawHTTP(p.serve(node, e.Endpoint))
		if err != nil {
			return nil, close, err
		}
		open = append(open, h)
		members = append(members, standin.Member{ID: e.Endpoint, Addr: h.Addr(), Zone: "a", Kind: "k" + strconv.Itoa(e.Kind), Dest: e.Dest, Phase: "SERVING", Size: e.Weight})
	}
	return members, close, nil
}

// serve answers calls to an endpoint as the model says.
func (p *play) serve(node int, endpoint string) func(net.Conn, *http.Request) bool {
	var seen sync.Map // connections that were used before
	return func(nc net.Conn, req *http.Request) bool {
		_, kept := seen.Swap(nc, true)
		ids, several, err := idsOf(req)
		if err != nil {
			fmt.Fprint(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		p.mu.Lock()
		now := p.now()
		if p.shops.Down(now, endpoint) {
			p.mu.Unlock()
			return false
		}
		var asked []model.Asked
		for _, id := range ids {
			b := p.bodies[id]
			if b == nil {
				p.mu.Unlock()
				fmt.Fprint(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			asked = append(asked, model.Asked{Number: b.number, Tries: b.tries, ID: id, Class: b.class})
		}
		end, after, _ := p.shops.Call(now, node, endpoint, kept, asked)
		p.calls++
		if end.Outcome == choice.NoRoom {
			p.over++
		}
		p.mu.Unlock()
		if after < 0 { // until its caller gives up
			nc.Read(make([]byte, 1))
			return false
		}
		time.Sleep(after)
		text := answer(end, ids, several)
		if text == "" {
			return false
		}
		if end.Outcome == choice.Pass {
			p.mu.Lock()
			for _, id := range ids {
				p.bodies[id].got = p.now()
				p.ends.Delivered(id)
			}
			p.mu.Unlock()
		}
		_, err = nc.Write([]byte(text))
		return err == nil
	}
}

// idsOf are the messages of a call.
func idsOf(req *http.Request) (ids []string, several bool, err error) {
	if !strings.HasSuffix(req.URL.Path, ":batch") {
		return []string{req.Header.Get("X-Trace-Id")}, false, nil
	}
	var all []struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(req.Body).Decode(&all); err != nil {
		return nil, true, err
	}
	for _, one := range all {
		ids = append(ids, one.ID)
	}
	return ids, true, nil
}

// answer is an end on the wire; "" for a connection that breaks.
func answer(end choice.Ended, ids []string, several bool) string {
	var b strings.Builder
	body := ""
	switch end.Outcome {
	case choice.Pass:
		b.WriteString("HTTP/1.1 200 OK\r\n")
		if several {
			var all []map[string]string
			for _, id := range ids {
				all = append(all, map[string]string{"id": id, "state": "accepted"})
			}
			text, err := json.Marshal(all)
			if err != nil { // strings alone
				return ""
			}
			body = string(text)
		}
	case choice.Fault:
		b.WriteString("HTTP/1.1 500 Internal Server Error\r\n")
	case choice.NoRoom:
		if end.Wait > 0 {
			fmt.Fprintf(&b, "HTTP/1.1 429 Too Many Requests\r\nRetry-After: %.3f\r\n", end.Wait.Seconds())
		} else {
			b.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
		}
	default:
		return ""
	}
	if end.Report.HasLimit {
		fmt.Fprintf(&b, "Endpoint-Load-Metrics: x0=%.4f,x1=%.4f\r\n", end.Report.Left, end.Report.Limit)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// node starts a daemon and connects to it.
func (p *play) node(ctx context.Context, o Options, i int, discovery string, members []standin.Member, all *sync.WaitGroup, end context.CancelCauseFunc) (*load.RESP, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listen := ln.Addr().String()
	ln.Close()
	text, err := standin.NodeConfig(listen, discovery, standin.Limits{Cores: 1, MemoryMB: 256, Sockets: 1024, DiskMB: 64}, settings(p.day, i), members)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(o.Folder, "node"+strconv.Itoa(i))
	if err := os.MkdirAll(filepath.Join(folder, "state"), 0o700); err != nil {
		return nil, err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	c := exec.CommandContext(ctx, o.Program)
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_STATE="+filepath.Join(folder, "state"), "ROUTER_DISCOVERY="+discovery)
	var words bytes.Buffer
	c.Stderr = &words
	if err := c.Start(); err != nil {
		return nil, err
	}
	all.Go(func() {
		if err := c.Wait(); ctx.Err() == nil {
			end(fmt.Errorf("%w: node %d: %v: %s", errNode, i, err, words.String()))
		}
	})
	return connect(ctx, listen)
}

// connect waits until a node takes connections.
func connect(ctx context.Context, addr string) (*load.RESP, error) {
	const conns = 4
	late := time.NewTimer(10 * time.Second)
	defer late.Stop()
	for {
		n, err := load.Dial(addr, conns)
		if err == nil {
			return n, nil
		}
		again := time.NewTimer(10 * time.Millisecond)
		select {
		case <-again.C:
		case <-late.C:
			again.Stop()
			return nil, fmt.Errorf("the node takes no connections: %w", err)
		case <-ctx.Done():
			again.Stop()
			return nil, context.Cause(ctx)
		}
	}
}

// settings are a node's in the platform's form.
func settings(day *model.Day, i int) string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	r := &day.Rules
	effects := map[choice.Effect]string{choice.Safe: "idempotent", choice.Keyed: "deduplicated", choice.Unsafe: "at_most_once"}
	var classes, tenants []map[string]any
	for k, c := range day.Classes {
		one := map[string]any{"name": "c" + strconv.Itoa(k), "effect": effects[c.Effect], "aim": ms(c.Aim), "deadline": ms(c.Deadline), "worth": c.Worth,
			"lateWorth": c.LateWorth}
		if c.Effect == choice.Keyed {
			one["window"], one["group"] = ms(c.Window), "all"
		}
		classes = append(classes, one)
	}
	for k, t := range day.Tenants {
		tenants = append(tenants, map[string]any{"name": "t" + strconv.Itoa(k), "allowancePerS": t.PerSecond})
	}
	var batch []int
	var apart []bool
	var kinds []string
	for k, one := range day.Kinds {
		batch, apart, kinds = append(batch, max(one.Batch, 1)), append(apart, false), append(kinds, "k"+strconv.Itoa(k))
	}
	decay, weights := "line", "nominal"
	if r.Halves {
		decay = "halves"
	}
	if r.RoughWeights {
		weights = "rough"
	}
	text, err := json.Marshal(map[string]any{
		"fleetSize": len(day.Nodes), "categories": classes, "customers": tenants, "discovery": "pushed",
		"domain":         map[string]any{"decay": decay, "kindBatch": batch, "separateRoutes": apart, "workers": day.Nodes[i].Slots},
		"failureDomains": []string{"a"}, "flavors": kinds, "overShareWorth": r.OverShareWorth, "tick": ms(r.Tick), "weights": weights,
		"contract": map[string]any{"coldFrom": r.ColdFrom, "fall": ms(r.Fall), "fallMultiple": r.FallMultiple, "graceToAnswer": 20,
			"stopSendingWithin": ms(r.DrainGrace), "warmWithin": ms(r.WarmWithin)},
		"limits": map[string]any{"cancel": r.MayCancel, "connIdle": ms(r.ConnIdle), "dialTimeout": 1000, "maxAttempts": r.MaxAttempts,
			"maxOpen": day.Nodes[i].MaxOpen, "maxRetryAfter": ms(r.MaxRetryAfter), "retryAfter": true},
	})
	if err != nil {
		return "{}" // numbers and strings alone
	}
	return string(text)
}

// clients hand the day's messages in, come again as the day says, and wait for all ends.
func (p *play) clients(ctx context.Context, o Options, nodes []*load.RESP, d *standin.Discovery) (*load.Report, error) {
	arrivals, numbers := p.day.Arrivals(o.Seed)
	again := make(chan load.Message, 1024)
	front := &spread{p: p, nodes: nodes}
	due := func(yield func(time.Duration) bool) {
		for _, g := range arrivals {
			if !yield(g.At) {
				return
			}
		}
	}
	told, stop := context.WithCancel(ctx)
	defer stop()
	var beside sync.WaitGroup
	defer beside.Wait()
	defer stop()
	retry := func(m load.Message, after time.Duration) { p.retry(told, m, after, again) }
	beside.Go(func() { p.notices(told, d, retry) })
	beside.Go(func() {
		for {
			select {
			case m := <-again:
				front.Hand(m, func(a load.Answer) { p.answered(m, a, retry) })
			case <-told.Done():
				return
			}
		}
	})
	report, err := load.Run(ctx, due, front, func(i int) load.Message {
		g := arrivals[i]
		return p.message(&body{number: numbers[i], class: g.Class, born: g.At, node: g.Node, dest: g.Partner})
	}, func(m load.Message, a load.Answer) { p.answered(m, a, retry) })
	if err != nil {
		return nil, err
	}
	longest := time.Duration(0)
	for _, c := range p.day.Classes {
		longest = max(longest, c.Deadline)
	}
	rest := time.NewTimer(p.day.Length + longest + 2*time.Second - p.now())
	defer rest.Stop()
	select {
	case <-rest.C:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	return report, p.ends.Check()
}

// message is a body as it is handed in now, under an id of its own.
func (p *play) message(b *body) load.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.day.Classes[b.class]
	m := load.Message{ID: fmt.Sprintf("%016x%02x", b.number, b.tries), Class: "c" + strconv.Itoa(b.class), Dest: b.dest,
		Life: b.born + c.Deadline - p.now(), Body: []byte("a message"), Again: b.tries > 0}
	if c.Effect == choice.Keyed {
		m.Key = fmt.Sprintf("%016x", b.number)
	}
	if len(p.day.Tenants) > 0 {
		m.Tenant = "t" + strconv.Itoa(p.day.Partners[b.dest].Tenant)
	}
	p.bodies[m.ID] = b
	return m
}

// answered takes a node's answer.
func (p *play) answered(m load.Message, a load.Answer, retry func(load.Message, time.Duration)) {
	switch {
	case a.Err != nil:
		p.end(m.ID, "failed")
	case a.Taken:
		p.ends.Taken(m.ID)
	default:
		p.end(m.ID, "returned")
		retry(m, a.After)
	}
}

func (p *play) end(id, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.bodies[id]; b != nil {
		b.end = state
	}
}

// retry has a client come again with a message that was turned away, as the day's clients do.
func (p *play) retry(ctx context.Context, m load.Message, after time.Duration, again chan<- load.Message) {
	p.mu.Lock()
	b, c := p.bodies[m.ID], &p.day.Clients
	if b.tries >= c.Retries {
		p.mu.Unlock()
		return
	}
	b.tries++
	wait := max(after, c.Least) + time.Duration(float64(b.number*2654435761%1000)/1000*float64(c.Spread))
	p.mu.Unlock()
	time.AfterFunc(wait, func() {
		if ctx.Err() != nil || p.now() >= b.born+p.day.Classes[b.class].Deadline {
			return
		}
		select {
		case again <- p.message(b):
		case <-ctx.Done():
		}
	})
}

// notices takes the ends that nodes tell.
func (p *play) notices(ctx context.Context, d *standin.Discovery, retry func(load.Message, time.Duration)) {
	seen := 0
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		all := d.Notices()
		for _, n := range all[seen:] {
			p.ends.Told(n.ID, n.State)
			p.end(n.ID, n.State)
			if n.State == "returned" {
				retry(load.Message{ID: n.ID}, time.Duration(n.AfterMS)*time.Millisecond)
			}
		}
		seen = len(all)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// spread hands each message to the node of its client.
type spread struct {
	p     *play
	mu    sync.Mutex // of nodes
	nodes []*load.RESP
}

func (s *spread) Hand(m load.Message, done func(load.Answer)) {
	s.p.mu.Lock()
	n := s.nodes[s.p.bodies[m.ID].node]
	s.p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	n.Hand(m, done)
}

func (s *spread) Close() (err error) {
	for _, n := range s.nodes {
		err = errors.Join(err, n.Close())
	}
	return err
}

// outcome counts the ends.
func (p *play) outcome(r *load.Report) *Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := &Outcome{Calls: p.calls, Refused: p.over, Load: r, Classes: make([]model.ClassEnds, len(p.day.Classes))}
	seen := map[*body]bool{}
	asked, got := 0.0, 0.0
	for _, b := range p.bodies {
		if seen[b] {
			continue
		}
		seen[b] = true
		c, e := &p.day.Classes[b.class], &o.Classes[b.class]
		e.Messages++
		asked += c.Worth
		switch age := b.got - b.born; {
		case b.got > 0 && age <= c.Deadline:
			e.Delivered++
			if age <= c.Aim {
				e.InTime++
			}
			got += c.Worth * p.day.Value(b.class, age)
		case b.end == "failed":
			e.Failed++
		default:
			e.Returned++
		}
	}
	for i := range o.Classes {
		e := &o.Classes[i]
		for _, x := range []*float64{&e.Delivered, &e.InTime, &e.Returned, &e.Failed} {
			*x /= max(float64(e.Messages), 1)
		}
	}
	o.Worth = got / max(asked, 1e-9)
	return o
}
