package days

import (
	"bytes"
	"cmp"
	"embed"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"iter"
	"math"
	"os"
	"path"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"starlingusher/internal/filefault"
	"starlingusher/lab/model"
)

const maxFile = 1 << 20

//go:embed files/*.yaml
var embedded embed.FS

// Names are the embedded days.
func Names() []string {
	entries, err := fs.ReadDir(embedded, "files")
	if err != nil {
		return nil // the folder is part of the program
	}
	var all []string
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return all
}

// File is the text of an embedded day.
func File(name string) ([]byte, error) {
	text, err := embedded.ReadFile(path.Join("files", name+".yaml"))
	if err != nil {
		return nil, fmt.Errorf("there is no day %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return text, nil
}

// Load reads an embedded day by its name, or a file by its path.
func Load(name string) (*Spec, error) {
	text, err := File(name)
	if err != nil {
		var missing error
		if text, missing = os.ReadFile(name); missing != nil {
			return nil, fmt.Errorf("%w, and %w", err, missing)
		}
	}
	return Parse(name, text)
}

// Parse reads a file's text. Its error is a *filefault.FileError with all that is wrong, each with its line and field.
func Parse(file string, text []byte) (*Spec, error) {
	if len(text) > maxFile {
		return nil, filefault.New(file, []filefault.Problem{{Text: fmt.Sprintf("holds %d bytes, %d at most", len(text), maxFile)}})
	}
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	switch err := dec.Decode(&root); {
	case errors.Is(err, io.EOF):
		return nil, filefault.New(file, []filefault.Problem{{Text: "is empty"}})
	case err != nil:
		return nil, filefault.New(file, []filefault.Problem{filefault.Words(err.Error())})
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, filefault.New(file, []filefault.Problem{{Text: "holds more than one document"}})
	}
	s, problems := decode(&root)
	if len(problems) > 0 {
		return nil, filefault.New(file, problems)
	}
	return s, nil
}

// decode reads a document.
func decode(root *yaml.Node) (*Spec, []filefault.Problem) {
	fields := paths(root)
	s := &Spec{root: root}
	problems := unknown(root.Content[0], reflect.TypeFor[Spec](), "")
	if err := root.Decode(s); err != nil {
		problems = append(problems, located(err, fields)...)
	}
	if len(problems) == 0 {
		problems = s.check()
	}
	return s, problems
}

// unknown finds keys that no field has, and those that stand twice.
func unknown(n *yaml.Node, t reflect.Type, at string) (all []filefault.Problem) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t.Kind() == reflect.Slice && n.Kind == yaml.SequenceNode:
		for i, c := range n.Content {
			all = append(all, unknown(c, t.Elem(), fmt.Sprintf("%s[%d]", at, i))...)
		}
	case t.Kind() == reflect.Struct && n.Kind == yaml.MappingNode && !reflect.PointerTo(t).Implements(reflect.TypeFor[yaml.Unmarshaler]()):
		fields := map[string]reflect.Type{}
		var names []string
		for i := range t.NumField() {
			if name := t.Field(i).Tag.Get("yaml"); name != "" {
				fields[name] = t.Field(i).Type
				names = append(names, name)
			}
		}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			where := strings.TrimPrefix(at+"."+key.Value, ".")
			if f, ok := fields[key.Value]; ok {
				all = append(all, unknown(n.Content[i+1], f, where)...)
			} else {
				all = append(all, filefault.Problem{Line: key.Line, Text: fmt.Sprintf("%s: no such key; there are %s", where, strings.Join(names, ", "))})
			}
		}
	}
	return all
}

// located turns an error of yaml into problems with their lines and fields.
func located(err error, fields map[int]string) (all []filefault.Problem) {
	lines := strings.Split(err.Error(), "\n")
	var te *yaml.TypeError
	if errors.As(err, &te) {
		lines = te.Errors
	}
	for _, l := range lines {
		p := filefault.Words(strings.TrimSpace(l))
		if f := fields[p.Line]; f != "" {
			p.Text = f + ": " + p.Text
		}
		all = append(all, p)
	}
	return all
}

