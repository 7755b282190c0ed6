// Package account tells from a recording what became of each message and where its time went. It has no I/O of its own:
// records go in, in order, and a Report comes out.
//
// The recording says what the decisions were told and what they did; what held a message meanwhile is found by playing
// them again. If the replay differs from the recording, as it may with another build, or if records are missing, the
// report says where, and what is held from there on is held for unknown reasons.
package account

import (
	"errors"
	"fmt"
	"math"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/record"
)

// Span names a stretch of a message's life.
type Span uint8

// The spans. The first are those of choice.Hold, with the same numbers.
const (
	Intake  = Span(choice.Holds) + iota // from being handed in until the decisions heard of it
	Unknown                             // held, and the replay can't say why
	Start                               // from the decision to send until the call began
	Dial                                // a new connection
	Wire                                // a call that delivered
	Broken                              // a call whose connection broke
	Silent                              // a call without an answer, until it was given up or called off, or the message was
	Full                                // a call that was refused for want of room
	Faulty                              // a call that failed otherwise
	Unsent                              // a call that did not go out
	Spans                               // how many there are
)

var spanNames = [Spans - Intake]string{
	"intake", "unknown", "start", "dial", "wire", "broken", "silent", "full", "faulty", "unsent",
}

func (s Span) String() string {
	switch {
	case s < Intake:
		return choice.Hold(s).String()
	case s < Spans:
		return spanNames[s-Intake]
	}
	return "invalid"
}

// Fate is how a message ended.
type Fate uint8

// The fates.
const (
	Open         Fate = iota // not by the end of the recording
	Delivered                //
	RefusedGate              // at arrival, since its destination's gate was shut
	RefusedRoom              // at arrival, for want of room
	RefusedOther             // at arrival, before the decisions heard of it, for another reason
	GivenUp                  // taken on, and returned as not done
	Failed                   // taken on, and it may have been done
	Over                     // nobody wants it any more
	Fates                    // how many there are
)

var fateNames = [Fates]string{"open", "delivered", "refused by gate", "refused by room", "refused", "given up", "failed", "over"}

func (f Fate) String() string {
	if f < Fates {
		return fateNames[f]
	}
	return "invalid"
}

// Piece is a stretch of a life.
type Piece struct {
	Span     Span
	From, To time.Duration
	Endpoint string `json:",omitempty"` // of a call
	Err      string `json:",omitempty"` // what it met
}

// Message is what became of one. The Spans sum up to the time from Came to Ended; so do the Pieces.
type Message struct {
	Name, Front, ID     string
	Class, Tenant, Dest int
	Resumed             bool          // it was taken on in an earlier life, and came with this one's start
	Came, Ended         time.Duration // on the recording's clock; Ended is that of the last record for one that is Open
	Fate                Fate
	After               time.Duration // when its client was asked to come again
	Noticed             time.Duration // when its end was taken by its front; 0 if it was not
	Attempts            int
	Worth, Got          float64 // of its class, and what its end is worth
	Spans               [Spans]time.Duration
	Pieces              []Piece

	since    time.Duration // its life is accounted for until then
	held     Span
	out      *flight
	dropDead time.Duration
}

// flight is a call of which a message waits for the outcome.
type flight struct {
	endpoint string
	times    *times // of the call, once it is known
}

// times are those of the calls' records.
type times struct {
	begun, dialled, connected time.Duration
	err                       string
}

// Account takes the records of one life of a node. The zero value is not usable: see New.
type Account struct {
	keep      func(*Message) bool // whose Pieces are kept
	head      record.Header
	sender    *choice.Sender // nil once it can't be believed
	now       time.Duration
	first     time.Duration
	steps     int
	open      map[string]*Message
	ended     []*Message
	calls     map[attempt]*times // out, by their first messages
	undecided map[attempt]choice.Ended
	why       string // the replay can't be believed
	after     func(now time.Duration, s *choice.Sender)
	turned    int
}

type attempt struct {
	name string
	n    int
}

// ErrOrder says that records are not in the order in which they were made.
var ErrOrder = errors.New("the recording goes back in time")

// New begins an account. whole says that the records begin with the life, so that it can be played again. keep tells
// whose Pieces are wanted, which take memory; nil for nobody's.
func New(head record.Header, whole bool, keep func(*Message) bool) *Account {
	a := &Account{keep: keep, head: head, open: map[string]*Message{}, calls: map[attempt]*times{},
		undecided: map[attempt]choice.Ended{}}
	if whole {
		a.sender = choice.New(head.Settings, head.Seed)
	} else {
		a.distrust("the recording does not begin with the life")
	}
	return a
}

// After has f look at the decisions after each step that is played again. f must not change them.
func (a *Account) After(f func(now time.Duration, s *choice.Sender)) { a.after = f }

// distrust ends the replay.
func (a *Account) distrust(why string) {
	a.sender = nil
	if a.why == "" {
		a.why = why
	}
	for _, m := range a.open {
		if m.out == nil && m.held < Intake {
			m.held = Unknown
		}
	}
}

