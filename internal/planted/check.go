package planted

import (
	"path/filepath"
	"testing"
)

// Check plants each fault by itself and fails the test where the tests that match the pattern do not find it. With -v it
// tells by which each was found. It runs the go command, and is left out by -short.
func Check(t *testing.T, root, pkg, pattern string, faults []Fault) {
	t.Helper()
	if testing.Short() {
		t.Skip("builds the package anew for each fault")
	}
	root, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range faults {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			by, err := Found(t.Context(), root, t.TempDir(), pkg, pattern, f)
			switch {
			case err != nil:
				t.Fatal(err)
			case len(by) == 0:
				t.Fatalf("not found by any test of %s that matches %s", pkg, pattern)
			}
			t.Logf("found by %v", by)
		})
	}
}
