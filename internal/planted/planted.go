// Package planted shows that tests can fail: it runs a package's tests on a copy of its source in which a fault was planted,
// and tells whether they found it. The copy is an overlay of the go command's; no file of the tree is changed.
package planted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Fault is one that is planted: in a file below the module's root, Old, which stands there once, becomes New.
type Fault struct {
	Name           string
	File, Old, New string
}

// Overlay writes the fault's overlay into a folder and returns its path, for go build and go test.
func (f Fault) Overlay(root, folder string) (string, error) {
	file := filepath.Join(root, f.File)
	source, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(source), f.Old); n != 1 {
		return "", fmt.Errorf("planted %q: its line stands %d times in %s", f.Name, n, f.File)
	}
	copied := filepath.Join(folder, "planted.go")
	if err := os.WriteFile(copied, []byte(strings.Replace(string(source), f.Old, f.New, 1)), 0o600); err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{file: copied}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "overlay.json")
	return path, os.WriteFile(path, overlay, 0o600)
}

// Found runs the tests of a package, which uses rapid, that match a pattern, with the fault planted. It returns which of them failed, none if
// the fault was not found. What is no verdict, as source that does not build, is an error.
func Found(ctx context.Context, root, folder, pkg, pattern string, f Fault) ([]string, error) {
	overlay, err := f.Overlay(root, folder)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-failfast", "-overlay", overlay, "-run", pattern, pkg, "-rapid.shrinktime=1s", "-rapid.nofailfile")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		return nil, fmt.Errorf("planted %q: %w", f.Name, err)
	}
	var names []string
	for line := range strings.Lines(string(out)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "--- FAIL: "); ok {
			names = append(names, strings.Fields(name)[0])
		}
	}
	if err != nil && len(names) == 0 {
		return nil, fmt.Errorf("planted %q: no verdict: %s", f.Name, out)
	}
	return names, nil
}
