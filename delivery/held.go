package delivery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"starlingusher/choice"
)

// numberBits is how much of a message's number is its place in its journal; above it stands which of the engine's journals that is.
const (
	numberBits   = 48
	mostInherits = 1 << 12
	// Twelve tries of a message last for some seconds.
	notBegunPause = 300 * time.Millisecond
)

// ErrNotInherited is wrapped by what Inherit says.
var ErrNotInherited = errors.New("the journal can't be inherited")

// unheld is a batch of new messages whose records are on their way to further nodes. The decisions have not heard of them.
type unheld struct {
	ticket uint64
	events []choice.Event
	fresh  newcomers
}

// guarded are acts that wait until the records that guard them are held.
type guarded struct {
	ticket uint64
	acts   []act
	byes   []chan struct{}
}

// run does the acts, or what stands instead of them where their records can't be held.
func (g guarded) run(short bool) {
	for _, a := range g.acts {
		if short && a.instead != nil {
			a.instead()
		} else {
			a.do()
		}
	}
	for _, b := range g.byes {
		close(b)
	}
}

// act is something that the records before it guard. Instead is done where those can't be held, nil for the act itself.
type act struct {
	do, instead func()
	unguarded   time.Time // from then on it needs no record; zero for never
}

// holding is what an engine with Copies keeps.
type holding struct {
	ticket  uint64 // of the last that went out
	urgent  bool   // something waits for what is written next
	covered uint64
	unheld  []*unheld
	by      map[*past]*unheld // the batch that a message came with, while it is one of those
	guards  []guarded
}

// inherit asks for a journal that was another's.
type inherit struct {
	dir   string
	stale bool
	reply chan error
}

// message is one by its name, and byNumber by its number; nil if there is none.
func (n *Engine) message(name string) *past { return n.byNumber(numOf(name)) }

func (n *Engine) byNumber(num uint64) *past {
	if home := num >> numberBits; home > 0 {
		if j := n.inherited[home<<numberBits]; j != nil {
			return j.live[num&(1<<numberBits-1)]
		}
		return nil
	}
	return n.journal.live[num]
}

// journals are all, the engine's own first.
func (n *Engine) journals() []*journal {
	all := []*journal{n.journal}
	for _, base := range slices.Sorted(maps.Keys(n.inherited)) {
		all = append(all, n.inherited[base])
	}
	return all
}

// write has all journals written, and tells the copies what is new.
func (n *Engine) write() error {
	err := n.writeAll()
	n.noteJournal(err)
	return err
}

func (n *Engine) writeAll() error {
	if n.cfg.Copies == nil && len(n.inherited) == 0 {
		return n.journal.flush()
	}
	var errs []error
	var news []Chunk
	for _, j := range n.journals() {
		errs = append(errs, j.flush())
		news = append(news, j.news...)
		j.news = nil
	}
	if len(news) > 0 {
		n.hold.ticket++
		n.cfg.Copies.Append(n.hold.ticket, news, n.hold.urgent)
	}
	return errors.Join(errs...)
}

// guard does acts once all that was written so far is held.
func (n *Engine) guard(acts []act, byes []chan struct{}) {
	if n.cfg.Copies == nil || n.hold.ticket <= n.hold.covered {
		guarded{acts: acts, byes: byes}.run(false)
		return
	}
	n.hold.guards = append(n.hold.guards, guarded{n.hold.ticket, slices.Clone(acts), slices.Clone(byes)})
}

// await keeps new messages from the decisions until they are held, and returns what the decisions may hear of at once.
func (n *Engine) await(events []choice.Event, fresh newcomers) ([]choice.Event, newcomers) {
	if n.cfg.Copies == nil || len(fresh) == 0 || n.hold.ticket <= n.hold.covered {
		return events, fresh
	}
	u := &unheld{ticket: n.hold.ticket, fresh: fresh}
	if n.hold.by == nil {
		n.hold.by = map[*past]*unheld{}
	}
	var rest []choice.Event
	for _, e := range events {
		id := ""
		switch e := e.(type) {
		case choice.Arrived:
			id = e.ID
		case choice.Resumed:
			id = e.ID
		}
		if _, ok := fresh[numOf(id)]; !ok {
			rest = append(rest, e)
			continue
		}
		n.hold.by[n.message(id)] = u
		u.events = append(u.events, e)
	}
	n.hold.unheld = append(n.hold.unheld, u)
	return rest, newcomers{}
}

