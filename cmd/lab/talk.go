package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"text/tabwriter"

	"starlingusher/lab/experiment"
	"starlingusher/lab/model"
	"starlingusher/lab/talk"
)

// labTalk plays a day with nodes that talk, and with such that don't.
type labTalk struct {
	labDay
	Nodes int     `help:"How many nodes, if not as the file says."`
	Deaf  float64 `default:"0.333" help:"Share of the nodes that hear nobody, in the third way."`
	Loss  float64 `default:"0.01" help:"Share of the packets that get lost."`
}

var talkWays = [...]string{"silent", "talking", "with leases", "some deaf", "all-knowing"}

// Run plays each seed in all four ways and prints the means, paired by seed.
func (c labTalk) Run() error {
	spec, seeds, err := c.load()
	if err != nil {
		return err
	}
	if c.Nodes > 0 {
		if spec, err = spec.With("fleet.nodes", strconv.Itoa(c.Nodes)); err != nil {
			return err
		}
	}
	results := make([][len(talkWays)]*model.Result, len(seeds))
	counts := make([][len(talkWays)]talk.Count, len(seeds))
	packets := make([]float64, len(seeds))
	side := make(chan struct{}, max(c.workers(), 1))
	var all sync.WaitGroup
	for i, seed := range seeds {
		for way := range talkWays {
			side <- struct{}{}
			all.Go(func() {
				defer func() { <-side }()
				o := spec.Options(seed)
				talks := &talk.Talk{Loss: c.Loss}
				count := &talks.Count
				switch o.Beside = talks; way {
				case 0:
					silent := &talk.Silent{}
					o.Beside, count = silent, &silent.Count
				case 2:
					talks.Leases = true
				case 3:
					talks.Deaf = c.Deaf
				case 4:
					oracle := &talk.Oracle{}
					o.Beside, count = oracle, &oracle.Count
				}
				day := spec.Draw(seed)
				results[i][way] = day.Play(o)
				counts[i][way] = *count
				if way == 1 {
					packets[i] = float64(talks.Packets) / float64(len(day.Nodes)) / (day.Length.Seconds() + 75)
				}
			})
		}
	}
	all.Wait()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tservice\tagainst silent\t95%\tworth\tin time\trefusals\tcalls turned away\tcalls\tcold\tfell\tbroken\ttrials/s\twatches\t")
	for way, name := range talkWays {
		var service, worth, timely, refusals, over, calls, cold, fell, broken float64
		var pairs []float64
		var trials, out, watches float64
		n := float64(len(seeds))
		for i, r := range results {
			one := r[way]
			trials, out, watches = trials+counts[i][way].Trials, out+counts[i][way].Out, watches+counts[i][way].Watches/n
			service, worth, timely = service+one.Service/n, worth+one.Worth/n, timely+one.InTime/n
			refusals, over, calls = refusals+one.Refusals/n, over+one.Over/n, calls+one.Calls/n
			cold, fell, broken = max(cold, one.Cold), fell+float64(one.Fell), broken+float64(len(one.Broken))
			pairs = append(pairs, one.Service-r[0].Service)
		}
		mean, half := experiment.Interval(pairs)
		fmt.Fprintf(w, "%s\t%.3f\t%+.4f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", name, service, mean, half, worth, timely, refusals, over, calls, cold, fell, broken, trials/max(out, 1e-9), watches)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	mean := 0.0
	for _, p := range packets {
		mean += p / float64(len(seeds))
	}
	fmt.Printf("%d seeds; %.1f packets a second a node\n", len(seeds), mean)
	return nil
}
