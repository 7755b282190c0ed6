// Package copies decides how journals stand on further nodes: who holds whose, how far each has come, what is held, and who goes on with
// a journal whose owner is gone. It is pure: no I/O, no clock of its own, no goroutine; times are of the node's own monotonic clock and
// are handed in. Nothing here is safe for concurrent use.
//
// # What is held
//
// A stream is one folder's journal: records in their order, a place in it is a mark and a digest over all before (delivery.Chain). It is
// named by its folder, so that a node whose folder was lost begins another stream, and the old one is taken up by heirs.
//
// The owner of a stream holds the lease of its name; the lease's token is the stream's epoch. The lease carries a note: who holds the
// stream, agreed on by the voters before the owner counts on them. A place is held once **all** noted holders have it. So each single noted
// holder that is left has all that was ever said to be held, and an heir, who reads the note with its grant, needs to reach one of them.
//
// The owner learns late, or never, what became of a note that it asked for. Until it does, the voters may have the last note that it knows of, or any
// that it has asked for since: a place is held once the holders of each of these have it. Notes have serial numbers, and the voters refuse one
// that comes after a later one, so that an answer to a note settles all before it.
//
// # Why no epoch goes on beside another
//
// An heir has the lease, and so a larger token, before it does anything; it fences the noted holders that it reaches before it reads: they
// refuse frames of a smaller epoch from then on. What the old owner would still write is not held by all noted holders, so it says and
// begins nothing by it. If the one holder that the heir reached is not all there are, the old owner is kept from acting by its lease: it
// does nothing by what is held after its lease has run, by its own clock, from before it asked.
//
// # Alone
//
// An owner that may go on alone notes that first. An heir that finds that note knows that the stream may lack what was done since.
package copies

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Chain is a place in a stream; the same as delivery.Chain.
type Chain struct {
	Mark   uint64
	Digest [sha256.Size]byte
}

const recordHead = 8

// serialsOfProcess is how far the serial numbers of a process's notes are above those of the process before that were agreed on: more than that one
// can have asked for in vain, one a lease's term at most.
const serialsOfProcess = 1 << 20

// next is the place behind records, a record at a time; ok is false if they are not whole records.
func (c Chain) next(records []byte) (Chain, bool) {
	for len(records) > 0 {
		if len(records) < recordHead {
			return c, false
		}
		n := recordHead + uint64(binary.LittleEndian.Uint32(records))
		if n > uint64(len(records)) {
			return c, false
		}
		both := make([]byte, 0, 512) // on the stack, but for long records
		both = append(append(both, c.Digest[:]...), records[:n]...)
		c.Mark, c.Digest = c.Mark+n, sha256.Sum256(both)
		records = records[n:]
	}
	return c, true
}

// Frame is a part of a stream on its way to a holder.
type Frame struct {
	Stream  string
	Epoch   uint64
	Before  Chain
	Records []byte
	Whole   bool // Records are all that is live, and take the place of all before
}

// After is the place behind a frame; ok is false if its records are none.
func (f *Frame) After() (Chain, bool) {
	if f.Whole {
		_, ok := Chain{}.next(f.Records)
		return Chain{Mark: f.Before.Mark + 1, Digest: sha256.Sum256(f.Records)}, ok
	}
	return f.Before.next(f.Records)
}

// Verdict is what a holder does with a frame.
type Verdict uint8

// The verdicts.
const (
	Kept    Verdict = iota // it has it, now or before
	Past                   // of an epoch that is over
	Gap                    // what comes before is missing here: the stream has to be told anew
	Ahead                  // this holder has more than the owner: the owner's folder is an old one
	Invalid                // no records, or others than those that are here at that place
	Full                   // there is no room
)

func (v Verdict) String() string {
	return [...]string{"kept", "past", "gap", "ahead", "invalid", "full"}[min(v, Full)]
}

