package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func one() Listed { return list(Entry{Endpoint: "a", Dest: 0, Weight: 10}) }

func TestGateHysteresis(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline float64
		baseline float64
		currents []float64
		open     []bool
	}{
		{"ratio bounds", 0, 0.1, []float64{1, 7.9, 8.1, 7, 6.1, 5.9, 7.9}, []bool{true, true, false, false, false, true, true}},
		{"deadline bounds", 12, 1, []float64{5, 6.1, 5, 4.1, 3.9, 5.9}, []bool{true, false, false, false, true, true}},
		{"the lower of both acts", 100, 0.1, []float64{8.1, 5.9}, []bool{false, true}},
	} {
		g := gate{seen: true, baseline: c.baseline}
		for i, cur := range c.currents {
			if got := g.accepts(&usual, cur, c.deadline); got != c.open[i] {
				t.Errorf("%s: step %d, current %v: open is %v", c.name, i, cur, got)
			}
		}
	}
	if fresh := (gate{}); !fresh.accepts(&usual, 0, 10) {
		t.Error("a fresh gate must accept")
	}
}

func TestBaselineIsTheLowestAverageAndAges(t *testing.T) {
	var g gate
	now := time.Hour
	for range 20 {
		now += 100 * ms
		g.sample(&usual, now, 0.2)
	}
	for range 50 {
		now += 100 * ms
		g.sample(&usual, now, 5)
	}
	if g.baseline > 0.25 || g.average < 4 {
		t.Fatalf("baseline %v, average %v", g.baseline, g.average)
	}
	before := g.baseline
	for range 600 {
		now += time.Second
		g.sample(&usual, now, 5)
	}
	if g.baseline <= before*2 || g.baseline > g.average {
		t.Errorf("after ten minutes at a new base speed the baseline is %v, was %v", g.baseline, before)
	}
}

func TestShutGateRefusesAtOnceButLetsATrialIn(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	g := &w.s.dests[0].gate
	*g = gate{seen: true, baseline: 0.1, average: 9, at: w.now}
	w.step(5*ms, w.arrive("trial", 0, 0))
	if len(w.sends) != 1 || len(w.backs) != 0 {
		t.Fatalf("an idle shut gate must admit one trial: %v", w.log)
	}
	w.step(5*ms, w.arrive("next", 0, 0))
	if len(w.backs) != 1 || w.backs[0].ID != "next" || w.backs[0].RetryAfter <= 0 {
		t.Fatalf("a shut gate refuses with a retry-after: %v", w.log)
	}
	for i := range 30 {
		w.quiet(600 * ms)
		if len(w.out) > 0 {
			id := w.flights()[0].id
			w.step(5*ms, w.outcome(id, Pass, 0))
		}
		w.step(5*ms, w.arrive(fmt.Sprint("t", i), 0, 0))
	}
	if g.shut {
		t.Errorf("fast trials must open the gate; average %v", g.average)
	}
	w.finish()
}

func TestFailuresNeverReadHealthy(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	for i := range 5 {
		id := fmt.Sprint("m", i)
		w.step(200*ms, w.arrive(id, 0, 0))
		w.step(20*ms, w.outcome(id, Pass, 0))
	}
	was := w.s.dests[0].gate.average
	w.step(5*ms, w.arrive("x", 2, 0))
	w.step(5*ms, w.outcome("x", Fault, 0)) // a fast error
	if now := w.s.dests[0].gate.average; now < was+0.2*usual.Smoothing {
		t.Errorf("a fast error moved the average from %v to %v", was, now)
	}
	w.finish()
}

func TestRuleOneEveryMessageEnds(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, w.arrive("nowhere", 0, 9)) // no such destination, no list at all
	w.step(5*ms, one(), w.arrive("gone", 1, 0))
	w.step(5*ms, list(), w.outcome("gone", NoRoute, 0)) // its endpoint left
	w.step(5*ms, one(), w.arrive("slow", 2, 0))
	w.finish()
	if !slices.ContainsFunc(w.backs, func(b PushBack) bool { return b.ID == "nowhere" }) {
		t.Error("what never ran is refused, not failed")
	}
}

