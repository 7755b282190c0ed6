package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Kind is what a message is.
type Kind uint8

// The kinds of messages.
const (
	Agree Kind = iota + 1 // raft's, from voter to voter
	Greet                 // a Hello
	Ask                   // commands, from anybody to a voter
	Tell                  // answers to them
)

// Bounds of a message: commands or answers, and voters of a Hello.
const (
	MostAtOnce = 128
	MostVoters = 32
)

// Message is from one node to another. Each kind has its own fields.
type Message struct {
	Kind     Kind
	Group    uint64 // Agree,
	From, To uint64 // ids of voters
	Count    uint64 // of From's folder
	Raw      []byte
	Hello    Hello     // Greet
	Commands []Command // Ask
	Answers  []Answer  // Tell
}

// Out is a message and the name of the node that it goes to.
type Out struct {
	To string
	Message
}

// Kept is what a voter's folder holds.
type Kept struct {
	Identity Identity
	State    State
}

// Apply makes of a folder in memory what a write makes of one on a disk.
func (k *Kept) Apply(w Write) {
	if w.Reset {
		*k = Kept{}
	}
	s := &k.State
	if w.Identity != nil {
		k.Identity = *w.Identity
	}
	if w.Hard != nil {
		s.Hard = proto.CloneOf(w.Hard)
	}
	if w.Snapshot != nil {
		s.Snapshot = w.Snapshot
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool { return w.Whole || e.GetIndex() <= w.Snapshot.GetMetadata().GetIndex() })
	}
	if len(w.Entries) > 0 {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= w.Entries[0].GetIndex() })
		s.Entries = append(s.Entries, w.Entries...)
	}
}

// Todo is what a node wants done, in this order: Write made durable, Messages sent, Done called. Nothing else may be asked of the node
// in between. Of a node that is no voter Write is always empty.
type Todo struct {
	Write    Write
	Messages []Out
	Events   []Event
}

// Event is something for the log.
type Event struct {
	What  What
	Lease Lease  // Granted, Lost
	Text  string // Standing, Reconfigured, Forced, Stray: in words
	Count int    // Stray: how many there have been
}

// What an event is.
type What uint8

// The events.
const (
	Granted      What = iota + 1 // a voter has seen a lease granted
	Forced                       // an operator has ended a lease
	Gained                       // this node holds a name
	Lost                         // it does not any more
	Stood                        // this voter's standing is another one
	Reconfigured                 // the voters are others
	Leading                      // this voter leads now
	Following                    // it does not any more
	Stray                        // an answer to a question of another process has come, and was dropped
)

// Node is one node's side of all leases: a holder, and a voter where it is one. It is the whole of what package peers runs
// and what the laboratory plays. Like all here it has no I/O and no clock.
type Node struct {
	cfg    Settings
	self   Owner
	voters []string
	holder *Holder
	adm    *admission
	voter  *Voter
	// ways of voters' ids to names, and the process's life that each id's messages are believed of.
	names  map[uint64]string
	lives  map[uint64]uint64
	out    []Out
	events []Event
	grips  map[string]uint64 // tokens of what was held at the last look
	calls  map[uint64]call
	next   uint64 // of calls
	strays int    // answers to questions of other processes
	turn   int    // the voter that is asked
	asked  time.Duration
	heard  time.Duration // when a voter last answered
	leads  bool
	taken  map[string]time.Duration // voters' names for whom a change was asked
	write  Write
	quiet  time.Duration // until then this voter has nothing granted
	reset  bool          // what the folder held is not its voter's any more
}

type call struct {
	at   time.Duration
	done func(Result, bool)
}

// NewNode is a node that begins now. Draw makes random numbers that never come again. Kept is what its folder holds if it is a voter.
func NewNode(cfg Settings, self Owner, voters []string, kept *Kept, draw func() uint64, now time.Duration) (*Node, error) {
	n := &Node{
		cfg: cfg, self: self, voters: slices.Sorted(slices.Values(voters)), holder: NewHolder(cfg, self), names: map[uint64]string{}, lives: map[uint64]uint64{},
		grips: map[string]uint64{}, calls: map[uint64]call{}, next: 1 << 32, turn: int(self.Life % uint64(max(len(voters), 1))), asked: now, heard: now - time.Hour,
		taken: map[string]time.Duration{},
	}
	if !slices.Contains(voters, self.Name) {
		return n, nil
	}
	var id *Identity
	if kept != nil && kept.Identity.ID != 0 {
		id = &kept.Identity
	}
	n.adm = newAdmission(cfg, self.Name, voters, id, draw, now)
	var err error
	if id != nil && n.adm.stand == Checking {
		// What its folder holds is looked at, and says nothing yet.
		n.voter, err = NewVoter(cfg, n.adm.id.ID, &kept.State, now)
	}
	return n, err
}

