package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"starlingusher/daemon"
	"starlingusher/peers"
)

// peersVariable names the operators' file of a fleet whose nodes talk, to the node and to the command line.
const peersVariable = "CORALYARD_PEERS"

// openPeers opens the node's side of a fleet that talks, if the operators have named a file for it. Without it nothing of
// it exists.
func openPeers(cfg daemon.Config, log *slog.Logger) (*peers.Service, error) {
	file := os.Getenv(peersVariable)
	if file == "" {
		return nil, nil
	}
	f, err := peers.Load(file)
	if err != nil {
		return nil, err
	}
	if f.Name == "" {
		f.Name = cfg.Name
	}
	return peers.Open(peers.Options{File: f, Settings: cfg.Settings, State: cfg.State, Log: log})
}

type peersCommand struct {
	File    string        `env:"CORALYARD_PEERS" placeholder:"FILE" help:"The node's file of peers, which names where it listens."`
	Address string        `placeholder:"HOST:PORT" help:"Where a node listens for peers, instead of what the file names."`
	Timeout time.Duration `default:"3s" help:"For how long an answer is waited for."`
	JSON    bool          `name:"json" help:"Print JSON."`
}

// Run asks a running node what it knows of its fleet.
func (c *peersCommand) Run() error {
	addr := c.Address
	if addr == "" {
		if c.File == "" {
			return errors.New("name the node's file of peers with --file or " + peersVariable + ", or its address with --address")
		}
		f, err := peers.Load(c.File)
		if err != nil {
			return err
		}
		addr = f.Listen
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	st, err := peers.Look(ctx, addr)
	if err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		return out.Encode(st)
	}
	return printPeers(os.Stdout, st)
}

func printPeers(w io.Writer, st peers.Status) error {
	hears := fmt.Sprintf("hears the voters, for %.1f s if nothing more comes", st.Talks)
	if st.Deaf {
		hears = fmt.Sprintf("is deaf, for %.1f s", st.Since)
	}
	fmt.Fprintf(w, "%s, life %016x, %s; holds the seats of %s\n", st.Name, st.Life, hears, orNobody(st.Seats))
	fmt.Fprintf(w, "packets: %d sent, %d received, %d dropped, %d late, %d unreadable; %d bytes out, %d in\n\n", st.Seen.Sent, st.Seen.Received,
		st.Seen.Dropped, st.Seen.Late, st.Seen.Bad, st.Seen.BytesOut, st.Seen.BytesIn)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tstate\tlife\tincarnation\taddress\tmachine\tzone")
	for _, m := range st.Members {
		fmt.Fprintf(t, "%s\t%s\t%016x\t%d\t%s\t%s\t%s\n", m.Name, m.State, m.Life, m.Incarnation, m.Addr, m.Machine, m.Zone)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "way to\tup\tsince\tsent\terror")
	for _, way := range st.Ways {
		fmt.Fprintf(t, "%s\t%v\t%.1fs\t%d\t%s\n", way.Addr, way.Up, st.At.Sub(way.Since).Seconds(), way.Sent, way.Err)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "route\tlimit\twants\tright\tlent\tborrowed\tdebt\tbegun\tpassed\trefused\tfailed")
	for _, r := range st.Routes {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.1fs\t%s\t%s\t%s\t%s\n", routeName(r.Dest, r.Endpoint), r.Limit, r.Wants, r.Right, r.Lent, r.Borrowed, r.Debt,
			between(r.Counts["begun"].Low, r.Counts["begun"].High), between(r.Counts["passed"].Low, r.Counts["passed"].High),
			between(r.Counts["refused"].Low, r.Counts["refused"].High), between(r.Counts["failed"].Low, r.Counts["failed"].High))
	}
	if len(st.Known) > 0 {
		fmt.Fprintln(t)
		fmt.Fprintln(t, "route\twhat others say\tby\tseen\tso for\tcalls")
		for _, e := range st.Known {
			fmt.Fprintf(t, "%s\t%s\t%s\t%.2fs ago\t%.2fs\t%d\n", routeName(e.Dest, e.Endpoint), e.What, e.By, e.Seen, e.Since, e.Calls)
		}
	}
	return t.Flush()
}

func routeName(dest int, endpoint string) string {
	if endpoint == "" {
		return fmt.Sprint(dest)
	}
	return fmt.Sprintf("%d/%s", dest, endpoint)
}

func between(low, high uint64) string {
	if low == high {
		return fmt.Sprint(low)
	}
	return fmt.Sprintf("%d..%d", low, high)
}

func orNobody(names []string) string {
	if len(names) == 0 {
		return "nobody"
	}
	return strings.Join(names, ", ")
}
