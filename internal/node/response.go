package node

import (
	"bytes"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/node/pairing"
)

const (
	maxAnswerHead = 32 << 10
	maxAnswerBody = maxBody
	answerTimeout = 500 * time.Millisecond // between bytes of a response, and for the rest of one whose first line says all
	wholeTimeout  = 3 * time.Second        // from a response's first byte to its last
	loadHeader    = "Endpoint-Load-Metrics"
	maxContinues  = 8 // 1xx responses ahead of the final one
	longestWait   = 10 * time.Minute
	mostLeft      = 2   // in a load report: of a share, which may be noisy,
	mostLimit     = 1e6 // and of a limit
)

// response is what a server said to a call.
type response struct {
	answer
	status  int
	pairing pairing.Response
	goesOn  bool // the server keeps the connection open
}

var (
	errOnlyInformational = errors.New("only 1xx responses")
	errNoHTTP            = errors.New("no HTTP")
	errLongBody          = errors.New("the body is too large")
	errGarbled           = errors.New("a status line within a response's head")
)

// fingerprintSeed makes fingerprints of responses hard to foresee.
var fingerprintSeed = maphash.MakeSeed()

// readResponse reads one final response, to a call with one message or, if all is not nil, with several. A 200 holds from its first
// line on, unless its body counts: the message is delivered, whatever becomes of the rest. Any other response has to come whole,
// within bounds of size and time, to prove anything; so does a 200 on a connection that had a response before where another status
// line follows in its head, for it may be part of a copy.
func (k *conn) readResponse(first bool, all []delivery.Attempt) (response, error) {
	for range maxContinues {
		k.limit.N = maxAnswerHead + maxAnswerBody
		if _, err := k.br.Peek(1); err != nil {
			return response{}, fmt.Errorf("answer: %w", err)
		}
		k.wholeBy = time.Now().Add(wholeTimeout)
		code, begun, err := k.status()
		if err != nil {
			return response{answer: answer{said: begun}}, fmt.Errorf("answer: %w", err)
		}
		heard := time.Now()
		if saysAll := code == http.StatusOK && all == nil; saysAll {
			k.wholeBy = heard.Add(answerTimeout)
		}
		r, err := k.readWhole(first, all)
		k.wholeBy = time.Time{}
		if err != nil && code == http.StatusOK && all == nil && !errors.Is(err, errGarbled) {
			r, err = spoiltPass(r), nil
		}
		if err != nil {
			return r.spoilt(code), fmt.Errorf("answer: %w", err)
		}
		if err := k.SetReadDeadline(time.Time{}); err != nil {
			r.goesOn = false
		}
		if code >= http.StatusOK {
			r.status, r.result.Heard = code, heard
			r.said |= choice.RepliesOf(replyOf(code))
			r.result.On.Status = uint16(code)
			return r, nil
		}
	}
	return response{}, fmt.Errorf("answer: %w", errOnlyInformational)
}

// spoiltPass is a response with 200 that did not come whole, of which so much was read. Its connection is not used again.
func spoiltPass(read response) response {
	return response{answer: answer{result: delivery.Result{Outcome: choice.Pass, Closed: true}, said: read.said},
		pairing: pairing.Response{Fingerprint: read.pairing.Fingerprint, Pass: true}}
}

// spoilt is what a response with a status says of which a part came.
func (r response) spoilt(status int) response {
	told := response{answer: answer{states: r.states, said: r.said}, status: status}
	if status >= http.StatusOK {
		told.said |= choice.RepliesOf(replyOf(status))
		told.result.On.Status = uint16(status)
	}
	return told
}

// status looks at the first line, as soon as it is there. Of one that does not end, begun is what it may say.
func (k *conn) status() (code int, begun choice.Replies, err error) {
	for n := k.br.Buffered(); ; n = max(n+1, k.br.Buffered()) {
		seen, err := k.br.Peek(n)
		if line, _, ok := bytes.Cut(seen, []byte("\n")); ok {
			code, err := statusCode(strings.TrimSuffix(string(line), "\r"))
			if err != nil {
				begun = repliesWithin(line)
			}
			return code, begun, err
		}
		if err != nil {
			return 0, repliesBegun(seen), err
		}
	}
}

// statusCode reads a line like "HTTP/1.1 200 OK".
func statusCode(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := number(code)
	if err != nil || len(code) != 3 || n < 100 || (version != "HTTP/1.1" && version != "HTTP/1.0") {
		return 0, errNoHTTP
	}
	return n, nil
}

var (
	headEnds       = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}
	versionOfNext  = []byte("HTTP/1.")
	statusLineSize = len("HTTP/1.1 200 ")
)

// head looks at the status line and the headers of a response, once they are there; nil for a head that is too long to be held. Of one
// that does not end it returns what came, with why.
func (k *conn) head() ([]byte, error) {
	for n := k.br.Buffered(); n <= k.br.Size(); n = max(n+1, k.br.Buffered()) {
		seen, err := k.br.Peek(n)
		for _, end := range headEnds {
			if i := bytes.Index(seen, end); i >= 0 {
				return seen[:i+len(end)], nil
			}
		}
		if err != nil {
			return seen, err
		}
	}
	return nil, nil
}

