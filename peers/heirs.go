package peers

import (
	"context"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"time"

	"starlingusher/delivery"
	"starlingusher/peers/copies"
	"starlingusher/peers/lease"
	"starlingusher/peers/link"
)

// heirs asks for the leases of streams that are held here and whose owners are not heard, and goes on with those that it gets.
func (c *Copies) heirs(ctx context.Context, now time.Duration) {
	c.mu.Lock()
	owned := map[string]bool{}
	for _, st := range c.streams {
		owned[st.name] = true
	}
	var gone, back []string
	for name := range c.store.Lines() {
		at, ok := c.heard[name]
		if !ok {
			at = c.begun
		}
		switch {
		case owned[name]:
		case now-at > c.cfg.Inherit && now < c.again[name]: // nobody could be read a moment ago
		case now-at > c.cfg.Inherit:
			gone = append(gone, name)
		default:
			back = append(back, name)
		}
	}
	c.mu.Unlock()
	for _, name := range back {
		if c.wantsAs(name) {
			c.work.Go(func() { c.s.leases.rest(ctx, name) })
		}
	}
	for _, name := range gone {
		if !c.wantsAs(name) {
			c.work.Go(func() { c.s.leases.wantAs(ctx, name, c.life) }) // an error says that the node ends
			continue
		}
		g, ok := c.s.leases.grip(name)
		c.mu.Lock()
		busy := c.reading[name]
		c.reading[name] = ok
		c.mu.Unlock()
		if ok && !busy {
			c.work.Go(func() {
				c.inherit(ctx, name, g.Token, copies.ParseNote(g.Note))
				c.mu.Lock()
				delete(c.reading, name)
				c.mu.Unlock()
			})
		}
	}
}

// wantsAs tells whether this node asks for a lease.
func (c *Copies) wantsAs(name string) bool {
	c.s.leases.mu.Lock()
	defer c.s.leases.mu.Unlock()
	return c.s.leases.wants[name] > 0
}

// inherit goes on with a stream whose lease this node has now.
func (c *Copies) inherit(ctx context.Context, name string, token uint64, note copies.Note) {
	log := c.s.o.Log
	if note.Over || len(note.Holders) == 0 {
		// All of it is ended, or nothing of it was ever said to be held.
		if err := c.store.Drop(name); err != nil {
			log.Error("a copy can't be dropped", "stream", name, "err", err)
		}
		c.work.Go(func() { c.s.leases.rest(ctx, name) })
		return
	}
	var found []copies.Found
	records := map[string][]byte{}
	for _, h := range note.Holders {
		var at copies.Shelf
		var err error
		if h == c.s.self.Name {
			at, records[h], err = c.store.Fence(name, token)
		} else {
			within, cancel := context.WithTimeout(ctx, copyPatience)
			at, records[h], err = link.Fence(within, c.s.address(h), name, token)
			cancel()
		}
		if err == nil {
			found = append(found, copies.Found{Holder: h, Shelf: at})
		}
	}
	from, missing := copies.Heir(note, found)
	if missing != "" {
		log.Warn("a journal can't be inherited yet", "stream", name, "why", missing)
		c.mu.Lock()
		c.again[name] = c.s.now() + c.cfg.Inherit
		c.mu.Unlock()
		c.work.Go(func() { c.s.leases.rest(ctx, name) }) // its owner may come back, and go on with its own folder
		return
	}
	at := copies.Begin(found[slices.IndexFunc(found, func(f copies.Found) bool { return f.Holder == from })].Shelf.At, token)
	dir := filepath.Join(c.state, inheritedDir, hex.EncodeToString([]byte(name)))
	err := os.RemoveAll(dir)
	if err == nil && note.Alone {
		err = markStale(dir)
	}
	if err == nil {
		err = delivery.Restore(dir, delivery.Chain{Mark: at.Mark, Digest: at.Digest}, records[from])
	}
	if err != nil {
		log.Error("a journal can't be inherited", "stream", name, "err", err)
		return
	}
	log.Warn("inherits a journal", "stream", name, "epoch", token, "from", from, "mark", at.Mark, "stale", note.Alone)
	c.mu.Lock()
	st := c.own(dir, name, at)
	st.wanted, st.heir = true, true
	c.mu.Unlock()
	c.kick()
}