func TestRuleTwoEffects(t *testing.T) {
	t.Run("unsafe fails after an unsure end", func(t *testing.T) {
		w := newStory(t, settings(), 1)
		w.step(0, one(), w.arrive("u", 2, 0))
		w.step(5*ms, w.outcome("u", Cut, 0))
		if len(w.fails) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("unsafe goes again when nothing ran", func(t *testing.T) {
		w := newStory(t, settings(), 1)
		w.step(0, one(), w.arrive("u", 2, 0))
		w.step(5*ms, w.outcome("u", NoRoom, 0))
		w.quiet(time.Second)
		if len(w.sends) != 2 {
			t.Fatal(w.log)
		}
		w.finish()
	})
	t.Run("keyed is refused before its window ends", func(t *testing.T) {
		w := newStory(t, settings(), 1)
		w.step(0, one(), w.arrive("k", 1, 0))
		w.step(5*ms, w.outcome("k", TooSlow, 0), list())
		w.quiet(5 * time.Second)
		if len(w.backs) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("keyed of one zone stays there", func(t *testing.T) {
		cfg := settings()
		cfg.Classes[1].GroupAll = false
		w := newStory(t, cfg, 1)
		w.step(0, one(), w.arrive("k", 1, 0))
		other := list(Entry{Endpoint: "b", Zone: 1, Weight: 10})
		w.step(5*ms, w.outcome("k", Fault, 0), other)
		w.finish()
		if len(w.sends) != 1 || len(w.fails) != 1 {
			t.Fatal(w.log)
		}
	})
}

func TestRuleThreeDrainActsInItsStep(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, list(Entry{Endpoint: "a", Weight: 10}, Entry{Endpoint: "b", Weight: 10}))
	drain := Listed{Entries: []Entry{{Endpoint: "a", Phase: Draining}}}
	w.step(5*ms, w.arrive("1", 0, 0), w.arrive("2", 0, 0), w.arrive("3", 0, 0), drain)
	if len(w.sends) == 0 {
		t.Fatal("the other endpoint is free")
	}
	w.step(5*ms, Listed{Entries: []Entry{{Endpoint: "a", Weight: 10}, {Endpoint: "b", Phase: Gone}}})
	w.quiet(time.Second)
	w.step(5*ms, w.arrive("4", 0, 0))
	if last := w.sends[len(w.sends)-1]; last.Endpoint != "a" {
		t.Errorf("an endpoint may come back: %v", last)
	}
	w.finish()
}

// Messages held through an outage kept the gate shut for new ones that could be in time.
func TestOldHoldDoesNotShutTheGateAfterTheReturn(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one(), w.arrive("old", 0, 0))
	d := w.s.dests[0]
	w.step(7*time.Second, w.outcome("old", NoRoom, 0))
	d.gate = gate{seen: true, average: 1, baseline: 0.5, at: w.now}
	d.endpoints[0].route.coldFrom = w.now
	w.quiet(2 * time.Second)
	w.step(50*ms, w.outcome("old", Pass, 0))
	if d.gate.average > 3 {
		t.Errorf("the average is %v s after a hold through an outage", d.gate.average)
	}
	// The call that ends an outage starts the recovery at its own outcome; it still lasted as long as it did.
	w.step(5*ms, w.arrive("next", 0, 0))
	w.quiet(300 * ms)
	d.gate, d.endpoints[0].route.sick = gate{}, true
	w.step(5*ms, w.outcome("next", Pass, 0))
	if d.gate.baseline < 0.3 {
		t.Errorf("the baseline fell to %v s", d.gate.baseline)
	}
}

// A destination that is back cold must not be pushed over by the backlog that a fleet held through its outage,
// be the fleet two busy senders or many that seldom call there; nor must the backlog starve.
func TestRuleFourColdBudget(t *testing.T) {
	for _, fleet := range []int{2, 40} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) { coldFleet(t, fleet) })
	}
}

