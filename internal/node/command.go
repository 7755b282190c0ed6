package node

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// enqueueWords is how many words an ENQUEUE has.
const enqueueWords = 5

var errWordCount = errors.New("wrong number of arguments for 'enqueue' command")

// parseEnqueue reads the words of an ENQUEUE.
func parseEnqueue(args [][]byte, names wire.Names, came time.Time) (delivery.Message, error) {
	q := delivery.Message{Came: came, Class: -1, Dest: -1, Life: -1}
	if len(args) != enqueueWords {
		return q, errWordCount
	}
	q.ID, q.Body = string(args[2]), args[4]
	if !isToken(q.ID) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxWord {
		return q, errors.New("the fields are too long")
	}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			if q.Class = slices.Index(names.Classes, value); q.Class < 0 {
				return q, errors.New("unknown class")
			}
		case "t":
			// Where there are no tenants, it says nothing.
			if q.Tenant = slices.Index(names.Tenants, value) + 1; q.Tenant == 0 && len(names.Tenants) > 0 {
				return q, errors.New("unknown tenant")
			}
		case "d":
			ms, err := decimal(value, float64(maxLife.Milliseconds()))
			if err != nil {
				return q, errors.New("d is no time in milliseconds")
			}
			q.Life = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := number(value)
			if err != nil {
				return q, errors.New("dest is no number")
			}
			q.Dest = n
		case "k":
			if q.Key = value; !isToken(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.Class < 0 || q.Life < 0 || q.Dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isToken tells that a word can go into a header as it is.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

// decimal reads a number that is written in digits, with a point or without. ParseFloat alone takes
// infinities, hexadecimal and exponents as well.
func decimal(text string, most float64) (float64, error) {
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, errors.New("no plain decimal number")
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && v > most {
		err = errors.New("the number is too large")
	}
	return v, err
}
