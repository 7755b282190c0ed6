package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Kind is a fault.
type Kind uint8

// The faults. Those down to Sever are of ways, the rest of processes.
const (
	CutWay  Kind = iota // from A to B
	CutPair             // both ways
	HangWay             // from A to B all is taken and nothing arrives
	Isolate             // all ways from and to A
	Mute                // all ways from A
	Halves              // between the nodes below A and the others
	Slow                // all ways: delay, and packets that overtake each other
	Lossy               // all ways: loss and repeats
	Choke               // the ways from A carry few packets
	Sever               // what is open on all ways breaks, once
	Kill                // SIGKILL, and started again when the fault ends
	Pause               // SIGSTOP, and SIGCONT when the fault ends
	LoseAll             // SIGKILL, the folder removed, and started again
	PutBack             // SIGKILL, the folder put back from a copy made at the start, and started again
	Crowd               // most nodes are killed at one instant
	kindCount
)

var kindNames = [...]string{"cut", "cut both ways", "hang", "isolate", "mute", "halves", "slow", "lossy", "choke", "sever", "kill", "pause", "lose", "put back", "crowd"}

func (k Kind) String() string { return kindNames[min(k, kindCount-1)] }

// Step is a fault that begins at a time and lasts.
type Step struct {
	At, For time.Duration
	Kind    Kind
	A, B    int
	AtActor bool // A is whoever acts by the witness's lease when the step begins
}

func (s Step) String() string {
	return fmt.Sprintf("%v for %v: %v n%d n%d", s.At.Round(time.Millisecond), s.For.Round(time.Millisecond), s.Kind, s.A, s.B)
}

// Draw makes a schedule from a seed. Each uses few kinds, so that what hurts together meets often.
func Draw(seed uint64, nodes int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 11))
	var some []Kind
	for range 2 + rng.IntN(3) {
		some = append(some, Kind(rng.IntN(int(kindCount))))
	}
	var all []Step
	for at := time.Duration(0); ; {
		at += time.Duration(float64(length) * (0.05 + 0.15*rng.Float64()))
		if at >= length {
			return all
		}
		a := rng.IntN(nodes)
		b := (a + 1 + rng.IntN(nodes-1)) % nodes
		all = append(all, Step{At: at, For: time.Duration((0.1 + 0.4*rng.Float64()) * float64(length)), Kind: some[rng.IntN(len(some))], A: a, B: b})
	}
}

// DrawLeases is Draw with every other fault aimed at whoever acts by a lease then.
func DrawLeases(seed uint64, nodes int, length time.Duration) []Step {
	steps := Draw(seed, nodes, length)
	for i := range steps {
		steps[i].AtActor = i%2 == 0
	}
	return steps
}

// ways are those that a step concerns.
func (s Step) ways(nodes int) (all [][2]int) {
	for i := range nodes {
		for j := range nodes {
			hit := false
			switch s.Kind {
			case CutWay, HangWay:
				hit = i == s.A && j == s.B
			case CutPair:
				hit = i == s.A && j == s.B || i == s.B && j == s.A
			case Isolate:
				hit = i == s.A || j == s.A
			case Mute, Choke:
				hit = i == s.A
			case Halves:
				hit = (i <= s.A) != (j <= s.A)
			case Slow, Lossy, Sever:
				hit = true
			}
			if hit && i != j {
				all = append(all, [2]int{i, j})
			}
		}
	}
	return all
}

// ill adds what a step does to a way.
func (s Step) ill(i Ill) Ill {
	switch s.Kind {
	case CutWay, CutPair, Isolate, Mute, Halves:
		i.Cut = true
	case HangWay:
		i.Hang = true
	case Slow:
		i.Delay, i.Reorder = 40*time.Millisecond, 300*time.Millisecond
	case Lossy:
		i.Loss, i.Repeat = 0.3, 0.3
	case Choke:
		i.Throttle = 200 * time.Millisecond
	}
	return i
}

