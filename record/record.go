// Package record keeps what a delivery engine tells its decisions and what they answer, so that it can be asked later why
// a message waited or was refused. A recording holds no body, and keys only as numbers that mean nothing elsewhere.
//
// A recording is a folder of segments. Each begins with eight bytes that name the format, and holds chunks: their
// length and their CRC-32C (four bytes each, little-endian) before a part of one zstd stream (RFC 8878) of CBOR items
// (RFC 8949). The first item is a Header, the others are Records. Each chunk ends a zstd block, so that what stands
// before a cut or spoilt chunk can be read.
package record

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"starlingusher/choice"
	"starlingusher/delivery"
)

// Schema numbers what the items mean. Builds with another one don't read them.
const Schema = 1

// Header begins a segment.
type Header struct {
	Schema   int
	Build    string // of the program that wrote it
	Name     string // of the node
	Life     int64  // Unix time in nanoseconds at which it began
	Zero     int64  // and at which the clock of the recording shows 0
	Segment  int    // counted from 1 in each life; the first holds the start, from which it can be played again
	Settings choice.Settings
	Seed     uint64
}

// Record is one item; one of its fields is set.
type Record struct {
	Step    *Step            `cbor:"1,keyasint,omitempty"`
	Handed  *delivery.Handed `cbor:"2,keyasint,omitempty"`
	Turned  *delivery.Turned `cbor:"3,keyasint,omitempty"`
	Called  *delivery.Called `cbor:"4,keyasint,omitempty"`
	Noticed *Noticed         `cbor:"5,keyasint,omitempty"`
	Missing *Missing         `cbor:"6,keyasint,omitempty"`
}

// Step is one step of the decisions.
type Step struct {
	Now     time.Duration `cbor:"1,keyasint"`
	Events  []Event       `cbor:"2,keyasint,omitempty"`
	Actions []Action      `cbor:"3,keyasint,omitempty"`
}

// Noticed are ends that were taken.
type Noticed struct {
	At    time.Duration `cbor:"1,keyasint"`
	Names []string      `cbor:"2,keyasint"`
}

// Missing says that records were thrown away here, since they came faster than they could be written.
type Missing struct {
	Records int `cbor:"1,keyasint"`
}

// Event is one of choice's; one of its fields is set.
type Event struct {
	Listed  *choice.Listed  `cbor:"1,keyasint,omitempty"`
	Waits   *choice.Waits   `cbor:"2,keyasint,omitempty"`
	Arrived *choice.Arrived `cbor:"3,keyasint,omitempty"`
	Resumed *choice.Resumed `cbor:"4,keyasint,omitempty"`
	Ended   *choice.Ended   `cbor:"5,keyasint,omitempty"`
	Dropped *choice.Dropped `cbor:"6,keyasint,omitempty"`
	Probed  *choice.Probed  `cbor:"7,keyasint,omitempty"`
	Rang    *choice.Rang    `cbor:"8,keyasint,omitempty"`
	Leaving *choice.Leaving `cbor:"9,keyasint,omitempty"`
	Heard   *choice.Heard   `cbor:"10,keyasint,omitempty"`
	Outage  *choice.Outage  `cbor:"11,keyasint,omitempty"`
	Stood   *choice.Stood   `cbor:"12,keyasint,omitempty"`
}

// Action is one of choice's; one of its fields is set.
type Action struct {
	Send     *choice.Send     `cbor:"1,keyasint,omitempty"`
	PushBack *choice.PushBack `cbor:"2,keyasint,omitempty"`
	Fail     *choice.Fail     `cbor:"3,keyasint,omitempty"`
	Cancel   *choice.Cancel   `cbor:"4,keyasint,omitempty"`
	Probe    *choice.Probe    `cbor:"5,keyasint,omitempty"`
	HangUp   *choice.HangUp   `cbor:"6,keyasint,omitempty"`
	Wake     *choice.Wake     `cbor:"7,keyasint,omitempty"`
	Watch    *choice.Watch    `cbor:"8,keyasint,omitempty"`
	Note     *choice.Note     `cbor:"9,keyasint,omitempty"`
}

