package peers

import (
	"os"
	"strings"
	"testing"
	"time"
)

const good = "name: n1\nlisten: 127.0.0.1:7401\nseeds: [127.0.0.1:7402]\nvoters: [n1, n2, n3]\n"

// The file that is shipped is read, and a wrong one says what is wrong in which line.
func TestParse(t *testing.T) {
	text, err := os.ReadFile("../deploy/peers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("peers.yaml", text)
	if err != nil || f.Name != "n1" || len(f.Voters) != 3 || f.Advertise != f.Listen || f.Term != defaultTerm {
		t.Fatalf("%+v, %v", f, err)
	}
	for _, c := range []struct{ text, want string }{
		{"", "peers.yaml:1: is empty"},
		{"nam: x\n", "peers.yaml:1: field nam not found"},
		{good + "term: soon\n", `peers.yaml:5: term "soon": a time from 100ms to 1h0m0s`},
		{good + "drift: 0.9\n", "peers.yaml:5: drift 0.9: a share between 0 and 0.5"},
		{good + "drift: x\n", `peers.yaml:5: "x" is not of the kind`},
		{strings.Replace(good, "n3]", "n2]", 1), `peers.yaml:4: voter "n2" stands twice`},
		{strings.Replace(good, ", n3]", "]", 1), "peers.yaml:4: 2 voters: an odd number of them"},
		{strings.Replace(good, "voters: [n1, n2, n3]\n", "", 1), "peers.yaml:1: voters are missing"},
		{strings.Replace(good, "127.0.0.1:7401", "here", 1), `peers.yaml:2: listen "here": a host and a port`},
		{strings.Replace(good, "listen: 127.0.0.1:7401\n", "", 1), "peers.yaml:1: listen is missing"},
		{strings.Replace(good, "name: n1", "name: n 1", 1), `peers.yaml:1: name "n 1": 1 to 64 visible`},
		{good + "addresses: {n2: x}\n", `peers.yaml:5: addresses "x": a host and a port`},
		{good + "leases: {discovery: all}\n", `peers.yaml:5: discovery "all": "fleet" or "zone"`},
		{good + "leases: {discovery: zone}\n", "peers.yaml:5: discovery \"zone\": this node's zone is not given"},
		{good + "leases:\n  duties: [{name: a, url: x, every: 1s}]\n", `peers.yaml:6: duty "a": url "x": an http or https URL`},
		{good + "leases:\n  duties: [{name: a, url: \"http://h/\"}]\n", `peers.yaml:6: duty "a": every is missing`},
		{good + "leases:\n  term: 1s\n  duties:\n    - {name: a, url: \"http://h/\", every: 1s, within: 900ms}\n", `peers.yaml:8: within "900ms": a time from 1ms to 500ms`},
		{strings.Repeat("#", maxFile+1), "peers.yaml:1: holds"},
	} {
		if _, err := Parse("peers.yaml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60q: %v, want %s", c.text, err, c.want)
		}
	}
}

// The part on leases that is shipped as an example is read.
func TestParseLeases(t *testing.T) {
	text, err := os.ReadFile("../deploy/peers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, example, ok := strings.Cut(string(text), "\n# leases:\n")
	if !ok {
		t.Fatal("no example")
	}
	f, err := Parse("peers.yaml", []byte(string(text)+"leases:"+strings.ReplaceAll("\n"+example, "\n# ", "\n")))
	if err != nil || f.Leases == nil || f.Leases.Discovery != Fleet || !f.Leases.Trials || len(f.Leases.Duties) != 1 || f.Leases.Duties[0].Every != time.Minute {
		t.Fatalf("%+v, %v", f, err)
	}
}

// No file ends the reader.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(good + "addresses: {n2: 127.0.0.1:1}\nperiod: 1s\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("peers.yaml", text)
		if err == nil && (len(file.Voters)%2 == 0 || file.Listen == "" || file.Term <= 0 || file.Drift < 0) {
			t.Fatalf("%+v", file)
		}
	})
}
