package filefault

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// DecodeYAML reads a file of at most so many bytes into a form whose keys are all that it may have, and returns what is wrong
// with it as it stands, in its lines.
func DecodeYAML(text []byte, most int, form any) []Problem {
	if len(text) > most {
		return []Problem{{1, fmt.Sprintf("holds %d bytes, %d at most", len(text), most)}}
	}
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	err := d.Decode(form)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return []Problem{{1, "is empty"}}
	}
	words := []string{err.Error()}
	if t := (*yaml.TypeError)(nil); errors.As(err, &t) {
		words = t.Errors
	}
	problems := make([]Problem, 0, len(words))
	for _, w := range words {
		problem := Words(w)
		text, _, _ := strings.Cut(problem.Text, " in type ") // the name of a Go type says nothing to an operator
		problems = append(problems, Problem{max(problem.Line, 1), text})
	}
	return problems
}
