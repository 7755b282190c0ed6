package node

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// batchOf is calls with several messages, of the ids a, b and so on.
func batchOf(e *delivery.Endpoint, n int) []delivery.Attempt {
	all := make([]delivery.Attempt, n)
	for i := range all {
		id := string(rune('a' + i))
		all[i] = delivery.Attempt{ID: id, Key: "k" + id, Body: []byte("body\x00 " + id), Endpoint: e, NotPast: time.Now().Add(patience)}
	}
	return all
}

func answered(head, body string) string {
	return "HTTP/1.1 " + head + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestFatesOfACallWithSeveral(t *testing.T) {
	ran, never := delivery.Result{Outcome: choice.Fault}, delivery.Result{Outcome: choice.NoRoom, NotRun: true}
	good, cut := delivery.Result{Outcome: choice.Pass, Closed: true}, delivery.Result{Outcome: choice.Cut, Replies: choice.RepliesOf(choice.ReplyPass)}
	maybeOver := delivery.Result{Outcome: choice.Cut, Replies: choice.RepliesOf(choice.ReplyOver)}
	waits := func(r delivery.Result) delivery.Result { r.Wait = 350 * time.Millisecond; return r }
	for _, c := range []struct {
		name, says string
		a, b       delivery.Result
	}{
		{"all taken", answered("200 OK", `[{"id":"b","state":"accepted"},{"id":"a","state":"accepted"}]`), good, good},
		{"each its own", answered("200 OK", `[{"id":"a","state":"deferred"},{"id":"b","state":"fault"}]`), never, ran},
		{"over, and out of attempts", answered("200 OK", `[{"id":"a","state":"expired"},{"id":"b","state":"no_more"}]`),
			delivery.Result{Outcome: choice.Stale, NotRun: true, Closed: true}, delivery.Result{Outcome: choice.Stale, NotRun: true}},
		{"a wait binds alike", answered("200 OK\r\nRetry-After: 0.35", `[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`),
			waits(good), waits(never)},
		{"one is left out", answered("200 OK", `[{"id":"a","state":"accepted"}]`), good, ran},
		{"one is told twice", answered("200 OK", `[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"},{"id":"b","state":"deferred"}]`), good, ran},
		{"a state that is none", answered("200 OK", `[{"id":"a","state":"accepted"},{"id":"b","state":"perhaps"}]`), good, ran},
		{"another's", answered("200 OK", `[{"id":"a","state":"accepted"},{"id":"z","state":"deferred"}]`), good, ran},
		// The first line proves nothing of several.
		{"noise", answered("200 OK", `%$&`), cut, cut},
		{"too short", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + `[{"id":"a","state":"accepted"}`, cut, cut},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat(" ", 1<<18), cut, cut},
		{"cut behind one that is over", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + `[{"id":"a", "state" : "expired"},{"id":"b","st`, maybeOver, cut},
		{"part of another ahead", answered("200 OK", `[{"id":"z","st[{"id":"a","state":"accepted"},{"id":"b","state":"expired"}]`), cut, maybeOver},
		{"over and taken", answered("200 OK", `[{"id":"a","state":"expired"},{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]`),
			delivery.Result{Outcome: choice.Fault, Replies: choice.RepliesOf(choice.ReplyFault, choice.ReplyOver)}, good},
		{"all turned away", answered("503 No", ""), never, never},
		{"all told to wait", answered("429 No\r\nRetry-After: 0.35", ""), waits(never), waits(never)},
		{"all failed", answered("500 No", ""), ran, ran},
		{"not taken as it was written", answered("400 No", ""), delivery.Result{Outcome: choice.Fault, NotRun: true},
			delivery.Result{Outcome: choice.Fault, NotRun: true}},
		{"too many", answered("413 No", ""), delivery.Result{Outcome: choice.Fault, NotRun: true},
			delivery.Result{Outcome: choice.Fault, NotRun: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPartner(t, says(c.says))
			got := testPool().AttemptAll(t.Context(), batchOf(endpointAt(p.Addr()), 2))
			for i, want := range []delivery.Result{c.a, c.b} {
				if got[i].Heard = (time.Time{}); !same(got[i], want) {
					t.Errorf("%d: got %+v, want %+v", i, got[i], want)
				}
			}
		})
	}
}

