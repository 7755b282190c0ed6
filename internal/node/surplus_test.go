package node

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/node/pairing"
)

const turnedAway = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"

// settledBy makes a call and returns what it came to at first, and in the end.
func settledBy(t *testing.T, p *pool, c delivery.Attempt) (first, final delivery.Result) {
	t.Helper()
	settled := make(chan *delivery.Result, 1)
	c.Settle = func(r *delivery.Result) { settled <- r }
	if first = p.Attempt(t.Context(), c); !first.Undecided {
		return first, first
	}
	select {
	case r := <-settled:
		if r != nil {
			return first, *r
		}
		return first, first
	case <-time.After(patience):
		t.Fatal("the call was never settled")
		return
	}
}

// Guards against a copy of a response that is taken for the response to the next call on its connection.
func TestACopyEndsNoOtherCall(t *testing.T) {
	notYet, cut := choice.Pass, choice.Cut
	for _, c := range []struct {
		name, second  string // what comes for the second call, after a pass
		once          bool
		first, final  choice.Outcome
		undecided     bool
		closedBetween bool
	}{
		{name: "its own", second: delivered, first: notYet, final: choice.Pass, undecided: true},
		{name: "a copy, then a refusal", second: delivered + turnedAway, first: notYet, final: choice.NoRoom, undecided: true},
		{name: "two copies, then a refusal", second: delivered + delivered + turnedAway, first: notYet, final: choice.NoRoom, undecided: true},
		{name: "a copy, then its own", second: delivered + delivered, first: notYet, final: choice.Pass, undecided: true},
		{name: "a copy, then an end", second: delivered, first: notYet, final: cut, undecided: true, closedBetween: true},
		{name: "a refusal", second: turnedAway, first: choice.NoRoom, final: choice.NoRoom},
		{name: "part of a copy, then a refusal", second: delivered[:len(delivered)-1] + turnedAway, first: notYet, final: cut, undecided: true},
		{name: "part of a head, then a refusal", second: delivered[:20] + turnedAway, first: cut, final: cut},
		{name: "a copy, then a refusal, of what must not run twice", second: delivered + turnedAway, once: true, first: notYet,
			final: choice.NoRoom, undecided: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			calls := 0
			p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
				if calls++; calls == 1 {
					return says(delivered)(nc, nil)
				}
				return says(c.second)(nc, nil) && !c.closedBetween
			})
			pool, call := testPool(), testCall(endpointAt(p.Addr()))
			pool.Attempt(t.Context(), call)
			call.Once = c.once
			first, final := settledBy(t, pool, call)
			if first.Outcome != c.first || first.Undecided != c.undecided || final.Outcome != c.final || !final.Kept {
				t.Errorf("first %+v, final %+v", first, final)
			}
		})
	}
}

// Guards against an endpoint that writes one response without end, and has the node read and log it for as long.
func TestAnEndlessResponseEndsItsConnection(t *testing.T) {
	calls, written := 0, 0
	ended := make(chan struct{})
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		if calls++; calls == 1 {
			return says(delivered)(nc, nil)
		}
		defer close(ended)
		for written < 100_000 && says(delivered)(nc, nil) {
			written++
		}
		return false
	})
	pool, call := testPool(), testCall(endpointAt(p.Addr()))
	var log bytes.Buffer
	pool.log = slog.New(slog.NewTextHandler(&log, nil))
	pool.Attempt(t.Context(), call)
	_, final := settledBy(t, pool, call)
	<-ended
	if lines := strings.Count(log.String(), "\n"); final.Outcome != choice.Cut || written == 100_000 || lines > pairing.MostCopies+1 {
		t.Errorf("%v, %d responses written, %d lines logged", final.Outcome, written, lines)
	}
}

// Guards against a copy of a refusal that has what must not run twice sent again.
func TestWhatMustNotRunTwiceGoesWhereNoRefusalCame(t *testing.T) {
	calls := 0
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		calls++
		return says([]string{delivered, turnedAway, delivered}[calls-1])(nc, nil)
	})
	pool, call := testPool(), testCall(endpointAt(p.Addr()))
	for i, kept := range []bool{false, true, false} {
		call.Once = i == 2
		if got := pool.Attempt(t.Context(), call); got.Kept != kept {
			t.Errorf("call %d: %+v", i, got)
		}
	}
}

// Guards against further calls on connections of an endpoint of which one had a response too many.
func TestAnEndpointThatSaysTooMuchGetsOneCallAConnection(t *testing.T) {
	calls := 0
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		if calls++; calls == 2 {
			return says(delivered+turnedAway)(nc, nil)
		}
		return says(delivered)(nc, nil)
	})
	pool, call := testPool(), testCall(endpointAt(p.Addr()))
	for i := range 5 {
		if got := pool.Attempt(t.Context(), call); got.Kept != (i == 1) || (i > 0 && keptBy(pool) != 0) {
			t.Errorf("call %d: got %+v, %d kept", i, got, keptBy(pool))
		}
	}
	pool.mu.Lock()
	pool.distrusted.add(call.Endpoint.ID, 0)
	pool.mu.Unlock()
	if pool.callsOnce(call.Endpoint.ID) {
		t.Error("it is distrusted for good")
	}
}

// Guards against a told wait that is missed since its response came when the call had been taken for answered.
func TestAWaitThatIsToldTooLateBinds(t *testing.T) {
	late := make(chan struct{})
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		says(delivered)(nc, nil)
		<-late
		return says("HTTP/1.1 429 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")(nc, nil)
	})
	pool, call := testPool(), testCall(endpointAt(p.Addr()))
	pool.Attempt(t.Context(), call)
	close(late)
	eventually(t, "the wait binds", func() bool { return !call.MayBegin(time.Now()) })
}

// Guards against a response to other messages that is taken for that of a call with several.
func TestAResponseToOtherMessagesIsPassedOver(t *testing.T) {
	other := answered("200 OK", `[{"id":"x","state":"accepted"},{"id":"y","state":"accepted"}]`)
	calls := 0
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		if calls++; calls == 1 {
			return says(delivered)(nc, nil)
		}
		return says(other+answered("200 OK", `[{"id":"a","state":"deferred"},{"id":"b","state":"accepted"}]`))(nc, nil)
	})
	pool, e := testPool(), endpointAt(p.Addr())
	pool.Attempt(t.Context(), testCall(e))
	got := pool.AttemptAll(t.Context(), batchOf(e, 2))
	if got[0].Outcome != choice.NoRoom || got[1].Outcome != choice.Pass || keptBy(pool) != 0 {
		t.Errorf("got %+v", got)
	}
}

// Guards against connections without number where many responses wait for quiet.
func TestManyUndecidedResponsesNeedNoMoreConnections(t *testing.T) {
	for _, pool := range []*pool{testPool(), restingPool(16), restingPool(256)} {
		p := newPartner(t, says(delivered))
		call := testCall(endpointAt(p.Addr()))
		call.Settle = func(*delivery.Result) {}
		for range 20 * mostUndecided {
			if got := pool.Attempt(t.Context(), call); got.Outcome != choice.Pass {
				t.Fatalf("got %+v", got)
			}
		}
		if _, conns := p.counts(); conns > mostUndecided+1 {
			t.Errorf("%d connections", conns)
		}
	}
}