// covered goes on with what waited for records that are held now, or are given up.
func (n *Engine) covered(ctx context.Context, c Covered) {
	n.hold.covered = max(n.hold.covered, c.Ticket)
	for len(n.hold.guards) > 0 && n.hold.guards[0].ticket <= n.hold.covered {
		g := n.hold.guards[0]
		n.hold.guards = n.hold.guards[1:]
		g.run(c.Short)
	}
	for len(n.hold.unheld) > 0 && n.hold.unheld[0].ticket <= n.hold.covered {
		u := n.hold.unheld[0]
		n.hold.unheld = n.hold.unheld[1:]
		for num := range u.fresh {
			if p := n.byNumber(num); p != nil {
				delete(n.hold.by, p)
			}
		}
		if c.Short {
			n.turnBack(u)
			continue
		}
		n.step(ctx, u.events, u.fresh)
	}
}

// turnBack refuses messages that no further node holds. The decisions have not heard of them.
func (n *Engine) turnBack(u *unheld) {
	for num, all := range u.fresh {
		p := n.byNumber(num)
		if p == nil {
			continue
		}
		answer := n.turnAway(all[0], TurnedByCopies)
		n.forget(p)
		for _, a := range all {
			a.answer(answer)
		}
	}
}

// mine tells whether a call's journals are this node's now, and has it begun no later than they are.
func (n *Engine) mine(o *outgoing) bool {
	now := time.Now()
	for i := range o.legs {
		until := n.cfg.Copies.Until(o.legs[i].m.home.dir)
		if !now.Before(until) {
			return false
		}
		if b := &o.legs[i].BeginBy; b.IsZero() || until.Before(*b) {
			*b = until
		}
	}
	return true
}

// notBegun ends a call that was not made, since its attempt's record is not held or its journal is not this node's now; a while later, or its
// messages would be out of tries before that can be another.
func (n *Engine) notBegun(ctx context.Context, o *outgoing) {
	for _, l := range o.legs {
		n.out[l.attempt] = outCall{m: l.m, cancel: func() {}}
	}
	n.work(func() {
		sleep(ctx, notBegunPause)
		o.began = time.Now()
		for i := range o.legs {
			n.events <- o.called(i, Result{Outcome: choice.Stale, NotRun: true, Err: errNotHeld})
		}
	})
}

var errNotHeld = errors.New("the attempt's record is not held by further nodes")

// Inherit takes on what another's journal owes, and goes on with it in its folder: as a restart there would, but on this engine's
// decisions. Of a stale journal, which may lack what was done last, each message that may not simply be repeated counts as one that may have run, at a
// time that nobody knows: it is not sent again. It returns once that is written. A message that the engine has already in the same front, by
// its id and its content, is passed over and logged. It may be called by many goroutines at a time while the engine runs.
func (n *Engine) Inherit(ctx context.Context, dir string, stale bool) error {
	err, asked := askLoop(ctx, n, func(reply chan error) any { return inherit{dir: dir, stale: stale, reply: reply} })
	return errors.Join(asked, err)
}

