package delivery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"starlingusher/choice"
)

// This file reads and writes the records of the journal.

// errNoRecord says that no whole record follows: the file ends, or was torn by a kill. Any other error is the system's, and says nothing
// of what stands there.
var errNoRecord = errors.New("no whole record")

func readRecord(r io.Reader) ([]byte, error) {
	var head [recordHead]byte
	if err := readWhole(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n == 0 || n > maxRecord {
		return nil, fmt.Errorf("%w: one of impossible length", errNoRecord)
	}
	payload := make([]byte, n)
	if err := readWhole(r, payload); err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: a wrong checksum", errNoRecord)
	}
	return payload, nil
}

// readWhole fills b. The end of the file is errNoRecord.
func readWhole(r io.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: %w", errNoRecord, err)
	}
	return err
}

// fields reads the fields of a payload; bad is set when it is too short.
type fields struct {
	b     []byte
	bad   bool
	clock timeline
}

func (f *fields) number() uint64 {
	v, n := binary.Uvarint(f.b)
	if n <= 0 {
		f.bad, f.b = true, nil
		return 0
	}
	f.b = f.b[n:]
	return v
}

func (f *fields) bytes() []byte {
	n := f.number()
	if n > uint64(len(f.b)) {
		f.bad, f.b = true, nil
		return nil
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

// wall reads a time that belongs to no life, and time one that goes on the clock of this life.
func (f *fields) wall() time.Time { return time.UnixMicro(int64(f.number())) }

func (f *fields) time() time.Time {
	stamp := f.wall()
	if since := stamp.Sub(f.clock.zero); since > longestSpan || since < -longestSpan {
		f.bad = true
	}
	return f.clock.life(stamp)
}

// message reads what all records begin with that take a message on; messageRecord writes it.
func (f *fields) message(seq uint64) *past {
	return &past{seq: seq, id: string(f.bytes()), key: string(f.bytes()), class: int(f.number()), dest: int(f.number()),
		deadline: f.time(), body: f.bytes()}
}

func messageRecord(kind byte, p *past) []byte {
	b := recordFor(kind, p.seq, smallRecord+len(p.id)+len(p.key)+len(p.body)+len(p.front))
	b = appendBytes(appendBytes(b, []byte(p.id)), []byte(p.key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(p.class)), uint64(p.dest))
	return appendBytes(appendTime(b, p.deadline), p.body)
}

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.AppendUvarint(b, uint64(t.UnixMicro()))
}

func appendRecord(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

// smallRecord is room for all records but those that take a message on.
const smallRecord = 48

func record(kind byte, seq uint64) []byte { return recordFor(kind, seq, smallRecord) }

func recordFor(kind byte, seq uint64, room int) []byte {
	return binary.AppendUvarint(append(make([]byte, 0, room), kind), seq)
}

func acceptedRecord(p *past) []byte {
	b := messageRecord(recAccepted, p)
	if p.front == "" && !p.keep && p.tenant == 0 {
		return b
	}
	b = appendBytes(b, []byte(p.front))
	keep := byte(0)
	if p.keep {
		keep = 1
	}
	return appendTenant(append(b, keep), p)
}

// appendTenant adds the tenant, which builds before pass over, if there is one.
func appendTenant(b []byte, p *past) []byte {
	if p.tenant == 0 {
		return b
	}
	return binary.AppendUvarint(b, uint64(p.tenant))
}

func againRecord(p *past) []byte {
	b := appendTime(appendBytes(messageRecord(recAgain, p), []byte(p.front)), p.first)
	if p.mayRun.IsZero() {
		return appendTenant(append(b, 0), p)
	}
	return appendTenant(binary.AppendUvarint(appendTime(append(b, 1), p.mayRun), uint64(p.mayZone)), p)
}

// taken is what a message of this life is taken on by.
func (j *journal) taken(p *past) []byte {
	stamped := *p
	stamped.deadline = j.clock.stamp(p.deadline)
	if !p.mayRun.IsZero() {
		stamped.mayRun = j.clock.stamp(p.mayRun)
	}
	return takenRecord(&stamped)
}

// takenRecord is what a message is taken on by.
func takenRecord(p *past) []byte {
	if p.again() {
		return againRecord(p)
	}
	return acceptedRecord(p)
}

// attemptRecord names the endpoint if it is given.
func attemptRecord(seq uint64, at time.Time, zone int, endpoint string) []byte {
	b := binary.AppendUvarint(appendTime(record(recAttempt, seq), at), uint64(zone))
	if endpoint != "" {
		b = appendBytes(b, []byte(endpoint))
	}
	return b
}

// waitRecord names no message: there is none of number 0.
func waitRecord(w waiter, until time.Time) []byte {
	b := binary.AppendUvarint(recordFor(recWait, 0, smallRecord+len(w.endpoint)), uint64(w.dest))
	return appendTime(appendBytes(b, []byte(w.endpoint)), until)
}

// outcomeRecord is of recNotRun, recTurnedAway or recFailed.
func outcomeRecord(kind byte, seq uint64, attempt int) []byte {
	return binary.AppendUvarint(record(kind, seq), uint64(attempt))
}

// repliesRecord is of what an attempt may have been answered.
func repliesRecord(seq uint64, attempt int, replies choice.Replies) []byte {
	return binary.AppendUvarint(outcomeRecord(recReplies, seq, attempt), uint64(replies))
}

func endedRecord(seq uint64, e ending) []byte {
	b := binary.AppendUvarint(record(recEnded, seq), uint64(e.state))
	b = binary.AppendUvarint(b, uint64(e.after/time.Millisecond))
	if e.code != 0 || e.content != 0 {
		b = binary.AppendUvarint(b, uint64(e.code))
	}
	if e.content != 0 {
		b = binary.AppendUvarint(b, uint64(e.content))
	}
	return b
}
