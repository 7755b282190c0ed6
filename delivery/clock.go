package delivery

import (
	"encoding/binary"
	"time"
)

// longestSpan is how far from now a time of a journal can be: beyond it spans of time can't be told any more.
const longestSpan = 200 * 365 * 24 * time.Hour

// BootClock tells the time since the machine was started, and by which start: a clock that nobody steps and that outlasts processes.
// ok is false where that can't be told.
type BootClock func() (boot string, up time.Duration, ok bool)

// timeline is the journal's clock. A journal holds times as stamps: microseconds of a wall clock that is read once, when the journal
// is begun on a machine's start, and goes on with the machine's monotonic clock from there, through this life and the next
// ones. So a step of the wall clock, in a life or between two, changes no span of time that the journal tells.
type timeline struct {
	start time.Time // of this life, with a reading of the monotonic clock
	zero  time.Time // the stamp at start; without one
}

// stamp is a time of this life as the journal holds it.
func (c timeline) stamp(t time.Time) time.Time {
	return time.UnixMicro(c.zero.Add(t.Sub(c.start)).UnixMicro())
}

// life is a stamp on the clock of this life.
func (c timeline) life(stamp time.Time) time.Time { return c.start.Add(stamp.Sub(c.zero)) }

// reading is a stamp beside the machine's clock at one moment.
type reading struct {
	boot  string
	up    time.Duration
	stamp time.Time
}

// clockRecord notes a reading. It names no message: there is none of number 0.
func clockRecord(r reading) []byte {
	b := appendBytes(recordFor(recClock, 0, smallRecord+len(r.boot)), []byte(r.boot))
	return appendTime(binary.AppendUvarint(b, uint64(r.up/time.Microsecond)), r.stamp)
}

func (f *fields) reading() reading {
	return reading{boot: string(f.bytes()), up: time.Duration(f.number()) * time.Microsecond, stamp: f.wall()}
}

// resume begins the timeline of a life that starts now, by the last reading that an earlier one left. It goes on with the earlier
// one's on the same start of the machine; otherwise the wall clock serves, and rebooted says that it may have been stepped.
func resume(now time.Time, clock BootClock, last reading) (c timeline, read reading, rebooted bool) {
	now = now.Add(-time.Duration(now.Nanosecond()) % time.Microsecond) // so that stamps come back as they were
	c = timeline{start: now, zero: now.Round(0)}
	if clock == nil {
		return c, reading{}, false
	}
	boot, up, ok := clock()
	if !ok {
		return c, reading{}, false
	}
	up = (up - time.Since(now)).Truncate(time.Microsecond) // at the life's start, which may be a while ago on a busy machine
	switch {
	case last.boot == "":
	case last.boot == boot && up >= last.up:
		c.zero = last.stamp.Add(up - last.up)
	default:
		rebooted = true
	}
	return c, reading{boot, up, c.zero}, rebooted
}
