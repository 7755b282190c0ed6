package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Settings are the same at all voters and holders.
type Settings struct {
	Term  time.Duration // of a lease
	Drift float64       // longest difference of a clock's rate from true time, from 0 to below 1
	Tick  time.Duration // of the agreement; an election takes ten to twenty of them
}

// kept is how long a voter waits from when it saw a lease taken until it has it end.
func (s Settings) kept() time.Duration {
	return time.Duration(math.Ceil(float64(s.Term) * (1 + s.Drift) / (1 - s.Drift)))
}

const (
	electionTicks  = 10
	heartbeatTicks = 1
	maxMessage     = 64 << 10
	maxInflight    = 64
	compactEvery   = 1024 // entries that are applied between two snapshots of the table
	keptEntries    = 256  // for voters that are a little behind
	mostAsked      = 4096 // questions without an answer
)

// State is what a voter must find again in its next life. It is durable before anything that was said by it goes out.
type State struct {
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// Write is what is to be made durable now: entries replace those from the first one's index on, nil changes nothing.
type Write struct {
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
	Sync     bool // a vote or an entry is in it, which is a promise
}

// Empty tells that there is nothing to be written.
func (w Write) Empty() bool { return w.Hard == nil && w.Snapshot == nil && len(w.Entries) == 0 }

// Envelope is a message from voter to voter, as bytes.
type Envelope struct {
	To  uint64
	Raw []byte
}

// Answer goes to who asked.
type Answer struct {
	Asker string
	Ask   uint64
	Result
}

// Output is what a voter wants done, in this order: Write made durable, then Messages and Answers sent, then Done called. Nothing
// else may be asked of the voter in between.
type Output struct {
	Write    Write
	Messages []Envelope
	Answers  []Answer
	Granted  []Lease // what was granted anew, for the log
}

// seen is when this life saw a lease as it is.
type seen struct {
	lease  Lease
	at     time.Duration
	asked  time.Duration // to expire it
	asking bool
}

// Voter is one of the voters. Its id is its own and never that of an earlier voter whose state was lost: a vote that was
// given and forgotten could be given twice.
type Voter struct {
	cfg     Settings
	id      uint64
	node    *raft.RawNode
	storage *raft.MemoryStorage
	table   *table
	seen    map[string]seen
	conf    *raftpb.ConfState
	applied uint64
	since   uint64 // entries applied since the last snapshot
	nextAt  time.Duration
	ready   *raft.Ready
}

// ErrBadMessage is wrapped by what is said of a message that can't be taken.
var ErrBadMessage = errors.New("the message can't be taken")

// NewVoter makes a voter of a group that starts now, with the state that its last life left, nil for a group that is new. All voters
// of a new group are given the same ids.
func NewVoter(cfg Settings, id uint64, voters []uint64, state *State, now time.Duration) (*Voter, error) {
	v := &Voter{cfg: cfg, id: id, storage: raft.NewMemoryStorage(), table: newTable(), seen: map[string]seen{}, conf: &raftpb.ConfState{Voters: slices.Sorted(slices.Values(voters))}, nextAt: now}
	if !slices.Contains(voters, id) {
		return nil, fmt.Errorf("lease: voter %x is none of %x", id, voters)
	}
	first := &raftpb.Snapshot{Data: v.table.snapshot(), Metadata: &raftpb.SnapshotMetadata{ConfState: v.conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	if state != nil && state.Snapshot != nil && !raft.IsEmptySnap(state.Snapshot) {
		first = state.Snapshot
	}
	if err := v.load(first, now); err != nil {
		return nil, err
	}
	if err := v.storage.ApplySnapshot(first); err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	if state != nil {
		if state.Hard != nil {
			if err := v.storage.SetHardState(state.Hard); err != nil {
				return nil, fmt.Errorf("lease: %w", err)
			}
		}
		if err := v.storage.Append(state.Entries); err != nil {
			return nil, fmt.Errorf("lease: %w", err)
		}
	}
	var err error
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.storage, Applied: v.applied, MaxSizePerMsg: maxMessage / 2,
		MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true, Logger: silent{},
	})
	if err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	return v, nil
}

// load takes a table that was kept. For how long its leases have been held is not known: they are taken to begin now.
func (v *Voter) load(s *raftpb.Snapshot, now time.Duration) error {
	t, err := restore(s.GetData())
	if err != nil {
		return err
	}
	v.table, v.applied, v.since = t, s.GetMetadata().GetIndex(), 0
	clear(v.seen)
	for _, l := range t.all() {
		v.seen[l.Name] = seen{lease: l, at: now}
	}
	return nil
}

// Leads tells whether this voter leads, and Leader who does as far as it knows, 0 for nobody.
func (v *Voter) Leads() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

// Leader is who leads as far as this voter knows, 0 for nobody.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Leases are those that this voter knows of, which may be a little behind.
func (v *Voter) Leases() []Lease { return v.table.all() }

// Propose has a command put into the log, by way of the leader. It may get lost: who asks asks again.
func (v *Voter) Propose(c Command) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("lease: %w", err)
	}
	if len(raw) > maxMessage/4 {
		return fmt.Errorf("%w: it has %d bytes", ErrBadMessage, len(raw))
	}
	if err := v.node.Propose(raw); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("lease: %w", err)
	}
	return nil
}

