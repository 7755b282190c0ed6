// Command lab is the laboratory. It is a program of its own so that a node carries none of it; coralyard lab starts it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"starlingusher/choice"
	"starlingusher/internal/jsonlines"
	"starlingusher/lab/days"
	"starlingusher/lab/experiment"
	"starlingusher/lab/report"
	"starlingusher/lab/search"
	"starlingusher/lab/sensitivity"
)

// tool is the command line.
type tool struct {
	Days        labDays        `cmd:"" help:"List the days that the program brings along, or print one as a file to start from."`
	Run         labRun         `cmd:"" help:"Play a day on its seeds, and hold it to what its file says must hold."`
	Compare     labCompare     `cmd:"" help:"Play a day in two ways on the same seeds, and tell a gain from noise."`
	Search      labSearch      `cmd:"" help:"Look for troubles that break a rule, or that service does not recover from."`
	Sensitivity labSensitivity `cmd:"" help:"Vary each tuned value of the decisions over its range, and rank them by what they do."`
	Talk        labTalk        `cmd:"" help:"Play a day with nodes that talk with each other, some of them deaf, beside such that do not and an all-knowing fleet."`
	Load        labLoad        `cmd:"" help:"Hand messages in to a node over sockets, by a schedule that waits for nobody."`
	Sockets     labSockets     `cmd:"" help:"Play a day with daemons over sockets, and beside it in the emulator."`
	Report      labReport      `cmd:"" help:"Draw a day as an HTML page, played in one way or two."`
}

func main() {
	k := kong.Parse(&tool{}, kong.Name("coralyard lab"), kong.Description(
		"The laboratory: days of fleets in virtual time, played with the real decisions."))
	err := k.Run()
	switch {
	case errors.Is(err, errMust):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "coralyard lab:", err)
		os.Exit(1)
	}
}

// labDay is what all that play days are told.
type labDay struct {
	Day     string            `arg:"" help:"A day of the program's own by name, or a file."`
	Seeds   int               `help:"How many seeds; by default the file's, or 20."`
	From    uint64            `help:"The first seed; by default the file's, or 1."`
	Set     map[string]string `help:"Change a value of the file by its path, as load=1.1 or partners.large.limit.headroom=0.9." mapsep:"none" sep:"none"`
	Workers int               `help:"Days that are played at a time; by default one a core."`
	Keep    string            `help:"File that keeps what was played, so that a run which was ended goes on where it was."`
	JSON    bool              `name:"json" help:"Print JSON, a line a result."`
}

// load reads the day, with its changes.
func (c labDay) load() (*days.Spec, []uint64, error) {
	spec, err := days.Load(c.Day)
	if err != nil {
		return nil, nil, err
	}
	if spec, err = changed(spec, c.Set); err != nil {
		return nil, nil, err
	}
	count, from := c.Seeds, c.From
	if count == 0 {
		if count = spec.Seeds.Count; count == 0 {
			count = 20
		}
	}
	if from == 0 {
		from = max(spec.Seeds.From, 1)
	}
	if count < 1 {
		return nil, nil, fmt.Errorf("--seeds: %d plays no day", count)
	}
	return spec, experiment.Seeds(from, count), nil
}

func changed(spec *days.Spec, set map[string]string) (*days.Spec, error) {
	paths := make([]string, 0, len(set))
	for path := range set {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		var err error
		if spec, err = spec.With(path, set[path]); err != nil {
			return nil, fmt.Errorf("--set: %w", err)
		}
	}
	return spec, nil
}

// play plays arms.
func (c labDay) play(arms []experiment.Arm, seeds []uint64) ([][]days.Outcome, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	defer store.Close()
	return experiment.Plan{Arms: arms, Seeds: seeds, Workers: c.workers(), Store: store, Tell: teller()}.Play(ctx)
}

func (c labDay) workers() int {
	if c.Workers > 0 {
		return c.Workers
	}
	return runtime.NumCPU()
}

// store opens the file that keeps what was played; nil for none.
func (c labDay) store() (*experiment.Store, error) {
	if c.Keep == "" {
		return nil, nil
	}
	store, err := experiment.Open(c.Keep)
	if err != nil {
		return nil, fmt.Errorf("--keep: %w", err)
	}
	return store, nil
}

