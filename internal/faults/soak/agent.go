package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/internal/faults/neighbour"
	"starlingusher/internal/standin"
)

// heartbeat is how often a watch has an empty line while nothing changes.
const heartbeat = 2 * time.Second

// agent is discovery as nodes see it: the list, watches of its changes, and notices. While it is down it answers notices alone,
// says nothing on open watches, and learns nothing.
type agent struct {
	srv  *http.Server
	addr string // where nodes find it
	work sync.WaitGroup

	beside func() error // ends the neighbour in front of it; nil where there is none

	mu       sync.Mutex
	revision int
	changes  []change
	waiting  []standin.Member // that came while it was down
	down     bool
	crowded  bool          // new watches are answered late, or turned away
	cut      chan struct{} // closed when watches break
	relieved time.Time     // when it was crowded last
	turns    int           // of watches that came while it was crowded
	watches  int           // that were answered
	news     chan struct{} // closed when changes grow or it goes down or up
	notices  []standin.Notice
	closed   chan struct{}
}

// change is an entry of the list and the revision with which it changed.
type change struct {
	revision int
	member   standin.Member
}

func newAgent() (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	a := &agent{addr: ln.Addr().String(), revision: 1, news: make(chan struct{}), cut: make(chan struct{}), closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.list)
	mux.HandleFunc("POST /reports", a.report)
	a.srv = &http.Server{Handler: mux}
	a.work.Go(func() {
		if err := a.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return a, nil
}

// behind puts a neighbour in front of the agent.
func (a *agent) behind(seed uint64, faults []neighbour.Fault) (err error) {
	addrs, stop, err := neighbour.Start(neighbour.Spec{Seed: seed, Targets: []string{a.addr}, Faults: faults})
	if err == nil {
		a.addr, a.beside = addrs[0], stop
	}
	return err
}

func (a *agent) close() {
	if a.beside != nil {
		a.beside() // its error is of a process that ends anyway
	}
	close(a.closed)
	a.srv.Close() // its error is of connections that end anyway
	a.work.Wait()
}

// set changes an entry, and tells whether the agent has the change now.
func (a *agent) set(m standin.Member) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.waiting = append(a.waiting, m)
		return false
	}
	a.add(m)
	a.wake()
	return true
}

func (a *agent) add(m standin.Member) {
	a.revision++
	a.changes = append(a.changes, change{a.revision, m})
}

func (a *agent) wake() {
	close(a.news)
	a.news = make(chan struct{})
}

// setDown takes the agent down or up again, and returns what it has learned by that.
func (a *agent) setDown(down bool) []standin.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	var learned []standin.Member
	if !down {
		for _, m := range a.waiting {
			a.add(m)
		}
		learned, a.waiting = a.waiting, nil
	}
	a.wake()
	return learned
}

// crowdedDelay is how late a crowded agent answers a watch.
const crowdedDelay = time.Second

// setCrowded breaks the watches and has the agent answer new ones late or not at all, or as before.
func (a *agent) setCrowded(crowded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crowded = crowded
	if crowded {
		close(a.cut)
		a.cut = make(chan struct{})
	} else {
		a.relieved = time.Now()
	}
}

// isBehind tells that nodes may still have to wait for their watches since the agent is or was crowded.
func (a *agent) isBehind() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crowded || time.Since(a.relieved) < toldWithin
}

// admit waits as long as a watch has to wait for its answer, and tells whether it gets one.
func (a *agent) admit(ctx context.Context) bool {
	a.mu.Lock()
	crowded, turn := a.crowded, a.turns
	a.turns++
	a.mu.Unlock()
	if !crowded {
		return true
	}
	if turn%2 == 0 {
		return false
	}
	late := time.NewTimer(crowdedDelay)
	defer late.Stop()
	select {
	case <-late.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// list answers a watch. Lists without one are not asked for.
func (a *agent) list(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.Atoi(req.URL.Query().Get("after"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !a.admit(req.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.mu.Lock()
	cut, form := a.cut, listForm(a.watches)%listForms
	a.watches++
	a.mu.Unlock()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	out := http.NewResponseController(w)
	for first := true; ; {
		a.mu.Lock()
		down, news, revision := a.down, a.news, a.revision
		var members []string
		for _, c := range a.changes {
			if c.revision > after {
				members = append(members, c.member.String())
			}
		}
		a.mu.Unlock()
		if !down && (first || len(members) > 0) {
			text := fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, strings.Join(members, ","))
			if form.write(w, out, text) != nil {
				return
			}
			after, first = revision, false
		}
		select {
		case <-news:
		case <-beat.C:
			if !down && !first {
				fmt.Fprint(w, "\n")
				if out.Flush() != nil {
					return
				}
			}
		case <-req.Context().Done():
			return
		case <-cut:
			panic(http.ErrAbortHandler) // its connection breaks
		case <-a.closed:
			return
		}
	}
}

// report takes notices.
func (a *agent) report(w http.ResponseWriter, req *http.Request) {
	lines := bufio.NewScanner(req.Body)
	for lines.Scan() {
		var n standin.Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		a.notices = append(a.notices, n)
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticesAfter returns the notices beyond the first so many.
func (a *agent) noticesAfter(n int) []standin.Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]standin.Notice(nil), a.notices[n:]...)
}
