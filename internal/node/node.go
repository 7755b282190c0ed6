package node

import (
	"context"
	"log/slog"
	"net"
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

// New loads the journal. Further fronts share the node's engine, and with it each partner's rate, waits and slots. A
// keeper, if there is one, takes what ends undelivered.
func New(cfg Config, log *slog.Logger, keeper delivery.Keeper, further ...delivery.Front) (*Node, error) {
	n := &Node{cfg: cfg, log: log, agent: newAgent(cfg.Discovery, cfg.Known.Revision, cfg.Names, log)}
	own := delivery.Front{
		Name: Front, Sink: n.agent, Leave: func() { n.clients.close() },
		Carrier: newPool(cfg.Settings.DialTimeout, cfg.Settings.ConnIdle, max(cfg.Limits.Sockets/4, 8)),
	}
	var err error
	engine := cfg.Engine()
	engine.Members, engine.LeaveAfter, engine.Log, engine.Keeper = n.agent, leaveAfter, log, keeper
	n.engine, err = delivery.Open(engine, append(further, own)...)
	if err != nil {
		return nil, err
	}
	return n, nil
}

// Engine is the node's engine, for those who hand in by a further front.
func (n *Node) Engine() *delivery.Engine { return n.engine }

// Run serves clients on ln until ctx ends; then it finishes or leaves to the journal what it holds.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	n.log.Info("serving", "sockets", n.cfg.Limits.Sockets, "memory_mb", n.cfg.Limits.MemoryMB, "disk_mb", n.cfg.Limits.DiskMB,
		"cores", n.cfg.Limits.Cores, "slots", n.cfg.Settings.Slots, "max_open", n.cfg.Settings.MaxOpen)
	n.clients = newClients(ln, n.cfg.Limits.Sockets/2, n.cfg.Names.Classes, func(m delivery.Message) delivery.Answer {
		return n.engine.Hand(Front, m)
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
