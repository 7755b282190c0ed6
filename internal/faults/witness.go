package faults

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"starlingusher/peers"
)

// act is one that the witness saw: a duty's call, from when it came until it was answered or given up by its caller.
type act struct {
	node       string
	token      uint64
	began, end time.Time
}

// witness stands outside the processes and sees what their leases' holders do. As whoever serves a duty should, it keeps the largest
// token that it has seen and refuses smaller ones.
type witness struct {
	srv *httptest.Server

	mu      sync.Mutex
	rng     *rand.Rand
	last    uint64
	by      string // whose act came last
	acts    []act
	refused []act
}

// longOnes is how many acts there are to one that does not end by itself.
const longOnes = 8

func newWitness(seed uint64) *witness {
	w := &witness{rng: rand.New(rand.NewPCG(seed, 21))}
	w.srv = httptest.NewServer(w)
	return w
}

func (w *witness) url() string { return w.srv.URL }

func (w *witness) close() {
	w.srv.CloseClientConnections()
	w.srv.Close()
}

// ServeHTTP sees an act. It lasts for a part of what it may last, so that somebody is nearly always acting.
func (w *witness) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	a := act{node: req.Header.Get(peers.NodeHeader), began: time.Now()}
	var err, err2 error
	a.token, err = strconv.ParseUint(req.Header.Get(peers.TokenHeader), 10, 64)
	within, err2 := strconv.Atoi(req.Header.Get(peers.WithinHeader))
	if err != nil || err2 != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if a.token < w.last {
		w.refused = append(w.refused, a)
		rw.Header().Set(peers.TokenHeader, strconv.FormatUint(w.last, 10))
		w.mu.Unlock()
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.last, w.by = a.token, a.node
	part := 0.9 * w.rng.Float64()
	if w.rng.IntN(longOnes) == 0 { // far longer than it may, unless its caller gives it up
		part = 20
	}
	lasts := time.NewTimer(time.Duration(part * float64(within) * float64(time.Millisecond)))
	w.mu.Unlock()
	defer lasts.Stop()
	select {
	case <-lasts.C:
	case <-req.Context().Done():
	}
	a.end = time.Now()
	w.mu.Lock()
	w.acts = append(w.acts, a)
	w.mu.Unlock()
	rw.WriteHeader(http.StatusNoContent)
}

// Errors of what a witness saw.
var (
	ErrTwoHolders = errors.New("two holders of one lease act at once")
	ErrTokenBack  = errors.New("a holder acts by a smaller token than an earlier one, and was not stopped")
	ErrNoHolder   = errors.New("nobody acts by a lease")
)

// meet is how long two acts may seem to last at once where neither process was stopped: a caller's word that it has given up takes its time.
const meet = 20 * time.Millisecond

// check holds the acts against the rules. A process that was stopped between looking and acting acts late, and one that was stopped during
// an act can't give it up: what the fence let through of that is told by stood, which says whether a process was stopped then.
func (w *witness) check(slack time.Duration, stood func(node string, from, to time.Time) bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var errs []error
	for i, a := range w.acts {
		for _, b := range w.acts[:i] {
			if a.node == b.node && a.token == b.token {
				continue // a caller's own acts follow each other
			}
			first, second := b, a
			if second.token < first.token {
				first, second = second, first
			}
			both := min(first.end.Sub(second.began), second.end.Sub(first.began))
			if both > meet+slack && !stood(first.node, first.began, first.end) {
				errs = append(errs, fmt.Errorf("%w: %s by token %d and %s by %d, for %v", ErrTwoHolders, first.node, first.token, second.node, second.token, both))
			}
		}
	}
	for _, a := range w.refused {
		if !stood(a.node, a.began, a.began) {
			errs = append(errs, fmt.Errorf("%w: %s by token %d", ErrTokenBack, a.node, a.token))
		}
	}
	return errors.Join(errs[:min(len(errs), 4)]...)
}

// actor is the node whose act came last.
func (w *witness) actor() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.by
}

// count is how many acts there were.
func (w *witness) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acts)
}

// gap is the longest time in which nobody acted, and how many acts and holders there were.
func (w *witness) gap() (longest time.Duration, acts, tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[uint64]bool{}
	for i, a := range w.acts {
		seen[a.token] = true
		if i > 0 {
			longest = max(longest, a.began.Sub(w.acts[i-1].end))
		}
	}
	return longest, len(w.acts), len(seen)
}
