package rules

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // a node may have no data of its own

	"go.yaml.in/yaml/v3"

	"starlingusher/internal/filefault"
)

const (
	maxFile  = 256 << 10
	maxRules = 1000
	maxTries = 100
	longest  = 90 * 24 * time.Hour // of any duration in a file

	leastMB, mostMB, defaultMB = 1, 16 << 10, 64
	defaultAge                 = 30 * 24 * time.Hour
)

// FileError lists all the problems of a file.
type FileError = filefault.FileError

// Parse reads a rules file: YAML with the keys zone, max-mb, max-age and rules. A file with any problem is refused whole, by a
// *FileError with all of them. classes are those of the node.
func Parse(file string, text []byte, classes []Class) (*Set, error) {
	p := &parser{classes: classes}
	set := p.file(text)
	if len(p.problems) > 0 {
		return nil, filefault.New(file, p.problems)
	}
	return set, nil
}

type parser struct {
	classes  []Class
	problems []filefault.Problem
}

func (p *parser) fail(n *yaml.Node, format string, args ...any) {
	p.problems = append(p.problems, filefault.Problem{Line: n.Line, Text: fmt.Sprintf(format, args...)})
}

func (p *parser) file(text []byte) *Set {
	set := &Set{Zone: time.UTC, MaxBytes: defaultMB << 20, MaxAge: defaultAge}
	if len(text) > maxFile {
		p.problems = append(p.problems, filefault.Problem{Text: fmt.Sprintf("holds %d bytes, %d at most", len(text), maxFile)})
		return nil
	}
	var doc yaml.Node
	decoder := yaml.NewDecoder(strings.NewReader(string(text)))
	switch err := decoder.Decode(&doc); {
	case errors.Is(err, io.EOF):
		p.problems = append(p.problems, filefault.Problem{Text: "is empty; a file without rules has the line rules: []"})
		return nil
	case err != nil:
		p.problems = append(p.problems, filefault.Words(err.Error()))
		return nil
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		p.problems = append(p.problems, filefault.Problem{Text: "holds more than one document"})
		return nil
	}
	fields := p.mapping(doc.Content[0], "the file")
	seen := false
	for _, f := range fields {
		switch f.key.Value {
		case "zone":
			zone, err := time.LoadLocation(f.value.Value)
			if err != nil || f.value.Kind != yaml.ScalarNode || f.value.Value == "Local" {
				p.fail(f.value, "zone: %q is no time zone, as Europe/Istanbul is one", f.value.Value)
				continue
			}
			set.Zone = zone
		case "max-mb":
			set.MaxBytes = int64(p.number(f, leastMB, mostMB)) << 20
		case "max-age":
			set.MaxAge = p.duration(f)
		case "rules":
			seen = true
			set.Rules = p.rules(f.value)
		default:
			p.fail(f.key, "unknown key %q: zone, max-mb, max-age and rules are known", f.key.Value)
		}
	}
	if !seen && len(p.problems) == 0 {
		p.fail(doc.Content[0], "rules are missing; a file without any has the line rules: []")
	}
	return set
}

type field struct{ key, value *yaml.Node }

// mapping returns the fields of a mapping. Aliases are refused: a file of rules has no use for what can grow so.
func (p *parser) mapping(n *yaml.Node, what string) []field {
	if n.Kind != yaml.MappingNode {
		p.fail(n, "%s has to be a mapping of keys to values", what)
		return nil
	}
	var fields []field
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if slices.ContainsFunc(fields, func(f field) bool { return f.key.Value == key.Value }) {
			p.fail(key, "%q stands twice", key.Value)
			continue
		}
		if value.Kind == yaml.AliasNode || key.Kind != yaml.ScalarNode {
			p.fail(key, "neither aliases nor keys that are no words are read")
			continue
		}
		fields = append(fields, field{key, value})
	}
	return fields
}

func (p *parser) list(f field) []*yaml.Node {
	if f.value.Kind != yaml.SequenceNode || len(f.value.Content) == 0 {
		p.fail(f.value, "%s: has to be a list with something in it", f.key.Value)
		return nil
	}
	var items []*yaml.Node
	for _, n := range f.value.Content {
		if n.Kind != yaml.ScalarNode {
			p.fail(n, "%s: holds something else than words", f.key.Value)
			continue
		}
		items = append(items, n)
	}
	return items
}

func (p *parser) duration(f field) time.Duration {
	d, err := time.ParseDuration(f.value.Value)
	if f.value.Kind != yaml.ScalarNode || err != nil || d <= 0 || d > longest {
		p.fail(f.value, "%s: %q is no duration above 0 and up to 90 days, as 30s or 6h are", f.key.Value, f.value.Value)
		return 0
	}
	return d
}

func (p *parser) number(f field, least, most int) int {
	n, err := strconv.Atoi(f.value.Value)
	if f.value.Kind != yaml.ScalarNode || err != nil || n < least || n > most {
		p.fail(f.value, "%s: %q is no whole number from %d to %d", f.key.Value, f.value.Value, least, most)
		return 0
	}
	return n
}

