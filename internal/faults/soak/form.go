package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
)

// listForm is how a watch writes its lists. The platform allows each form.
type listForm int

const (
	oneLine listForm = iota
	indented
	inPieces // indented, each line flushed by itself
	listForms
)

// write writes a list and its line end, and flushes it.
func (f listForm) write(w io.Writer, out *http.ResponseController, list string) error {
	if f == oneLine {
		io.WriteString(w, list+"\n") // the flush tells of an error
		return out.Flush()
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(list), "", "  "); err != nil {
		return err
	}
	text.WriteByte('\n')
	if f == indented {
		w.Write(text.Bytes())
		return out.Flush()
	}
	for line := range bytes.Lines(text.Bytes()) {
		w.Write(line)
		if err := out.Flush(); err != nil {
			return err
		}
	}
	return nil
}