// Shelf is what a holder has of one stream.
type Shelf struct {
	At    Chain
	Epoch uint64 // of what is here
	Fence uint64 // no frame of a smaller one is taken
}

// Take judges a frame. With Kept and write the frame is to be written, and then the shelf is as returned.
func (s Shelf) Take(f Frame) (after Shelf, v Verdict, write bool) {
	to, ok := f.After()
	switch {
	case !ok:
		return s, Invalid, false
	case f.Epoch < s.Fence || f.Epoch < s.Epoch:
		return s, Past, false
	}
	next := Shelf{At: to, Epoch: f.Epoch, Fence: max(s.Fence, f.Epoch)}
	switch {
	case f.Whole && to.Mark > s.At.Mark:
		return next, Kept, true
	case to == s.At:
		return s, Kept, false
	case to.Mark <= s.At.Mark && f.Epoch > s.Epoch, f.Whole && to.Mark < s.At.Mark:
		return s, Ahead, false
	case to.Mark < s.At.Mark:
		return s, Kept, false // it came before
	case f.Before == s.At:
		return next, Kept, true
	case f.Before.Mark == s.At.Mark:
		return s, Invalid, false
	}
	return s, Gap, false
}

// Node is one that may hold streams.
type Node struct{ Name, Machine, Zone string }

// Choose picks k holders for a stream of an owner by rendezvous hashing: on other machines than the owner's, in as many zones as there are,
// and moving as few streams as can be when nodes come and go. Fewer than k are returned where there are no more.
func Choose(stream string, owner Node, all []Node, k int) []string {
	ranked := slices.DeleteFunc(slices.Clone(all), func(n Node) bool {
		return n.Name == owner.Name || n.Machine != "" && n.Machine == owner.Machine
	})
	rank := func(n Node) uint64 {
		h := fnv.New64a()
		h.Write([]byte(stream + "\x00" + n.Name))
		v := h.Sum64() // FNV alone is nearly linear in its last bytes
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		return v ^ v>>33
	}
	slices.SortFunc(ranked, func(a, b Node) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Name, b.Name)) })
	var chosen []Node
	for len(chosen) < k && len(ranked) > 0 {
		// The best of those that share least with who was chosen already: a zone, then a machine.
		best, least := 0, 3
		for i, n := range ranked {
			shares := 0
			if slices.ContainsFunc(append(chosen, owner), func(o Node) bool { return o.Zone != "" && o.Zone == n.Zone }) {
				shares = 1
			}
			if slices.ContainsFunc(chosen, func(o Node) bool { return o.Machine != "" && o.Machine == n.Machine }) {
				shares = 2
			}
			if shares < least {
				best, least = i, shares
			}
		}
		chosen = append(chosen, ranked[best])
		ranked = slices.Delete(ranked, best, best+1)
	}
	names := make([]string, 0, len(chosen))
	for _, n := range chosen {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	return names
}

// Note is what a stream's lease carries.
type Note struct {
	Holders []string // all that have to have what is held; none for a stream of which nothing is held yet
	Alone   bool     // the owner goes on without them: what they have may lack what was done since
	Over    bool     // all that the stream owed is ended, and nobody need go on with it
	// Epoch is that of who wrote the note: an owner notes its own before it counts anything as held, and an heir before it goes on. So whoever
	// has the lease again after it had ended knows by the note whether another has gone on with the stream meanwhile.
	Epoch uint64
	// Serial orders the notes that were asked for under one epoch. It goes with the request, and is no part of the text.
	Serial uint64
}

// String is the note as it is written.
func (n Note) String() string {
	text := strings.Join(n.Holders, ",")
	if n.Alone {
		text += "!"
	}
	if n.Over {
		text += "."
	}
	if n.Epoch != 0 {
		text += "@" + strconv.FormatUint(n.Epoch, 36)
	}
	return text
}

