package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingusher/internal/standin"
	"starlingusher/undelivered/recovery"
)

// tool runs the command line and returns what it writes and its exit code.
func (s *site) tool(args ...string) (out, problems string, code int) {
	s.t.Helper()
	cmd := s.command(nil, append([]string{"undelivered"}, args...)...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		s.t.Fatal(err)
	}
	return o.String(), e.String(), code
}

// rows waits until so many entries fit the flags, and returns them.
func (s *site) rows(n int, flags ...string) (rows []recovery.Row) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; {
		out, problems, code := s.tool(append([]string{"list", "--json"}, flags...)...)
		if code != 0 {
			s.t.Fatalf("exit code %d: %s", code, problems)
		}
		rows = nil
		for line := range strings.Lines(out) {
			var r recovery.Row
			if err := json.Unmarshal([]byte(line), &r); err != nil {
				s.t.Fatal(err)
			}
			rows = append(rows, r)
		}
		if len(rows) == n {
			return rows
		}
		if time.Now().After(end) {
			s.t.Fatalf("%d entries of %d: %s", len(rows), n, out)
		}
	}
}

// What a terminal would act on is not written to it.
func TestCut(t *testing.T) {
	for _, c := range []struct {
		text string
		n    int
		want string
	}{{"a\x1b[2J\n", 9, "a.[2J."}, {"kahvecioğlu", 11, "kahvecioğlu"}, {"kahvecioğlu", 10, "kahvecioğ~"}, {"", 3, ""}} {
		if got := cut(c.text, c.n); got != c.want {
			t.Errorf("%q: %q", c.text, got)
		}
	}
}

// The command line shows the same of a running node and of a stopped one, and tells by its exit code what went wrong.
func TestTheCommandLine(t *testing.T) {
	s := newSite(t, 1, standin.Each(standin.Step{Fault: standin.Silent}))
	s.write("rules.yaml", []byte("rules: []\n")) // all wait for a person
	node := s.start()
	defer func() { node.kill() }()
	long := "an-id-that-is-much-longer-than-its-column"
	ids := []string{"order", long}
	if taken := s.hand(ids, func(i int) int { return i + 1 }, func(int) int { return 0 }); len(taken) != 2 {
		t.Fatalf("got %v", taken)
	}
	rows := s.rows(2)
	check := func(when string) {
		t.Helper()
		out, problems, code := s.tool("list")
		if code != 0 || !strings.Contains(out, "2 entries") || strings.Contains(out, "body of") || strings.Contains(out, "\x1b") {
			t.Errorf("%s: %d\n%s%s", when, code, out, problems)
		}
		for line := range strings.Lines(out) {
			if n := len([]rune(strings.TrimRight(line, "\n"))); n > 100 {
				t.Errorf("%s: %d columns: %s", when, n, line)
			}
		}
		if got := s.rows(1, "--class", "prize-payout", "--waits", "person", "--newer", "1h", "--destination", "0"); got[0].ID != long {
			t.Errorf("%s: got %+v", when, got)
		}
		s.rows(0, "--status", "abandoned")
		s.rows(0, "--older", "1h")
		out, problems, code = s.tool("show", "1")
		if code != 0 || !strings.Contains(out, "may have run") || !strings.Contains(out, "branch-0") || strings.Contains(out, "body of") {
			t.Errorf("%s: %d\n%s%s", when, code, out, problems)
		}
		if out, _, code := s.tool("show", "1", "--body"); code != 0 || out != "body of "+rows[0].ID {
			t.Errorf("%s: %d %q", when, code, out)
		}
		if _, problems, code := s.tool("show", "99"); code != exitUnknown || !strings.Contains(problems, "99") {
			t.Errorf("%s: %d %q", when, code, problems)
		}
		if out, _, code := s.tool("stats"); code != 0 || !strings.Contains(out, "prize-payout") || !strings.Contains(out, "bytes on disk") {
			t.Errorf("%s: %d %s", when, code, out)
		}
		if out, _, code := s.tool("export", "--body"); code != 0 || strings.Count(out, `"body":"`) != 2 {
			t.Errorf("%s: %d %s", when, code, out)
		}
	}
	check("running")
	if _, problems, code := s.tool("decide", "applied", "1"); code == 0 || !strings.Contains(problems, "--by") {
		t.Errorf("%d %s", code, problems)
	}
	node.kill()
	check("stopped")
	if out, problems, code := s.tool("decide", "applied", "1", "--by", "night shift", "--why", "the bank shows it"); code != 0 {
		t.Fatalf("%d %s%s", code, out, problems)
	}
	if _, _, code := s.tool("resend", "1", "2", "--by", "day shift", "--why", "asked for"); code != exitMoved {
		t.Errorf("exit code %d", code) // of the first; the second is taken
	}
	if out, _, code := s.tool("history"); code != 0 || !strings.Contains(out, "night shift") || strings.Count(out, "\n") != 2 {
		t.Errorf("%d %s", code, out)
	}
	s.branches[0].Do(nil)
	node = s.start() // a decision of the time when it was stopped
	s.rows(1, "--status", "delivered")
	if n := s.ledger.Runs()[long]; n != 2 {
		t.Errorf("%d calls", n)
	}
	// A folder that is no node's, and one whose node has no keeper.
	if _, problems, code := s.tool("list", "--state", filepath.Join(s.dir, "nowhere")); code != exitFailed || !strings.Contains(problems, "nowhere") {
		t.Errorf("%d %s", code, problems)
	}
	os.Remove(filepath.Join(s.dir, "undelivered.sock"))
	if _, problems, code := s.tool("list"); code != exitFailed || !strings.Contains(problems, "another process has the store") {
		t.Errorf("%d %s", code, problems)
	}
}
