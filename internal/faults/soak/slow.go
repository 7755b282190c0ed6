package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"starlingusher/internal/faults/neighbour"
)

// This file has the days of peers that are slow or broken: discovery's agent, the log's reader, and servers that never end a response.

// bounds are those with which a node waits for discovery's agent and for the log: a neighbour's delays are drawn round them.
var bounds = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}

// multiples of a bound that are played: under it, over it, and always at three times.
var multiples = []float64{0.5, 0.9, 1.1, 3}

// newsWithin is how long some way to the agent works at the longest, where notices are held to their time.
const newsWithin = 200 * time.Millisecond

// slowDay is a day of few nodes of whose messages about half end by a notice, with one or two faults between nodes and discovery's agent,
// for the whole day, for a second, for six, or again and again.
func slowDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 6))
	d := endingDay(rng, seed)
	d.Agent = append(d.Agent, drawAgentFault(rng, true))
	if rng.IntN(3) == 0 {
		d.Agent = append(d.Agent, drawAgentFault(rng, false))
	}
	if rng.IntN(3) == 0 {
		from := time.Duration(rng.Int64N(int64(d.Length / 2)))
		d.LogHeld = []Window{{from, from + 6*time.Second}}
	}
	return d
}

// endingDay is a day on which servers that hang and refuse have about half of the messages end by notices.
func endingDay(rng *rand.Rand, seed uint64) *Day {
	nodes := 2 + rng.IntN(2)
	d := Draw(seed, nodes, 4, 30*float64(nodes), 14*time.Second)
	for i := range d.Classes {
		d.Classes[i].Deadline = 2 * time.Second
	}
	for i := range d.Servers {
		d.Servers[i].Limit, d.Servers[i].Weight, d.Servers[i].Share = d.Rate, d.Rate, 0.25
	}
	d.MaxOpen = 100
	d.Slots = 16
	d.Faults = append(d.Faults, Fault{Kind: Hang, For: d.Length, Target: 0}, Fault{Kind: Refuse, For: d.Length, Target: 1})
	return d
}

// slowServersDay is a day on which servers are slow, silent or broken on some connections, for the whole day, for a second, for six, or
// again and again. They tell no waits: those that come late could not be kept.
func slowServersDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 9))
	nodes := 2 + rng.IntN(4)
	d := Draw(seed, nodes, 6, 20*float64(nodes), 14*time.Second)
	for i := range d.Classes {
		d.Classes[i].Deadline = time.Duration(2+rng.IntN(4)) * time.Second
	}
	d.Plain, d.MaxOpen = true, 100
	for range 1 + rng.IntN(2) {
		f := drawFault(rng)
		f.Edge = "POST"
		d.Between = append(d.Between, f)
	}
	return d
}

// drawAgentFault draws a fault between nodes and the agent. A first one may concern all connections, as long as those that stood before
// go on; a second one leaves half of them as they are.
func drawAgentFault(rng *rand.Rand, first bool) neighbour.Fault {
	f := drawFault(rng)
	if !first {
		f.Share = min(f.Share, 0.5)
	}
	const stood = 4 * time.Second // until connections stand and have been used
	switch f.Kind {
	case neighbour.LateRead, neighbour.Silent, neighbour.Reset:
		if f.Share == 1 && (f.Kind != neighbour.LateRead || f.Most > newsWithin) {
			f.From = max(f.From, stood)
		}
	case neighbour.FullQueue:
		f.From, f.Share = max(f.From, stood), 1
	}
	return f
}

// watchBounds are those with which a node waits for its watch of discovery.
var watchBounds = []time.Duration{250 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond}

