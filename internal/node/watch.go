package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"starlingusher/fleet"
	"starlingusher/internal/node/jsonstream"
)

const (
	maxListBytes = 4 << 20 // of one object of a watch
	// An empty line comes every 2 s. A watch without one has died, though its connection may not show it, and what
	// changes counts as told to the node 4 s later all the same. A new watch is answered at once.
	watchSilence = 2500 * time.Millisecond
	// A watch that stood for so long and broke is opened again soon: what is told meanwhile counts, and a drain has a
	// grace of 250 ms. One that breaks sooner is no better than one that is not answered.
	watchStood     = time.Second
	longestRewatch = 100 * time.Millisecond
	// longestObject is how long an object of a watch may take from its first byte to its last. Others are opened beside a watch that is
	// silent meanwhile, so that the bound is for memory and connections alone, and a list on a slow way comes through.
	longestObject = 2 * time.Minute
	// mostWatches stand at a time: the oldest, which is the next one to be answered if discovery is slow, and the latest ones.
	mostWatches = 3
)

// A watch may have so many lines in a second that tell nothing new, empty ones among them, where one comes every 2 s.
const (
	mostIdleLines = 100
	idleLinesSpan = time.Second
)

var (
	// errSilent says that a watch has no line for too long.
	errSilent = fmt.Errorf("watch: no line for %v", watchSilence)
	// errIdleLines says that a watch has lines without end.
	errIdleLines = fmt.Errorf("watch: over %d lines in %v that tell nothing", mostIdleLines, idleLinesSpan)
	// errRenumbered says that discovery has told a later revision before: another process is at its address, which counts anew.
	errRenumbered = errors.New("watch: the revisions are those of another process")
	// errUnfinished says that an object of a watch has not come whole in its time.
	errUnfinished = fmt.Errorf("watch: an object is not whole after %v", longestObject)
)

// watcher follows discovery by one watch after another. A watch that is silent stays open until a later one has heard something: if
// discovery was silent, the open watch hears at once what counts from its return, and if it is slow, a watch that is ended at a bound
// and asked for again would never be answered.
type watcher struct {
	log    *slog.Logger
	client *http.Client
	addr   string
	tell   func(list) error
	keeps  bool // silent watches stay open

	mu       sync.Mutex
	after    int64         // the revision that was told last
	itsOwn   bool          // it was told by this discovery, and not by a configuration or by another one
	standing []*openWatch  // oldest first
	broke    chan struct{} // holds a token when one that had heard something, and was not the latest, may have ended
}

// openWatch is one watch, from its request to its end.
type openWatch struct {
	began   time.Time
	silence *time.Timer
	end     context.CancelFunc
	line    time.Time // when a line came last; zero for none yet
	heard   bool
	told    bool          // of members
	done    chan struct{} // closed when it has ended,
	err     error         // for this reason
}

// watch follows discovery until the context ends, and hands each list on. One that is not taken ends its watch,
// and is asked for again. All nodes of the fleet ask the same discovery. Where nodes watch for each other, keeps is false: as few
// watches as can be are to be open.
func watch(ctx context.Context, log *slog.Logger, client *http.Client, addr string, after int64, nodes int, keeps bool, tell func(list) error) {
	w := &watcher{log: log, client: client, addr: addr, after: after, tell: tell, keeps: keeps, broke: make(chan struct{}, 1)}
	var asking fleet.Asking
	var open sync.WaitGroup
	defer open.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for ctx.Err() == nil {
		own, end := context.WithCancel(ctx)
		o := w.open(end)
		open.Go(func() {
			defer close(o.done)
			defer end()
			o.err = w.follow(own, o)
			w.ended(o)
		})
		err := w.await(o)
		if errors.Is(err, errSilent) && !w.keeps {
			end()
			<-o.done
		}
		if o.silence.Stop(); w.hasTold(o) {
			asking.Told()
		}
		if ctx.Err() == nil {
			pause := w.pause(o, err, &asking, nodes)
			log.Info("watch ended", "discovery", addr, "after", w.revision(), "err", err, "again_in", pause)
			w.rest(ctx, pause)
		}
	}
}

// await waits until the latest watch has ended, or all that stand are silent, and returns why another one is to be opened.
func (w *watcher) await(o *openWatch) error {
	for {
		select {
		case <-o.done:
			return o.err
		case <-o.silence.C:
		case <-w.broke:
		}
		left := w.untilSilent(o)
		if left <= 0 {
			return errSilent
		}
		o.silence.Reset(left)
	}
}

// untilSilent is the time after which the latest watch counts as silent, if no line comes before: it has had its time, and no earlier one
// serves in its place.
func (w *watcher) untilSilent(o *openWatch) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := o.began
	for _, one := range w.standing {
		if one.line.After(last) {
			last = one.line
		}
	}
	return watchSilence - time.Since(last)
}

// rest waits until the next watch is to be opened: for a pause, or for a short one from when the last watch that stands breaks.
func (w *watcher) rest(ctx context.Context, pause time.Duration) {
	var broken chan struct{}
	w.mu.Lock()
	if len(w.standing) > 0 {
		broken = w.standing[len(w.standing)-1].done
	}
	w.mu.Unlock()
	over := time.NewTimer(pause)
	defer over.Stop()
	select {
	case <-ctx.Done():
	case <-over.C:
	case <-broken:
		sleep(ctx, min(pause, rand.N(longestRewatch)))
	}
}

// ended notes that a watch has ended.
func (w *watcher) ended(o *openWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.standing, o)
	if i < 0 {
		return // another one has taken its place
	}
	latest := i == len(w.standing)-1
	w.standing = slices.Delete(w.standing, i, i+1)
	if o.heard && !latest {
		select {
		case w.broke <- struct{}{}:
		default:
		}
	}
}

