package days

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"starlingusher/choice"
	"starlingusher/lab/model"
)

// With is the spec with one value of its file changed, or added. The path names keys with points between them, and members of
// lists by their name or number: load, fleet.slots, partners.large.limit.headroom, troubles.0.for. The value is as a file
// has it. What comes out has been checked as a file is.
func (s *Spec) With(path, value string) (*Spec, error) {
	if name, ok := strings.CutPrefix(path, TunedPrefix); ok {
		return s.withTuned(name, value)
	}
	var v yaml.Node
	if err := yaml.Unmarshal([]byte(value), &v); err != nil || len(v.Content) != 1 {
		return nil, fmt.Errorf("%q is no value", value)
	}
	root := clone(s.root)
	drop(root.Content[0], "factors")
	if err := set(root.Content[0], strings.Split(path, "."), v.Content[0]); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	changed, problems := decode(root)
	if len(problems) > 0 {
		return nil, errors.New(problems[0].Text)
	}
	changed.tuned = s.tuned
	return changed, nil
}

// TunedPrefix begins the paths of tuned values: choice.gate-upper.
const TunedPrefix = "choice."

func (s *Spec) withTuned(name, value string) (*Spec, error) {
	v, err := strconv.ParseFloat(value, 64)
	if d, wrong := time.ParseDuration(value); err != nil && wrong == nil {
		v, err = d.Seconds(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("%q is no number and no duration", value)
	}
	changed := *s
	if changed.tuned = maps.Clone(s.tuned); changed.tuned == nil {
		changed.tuned = map[string]float64{}
	}
	changed.tuned[name] = v
	err = choice.CheckTuned(changed.tuned)
	return &changed, err
}

// Tuned are the tuned values that differ from the program's, by name, durations in seconds.
func (s *Spec) Tuned() map[string]float64 { return s.tuned }

// Options are how the day of a seed is played.
func (s *Spec) Options(seed uint64) model.Options {
	o := model.Options{Seed: seed}
	if len(s.tuned) > 0 {
		o.New = func(cfg choice.Settings, seed uint64) model.Decider { return choice.NewTuned(cfg, seed, s.tuned) }
	}
	return o
}

// Arm is a spec with one level of each of its factors.
type Arm struct {
	Name string // path=level, for each factor; the spec's own without factors
	Spec *Spec
}

// Arms are all combinations of the levels of the file's factors.
func (s *Spec) Arms() ([]Arm, error) {
	all := []Arm{{Spec: s}}
	for _, f := range s.Factors {
		var next []Arm
		for _, a := range all {
			for _, level := range f.Levels {
				with, err := a.Spec.With(f.Name, level)
				if err != nil {
					return nil, fmt.Errorf("factors.%s: %w", f.Name, err)
				}
				next = append(next, Arm{strings.TrimPrefix(a.Name+", "+f.Name+"="+level, ", "), with})
			}
		}
		all = next
	}
	if len(s.Factors) == 0 {
		all[0].Name = s.Name
	}
	return all, nil
}

// Text is the spec as a file.
func (s *Spec) Text() ([]byte, error) { return yaml.Marshal(s.root) }

func clone(n *yaml.Node) *yaml.Node {
	c := *n
	c.Content = nil
	for _, m := range n.Content {
		c.Content = append(c.Content, clone(m))
	}
	return &c
}

func drop(n *yaml.Node, key string) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			n.Content = slices.Delete(n.Content, i, i+2)
			return
		}
	}
}

// set puts a value where a path leads, and makes mappings on the way.
func set(n *yaml.Node, path []string, v *yaml.Node) error {
	key := path[0]
	var at *yaml.Node
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == key {
				at = n.Content[i+1]
			}
		}
		if at == nil {
			at = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: n.Line}
			n.Content = append(n.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: key, Line: n.Line}, at)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			if named(c) == key || strconv.Itoa(i) == key {
				at = c
			}
		}
		if at == nil {
			return fmt.Errorf("there is no %q", key)
		}
	default:
		return fmt.Errorf("%q leads into a plain value", key)
	}
	if len(path) > 1 {
		return set(at, path[1:], v)
	}
	line := at.Line
	*at = *clone(v)
	at.Line = line
	return nil
}

// named is a mapping's name.
func named(n *yaml.Node) string {
	for i := 0; i+1 < len(n.Content) && n.Kind == yaml.MappingNode; i += 2 {
		if n.Content[i].Value == "name" {
			return n.Content[i+1].Value
		}
	}
	return ""
}

// text is a node as a file has it, on one line.
func text(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	var all []string
	for _, c := range n.Content {
		all = append(all, text(c))
	}
	return "[" + strings.Join(all, ", ") + "]"
}