// Play does the steps to a fleet, and heals all in the end.
func (f *Fleet) Play(ctx context.Context, steps []Step, length time.Duration) error {
	if err := f.copyFolders(); err != nil {
		return err
	}
	steps = slices.Clone(steps)
	begun := time.Now()
	type edge struct {
		at   time.Duration
		step int
		ends bool
	}
	var edges []edge
	for i, s := range steps {
		edges = append(edges, edge{s.At, i, false}, edge{min(s.At+s.For, length), i, true})
	}
	active := map[int]bool{}
	for len(edges) > 0 {
		next := 0
		for i, e := range edges {
			if e.at < edges[next].at {
				next = i
			}
		}
		e := edges[next]
		edges = append(edges[:next:next], edges[next+1:]...)
		t := time.NewTimer(e.at - time.Since(begun))
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		active[e.step] = !e.ends
		if steps[e.step].AtActor && !e.ends && f.witness != nil {
			if i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == f.witness.actor() }); i >= 0 {
				steps[e.step].A = i
			}
		}
		s := steps[e.step]
		if !e.ends && f.o.Copies > 0 && s.loses() && !anyLoses(steps, active, e.step) {
			waited, err := f.Repaired(ctx)
			if err != nil {
				return err
			}
			begun = begun.Add(waited) // what follows keeps its distance
		}
		f.illness(steps, active, s.Kind == Sever && !e.ends)
		if err := f.toProcess(ctx, s, e.ends, steps, active); err != nil {
			return err
		}
	}
	f.illness(nil, nil, false)
	var errs []error
	for _, n := range f.nodes {
		errs = append(errs, f.pause(n, false))
		if n.cmd == nil {
			errs = append(errs, f.run(ctx, n))
		}
	}
	return errors.Join(errs...)
}

// loses tells whether a step has a machine lose what it holds, or cuts it off before it does.
func (s Step) loses() bool { return s.Kind == Mute || s.Kind == LoseAll || s.Kind == PutBack }

// anyLoses tells whether a step but one that lasts has a machine lose what it holds.
func anyLoses(steps []Step, active map[int]bool, but int) bool {
	for i, s := range steps {
		if i != but && active[i] && s.loses() {
			return true
		}
	}
	return false
}

// illness sets every way to what the steps that last do to it together.
func (f *Fleet) illness(steps []Step, active map[int]bool, sever bool) {
	ills := map[[2]int]Ill{}
	for i, s := range steps {
		if active[i] {
			for _, w := range s.ways(f.o.Nodes) {
				ills[w] = s.ill(ills[w])
			}
		}
	}
	for i := range f.ways {
		for j, w := range f.ways[i] {
			if w != nil {
				w.set(ills[[2]int{i, j}], sever)
			}
		}
	}
}

// toProcess does to processes what a step does when it begins or ends.
func (f *Fleet) toProcess(ctx context.Context, s Step, ends bool, steps []Step, active map[int]bool) error {
	n := f.nodes[s.A]
	switch {
	case s.Kind == Pause:
		for i, o := range steps { // another that lasts has it stopped
			if ends && active[i] && o.Kind == Pause && o.A == s.A {
				return nil
			}
		}
		return f.pause(n, !ends)
	case s.Kind == Crowd:
		for i, other := range f.nodes {
			if i == s.A {
				continue // one is left
			}
			if !ends {
				f.kill(other)
			} else if err := f.again(ctx, other); err != nil {
				return err
			}
		}
	case s.Kind == Kill, s.Kind == LoseAll, s.Kind == PutBack:
		if ends {
			return f.again(ctx, n)
		}
		f.kill(n)
		state := filepath.Join(n.folder, "state")
		if s.Kind == Kill {
			return nil
		}
		f.history.process(n.i, lost, s.Kind.String())
		if err := os.RemoveAll(state); err != nil {
			return err
		}
		if s.Kind == PutBack {
			return os.CopyFS(state, os.DirFS(filepath.Join(n.folder, "copy")))
		}
		return os.MkdirAll(state, 0o700)
	}
	return nil
}

// again starts a node that is down.
func (f *Fleet) again(ctx context.Context, n *node) error {
	if n.cmd != nil {
		return nil
	}
	return f.run(ctx, n)
}

// copyFolders keeps what the folders are like now.
func (f *Fleet) copyFolders() error {
	var errs []error
	for _, n := range f.nodes {
		to := filepath.Join(n.folder, "copy")
		errs = append(errs, os.RemoveAll(to), os.CopyFS(to, os.DirFS(filepath.Join(n.folder, "state"))))
	}
	return errors.Join(errs...)
}

// Agree waits until all nodes know the same: who is there and by which life, that they hear the voters, and what was counted.
// It tells how long that took.
func (f *Fleet) Agree(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.o.Patience)
	defer cancel()
	why := "nothing was heard"
	for {
		if told := f.apart(ctx); told == "" || ctx.Err() == nil { // else the question itself was cut short
			why = told
		}
		if why == "" {
			return time.Since(begun), nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return 0, fmt.Errorf("%w after %v: %s", ErrApart, f.o.Patience, why)
		}
	}
}

