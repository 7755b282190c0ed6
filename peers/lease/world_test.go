package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	ms     = time.Millisecond
	name   = "discovery"
	step20 = 20 * ms
)

// fatal ends a test, a property as well.
type fatal interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// disk is a voter's folder.
type disk struct{ kept *Kept }

func (d *disk) write(w Write) {
	if d.kept == nil {
		d.kept = &Kept{}
	}
	d.kept.Apply(w)
}

// copied is the folder as it is now, for later.
func (d *disk) copied() *Kept {
	if d.kept == nil {
		return nil
	}
	k := *d.kept
	k.Identity.Seen = maps.Clone(k.Identity.Seen)
	k.State.Entries = slices.Clone(k.State.Entries)
	return &k
}

// place is a node: its folder and the process that runs there now.
type place struct {
	*Node
	name    string
	life    uint64
	rate    float64 // of its clock
	disk    disk
	old     *Kept // an earlier copy of the folder
	down    bool
	stopped bool
}

// ghost is an earlier life, which may go on acting as far as it knows.
type ghost struct {
	*Node
	p *place
}

type flight struct {
	at       time.Duration
	from, to int
	life     uint64
	m        Message
}

// world is nodes in virtual time, the first of them voters, with clocks of their own, and a network and disks between.
type world struct {
	t      fatal
	rng    *rand.Rand
	cfg    Settings
	now    time.Duration // true time
	all    []*place
	voters []string
	ghosts []ghost
	lives  uint64
	cut    map[[2]int]bool
	loss   float64
	often  bool // snapshots are made
	// The name is wanted by folders: the processes of a place are one owner, and none goes on once the next one starts.
	folders bool
	// So many messages with a snapshot get lost.
	dropSnaps int
	// What one place costs, where it is measured: time inside its machine, what it sends, and writes that are synced.
	measured    *place
	spent       time.Duration
	sent, bytes int
	syncs       int
	air         []flight
	last        uint64 // token by which somebody acted
	acts        int
	leads       map[[2]uint64]uint64 // of a group and term
}

func newWorld(t fatal, voters, others int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 9)), cfg: Settings{Term: 3000 * ms, Drift: 0.1, Tick: 50 * ms}, cut: map[[2]int]bool{}, leads: map[[2]uint64]uint64{}}
	for i := range voters + others {
		p := &place{name: fmt.Sprint("n", i), rate: 0.9 + 0.2*w.rng.Float64(), down: true}
		w.all = append(w.all, p)
		if i < voters {
			w.voters = append(w.voters, p.name)
		}
	}
	for i := range w.all {
		w.start(i)
	}
	return w
}

// clock is what a place's clock shows: its rate, from a point of its own.
func (w *world) clock(p *place) time.Duration {
	return time.Hour + time.Duration(float64(w.now)*p.rate)
}

func (w *world) start(i int) {
	p := w.all[i]
	if !p.down {
		w.kill(i)
	}
	w.lives++
	p.life = w.lives
	n, err := NewNode(w.cfg, Owner{p.name, p.life}, w.voters, p.disk.copied(), w.rng.Uint64, w.clock(p))
	if err != nil {
		w.t.Fatal(err)
	}
	if w.folders {
		n.Holder().WantAs(name, uint64(1000+i))
	} else {
		n.Holder().Want(name)
	}
	p.Node, p.down, p.stopped = n, false, false
}

func (w *world) kill(i int) {
	p := w.all[i]
	if !p.down {
		p.down = true
		if !w.folders {
			w.ghosts = append(w.ghosts, ghost{p.Node, p}) // its process may only be cut off, and go on acting
		}
	}
}

