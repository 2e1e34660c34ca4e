// Package resp speaks RESP2: a front for the platform's clients, on redcon, and the side of the
// storage nodes, on package net.
package resp

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const (
	maxValue = 64 << 10 // bytes of a request's value
	maxArgs  = 8        // parts of a command
	maxID    = 128      // bytes of a request's id
	keyWidth = 16       // hex digits of a piece or a volume
)

// command is a client's command as it came: args lie in raw.
type command struct {
	raw  []byte
	list []byte // the names and values, a part of raw
	wait []byte // the figure of d, a part of list
}

// message is what the core carries for this package.
type message struct{ command }

var errForm = errors.New("malformed command")

// RequestLimits is what a request may ask for. It guards the core against figures that nobody could serve.
type RequestLimits struct {
	Classes, Plans map[string]bool
	MaxUnits       float64 // 0 for unknown
	Shards         int     // 0 for unknown
	Hosts          int
	MaxWait        time.Duration
	After          broker.Micros // when one that is not admitted may come back, 0 for not told
	busy           []byte        // the line of such a refusal
}

// NewRequestLimits takes the terms from the settings.
func NewRequestLimits(set scheduler.Settings, shards int) RequestLimits {
	t := RequestLimits{Classes: map[string]bool{}, Plans: map[string]bool{}, MaxUnits: set.MaxUnits, Shards: shards, Hosts: set.Brokers, MaxWait: time.Minute}
	if set.Capabilities.RetryAfter && len(set.Classes) > 0 {
		aim := slices.MinFunc(set.Classes, func(a, b scheduler.Class) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) }).LatencyObjective
		t.After = broker.MicrosOf(min(aim, set.Capabilities.MaxRetryAfter))
	}
	for _, c := range set.Classes {
		t.Classes[c.Name] = true
		t.MaxWait = max(t.MaxWait, c.Deadline)
	}
	for _, p := range set.Plans {
		t.Plans[p.Name] = true
	}
	return t
}

// check names the figure of a request that is out of range.
func (t *RequestLimits) check(r *broker.Request) error {
	for _, c := range []struct {
		sound bool
		name  string
	}{{t.Classes[r.Class], "c"}, {t.Plans[r.Plan], "t"}, {hexWord([]byte(r.Volume)), "volume"},
		{r.Timeout > 0 && r.Timeout <= broker.MicrosOf(t.MaxWait), "d"}, {r.Units > 0 && (t.MaxUnits <= 0 || r.Units <= t.MaxUnits), "units"},
		{r.Shard >= -1 && (t.Shards <= 0 || r.Shard < t.Shards), "shard"}, {r.Brokers >= 1 && r.Brokers <= t.Hosts, "hosts"}} {
		if !c.sound {
			return fmt.Errorf("%w: %s is missing, unknown or out of range", errForm, c.name)
		}
	}
	return nil
}

// parse reads a command in place. The strings of the request are copies.
func parse(raw []byte, args [][]byte) (*broker.Request, error) {
	write := len(args) == 5 && bytes.EqualFold(args[0], []byte("BLK.WRITE"))
	if !write && !(len(args) == 4 && bytes.EqualFold(args[0], []byte("BLK.READ"))) {
		return nil, fmt.Errorf("%w: neither BLK.READ nor BLK.WRITE with its parts", errForm)
	}
	if !hexWord(args[1]) || len(args[2]) == 0 || len(args[2]) > maxID {
		return nil, fmt.Errorf("%w: piece or id", errForm)
	}
	m := message{command{raw: raw, list: args[3]}}
	r := &broker.Request{Key: string(args[1]), Write: write, Shard: -1, Brokers: 1}
	var millis int64
	for rest := args[3]; len(rest) > 0; {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		if !ok {
			return nil, fmt.Errorf("%w: %.20q is no name=value", errForm, pair)
		}
		var err error
		if m.wait != nil && string(name) == "d" {
			return nil, fmt.Errorf("%w: d stands twice", errForm)
		}
		switch string(name) {
		case "c":
			r.Class = string(value)
		case "t":
			r.Plan = string(value)
		case "volume":
			r.Volume = string(value)
		case "d":
			m.wait = value
			millis, err = strconv.ParseInt(string(value), 10, 32)
		case "units":
			r.Units, err = strconv.ParseFloat(string(value), 64)
		case "shard":
			r.Shard, err = strconv.Atoi(string(value))
		case "hosts":
			r.Brokers, err = strconv.Atoi(string(value))
		case "r":
			r.Retry = string(value) == "1"
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %.20q", errForm, pair)
		}
	}
	if m.wait == nil {
		return nil, fmt.Errorf("%w: d is missing", errForm)
	}
	r.Timeout = broker.MicrosOf(time.Duration(millis) * time.Millisecond)
	r.Message = &m
	return r, nil
}

func hexWord(b []byte) bool {
	if len(b) != keyWidth {
		return false
	}
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// offset tells where part, a slice of whole, begins in it.
func offset(whole, part []byte) int { return cap(whole) - cap(part) }

// forward is the command as it goes to a node: the client's bytes with only d changed, gathered.
func (c *command) forward(wait broker.Micros) net.Buffers {
	figure := strconv.AppendInt(nil, max(1, int64(wait/1000)), 10)
	start, at := offset(c.raw, c.list), offset(c.raw, c.wait)
	end := at + len(c.wait)
	// The length line of the list stands before it: $n\r\n.
	line := bytes.LastIndexByte(c.raw[:start], '$')
	head := strconv.AppendInt([]byte{'$'}, int64(len(c.list)-len(c.wait)+len(figure)), 10)
	return net.Buffers{c.raw[:line], append(head, '\r', '\n'), c.raw[start:at], figure, c.raw[end:]}
}
