package days

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"starlingusher/internal/filefault"
)

// All embedded days are played; no rule is broken, and service is not far below what it was when this was written.
func TestEmbeddedDays(t *testing.T) {
	least := map[string]float64{"cafes": 0.9, "repairs": 0.79, "eighty": 0.8, "sleepy": 0.9, "fivehundred": 0.88, "threehundred": 0.85}
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Load(name)
			if err != nil {
				t.Fatal(err)
			}
			seeds := uint64(4)
			if name == "fivehundred" || name == "threehundred" || name == "sleepy" {
				seeds = 1
			}
			mean := 0.0
			for seed := range seeds {
				r := s.Draw(1000 + seed).Play(s.Options(1000 + seed))
				for _, b := range r.Broken {
					t.Errorf("seed %d: %v", 1000+seed, b)
				}
				mean += r.Service / float64(seeds)
			}
			t.Logf("service %.3f", mean)
			if l, ok := least[name]; !ok || mean < l {
				t.Errorf("service %.3f, %.3f is wanted", mean, l)
			}
		})
	}
}

const small = `name: small
traffic: 10
classes:
  - {name: a, aim: 1s, deadline: 5s, effect: safe}
partners:
  - {name: p, count: 2}
`

// What is wrong with a file is told with its line and field, all of it at once.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", small + "lenght: 5s\n", ":7: lenght: no such key"},
		{"unknown key inside", strings.Replace(small, "count: 2", "count: 2, limit: {dept: 1s}", 1), ":6: partners[0].limit.dept: no such key"},
		{"no unit", small + "length: 5\n", ":7: length: 5 has no unit"},
		{"no number", strings.Replace(small, "10", "many", 1), `:2: traffic: "many" is no number`},
		{"wrong order", small + "load: [2, 1]\n", ":7: load: the range [2, 1] has its ends in the wrong order"},
		{"out of bounds", small + "network: {jitter: 3}\n", ":7: network.jitter: 3 to 3 is not within 0 to 1"},
		{"aim after deadline", strings.Replace(small, "aim: 1s", "aim: 9s", 1), ":4: classes[0].deadline: it may come before the aim"},
		{"keyed without a window", strings.Replace(small, "safe", "keyed", 1), ":4: classes[0].window: a keyed class needs one"},
		{"window in spans with a debt", strings.Replace(small, "count: 2", "count: 2, limit: {window: 1s, debt: 1s}", 1), "a count in spans has no depth"},
		{"shares above one", strings.Replace(small, "count: 2", "count: 2, share: 0.7}\n  - {name: q, count: 1, share: 0.6", 1), "sum up to 1."},
		{"trouble of nobody", small + "troubles:\n  - {kind: down, at: 1s, for: 1s}\n", ":8: troubles[0]: it strikes partners"},
		{"trouble of an unknown kind", small + "troubles:\n  - {kind: lazy, at: 1s, for: 1s}\n", `:8: troubles[0].kind: "lazy" is none of down, silent`},
		{"trouble of unknown partners", small + "troubles:\n  - {kind: down, at: 1s, for: 1s, of: x, partners: 1}\n", `there are no partners "x"`},
		{"stalls without a period", small + "troubles:\n  - {kind: stalls, at: 1s, for: 1s, partners: 1, size: 0.5}\n", "troubles[0].every: is wanted"},
		{"factor that leads nowhere", small + "factors:\n  fleet.knots: [1, 2]\n", ":8: factors.fleet.knots: 1: fleet.knots: no such key"},
		{"tuned value out of range", small + "factors:\n  choice.gate-upper: [1, 80]\n", "gate-upper: 1 is not within 40 to 160"},
		{"measure that is none", small + "must:\n  - {measure: luck, least: 1}\n", "a measure (messages,"},
		{"two documents", small + "---\nname: x\n", "more than one document"},
		{"empty", "", "is empty"},
		{"two faults", strings.Replace(small, "10", "many", 1) + "length: 5\n", ":7: length: 5 has no unit"},
	} {
		_, err := Parse("f.yaml", []byte(c.text))
		var fault *filefault.FileError
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; %q is wanted", c.name, err, c.want)
		}
		if c.name == "two faults" && (fault == nil || len(fault.Problems) < 2) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := Parse("f.yaml", []byte(small)); err != nil {
		t.Error(err)
	}
}

// A changed value changes that value's draw alone.
func TestWithChangesNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"cafes", "repairs", "eighty"}).Draw(t, "day")
		seed := rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
		s, err := Load(name)
		if err != nil {
			t.Fatal(err)
		}
		with, err := s.With("load", "1.25")
		if err != nil {
			t.Fatal(err)
		}
		a, b := s.Draw(seed), with.Draw(seed)
		for i := range a.Partners {
			p, q := a.Partners[i], b.Partners[i]
			p.Rate, q.Rate = 0, 0
			if p != q {
				t.Fatalf("partner %d: %+v and %+v", i, p, q)
			}
		}
		for i := range a.Nodes {
			if a.Nodes[i] != b.Nodes[i] {
				t.Fatalf("node %d: %+v and %+v", i, a.Nodes[i], b.Nodes[i])
			}
		}
		// What is found is played again from its file as it was.
		found, err := s.WithTroubles(seed, a.Length, a.Troubles)
		if err != nil {
			t.Fatal(err)
		}
		again := found.Draw(seed)
		for i, tr := range a.Troubles {
			if g := again.Troubles[i]; g.At != tr.At || g.For != tr.For || g.Ill != tr.Ill || g.Size != tr.Size || len(g.Partners) != len(tr.Partners) {
				t.Fatalf("trouble %d: %+v and %+v", i, tr, g)
			}
		}
	})
}

// FuzzParse: a file is read or refused with a line, and one that is read can be drawn and written again.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("files/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(small))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f.yaml", text)
		if err != nil {
			var fault *filefault.FileError
			if !errors.As(err, &fault) || len(fault.Problems) == 0 {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		again, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("f.yaml", again); err != nil {
			t.Fatalf("%v\n%s", err, again)
		}
	})
}
