package record

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/maphash"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"starlingusher/choice"
	"starlingusher/delivery"
)

const (
	magic      = "cyrec\x00\x01\n"
	suffix     = ".rec"
	chunkBytes = 64 << 10    // of items in a chunk, about,
	chunkTime  = time.Second // and how long one stays open
	window     = 64 << 10    // of the compression; its memory goes with it
	queue      = 2048        // records that wait to be written
	segments   = 8           // in a full folder, about
	leastBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Options say what a Writer writes, and where.
type Options struct {
	Folder string // made if it is missing
	Bytes  int64  // that all recordings in the folder may take; the oldest segments go first. 1 MiB at least
	Name   string // of the node
	Build  string
	Log    *slog.Logger // for what can't be written; nil for none
}

// Writer is a delivery.Recorder that writes to a folder. A goroutine of its own does the work; what comes faster than
// that can write is thrown away, and the recording says so. A folder that can't be written stops the recording and
// nothing else.
type Writer struct {
	o       Options
	in      chan any
	done    chan struct{}
	missing int // records thrown away since the last that was not; of the engine's goroutine
	salt    maphash.Seed

	// Of the writer's goroutine.
	head    Header
	file    *os.File
	zip     *zstd.Encoder
	out     bytes.Buffer // compressed, not yet in the file
	items   *cbor.Encoder
	raw     counter
	written int64 // to this segment
	failed  error
}

// counter hands on to the compression and counts.
type counter struct {
	to *zstd.Encoder
	n  int64
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.to.Write(b)
	c.n += int64(n)
	return n, err
}

// The wrappers of what the engine hands over, beside delivery.Handed, Turned and Called.
type (
	opened struct {
		settings    choice.Settings
		seed        uint64
		zero, began time.Time
	}
	stepped struct {
		now     time.Duration
		events  []choice.Event
		actions []choice.Action
	}
	flush chan struct{}
)

// NewWriter opens a folder for a recording. Close has to be called after the engine has ended.
func NewWriter(o Options) (*Writer, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Bytes < leastBytes {
		return nil, fmt.Errorf("recording: %d bytes; %d at least", o.Bytes, leastBytes)
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	enc, _, err := modes()
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	w := &Writer{o: o, in: make(chan any, queue), done: make(chan struct{}), salt: maphash.MakeSeed()}
	w.zip, err = zstd.NewWriter(&w.out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	w.raw.to = w.zip
	w.items = enc.NewEncoder(&w.raw)
	go w.run()
	return w, nil
}

// Opened is delivery.Recorder's.
func (w *Writer) Opened(s choice.Settings, seed uint64, zero time.Time) {
	w.put(opened{s, seed, zero, time.Now()})
}

// Handed is delivery.Recorder's.
func (w *Writer) Handed(h delivery.Handed) { w.put(h) }

// Turned is delivery.Recorder's.
func (w *Writer) Turned(t delivery.Turned) { w.put(t) }

// Called is delivery.Recorder's.
func (w *Writer) Called(c delivery.Called) { w.put(c) }

// Noticed is delivery.Recorder's.
func (w *Writer) Noticed(at time.Duration, names []string) { w.put(Noticed{at, names}) }

// Stepped is delivery.Recorder's. A step that was told nothing and did nothing changes what comes next, since time
// passed in it: it is kept.
func (w *Writer) Stepped(now time.Duration, events []choice.Event, actions []choice.Action) {
	w.put(stepped{now, events, actions})
}

// put hands a record over, or counts it as missing. It is called by the engine's goroutine alone.
func (w *Writer) put(r any) {
	if w.missing > 0 {
		select {
		case w.in <- Missing{w.missing}:
			w.missing = 0
		default:
			w.missing++
			return
		}
	}
	select {
	case w.in <- r:
	default:
		w.missing++
	}
}

// Flush returns once all that was handed over before is in the file.
func (w *Writer) Flush() {
	f := make(flush)
	w.in <- f
	<-f
}

// Close writes what is left. The engine must have ended.
func (w *Writer) Close() error {
	if w.missing > 0 {
		w.in <- Missing{w.missing}
	}
	close(w.in)
	<-w.done
	return w.failed
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(chunkTime)
	defer tick.Stop()
	for {
		select {
		case r, more := <-w.in:
			if !more {
				w.check(w.endSegment())
				return
			}
			if f, ok := r.(flush); ok {
				w.check(w.chunk())
				close(f)
			} else if w.failed == nil {
				w.check(w.write(r))
			}
		case <-tick.C:
			w.check(w.chunk())
		}
	}
}

// check stops the recording at the first error.
func (w *Writer) check(err error) {
	if err == nil || w.failed != nil {
		return
	}
	w.failed = fmt.Errorf("recording: %w", err)
	w.o.Log.Error("the recording stops", "err", err)
	if w.file != nil {
		w.file.Close() // what is in it can be read as far as the last whole chunk
		w.file = nil
	}
}

// hide makes a key a number that only this life's recording knows.
func (w *Writer) hide(key string) string {
	if key == "" {
		return ""
	}
	return strconv.FormatUint(maphash.String(w.salt, key), 36)
}

func (w *Writer) write(r any) error {
	var item Record
	switch r := r.(type) {
	case opened:
		w.head = Header{Schema: Schema, Build: w.o.Build, Name: w.o.Name, Life: r.began.UnixNano(), Zero: r.zero.UnixNano(), Settings: r.settings, Seed: r.seed}
		return w.beginSegment()
	case stepped:
		s := &Step{Now: r.now, Events: make([]Event, len(r.events)), Actions: make([]Action, len(r.actions))}
		for i, e := range r.events {
			s.Events[i] = EventOf(e, w.hide)
		}
		for i, a := range r.actions {
			s.Actions[i] = ActionOf(a)
		}
		item.Step = s
	case delivery.Handed:
		item.Handed = &r
	case delivery.Turned:
		item.Turned = &r
	case delivery.Called:
		item.Called = &r
	case Noticed:
		item.Noticed = &r
	case Missing:
		item.Missing = &r
	}
	if w.file == nil {
		return errors.New("a record came before the engine was opened")
	}
	if err := w.items.Encode(item); err != nil {
		return err
	}
	if w.raw.n < chunkBytes {
		return nil
	}
	return w.chunk()
}

// beginSegment makes room, and opens the next file.
func (w *Writer) beginSegment() error {
	w.head.Segment++
	if err := makeRoom(w.o.Folder, w.o.Bytes-w.o.Bytes/segments-2*chunkBytes); err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%020d-%06d%s", safe(w.o.Name), w.head.Life, w.head.Segment, suffix)
	var err error
	if w.file, err = os.OpenFile(filepath.Join(w.o.Folder, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		return err
	}
	if _, err := w.file.WriteString(magic); err != nil {
		return err
	}
	w.written = int64(len(magic))
	w.out.Reset()
	w.zip.Reset(&w.out)
	return w.items.Encode(w.head)
}

// chunk writes what has gathered, and goes on to the next segment if this one is full.
func (w *Writer) chunk() error {
	if w.file == nil || w.raw.n == 0 {
		return nil
	}
	if err := w.zip.Flush(); err != nil {
		return err
	}
	if err := w.emit(); err != nil || w.written < w.o.Bytes/segments {
		return err
	}
	if err := w.endSegment(); err != nil {
		return err
	}
	return w.beginSegment()
}

func (w *Writer) emit() error {
	w.raw.n = 0
	if w.out.Len() == 0 {
		return nil
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(w.out.Len()))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(w.out.Bytes(), castagnoli))
	b = append(b, w.out.Bytes()...) // one write, so that a kill cuts one chunk at most
	w.out.Reset()
	n, err := w.file.Write(b)
	w.written += int64(n)
	return err
}

func (w *Writer) endSegment() error {
	if w.file == nil {
		return nil
	}
	if err := w.zip.Close(); err != nil {
		return err
	}
	err := errors.Join(w.emit(), w.file.Close())
	w.file = nil
	return err
}

// safe is a name as part of a file's name.
func safe(name string) string {
	return strings.Map(func(r rune) rune {
		if r < 0x80 && (r == '_' || r == '.' || (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')) {
			return r
		}
		return '_'
	}, cmp.Or(name, "node"))
}

// makeRoom removes the oldest segments of a folder, as their names tell, until the rest take no more than that many bytes.
func makeRoom(folder string, most int64) error {
	all, err := segmentsOf(folder)
	if err != nil {
		return err
	}
	slices.SortFunc(all, func(a, b segment) int { return cmp.Or(cmp.Compare(a.life, b.life), cmp.Compare(a.number, b.number)) })
	total := int64(0)
	for _, s := range all {
		total += s.size
	}
	for _, s := range all {
		if total <= most {
			break
		}
		if err := os.Remove(s.path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		total -= s.size
	}
	return nil
}

// segment is a file of a recording, as its name tells.
type segment struct {
	path, node string
	life       int64
	number     int
	size       int64
}

func segmentsOf(folder string) ([]segment, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var all []segment
	for _, e := range entries {
		s, ok := parseName(e.Name())
		if !ok {
			continue
		}
		info, err := e.Info()
		if err != nil {
			continue // it has just gone
		}
		s.path, s.size = filepath.Join(folder, e.Name()), info.Size()
		all = append(all, s)
	}
	return all, nil
}

// parseName reads NODE-LIFE-NUMBER.rec.
func parseName(name string) (s segment, ok bool) {
	base, ok := strings.CutSuffix(name, suffix)
	parts := strings.Split(base, "-")
	if !ok || len(parts) != 3 {
		return s, false
	}
	life, err := strconv.ParseInt(parts[1], 10, 64)
	number, err2 := strconv.Atoi(parts[2])
	return segment{node: parts[0], life: life, number: number}, err == nil && err2 == nil && number > 0
}
