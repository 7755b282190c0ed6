// Package jsonlines prints values as JSON, a line each.
package jsonlines

import (
	"encoding/json"
	"io"
)

// Write prints all.
func Write[T any](w io.Writer, all []T) error {
	out := json.NewEncoder(w)
	for _, x := range all {
		if err := out.Encode(x); err != nil {
			return err
		}
	}
	return nil
}