// apart tells what nodes differ in, nothing if they agree.
func (f *Fleet) apart(ctx context.Context) string {
	var first string
	for i := f.o.Deaf; i < f.o.Nodes; i++ {
		st, err := f.Look(ctx, i)
		if err != nil {
			return fmt.Sprintf("n%d: %v", i, err)
		}
		if st.Deaf {
			return fmt.Sprintf("n%d is deaf", i)
		}
		var view strings.Builder
		here := 0
		for _, m := range st.Members {
			if m.State == "alive" {
				here++
				fmt.Fprintf(&view, "%s %x; ", m.Name, m.Life)
			}
		}
		if here != f.o.Nodes-f.o.Deaf {
			return fmt.Sprintf("n%d knows of %d nodes: %s", i, here, view.String())
		}
		for _, r := range st.Routes {
			// Calls go on being counted only while there is traffic; it has ended.
			fmt.Fprintf(&view, "%d begun %d passed %d; ", r.Dest, r.Counts["begun"].Low, r.Counts["passed"].Low)
		}
		for _, e := range st.Known {
			fmt.Fprintf(&view, "%d %s; ", e.Dest, e.What)
		}
		if first == "" {
			first = view.String()
		} else if view.String() != first {
			return fmt.Sprintf("n%d: %s, n%d: %s", f.o.Deaf, first, i, view.String())
		}
	}
	return ""
}

// Ends waits until every message that was taken on has its end, but for those that went with a folder.
func (f *Fleet) Ends(ctx context.Context) error {
	late := time.Now().Add(deadline + f.o.Patience)
	for {
		for _, n := range f.discovery.Notices() {
			f.ends.Told(n.ID, n.State)
		}
		missing := f.missing()
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(late) {
			return fmt.Errorf("%w: %d, %s among them", ErrLost, len(missing), missing[0])
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *Fleet) missing() (all []string) {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for node, numbers := range f.history.took {
		for _, number := range numbers {
			id := fmt.Sprintf("%s-%d", nodeName(node), number)
			if !f.history.gone[id] && f.ends.End(id) == "" {
				all = append(all, id)
			}
		}
	}
	return all
}

// votersApart tells in what the voters of leases differ, nothing if all vote and know the same voters.
func (f *Fleet) votersApart(ctx context.Context) string {
	first, voters := "", min((f.o.Nodes-1)/2*2+1, 5)
	for i := f.o.Nodes - voters; i < f.o.Nodes; i++ {
		st, err := f.Look(ctx, i)
		if err != nil {
			return err.Error()
		}
		if st.Leases == nil || st.Leases.Standing != "in" || len(st.Leases.Voters) != voters {
			return fmt.Sprintf("n%d as a voter: %+v", i, st.Leases)
		}
		if known := fmt.Sprint(st.Leases.Voters); first == "" {
			first = known
		} else if first != known {
			return fmt.Sprintf("n%d knows the voters %s, another %s", i, known, first)
		}
	}
	return ""
}

// Round is one run: a fleet, a schedule, healing, and the checks. Its history is returned with what was wrong.
func Round(ctx context.Context, o Options, steps []Step, length time.Duration) (*History, time.Duration, error) {
	f, err := Start(ctx, o)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	if _, err := f.Agree(ctx); err != nil && !o.Silent {
		return f.history, 0, err
	}
	load, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		f.history.watch(load)
	}()
	defer func() {
		stop()
		<-watched
	}()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		f.Load(load)
	}()
	err = f.Play(ctx, steps, length)
	stop()
	<-loaded
	if err != nil {
		return f.history, 0, errors.Join(err, f.history.Check(), f.states())
	}
	if err := f.Ends(ctx); err != nil {
		return f.history, 0, errors.Join(err, f.history.Check())
	}
	healed := time.Duration(0)
	if !o.Silent {
		if healed, err = f.Agree(ctx); err != nil {
			return f.history, 0, errors.Join(err, f.history.Check(), f.states())
		}
	}
	if err := f.Acted(ctx); err != nil {
		return f.history, 0, errors.Join(err, f.history.Check())
	}
	return f.history, healed, f.history.Check()
}

// Acted waits until somebody acts by the lease again.
func (f *Fleet) Acted(ctx context.Context) error {
	if f.witness == nil {
		return nil
	}
	late := time.Now().Add(f.o.Patience)
	why := "no act"
	for before := f.witness.count(); why != ""; {
		if time.Now().After(late) {
			return fmt.Errorf("%w for %v after all is well: %s", ErrNoHolder, f.o.Patience, why)
		}
		if f.witness.count() > before {
			why = f.votersApart(ctx)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Shrink drops steps one by one as long as what is left still fails, and returns what is left.
func Shrink(steps []Step, fails func([]Step) bool) []Step {
	for i := 0; i < len(steps); {
		fewer := append(append([]Step(nil), steps[:i]...), steps[i+1:]...)
		if fails(fewer) {
			steps = fewer
		} else {
			i++
		}
	}
	return steps
}
