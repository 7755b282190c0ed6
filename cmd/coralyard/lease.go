package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"starlingusher/peers"
	"starlingusher/peers/lease"
	"starlingusher/peers/link"
)

// Environment of a command that runs under a lease.
const (
	leaseNameVariable  = "CORALYARD_LEASE"
	leaseTokenVariable = "CORALYARD_TOKEN"
)

type leaseCommand struct {
	List    leaseListCommand    `cmd:"" help:"Show who holds what, since when and by which token, as a voter knows it."`
	Read    leaseReadCommand    `cmd:"" help:"Show who holds one lease, as the voters agree now."`
	Release leaseReleaseCommand `cmd:"" help:"End a lease of a holder that does not give it back. Costs a new token; the old holder may act until its term has run."`
	Do      leaseDoCommand      `cmd:"" help:"Run a command while this node holds a lease, and end it when the lease is lost."`
}

// nodeFlags name a running node.
type nodeFlags struct {
	File    string        `env:"CORALYARD_PEERS" placeholder:"FILE" help:"The node's file of peers, which names where it listens."`
	Address string        `placeholder:"HOST:PORT" help:"Where a node listens for peers, instead of what the file names."`
	Timeout time.Duration `default:"5s" help:"For how long an answer is waited for."`
}

func (f nodeFlags) addr() (string, error) {
	if f.Address != "" {
		return f.Address, nil
	}
	if f.File == "" {
		return "", errors.New("name the node's file of peers with --file or " + peersVariable + ", or its address with --address")
	}
	file, err := peers.Load(f.File)
	if err != nil {
		return "", err
	}
	return file.Listen, nil
}

func (f nodeFlags) dial() (*link.Operator, error) {
	addr, err := f.addr()
	if err != nil {
		return nil, err
	}
	return link.Dial(addr)
}

// look asks the node what it knows, and has something done with that while the time for it lasts.
func (f nodeFlags) look(then func(context.Context, peers.Status) error) error {
	addr, err := f.addr()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	st, err := peers.Look(ctx, addr)
	if err != nil {
		return err
	}
	return then(ctx, st)
}

// command asks the voters by way of the node.
func (f nodeFlags) command(c lease.Command) (lease.Result, error) {
	o, err := f.dial()
	if err != nil {
		return lease.Result{}, err
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return o.Command(ctx, c)
}

type leaseListCommand struct {
	nodeFlags `embed:""`
	JSON      bool `name:"json" help:"Print JSON."`
}

// Run asks the node, or a voter that it knows of where it is none itself.
func (c *leaseListCommand) Run() error { return c.look(c.print) }

func (c *leaseListCommand) print(ctx context.Context, st peers.Status) error {
	if st.Leases == nil {
		return peers.ErrNoLeases
	}
	for _, m := range st.Members {
		if st.Leases.Standing == lease.In.String() {
			break
		}
		if other, err := peers.Look(ctx, m.Addr); err == nil && other.Leases != nil && other.Leases.Standing == lease.In.String() {
			st = other
		}
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(st.Leases)
	}
	return printLeases(os.Stdout, st.Name, st.Leases)
}

func printLeases(w io.Writer, node string, st *peers.LeaseStatus) error {
	if st.Standing != lease.In.String() {
		fmt.Fprintf(w, "%s knows of no voter that is in (it is %s itself); a voter answered it %.1f s ago. It holds:\n\n", node, orNone(st.Standing), st.Heard)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "lease\ttoken\tleft")
		for _, l := range st.Holds {
			fmt.Fprintf(t, "%s\t%d\t%.1fs\n", l.Name, l.Token, l.Left)
		}
		return t.Flush()
	}
	leads := "does not lead"
	if st.Leads {
		leads = "leads"
	}
	fmt.Fprintf(w, "as voter %s of %s knows it, which %s, at entry %d\n", st.Voter, node, leads, st.Applied)
	fmt.Fprint(w, "voters:")
	for id, name := range st.Voters {
		fmt.Fprintf(w, " %s (%s)", name, id)
	}
	fmt.Fprint(w, "\n\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "lease\tholder\tlife\ttoken\theld for\tin line")
	for _, l := range st.Leases {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1fs\t%s\n", l.Name, l.Owner, l.Life, l.Token, l.Held, strings.Join(l.Line, ", "))
	}
	return t.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "no voter"
	}
	return s
}

