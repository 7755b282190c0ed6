package delivery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/choice"
)

// An endpoint drains while the process is dead, and its source tells that a moment after the start: what the journal owes and
// what comes in that moment go elsewhere. A source that is silent holds nothing up for longer than a drain leaves.
func TestNothingIsSentByAListFromBefore(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent bool
		want   string
		within time.Duration
	}{
		{"told", false, "new", 20 * time.Millisecond},
		{"silent", true, "old", settleTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := t.TempDir()
				old := at(t, "old", 7)
				gone := old
				gone.Phase = choice.Draining
				before, stop := start(t, config(state, gone), Front{Carrier: newCarrier(pass), Sink: &sink{}})
				if a := before.Hand("", message("owed", status, 50*time.Second)); a != (Answer{}) {
					t.Fatalf("got %+v", a)
				}
				stop()

				c := newCarrier(pass)
				cfg, members := config(state, old), make(chan List)
				cfg.Members = source(members)
				began := time.Now()
				n, stop := start(t, cfg, Front{Carrier: c, Sink: &sink{}})
				answered := make(chan Answer, 1)
				go func() { answered <- n.Hand("", message("fresh", status, 50*time.Second)) }()
				if !tc.silent {
					time.Sleep(20 * time.Millisecond)
					members <- List{Members: []Member{gone, at(t, "new", 7)}}
				}
				got := []string{}
				for range 2 {
					a := c.next(t)
					got = append(got, a.ID+" to "+a.Endpoint.ID)
				}
				if took := time.Since(began); took > tc.within {
					t.Errorf("sent after %v", took)
				}
				slices.Sort(got)
				if want := []string{"fresh to " + tc.want, "owed to " + tc.want}; !slices.Equal(got, want) {
					t.Errorf("got %q, want %q", got, want)
				}
				if a := <-answered; a != (Answer{}) {
					t.Errorf("got %+v", a)
				}
				stop()
			})
		})
	}
}
