// Package filefault tells what is wrong with an operators' file, line by line.
package filefault

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	Line int // 0 for the file as a whole
	Text string
}

// FileError lists all the problems of a file, in the order of their lines.
type FileError struct {
	File     string
	Problems []Problem
}

// New puts problems in the order of their lines.
func New(file string, problems []Problem) *FileError {
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &FileError{file, problems}
}

func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		if p.Line == 0 {
			lines = append(lines, fmt.Sprintf("%s: %s", e.File, p.Text))
		} else {
			lines = append(lines, fmt.Sprintf("%s:%d: %s", e.File, p.Line, p.Text))
		}
	}
	return strings.Join(lines, "\n")
}

// Words takes the line out of a YAML reader's words, "yaml: line 3: ...".
func Words(text string) Problem {
	text = strings.TrimPrefix(text, "yaml: ")
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		number, words, _ := strings.Cut(rest, ": ")
		if n, err := strconv.Atoi(number); err == nil {
			return Problem{n, words}
		}
	}
	return Problem{0, text}
}
