package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const (
	maxLine     = 512 // bytes of a line of a reply
	maxElements = 8
)

var errReply = errors.New("malformed reply")

// readLine returns a line without its end. It lies in the reader's buffer until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLine {
		return nil, fmt.Errorf("%w: a line is too long", errReply)
	}
	if err != nil {
		return nil, err
	}
	if len(line) < 3 || line[len(line)-2] != '\r' {
		return nil, fmt.Errorf("%w: a line ends without CR LF", errReply)
	}
	return line[:len(line)-2], nil
}

// readLength reads the head of a bulk string of most bytes at the most: -1 if it is null.
func readLength(r *bufio.Reader, most int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(string(line[1:]))
	if line[0] != '$' || err != nil || n < -1 || n > most {
		return 0, fmt.Errorf("%w: %.20q is no bulk string", errReply, line)
	}
	return n, nil
}

// readBytes reads a bulk string of n bytes behind its head: nil if it is null.
func readBytes(r *bufio.Reader, n int) ([]byte, error) {
	if n == -1 {
		return nil, nil
	}
	text := make([]byte, n+2)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	if text[n] != '\r' || text[n+1] != '\n' {
		return nil, fmt.Errorf("%w: a bulk string ends without CR LF", errReply)
	}
	return text[:n:n], nil
}

func readBulk(r *bufio.Reader, most int) ([]byte, error) {
	n, err := readLength(r, most)
	if err != nil {
		return nil, err
	}
	return readBytes(r, n)
}

// rest is what of an answer is still to come.
type rest struct {
	long  int // bytes of a value that is too long to be held, 0 if it was read
	parts int // behind the value
}

// readReply reads a node's answer to a command up to its value, or up to the head of a long one, and tells what
// stands behind that. An error means that the connection is of no more use.
func readReply(r *bufio.Reader) (result broker.Result, left rest, err error) {
	result = broker.Result{Load: scheduler.NoLoadReport}
	line, err := readLine(r)
	if err != nil {
		return result, left, err
	}
	switch line[0] {
	case '-':
		words := bytes.Fields(line[1:])
		result.Reply = broker.ReplyError
		if len(words) > 0 && string(words[0]) == "BUSY" {
			result.Reply = broker.ReplyRejected
		}
		for _, word := range words {
			readFigures(word, &result)
		}
		return result, left, nil
	case '*':
	default:
		return result, left, fmt.Errorf("%w: %.20q is no array", errReply, line)
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n < 1 || n > maxElements {
		return result, left, fmt.Errorf("%w: %.20q is no array of 1 to %d", errReply, line, maxElements)
	}
	left.parts = n - 1
	size, err := readLength(r, maxAnswer)
	if err != nil {
		return result, left, err
	}
	if size > maxValue {
		left.long = size
		return result, left, nil
	}
	value, err := readBytes(r, size)
	if err != nil {
		return result, left, err
	}
	if result.Value = value; value == nil {
		result.Value, result.Reply = nil, broker.ReplyError // a null value serves nothing
	}
	return result, left, nil
}

// readRest reads so many parts behind the value: the figures on use and the load report. They may be spoilt where
// the value is good, so an error spoils the connection only.
func readRest(r *bufio.Reader, parts int, result *broker.Result) error {
	for range parts {
		part, err := readBulk(r, maxLine)
		if err != nil {
			return err
		}
		readFigures(part, result)
	}
	return nil
}

// readFigures reads the figures on use and the load report: names and values such as used=37,cost=4.
func readFigures(text []byte, result *broker.Result) {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		x, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			continue
		}
		load := &result.Load
		switch string(name) {
		case "used":
			result.RateUsed = 1 + int(max(0, min(x, 1e9)))
		case "cost":
			result.ServedElsewhere = x
		case "inflight", "busy_reqs":
			load.InFlight = x
		case "queue", "pending":
			load.Queued = x
		case "util", "cpu_share":
			load.Utilization = x
		case "latency_ms", "svc_ms":
			load.ServiceTime = time.Duration(min(x, 1e9) * float64(time.Millisecond))
		case "qps", "served_ps":
			load.ServedRate = x
		case "eps", "failed_ps":
			load.ErrorRate = x
		}
	}
}
