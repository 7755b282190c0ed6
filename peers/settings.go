package peers

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"starlingusher/internal/filefault"
)

// File is the operators' file, checked.
type File struct {
	Name      string            // of this node; the configuration's if empty
	Machine   string            // that it shares with other nodes
	Zone      string            //
	Listen    string            // where others reach it
	Advertise string            // as it tells them; Listen if empty
	Seeds     []string          // addresses that are asked who is there
	Voters    []string          // names of the nodes that grant rights; an odd number of them, the same in all files
	Addresses map[string]string // where this node reaches others, by name, instead of at what they tell
	Period    time.Duration     // between two probes
	Term      time.Duration     // of a right
	Drift     float64           // longest difference of a clock's rate from true time
	Leases    *Leases           // nil where tasks of the fleet are not shared out
	Copies    *Copying          // nil where journals stand on one node alone
}

// Copying says how journals stand on further nodes.
type Copying struct {
	K       int           // how many further nodes hold what this one has promised
	Alone   bool          // go on without them where they can't be had, and say so; otherwise new messages are refused
	Inherit time.Duration // a node that is not heard for so long is inherited
	DiskMB  int           // what this node may hold for others
}

// Leases says which tasks one node does for the whole fleet.
type Leases struct {
	Term      time.Duration // of a lease; the same in all files
	Discovery string        // Fleet or Zone: one node watches discovery for all, or for those of its zone; empty: each for itself
	Trials    bool          // of a route that is out, one node's
	Duties    []Duty
}

// Whose watch of discovery serves whom.
const (
	Fleet = "fleet"
	Zone  = "zone"
)

// Duty is a task of the operators' own: a call of a URL, again and again, by one node of the fleet.
type Duty struct {
	Name   string
	URL    string
	Every  time.Duration // from the beginning of one call to the next
	Within time.Duration // the longest that a call may last
}

const (
	maxFile       = 256 << 10
	maxNames      = 4096
	maxDuties     = 64
	defaultPeriod = 500 * time.Millisecond
	defaultTerm   = 3 * time.Second
	defaultDrift  = 0.01
	// Longer than a node takes to be started again.
	defaultInherit = 10 * time.Second
	defaultHeldMB  = 64
)

// entry is a value with its line.
type entry[T any] struct {
	V    T
	Line int
}

// UnmarshalYAML notes the line.
func (e *entry[T]) UnmarshalYAML(n *yaml.Node) error {
	e.Line = n.Line
	if err := n.Decode(&e.V); err != nil {
		return fmt.Errorf("line %d: %q is not of the kind that is expected here", n.Line, n.Value)
	}
	return nil
}

type fileForm struct {
	Name      entry[string]            `yaml:"name"`
	Machine   entry[string]            `yaml:"machine"`
	Zone      entry[string]            `yaml:"zone"`
	Listen    entry[string]            `yaml:"listen"`
	Advertise entry[string]            `yaml:"advertise"`
	Seeds     []entry[string]          `yaml:"seeds"`
	Voters    []entry[string]          `yaml:"voters"`
	Addresses map[string]entry[string] `yaml:"addresses"`
	Period    entry[string]            `yaml:"period"`
	Term      entry[string]            `yaml:"term"`
	Drift     entry[float64]           `yaml:"drift"`
	Leases    *leasesForm              `yaml:"leases"`
	Copies    *copiesForm              `yaml:"copies"`
}

type copiesForm struct {
	K       entry[int]    `yaml:"k"`
	Without entry[string] `yaml:"without"`
	Inherit entry[string] `yaml:"inherit"`
	DiskMB  entry[int]    `yaml:"diskMB"`
}

type leasesForm struct {
	Term      entry[string] `yaml:"term"`
	Discovery entry[string] `yaml:"discovery"`
	Trials    entry[bool]   `yaml:"trials"`
	Duties    []struct {
		Name   entry[string] `yaml:"name"`
		URL    entry[string] `yaml:"url"`
		Every  entry[string] `yaml:"every"`
		Within entry[string] `yaml:"within"`
	} `yaml:"duties"`
}

// Load reads a file. One with any problem is refused whole, by a *filefault.FileError with all of them.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return Parse(path, text)
}

// Parse is Load of a text.
func Parse(path string, text []byte) (*File, error) {
	var p parser
	f := p.file(text)
	if len(p.problems) > 0 {
		return nil, filefault.New(path, p.problems)
	}
	return f, nil
}

type parser struct{ problems []filefault.Problem }

func (p *parser) fail(line int, format string, args ...any) {
	p.problems = append(p.problems, filefault.Problem{Line: max(line, 1), Text: fmt.Sprintf(format, args...)})
}

