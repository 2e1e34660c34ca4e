package fakes

import (
	"bytes"
	"fmt"
	"math/big"
	"strconv"
	"strings"

	pickle "github.com/kisielk/og-rek"
)

// lineFields is the number of fields of a plaintext line: path, value and timestamp.
const lineFields = 3

// ParseLine parses a plaintext line "path value timestamp" without its line feed.
func ParseLine(line string) (Point, error) {
	fields := strings.Split(line, " ")
	if len(fields) != lineFields || len(line) > maxCarbonLine {
		return Point{}, fmt.Errorf("line %q: want %d fields and at most %d bytes", line, lineFields, maxCarbonLine)
	}
	if err := checkPath(fields[0]); err != nil {
		return Point{}, err
	}
	value, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return Point{}, fmt.Errorf("line %q: value is not a number", line)
	}
	timestamp, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil || timestamp <= 0 {
		return Point{}, fmt.Errorf("line %q: timestamp is not an integer above 0", line)
	}
	return Point{Series: fields[0], Timestamp: timestamp, Value: value}, nil
}

// checkPath returns an error for a path that Carbon would store under another name or reject.
func checkPath(path string) error {
	name, tags, tagged := strings.Cut(path, ";")
	for part := range strings.SplitSeq(name, ".") {
		if part == "" || strings.ContainsAny(part, " \t\r\n/\\*?[]{}\x00") {
			return fmt.Errorf("path %q: invalid component %q", path, part)
		}
	}
	if !tagged {
		return nil
	}
	for tag := range strings.SplitSeq(tags, ";") {
		key, value, found := strings.Cut(tag, "=")
		if !found || key == "" || value == "" || value[0] == '~' {
			return fmt.Errorf("path %q: invalid tag %q", path, tag)
		}
	}
	return nil
}

// ParsePickle parses a batch of the form [(path, (timestamp, value)), ...].
func ParsePickle(body []byte) ([]Point, error) {
	value, err := pickle.NewDecoder(bytes.NewReader(body)).Decode()
	if err != nil {
		return nil, fmt.Errorf("pickle: %w", err)
	}
	list, ok := value.([]any)
	if !ok {
		return nil, fmt.Errorf("pickle: got a value of type %T, want a list", value)
	}
	var points []Point
	for _, entry := range list {
		point, err := parsePicklePoint(entry)
		if err != nil {
			return nil, err
		}
		points = append(points, point)
	}
	return points, nil
}

// parsePicklePoint parses one entry of a batch, (path, (timestamp, value)).
func parsePicklePoint(entry any) (Point, error) {
	pair, ok := entry.(pickle.Tuple)
	if !ok || len(pair) != 2 {
		return Point{}, fmt.Errorf("pickle: entry %v is not a pair", entry)
	}
	path, isPath := pair[0].(string)
	datum, isTuple := pair[1].(pickle.Tuple)
	if !isPath || !isTuple || len(datum) != 2 {
		return Point{}, fmt.Errorf("pickle: entry %v is not of the form (path, (timestamp, value))", entry)
	}
	if err := checkPath(path); err != nil {
		return Point{}, err
	}
	timestamp, err := pickleNumber(datum[0])
	if err != nil {
		return Point{}, err
	}
	value, err := pickleNumber(datum[1])
	if err != nil {
		return Point{}, err
	}
	return Point{Series: path, Timestamp: int64(timestamp), Value: value}, nil
}

// pickleNumber converts a number of any of Python's types.
func pickleNumber(value any) (float64, error) {
	switch n := value.(type) {
	case int64:
		return float64(n), nil
	case float64:
		return n, nil
	case *big.Int:
		f, _ := new(big.Float).SetInt(n).Float64()
		return f, nil
	}
	return 0, fmt.Errorf("pickle: got a value of type %T, want a number", value)
}
