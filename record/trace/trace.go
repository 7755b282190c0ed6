// Package trace follows single messages through the recordings of many nodes and of all their lives: when a message was handed
// in, what held it, each attempt with its endpoint and outcome, a restart, its end and the notice of it. The nodes' clocks are
// taken to agree. A Trace is not safe for concurrent use.
package trace

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/record"
	"starlingusher/record/account"
)

// Entry is one thing that became of a message.
type Entry struct {
	At       int64 // Unix time in nanoseconds
	Node     string
	Life     int // of the node, counted from 1 over the recordings that were read
	ID       string
	What     string
	Attempt  int           `json:",omitempty"` // counted from 1; 0 for what is none of an attempt's
	Endpoint string        `json:",omitempty"`
	Took     time.Duration `json:",omitempty"`
	Detail   string        `json:",omitempty"`
}

// What an entry can say.
const (
	HandedIn   = "handed in"
	TurnedAway = "turned away" // before the decisions heard of it
	TakenOn    = "taken on"    // journalled
	Refused    = "refused"     // at its arrival
	Resumed    = "resumed"     // from the journal, in the next life
	Held       = "held"        // Detail says by what
	Sent       = "sent"
	Answered   = "answered" // an attempt has ended; Detail says how
	CalledOff  = "called off"
	Returned   = "returned" // given up, and coming again is harmless
	Failed     = "failed"   // given up, and it may have run
	Dropped    = "dropped"  // nobody wants it any more
	Noticed    = "noticed"  // the platform has taken the notice of its end
	LifeEnds   = "life ends"
	Damage     = "damage" // the recording can't be read from here on, or lacks records
)

// Trace follows messages.
type Trace struct {
	ids   map[string]bool
	all   []Entry
	nodes map[string]*node
}

// node is what is known of a node after its lives so far.
type node struct {
	lives int
	open  map[string]string // ids of followed messages without an end or without its notice, by what the decisions call them
}

// New returns a trace of the messages of these ids. What a client hands in again has another id.
func New(ids ...string) *Trace {
	t := &Trace{ids: map[string]bool{}, nodes: map[string]*node{}}
	for _, id := range ids {
		t.ids[id] = true
	}
	return t
}

// Read takes a life. The lives of a node have to come in their order. Damage is an entry; other errors end the life.
func (t *Trace) Read(l record.Life) error {
	n := t.nodes[l.Node]
	if n == nil {
		n = &node{}
		t.nodes[l.Node] = n
	}
	n.lives++
	r := &reader{trace: t, node: n, name: l.Node, before: n.open, follows: map[string]*followed{}}
	n.open = map[string]string{}
	err := l.Read(func(h record.Header) error {
		if r.account == nil {
			r.zero = h.Zero
			r.account = account.New(h, l.Whole, func(m *account.Message) bool { return r.follows[m.Name] != nil })
		}
		return nil
	}, r.take)
	var damage *record.Damage
	if errors.As(err, &damage) {
		if r.met || len(r.before) > 0 {
			r.add(r.now, Entry{What: Damage, Detail: damage.Error()})
		}
		err = nil
	}
	r.over()
	return err
}

