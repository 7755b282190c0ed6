package budget

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"starlingusher/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// world is nodes with clocks of their own and the messages between them, as a value that can be copied.
type world struct {
	cfg   Settings
	key   Key
	nodes []*Node
	now   []time.Duration // each node's clock
	rate  []time.Duration // that it goes on by with a step of true time
	wants []float64
	lives uint64
	air   []flight
}

type flight struct {
	from, to int
	m        Message
}

func newWorld(cfg Settings, rates []time.Duration, wants []float64) *world {
	w := &world{cfg: cfg, rate: rates, wants: wants, now: make([]time.Duration, len(rates)), nodes: make([]*Node, len(rates))}
	for i := range rates {
		w.now[i] = time.Duration(1000 * (i + 1)) // clocks have nothing in common
		w.start(i)
	}
	return w
}

var names = func() (all [500]string) {
	for i := range all {
		all[i] = fmt.Sprintf("n%03d", i)
	}
	return all
}()

func nodeName(i int) string { return names[i] }

// start is a new life of a node, with nothing kept.
func (w *world) start(i int) {
	w.lives++
	w.nodes[i] = New(w.cfg, nodeName(i), w.lives, w.now[i])
	w.nodes[i].Want(w.key, w.wants[i])
	w.believe(i, nil)
}

// believe has a node think that some are gone.
func (w *world) believe(i int, gone []string) {
	alive := make([]string, 0, len(w.nodes))
	for j := range w.nodes {
		if name := nodeName(j); len(gone) == 0 || !slices.Contains(gone, name) {
			alive = append(alive, name)
		}
	}
	w.nodes[i].Know(alive, gone)
}

func (w *world) pass(steps int) {
	for i := range w.now {
		w.now[i] += w.rate[i] * time.Duration(steps)
	}
}

func (w *world) send(from int, out []Out) {
	for _, o := range out {
		to, _ := strconv.Atoi(o.To[1:])
		w.air = append(w.air, flight{from, to, o.Message})
	}
}

func (w *world) tick(i int) { w.send(i, w.nodes[i].Tick(w.now[i])) }

// deliver hands a message over. One that is kept may come again.
func (w *world) deliver(k int, keep bool) {
	f := w.air[k]
	if !keep {
		w.air = slices.Delete(w.air, k, k+1)
	}
	out, _ := w.nodes[f.to].Take(w.now[f.to], nodeName(f.from), f.m)
	w.send(f.to, out)
}

// inUse is the sum of what all may use at this instant.
func (w *world) inUse() (sum int64) {
	for i, n := range w.nodes {
		units, _, _ := n.Rights(w.now[i], w.key)
		sum += units
	}
	return sum
}

// fault says what is wrong in this instant, and nothing if nothing is.
func (w *world) fault() string {
	// With more nodes than are known, each has the part that it knows.
	most := max(Whole, w.cfg.even()*int64(len(w.nodes)))
	if sum := w.inUse(); sum > most {
		return fmt.Sprintf("%d units of %d are in use", sum, most)
	}
	for i, n := range w.nodes {
		if units, _, _ := n.Rights(w.now[i], w.key); units < w.cfg.floor() {
			return fmt.Sprintf("%s has %d units, its floor is %d", n.name, units, w.cfg.floor())
		}
	}
	held := map[string]string{}
	for i, n := range w.nodes {
		for _, seat := range n.Seats(w.now[i]) {
			if other := held[seat]; other != "" {
				return fmt.Sprintf("%s and %s both hold the seat of %s", other, n.name, seat)
			}
			held[seat] = n.name
		}
	}
	return ""
}

func (w *world) clone() *world {
	c := *w
	c.now, c.air, c.nodes = slices.Clone(w.now), slices.Clone(w.air), slices.Clone(w.nodes)
	for i, n := range w.nodes {
		m := *n
		m.asked, m.heard, m.rests = maps.Clone(n.asked), maps.Clone(n.heard), maps.Clone(n.rests)
		for seq, q := range m.asked {
			q.asks = slices.Clone(q.asks)
			m.asked[seq] = q
		}
		m.seats, m.shares = map[string]*tenure{}, map[Key]*share{}
		for k, t := range n.seats {
			m.seats[k] = &tenure{maps.Clone(t.votes), t.since, t.until}
		}
		for k, s := range n.shares {
			m.shares[k] = &share{s.want, slices.Clone(s.lent), slices.Clone(s.borrowed)}
		}
		if n.voter != nil {
			m.voter = &voter{n.voter.quietTil, maps.Clone(n.voter.votes)}
		}
		c.nodes[i] = &m
	}
	return &c
}

// state writes down all that decides what can come, with each node's times as distances from its clock.
func (w *world) state() string {
	var b strings.Builder
	for i, n := range w.nodes {
		at := func(t time.Duration) time.Duration { return max(t, w.now[i]-4*w.cfg.Term) - w.now[i] }
		fmt.Fprintf(&b, "|%d %d %d", n.life, at(n.nextAt), n.turn)
		for _, seq := range slices.Sorted(maps.Keys(n.asked)) {
			q := n.asked[seq]
			fmt.Fprint(&b, " q", n.seq-seq, at(q.at), q.to, q.seat, q.asks)
		}
		for _, seat := range slices.Sorted(maps.Keys(n.seats)) {
			fmt.Fprint(&b, " s", seat, at(n.seats[seat].since), at(n.seats[seat].until))
			for _, v := range slices.Sorted(maps.Keys(n.seats[seat].votes)) {
				fmt.Fprint(&b, " ", v, at(n.seats[seat].votes[v]))
			}
		}
		for _, l := range n.share(w.key).lent {
			fmt.Fprint(&b, " l", l.units, at(l.until))
		}
		for _, l := range n.share(w.key).borrowed {
			fmt.Fprint(&b, " b", l.units, at(l.until))
		}
		for _, from := range slices.Sorted(maps.Keys(n.heard)) {
			fmt.Fprint(&b, " h", from, n.heard[from])
		}
		if n.voter != nil {
			fmt.Fprint(&b, " v", at(n.voter.quietTil))
			for _, seat := range slices.Sorted(maps.Keys(n.voter.votes)) {
				o := n.voter.votes[seat]
				fmt.Fprint(&b, " ", seat, o.to, at(o.until), o.owner, at(o.asksBy))
			}
		}
	}
	air := make([]string, len(w.air))
	for i, f := range w.air {
		air[i] = fmt.Sprint(f.from, f.to, f.m)
	}
	slices.Sort(air)
	return b.String() + strings.Join(air, ";")
}
