package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Agent is discovery's agent on a node's machine.
type Agent struct {
	Addr string

	record  *Record
	ln      net.Listener
	server  *http.Server
	mu      sync.Mutex
	list    List
	changes []List
	news    chan struct{} // closed when there is a change
	notices map[string]Notice
}

// Notice is the end of a message.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int    `json:"after_ms"`
	At      time.Time
}

// NewAgent serves a list.
func NewAgent(r *Record, members []Member) *Agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Quit(r, NotRun, "%v", err)
	}
	a := &Agent{Addr: ln.Addr().String(), record: r, ln: ln, list: List{Revision: 1, Complete: true, Members: members},
		news: make(chan struct{}), notices: map[string]Notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.instances)
	mux.HandleFunc("POST /reports", a.reports)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(ln)
	return a
}

// List is the whole list as it is now.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.list
	l.Members = append([]Member{}, l.Members...)
	return l
}

// Change tells of members that are new or have changed.
func (a *Agent) Change(members ...Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Revision++
	for _, m := range members {
		var left []Member
		for _, old := range a.list.Members {
			if old.ID != m.ID {
				left = append(left, old)
			}
		}
		if m.Phase != "DELETED" {
			left = append(left, m)
		}
		a.list.Members = left
		a.record.Add("discovery: revision %d: %s at %s of destination %d is %s", a.list.Revision, m.ID, m.HostPort, m.Cell, m.Phase)
	}
	a.changes = append(a.changes, List{Revision: a.list.Revision, Members: members})
	close(a.news)
	a.news = make(chan struct{})
}

func (a *Agent) instances(w http.ResponseWriter, q *http.Request) {
	if q.URL.Query().Get("watch") != "1" {
		json.NewEncoder(w).Encode(a.List())
		return
	}
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	out := bufio.NewWriter(w)
	put := func(v any) bool {
		if v != nil {
			text, _ := json.Marshal(v)
			out.Write(text)
		}
		out.WriteString("\n")
		if out.Flush() != nil {
			return false
		}
		w.(http.Flusher).Flush()
		return true
	}
	first := a.List()
	seen := first.Revision
	a.record.Add("discovery: a watch after revision %d", after)
	if after == seen {
		first.Complete, first.Members = false, []Member{}
	}
	if !put(first) {
		return
	}
	for {
		a.mu.Lock()
		news := a.news
		var due []List
		for _, c := range a.changes {
			if c.Revision > seen {
				due = append(due, c)
			}
		}
		a.mu.Unlock()
		for _, c := range due {
			seen = c.Revision
			if !put(c) {
				return
			}
			a.record.Add("discovery: revision %d written to a watch", c.Revision)
		}
		if len(due) > 0 {
			continue
		}
		select {
		case <-news:
		case <-time.After(2 * time.Second):
			if !put(nil) {
				return
			}
		case <-q.Context().Done():
			return
		}
	}
}

func (a *Agent) reports(w http.ResponseWriter, q *http.Request) {
	now := time.Now()
	lines := bufio.NewScanner(q.Body)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			http.Error(w, fmt.Sprint(err), http.StatusBadRequest)
			return
		}
		n.At = now
		a.mu.Lock()
		_, before := a.notices[n.ID]
		if !before {
			a.notices[n.ID] = n
		}
		a.mu.Unlock()
		if !before {
			a.record.Add("notice: %s is %s", n.ID, n.State)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// Notice is the first notice of a message, if there was one.
func (a *Agent) Notice(id string) (Notice, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.notices[id]
	return n, ok
}

// Notices is how many messages were ended by a notice.
func (a *Agent) Notices() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.notices)
}
