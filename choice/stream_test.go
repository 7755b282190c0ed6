package choice

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A stream is what a Sender was told and what it did, step by step, as a former build of this module recorded it: see
// TestRecordStreams. The module of today has to do the same, action for action.

type streamStep struct {
	Now     time.Duration
	Events  []streamEvent
	Actions []string
}

// streamEvent has one field set.
type streamEvent struct {
	Listed  *Listed  `json:",omitempty"`
	Arrived *Arrived `json:",omitempty"`
	Resumed *Resumed `json:",omitempty"`
	Ended   *Ended   `json:",omitempty"`
	Dropped *Dropped `json:",omitempty"`
	Probed  *Probed  `json:",omitempty"`
	Rang    *Rang    `json:",omitempty"`
	Leaving *Leaving `json:",omitempty"`
}

type streamHead struct {
	Settings Settings
	Seed     uint64
}

func (e streamEvent) event(t *testing.T) Event {
	switch {
	case e.Listed != nil:
		return *e.Listed
	case e.Arrived != nil:
		return *e.Arrived
	case e.Resumed != nil:
		return *e.Resumed
	case e.Ended != nil:
		return *e.Ended
	case e.Dropped != nil:
		return *e.Dropped
	case e.Probed != nil:
		return *e.Probed
	case e.Rang != nil:
		return *e.Rang
	case e.Leaving != nil:
		return *e.Leaving
	}
	t.Fatal("an event of no kind")
	return nil
}

func recorded(e Event) (r streamEvent) {
	switch e := e.(type) {
	case Listed:
		r.Listed = &e
	case Arrived:
		r.Arrived = &e
	case Resumed:
		r.Resumed = &e
	case Ended:
		r.Ended = &e
	case Dropped:
		r.Dropped = &e
	case Probed:
		r.Probed = &e
	case Rang:
		r.Rang = &e
	case Leaving:
		r.Leaving = &e
	}
	return r
}

const recordVariable = "CHOICE_RECORD_STREAMS"

// TestRecordStreams writes the streams anew, of the module as it is. It runs only when asked for, before a change that must
// not change any decision:
//
//	CHOICE_RECORD_STREAMS=1 go test -run RecordStreams ./choice
func TestRecordStreams(t *testing.T) {
	if os.Getenv(recordVariable) == "" {
		t.Skip("only when asked for")
	}
	for seed := range uint64(16) {
		var text bytes.Buffer
		zip, err := gzip.NewWriterLevel(&text, gzip.BestCompression)
		if err != nil {
			t.Fatal(err)
		}
		out := json.NewEncoder(zip)
		record = func(s streamStep) {
			if err := out.Encode(s); err != nil {
				t.Fatal(err)
			}
		}
		recordHead = func(h streamHead) {
			if err := out.Encode(h); err != nil {
				t.Fatal(err)
			}
		}
		if seed < 12 {
			randomStory(t, 1000+seed, 1200)
		} else {
			crowdStory(t, 1000+seed, 300, 600)
		}
		record, recordHead = nil, nil
		if err := zip.Close(); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join("testdata", "streams", fmt.Sprintf("%02d.gz", seed)), text.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// crowdStory plays many destinations that all have something to do, more than there are slots.
func crowdStory(t testing.TB, seed uint64, dests, steps int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	cfg := settings()
	cfg.Slots, cfg.MaxOpen = 40, 4*dests
	w := newStory(t, cfg, seed)
	var all []Entry
	for i := range dests {
		all = append(all, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Kind: i % 3, Weight: float64(2 + i%30)})
	}
	w.step(0, list(all...))
	for n := range steps {
		var events []Event
		for _, a := range w.flights() {
			f := w.out[a]
			e := Ended{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Took: w.now - f.sent}
			switch late := w.now+5*ms >= f.NotPast; {
			case late:
				e.Outcome = TooSlow
			case rng.Float64() > 0.3:
				continue
			case w.msgs[a.id].Dest%17 == 0: // silent, until it is late
				continue
			case rng.Float64() < 0.1:
				e.Outcome = Outcome(1 + rng.IntN(7))
				if e.Outcome == NoRoom {
					e.Wait = time.Duration(rng.IntN(500)) * ms
				}
			}
			e.Closed = e.Outcome == Pass || w.msgs[a.id].ended
			events = append(events, e)
		}
		for i := range rng.IntN(30) {
			events = append(events, w.arrive(fmt.Sprint("m", n, "-", i), rng.IntN(3), rng.IntN(dests)))
		}
		w.step(time.Duration(5*(1+rng.IntN(4)))*ms, append(events, Rang{Tag: "sweep"})...)
	}
	w.finish()
}

// BenchmarkStepByActive is a step with one arrival and one outcome, while so many destinations have a message that waits for
// one of 100 slots.
func BenchmarkStepByActive(b *testing.B) {
	for _, dests := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(dests), func(b *testing.B) {
			cfg := settings()
			cfg.Slots, cfg.MaxOpen, cfg.MayCancel = 100, 1<<30, false
			cfg.Classes[0].Deadline = time.Hour
			s := New(cfg, 1)
			var all []Entry
			for i := range dests {
				all = append(all, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 1e6})
			}
			now, n := time.Hour, 0
			var out []Send
			step := func(events ...Event) {
				now += 10 * time.Microsecond
				for _, a := range s.Step(now, events) {
					if send, ok := a.(Send); ok {
						out = append(out, send)
					}
				}
			}
			arrive := func() Arrived {
				n++
				return Arrived{ID: fmt.Sprint(n), Class: 0, Dest: n % dests, DropDead: now + time.Hour}
			}
			step(list(all...))
			for range max(dests, 100) + 50 {
				step(arrive())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				send := out[0]
				out = out[1:]
				step(arrive(), Ended{ID: send.ID, Endpoint: send.Endpoint, Took: time.Millisecond, Closed: true})
			}
		})
	}
}