func (w *world) send(from int, o Out) {
	to := slices.IndexFunc(w.all, func(p *place) bool { return p.name == o.To })
	f := flight{from: from, to: to, life: w.all[from].life, m: o.Message}
	if from == to {
		f.at = w.now
		w.air = append(w.air, f)
		return
	}
	if w.dropSnaps > 0 && o.Kind == Agree {
		var m raftpb.Message
		if err := proto.Unmarshal(o.Raw, &m); err == nil && m.GetType() == raftpb.MsgSnap {
			w.dropSnaps--
			return
		}
	}
	if to < 0 || w.cut[[2]int{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	f.at = w.now + time.Duration(1+w.rng.IntN(40))*ms
	w.air = append(w.air, f)
	if w.rng.Float64() < w.loss/2 { // again, later
		f.at += time.Duration(w.rng.IntN(900)) * ms
		w.air = append(w.air, f)
	}
}

// drain carries out what a node wants done; it may die after its write.
func (w *world) drain(i int) {
	p := w.all[i]
	for !p.down {
		began := time.Now()
		todo, ok, err := p.Todo(w.clock(p))
		if p == w.measured {
			w.spent += time.Since(began)
			w.sent += len(todo.Messages)
			for _, o := range todo.Messages {
				w.bytes += len(o.Raw)
			}
			if todo.Write.Sync {
				w.syncs++
			}
		}
		if err != nil {
			w.t.Fatal(err)
		}
		if !ok {
			return
		}
		if !todo.Write.Empty() {
			p.disk.write(todo.Write)
			if w.loss > 0 && w.rng.IntN(300) == 0 {
				w.kill(i)
				return
			}
		}
		for _, o := range todo.Messages {
			w.send(i, o)
		}
		if v := p.Voter(); v != nil && w.often && w.rng.IntN(30) == 0 { // a snapshot sooner than usual
			v.since = compactEvery
		}
		further, err := p.Done()
		if err != nil {
			w.t.Fatal(err)
		}
		if !further.Empty() {
			p.disk.write(further)
		}
	}
}

// run lets true time pass, a step at a time, and looks at each who may act.
func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end; {
		w.now += step20
		due := w.air
		w.air = nil
		touched := map[int]bool{} // those whose outputs are due: together, as a process does it
		for _, f := range due {
			switch p := w.all[f.to]; {
			case f.at > w.now, p.stopped && !p.down:
				w.air = append(w.air, f)
			case p.down:
			default:
				began := time.Now()
				if err := p.Take(w.clock(p), w.all[f.from].name, f.life, f.m); err != nil {
					w.t.Fatal(err)
				}
				if p == w.measured {
					w.spent += time.Since(began)
				}
				touched[f.to] = true
			}
		}
		for i, p := range w.all {
			if touched[i] {
				w.drain(i)
			}
			if !p.down && !p.stopped {
				p.Tick(w.clock(p))
				w.drain(i)
			}
		}
		w.look()
	}
}

// look asks every node whether it may act at this instant, those that are stopped or gone as well, and who leads.
func (w *world) look() {
	acting := ""
	all := slices.Clone(w.ghosts)
	for _, p := range w.all {
		if !p.down {
			all = append(all, ghost{p.Node, p})
		}
	}
	for _, g := range all {
		if v := g.Node.Voter(); v != nil && v.Leads() {
			key := [2]uint64{g.adm.id.Group, v.node.BasicStatus().GetTerm()}
			if by, ok := w.leads[key]; ok && by != v.id {
				w.t.Fatalf("at %v %x and %x both lead term %d of one group", w.now, by, v.id, key[1])
			}
			w.leads[key] = v.id
		}
		token, ok := g.Holder().May(w.clock(g.p), name, 0)
		if !ok {
			continue
		}
		w.acts++
		if acting != "" {
			w.t.Fatalf("at %v %s and %v may both act", w.now, acting, g.self)
		}
		acting = fmt.Sprint(g.self)
		if token < w.last {
			w.t.Fatalf("at %v %v may act by token %d, somebody did by %d", w.now, g.self, token, w.last)
		}
		w.last = token
	}
}

// heal has all be well, and every node run.
func (w *world) heal() {
	w.loss = 0
	clear(w.cut)
	for i, p := range w.all {
		p.stopped = false
		if p.down {
			w.start(i)
		}
	}
}

// settled tells what is missing to a group in which all voters vote and know the same.
func (w *world) settled() string {
	var first map[uint64]string
	for _, p := range w.all[:len(w.voters)] {
		v := p.Voter()
		switch {
		case v == nil:
			return p.name + " does not vote"
		case first == nil:
			first = v.Voters()
		}
		if !maps.Equal(first, v.Voters()) || first[v.id] != p.name || len(first) != len(w.voters) {
			return fmt.Sprintf("%s knows the voters %v, another %v", p.name, v.Voters(), first)
		}
	}
	return ""
}