// paths maps lines to the keys that stand there, the innermost.
func paths(n *yaml.Node) map[int]string {
	all := map[int]string{}
	var walk func(n *yaml.Node, at string)
	walk = func(n *yaml.Node, at string) {
		switch n.Kind {
		case yaml.DocumentNode:
			for _, c := range n.Content {
				walk(c, at)
			}
		case yaml.MappingNode:
			for i := 0; i+1 < len(n.Content); i += 2 {
				key := strings.TrimPrefix(at+"."+n.Content[i].Value, ".")
				if _, ok := all[n.Content[i].Line]; !ok || n.Style&yaml.FlowStyle == 0 {
					all[n.Content[i].Line] = key
				}
				walk(n.Content[i+1], key)
			}
		case yaml.SequenceNode:
			for i, c := range n.Content {
				walk(c, fmt.Sprintf("%s[%d]", at, i))
			}
		}
	}
	walk(n, "")
	return all
}

// typeError is an error that yaml collects, so that all are told at once.
func typeError(format string, args ...any) error {
	return &yaml.TypeError{Errors: []string{fmt.Sprintf(format, args...)}}
}

// ends reads a value or a list of two in order.
func ends[T cmp.Ordered](n *yaml.Node, what string, read func(*yaml.Node) (T, error)) (lo, hi T, err error) {
	switch {
	case n.Kind == yaml.ScalarNode:
		lo, err = read(n)
		return lo, lo, err
	case n.Kind == yaml.SequenceNode && len(n.Content) == 2:
		if lo, err = read(n.Content[0]); err != nil {
			return lo, hi, err
		}
		if hi, err = read(n.Content[1]); err == nil && lo > hi {
			err = typeError("line %d: the range [%v, %v] has its ends in the wrong order", n.Line, lo, hi)
		}
		return lo, hi, err
	}
	return lo, hi, typeError("line %d: a %s, or a list of two, is wanted", n.Line, what)
}

// UnmarshalYAML reads a number or a list of two.
func (r *Range) UnmarshalYAML(n *yaml.Node) (err error) {
	r.Set, r.line = true, n.Line
	r.Lo, r.Hi, err = ends(n, "number", func(n *yaml.Node) (x float64, err error) {
		if err := n.Decode(&x); err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return 0, typeError("line %d: %q is no number", n.Line, n.Value)
		}
		if x < 0 {
			return 0, typeError("line %d: %s is below 0", n.Line, n.Value)
		}
		return x, nil
	})
	return err
}

// UnmarshalYAML reads a duration or a list of two.
func (s *Span) UnmarshalYAML(n *yaml.Node) (err error) {
	s.Set, s.line = true, n.Line
	s.Lo, s.Hi, err = ends(n, "duration", func(n *yaml.Node) (time.Duration, error) {
		d, err := time.ParseDuration(n.Value)
		switch {
		case err != nil && (n.Tag == "!!int" || n.Tag == "!!float"):
			return 0, typeError("line %d: %s has no unit: 250ms, 5s, 2m", n.Line, n.Value)
		case err != nil:
			return 0, typeError("line %d: %q is no duration: 250ms, 5s, 2m", n.Line, n.Value)
		case d < 0:
			return 0, typeError("line %d: %s is below 0", n.Line, n.Value)
		}
		return d, nil
	})
	return err
}

// or is the range, or a default.
func (r Range) or(lo, hi float64) Range {
	if !r.Set {
		return Range{Lo: lo, Hi: hi, line: r.line}
	}
	return r
}

func (s Span) or(d time.Duration) Span {
	if !s.Set {
		return Span{Lo: d, Hi: d, line: s.line}
	}
	return s
}

