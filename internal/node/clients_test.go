package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/standin"
	"starlingusher/internal/wire"
)

func serveTest(t *testing.T, most int, hand func(delivery.Message) delivery.Answer) (*clients, string) {
	t.Helper()
	return serveOffers(t, most, func(m delivery.Message) func() delivery.Answer {
		return func() delivery.Answer { return hand(m) }
	})
}

func serveOffers(t *testing.T, most int, offer func(delivery.Message) func() delivery.Answer) (*clients, string) {
	t.Helper()
	return serveWith(t, most, nil, offer)
}

func serveWith(t *testing.T, most int, bodies bodyMemory, offer func(delivery.Message) func() delivery.Answer) (*clients, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(ln, most, bodies, wire.Names{Classes: []string{"notice"}}, slog.New(slog.DiscardHandler), offer)
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
func resp(words ...string) string { return standin.Command(words...) }

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
	_, addr := serveTest(t, 100, func(delivery.Message) delivery.Answer {
		t.Error("bad input was handed on")
		return delivery.Answer{}
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
	var got delivery.Message
	_, addr := serveTest(t, 100, func(q delivery.Message) delivery.Answer {
		got = q
		return delivery.Answer{}
	})
	nc, br := dialTest(t, addr)
	go io.WriteString(nc, enqueue("a", "c=notice,d=8000,dest=7", strings.Repeat("x", maxBody+1))+
		"PING\r\n"+enqueue("b", "c=notice,d=1500.5,dest=7,k=key,r=1", "\r\n\x00$*")+resp("PING"))
	for _, want := range []string{"-ERR a body", "+PONG", "+OK", "+PONG"} {
		if line, err := br.ReadString('\n'); err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("got %q, %v, want %q", line, err, want)
		}
	}
	if got.ID != "b" || got.Key != "key" || got.Dest != 7 || got.Life != 1500500*time.Microsecond || string(got.Body) != "\r\n\x00$*" {
		t.Errorf("got %+v", got)
	}
}

func TestAnswerLines(t *testing.T) {
	for want, a := range map[string]delivery.Answer{
		"+OK\r\n": {}, "-BUSY\r\n": {Refused: true}, "-BUSY 1500\r\n": {Refused: true, After: 1500 * time.Millisecond},
		"-ERR no\r\n": {Failed: "no"},
	} {
		if got := answerLine(a); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A request that has been read gets its answer, also while the node hangs up on everybody.
func TestCloseAnswersWhatWasRead(t *testing.T) {
	inside, release := make(chan struct{}), make(chan struct{})
	c, addr := serveTest(t, 100, func(delivery.Message) delivery.Answer {
		close(inside)
		<-release
		return delivery.Answer{}
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

// Guards against a node that leaves and closes a connection over a request whose answer takes longer than its grace.
func TestCloseAnswersWhatWasReadHoweverLongThatTakes(t *testing.T) {
	for _, times := range []float64{0.9, 1.1, 3} {
		t.Run(fmt.Sprint(times, " times the grace"), func(t *testing.T) {
			t.Parallel()
			inside, closing := make(chan struct{}), make(chan struct{})
			c, addr := serveTest(t, 100, func(delivery.Message) delivery.Answer {
				close(inside)
				<-closing
				time.Sleep(time.Duration(times * float64(closeGrace))) // the loop is late
				return delivery.Answer{}
			})
			nc, br := dialTest(t, addr)
			io.WriteString(nc, enqueue("a", "c=notice,d=8000,dest=7", "b"))
			<-inside
			close(closing)
			c.close()
			if line, err := br.ReadString('\n'); line != "+OK\r\n" {
				t.Errorf("got %q, %v", line, err)
			}
		})
	}
}

// Neither half a request nor a client that never stops asking must keep the node from leaving before it is killed.
func TestCloseDoesNotWaitForClients(t *testing.T) {
	c, addr := serveTest(t, 100, func(delivery.Message) delivery.Answer { return delivery.Answer{} })
	for _, more := range []string{"*5\r\n$7\r\nENQ", strings.Repeat("PING\r\n", 1000)} {
		nc, br := dialTest(t, addr)
		io.WriteString(nc, resp("PING")+more)
		if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
		go io.Copy(io.Discard, br)
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(nc, more)
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		c.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Error("the node waits")
	}
}

// Descriptors are bounded: a connection beyond the places waits, and is served when one is free.
func TestConnectionsAreCapped(t *testing.T) {
	_, addr := serveTest(t, 1, func(delivery.Message) delivery.Answer { return delivery.Answer{} })
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

// Whoever says nothing, or nothing whole, is not kept for ever: such clients would hold the others' places.
func TestUnfinishedClientsEnd(t *testing.T) {
	_, addr := serveTest(t, 100, func(delivery.Message) delivery.Answer { return delivery.Answer{} })
	for name, text := range map[string]string{
		"silent": "", "half a request": "*5\r\n$7\r\nENQ", "half a word": resp("PING") + "*2\r\n$4\r\nPI", "only an end of line": "\r\n",
		"empty commands": strings.Repeat("*0\r\n\r\n", 100), "asked once": resp("PING"), "a value of 60 MB": "*2\r\n$60000000\r\nxxx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, br := dialTest(t, addr)
			io.WriteString(nc, text)
			if all, err := io.ReadAll(br); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %q, %v", all, err)
			}
		})
	}
}

// With all places taken the ones idle longest give way, the silent first; a request that has begun stays.
func TestIdleClientsGiveWay(t *testing.T) {
	release := make(chan struct{})
	_, addr := serveTest(t, 3, func(delivery.Message) delivery.Answer {
		<-release
		return delivery.Answer{}
	})
	busy, busyReader := dialTest(t, addr)
	io.WriteString(busy, enqueue("a", "c=notice,d=8000,dest=7", "b"))
	asked, askedReader := dialTest(t, addr)
	io.WriteString(asked, resp("PING"))
	if _, err := askedReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_, silentReader := dialTest(t, addr)
	next, nextReader := dialTest(t, addr)
	io.WriteString(next, resp("PING"))
	if line, err := nextReader.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	if _, err := silentReader.ReadByte(); err != io.EOF {
		t.Errorf("the silent one: %v", err)
	}
	close(release)
	if line, err := busyReader.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("the busy one: %q, %v", line, err)
	}
}

// Clients that ask once and keep their connection for good take no more than a share of what clients may open: those
// idle longest are hung up on, and the latest stay of use.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const most, keep = 30, 10
	c, addr := serveTest(t, most, func(delivery.Message) delivery.Answer { return delivery.Answer{} })
	var readers []*bufio.Reader
	var last net.Conn
	for i := range 2 * keep {
		nc, br := dialTest(t, addr)
		io.WriteString(nc, enqueue("m"+itoa(i), "c=notice,d=8000,dest=7", "b"))
		if line, err := br.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("client %d: %q, %v", i, line, err)
		}
		c.mu.Lock()
		idle := c.idle[1].Len()
		c.mu.Unlock()
		if idle > keep {
			t.Fatalf("%d are idle after client %d, %d at most", idle, i, keep)
		}
		readers, last = append(readers, br), nc
	}
	if _, err := readers[0].ReadByte(); err != io.EOF {
		t.Errorf("the one idle longest: %v", err)
	}
	io.WriteString(last, resp("PING"))
	if line, err := readers[len(readers)-1].ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("the latest: %q, %v", line, err)
	}
}

