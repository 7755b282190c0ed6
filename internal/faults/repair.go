package faults

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"starlingusher/peers"
)

// ErrUnrepaired says that what was lost with a machine is not held again in time.
var ErrUnrepaired = errors.New("what a machine has lost is not held again")

// repair follows how streams come to have all their copies again after a loss. A stream is whole once all that it had when it was first looked
// at is at its owner and at as many noted holders as it is to have: from then on the loss of one machine loses nothing of that.
type repair struct {
	copies int
	first  map[string]uint64 // how far each stream came when it was first looked at
	whole  map[string]bool
}

func newRepair(copies int) *repair {
	return &repair{copies: copies, first: map[string]uint64{}, whole: map[string]bool{}}
}

// look takes what all nodes tell, and returns a stream that is not whole yet, with the reason; empty if there is none.
func (r *repair) look(all []peers.CopyStatus) string {
	lacks := map[string]string{}
	for _, st := range all {
		for _, l := range st.Held {
			lacks[l.Stream] = "nobody goes on with it"
		}
	}
	for _, st := range all {
		for _, l := range st.Own {
			lacks[l.Stream] = r.owned(l)
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(lacks)) {
		if why := lacks[stream]; why == "" {
			r.whole[stream] = true
		} else if !r.whole[stream] {
			return stream + ": " + why
		}
	}
	return ""
}

// owned tells what a stream that has an owner lacks.
func (r *repair) owned(l peers.OwnLine) string {
	first, seen := r.first[l.Stream]
	if !seen {
		first = l.Mark
		r.first[l.Stream] = first
	}
	if len(l.Holders) < r.copies {
		return fmt.Sprintf("its holders are %v", l.Holders)
	}
	for _, h := range l.Holders {
		if behind, told := l.Behind[h]; !told || behind < 0 || l.Mark-uint64(behind) < first {
			return fmt.Sprintf("%s has not all up to %d", h, first)
		}
	}
	return ""
}

// Repaired waits until what machines have lost is held again, and tells how long that took.
func (f *Fleet) Repaired(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.o.Patience)
	defer cancel()
	r := newRepair(f.o.Copies)
	why := "nothing was heard"
	for {
		all, err := f.copyStatus(ctx)
		switch {
		case err == nil:
			why = r.look(all)
		case ctx.Err() == nil:
			why = err.Error()
		} // else the question itself was cut short, and what was heard before counts
		if why == "" {
			return time.Since(begun), nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return 0, fmt.Errorf("%w after %v: %s", ErrUnrepaired, f.o.Patience, why)
		}
	}
}

// copyStatus is what all nodes tell of copies.
func (f *Fleet) copyStatus(ctx context.Context) (all []peers.CopyStatus, err error) {
	for i := range f.nodes {
		st, err := f.Look(ctx, i)
		if err != nil {
			return nil, fmt.Errorf("n%d: %w", i, err)
		}
		if st.Copies == nil {
			return nil, fmt.Errorf("n%d has no copies yet", i)
		}
		all = append(all, *st.Copies)
	}
	return all, nil
}