// teller tells a person how far it is.
func teller() func(experiment.Progress) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p experiment.Progress) {
		fmt.Fprintf(os.Stderr, "\r%d of %d days, %v left  ", p.Done, p.Total, p.Left.Round(time.Second))
		if p.Done == p.Total {
			fmt.Fprintln(os.Stderr)
		}
	}
}

type labDays struct {
	Name string `arg:"" optional:"" help:"Print this day's file."`
}

// Run lists days or prints one.
func (c labDays) Run() error {
	if c.Name != "" {
		text, err := days.File(c.Name)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(text)
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, name := range days.Names() {
		spec, err := days.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%s\t%s\n", name, spec.About)
	}
	return t.Flush()
}

type labRun struct {
	labDay
}

// errMust is that what must hold does not; it ends the program with its own status.
var errMust = errors.New("what must hold does not")

// shown are the measures that tables have; JSON has all.
var shown = []string{"service", "worth", "worst-ten", "in-time", "delivered", "refusals", "failed", "over", "turned", "opened", "cold"}

// Run plays the day, by all factors of its file.
func (c labRun) Run() error {
	spec, seeds, err := c.load()
	if err != nil {
		return err
	}
	arms, err := spec.Arms()
	if err != nil {
		return err
	}
	var all []experiment.Arm
	for _, a := range arms {
		all = append(all, experiment.Arm{Name: a.Name, Spec: a.Spec})
	}
	outcomes, err := c.play(all, seeds)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintf(os.Stdout, "%s, seeds %d to %d: means, and half of their intervals at 95%%\n", spec.Name, seeds[0], seeds[len(seeds)-1])
	}
	var broken error
	for i, arm := range all {
		if c.JSON {
			if err := jsonlines.Write(os.Stdout, outcomes[i]); err != nil {
				return err
			}
		} else {
			if len(all) > 1 {
				fmt.Fprintf(t, "%s\n", arm.Name)
			}
			for _, name := range shown {
				m, half := experiment.Mean(name, outcomes[i])
				fmt.Fprintf(t, "  %s\t%.4f\t%.4f\n", name, m, half)
			}
		}
		broken = errors.Join(broken, must(arm, outcomes[i]))
	}
	return errors.Join(t.Flush(), broken)
}

// must holds outcomes to the rules and to what the file says.
func must(arm experiment.Arm, all []days.Outcome) error {
	var broken error
	for _, o := range all {
		if o.First != "" {
			broken = errors.Join(broken, fmt.Errorf("%w: %s, seed %d: %s", errMust, arm.Name, o.Seed, o.First))
		}
	}
	for _, m := range arm.Spec.Must {
		got, _ := experiment.Mean(m.Measure, all)
		if (m.Least != nil && got < *m.Least) || (m.Most != nil && got > *m.Most) {
			broken = errors.Join(broken, fmt.Errorf("%w: %s: %s is %.4f in the mean", errMust, arm.Name, m.Measure, got))
		}
	}
	return broken
}

type labCompare struct {
	labDay
	With    map[string]string `help:"The other way of playing: values as for --set, or tuned values as choice.gate-upper=100." mapsep:"none" sep:"none"`
	Against string            `help:"The other build: a commit of this repository, whose decisions are played by this laboratory."`
	Build   string            `help:"With --against: another commit in place of this tree."`
	HTML    string            `name:"html" help:"Also draw the seed with the largest difference, as a page."`
}