// check finds contradictions and what is out of bounds.
func (s *Spec) check() (all []filefault.Problem) {
	bad := func(line int, field, format string, args ...any) {
		all = append(all, filefault.Problem{Line: max(line, 1), Text: field + ": " + fmt.Sprintf(format, args...)})
	}
	bound := func(field string, r Range, lo, hi float64) {
		if r.Set && (r.Lo < lo || r.Hi > hi) {
			bad(r.line, field, "%g to %g is not within %g to %g", r.Lo, r.Hi, lo, hi)
		}
	}
	if s.Name == "" {
		bad(1, "name", "is missing")
	}
	if s.Length.Set && (s.Length.Lo < time.Second || s.Length.Hi > 24*time.Hour) {
		bad(s.Length.line, "length", "%v to %v is not within 1s to 24h", s.Length.Lo, s.Length.Hi)
	}
	bound("fleet.nodes", s.Fleet.Nodes, 1, 10_000)
	bound("traffic", s.Traffic, 0.01, 1e6)
	bound("load", s.Load, 0.01, 100)
	bound("zipf", s.Zipf, 0, 5)
	bound("network.jitter", s.Net.Jitter, 0, 1)
	bound("clients.retries", s.Clients.Retries, 0, 15)
	bound("rules.attempts", s.Rules.Attempts, 1, 100)
	bound("rules.cold-from", s.Rules.ColdFrom, 0.01, 1)
	bound("rules.fall", s.Rules.Multiple, 0.1, 100)
	if !s.Traffic.Set {
		bad(1, "traffic", "is missing: messages a second at load 1")
	}
	if len(s.Classes) == 0 {
		bad(1, "classes", "there is none")
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		line := max(c.Aim.line, c.Life.line, c.Share.line, 1)
		switch {
		case !c.Aim.Set || !c.Life.Set:
			bad(line, at, "aim and deadline are wanted")
		case c.Aim.Hi > c.Life.Lo:
			bad(c.Life.line, at+".deadline", "it may come before the aim, %v", c.Aim.Hi)
		}
		bound(at+".late", c.Late, 0, 1)
		switch c.Effect {
		case "safe", "unsafe":
			if c.Window.Set {
				bad(c.Window.line, at+".window", "only keyed classes have one")
			}
		case "keyed":
			if !c.Window.Set || c.Window.Lo <= 0 {
				bad(line, at+".window", "a keyed class needs one")
			}
		default:
			bad(line, at+".effect", "%q is none of safe, keyed, unsafe", c.Effect)
		}
	}
	names := map[string]bool{}
	shares := 0.0
	if len(s.Partners) == 0 {
		bad(1, "partners", "there are none")
	}
	for i, p := range s.Partners {
		at := fmt.Sprintf("partners[%d]", i)
		line := max(p.Count.line, 1)
		if p.Name == "" || names[p.Name] {
			bad(line, at+".name", "%q is missing, or stands twice", p.Name)
		}
		names[p.Name] = true
		if !p.Count.Set || p.Count.Lo < 1 || p.Count.Hi > 1_000_000 {
			bad(line, at+".count", "1 to 1000000 are wanted")
		}
		if !slices.Contains([]string{"", "lognormal", "exponential", "uniform", "fixed"}, p.Law) {
			bad(line, at+".law", "%q is none of lognormal, exponential, uniform, fixed", p.Law)
		}
		if p.Service.Set && p.Service.Lo <= 0 {
			bad(p.Service.line, at+".service", "is above 0")
		}
		bound(at+".share", p.Traffic, 0, 1)
		bound(at+".clumps", p.Clumps, 0, 1)
		bound(at+".tells", p.Tells, 0, 1)
		bound(at+".spare", p.Spare, 0.05, 100)
		bound(at+".batch", p.Batch, 1, 1000)
		bound(at+".endpoints", p.Endpoints, 1, 1000)
		shares += p.Traffic.Hi
		if l := p.Limit; l != nil {
			bound(at+".limit.headroom", l.Headroom, 0.01, 1000)
			bound(at+".limit.counted", l.Counted, 0, 1)
			bound(at+".limit.noise", l.Noise, 0, 1)
			if l.Window.Set && l.Window.Hi > 0 && (l.Depth.Set || l.Debt.Set) {
				bad(l.Window.line, at+".limit.window", "a count in spans has no depth and no debt")
			}
		}
	}
	if shares > 1+1e-9 {
		bad(1, "partners", "their shares may sum up to %g of the traffic", shares)
	}
	for i, t := range s.Troubles {
		all = append(all, t.check(fmt.Sprintf("troubles[%d]", i), names)...)
	}
	for _, f := range s.Factors {
		if len(f.Levels) < 2 {
			bad(f.line, "factors."+f.Name, "two levels and more are wanted")
		}
		for _, level := range f.Levels {
			if _, err := s.With(f.Name, level); err != nil {
				bad(f.line, "factors."+f.Name, "%s: %v", level, err)
			}
		}
	}
	for i, m := range s.Must {
		if !slices.Contains(Measures(), m.Measure) || (m.Least == nil && m.Most == nil) {
			bad(1, fmt.Sprintf("must[%d]", i), "a measure (%s) with least or most is wanted", strings.Join(Measures(), ", "))
		}
	}
	if s.Seeds.Count < 0 || s.Seeds.Count > 100_000 {
		bad(1, "seeds.count", "%d is not within 1 to 100000", s.Seeds.Count)
	}
	return all
}

