// Package daemon is the delivery node's daemon for programs that run it in their own process, beside other fronts on
// the same engine. Command coralyard is the daemon alone.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"

	"starlingusher/delivery"
	"starlingusher/internal/node"
)

// Config is the daemon's configuration. Its Settings, with the classes in their order, serve other fronts as well.
type Config = node.Config

// Load reads the configuration file of a daemon whose lasting folder is state.
func Load(path, state string) (Config, error) { return node.LoadConfig(path, state) }

// Daemon serves RESP2 clients.
type Daemon struct {
	node *node.Node
	ln   net.Listener
}

// Open opens the state folder and listens. Further fronts share the engine, and with it each partner's rate, waits,
// cold starts and slots. Run has to be called next, or Close.
func Open(cfg Config, log *slog.Logger, further ...delivery.Front) (*Daemon, error) {
	return OpenWith(cfg, log, Extras{Further: further})
}

// Extras are what a daemon may have beside its own.
type Extras = node.Extras

// NewCarrier makes a carrier like the daemon's own, for a further front whose messages go on to the same destinations.
func NewCarrier(cfg Config, carriers map[int]delivery.Carrier, log *slog.Logger) delivery.Carrier {
	return node.NewCarrier(cfg, carriers, log)
}

// OpenWith is Open with more than fronts.
func OpenWith(cfg Config, log *slog.Logger, x Extras) (*Daemon, error) {
	n, err := node.New(cfg, log, x)
	if err != nil {
		return nil, err
	}
	ln, err := node.Listen(cfg.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("clients: %w", err), n.Engine().Close())
	}
	return &Daemon{n, ln}, nil
}

// Addr is where clients connect.
func (d *Daemon) Addr() net.Addr { return d.ln.Addr() }

// Engine is the daemon's engine, for fronts that were given to Open.
func (d *Daemon) Engine() *delivery.Engine { return d.node.Engine() }

// Run serves until ctx ends, and for the 3.2 s that it takes to leave. It is called once.
func (d *Daemon) Run(ctx context.Context) error { return d.node.Run(ctx, d.ln) }

// Move tells a running daemon that discovery is at another address now. It may be called at any time.
func (d *Daemon) Move(discovery string) { d.node.Move(discovery) }

// Close gives back the folder and the listener of a daemon that was not run.
func (d *Daemon) Close() error { return errors.Join(d.ln.Close(), d.Engine().Close()) }
