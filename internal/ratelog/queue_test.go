package ratelog

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a process that waits for the reader of its log, and against lines that are dropped with no word.
func TestAReaderThatStandsStillHoldsNobodyAndIsToldWhatItMissed(t *testing.T) {
	r, out := io.Pipe()
	w := NewQueue(out, 100)
	const lines = 50
	line := strings.Repeat("x", 29) + "\n"
	for range lines {
		w.Write([]byte(line))
	}
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(r) // it has no other end than the pipe's
		read <- string(all)
	}()
	w.Close(10 * time.Second)
	out.Close()
	text := <-read
	dropped := 0
	for _, told := range regexp.MustCompile(`count=(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(told[1])
		if err != nil {
			t.Fatal(err)
		}
		dropped += n
	}
	if got := strings.Count(text, line) + dropped; got != lines || dropped < lines-8 {
		t.Errorf("%d lines, %d of them dropped, of %d: %q", got, dropped, lines, text)
	}
}

// Guards against the last lines before an end that are lost, and an end that waits for a reader.
func TestTheLastLinesAreWrittenAndAnEndWaitsForNoReader(t *testing.T) {
	var out bytes.Buffer
	w := NewQueue(&out, 1<<10)
	w.Write([]byte("last\n"))
	w.Close(10 * time.Second)
	if out.String() != "last\n" {
		t.Errorf("written: %q", out.String())
	}
	_, stuck := io.Pipe()
	w = NewQueue(stuck, 1<<10)
	w.Write([]byte("nobody reads this\n"))
	w.Close(time.Millisecond)
	stuck.Close()
	<-w.done
}