// Add takes the next record.
func (a *Account) Add(r record.Record) error {
	switch {
	case r.Handed != nil:
		m := &Message{Name: r.Handed.Name, Front: r.Handed.Front, ID: r.Handed.ID, Came: r.Handed.Came, since: r.Handed.Came, held: Intake}
		a.open[m.Name] = m
	case r.Turned != nil:
		a.turnedAway(r)
	case r.Called != nil:
		c := r.Called
		if t := a.calls[attempt{c.Name, c.Attempt}]; t != nil { // its messages share them
			*t = times{c.Begun, c.Dialled, c.Connected, c.Err}
		}
	case r.Noticed != nil:
		for _, name := range r.Noticed.Names {
			a.noticed(name, r.Noticed.At)
		}
	case r.Missing != nil:
		a.distrust(fmt.Sprintf("%d records are missing after %v", r.Missing.Records, a.now))
	case r.Step != nil:
		return a.step(*r.Step)
	default:
		return record.ErrUnknownItem
	}
	return nil
}

func (a *Account) turnedAway(r record.Record) {
	t := r.Turned
	if a.sender != nil {
		a.sender.StayAway(t.Dest) // it was asked, and may have noted the destination
	}
	a.turned++
	m := &Message{Name: fmt.Sprintf("t%d", a.turned), Front: t.Front, ID: t.ID, Class: t.Class, Tenant: t.Tenant, Dest: t.Dest,
		Came: t.Came, since: t.Came, held: Intake, After: t.After}
	fate := RefusedOther
	if t.Why == delivery.TurnedByRoom {
		fate = RefusedRoom
	}
	for name, o := range a.open { // it was handed in already, and could not be written
		if t.Why == delivery.TurnedByDisk && o.held == Intake && o.ID == t.ID && o.Front == t.Front {
			delete(a.open, name)
		}
	}
	m.Worth = a.class(m.Class).Worth
	a.end(m, t.At, fate)
}

// noticed looks among the last that ended: an end is taken soon.
func (a *Account) noticed(name string, at time.Duration) {
	for i := len(a.ended) - 1; i >= 0; i-- {
		if a.ended[i].Name == name {
			a.ended[i].Noticed = at
			return
		}
	}
}

func (a *Account) step(s record.Step) error {
	if s.Now < a.now {
		return fmt.Errorf("a step at %v after one at %v: %w", s.Now, a.now, ErrOrder)
	}
	a.now = s.Now
	if a.steps++; a.steps == 1 {
		a.first = s.Now
	}
	events := make([]choice.Event, len(s.Events))
	for i, e := range s.Events {
		var err error
		if events[i], err = e.Event(); err != nil {
			return err
		}
		a.told(events[i])
	}
	actions := make([]choice.Action, len(s.Actions))
	for i, x := range s.Actions {
		var err error
		if actions[i], err = x.Action(); err != nil {
			return err
		}
	}
	var mate *times
	for _, x := range actions {
		mate = a.did(x, mate)
	}
	if a.sender != nil {
		a.replay(events, actions)
	}
	if a.sender == nil { // it is not believed, or no more
		return nil
	}
	if a.after != nil {
		a.after(a.now, a.sender)
	}
	a.sender.Waiting(func(name string, why choice.Hold) {
		if m := a.open[name]; m != nil && m.out == nil {
			a.hold(m, Span(why))
		}
	})
	return nil
}

// replay plays the step again.
func (a *Account) replay(events []choice.Event, actions []choice.Action) {
	got := a.sender.Step(a.now, events)
	for i := range max(len(got), len(actions)) {
		switch {
		case i >= len(got):
			a.distrust(fmt.Sprintf("step %d at %v: the recording has %#v, the replay nothing more", a.steps, a.now, actions[i]))
		case i >= len(actions):
			a.distrust(fmt.Sprintf("step %d at %v: the replay has %#v, the recording nothing more", a.steps, a.now, got[i]))
		case got[i] != actions[i]:
			a.distrust(fmt.Sprintf("step %d at %v: the recording has %#v, the replay %#v", a.steps, a.now, actions[i], got[i]))
		default:
			continue
		}
		return
	}
}

// told takes an event.
func (a *Account) told(e choice.Event) {
	switch e := e.(type) {
	case choice.Arrived:
		a.arrived(e)
	case choice.Resumed:
		m := a.arrived(e.Arrived)
		m.Attempts, m.Resumed = e.Attempts, true
	case choice.Ended:
		a.back(e)
	case choice.Stood:
		if end, ok := a.undecided[attempt{e.ID, e.Attempt}]; ok {
			end.Undecided, end.Settled = false, true
			a.back(end)
		}
	case choice.Dropped:
		if m := a.open[e.ID]; m != nil {
			a.finish(m, Over)
		}
	}
}

