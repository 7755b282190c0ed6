package notices

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	maxHead          = 8 << 10
	maxBody          = 64 << 10
	maxInformational = 8 // 1xx responses ahead of the final one
)

var (
	errUnasked       = errors.New("the agent said something unasked")
	errInformational = errors.New("only 1xx responses")
	errCloses        = errors.New("the agent closes the connection")
	errGivenUp       = errors.New("no answer for too long")
)

// conn is a connection to the agent. The courier's loop owns its fields; one goroutine reads from it for as long as it lives, and one
// writes while a post goes out.
type conn[T any] struct {
	net.Conn
	addr    string
	posts   []*Post[T]    // that have no answer, in the order in which they go out
	sent    time.Duration // when the first of them was made
	written chan struct{} // closed when the last of them is; nil before the first
	used    bool          // it has had an answer, or a second post
	blamed  bool          // it was silent while a new one answered
	answers int
	took    time.Duration // until the last of them
	since   time.Duration // when it came up
	good    time.Duration // when it came up, or answered last
	over    bool
}

// busy tells whether a post on it has no answer.
func (k *conn[T]) busy() bool { return len(k.posts) > 0 }

// The courier's loop is told of connections by these.
type (
	dialled struct {
		nc    net.Conn
		addr  string
		err   error
		began time.Duration
	}
	answer[T any] struct {
		of     *conn[T]
		status int
		closes bool // no further request is read
	}
	broken[T any] struct {
		of  *conn[T]
		err error
	}
)

// notice is the end of a message that was taken on and not delivered, as the agent reads it.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Line is a notice as it is posted: a state, and after how long the client may come again; 0 for no such time.
func Line(id, state string, after time.Duration) []byte {
	b, err := json.Marshal(notice{ID: id, State: state, AfterMS: after.Milliseconds()})
	if err != nil {
		panic(err) // it has nothing that can't be written
	}
	return append(b, '\n')
}

// request is a post.
func request(addr string, body []byte) []byte {
	b := make([]byte, 0, len(body)+len(addr)+128)
	b = append(append(b, "POST /reports HTTP/1.1\r\nHost: "...), addr...)
	b = append(b, "\r\nUser-Agent: coralyard\r\nContent-Type: application/x-ndjson\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// read tells the loop of each response, and at last of the connection's end.
func (c *Courier[T]) read(k *conn[T]) {
	limit := &io.LimitedReader{R: k.Conn}
	in := bufio.NewReader(limit)
	for {
		limit.N = maxHead + maxBody
		status, closes, err := readResponse(in)
		if err != nil {
			c.tell(broken[T]{k, err})
			return
		}
		c.tell(answer[T]{k, status, closes})
	}
}

// readResponse reads a final response whole.
func readResponse(in *bufio.Reader) (status int, closes bool, err error) {
	for range maxInformational {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return 0, false, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, false, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp.StatusCode, resp.Close, nil
		}
	}
	return 0, false, errInformational
}

// write sends a post once the one before it is written; a failure ends the connection.
func (c *Courier[T]) write(k *conn[T], text []byte, before, written chan struct{}) {
	defer close(written)
	if before != nil {
		<-before
	}
	if _, err := k.Write(text); err != nil {
		c.tell(broken[T]{k, fmt.Errorf("the post could not be written: %w", err)})
	}
}
