// Command coralyard is one delivery node on real sockets, told by its environment what it is. With a sub-command it is
// the operators' tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"starlingusher/daemon"
	"starlingusher/internal/demo"
	"starlingusher/internal/ratelog"
	"starlingusher/undelivered/recovery"
	"starlingusher/undelivered/rules"
)

// tool is the command line. Without arguments the program is the node, and none of this is looked at.
type tool struct {
	Demo        demoCommand        `cmd:"" help:"Run a node with three stand-in partners in a temporary folder, and show what becomes of some messages."`
	AS2         as2Command         `cmd:"" name:"as2" help:"Check the file of AS2 partners, and try a partner out."`
	Undelivered undeliveredCommand `cmd:"" help:"Look at undelivered messages, decide on them and send them again."`
	Recording   recordingCommand   `cmd:"" help:"Tell from a recording why messages waited, were refused or came late."`
	Peers       peersCommand       `cmd:"" help:"Show what a running node knows of the fleet that it talks with: members, links, rights, judgements."`
	Lease       leaseCommand       `cmd:"" help:"Show leases of the fleet, end one, or run a command while one is held."`
	Copies      copiesCommand      `cmd:"" help:"Show where a node's journal stands, and have a node leave for good."`
	Lab         labCommand         `cmd:"" passthrough:"" help:"The laboratory: play days of fleets, compare, search. Try: coralyard lab --help."`
}

type demoCommand struct {
	Messages int `default:"300" help:"How many messages to send."`
}

// Run plays the demo. Its folder is removed afterwards.
func (d demoCommand) Run() error {
	if d.Messages < 3 || d.Messages > 100_000 {
		return fmt.Errorf("--messages: %d is not between 3 and 100000", d.Messages)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	folder, err := os.MkdirTemp("", "coralyard-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	_, err = demo.Run(ctx, os.Stdout, folder, d.Messages)
	return err
}

// logLinesPerSecond bounds the node's log lines of one message.
const logLinesPerSecond = 50

const (
	logQueueBytes = 256 << 10              // lines that wait for the log's reader
	logPatience   = 200 * time.Millisecond // with it, when the node ends
)

func main() {
	if len(os.Args) > 1 {
		k := kong.Parse(&tool{}, kong.Name("coralyard"), kong.Description(
			"A delivery node for messages to partner systems. Without arguments it is the node, as its environment tells it."))
		if err := k.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "coralyard:", err)
			os.Exit(exitCode(err))
		}
		return
	}
	signal.Ignore(syscall.SIGPIPE) // a reader of the log that goes is no reason to end
	lines := ratelog.NewQueue(os.Stderr, logQueueBytes)
	log := slog.New(ratelog.New(slog.NewTextHandler(lines, nil), logLinesPerSecond))
	status := 0
	if err := run(log, lines); err != nil {
		log.Error("coralyard ends", "err", err)
		status = 1
	}
	lines.Close(logPatience)
	os.Exit(status)
}

func run(log *slog.Logger, lines *ratelog.Queue) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // one that comes while a reload is under way asks for another
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := daemon.Load(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	if mb := float64(cfg.Limits.MemoryMB); mb > 0 {
		// About half of the limit: sockets' buffers, stacks and the journal's two files count against it as well.
		debug.SetMemoryLimit(int64(max((mb-cfg.Limits.DiskMB)/2, mb/4) * (1 << 20)))
	}
	log = log.With("node", cfg.Name)
	again, err := openRecovery(cfg, log)
	if err != nil {
		return err
	}
	var x daemon.Extras
	if again != nil {
		x.Keeper = again
		defer again.Close()
	}
	partners, err := openAS2(cfg, log, again)
	if err != nil {
		return err
	}
	if partners != nil {
		defer partners.Close()
		x.Carriers = partners.Carriers()
		x.Further = partners.Front(daemon.NewCarrier(cfg, x.Carriers, log))
	}
	tape, err := openRecording(cfg, log)
	if err != nil {
		return err
	}
	if tape != nil {
		defer tape.Close()
		x.Recorder = tape
	}
	talk, err := openPeers(cfg, log)
	if err != nil {
		return err
	}
	if talk != nil {
		defer talk.Close()
		x.Shared = talk
		if d := talk.Discovery(); d != nil {
			x.Relay = d
		}
	}
	life, end := context.WithCancel(ctx)
	var beside sync.WaitGroup
	defer beside.Wait() // before what they use is closed
	defer end()
	if talk != nil {
		// What is still sent once the node has been told to leave goes by its rights as well.
		talking, hush := context.WithCancel(context.WithoutCancel(ctx))
		defer hush()
		beside.Go(func() { talk.Run(talking) })
		if c := talk.Copies(); c != nil {
			x.Copies = c
			if err := c.Prepare(ctx); err != nil {
				return err
			}
		}
	}
	d, err := daemon.OpenWith(cfg, log, x)
	if err != nil {
		return err
	}
	if x.Copies != nil {
		if err := talk.Copies().Serve(d.Engine()); err != nil {
			return errors.Join(err, d.Close())
		}
	}
	if again != nil {
		if err := again.Start(d.Engine()); err != nil {
			return errors.Join(err, d.Close())
		}
		beside.Go(func() { again.Run(life) })
	}
	if partners != nil {
		beside.Go(func() { partners.Run(life, d.Engine()) })
	}
	done := make(chan struct{})
	var reloads sync.WaitGroup
	reloads.Go(func() { reload(log, hup, done, d, again) })
	defer reloads.Wait()
	defer close(done)
	if x.Copies == nil {
		return d.Run(ctx)
	}
	// A journal that is past is not gone on with: the next start puts it aside.
	running, ended := context.WithCancel(ctx)
	defer ended()
	beside.Go(func() {
		select {
		case err := <-talk.Copies().Fatal():
			log.Error("coralyard ends at once", "err", err)
			lines.Close(logPatience)
			os.Exit(exitPast) // what it would still send is not its own any more
		case <-running.Done():
		}
	})
	return d.Run(running)
}

// exitPast is the status of a node whose journal others have gone on with.
const exitPast = 9

// openRecovery opens what keeps undelivered messages, if the operators have named a file for it. A store that can't be
// had stops no delivery; a file of rules that can't be taken stops the start, as the configuration does.
func openRecovery(cfg daemon.Config, log *slog.Logger) (*recovery.Service, error) {
	file := os.Getenv(undeliveredVariable)
	if file == "" {
		return nil, nil
	}
	s, err := recovery.Open(recovery.Options{
		Folder: cfg.State, Rules: file, Settings: cfg.Settings, Names: cfg.Names.Classes, Log: log,
	})
	var inFile *rules.FileError
	switch {
	case errors.As(err, &inFile), errors.Is(err, os.ErrNotExist):
		return nil, err
	case err != nil:
		log.Error("undelivered messages are not kept", "err", err)
		return nil, nil
	}
	return s, nil
}

// reload reads the configuration again at each SIGHUP, and moves the node to what it names as discovery; it has the
// rules for undelivered messages read again as well. What can't be read changes nothing.
func reload(log *slog.Logger, hup <-chan os.Signal, done <-chan struct{}, d *daemon.Daemon, again *recovery.Service) {
	for {
		select {
		case <-done:
			return
		case <-hup:
		}
		if again != nil {
			if err := again.Reload(); err != nil {
				log.Error("the old rules for undelivered messages stay", "err", err)
			} else {
				log.Info("rules for undelivered messages read again")
			}
		}
		cfg, err := daemon.Load(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
		if err != nil {
			log.Error("the old configuration stays", "err", err)
			continue
		}
		d.Move(cfg.Discovery)
	}
}