func (p *parser) file(text []byte) *File {
	var form fileForm
	if p.problems = filefault.DecodeYAML(text, maxFile, &form); len(p.problems) > 0 {
		return nil
	}
	f := &File{
		Name: p.name(form.Name, "name", true), Machine: p.name(form.Machine, "machine", true), Zone: p.name(form.Zone, "zone", true),
		Listen: p.address(form.Listen, "listen"), Advertise: form.Advertise.V, Addresses: map[string]string{},
		Period: p.span(form.Period, "period", defaultPeriod, 20*time.Millisecond, time.Minute),
		Term:   p.span(form.Term, "term", defaultTerm, 100*time.Millisecond, time.Hour),
		Drift:  defaultDrift,
	}
	if form.Advertise.V != "" {
		p.address(form.Advertise, "advertise")
	} else {
		f.Advertise = f.Listen
	}
	if form.Drift.Line > 0 {
		if f.Drift = form.Drift.V; !(f.Drift >= 0 && f.Drift <= 0.5) {
			p.fail(form.Drift.Line, "drift %v: a share between 0 and 0.5", f.Drift)
		}
	}
	for _, s := range form.Seeds {
		f.Seeds = append(f.Seeds, p.address(s, "seeds"))
	}
	for _, v := range form.Voters {
		name := p.name(v, "voters", false)
		if slices.Contains(f.Voters, name) {
			p.fail(v.Line, "voter %q stands twice", name)
		}
		f.Voters = append(f.Voters, name)
	}
	switch {
	case len(f.Voters) == 0:
		p.fail(1, "voters are missing: the names of 3 or 5 nodes, the same in the files of all")
	case len(f.Voters)%2 == 0:
		p.fail(form.Voters[0].Line, "%d voters: an odd number of them", len(f.Voters))
	}
	if len(f.Seeds) > maxNames || len(f.Voters) > 9 || len(form.Addresses) > maxNames {
		p.fail(1, "%d seeds, %d voters, %d addresses: %d, 9 and %d at most", len(f.Seeds), len(f.Voters), len(form.Addresses), maxNames, maxNames)
	}
	for name, a := range form.Addresses {
		f.Addresses[name] = p.address(a, "addresses")
	}
	if form.Leases != nil {
		f.Leases = p.leases(form.Leases, f)
	}
	if form.Copies != nil {
		f.Copies = p.copies(form.Copies, f)
	}
	return f
}

func (p *parser) copies(form *copiesForm, f *File) *Copying {
	c := &Copying{K: form.K.V, Alone: form.Without.V == "alone", Inherit: p.span(form.Inherit, "copies: inherit", defaultInherit, 100*time.Millisecond, time.Hour), DiskMB: form.DiskMB.V}
	if form.K.Line == 0 {
		c.K = 1
	}
	if c.K < 1 || c.K > 4 {
		p.fail(form.K.Line, "copies: k %d: 1 to 4 further nodes", c.K)
	}
	if w := form.Without; w.V != "" && w.V != "alone" && w.V != "refuse" {
		p.fail(w.Line, "copies: without %q: refuse or alone", w.V)
	}
	if form.DiskMB.Line == 0 {
		c.DiskMB = defaultHeldMB
	} else if c.DiskMB < 1 || c.DiskMB > 1<<20 {
		p.fail(form.DiskMB.Line, "copies: diskMB %d: at least 1", c.DiskMB)
	}
	if f.Leases == nil {
		p.fail(max(form.K.Line, form.Without.Line, form.Inherit.Line), "copies need leases: the part leases is missing")
	}
	return c
}

func (p *parser) leases(form *leasesForm, f *File) *Leases {
	l := &Leases{Term: p.span(form.Term, "leases: term", defaultTerm, 200*time.Millisecond, time.Hour), Discovery: form.Discovery.V, Trials: form.Trials.V}
	switch l.Discovery {
	case "", Fleet:
	case Zone:
		if f.Zone == "" {
			p.fail(form.Discovery.Line, "discovery %q: this node's zone is not given", l.Discovery)
		}
	default:
		p.fail(form.Discovery.Line, "discovery %q: %q or %q", l.Discovery, Fleet, Zone)
	}
	if f.Listen == "" && slices.Contains(f.Voters, f.Name) {
		p.fail(1, "a voter has to listen")
	}
	if len(form.Duties) > maxDuties {
		p.fail(form.Duties[maxDuties].Name.Line, "%d duties, %d at most", len(form.Duties), maxDuties)
	}
	names := map[string]bool{}
	for _, d := range form.Duties {
		duty := Duty{Name: p.name(d.Name, "duty", false), URL: d.URL.V, Every: p.span(d.Every, "every", 0, 10*time.Millisecond, 24*time.Hour)}
		duty.Within = p.span(d.Within, "within", l.Term/4, time.Millisecond, l.Term/2)
		if u, err := url.Parse(duty.URL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			p.fail(max(d.URL.Line, d.Name.Line), "duty %q: url %q: an http or https URL", duty.Name, duty.URL)
		}
		if duty.Every == 0 {
			p.fail(d.Name.Line, "duty %q: every is missing", duty.Name)
		}
		if names[duty.Name] {
			p.fail(d.Name.Line, "duty %q stands twice", duty.Name)
		}
		names[duty.Name] = true
		l.Duties = append(l.Duties, duty)
	}
	return l
}

func (p *parser) name(v entry[string], what string, mayLack bool) string {
	bad := strings.ContainsFunc(v.V, func(r rune) bool { return r <= ' ' || r > '~' })
	if v.V == "" && mayLack {
		return ""
	}
	if v.V == "" || len(v.V) > 64 || bad {
		p.fail(v.Line, "%s %q: 1 to 64 visible ASCII characters", what, v.V)
	}
	return v.V
}

func (p *parser) address(v entry[string], what string) string {
	if v.V == "" {
		p.fail(v.Line, "%s is missing", what)
	} else if host, port, err := net.SplitHostPort(v.V); err != nil || host == "" || port == "" {
		p.fail(v.Line, "%s %q: a host and a port, as 10.0.0.4:7400", what, v.V)
	}
	return v.V
}

func (p *parser) span(v entry[string], what string, usual, least, most time.Duration) time.Duration {
	if v.V == "" {
		return usual
	}
	d, err := time.ParseDuration(v.V)
	if err != nil || d < least || d > most {
		p.fail(v.Line, "%s %q: a time from %v to %v", what, v.V, least, most)
	}
	return d
}
