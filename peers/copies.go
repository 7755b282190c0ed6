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
	"strings"
	"sync"
	"time"

	"starlingusher/delivery"
	"starlingusher/peers/copies"
	"starlingusher/peers/copies/shelf"
	"starlingusher/peers/lease"
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
	frames  []copies.Frame
	base    int // of the first frame's place among all
	bytes   int
	more    chan struct{}
	senders map[string]context.CancelFunc
	lazy    bool // frames wait for others, or for the next tick
	wanted  bool // its lease
	engine  bool // the engine has it
	stale   bool
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
		streams: map[string]*stream{}, fresh: make(chan struct{}, 1), heard: map[string]time.Duration{}, reading: map[string]bool{},
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
	past := ""
	for past == "" && ctx.Err() == nil {
		news := c.s.leases.news()
		if _, _, ok := c.s.leases.may(name, 0); ok {
			past = c.compare(ctx, name, chainOf(place))
			break
		}
		if other, _ := c.s.leases.other(name); other != "" && other != c.s.self.Name {
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
func (c *Copies) compare(ctx context.Context, name string, at copies.Chain) string {
	note := copies.ParseNote(c.s.leases.note(name))
	if note.Over {
		return "it was ended"
	}
	for _, h := range note.Holders {
		ctx, cancel := context.WithTimeout(ctx, copyPatience)
		s, _, err := linkFence(ctx, c.s.address(h), name, 0)
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
	if err := os.Remove(filepath.Join(c.state, idName)); err != nil {
		return fmt.Errorf("copies: %w", err)
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
	st := &stream{name: name, dir: dir, owner: copies.NewOwner(c.cfg.K, copyPatience, at), more: make(chan struct{}), senders: map[string]context.CancelFunc{}}
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
	if st == nil || st.epoch == 0 {
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
		if now >= emptyAt {
			emptyAt = now + emptyEvery
			c.work.Go(func() { c.empty(ctx) })
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
	token, _, leased := c.s.leases.may(st.name, 0)
	switch other, _ := c.s.leases.other(st.name); {
	case leased && token != st.epoch:
		st.epoch = token
		st.owner.Granted(copies.ParseNote(c.s.leases.note(st.name)))
		if !st.engine {
			st.engine = true
			c.work.Go(func() { c.takeOn(ctx, st) })
		}
	case !leased && other != "" && other != c.s.self.Name:
		c.past(st, other+" has taken it up")
		return
	}
	if leased {
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

// note asks the voters to write down who holds a stream.
func (c *Copies) note(ctx context.Context, st *stream, epoch uint64, note copies.Note) {
	r, err := c.s.leases.commandAs(ctx, lease.Command{Do: lease.Note, Name: st.name, Token: epoch, Reason: note.String()}, c.life)
	c.mu.Lock()
	st.owner.Noted(err == nil && r.Done)
	c.mu.Unlock()
	if err == nil && r.Done {
		c.s.o.Log.Info("copies", "stream", st.name, "epoch", epoch, "holders", note.Holders, "alone", note.Alone)
	}
	c.kick()
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

// sendTo has a holder told a stream, until ctx ends.
func (c *Copies) sendTo(ctx context.Context, st *stream, name string) {
	for ctx.Err() == nil {
		err := c.sendOnce(ctx, st, name)
		c.mu.Lock()
		st.owner.Lost(name)
		c.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			c.s.o.Log.Debug("a holder is not told", "holder", name, "stream", st.name, "err", err)
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (c *Copies) sendOnce(ctx context.Context, st *stream, name string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addr := c.s.address(name)
	if addr == "" {
		return errors.New("its address is not known")
	}
	way, err := linkOpenCopy(ctx, addr)
	if err != nil {
		return err
	}
	defer way.Close()
	quiet := time.AfterFunc(2*time.Second, cancel) // a way on which nothing comes back
	defer quiet.Stop()
	c.mu.Lock()
	hello := copies.Frame{Stream: st.name, Epoch: st.epoch, Before: st.owner.At()}
	c.mu.Unlock()
	if err := way.Send(&hello); err != nil {
		return err
	}
	at, v, err := way.Answer()
	if err != nil {
		return err
	}
	pos, err := c.meet(st, name, at, v)
	if err != nil {
		return err
	}
	gone := make(chan error, 1)
	c.work.Go(func() { gone <- c.answers(way, st, name, quiet) })
	alive := time.NewTicker(copyAlive)
	defer alive.Stop()
	for {
		c.mu.Lock()
		more := st.more
		if pos < st.base {
			c.mu.Unlock()
			return errors.New("it is too far behind")
		}
		var send []copies.Frame
		if i := pos - st.base; i < len(st.frames) {
			send = slices.Clone(st.frames[i:])
		}
		epoch, end := st.epoch, st.owner.At()
		c.mu.Unlock()
		pos += len(send)
		for _, f := range together(send) {
			f.Epoch = epoch
			if err := way.Send(&f); err != nil {
				return err
			}
		}
		select {
		case <-more:
		case <-alive.C:
			if err := way.Send(&copies.Frame{Stream: st.name, Epoch: epoch, Before: end}); err != nil {
				return err
			}
		case err := <-gone:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// together makes as few frames of some as can be: what is ready goes in one.
func together(all []copies.Frame) (few []copies.Frame) {
	for _, f := range all {
		if last := len(few) - 1; last >= 0 && !f.Whole && !few[last].Whole && len(few[last].Records)+len(f.Records) <= frameBytes {
			few[last].Records = append(slices.Clip(few[last].Records), f.Records...)
			continue
		}
		few = append(few, f)
	}
	return few
}

// meet finds the frame that a holder is to be sent first, by what it has.
func (c *Copies) meet(st *stream, name string, at copies.Shelf, v copies.Verdict) (pos int, err error) {
	c.mu.Lock()
	if v == copies.Past || at.Epoch > st.epoch {
		c.past(st, name+" has heard of a later epoch")
		c.mu.Unlock()
		return 0, errors.New("a later epoch")
	}
	end := st.base + len(st.frames)
	switch i := slices.IndexFunc(st.frames, func(f copies.Frame) bool { return f.Before == at.At }); {
	case at.At == st.owner.At():
		st.owner.Acked(name, at.At.Mark)
		c.mu.Unlock()
		c.kick()
		return end, nil
	case i >= 0:
		st.owner.Acked(name, at.At.Mark)
		c.mu.Unlock()
		return st.base + i, nil
	case at.At.Mark > st.owner.At().Mark:
		c.past(st, name+" holds more of it")
		c.mu.Unlock()
		return 0, errors.New("it has more")
	}
	engine := c.engine
	c.mu.Unlock()
	engine.Copy(st.dir)
	for late := time.After(2 * time.Second); ; {
		c.mu.Lock()
		for i := max(end-st.base, 0); i < len(st.frames); i++ {
			if st.frames[i].Whole {
				c.mu.Unlock()
				return st.base + i, nil
			}
		}
		more := st.more
		c.mu.Unlock()
		select {
		case <-more:
		case <-late:
			return 0, errors.New("the journal was not told anew")
		}
	}
}

// answers takes what a holder says, until its way ends.
func (c *Copies) answers(way copyWay, st *stream, name string, quiet *time.Timer) error {
	for {
		at, v, err := way.Answer()
		if err != nil {
			return err
		}
		quiet.Reset(2 * time.Second)
		c.mu.Lock()
		switch v {
		case copies.Kept:
			st.owner.Acked(name, at.At.Mark)
		case copies.Past:
			c.past(st, name+" has heard of a later epoch")
		}
		c.mu.Unlock()
		if v != copies.Kept {
			return fmt.Errorf("it answers: %v", v)
		}
		c.kick()
	}
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

// CopyStatus is what a node knows of journals that stand on further nodes.
type CopyStatus struct {
	Own  []OwnLine  `json:"own"`
	Held []HeldLine `json:"held"`
}

// OwnLine is a stream that this node goes on with.
type OwnLine struct {
	Stream    string           `json:"stream"`
	Inherited bool             `json:"inherited,omitempty"`
	Epoch     uint64           `json:"epoch"`  // 0 while its lease is not had
	Left      float64          `json:"left_s"` // of the lease
	Mark      uint64           `json:"mark"`
	Holders   []string         `json:"holders"`
	Alone     bool             `json:"alone,omitempty"`
	Holds     bool             `json:"holds"`  // new messages can be held now
	Behind    map[string]int64 `json:"behind"` // bytes that each holder lacks, -1 for one of which nothing is known
}

// HeldLine is a stream that this node holds for another.
type HeldLine struct {
	Stream string  `json:"stream"`
	Epoch  uint64  `json:"epoch"`
	Mark   uint64  `json:"mark"`
	Bytes  int64   `json:"bytes"`
	Heard  float64 `json:"heard_s"` // ago, of its owner
}

func (c *Copies) status(now time.Duration) *CopyStatus {
	st := &CopyStatus{Own: []OwnLine{}, Held: []HeldLine{}}
	lines := c.store.Lines()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, dir := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[dir]
		_, until, leased := c.s.leases.may(s.name, 0)
		line := OwnLine{Stream: s.name, Inherited: dir != c.state, Mark: s.owner.At().Mark, Holders: s.owner.Note().Holders, Alone: s.owner.Alone(), Holds: leased && s.owner.Holds(now), Behind: s.owner.Behind()}
		if leased {
			line.Epoch, line.Left = s.epoch, (until - now).Seconds()
		}
		st.Own = append(st.Own, line)
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		l := lines[name]
		at, ok := c.heard[name]
		if !ok {
			at = c.begun
		}
		st.Held = append(st.Held, HeldLine{name, l.Epoch, l.At.Mark, l.Bytes, (now - at).Seconds()})
	}
	return st
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
