// Package days reads experiments from YAML files and draws days for the emulator (lab/model) from them.
//
// A file gives a value or a range for all that a day is made of; a seed draws one day. A value is a number, a duration with its
// unit, or a list of two of them, between which it is drawn: evenly, or by their logarithms where the upper is eight times the
// lower and more. What is not in the file has the default of its field's comment. Reading is strict: a key that is not
// known, a unit that is missing, a range whose ends are in the wrong order or out of bounds are errors with file, line and field.
package days

import (
	"time"

	"go.yaml.in/yaml/v3"
)

// Spec is an experiment's file.
type Spec struct {
	Name   string `yaml:"name"`
	About  string `yaml:"about"`
	Length Span   `yaml:"length"` // of arrivals; 40s
	Fleet  Fleet  `yaml:"fleet"`
	// Traffic is messages a second at load 1, by which limits, slots and room are measured, and Load the load that comes.
	Traffic  Range      `yaml:"traffic"`
	Load     Range      `yaml:"load"`
	Net      Net        `yaml:"network"`
	Clients  Clients    `yaml:"clients"`
	List     List       `yaml:"discovery"`
	Rules    Rules      `yaml:"rules"`
	Classes  []Class    `yaml:"classes"`
	Tenants  []Tenant   `yaml:"tenants"`
	Partners []Partners `yaml:"partners"`
	Zipf     Range      `yaml:"zipf"` // how unevenly traffic spreads over the partners; 0.9
	Troubles []Trouble  `yaml:"troubles"`
	Factors  Factors    `yaml:"factors"`
	Seeds    Seeds      `yaml:"seeds"`
	Must     []Must     `yaml:"must"`

	root  *yaml.Node         // what it was read from
	tuned map[string]float64 // values of choice that are not the default
}

// Fleet is the delivery nodes.
type Fleet struct {
	Nodes      Range `yaml:"nodes"`       // 3
	Skew       Range `yaml:"skew"`        // 1.5: a node has the share u^skew of the traffic, u even in 0.15 to 1
	Slots      Range `yaml:"slots"`       // 2: times what the node's part of load 1 keeps busy
	LeastSlots Range `yaml:"least-slots"` // 4
	Hold       Span  `yaml:"hold"`        // 8s: room for so much of the node's part of load 1
	LeastHold  Range `yaml:"least-hold"`  // 16 messages
}

// Net is the network.
type Net struct {
	Way    Span  `yaml:"way"`    // 3ms, one way
	Jitter Range `yaml:"jitter"` // 0.2
}

// Clients are who hands messages in.
type Clients struct {
	Retries Range `yaml:"retries"` // 2
	Least   Span  `yaml:"least"`   // 400ms: pause before coming again
	Spread  Span  `yaml:"spread"`  // 1s: and up to so much more
}

// List is discovery.
type List struct {
	Notice   Span `yaml:"notice"`   // 2s, from a change to its telling
	Each     Span `yaml:"each"`     // 0s: time that a call takes it; 0s for a discovery that takes any number
	Patience Span `yaml:"patience"` // 2s: a caller gives up
	Backlog  Span `yaml:"backlog"`  // 4s: longer ones are turned away
	Alone    bool `yaml:"alone"`    // nodes call again as one that is alone would
}

// Rules are the settings that nodes are told.
type Rules struct {
	Attempts  Range `yaml:"attempts"`    // 12
	Again     Span  `yaml:"again"`       // 3s: the longest that a client is asked to stay away
	Halves    bool  `yaml:"halves"`      // worth halves with each further aim
	Rough     *bool `yaml:"rough"`       // true: listed rates may be half too high
	Cancel    *bool `yaml:"cancel"`      // true: calls may be called off
	FullTold  bool  `yaml:"full-told"`   // a full connection table refuses
	Idle      Span  `yaml:"idle"`        // 5s: idle connections are closed
	Drain     Span  `yaml:"drain-grace"` // 250ms
	Multiple  Range `yaml:"fall"`        // 1.5: a cold partner falls above so many times its capacity,
	Fall      Span  `yaml:"fall-within"` // 2s
	ColdFrom  Range `yaml:"cold-from"`   // 0.3
	Warm      Span  `yaml:"warm"`        // 10s
	OverShare Range `yaml:"over-share"`  // 0.05: what a message beyond its tenant's share is worth
}

// Class is a class of messages.
type Class struct {
	Name    string `yaml:"name"`
	Share   Range  `yaml:"share"` // 1
	Aim     Span   `yaml:"aim"`
	Life    Span   `yaml:"deadline"`
	Worth   Range  `yaml:"worth"`   // 1
	Late    Range  `yaml:"late"`    // 0.3, share of the worth at the deadline
	Effect  string `yaml:"effect"`  // safe, keyed or unsafe
	Window  Span   `yaml:"window"`  // keyed: repeats are dropped for so long
	Service Range  `yaml:"service"` // 1, times the partner's service time
	Ordered bool   `yaml:"ordered"` // messages of one key take turns
}

