package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func TestSchedules(t *testing.T) {
	sec := time.Second
	for _, c := range []struct {
		name   string
		stages []Stage
		want   []time.Duration // of the first ones
		count  int
	}{
		{"constant", []Stage{{4, 4, sec}}, []time.Duration{sec / 4, sec / 2}, 4},
		{"steps", []Stage{{2, 2, sec}, {10, 10, sec}}, []time.Duration{sec / 2, sec, sec + sec/10}, 12},
		{"a ramp from nothing", []Stage{{0, 8, sec}}, []time.Duration{sec / 2}, 4},
		{"a ramp to nothing", []Stage{{8, 0, sec}}, nil, 4},
		{"nothing", []Stage{{0, 0, sec}}, nil, 0},
	} {
		got := slices.Collect(Stages(c.stages...))
		if len(got) != c.count {
			t.Errorf("%s: %v", c.name, got)
			continue
		}
		for i, w := range c.want {
			if d := got[i] - w; d < -time.Millisecond || d > time.Millisecond {
				t.Errorf("%s: %v, %v is wanted", c.name, got[:i+1], c.want)
			}
		}
	}
	if err := Check([]Stage{{-1, 2, sec}}); err == nil {
		t.Error("a rate below 0")
	}
	rapid.Check(t, func(t *rapid.T) {
		var stages []Stage
		area, length := 0.0, time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "stages") {
			s := Stage{rapid.Float64Range(0, 50).Draw(t, "from"), rapid.Float64Range(0, 50).Draw(t, "to"), time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond}
			stages, area, length = append(stages, s), area+(s.From+s.To)/2*s.For.Seconds(), length+s.For
		}
		all := slices.Collect(Stages(stages...))
		if n := float64(len(all)); n > area+1e-6 || n < area-1-1e-6 {
			t.Fatalf("%d messages, %g are due", len(all), area)
		}
		if !slices.IsSorted(all) || (len(all) > 0 && all[len(all)-1] > length) {
			t.Fatalf("%v", all)
		}
	})
	clumps := slices.Collect(Clumps(100, 20, sec/2, 10*sec, 1))
	if len(clumps)%20 != 0 || len(clumps) < 400 || !slices.IsSorted(clumps) || !slices.Equal(clumps, slices.Collect(Clumps(100, 20, sec/2, 10*sec, 1))) {
		t.Errorf("%d in clumps", len(clumps))
	}
}

// slow answers each message a second after it came, whatever else waits.
type slow struct{}

func (slow) Hand(_ Message, done func(Answer)) {
	time.AfterFunc(time.Second, func() { done(Answer{Taken: true}) })
}
func (slow) Close() error { return nil }

// stalled takes a second to write each message, as a full socket does.
type stalled struct{ slow }

func (s stalled) Hand(m Message, done func(Answer)) {
	time.Sleep(time.Second)
	done(Answer{Taken: true})
}

// The schedule waits for no answer; what a sender loses by being held up counts as latency.
func TestNoCoordinatedOmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		r, err := Run(t.Context(), Stages(Stage{10, 10, 2 * time.Second}), slow{}, func(int) Message { return Message{} }, nil)
		if err != nil || r.Sent != 20 || r.Taken != 20 || time.Since(began) != 3*time.Second || r.Late.Max() > 1000 {
			t.Errorf("%+v, %v after %v", r, err, time.Since(began))
		}
		r, err = Run(t.Context(), Stages(Stage{10, 10, 2 * time.Second}), stalled{}, func(int) Message { return Message{} }, nil)
		if err != nil || r.Answered.Max() < 17_000_000 { // the twentieth was due at 2 s, and is answered at 20.1 s
			t.Errorf("%v: at most %d us", err, r.Answered.Max())
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r, err = Run(ctx, Stages(Stage{10, 10, time.Hour}), slow{}, func(int) Message { return Message{} }, nil)
		if !errors.Is(err, context.DeadlineExceeded) || r.Sent > 10 {
			t.Errorf("%+v, %v", r, err)
		}
	})
}