func (t Trouble) check(at string, names map[string]bool) (all []filefault.Problem) {
	line := max(t.At.line, 1)
	bad := func(field, format string, args ...any) {
		all = append(all, filefault.Problem{Line: line, Text: at + field + ": " + fmt.Sprintf(format, args...)})
	}
	ill, ok := illOf(t.Kind)
	if !ok {
		bad(".kind", "%q is none of %s", t.Kind, illNames())
		return all
	}
	if !t.At.Set || !t.For.Set {
		bad("", "at and for are wanted")
	}
	if t.Of != "" && !names[t.Of] {
		bad(".of", "there are no partners %q", t.Of)
	}
	named := 0
	for _, set := range []bool{t.Nodes.Set, t.Traffic.Set, t.Number.Set, t.Whom != nil} {
		if set {
			named++
		}
	}
	for _, i := range t.Whom {
		if i < 0 {
			bad(".whom", "%d is no number of a partner or node", i)
		}
	}
	switch ill {
	case model.Kill, model.Leave:
		if named != 1 || t.Traffic.Set || t.Number.Set || t.Of != "" {
			bad(".nodes", "it strikes nodes, and nothing else: how many, which share below 1, or whom")
		}
	case model.Stale:
	default:
		if named != 1 || t.Nodes.Set {
			bad("", "it strikes partners: their share of the traffic, how many, or whom")
		}
	}
	switch ill {
	case model.Failing, model.Tears, model.Worn, model.Spoilt, model.Lost, model.Replace, model.Silent: // shares
		if t.Size.Hi > 1 {
			bad(".size", "%g is a share above 1", t.Size.Hi)
		}
	}
	if ill != model.Silent && ill.Sized() && !t.Size.Set {
		bad(".size", "is wanted for %s", t.Kind)
	}
	if ill == model.Stalls && (!t.Every.Set || t.Every.Lo <= 0 || t.Size.Hi >= t.Every.Lo.Seconds()) {
		bad(".every", "is wanted, and longer than the stalls of size seconds")
	}
	return all
}

func illOf(name string) (model.Ill, bool) {
	for _, i := range model.Ills() {
		if i.String() == name {
			return i, true
		}
	}
	return 0, false
}

func illNames() string {
	var all []string
	for _, i := range model.Ills() {
		all = append(all, i.String())
	}
	return strings.Join(all, ", ")
}

// Measures are the names of what is measured of a day: the numbers of model.Result, as JSON has them.
func Measures() (all []string) {
	for f := range measures() {
		all = append(all, f.name)
	}
	return all
}

// measure is a number of a result.
type measure struct {
	name  string
	place int
}

func measures() iter.Seq[measure] {
	return func(yield func(measure) bool) {
		t := reflect.TypeFor[model.Result]()
		for i := range t.NumField() {
			f := t.Field(i)
			if k := f.Type.Kind(); (k == reflect.Float64 || k == reflect.Int) && !yield(measure{f.Tag.Get("json"), i}) {
				return
			}
		}
	}
}

// Measure is a result's figure by its name.
func Measure(r *model.Result, name string) (float64, error) {
	for m := range measures() {
		if m.name != name {
			continue
		}
		f := reflect.ValueOf(*r).Field(m.place)
		if f.CanInt() {
			return float64(f.Int()), nil
		}
		return f.Float(), nil
	}
	return 0, fmt.Errorf("%q is no measure; there are %s", name, strings.Join(Measures(), ", "))
}