// Standing tells how far this node is as a voter; ok is false if it is none.
func (n *Node) Standing() (s Standing, id Identity, ok bool) {
	if n.adm == nil {
		return 0, Identity{}, false
	}
	return n.adm.stand, n.adm.id, true
}

// Retire has the node vote no more, for its folder can't be written. Its holder goes on.
func (n *Node) Retire() { n.adm, n.voter, n.write, n.reset = nil, nil, Write{}, false }

// Voter is this node's voter if it votes, nil if not.
func (n *Node) Voter() *Voter {
	if n.adm == nil || n.adm.stand != In {
		return nil
	}
	return n.voter
}

// Life is that of this node's process.
func (n *Node) Life() uint64 { return n.self.Life }

// Holder is this node's holder. Drop of it is not for others than the node: see Drop.
func (n *Node) Holder() *Holder { return n.holder }

// Drop gives a name back.
func (n *Node) Drop(name string) { n.ask([]Command{n.holder.Drop(name)}) }

// Heard is when a voter last answered this node.
func (n *Node) Heard() time.Duration { return n.heard }

// Call asks a command, once. Done is told what became of it; ok is false where no answer has come within a term, and then the
// command may have been carried out or may still be.
func (n *Node) Call(now time.Duration, c Command, done func(r Result, ok bool)) {
	n.next++
	c.Asker, c.AskerLife, c.Ask = n.self.Name, n.self.Life, n.next
	n.calls[c.Ask] = call{now, done}
	n.ask([]Command{c})
}

// ask sends commands to the voter whose turn it is.
func (n *Node) ask(all []Command) {
	if len(n.voters) == 0 {
		return
	}
	to := n.voters[n.turn%len(n.voters)]
	for len(all) > 0 {
		some := all[:min(len(all), MostAtOnce)]
		all = all[len(some):]
		n.send(Out{To: to, Message: Message{Kind: Ask, Commands: some}})
	}
}

func (n *Node) send(o Out) { n.out = append(n.out, o) }

// Take takes a message of a process, by its node's name and its life.
func (n *Node) Take(now time.Duration, from string, life uint64, m Message) error {
	switch m.Kind {
	case Greet:
		if n.adm != nil {
			n.greeted(now, from, life, m.Hello)
		}
	case Agree:
		return n.agree(now, life, m)
	case Ask:
		for _, c := range m.Commands {
			n.remember(c.Above)
			if v := n.Voter(); v != nil && c.Do != Expire && (c.Do != Take || now >= n.quiet) { // an end is only for voters to say
				if c.Asker != "" {
					c.Asker, c.AskerLife = from, life
				}
				c.Above = max(c.Above, n.adm.id.Floor)
				if err := v.Propose(c); err != nil {
					return err
				}
			}
		}
	case Tell:
		n.heard, n.asked = now, now
		for _, a := range m.Answers {
			if !a.isFor(n.self) {
				n.strays++
				n.events = append(n.events, Event{What: Stray, Lease: a.Lease, Text: fmt.Sprintf("%s, life %016x", a.Asker, a.Life), Count: n.strays})
				continue
			}
			if c, ok := n.calls[a.Ask]; ok {
				delete(n.calls, a.Ask)
				c.done(a.Result, true)
				continue
			}
			n.holder.Answered(a)
		}
	}
	return nil
}

// remember notes a token that somebody knows of, so that a group which has forgotten it goes on above it.
func (n *Node) remember(token uint64) {
	if n.adm == nil || token <= n.adm.id.Floor {
		return
	}
	n.adm.id.Floor = token
	if v := n.Voter(); v != nil && token > v.Last() {
		v.Propose(Command{Do: Raise, Above: token}) // it may get lost, and goes with every grant as well
	}
}

// agree hands a message of the agreement to the voter, if it is of its group and of the life of its sender that was last greeted by.
func (n *Node) agree(now time.Duration, life uint64, m Message) error {
	if n.adm == nil || n.adm.stand != In || m.Group != n.adm.id.Group || m.To != n.adm.id.ID {
		return nil
	}
	if known, ok := n.lives[m.From]; !ok || known != life {
		return nil
	}
	if m.Count > n.adm.id.Seen[m.From] {
		n.adm.id.Seen[m.From] = m.Count
	}
	return n.voter.Step(m.Raw)
}

