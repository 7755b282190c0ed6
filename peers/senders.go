package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"starlingusher/peers/copies"
	"starlingusher/peers/link"
)

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
	way, err := link.OpenCopy(ctx, addr)
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
	answered := make(chan struct{})
	c.work.Go(func() { gone <- c.answers(ctx, way, st, name, quiet, answered) })
	// What comes while a frame is on its way goes together in the next one.
	settle := func(frames int) error {
		for range frames {
			select {
			case <-answered:
			case err := <-gone:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	}
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
		frames := together(send)
		for _, f := range frames {
			f.Epoch = epoch
			if err := way.Send(&f); err != nil {
				return err
			}
		}
		if err := settle(len(frames)); err != nil {
			return err
		}
		select {
		case <-more:
		case <-alive.C:
			if err := way.Send(&copies.Frame{Stream: st.name, Epoch: epoch, Before: end}); err != nil {
				return err
			}
			if err := settle(1); err != nil {
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
func (c *Copies) answers(ctx context.Context, way *link.CopyWay, st *stream, name string, quiet *time.Timer, answered chan<- struct{}) error {
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
		select {
		case answered <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
