package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a message that its partner was told to be processed and that ends with nobody told and nothing kept: each is told to the platform as
// failed, and kept as undelivered where that is on, whatever happens between its receipt and its end.
func TestMessagesTakenOverAS2HaveAnEndThatSomebodyHears(t *testing.T) {
	const count, life = 5, time.Second
	for _, c := range []struct {
		name   string
		keeps  bool
		kill   time.Duration // of the node, after the last receipt; 0 for none
		refuse int           // posts of notices that are refused before
	}{
		{"kept", true, 0, 0},
		{"nothing kept", false, 0, 0},
		{"killed before the end", true, life / 4, 0},
		{"killed around the end", true, life, 0},
		{"notices refused at first", false, 0, 20},
		{"killed while notices are refused", true, life + life/2, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newAS2Site(t, 2, func(int) string { return "signed" })
			text, err := os.ReadFile(filepath.Join(s.dir, "as2.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			s.write("as2.yaml", bytes.ReplaceAll(text, []byte("life: 20s"), []byte("life: "+life.String())))
			environment := []string{as2Variable + "=" + filepath.Join(s.dir, "as2.yaml")}
			if !c.keeps {
				environment = append(environment, undeliveredVariable+"=")
			}
			node := s.start(environment...)
			s.branches[0].Refuse()
			s.discovery.RefusePosts(c.refuse)
			receipts := map[string][]byte{}
			for i := range count {
				id := fmt.Sprintf("<advice-%d@bank>", i)
				for receipts[id] == nil {
					if body, ok := s.advise(id); ok {
						receipts[id] = body
					}
				}
			}
			due := time.Now().Add(life)
			if c.kill > 0 {
				time.Sleep(c.kill)
				node.kill()
				node = s.start(environment...)
			}
			failed := func() int {
				ids := map[string]bool{}
				for _, n := range s.discovery.Notices() {
					if n.State == "failed" && strings.HasPrefix(n.ID, "as2-") {
						ids[n.ID] = true
					}
				}
				return len(ids)
			}
			for failed() < count {
				if time.Since(due) > patience {
					t.Fatalf("%d of %d ends are told: %v\n%s", failed(), count, s.discovery.Notices(), node.log.String())
				}
				time.Sleep(time.Millisecond)
			}
			if late := time.Since(due); c.kill == 0 && c.refuse == 0 && late > 300*time.Millisecond {
				t.Errorf("the last end is told %v after its time", late)
			}
			if c.keeps {
				s.rows(count)
			}
			if err := s.branches[0].Accept(); err != nil {
				t.Fatal(err)
			}
			for id, first := range receipts {
				if again, ok := s.advise(id); !ok || !bytes.Equal(again, first) {
					t.Errorf("%s has another receipt after its end", id)
				}
			}
			node.Process.Signal(syscall.SIGTERM)
			if err := node.Wait(); err != nil {
				t.Errorf("%v\n%s", err, node.log.String())
			}
			if runs := s.ledger.Runs(); len(runs) > 0 {
				t.Errorf("sent after their ends: %v", runs)
			}
		})
	}
}
