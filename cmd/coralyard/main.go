// Command coralyard is one delivery node on real sockets. Its environment tells it what it is.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"starlingusher/internal/node"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		log.Error("coralyard ends", "err", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // one that comes while a reload is under way asks for another
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if mb := float64(cfg.Limits.MemoryMB); mb > 0 {
		// About half of the limit: sockets' buffers, stacks and the journal's two files count against it as well.
		debug.SetMemoryLimit(int64(max((mb-cfg.Limits.DiskMB)/2, mb/4) * (1 << 20)))
	}
	n, err := node.New(cfg, log.With("node", cfg.Name))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	done := make(chan struct{})
	var reloads sync.WaitGroup
	reloads.Go(func() { reload(log, hup, done, n) })
	defer reloads.Wait()
	defer close(done)
	return n.Run(ctx, ln)
}

// reload reads the configuration again at each SIGHUP, and moves the node to what it names as discovery. What
// can't be read changes nothing.
func reload(log *slog.Logger, hup <-chan os.Signal, done <-chan struct{}, n *node.Node) {
	for {
		select {
		case <-done:
			return
		case <-hup:
		}
		cfg, err := node.LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
		if err != nil {
			log.Error("the old configuration stays", "err", err)
			continue
		}
		n.Move(cfg.Discovery)
	}
}
