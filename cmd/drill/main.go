// Command drill hosts instances of the decision module on the simulator's wire: batches of events come on
// standard input, one reply a batch goes to standard output. Instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// host keeps what one process knows: its instances, and the lists by number.
type host struct {
	nodes map[string]*choice.Sender
	lists map[int][]choice.Entry
	out   *bufio.Writer
}

func newHost(out io.Writer) *host {
	return &host{
		nodes: map[string]*choice.Sender{}, lists: map[int][]choice.Entry{}, out: bufio.NewWriter(out),
	}
}

// turn gathers the events of one batch, each instance's together, instances in order of appearance.
type turn struct {
	now    time.Duration
	order  []string
	events map[string][]choice.Event
}

func run(in io.Reader, out io.Writer) error {
	h := newHost(out)
	r := bufio.NewReaderSize(in, 1<<20)
	var t *turn
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if len(text) > 0 && text[0] != '\n' {
			var fail error
			if t, fail = h.line(t, text); fail != nil {
				return fmt.Errorf("line %d: %w", n, fail)
			}
		}
		if errors.Is(err, io.EOF) {
			if t != nil {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// line takes one line of input and returns the batch that is open after it.
func (h *host) line(t *turn, text []byte) (*turn, error) {
	l, err := wire.Parse(text)
	if err != nil {
		return t, err
	}
	if l.Type == "Turn" {
		if t != nil {
			return t, errors.New("Turn inside a batch")
		}
		return &turn{now: wire.Time(l.SimTime), events: map[string][]choice.Event{}}, nil
	}
	if t == nil {
		return t, fmt.Errorf("%s outside a batch", l.Type)
	}
	switch l.Type {
	case "YourTurn":
		for _, node := range t.order {
			if h.nodes[node] != nil {
				if err := h.step(t.now, node, t.events[node]); err != nil {
					return t, err
				}
			}
		}
		if _, err := fmt.Fprintln(h.out, wire.Done); err != nil {
			return t, err
		}
		return nil, h.out.Flush()
	case "Manifest":
		entries, err := wire.Entries(l.Records)
		if err != nil {
			return t, fmt.Errorf("Manifest %d: %w", l.Slot, err)
		}
		h.lists[l.Slot] = entries
		return t, nil
	case "Born":
		settings, err := wire.Settings(l.Conf)
		if err != nil {
			return t, fmt.Errorf("Born %s: %w", l.Node, err)
		}
		seed, err := strconv.ParseUint(l.Nonce.String(), 10, 64)
		if err != nil {
			signed, serr := strconv.ParseInt(l.Nonce.String(), 10, 64)
			if serr != nil {
				return t, fmt.Errorf("Born %s: nonce64: %w", l.Node, err)
			}
			seed = uint64(signed)
		}
		h.nodes[l.Node] = choice.New(settings, seed)
		t.reset(l.Node)
		return t, nil
	case "Down":
		if h.nodes[l.Node] == nil {
			return t, fmt.Errorf("Down for %q, which was never born", l.Node)
		}
		delete(h.nodes, l.Node)
		t.reset(l.Node)
		return t, nil
	}
	if h.nodes[l.Node] == nil {
		return t, fmt.Errorf("%s for %q, which was never born", l.Type, l.Node)
	}
	ev, err := wire.Event(l, h.lists)
	if err != nil {
		return t, fmt.Errorf("%s for %q: %w", l.Type, l.Node, err)
	}
	if ev != nil {
		t.add(l.Node, ev)
	}
	return t, nil
}

func (t *turn) add(node string, ev choice.Event) {
	if _, ok := t.events[node]; !ok {
		t.order = append(t.order, node)
	}
	t.events[node] = append(t.events[node], ev)
}

// reset forgets what an earlier life of the instance was told in this batch; it has its turn all the same.
func (t *turn) reset(node string) {
	if _, ok := t.events[node]; !ok {
		t.order = append(t.order, node)
	}
	t.events[node] = nil
}

// step runs one instance and writes its actions; a panic becomes a Broken line.
func (h *host) step(now time.Duration, node string, events []choice.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			_, err = fmt.Fprintf(h.out, "%s\n", wire.Broken(node, fmt.Sprint(p)))
		}
	}()
	for _, a := range h.nodes[node].Step(now, events) {
		b, err := wire.Action(node, a)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(h.out, "%s\n", b); err != nil {
			return err
		}
	}
	return nil
}
