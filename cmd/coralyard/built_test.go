package main

import (
	"debug/elf"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// What the deploy file builds is loaded by the C library's loader: where a platform leads a process's calls by a library of its
// own, a program without an interpreter would pass it by. CORALYARD_BUILT names the folder.
func TestBuiltAgainstTheCLibrary(t *testing.T) {
	folder := os.Getenv("CORALYARD_BUILT")
	if folder == "" {
		t.Skip("CORALYARD_BUILT names no folder")
	}
	f, err := elf.Open(filepath.Join(folder, "coralyard"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("it names no interpreter")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("it needs %v, %v", libraries, err)
	}
}
