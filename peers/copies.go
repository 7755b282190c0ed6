package peers

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/delivery"
	"starlingusher/peers/copies"
	"starlingusher/peers/copies/shelf"
	"starlingusher/peers/lease"
	"starlingusher/peers/link"
	"starlingusher/peers/member"
)

const (
	copyTick     = 20 * time.Millisecond
	copyPatience = 500 * time.Millisecond // after which what is not held is given up as such
	copyAlive    = 300 * time.Millisecond // between two frames to a holder, if there is nothing to say
	heirEvery    = 200 * time.Millisecond
	emptyEvery   = time.Second
	idName       = "copies.id" // names the folder's stream
	inheritedDir = "inherited"
	ringBytes    = 8 << 20 // of frames that are kept for holders that are behind
	frameBytes   = 256 << 10
	refuseAfter  = 500 * time.Millisecond
)

// ErrPast says that a node's folder is not the last of its stream: another node has taken it up, or holders have more of it.
var ErrPast = errors.New("this node's journal is past: others have gone on with it")

// Engine is what copies need of the engine whose journals they are.
type Engine interface {
	// Inherit takes on a journal, and with stale whatever may not be repeated in it counts as if it may have run.
	Inherit(ctx context.Context, dir string, stale bool) error
	// Open is how many messages it still owes something.
	Open(ctx context.Context) (int, error)
	// Done gives back inherited journals that owe nothing more.
	Done(ctx context.Context) ([]string, error)
	// Copy has a journal told as a whole.
	Copy(stream string)
}

// Copies has this node's journal held by others, and holds theirs. It is a delivery.Copies.
type Copies struct {
	s     *Service
	cfg   *Copying
	state string
	store *shelf.Store
	id    string // of the folder
	life  uint64
	anew  bool // the folder has its id since this start: nobody can have gone on with its stream
	begun time.Duration
	wake  chan struct{}
	fatal chan error
	ready chan struct{} // closed once there is an engine
	work  sync.WaitGroup

	mu      sync.Mutex
	engine  Engine
	streams map[string]*stream // by folder
	tickets []ticket
	out     delivery.Covered
	fresh   chan struct{}
	heard   map[string]time.Duration // streams that are held: when their owners were last heard
	nodes   []copies.Node            // that are there
	reading map[string]bool          // streams that are being inherited
	again   map[string]time.Duration // when streams that could not be inherited are tried again
	leaves  bool                     // for good
}

// ticket waits for some streams.
type ticket struct {
	number uint64
	of     map[*stream]bool
	short  bool
}

// stream is a journal that this node owns.
type stream struct {
	name    string // of its lease
	dir     string
	owner   *copies.Owner
	epoch   uint64
	epochs  []uint64 // in which this folder has gone on with it, the last ones
	frames  []copies.Frame
	base    int // of the first frame's place among all
	bytes   int
	more    chan struct{}
	senders map[string]context.CancelFunc
	lazy    bool // frames wait for others, or for the next tick
	wanted  bool // its lease
	engine  bool // the engine has it
	closed  bool // it is noted as over
	heir    bool // this node has just read it from its holders
}

func chainOf(c delivery.Chain) copies.Chain { return copies.Chain{Mark: c.Mark, Digest: c.Digest} }

func streamName(node, id string) string { return "owner/" + node + "/" + id }

func openCopies(s *Service, state string) (*Copies, error) {
	store, err := shelf.Open(state, int64(s.o.File.Copies.DiskMB)<<20)
	if err != nil {
		return nil, err
	}
	c := &Copies{
		s: s, cfg: s.o.File.Copies, state: state, store: store, begun: s.now(), wake: make(chan struct{}, 1), fatal: make(chan error, 1), ready: make(chan struct{}),
		streams: map[string]*stream{}, fresh: make(chan struct{}, 1), heard: map[string]time.Duration{}, reading: map[string]bool{}, again: map[string]time.Duration{},
	}
	for name := range store.Lines() {
		c.heard[name] = c.begun
	}
	if err := c.identify(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return c, nil
}

// identify reads which stream the folder's journal is, or draws a name for it.
func (c *Copies) identify() error {
	path := filepath.Join(c.state, idName)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		var b [8]byte
		rand.Read(b[:]) // never fails
		text, c.anew = []byte(hex.EncodeToString(b[:])), true
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("copies: %w", err)
	}
	c.id = strings.TrimSpace(string(text))
	raw, err := hex.DecodeString(c.id)
	if err != nil || len(raw) != 8 {
		return fmt.Errorf("copies: %s: %q is no id of a folder", path, c.id)
	}
	for _, b := range raw {
		c.life = c.life<<8 | uint64(b)
	}
	return nil
}

