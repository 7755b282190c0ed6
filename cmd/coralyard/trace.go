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
	"starlingusher/record/trace"
)

type recordingTrace struct {
	ID    string   `arg:"" help:"The message's id; several, separated by commas, where its client handed it in again under another."`
	Paths []string `arg:"" help:"Folders of recordings, of all nodes or as many as there are."`
	JSON  bool     `name:"json" help:"Print JSON, a line for each entry."`
}

// Run reads all lives under the paths and prints what they tell of the message.
func (c recordingTrace) Run() error {
	t := trace.New(strings.Split(c.ID, ",")...)
	if err := eachLife(c.Paths, t.Read); err != nil {
		return err
	}
	entries := t.Entries()
	switch {
	case len(entries) == 0:
		return errors.New("no recording has such a message")
	case c.JSON:
		return jsonlines.Write(os.Stdout, entries)
	}
	return tellTrace(os.Stdout, entries)
}

func tellTrace(w io.Writer, all []trace.Entry) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "at\tafter\tnode\tlife\tid\twhat\tattempt\tendpoint\ttook\t")
	for _, e := range all {
		attempt, took := "", ""
		if e.Attempt > 0 {
			attempt = fmt.Sprint(e.Attempt)
		}
		if e.Took > 0 {
			took = short(e.Took)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", time.Unix(0, e.At).UTC().Format("15:04:05.000"),
			short(time.Duration(e.At-all[0].At)), e.Node, e.Life, e.ID, e.What, attempt, e.Endpoint, took, e.Detail)
	}
	return t.Flush()
}
