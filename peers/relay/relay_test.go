package relay

import (
	"fmt"
	"os"
	"slices"
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

const ms = time.Millisecond

// node is a relay with the watch of its own that the node would have: discovery tells it whatever is newer at once.
type node struct {
	*Relay
	holds   uint64 // token
	down    bool
	came    int64         // revision that it has come to
	watches bool          // by itself, since
	since   time.Duration // then
}

// Whatever becomes of the watcher, of words and of tokens: a node has every revision of discovery no later than Silence and a way after
// it was told, and no word by a smaller token than it has heard moves it.
func TestNobodyIsDeaf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, nodes = 10 * ms, 4
		now := time.Hour
		var all []*node
		for i := range nodes {
			n := &node{Relay: New("discovery", fmt.Sprint("n", i), now)}
			n.Moves(now, "here")
			all = append(all, n)
		}
		revision, told, token := int64(1), now, uint64(1)
		all[0].holds = token
		type word struct {
			at       time.Duration
			from, to int
			w        Word
		}
		var air []word
		calm := 0
		for range 600 {
			now += step
			if rapid.IntRange(0, 60).Draw(t, "news") == 0 {
				revision, told = revision+1, now
			}
			switch i := rapid.IntRange(0, nodes-1).Draw(t, "node"); rapid.IntRange(0, 80).Draw(t, "what") {
			case 0: // the lease goes to another; who had it does not know for a while
				token++
				all[i].holds = token
			case 1:
				all[i].down = !all[i].down
			case 2:
				all[i].holds = 0
			}
			loss := rapid.IntRange(0, 9).Draw(t, "lost")
			due := air
			air = nil
			for _, f := range due {
				n := all[f.to]
				switch {
				case f.at > now:
					air = append(air, f)
				case !n.down:
					before := n.fence
					lists, refused := n.Take(now, fmt.Sprint("n", f.from), f.w)
					if !f.w.Ask && refused != (f.w.Token < before) {
						t.Fatalf("token %d after %d: refused %v", f.w.Token, before, refused)
					}
					for _, l := range lists {
						if l.After > n.came {
							t.Fatalf("a list after %d is followed at %d", l.After, n.came)
						}
						n.came = l.Revision
					}
				}
			}
			alone := 0
			for i, n := range all {
				if n.down {
					continue
				}
				if is := n.Alone(now); is != n.watches {
					if n.watches, n.since = is, now; !is {
						n.Ended()
					}
				}
				// A watch stands 20 ms after it is begun, and is told what is new at once.
				if n.watches {
					alone++
					if now-n.since >= 20*ms && (n.came < revision || !n.own) {
						n.Told(now, List{n.came, revision, []byte("line")})
						n.came = revision
					}
				}
				if late := now - told; late > Silence+20*ms+2*step && n.came < revision && now-n.since > Silence {
					t.Fatalf("n%d has revision %d %v after %d was told", i, n.came, late, revision)
				}
				for _, o := range n.Tick(now, n.holds, fmt.Sprint("n", slices.IndexFunc(all, func(n *node) bool { return n.holds == token }))) {
					to := int(o.To[len(o.To)-1] - '0')
					if o.To != "n-1" && loss != 0 {
						air = append(air, word{now + step, i, to, o.Word})
					}
				}
			}
			if alone == 1 {
				calm++
			}
		}
		if calm == 0 {
			t.Log("one watch never served all")
		}
	})
}

// In a calm fleet one watch serves all, a list that is new comes with the next word, and what is too large or missed each asks for.
func TestOneWatch(t *testing.T) {
	a, b := New("x", "a", 0), New("x", "b", 0)
	a.Moves(0, "here")
	b.Moves(0, "here")
	a.Told(0, List{0, 5, []byte("five")})
	b.Told(0, List{0, 5, []byte("five")})
	say := func(now time.Duration) (lists []List) {
		for _, o := range a.Tick(now, 7, "a") {
			got, _ := b.Take(now, "a", o.Word)
			lists = append(lists, got...)
		}
		return lists
	}
	for _, o := range b.Tick(0, 0, "a") {
		a.Take(0, "b", o.Word)
	}
	say(60 * ms)
	if b.Alone(100*ms) || !b.Alone(60*ms+Silence+ms) {
		t.Error("who hears the watcher watches for himself, or who does not does not")
	}
	a.Told(100*ms, List{5, 6, []byte("six")})
	if lists := say(101 * ms); len(lists) != 1 || string(lists[0].Line) != "six" || b.Alone(102*ms) {
		t.Errorf("%+v", lists)
	}
	b.Missed(List{5, 6, nil})
	if !b.Alone(103 * ms) {
		t.Error("a list that was missed is not asked for")
	}
	b.Told(104*ms, List{5, 6, []byte("six")})
	a.Told(110*ms, List{6, 7, make([]byte, MostList+1)})
	if lists := say(111 * ms); len(lists) != 0 || !b.Alone(112*ms) {
		t.Errorf("a list that is too large: %d", len(lists))
	}
	if a.Ended(); len(a.Tick(time.Second, 7, "a")) != 0 {
		t.Error("a watcher whose watch has ended speaks")
	}
	if b.Moves(time.Second, "there"); !b.Alone(time.Second) {
		t.Error("a word of one discovery counts for another")
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	file := "peers/relay/relay.go"
	planted.Check(t, "../..", "./peers/relay", "^(TestNobodyIsDeaf|TestOneWatch)$", []planted.Fault{
		{Name: "an old token is heard", File: file, Old: "case w.Token < r.fence:", New: "case w.Token+99 < r.fence:"},
		{Name: "a gap is passed over", File: file, Old: "l.After <= r.revision && r.revision < l.Revision", New: "r.revision < l.Revision"},
		{Name: "what is missing is not looked at", File: file, Old: "|| r.has > r.revision ", New: ""},
		{Name: "a watcher without a watch speaks", File: file, Old: "if !r.own || now-r.spokeAt < Beat {", New: "if now-r.spokeAt < Beat {"},
	})
}
