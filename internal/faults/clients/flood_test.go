package clients

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"starlingusher/internal/standin"
)

// floodFor is how long a client writes at full speed.
const floodFor = 2 * time.Second

// flood writes what next makes, as fast as the node reads it, until over is closed.
func (p *process) flood(over <-chan struct{}, next func(i int) string) (sent int) {
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Error(err)
		return 0
	}
	defer c.Close()
	go io.Copy(io.Discard, c)
	go func() {
		<-over
		c.Close() // a write may wait for the node
	}()
	for i := 0; ; {
		select {
		case <-over:
			return i
		default:
		}
		var all strings.Builder
		for range 64 {
			all.WriteString(next(i))
			i++
		}
		if !write(c, all.String()) {
			return i
		}
	}
}

// usual asks once in 10 ms until floodFor is over, and returns how long each answer took.
func (p *process) usual(ask func(i int) string) []time.Duration {
	const each = 10 * time.Millisecond
	c, in := p.dial()
	var took []time.Duration
	for began := time.Now(); time.Since(began) < floodFor; time.Sleep(each) {
		asked := time.Now()
		if !write(c, ask(len(took))) {
			p.t.Fatal("a usual client's connection is closed")
		}
		if _, err := in.ReadString('\n'); err != nil {
			p.t.Fatal(err)
		}
		took = append(took, time.Since(asked))
	}
	slices.Sort(took)
	return took
}

// Guards against one client that writes small or unsound requests at full speed and holds all others up, or has the memory grow.
func TestAClientAtFullSpeedHoldsNobodyUp(t *testing.T) {
	long := strings.Repeat("n", 200)
	for _, c := range []struct {
		name string
		next func(i int) string
	}{
		{"messages whose time is over", func(i int) string { return enqueue(fmt.Sprint("over-", i), "table-status", 0, "x") }},
		{"ever new classes", func(i int) string { return enqueue(fmt.Sprint("new-", i), fmt.Sprint(long, i), time.Second, "x") }},
		{"ever new destinations", func(i int) string {
			return standin.Command("ENQUEUE", "0", fmt.Sprint("dest-", i), fmt.Sprintf("c=table-status,d=1000,dest=%d", 1000+i), "x")
		}},
		{"ever new tenants and fields", func(i int) string {
			return standin.Command("ENQUEUE", "0", fmt.Sprint("field-", i), fmt.Sprintf("c=table-status,d=0,dest=%d,t=%d,%s%d=1", partner, i, long, i), "x")
		}},
		{"ever new commands", func(i int) string { return standin.Command(fmt.Sprint("COMMAND", i)) }},
		{"pings", func(int) string { return "PING\r\n" }},
		{"one message again and again", func(int) string { return enqueue("again", "table-status", time.Second, "x") }},
		{"too long ids", func(i int) string { return enqueue(strings.Repeat("i", 900), "table-status", time.Second, "x") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			limits := standin.Limits{Cores: 0.25, MemoryMB: 64, Sockets: 384, DiskMB: 3}
			p, calm := start(t, limits, nil), start(t, limits, nil)
			over, sent := make(chan struct{}), make(chan int)
			go func() { sent <- p.flood(over, c.next) }()
			time.Sleep(100 * time.Millisecond) // it is at full speed
			small := func(i int) string { return enqueue(fmt.Sprint("usual-", i), "table-status", 2*time.Second, "small") }
			pings, machine := make(chan []time.Duration), make(chan []time.Duration)
			go func() { pings <- p.usual(func(int) string { return "PING\r\n" }) }()
			go func() { machine <- calm.usual(small) }()
			messages, answered, without := p.usual(small), <-pings, <-machine
			close(over)
			t.Logf("%d requests in a flood; of %d messages the middle answer took %v, the last %v; of %d pings %v and %v; %.1f MB",
				<-sent, len(messages), messages[len(messages)/2], messages[len(messages)-1], len(answered), answered[len(answered)/2],
				answered[len(answered)-1], float64(p.peakMemory())/megabytes)
			// A client waits for 400 ms. What a node with no flood takes beside it on this machine comes on top.
			const answerWithin = 400 * time.Millisecond
			hundredth, last := without[len(without)*99/100], without[len(without)-1]
			t.Logf("with no flood, one message in a hundred %v or later, the last %v", hundredth, last)
			for name, took := range map[string][]time.Duration{"message": messages, "ping": answered} {
				if late := took[len(took)*99/100]; late > answerWithin/2+hundredth {
					t.Errorf("one %s in a hundred was answered after %v or later", name, late)
				}
				if took[len(took)-1] > answerWithin+last {
					t.Errorf("a %s was answered after %v", name, took[len(took)-1])
				}
			}
			if p.peakMemory() > 64*megabytes {
				t.Errorf("%.1f MB of 64", float64(p.peakMemory())/megabytes)
			}
		})
	}
}