func coldFleet(t *testing.T, fleet int) {
	cfg := settings()
	cfg.Slots, cfg.MaxOpen, cfg.Fleet = 50, 400, fleet
	var senders []*story
	for i := range fleet {
		w := newStory(t, cfg, uint64(i))
		w.step(0, one()) // 10 calls a second
		senders = append(senders, w)
	}
	start := senders[0].now
	back, rng := start+8*time.Second, rand.New(rand.NewPCG(5, 5))
	var when []time.Duration
	served := 0
	for n := range 2400 {
		to := rng.IntN(fleet) // 6.7 messages a second in all
		for i, w := range senders {
			var events []Event
			for _, a := range w.flights() {
				f := w.out[a]
				if age := w.now - f.sent; age >= 50*ms {
					e := Ended{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Took: age, Outcome: NoRoute}
					if f.sent >= back {
						e.Outcome, e.Closed = Pass, true
						served++
					}
					events = append(events, e)
				}
			}
			if n%15 == 0 && i == to {
				events = append(events, w.arrive(fmt.Sprint("m", n), 0, 0))
			}
			before := len(w.sends)
			w.step(10*ms, append(events, Rang{})...)
			for range len(w.sends) - before {
				when = append(when, w.now)
			}
		}
	}
	for i, from := range when {
		if from < back {
			continue
		}
		count := 0
		for _, at := range when[i:] {
			if at < from+cfg.Fall {
				count++
			}
		}
		share := min(1, cfg.ColdFrom+(1-cfg.ColdFrom)*(from-back+cfg.Fall/2).Seconds()/cfg.WarmWithin.Seconds())
		if most := cfg.FallMultiple * share * 12 * cfg.Fall.Seconds(); float64(count) > most {
			t.Fatalf("%d calls in the window from %v after the return, at most %.1f", count, from-back, most)
		}
	}
	if served < 70 {
		t.Errorf("only %d of 160 messages served: the backlog starves", served)
	}
}

// A wake that rings a little early is asked for again; else what waits would wait for other news.
func TestEarlyRingIsNoLostWake(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, w.arrive("m", 0, 0))
	w.step(w.wakes[0]-w.now-time.Microsecond, Rang{})
	if len(w.wakes) < 2 {
		t.Fatal("no wake is asked for")
	}
	w.finish()
}

func TestRuleFiveOrder(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Ordered = true
	w := newStory(t, cfg, 1)
	keyed := func(id string) Arrived { a := w.arrive(id, 0, 0); a.Key = "k"; return a }
	w.step(0, one(), keyed("1"), keyed("2"))
	if len(w.sends) != 1 {
		t.Fatal(w.log)
	}
	// The first ends while its attempt is out: the turn passes only with the outcome and after the rest.
	w.step(5*ms, Dropped{ID: "1"})
	w.quiet(100 * ms)
	if len(w.sends) != 1 {
		t.Fatal("overtaken while an attempt was out")
	}
	w.step(5*ms, w.outcome("1", TooSlow, 0))
	w.quiet(cfg.OrderSettle + 500*ms)
	if len(w.sends) != 2 {
		t.Fatalf("the turn was never passed on: %v", w.log)
	}
	w.finish()
}

func TestRuleSixWaits(t *testing.T) {
	for _, apart := range []bool{false, true} {
		cfg := settings()
		cfg.Kinds[0].Apart = apart
		w := newStory(t, cfg, 1)
		w.step(0, list(Entry{Endpoint: "a", Weight: 10}))
		w.step(5*ms, w.arrive("1", 0, 0))
		w.step(5*ms, w.outcome("1", NoRoom, time.Second), Listed{Entries: []Entry{{Endpoint: "b", Weight: 10}}})
		w.step(5*ms, w.arrive("2", 1, 0), w.arrive("3", 2, 0))
		if others := len(w.sends) > 1; others != apart {
			t.Errorf("apart %v: sends %v", apart, w.sends)
		}
		w.quiet(2500 * ms)
		if len(w.sends) < 3 {
			t.Errorf("apart %v: nothing more after the wait: %v", apart, w.sends)
		}
		w.finish()
	}
}

// Hung destinations held every slot until long time-outs, and healthy ones starved.
func TestSilenceDoesNotHoldAllSlots(t *testing.T) {
	w := newStory(t, settings(), 1)
	var entries []Entry
	for i := range 5 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 20})
	}
	w.step(0, list(entries...))
	served := 0
	for n := range 800 {
		var events []Event
		for _, a := range w.flights() {
			f := w.out[a]
			e := Ended{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Took: w.now - f.sent}
			switch {
			case f.Endpoint == "e0" && w.now-f.sent >= 50*ms:
				e.Outcome, e.Closed = Pass, true
				served++
			case w.now >= f.NotPast:
				e.Outcome = TooSlow
			default:
				continue
			}
			events = append(events, e)
		}
		if n%5 == 0 {
			events = append(events, w.arrive(fmt.Sprint("m", n), n/5%3, n/5%5))
		}
		w.step(10*ms, append(events, Rang{})...)
		for _, a := range w.s.actions { // what is called off ends in the next step
			if c, ok := a.(Cancel); ok {
				w.step(ms, w.outcome(c.ID, Undone, 0))
			}
		}
	}
	if served < 24 {
		t.Errorf("the one healthy destination of five had %d of 32 messages served", served)
	}
}