func (n *Node) greeted(now time.Duration, from string, life uint64, h Hello) {
	if !slices.Contains(n.voters, from) || from == n.self.Name {
		return
	}
	n.adm.take(now, from, h)
	n.remember(h.Floor)
	maps.DeleteFunc(n.names, func(id uint64, name string) bool {
		if name == from && id != h.ID {
			delete(n.lives, id)
			return true
		}
		return false
	})
	n.names[h.ID], n.lives[h.ID] = from, life
	if !h.Reply {
		n.greet(from, true)
	}
	n.admit(now)
}

// greet says to a voter how far this one is.
func (n *Node) greet(name string, reply bool) {
	of := n.adm.heard[name].ID
	h := Hello{ID: n.adm.id.ID, Group: n.adm.id.Group, Promise: n.adm.id.Promise, Of: of, Seen: n.adm.id.Seen[of], Reply: reply, Floor: max(n.adm.id.Floor, n.holder.above)}
	if n.voter != nil {
		h.Voters, h.Applied = maps.Clone(n.voter.Voters()), n.voter.Applied()
		h.Led = n.adm.stand == In && n.voter.Leader() != 0
		h.Floor = max(h.Floor, n.voter.Last())
	}
	n.send(Out{To: name, Message: Message{Kind: Greet, Hello: h}})
}

// admit does what the last words of the others ask for.
func (n *Node) admit(now time.Duration) {
	var voters map[uint64]string
	applied := uint64(0)
	if n.voter != nil {
		voters, applied = n.voter.Voters(), n.voter.Applied()
	}
	if n.voter != nil {
		n.adm.id.Floor = max(n.adm.id.Floor, n.voter.Last())
	}
	before := n.adm.stand
	did, first := n.adm.next(now, voters, applied)
	var state *State
	switch did {
	case nothing:
		return
	case goesOn:
	case beginsOn:
		n.voter, n.reset, n.write = nil, true, Write{}
	case founds:
		state = Found(first, max(n.adm.id.Floor, n.holder.above))
		n.write = Write{Snapshot: state.Snapshot, Sync: true}
		fallthrough
	case joins:
		v, err := NewVoter(n.cfg, n.adm.id.ID, state, now)
		if err != nil {
			panic(err) // of what was made here
		}
		n.voter, n.quiet = v, now+n.cfg.kept()
	}
	n.events = append(n.events, Event{What: Stood, Text: fmt.Sprintf("%v, was %v %s", n.adm.stand, before, n.adm.why)})
	n.adm.why = ""
}

// Tick does what time asks for. It is called every Settings.Tick or more often.
func (n *Node) Tick(now time.Duration) {
	for ask, c := range n.calls {
		if now-c.at >= n.cfg.Term {
			delete(n.calls, ask)
			c.done(Result{}, false)
		}
	}
	if now-n.asked > n.cfg.Term/4 { // whoever was asked last does not answer
		n.turn, n.asked = n.turn+1, now
	}
	if all := n.holder.Tick(now); len(all) > 0 {
		n.ask(all)
	}
	n.look(now)
	if n.adm == nil {
		return
	}
	if n.adm.due(now) {
		for _, name := range n.voters {
			if name != n.self.Name {
				n.greet(name, false)
			}
		}
	}
	n.admit(now)
	if v := n.Voter(); v != nil {
		v.Tick(now)
		if v.Leads() {
			n.mend(now)
		}
		if v.Leads() != n.leads {
			n.leads = v.Leads()
			what := Following
			if n.leads {
				what = Leading
			}
			n.events = append(n.events, Event{What: what})
		}
	}
}

// look notes what this node holds since the last look, and holds no more.
func (n *Node) look(now time.Duration) {
	for name, g := range n.holder.Grips() {
		held := now < g.Until
		switch was := n.grips[name]; {
		case held && was != g.Token:
			n.grips[name] = g.Token
			n.events = append(n.events, Event{What: Gained, Lease: Lease{Name: name, Owner: n.self, Token: g.Token}})
		case !held && was != 0:
			delete(n.grips, name)
			n.events = append(n.events, Event{What: Lost, Lease: Lease{Name: name, Owner: n.self, Token: was}})
		}
	}
	for name, token := range n.grips { // given back
		if _, ok := n.holder.Grips()[name]; !ok {
			delete(n.grips, name)
			n.events = append(n.events, Event{What: Lost, Lease: Lease{Name: name, Owner: n.self, Token: token}})
		}
	}
}

