package faults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"starlingusher/internal/planted"
	"starlingusher/peers/lease"
	"starlingusher/peers/link"
)

// asked is a command of one node for one name, and told what became of it.
type asked struct {
	do    lease.Do
	node  string
	token uint64
}

type told struct {
	known bool // an answer came
	done  bool
	owner string
	token uint64
}

// held is a name as the model has it. A token of 0 with an owner is of a grant whose answer nobody heard.
type held struct {
	owner string
	token uint64
	last  uint64 // the largest token that was seen
}

// register is what a name has to look like from outside: a lease may end by itself at any time, tokens grow, what is read is so.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{held{}} },
	Step: func(state, input, output any) (next []any) {
		s := state.(held)
		// It may have ended before.
		for _, from := range []held{s, {last: s.last}} {
			for _, to := range steps(from, input.(asked), output.(told)) {
				next = append(next, to)
			}
		}
		return next
	},
}

// shown tells whether the answer shows the name as it is, and how it is then known better.
func shown(s held, out told) (held, bool) {
	switch {
	case s.owner != out.owner:
		return s, false
	case s.owner == "":
		return s, true
	case s.token == 0 && out.token > s.last:
		return held{s.owner, out.token, out.token}, true
	}
	return s, s.token == out.token
}

func steps(s held, in asked, out told) []held {
	switch in.do {
	case lease.Read:
		if !out.known {
			return []held{s}
		}
		if now, ok := shown(s, out); ok {
			return []held{now}
		}
	case lease.Take:
		switch mine := s.owner == in.node; {
		case !out.known && s.owner == "":
			return []held{s, {owner: in.node, last: s.last}}
		case !out.known:
			return []held{s}
		case out.done && mine:
			if now, ok := shown(s, out); ok {
				return []held{now}
			}
		case out.done && s.owner == "" && out.token > s.last:
			return []held{{in.node, out.token, out.token}}
		case !out.done && !mine:
			if now, ok := shown(s, out); ok { // free as well, where others are first in line
				return []held{now}
			}
		}
	case lease.Release:
		mine := s.owner == in.node && (s.token == in.token || s.token == 0 && in.token > s.last)
		free := held{last: max(s.last, s.token)}
		if mine {
			free.last = max(free.last, in.token)
		}
		switch {
		case !out.known && mine:
			return []held{s, free}
		case !out.known, !out.done && !mine, !out.done && s.token == 0:
			return []held{s}
		case out.done && mine:
			return []held{free}
		}
	}
	return nil
}

