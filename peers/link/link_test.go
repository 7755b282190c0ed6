package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingusher/peers/budget"
	"starlingusher/peers/core"
	"starlingusher/peers/member"
	"starlingusher/peers/tally"
	"starlingusher/peers/verdict"
)

func full() core.Packet {
	return core.Packet{
		From: "n1", Life: 7, To: "n2", Sent: 3 * time.Second,
		Member: []member.Message{{Kind: member.Ping, Seq: 9, Target: "n2", Records: []member.Record{
			{Name: "n1", Life: 7, Incarnation: 3, State: member.Suspect, By: "n4", Addr: "127.0.0.1:1", Machine: "m", Zone: "z"}}}},
		Budget: []budget.Message{{Kind: budget.Grant, Digest: 1 << 63, Life: 7, Seq: 4, Seat: "n3", Granted: true, Term: time.Second,
			Amounts: []budget.Amount{{Key: budget.Key{Dest: 4, Endpoint: "e"}, Units: 77}}}},
		Reports: []tally.Report{{Life: tally.Life{Name: "n1", Life: 7}, Age: time.Second, Pace: 3.5, Counts: map[tally.Key]tally.Counts{{Dest: 1}: {1, 2, 3, 4, 5}}}},
		Evidence: []verdict.Evidence{{Key: verdict.Key{Dest: 2}, Kind: verdict.Debt, Observer: verdict.Observer{Name: "n1", Life: 7}, Seq: 8,
			Age: time.Millisecond, Since: time.Second, Calls: 3}},
	}
}

// What is written is read as it was, and no foreign bytes get beyond the bounds or end the reader.
func FuzzDecode(f *testing.F) {
	p := full()
	raw, err := proto.Marshal(toProto(&p))
	if err != nil {
		f.Fatal(err)
	}
	if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, p) {
		f.Fatalf("%+v, %v", got, err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{8, 1, 18, 1, 'a'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := Decode(raw)
		if err != nil {
			if !errors.Is(err, ErrBadPacket) {
				t.Fatal(err)
			}
			return
		}
		if p.From == "" || len(p.From) > maxName || len(p.Member) > maxEntries || p.Sent < 0 {
			t.Fatalf("%+v", p)
		}
		// Whatever it says, a node takes it and goes on.
		c := core.New(core.Settings{
			Member: member.Settings{Self: member.Record{Name: "n2", Life: 2}, Period: time.Second},
			Budget: budget.Settings{Fleet: 3, Voters: []string{"n2"}, Term: time.Second},
		}, 1, 0)
		c.Take(time.Second, p)
		c.Take(time.Second, p)
		c.Tick(2 * time.Second)
		for _, l := range c.Letters() {
			again, err := proto.Marshal(toProto(&l.Packet))
			if err != nil { // text that is no UTF-8 can't come in
				t.Fatal(err)
			}
			if len(again) <= maxPacket {
				if _, err := Decode(again); err != nil {
					t.Fatalf("what it says of it can't be read: %v", err)
				}
			}
		}
	})
}

// The largest packets that a node sends are ones that others read: with as many members, routes and news as it keeps.
func TestLargestPackets(t *testing.T) {
	c := core.New(core.Settings{
		Member: member.Settings{Self: member.Record{Name: "n2", Life: 2, Addr: "a"}, Period: 100 * time.Millisecond},
		Budget: budget.Settings{Fleet: 3, Voters: []string{"n2"}, Term: time.Second},
	}, 1, 0)
	name := func(i int) string { return fmt.Sprintf("%0*d", 60, i) }
	p := core.Packet{From: name(1), Life: 9}
	for i := range 8000 {
		p.Member = append(p.Member, member.Message{Kind: member.Ack, Records: []member.Record{{Name: name(i), Life: 9, Incarnation: 1, Addr: name(i), Machine: name(i), Zone: name(i)}}})
		key := tally.Key{Dest: i, Endpoint: name(i)}
		p.Reports = append(p.Reports, tally.Report{Life: tally.Life{Name: name(i % 900), Life: 9}, Counts: map[tally.Key]tally.Counts{key: {1 << 60, 1 << 60, 1 << 60}}})
		p.Evidence = append(p.Evidence, verdict.Evidence{Key: verdict.Key(key), Kind: verdict.Out, Observer: verdict.Observer{Name: name(i), Life: 9}, Seq: 1})
	}
	p.Member = append(p.Member, member.Message{Kind: member.Sync})
	c.Take(time.Second, p)
	largest := 0
	for at := time.Second; at < 5*time.Second; at += 50 * time.Millisecond {
		for i := range 300 {
			k := core.Key{Dest: i, Endpoint: name(i)}
			c.Came(at, k, 1)
			c.Sent(k)
			c.Saw(at, k, core.Passed, 5)
		}
		c.Tick(at)
		for _, l := range c.Letters() {
			largest = max(largest, sizeOf(toProto(&l.Packet)))
		}
	}
	if t.Logf("%d bytes", largest); largest > maxPacket || largest < 10_000 {
		t.Errorf("the largest packet has %d bytes, %d are read", largest, maxPacket)
	}
}

// What was under way for long beyond the fastest of its stream is late, by any clocks, and a stream is not late for ever.
func TestDelay(t *testing.T) {
	var d delay
	clock := 1000 * time.Hour
	for i := range 100 {
		at := time.Duration(i) * time.Second
		under := 10 * time.Millisecond
		if i == 50 {
			under = 2 * time.Second
		}
		if late := d.late(clock+at+under, at); late != (i == 50) {
			t.Fatalf("packet %d late: %v", i, late)
		}
	}
	for i := range 100 { // from now on the way takes two seconds
		at := time.Duration(100+i) * time.Second
		if late := d.late(clock+at+2*time.Second, at); !late && i < 20 || late && i > 70 {
			t.Fatalf("packet %d after the way became slow, late: %v", i, late)
		}
	}
}

// Packets arrive, what can't be read ends its stream with a reason, a node without others costs nobody, and Close ends all.
func TestLinks(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	open := func(name string, look func(context.Context) ([]byte, error)) *Link {
		l, err := Open(Options{Listen: "127.0.0.1:0", Name: name, Life: 5, Log: log, Look: look})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	a, b := open("a", nil), open("b", func(context.Context) ([]byte, error) { return []byte(`{"x":1}`), nil })
	defer a.Close()
	for _, to := range []string{"b", "", "c"} { // the last is meant for another
		p := full()
		p.To = to
		a.Send(b.Addr().String(), p)
	}
	for range 2 {
		select {
		case p := <-b.Packets():
			if p.From != "a" || p.Life != 5 || len(p.Evidence) != 1 {
				t.Errorf("%+v", p)
			}
		case <-time.After(30 * time.Second):
			t.Fatal("nothing arrives")
		}
	}
	if text, err := Look(t.Context(), b.Addr().String()); err != nil || string(text) != `{"x":1}` {
		t.Errorf("%s, %v", text, err)
	}
	if _, err := Look(t.Context(), a.Addr().String()); err == nil {
		t.Error("a node that tells nothing told something")
	}
	p := full()
	p.Member[0].Target = string(make([]byte, maxName+1))
	a.Send(b.Addr().String(), p)
	for deadline := time.Now().Add(30 * time.Second); b.Seen().Bad == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a bad packet is not counted")
		}
	}
	b.Close()
	for range 3 * queueMost { // nobody is there: it does not block
		a.Send(b.Addr().String(), full())
	}
	if w := a.Ways(); len(w) != 1 {
		t.Errorf("%+v", w)
	}
}
