package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"starlingusher/choice"
	"starlingusher/daemon"
	"starlingusher/internal/jsonlines"
	"starlingusher/record"
	"starlingusher/record/account"
)

const (
	recordingVariable = "CORALYARD_RECORDING"    // names the folder; empty for no recording
	recordingBytes    = "CORALYARD_RECORDING_MB" // MiB that the folder may take
	defaultRecording  = 64
	worstMessages     = 10
)

// openRecording begins a recording if the environment names a folder for it.
func openRecording(cfg daemon.Config, log *slog.Logger) (*record.Writer, error) {
	folder := os.Getenv(recordingVariable)
	if folder == "" {
		return nil, nil
	}
	mb := int64(defaultRecording)
	if text := os.Getenv(recordingBytes); text != "" {
		var err error
		if mb, err = strconv.ParseInt(text, 10, 32); err != nil || mb < 1 {
			return nil, fmt.Errorf("%s: %q is not a number of MiB, 1 at least", recordingBytes, text)
		}
	}
	return record.NewWriter(record.Options{Folder: folder, Bytes: mb << 20, Name: cfg.Name, Build: build(), Log: log})
}

// build names the program's source as far as it is known.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

type recordingCommand struct {
	Show    recordingShow    `cmd:"" help:"List the lives that a recording holds, or with --records every record, as JSON lines."`
	Explain recordingExplain `cmd:"" help:"Tell the life of single messages, stretch by stretch."`
	Account recordingAccount `cmd:"" help:"Sum up where messages spent their time and what that cost."`
	Trace   recordingTrace   `cmd:"" help:"Follow a message through all nodes and lives: held, attempts, restarts, end, notice."`
	Fleet   recordingFleet   `cmd:"" help:"Count over many nodes what all of them did to each destination, second by second."`
}

// recordingPath is what all three are given.
type recordingPath struct {
	Path string `arg:"" help:"Folder of recordings, or one segment of it."`
	Life int    `help:"Which life of a node, as show numbers them; the last if not given." default:"0"`
	JSON bool   `name:"json" help:"Print JSON."`
}

type filters struct {
	Message string `help:"Only the message of this id."`
	Dest    int    `help:"Only messages to this destination." default:"-1"`
}

func (f filters) wants(m *account.Message) bool {
	return (f.Message == "" || m.ID == f.Message) && (f.Dest < 0 || m.Dest == f.Dest)
}

func (p recordingPath) life() (record.Life, error) {
	lives, err := record.Lives(p.Path)
	switch {
	case err != nil:
		return record.Life{}, err
	case len(lives) == 0:
		return record.Life{}, fmt.Errorf("%s: no recording", p.Path)
	case p.Life < 0 || p.Life > len(lives):
		return record.Life{}, fmt.Errorf("--life: %d; there are %d", p.Life, len(lives))
	case p.Life == 0:
		return lives[len(lives)-1], nil
	}
	return lives[p.Life-1], nil
}

// accountOf reads a life. Damage is told on w, and what could be read is accounted for.
func (p recordingPath) accountOf(w io.Writer, keep func(*account.Message) bool, after func(time.Duration, *choice.Sender)) (record.Header, account.Report, error) {
	l, err := p.life()
	if err != nil {
		return record.Header{}, account.Report{}, err
	}
	var a *account.Account
	var head record.Header
	err = l.Read(func(h record.Header) error {
		if a == nil {
			head, a = h, account.New(h, l.Whole, keep)
			a.After(after)
		}
		return nil
	}, func(r record.Record) error { return a.Add(r) })
	var damage *record.Damage
	switch {
	case a == nil && err == nil:
		return head, account.Report{}, fmt.Errorf("%s: the recording is empty", p.Path)
	case a == nil, err != nil && !errors.As(err, &damage):
		return head, account.Report{}, err
	case err != nil:
		fmt.Fprintln(w, "coralyard: read as far as it goes:", err)
	}
	return head, a.Report(), nil
}