// mend has the configuration be of the voters that the settings name, by the folders that they have now, one at a time.
func (n *Node) mend(now time.Duration) {
	v := n.voter
	change := func(id uint64, name, key string) {
		if at, ok := n.taken[key]; ok && now-at < n.adm.ticks(2*electionTicks) {
			return
		}
		n.taken[key] = now
		if err := v.Change(id, name); err != nil {
			return // it is asked for again
		}
	}
	by := map[string]uint64{}
	for id, name := range v.Voters() {
		if !slices.Contains(n.voters, name) {
			change(id, "", "out "+name)
			return
		}
		by[name] = id
	}
	for _, name := range n.voters {
		h, ok := n.adm.recentFresh(now, name)
		if !ok || by[name] == h.ID {
			continue
		}
		if old := by[name]; old != 0 {
			change(old, "", "out "+name)
		} else {
			change(h.ID, name, "in "+name)
		}
		return
	}
}

// recentFresh is the word of a voter that is in no group.
func (a *admission) recentFresh(now time.Duration, name string) (Hello, bool) {
	h, ok := a.recent(now, name)
	return h, ok && h.Group == 0
}

// Todo is what is to be done now; ok is false if there is nothing. Done has to follow.
func (n *Node) Todo(now time.Duration) (todo Todo, ok bool, err error) {
	var out Output
	moved := false
	if v := n.Voter(); v != nil {
		if out, moved, err = v.Output(now); err != nil {
			return Todo{}, false, err
		}
	}
	todo.Messages, n.out = n.out, nil
	todo.Events, n.events = n.events, nil
	if n.adm != nil {
		n.written(&out, &todo)
	}
	if v := n.Voter(); v != nil {
		for _, m := range out.Messages {
			name := v.Voters()[m.To]
			if name == "" {
				name = n.names[m.To]
			}
			if name == "" {
				continue
			}
			todo.Messages = append(todo.Messages, Out{To: name, Message: Message{
				Kind: Agree, Group: n.adm.id.Group, From: n.adm.id.ID, To: m.To, Count: n.adm.id.Count, Raw: m.Raw,
			}})
		}
		todo.Messages = append(todo.Messages, told(out.Answers)...)
		for _, l := range out.Granted {
			todo.Events = append(todo.Events, Event{What: Granted, Lease: l})
		}
		for _, c := range out.Forced {
			todo.Events = append(todo.Events, Event{What: Forced, Lease: Lease{Name: c.Name, Owner: c.Owner}, Text: c.Reason})
		}
		if out.Changed {
			maps.DeleteFunc(n.adm.id.Seen, func(id, _ uint64) bool { return v.Voters()[id] == "" })
			todo.Events = append(todo.Events, Event{What: Reconfigured, Text: fmt.Sprint(slices.Sorted(maps.Values(v.Voters())))})
		}
	}
	return todo, moved || len(todo.Messages) > 0 || len(todo.Events) > 0 || !todo.Write.Empty(), nil
}

// written puts together what the folder is to hold, the identity with it: its count is of each write.
func (n *Node) written(out *Output, todo *Todo) {
	w := out.Write
	if n.write.Snapshot != nil { // the beginning of a group, before anything that was decided in it
		if w.Snapshot == nil {
			w.Snapshot = n.write.Snapshot
		}
		w.Sync, n.write = true, Write{}
	}
	w.Reset, n.reset = n.reset, false
	if w.Empty() && !n.adm.dirty && !w.Reset {
		return
	}
	w.Sync = w.Sync || n.adm.dirty || w.Reset
	n.adm.dirty = false
	n.adm.id.Count++
	id := n.adm.id
	id.Seen = maps.Clone(id.Seen)
	w.Identity = &id
	todo.Write = w
}

// told are the answers by whom they go to.
func told(answers []Answer) (all []Out) {
	by := map[string][]Answer{}
	for _, a := range answers {
		by[a.Asker] = append(by[a.Asker], a)
	}
	for _, to := range slices.Sorted(maps.Keys(by)) {
		for some := range slices.Chunk(by[to], MostAtOnce) {
			all = append(all, Out{To: to, Message: Message{Kind: Tell, Answers: some}})
		}
	}
	return all
}

// Done says that what was to be done is done. It returns a write of its own from time to time, which is made durable before anything else.
func (n *Node) Done() (Write, error) {
	v := n.Voter()
	if v == nil {
		return Write{}, nil
	}
	s, err := v.Done()
	if s == nil || err != nil || raft.IsEmptySnap(s) {
		return Write{}, err
	}
	return Write{Snapshot: s}, nil
}
