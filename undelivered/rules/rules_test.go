package rules

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/choice"
	"starlingusher/internal/rapidseed"
)

var (
	status = Class{"table-status", choice.Safe, 0, false}
	order  = Class{"coin-order", choice.Keyed, 12 * time.Second, false}
	payout = Class{"prize-payout", choice.Unsafe, 0, false}
	all    = []Class{status, order, payout}
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

const file = `# what the night shift has agreed on
zone: Europe/Istanbul
rules:
  - classes: [prize-payout]
    reasons: [may-have-run]
    hold: true
  - classes: [coin-order]
    pause: 2s
    pace: 500ms
    tries: 2
  - pause: 30s
    pace: 1s
    tries: 3
    max-age: 6h
    quiet: ["23:00-07:00", "06:30-08:00"]
`

func parsed(t *testing.T, text string) *Set {
	t.Helper()
	s, err := Parse("undelivered.yaml", []byte(text), all)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestJudge(t *testing.T) {
	set := parsed(t, file)
	ran := []Attempt{{At: noon.Add(-time.Minute)}}
	not := []Attempt{{At: noon.Add(-time.Minute), NotRun: true}}
	fresh := []Attempt{{At: noon.Add(-5 * time.Second)}}
	night := time.Date(2026, 12, 1, 23, 30, 0, 0, set.Zone)
	for name, k := range map[string]struct {
		entry  Entry
		last   time.Time
		now    time.Time
		send   bool
		person bool
		at     time.Time
		line   int
	}{
		"unsafe, may have run":            {Entry{Class: payout, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Attempts: ran}, time.Time{}, noon, false, true, time.Time{}, 0},
		"unsafe, proven not to have run":  {Entry{Class: payout, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Attempts: not}, time.Time{}, noon, true, false, time.Time{}, 11},
		"unsafe, never sent":              {Entry{Class: payout, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)}, time.Time{}, noon, true, false, time.Time{}, 11},
		"unsafe, held by its reason":      {Entry{Class: payout, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Reason: MayHaveRun}, time.Time{}, noon, false, true, time.Time{}, 4},
		"safe":                            {Entry{Class: status, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Attempts: ran}, time.Time{}, noon, true, false, time.Time{}, 11},
		"in its pause":                    {Entry{Class: status, First: noon.Add(-10 * time.Second), Ended: noon.Add(-10 * time.Second), Attempts: ran}, time.Time{}, noon, false, false, noon.Add(20 * time.Second), 11},
		"paced":                           {Entry{Class: status, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)}, noon.Add(-400 * time.Millisecond), noon, false, false, noon.Add(600 * time.Millisecond), 11},
		"told to wait":                    {Entry{Class: status, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Wait: noon.Add(time.Hour)}, time.Time{}, noon, false, false, noon.Add(time.Hour), 11},
		"too old":                         {Entry{Class: status, First: noon.Add(-7 * time.Hour), Ended: noon.Add(-7 * time.Hour)}, time.Time{}, noon, false, true, time.Time{}, 11},
		"tried enough":                    {Entry{Class: status, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Resends: 3}, time.Time{}, noon, false, true, time.Time{}, 11},
		"under way":                       {Entry{Class: status, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Out: true}, time.Time{}, noon, false, false, time.Time{}, 0},
		"decided":                         {Entry{Class: status, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Decided: true}, time.Time{}, noon, false, false, time.Time{}, 0},
		"keyed, in its window":            {Entry{Class: order, First: noon.Add(-3 * time.Second), Ended: noon.Add(-3 * time.Second), Attempts: fresh}, time.Time{}, noon, true, false, time.Time{}, 7},
		"keyed, window over":              {Entry{Class: order, First: noon.Add(-3 * time.Second), Ended: noon.Add(-3 * time.Second), Attempts: ran}, time.Time{}, noon, false, true, time.Time{}, 0},
		"keyed, window over by the pause": {Entry{Class: order, First: noon, Ended: noon, Attempts: []Attempt{{At: noon.Add(-9 * time.Second)}}}, time.Time{}, noon, false, true, time.Time{}, 7},
		"keyed, never ran":                {Entry{Class: order, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Attempts: not}, time.Time{}, noon, true, false, time.Time{}, 7},
		"keyed, the clock stepped back":   {Entry{Class: order, First: noon, Ended: noon, Attempts: fresh}, time.Time{}, noon.Add(-time.Hour), false, true, noon.Add(-5 * time.Second), 0},
		"safe, the clock stepped back":    {Entry{Class: status, First: noon, Ended: noon, Attempts: ran}, time.Time{}, noon.Add(-time.Hour), false, false, noon.Add(-time.Hour + 30*time.Second), 11},
		"quiet hours, one after another":  {Entry{Class: status, First: night.Add(-time.Hour), Ended: night.Add(-time.Hour)}, time.Time{}, night, false, false, time.Date(2026, 12, 2, 8, 0, 0, 0, set.Zone), 11},
	} {
		got := set.Judge(&k.entry, k.last, k.now)
		if got.Send != k.send || got.Person != k.person || !got.At.Equal(k.at) || got.Line != k.line || got.Why == "" {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

func TestPlanGoesByAgeAndPace(t *testing.T) {
	set := parsed(t, file)
	entries := []Entry{
		{Number: 9, Class: status, Dest: 1, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)},
		{Number: 3, Class: status, Dest: 1, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)},
		{Number: 5, Class: status, Dest: 2, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)},
		{Number: 1, Class: payout, Dest: 1, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour), Attempts: []Attempt{{At: noon}}},
		{Number: 7, Class: status, Dest: 3, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)},
	}
	last := map[int]time.Time{}
	send, again := set.Plan(entries, last, 2, noon)
	if len(send) != 2 || send[0] != 3 || send[1] != 5 || !again.Equal(noon.Add(time.Second)) {
		t.Errorf("got %v, %v", send, again)
	}
	if send, _ = set.Plan(entries, last, 10, noon); len(send) != 1 || send[0] != 7 {
		t.Errorf("got %v", send)
	}
}