// holdsStatusLine tells whether a status line stands behind the beginning of a head, as it does behind part of a copy.
func holdsStatusLine(head []byte) bool {
	for rest := head[1:]; ; {
		i := bytes.Index(rest, versionOfNext)
		if i < 0 || len(rest)-i < statusLineSize {
			return false
		}
		if _, err := statusCode(string(rest[i : i+statusLineSize])); err == nil {
			return true
		}
		rest = rest[i+1:]
	}
}

var dateHeader = []byte("date:")

// kindOf is a fingerprint of a head without its date.
func kindOf(head []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	for line := range bytes.Lines(head) {
		if n := len(dateHeader); len(line) < n || !bytes.EqualFold(line[:n], dateHeader) {
			h.Write(line) // never fails
		}
	}
	return max(h.Sum64(), 1)
}

// readWhole reads a response of which the first line is known to be there.
func (k *conn) readWhole(first bool, all []delivery.Attempt) (response, error) {
	head, err := k.head()
	if !first && len(head) > 0 && holdsStatusLine(head) {
		return response{answer: answer{said: repliesWithin(head)}}, errGarbled
	}
	var r response
	if head != nil {
		r.pairing.Fingerprint = max(maphash.Bytes(fingerprintSeed, head), 1)
		r.pairing.Kind = kindOf(head)
	}
	if err != nil {
		return r, err
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK {
		return response{goesOn: true}, nil
	}
	r.result, r.goesOn = outcome(resp), !resp.Close
	r.result.HungUp = resp.Close
	r.pairing.Pass = resp.StatusCode == http.StatusOK
	if all != nil {
		r.result.NotRun = r.result.NotRun || turnedDown(resp.StatusCode)
		err = r.readStates(resp, all) // before r is returned, which it changes
		return r, err
	}
	if first {
		return r, discard(resp.Body)
	}
	r.said, err = k.repliesInBody(resp.ContentLength)
	if err != nil {
		return r, err
	}
	return r, discard(resp.Body)
}

// mostHeld is how much of a body is looked at, in bytes: more than a response without a body of its own takes.
const mostHeld = 512

// repliesInBody looks at the beginning of a body, and at what came with it, for a response that is taken for a part of it.
func (k *conn) repliesInBody(length int64) (choice.Replies, error) {
	want := min(max(int64(k.br.Buffered()), length), mostHeld)
	seen, err := k.br.Peek(int(want))
	return repliesWithin(seen), err
}

// readStates reads the body of a response to a call with several messages.
func (r *response) readStates(resp *http.Response, all []delivery.Attempt) error {
	if !r.pairing.Pass {
		return discard(resp.Body)
	}
	r.result.Wait = toldWait(resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBody+1))
	if err == nil && len(body) > maxAnswerBody {
		err = errLongBody
	}
	var named bool
	if err == nil {
		r.states, named, err = readStates(body, all)
	}
	if err != nil {
		r.states = statesWithin(body, all)
		return err
	}
	if r.pairing.Foreign = !named; named {
		r.pairing.Named = max(maphash.Bytes(fingerprintSeed, body)^r.pairing.Fingerprint, 1)
	}
	return err
}

// discard reads a body to its end.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxAnswerBody+1))
	if err == nil && n > maxAnswerBody {
		return errLongBody
	}
	return err
}

// toldWait is how long an answer asks to be left alone; 0 if it does not, or not in a way that can be read.
func toldWait(resp *http.Response) time.Duration {
	sec, err := decimal(resp.Header.Get("Retry-After"), math.MaxFloat64)
	if err != nil {
		return 0
	}
	return time.Duration(min(sec, longestWait.Seconds()) * float64(time.Second))
}

// outcome reads the protocol's table of answers.
func outcome(resp *http.Response) delivery.Result {
	res := delivery.Result{Report: loadReport(resp.Header.Values(loadHeader))}
	switch resp.StatusCode {
	case http.StatusOK:
		res.Outcome, res.Closed = choice.Pass, true
	case http.StatusTooManyRequests:
		res.Outcome, res.NotRun, res.Wait = choice.NoRoom, true, toldWait(resp)
	case http.StatusServiceUnavailable:
		res.Outcome, res.NotRun = choice.NoRoom, true
		if resp.Header.Get("X-Line-Busy") == "1" {
			res.Outcome, res.NoSlot = choice.Stale, true
		}
	case http.StatusGatewayTimeout:
		res.Outcome, res.NotRun = choice.Stale, true
	case http.StatusGone:
		res.Outcome, res.NotRun, res.Closed = choice.Stale, true, true
	default: // 500, and what the protocol does not know: it may have run
		res.Outcome = choice.Fault
	}
	return res
}

// loadReport reads "x0=0.4,x1=25". One that can't be read, be it in part, is none: the module believes a limit.
func loadReport(values []string) choice.Report {
	var r choice.Report
	if len(values) != 1 {
		return r
	}
	for field := range strings.SplitSeq(values[0], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		switch {
		case name == "x0" && !r.HasLeft:
			r.HasLeft = true
			r.Left, err = decimal(value, mostLeft)
		case name == "x1" && !r.HasLimit:
			r.HasLimit = true
			r.Limit, err = decimal(value, mostLimit)
		default:
			err = errors.New("no field of a report")
		}
		if err != nil {
			return choice.Report{}
		}
	}
	return r
}
