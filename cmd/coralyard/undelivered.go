package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"starlingusher/daemon"
	"starlingusher/undelivered"
	"starlingusher/undelivered/recovery"
	"starlingusher/undelivered/rules"
)

// undeliveredVariable names the operators' file of rules, to the node and to the command line.
const undeliveredVariable = "CORALYARD_UNDELIVERED"

// Exit codes of the command line beside 0.
const (
	exitFailed  = 1 // something else went wrong
	exitUnknown = 3 // there is no such entry
	exitMoved   = 4 // somebody, or a rule, was faster
)

func exitCode(err error) int {
	switch {
	case errors.Is(err, undelivered.ErrUnknown):
		return exitUnknown
	case errors.Is(err, undelivered.ErrMoved):
		return exitMoved
	}
	return exitFailed
}

type undeliveredCommand struct {
	State  string `env:"ROUTER_STATE" required:"" placeholder:"DIR" help:"The node's state folder."`
	Config string `env:"ROUTER_CONFIG" placeholder:"FILE" help:"The node's configuration; for a node that does not run."`
	Rules  string `env:"CORALYARD_UNDELIVERED" placeholder:"FILE" help:"The rules; for a node that does not run."`

	List    listCommand    `cmd:"" help:"List entries, oldest first. Bodies are never shown."`
	Show    showCommand    `cmd:"" help:"Show all that is known of an entry."`
	Resend  resendCommand  `cmd:"" help:"Have entries sent again, in your name."`
	Decide  decideCommand  `cmd:"" help:"Decide on entries: resend, applied (the partner has done it) or abandon."`
	Stats   statsCommand   `cmd:"" help:"Count entries by class and state."`
	Export  exportCommand  `cmd:"" help:"Write entries as lines of JSON, for another program."`
	History historyCommand `cmd:"" help:"Show who has decided what."`
}

// access reaches the messages of a running node over its socket, or of a stopped one in its folder.
func (u *undeliveredCommand) access() (recovery.Access, error) {
	client, err := recovery.Dial(u.State)
	if err == nil {
		return client, nil
	}
	if !errors.Is(err, recovery.ErrNotServing) {
		return nil, err
	}
	if _, err := os.Stat(u.State); err != nil {
		return nil, err
	}
	o := recovery.Options{Folder: u.State}
	if u.Config != "" {
		cfg, err := daemon.Load(u.Config, u.State)
		if err != nil {
			return nil, err
		}
		o.Settings, o.Names, o.Rules = cfg.Settings, cfg.Names.Classes, u.Rules
	}
	desk, err := recovery.OpenFolder(o)
	if errors.Is(err, undelivered.ErrInUse) {
		return nil, fmt.Errorf("%w, and no node answers on its socket", err)
	}
	if err != nil {
		return nil, err
	}
	return desk, nil
}

type filterFlags struct {
	Class       []string      `help:"Of these classes." placeholder:"NAME"`
	Destination []int         `help:"To these destinations." placeholder:"N"`
	Reason      []string      `help:"Ended for these reasons." placeholder:"REASON"`
	Status      []string      `help:"In these states: waiting, out, delivered, applied, abandoned." placeholder:"STATE"`
	Waits       string        `help:"Waiting for a person or for a rule." enum:"person,rule," default:""`
	Older       time.Duration `help:"Ended longer ago than this." placeholder:"AGE"`
	Newer       time.Duration `help:"Ended less long ago than this." placeholder:"AGE"`
}

func (f *filterFlags) filter(now time.Time) recovery.Filter {
	r := recovery.Filter{Classes: f.Class, Dests: f.Destination, Waits: f.Waits}
	for _, s := range f.Reason {
		r.Reasons = append(r.Reasons, rules.Reason(s))
	}
	for _, s := range f.Status {
		r.States = append(r.States, undelivered.State(s))
	}
	if f.Older > 0 {
		r.To = now.Add(-f.Older)
	}
	if f.Newer > 0 {
		r.From = now.Add(-f.Newer)
	}
	return r
}

// with does something with the access, and closes it.
func (u *undeliveredCommand) with(do func(context.Context, recovery.Access) error) error {
	a, err := u.access()
	if err != nil {
		return err
	}
	return errors.Join(do(context.Background(), a), a.Close())
}

