package faults

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"starlingusher/lab/load"
)

// cpu is what a process has used so far.
func cpu(t *testing.T, n *node) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// What copies cost: the time to +OK and the CPU of all processes a message, at one node of three with none, one and two further holders, in one run. It
// runs where CORALYARD_COST names for how many seconds each, and asserts nothing.
func TestCopyCost(t *testing.T) {
	seconds := number("CORALYARD_COST", 0)
	if seconds == 0 {
		t.Skip("CORALYARD_COST is not set")
	}
	for _, rate := range []float64{100, 2000} {
		for _, k := range []int{0, 1, 2} {
			o := options(t, uint64(900+k))
			o.Folder = t.TempDir()
			o.Nodes, o.Leases, o.Copies, o.Inherit, o.Limit, o.Rate = 3, 3*time.Second, k, 10*time.Second, 20_000, 1
			f, err := Start(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			if err := f.Acted(t.Context()); err != nil {
				t.Fatal(err)
			}
			until(t, f, "messages are taken on", func() bool {
				if f.hand(f.nodes[0]); k == 0 {
					return true
				}
				st, err := f.Look(t.Context(), 0)
				return err == nil && st.Copies.Own[0].Holds
			})
			var before time.Duration
			for _, n := range f.nodes {
				before += cpu(t, n)
			}
			client, err := load.Dial(f.nodes[0].listen, 4)
			if err != nil {
				t.Fatal(err)
			}
			s := load.Stages(load.Stage{From: rate, To: rate, For: time.Duration(seconds) * time.Second})
			r, err := load.Run(t.Context(), s, client, func(i int) load.Message {
				return load.Message{ID: fmt.Sprint("x", k, "-", rate, "-", i), Class: classNames[0], Dest: 1, Life: deadline, Body: make([]byte, 212)}
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			used := -before
			for _, n := range f.nodes {
				used += cpu(t, n)
			}
			client.Close()
			f.Close()
			t.Logf("%5.0f a second, k = %d: %d taken, %d refused; +OK p50 %v p99 %v; %v of CPU a message in all processes", rate, k, r.Taken, r.Refused,
				time.Duration(r.Answered.ValueAtQuantile(50))*time.Microsecond, time.Duration(r.Answered.ValueAtQuantile(99))*time.Microsecond, (used / time.Duration(max(r.Taken, 1))).Round(time.Microsecond))
		}
	}
}
