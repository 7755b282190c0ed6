package verdict

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/internal/planted"
	"starlingusher/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

var key = Key{Dest: 4, Endpoint: "e"}

func observer(i int) Observer { return Observer{fmt.Sprint("n", i), uint64(i + 1)} }

// told is what one node says at once to another.
func told(now time.Duration, from, to *Book) { to.Hear(now, from.News(now, 100)) }

// One word of each kind, from one or two observers, before or after what the node saw itself.
func TestFind(t *testing.T) {
	const at = time.Minute
	type say func(now time.Duration, b *Book)
	fail2 := func(now time.Duration, b *Book) { b.Failed(now, key); b.Failed(now, key) }
	pass := func(now time.Duration, b *Book) { b.Passed(now, key) }
	refuse := func(now time.Duration, b *Book) { b.Refused(now, key) }
	for _, c := range []struct {
		name          string
		own           say // at the minute
		first, second say // of two others, 0.9 and 1 s later
		then          say // own, another second later
		after         time.Duration
		out           bool
		by            int
		back, debt    bool
	}{
		{name: "one says out", first: fail2, by: 1},
		{name: "two say out", first: fail2, second: fail2, out: true, by: 2},
		{name: "it ages", first: fail2, second: fail2, after: beliefSpan},
		{name: "own pass after it", first: fail2, second: fail2, then: pass},
		{name: "own pass before it", own: pass, first: fail2, second: fail2, out: true, by: 2},
		{name: "one failure of each is none", first: func(now time.Duration, b *Book) { b.Failed(now, key) }, second: func(now time.Duration, b *Book) { b.Failed(now, key) }},
		{name: "back after own failure", own: fail2, first: fail2, second: func(now time.Duration, b *Book) { fail2(now-1, b); pass(now, b) }, by: 1, back: true},
		{name: "own failure after back", own: fail2, second: func(now time.Duration, b *Book) { fail2(now-1, b); pass(now, b) }, then: fail2},
		{name: "a plain pass is no news", own: fail2, second: pass},
		{name: "one refusal", first: refuse, debt: true},
		{name: "a refusal ages", first: refuse, after: debtSpan},
		{name: "own pass does not end a debt", own: pass, first: refuse, debt: true},
		{name: "started anew", first: fail2, second: fail2, then: func(now time.Duration, b *Book) { b.Began(now, key) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			node, one, two := New(observer(0)), New(observer(1)), New(observer(2))
			if c.own != nil {
				c.own(at, node)
			}
			if c.first != nil {
				c.first(at+900*time.Millisecond, one)
				told(at+900*time.Millisecond, one, node)
			}
			if c.second != nil {
				c.second(at+time.Second, two)
				told(at+time.Second, two, node)
			}
			now := at + time.Second
			if c.then != nil {
				now += time.Second
				c.then(now, node)
			}
			f := node.Find(now+c.after, key)
			if f.Out != c.out || f.By != c.by || (f.Back != 0) != c.back || (f.Debt > now+c.after) != c.debt {
				t.Errorf("%+v", f)
			}
		})
	}
}

// One observer, whatever it says and how often, neither shuts an endpoint for the others nor opens it, and slows them down for no
// more than the stated part of the time. Nothing that it says makes the state grow without bound.
func TestOneLiar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := New(observer(0))
		now, slowed, seq := time.Minute, time.Duration(0), uint64(0)
		const step = 100 * time.Millisecond
		begun := now
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += step
			for range rapid.IntRange(0, 3).Draw(t, "lies") {
				seq += uint64(rapid.IntRange(0, 2).Draw(t, "seq"))
				node.Hear(now, []Evidence{{
					Key: key, Kind: Kind(rapid.IntRange(0, 4).Draw(t, "kind")), Observer: observer(1), Seq: seq, Calls: 1 << 31,
					Age: time.Duration(rapid.Int64Range(-1, int64(2*beliefSpan)).Draw(t, "age")), Since: time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "since")),
				}})
			}
			if rapid.IntRange(0, 9).Draw(t, "failed") == 0 {
				node.Failed(now, key)
			}
			f := node.Find(now, key)
			if f.Out || f.By > 1 {
				t.Fatalf("one observer shuts an endpoint: %+v", f)
			}
			if f.Debt > now {
				slowed += step
			}
		}
		rounds := (now-begun)/(debtSpan+debtRest) + 1
		if slowed > time.Duration(rounds)*(debtSpan+step) {
			t.Fatalf("slowed down for %v of %v", slowed, now-begun)
		}
		if len(node.all) > 1 || node.all[key] != nil && len(node.all[key].others) > 1 {
			t.Fatal("it grows")
		}
	})
}

// After all have heard each other they find the same of what none of them has seen itself, in whatever order they heard it.
func TestFindingsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		books := make([]*Book, 5)
		for i := range books {
			books[i] = New(observer(i))
		}
		var words [][]Evidence
		for range rapid.IntRange(1, 20).Draw(t, "seen") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			b := books[rapid.IntRange(0, 2).Draw(t, "by")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.Failed(now, key)
			case 1:
				b.Passed(now, key)
			case 2:
				b.Refused(now, key)
			case 3:
				words = append(words, b.News(now, 100))
			}
		}
		for _, b := range books[:3] {
			words = append(words, b.News(now, 100))
		}
		for i := range words { // the other way round, and some twice
			books[3].Hear(now, words[i])
			books[3].Hear(now, words[i/2])
			books[4].Hear(now, words[len(words)-1-i])
		}
		one, two := books[3].Find(now, key), books[4].Find(now, key)
		if one != two {
			t.Fatalf("%+v and %+v", one, two)
		}
	})
}

func TestPlantedFaultsAreFound(t *testing.T) {
	file := "peers/verdict/verdict.go"
	planted.Check(t, "../..", "./peers/verdict", "^(TestFind|TestOneLiar|TestFindingsAgree)$", []planted.Fault{
		{Name: "own evidence is overruled", File: file, Old: "return now-h.seenAt < beliefSpan && h.seenAt > after", New: "return now-h.seenAt < beliefSpan"},
		{Name: "an old judgement is revived by its way", File: file, Old: "seenAt := now - e.Age\n", New: "seenAt := now\n"},
		{Name: "a judgement outlives a restart of the endpoint", File: file, Old: "\t\tclear(p.others)\n", New: ""},
		{Name: "one observer is enough", File: file, Old: "agreeing = 2 // observers", New: "agreeing = 1 // observers"},
		{Name: "a liar slows others down for ever", File: file, Old: "now-from >= debtSpan+debtRest || b.debtors", New: "now-from >= debtSpan || b.debtors"},
		{Name: "repeats of old words count", File: file, Old: "ok && old.Seq >= e.Seq", New: "ok && old.Seq > e.Seq+1"},
	})
}
