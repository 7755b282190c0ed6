// Package gateway is the AS2 side of a node: the operators' file, the ledger, the carrier to partners and the server for
// what they post, in one.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"starlingusher/as2"
	"starlingusher/as2/carrier"
	"starlingusher/as2/ledger"
	"starlingusher/as2/server"
	"starlingusher/as2/setup"
	"starlingusher/delivery"
)

const (
	ledgerName = "as2.db"
	frontName  = "as2-in" // the engine's, of what partners post
	keepFor    = 90 * 24 * time.Hour
	leaveTime  = 2 * time.Second

	// A partner's connection may hold a document of 1 MiB, in several forms while that is opened.
	memoryPerConnection = 8 // MB of the node's
	leastConnections    = 4
	mostConnections     = 64
)

// Options are a gateway's.
type Options struct {
	File        string // the operators' file
	State       string // the node's state folder, where the ledger stands
	Classes     []string
	DialTimeout time.Duration
	Log         *slog.Logger // nil for none
	MemoryMB    int64        // the node's limit, of which partners' connections may take a part; 0 for none
	// Late is told of a message that a receipt proves to be delivered when nobody waits for it any more. It may be nil.
	Late func(delivery.Ref)
}

// Gateway is one file's partners at work.
type Gateway struct {
	o       Options
	file    *setup.File
	ledger  *ledger.Ledger
	carrier *carrier.Carrier
	ln      net.Listener // nil for none
}

// Open reads the file, opens the ledger and listens, if the file says where. Run has to be called next, or Close.
func Open(o Options) (*Gateway, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	file, err := setup.Load(o.File, setup.Options{Now: time.Now(), Classes: o.Classes})
	if err != nil {
		return nil, err
	}
	for _, w := range file.Warnings {
		o.Log.Warn("as2", "warning", w)
	}
	g := &Gateway{o: o, file: file}
	if g.ledger, err = ledger.Open(filepath.Join(o.State, ledgerName)); err != nil {
		return nil, err
	}
	if file.Listen != "" {
		if g.ln, err = net.Listen("tcp", file.Listen); err != nil {
			return nil, errors.Join(fmt.Errorf("as2: %w", err), g.ledger.Close())
		}
		g.ln = netutil.LimitListener(g.ln, connections(o.MemoryMB))
	}
	g.carrier = carrier.New(carrier.Options{
		Self: file.Self, Key: file.Key, Links: Links(file), Ledger: g.ledger, DialTimeout: o.DialTimeout,
		Limits: as2.DefaultLimits(), Log: o.Log, Late: o.Late,
	})
	return g, nil
}

// connections is how many partners may have open at a time.
func connections(memoryMB int64) int {
	if memoryMB <= 0 {
		return mostConnections
	}
	return int(min(max(memoryMB/memoryPerConnection, leastConnections), mostConnections))
}

// Links are those of a file's partners that messages are sent to.
func Links(file *setup.File) map[int]carrier.Link {
	all := map[int]carrier.Link{}
	for _, p := range file.Partners {
		if p.Destination >= 0 {
			all[p.Destination] = carrier.Link{Partner: p.Partner, Path: p.Path, TLS: p.TLS, ContentType: p.ContentType,
				Subject: p.Subject, Receipt: p.Receipt, BusyIsProof: p.BusyIsProof}
		}
	}
	return all
}

// Addr is where partners post; nil if nowhere.
func (g *Gateway) Addr() net.Addr {
	if g.ln == nil {
		return nil
	}
	return g.ln.Addr()
}

// Carriers are those of the destinations that are called over AS2.
func (g *Gateway) Carriers() map[int]delivery.Carrier {
	all := map[int]delivery.Carrier{}
	for dest := range Links(g.file) {
		all[dest] = g.carrier
	}
	return all
}

// Front is the engine's front of what partners post, if they can: messages go on by the carrier that is given. A partner has its receipt long
// before the end of its message and hands it in only once, so that the platform is to be told of what was not delivered: the front has no
// sink yet.
func (g *Gateway) Front(onward delivery.Carrier) []delivery.Front {
	if g.ln == nil {
		return nil
	}
	return []delivery.Front{{Name: frontName, Carrier: onward, NoRetry: true}}
}

// Run serves partners until ctx ends.
func (g *Gateway) Run(ctx context.Context, e *delivery.Engine) {
	if gone, err := g.ledger.Forget(time.Now().Add(-keepFor)); err != nil {
		g.o.Log.Error("old AS2 messages can't be dropped", "err", err)
	} else if gone > 0 {
		g.o.Log.Info("old AS2 messages dropped", "count", gone)
	}
	if g.ln == nil {
		return
	}
	o := server.Options{Self: g.file.Self, Key: g.file.Key, Decrypt: g.file.Keys, Ledger: g.ledger, Engine: e, Front: frontName,
		TakeReceipt: g.carrier.TakeReceipt, Limits: as2.DefaultLimits(), Log: g.o.Log}
	for _, p := range g.file.Partners {
		o.Links = append(o.Links, server.Link{Partner: p.Partner, Class: slices.Index(g.o.Classes, p.Class), Dest: p.ToDestination,
			Life: p.Life, ReceiptURL: p.ReceiptURL})
	}
	s := server.New(o)
	srv := s.HTTP()
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { s.Run(ctx) })
	parts.Go(func() {
		<-ctx.Done()
		leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
		defer cancel()
		if srv.Shutdown(leave) != nil {
			srv.Close()
		}
	})
	if err := srv.Serve(g.ln); !errors.Is(err, http.ErrServerClosed) {
		g.o.Log.Error("as2: partners are not served", "err", err)
	}
}

// Close gives the ledger and the listener back, once nothing uses them any more.
func (g *Gateway) Close() error {
	if g.ln != nil {
		g.ln.Close() // Run may have closed it
	}
	return g.ledger.Close()
}