func (n *Engine) takeOver(i inherit) []choice.Event {
	j, err := openJournal(i.dir, n.cfg.DiskMB, n.start, n.cfg.Boot)
	if err != nil {
		i.reply <- fmt.Errorf("%w: %w", ErrNotInherited, err)
		return nil
	}
	if len(n.inherited) >= mostInherits {
		i.reply <- errors.Join(fmt.Errorf("%w: %d were already", ErrNotInherited, mostInherits), j.close())
		return nil
	}
	n.homes++
	j.base, j.copied = n.homes<<numberBits, n.cfg.Copies != nil
	n.inherited[j.base] = j
	var events []choice.Event
	for _, p := range slices.SortedFunc(maps.Values(j.live), func(a, b *past) int { return cmp.Compare(a.seq, b.seq) }) {
		j.own(p)
		f, own := n.fronts[p.front], n.messages[ref(p.front, p.id)]
		switch {
		case f == nil || p.class >= len(n.cfg.Settings.Classes): // it stays where it is
			n.log.Error("a message of a journal that is inherited is passed over: its front or class is not known here",
				"journal", i.dir, "front", p.front, "id", p.id, "class", p.class)
			continue
		case own == nil:
			n.messages[ref(p.front, p.id)] = p
		case n.isSame(own, p):
			n.log.Warn("a message of a journal that is inherited was handed in here as well", "journal", i.dir, "front", p.front, "id", p.id)
			j.add(record(recOver, p.seq))
			continue
		default: // it is owed all the same, under its number alone
			n.log.Warn("a message of a journal that is inherited has the id of another one here", "journal", i.dir, "front", p.front, "id", p.id)
		}
		if p.ended != nil {
			f.oweAgain(p)
			continue
		}
		*n.count(p)++
		n.noteUnknownAttempt(p, i.stale)
		if n.cfg.Recorder != nil {
			n.cfg.Recorder.Handed(Handed{Name: p.name(), Front: p.front, ID: p.id, Came: n.now()})
		}
		events = append(events, n.resumed(p))
	}
	for _, w := range j.running(time.Now()) {
		until := j.waits[w]
		n.journal.wait(w, until)
		events = append(events, choice.Waits{Dest: w.dest, Endpoint: w.endpoint, Until: n.at(until)})
	}
	n.log.Info("a journal is inherited", slog.String("journal", i.dir), "messages", len(j.live))
	n.acts = append(n.acts, act{do: func() { i.reply <- nil }})
	return events
}

// Done gives back journals that were inherited and owe nothing more, and returns their folders. It may be called by many goroutines at a time.
func (n *Engine) Done(ctx context.Context) ([]string, error) {
	return askLoop(ctx, n, func(reply chan []string) any { return emptied(reply) })
}

// Open is how many messages the engine still owes something, in all journals. It may be called by many goroutines at a time.
func (n *Engine) Open(ctx context.Context) (int, error) {
	return askLoop(ctx, n, func(reply chan int) any { return counted(reply) })
}

type (
	emptied chan []string
	counted chan int
)

// askLoop asks the loop by an event with a channel for the answer.
func askLoop[T any](ctx context.Context, n *Engine, event func(reply chan T) any) (answer T, err error) {
	reply := make(chan T, 1)
	select {
	case n.events <- event(reply):
	case <-n.over:
		return answer, ErrStopped
	case <-ctx.Done():
		return answer, ctx.Err()
	}
	select {
	case answer = <-reply:
		return answer, nil
	case <-n.over:
		return answer, ErrStopped
	case <-ctx.Done():
		return answer, ctx.Err()
	}
}

func (n *Engine) giveBack(reply emptied) {
	var all []string
	for base, j := range n.inherited {
		if len(j.live) > 0 || len(j.pending) > 0 {
			continue
		}
		if err := j.close(); err != nil {
			n.log.Error("a journal that was inherited can't be closed", "journal", j.dir, "err", err)
		}
		delete(n.inherited, base)
		all = append(all, j.dir)
	}
	reply <- all
}

// Copy has all journals tell their streams anew: for a node that is to hold them and has nothing of them yet.
func (n *Engine) Copy(stream string) {
	select {
	case n.events <- retold(stream):
	case <-n.over:
	}
}

type retold string

func (n *Engine) copyAgain(stream string) {
	for _, j := range n.journals() {
		if j.dir == stream && j.copied {
			if err := j.anew(); err != nil {
				n.log.Error("a journal can't be told anew", "journal", stream, "err", err)
			}
		}
	}
}