// ParseNote reads a note.
func ParseNote(text string) (n Note) {
	text, epoch, _ := strings.Cut(text, "@")
	n.Epoch, _ = strconv.ParseUint(epoch, 36, 64) // 0 is of nobody, and so is what can't be read
	if n.Over = strings.HasSuffix(text, "."); n.Over {
		text = text[:len(text)-1]
	}
	if n.Alone = strings.HasSuffix(text, "!"); n.Alone {
		text = text[:len(text)-1]
	}
	if text != "" {
		n.Holders = strings.Split(text, ",")
	}
	return n
}

// Owner is the owner's side of one stream.
type Owner struct {
	self     string // which may stand in the note of a stream that it inherited, and is no further node
	k        int
	patience time.Duration
	epoch    uint64            // of the lease; nothing is held before the note has it
	at       Chain             // the end of the stream
	note     Note              // the last one that the voters are known to have agreed on
	settled  bool              // note was asked for since the lease was granted, or the process started
	asked    *Note             // that the voters are asked for now
	doubted  []Note            // asked for after note, with no answer: the voters may have agreed on them, or may yet
	serial   uint64            // of the last note that was asked for
	acked    map[string]uint64 // marks that holders have
	wants    []string
	waits    map[uint64]wait // by ticket: the mark that it needs, and since when
	tickets  []uint64
	covered  uint64
	lacks    bool          // the stream lacks records that its copies never had, and does not say so yet
	lacking  time.Duration // since when there are fewer than k to hold, or the oldest ticket waits; 0 while neither is so
}

type wait struct {
	mark  uint64
	since time.Duration
}

// NewOwner is the side of an owner whose stream stands at a place. Granted follows, once it has the lease.
func NewOwner(self string, k int, patience time.Duration, at Chain) *Owner {
	return &Owner{self: self, k: k, patience: patience, at: at, acked: map[string]uint64{}, waits: map[uint64]wait{}}
}

// Granted tells what the lease carries, its token, and the serial number of the last note that was agreed on under that token, 0 for none. An
// earlier process may have asked for notes that are still under way.
func (o *Owner) Granted(note Note, epoch, serial uint64) {
	o.note, o.epoch, o.serial = note, epoch, serial+serialsOfProcess
	o.settled, o.asked, o.doubted = false, nil, nil
}

// IsNoted tells whether the voters know that this owner goes on with the stream, and no note of an earlier process can come any more.
func (o *Owner) IsNoted() bool { return o.epoch != 0 && o.settled && o.note.Epoch == o.epoch }

// possible are the notes that the voters may have now, or come to with no further request.
func (o *Owner) possible() []Note {
	all := append([]Note{o.note}, o.doubted...)
	if o.asked != nil {
		all = append(all, *o.asked)
	}
	return all
}

// Wrote notes that the stream has come to a place with a ticket.
func (o *Owner) Wrote(now time.Duration, ticket uint64, to Chain) {
	o.at = to
	if _, ok := o.waits[ticket]; !ok {
		o.tickets = append(o.tickets, ticket)
	}
	o.waits[ticket] = wait{to.Mark, now}
}

// At is the end of the stream.
func (o *Owner) At() Chain { return o.at }

// Acked notes how far a holder has come.
func (o *Owner) Acked(name string, mark uint64) { o.acked[name] = max(o.acked[name], mark) }

// Lost notes that nothing is known any more of what a holder has.
func (o *Owner) Lost(name string) { delete(o.acked, name) }

// Choose notes who is to hold the stream from now on, as far as they can be had.
func (o *Owner) Choose(names []string) { o.wants = names }

