package node

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func serveTest(t *testing.T, most int, hand func(request) answer) (*clients, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(ln, most, []string{"notice"}, hand)
	go c.serve(t.Context())
	t.Cleanup(func() {
		select {
		case <-c.stop:
		default:
			c.close()
		}
	})
	return c, ln.Addr().String()
}

func dialTest(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

// resp writes words as an array of bulk strings.
func resp(words ...string) string {
	var b strings.Builder
	b.WriteString("*" + itoa(len(words)) + "\r\n")
	for _, w := range words {
		b.WriteString("$" + itoa(len(w)) + "\r\n" + w + "\r\n")
	}
	return b.String()
}

func enqueue(id, fields, body string) string { return resp("ENQUEUE", "0000", id, fields, body) }

func ask(t *testing.T, addr, text string) string {
	t.Helper()
	nc, br := dialTest(t, addr)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	line, err := br.ReadString('\n')
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	return strings.TrimRight(line, "\r\n")
}

// Whatever comes, the client hears an error, the node does not fall, and nothing of it is taken on.
func TestBadInput(t *testing.T) {
	_, addr := serveTest(t, 100, func(request) answer {
		t.Error("bad input was handed on")
		return answer{}
	})
	big := strings.Repeat("x", maxBody+1)
	for _, text := range []string{
		enqueue("id", "c=notice,d=8000,dest=7", big),
		enqueue("id", "c=other,d=8000,dest=7", "b"),
		enqueue("id", "c=notice,d=soon,dest=7", "b"),
		enqueue("id", "c=notice,d=NaN,dest=7", "b"),
		enqueue("id", "c=notice,d=-1,dest=7", "b"),
		enqueue("id", "c=notice,d=1e300,dest=7", "b"),
		enqueue("id", "c=notice,d=8000,dest=-7", "b"),
		enqueue("id", "c=notice,d=8000,dest=seven", "b"),
		enqueue("id", "c=notice,d=8000", "b"),
		enqueue("", "c=notice,d=8000,dest=7", "b"),
		enqueue("id\r\nX-Other: 1", "c=notice,d=8000,dest=7", "b"),
		enqueue("id", "c=notice,d=8000,dest=7,k=a b", "b"),
		enqueue(strings.Repeat("i", 300), "c=notice,d=8000,dest=7", "b"),
		enqueue("id", strings.Repeat(",", 2000), "b"),
		resp("ENQUEUE", "0000", "id"), resp("FLUSHALL"), "GET / HTTP/1.1\r\n",
		"*1\r\n$9223372036854775807\r\nPING\r\n", "*1\r\n$-5\r\n", "*2147483647\r\n", "*-3\r\n", "*x\r\n", "*1\r\n:4\r\n",
		"*1\r\n$3\r\nPINGPONG\r\n", "*1\r\n$99999999999999999999\r\n", strings.Repeat("y", 5000),
	} {
		if got := ask(t, addr, text); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: got %q", text, got)
		}
	}
	// Half a command and a close.
	nc, _ := dialTest(t, addr)
	io.WriteString(nc, "*5\r\n$7\r\nENQ")
	nc.Close()
	if got := ask(t, addr, resp("ping")); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// After an error about one request, the connection goes on where the framing is sound.
func TestConnectionGoesOnAfterAnOversizedBody(t *testing.T) {
	var got request
	_, addr := serveTest(t, 100, func(q request) answer {
		got = q
		return answer{}
	})
	nc, br := dialTest(t, addr)
	go io.WriteString(nc, enqueue("a", "c=notice,d=8000,dest=7", strings.Repeat("x", maxBody+1))+
		"PING\r\n"+enqueue("b", "c=notice,d=1500.5,dest=7,k=key,r=1", "\r\n\x00$*")+resp("PING"))
	for _, want := range []string{"-ERR a body", "+PONG", "+OK", "+PONG"} {
		if line, err := br.ReadString('\n'); err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("got %q, %v, want %q", line, err, want)
		}
	}
	if got.id != "b" || got.key != "key" || got.dest != 7 || got.life != 1500500*time.Microsecond || string(got.body) != "\r\n\x00$*" {
		t.Errorf("got %+v", got)
	}
}

func TestAnswerLines(t *testing.T) {
	for want, a := range map[string]answer{
		"+OK\r\n": {}, "-BUSY\r\n": {refused: true}, "-BUSY 1500\r\n": {refused: true, after: 1500 * time.Millisecond},
		"-ERR no\r\n": {failed: "no"},
	} {
		if got := a.line(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A request that has been read gets its answer, also while the node hangs up on everybody.
func TestCloseAnswersWhatWasRead(t *testing.T) {
	inside, release := make(chan struct{}), make(chan struct{})
	c, addr := serveTest(t, 100, func(request) answer {
		close(inside)
		<-release
		return answer{}
	})
	idle, idleReader := dialTest(t, addr)
	io.WriteString(idle, resp("PING"))
	if _, err := idleReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	nc, br := dialTest(t, addr)
	io.WriteString(nc, enqueue("a", "c=notice,d=8000,dest=7", "b"))
	<-inside
	done := make(chan struct{})
	go func() {
		c.close()
		close(done)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	close(release)
	if line, err := br.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	<-done
}

// Half a request must not keep the node from leaving before it is killed.
func TestCloseDoesNotWaitForHalfARequest(t *testing.T) {
	c, addr := serveTest(t, 100, func(request) answer { return answer{} })
	nc, br := dialTest(t, addr)
	io.WriteString(nc, resp("PING")+"*5\r\n$7\r\nENQ")
	if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	done := make(chan struct{})
	go func() {
		c.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(requestTimeout - time.Second):
		t.Error("the node waits for the rest of a request")
	}
}

// Descriptors are bounded: a connection beyond the places waits, and is served when one is free.
func TestConnectionsAreCapped(t *testing.T) {
	_, addr := serveTest(t, 1, func(request) answer { return answer{} })
	first, firstReader := dialTest(t, addr)
	io.WriteString(first, resp("PING"))
	if _, err := firstReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	second, secondReader := dialTest(t, addr)
	io.WriteString(second, resp("PING"))
	first.Close()
	if line, err := secondReader.ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}
