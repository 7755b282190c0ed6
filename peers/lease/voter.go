package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
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
	maxMessage     = 224 << 10 // a snapshot of a full table fits
	maxCommand     = 16 << 10
	maxEntries     = 32 << 10 // in one message
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
	Identity *Identity
	Whole    bool // Snapshot is another voter's, and takes the place of all entries
	Reset    bool // first all that was written before is dropped: it is another voter's
}

// Empty tells that there is nothing to be written.
func (w Write) Empty() bool {
	return w.Hard == nil && w.Snapshot == nil && len(w.Entries) == 0 && w.Identity == nil && !w.Reset
}

// Envelope is a message from voter to voter, as bytes.
type Envelope struct {
	To  uint64
	Raw []byte
}

// Answer goes to who asked.
type Answer struct {
	Asker string
	Life  uint64 // of the process that asked; 0 from a voter of a build that does not tell it
	Ask   uint64
	Result
}

// isFor tells whether an answer is to a question of a process.
func (a Answer) isFor(o Owner) bool { return a.Asker == o.Name && (a.Life == o.Life || a.Life == 0) }

// Output is what a voter wants done, in this order: Write made durable, then Messages and Answers sent, then Done called. Nothing
// else may be asked of the voter in between.
type Output struct {
	Write    Write
	Messages []Envelope
	Answers  []Answer
	Granted  []Lease   // what was granted anew, for the log
	Forced   []Command // what an operator has ended, likewise
	Changed  bool      // the configuration is another one
}

// seen is when this life saw a lease as it is.
type seen struct {
	lease  Lease
	since  time.Duration // of its token
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
	past    uint64 // index of the last entry that an earlier process of the voter may have answered
	since   uint64 // entries applied since the last snapshot
	nextAt  time.Duration
	ready   *raft.Ready
	snaps   map[uint64]time.Duration // when a snapshot was last sent to a voter
}

// ErrBadMessage is wrapped by what is said of a message that can't be taken.
var ErrBadMessage = errors.New("the message can't be taken")

// Found is the state of a group that begins, with so many voters by their ids, and tokens above a floor. Only one of them is given it; the
// others begin with nothing and are told all by the first.
func Found(voters map[uint64]string, floor uint64) *State {
	t := newTable()
	t.Last = floor
	t.Voters = maps.Clone(voters)
	conf := &raftpb.ConfState{Voters: slices.Sorted(maps.Keys(voters))}
	return &State{Snapshot: &raftpb.Snapshot{Data: t.snapshot(), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}}
}

// NewVoter makes a voter that starts now, with the state that its last life left, or that Found made. With nil it is one that
// is about to be told all by the others.
func NewVoter(cfg Settings, id uint64, state *State, now time.Duration) (*Voter, error) {
	v := &Voter{cfg: cfg, id: id, storage: raft.NewMemoryStorage(), table: newTable(), seen: map[string]seen{}, snaps: map[uint64]time.Duration{}, conf: &raftpb.ConfState{}, nextAt: now}
	if state != nil && state.Snapshot != nil && !raft.IsEmptySnap(state.Snapshot) {
		if err := v.load(state.Snapshot, now); err != nil {
			return nil, err
		}
		if err := v.storage.ApplySnapshot(state.Snapshot); err != nil {
			return nil, fmt.Errorf("lease: %w", err)
		}
	}
	if state != nil {
		if state.Hard != nil {
			v.past = state.Hard.GetCommit()
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
		ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.storage, Applied: v.applied, MaxSizePerMsg: maxEntries,
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
	v.table, v.conf, v.applied, v.since = t, s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex(), 0
	clear(v.seen)
	for _, l := range t.all() {
		v.seen[l.Name] = seen{lease: l, since: now, at: now}
	}
	return nil
}

// Leads tells whether this voter leads, and Leader who does as far as it knows, 0 for nobody.
func (v *Voter) Leads() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

// Leader is who leads as far as this voter knows, 0 for nobody.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Leases are those that this voter knows of, which may be a little behind.
func (v *Voter) Leases() []Lease { return v.table.all() }

// Line is who waits for a name, as far as this voter knows.
func (v *Voter) Line(name string) (all []Owner) {
	for _, w := range v.table.Lines[name] {
		all = append(all, w.Owner)
	}
	return all
}

// Held is for how long a lease has been its holder's, as far as this life of the voter has seen.
func (v *Voter) Held(now time.Duration, name string) time.Duration {
	if s, ok := v.seen[name]; ok {
		return now - s.since
	}
	return 0
}

// Voters are those of the configuration that this voter has come to, by their ids.
func (v *Voter) Voters() map[uint64]string { return v.table.Voters }

// Last is the largest token that this voter knows to be granted.
func (v *Voter) Last() uint64 { return v.table.Last }

// Applied is the index of the last entry that it has come to.
func (v *Voter) Applied() uint64 { return v.applied }

// Change asks for a change of the configuration by one voter: the one of the id is taken in, or out where name is empty. It may get
// lost, and one that is asked for while another is under way does.
func (v *Voter) Change(id uint64, name string) error {
	cc := raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)}
	if name != "" {
		cc.Type, cc.Context = raftpb.ConfChangeType_ConfChangeAddNode.Enum(), []byte(name)
	}
	if err := v.node.ProposeConfChange(&cc); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("lease: %w", err)
	}
	return nil
}

