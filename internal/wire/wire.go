// Package wire turns the simulator's JSON lines into the events of package choice and its actions into
// lines. It decides nothing and supplies no defaults: what a line leaves out stays zero.
package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"starlingusher/choice"
)

// Line is any line of a batch; Type says which fields count.
type Line struct {
	Type     string             `json:"event_type"`
	SimTime  float64            `json:"simTime"`
	Node     string             `json:"node"`
	Nonce    json.Number        `json:"nonce64"`
	Conf     json.RawMessage    `json:"conf"`
	Slot     int                `json:"slot"`
	Records  []Record           `json:"records"`
	Form     string             `json:"form"`
	Handle   string             `json:"handle"`
	Class    int                `json:"cls"`
	Owner    int                `json:"owner"`
	Key      string             `json:"nameKey"`
	DropDead float64            `json:"dropDead"`
	Hint     float64            `json:"predicted"`
	FarEnd   int                `json:"farEnd"`
	Opts     int                `json:"opts"`
	Go       int                `json:"go"`
	Endpoint string             `json:"endpoint"`
	Code     string             `json:"rc"`
	Duration float64            `json:"duration"`
	Closed   bool               `json:"closed"`
	Note     float64            `json:"note"`
	Feedback map[string]float64 `json:"feedback"`
	Tag      string             `json:"tag"`
}

// Record is one entry of a list.
type Record struct {
	Endpoint string  `json:"endpoint"`
	Zone     int     `json:"rackZone"`
	Kind     int     `json:"classOfHost"`
	Dest     int     `json:"ownerNo"`
	Phase    string  `json:"phase"`
	Heft     float64 `json:"heft"`
}

const optHint = 1 // bit of opts: the hint is valid

// Time converts milliseconds of the wire; the simulator counts whole microseconds.
func Time(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Parse reads one line of a batch.
func Parse(text []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("malformed line: %w", err)
	}
	if l.Type == "" {
		return l, fmt.Errorf("a line without event_type")
	}
	return l, nil
}

var outcomes = map[string]choice.Outcome{
	"pass": choice.Pass, "fault": choice.Fault, "no_room": choice.NoRoom, "too_slow": choice.TooSlow,
	"no_route": choice.NoRoute, "cut": choice.Cut, "undone": choice.Undone, "stale_send": choice.Stale,
}

var phases = map[string]choice.Phase{
	"healthy": choice.Ready, "cordoned": choice.Draining, "deregistered": choice.Gone,
}

// Entries converts the records of a list.
func Entries(records []Record) ([]choice.Entry, error) {
	list := make([]choice.Entry, 0, len(records))
	for _, r := range records {
		phase, ok := phases[r.Phase]
		if !ok {
			return nil, fmt.Errorf("endpoint %q has unknown phase %q", r.Endpoint, r.Phase)
		}
		list = append(list, choice.Entry{
			Endpoint: r.Endpoint, Zone: r.Zone, Kind: r.Kind, Dest: r.Dest, Phase: phase, Weight: r.Heft,
		})
	}
	return list, nil
}

// Event converts a line addressed to one instance. It returns nil for lines that carry nothing to decide on.
// An Announce needs the entries of its list, which the caller keeps.
func Event(l Line, lists map[int][]choice.Entry) (choice.Event, error) {
	switch l.Type {
	case "Announce":
		if l.Form == "broken" {
			return choice.Listed{Failed: true}, nil
		}
		if l.Form != "patch" && l.Form != "whole" && l.Form != "stale_copy" {
			return nil, fmt.Errorf("Announce of unknown form %q", l.Form)
		}
		entries, ok := lists[l.Slot]
		if !ok {
			return nil, fmt.Errorf("Announce names list %d, which was never sent", l.Slot)
		}
		return choice.Listed{Whole: l.Form != "patch", Entries: entries}, nil
	case "Query":
		ev := choice.Arrived{
			ID: l.Handle, Class: l.Class, Tenant: l.Owner, Dest: l.FarEnd, Key: l.Key, DropDead: Time(l.DropDead),
		}
		if l.Opts&optHint != 0 {
			ev.Hint = Time(l.Hint)
		}
		return ev, nil
	case "AttemptEnd":
		o, ok := outcomes[l.Code]
		if !ok {
			return nil, fmt.Errorf("AttemptEnd with unknown rc %q", l.Code)
		}
		ev := choice.Ended{
			ID: l.Handle, Attempt: l.Go, Endpoint: l.Endpoint, Outcome: o, Took: Time(l.Duration),
			Closed: l.Closed, Report: report(l.Feedback),
		}
		if o == choice.NoRoom {
			ev.Wait = Time(l.Note)
		}
		ev.NoSlot = o == choice.Stale && l.Note != 0
		return ev, nil
	case "Echo":
		o, ok := outcomes[l.Code]
		if !ok {
			return nil, fmt.Errorf("Echo with unknown rc %q", l.Code)
		}
		return choice.Probed{
			Endpoint: l.Endpoint, Outcome: o, Took: Time(l.Duration), Report: report(l.Feedback),
		}, nil
	case "Dropped":
		return choice.Dropped{ID: l.Handle}, nil
	case "Ring":
		return choice.Rang{Tag: l.Tag}, nil
	case "Memo", "UnderWay":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown event %q", l.Type)
}

func report(f map[string]float64) choice.Report {
	var r choice.Report
	r.Left, r.HasLeft = f["x0"]
	r.Limit, r.HasLimit = f["x1"]
	return r
}

// Action converts an action of the instance named node into its line.
func Action(node string, a choice.Action) ([]byte, error) {
	o := map[string]any{"node": node}
	switch a := a.(type) {
	case choice.Send:
		o["event_type"], o["handle"], o["endpoint"] = "Transmit", a.ID, a.Endpoint
		o["notPast"] = millis(a.NotPast)
	case choice.PushBack:
		o["event_type"], o["handle"], o["holdOff"] = "PushBack", a.ID, millis(a.RetryAfter)
	case choice.Fail:
		o["event_type"], o["handle"] = "RespondError", a.ID
	case choice.Cancel:
		o["event_type"], o["handle"], o["go"] = "Recall", a.ID, a.Attempt
	case choice.Probe:
		o["event_type"], o["endpoint"] = "Test", a.Endpoint
	case choice.HangUp:
		o["event_type"], o["endpoint"] = "HangUp", a.Endpoint
	case choice.Wake:
		o["event_type"], o["when"], o["tag"] = "Defer", millis(a.At), a.Tag
	case choice.Watch:
		o["event_type"], o["enable"] = "Track", true
	case choice.Note:
		o["event_type"], o["text"] = "JournalLine", a.Text
	default:
		return nil, fmt.Errorf("no line for action %T", a)
	}
	return json.Marshal(o)
}

// Broken is the line that reports a crash of the decision code.
func Broken(node, text string) []byte {
	b, err := json.Marshal(map[string]string{"event_type": "Broken", "node": node, "text": text})
	if err != nil {
		return []byte(`{"event_type":"Broken"}`)
	}
	return b
}

// Done ends a reply.
const Done = `{"event_type":"Done"}`