// Each fault is told with its line, and all of them at once.
func TestFaultsOfAFile(t *testing.T) {
	for text, want := range map[string]string{
		"":                           "f: is empty",
		"rules: [":                   "f:1: did not find expected node content",
		"zone: Mars/Base\nrules: []": "f:1: zone:",
		"zone: UTC":                  "f:1: rules are missing",
		"rules: []\nrulez: []":       "f:2: unknown key \"rulez\"",
		"rules: []\nrules: []":       "f:2: \"rules\" stands twice",
		"rules: {}":                  "f:1: rules: has to be a list",
		"- a":                        "f:1: the file has to be a mapping",
		"rules: []\n---\nrules: []":  "more than one document",
		"rules:\n- classes: [coin-ordr]\n  tries: 1\n  pause: 1s":                             "f:2: classes: unknown class \"coin-ordr\"",
		"rules:\n- tries: 1\n  pause: soon":                                                   "f:3: pause:",
		"rules:\n- tries: 1\n  pause: -1s":                                                    "f:3: pause:",
		"rules:\n- tries: 0\n  pause: 1s":                                                     "f:2: tries:",
		"rules:\n- pause: 1s":                                                                 "f:2: the rule needs tries",
		"rules:\n- tries: 1":                                                                  "f:2: the rule needs a pause",
		"rules:\n- hold: true\n  pause: 1s":                                                   "f:2: the rule holds for a person, and so pause has no use",
		"rules:\n- hold: maybe":                                                               "f:2: hold:",
		"rules:\n- tries: 1\n  pause: 1h\n  max-age: 1m":                                      "f:2: max-age",
		"rules:\n- classes: [coin-order]\n  tries: 1\n  pause: 11s":                           "f:2: class coin-order: its window",
		"rules:\n- tries: 1\n  pause: 1s\n  quiet: [\"00:00-12:00\", \"12:00-00:00\"]":        "f:2: the quiet hours leave no minute",
		"rules:\n- tries: 1\n  pause: 1s\n  quiet: [\"25:00-07:00\"]":                         "f:4: quiet:",
		"rules:\n- reasons: [bad-luck]\n  hold: true":                                         "f:2: reasons: unknown reason",
		"rules:\n- destinations: [x]\n  hold: true":                                           "f:2: destinations:",
		"rules:\n- classes: []\n  hold: true":                                                 "f:2: classes: has to be a list",
		"rules:\n- hold: true\n- classes: [coin-order]\n  tries: 1\n  pause: 1s":              "f:3: the rule is never reached: the one of line 2",
		"rules:\n- &a\n  hold: true\n  classes: &c [coin-order]\n- classes: *c\n  hold: true": "f:5: neither aliases",
		"rules:\n- 7": "f:2: a rule has to be a mapping",
	} {
		_, err := Parse("f", []byte(text), all)
		var f *FileError
		if !errors.As(err, &f) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
	_, err := Parse("f", []byte("zone: x\nrules:\n- tries: 0\n- classes: [y]\n"), all)
	var f *FileError
	if !errors.As(err, &f) || len(f.Problems) != 3 || f.Problems[2].Line != 4 {
		t.Errorf("got %v", err)
	}
	if _, err := Parse("f", make([]byte, maxFile+1), all); err == nil {
		t.Error("a file without end was read")
	}
}

// For every history, every set of rules and every clock: nothing that may take effect twice is offered.
func TestNothingThatMayRunTwiceIsOffered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		second := func(label string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(rt, label)) * time.Second
		}
		set := &Set{Zone: time.UTC}
		for range rapid.IntRange(0, 4).Draw(rt, "rules") {
			r := Rule{Pause: second("pause", 0, 60), Pace: second("pace", 0, 10), Tries: rapid.IntRange(0, 5).Draw(rt, "tries"),
				MaxAge: second("max-age", 0, 600), Hold: rapid.Bool().Draw(rt, "hold")}
			if rapid.Bool().Draw(rt, "of a class") {
				r.Classes = []string{rapid.SampledFrom(all).Draw(rt, "class").Name}
			}
			if rapid.Bool().Draw(rt, "quiet") {
				r.Quiet = []Span{{Clock{rapid.IntRange(0, 23).Draw(rt, "from"), 0}, Clock{rapid.IntRange(0, 23).Draw(rt, "to"), 30}}}
			}
			set.Rules = append(set.Rules, r)
		}
		var entries []Entry
		for i := range rapid.IntRange(1, 6).Draw(rt, "entries") {
			e := Entry{Number: uint64(i + 1), Class: rapid.SampledFrom(all).Draw(rt, "class"), Dest: rapid.IntRange(1, 2).Draw(rt, "dest"),
				Ended: noon.Add(second("ended", -600, 600)), Resends: rapid.IntRange(0, 5).Draw(rt, "resends"),
				Out: rapid.Bool().Draw(rt, "out"), Decided: rapid.Bool().Draw(rt, "decided"), Wait: noon.Add(second("wait", -60, 60))}
			for range rapid.IntRange(0, 4).Draw(rt, "attempts") {
				e.Attempts = append(e.Attempts, Attempt{At: noon.Add(second("at", -60, 60)), NotRun: rapid.Bool().Draw(rt, "not run")})
			}
			entries = append(entries, e)
		}
		room := rapid.IntRange(0, 6).Draw(rt, "room")
		send, again := set.Plan(entries, map[int]time.Time{}, room, noon)
		if len(send) > room || (!again.IsZero() && !again.After(noon)) {
			rt.Errorf("%d sent of %d, again at %v", len(send), room, again)
		}
		for _, n := range send {
			e := entries[n-1]
			if e.Out || e.Decided || e.Wait.After(noon) {
				rt.Errorf("%+v was offered", e)
			}
			for _, a := range e.Attempts {
				if a.NotRun {
					continue
				}
				age := noon.Sub(a.At)
				if e.Class.Effect == choice.Unsafe || (e.Class.Effect == choice.Keyed && age >= e.Class.Window) {
					rt.Errorf("%+v was offered", e)
				}
			}
		}
	})
}

// Whatever stands in a file, it is read or refused, and what is read can be judged by.
func FuzzParse(f *testing.F) {
	f.Add([]byte(file))
	f.Add([]byte("rules:\n- &a [*a]\n"))
	f.Add([]byte("rules: []"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Parse("f", text, all)
		if (set == nil) == (err == nil) {
			t.Fatalf("got %v, %v", set, err)
		}
		if set == nil {
			return
		}
		for _, c := range all {
			v := set.Judge(&Entry{Class: c, First: noon.Add(-time.Hour), Ended: noon.Add(-time.Hour)}, time.Time{}, noon)
			if v.Send && (v.Person || !v.At.IsZero()) {
				t.Errorf("got %+v", v)
			}
		}
	})
}
