package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"starlingusher/choice"
)

const patience = 30 * time.Second // for what must happen; nothing is asserted of how fast

// partner is an endpoint on a loopback socket. serve answers each request it reads; false closes the connection.
type partner struct {
	ln    net.Listener
	serve func(nc net.Conn, req *http.Request) bool

	mu    sync.Mutex
	calls []*http.Request
	conns int
	came  chan *http.Request
}

func newPartner(t *testing.T, serve func(nc net.Conn, req *http.Request) bool) *partner {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &partner{ln: ln, serve: serve, came: make(chan *http.Request, 1000)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			t.Cleanup(func() { nc.Close() })
			go p.converse(nc)
		}
	}()
	return p
}

func (p *partner) converse(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		p.mu.Lock()
		p.calls = append(p.calls, req)
		p.mu.Unlock()
		p.came <- req
		if !p.serve(nc, req) {
			return
		}
	}
}

func (p *partner) addr() string { return p.ln.Addr().String() }

func (p *partner) counts() (calls, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls), p.conns
}

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

const delivered = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// silent takes a request and never answers.
func silent(nc net.Conn, _ *http.Request) bool {
	io.Copy(io.Discard, nc)
	return false
}

func endpointAt(addr string) *endpoint {
	return &endpoint{id: "e", addr: addr, wait: new(atomic.Int64)}
}

func testPool() *pool { return newPool(2*time.Second, time.Minute, 16) }

// keptBy counts the connections that a pool keeps.
func keptBy(p *pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.size
}

