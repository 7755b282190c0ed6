package delivery

import (
	"testing"
	"time"

	"starlingusher/choice"
)

// others are messages that have the id of a message and differ from it in one thing that goes on unchanged.
func others(m Message) map[string]Message {
	all := map[string]Message{}
	for name, change := range map[string]func(*Message){
		"class":       func(o *Message) { o.Class = payout },
		"destination": func(o *Message) { o.Dest = 8 },
		"tenant":      func(o *Message) { o.Tenant = 1 },
		"key":         func(o *Message) { o.Key = "another" },
		"body":        func(o *Message) { o.Body = append([]byte("another "), m.Body...) },
		"no body":     func(o *Message) { o.Body = nil },
	} {
		o := m
		change(&o)
		all[name] = o
	}
	return all
}

// identityEngine is an engine with its state in a folder that may be that of an earlier life. Nothing is sent.
func identityEngine(t *testing.T, state string, newIDs bool) *Engine {
	t.Helper()
	cfg := config(state, held())
	cfg.Settings.Tenants = []choice.Tenant{{PerSecond: 1000}}
	n, err := Open(cfg, Front{Carrier: newCarrier(pass), Sink: &sink{}, NewIDs: newIDs})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	n.step(t.Context(), n.replayed(), nil)
	return n
}

// offer hands messages in together, and returns their answers.
func (n *Engine) offer(t *testing.T, all ...Message) []Answer {
	t.Helper()
	var arrivals []arrival
	var events []any
	for _, m := range all {
		a := arrival{Message: m, front: n.fronts[""], reply: make(chan Answer, 1)}
		arrivals, events = append(arrivals, a), append(events, a)
	}
	n.take(t.Context(), events)
	var answers []Answer
	for _, a := range arrivals {
		answers = append(answers, <-a.reply)
	}
	return answers
}

// Guards against another message under a known id that is answered as taken on and dropped, whatever has become of the first.
func TestAnotherMessageUnderAKnownIDIsNotTakenForARepeat(t *testing.T) {
	ends := func(state State, acknowledged bool) func(*testing.T, *Engine) *Engine {
		return func(t *testing.T, n *Engine) *Engine {
			p := n.messages["a"]
			n.finish(p, ending{state: state}, nil, true)
			if acknowledged {
				n.take(t.Context(), []any{settled{{ID: "a", State: state, of: p}}})
			}
			return n
		}
	}
	restarts := func(before func(*testing.T, *Engine) *Engine, compacted bool) func(*testing.T, *Engine) *Engine {
		return func(t *testing.T, n *Engine) *Engine {
			if before != nil {
				n = before(t, n)
			}
			n.take(t.Context(), nil)
			if compacted {
				if err := n.journal.compact(); err != nil {
					t.Fatal(err)
				}
			}
			if err := n.Close(); err != nil {
				t.Fatal(err)
			}
			return identityEngine(t, n.cfg.State, n.fronts[""].NewIDs)
		}
	}
	first := Message{ID: "a", Class: order, Dest: 7, Key: "key of a", Came: time.Now(), Life: 50 * time.Second, Body: []byte("body of a")}
	taken, refused, failed := Answer{}, Answer{Refused: true}, Answer{Failed: "the message failed"}
	for stage, c := range map[string]struct {
		then   func(*testing.T, *Engine) *Engine
		repeat Answer // to the same message handed in again
	}{
		"open":                               {func(_ *testing.T, n *Engine) *Engine { return n }, taken},
		"open, after a restart":              {restarts(nil, false), taken},
		"open, compacted, after a restart":   {restarts(nil, true), taken},
		"delivered":                          {ends(Delivered, false), taken},
		"failed":                             {ends(Failed, false), failed},
		"failed, acknowledged":               {ends(Failed, true), failed},
		"failed, after a restart":            {restarts(ends(Failed, false), false), failed},
		"failed, compacted, after a restart": {restarts(ends(Failed, false), true), failed},
		"returned":                           {ends(Returned, false), refused},
		"returned, acknowledged":             {ends(Returned, true), refused},
	} {
		t.Run(stage, func(t *testing.T) {
			n := identityEngine(t, t.TempDir(), true)
			if got := n.offer(t, first); got[0] != taken {
				t.Fatalf("got %+v", got)
			}
			n = c.then(t, n)
			open := n.messages["a"]
			for name, other := range others(first) {
				if got := n.offer(t, other)[0]; !got.Refused || n.messages["a"] != open {
					t.Errorf("another %s: got %+v", name, got)
				}
			}
			got := n.offer(t, first)[0]
			if got.After = 0; got != c.repeat {
				t.Errorf("the same again: got %+v, want %+v", got, c.repeat)
			}
			if open != nil && open.ended == nil && (open.dest != first.Dest || string(open.body) != string(first.Body)) {
				t.Errorf("got %+v", open)
			}
		})
	}
}

// Guards against the same in one batch, in either order, and for who waits for an end.
func TestAnotherMessageUnderAnIDOfItsBatchIsNotTakenForARepeat(t *testing.T) {
	first := message("a", status, 50*time.Second)
	for _, newIDs := range []bool{true, false} {
		for name, other := range others(first) {
			n := identityEngine(t, t.TempDir(), newIDs)
			got := n.offer(t, first, other, first)
			if got[0] != (Answer{}) || got[1].Refused != newIDs || (got[1].Failed != "") == newIDs || got[2] != (Answer{}) {
				t.Errorf("another %s, new ids %v: got %+v", name, newIDs, got)
			}
			waits := arrival{Message: other, front: n.fronts[""], end: make(chan End, 1)}
			n.take(t.Context(), []any{waits})
			select {
			case e := <-waits.end:
				if e.State != Returned && e.Err == nil {
					t.Errorf("another %s, new ids %v: got the end %+v", name, newIDs, e)
				}
			default:
				t.Errorf("another %s, new ids %v: it waits for another's end", name, newIDs)
			}
		}
	}
}

// Guards against a message of another node's journal that is dropped since another one here has its id.
func TestAnotherMessageUnderAnInheritedIDIsOwedAsWell(t *testing.T) {
	lost := t.TempDir()
	j := openTest(t, lost, 3)
	for id, body := range map[string]string{"a": "another body", "b": "body of b"} {
		if _, err := j.accept(&past{id: id, class: status, dest: 7, deadline: time.Now().Add(time.Minute), body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
	}
	mustFlush(t, j)
	j.f.Close()

	n := identityEngine(t, t.TempDir(), true)
	n.offer(t, message("a", status, 50*time.Second), message("b", status, 50*time.Second))
	reply := make(chan error, 1)
	n.take(t.Context(), []any{inherit{dir: lost, reply: reply}})
	if err := <-reply; err != nil {
		t.Fatal(err)
	}
	own := n.messages["a"]
	if n.held != 3 || own == nil || own.home != n.journal {
		t.Fatalf("%d are held, under the id: %+v", n.held, own)
	}
	for _, home := range n.journals()[1:] {
		for _, p := range home.live {
			n.finish(p, ending{state: Delivered}, nil, true)
		}
		if len(home.live) != 0 || n.messages["a"] != own || n.held != 2 {
			t.Errorf("after its end: %d live, %d held", len(home.live), n.held)
		}
	}
}
