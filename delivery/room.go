package delivery

import (
	"errors"
	"fmt"
)

// This file tells what fits into a journal's folder. While a journal is compacted its old file and its new one are there together, and both count.
// So the journal keeps to this at any instant: its file, and a new one with all that is live and all that messages have set aside for the
// records that will follow, are within its budget together. A new message that would break that has the journal compacted before it is taken on.

const (
	diskMargin   = 16 << 10                     // of the folder's limit, for records that no message has set aside for
	diskRounding = 2 * 512                      // each file counts in whole 512 bytes
	fixedRecords = 256                          // room for those that are of no message: the clock, the chain
	endReserve   = 64                           // room for the record of an end
	bytesInMB    = 1 << 20                      // of a folder's limit
	endedRoom    = 2*recordHead + 2*smallRecord // of a message that has ended, but for its words
)

// size is about the room that a message takes in the journal, with the records that will follow.
func (p *past) size() int64 {
	return max(int64(len(p.body)+len(p.id)+len(p.key)+len(p.front)+messageReserve), p.stored+endReserve)
}

// claimed is the most that a new file may take.
func (j *journal) claimed() int64 { return j.held + j.routesSize() + fixedRecords }

// fits tells whether the folder has room for a message of that size: beside what is live in a file of its own, and again in a new one.
func (j *journal) fits(size int64) bool {
	return 2*(j.claimed()+size)+int64(len(j.pending)) <= j.budget
}

// crowded tells whether the file, and a new one with a further message, would not be within the budget together.
func (j *journal) crowded(size int64) bool { return j.extent+j.claimed()+size > j.budget }

// mayCompact tells whether a new file has room beside the old one.
func (j *journal) mayCompact() error {
	if need := j.stored + fixedRecords; j.extent+need > j.limit {
		return fmt.Errorf("%w: a new file of %d bytes has no room beside one of %d", errDiskBudget, need, j.extent)
	}
	return nil
}

// mayAppend tells whether records may go behind those in the file although it should be compacted: there is no room for a new one, and this one is good.
func (j *journal) mayAppend(err error, after int64) bool {
	return errors.Is(err, errDiskBudget) && !j.broken && after <= j.limit
}

// hold has a message's records count from now on.
func (j *journal) hold(p *past) {
	j.held += p.size()
	j.stored += p.stored
	if p.again() {
		j.lent += p.size()
	}
}

// release has them count no more.
func (j *journal) release(p *past) {
	j.held -= p.size()
	j.stored -= p.stored
	if p.again() {
		j.lent -= p.size()
	}
}

// grow notes a further record of a message.
func (j *journal) grow(p *past, payload []byte) {
	j.release(p)
	p.stored += int64(recordHead + len(payload))
	j.hold(p)
}