// A destination whose calls last long took as many slots as a fast one, and held each far longer.
func TestSlotsGoByTimeHeld(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, list(Entry{Endpoint: "fast", Dest: 0, Weight: 1000}, Entry{Endpoint: "long", Dest: 1, Weight: 1000}))
	passed := map[string]int{}
	for n := range 500 {
		var events []Event
		for _, a := range w.flights() {
			f := w.out[a]
			if need := map[string]time.Duration{"fast": 50 * ms, "long": 600 * ms}[f.Endpoint]; w.now-f.sent >= need {
				events = append(events, Ended{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Took: need, Closed: true})
				passed[f.Endpoint]++
			}
		}
		events = append(events, w.arrive(fmt.Sprint("a", n), 0, n%2))
		w.step(10*ms, append(events, Rang{})...)
	}
	if passed["fast"] < 3*passed["long"] {
		t.Errorf("fast %d, long %d", passed["fast"], passed["long"])
	}
}

// An endpoint that takes few connections refuses ours while others pass: no outage, and idle ones are given back.
func TestCrowdedEndpointIsNoOutage(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one(), w.arrive("1", 0, 0))
	w.step(time.Second, w.outcome("1", NoRoute, 0))
	if w.s.dests[0].endpoints[0].route.sick {
		t.Fatal("one failed connect made an outage")
	}
	w.quiet(time.Second)
	w.step(5*ms, w.outcome("1", Pass, 0))
	if !slices.ContainsFunc(w.s.actions, func(a Action) bool { return a == HangUp{Endpoint: "a"} }) {
		t.Error("the idle connection was kept")
	}
}

// One destination's backlog must not take the whole room for held messages.
func TestBacklogLeavesRoomForOthers(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, list(Entry{Endpoint: "b", Dest: 1, Weight: 10}))
	for i := range 100 {
		w.step(5*ms, w.arrive(fmt.Sprint("m", i), 0, 0)) // no endpoint there
	}
	if held := len(w.s.dests[0].waiting); held > w.cfg.MaxOpen/2+1 {
		t.Errorf("%d of %d places held by one destination", held, w.cfg.MaxOpen)
	}
	w.step(5*ms, w.arrive("other", 0, 1))
	if n := len(w.sends); n != 1 || w.sends[0].ID != "other" {
		t.Errorf("the healthy destination was not served: %v", w.sends)
	}
	w.finish()
}

func TestHalfOpenTrialsNeverRiskAnUnsafeMessage(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	w.s.dests[0].came, w.s.dests[0].cameAt = 30, w.now // a busy sender
	for i := range int(usual.SickCount) {              // all are out before the first fails: the second would wait for the pace of a suspect
		w.step(500*ms, w.arrive(fmt.Sprint("s", i), 0, 0))
	}
	for i := range int(usual.SickCount) {
		w.step(5*ms, w.outcome(fmt.Sprint("s", i), Fault, 0))
	}
	if !w.s.dests[0].endpoints[0].route.sick {
		t.Fatal("a run of failures makes an outage")
	}
	w.step(5*ms, w.arrive("u", 2, 0))
	w.quiet(2 * time.Second)
	for _, s := range w.sends {
		if s.ID == "u" {
			t.Fatal("an unsafe message went out as a trial")
		}
	}
	w.finish()
}

func TestOddReportsAreHarmless(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, one())
	for i, v := range []float64{-1, math.NaN(), math.Inf(1), 2, 0} {
		id := fmt.Sprint("m", i)
		w.step(5*ms, w.arrive(id, 0, 0))
		e := w.outcome(id, Pass, 0)
		e.Report = Report{Left: v, Limit: v, HasLeft: true, HasLimit: true}
		w.step(100*ms, e)
	}
	w.quiet(2 * time.Second)
	w.step(5*ms, w.arrive("last", 0, 0))
	w.quiet(time.Second)
	if last := w.sends[len(w.sends)-1]; last.ID != "last" {
		t.Errorf("sending stopped after odd reports: %v", last)
	}
	w.finish()
}

