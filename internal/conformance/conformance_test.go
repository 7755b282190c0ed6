package conformance

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// scenario is a class, a fault and, in some, a restart. All run in all forms by the same code, and all must record
// the same.
type scenario struct {
	name  string
	class int
	life  time.Duration // 20 s if not given
	dest  int           // 7 if not given
	// before is what the partner does until a kill, or in all if there is none; after a kill it answers well. Each play
	// has a script of its own, as some count.
	before  func() standin.Script
	down    bool // the partner refuses connections before the kill
	held    bool // there is no endpoint to send to before the kill
	second  bool // there is a second endpoint, that refuses connections
	drained bool // there is a second endpoint, that drains
	// kill says when the process is killed; none if empty.
	kill string
	want string // the final answer
	runs int    // calls that have run,
	did  int    // and effects, once the destination has dropped repeats of a key
}

const (
	status, order, payout = 0, 1, 2

	onCall = "its call has come"
	onHold = "it is taken on"
	onEnd  = "its end is owed"
	twice  = "its call has come, in two lives"
)

func all() []scenario {
	step := func(f standin.Fault) func() standin.Script {
		return func() standin.Script { return standin.Then(standin.Step{Fault: f, Wait: 300 * time.Millisecond}) }
	}
	every := func(f standin.Fault) func() standin.Script {
		return func() standin.Script { return standin.Each(standin.Step{Fault: f}) }
	}
	const short = 900 * time.Millisecond
	var list []scenario
	add := func(name string, s scenario, want [3]string, runs, did [3]int) {
		for class, c := range classes {
			one := s
			one.name, one.class, one.want, one.runs, one.did = c+", "+name, class, want[class], runs[class], did[class]
			list = append(list, one)
		}
	}
	done := [3]string{"delivered", "delivered", "delivered"}
	unsure := [3]string{"delivered", "delivered", "failed"}
	back := [3]string{"returned", "returned", "returned"}
	once, twoForSafe, none := [3]int{1, 1, 1}, [3]int{2, 1, 1}, [3]int{}
	repeated := [3]int{2, 2, 1}

	add("no fault", scenario{}, done, once, once)
	add("error", scenario{before: step(standin.Error)}, unsure, repeated, twoForSafe)
	add("reset", scenario{before: step(standin.Reset)}, unsure, repeated, twoForSafe)
	add("cut in the answer", scenario{before: step(standin.Cut)}, unsure, repeated, twoForSafe)
	add("over a limit", scenario{before: step(standin.Limit)}, done, once, once)
	add("full", scenario{before: step(standin.Full)}, done, once, once)
	add("silent once", scenario{before: step(standin.Silent), life: 8 * time.Second}, unsure, repeated, twoForSafe)
	add("nobody there", scenario{down: true, life: short}, back, none, none)
	add("one of two endpoints refuses", scenario{second: true}, done, once, once)
	add("one of two endpoints drains", scenario{drained: true}, done, once, once)
	add("no such destination", scenario{dest: 99}, [3]string{"invalid", "invalid", "invalid"}, none, none)
	add("killed while held", scenario{held: true, kill: onHold}, done, once, once)
	add("killed with its call out", scenario{before: every(standin.Silent), kill: onCall}, unsure, repeated, twoForSafe)
	add("killed twice with its call out", scenario{before: every(standin.Silent), kill: twice}, unsure, [3]int{3, 3, 1}, [3]int{3, 1, 1})
	// Of a payout that is killed in the middle of a refusal nobody can tell beforehand whether the refusal was noted.
	for _, s := range []scenario{
		{name: "status, killed after a refusal", class: status, before: every(standin.Limit), kill: onCall, want: "delivered", runs: 1, did: 1},
		{name: "order, killed after a refusal", class: order, before: every(standin.Limit), kill: onCall, want: "delivered", runs: 1, did: 1},
		{name: "status, killed while nobody is there", class: status, down: true, kill: onHold, want: "delivered", runs: 1, did: 1},
		{name: "order, killed while nobody is there", class: order, down: true, kill: onHold, want: "delivered", runs: 1, did: 1},
		{name: "payout, killed with its failure owed", class: payout, before: step(standin.Error), kill: onEnd, want: "failed", runs: 1, did: 1},
		{name: "payout, killed with its refusal owed", class: payout, down: true, life: short, kill: onEnd, want: "returned"},
		{name: "status, out of time on arrival", class: status, life: time.Millisecond, want: "returned"},
		{name: "payout, out of time on arrival", class: payout, life: time.Millisecond, want: "returned"},
	} {
		list = append(list, s)
	}
	return list
}