type listCommand struct {
	filterFlags
	Limit int    `help:"At most so many; 0 for all." default:"0"`
	After uint64 `help:"Only entries after this number." placeholder:"N"`
	JSON  bool   `help:"One JSON object a line."`
}

// Run lists.
func (c *listCommand) Run(u *undeliveredCommand) error {
	f := c.filter(time.Now())
	f.Limit, f.After = c.Limit, c.After
	return u.with(func(ctx context.Context, a recovery.Access) error {
		out := bufio.NewWriter(os.Stdout)
		defer out.Flush()
		if c.JSON {
			return a.List(ctx, f, func(r recovery.Row) error { return json.NewEncoder(out).Encode(r) })
		}
		fmt.Fprintln(out, tableHead)
		n := 0
		err := a.List(ctx, f, func(r recovery.Row) error {
			n++
			_, err := fmt.Fprintln(out, tableRow(&r))
			return err
		})
		if err == nil {
			fmt.Fprintln(out, n, "entries")
		}
		return err
	})
}

// The table is 100 columns wide.
const tableForm = "%7s  %-14s  %6s  %-20s  %-11s  %5s  %3s  %-9s  %s"

var tableHead = fmt.Sprintf(tableForm, "NUMBER", "CLASS", "DEST", "ID", "ENDED", "TRIES", "AGN", "STATE", "WAITS FOR")

func tableRow(r *recovery.Row) string {
	waits := r.Waits
	if r.Granted {
		waits = "its turn"
	}
	return strings.TrimRight(fmt.Sprintf(tableForm, fmt.Sprint(r.Number), cut(r.Class, 14), fmt.Sprint(r.Dest), cut(r.ID, 20),
		r.Ended.Local().Format("02.01 15:04"), fmt.Sprint(len(r.Attempts)), fmt.Sprint(r.Resends), string(r.State), waits), " ")
}

// cut shortens a text to so many characters. What a terminal would act on is shown as a dot.
func cut(text string, n int) string {
	all := []rune(strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return '.'
		}
		return r
	}, text))
	if len(all) <= n {
		return string(all)
	}
	return string(all[:n-1]) + "~"
}

type showCommand struct {
	Number uint64 `arg:"" help:"The entry's number."`
	Body   bool   `help:"Write the body, and nothing else. It may hold personal data."`
	JSON   bool   `help:"As one JSON object."`
}

// Run shows.
func (c *showCommand) Run(u *undeliveredCommand) error {
	return u.with(func(ctx context.Context, a recovery.Access) error {
		if c.Body {
			body, err := a.Body(ctx, c.Number)
			if err == nil {
				_, err = os.Stdout.Write(body)
			}
			return err
		}
		r, lines, err := a.Show(ctx, c.Number)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(os.Stdout).Encode(map[string]any{"entry": r, "history": lines})
		}
		return show(os.Stdout, &r, lines)
	})
}

const clockForm = "2006-01-02 15:04:05.000"

func show(to io.Writer, r *recovery.Row, lines []undelivered.Record) error {
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	field := func(name, value string) {
		if value != "" {
			fmt.Fprintf(out, "%s\t%s\n", name, cut(value, 1024))
		}
	}
	field("entry", fmt.Sprint(r.Number))
	field("message", r.ID)
	field("key", r.Key)
	field("class", r.Class)
	field("destination", fmt.Sprint(r.Dest))
	field("body", fmt.Sprintf("%d bytes", r.Size))
	field("ended", fmt.Sprintf("%s, %s", r.Ended.Local().Format(clockForm), r.Reason))
	if !r.Wait.IsZero() {
		field("wait", "the partner asked to be left alone until "+r.Wait.Local().Format(clockForm))
	}
	field("state", string(r.State))
	if r.Waits != "" {
		field("waits for", r.Waits+": "+r.Why)
	}
	if !r.Next.IsZero() {
		field("next", r.Next.Local().Format(clockForm))
	}
	field("sent again", fmt.Sprint(r.Resends))
	if err := out.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(to, "attempts")
	out = tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, a := range r.Attempts {
		ran := "may have run"
		if a.NotRun {
			ran = "has not run"
		}
		outcome := a.Outcome
		if outcome == "" {
			outcome = "not seen"
		}
		fmt.Fprintf(out, "  %s\t%s\t%s\t%s\t%s\n", a.At.Local().Format(clockForm), cut(a.Endpoint, 24), outcome, ran, cut(a.Err, 200))
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if len(lines) > 0 {
		fmt.Fprintln(to, "decisions")
	}
	return history(to, lines, "  ")
}

func history(to io.Writer, lines []undelivered.Record, indent string) error {
	out := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(out, "%s%s\t%d\t%s\t%s\t%s\n", indent, l.At.Local().Format(clockForm), l.Entry, l.Action, cut(l.Name, 40), cut(l.Why, 200))
	}
	return out.Flush()
}

