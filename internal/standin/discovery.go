package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Notice is the end of a message as a node reports it.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
}

// Discovery tells lists to whoever watches, and takes notices.
type Discovery struct {
	srv *http.Server
	ln  net.Listener

	mu       sync.Mutex
	revision int
	lists    []string
	more     chan struct{} // closed when lists grows
	watches  int
	open     int // of them
	refused  int
	refuse   int // so many more posts are answered 503
	notices  []Notice
	cut      chan struct{} // closed to end the watches that are open
	done     sync.WaitGroup
}

// NewDiscovery starts one that lists nothing.
func NewDiscovery() (*Discovery, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		ln: ln, revision: 1, more: make(chan struct{}),
		cut: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.watch)
	mux.HandleFunc("POST /reports", d.report)
	d.srv = &http.Server{Handler: mux}
	d.done.Go(func() {
		if err := d.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return d, nil
}

// Addr is its address.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it with all its connections.
func (d *Discovery) Close() {
	d.CutWatches()
	d.srv.Close()
	d.done.Wait()
}

func (d *Discovery) watch(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	d.watches++
	d.open++
	defer func() {
		d.mu.Lock()
		d.open--
		d.mu.Unlock()
	}()
	cut := d.cut
	if len(d.lists) == 0 { // the first line tells what has changed since, be it nothing
		after, _ := strconv.Atoi(req.URL.Query().Get("after"))
		fmt.Fprintf(w, "%s\n", ListOf(max(after, d.revision), false))
	}
	d.mu.Unlock()
	for sent := 0; ; {
		d.mu.Lock()
		news, more := d.lists[sent:], d.more
		sent = len(d.lists)
		d.mu.Unlock()
		for _, l := range news {
			fmt.Fprintf(w, "%s\n\n", l)
		}
		w.(http.Flusher).Flush()
		select {
		case <-more:
		case <-cut:
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (d *Discovery) report(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse > 0 {
		d.refuse--
		d.refused++
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	lines := bufio.NewScanner(req.Body)
	for lines.Scan() {
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.notices = append(d.notices, n)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Tell sends a list, in its form on the wire, to all who watch and to those who come later.
func (d *Discovery) Tell(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists = append(d.lists, list)
	close(d.more)
	d.more = make(chan struct{})
}

// Set tells that an endpoint is in this phase now.
func (d *Discovery) Set(m Member) {
	d.mu.Lock()
	d.revision++
	text := ListOf(d.revision, false, m.String())
	d.mu.Unlock()
	d.Tell(text)
}

// RefusePosts answers the next n posts of notices with 503.
func (d *Discovery) RefusePosts(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = n
}

// CutWatches ends the watches that are open.
func (d *Discovery) CutWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.cut)
	d.cut = make(chan struct{})
}

// Watches counts the watches that have begun.
func (d *Discovery) Watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// Open counts the watches that are open.
func (d *Discovery) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Refused counts the posts that were answered 503.
func (d *Discovery) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// Notices returns those taken so far.
func (d *Discovery) Notices() []Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Notice(nil), d.notices...)
}

// State is what the notices said of a message, "" while there was none.
func (d *Discovery) State(id string) string {
	for _, n := range d.Notices() {
		if n.ID == id {
			return n.State
		}
	}
	return ""
}

// Member is one endpoint of a list, in discovery's form.
type Member struct {
	ID    string            `json:"id"`
	Addr  string            `json:"host_port"`
	Addrs map[string]string `json:"addrs,omitempty"`
	Zone  string            `json:"locality"`
	Kind  string            `json:"flavor"`
	Dest  int               `json:"cell"`
	Phase string            `json:"phase"` // SERVING, DRAINING or DELETED
	Size  float64           `json:"size"`  // calls a second
}

func (m Member) String() string {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // it has nothing that can't be written
	}
	return string(b)
}

// ListOf is a list on the wire.
func ListOf(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}