// A kept connection that resets under a call with ten costs all ten their answers, and no more: the call is told as cut on
// a kept connection, and an answer that had come whole counts, whatever the connection does behind it.
func TestAKeptConnectionResetsUnderACallWithSeveral(t *testing.T) {
	const ten = 10
	tell := func(n int, state string) string {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(`{"id":%q,"state":%q}`, string(rune('a'+i)), state))
		}
		return "[" + strings.Join(all, ",") + "]"
	}
	whole := answered("200 OK", tell(ten, "accepted"))
	for _, c := range []struct {
		name, says string
		passed     int // the first so many are delivered; the others may have run
		cut        bool
	}{
		{"before the answer", "", 0, true},
		{"in the first line", "HTTP/1.1 20", 0, true},
		{"in the answer", whole[:len(whole)/2], 0, true},
		{"before its last byte", whole[:len(whole)-1], 0, true},
		{"after the answer", whole, ten, false},
		{"after one that tells of six", answered("200 OK", tell(6, "accepted")), 6, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
				if calls++; calls == 1 {
					_, err := io.WriteString(nc, whole)
					return err == nil
				}
				io.WriteString(nc, c.says)
				if c.cut {
					nc.(*net.TCPConn).SetLinger(0)
				}
				nc.Close()
				return false
			})
			pool, e := testPool(), endpointAt(p.Addr())
			// The response to a call with the same messages could be a copy of the first one.
			if res := pool.Attempt(t.Context(), testCall(e)); res.Outcome != choice.Pass {
				t.Fatalf("the first call: %+v", res)
			}
			for i, res := range pool.AttemptAll(t.Context(), batchOf(e, ten)) {
				want := choice.Fault
				switch {
				case i < c.passed:
					want = choice.Pass
				case c.cut:
					want = choice.Cut
				}
				if res.Outcome != want || !res.Kept || res.NotRun || res.Closed != (want == choice.Pass) {
					t.Errorf("%d: got %+v", i, res)
				}
			}
			eventually(t, "the broken connection is dropped", func() bool { return keptBy(pool) == 0 })
		})
	}
}

// What does not answer is out to the latest of the times, and the connection is closed: then no message is out there.
func TestACallWithSeveralIsGivenUpWhole(t *testing.T) {
	closed := make(chan bool, 1)
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		_, err := nc.Read(make([]byte, 1))
		closed <- err != nil
		return false
	})
	all := batchOf(endpointAt(p.Addr()), 3)
	for i := range all {
		all[i].NotPast = time.Now().Add(time.Duration(i+1) * 50 * time.Millisecond)
	}
	for i, res := range testPool().AttemptAll(t.Context(), all) {
		if res.Outcome != choice.TooSlow || res.NotRun || time.Now().Before(all[2].NotPast) {
			t.Errorf("%d: got %+v", i, res)
		}
	}
	if !<-closed {
		t.Error("the connection stayed open")
	}
}

// Two fronts may give one id to different messages. One of them goes, and the other is proven not to have run.
func TestACallNamesNoIDTwice(t *testing.T) {
	p := newPartner(t, says(answered("200 OK", `[{"id":"a","state":"accepted"},{"id":"c","state":"deferred"}]`)))
	all := batchOf(endpointAt(p.Addr()), 3)
	all[1].ID = "a"
	got := testPool().AttemptAll(t.Context(), all)
	if sent := inBatch(t, p.next(t)); len(sent) != 2 || sent[0].ID != "a" || sent[1].ID != "c" {
		t.Errorf("sent %v", sent)
	}
	if got[0].Outcome != choice.Pass || got[1].Outcome != choice.Stale || !got[1].NotRun || got[2].Outcome != choice.NoRoom {
		t.Errorf("got %+v", got)
	}
}

// inBatch reads what a partner was sent.
func inBatch(t *testing.T, req *http.Request) []entry {
	t.Helper()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	var all []entry
	if err := json.Unmarshal(body, &all); err != nil {
		t.Fatalf("%v in %q", err, body)
	}
	if len(body) > maxBody {
		t.Errorf("a body of %d bytes", len(body))
	}
	return all
}