// Prepare finds out whether the folder's journal is the last of its stream, before an engine opens it. One that is past is put aside, and the
// node begins another. It waits for the voters and the holders no longer than a few terms; what is not known by then is found out while the engine
// runs, which does nothing by a journal that is not held.
func (c *Copies) Prepare(ctx context.Context) error {
	if c.anew {
		return nil
	}
	place, err := delivery.Place(c.state)
	if err != nil {
		return err
	}
	name := streamName(c.s.self.Name, c.id)
	ctx, cancel := context.WithTimeout(ctx, 3*c.s.o.File.Leases.Term)
	defer cancel()
	if err := c.s.leases.wantAs(ctx, name, c.life); err != nil {
		return nil // the voters are not heard
	}
	mine, err := epochs(c.state)
	if err != nil {
		return fmt.Errorf("copies: %w", err)
	}
	past := ""
	for past == "" && ctx.Err() == nil {
		news := c.s.leases.news()
		if g, ok := c.s.leases.grip(name); ok {
			past = c.compare(ctx, name, g, chainOf(place))
			break
		}
		if other := c.elsewhere(name, mine); other != "" {
			past = other + " has taken it up"
			break
		}
		select {
		case <-news:
		case <-ctx.Done():
		}
	}
	if past != "" {
		c.s.leases.rest(context.WithoutCancel(ctx), name)
		return c.setAside(past)
	}
	return nil
}

// compare holds the folder's place against what holders have.
func (c *Copies) compare(ctx context.Context, name string, g lease.Grip, at copies.Chain) string {
	note := copies.ParseNote(g.Note)
	if err := (&stream{dir: c.state}).grant(g.Token, note); err != nil {
		return err.Error()
	}
	for _, h := range note.Holders {
		ctx, cancel := context.WithTimeout(ctx, copyPatience)
		s, _, err := link.Fence(ctx, c.s.address(h), name, 0)
		cancel()
		if err == nil && (s.At.Mark > at.Mark || s.At.Mark == at.Mark && s.At.Digest != at.Digest) {
			return h + " holds more of it"
		}
	}
	return ""
}

// setAside keeps a journal that is past under another name, and begins another stream.
func (c *Copies) setAside(why string) error {
	c.s.o.Log.Error("this folder's journal is past and is put aside; the node begins anew", "why", why, "stream", c.id)
	old := filepath.Join(c.state, "journal")
	if err := os.Rename(old, old+".past-"+c.id); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("copies: %w", err)
	}
	for _, name := range []string{epochsName, idName} {
		if err := os.Remove(filepath.Join(c.state, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("copies: %w", err)
		}
	}
	return c.identify()
}

// Serve begins to have the engine's journals held. It is called once, before the engine runs.
func (c *Copies) Serve(e Engine) error {
	place, err := delivery.Place(c.state)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.engine = e
	c.own(c.state, streamName(c.s.self.Name, c.id), chainOf(place)).engine = true
	left, err := os.ReadDir(filepath.Join(c.state, inheritedDir))
	for _, d := range left {
		dir := filepath.Join(c.state, inheritedDir, d.Name())
		name, err1 := hex.DecodeString(d.Name())
		at, err2 := delivery.Place(dir)
		if err1 == nil && err2 == nil {
			c.own(dir, string(name), chainOf(at))
		}
	}
	c.mu.Unlock()
	close(c.ready)
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	return err
}

// Fatal tells when this node can't go on with its journal.
func (c *Copies) Fatal() <-chan error { return c.fatal }

func (c *Copies) fail(why string) {
	select {
	case c.fatal <- fmt.Errorf("%w: %s", ErrPast, why):
	default:
	}
}

// own notes a stream of this node's. The lock is held.
func (c *Copies) own(dir, name string, at copies.Chain) *stream {
	st := &stream{name: name, dir: dir, owner: copies.NewOwner(c.s.self.Name, c.cfg.K, copyPatience, at), more: make(chan struct{}), senders: map[string]context.CancelFunc{}}
	st.epochs, _ = epochs(dir) // an error says that nothing can be granted either
	st.owner.SetLacks(dir != c.state && isStale(dir))
	c.streams[dir] = st
	return st
}