// Entries are those of all lives that were read, in order of time.
func (t *Trace) Entries() []Entry {
	slices.SortStableFunc(t.all, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return slices.Clone(t.all)
}

// reader takes the records of one life.
type reader struct {
	trace   *Trace
	node    *node
	name    string
	zero    int64
	now     time.Duration
	account *account.Account
	before  map[string]string
	follows map[string]*followed // by what the decisions call it
	met     bool                 // a message that is followed
	call    *delivery.Called     // the last one that ended
}

// followed is a message in this life.
type followed struct {
	id       string
	attempts int
	over     bool // by its last answer
	ended    bool
}

func (r *reader) add(at time.Duration, e Entry) {
	e.At, e.Node, e.Life = r.zero+int64(at), r.name, r.node.lives
	r.trace.all = append(r.trace.all, e)
}

func (r *reader) follow(name, id string) *followed {
	f := &followed{id: id}
	r.follows[name], r.met = f, true
	r.node.open[name] = id
	return f
}

func (r *reader) take(x record.Record) error {
	switch {
	case x.Handed != nil && r.trace.ids[x.Handed.ID]:
		r.follow(x.Handed.Name, x.Handed.ID)
	case x.Turned != nil && r.trace.ids[x.Turned.ID]:
		r.met = true
		r.add(x.Turned.Came, Entry{ID: x.Turned.ID, What: HandedIn})
		r.add(x.Turned.At, Entry{ID: x.Turned.ID, What: TurnedAway, Detail: fmt.Sprintf("for %s, to come again after %v", x.Turned.Why, x.Turned.After)})
	case x.Called != nil:
		r.call = x.Called
	case x.Noticed != nil:
		for _, name := range x.Noticed.Names {
			if id, ok := r.open(name); ok {
				r.add(x.Noticed.At, Entry{ID: id, What: Noticed})
				delete(r.node.open, name)
				delete(r.before, name)
			}
		}
	case x.Missing != nil && r.met:
		r.add(r.now, Entry{What: Damage, Detail: fmt.Sprintf("%d records are missing", x.Missing.Records)})
	case x.Step != nil:
		r.now = x.Step.Now
		r.step(x.Step)
	}
	return r.account.Add(x)
}

// open finds a followed message of this life or of the one before.
func (r *reader) open(name string) (id string, ok bool) {
	if f := r.follows[name]; f != nil {
		return f.id, true
	}
	id, ok = r.before[name]
	return id, ok
}

func (r *reader) step(s *record.Step) {
	for _, e := range s.Events {
		switch {
		case e.Arrived != nil:
			if f := r.follows[e.Arrived.ID]; f != nil {
				r.arrived(s, f, e.Arrived)
			}
		case e.Resumed != nil:
			r.resumed(e.Resumed)
		case e.Ended != nil:
			if f := r.follows[e.Ended.ID]; f != nil {
				r.ended(f, e.Ended)
			}
		case e.Stood != nil:
			if f := r.follows[e.Stood.ID]; f != nil && f.over {
				f.ended = true
				delete(r.node.open, e.Stood.ID)
			}
		case e.Dropped != nil:
			r.end(e.Dropped.ID, Dropped, "")
		}
	}
	for _, a := range s.Actions {
		switch {
		case a.Send != nil:
			if f := r.follows[a.Send.ID]; f != nil {
				f.attempts++
				r.add(r.now, Entry{ID: f.id, What: Sent, Attempt: f.attempts, Endpoint: a.Send.Endpoint, Detail: r.bounds(a.Send)})
			}
		case a.Cancel != nil:
			if f := r.follows[a.Cancel.ID]; f != nil {
				r.add(r.now, Entry{ID: f.id, What: CalledOff, Attempt: a.Cancel.Attempt + 1})
			}
		case a.PushBack != nil && a.PushBack.Why == choice.Admitted:
			r.end(a.PushBack.ID, Returned, fmt.Sprintf("to come again after %v", a.PushBack.RetryAfter))
		case a.Fail != nil:
			r.end(a.Fail.ID, Failed, "")
		}
	}
}

// bounds says by when a call is given up and, of a repeat, by when it has to begin.
func (r *reader) bounds(s *choice.Send) string {
	text := fmt.Sprintf("given up in %v", (s.NotPast - r.now).Round(time.Millisecond))
	if s.BeginBy > 0 {
		text += fmt.Sprintf(", to begin within %v", (s.BeginBy - r.now).Round(time.Millisecond))
	}
	return text
}

var refusals = map[choice.Refusal]string{choice.ByGate: "the gate", choice.ByRoom: "want of room"}

func (r *reader) arrived(s *record.Step, f *followed, e *choice.Arrived) {
	r.add(r.now, Entry{ID: f.id, What: HandedIn, Detail: fmt.Sprintf("class %d to %d, %v left", e.Class, e.Dest, (e.DropDead - r.now).Round(time.Millisecond))})
	for _, a := range s.Actions {
		if b := a.PushBack; b != nil && b.ID == e.ID && b.Why != choice.Admitted {
			r.add(r.now, Entry{ID: f.id, What: Refused, Detail: fmt.Sprintf("by %s, to come again after %v", refusals[b.Why], b.RetryAfter)})
			f.ended = true
			delete(r.node.open, e.ID)
			return
		}
	}
	r.add(r.now, Entry{ID: f.id, What: TakenOn})
}

func (r *reader) resumed(e *choice.Resumed) {
	f := r.follows[e.ID]
	if f == nil {
		id, ok := r.before[e.ID]
		if !ok {
			return
		}
		f = r.follow(e.ID, id)
	}
	delete(r.before, e.ID)
	f.attempts = e.Attempts
	detail := fmt.Sprintf("after %d attempts, %v left", e.Attempts, (e.DropDead - r.now).Round(time.Millisecond))
	if e.Touched {
		detail += fmt.Sprintf(", may have run %v ago", (r.now - e.MayRun).Round(time.Millisecond))
	}
	r.add(r.now, Entry{ID: f.id, What: Resumed, Detail: detail})
}

// outcomes in words, with what each proves.
var outcomes = map[choice.Outcome]string{
	choice.Pass: "passed", choice.Fault: "error, may have run", choice.NoRoom: "turned away, has not run", choice.TooSlow: "timed out, may have run",
	choice.NoRoute: "could not connect, has not run", choice.Cut: "reset, may have run", choice.Undone: "called off, may have run", choice.Stale: "not sent, has not run",
}

func (r *reader) ended(f *followed, e *choice.Ended) {
	detail := outcomes[e.Outcome]
	if e.Undecided {
		detail += ", which may be another call's answer"
	}
	if e.Wait > 0 {
		detail += fmt.Sprintf(", told to wait %v", e.Wait)
	}
	if c := r.call; c != nil && c.Name == e.ID && c.Attempt == e.Attempt {
		if c.Connected > 0 {
			detail += fmt.Sprintf(", connected in %v", (c.Connected - c.Dialled).Round(100*time.Microsecond))
		}
		if c.First > 0 {
			detail += fmt.Sprintf(", written %v after it was decided", (c.First - c.Begun).Round(100*time.Microsecond))
		}
		if c.Err != "" {
			detail += ": " + c.Err
		}
	}
	r.add(r.now, Entry{ID: f.id, What: Answered, Attempt: e.Attempt + 1, Endpoint: e.Endpoint, Took: e.Took, Detail: detail})
	if f.over = e.Outcome == choice.Pass || e.Closed; f.over && !e.Undecided {
		f.ended = true
		delete(r.node.open, e.ID)
	}
}

func (r *reader) end(name, what, detail string) {
	if f := r.follows[name]; f != nil && !f.ended {
		f.ended = true
		r.add(r.now, Entry{ID: f.id, What: what, Detail: detail})
	}
}

// over adds what the replay says of the holds, and says of messages without an end that the life ends.
func (r *reader) over() {
	if r.account == nil {
		return
	}
	for _, m := range r.account.Report().Messages {
		f := r.follows[m.Name]
		if f == nil {
			continue
		}
		for _, p := range m.Pieces {
			if p.Span <= account.Unknown && p.Span != account.Intake && p.To > p.From {
				r.add(p.From, Entry{ID: f.id, What: Held, Took: p.To - p.From, Detail: p.Span.String()})
			}
		}
		if !f.ended {
			r.add(r.now, Entry{ID: f.id, What: LifeEnds})
		}
	}
}