// A deadline is no reason to leave bytes unread that have come: they may be a whole request.
func TestLastLook(t *testing.T) {
	c, addr := serveTest(t, 1, func(delivery.Message) delivery.Answer { return delivery.Answer{} })
	nc, br := dialTest(t, addr)
	io.WriteString(nc, resp("PING"))
	if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	near, far := net.Pipe()
	defer far.Close()
	go io.WriteString(far, "x")
	s := &session{Conn: near}
	// A pipe that has been asked for its bytes at an expired deadline gives none; the look has a deadline of its own.
	for got := 0; got == 0; {
		s.looks = 0
		near.SetReadDeadline(time.Unix(1, 0))
		n, err := s.Read(make([]byte, 1))
		if got = n; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
	}
	c.evict()
	if line, err := br.ReadString('\n'); err != io.EOF {
		t.Errorf("got %q, %v", line, err)
	}
}

// Room is made for what has come, not for what is announced.
func TestAnnouncedSizesCostNothing(t *testing.T) {
	const runs = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		r := bufio.NewReaderSize(strings.NewReader("*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65536\r\nxyz"), 4096)
		if _, err := readCommand(r, &bodyRoom{}); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("got %v", err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / runs; got > maxBody/2 {
		t.Errorf("%d bytes for half a request", got)
	}
}

// Whatever clients write, the reader keeps its bounds and comes to an end.
func FuzzReadCommand(f *testing.F) {
	for _, text := range []string{resp("PING"), enqueue("a", "c=notice,d=8000,dest=7", "b"), "*0\r\n", "\r\n", "*9\r\n", "*1\r\n$99999999999\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(text), 4096)
		for {
			args, err := readCommand(r, &bodyRoom{})
			if err != nil && !errors.Is(err, errTooLarge) {
				return
			}
			if err == nil && len(args) == 0 {
				t.Fatal("an empty command was handed on")
			}
			for i, a := range args {
				if len(a) > maxBody || (i != bodyArg && len(a) > maxWord) {
					t.Fatalf("word %d holds %d bytes", i, len(a))
				}
			}
		}
	})
}

