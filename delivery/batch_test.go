package delivery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/choice"
)

// batcher is a partner in memory that takes several messages in a call.
type batcher struct {
	*carrier
	doAll func(ctx context.Context, all []Attempt) []Result

	mu     sync.Mutex
	groups []string
	came   chan []Attempt
}

func newBatcher(doAll func(context.Context, []Attempt) []Result) *batcher {
	return &batcher{carrier: newCarrier(pass), doAll: doAll, came: make(chan []Attempt, 1000)}
}

func (b *batcher) Batches(dest int) bool       { return dest != 8 }
func (b *batcher) Room() int                   { return 1000 }
func (b *batcher) Size(_, _ string, n int) int { return n }

func (b *batcher) AttemptAll(ctx context.Context, all []Attempt) []Result {
	var ids []string
	for _, a := range all {
		ids = append(ids, a.ID)
	}
	b.mu.Lock()
	slices.Sort(ids) // those that came at one time go in any order
	b.groups = append(b.groups, strings.Join(ids, " "))
	b.mu.Unlock()
	b.came <- all
	return b.doAll(ctx, all)
}

func all(do func(context.Context, Attempt) Result) func(context.Context, []Attempt) []Result {
	return func(ctx context.Context, as []Attempt) []Result {
		res := make([]Result, len(as))
		for i, a := range as {
			res[i] = do(ctx, a)
		}
		return res
	}
}

// batchConfig is of an engine whose kinds take four messages in a call.
func batchConfig(state string, members ...Member) Config {
	cfg := config(state, members...)
	cfg.Settings.Kinds, cfg.Settings.MaxOpen = []choice.Kind{{Batch: 4}}, 40
	cfg.Settings.Tenants = []choice.Tenant{{PerSecond: 1000}, {PerSecond: 1000}}
	return cfg
}

func draining(m Member) Member { m.Phase = choice.Draining; return m }

// Several messages go in one call if the carriers of all fronts can: else nobody might carry another front's.
func TestOnlyBatchersShareCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		other bool // there is a front whose carrier takes one message at a time
		dest  int
		want  []int // messages in each call with several
	}{
		{"all can", false, 7, []int{2, 4}},
		{"one can't", true, 7, nil},
		{"not to this destination", false, 8, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := at(t, "e", c.dest)
			b, members := newBatcher(all(pass)), make(source)
			cfg := batchConfig(t.TempDir(), draining(m))
			cfg.Members = members
			fronts := []Front{{Carrier: b, Sink: &sink{}}, {Name: "second", Carrier: b, Sink: &sink{}}}
			if c.other {
				fronts[1].Carrier = newCarrier(pass)
			}
			n, _ := start(t, cfg, fronts...)
			for i := range 6 {
				msg := message(fmt.Sprint("m", i), status, 50*time.Second)
				msg.Dest = c.dest
				if a := n.Hand([]string{"", "second"}[i%2], msg); a != (Answer{}) {
					t.Fatalf("%d: %+v", i, a)
				}
			}
			members <- List{Members: []Member{m}}
			eventually(t, "the last delivery", func() bool { // the calls end in any order
				for i := range 6 {
					if _, err := n.Lookup(t.Context(), []string{"", "second"}[i%2], fmt.Sprint("m", i)); err != ErrMissing {
						return false
					}
				}
				return true
			})
			b.mu.Lock()
			defer b.mu.Unlock()
			var got []int // which go together hangs on which are equal to the decisions
			for _, g := range b.groups {
				got = append(got, len(strings.Fields(g)))
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("calls with several: %v, want so many: %v", b.groups, c.want)
			}
		})
	}
}