// ErrUnknownItem says that an item holds nothing that this build knows.
var ErrUnknownItem = errors.New("an item of no known kind")

// EventOf wraps an event. Its key becomes what hide makes of it.
func EventOf(e choice.Event, hide func(string) string) Event {
	switch e := e.(type) {
	case choice.Listed:
		return Event{Listed: &e}
	case choice.Waits:
		return Event{Waits: &e}
	case choice.Outage:
		return Event{Outage: &e}
	case choice.Arrived:
		e.Key = hide(e.Key)
		return Event{Arrived: &e}
	case choice.Resumed:
		e.Key = hide(e.Key)
		return Event{Resumed: &e}
	case choice.Ended:
		return Event{Ended: &e}
	case choice.Stood:
		return Event{Stood: &e}
	case choice.Dropped:
		return Event{Dropped: &e}
	case choice.Probed:
		return Event{Probed: &e}
	case choice.Rang:
		return Event{Rang: &e}
	case choice.Leaving:
		return Event{Leaving: &e}
	case choice.Heard:
		return Event{Heard: &e}
	}
	return Event{}
}

// Event unwraps it.
func (e Event) Event() (choice.Event, error) {
	switch {
	case e.Listed != nil:
		return *e.Listed, nil
	case e.Waits != nil:
		return *e.Waits, nil
	case e.Outage != nil:
		return *e.Outage, nil
	case e.Arrived != nil:
		return *e.Arrived, nil
	case e.Resumed != nil:
		return *e.Resumed, nil
	case e.Ended != nil:
		return *e.Ended, nil
	case e.Stood != nil:
		return *e.Stood, nil
	case e.Dropped != nil:
		return *e.Dropped, nil
	case e.Probed != nil:
		return *e.Probed, nil
	case e.Rang != nil:
		return *e.Rang, nil
	case e.Leaving != nil:
		return *e.Leaving, nil
	case e.Heard != nil:
		return *e.Heard, nil
	}
	return nil, fmt.Errorf("event: %w", ErrUnknownItem)
}

// ActionOf wraps an action.
func ActionOf(a choice.Action) Action {
	switch a := a.(type) {
	case choice.Send:
		return Action{Send: &a}
	case choice.PushBack:
		return Action{PushBack: &a}
	case choice.Fail:
		return Action{Fail: &a}
	case choice.Cancel:
		return Action{Cancel: &a}
	case choice.Probe:
		return Action{Probe: &a}
	case choice.HangUp:
		return Action{HangUp: &a}
	case choice.Wake:
		return Action{Wake: &a}
	case choice.Watch:
		return Action{Watch: &a}
	case choice.Note:
		return Action{Note: &a}
	}
	return Action{}
}

// Action unwraps it.
func (a Action) Action() (choice.Action, error) {
	switch {
	case a.Send != nil:
		return *a.Send, nil
	case a.PushBack != nil:
		return *a.PushBack, nil
	case a.Fail != nil:
		return *a.Fail, nil
	case a.Cancel != nil:
		return *a.Cancel, nil
	case a.Probe != nil:
		return *a.Probe, nil
	case a.HangUp != nil:
		return *a.HangUp, nil
	case a.Wake != nil:
		return *a.Wake, nil
	case a.Watch != nil:
		return *a.Watch, nil
	case a.Note != nil:
		return *a.Note, nil
	}
	return nil, fmt.Errorf("action: %w", ErrUnknownItem)
}

// modes are how items are written and read: a field that this build does not know is an error, not passed over.
func modes() (cbor.EncMode, cbor.DecMode, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, nil, err
	}
	dec, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 16, MaxArrayElements: maxItems, MaxMapPairs: 4096,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	return enc, dec, err
}

const maxItems = 1 << 20 // entries of one list
