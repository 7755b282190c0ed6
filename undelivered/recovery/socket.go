package recovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"starlingusher/undelivered"
)

const (
	maxSocketPath = 107 // of a Unix socket's address on Linux
	maxRequest    = 64 << 10
	socketTime    = 30 * time.Second // for a request to come, and for a reader that does not read
)

func socketPath(folder string) (string, error) {
	path := filepath.Join(folder, socketName)
	if len(path) > maxSocketPath {
		return "", fmt.Errorf("undelivered: %s: a socket's path may have %d bytes at most", path, maxSocketPath)
	}
	return path, nil
}

// listen opens the socket in the folder for its owner alone. The node has locked the folder, so that what stands there
// is left over from a process that has ended.
func listen(folder string) (net.Listener, error) {
	path, err := socketPath(folder)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	// The mode is set before there is a file, so that nobody else can connect in between.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = syscall.Fchmod(int(fd), 0o600) }), err)
	}}
	ln, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("undelivered: %w", err), ln.Close())
	}
	return ln, nil
}

// Serve answers Clients on the socket in the folder until ctx ends.
func (d *Desk) Serve(ctx context.Context) error {
	ln, err := listen(d.o.Folder)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /list", d.serveList)
	mux.HandleFunc("GET /entries/{n}", d.serveShow)
	mux.HandleFunc("GET /entries/{n}/body", d.serveBody)
	mux.HandleFunc("POST /entries/{n}/decision", d.serveDecide)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		s, err := d.Stats(r.Context())
		answer(w, s, err)
	})
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, r *http.Request) {
		lines(w, func(put func(any) error) error {
			return d.Audit(r.Context(), func(r undelivered.Record) error { return put(r) })
		})
	})
	srv := &http.Server{Handler: mux, ReadTimeout: socketTime, WriteTimeout: 10 * socketTime}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// problem is an error on the wire.
type problem struct {
	Error string `json:"error"`
	Kind  string `json:"kind,omitempty"`
}

func answer(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		v = problem{err.Error(), kindOf(err)}
	}
	json.NewEncoder(w).Encode(v) // nobody is left to be told of an error
}

// line is one of a list: a value, the error that ended the list, or its end.
type line struct {
	Value   json.RawMessage `json:"value,omitempty"`
	Problem *problem        `json:"problem,omitempty"`
	End     bool            `json:"end,omitempty"`
}

func lines(w http.ResponseWriter, all func(put func(any) error) error) {
	out := json.NewEncoder(w)
	err := all(func(v any) error {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		return out.Encode(line{Value: text})
	})
	last := line{End: true}
	if err != nil {
		last = line{Problem: &problem{err.Error(), kindOf(err)}}
	}
	out.Encode(last)
}

func (d *Desk) serveList(w http.ResponseWriter, r *http.Request) {
	var f Filter
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&f); err != nil {
		answer(w, nil, fmt.Errorf("the filter can't be read: %w", err))
		return
	}
	lines(w, func(put func(any) error) error {
		return d.List(r.Context(), f, func(row Row) error { return put(row) })
	})
}

func entryOf(r *http.Request) (uint64, error) {
	n, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is no entry's number", r.PathValue("n"))
	}
	return n, nil
}

// shown is an entry on the wire.
type shown struct {
	Row   Row                  `json:"row"`
	Audit []undelivered.Record `json:"audit"`
}

func (d *Desk) serveShow(w http.ResponseWriter, r *http.Request) {
	n, err := entryOf(r)
	var s shown
	if err == nil {
		s.Row, s.Audit, err = d.Show(r.Context(), n)
	}
	answer(w, s, err)
}

func (d *Desk) serveBody(w http.ResponseWriter, r *http.Request) {
	n, err := entryOf(r)
	var body []byte
	if err == nil {
		body, err = d.Body(r.Context(), n)
	}
	answer(w, body, err)
}

// decision is a person's on the wire.
type decision struct {
	Action undelivered.Action `json:"action"`
	Name   string             `json:"name"`
	Why    string             `json:"why"`
}

func (d *Desk) serveDecide(w http.ResponseWriter, r *http.Request) {
	n, err := entryOf(r)
	var c decision
	if err == nil {
		err = json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&c)
	}
	if err == nil {
		err = d.Decide(r.Context(), n, c.Action, c.Name, c.Why)
	}
	answer(w, struct{}{}, err)
}

// Client is the Access to a node that runs.
type Client struct{ http *http.Client }

// Dial returns the Access to the node that runs on a state folder, or an error that wraps ErrNotServing.
func Dial(folder string) (*Client, error) {
	path, err := socketPath(folder)
	if err != nil {
		return nil, err
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "unix", path)
	}
	nc, err := dial(context.Background(), "", "")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotServing, err)
	}
	nc.Close()
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}}, nil
}

// ErrNotServing says that no node answers on the folder's socket.
var ErrNotServing = errors.New("no node serves its undelivered messages there")

// Close is Access's.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, in any) (io.ReadCloser, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://node"+path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	var p problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return nil, fmt.Errorf("undelivered: the node answers %s", resp.Status)
	}
	return nil, p.err()
}

func (p *problem) err() error { return told{p.Error, kinds[p.Kind]} }

func (c *Client) one(ctx context.Context, method, path string, in, out any) error {
	body, err := c.do(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("undelivered: the node's answer can't be read: %w", err)
	}
	return nil
}

func (c *Client) all(ctx context.Context, method, path string, in any, do func([]byte) error) error {
	body, err := c.do(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer body.Close()
	entries := json.NewDecoder(bufio.NewReaderSize(body, 64<<10))
	for {
		var l line
		if err := entries.Decode(&l); err != nil {
			return fmt.Errorf("undelivered: the node's list ends before its end: %w", err)
		}
		switch {
		case l.Problem != nil:
			return l.Problem.err()
		case l.End:
			return nil
		}
		if err := do(l.Value); err != nil {
			return err
		}
	}
}

// List is Access's.
func (c *Client) List(ctx context.Context, f Filter, do func(Row) error) error {
	return c.all(ctx, http.MethodPost, "/list", f, func(text []byte) error {
		var r Row
		if err := json.Unmarshal(text, &r); err != nil {
			return err
		}
		return do(r)
	})
}

func entryPath(n uint64, rest string) string { return "/entries/" + strconv.FormatUint(n, 10) + rest }

// Show is Access's.
func (c *Client) Show(ctx context.Context, n uint64) (Row, []undelivered.Record, error) {
	var s shown
	err := c.one(ctx, http.MethodGet, entryPath(n, ""), nil, &s)
	return s.Row, s.Audit, err
}

// Body is Access's.
func (c *Client) Body(ctx context.Context, n uint64) (body []byte, err error) {
	err = c.one(ctx, http.MethodGet, entryPath(n, "/body"), nil, &body)
	return body, err
}

// Decide is Access's.
func (c *Client) Decide(ctx context.Context, n uint64, a undelivered.Action, name, why string) error {
	return c.one(ctx, http.MethodPost, entryPath(n, "/decision"), decision{a, name, why}, &struct{}{})
}

// Stats is Access's.
func (c *Client) Stats(ctx context.Context) (s Stats, err error) {
	err = c.one(ctx, http.MethodGet, "/stats", nil, &s)
	return s, err
}

// Audit is Access's.
func (c *Client) Audit(ctx context.Context, do func(undelivered.Record) error) error {
	return c.all(ctx, http.MethodGet, "/audit", nil, func(text []byte) error {
		var r undelivered.Record
		if err := json.Unmarshal(text, &r); err != nil {
			return err
		}
		return do(r)
	})
}
