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
	cfg, err := node.LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if mb := float64(cfg.Limits.MemoryMB); mb > 0 {
		// Half of the limit: sockets' buffers, stacks and the journal's two files count against it as well.
		debug.SetMemoryLimit(int64((mb - cfg.Limits.DiskMB) / 2 * (1 << 20)))
	}
	n, err := node.New(cfg, log.With("node", cfg.Name))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return n.Run(ctx, ln)
}
