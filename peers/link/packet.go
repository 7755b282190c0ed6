package link

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"starlingusher/peers/budget"
	"starlingusher/peers/core"
	"starlingusher/peers/link/peerspb"
	"starlingusher/peers/member"
	"starlingusher/peers/relay"
	"starlingusher/peers/tally"
	"starlingusher/peers/verdict"
)

// Version is that of the packets. One of another version is not read.
const Version = 1

const (
	maxPacket  = 256 << 10 // bytes
	maxName    = 256       // bytes of a name, an address, an endpoint
	maxEntries = 8192      // of each list in a packet
	maxSpan    = 24 * time.Hour
	maxRelayed = 64 // lists in a relay's word
)

// ErrBadPacket is wrapped by what is said of a packet that can't be read.
var ErrBadPacket = errors.New("the packet can't be read")

// micros is a span on the wire; there are none below 0.
func micros(d time.Duration) uint64 { return uint64(max(d, 0) / time.Microsecond) }

// toProto makes the message that goes on the wire.
func toProto(p *core.Packet) *peerspb.Packet {
	out := &peerspb.Packet{Version: Version, From: p.From, Life: p.Life, To: p.To, SentUs: micros(p.Sent)}
	for _, m := range p.Member {
		w := &peerspb.Member{Kind: uint32(m.Kind), Seq: m.Seq, Target: m.Target}
		for _, r := range m.Records {
			w.Records = append(w.Records, &peerspb.Record{
				Name: r.Name, Life: r.Life, Incarnation: r.Incarnation, State: uint32(r.State), By: r.By, Addr: r.Addr, Machine: r.Machine, Zone: r.Zone,
			})
		}
		out.Member = append(out.Member, w)
	}
	for _, m := range p.Budget {
		w := &peerspb.Budget{
			Kind: uint32(m.Kind), Digest: m.Digest, Life: m.Life, Seq: m.Seq, Seat: m.Seat, Granted: m.Granted, TermUs: micros(m.Term),
		}
		for _, a := range m.Amounts {
			w.Amounts = append(w.Amounts, &peerspb.Amount{Key: key(a.Key.Dest, a.Key.Endpoint), Units: uint32(a.Units)})
		}
		out.Budget = append(out.Budget, w)
	}
	for _, r := range p.Reports {
		w := &peerspb.Report{Name: r.Name, Life: r.Life.Life, AgeUs: micros(r.Age), Pace: r.Pace}
		for k, c := range r.Counts {
			w.Counts = append(w.Counts, &peerspb.Count{Key: key(k.Dest, k.Endpoint), Counts: c[:]})
		}
		out.Reports = append(out.Reports, w)
	}
	for _, e := range p.Evidence {
		out.Evidence = append(out.Evidence, &peerspb.Evidence{
			Key: key(e.Key.Dest, e.Key.Endpoint), Kind: uint32(e.Kind), Name: e.Observer.Name, Life: e.Observer.Life, Seq: e.Seq,
			AgeUs: micros(e.Age), SinceUs: micros(e.Since), Calls: e.Calls,
		})
	}
	for i := range p.Lease {
		out.Lease = append(out.Lease, leaseToProto(&p.Lease[i]))
	}
	for _, r := range p.Relay {
		w := &peerspb.Relay{Lease: r.Lease, Token: r.Token, Discovery: r.Discovery, Revision: r.Revision, Ask: r.Ask}
		for _, l := range r.Lists {
			w.Lists = append(w.Lists, &peerspb.RelayList{After: l.After, Revision: l.Revision, Line: l.Line})
		}
		out.Relay = append(out.Relay, w)
	}
	return out
}

func key(dest int, endpoint string) *peerspb.Key {
	return &peerspb.Key{Dest: int32(dest), Endpoint: endpoint}
}

// reading checks foreign values as they are read. The first that can't be is kept.
type reading struct{ err error }

func (r *reading) fail(what string, v any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s is %v", ErrBadPacket, what, v)
	}
}

func (r *reading) text(what, s string) string {
	if len(s) > maxName {
		r.fail("the length of "+what, len(s))
	}
	return s
}