// node answers each request by its id.
func node(t *testing.T, answer func(id string) string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				in := bufio.NewReader(nc)
				for {
					words, err := request(in)
					if err != nil {
						return
					}
					text := answer(words[2])
					if text == "" {
						return
					}
					io.WriteString(nc, text)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// request reads an array of bulk strings.
func request(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	var words []string
	for range n {
		if line, err = in.ReadString('\n'); err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, err
}

// Answers find their messages over several connections; a connection that ends leaves its messages as failed.
func TestRESP(t *testing.T) {
	addr := node(t, func(id string) string {
		switch id[0] {
		case 'a':
			return "+OK\r\n"
		case 'b':
			return "-BUSY 250\r\n"
		case 'c':
			return "-BUSY\r\n"
		case 'd':
			return "$2\r\nOK\r\n"
		case 'e':
			return "-ERR no class\r\n"
		}
		return ""
	})
	n, err := Dial(addr, 3)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]Answer{}
	r, err := Run(t.Context(), Stages(Stage{5000, 5000, 20 * time.Millisecond}), n, func(i int) Message {
		return Message{ID: fmt.Sprintf("%c%d", "abcde"[i%5], i), Class: "x", Dest: 1, Body: []byte("\r\n$5")}
	}, func(m Message, a Answer) { got[m.ID] = a })
	if err != nil || r.Sent != 100 || r.Taken != 40 || r.Refused != 40 || r.Failed != 20 {
		t.Fatalf("%+v, %v", r, err)
	}
	for id, a := range got {
		if a.Taken != (id[0] == 'a' || id[0] == 'd') || (id[0] == 'b') != (a.After == 250*time.Millisecond) || (id[0] == 'e') != (a.Err != nil) {
			t.Errorf("%s: %+v", id, a)
		}
	}
	r, err = Run(t.Context(), Stages(Stage{1000, 1000, 10 * time.Millisecond}), n, func(i int) Message { return Message{ID: "z"} }, nil)
	if err != nil || r.Failed != 10 {
		t.Errorf("%+v, %v", r, err)
	}
	if err := n.Close(); err != nil {
		t.Error(err)
	}
}

func TestEnds(t *testing.T) {
	e := NewEnds()
	e.Taken("a")
	e.Taken("b")
	if e.Missing() != 2 || !errors.Is(e.Check(), ErrMissing) {
		t.Error(e.Check())
	}
	e.Delivered("a")
	e.Told("b", "failed")
	e.Told("b", "failed")
	if err := e.Check(); err != nil || e.End("a") != "delivered" || e.End("b") != "failed" {
		t.Error(err)
	}
	e.Told("b", "returned")
	if err := e.Check(); !errors.Is(err, ErrTwice) {
		t.Error(err)
	}
}

// FuzzAnswer: whatever a node writes is an answer or an error, and never more than a line and a short body.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{"+OK\r\n", "-BUSY\r\n", "-BUSY 12\r\n", "-BUSY -1\r\n", "$2\r\nOK\r\n", "$-1\r\n", "$99999999\r\n", "*1\r\n", "\r\n", "-ERR x\r\n", strings.Repeat("+", 5000)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := readAnswer(bufio.NewReader(strings.NewReader(string(text))))
		if err == nil && (a.After < 0 || (a.Taken && (a.Err != nil || a.After > 0))) {
			t.Fatalf("%+v", a)
		}
	})
}

// TestRESPOpensAnewWhatTheNodeClosed guards against counting messages as failed because a node closed a connection that rested.
func TestRESPOpensAnewWhatTheNodeClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() { // a node that answers one request a connection, and closes it
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			nc.Read(make([]byte, 4096))
			nc.Write([]byte("+OK\r\n"))
			nc.Close()
		}
	}()
	r, err := Dial(ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for i := range 3 {
		answers := make(chan Answer, 1)
		r.Hand(Message{ID: "m", Class: "c", Life: time.Second}, func(a Answer) { answers <- a })
		if a := <-answers; !a.Taken {
			t.Fatalf("message %d: %+v", i, a)
		}
		for !r.conns[0].ended() { // its end has been read
			time.Sleep(time.Millisecond)
		}
	}
}
