package delivery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"starlingusher/choice"
)

// Guards against a second run of a message whose client handed it in again because its connection broke over the answer.
func TestAMessageHandedInAgainAfterItsEndHasNoSecondEffect(t *testing.T) {
	c := newCarrier(pass)
	n := bare(t, c, at(t, "e", 7))
	for range 2 {
		a := n.handIn("a", 50*time.Second)
		n.take(t.Context(), []any{a})
		if answer := <-a.reply; answer != (Answer{}) {
			t.Fatalf("got %+v", answer)
		}
		for len(n.out) > 0 {
			n.take(t.Context(), []any{<-n.events})
		}
		if n.messages["a"] != nil {
			t.Error("it has no end")
		}
	}
	if ids := c.ids(); len(ids) != 1 {
		t.Errorf("calls %v", ids)
	}
	close(n.quit)
	n.calls.Wait()
}

// Guards against a message that was returned, and is handed in again under its id, being taken for one that has run.
func TestAMessageThatWasReturnedMayComeAgainUnderItsID(t *testing.T) {
	n := bare(t, newCarrier(pass), held()) // nothing is sent
	for range 2 {
		n.take(t.Context(), []any{n.handIn("a", 50*time.Second)})
		p := n.messages["a"]
		if p == nil {
			t.Fatal("it is not taken on anew")
		}
		n.finish(p, ending{state: Returned}, nil, true)
		n.take(t.Context(), []any{settled{{ID: "a", State: Returned, of: p}}})
		n.step(t.Context(), []choice.Event{choice.Dropped{ID: p.name()}}, nil)
	}
}

// Guards against an id that runs again since many other messages have ended after it: at the rate at which a node ends messages, all of the last seconds
// are remembered.
func TestEndsAreRememberedAtAHighRate(t *testing.T) {
	const rate = 6000 // ends a second
	var r recentEnds
	for i := range rate * int(repeatMemory/time.Second) {
		r.add(fmt.Sprint(i), knownEnd{state: Delivered}, time.Duration(i)*time.Second/rate)
	}
	if _, known := r.look("0", repeatMemory-time.Second/rate); !known {
		t.Error("the first is forgotten")
	}
}

// Ends are remembered for as long as is said, the latest ones first where there are too many.
func TestRecentEndsAreThoseOfTheLastSeconds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := recentEnds{most: rapid.IntRange(1, 2000).Draw(rt, "most")}
		ended, order, now := map[string]time.Duration{}, []string{}, time.Duration(0)
		for range rapid.IntRange(1, 3000).Draw(rt, "ends") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Millisecond
			name := fmt.Sprint(len(order))
			r.add(name, knownEnd{state: Delivered}, now)
			ended[name], order = now, append(order, name)
		}
		for i, name := range order {
			want := now-ended[name] <= repeatMemory && len(order)-i <= r.most
			if _, known := r.look(name, now); known != want {
				rt.Fatalf("%s of %d, ended %v ago: remembered %v", name, len(order), now-ended[name], !want)
			}
		}
	})
}

// Guards against a copy of a request that runs after its client was told that it does not.
func TestACopyOfARequestThatWasRefusedIsRefused(t *testing.T) {
	for _, newIDs := range []bool{true, false} {
		n := bare(t, newCarrier(pass), held()) // nothing is sent
		n.fronts[""].NewIDs = newIDs
		n.cfg.Settings.MaxOpen = 1
		n.take(t.Context(), []any{n.handIn("first", 50*time.Second)})
		refused := n.handIn("a", 50*time.Second)
		n.take(t.Context(), []any{refused})
		if answer := <-refused.reply; !answer.Refused {
			t.Fatalf("got %+v", answer)
		}
		n.cfg.Settings.MaxOpen = 2
		again := n.handIn("a", 50*time.Second)
		n.take(t.Context(), []any{again})
		if answer := <-again.reply; answer.Refused != newIDs {
			t.Errorf("new ids %v: got %+v", newIDs, answer)
		}
	}
}

// Guards against a message that is handed in again after its end, is answered as taken on, and never ends for whoever heard that.
func TestAMessageHandedInAgainAfterItsEndIsAnsweredByIt(t *testing.T) {
	for _, c := range []struct {
		state        State
		acknowledged bool
		want         func(Answer) bool
	}{
		{Returned, false, func(a Answer) bool { return a.Refused }},
		{Returned, true, func(a Answer) bool { return a.Refused }},
		{Failed, false, func(a Answer) bool { return a.Failed != "" }},
		{Failed, true, func(a Answer) bool { return a.Failed != "" }},
		{Delivered, true, func(a Answer) bool { return a == Answer{} }},
	} {
		n := bare(t, newCarrier(pass), held()) // nothing is sent
		n.fronts[""].NewIDs = true
		n.take(t.Context(), []any{n.handIn("a", 50*time.Second)})
		p := n.messages["a"]
		n.finish(p, ending{state: c.state}, nil, true)
		if c.acknowledged {
			n.take(t.Context(), []any{settled{{ID: "a", State: c.state, of: p}}})
		}
		again := n.handIn("a", 50*time.Second)
		n.take(t.Context(), []any{again})
		if answer := <-again.reply; !c.want(answer) {
			t.Errorf("%v, acknowledged %v: got %+v", c.state, c.acknowledged, answer)
		}
		if now := n.messages["a"]; now != nil && (now != p || c.acknowledged) {
			t.Errorf("%v, acknowledged %v: it was taken on anew", c.state, c.acknowledged)
		}
	}
}

// Guards against a message that the engine has being refused by somebody who can't know that, and sent all the same: its body could not be kept, a further life of
// it is under way, or the engine has ended.
func TestARefusalIsNoAnswerToAMessageThatIsTakenOn(t *testing.T) {
	taken := func(a Answer) bool { return a == Answer{} }
	refused := func(a Answer) bool { return a.Refused }
	failed := func(a Answer) bool { return a.Failed != "" }
	for _, c := range []struct {
		name  string
		state State
		ended bool
		other bool // another message has its id
		fresh bool // it was not handed in before
		again bool // it is a further life
		want  func(Answer) bool
	}{
		{name: "open", want: taken},
		{name: "delivered", ended: true, state: Delivered, want: func(a Answer) bool { return !a.Refused }},
		{name: "failed", ended: true, state: Failed, want: failed},
		{name: "returned", ended: true, state: Returned, want: refused},
		{name: "another one of its id", other: true, want: refused},
		{name: "new", fresh: true, want: refused},
		{name: "a further life", again: true, want: failed},
	} {
		for _, over := range []bool{false, true} {
			n := bare(t, newCarrier(pass), held()) // nothing is sent
			n.fronts[""].NewIDs = true
			if !c.fresh {
				n.take(t.Context(), []any{n.handIn("a", 50*time.Second)})
				p := n.messages["a"]
				if c.again {
					p.first = time.Now()
				}
				if c.ended {
					n.finish(p, ending{state: c.state}, nil, true)
				}
			}
			a := n.handIn("a", 50*time.Second)
			if c.other {
				a.Body = []byte("another")
			}
			if !over {
				a.Unkept = NewUnkept(time.Second)
				a.Unkept.Write(a.Body)
				a.Body = nil
			}
			if over {
				close(n.over)
				if got := n.submit(a).Answer(); !c.want(got) {
					t.Errorf("%s, after the end: got %+v", c.name, got)
				}
				continue
			}
			n.take(t.Context(), []any{a})
			if got := <-a.reply; !c.want(got) {
				t.Errorf("%s, its body not kept: got %+v", c.name, got)
			}
		}
	}
}