type leaseReadCommand struct {
	nodeFlags `embed:""`
	Name      string `arg:"" help:"The lease."`
}

// Run reads by the voters' log, so that the answer is no older than the question.
func (c *leaseReadCommand) Run() error {
	r, err := c.command(lease.Command{Do: lease.Read, Name: c.Name})
	if err != nil {
		return err
	}
	if r.Lease.Owner.Name == "" {
		fmt.Println("nobody holds", c.Name)
		return nil
	}
	fmt.Printf("%s holds %s by token %d, renewed %d times\n", r.Lease.Owner.Name, c.Name, r.Lease.Token, r.Lease.Renewals)
	return nil
}

type leaseReleaseCommand struct {
	nodeFlags `embed:""`
	Name      string `arg:"" help:"The lease."`
	Force     bool   `required:"" help:"It is another's, who may act by it for as long as its term runs."`
	Reason    string `required:"" help:"Why, for the voters' logs."`
}

// Run ends a lease of somebody else's.
func (c *leaseReleaseCommand) Run() error {
	r, err := c.command(lease.Command{Do: lease.Force, Name: c.Name, Reason: c.Reason})
	switch {
	case err != nil:
		return err
	case !r.Done:
		return fmt.Errorf("nobody holds %s", c.Name)
	}
	fmt.Println("ended; whoever takes it next has a larger token")
	return nil
}

type leaseDoCommand struct {
	nodeFlags `embed:""`
	Name      string        `arg:"" help:"The lease."`
	Wait      time.Duration `help:"For how long the lease is waited for; without it, for ever."`
	Command   []string      `arg:"" passthrough:"" help:"The command and its arguments, after --."`
}

// pollEvery is how often a process that acts by its node's lease asks whether the node still has it.
const pollEvery = 100 * time.Millisecond

// Run runs the command once the node holds the lease. The command is told the token, for whoever is to refuse late acts by it. It is
// killed when the lease ends, but for a process that is stopped itself: then only the token helps.
func (c *leaseDoCommand) Run() error {
	words := c.Command
	if len(words) > 0 && words[0] == "--" {
		words = words[1:]
	}
	if len(words) == 0 {
		return errors.New("name a command after --")
	}
	o, err := c.dial()
	if err != nil {
		return err
	}
	defer o.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	holding, end := context.WithCancel(ctx)
	defer end()
	lost := make(chan error, 1)
	go func() { lost <- o.Hold(holding, "do/"+c.Name, func(link.Held) {}) }()
	var late <-chan time.Time
	if c.Wait > 0 {
		late = time.After(c.Wait)
	}
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for {
		h, until, err := o.Held(ctx, "do/"+c.Name)
		if err == nil && h.Token != 0 && time.Now().Before(until) {
			return c.act(ctx, o, words, h.Token, until)
		}
		select {
		case <-poll.C:
		case err := <-lost:
			return err
		case <-late:
			return fmt.Errorf("%s is %s's, and was not had within %v", c.Name, orNobody(strings.Fields(h.Holder)), c.Wait)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// errLeaseLost ends a command.
var errLeaseLost = errors.New("the lease was lost: the command is ended")

func (c *leaseDoCommand) act(ctx context.Context, o *link.Operator, words []string, token uint64, until time.Time) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), leaseNameVariable+"="+c.Name, leaseTokenVariable+"="+strconv.FormatUint(token, 10))
	end := time.AfterFunc(time.Until(until), func() { cancel(errLeaseLost) })
	defer end.Stop()
	go func() {
		for ctx.Err() == nil {
			if h, until, err := o.Held(ctx, "do/"+c.Name); err == nil && h.Token == token && end.Stop() {
				end.Reset(time.Until(until))
			} else if err == nil && h.Token != token {
				cancel(errLeaseLost)
			}
			select {
			case <-time.After(pollEvery):
			case <-ctx.Done():
			}
		}
	}()
	err := cmd.Run()
	if cause := context.Cause(ctx); errors.Is(cause, errLeaseLost) {
		return cause
	}
	return err
}