// tell wakes those who send the stream. The lock is held.
func (st *stream) tell() {
	close(st.more)
	st.more, st.lazy = make(chan struct{}), false
}

// Takes is delivery.Copies's.
func (c *Copies) Takes() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[c.state]
	if st == nil || st.epoch == 0 || c.leaves {
		return refuseAfter, false
	}
	if _, _, leased := c.s.leases.may(st.name, 0); !leased || !st.owner.Holds(c.s.now()) {
		return refuseAfter, false
	}
	return 0, true
}

// Until is delivery.Copies's.
func (c *Copies) Until(dir string) time.Time {
	c.mu.Lock()
	st := c.streams[dir]
	c.mu.Unlock()
	if st == nil {
		return time.Time{}
	}
	_, until, leased := c.s.leases.may(st.name, 0)
	if !leased {
		return time.Time{}
	}
	return c.s.begun.Add(until)
}

// Append is delivery.Copies's.
func (c *Copies) Append(number uint64, chunks []delivery.Chunk, urgent bool) {
	now := c.s.now()
	c.mu.Lock()
	t := ticket{number: number, of: map[*stream]bool{}}
	for _, ch := range chunks {
		st := c.streams[ch.Stream]
		if st == nil {
			continue
		}
		f := copies.Frame{Stream: st.name, Before: chainOf(ch.Before), Records: ch.Records, Whole: ch.Whole}
		st.frames = append(st.frames, f)
		for st.bytes += len(f.Records); st.bytes > ringBytes && len(st.frames) > 1; st.base++ {
			st.bytes -= len(st.frames[0].Records)
			st.frames = st.frames[1:]
		}
		st.owner.Wrote(now, number, chainOf(ch.After))
		t.of[st] = true
		if st.lazy = !urgent; urgent {
			st.tell()
		}
	}
	c.tickets = append(c.tickets, t)
	c.mu.Unlock()
}