// slowWatchDay is a day of drains on which discovery's watches are slow, silent or broken on some connections. All drains come when a
// watch that was opened at the start has had its answer.
func slowWatchDay(seed uint64) *Day {
	const drains, settled, lineBytes = 5, 9 * time.Second, 700
	rng := rand.New(rand.NewPCG(seed, 10))
	nodes := 2 + rng.IntN(3)
	d := Draw(seed, nodes, 8, 25*float64(nodes), 20*time.Second)
	f := drawFault(rng)
	f.Edge = "GET"
	if rng.IntN(2) == 0 { // always late
		f.Kind, f.Share, f.From, f.For, f.Every = neighbour.LateRead, 1, 0, 0, 0
	}
	f.Least = time.Duration(float64(watchBounds[rng.IntN(len(watchBounds))]) * multiples[rng.IntN(len(multiples))])
	switch f.Kind {
	case neighbour.LateAnswer:
		f.Least = min(f.Least, 2*time.Second) // of each line
	case neighbour.Trickle:
		f.Least = min(f.Least, 3*time.Second) / lineBytes
	case neighbour.Silent, neighbour.Reset, neighbour.FullQueue:
		if f.For == 0 {
			f.Share = min(f.Share, 0.5)
		}
		f.From = max(f.From, time.Second)
	}
	f.Most = f.Least
	d.Agent = []neighbour.Fault{f}
	for _, s := range rng.Perm(len(d.Servers))[:drains] {
		at := settled + time.Duration(rng.Int64N(int64(4*time.Second)))
		d.Faults = append(d.Faults, Fault{Kind: Replace, At: at, For: 10 * time.Second, Target: s})
	}
	return d
}

// hasSlowWatches tells whether what discovery tells may come late.
func (d *Day) hasSlowWatches() bool {
	for _, f := range d.Agent {
		if f.Edge == "GET" {
			return true
		}
	}
	return false
}

// drawFault draws a fault of connections on which requests are posted.
func drawFault(rng *rand.Rand) neighbour.Fault {
	kinds := []neighbour.Kind{neighbour.LateRead, neighbour.LateAnswer, neighbour.Trickle, neighbour.Silent, neighbour.SilentKept, neighbour.Reset, neighbour.FullQueue, neighbour.Twice}
	f := neighbour.Fault{Kind: kinds[rng.IntN(len(kinds))], Edge: "POST", Share: []float64{0.25, 0.5, 1}[rng.IntN(3)]}
	f.Least = time.Duration(float64(bounds[rng.IntN(len(bounds))]) * multiples[rng.IntN(len(multiples))])
	f.Most = f.Least
	if rng.IntN(2) == 0 {
		f.Most = 2 * f.Least
	}
	if f.Kind == neighbour.Trickle {
		f.Least, f.Most = f.Least/50, f.Most/50 // a response has about 50 bytes
	}
	switch rng.IntN(4) {
	case 0:
		f.From, f.For = time.Duration(rng.Int64N(int64(8*time.Second))), time.Second
	case 1:
		f.From, f.For = time.Duration(rng.Int64N(int64(6*time.Second))), 6*time.Second
	case 2:
		f.For, f.Every = 4*time.Second, 8*time.Second
	}
	return f
}

// pageSize is the least room of a pipe.
const pageSize = 4096

// narrow leaves a log's pipe little room on days on which nobody reads it for a while, so that it is full soon.
func (d *Day) narrow(pipe io.Reader) error {
	f, ok := pipe.(*os.File)
	if !ok || len(d.LogHeld) == 0 {
		return nil
	}
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	failed := syscall.Errno(0)
	if err := raw.Control(func(fd uintptr) {
		_, _, failed = syscall.Syscall(syscall.SYS_FCNTL, fd, syscall.F_SETPIPE_SZ, pageSize)
	}); err != nil {
		return err
	}
	if failed != 0 {
		return fmt.Errorf("the log's pipe: %w", failed)
	}
	return nil
}

// endlessDay is a day on which servers write a response without end now and then, and all their responses are alike.
func endlessDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 7))
	d := endingDay(rng, seed)
	d.Plain = true
	d.Streams = Streams{Share: 0.01, Faults: []StreamFault{Endless}}
	return d
}

// heldLogDay is a day on which nobody reads the nodes' logs for some seconds or, by even seeds, from then on.
func heldLogDay(seed uint64) *Day {
	rng := rand.New(rand.NewPCG(seed, 8))
	d := endingDay(rng, seed)
	from := 2*time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
	if seed%2 == 0 {
		d.LogGone = from
	}
	d.LogHeld = []Window{{from, from + 6*time.Second}}
	return d
}
