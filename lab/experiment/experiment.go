// Package experiment plays days of the laboratory over cores, keeps what it has played, and tells a gain from noise: two ways
// of playing (settings, tuned values, builds) are compared on the same seeds, pair by pair.
package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"starlingusher/lab/days"
)

// Arm is one way of playing.
type Arm struct {
	Name string
	Spec *days.Spec
	// Play, if given, plays in place of the emulator in this process, as another build does. It is called by many
	// goroutines at a time.
	Play func(ctx context.Context, seed uint64) (days.Outcome, error)
}

// Progress is how far an experiment is.
type Progress struct {
	Done, Kept, Total int // Kept are of an earlier run
	Left              time.Duration
}

// Plan is what is played: each arm on each seed.
type Plan struct {
	Arms    []Arm
	Seeds   []uint64
	Workers int              // at least 1
	Store   *Store           // nil to keep nothing
	Tell    func(Progress)   // called after each day, by one goroutine at a time; nil for nobody
	Now     func() time.Time // nil for time.Now
}

// Play plays what the store does not have yet, and returns all outcomes: by arm, in the order of the seeds. They do not
// depend on the number of workers nor on the order in which days were played. It ends with ctx, and what was played is kept.
func (p Plan) Play(ctx context.Context) ([][]days.Outcome, error) {
	now := p.Now
	if now == nil {
		now = time.Now
	}
	all := make([][]days.Outcome, len(p.Arms))
	keys := make([]string, len(p.Arms))
	type job struct{ arm, seed int }
	var jobs []job
	progress := Progress{Total: len(p.Arms) * len(p.Seeds)}
	for i, arm := range p.Arms {
		var err error
		if keys[i], err = armKey(arm); err != nil {
			return nil, err
		}
		all[i] = make([]days.Outcome, len(p.Seeds))
		for j, seed := range p.Seeds {
			o, ok, err := p.Store.get(keys[i], seed)
			if err != nil {
				return nil, err
			}
			if all[i][j] = o; ok {
				progress.Kept++
				continue
			}
			jobs = append(jobs, job{i, j})
		}
	}
	progress.Done = progress.Kept
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	todo := make(chan job)
	var mu sync.Mutex
	var workers sync.WaitGroup
	began := now()
	for range max(p.Workers, 1) {
		workers.Go(func() {
			for j := range todo {
				arm, seed := p.Arms[j.arm], p.Seeds[j.seed]
				o, err := arm.play(ctx, seed)
				if err != nil {
					cancel(fmt.Errorf("%s, seed %d: %w", arm.Name, seed, err))
					return
				}
				mu.Lock()
				all[j.arm][j.seed] = o
				if err := p.Store.put(keys[j.arm], o); err != nil {
					cancel(err)
				}
				progress.Done++
				if p.Tell != nil {
					played := progress.Done - progress.Kept
					progress.Left = now().Sub(began) / time.Duration(played) * time.Duration(progress.Total-progress.Done)
					p.Tell(progress)
				}
				mu.Unlock()
			}
		})
	}
feed:
	for _, j := range jobs {
		select {
		case todo <- j:
		case <-ctx.Done():
			break feed
		}
	}
	close(todo)
	workers.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return all, nil
}

func (a Arm) play(ctx context.Context, seed uint64) (days.Outcome, error) {
	if a.Play != nil {
		return a.Play(ctx, seed)
	}
	return a.Spec.Play(seed), nil
}

// Seeds are so many from one on.
func Seeds(from uint64, count int) []uint64 {
	all := make([]uint64, count)
	for i := range all {
		all[i] = from + uint64(i)
	}
	return all
}
