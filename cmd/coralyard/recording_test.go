package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/standin"
	"starlingusher/record"
	"starlingusher/record/account"
)

// recording runs the command line on a folder.
func (s *site) recording(args ...string) (out, problems string, failed bool) {
	s.t.Helper()
	cmd := s.command(nil, append([]string{"recording"}, args...)...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	return o.String(), e.String(), err != nil
}

// A daemon that records accounts for each message on sockets, and its recording is read by the command line, also when
// it is damaged.
func TestRecording(t *testing.T) {
	s := newSite(t, 2, standin.Each(standin.Step{}))
	folder := filepath.Join(s.dir, "recordings")
	node := s.start(recordingVariable+"="+folder, recordingBytes+"=1")
	ids := make([]string, 60)
	for i := range ids {
		ids[i] = fmt.Sprint("id-", i)
	}
	taken := s.handAs(ids, func(i int) string { // with time for a machine that is busy
		return fmt.Sprintf("c=%s,d=%d,dest=%d,k=key-%s", bankClasses[i%3], patience.Milliseconds(), i%2, ids[i])
	})
	if len(taken) != len(ids) {
		t.Fatalf("%d of %d are taken on", len(taken), len(ids))
	}
	for end := time.Now().Add(patience); len(s.ledger.Calls()) < len(ids); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not all messages are sent")
		}
	}
	if err := node.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := node.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, node.log.String())
	}
	var all struct {
		record.Header
		account.Report
	}
	out, problems, failed := s.recording("account", folder, "--json")
	if err := json.Unmarshal([]byte(out), &all); err != nil || failed {
		t.Fatal(err, problems)
	}
	if len(all.Messages) != len(ids) || all.Untrusted != "" || all.Seed == 0 {
		t.Fatalf("%d messages of %d; %q; seed %d", len(all.Messages), len(ids), all.Untrusted, all.Seed)
	}
	second := 0 // calls at the second branch, a repeat of a slow one among them
	for _, c := range s.ledger.Calls() {
		if i, err := strconv.Atoi(strings.TrimPrefix(c.ID, "id-")); err == nil && i%2 == 1 {
			second++
		}
	}
	dialled := false
	for _, m := range all.Messages {
		sum := time.Duration(0)
		for _, d := range m.Spans {
			sum += d
		}
		if m.Fate != account.Delivered || sum != m.Life() || m.Spans[account.Wire] <= 0 {
			t.Errorf("%s: %v, %v of %v, %v\n%s", m.ID, m.Fate, sum, m.Life(), m.Spans, node.linesOf(m.ID))
		}
		dialled = dialled || m.Spans[account.Dial] > 0
	}
	if !dialled {
		t.Error("no message waited for a new connection")
	}
	for _, c := range []struct {
		args  []string
		wants string // in the output, or in the error
		fails bool
	}{
		{[]string{"show", folder}, "can be played again", false},
		{[]string{"show", folder, "--records"}, `"Handed"`, false},
		{[]string{"account", folder, "--dest", "1"}, "30 messages", false},
		{[]string{"explain", folder, "--message", "id-7"}, "delivered after", false},
		{[]string{"explain", folder, "--dest", "0", "--every", "10ms"}, "branch-0", false},
		{[]string{"explain", folder, "--every", "10ms"}, "--dest", true},
		{[]string{"explain", folder, "--message", "nobody"}, "no such message", true},
		{[]string{"account", folder, "--life", "2"}, "there are 1", true},
		{[]string{"account", folder, "--window", "0s"}, "--window", true},
		{[]string{"fleet", folder, "--all", "--dest", "1"}, fmt.Sprintf("1 nodes, %d calls, 0 refused", second), false},
		{[]string{"fleet", folder, "--all", "--json"}, `"Passed"`, false},
		{[]string{"fleet", folder, "--window", "0s"}, "--window", true},
		{[]string{"fleet", s.dir}, "no recording", true},
		{[]string{"account", filepath.Join(s.dir, "nothing")}, "no such file", true},
		{[]string{"account", s.dir}, "no recording", true},
		{[]string{"account", filepath.Join(s.dir, "node.json")}, "not a segment", true},
	} {
		out, problems, failed := s.recording(c.args...)
		if failed != c.fails || !strings.Contains(out+problems, c.wants) {
			t.Errorf("%v: failed %v: %s%s", c.args, failed, out, problems)
		}
	}
	lives, err := record.Lives(folder)
	if err != nil || len(lives) != 1 {
		t.Fatal(lives, err)
	}
	info, err := os.Stat(lives[0].Files[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(lives[0].Files[0], info.Size()-3); err != nil {
		t.Fatal(err)
	}
	if out, problems, failed := s.recording("account", folder); failed || !strings.Contains(problems, "at byte") || !strings.Contains(out, "messages") {
		t.Errorf("of a segment that is cut short: %v, %s%s", failed, out, problems)
	}
}

// A size that is none stops the start: what is meant can't be known.
func TestRecordingThatCantBe(t *testing.T) {
	s := newSite(t, 1, standin.Each(standin.Step{}))
	cmd := s.command([]string{recordingVariable + "=" + filepath.Join(s.dir, "r"), recordingBytes + "=many"})
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), recordingBytes) {
		t.Errorf("%v: %s", err, out)
	}
}