// Messages that came together are handed in together, and their answers come in order. One whose rest is still to come
// holds no answer back.
func TestCommandsThatCameTogetherAreHandedInTogether(t *testing.T) {
	t.Parallel()
	offered := make(chan string, 100)
	let := make(chan bool)
	_, addr := serveOffers(t, 4, func(m delivery.Message) func() delivery.Answer {
		offered <- m.ID
		return func() delivery.Answer {
			<-let
			return delivery.Answer{Refused: m.ID == "b", After: time.Second}
		}
	})
	nc, br := dialTest(t, addr)
	fields := "c=notice,d=1000,dest=1"
	half := enqueue("d", fields, "body")
	text := enqueue("a", fields, "") + resp("PING") + enqueue("b", fields, "") + resp("WHAT") + enqueue("c", fields, "") + half[:20]
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a", "b", "c"} { // none of them is answered yet
		if got := <-offered; got != want {
			t.Fatalf("offered %q, want %q", got, want)
		}
	}
	close(let)
	for _, want := range []string{"+OK", "+PONG", "-BUSY 1000", "-ERR unknown command", "+OK"} {
		line, err := br.ReadString('\n')
		if err != nil || strings.TrimSpace(line) != want {
			t.Fatalf("got %q, %v, want %q", line, err, want)
		}
	}
	if _, err := io.WriteString(nc, half[20:]); err != nil {
		t.Fatal(err)
	}
	if line, err := br.ReadString('\n'); err != nil || strings.TrimSpace(line) != "+OK" {
		t.Errorf("the last: %q, %v", line, err)
	}
}

// However many come together, only so many wait for their answers at a time.
func TestUnansweredCommandsAreBounded(t *testing.T) {
	t.Parallel()
	var most, out atomic.Int64
	_, addr := serveOffers(t, 4, func(delivery.Message) func() delivery.Answer {
		most.Store(max(most.Load(), out.Add(1))) // one session's goroutine alone is here
		return func() delivery.Answer { out.Add(-1); return delivery.Answer{} }
	})
	nc, br := dialTest(t, addr)
	const count = 5 * maxOwed
	go io.WriteString(nc, strings.Repeat(enqueue("a", "c=notice,d=1000,dest=1", ""), count))
	for i := range count {
		if line, err := br.ReadString('\n'); err != nil || line != "+OK\r\n" {
			t.Fatalf("%d: %q, %v", i, line, err)
		}
	}
	if most.Load() > maxOwed {
		t.Errorf("%d waited at a time", most.Load())
	}
}
