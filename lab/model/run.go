package model

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"starlingusher/choice"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (e event) before(o event) bool { return e.at < o.at || (e.at == o.at && e.seq < o.seq) }

// queue is a heap (container/heap) of what is still to come, soonest first.
type queue[T interface{ before(T) bool }] []T

func (q queue[T]) Len() int           { return len(q) }
func (q queue[T]) Less(i, j int) bool { return q[i].before(q[j]) }
func (q queue[T]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue[T]) Push(x any)        { *q = append(*q, x.(T)) }
func (q *queue[T]) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run is a day that is being played.
type run struct {
	Day
	rng     *rand.Rand
	todo    queue[event]
	now     time.Duration
	seq     int
	senders []*choice.Sender
	entries []choice.Entry
	lives   []int                    // of each node; an odd number of deaths and returns is a dead one
	open    map[string]*message      // by id, each time that it is handed in
	waits   map[[2]int]time.Duration // that a node was told by a partner, until then
	broken  int
	refused int
	asked   int
	worth   float64
}

type message struct {
	id                          string
	node, dest, attempts, tries int
	born                        time.Duration
	sent                        time.Duration // the first attempt that may have run
	got                         bool          // it was delivered, whatever its node knows
}

func (r *run) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.todo, event{max(t, r.now), r.seq, do})
}

// offer hands a message in. It comes again up to twice when it is turned away.
func (r *run) offer(m message) {
	if r.dead(m.node) {
		r.at(r.now+time.Second, func() { r.offer(m) })
		return
	}
	r.seq++
	m.id = fmt.Sprint("m", r.seq)
	r.open[m.id] = &m
	r.step(m.node, m.arrived())
}

func (m *message) arrived() choice.Arrived {
	return choice.Arrived{ID: m.id, Dest: m.dest, DropDead: m.born + Life}
}

func (r *run) dead(node int) bool { return r.lives[node]%2 == 1 }

// later does something for a node in a while, unless it has died before.
func (r *run) later(node int, t time.Duration, do func()) {
	life := r.lives[node]
	r.at(t, func() {
		if r.lives[node] == life {
			do()
		}
	})
}

// kill has a node die and come back with what it had taken on.
func (r *run) kill(node int) {
	r.lives[node]++
	maps.DeleteFunc(r.waits, func(k [2]int, _ time.Duration) bool { return k[0] == node }) // its journal has them; here they end
	r.at(r.now+backAfter, func() {
		r.lives[node]++
		r.senders[node] = choice.New(r.settings(), uint64(r.seq))
		events := []choice.Event{choice.Listed{Whole: true, Entries: r.entries}}
		for _, m := range slices.SortedFunc(maps.Values(r.open), func(a, b *message) int { return strings.Compare(a.id, b.id) }) {
			if m.node == node {
				events = append(events, choice.Resumed{Arrived: m.arrived(), Attempts: m.attempts, Touched: m.sent > 0, MayRun: m.sent})
			}
		}
		r.step(node, events...)
	})
}

func (r *run) step(node int, events ...choice.Event) {
	for _, a := range r.senders[node].Step(r.now, events) {
		switch a := a.(type) {
		case choice.Send:
			r.call(node, a)
		case choice.Wake:
			r.later(node, a.At, func() { r.step(node, choice.Rang{Tag: a.Tag}) })
		case choice.Fail:
			delete(r.open, a.ID)
		case choice.PushBack:
			m := *r.open[a.ID]
			delete(r.open, a.ID)
			m = message{node: m.node, dest: m.dest, tries: m.tries + 1, born: m.born, got: m.got}
			back := r.now + max(a.RetryAfter, retryLeast) + time.Duration(r.rng.Int64N(int64(time.Second)))
			if m.tries <= retries && back < m.born+Life {
				r.at(back, func() { r.offer(m) })
			}
		}
	}
}

func (r *run) call(node int, a choice.Send) {
	m := r.open[a.ID]
	if r.now < r.waits[[2]int{node, m.dest}] {
		r.broken++
	}
	attempt, began, p := m.attempts, r.now, r.Partners[m.dest]
	m.attempts++
	if m.sent == 0 {
		m.sent = r.now
	}
	onWay := func() time.Duration { return time.Duration(float64(way) * (0.8 + 0.4*r.rng.Float64())) }
	r.at(r.now+onWay(), func() {
		end := choice.Ended{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Outcome: choice.NoRoute}
		took := onWay()
		if p.Down == nil || !p.Down(r.now) {
			end.Outcome, end.Report = p.call(r.now, r.rng)
		}
		switch end.Outcome {
		case choice.Pass:
			end.Closed = true
			took += time.Duration(r.rng.ExpFloat64() * float64(service))
			if age := r.now + took - m.born; !m.got {
				r.worth += min(1, 1-0.7*(age-Aim).Seconds()/(Life-Aim).Seconds())
			}
			m.got = true
		case choice.NoRoom:
			if r.refused++; r.rng.Float64() < p.Tells {
				end.Wait = toldWait
			}
		}
		r.later(node, r.now+took, func() {
			if end.Wait > 0 {
				key := [2]int{node, m.dest}
				r.waits[key] = max(r.waits[key], r.now+end.Wait)
			}
			if end.Took = r.now - began; end.Closed {
				delete(r.open, a.ID)
			} else {
				m.sent = 0
			}
			r.step(node, end)
		})
	})
}

// arrival plans a message for one of the nodes; a few have most of the traffic.
func (r *run) arrival(dest int, at float64) {
	r.asked++
	born := time.Duration(at * float64(time.Second))
	node := int(float64(r.Nodes) * (r.rng.Float64() + r.rng.Float64()*r.rng.Float64()) / 2)
	r.at(born, func() { r.offer(message{node: node, dest: dest, born: born}) })
}