func TestSizeIsNeverLessThanWhatIsWritten(t *testing.T) {
	p := newPool(0, 0, 1, slog.New(slog.DiscardHandler))
	e := endpointAt("127.0.0.1:1")
	for _, a := range []delivery.Attempt{
		{ID: "a"}, {ID: `<">\&'`, Key: `<<<>>>""`, Body: []byte("x")}, {ID: "a", Key: "k", Body: make([]byte, 1001)},
	} {
		a.Endpoint = e
		with, err := encodeBatch(a, []delivery.Attempt{a})
		if err != nil {
			t.Fatal(err)
		}
		_, body, _ := strings.Cut(string(with), "\r\n\r\n")
		if told := p.Size(a.ID, a.Key, len(a.Body)); told < len(body)-2 || told > len(body)+mostEscape*(len(a.ID)+len(a.Key))+batchFrame {
			t.Errorf("%q: told %d, written %d", a.ID, told, len(body))
		}
	}
}

func batching(c *Config) { c.Settings.Kinds[0].Batch, c.Settings.MaxOpen = 3, 40 }

// Messages that wait for one destination go in calls with several, each once, in as many as the settings allow; a large
// one that leaves no room for others goes alone.
func TestWaitingMessagesShareCalls(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
		if req.URL.Path == "/v1/messages" {
			io.WriteString(nc, delivered)
			return true
		}
		var fates []string
		for _, e := range inBatch(t, req) {
			fates = append(fates, fmt.Sprintf(`{"id":%q,"state":"accepted"}`, e.ID))
		}
		_, err := io.WriteString(nc, answered("200 OK", "["+strings.Join(fates, ",")+"]"))
		return err == nil
	})
	state := t.TempDir()
	addr, stop := startAltered(t, r, state, batching, held())
	large := strings.Repeat("x", 50<<10) // more than half of a call's room in Base64, and no two fit
	bodies := []string{"one", "two \x00", "three", "four", "five", large, large, "eight"}
	for i, body := range bodies {
		mustAnswer(t, addr, enqueue("m"+itoa(i), "c=order,d=50000,dest=7,k=k"+itoa(i), body), "+OK")
	}
	r.Tell(listOf(2, false, serving("e", p.Addr(), 7, "SERVING")))
	got, calls := map[string]int{}, 0
	for len(got) < len(bodies) {
		req := p.next(t)
		calls++
		if req.URL.Path == "/v1/messages" {
			got[req.Header.Get("X-Trace-Id")]++
			continue
		}
		all := inBatch(t, req)
		if len(all) < 2 || len(all) > 3 {
			t.Errorf("a call with %d messages", len(all))
		}
		for _, e := range all {
			got[e.ID]++
			i, _ := strconv.Atoi(e.ID[1:])
			if e.Key != "k"+itoa(i) || string(e.Body) != bodies[i] {
				t.Errorf("%s: key %q and %d bytes", e.ID, e.Key, len(e.Body))
			}
		}
	}
	for id, times := range got {
		if times != 1 {
			t.Errorf("%s went out %d times", id, times)
		}
	}
	if calls > 4 {
		t.Errorf("%d calls for %d messages", calls, len(bodies))
	}
	stop()
	if calls, _ := p.counts(); calls > 4 {
		t.Errorf("%d calls in the end", calls)
	}
}

// The messages of a call that ends apart: what was turned away goes out again, what was taken does not.
func TestAPartOfACallIsSentAgain(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	first := true
	p := newPartner(t, func(nc net.Conn, req *http.Request) bool {
		states := map[bool]string{true: "deferred", false: "accepted"}
		if req.URL.Path == "/v1/messages" {
			io.WriteString(nc, delivered)
			return true
		}
		var fates []string
		for i, e := range inBatch(t, req) {
			fates = append(fates, fmt.Sprintf(`{"id":%q,"state":%q}`, e.ID, states[first && i > 0]))
		}
		first = false
		_, err := io.WriteString(nc, answered("200 OK", "["+strings.Join(fates, ",")+"]"))
		return err == nil
	})
	addr, _ := startAltered(t, r, t.TempDir(), batching, held())
	for _, id := range []string{"a", "b", "c"} {
		mustAnswer(t, addr, enqueue(id, ofPayout, id), "+OK")
	}
	r.Tell(listOf(2, false, serving("e", p.Addr(), 7, "SERVING")))
	began := inBatch(t, p.next(t))
	if len(began) != 3 {
		t.Fatalf("the first call has %d messages", len(began))
	}
	again := map[string]bool{}
	for len(again) < 2 {
		req := p.next(t)
		if req.URL.Path == "/v1/messages" {
			again[req.Header.Get("X-Trace-Id")] = true
			continue
		}
		for _, e := range inBatch(t, req) {
			again[e.ID] = true
		}
	}
	if again[began[0].ID] || !again[began[1].ID] || !again[began[2].ID] {
		t.Errorf("of %v these went again: %v", began, again)
	}
}