func (p *parser) rules(n *yaml.Node) []Rule {
	if n.Kind != yaml.SequenceNode {
		p.fail(n, "rules: has to be a list")
		return nil
	}
	if len(n.Content) > maxRules {
		p.fail(n, "rules: %d of them, %d at most", len(n.Content), maxRules)
		return nil
	}
	rules := make([]Rule, 0, len(n.Content))
	for _, item := range n.Content {
		faults := len(p.problems)
		r := p.rule(item)
		if len(p.problems) > faults {
			continue // what it takes is not sure
		}
		for _, before := range rules {
			if before.covers(&r) {
				p.fail(item, "the rule is never reached: the one of line %d takes all that it takes", before.Line)
				break
			}
		}
		rules = append(rules, r)
	}
	return rules
}

// covers tells that whatever fits o fits r as well.
func (r *Rule) covers(o *Rule) bool {
	return within(o.Classes, r.Classes) && within(o.Destinations, r.Destinations) && within(o.Reasons, r.Reasons) &&
		(r.MaxAttempts == 0 || (o.MaxAttempts > 0 && o.MaxAttempts <= r.MaxAttempts))
}

// within tells that all that the list some allows is allowed by the list all; an empty list allows everything.
func within[T comparable](some, all []T) bool {
	if len(all) == 0 {
		return true
	}
	for _, v := range some {
		if !slices.Contains(all, v) {
			return false
		}
	}
	return len(some) > 0
}

func (p *parser) rule(n *yaml.Node) Rule {
	r := Rule{Line: n.Line}
	before := len(p.problems)
	ways := "" // the first key that speaks of resends
	for _, f := range p.mapping(n, "a rule") {
		switch f.key.Value {
		case "pause", "pace", "tries", "max-age", "quiet":
			if ways == "" {
				ways = f.key.Value
			}
		}
		switch f.key.Value {
		case "classes":
			for _, item := range p.list(f) {
				if !slices.ContainsFunc(p.classes, func(c Class) bool { return c.Name == item.Value }) {
					p.fail(item, "classes: unknown class %q", item.Value)
				}
				r.Classes = append(r.Classes, item.Value)
			}
		case "destinations":
			for _, item := range p.list(f) {
				r.Destinations = append(r.Destinations, p.number(field{f.key, item}, 0, 1<<30))
			}
		case "reasons":
			for _, item := range p.list(f) {
				if !slices.Contains(reasons, Reason(item.Value)) {
					p.fail(item, "reasons: unknown reason %q; known are %v", item.Value, reasons)
				}
				r.Reasons = append(r.Reasons, Reason(item.Value))
			}
		case "max-attempts":
			r.MaxAttempts = p.number(f, 1, 1<<20)
		case "max-age":
			r.MaxAge = p.duration(f)
		case "pause":
			r.Pause = p.duration(f)
		case "pace":
			r.Pace = p.duration(f)
		case "tries":
			r.Tries = p.number(f, 1, maxTries)
		case "quiet":
			for _, item := range p.list(f) {
				r.Quiet = append(r.Quiet, p.span(item))
			}
		case "hold":
			if f.value.Kind != yaml.ScalarNode || (f.value.Value != "true" && f.value.Value != "false") {
				p.fail(f.value, "hold: %q is neither true nor false", f.value.Value)
			}
			r.Hold = f.value.Value == "true"
		default:
			p.fail(f.key, "unknown key %q in a rule", f.key.Value)
		}
	}
	if len(p.problems) > before {
		return r
	}
	p.contradictions(n, &r, ways)
	return r
}

// contradictions looks for rules that can't mean what they say.
func (p *parser) contradictions(n *yaml.Node, r *Rule, ways string) {
	switch {
	case r.Hold && ways != "":
		p.fail(n, "the rule holds for a person, and so %s has no use", ways)
		return
	case r.Hold:
		return
	case r.Tries == 0:
		p.fail(n, "the rule needs tries, or hold: true")
	case r.Pause == 0:
		p.fail(n, "the rule needs a pause")
	case r.MaxAge > 0 && r.MaxAge <= r.Pause:
		p.fail(n, "max-age %v is over before the pause of %v", r.MaxAge, r.Pause)
	}
	for _, c := range p.classes {
		if slices.Contains(r.Classes, c.Name) && c.Window > 0 && r.Pause >= c.Window-windowMargin {
			p.fail(n, "class %s: its window of %v is over before the pause of %v", c.Name, c.Window, r.Pause)
		}
	}
	if len(r.Quiet) > 0 && !leavesTime(r.Quiet) {
		p.fail(n, "the quiet hours leave no minute of the day")
	}
}

func leavesTime(quiet []Span) bool {
	for m := range 24 * 60 {
		at := time.Date(2000, 1, 1, m/60, m%60, 0, 0, time.UTC)
		if !slices.ContainsFunc(quiet, func(q Span) bool { return q.holds(at) }) {
			return true
		}
	}
	return false
}

// span reads "23:00-07:30".
func (p *parser) span(n *yaml.Node) Span {
	from, to, ok := strings.Cut(n.Value, "-")
	var s Span
	var err error
	if s.From, err = clock(from); err == nil {
		s.To, err = clock(to)
	}
	if !ok || err != nil || s.From == s.To {
		p.fail(n, "quiet: %q is no part of a day, as 23:00-07:30 is one", n.Value)
	}
	return s
}

func clock(text string) (Clock, error) {
	t, err := time.Parse("15:04", strings.TrimSpace(text))
	return Clock{t.Hour(), t.Minute()}, err
}