// Targets are those that frames go to: who is noted, or may be, and who is to be.
func (o *Owner) Targets() []string {
	all := slices.Clone(o.wants)
	for _, note := range o.possible() {
		all = append(all, o.further(note)...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// further are the holders of a note but the owner itself.
func (o *Owner) further(note Note) []string {
	if !slices.Contains(note.Holders, o.self) {
		return note.Holders
	}
	return slices.DeleteFunc(slices.Clone(note.Holders), func(name string) bool { return name == o.self })
}

// heldBy is the mark that a note has held: all under a note that lets the owner go on alone, nothing with too few holders.
func (o *Owner) heldBy(note Note) uint64 {
	if note.Alone {
		return math.MaxUint64
	}
	further := o.further(note)
	if len(further) < o.k {
		return 0
	}
	return o.held(further)
}

// heldByAll is the mark that each possible note has held.
func (o *Owner) heldByAll() uint64 {
	mark := uint64(math.MaxUint64)
	for _, note := range o.possible() {
		mark = min(mark, o.heldBy(note))
	}
	return mark
}

// held is the mark that all of some holders have.
func (o *Owner) held(names []string) uint64 {
	if len(names) == 0 {
		return 0
	}
	least := o.at.Mark
	for _, name := range names {
		least = min(least, o.acked[name])
	}
	return least
}

// Ask returns the note that the voters are to be asked for, if another is wanted, or what became of one is not known, and none is asked for now. Noted
// tells what became of it.
func (o *Owner) Ask(now time.Duration, mayAlone bool) (Note, bool) {
	if o.asked != nil {
		return Note{}, false
	}
	full := len(o.wants) >= o.k
	switch {
	case !full && o.lacking == 0:
		o.lacking = max(now, 1)
	case full && len(o.tickets) == 0:
		o.lacking = 0
	case full:
		o.lacking = max(o.waits[o.tickets[0]].since, 1)
	}
	want := o.note
	want.Epoch = o.epoch
	switch {
	case !o.IsNoted(): // before all else
	case full && o.ready(o.wants):
		want.Holders, want.Alone = o.wants, o.note.Alone && o.lacks
	case mayAlone && o.lacking != 0 && now-o.lacking > o.patience && !o.stands():
		want.Alone = true
	}
	if want.String() == o.note.String() && o.settled && len(o.doubted) == 0 {
		return Note{}, false
	}
	o.serial++
	want.Serial = o.serial
	o.asked = &want
	return want, true
}

// SetLacks tells whether the stream was read from a copy that may lack what its owner did alone, and has no records yet of what that may have been.
// While it has none, a note says that copies may lack something, whoever holds them.
func (o *Owner) SetLacks(lacks bool) { o.lacks = lacks }

// End returns the note that says that the stream owes nothing more, to be asked for. What becomes of it is of no matter to this owner.
func (o *Owner) End() Note {
	o.serial++
	return Note{Holders: o.note.Holders, Alone: o.note.Alone, Over: true, Epoch: o.epoch, Serial: o.serial}
}

// ready tells whether each of some holders is known to have all up to the last place but what is on its way.
func (o *Owner) ready(names []string) bool {
	for _, name := range names {
		if _, ok := o.acked[name]; !ok {
			return false
		}
	}
	return o.held(names) >= o.oldest()
}

// oldest is the mark that the oldest waiting ticket needs, or the stream's end.
func (o *Owner) oldest() uint64 {
	if len(o.tickets) == 0 {
		return o.at.Mark
	}
	return min(o.waits[o.tickets[0]].mark, o.at.Mark)
}

// stands tells whether the noted holders have what is waited for.
func (o *Owner) stands() bool {
	return len(o.further(o.note)) >= o.k && !o.note.Alone && o.heldByAll() >= o.oldest()
}

// Outcome is what became of a note that was asked for.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota // no answer came: the voters may have agreed on it, or may yet
	Agreed
	Refused
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"unknown", "agreed", "refused"}[min(o, Refused)]
}

// Noted says what became of the note that was asked for.
func (o *Owner) Noted(outcome Outcome) {
	if o.asked == nil {
		return
	}
	switch outcome {
	case Agreed: // those before it are refused from now on
		o.note, o.settled, o.doubted = *o.asked, true, nil
	case Unknown:
		if !slices.ContainsFunc(o.doubted, func(n Note) bool { return n.String() == o.asked.String() }) {
			o.doubted = append(o.doubted, *o.asked)
		}
	}
	o.asked = nil
}

// Covered returns how far tickets are held by now, and with short how far they have waited in vain. Alone is that nothing waits, by the note.
// Without its lease the owner counts nothing as held.
func (o *Owner) Covered(now time.Duration, leased bool) (ticket uint64, short bool, ok bool) {
	before := o.covered
	leased = leased && o.IsNoted()
	mark := uint64(0)
	if leased {
		mark = o.heldByAll()
	}
	for len(o.tickets) > 0 {
		t := o.tickets[0]
		w := o.waits[t]
		late := now-w.since > o.patience
		if w.mark > mark && !late {
			break
		}
		if w.mark > mark {
			if o.covered > before && !short {
				break // what is held goes first, by itself
			}
			short = true
		} else if short {
			break
		}
		o.covered = t
		delete(o.waits, t)
		o.tickets = o.tickets[1:]
	}
	return o.covered, short, o.covered > before
}

// Holds tells whether new messages can be held now: nothing has waited in vain, and enough holders are there.
func (o *Owner) Holds(now time.Duration) bool {
	late := o.lacking != 0 && now-o.lacking > o.patience
	return o.IsNoted() && (o.note.Alone || len(o.further(o.note)) >= o.k && len(o.wants) >= o.k && !late)
}

// Alone tells whether the owner goes on without holders.
func (o *Owner) Alone() bool { return o.note.Alone }

// Note is the last one that the voters are known to have agreed on.
func (o *Owner) Note() Note { return o.note }

// Behind is how many bytes each target lacks, -1 for one of which nothing is known.
func (o *Owner) Behind() map[string]int64 {
	all := map[string]int64{}
	for _, name := range o.Targets() {
		all[name] = -1
		if mark, ok := o.acked[name]; ok {
			all[name] = int64(o.at.Mark - min(mark, o.at.Mark))
		}
	}
	return all
}

// epochPlaces is how many bytes of a stream have places of one epoch, and mostEpoch the last epoch whose places are its own.
const (
	epochPlaces = 1 << 40
	mostEpoch   = 1<<24 - 1
)

// Begin is the place at which an heir goes on with what it has read. It is above all places of earlier epochs: nodes may still have records of
// those that were never held, and that take no part in the stream from now on.
func Begin(at Chain, epoch uint64) Chain {
	at.Mark = max(at.Mark, min(epoch, mostEpoch)*epochPlaces)
	return at
}

// Found is what an heir reads at one holder, once that has been fenced.
type Found struct {
	Holder string
	Shelf  Shelf
}

// Heir decides where an heir reads, by the note that came with its grant. Missing says why it can't go on yet: none of the noted holders
// has answered, or has anything of the stream any more, or what they have differs at one place.
func Heir(note Note, found []Found) (from string, missing string) {
	best := -1
	for i, f := range found {
		if !slices.Contains(note.Holders, f.Holder) {
			continue // it may lack what was held after it was one
		}
		switch {
		case f.Shelf.At.Mark == 0: // its folder was lost
		case best < 0, cmp.Or(cmp.Compare(f.Shelf.At.Mark, found[best].Shelf.At.Mark), cmp.Compare(f.Shelf.Epoch, found[best].Shelf.Epoch)) > 0:
			best = i
		case f.Shelf.At.Mark == found[best].Shelf.At.Mark && f.Shelf.At.Digest != found[best].Shelf.At.Digest:
			return "", f.Holder + " and " + found[best].Holder + " have different records at one place"
		}
	}
	if best < 0 {
		return "", "none of " + strings.Join(note.Holders, ", ") + " has answered with a copy"
	}
	return found[best].Holder, ""
}