type recordingShow struct {
	recordingPath
	Records bool `help:"Print every record of the life."`
}

// Run lists lives or records.
func (c recordingShow) Run() error {
	if c.Records {
		l, err := c.life()
		if err != nil {
			return err
		}
		out := json.NewEncoder(os.Stdout)
		return l.Read(func(h record.Header) error { return out.Encode(h) }, func(r record.Record) error { return out.Encode(r) })
	}
	lives, err := record.Lives(c.Path)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(lives)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "life\tnode\tbegan\tsegments\tbytes\tcan be played again")
	for i, l := range lives {
		size := int64(0)
		for _, f := range l.Files {
			if info, err := os.Stat(f); err == nil {
				size += info.Size()
			}
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%v\n", i+1, l.Node, time.Unix(0, l.Began).UTC().Format(time.RFC3339), len(l.Files), size, l.Whole)
	}
	return t.Flush()
}

type recordingExplain struct {
	recordingPath
	filters
	Worst int           `help:"How many messages to tell of, those that lost most first." default:"10"`
	Every time.Duration `help:"Tell what was believed of --dest in these steps of time, in place of messages." default:"0"`
}

// Run tells the lives of messages.
func (c recordingExplain) Run() error {
	if c.Every > 0 {
		return c.beliefs()
	}
	_, r, err := c.accountOf(os.Stderr, c.wants, nil)
	if err != nil {
		return err
	}
	all := slices.DeleteFunc(slices.Clone(r.Messages), func(m *account.Message) bool { return !c.wants(m) })
	if len(all) == 0 {
		return errors.New("the recording has no such message")
	}
	all = account.Worst(all, c.Worst)
	if c.JSON {
		return jsonlines.Write(os.Stdout, all)
	}
	untrusted(os.Stdout, r)
	for _, m := range all {
		tellLife(os.Stdout, r, m)
	}
	return nil
}

// beliefs prints what was believed of a destination over time.
func (c recordingExplain) beliefs() error {
	if c.Dest < 0 {
		return errors.New("--every needs --dest")
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "at\tendpoint\twaiting\tout\tgate\taverage, s\tusual, s\tlimit\tpart\tpace\ttokens\twindow\tfails\tstate")
	first, next := time.Duration(0), time.Duration(0)
	_, r, err := c.accountOf(os.Stderr, nil, func(now time.Duration, s *choice.Sender) {
		if first == 0 {
			first, next = now, now
		}
		if now < next {
			return
		}
		next += c.Every * (1 + (now-next)/c.Every)
		for _, v := range s.Views(c.Dest) {
			gate, state := "open", "well"
			if v.GateShut {
				gate = "shut"
			}
			switch {
			case v.Sick:
				state = "outage"
			case v.Returning:
				state = "returning"
			case v.TurnedAwayFor > 0:
				state = "turned away " + short(v.TurnedAwayFor)
			}
			if v.WaitsUntil > now {
				state += ", waits " + short(v.WaitsUntil-now)
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%d\t%s\n", short(now-first), v.Endpoint, v.Waiting, v.Out,
				gate, v.Average, v.Usual, v.Limit, v.Part, v.Pace, v.Tokens, v.Window, v.Fails, state)
		}
	})
	if err != nil {
		return err
	}
	t.Flush()
	untrusted(os.Stdout, r)
	return nil
}

func untrusted(w io.Writer, r account.Report) {
	if r.Untrusted != "" {
		fmt.Fprintln(w, "from some point on it is not known what held messages:", r.Untrusted)
	}
}

