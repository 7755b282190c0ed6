package node

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/standin"
)

// Guards against large bodies without memory: the message is refused, whose client may come again, and the connection goes on with what follows.
func TestALargeBodyWithoutMemoryIsRefused(t *testing.T) {
	taken := make(chan int, 9)
	c, addr := serveWith(t, 8, make(bodyMemory, 20), func(m delivery.Message) func() delivery.Answer {
		return func() delivery.Answer {
			if m.Unkept != nil { // as an engine that does not have it
				return delivery.Answer{Refused: true, After: m.Unkept.After}
			}
			taken <- len(m.Body)
			return delivery.Answer{}
		}
	})
	enqueue := func(size int) string {
		return standin.Command("ENQUEUE", "0", "id", "c=notice,d=1000,dest=7", strings.Repeat("x", size))
	}
	nc, r := dialTest(t, addr)
	ask := func(text, want string) {
		t.Helper()
		if _, err := io.WriteString(nc, text); err != nil {
			t.Fatal(err)
		}
		for range strings.Count(want, "\n") {
			if line, err := r.ReadString('\n'); err != nil || !strings.Contains(want, line) {
				t.Errorf("answered %q, %v; want %q", line, err, want)
			}
		}
	}
	ask(enqueue(maxBody), "+OK\r\n")
	if !c.bodies.take(10) { // another client's
		t.Fatal("the memory of an answered message is not given back")
	}
	ask(enqueue(maxBody)+enqueue(100)+enqueue(20<<10), "-BUSY 100\r\n+OK\r\n+OK\r\n")
	c.bodies.give(10)
	ask(enqueue(maxBody), "+OK\r\n")
	for i, want := range []int{maxBody, 100, 20 << 10, maxBody} {
		if got := <-taken; got != want {
			t.Errorf("message %d has %d bytes, want %d", i, got, want)
		}
	}
	// Requests that are broken off give back what they had.
	for _, size := range []int{1, 5000, 30 << 10, maxBody - 1} {
		broken, _ := dialTest(t, addr)
		io.WriteString(broken, enqueue(maxBody)[:size])
		broken.Close()
	}
	for end := time.Now().Add(patience); len(c.bodies) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d units are taken, and nobody has them", len(c.bodies))
		}
	}
}

// Guards against a client that waits for memory which nobody gives back, and against units that are lost by that.
func TestAWaitForMemoryHasABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newBodyMemory(8)
		all := cap(m)
		if all != leastBodies/bodyUnit || !m.take(all-1) {
			t.Fatalf("%d units", all)
		}
		began := time.Now()
		if m.take(2) || time.Since(began) != bodyWait || len(m) != all-1 {
			t.Errorf("waited for %v, %d units are taken", time.Since(began), len(m))
		}
		time.AfterFunc(bodyWait/2, func() { m.give(1) })
		if !m.take(2) {
			t.Error("memory that was given back in time is not taken")
		}
		m.give(all)
	})
}