// takeOn has the engine go on with a journal that this node inherited, in this life or an earlier one.
func (c *Copies) takeOn(ctx context.Context, st *stream) {
	err := c.engine.Inherit(ctx, st.dir, isStale(st.dir))
	switch {
	case err == nil:
		if err := clearStale(st.dir); err != nil { // another start marks it again, which does no harm
			c.s.o.Log.Error("a stale journal stays marked", "stream", st.name, "err", err)
		}
		c.mu.Lock()
		st.owner.SetLacks(false)
		c.mu.Unlock()
	case ctx.Err() == nil:
		c.s.o.Log.Error("a journal is not inherited", "stream", st.name, "err", err)
		c.mu.Lock()
		c.drop(st)
		c.mu.Unlock()
		c.s.leases.rest(ctx, st.name)
	}
}

// staleName names the file that says of a journal's folder that it was read from a copy which may lack what its owner did alone, and that its records do
// not say so yet. It outlasts the process: the note of the lease may have changed by the next start.
const staleName = "copies.stale"

func markStale(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, staleName), nil, 0o600)
}

// isStale tells whether a folder is marked. One that can't be looked at may be.
func isStale(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, staleName))
	return !errors.Is(err, os.ErrNotExist)
}

func clearStale(dir string) error {
	err := os.Remove(filepath.Join(dir, staleName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// empty ends streams that were inherited and owe nothing more. It is called by one goroutine at a time.
func (c *Copies) empty(ctx context.Context) {
	dirs, err := c.engine.Done(ctx)
	if err != nil {
		return // the engine ends
	}
	c.mu.Lock()
	for _, dir := range dirs {
		if st := c.streams[dir]; st != nil {
			st.closed = true
		}
	}
	var closed []*stream
	for dir, st := range c.streams {
		if st.closed && dir != c.state {
			closed = append(closed, st)
		}
	}
	c.mu.Unlock()
	for _, st := range closed {
		c.end(ctx, st)
	}
}

// end has the voters note that an inherited stream owes nothing more, and then drops it. Until they have, the copies have to stay: another heir would
// read them. It is tried again.
func (c *Copies) end(ctx context.Context, st *stream) {
	c.mu.Lock()
	note, epoch := st.owner.End(), st.epoch
	c.mu.Unlock()
	if r, err := c.askNote(ctx, st.name, epoch, note); err != nil || !r.Done {
		c.s.o.Log.Info("the end of an inherited journal is not noted yet", "stream", st.name, "epoch", epoch, "err", err)
		return
	}
	c.mu.Lock()
	c.drop(st)
	c.mu.Unlock()
	c.s.leases.rest(ctx, st.name)
	if err := errors.Join(os.RemoveAll(st.dir), c.store.Drop(st.name)); err != nil {
		c.s.o.Log.Error("an inherited journal can't be removed", "stream", st.name, "err", err)
	}
	c.s.o.Log.Info("an inherited journal owes nothing more", "stream", st.name)
}

// Drain has this node leave for good: it takes on nothing new, ends what it owes, leaves the others so that they choose other holders, and is done once
// its journal is noted as over and no note names it any more. It is asked again until then.
func (c *Copies) Drain(ctx context.Context) (link.Drained, error) {
	c.mu.Lock()
	if !c.leaves {
		c.leaves = true
		c.s.o.Log.Warn("drains: no new messages are taken on; this node is to be switched off for good")
	}
	engine, st := c.engine, c.streams[c.state]
	c.mu.Unlock()
	if engine == nil || st == nil {
		return link.Drained{}, errors.New("the node is just starting")
	}
	var d link.Drained
	var err error
	if d.Open, err = engine.Open(ctx); err != nil {
		return d, err
	}
	if d.Open == 0 {
		c.s.leave()
	}
	for name := range c.store.Lines() {
		r, err := c.s.leases.command(ctx, lease.Command{Do: lease.Read, Name: name})
		if err != nil {
			return d, err
		}
		if note := copies.ParseNote(r.Lease.Note); !note.Over && slices.Contains(note.Holders, c.s.self.Name) {
			d.Holds = append(d.Holds, name)
		}
	}
	slices.Sort(d.Holds)
	if d.Open > 0 || len(d.Holds) > 0 {
		return d, nil
	}
	c.mu.Lock()
	note, epoch := st.owner.End(), st.epoch
	st.closed = true
	c.mu.Unlock()
	r, err := c.askNote(ctx, st.name, epoch, note)
	d.Done = err == nil && r.Done
	return d, err
}