type person struct {
	By  string `required:"" help:"Your name; it is kept." placeholder:"NAME"`
	Why string `required:"" help:"Your reason; it is kept." placeholder:"TEXT"`
}

type resendCommand struct {
	Numbers []uint64 `arg:"" help:"The entries' numbers."`
	person
}

// Run has entries sent again.
func (c *resendCommand) Run(u *undeliveredCommand) error {
	return decide(u, c.Numbers, undelivered.Resend, c.person)
}

type decideCommand struct {
	Action  string   `arg:"" enum:"resend,applied,abandon" help:"resend, applied or abandon."`
	Numbers []uint64 `arg:"" help:"The entries' numbers."`
	person
}

// Run decides.
func (c *decideCommand) Run(u *undeliveredCommand) error {
	return decide(u, c.Numbers, undelivered.Action(c.Action), c.person)
}

// decide goes on after an entry that can't be decided on, and returns all that went wrong.
func decide(u *undeliveredCommand, numbers []uint64, action undelivered.Action, p person) error {
	return u.with(func(ctx context.Context, a recovery.Access) error {
		var all error
		for _, n := range numbers {
			if err := a.Decide(ctx, n, action, p.By, p.Why); err != nil {
				all = errors.Join(all, err)
				continue
			}
			fmt.Printf("%d: %s\n", n, action)
		}
		return all
	})
}

type statsCommand struct {
	JSON bool `help:"As one JSON object."`
}

// Run counts.
func (c *statsCommand) Run(u *undeliveredCommand) error {
	return u.with(func(ctx context.Context, a recovery.Access) error {
		s, err := a.Stats(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(os.Stdout).Encode(s)
		}
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(out, "CLASS\tSTATE\tWAITS FOR\tENTRIES\tOLDEST END\tBODY BYTES")
		for _, n := range s.Counts {
			fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%s\t%d\n", cut(n.Class, 20), n.State, n.Waits, n.Count, n.Oldest.Local().Format(clockForm), n.Bytes)
		}
		if err := out.Flush(); err != nil {
			return err
		}
		if s.MaxBytes > 0 {
			fmt.Printf("%d of %d bytes on disk\n", s.FileBytes, s.MaxBytes)
		} else {
			fmt.Printf("%d bytes on disk\n", s.FileBytes)
		}
		return nil
	})
}

type exportCommand struct {
	filterFlags
	Body bool `help:"With bodies, in base64. They may hold personal data."`
}

// Run exports.
func (c *exportCommand) Run(u *undeliveredCommand) error {
	f := c.filter(time.Now())
	return u.with(func(ctx context.Context, a recovery.Access) error {
		out := bufio.NewWriter(os.Stdout)
		defer out.Flush()
		return a.List(ctx, f, func(r recovery.Row) error {
			if !c.Body {
				return json.NewEncoder(out).Encode(r)
			}
			body, err := a.Body(ctx, r.Number)
			if errors.Is(err, undelivered.ErrUnknown) {
				return nil // evicted meanwhile
			}
			if err != nil {
				return err
			}
			return json.NewEncoder(out).Encode(struct {
				recovery.Row
				Body []byte `json:"body"`
			}{r, body})
		})
	})
}

type historyCommand struct {
	JSON bool `help:"One JSON object a line."`
}

// Run shows the audit trail.
func (c *historyCommand) Run(u *undeliveredCommand) error {
	return u.with(func(ctx context.Context, a recovery.Access) error {
		var all []undelivered.Record
		if err := a.Audit(ctx, func(r undelivered.Record) error {
			if c.JSON {
				return json.NewEncoder(os.Stdout).Encode(r)
			}
			all = append(all, r)
			return nil
		}); err != nil {
			return err
		}
		return history(os.Stdout, all, "")
	})
}
