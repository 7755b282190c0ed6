package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"starlingusher/internal/jsonlines"
	"starlingusher/lab/days"
	"starlingusher/lab/load"
	"starlingusher/lab/sockets"
)

type labLoad struct {
	Addr   string        `arg:"" help:"Where the node takes messages, as 127.0.0.1:6379."`
	Rate   float64       `default:"100" help:"Messages a second."`
	To     float64       `help:"A ramp: the rate at the end."`
	Step   []float64     `help:"Steps: rates that follow the first, each for as long."`
	Clump  int           `help:"Messages come by chance, so many within half a second."`
	For    time.Duration `default:"10s" help:"How long, or how long each step."`
	Class  string        `required:"" help:"The class of the messages, as the node's settings name it."`
	Tenant string        `help:"Their tenant."`
	Keys   bool          `help:"Give each an idempotency key."`
	Dests  []int         `required:"" help:"Their destinations, in turn."`
	Life   time.Duration `default:"10s" help:"How long each may still be delivered."`
	Size   int           `default:"200" help:"Bytes of a body."`
	Conns  int           `default:"4" help:"Connections."`
	Seed   uint64        `default:"1" help:"Of clumps."`
	JSON   bool          `name:"json" help:"Print JSON."`
}

// Run hands messages in, and tells how the node answered.
func (c labLoad) Run() error {
	var s load.Schedule
	stages := []load.Stage{{From: c.Rate, To: c.Rate, For: c.For}}
	switch {
	case c.To > 0:
		stages[0].To = c.To
	case len(c.Step) > 0:
		for _, r := range c.Step {
			stages = append(stages, load.Stage{From: r, To: r, For: c.For})
		}
	}
	if err := load.Check(stages); err != nil {
		return err
	}
	if s = load.Stages(stages...); c.Clump > 0 {
		s = load.Clumps(c.Rate, c.Clump, 500*time.Millisecond, c.For, c.Seed)
	}
	node, err := load.Dial(c.Addr, c.Conns)
	if err != nil {
		return err
	}
	defer node.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	body := []byte(strings.Repeat("x", max(c.Size, 0)))
	name := fmt.Sprintf("%x-", time.Now().UnixNano())
	r, err := load.Run(ctx, s, node, func(i int) load.Message {
		m := load.Message{ID: fmt.Sprint(name, i), Class: c.Class, Tenant: c.Tenant, Dest: c.Dests[i%len(c.Dests)], Life: c.Life, Body: body}
		if c.Keys {
			m.Key = m.ID
		}
		return m
	}, nil)
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return c.tell(r)
}

func (c labLoad) tell(r *load.Report) error {
	row := map[string]any{"sent": r.Sent, "taken": r.Taken, "refused": r.Refused, "failed": r.Failed}
	quantiles := []float64{50, 90, 99, 99.9, 100}
	for _, q := range quantiles {
		row[fmt.Sprintf("answered_us_p%g", q)] = r.Answered.ValueAtQuantile(q)
		row[fmt.Sprintf("late_us_p%g", q)] = r.Late.ValueAtQuantile(q)
	}
	if c.JSON {
		return jsonlines.Write(os.Stdout, []any{row})
	}
	fmt.Printf("%d sent: %d taken on, %d refused, %d failed\n", r.Sent, r.Taken, r.Refused, r.Failed)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "percentile\t")
	for _, q := range quantiles {
		fmt.Fprintf(t, "%g\t", q)
	}
	fmt.Fprint(t, "\nfrom when it was due to the answer\t")
	for _, q := range quantiles {
		fmt.Fprintf(t, "%v\t", time.Duration(r.Answered.ValueAtQuantile(q))*time.Microsecond)
	}
	fmt.Fprint(t, "\nsent after it was due\t")
	for _, q := range quantiles {
		fmt.Fprintf(t, "%v\t", time.Duration(r.Late.ValueAtQuantile(q))*time.Microsecond)
	}
	fmt.Fprintln(t)
	return t.Flush()
}

type labSockets struct {
	Day     string            `arg:"" help:"A day of the program's own by name, or a file."`
	Seed    uint64            `default:"1" help:"The seed that is drawn."`
	Set     map[string]string `help:"Change a value of the file by its path." mapsep:"none" sep:"none"`
	Program string            `help:"The daemon; by default the one beside this program."`
	JSON    bool              `name:"json" help:"Print JSON, a line a class."`
}

// Run plays a day by daemons over sockets, and by the emulator, and prints both.
func (c labSockets) Run() (err error) {
	spec, err := days.Load(c.Day)
	if err != nil {
		return err
	}
	if spec, err = changed(spec, c.Set); err != nil {
		return err
	}
	program := c.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "coralyard")
	}
	folder, err := os.MkdirTemp("", "coralyard-sockets-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	day := spec.Draw(c.Seed)
	real, err := sockets.Play(ctx, day, sockets.Options{Seed: c.Seed, Program: program, Folder: folder})
	if err != nil {
		return err
	}
	emulated := day.Play(spec.Options(c.Seed))
	if c.JSON {
		return jsonlines.Write(os.Stdout, []any{map[string]any{"sockets": real.Classes, "worth": real.Worth}, map[string]any{"emulated": emulated.Classes, "worth": emulated.Worth}})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tmessages\tdelivered\tin time\treturned\tfailed\t")
	for i, r := range real.Classes {
		e := emulated.Classes[i]
		fmt.Fprintf(t, "%d, sockets\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", i, r.Messages, r.Delivered, r.InTime, r.Returned, r.Failed)
		fmt.Fprintf(t, "%d, emulated\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", i, e.Messages, e.Delivered, e.InTime, e.Returned, e.Failed)
	}
	fmt.Fprintf(t, "worth\t\t%.3f\t%.3f\t\t\t\n", real.Worth, emulated.Worth)
	return t.Flush()
}
