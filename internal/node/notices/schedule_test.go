package notices

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// model is what an agent and its connections did to the notices of a schedule.
type model struct {
	now      time.Duration
	schedule Schedule[int]
	added    []time.Duration
	posted   []bool
	answered []time.Duration // first; 0 for never
	proven   []bool
	asked    []bool // it was posted on a new connection
	over     []bool
	open     []*Post[int]
	fresh    map[*Post[int]]bool
}

func (m *model) end(t *rapid.T, all []int, proven bool) {
	for _, v := range all {
		trusted := m.answered[v] > 0 && m.now-m.answered[v] >= trustedAfter && !m.asked[v]
		if m.over[v] || (proven && !m.proven[v]) || (!proven && !trusted) {
			t.Fatalf("notice %d is acknowledged: over before %v, proven %v, answered at %v, now %v", v, m.over[v], m.proven[v], m.answered[v], m.now)
		}
		m.over[v] = true
	}
}

// take has the schedule make each post that it wants.
func (m *model) take(t *rapid.T, fresh bool) {
	urgent, _, proof := m.schedule.Want(m.now)
	if !urgent && (!proof || !fresh) {
		return
	}
	p := m.schedule.Take(m.now, fresh)
	if p == nil {
		t.Fatalf("a post is wanted at %v and none is made", m.now)
	}
	m.open, m.fresh[p] = append(m.open, p), fresh
	for _, e := range p.entries {
		if !m.posted[e.Value] && m.now-m.added[e.Value] > gaps[len(gaps)-1]+10*time.Millisecond {
			t.Fatalf("notice %d waited for %v with %d posts open", e.Value, m.now-m.added[e.Value], len(m.open))
		}
		m.posted[e.Value], m.asked[e.Value] = true, m.asked[e.Value] || fresh
	}
}

// Guards against a notice that waits for the answer to another one, that is forgotten, or that is acknowledged with no proof.
func TestNoNoticeWaitsForAnotherOrIsAcknowledgedWithoutProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{fresh: map[*Post[int]]bool{}, now: time.Millisecond}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.schedule.Add(m.now, &Entry[int]{Value: len(m.added), Line: make([]byte, rapid.IntRange(1, 9000).Draw(t, "size"))})
				m.added, m.posted = append(m.added, m.now), append(m.posted, false)
				m.asked = append(m.asked, false)
				m.answered, m.proven, m.over = append(m.answered, 0), append(m.proven, false), append(m.over, false)
			case 1, 2:
				for range rapid.IntRange(1, 300).Draw(t, "time") { // a connection is there at any time
					m.now += 10 * time.Millisecond
					m.take(t, rapid.IntRange(0, 1).Draw(t, "fresh") == 1)
				}
			case 3, 4:
				if len(m.open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(m.open)-1).Draw(t, "post")
				p := m.open[i]
				m.open = append(m.open[:i:i], m.open[i+1:]...)
				if rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
					m.schedule.Failed(m.now, p)
					continue
				}
				for _, e := range p.entries {
					m.proven[e.Value] = m.proven[e.Value] || m.fresh[p]
					if m.answered[e.Value] == 0 {
						m.answered[e.Value] = m.now
					}
				}
				m.end(t, m.schedule.Answered(m.now, p, m.fresh[p]), true)
			case 5:
				m.end(t, m.schedule.Trusted(m.now), false)
			}
		}
		left := 0
		for _, over := range m.over {
			if !over {
				left++
			}
		}
		if m.schedule.Owed() != left {
			t.Fatalf("%d are owed, %d have no end", m.schedule.Owed(), left)
		}
	})
}

// Guards against a post that has no answer and is not made again on another way in time, and against ways that fail and are waited for.
func TestANoticeIsPostedAgainInItsTime(t *testing.T) {
	var s Schedule[int]
	s.Add(0, &Entry[int]{Line: []byte("x")})
	var at []time.Duration
	var last *Post[int]
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		if urgent, _, _ := s.Want(now); urgent {
			last = s.Take(now, true)
			at = append(at, now)
		}
	}
	const inTime = 300 * time.Millisecond // of a message's time
	if n := len(at); n < 6 || at[3] > inTime-leastHedge {
		t.Errorf("posted at %v", at)
	}
	s.Failed(time.Second, last)
	if urgent, tries, _ := s.Want(time.Second); !urgent || tries != len(at) {
		t.Errorf("after a first failure: urgent %v, tries %d of %d", urgent, tries, len(at))
	}
	s.Moved(time.Second)
	if p := s.Take(time.Second, false); p == nil || p.Len() != 1 {
		t.Errorf("after a move: %+v", p)
	}
}

// Guards against an agent that hangs behind a copy of its last answer: the notice is owed for as long as posts on new connections have none.
func TestSilenceOnNewConnectionsProvesNoNotice(t *testing.T) {
	for _, dials := range []bool{true, false} {
		var s Schedule[int]
		s.Add(0, &Entry[int]{Line: []byte("x")})
		s.Answered(time.Millisecond, s.Take(0, false), false) // on a used connection: the copy
		over := 0
		for now := time.Millisecond; now < 2*trustedAfter; now += 100 * time.Millisecond {
			if _, _, proof := s.Want(now); proof && dials {
				s.Take(now, true) // and is never answered
			}
			over += len(s.Trusted(now))
		}
		if (over == 0) != dials {
			t.Errorf("new connections %v: %d acknowledged", dials, over)
		}
	}
}
