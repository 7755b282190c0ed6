package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/standin"
)

const patience = 30 * time.Second // for what must happen; nothing is asserted of how fast

// partner is a stand-in that a test scripts by its bare connection.
type partner struct {
	*standin.HTTP
	came chan *http.Request
}

func newPartner(t *testing.T, serve func(nc net.Conn, req *http.Request) bool) *partner {
	t.Helper()
	p := &partner{came: make(chan *http.Request, 4000)}
	var err error
	p.HTTP, err = standin.NewRawHTTP(func(nc net.Conn, req *http.Request) bool {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return false
		}
		seen := req.Clone(req.Context()) // the test and serve may both read it
		seen.Body, req.Body = io.NopCloser(bytes.NewReader(body)), io.NopCloser(bytes.NewReader(body))
		p.came <- seen
		return serve(nc, req)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func (p *partner) counts() (calls, conns int) { return len(p.Calls()), p.Conns() }

// next waits for the next call.
func (p *partner) next(t *testing.T) *http.Request {
	t.Helper()
	select {
	case req := <-p.came:
		return req
	case <-time.After(patience):
		t.Fatal("no call came")
		return nil
	}
}

func says(text string) func(net.Conn, *http.Request) bool {
	return func(nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, text)
		return err == nil
	}
}

const delivered = standin.Delivered

// silent takes a request and never answers.
func silent(nc net.Conn, _ *http.Request) bool {
	io.Copy(io.Discard, nc)
	return false
}

func endpointAt(addr string) *delivery.Endpoint { return delivery.NewEndpoint("e", addr) }

// testPool is a pool whose connections need no rest between calls, so that a test may have calls on one connection at once.
func testPool() *pool {
	p := restingPool(16)
	p.restFor = 0
	return p
}

// keptBy counts the connections that a pool keeps.
func keptBy(p *pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.size
}

func testCall(e *delivery.Endpoint) delivery.Attempt {
	return delivery.Attempt{ID: "9b1f03aa5c7e2d41", Key: "5c0f", Body: []byte("body\x00"), Endpoint: e, NotPast: time.Now().Add(patience)}
}

// same compares results but for what they say in words, and for the log.
func same(a, b delivery.Result) bool {
	a.Err, b.Err = nil, nil
	a.On, b.On = delivery.Exchange{}, delivery.Exchange{}
	return reflect.DeepEqual(a, b)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, says string
		want       delivery.Result
	}{
		{"delivered", delivered, delivery.Result{Outcome: choice.Pass, Closed: true}},
		{"delivered with a report", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n",
			delivery.Result{Outcome: choice.Pass, Closed: true, Report: choice.Report{Left: 0.4, Limit: 25, HasLeft: true, HasLimit: true}}},
		{"a report that can't be read", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=often,,x1=NaN\r\nContent-Length: 0\r\n\r\n",
			delivery.Result{Outcome: choice.Pass, Closed: true}},
		{"after a 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + delivered, delivery.Result{Outcome: choice.Pass, Closed: true}},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", delivery.Result{Outcome: choice.Fault}},
		{"told to wait", "HTTP/1.1 429 No\r\nRetry-After: 0.35\r\nContent-Length: 0\r\n\r\n",
			delivery.Result{Outcome: choice.NoRoom, NotRun: true, Wait: 350 * time.Millisecond}},
		{"turned away", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", delivery.Result{Outcome: choice.NoRoom, NotRun: true}},
		{"turned away with its connection", "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			delivery.Result{Outcome: choice.NoRoom, NotRun: true, HungUp: true}},
		{"no slot", "HTTP/1.1 503 No\r\nX-Line-Busy: 1\r\nContent-Length: 0\r\n\r\n", delivery.Result{Outcome: choice.Stale, NotRun: true, NoSlot: true}},
		{"all attempts used", "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", delivery.Result{Outcome: choice.Stale, NotRun: true}},
		{"over", "HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n", delivery.Result{Outcome: choice.Stale, NotRun: true, Closed: true}},
		{"unknown status", "HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n", delivery.Result{Outcome: choice.Fault}},
		{"no HTTP", "what?\r\n\r\n", delivery.Result{Outcome: choice.Cut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPartner(t, says(c.says))
			got := testPool().Attempt(t.Context(), testCall(endpointAt(p.Addr())))
			if got.Heard = (time.Time{}); !same(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestOutcomesOfConnections(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if got := testPool().Attempt(t.Context(), testCall(endpointAt(ln.Addr().String()))); got.Outcome != choice.NoRoute {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("broken before the last byte", func(t *testing.T) {
		near, far := net.Pipe() // takes no byte that is not read
		go func() {
			io.ReadFull(far, make([]byte, 10))
			far.Close()
		}()
		k := &conn{Conn: near}
		x := newCall([]byte(strings.Repeat("x", 100)))
		k.begin(x, 0)
		if end := k.exchange(t.Context(), x, delivery.Attempt{}); x.answer.result.Outcome != choice.NoRoute || end.reuse {
			t.Errorf("got %+v, %+v", x.answer, end)
		}
	})
	t.Run("ended after the last byte", func(t *testing.T) {
		p := newPartner(t, func(net.Conn, *http.Request) bool { return false })
		if got := testPool().Attempt(t.Context(), testCall(endpointAt(p.Addr()))); got.Outcome != choice.Cut {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("timed out", func(t *testing.T) {
		closed := make(chan bool, 1)
		p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
			_, err := nc.Read(make([]byte, 1))
			closed <- err != nil // the call is given up by closing its connection
			return false
		})
		c := testCall(endpointAt(p.Addr()))
		c.NotPast = time.Now().Add(100 * time.Millisecond)
		if got := testPool().Attempt(t.Context(), c); got.Outcome != choice.TooSlow || !<-closed {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("called off", func(t *testing.T) {
		p := newPartner(t, silent)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-p.came
			cancel()
		}()
		if got := testPool().Attempt(ctx, testCall(endpointAt(p.Addr()))); got.Outcome != choice.Undone {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("over before it began", func(t *testing.T) {
		p := newPartner(t, says(delivered))
		c := testCall(endpointAt(p.Addr()))
		c.NotPast = time.Now().Add(-time.Second)
		if got := testPool().Attempt(t.Context(), c); got.Outcome != choice.Stale {
			t.Errorf("got %+v", got)
		}
	})
}

func TestWhatGoesOut(t *testing.T) {
	p := newPartner(t, says(delivered))
	testPool().Attempt(t.Context(), testCall(endpointAt(p.Addr())))
	req := p.next(t)
	left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Expires-In"), "m"))
	if req.Method != "POST" || req.URL.Path != "/v1/messages" || req.Header.Get("X-Trace-Id") != "9b1f03aa5c7e2d41" ||
		req.Header.Get("Idempotency-Key") != "5c0f" || req.ContentLength != 5 || err != nil || left < 1 {
		t.Errorf("got %s %s %v", req.Method, req.URL, req.Header)
	}
}

// What a client chooses must not end a line of a request's head, whichever way it came in.
func TestNothingEndsALineOfTheHead(t *testing.T) {
	p := newPartner(t, says(delivered))
	for name, alter := range map[string]func(*delivery.Attempt){
		"id":      func(c *delivery.Attempt) { c.ID = "a\r\nX-Other: b" },
		"key":     func(c *delivery.Attempt) { c.Key = "a\nb" },
		"address": func(c *delivery.Attempt) { c.Endpoint = endpointAt(p.Addr() + "\r\nX: y") },
	} {
		c := testCall(endpointAt(p.Addr()))
		alter(&c)
		if got := testPool().Attempt(t.Context(), c); got.Outcome != choice.Stale || !got.NotRun || got.Err == nil {
			t.Errorf("%s: got %+v", name, got)
		}
	}
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
	empty := testCall(endpointAt(p.Addr()))
	empty.Body, empty.Key = nil, ""
	if got := testPool().Attempt(t.Context(), empty); got.Outcome != choice.Pass {
		t.Errorf("got %+v", got)
	}
	if req := p.next(t); req.ContentLength != 0 || req.Header.Get("Idempotency-Key") != "" || req.Host != p.Addr() {
		t.Errorf("got %v", req)
	}
}

// A library that sends a request again by itself makes a second effect of it.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	first := true
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		if first {
			first = false
			io.WriteString(nc, delivered)
			return true
		}
		return false
	})
	pool, e := testPool(), endpointAt(p.Addr())
	if got := pool.Attempt(t.Context(), testCall(e)); got.Outcome != choice.Pass {
		t.Fatalf("got %+v", got)
	}
	if got := pool.Attempt(t.Context(), testCall(e)); got.Outcome != choice.Cut {
		t.Errorf("got %+v", got)
	}
	if calls, conns := p.counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// A request written to a connection that the endpoint has closed is a sure reset.
func TestServersCloseIsNoticed(t *testing.T) {
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		io.WriteString(nc, delivered)
		return false
	})
	pool, e := testPool(), endpointAt(p.Addr())
	for range 3 {
		if got := pool.Attempt(t.Context(), testCall(e)); got.Outcome != choice.Pass {
			t.Fatalf("got %+v", got)
		}
		eventually(t, "the closed connection is dropped", func() bool {
			return keptBy(pool) == 0
		})
	}
}

func TestIdleConnectionIsDroppedInTime(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool, e := newPool(time.Second, 20*time.Millisecond, 16, slog.New(slog.DiscardHandler)), endpointAt(p.Addr())
	pool.Attempt(t.Context(), testCall(e))
	eventually(t, "the idle connection is dropped", func() bool {
		return keptBy(pool) == 0
	})
}

func TestHangUp(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool, e := testPool(), endpointAt(p.Addr())
	pool.Attempt(t.Context(), testCall(e))
	pool.HangUp(e.ID, 0)
	pool.Attempt(t.Context(), testCall(e))
	if calls, conns := p.counts(); calls != 2 || conns != 2 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	pool.HangUp(e.ID, 1)
	if keptBy(pool) != 1 {
		t.Errorf("%d of one are kept", keptBy(pool))
	}
	pool.Close()
	if keptBy(pool) != 0 {
		t.Error("connections are kept after close")
	}
}

// Where kept connections break, a call asks for a new one; it takes the old one's place in the endpoint's table.
func TestFreshConnection(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool, c := testPool(), testCall(endpointAt(p.Addr()))
	for i, step := range []struct{ fresh, kept bool }{{false, false}, {false, true}, {true, false}} {
		c.Fresh = step.fresh
		if got := pool.Attempt(t.Context(), c); got.Outcome != choice.Pass || got.Kept != step.kept || keptBy(pool) != 1 {
			t.Errorf("call %d: got %+v, %d kept", i, got, keptBy(pool))
		}
	}
	if calls, conns := p.counts(); calls != 3 || conns != 2 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// Bytes that belong to no call would be taken for the next call's answer.
func TestMoreThanTheAnswerIsNotReused(t *testing.T) {
	p := newPartner(t, says(delivered+"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	pool, e := testPool(), endpointAt(p.Addr())
	for range 3 {
		if got := pool.Attempt(t.Context(), testCall(e)); got.Outcome != choice.Pass {
			t.Errorf("got %+v", got)
		}
	}
}

// Between the decision and the first byte lies a dial; a drain or a wait told meanwhile must hold the call.
func TestNothingIsSentToAClosedEndpoint(t *testing.T) {
	p := newPartner(t, says(delivered))
	drained, waiting := endpointAt(p.Addr()), endpointAt(p.Addr())
	drained.Close()
	waiting.Wait(time.Now().Add(time.Hour))
	for _, e := range []*delivery.Endpoint{drained, waiting} {
		if got := testPool().Attempt(t.Context(), testCall(e)); got.Outcome != choice.Stale {
			t.Errorf("got %+v", got)
		}
	}
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// A spoilt answer proves nothing but that the call was heard, and must not hold its slot until the deadline. Only a
// first line with 200 is true whatever follows it.
func TestSpoiltAnswers(t *testing.T) {
	for code, reply := range map[string]choice.Reply{
		"200": choice.ReplyPass, "429": choice.ReplyRefused, "503": choice.ReplyRefused, "504": choice.ReplyRefused, "410": choice.ReplyOver, "500": choice.ReplyFault,
	} {
		for _, c := range []struct{ name, rest string }{
			{"a head that does not end", "X-A: b\r\n"},
			{"an endless head", "X-A: " + strings.Repeat("b", 2*(maxAnswerHead+maxAnswerBody))},
			{"a head of noise", "\x00\xff\x13 no head\r\n\r\n"},
			{"a body shorter than told", "Content-Length: 100\r\n\r\nshort"},
			{"3 GB", "Content-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 2*(maxAnswerHead+maxAnswerBody))},
			{"no length that can be read", "Content-Length: -4\r\n\r\n"},
			{"two lengths", "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
			{"a broken chunk", "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
		} {
			t.Run(code+" "+c.name, func(t *testing.T) {
				t.Parallel()
				p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
					io.WriteString(nc, "HTTP/1.1 "+code+" So\r\n"+loadHeader+": x0=0,x1=0\r\nRetry-After: 9\r\n"+c.rest)
					io.Copy(io.Discard, nc) // the connection stays open
					return false
				})
				pool := testPool()
				got := pool.Attempt(t.Context(), testCall(endpointAt(p.Addr())))
				got.Heard = time.Time{}
				want := delivery.Result{Outcome: choice.Cut, Replies: choice.RepliesOf(reply)}
				if code == "200" {
					want = delivery.Result{Outcome: choice.Pass, Closed: true}
				}
				if !same(got, want) || keptBy(pool) != 0 {
					t.Errorf("got %+v, want %+v; %d kept", got, want, keptBy(pool))
				}
			})
		}
	}
}

func TestFirstLines(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 503": 503, "HTTP/1.1 200 \xff\x00": 200, "HTTP/1.1 099 X": 0, "HTTP/1.1 +20 X": 0,
		"HTTP/1.1 2000 OK": 0, "HTTP/2.0 200 OK": 0, "HTTP/1.1  200 OK": 0, " HTTP/1.1 200 OK": 0, "200": 0, "": 0,
	} {
		if got, err := statusCode(line); got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: got %d, %v", line, got, err)
		}
	}
}

// The module believes a limit, and takes 0 for none.
func TestLoadReports(t *testing.T) {
	good := choice.Report{Left: 0.4, Limit: 25, HasLeft: true, HasLimit: true}
	for text, want := range map[string]choice.Report{
		"x0=0.4,x1=25": good, " x1=25 , x0=0.4": good, "x1=25": {Limit: 25, HasLimit: true}, "x0=0,x1=0": {HasLeft: true, HasLimit: true},
		"x0=0.4,x1=Inf": {}, "x0=0.4,x1=-3": {}, "x0=0.4,x1=1e300": {}, "x0=0x1p-2,x1=25": {}, "x0=0.4,x1=25,x2=1": {}, "x0=0.4,x1=": {},
		"x0=0.4,x1=25,x1=26": {}, "x0=7,x1=25": {}, "x0=0.4;x1=25": {}, "": {}, "x0=0.4,x1=99999999999": {}, "x0=NaN": {}, "x0=.": {},
	} {
		if got := loadReport([]string{text}); got != want {
			t.Errorf("%q: got %+v", text, got)
		}
	}
	if got := loadReport([]string{"x0=0.4,x1=25", "x0=0.4,x1=0"}); got != (choice.Report{}) {
		t.Errorf("two reports: got %+v", got)
	}
}

// A call may end after its endpoint was shut; nobody would ever take or hang up a connection kept then.
func TestNothingIsKeptForAShutEndpoint(t *testing.T) {
	e := endpointAt("")
	p := newPartner(t, func(nc net.Conn, _ *http.Request) bool {
		e.Close()
		io.WriteString(nc, delivered)
		return true
	})
	e.Addr = p.Addr()
	pool := testPool()
	if got := pool.Attempt(t.Context(), testCall(e)); got.Outcome != choice.Pass || keptBy(pool) != 0 {
		t.Errorf("got %+v, %d kept", got, keptBy(pool))
	}
}

// textConn is a connection from which a text comes, and then its end.
type textConn struct {
	net.Conn
	io.Reader
}

func nextOf(text []byte) net.Conn { return textConn{Reader: bytes.NewReader(text)} }

func (c textConn) Read(b []byte) (int, error)      { return c.Reader.Read(b) }
func (c textConn) SetReadDeadline(time.Time) error { return nil }

// Whatever an endpoint writes, the call ends, and only what reads as a whole answer is believed.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{delivered, "HTTP/1.1 100 Go on\r\n\r\n" + delivered, "HTTP/1.1 429 No\r\nRetry-After: 0.7\r\n\r\n", "\x00"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, first := range []bool{true, false} {
			r, err := newConn(nextOf(text), "", "").readResponse(first, nil)
			if err != nil && !reflect.DeepEqual(r, response{}) {
				t.Errorf("%v with %+v", err, r)
			}
			if err == nil && r.result.Outcome == choice.Pass && !strings.Contains(string(text), " 200") {
				t.Errorf("delivered by %q", text)
			}
		}
	})
}