func (r *reading) span(what string, us uint64) time.Duration {
	if us > uint64(maxSpan/time.Microsecond) {
		r.fail(what, us)
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func (r *reading) within(what string, n, most uint64) uint64 {
	if n > most {
		r.fail(what, n)
		return 0
	}
	return n
}

func (r *reading) list(what string, n int) { r.within("the length of "+what, uint64(n), maxEntries) }

func (r *reading) key(k *peerspb.Key) (int, string) {
	if k.GetDest() < 0 {
		r.fail("a destination", k.GetDest())
	}
	return int(k.GetDest()), r.text("an endpoint", k.GetEndpoint())
}

// Decode reads a packet from the wire. What it returns is within the bounds of this file, whatever came.
func Decode(raw []byte) (core.Packet, error) {
	if len(raw) > maxPacket {
		return core.Packet{}, fmt.Errorf("%w: it has %d bytes", ErrBadPacket, len(raw))
	}
	var w peerspb.Packet
	if err := proto.Unmarshal(raw, &w); err != nil {
		return core.Packet{}, fmt.Errorf("%w: %w", ErrBadPacket, err)
	}
	return fromProto(&w)
}

func fromProto(w *peerspb.Packet) (core.Packet, error) {
	if w.Version != Version {
		return core.Packet{}, fmt.Errorf("%w: its version is %d, this build reads %d", ErrBadPacket, w.Version, Version)
	}
	var r reading
	p := core.Packet{From: r.text("the sender's name", w.From), Life: w.Life, To: r.text("the name that is meant", w.To)}
	if p.From == "" {
		r.fail("the sender's name", "empty")
	}
	if w.SentUs > math.MaxInt64/2000 {
		r.fail("the time of sending", w.SentUs)
	}
	p.Sent = time.Duration(w.SentUs) * time.Microsecond
	r.list("member", len(w.Member))
	r.list("budget", len(w.Budget))
	r.list("reports", len(w.Reports))
	r.list("evidence", len(w.Evidence))
	if r.err != nil {
		return core.Packet{}, r.err
	}
	for _, m := range w.Member {
		r.list("records", len(m.Records))
		out := member.Message{Kind: member.Kind(r.within("a kind", uint64(m.Kind), math.MaxUint8)), Seq: m.Seq, Target: r.text("a target", m.Target)}
		for _, o := range m.Records {
			out.Records = append(out.Records, member.Record{
				Name: r.text("a name", o.Name), Life: o.Life, Incarnation: o.Incarnation, State: member.State(r.within("a state", uint64(o.State), uint64(member.Left))),
				By: r.text("a name", o.By), Addr: r.text("an address", o.Addr), Machine: r.text("a machine", o.Machine), Zone: r.text("a zone", o.Zone),
			})
		}
		p.Member = append(p.Member, out)
	}
	for _, m := range w.Budget {
		r.list("amounts", len(m.Amounts))
		out := budget.Message{
			Kind: budget.Kind(r.within("a kind", uint64(m.Kind), math.MaxUint8)), Digest: m.Digest, Life: m.Life, Seq: m.Seq, Seat: r.text("a seat", m.Seat),
			Granted: m.Granted, Term: r.span("a term", m.TermUs),
		}
		for _, a := range m.Amounts {
			dest, endpoint := r.key(a.Key)
			units := r.within("an amount", uint64(a.Units), budget.Whole)
			out.Amounts = append(out.Amounts, budget.Amount{Key: budget.Key{Dest: dest, Endpoint: endpoint}, Units: int64(units)})
		}
		p.Budget = append(p.Budget, out)
	}
	for _, o := range w.Reports {
		r.list("counts", len(o.Counts))
		out := tally.Report{
			Life: tally.Life{Name: r.text("a name", o.Name), Life: o.Life}, Age: r.span("an age", o.AgeUs), Pace: o.Pace, Counts: map[tally.Key]tally.Counts{},
		}
		if !(o.Pace >= 0 && o.Pace <= 1e9) { // not a number is neither
			r.fail("a pace", o.Pace)
		}
		for _, c := range o.Counts {
			dest, endpoint := r.key(c.Key)
			var counts tally.Counts
			copy(counts[:], c.Counts) // a later build may count more
			out.Counts[tally.Key{Dest: dest, Endpoint: endpoint}] = counts
		}
		p.Reports = append(p.Reports, out)
	}
	for _, e := range w.Evidence {
		dest, endpoint := r.key(e.Key)
		p.Evidence = append(p.Evidence, verdict.Evidence{
			Key: verdict.Key{Dest: dest, Endpoint: endpoint}, Kind: verdict.Kind(r.within("a kind", uint64(e.Kind), math.MaxUint8)),
			Observer: verdict.Observer{Name: r.text("a name", e.Name), Life: e.Life}, Seq: e.Seq, Age: r.span("an age", e.AgeUs), Since: r.span("a span", e.SinceUs), Calls: e.Calls,
		})
	}
	r.list("leases", len(w.Lease))
	r.list("relays", len(w.Relay))
	for _, m := range w.Lease {
		p.Lease = append(p.Lease, r.lease(m))
	}
	for _, o := range w.Relay {
		out := relay.Word{Lease: r.text("a lease", o.Lease), Token: o.Token, Discovery: r.text("an address", o.Discovery), Revision: o.Revision, Ask: o.Ask}
		r.within("the length of lists", uint64(len(o.Lists)), maxRelayed)
		for _, l := range o.Lists {
			out.Lists = append(out.Lists, relay.List{After: l.GetAfter(), Revision: l.GetRevision(), Line: l.GetLine()})
		}
		p.Relay = append(p.Relay, out)
	}
	if r.err != nil {
		return core.Packet{}, r.err
	}
	return p, nil
}
