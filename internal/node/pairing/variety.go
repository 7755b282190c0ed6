package pairing

import "slices"

// How many responses of a server in a row have to differ until the next one is expected to differ as well: MostDifferent are the most that
// are remembered.
const (
	LeastDifferent = 32
	MostDifferent  = 256
)

// Variety tells whether the responses of one server differ, so that a copy of one can be told from the next. The zero value has seen none.
// It is used by one goroutine at a time.
type Variety struct {
	different []uint64 // kinds of the latest responses, the oldest first; no two are equal
}

// Add notes the kind of a response, which is equal for equal responses; 0 for one that is not known.
func (v *Variety) Add(kind uint64) {
	if kind == 0 {
		v.different = nil
		return
	}
	if i := slices.Index(v.different, kind); i >= 0 {
		v.different = slices.Delete(v.different, 0, i+1)
	}
	if len(v.different) == MostDifferent {
		v.different = slices.Delete(v.different, 0, 1)
	}
	v.different = append(v.different, kind)
}

// Differ tells whether so many of the latest responses all differed, MostDifferent at most. Of a nil Variety none did.
func (v *Variety) Differ(count int) bool { return v != nil && len(v.different) >= count }
