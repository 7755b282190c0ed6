package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// labCommand starts the laboratory, which is a program of its own beside this one: what it draws and solves with has no place
// in the memory of a node.
type labCommand struct {
	Args []string `arg:"" optional:"" help:"What the laboratory is told."`
}

// Run becomes the laboratory.
func (c labCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), "lab")
	err = syscall.Exec(path, append([]string{"coralyard lab"}, c.Args...), os.Environ())
	return fmt.Errorf("%s: %w", path, err)
}