// Step takes a message of another voter.
func (v *Voter) Step(raw []byte) error {
	if len(raw) > maxMessage {
		return fmt.Errorf("%w: it has %d bytes", ErrBadMessage, len(raw))
	}
	var m raftpb.Message
	if err := proto.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	if m.GetTo() != v.id || m.GetFrom() == v.id || !slices.Contains(v.conf.GetVoters(), m.GetFrom()) {
		return fmt.Errorf("%w: it is from %x to %x", ErrBadMessage, m.GetFrom(), m.GetTo())
	}
	if raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("%w: it is of a kind that does not travel", ErrBadMessage)
	}
	if err := v.node.Step(&m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("%w: %w", ErrBadMessage, err)
	}
	return nil
}

// Tick does what time asks for. It is called every Settings.Tick or more often.
func (v *Voter) Tick(now time.Duration) {
	// After a pause one tick is made up for, not all: a voter that was stopped must not take itself for the only one awake.
	if now >= v.nextAt {
		v.node.Tick()
		v.nextAt = now + v.cfg.Tick
	}
	for name, s := range v.seen {
		if now-s.at < v.cfg.kept() || s.asking && now-s.asked < electionTicks*v.cfg.Tick {
			continue
		}
		s.asking, s.asked = true, now
		v.seen[name] = s
		c := Command{Do: Expire, Name: name, Token: s.lease.Token, Renewals: s.lease.Renewals}
		if err := v.Propose(c); err != nil {
			continue // it is asked again
		}
	}
}

// Output is what is to be done now; ok is false if there is nothing. Done has to follow.
func (v *Voter) Output(now time.Duration) (out Output, ok bool, err error) {
	if !v.node.HasReady() {
		return Output{}, false, nil
	}
	rd := v.node.Ready()
	v.ready = &rd
	if !raft.IsEmptyHardState(rd.HardState) {
		out.Write.Hard = rd.HardState
		if err := v.storage.SetHardState(rd.HardState); err != nil {
			return out, false, fmt.Errorf("lease: %w", err)
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		out.Write.Snapshot = rd.Snapshot
		if err := v.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return out, false, fmt.Errorf("lease: %w", err)
		}
		if err := v.load(rd.Snapshot, now); err != nil {
			return out, false, err
		}
	}
	out.Write.Entries = rd.Entries
	if err := v.storage.Append(rd.Entries); err != nil {
		return out, false, fmt.Errorf("lease: %w", err)
	}
	out.Write.Sync = rd.MustSync || out.Write.Snapshot != nil
	for _, m := range rd.Messages {
		raw, err := proto.Marshal(m)
		if err != nil {
			return out, false, fmt.Errorf("lease: %w", err)
		}
		out.Messages = append(out.Messages, Envelope{m.GetTo(), raw})
	}
	for _, e := range rd.CommittedEntries {
		v.apply(now, e, &out)
	}
	return out, true, nil
}

// Done says that the Output was carried out. It returns a snapshot that is to be made durable, with the entries before its index no
// longer needed, from time to time.
func (v *Voter) Done() (*raftpb.Snapshot, error) {
	if v.ready == nil {
		return nil, nil
	}
	v.node.Advance(*v.ready)
	v.ready = nil
	if v.since < compactEvery {
		return nil, nil
	}
	v.since = 0
	s, err := v.storage.CreateSnapshot(v.applied, v.conf, v.table.snapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	if v.applied > keptEntries {
		if err := v.storage.Compact(v.applied - keptEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return nil, fmt.Errorf("lease: %w", err)
		}
	}
	return s, nil
}

// apply does what an entry of the log says.
func (v *Voter) apply(now time.Duration, e *raftpb.Entry, out *Output) {
	v.applied = e.GetIndex()
	v.since++
	if len(e.GetData()) == 0 || e.GetType() != raftpb.EntryNormal {
		return
	}
	var c Command
	if err := json.Unmarshal(e.GetData(), &c); err != nil {
		return // of a later build: every voter of this one passes over it
	}
	before := v.table.Last
	r := v.table.apply(c)
	if l, held := v.table.Leases[c.Name]; !held {
		delete(v.seen, c.Name)
	} else if r.Done { // taken anew or again: its time begins here
		v.seen[c.Name] = seen{lease: l, at: now}
	}
	if v.table.Last > before {
		out.Granted = append(out.Granted, r.Lease)
	}
	if c.Asker != "" {
		out.Answers = append(out.Answers, Answer{c.Asker, c.Ask, r})
	}
}

// silent is a raft.Logger that says nothing: what matters is told by Output.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
