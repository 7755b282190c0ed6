package node

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"starlingusher/delivery"
)

const requestHead = 192 // bytes of a request's head but for what varies, at least

// errHead is of what would end a line of a request's head, or be none there.
var errHead = errors.New("an id, a key or an address that can't stand in a request's head")

// encodeRequest writes a whole request, so that one Write sends it. What goes into its head must not end a line there.
func encodeRequest(c delivery.Attempt) ([]byte, error) {
	if !isToken(c.ID) || (c.Key != "" && !isToken(c.Key)) || !isToken(c.Endpoint.Addr) {
		return nil, errHead
	}
	b := make([]byte, 0, requestHead+len(c.ID)+len(c.Key)+len(c.Endpoint.Addr)+len(c.Body))
	b = appendHead(b, "/v1/messages", c, len(c.Body))
	if c.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), c.Key...)
	}
	b = append(append(b, "\r\nX-Trace-Id: "...), c.ID...)
	return append(append(b, "\r\n\r\n"...), c.Body...), nil
}

// lastRequest is a request that asks for the end of its connection after the response.
func lastRequest(request []byte) []byte {
	const end, line = "\r\n", "\r\nConnection: close"
	first := bytes.Index(request, []byte(end)) // of the request line
	b := make([]byte, 0, len(request)+len(line))
	return append(append(append(b, request[:first]...), line...), request[first:]...)
}

// appendHead begins a request; the last line is still to be ended.
func appendHead(b []byte, path string, c delivery.Attempt, length int) []byte {
	b = append(append(append(b, "POST "...), path...), " HTTP/1.1\r\nHost: "...)
	b = append(b, c.Endpoint.Addr...)
	b = append(b, "\r\nUser-Agent: coralyard\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	b = append(b, "\r\nX-Expires-In: "...)
	b = strconv.AppendInt(b, max(time.Until(c.NotPast).Milliseconds(), 1), 10)
	return append(b, 'm')
}