// Propose has a command put into the log, by way of the leader. It may get lost: who asks asks again.
func (v *Voter) Propose(c Command) error {
	c.Via = v.id
	raw, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("lease: %w", err)
	}
	if len(raw) > maxCommand {
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
	isProposal := m.GetType() == raftpb.MessageType_MsgProp
	// One that is new to the group may not be known here yet. A proposal keeps its sender where a former leader hands it on, and may come back.
	if m.GetTo() != v.id || (m.GetFrom() == v.id && !isProposal) {
		return fmt.Errorf("%w: a %v from %x to %x", ErrBadMessage, m.GetType(), m.GetFrom(), m.GetTo())
	}
	if isProposal && len(m.GetEntries()) == 0 { // which ends a leader
		return fmt.Errorf("%w: a proposal of nothing", ErrBadMessage)
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
	for id, at := range v.snaps { // one that got lost is not asked for again: the leader has to be told
		if now-at >= electionTicks*v.cfg.Tick {
			delete(v.snaps, id)
			v.node.ReportSnapshot(id, raft.SnapshotFailure) // passed over if it has arrived
		}
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
		out.Write.Snapshot, out.Write.Whole = rd.Snapshot, true
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
		if m.GetType() == raftpb.MsgSnap {
			v.snaps[m.GetTo()] = now
		}
		out.Messages = append(out.Messages, Envelope{m.GetTo(), raw})
	}
	for _, e := range rd.CommittedEntries {
		if err := v.apply(now, e, &out); err != nil {
			return out, false, err
		}
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
func (v *Voter) apply(now time.Duration, e *raftpb.Entry, out *Output) error {
	v.applied = e.GetIndex()
	v.since++
	switch {
	case e.GetType() == raftpb.EntryConfChange:
		return v.reconfigure(e, out)
	case len(e.GetData()) == 0 || e.GetType() != raftpb.EntryNormal:
		return nil
	}
	var c Command
	if err := json.Unmarshal(e.GetData(), &c); err != nil {
		return nil // of a later build: every voter of this one passes over it
	}
	before := v.table.Last
	r := v.table.apply(c)
	if l, held := v.table.Leases[c.Name]; !held {
		delete(v.seen, c.Name)
	} else if r.Done && c.Do == Take { // taken anew or again: its time begins here
		since := now
		if old, ok := v.seen[c.Name]; ok && old.lease.Token == l.Token {
			since = old.since
		}
		v.seen[c.Name] = seen{lease: l, since: since, at: now}
	}
	if v.table.Last > before && c.Do == Take {
		out.Granted = append(out.Granted, r.Lease)
	}
	if r.Done && c.Do == Force {
		out.Forced = append(out.Forced, c)
	}
	if c.Asker != "" && c.Via == v.id && v.applied > v.past {
		out.Answers = append(out.Answers, Answer{c.Asker, c.AskerLife, c.Ask, r})
	}
	return nil
}

// reconfigure takes a voter in or out.
func (v *Voter) reconfigure(e *raftpb.Entry, out *Output) error {
	var cc raftpb.ConfChange
	if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
		return fmt.Errorf("lease: entry %d: %w", e.GetIndex(), err)
	}
	v.conf = v.node.ApplyConfChange(&cc)
	if cc.GetType() == raftpb.ConfChangeType_ConfChangeAddNode {
		v.table.Voters[cc.GetNodeId()] = string(cc.GetContext())
	} else {
		delete(v.table.Voters, cc.GetNodeId())
	}
	out.Changed = true
	v.since = compactEvery // who is taken in can only begin with a snapshot that has it among the voters
	return nil
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