func TestMissingSettingsDoNotCrash(t *testing.T) {
	w := newStory(t, Settings{}, 1)
	w.step(0, one(), w.arrive("m", 7, 0), w.arrive("n", -1, 3))
	w.finish()
}

func TestRandomStories(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if w := randomStory(t, seed, 2500); len(w.sends) < 50 && w.cfg.MaxOpen > 10 {
				t.Errorf("only %d sends: the story tests little", len(w.sends))
			}
		})
	}
}

// Guards the same rules where answers turn out to be other calls'.
func TestRandomStoriesWithUndecidedAnswers(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			doubtfulStory(t, 3000+seed, 2500, rand.New(rand.NewPCG(seed, 9)))
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := randomStory(t, 7, 2000), randomStory(t, 7, 2000)
	if !slices.Equal(a.log, b.log) {
		t.Error("two runs over the same events differ")
	}
}

// A lossy path: lost calls held the few slots until their time-outs, though their messages may be repeated.
func TestLostRepeatableCallsGiveBackTheirSlots(t *testing.T) {
	cfg := settings()
	cfg.Slots = 2
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Weight: 1000}))
	w.step(5*ms, w.arrive("0", 0, 0))
	w.step(100*ms, w.outcome("0", Pass, 0))
	w.step(5*ms, w.arrive("lost", 0, 0), w.arrive("unsafe", 2, 0), w.arrive("next", 0, 0))
	called := map[string]bool{}
	for end := w.now + 950*ms; w.now < end; {
		w.step(10*ms, Rang{})
		for _, a := range w.s.actions {
			if c, ok := a.(Cancel); ok {
				called[c.ID] = true
			}
		}
	}
	if len(called) == 0 || called["unsafe"] {
		t.Errorf("called off: %v; want repeatable calls only", called)
	}
}

// A large fleet's idle connections filled small tables: one that will be closed before its next use goes back.
func TestConnectionOfAFarApartSenderIsGivenBack(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		back bool
	}{{10 * time.Second, true}, {500 * ms, false}} {
		cfg := settings()
		cfg.ConnIdle = 5 * time.Second
		w := newStory(t, cfg, 1)
		w.step(0, one())
		back := false
		for i := range 4 {
			id := fmt.Sprint("m", i)
			w.quiet(c.gap)
			w.step(5*ms, w.arrive(id, 0, 0))
			w.step(100*ms, w.outcome(id, Pass, 0))
			back = slices.Contains(w.s.actions, Action(HangUp{Endpoint: "a"}))
		}
		if back != c.back {
			t.Errorf("calls %v apart: connection given back is %v", c.gap, back)
		}
	}
}

// Guards against connections that are given back at once at an endpoint whose calls all began in one moment.
func TestConnectionsOfABurstAreKept(t *testing.T) {
	cfg := settings()
	cfg.ConnIdle = 5 * time.Second
	w := newStory(t, cfg, 1)
	w.step(0, one(), w.arrive("1", 0, 0), w.arrive("2", 0, 0))
	w.step(5*ms, w.outcome("1", Pass, 0), w.outcome("2", Pass, 0))
	if slices.Contains(w.s.actions, Action(HangUp{Endpoint: "a"})) {
		t.Error("the idle connections were given back")
	}
}

// A rare sender has no third call in time: two failures in a row are an outage for it, not for a busy one.
func TestTwoFailuresAreAnOutageForARareSender(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		busy float64
		sick bool
	}{{3 * time.Second, 0, true}, {300 * ms, 30, false}} {
		w := newStory(t, settings(), 1)
		w.step(0, one())
		w.s.dests[0].came, w.s.dests[0].cameAt = c.busy, w.now
		for i := range 2 {
			id := fmt.Sprint("m", i)
			w.step(c.gap, w.arrive(id, 0, 0))
			w.step(5*ms, w.outcome(id, Fault, 0), Dropped{ID: id})
		}
		if got := w.s.eps["a"].route.sick; got != c.sick {
			t.Errorf("failures %v apart: outage is %v", c.gap, got)
		}
	}
}

