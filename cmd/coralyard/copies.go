package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"starlingusher/peers"
	"starlingusher/peers/link"
)

type copiesCommand struct {
	Show  copiesShowCommand  `cmd:"" default:"withargs" help:"Show on which further nodes a node's journal stands, and what it holds for others."`
	Drain copiesDrainCommand `cmd:"" help:"Have a node leave for good: it takes on nothing new, ends what it owes, and others hold what it held. Then it may be switched off with its disk."`
}

type copiesShowCommand struct {
	nodeFlags `embed:""`
	JSON      bool `name:"json" help:"Print JSON."`
}

type copiesDrainCommand struct {
	nodeFlags `embed:""`
	Within    time.Duration `default:"2m" help:"For how long to wait for it. The node goes on leaving all the same."`
}

const drainPoll = 500 * time.Millisecond

// Run asks until the node is done, and tells how far it is.
func (c *copiesDrainCommand) Run() error {
	o, err := c.dial()
	if err != nil {
		return err
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	return waitDrained(ctx, drainPoll, o.Drain, func(line string) { fmt.Println(line) })
}

// waitDrained asks until the node is done, and says how far it is whenever that changes. A node that can't tell for a moment, since the voters of leases
// do not answer, is asked again.
func waitDrained(ctx context.Context, poll time.Duration, ask func(context.Context) (link.Drained, error), say func(line string)) error {
	last := ""
	for {
		d, err := ask(ctx)
		line := fmt.Sprintf("%d messages open; held for %d others: %s", d.Open, len(d.Holds), strings.Join(d.Holds, ", "))
		switch {
		case status.Code(err) == codes.Unavailable:
			line = "it can't be told how far the node is: " + err.Error()
		case err != nil && ctx.Err() == nil:
			return err
		case d.Done:
			say("done: nothing is owed, and nobody counts on what this node holds; it may be switched off")
			return nil
		}
		if line != last && ctx.Err() == nil {
			say(line)
			last = line
		}
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return fmt.Errorf("not done in time: %s: %w", last, ctx.Err())
		}
	}
}

var errNoCopies = errors.New("this node has no copies: its file of peers has no part on them")

// Run shows where a node's journal stands, and what the node holds for others.
func (c *copiesShowCommand) Run() error { return c.look(c.print) }

func (c *copiesShowCommand) print(_ context.Context, st peers.Status) error {
	if st.Copies == nil {
		return errNoCopies
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(st.Copies)
	}
	return printCopies(os.Stdout, st)
}

func printCopies(w io.Writer, st peers.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "journal\tepoch\tlease left\tmark\theld by\tbehind\tnew messages")
	for _, l := range st.Copies.Own {
		name, takes := l.Stream, "refused"
		if l.Inherited {
			name += " (inherited)"
		}
		switch {
		case l.Alone:
			takes = "taken on ALONE"
		case l.Holds:
			takes = "taken on"
		}
		var behind []string
		for _, h := range sortedNames(l.Behind) {
			if l.Behind[h] < 0 {
				behind = append(behind, h+" unknown")
			} else {
				behind = append(behind, fmt.Sprintf("%s %d bytes", h, l.Behind[h]))
			}
		}
		fmt.Fprintf(t, "%s\t%d\t%.1fs\t%d\t%s\t%s\t%s\n", name, l.Epoch, l.Left, l.Mark, orNobody(l.Holders), strings.Join(behind, ", "), takes)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "held for others\tepoch\tmark\tbytes\towner heard")
	for _, l := range st.Copies.Held {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1fs ago\n", l.Stream, l.Epoch, l.Mark, l.Bytes, l.Heard)
	}
	return t.Flush()
}

func sortedNames(m map[string]int64) []string {
	var all []string
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