// Run compares.
func (c labCompare) Run() error {
	spec, seeds, err := c.load()
	if err != nil {
		return err
	}
	base := experiment.Arm{Name: "base", Spec: spec}
	var other experiment.Arm
	switch {
	case (c.Against == "") == (len(c.With) == 0):
		return errors.New("either --with or --against is wanted")
	case c.Against != "":
		temp, err := os.MkdirTemp("", "coralyard-lab-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temp)
		// The older build is what the newer one is compared to.
		other = base
		other.Name = "this tree"
		if base, err = buildArm(spec, c.Against, temp); err != nil {
			return err
		}
		if c.Build != "" {
			if other, err = buildArm(spec, c.Build, temp); err != nil {
				return err
			}
		}
	default:
		with, err := changed(spec, c.With)
		if err != nil {
			return err
		}
		other = experiment.Arm{Name: "with", Spec: with}
	}
	outcomes, err := c.play([]experiment.Arm{base, other}, seeds)
	if err != nil {
		return err
	}
	var all []experiment.Difference
	for _, name := range days.Measures() {
		d, err := experiment.Paired(name, outcomes[0], outcomes[1])
		if err != nil {
			return err
		}
		all = append(all, d)
	}
	if c.HTML != "" && c.Against == "" {
		if err := c.draw(spec, other.Spec, seeds, outcomes, all); err != nil {
			return err
		}
	}
	broken := errors.Join(must(base, outcomes[0]), must(other, outcomes[1]))
	if c.JSON {
		return errors.Join(jsonlines.Write(os.Stdout, all), broken)
	}
	fmt.Printf("%s, %d pairs: %s, %s, and the difference with its interval at 95%%\n", spec.Name, len(seeds), base.Name, other.Name)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, d := range all {
		if !slices.Contains(shown, d.Measure) {
			continue
		}
		verdict := ""
		if d.Noise {
			verdict = "noise"
			if d.SeedsWanted > 0 {
				verdict = fmt.Sprintf("noise; %d pairs would tell", d.SeedsWanted)
			}
		}
		fmt.Fprintf(t, "  %s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n", d.Measure, d.Base, d.Other, d.Mean, d.Low, d.High, verdict)
	}
	return errors.Join(t.Flush(), broken)
}

// buildArm builds the laboratory over a commit of the repository around here.
func buildArm(spec *days.Spec, commit, temp string) (experiment.Arm, error) {
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return experiment.Arm{}, fmt.Errorf("%s: this is no checkout: %w", commit, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	b, err := experiment.BuildOf(ctx, strings.TrimSpace(string(root)), commit, temp)
	if err != nil {
		return experiment.Arm{}, err
	}
	for _, w := range b.Without {
		fmt.Fprintf(os.Stderr, "without, at %s: %s\n", commit, w)
	}
	return b.Arm(spec)
}

// draw draws the seed at which service differs most.
func (c labCompare) draw(base, other *days.Spec, seeds []uint64, outcomes [][]days.Outcome, all []experiment.Difference) error {
	at, most := 0, -1.0
	for i := range seeds {
		d := outcomes[1][i].Measures["service"] - outcomes[0][i].Measures["service"]
		if d = max(d, -d); d > most {
			at, most = i, d
		}
	}
	return drawPage(c.HTML, base, seeds[at], []*days.Spec{base, other}, []string{"base", "with"}, all)
}

// drawPage plays a seed in each way and writes a page.
func drawPage(path string, spec *days.Spec, seed uint64, ways []*days.Spec, names []string, all []experiment.Difference) (err error) {
	p := report.Page{Title: "Day " + spec.Name, About: spec.About, Seed: seed, Day: spec.Draw(seed)}
	for i, w := range ways {
		o := w.Options(seed)
		o.Holds = true
		p.Runs = append(p.Runs, report.Run{Name: names[i], Result: w.Draw(seed).Play(o)})
	}
	for _, d := range all {
		if slices.Contains(shown, d.Measure) {
			p.Differences = append(p.Differences, d)
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return p.Write(f)
}

type labReport struct {
	Day  string            `arg:"" help:"A day of the program's own by name, or a file."`
	HTML string            `arg:"" name:"page" help:"The page to write."`
	Seed uint64            `default:"1" help:"The seed that is drawn."`
	Set  map[string]string `help:"Change a value of the file by its path." mapsep:"none" sep:"none"`
	With map[string]string `help:"Draw a second way of playing beside it." mapsep:"none" sep:"none"`
}

// Run draws a page.
func (c labReport) Run() error {
	spec, err := days.Load(c.Day)
	if err != nil {
		return err
	}
	if spec, err = changed(spec, c.Set); err != nil {
		return err
	}
	ways, names := []*days.Spec{spec}, []string{"as it is"}
	if len(c.With) > 0 {
		with, err := changed(spec, c.With)
		if err != nil {
			return err
		}
		ways, names = append(ways, with), append(names, "with")
	}
	return drawPage(c.HTML, spec, c.Seed, ways, names, nil)
}

type labSearch struct {
	Day     string            `arg:"" help:"A day of the program's own by name, or a file; its troubles are replaced by drawn ones."`
	Target  string            `enum:"rule,metastable" default:"rule" help:"What to look for: rule or metastable."`
	Budget  int               `default:"400" help:"Days that may be played."`
	Seed    uint64            `default:"1" help:"Seed of the search."`
	Keep    int               `default:"3" help:"Finds, at most."`
	Into    string            `help:"Folder for the finds, each as a file that can be played." type:"existingdir"`
	Set     map[string]string `help:"Change a value of the file by its path." mapsep:"none" sep:"none"`
	Workers int               `help:"Days that are played at a time; by default one a core."`
	JSON    bool              `name:"json" help:"Print JSON, a line a find."`
}

// Run searches.
func (c labSearch) Run() error {
	spec, err := days.Load(c.Day)
	if err != nil {
		return err
	}
	if spec, err = changed(spec, c.Set); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := search.Search{Spec: spec, Target: search.Rule, Budget: c.Budget, Workers: c.Workers, Seed: c.Seed, Keep: c.Keep}
	if s.Workers <= 0 {
		s.Workers = runtime.NumCPU()
	}
	if c.Target == search.Metastable.String() {
		s.Target = search.Metastable
	}
	finds, played, err := s.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	for i, f := range finds {
		found, err := spec.WithTroubles(f.Seed, f.Length, f.Troubles)
		if err != nil {
			return err
		}
		text, err := found.Text()
		if err != nil {
			return err
		}
		if c.Into != "" {
			if err := os.WriteFile(fmt.Sprintf("%s/%s-%s-%d.yaml", c.Into, spec.Name, c.Target, i+1), text, 0o600); err != nil {
				return err
			}
		}
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(f); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("seed %d, %d of %d troubles: %s\n", f.Seed, len(f.Troubles), f.Drawn, f.Why)
		for _, t := range f.Troubles {
			fmt.Printf("  %s at %v for %v, size %.2f, partners %v, nodes %v\n", t.Ill, t.At, t.For, t.Size, t.Partners, t.Nodes)
		}
	}
	if !c.JSON {
		fmt.Printf("%d days played, %d that hurt\n", played, len(finds))
	}
	if len(finds) > 0 {
		return fmt.Errorf("%w: %d finds", errMust, len(finds))
	}
	return nil
}

type labSensitivity struct {
	labDay
	Measure string   `default:"worth" help:"What is looked at. Service is 0 on a day with a broken rule."`
	Paths   int      `default:"10" help:"Random paths through the ranges; each plays a day for every value and one more."`
	Value   []string `help:"Only these values."`
}

// Run ranks the tuned values.
func (c labSensitivity) Run() error {
	spec, seeds, err := c.load()
	if err != nil {
		return err
	}
	if !slices.Contains(days.Measures(), c.Measure) {
		return fmt.Errorf("--measure: %q is none of %s", c.Measure, strings.Join(days.Measures(), ", "))
	}
	values := choice.Values()
	if len(c.Value) > 0 {
		for _, name := range c.Value {
			if err := choice.CheckTuned(map[string]float64{name: 0}); err != nil && !slices.ContainsFunc(values, func(v choice.Value) bool { return v.Name == name }) {
				return fmt.Errorf("--value: %w", err)
			}
		}
		values = slices.DeleteFunc(values, func(v choice.Value) bool { return !slices.Contains(c.Value, v.Name) })
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p := sensitivity.Plan{Spec: spec, Measure: c.Measure, Values: values, Paths: c.Paths, Seed: seeds[0], Workers: c.workers(), Tell: teller()}
	store, err := c.store()
	if err != nil {
		return err
	}
	defer store.Close()
	p.Store = store
	all, err := p.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return jsonlines.Write(os.Stdout, all)
	}
	fmt.Printf("%s, %s over %d paths: effect of a value's whole range, half of its interval at 95%%, with its sign, and its spread\n", spec.Name, c.Measure, c.Paths)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, e := range all {
		note := ""
		if e.None {
			note = "none seen"
		}
		fmt.Fprintf(t, "  %s\t%g to %g%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\n", e.Value.Name, e.Value.Least, e.Value.Most, e.Value.Unit, e.Strong, e.Half, e.Mean, e.Spread, note)
	}
	return t.Flush()
}
