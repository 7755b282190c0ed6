package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/node/pairing"
)

// conn is a connection to an endpoint. One goroutine, the pool's read, reads from it for as long as it lives: responses to calls and,
// between calls, that the endpoint closes it or says something unasked for. So a read that waits is there already when a call begins,
// where a watch that had to be called back and a read of the call's own cost one more each.
type conn struct {
	net.Conn
	number         uint32 // among all of the pool
	endpoint, addr string
	limit          *io.LimitedReader
	br             *bufio.Reader
	wholeBy        time.Time // of the reader: when a response that has begun is to be whole; zero for no such time

	idleSince time.Time // while it is kept; of whoever has it
	mixed     bool      // likewise: a response other than a pass came on it
	hurries   bool      // under the pool's lock, while it waits for quiet: the last call can't wait for the endpoint's idle end
	torn      bool      // under the pool's lock, while it waits for quiet: responses in doubt differ, and its end would tell whose they are

	mu       sync.Mutex
	tracker  pairing.Tracker
	call     *call     // whose response is awaited
	givenUp  *call     // its response is not waited for any more: what has arrived counts
	inDoubt  doubts    // with no call out, the last one's response came last
	doubted  bool      // silence does not settle them
	requests uint16    // that went out
	gone     bool      // nothing more comes of it
	last     *call     // that went out on it
	heard    time.Time // when the last response came; zero for none yet
}

// call is a request on one connection, and what becomes of it. The connection's reader writes answer and said until it has sent an end; then they are
// the caller's, but for an undecided call, which stays the reader's until it is settled.
type call struct {
	message  string // of the call, or the first of them
	endpoint *delivery.Endpoint
	once     bool          // it must not run twice
	ends     bool          // its request asks for the end of the connection
	canWait  bool          // it may stay undecided until the endpoint ends its connection as idle
	sending  bool          // the first byte may have gone out; under the connection's lock
	until    time.Duration // it may stay undecided for so long since processStart; under the connection's lock
	request  []byte
	end      chan callEnd     // takes the one end that there is, without blocking
	answer   answer           // that came; for an undecided call the one that counts if nothing follows
	said     pairing.Response // likewise

	// A call with several messages has them all, and reads their states from the response.
	all    []delivery.Attempt
	settle func(*delivery.Result) // of a call with one message: see delivery.Attempt
	done   func(*answer)          // takes the place of settling; nil for no such

	on     delivery.Exchange // without a status; under the connection's lock
	sentAt time.Duration     // since processStart
}

// processStart is what spans of calls count from, on the monotonic clock: a time of its own takes three times the room.
var processStart = time.Now()

// newCall is a call that has no connection yet.
func newCall(request []byte) *call { return &call{request: request, end: make(chan callEnd, 1)} }

// exchanged names the exchange, with the status of the response that came; 0 for none.
func (x *call) exchanged(status uint16) delivery.Exchange {
	on := x.on
	on.Status = status
	return on
}

// onAnother is the same request for another connection: the reader of the one before has nothing of it.
func (x *call) onAnother() *call {
	next := newCall(x.request)
	next.message, next.endpoint, next.once, next.canWait, next.until = x.message, x.endpoint, x.once, x.canWait, x.until
	next.all, next.settle, next.done = x.all, x.settle, x.done
	return next
}

// answer is what a call came to.
type answer struct {
	result delivery.Result
	states map[string]string
	said   choice.Replies            // of the response as a whole
	may    map[string]choice.Replies // of a call with several messages in doubt: what each may have been answered
}

// callEnd is what a connection's reader tells the call when it has its answer.
type callEnd struct {
	reuse     bool // the connection is good for another call
	undecided bool // the reader keeps the connection, and settles the call later
	err       error
	came      *answer // with err: as much of a response as came; nil for nothing
}

// partial is as much of a response as came.
func (e callEnd) partial() answer {
	if e.came == nil {
		return answer{}
	}
	return *e.came
}

// settled gives an undecided call its final answer; nil if the one that came stands.
func (x *call) settled(a *answer) {
	if a != nil {
		a.result.Kept, a.result.On = true, x.exchanged(a.result.On.Status)
	}
	switch {
	case x.done != nil:
		x.done(a)
	case x.all == nil && a == nil:
		x.settle(nil)
	case x.all == nil:
		x.settle(&a.result)
	case a == nil:
		for _, m := range x.all {
			m.Settle(nil)
		}
	default:
		for i, res := range resultsOf(*a, x.all) {
			x.all[i].Settle(&res)
		}
	}
}

