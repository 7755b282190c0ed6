package talk

import (
	"fmt"
	"time"

	"starlingusher/peers/core"
	"starlingusher/peers/lease"
	"starlingusher/peers/relay"
)

const (
	leaseTerm  = 3 * time.Second
	trialHeard = time.Second // as in package peers
	watchLease = "discovery"
)

// tasks are one life's leases: who tries a route that is out, and who watches discovery. The machines are those that nodes run.
type tasks struct {
	t       *Talk
	i       int
	node    *lease.Node
	relay   *relay.Relay
	watches bool // it watches by itself, or for others
}

func newTasks(t *Talk, i int, voters []string, now time.Duration) *tasks {
	cfg := lease.Settings{Term: leaseTerm, Drift: 0.01, Tick: leaseTerm / 60}
	var kept *lease.Kept
	if t.kept[i].Identity.ID != 0 {
		copied := t.kept[i]
		kept = &copied
	}
	name := t.w.Name(i)
	n, err := lease.NewNode(cfg, lease.Owner{Name: name, Life: t.lives<<20 | uint64(i)}, voters, kept, t.rng.Uint64, now)
	if err != nil {
		panic(fmt.Sprintf("talk: %v", err)) // of what the machine wrote itself
	}
	d := &tasks{t: t, i: i, node: n, relay: relay.New(watchLease, name, now), watches: true}
	d.relay.Moves(now, "discovery")
	return d
}

// early is a look before the day begins, in which nothing is late.
func (d *tasks) early(now time.Duration) {
	d.node.Tick(now)
	d.drain(now, func(to int, m lease.Message) {
		if o := d.t.tasks[to]; o != nil {
			o.node.Take(now, d.t.w.Name(d.i), d.node.Life(), m) // an error is of foreign bytes; there are none
		}
	})
}

// drain carries out what the machine wants done.
func (d *tasks) drain(now time.Duration, send func(to int, m lease.Message)) {
	for {
		todo, ok, err := d.node.Todo(now)
		if err != nil {
			panic(fmt.Sprintf("talk: %v", err))
		}
		if !ok {
			return
		}
		d.t.kept[d.i].Apply(todo.Write)
		for _, o := range todo.Messages {
			var to int
			if _, err := fmt.Sscanf(o.To, "n%d", &to); err == nil {
				send(to, o.Message)
			}
		}
		further, err := d.node.Done()
		if err != nil {
			panic(fmt.Sprintf("talk: %v", err))
		}
		d.t.kept[d.i].Apply(further)
	}
}

// later has a message arrive, as packets do; one to the node itself at once.
func (d *tasks) later(to int, arrive func(o *tasks)) {
	t := d.t
	if to != d.i {
		if _, ok := t.reaches(d.i, core.Letter{Addr: t.w.Name(to)}); !ok {
			return
		}
	}
	t.w.At(t.w.Now()+time.Duration((0.5+t.rng.Float64())*float64(t.w.Way())), func() {
		if o := t.tasks[to]; o != nil {
			arrive(o)
		}
	})
}

func (d *tasks) run() {
	d.drain(d.t.now(), func(to int, m lease.Message) {
		from, life := d.t.w.Name(d.i), d.node.Life()
		d.later(to, func(o *tasks) {
			o.node.Take(o.t.now(), from, life, m) // likewise
			o.run()
		})
	})
}

// tick does what package peers does each tick.
func (d *tasks) tick(c *core.Core) {
	now := d.t.now()
	d.node.Tick(now)
	d.trials(now, c)
	d.watch(now)
	d.run()
}

func (d *tasks) trials(now time.Duration, c *core.Core) {
	h := d.node.Holder()
	still := map[string]bool{}
	failing, tried := c.Failing(now)
	for k, key := range failing {
		name := fmt.Sprintf("trial/%d", key.Dest)
		heard := h.Heard(name)
		_, mine := h.May(now, name, 0)
		others := !mine && heard.Lease.Owner.Name != "" && now-heard.At < trialHeard
		switch {
		case mine:
			c.Trials(key, core.TrialsMine, h.Grips()[name].Until)
		case others:
			c.Trials(key, core.TrialsOthers, heard.At+trialHeard)
		}
		if still[name] = tried[k] || others; still[name] {
			h.Want(name)
		}
	}
	for _, name := range h.Wants() {
		if name != watchLease && !still[name] {
			d.node.Drop(name)
		}
	}
}

func (d *tasks) watch(now time.Duration) {
	h := d.node.Holder()
	token, mine := h.May(now, watchLease, 0)
	if d.watches = d.relay.Alone(now) || mine; d.watches {
		d.relay.Told(now, relay.List{Revision: 1}) // its watch stands, and nothing changes
		h.Want(watchLease)
	} else {
		d.relay.Ended()
		for _, name := range h.Wants() {
			if name == watchLease {
				d.node.Drop(name)
			}
		}
	}
	holder := h.Heard(watchLease).Lease.Owner.Name
	for _, o := range d.relay.Tick(now, token, holder) {
		var to int
		if _, err := fmt.Sscanf(o.To, "n%d", &to); err != nil {
			continue
		}
		from := d.t.w.Name(d.i)
		d.later(to, func(f *tasks) { f.relay.Take(f.t.now(), from, o.Word) })
	}
}
