package faults

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// lastLogBytes is how much of the end of a node's log an error tells.
const lastLogBytes = 2048

// states is an error that tells, for each node, the state of its process and the end of its log.
func (f *Fleet) states() error {
	var errs []error
	for _, n := range f.nodes {
		errs = append(errs, fmt.Errorf("%s: %s, peers at %s; its log ends:\n%s", n.name, n.state(), n.talk, n.logEnd()))
	}
	return errors.Join(errs...)
}

// state tells whether the node has a process, and how the last one ended.
func (n *node) state() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return "no process"
	}
	select {
	case <-n.done:
		return fmt.Sprintf("process %d has ended: %v", n.cmd.Process.Pid, n.cmd.ProcessState)
	default:
		return fmt.Sprintf("process %d runs, wanted %v, stopped %v, told at %s", n.cmd.Process.Pid, n.wanted, n.stopped, time.Now().Format(time.RFC3339Nano))
	}
}

// logEnd is the end of a node's log.
func (n *node) logEnd() string {
	file, err := os.Open(filepath.Join(n.folder, "log"))
	if err != nil {
		return err.Error()
	}
	defer file.Close()
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return err.Error()
	}
	text := make([]byte, min(size, lastLogBytes))
	if _, err := file.ReadAt(text, size-int64(len(text))); err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text))
}