// Watch is delivery.Copies's.
func (c *Copies) Watch(ctx context.Context, tell func(delivery.Covered)) {
	for {
		select {
		case <-c.fresh:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		out := c.out
		c.out = delivery.Covered{}
		c.mu.Unlock()
		if out.Ticket > 0 {
			tell(out)
		}
	}
}

// run owns what happens by time, until ctx ends. Then nothing is told or sent any more.
func (c *Copies) run(ctx context.Context) {
	defer c.work.Wait()
	select {
	case <-c.ready:
	case <-ctx.Done():
		return
	}
	tick := time.NewTicker(copyTick)
	defer tick.Stop()
	var heirAt, emptyAt time.Duration
	emptied := make(chan struct{}, 1)
	emptied <- struct{}{}
	for {
		select {
		case <-tick.C:
			now := c.s.now()
			c.mu.Lock()
			for _, dir := range slices.Sorted(maps.Keys(c.streams)) {
				c.look(ctx, now, c.streams[dir])
			}
			c.cover()
			c.mu.Unlock()
		case <-c.wake: // an answer has come: what it covers, and nothing else, is looked at at once
			now := c.s.now()
			c.mu.Lock()
			for _, st := range c.streams {
				c.count(now, st)
			}
			c.cover()
			c.mu.Unlock()
			continue
		case <-ctx.Done():
			return
		}
		now := c.s.now()
		if now >= heirAt {
			heirAt = now + heirEvery
			c.heirs(ctx, now)
		}
		if now < emptyAt {
			continue
		}
		select {
		case <-emptied:
			emptyAt = now + emptyEvery
			c.work.Go(func() {
				c.empty(ctx)
				emptied <- struct{}{}
			})
		default: // the voters have yet to answer
		}
	}
}

// look does what one stream needs now. The lock is held.
func (c *Copies) look(ctx context.Context, now time.Duration, st *stream) {
	if st.lazy {
		st.tell()
	}
	if !st.wanted {
		st.wanted = true
		c.work.Go(func() { c.s.leases.wantAs(ctx, st.name, c.life) }) // an error says that the node ends
	}
	g, leased := c.s.leases.grip(st.name)
	switch other := c.elsewhere(st.name, st.epochs); {
	case leased && g.Token != st.epoch:
		note := copies.ParseNote(g.Note)
		if err := st.grant(g.Token, note); err != nil {
			if st.dir == c.state || st.engine {
				c.past(st, err.Error())
			} else {
				c.forget(ctx, st, err.Error())
			}
			return
		}
		st.owner.Granted(note, g.Token, g.Serial)
	case leased && !st.engine && st.owner.IsNoted():
		st.engine = true
		c.work.Go(func() { c.takeOn(ctx, st) })
	case !leased && other != "":
		if st.dir == c.state || st.engine && !st.closed {
			c.past(st, other+" has taken it up")
		} else {
			c.forget(ctx, st, other+" has taken it up")
		}
		return
	}
	if leased && !st.closed {
		self := copies.Node{Name: c.s.self.Name, Machine: c.s.self.Machine, Zone: c.s.self.Zone}
		st.owner.Choose(copies.Choose(st.name, self, c.nodes, c.cfg.K))
		if note, ok := st.owner.Ask(now, c.cfg.Alone); ok {
			epoch := st.epoch
			c.work.Go(func() { c.note(ctx, st, epoch, note) })
		}
	}
	targets := st.owner.Targets()
	for name, stop := range st.senders {
		if !slices.Contains(targets, name) {
			stop()
			delete(st.senders, name)
			st.owner.Lost(name)
		}
	}
	if st.epoch != 0 {
		for _, name := range targets {
			if st.senders[name] == nil {
				life, stop := context.WithCancel(ctx)
				st.senders[name] = stop
				c.work.Go(func() { c.sendTo(life, st, name) })
			}
		}
	}
	c.count(now, st)
}

// count takes a stream out of the tickets that wait for it no more. The lock is held.
func (c *Copies) count(now time.Duration, st *stream) {
	_, _, leased := c.s.leases.may(st.name, 0)
	number, short, ok := st.owner.Covered(now, leased)
	if !ok {
		return
	}
	for i := range c.tickets {
		if t := &c.tickets[i]; t.number <= number && t.of[st] {
			delete(t.of, st)
			t.short = t.short || short
		}
	}
}

// cover tells the engine of tickets that wait for no stream any more: those that are held, or those that are not, at a time. The lock is held.
func (c *Copies) cover() {
	for len(c.tickets) > 0 && len(c.tickets[0].of) == 0 {
		t := c.tickets[0]
		if c.out.Ticket > 0 && c.out.Short != t.short {
			break // the engine has yet to take the others
		}
		c.out = delivery.Covered{Ticket: t.number, Short: t.short}
		c.tickets = c.tickets[1:]
	}
	if c.out.Ticket > 0 {
		select {
		case c.fresh <- struct{}{}:
		default:
		}
	}
}

// elsewhere is who has the lease of a stream and has gone on with it, as the note says that is not of this folder's epochs: one that has the lease
// alone may find nothing to go on with, and gives it back. It is empty for nobody, or if nothing was heard.
func (c *Copies) elsewhere(name string, mine []uint64) string {
	l := c.s.leases.heardOf(name).Lease
	note := copies.ParseNote(l.Note)
	goneOn := note.Over || note.Epoch != 0 && !slices.Contains(mine, note.Epoch)
	if l.Owner.Name == c.s.self.Name || !goneOn {
		return ""
	}
	return l.Owner.Name
}

// epochs are those in which a folder's stream was gone on with, the last ones.
func epochs(dir string) (all []uint64, err error) {
	text, err := os.ReadFile(filepath.Join(dir, epochsName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("its epochs can't be read: %w", err)
	}
	for _, word := range strings.Fields(string(text)) {
		if n, err := strconv.ParseUint(word, 10, 64); err == nil {
			all = append(all, n)
		}
	}
	return all, nil
}

// writeEpochs keeps the last epochs of a folder's stream.
func writeEpochs(dir string, all []uint64) error {
	var text strings.Builder
	for _, epoch := range all[max(len(all)-mostEpochs, 0):] {
		fmt.Fprintln(&text, epoch)
	}
	if err := os.WriteFile(filepath.Join(dir, epochsName), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("its epoch can't be written: %w", err)
	}
	return nil
}

// epochsName names the file of the epochs that a stream's folder was gone on with in, the last ones.
const (
	epochsName = "copies.epochs"
	mostEpochs = 64 // as often a folder may be granted its lease with no note agreed on
)

// grant takes a token for a stream. It is an error if the note says that another has gone on with it since this folder did.
func (st *stream) grant(token uint64, note copies.Note) error {
	mine, err := epochs(st.dir)
	if err != nil {
		return err
	}
	switch {
	case note.Over:
		return errors.New("another has ended it")
	case st.heir || note.Epoch == 0 || note.Epoch == token || slices.Contains(mine, note.Epoch):
	default:
		return fmt.Errorf("another has gone on with it, by epoch %d", note.Epoch)
	}
	if !slices.Contains(mine, token) { // before the voters are asked to note it
		mine = append(mine, token)
		if err := writeEpochs(st.dir, mine); err != nil {
			return err
		}
	}
	st.epochs = mine
	st.epoch, st.heir = token, false
	return nil
}

// forget drops a stream that others have gone on with, and whose messages the engine does not have. The lock is held.
func (c *Copies) forget(ctx context.Context, st *stream, why string) {
	c.s.o.Log.Warn("an inherited journal is left to others", "stream", st.name, "why", why)
	c.drop(st)
	c.work.Go(func() {
		c.s.leases.rest(ctx, st.name)
		if err := os.RemoveAll(st.dir); err != nil {
			c.s.o.Log.Error("an inherited journal can't be removed", "stream", st.name, "err", err)
		}
	})
}

// drop takes a stream out, and lets nothing wait for it any more. The lock is held.
func (c *Copies) drop(st *stream) {
	for _, stop := range st.senders {
		stop()
	}
	for i := range c.tickets {
		delete(c.tickets[i].of, st)
	}
	delete(c.streams, st.dir)
}

// note asks the voters to write down who holds a stream.
func (c *Copies) note(ctx context.Context, st *stream, epoch uint64, note copies.Note) {
	r, err := c.askNote(ctx, st.name, epoch, note)
	outcome := copies.Unknown
	if err == nil && r.Done {
		outcome = copies.Agreed
	} else if err == nil {
		outcome = copies.Refused
	}
	c.mu.Lock()
	if st.epoch == epoch { // or it is of a question that nobody has any more
		st.owner.Noted(outcome)
	}
	c.mu.Unlock()
	c.s.o.Log.Info("copies", "stream", st.name, "epoch", epoch, "holders", note.Holders, "alone", note.Alone, "serial", note.Serial, "outcome", outcome.String())
	c.kick()
}

// askNote asks the voters to write a note down with the lease of an epoch.
func (c *Copies) askNote(ctx context.Context, name string, epoch uint64, note copies.Note) (lease.Result, error) {
	return c.s.leases.commandAs(ctx, lease.Command{Do: lease.Note, Name: name, Token: epoch, Reason: note.String(), Serial: note.Serial}, c.life)
}

func (c *Copies) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// past gives a stream up that others have gone on with. The lock is held.
func (c *Copies) past(st *stream, why string) {
	if st.dir == c.state {
		c.fail(why)
		return
	}
	c.fail("of " + st.name + ": " + why) // its messages are in the engine: only another start is sure to do nothing by them
}

// Take keeps a frame of another's stream.
func (c *Copies) Take(f copies.Frame) (copies.Shelf, copies.Verdict) {
	c.mu.Lock()
	c.heard[f.Stream] = c.s.now()
	c.mu.Unlock()
	if len(f.Records) == 0 && !f.Whole {
		at := c.store.Shelf(f.Stream)
		if f.Epoch < at.Fence {
			return at, copies.Past
		}
		return at, copies.Kept
	}
	at, v, err := c.store.Take(f)
	if err != nil {
		c.s.o.Log.Error("a copy can't be kept", "stream", f.Stream, "err", err)
	}
	return at, v
}

// Fence gives what is held of a stream to its heir.
func (c *Copies) Fence(name string, epoch uint64) (copies.Shelf, []byte, error) {
	if epoch == 0 {
		return c.store.Shelf(name), nil, nil
	}
	return c.store.Fence(name, epoch)
}

// know notes who is there. It is called from the service's goroutine.
func (c *Copies) know(all []member.Record) {
	var nodes []copies.Node
	for _, r := range all {
		if r.State == member.Alive {
			nodes = append(nodes, copies.Node{Name: r.Name, Machine: r.Machine, Zone: r.Zone})
		}
	}
	c.mu.Lock()
	c.nodes = nodes
	c.mu.Unlock()
}
