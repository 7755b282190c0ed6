package node

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"starlingusher/delivery"
)

// After SIGTERM clients go on coming for 0.4 s, and SIGKILL comes after 3.7 s. The module is told at once when the
// node will leave, and sends what can end before that. All the while messages are taken on: the journal has them for
// the next start.
const leaveAfter = 3200 * time.Millisecond

// Front is the name of the daemon's own front: the journal does not name it.
const Front = ""

// Node is the daemon's side of an engine: clients in front of it, discovery and partners behind it.
type Node struct {
	cfg     Config
	log     *slog.Logger
	agent   *agent
	engine  *delivery.Engine
	clients *clients
}

// Extras are what a node may have beside its own.
type Extras struct {
	Keeper delivery.Keeper // takes what ends undelivered; nil for none
	// Carriers are those of the destinations that are not called over HTTP.
	Carriers map[int]delivery.Carrier
	Recorder delivery.Recorder // is told what the decisions are told; nil for none
	Shared   delivery.Shared   // where nodes that talk tell each other what they see; nil for none
	Copies   delivery.Copies   // holds the journal on further nodes; nil for on none
	Relay    Relay             // where one node's watch of discovery serves others; nil where each watches for itself
	// Further fronts share the node's engine, and with it each partner's rate, waits and slots. The ends of those without a sink whose messages are
	// handed in only once are told to the platform.
	Further []delivery.Front
}

// NewCarrier makes a carrier for a node's messages: HTTP calls, but to the destinations that have a carrier of their own.
func NewCarrier(cfg Config, carriers map[int]delivery.Carrier, log *slog.Logger) delivery.Carrier {
	calls := newPool(cfg.Settings.DialTimeout, cfg.Settings.ConnIdle, max(cfg.Limits.Sockets/4, 8), log)
	if len(carriers) == 0 {
		return calls
	}
	return byDest{calls, carriers}
}

// byDest has some destinations called by carriers of their own. Those may serve several.
type byDest struct {
	*pool
	carriers map[int]delivery.Carrier
}

// Batches tells that only HTTP calls hold several messages.
func (b byDest) Batches(dest int) bool { return b.carriers[dest] == nil }

func (b byDest) Attempt(ctx context.Context, a delivery.Attempt) delivery.Result {
	if c := b.carriers[a.Dest]; c != nil {
		return c.Attempt(ctx, a)
	}
	return b.pool.Attempt(ctx, a)
}

func (b byDest) HangUp(endpoint string, keep int) {
	b.pool.HangUp(endpoint, keep)
	for _, c := range b.carriers {
		c.HangUp(endpoint, keep)
	}
}

// New loads the journal.
func New(cfg Config, log *slog.Logger, x Extras) (*Node, error) {
	n := &Node{cfg: cfg, log: log, agent: newAgent(cfg.Discovery, cfg.Known, cfg.Settings.Fleet, cfg.Names, log)}
	n.agent.relay = x.Relay
	n.agent.noticePlaces = min(cfg.Limits.Sockets/noticeShare, mostNoticePlaces)
	own := delivery.Front{
		Name: Front, Sink: n.agent, NewIDs: true, Leave: func() { n.clients.close() },
		Carrier: NewCarrier(cfg, x.Carriers, log),
	}
	var err error
	engine := cfg.Engine()
	engine.Members, engine.LeaveAfter, engine.Log = n.agent, leaveAfter, log
	engine.Keeper, engine.Recorder, engine.Shared, engine.Copies = x.Keeper, x.Recorder, x.Shared, x.Copies
	n.engine, err = delivery.Open(engine, append(n.further(x.Further), own)...)
	if err != nil {
		return nil, err
	}
	return n, nil
}

// further are the fronts beside the node's own, with their sinks.
func (n *Node) further(fronts []delivery.Front) []delivery.Front {
	all := slices.Clone(fronts)
	for i := range all {
		if all[i].NoRetry && all[i].Sink == nil {
			all[i].Sink = n.agent
		}
	}
	return all
}

// Engine is the node's engine, for those who hand in by a further front.
func (n *Node) Engine() *delivery.Engine { return n.engine }

// Run serves clients on ln until ctx ends; then it finishes or leaves to the journal what it holds.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	n.log.Info("serving", "sockets", n.cfg.Limits.Sockets, "memory_mb", n.cfg.Limits.MemoryMB, "disk_mb", n.cfg.Limits.DiskMB,
		"cores", n.cfg.Limits.Cores, "slots", n.cfg.Settings.Slots, "max_open", n.cfg.Settings.MaxOpen)
	n.clients = newClients(ln, n.cfg.Limits.Sockets/2, newBodyMemory(n.cfg.Limits.MemoryMB), n.cfg.Names, n.log, func(m delivery.Message) func() delivery.Answer {
		return n.engine.Offer(Front, m).Answer
	})
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var serving sync.WaitGroup
	serving.Go(func() { n.clients.serve(life) })
	defer serving.Wait()
	return n.engine.Run(ctx)
}

// Move tells a running node that discovery is at another address now. It may be called at any time.
func (n *Node) Move(addr string) { n.agent.move(addr) }