// What a carrier does not tell of may have run: payouts end as failed.
func TestACarrierThatTellsTooLittle(t *testing.T) {
	m := at(t, "e", 7)
	members, s := make(source), &sink{}
	cfg := batchConfig(t.TempDir(), draining(m))
	cfg.Members = members
	b := newBatcher(func(_ context.Context, as []Attempt) []Result { return []Result{{Outcome: choice.Pass, Closed: true}} })
	n, _ := start(t, cfg, Front{Carrier: b, Sink: s})
	for _, id := range []string{"a", "b", "c"} {
		if a := n.Hand("", message(id, payout, 50*time.Second)); a != (Answer{}) {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	members <- List{Members: []Member{m}}
	eventually(t, "two failures", func() bool {
		failed := 0
		for _, id := range []string{"a", "b", "c"} {
			if s.state(id) == "failed" {
				failed++
			}
		}
		return failed == 2
	})
}

// What is out when the process dies may have run, all of it: payouts end as failed, and keyed messages go again.
func TestACallWithSeveralOutlivesItsProcess(t *testing.T) {
	state := t.TempDir()
	m := at(t, "e", 7)
	n, err := Open(batchConfig(state, m), Front{Carrier: newBatcher(all(silent)), Sink: &sink{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.step(ctx, n.replayed(), nil)
	var batch []any
	for i, class := range []int{order, payout, order} {
		a := arrival{Message: message(fmt.Sprint("m", i), class, 50*time.Second), front: n.fronts[""], reply: make(chan Answer, 1)}
		a.Tenant = i
		batch = append(batch, a)
	}
	n.take(ctx, batch)
	if len(n.out) != 3 {
		t.Fatalf("%d attempts are out", len(n.out))
	}
	cancel()
	close(n.quit)
	n.calls.Wait()
	n.closeAll() // without the outcomes: as a kill leaves it

	b, s := newBatcher(all(pass)), &sink{}
	n, _ = start(t, batchConfig(state, m), Front{Carrier: b, Sink: s})
	eventually(t, "the payout's end", func() bool { return s.state("m1") == "failed" })
	eventually(t, "the others' ends", func() bool {
		_, err := n.Lookup(t.Context(), "", "m0")
		_, third := n.Lookup(t.Context(), "", "m2")
		return err == ErrMissing && third == ErrMissing
	})
	if ids := b.carrier.ids(); slices.Contains(ids, "m1") || slices.ContainsFunc(b.groups, func(g string) bool { return strings.Contains(g, "m1") }) {
		t.Errorf("the payout went again: %v and %v", ids, b.groups)
	}
}

// The journal keeps the tenant, across a compaction too; builds before pass it over, and records of theirs have none.
func TestTheJournalKeepsTheTenant(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 3)
	deadline := time.Now().Add(time.Minute)
	for i, p := range []*past{
		{id: "0"}, {id: "1", tenant: 1}, {id: "2", tenant: 200, front: "f", keep: true}, {id: "3", tenant: 3, first: deadline},
		{id: "4", tenant: 4, first: deadline, mayRun: deadline, mayZone: 2}, {id: "5", first: deadline},
	} {
		p.deadline, p.dest = deadline, i
		if _, err := j.accept(p); err != nil {
			t.Fatal(err)
		}
	}
	mustFlush(t, j)
	for round := range 2 {
		got := map[string]int{}
		for _, p := range openTest(t, dir, 3).live {
			got[p.id] = p.tenant
			if (p.id == "2") != (p.front == "f" && p.keep) || (p.id == "4") != (p.mayZone == 2) {
				t.Errorf("round %d: %+v", round, p)
			}
		}
		if want := map[string]int{"0": 0, "1": 1, "2": 200, "3": 3, "4": 4, "5": 0}; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("round %d: tenants %v, want %v", round, got, want)
		}
		if err := j.compact(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestUnknownTenantsAreTurnedAway(t *testing.T) {
	n, _ := start(t, batchConfig(t.TempDir(), at(t, "e", 7)), Front{Carrier: newCarrier(pass), Sink: &sink{}})
	for tenant, ok := range map[int]bool{-1: false, 0: true, 1: true, 2: true, 3: false} {
		m := message(fmt.Sprint("of ", tenant), status, time.Minute)
		m.Tenant = tenant
		if a := n.Hand("", m); (a == Answer{}) != ok {
			t.Errorf("tenant %d: %+v", tenant, a)
		}
	}
}
