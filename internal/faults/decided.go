package faults

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"starlingusher/record"
)

// decisions are when each node decided on calls, by node and number of the message, in order.
type decisions map[[2]int][]time.Time

// recordings is where a node records what it decides.
func (n *node) recordings() string { return filepath.Join(n.folder, "recordings") }

// readDecisions reads the recordings of a fleet's nodes. What a node had not yet written when it was killed is missing.
func readDecisions(folder string, nodes int) (decisions, error) {
	all := decisions{}
	for i := range nodes {
		n := node{i: i, folder: filepath.Join(folder, nodeName(i))}
		if err := all.read(n.i, n.recordings()); err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
	}
	return all, nil
}

// read adds the decisions of one node.
func (d decisions) read(node int, folder string) error {
	lives, err := record.Lives(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil // it was killed before it wrote any
	}
	if err != nil {
		return err
	}
	ids := map[string]string{} // by the names that the decisions have for messages
	for _, life := range lives {
		var zero time.Time
		err := life.Read(func(h record.Header) error {
			zero = time.Unix(0, h.Zero)
			return nil
		}, func(r record.Record) error {
			if r.Handed != nil {
				ids[r.Handed.Name] = r.Handed.ID
			}
			if r.Step == nil {
				return nil
			}
			for _, a := range r.Step.Actions {
				if a.Send == nil {
					continue
				}
				if number, ok := numberOf(ids[a.Send.ID]); ok {
					key := [2]int{node, number}
					d[key] = append(d[key], zero.Add(r.Step.Now))
				}
			}
			return nil
		})
		var damage *record.Damage
		if err != nil && !errors.As(err, &damage) {
			return err
		}
	}
	return nil
}

// numberOf is the number of a message, by its id.
func numberOf(id string) (int, bool) {
	_, text, _ := strings.Cut(id, "-")
	number, err := strconv.Atoi(text)
	return number, err == nil
}

// of is when a call that arrived was decided on: the latest decision on its message before that.
func (d decisions) of(c call) (at time.Time, known bool) {
	for _, t := range d[[2]int{c.node, c.number}] {
		if t.Before(c.at) {
			at, known = t, true
		}
	}
	return at, known
}