func testCall(e *endpoint) call {
	return call{id: "9b1f03aa5c7e2d41", key: "5c0f", body: []byte("body\x00"), endpoint: e, notPast: time.Now().Add(patience)}
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
		want       result
	}{
		{"delivered", delivered, result{outcome: choice.Pass, closed: true}},
		{"delivered with a report", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n",
			result{outcome: choice.Pass, closed: true, report: choice.Report{Left: 0.4, Limit: 25, HasLeft: true, HasLimit: true}}},
		{"a report that can't be read", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=often,,x1=NaN\r\nContent-Length: 0\r\n\r\n",
			result{outcome: choice.Pass, closed: true}},
		{"after a 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + delivered, result{outcome: choice.Pass, closed: true}},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", result{outcome: choice.Fault}},
		{"told to wait", "HTTP/1.1 429 No\r\nRetry-After: 0.35\r\nContent-Length: 0\r\n\r\n",
			result{outcome: choice.NoRoom, wait: 350 * time.Millisecond}},
		{"turned away", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", result{outcome: choice.NoRoom}},
		{"turned away with its connection", "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			result{outcome: choice.NoRoom, hungUp: true}},
		{"no slot", "HTTP/1.1 503 No\r\nX-Line-Busy: 1\r\nContent-Length: 0\r\n\r\n", result{outcome: choice.Stale, noSlot: true}},
		{"all attempts used", "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", result{outcome: choice.Stale}},
		{"over", "HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n", result{outcome: choice.Stale, closed: true}},
		{"unknown status", "HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n", result{outcome: choice.Fault}},
		{"no HTTP", "what?\r\n\r\n", result{outcome: choice.Cut}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPartner(t, says(c.says))
			got := testPool().do(t.Context(), testCall(endpointAt(p.addr())))
			if got.heard = (time.Time{}); got != c.want {
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
		if got := testPool().do(t.Context(), testCall(endpointAt(ln.Addr().String()))); got.outcome != choice.NoRoute {
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
		if got, reuse := k.exchange(t.Context(), []byte(strings.Repeat("x", 100))); got.outcome != choice.NoRoute || reuse {
			t.Errorf("got %+v, %v", got, reuse)
		}
	})
	t.Run("ended after the last byte", func(t *testing.T) {
		p := newPartner(t, func(net.Conn, *http.Request) bool { return false })
		if got := testPool().do(t.Context(), testCall(endpointAt(p.addr()))); got.outcome != choice.Cut {
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
		c := testCall(endpointAt(p.addr()))
		c.notPast = time.Now().Add(100 * time.Millisecond)
		if got := testPool().do(t.Context(), c); got.outcome != choice.TooSlow || !<-closed {
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
		if got := testPool().do(ctx, testCall(endpointAt(p.addr()))); got.outcome != choice.Undone {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("over before it began", func(t *testing.T) {
		p := newPartner(t, says(delivered))
		c := testCall(endpointAt(p.addr()))
		c.notPast = time.Now().Add(-time.Second)
		if got := testPool().do(t.Context(), c); got.outcome != choice.Stale {
			t.Errorf("got %+v", got)
		}
	})
}

func TestWhatGoesOut(t *testing.T) {
	p := newPartner(t, says(delivered))
	testPool().do(t.Context(), testCall(endpointAt(p.addr())))
	req := p.next(t)
	left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Expires-In"), "m"))
	if req.Method != "POST" || req.URL.Path != "/v1/messages" || req.Header.Get("X-Trace-Id") != "9b1f03aa5c7e2d41" ||
		req.Header.Get("Idempotency-Key") != "5c0f" || req.ContentLength != 5 || err != nil || left < 1 {
		t.Errorf("got %s %s %v", req.Method, req.URL, req.Header)
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
	pool, e := testPool(), endpointAt(p.addr())
	if got := pool.do(t.Context(), testCall(e)); got.outcome != choice.Pass {
		t.Fatalf("got %+v", got)
	}
	if got := pool.do(t.Context(), testCall(e)); got.outcome != choice.Cut {
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
	pool, e := testPool(), endpointAt(p.addr())
	for range 3 {
		if got := pool.do(t.Context(), testCall(e)); got.outcome != choice.Pass {
			t.Fatalf("got %+v", got)
		}
		eventually(t, "the closed connection is dropped", func() bool {
			return keptBy(pool) == 0
		})
	}
}

func TestIdleConnectionIsDroppedInTime(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool, e := newPool(time.Second, 20*time.Millisecond, 16), endpointAt(p.addr())
	pool.do(t.Context(), testCall(e))
	eventually(t, "the idle connection is dropped", func() bool {
		return keptBy(pool) == 0
	})
}

func TestHangUp(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool, e := testPool(), endpointAt(p.addr())
	pool.do(t.Context(), testCall(e))
	pool.hangUp(e.id, 0)
	pool.do(t.Context(), testCall(e))
	if calls, conns := p.counts(); calls != 2 || conns != 2 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	pool.hangUp(e.id, 1)
	if keptBy(pool) != 1 {
		t.Errorf("%d of one are kept", keptBy(pool))
	}
	pool.close()
	if keptBy(pool) != 0 {
		t.Error("connections are kept after close")
	}
}

// Where kept connections break, a call asks for a new one; it takes the old one's place in the endpoint's table.
func TestFreshConnection(t *testing.T) {
	p := newPartner(t, says(delivered))
	pool, c := testPool(), testCall(endpointAt(p.addr()))
	for i, step := range []struct{ fresh, kept bool }{{false, false}, {false, true}, {true, false}} {
		c.fresh = step.fresh
		if got := pool.do(t.Context(), c); got.outcome != choice.Pass || got.kept != step.kept || keptBy(pool) != 1 {
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
	pool, e := testPool(), endpointAt(p.addr())
	for range 3 {
		if got := pool.do(t.Context(), testCall(e)); got.outcome != choice.Pass {
			t.Errorf("got %+v", got)
		}
	}
}

// Between the decision and the first byte lies a dial; a drain or a wait told meanwhile must hold the call.
func TestNothingIsSentToAClosedEndpoint(t *testing.T) {
	p := newPartner(t, says(delivered))
	drained, waiting := endpointAt(p.addr()), endpointAt(p.addr())
	drained.shut.Store(true)
	waiting.wait.Store(time.Now().Add(time.Hour).UnixNano())
	for _, e := range []*endpoint{drained, waiting} {
		if got := testPool().do(t.Context(), testCall(e)); got.outcome != choice.Stale {
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
	for _, code := range []string{"200", "429", "503", "504", "410", "500"} {
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
				got := pool.do(t.Context(), testCall(endpointAt(p.addr())))
				got.heard = time.Time{}
				want := result{outcome: choice.Cut}
				if code == "200" {
					want = result{outcome: choice.Pass, closed: true}
				}
				if got != want || keptBy(pool) != 0 {
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
		e.shut.Store(true)
		io.WriteString(nc, delivered)
		return true
	})
	e.addr = p.addr()
	pool := testPool()
	if got := pool.do(t.Context(), testCall(e)); got.outcome != choice.Pass || keptBy(pool) != 0 {
		t.Errorf("got %+v, %d kept", got, keptBy(pool))
	}
}

// Whatever an endpoint writes, the call ends, and only what reads as a whole answer is believed.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{delivered, "HTTP/1.1 100 Go on\r\n\r\n" + delivered, "HTTP/1.1 429 No\r\nRetry-After: 0.7\r\n\r\n", "\x00"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			far.Write(text)
			far.Close()
		}()
		k := newConn(near, "")
		res, reuse, err := k.answer()
		if err != nil && (res != result{} || reuse) {
			t.Errorf("%v with %+v, %v", err, res, reuse)
		}
		if err == nil && res.outcome == choice.Pass && !strings.Contains(string(text), " 200") {
			t.Errorf("delivered by %q", text)
		}
	})
}