func (a *Account) arrived(e choice.Arrived) *Message {
	m := a.open[e.ID]
	if m == nil { // of an earlier life, or its beginning is missing
		m = &Message{Name: e.ID, Came: a.now, since: a.now, held: Intake, Resumed: true}
		a.open[e.ID] = m
	}
	m.Class, m.Tenant, m.Dest, m.dropDead = e.Class, e.Tenant+1, e.Dest, e.DropDead
	m.Worth = a.class(e.Class).Worth
	a.hold(m, Unknown) // until the replay says more
	return m
}

func (a *Account) class(i int) choice.Class {
	if i >= 0 && i < len(a.head.Settings.Classes) {
		return a.head.Settings.Classes[i]
	}
	return choice.Class{}
}

// hold has a message wait for something from now on.
func (a *Account) hold(m *Message, why Span) {
	if m.held != why {
		a.spend(m, a.now, m.held, "", "")
		m.held = why
	}
}

// spend books a message's time until then.
func (a *Account) spend(m *Message, until time.Duration, on Span, endpoint, err string) {
	if until <= m.since {
		return
	}
	m.Spans[on] += until - m.since
	if a.keep != nil && a.keep(m) {
		m.Pieces = append(m.Pieces, Piece{on, m.since, until, endpoint, err})
	}
	m.since = until
}

// did takes an action. The messages of one call share its times, which come under the name of the first.
func (a *Account) did(x choice.Action, mate *times) *times {
	switch x := x.(type) {
	case choice.Send:
		m := a.open[x.ID]
		if m == nil {
			return mate
		}
		if !x.Joined || mate == nil {
			mate = &times{}
			a.calls[attempt{x.ID, m.Attempts}] = mate
		}
		a.spend(m, a.now, m.held, "", "")
		m.out = &flight{x.Endpoint, mate}
		m.Attempts++
	case choice.PushBack:
		m := a.open[x.ID]
		if m == nil {
			return mate
		}
		m.After = x.RetryAfter
		switch x.Why {
		case choice.ByGate:
			a.finish(m, RefusedGate)
		case choice.ByRoom:
			a.finish(m, RefusedRoom)
		default:
			a.finish(m, GivenUp)
		}
	case choice.Fail:
		if m := a.open[x.ID]; m != nil {
			a.finish(m, Failed)
		}
	}
	return mate
}

var outcomeSpans = map[choice.Outcome]Span{
	choice.Pass: Wire, choice.Fault: Faulty, choice.NoRoom: Full, choice.TooSlow: Silent, choice.NoRoute: Dial,
	choice.Cut: Broken, choice.Undone: Silent, choice.Stale: Unsent,
}

// back takes the outcome of an attempt.
func (a *Account) back(e choice.Ended) {
	delete(a.calls, attempt{e.ID, e.Attempt})
	delete(a.undecided, attempt{e.ID, e.Attempt})
	m := a.open[e.ID]
	if m == nil || (m.out == nil && !e.Settled) {
		return
	}
	if !e.Settled {
		a.flown(m, outcomeSpans[e.Outcome])
	}
	switch {
	case e.Undecided:
		m.held = Unknown
		a.undecided[attempt{e.ID, e.Attempt}] = e
	case e.Outcome == choice.Pass:
		a.finish(m, Delivered)
	case e.Closed:
		a.finish(m, Over)
	default:
		m.held = Unknown
	}
}

// flown books the time of a call that is over, or that a message no longer waits for.
func (a *Account) flown(m *Message, on Span) {
	t := m.out.times
	ep := m.out.endpoint
	m.out = nil
	a.spend(m, min(t.begun, a.now), Start, ep, "")
	if t.dialled > 0 {
		a.spend(m, min(t.dialled, a.now), Start, ep, "")
		connected := t.connected
		if connected == 0 {
			connected = a.now
		}
		a.spend(m, min(connected, a.now), Dial, ep, t.err)
	}
	a.spend(m, a.now, on, ep, t.err)
}

func (a *Account) finish(m *Message, fate Fate) {
	if m.out != nil {
		a.flown(m, Silent)
	}
	a.end(m, a.now, fate)
}

func (a *Account) end(m *Message, at time.Duration, fate Fate) {
	a.spend(m, at, m.held, "", "")
	delete(a.open, m.Name)
	m.Ended, m.Fate = max(at, m.Came), fate
	if fate == Delivered {
		m.Got = a.value(m)
	}
	a.ended = append(a.ended, m)
}

// value is what a delivery is worth, by the settings: full within the aim, then by half with each further aim or evenly,
// down to a share.
func (a *Account) value(m *Message) float64 {
	c := a.class(m.Class)
	age := m.Ended - (m.dropDead - c.Deadline)
	switch {
	case age <= c.Aim || c.Aim <= 0:
		return c.Worth
	case a.head.Settings.Halves:
		return c.Worth * max(c.LateWorth, math.Exp2(-float64(age-c.Aim)/float64(c.Aim)))
	}
	return c.Worth * max(c.LateWorth, 1-(1-c.LateWorth)*float64(age-c.Aim)/float64(max(c.Deadline-c.Aim, 1)))
}