// history plays commands of one client a node against a fleet to which a schedule is done, and returns what was seen.
func history(ctx context.Context, o Options, length time.Duration) ([]porcupine.Operation, error) {
	f, err := Start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, err := f.Agree(ctx); err != nil {
		return nil, err
	}
	if err := f.Acted(ctx); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []porcupine.Operation
	begun := time.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i, n := range f.nodes {
		clients.Go(func() {
			to, err := link.Dial(n.talk)
			if err != nil {
				return
			}
			defer to.Close()
			rng := rand.New(rand.NewPCG(o.Seed, uint64(i)))
			token := uint64(0)
			for ctx.Err() == nil {
				in := asked{[]lease.Do{lease.Take, lease.Take, lease.Read, lease.Read, lease.Release}[rng.IntN(5)], n.name, token}
				if in.do == lease.Release && token == 0 {
					continue
				}
				op := porcupine.Operation{ClientId: i, Input: in, Call: int64(time.Since(begun))}
				within, end := context.WithTimeout(context.WithoutCancel(ctx), 700*time.Millisecond)
				r, err := to.Command(within, lease.Command{Do: in.do, Name: "name", Token: token})
				end()
				out := told{known: err == nil, done: r.Done, owner: r.Lease.Owner.Name, token: r.Lease.Token}
				op.Return = int64(time.Since(begun))
				if err != nil { // it may be done at any time from now on
					op.Return = int64(time.Hour)
				}
				op.Output = out
				if in.do == lease.Take && out.done {
					token = out.token
				}
				mu.Lock()
				all = append(all, op)
				mu.Unlock()
				if err != nil { // a client of its own goes on, later: what is open does not end before, and many of those are too much to tell
					i += len(f.nodes)
					time.Sleep(500 * time.Millisecond)
				}
				select {
				case <-time.After(time.Duration(20+rng.IntN(80)) * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	err = f.Play(ctx, Draw(o.Seed, o.Nodes, length), length)
	stop()
	clients.Wait()
	return all, err
}

// ErrNotOne says that what nodes were told of a name is not what one register would have told.
var ErrNotOne = errors.New("a name was not as one register")

// errTooMany says that the checker ran out of its time, which is no verdict.
var errTooMany = errors.New("too many commands without an answer to tell")

func linear(all []porcupine.Operation) error {
	switch result := porcupine.CheckOperationsTimeout(register.ToModel(), all, time.Minute); result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return fmt.Errorf("%w: %d commands", errTooMany, len(all))
	default:
		return fmt.Errorf("%w: %d commands", ErrNotOne, len(all))
	}
}

// What nodes are told of one name, taken, renewed, given back and read through all of them while ways and processes suffer, is as if one
// register had been asked: a read shows no lease that had ended before it was asked.
func TestHistories(t *testing.T) {
	eachSeed(t, number("CORALYARD_HISTORIES", 2), uint64(number("CORALYARD_SEED", 40)), func(t *testing.T, o Options) {
		all, err := history(t.Context(), historyOptions(o), 4*time.Second)
		if err == nil {
			err = linear(all)
		}
		if errors.Is(err, errTooMany) {
			t.Skip(err)
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d commands", len(all))
	})
}

// historyOptions are of five nodes, whose leases end often.
func historyOptions(o Options) Options {
	o.Nodes, o.Leases, o.Rate = 5, 600*time.Millisecond, 1
	return o
}

// Faults of leases that rounds of processes find. It takes minutes, and runs where CORALYARD_PLANTED is set, to the most rounds that are played for each.
func TestPlantedFaultsOfLeases(t *testing.T) {
	const length = 5 * time.Second
	plantedRounds(t, []plantedFault{
		{planted.Fault{Name: "a holder counts from the next question", File: "peers/lease/holder.go", Old: "until := h.grips[q.name], q.at+h.cfg.Term", New: "until := h.grips[q.name], h.asked[q.name]+3*h.cfg.Term"}, ErrTwoHolders},
		{planted.Fault{Name: "a lease ends at once", File: "peers/lease/voter.go", Old: "float64(s.Term) * (1 + s.Drift) / (1 - s.Drift)", New: "float64(s.Term) / 3"}, ErrTwoHolders},
		{planted.Fault{Name: "an act has no bound", File: "peers/duties.go", Old: "context.WithTimeout(ctx, within)", New: "context.WithCancel(ctx)"}, ErrTwoHolders},
		{planted.Fault{Name: "what was promised is forgotten over a restart", File: "peers/lease/folder/folder.go", Old: "\tif w.Sync || w.Snapshot != nil {", New: "\tw.Hard, w.Entries = nil, nil\n\tif w.Sync || w.Snapshot != nil {"}, nil},
		{planted.Fault{Name: "a lost folder keeps its vote", File: "peers/leases.go", Old: "voters, kept, draw, s.now())", New: "voters, kept, func() uint64 { return uint64(len(s.self.Name)) + uint64(s.self.Name[1]) }, s.now())"}, nil},
		{planted.Fault{Name: "an old copy is believed", File: "peers/lease/admission.go", Old: "case h.Seen > a.id.Count:", New: "case h.Seen > a.id.Count+1<<40:"}, nil},
		{planted.Fault{Name: "a snapshot that got lost is not sent again", File: "peers/lease/voter.go", Old: "v.node.ReportSnapshot(id, raft.SnapshotFailure)", New: "_ = id"}, ErrNoHolder},
		{planted.Fault{Name: "who is taken in gets a snapshot without him", File: "peers/lease/voter.go", Old: "\tv.since = compactEvery // who", New: "\t// who"}, ErrNoHolder},
	}, func(ctx context.Context, o Options) error {
		o.Nodes, o.Leases, o.Rate = 5+2*int(o.Seed%2), time.Second, 4
		_, _, err := Round(ctx, o, DrawLeases(o.Seed, o.Nodes, length), length)
		return err
	})
	plantedRounds(t, []plantedFault{
		{planted.Fault{Name: "a read is served by whoever is asked", File: "peers/lease/node.go", Old: "\t\t\tn.remember(c.Above)\n", New: "\t\t\tn.remember(c.Above)\n\t\t\tif v := n.Voter(); v != nil && c.Do == Read {\n\t\t\t\tl := v.table.Leases[c.Name]\n\t\t\t\tl.Name = c.Name\n\t\t\t\tn.send(Out{To: from, Message: Message{Kind: Tell, Answers: []Answer{{c.Asker, c.Ask, Result{Done: true, Lease: l}}}}})\n\t\t\t\tcontinue\n\t\t\t}\n"}, ErrNotOne},
	}, func(ctx context.Context, o Options) error {
		all, err := history(ctx, historyOptions(o), 4*time.Second)
		if err == nil {
			err = linear(all)
		}
		if errors.Is(err, errTooMany) {
			return nil
		}
		return err
	})
}
