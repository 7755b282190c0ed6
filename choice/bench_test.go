package choice

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkStep shows that a step follows what waits or is out, not the number of destinations known.
func BenchmarkStep(b *testing.B) {
	for _, dests := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(dests), func(b *testing.B) { benchmarkSteps(b, 200, dests) })
	}
}

// BenchmarkFleet shows that neither a step nor what is kept for a destination follows the number of nodes.
func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{2, 80, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { benchmarkSteps(b, nodes, 300) })
	}
}

// benchmarkSteps has a message come and pass at one destination after the other; each fourth is refused over the limit
// before. It reports the bytes that are kept for a destination that was called.
func benchmarkSteps(b *testing.B, nodes, dests int) {
	var entries []Entry
	for i := range dests {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
	}
	cfg := settings()
	cfg.Fleet = nodes
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	s, now := New(cfg, 1), time.Hour
	s.Step(now, []Event{list(entries...)})
	n := 0
	message := func() {
		now += 400 * ms
		id, d := fmt.Sprint("m", n), n%dests
		n++
		end := Ended{ID: id, Endpoint: fmt.Sprint("e", d), Took: 100 * ms, Report: Report{HasLimit: true, HasLeft: true, Left: 0.5, Limit: 10}}
		s.Step(now, []Event{Arrived{ID: id, Dest: d, DropDead: now + 10*time.Second}})
		now += 100 * ms
		if n%4 == 0 {
			end.Outcome = NoRoom
			s.Step(now, []Event{end})
			now += time.Minute
			s.Step(now, []Event{Dropped{ID: id}})
			return
		}
		end.Closed = true
		s.Step(now, []Event{end})
	}
	for range dests {
		message()
	}
	kept := float64(heap()-before) / float64(dests)
	b.ReportAllocs()
	for b.Loop() {
		message()
	}
	b.ReportMetric(kept, "kept-B/destination")
	runtime.KeepAlive(s)
}

// With nothing held a sender asks for no wake, and what it keeps to walk is empty, however many it knows.
func TestIdleSenderSleeps(t *testing.T) {
	w := newStory(t, settings(), 1)
	var entries []Entry
	for i := range 500 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
	}
	w.step(0, list(entries...))
	for i := range 50 {
		id := fmt.Sprint("m", i)
		w.step(300*ms, w.arrive(id, 0, i))
		w.step(100*ms, w.outcome(id, Pass, 0))
	}
	asked := len(w.wakes)
	w.step(time.Minute, Rang{})
	walked := len(w.s.calling) + len(w.s.lending) + w.s.turns.Len() + w.s.parked.Len()
	if len(w.wakes) != asked || walked != 0 || w.s.open() != 0 {
		t.Errorf("%d wakes asked for while idle, %d destinations walked", len(w.wakes)-asked, walked)
	}
}