// Tenant is a customer.
type Tenant struct {
	Name  string `yaml:"name"`
	Share Range  `yaml:"share"` // of the traffic at load 1, that counts in full; 0 for no bound
}

// Partners are some partners alike.
type Partners struct {
	Name      string `yaml:"name"`
	Count     Range  `yaml:"count"`
	Traffic   Range  `yaml:"share"`     // 0: of the traffic for all of them together; 0 for what is left, by zipf
	Endpoints Range  `yaml:"endpoints"` // 1
	Service   Span   `yaml:"service"`   // 150ms
	Law       string `yaml:"law"`       // lognormal; or exponential, uniform, fixed
	CV        Range  `yaml:"cv"`        // 0.5, lognormal
	Spare     Range  `yaml:"spare"`     // 1.3: capacity over the limit, or over the rate at load 1 where there is none
	Queue     Range  `yaml:"queue"`     // 2: calls that wait, in times of those served at once
	Conns     Range  `yaml:"connections"`
	Batch     Range  `yaml:"batch"` // 1: messages in a call at most
	Item      Range  `yaml:"item"`  // 0.15: work of a further one, in calls
	Clumps    Range  `yaml:"clumps"`
	Clump     Span   `yaml:"clump"`  // 1.8s of the limit
	Listed    Range  `yaml:"listed"` // 1: the listed rate, in times of the limit or, without one, the capacity; 0 for none listed
	Tells     Range  `yaml:"tells"`  // 0.4: share of its refusals that tell a wait
	Wait      Span   `yaml:"wait"`   // 700ms
	Limit     *Limit `yaml:"limit"`
}

// Limit is a limit on calls.
type Limit struct {
	Headroom Range `yaml:"headroom"` // 1.3: the limit over the rate of calls at load 1
	Least    Range `yaml:"least"`    // 2 calls a second
	Window   Span  `yaml:"window"`   // 0s: a token bucket; otherwise a count in spans of this length
	Depth    Span  `yaml:"depth"`    // 500ms of the limit may go at once
	Counted  Range `yaml:"counted"`  // 0: the chance that a partner's refused calls count too,
	Debt     Span  `yaml:"debt"`     // 0s of the limit ahead
	Reports  *bool `yaml:"reports"`  // true: answers tell it
	Period   Span  `yaml:"period"`   // 250ms
	Delay    Span  `yaml:"delay"`    // 100ms
	Noise    Range `yaml:"noise"`    // 0.08
}

// Trouble is something that goes wrong for a while. Size and Every mean what their kind says (model.Ill).
type Trouble struct {
	Kind    string `yaml:"kind"`
	At      Span   `yaml:"at"`
	For     Span   `yaml:"for"`
	Of      string `yaml:"of"`      // the Partners that it strikes; empty for any
	Traffic Range  `yaml:"traffic"` // it strikes partners that have this share of the traffic,
	Number  Range  `yaml:"partners"`
	Nodes   Range  `yaml:"nodes"` // or so many nodes; a share of them below 1
	Whom    []int  `yaml:"whom"`  // or these partners or nodes, by their numbers from 0
	Size    Range  `yaml:"size"`
	Every   Span   `yaml:"every"`
}

// Factors are what an experiment varies, in the order of the file.
type Factors []Factor

// Factor is a value of the file by its path, as fleet.slots or partners.large.limit.headroom, and the levels that it takes.
type Factor struct {
	Name   string
	Levels []string
	line   int
}

// UnmarshalYAML reads a mapping of paths to lists of levels.
func (f *Factors) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind != yaml.MappingNode {
		return typeError("line %d: paths with lists of levels are wanted", n.Line)
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		one := Factor{Name: n.Content[i].Value, line: n.Content[i].Line}
		if n.Content[i+1].Kind != yaml.SequenceNode {
			return typeError("line %d: a list of levels is wanted", n.Content[i+1].Line)
		}
		for _, l := range n.Content[i+1].Content {
			one.Levels = append(one.Levels, text(l))
		}
		*f = append(*f, one)
	}
	return nil
}

// Seeds are the seeds that an experiment plays.
type Seeds struct {
	From  uint64 `yaml:"from"`
	Count int    `yaml:"count"` // 20
}

// Must is a bound on the mean of a measure over the seeds.
type Must struct {
	Measure string   `yaml:"measure"`
	Least   *float64 `yaml:"least"`
	Most    *float64 `yaml:"most"`
}

// Range is a number, or two between which it is drawn.
type Range struct {
	Lo, Hi float64
	Set    bool
	line   int
}

// Span is a Range of durations.
type Span struct {
	Lo, Hi time.Duration
	Set    bool
	line   int
}
