package main

import (
	"strings"
	"testing"

	"starlingusher/choice"
)

const born = `{"event_type":"Turn","simTime":1000}
{"event_type":"Manifest","slot":0,"records":[{"endpoint":"endpoint-a","ownerNo":7,"phase":"healthy","heft":5}]}
{"event_type":"Born","node":"node-0","nonce64":18446744073709551615,"conf":{"categories":[{"aim":1000,"deadline":5000,"effect":"idempotent","worth":1}]}}
{"event_type":"Announce","node":"node-0","form":"stale_copy","gen":1,"slot":0}
{"event_type":"YourTurn"}
`

func TestConversation(t *testing.T) {
	var out strings.Builder
	err := run(strings.NewReader(born+`
{"event_type":"Turn","simTime":1005}
{"event_type":"Query","node":"node-0","handle":"h","dropDead":6005,"farEnd":7}
{"event_type":"YourTurn"}
{"event_type":"Turn","simTime":1100}
{"event_type":"AttemptEnd","node":"node-0","handle":"h","rc":"pass","endpoint":"endpoint-a","closed":true,"duration":95}
{"event_type":"Down","node":"node-0"}
{"event_type":"YourTurn"}
`), &out)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 5 || !strings.Contains(lines[1], `"Transmit"`) || !strings.Contains(lines[1], `"endpoint-a"`) {
		t.Errorf("unexpected reply:\n%s", out.String())
	}
}

func TestBadInput(t *testing.T) {
	turn := "{\"event_type\":\"Turn\",\"simTime\":1}\n"
	for _, c := range []struct{ in, says string }{
		{turn + "{oops\n", "line 2: malformed"},
		{turn + `{"event_type":"Knock","node":"node-0"}` + "\n", "never born"},
		{born + turn + `{"event_type":"Knock","node":"node-0"}` + "\n", `unknown event "Knock"`},
		{turn + `{"event_type":"Ring","node":"node-9"}` + "\n", `Ring for "node-9", which was never born`},
		{turn + `{"event_type":"Down","node":"node-9"}` + "\n", "never born"},
		{born + turn + `{"event_type":"Announce","node":"node-0","form":"whole","slot":5}` + "\n", "list 5, which was never sent"},
		{turn + turn, "Turn inside a batch"},
		{`{"event_type":"YourTurn"}` + "\n", "outside a batch"},
		{turn, "input ends inside a batch"},
		{turn + `{"event_type":"Born","node":"node-0","nonce64":1.5,"conf":{}}` + "\n", "nonce64"},
	} {
		var out strings.Builder
		err := run(strings.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%q: error %v, want one that says %q", c.in, err, c.says)
		}
	}
}

// A panic of the decision code becomes a Broken line with its text, never silence.
func TestPanicBecomesBroken(t *testing.T) {
	var out strings.Builder
	h := newHost(&out)
	h.nodes["node-0"] = (*choice.Sender)(nil)
	if err := h.step(1, "node-0", nil); err != nil {
		t.Fatal(err)
	}
	h.out.Flush()
	if !strings.Contains(out.String(), `"Broken"`) || !strings.Contains(out.String(), "nil pointer") {
		t.Errorf("got %q", out.String())
	}
}