var (
	errAmbiguous = errors.New("answer: it can't be told which of several responses it is")
	errUnproven  = errors.New("answer: it may be a copy of the one before, and silence proves nothing")
	errEarly     = errors.New("the endpoint said something before the request was sent")
	errAbandoned = errors.New("the request could not be written whole")
	errGivenUp   = errors.New("answer: none has come in the call's time")
)

func newConn(nc net.Conn, endpoint, addr string) *conn {
	k := &conn{Conn: nc, endpoint: endpoint, addr: addr}
	k.limit = &io.LimitedReader{R: steady{k}}
	k.br = bufio.NewReaderSize(k.limit, 4096)
	return k
}

// steady reads from a connection. While a response is to be whole by some time, each read has a bound of its own as well. Once the time for a read is
// over, or the call is given up, it reads what has arrived and waits for nothing: a process that was held up finds the response in its socket.
type steady struct{ *conn }

// Read implements io.Reader.
func (r steady) Read(b []byte) (int, error) {
	if err := r.boundRead(); err != nil {
		return 0, err
	}
	n, err := r.Conn.Read(b)
	if isTimeout(err) {
		return r.readArrived(b)
	}
	return n, err
}

// boundRead sets the time by which the next read ends.
func (k *conn) boundRead() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isGivenUp() {
		return k.SetReadDeadline(longAgo)
	}
	if k.wholeBy.IsZero() {
		return nil
	}
	by := time.Now().Add(answerTimeout)
	if k.wholeBy.Before(by) {
		by = k.wholeBy
	}
	return k.SetReadDeadline(by)
}

// longAgo is a deadline that ends what waits at once.
var longAgo = time.Unix(1, 0)

// giveUp has the connection wait no longer for the response to a call. The reader takes what has arrived by then.
func (k *conn) giveUp(x *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.call != x {
		return // its response was read
	}
	k.givenUp = x
	k.SetDeadline(longAgo) // an error says that it is closed, which ends its reader
}

// isGivenUp tells whether the call that is out was given up. The lock is held.
func (k *conn) isGivenUp() bool { return k.call != nil && k.call == k.givenUp }

// readArrived reads what the system holds of the connection, and does not wait; os.ErrDeadlineExceeded says that this is nothing.
func (k *conn) readArrived(b []byte) (n int, err error) {
	raw, err := k.raw()
	if err != nil {
		return 0, os.ErrDeadlineExceeded
	}
	closed := raw.Control(func(fd uintptr) {
		for {
			if n, _, err = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT); !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
	switch {
	case closed != nil:
		return 0, closed
	case errors.Is(err, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// raw is the system's connection.
func (k *conn) raw() (syscall.RawConn, error) {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// begin has the connection's next response go to a call, and tells whether there can be one. The connection has rested if nothing has come for
// so long since the last response.
func (k *conn) begin(x *call, rest time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone || k.SetDeadline(time.Time{}) != nil {
		return false
	}
	rested := k.heard.IsZero() || time.Since(k.heard) >= rest
	if rested && k.inDoubt.isEmpty() && !k.heard.IsZero() && k.hasUnread() {
		return false // a copy, or its end, that the reader has not come to
	}
	k.call, k.doubted = x, false
	k.tracker.Request(rested)
	if x.ends {
		k.tracker.Mark()
	}
	return true
}

// restedFor is for how long no response has come; very long where there was none.
func (k *conn) restedFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.heard)
}

// leave takes a call back of which nothing was written, and tells whether the connection is still good.
func (k *conn) leave(x *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.call == x {
		k.call = nil
		k.tracker.Withdraw()
	}
	return !k.gone && k.inDoubt.isEmpty() && k.tracker.Reusable()
}

// abandon takes a call back of which a part was written, and has the connection end. It tells whether the reader had no end of it.
func (k *conn) abandon(x *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gone = true
	if k.call != x {
		return false
	}
	k.call = nil
	return true
}

// sends notes that the first byte of a call goes out, unless bytes have come before: those can't be its response.
func (k *conn) sends(x *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return false
	}
	k.requests++
	x.sending, k.last = true, x
	x.on = delivery.Exchange{Connection: k.number, Number: k.requests}
	return true
}

// exchange writes the request and waits for the response.
func (k *conn) exchange(ctx context.Context, x *call, c delivery.Attempt) callEnd {
	if !k.sends(x) {
		return callEnd{err: errEarly}
	}
	c.Times.Write()
	x.sentAt = time.Since(processStart)
	request := x.request
	if x.ends {
		request = lastRequest(request)
	}
	n, err := k.Write(request)
	c.Times.Wrote()
	if err != nil && n < len(request) {
		var came answer
		if !k.abandon(x) {
			end := <-x.end
			if end.undecided {
				return end
			}
			if came = end.partial(); end.err == nil {
				came = x.answer
			}
		}
		x.answer = x.oneOf(notSent(choice.NoRoute, err), came) // without its last byte the endpoint has not begun it
		return callEnd{}
	}
	end := <-x.end // the reader ends with the connection, which ends with ctx or at the time at which the call is given up
	if end.err == nil {
		return end
	}
	x.answer = x.unknown(end.err, end.partial())
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), ctx.Err() == nil && !time.Now().Before(c.NotPast):
		x.answer.result.Outcome = choice.TooSlow
	case ctx.Err() != nil:
		x.answer.result.Outcome = choice.Undone
	}
	return callEnd{}
}

// awaited is the call that a response would be for, with whether no response came before; nil for none. Then, or if nothing of the
// call has gone out, what comes is no response, and the connection takes no further calls.
func (k *conn) awaited() (x *call, first bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.call != nil && k.call.sending:
		return k.call, k.tracker.First()
	case k.call == nil && !k.inDoubt.isEmpty():
		return k.inDoubt.last(), false
	}
	k.gone = true
	return nil, k.tracker.First()
}

