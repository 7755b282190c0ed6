package link

import (
	"math"

	"starlingusher/peers/lease"
	"starlingusher/peers/link/peerspb"
)

const maxReason = 512 // bytes of what an operator says

func leaseToProto(m *lease.Message) *peerspb.Lease {
	out := &peerspb.Lease{Kind: uint32(m.Kind), Group: m.Group, From: m.From, To: m.To, Count: m.Count, Raw: m.Raw}
	if m.Kind == lease.Greet {
		h := &m.Hello
		out.Hello = &peerspb.LeaseHello{Id: h.ID, Group: h.Group, Promise: h.Promise, Applied: h.Applied, Led: h.Led, Of: h.Of, Seen: h.Seen, Reply: h.Reply, Floor: h.Floor}
		for id, name := range h.Voters {
			out.Hello.Voters = append(out.Hello.Voters, &peerspb.LeaseVoter{Id: id, Name: name})
		}
	}
	for i := range m.Commands {
		out.Commands = append(out.Commands, CommandToProto(&m.Commands[i]))
	}
	for _, a := range m.Answers {
		l := a.Lease
		out.Answers = append(out.Answers, &peerspb.LeaseResult{
			Asker: a.Asker, AskerLife: a.Life, Ask: a.Ask, Done: a.Done, Name: l.Name, Owner: l.Owner.Name, Life: l.Owner.Life, Token: l.Token, Renewals: l.Renewals, Place: uint32(a.Place), Note: l.Note, Serial: l.Serial,
		})
	}
	return out
}

// CommandToProto is a command on the wire. Whoever asks it by a call has its node fill in the owner.
func CommandToProto(c *lease.Command) *peerspb.LeaseCommand {
	return &peerspb.LeaseCommand{
		Do: uint32(c.Do), Name: c.Name, Owner: c.Owner.Name, Life: c.Owner.Life, Token: c.Token, Renewals: c.Renewals, Reason: c.Reason, Above: c.Above,
		Asker: c.Asker, Ask: c.Ask, Serial: c.Serial,
	}
}

func (r *reading) command(c *peerspb.LeaseCommand) lease.Command {
	if len(c.GetReason()) > maxReason {
		r.fail("the length of a reason", len(c.GetReason()))
	}
	return lease.Command{
		Do: lease.Do(r.within("a command", uint64(c.GetDo()), math.MaxUint8)), Name: r.text("a lease", c.GetName()),
		Owner: lease.Owner{Name: r.text("an owner", c.GetOwner()), Life: c.GetLife()}, Token: c.GetToken(), Renewals: c.GetRenewals(), Reason: c.GetReason(),
		Above: c.GetAbove(), Asker: r.text("an asker", c.GetAsker()), Ask: c.GetAsk(), Serial: c.GetSerial(),
	}
}

func (r *reading) lease(m *peerspb.Lease) lease.Message {
	out := lease.Message{Kind: lease.Kind(r.within("a kind", uint64(m.GetKind()), math.MaxUint8)), Group: m.GetGroup(), From: m.GetFrom(), To: m.GetTo(), Count: m.GetCount(), Raw: m.GetRaw()}
	r.within("the length of commands", uint64(len(m.GetCommands())), lease.MostAtOnce)
	r.within("the length of answers", uint64(len(m.GetAnswers())), lease.MostAtOnce)
	r.within("the length of voters", uint64(len(m.GetHello().GetVoters())), lease.MostVoters)
	if h := m.GetHello(); h != nil {
		out.Hello = lease.Hello{ID: h.GetId(), Group: h.GetGroup(), Promise: h.GetPromise(), Applied: h.GetApplied(), Led: h.GetLed(), Of: h.GetOf(), Seen: h.GetSeen(), Reply: h.GetReply(), Floor: h.GetFloor()}
		if len(h.GetVoters()) > 0 {
			out.Hello.Voters = map[uint64]string{}
		}
		for _, v := range h.GetVoters() {
			out.Hello.Voters[v.GetId()] = r.text("a voter", v.GetName())
		}
	}
	for _, c := range m.GetCommands() {
		out.Commands = append(out.Commands, r.command(c))
	}
	for _, a := range m.GetAnswers() {
		out.Answers = append(out.Answers, lease.Answer{Asker: r.text("an asker", a.GetAsker()), Life: a.GetAskerLife(), Ask: a.GetAsk(), Result: lease.Result{
			Done: a.GetDone(), Place: int(r.within("a place", uint64(a.GetPlace()), math.MaxUint8)),
			Lease: lease.Lease{Name: r.text("a lease", a.GetName()), Owner: lease.Owner{Name: r.text("an owner", a.GetOwner()), Life: a.GetLife()}, Token: a.GetToken(), Renewals: a.GetRenewals(), Note: r.text("a note", a.GetNote()), Serial: a.GetSerial()},
		}})
	}
	return out
}
