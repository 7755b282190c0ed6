package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"starlingusher/internal/jsonlines"
	"starlingusher/record"
	"starlingusher/record/together"
)

type recordingFleet struct {
	Paths  []string      `arg:"" help:"Folders of recordings, of all nodes or as many as there are."`
	Dest   int           `help:"Only this destination." default:"-1"`
	Window time.Duration `help:"Width of the windows." default:"1s"`
	All    bool          `help:"Tell of every window, not only of those in which a limit was overrun or in debt, a connection table was full, or calls came in step."`
	JSON   bool          `name:"json" help:"Print JSON, a line for each window."`
}

// Run reads all lives under the paths and prints what their nodes did together.
func (c recordingFleet) Run() error {
	count, err := together.New(c.Window)
	if err != nil {
		return fmt.Errorf("--window: %w", err)
	}
	nodes := map[string]bool{}
	err = eachLife(c.Paths, func(l record.Life) error {
		nodes[l.Node] = true
		return countLife(count, l)
	})
	if err != nil {
		return err
	}
	var shown []together.Window
	total := map[string]int{}
	for _, w := range count.Windows() {
		if c.Dest >= 0 && w.Dest != c.Dest {
			continue
		}
		total["calls"] += w.Calls
		total["refused"] += w.Refused
		total["table"] += w.Table
		if c.All || marks(w, c.Window) != "" {
			shown = append(shown, w)
		}
	}
	if c.JSON {
		return jsonlines.Write(os.Stdout, shown)
	}
	fmt.Printf("%d nodes, %d calls, %d refused, %d at full connection tables\n", len(nodes), total["calls"], total["refused"], total["table"])
	return tellWindows(os.Stdout, shown, c.Window)
}

// eachLife hands on the lives under the paths, those of a folder oldest first. That there are none is an error.
func eachLife(paths []string, take func(record.Life) error) error {
	none := true
	for _, path := range paths {
		lives, err := record.Lives(path)
		if err != nil {
			return err
		}
		for _, l := range lives {
			none = false
			if err := take(l); err != nil {
				return err
			}
		}
	}
	if none {
		return fmt.Errorf("%s: no recording", strings.Join(paths, ", "))
	}
	return nil
}

// countLife reads a life. Damage is told, and what could be read counts.
func countLife(count *together.Count, l record.Life) error {
	var take func(record.Record) error
	err := l.Read(func(h record.Header) error {
		if take == nil {
			take = count.Life(h.Name, h.Zero)
		}
		return nil
	}, func(r record.Record) error { return take(r) })
	var damage *record.Damage
	if errors.As(err, &damage) {
		fmt.Fprintln(os.Stderr, "coralyard: read as far as it goes:", err)
		return nil
	}
	return err
}

// marks names what stands out in a window.
func marks(w together.Window, width time.Duration) string {
	var all []string
	for _, m := range []struct {
		is   bool
		name string
	}{{w.Over(width), "over"}, {w.Debt(width), "debt"}, {w.Table > 0, "table"}, {w.InStep(), "in step"}} {
		if m.is {
			all = append(all, m.name)
		}
	}
	return strings.Join(all, ", ")
}

func tellWindows(w io.Writer, all []together.Window, width time.Duration) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "at\tdest\tnodes\tcalls\tlimit\tpassed\trefused\twaits told\ttable\tunreached\tother\tbusiest tenth\t")
	for _, x := range all {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", time.Unix(0, x.At).UTC().Format("15:04:05.000"), x.Dest, x.Nodes,
			x.Calls, x.Limit*width.Seconds(), x.Passed, x.Refused, x.Told, x.Table, x.Unreached, x.Other, x.Busiest, marks(x, width))
	}
	return t.Flush()
}