// Where refused calls use up the limit, a fleet that goes on asking gets nothing: at the first refusal a
// sender's part falls to its own demand.
func TestRefusalCutsThePartToOwnDemand(t *testing.T) {
	cfg := settings()
	cfg.Fleet = 100
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Weight: 100}))
	for i := range 4 {
		id := fmt.Sprint("m", i)
		w.quiet(time.Second)
		w.step(5*ms, w.arrive(id, 0, 0))
		if i < 3 {
			w.step(50*ms, w.outcome(id, Pass, 0))
		}
	}
	w.step(50*ms, w.outcome("m3", NoRoom, 0))
	if rate, _ := w.s.pace(w.s.eps["a"].route); rate > 1 || rate < 0.2 {
		t.Errorf("%v calls a second after a refusal; four messages came in four seconds", rate)
	}
	w.finish()
}

// A hung destination's queue fills, and it refuses: where no limit is told, refusals without a pass are an outage once they
// last longer than a pause. A queue that is full while calls pass is none.
func TestRefusalsWithoutALimit(t *testing.T) {
	for _, passes := range []bool{false, true} {
		w := newStory(t, settings(), 1)
		w.step(0, list(Entry{Endpoint: "a", Dest: 0}))
		w.step(5*ms, w.arrive("first", 0, 0))
		first := w.outcome("first", Pass, 0)
		first.Report = Report{HasLimit: true}
		w.step(50*ms, first)
		for i := 0; i < 2*int(usual.SickCount) && !w.s.eps["a"].route.sick; i++ {
			id := fmt.Sprint("m", i)
			w.quiet(3 * time.Second)
			w.step(5*ms, w.arrive(id, 0, 0))
			e := w.outcome(id, NoRoom, 0)
			if passes && i%2 > 0 {
				e = w.outcome(id, Pass, 0)
			}
			e.Report = Report{HasLimit: true}
			w.step(50*ms, e, Dropped{ID: id})
		}
		if sick := w.s.eps["a"].route.sick; sick == passes {
			t.Errorf("refusals with passes between (%v): taken for an outage: %v", passes, sick)
		}
	}
}

// A clump finds the queue full: what was turned away goes out little by little as the rest passes, and no outage is seen. It
// took ten seconds at the pace of a way back before, and what had gathered then found the queue full again.
func TestAClumpAtAFullQueueIsNoOutage(t *testing.T) {
	cfg := settings()
	cfg.Slots = 100
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0}))
	var clump []Event
	for i := range 24 {
		clump = append(clump, w.arrive(fmt.Sprint("m", i), 0, 0))
	}
	w.step(5*ms, clump...)
	const queue = 6 // it takes so many at once
	most, left := 0, len(clump)
	for round := 0; left > 0 && round < 200; round++ {
		var events []Event
		out := w.flights()
		if round > 0 {
			most = max(most, len(out))
		}
		for i, a := range out {
			o := Pass
			if i >= queue {
				o = NoRoom
			} else {
				left--
			}
			e := Ended{ID: a.id, Attempt: a.n, Endpoint: "a", Outcome: o, Took: 200 * ms, Closed: o == Pass, Report: Report{HasLimit: true}}
			events = append(events, e)
		}
		w.step(200*ms, events...)
	}
	if r := w.s.eps["a"].route; left > 0 || r.recovering() || most > queue+3 {
		t.Errorf("%d messages are left, %d calls at a time after the first, taken for an outage: %v", left, most, r.recovering())
	}
}

// A backlog that is gone says nothing of what a new message meets: the gate opens as it drains, where it stayed shut for
// seconds after it was empty.
func TestTheGateOpensAsABacklogDrains(t *testing.T) {
	cfg := settings()
	cfg.Slots = 4
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0}))
	deadline := cfg.Classes[0].Deadline
	var backlog []Event
	for i := range 8 {
		backlog = append(backlog, w.arrive(fmt.Sprint("m", i), 0, 0))
	}
	w.step(5*ms, backlog...)
	d := w.s.dests[0]
	for i := 0; len(w.flights()) > 0; i++ {
		var events []Event
		for _, a := range w.flights() {
			events = append(events, Ended{ID: a.id, Attempt: a.n, Endpoint: "a", Outcome: Pass, Took: deadline / 5, Closed: true})
		}
		w.step(deadline/5, events...)
	}
	if got := d.gate.average; got > 0.25*seconds(deadline) {
		t.Errorf("calls take a fifth of the deadline and nothing waits: the gate goes by %v of %v s", got, seconds(deadline))
	}
}