// actionText is an action as the streams have it: they were recorded before a Send could say that it is Joined.
func actionText(a Action) string {
	if a, ok := a.(Send); ok {
		return fmt.Sprintf("choice.Send{ID:%q, Endpoint:%q, NotPast:%d, Fresh:%t}", a.ID, a.Endpoint, a.NotPast, a.Fresh)
	}
	if a, ok := a.(PushBack); ok { // nor why it was pushed back
		return fmt.Sprintf("choice.PushBack{ID:%q, RetryAfter:%d}", a.ID, a.RetryAfter)
	}
	return fmt.Sprintf("%#v", a)
}

// record and recordHead take what a story plays while streams are recorded.
var (
	record     func(streamStep)
	recordHead func(streamHead)
)

// The module does what the one that was recorded did, in the same order.
func TestStreams(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "streams", "*.gz"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d streams, %v", len(files), err)
	}
	sends := 0
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		zip, err := gzip.NewReader(f)
		if err != nil {
			t.Fatal(err)
		}
		in := json.NewDecoder(bufio.NewReader(zip))
		var head streamHead
		if err := in.Decode(&head); err != nil {
			t.Fatal(err)
		}
		s := New(head.Settings, head.Seed)
		for n := 0; in.More(); n++ {
			var step streamStep
			if err := in.Decode(&step); err != nil {
				t.Fatal(err)
			}
			var events []Event
			for _, e := range step.Events {
				events = append(events, e.event(t))
			}
			actions := s.Step(step.Now, events)
			for i, a := range actions {
				if got := actionText(a); i >= len(step.Actions) || got != step.Actions[i] {
					t.Fatalf("%s, step %d, action %d: %s; recorded were %q", name, n, i, got, step.Actions)
				}
				if _, ok := a.(Send); ok {
					sends++
				}
			}
			if len(actions) != len(step.Actions) {
				t.Fatalf("%s, step %d: %d actions; recorded were %q", name, n, len(actions), step.Actions)
			}
		}
	}
	if sends < 1000 {
		t.Errorf("%d sends in all streams", sends)
	}
}