// pause is the time until the next watch is opened after one has ended with an error. A dial that has reached nobody adds nothing to
// what discovery has to do.
func (w *watcher) pause(o *openWatch, err error, asking *fleet.Asking, nodes int) time.Duration {
	if hasReachedNobody(err) || errors.Is(err, errRenumbered) {
		return rand.N(longestRewatch)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.heard && err != errSilent && !errors.Is(err, errBehind) && !errors.Is(err, errIdleLines) && time.Since(o.began) >= watchStood {
		return rand.N(longestRewatch)
	}
	heard := o.began
	if o.line.After(heard) {
		heard = o.line
	}
	return asking.Failed(nodes, time.Since(heard), rand.Float64())
}

// open begins a watch.
func (w *watcher) open(end context.CancelFunc) *openWatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := &openWatch{began: time.Now(), silence: time.NewTimer(watchSilence), end: end, done: make(chan struct{})}
	w.standing = append(w.standing, o)
	if len(w.standing) > mostWatches {
		w.standing[1].end()
		w.standing = slices.Delete(w.standing, 1, 2)
	}
	return o
}

// endBefore ends the watches whose place one has taken. The lock is held.
func (w *watcher) endBefore(o *openWatch) {
	i := slices.Index(w.standing, o)
	for _, before := range w.standing[:max(i, 0)] {
		before.end()
	}
	w.standing = slices.Delete(w.standing, 0, max(i, 0))
}

// came notes that an empty line or an object came.
func (w *watcher) came(o *openWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o.line = time.Now()
	o.silence.Reset(watchSilence)
}

func (w *watcher) revision() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.after
}

// hasTold tells whether discovery has told something by a watch, be it that nothing has changed while the watch stood.
func (w *watcher) hasTold(o *openWatch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return o.told || (o.heard && time.Since(o.began) >= watchSilence)
}

// follow reads one watch to its end.
func (w *watcher) follow(ctx context.Context, o *openWatch) error {
	after := w.revision()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := w.ask(ctx, after)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	unfinished := time.AfterFunc(longestObject, func() { cancel(errUnfinished) })
	unfinished.Stop()
	defer unfinished.Stop()
	objects := jsonstream.NewReader(resp.Body, maxListBytes)
	reading := listsOfWatch{watcher: w, watch: o, after: after}
	for {
		event, err := objects.Next()
		if err != nil {
			return w.broken(ctx, err)
		}
		if event == jsonstream.Begun {
			unfinished.Reset(longestObject)
			continue
		}
		unfinished.Stop()
		w.came(o)
		if event == jsonstream.EmptyLine {
			err = reading.emptyLine()
		} else {
			err = reading.object(objects.Bytes())
		}
		if err != nil {
			return err
		}
	}
}

// ask requests a watch of what changed after a revision.
func (w *watcher) ask(ctx context.Context, after int64) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&after=%d", w.addr, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("watch: %s", resp.Status)
	}
	return resp, nil
}

// broken is why a watch can't be read any further.
func (w *watcher) broken(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errUnfinished) {
		return cause
	}
	return fmt.Errorf("watch: %w", err)
}

// listsOfWatch takes what one watch tells, in order.
type listsOfWatch struct {
	*watcher
	watch *openWatch
	after int64 // the revision that was told last, or asked for
	told  bool
	idle  lineBudget
}

// emptyLine takes a line that tells nothing.
func (r *listsOfWatch) emptyLine() error {
	if !r.idle.spend(time.Now()) {
		return errIdleLines
	}
	return nil
}

// object takes an object, and hands on the list in it unless that is older than what the watch has told.
func (r *listsOfWatch) object(text []byte) error {
	l := list{line: text, after: r.after}
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	if !r.told && !l.Complete && r.isRenumbered(r.after, l.Revision) {
		return errRenumbered
	}
	older, same := r.told && l.Revision < r.after, r.told && l.Revision == r.after
	if older {
		r.log.Warn("a line of the watch came again", "discovery", r.addr, "revision", l.Revision, "after", r.after)
	}
	if !older && !same {
		r.idle = lineBudget{}
	} else if !r.idle.spend(time.Now()) {
		return errIdleLines
	}
	if older {
		return nil
	}
	r.after, r.told = l.Revision, true
	return r.take(r.watch, l)
}

// lineBudget counts the lines of a watch that tell nothing new. The zero value has counted none.
type lineBudget struct {
	since time.Time
	lines int
}

// spend counts a line, and tells whether there may be one more.
func (b *lineBudget) spend(now time.Time) bool {
	if now.Sub(b.since) >= idleLinesSpan {
		b.since, b.lines = now, 0
	}
	b.lines++
	return b.lines <= mostIdleLines
}

// isRenumbered tells whether the first revision of a watch can't be of the process that told the one which was asked for. Then the next watch asks for the
// whole list: what changed after a revision of another process is not known to this one.
func (w *watcher) isRenumbered(asked, revision int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.itsOwn || revision >= asked || w.after != asked {
		return false
	}
	w.after, w.itsOwn = 0, false
	return true
}

// take hands a list on. One of a watch whose place another has taken may be older than what that one has told.
func (w *watcher) take(o *openWatch, l list) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := len(w.standing) > 0 && o == w.standing[len(w.standing)-1]
	if !latest && l.Revision <= w.after {
		return nil
	}
	if !o.heard {
		w.log.Info("watching", "discovery", w.addr, "after", l.after, "revision", l.Revision, "complete", l.Complete,
			"members", len(l.Members))
	}
	if err := w.tell(l); err != nil {
		return err
	}
	w.after, w.itsOwn, o.heard = l.Revision, true, true
	o.told = o.told || len(l.Members) > 0
	w.endBefore(o)
	return nil
}
