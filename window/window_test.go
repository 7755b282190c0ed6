package window

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A partner that serves so many calls at once and queues some more is driven as fast as it can be, and the window stays
// near what it takes, whatever its sizes.
func TestWindowFindsWhatAnEndpointTakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		serves := rapid.IntRange(1, 12).Draw(t, "serves")
		queue := rapid.IntRange(0, 24).Draw(t, "queue")
		service := time.Duration(rapid.IntRange(20, 400).Draw(t, "service in ms")) * ms
		var w Window
		type call struct{ sent, ends time.Duration }
		var out []call // in the order in which they end
		now, passed, refused := time.Second, 0, 0
		const calls = 1500
		for passed < calls {
			if w.Allows(now, len(out)) && (w.Size(now) > 0 || len(out) < 3*(serves+queue)) {
				if len(out) >= serves+queue {
					refused++
					w.Refused(now, len(out))
					continue
				}
				begins := now
				if len(out) >= serves {
					begins = out[len(out)-serves].ends
				}
				out = append(out, call{now, begins + service})
				continue
			}
			now = out[0].ends
			took := now - out[0].sent
			out = out[1:]
			passed++
			w.Passed(now, len(out), took)
		}
		elapsed := now - time.Second
		ideal := time.Duration(calls/serves) * service
		if elapsed > ideal*3/2 {
			t.Fatalf("%d calls took %v, %v at best", calls, elapsed, ideal)
		}
		if refused > calls/3 { // with one call at a time every fourth pass tries for more
			t.Fatalf("%d refusals for %d calls", refused, calls)
		}
	})
}

func TestRunsOfRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused []time.Duration
		passed  time.Duration // 0 never
		outage  bool          // at the last refusal
	}{
		{"one", []time.Duration{100 * ms}, 0, false},
		{"many at once", []time.Duration{100 * ms, 110 * ms, 400 * ms, 790 * ms}, 0, false},
		{"longer than a pause", []time.Duration{100 * ms, 400 * ms, 801 * ms}, 0, true},
		{"with a pass between", []time.Duration{100 * ms, 400 * ms, 801 * ms}, 500 * ms, false},
		{"at time zero", []time.Duration{0, 2 * time.Second}, 0, true},
	} {
		var w Window
		got := false
		for _, at := range c.refused {
			if c.passed > 0 && at > c.passed {
				w.Passed(c.passed, 3, 50*ms)
			}
			got = w.Refused(at, 3)
		}
		if got != c.outage {
			t.Errorf("%s: an outage: %v", c.name, got)
		}
	}
}

// What a window is after some history.
func TestWindowBounds(t *testing.T) {
	var w Window
	if !w.Allows(0, 1000) {
		t.Error("a window that met no refusal binds")
	}
	w.Refused(time.Second, 4)
	for out, want := range map[int]bool{0: true, 3: true, 4: false, 9: false} {
		if w.Allows(time.Second, out) != want {
			t.Errorf("four fitted; beside %d a further one goes: %v", out, !want)
		}
	}
	w.Refused(time.Second, 6) // one of the same clump, heard of later
	w.Refused(time.Second, 0)
	if !w.Allows(time.Second, 0) || w.Allows(time.Second, 1) {
		t.Error("with nothing there one call goes, and no more")
	}
	if !w.Allows(time.Second+forget, 1000) {
		t.Error("the window binds long after the last refusal")
	}
	w.Refused(time.Minute, 10)
	for range 50 {
		w.Passed(time.Minute, 0, 50*ms)
	}
	if w.Size(time.Minute) != 10 {
		t.Errorf("a window that was not used is %v", w.Size(time.Minute))
	}
	for range 200 {
		w.Passed(time.Minute, 9, time.Second) // twenty times as long as at best: they queue
	}
	if w.Size(time.Minute) > 9 {
		t.Errorf("calls wait in the queue, and the window is %v", w.Size(time.Minute))
	}
}