// doubt adds a call to those in doubt, and has the connection wait for quiet until a time. It returns a call that is certain by that, nil for none, those
// whose own response nothing will tell, and whether the responses differ and a further call may ask for the connection's end. Where none may, only the last
// of responses that differ is waited for, unless it asked for the end itself.
func (k *conn) doubt(x *call, endless bool, until time.Time) (certain *call, unclear row, differ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.SetReadDeadline(until) // an error says that it is closed, which ends its reader
	if certain = k.inDoubt.add(x); certain != nil {
		return certain, nil, false
	}
	canTell := x.ends || (!endless && k.tracker.Reusable())
	if k.inDoubt.differ && !canTell {
		return nil, k.inDoubt.takeBeforeLast(), false
	}
	return nil, nil, k.inDoubt.differ && !x.ends
}

// isDoubted tells whether silence does not settle the calls in doubt.
func (k *conn) isDoubted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doubted && !k.inDoubt.isEmpty() && k.tracker.Reusable()
}

// isReusable tells whether a further request may go out.
func (k *conn) isReusable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Reusable()
}

// isIdleEnd tells whether a connection with calls in doubt ended as endpoints end those that have stood idle for as long as the settings say. One on
// which a call hangs is not idle, and a process that dies resets it. The lock is held.
func (k *conn) isIdleEnd(err error, idle time.Duration) bool {
	return k.doubted && !k.inDoubt.isEmpty() && k.call == nil && errors.Is(err, io.EOF) && time.Since(k.heard) >= idle
}

// endDoubt has the calls in doubt wait no longer for what may tell. The reader settles them.
func (k *conn) endDoubt() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.doubted {
		return
	}
	for _, x := range k.inDoubt.calls {
		x.until = 0
	}
	k.SetReadDeadline(time.Now()) // an error says that it is closed, which ends its reader
}

// giveBackOne has one of the calls in doubt wait no longer for what may tell, if it may be repeated and each response says that it passed. The reader
// settles it.
func (k *conn) giveBackOne() {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.inDoubt.calls, (*call).mayBeRepeated)
	if !k.doubted || k.inDoubt.differ || i < 0 {
		return
	}
	k.inDoubt.calls[i].until = 0
	k.SetReadDeadline(time.Now()) // an error says that it is closed, which ends its reader
}

// mayBeRepeated tells whether a call in doubt may be made again, its response being its own or a copy.
func (x *call) mayBeRepeated() bool {
	return !x.once && x.all == nil && x.answer.said == choice.RepliesOf(choice.ReplyPass)
}

// idleUntil lets a connection stand idle until a time, and tells whether it can.
func (k *conn) idleUntil(end time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mixed = !k.tracker.OnlyPasses()
	return !k.gone && k.tracker.Reusable() && k.SetReadDeadline(end) == nil
}

// hasUnread tells whether bytes, or an end, wait to be read: a reader that was woken by its deadline may have been held up.
func (k *conn) hasUnread() bool {
	raw, err := k.raw()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err == nil
	})
	return err == nil && waits
}

// isTimeout tells that a read ended by its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
