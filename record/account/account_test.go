package account

import (
	"errors"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/record"
)

const ms = time.Millisecond

// recording builds records by hand, as an engine makes them.
type recording []record.Record

func (r *recording) step(now time.Duration, events []choice.Event, actions ...choice.Action) {
	s := &record.Step{Now: now}
	for _, e := range events {
		s.Events = append(s.Events, record.EventOf(e, func(k string) string { return k }))
	}
	for _, a := range actions {
		s.Actions = append(s.Actions, record.ActionOf(a))
	}
	*r = append(*r, record.Record{Step: s})
}

func (r recording) account(t *testing.T) Report {
	t.Helper()
	head := record.Header{Settings: choice.Settings{Classes: []choice.Class{{Aim: time.Second, Deadline: 4 * time.Second, Worth: 2, LateWorth: 0.5}}}}
	a := New(head, false, func(*Message) bool { return true })
	for _, x := range r {
		if err := a.Add(x); err != nil {
			t.Fatal(err)
		}
	}
	return a.Report()
}

func arrived(name string, now time.Duration) choice.Event {
	return choice.Arrived{ID: name, DropDead: now + 4*time.Second}
}

// Messages of one call share its times, and each outcome has its span.
func TestSpansOfCalls(t *testing.T) {
	for outcome, span := range outcomeSpans {
		var r recording
		for _, name := range []string{"1", "2"} {
			r = append(r, record.Record{Handed: &delivery.Handed{Name: name, ID: "id" + name, Came: 10 * ms}})
		}
		r.step(20*ms, []choice.Event{arrived("1", 0), arrived("2", 0)}, choice.Send{ID: "1", Endpoint: "e"}, choice.Send{ID: "2", Endpoint: "e", Joined: true})
		r = append(r, record.Record{Called: &delivery.Called{Name: "1", Begun: 25 * ms, Dialled: 30 * ms, Connected: 70 * ms, Ended: 100 * ms}})
		ended := choice.Ended{Outcome: outcome, Closed: outcome == choice.Pass}
		first, second := ended, ended
		first.ID, second.ID = "1", "2"
		r.step(100*ms, []choice.Event{first, second})
		for _, m := range r.account(t).Messages {
			wants := map[Span]time.Duration{Intake: 10 * ms, Start: 10 * ms, Dial: 40 * ms}
			wants[span] += 30 * ms
			for i := range Spans {
				if m.Spans[i] != wants[i] {
					t.Errorf("outcome %d: %s: %v in %v, want %v", outcome, m.ID, m.Spans[i], i, wants[i])
				}
			}
			if want := map[bool]Fate{true: Delivered, false: Open}[ended.Closed]; m.Fate != want || m.Attempts != 1 {
				t.Errorf("outcome %d: %s: %v after %d attempts", outcome, m.ID, m.Fate, m.Attempts)
			}
		}
	}
}

// What a message's end is worth, and what is laid to whom.
func TestWorthAndBlame(t *testing.T) {
	var r recording
	r = append(r, record.Record{Turned: &delivery.Turned{At: 5 * ms, Came: 5 * ms, ID: "t", Why: delivery.TurnedByRoom}})
	r = append(r, record.Record{Handed: &delivery.Handed{Name: "9", ID: "d", Came: 5 * ms}},
		record.Record{Turned: &delivery.Turned{At: 6 * ms, Came: 5 * ms, ID: "d", Why: delivery.TurnedByDisk}})
	r.step(10*ms, []choice.Event{arrived("1", 0), arrived("2", 0), arrived("3", 0)}, choice.PushBack{ID: "3", Why: choice.ByGate, RetryAfter: time.Second},
		choice.Send{ID: "1", Endpoint: "e"}, choice.Send{ID: "2", Endpoint: "e"})
	r.step(time.Second, []choice.Event{choice.Ended{ID: "1", Outcome: choice.Pass, Closed: true}})
	r.step(2500*ms, []choice.Event{choice.Ended{ID: "2", Outcome: choice.Pass, Closed: true}})
	r.step(2501*ms, nil)
	r = append(r, record.Record{Noticed: &record.Noticed{At: 3 * time.Second, Names: []string{"3", "unknown"}}})
	report := r.account(t)
	got := map[string]*Message{}
	var sum Sum
	for _, m := range report.Messages {
		got[m.Name] = m
		sum.Add(m)
	}
	if got["1"].Got != 2 || got["2"].Got != 1.5 || got["3"].Got != 0 || got["3"].Noticed != 3*time.Second || got["t1"].Fate != RefusedRoom {
		t.Errorf("%+v %+v %+v %+v", got["1"], got["2"], got["3"], got["t1"])
	}
	if sum.Messages != 5 || sum.Turned != 6 || sum.Blame[Wire] != 0.5 || sum.Worth != 10 || sum.Got != 3.5 {
		t.Errorf("%+v", sum)
	}
	if w := Worst(report.Messages, 2); len(w) != 2 || w[0].Lost() != 2 {
		t.Errorf("the worst lost %v", w[0].Lost())
	}
}

func TestTimeGoesOn(t *testing.T) {
	a := New(record.Header{}, false, nil)
	if err := a.Add(record.Record{Step: &record.Step{Now: 2}}); err != nil {
		t.Fatal(err)
	}
	if err := a.Add(record.Record{Step: &record.Step{Now: 1}}); !errors.Is(err, ErrOrder) {
		t.Errorf("got %v", err)
	}
	if err := a.Add(record.Record{}); !errors.Is(err, record.ErrUnknownItem) {
		t.Errorf("got %v", err)
	}
}