// record is what a form makes of a scenario.
type record struct {
	end     string
	runs    int
	effects map[string]int
}

func (r record) equal(o record) bool {
	return r.end == o.end && r.runs == o.runs && maps.Equal(r.effects, o.effects)
}

func (s scenario) play(t *testing.T, f form) record {
	t.Helper()
	ledger := standin.NewLedger()
	p := f.partner(t, ledger)
	if s.before != nil {
		p.Do(s.before())
	}
	if s.down {
		p.Refuse()
	}
	member := standin.Member{ID: "e", Addr: p.Addr(), Zone: "z", Kind: "m", Dest: 7, Phase: "SERVING", Size: 1000}
	members := []standin.Member{member}
	if s.second || s.drained {
		other := f.partner(t, ledger)
		m := member
		m.ID, m.Addr = "e2", other.Addr()
		if s.second {
			other.Refuse()
		} else {
			m.Phase = "DRAINING"
			other.Do(standin.Each(standin.Step{Fault: standin.Error})) // nothing may come here
		}
		members = append(members, m)
	}
	now := members
	if s.held {
		m := member
		m.Phase = "DRAINING"
		now = []standin.Member{m}
	}
	m := message{id: "m", class: s.class, dest: s.dest, life: s.life}
	if m.dest == 0 {
		m.dest = 7
	}
	if m.life == 0 {
		m.life = 20 * time.Second
	}
	if s.class == order {
		m.key = "key"
	}
	state := t.TempDir()
	f.start(t, state, now)
	if s.kill == onEnd {
		f.hold()
	}
	f.submit(t, m)
	calls := func(n int) {
		await(t, fmt.Sprintf("%d calls", n), func() bool { return len(ledger.Calls()) >= n })
	}
	switch s.kill {
	case onCall:
		calls(1)
	case onEnd:
		f.owed(t, m.id)
	case twice:
		calls(1)
		f.kill(t)
		f.start(t, state, now)
		if s.class != payout {
			calls(2)
		}
	}
	if s.kill != "" {
		f.kill(t)
		p.Do(nil)
		if again, ok := p.(interface{ Accept() error }); ok && s.down && s.kill == onHold {
			if err := again.Accept(); err != nil {
				t.Fatal(err)
			}
		}
		f.start(t, state, members)
	}
	var end string
	await(t, "the final answer", func() bool {
		end = f.end(t, m.id)
		return end != ""
	})
	runs := 0
	for _, n := range ledger.Runs() {
		runs += n
	}
	return record{end, runs, ledger.Effects(time.Hour)}
}

// TestConformance plays each scenario in each form.
func TestConformance(t *testing.T) {
	list := all()
	if len(list) < 25 {
		t.Fatalf("%d scenarios", len(list))
	}
	for _, s := range list {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			forms := []form{&daemonForm{}, &pluginForm{}, &as2Form{}}
			records := make([]record, len(forms))
			for i, f := range forms {
				records[i] = s.play(t, f)
				effects := 0
				for _, n := range records[i].effects {
					effects += n
				}
				if got := records[i]; got.end != s.want || got.runs != s.runs || effects != s.did {
					t.Errorf("%s: got %+v, want %s, %d runs, %d effects", f.name(), got, s.want, s.runs, s.did)
				}
			}
			for i, r := range records[1:] {
				if !r.equal(records[0]) {
					t.Errorf("%s recorded %+v, and %s %+v", forms[0].name(), records[0], forms[i+1].name(), r)
				}
			}
		})
	}
}