// A payout in a call with several that breaks off may have run: it ends as failed, and never goes again.
func TestABrokenCallWithSeveralMayHaveRun(t *testing.T) {
	t.Parallel()
	r := newRegistry(t)
	p := newPartner(t, func(net.Conn, *http.Request) bool { return false })
	addr, _ := startAltered(t, r, t.TempDir(), batching, held())
	for _, id := range []string{"a", "b"} {
		mustAnswer(t, addr, enqueue(id, ofPayout, id), "+OK")
	}
	r.Tell(listOf(2, false, serving("e", p.Addr(), 7, "SERVING")))
	if all := inBatch(t, p.next(t)); len(all) != 2 {
		t.Fatalf("the call has %d messages", len(all))
	}
	for _, id := range []string{"a", "b"} {
		eventually(t, "the failure of "+id, func() bool { return r.State(id) == "failed" })
	}
	if calls, _ := p.counts(); calls != 1 {
		t.Errorf("%d calls", calls)
	}
}

// Destinations with a carrier of their own are called with one message at a time.
func TestOnlyHTTPTakesSeveral(t *testing.T) {
	p := newPool(0, 0, 1, slog.New(slog.DiscardHandler))
	if b := (byDest{p, map[int]delivery.Carrier{3: p}}); b.Batches(3) || !b.Batches(4) {
		t.Error("who takes several")
	}
}

func TestTenants(t *testing.T) {
	names := wire.Names{Classes: []string{"status"}, Tenants: []string{"east", "west"}}
	for _, c := range []struct {
		fields string
		names  wire.Names
		want   int // -1 for an error
	}{
		{"c=status,t=east,d=1,dest=1", names, 1},
		{"t=west,c=status,d=1,dest=1", names, 2},
		{"c=status,d=1,dest=1", names, 0},
		{"c=status,t=north,d=1,dest=1", names, -1},
		{"c=status,t=,d=1,dest=1", names, -1},
		{"c=status,t=north,d=1,dest=1", wire.Names{Classes: []string{"status"}}, 0}, // without tenants it says nothing
	} {
		m, err := parseEnqueue([][]byte{nil, nil, []byte("id"), []byte(c.fields), nil}, c.names, time.Now())
		if (err != nil) != (c.want < 0) || (err == nil && m.Tenant != c.want) {
			t.Errorf("%q: tenant %d, %v", c.fields, m.Tenant, err)
		}
	}
	n, err := wire.SettingsNames(json.RawMessage(`{"customers":[{"name":"east","allowancePerS":3},{"name":"west"}]}`))
	if err != nil || !slices.Equal(n.Tenants, names.Tenants) {
		t.Errorf("read %v, %v", n.Tenants, err)
	}
}

func FuzzStates(f *testing.F) {
	f.Add([]byte(`[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"}]`))
	f.Add([]byte(`[{"id":"a","state":"accepted"},{"id":"a","state":"accepted"}]`))
	f.Add([]byte(`null`))
	f.Add([]byte(`[{"ID":"a","State":"accepted"},null,{}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		states, _, err := readStates(text, nil)
		if err != nil && states != nil {
			t.Error("an error with states")
		}
		for id, s := range states {
			res := stateOf(delivery.Result{Outcome: choice.Pass, Closed: true}, s)
			if passed := res.Outcome == choice.Pass; passed != (s == "accepted") || passed != (res.Closed && !res.NotRun) {
				t.Errorf("%q by %q: %+v", id, s, res)
			}
		}
	})
}
