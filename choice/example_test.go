package choice_test

import (
	"fmt"
	"time"

	"starlingusher/choice"
)

// A delivery node gives the module its settings once, then feeds it events and carries out the actions.
func Example() {
	sender := choice.New(choice.Settings{
		Classes: []choice.Class{{Aim: 2 * time.Second, Deadline: 20 * time.Second, Worth: 1, Effect: choice.Keyed,
			Window: 10 * time.Second, GroupAll: true}},
		Fleet: 3, Slots: 10, MaxOpen: 100, MaxAttempts: 6, MaxRetryAfter: 3 * time.Second,
	}, 42)

	now := time.Duration(0) // the node's own clock; Step must never see it go back
	sender.Step(now, []choice.Event{choice.Listed{Whole: true, Entries: []choice.Entry{{Endpoint: "bank-1", Dest: 7}}}})

	now += 10 * time.Millisecond
	order := choice.Arrived{ID: "order-1", Class: 0, Dest: 7, DropDead: now + 20*time.Second}
	for _, a := range sender.Step(now, []choice.Event{order}) {
		switch a := a.(type) {
		case choice.Send:
			fmt.Println("call", a.Endpoint, "with", a.ID)
		case choice.PushBack:
			fmt.Println("refuse", a.ID, "for", a.RetryAfter)
		case choice.Wake:
			fmt.Println("step again in", a.At-now, "if no news comes before")
		}
	}
	// Output:
	// call bank-1 with order-1
	// step again in 19.985s if no news comes before
}