// tellLife prints a message's life, its times from the recording's first step on.
func tellLife(w io.Writer, r account.Report, m *account.Message) {
	fmt.Fprintf(w, "%s (%s) to %d: came at %s, %s after %s, %d attempts, got %.2f of %.2f\n",
		m.ID, m.Name, m.Dest, short(m.Came-r.First), m.Fate, short(m.Life()), m.Attempts, m.Got, m.Worth)
	for _, p := range m.Pieces {
		fmt.Fprintf(w, "  %10s  %-8s %10s", short(p.From-r.First), p.Span, short(p.To-p.From))
		if p.Endpoint != "" {
			fmt.Fprintf(w, "  %s", p.Endpoint)
		}
		if p.Err != "" {
			fmt.Fprintf(w, "  %s", p.Err)
		}
		fmt.Fprintln(w)
	}
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

type recordingAccount struct {
	recordingPath
	filters
	Window time.Duration `help:"Width of the windows." default:"10s"`
}

// Run prints the sums.
func (c recordingAccount) Run() error {
	if c.Window <= 0 {
		return fmt.Errorf("--window: %v", c.Window)
	}
	head, r, err := c.accountOf(os.Stderr, nil, nil)
	if err != nil {
		return err
	}
	r.Messages = slices.DeleteFunc(r.Messages, func(m *account.Message) bool { return !c.wants(m) })
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			record.Header
			account.Report
		}{head, r})
	}
	untrusted(os.Stdout, r)
	var total account.Sum
	for _, m := range r.Messages {
		total.Add(m)
	}
	fmt.Printf("%s, %d messages in %s, %d steps\n", head.Name, total.Messages, short(r.Last-r.First), r.Steps)
	waterfall(os.Stdout, &total)
	table(os.Stdout, "class", r.Messages, func(m *account.Message) int { return m.Class })
	table(os.Stdout, "dest", r.Messages, func(m *account.Message) int { return m.Dest })
	table(os.Stdout, "window", r.Messages, func(m *account.Message) int { return int((m.Came - r.First) / c.Window) })
	fmt.Println("worst:")
	for _, m := range account.Worst(r.Messages, worstMessages) {
		fmt.Printf("  %s to %d: came at %s, %s after %s, %d attempts, lost %.2f: %s\n", m.ID, m.Dest, short(m.Came-r.First), m.Fate,
			short(m.Life()), m.Attempts, m.Lost(), spans(m))
	}
	return nil
}

// waterfall prints how much time each span took, and the worth that is laid to it.
func waterfall(w io.Writer, s *account.Sum) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "span\tseconds\tper message, ms\tworth lost, %\t")
	for _, i := range s.Largest() {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.2f\t\n", i, s.Spans[i].Seconds(), 1e3*s.Spans[i].Seconds()/float64(max(s.Messages, 1)), percent(s.Blame[i], s.Worth))
	}
	fmt.Fprintf(t, "refused at arrival\t\t\t%.2f\t\n", percent(s.Turned, s.Worth))
	t.Flush()
}

func percent(part, of float64) float64 {
	if of == 0 {
		return 0
	}
	return 100 * part / of
}

// table prints a line for each key, with the four spans that took longest.
func table(w io.Writer, name string, all []*account.Message, key func(*account.Message) int) {
	keys, sums := account.By(all, key)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tmessages\tcalls\tgot, %%\tgate\troom\tgiven up\tfailed\tlongest spans, ms a message\n", name)
	for _, k := range keys {
		s := sums[k]
		var long []string
		for _, i := range s.Largest() {
			if len(long) < 4 {
				long = append(long, fmt.Sprintf("%s %.0f", i, 1e3*s.Spans[i].Seconds()/float64(s.Messages)))
			}
		}
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%s\n", k, s.Messages, s.Attempts, percent(s.Got, s.Worth), s.Fates[account.RefusedGate],
			s.Fates[account.RefusedRoom], s.Fates[account.GivenUp], s.Fates[account.Failed], strings.Join(long, ", "))
	}
	t.Flush()
}

func spans(m *account.Message) string {
	var s account.Sum
	s.Add(m)
	var all []string
	for _, i := range s.Largest() {
		all = append(all, fmt.Sprintf("%s %s", i, short(m.Spans[i])))
	}
	return strings.Join(all, ", ")
}
