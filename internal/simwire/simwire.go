// Package simwire turns the text of the operators' simulator into the types of package scheduler and back. It
// decides nothing.
package simwire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"junctionwharf/internal/config"
	"junctionwharf/scheduler"
)

// Start tells that an instance begins with nothing but its settings.
type Start struct {
	Seed     uint64
	Settings scheduler.Settings
}

// Halt tells that an instance was killed.
type Halt struct{}

// Item is one event of a batch. Exactly one of Start, Halt and Event is set.
type Item struct {
	Line  int // line of the input, for messages
	Who   string
	Start *Start
	Halt  *Halt
	Event scheduler.Event
}

// Batch is all that happened at one point of the clock.
type Batch struct {
	Now    scheduler.Time
	Number uint64
	Items  []Item
}

// maxLine bounds one line of input.
const maxLine = 64 << 20

// Reader reads batches.
type Reader struct {
	scan  *bufio.Scanner
	line  int
	lists map[int][]scheduler.Endpoint
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 64<<10), maxLine)
	return &Reader{scan: scan, lists: map[int][]scheduler.Endpoint{}}
}

// Next returns the next batch, or io.EOF at the end of the input between batches.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.read()
	if err != nil {
		return nil, err
	}
	batch, err := r.batch(text)
	if errors.Is(err, io.EOF) {
		err = errors.New("input ends inside a batch")
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	return batch, nil
}

func (r *Reader) read() (string, error) {
	for r.scan.Scan() {
		r.line++
		if text := strings.TrimSuffix(r.scan.Text(), "\r"); text != "" {
			return text, nil
		}
	}
	if err := r.scan.Err(); err != nil {
		return "", fmt.Errorf("line %d: %w", r.line+1, err)
	}
	return "", io.EOF
}

func (r *Reader) batch(text string) (*Batch, error) {
	f := split(text, 3)
	if f.word() != "FRAME" {
		return nil, fmt.Errorf("want FRAME, have %.40q", text)
	}
	batch := &Batch{Now: f.span(), Number: f.whole(math.MaxUint64)}
	if f.err != nil {
		return nil, f.err
	}
	for {
		text, err := r.read()
		if err != nil {
			return nil, err
		}
		if text == "EOF_BATCH" {
			return batch, nil
		}
		item, err := r.item(text)
		if err != nil {
			return nil, err
		}
		if item != nil {
			batch.Items = append(batch.Items, *item)
		}
	}
}

// item reads one event, or keeps a list and returns nil.
func (r *Reader) item(text string) (*Item, error) {
	kind, _, _ := strings.Cut(text, " ")
	if kind == "LIST" {
		return nil, r.list(text)
	}
	want, known := fieldCounts[kind]
	if !known {
		return nil, fmt.Errorf("unknown event %.40q", kind)
	}
	f := split(text, want)
	f.word()
	item := &Item{Line: r.line, Who: f.word()}
	if f.err == nil && item.Who == "" {
		f.fail("an event without an instance")
	}
	switch kind {
	case "START":
		item.Start = &Start{Seed: f.whole(math.MaxUint64)}
		f.settings(&item.Start.Settings)
	case "HALT":
		item.Halt = &Halt{}
	case "MEMBERSHIP":
		item.Event = r.membership(f)
	default:
		item.Event = f.event(kind)
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s: %w", kind, f.err)
	}
	return item, nil
}

var fieldCounts = map[string]int{
	"START": 4, "HALT": 2, "MEMBERSHIP": 5, "KNOCK": 13, "ALARM": 3, "TIMED_OUT_CLIENT": 3,
	"SAMPLED": 6, "WHISPER": 4, "ENDED": 11, "HEADERS": 6,
}

func (f *fields) event(kind string) scheduler.Event {
	switch kind {
	case "KNOCK":
		return scheduler.Request{ID: f.whole(1 << 52), Class: f.word(), Plan: f.word(), Key: f.word(),
			Remaining: f.span(), Volume: f.word(), Units: f.number(), Shard: f.signed(), Brokers: f.signed(),
			Retry: f.flag(), Write: f.flag()}
	case "ALARM":
		return scheduler.TimerFired{Token: f.whole(1 << 63)}
	case "TIMED_OUT_CLIENT":
		return scheduler.ClientGone{ID: f.whole(1 << 52)}
	case "SAMPLED":
		return scheduler.HealthCheckResult{Latency: f.span(), Node: f.word(), Outcome: choose(f, outcomes), Load: f.load()}
	case "WHISPER":
		return scheduler.PeerMessage{From: f.signed(), Data: f.bytes()}
	case "ENDED":
		return scheduler.AttemptEnded{ID: f.whole(1 << 52), Attempt: f.signed(), Node: f.word(),
			Outcome: choose(f, outcomes), Latency: f.span(), Finished: f.flag(), RateUsed: f.signed(),
			ServedElsewhere: f.number(), Load: f.load()}
	default: // HEADERS, the last of fieldCounts
		return scheduler.ResponseStarted{ID: f.whole(1 << 52), Node: f.word(), Latency: f.span(), Attempt: f.signed()}
	}
}

var (
	outcomes = map[string]scheduler.Outcome{
		"success": scheduler.Success, "failure": scheduler.Failure, "overloaded": scheduler.Overloaded,
		"timed_out": scheduler.TimedOut, "unreachable": scheduler.Unreachable, "broken": scheduler.ConnectionBroken,
		"withdrawn": scheduler.Canceled, "void": scheduler.NotSent,
	}
	listKinds = map[string]scheduler.UpdateKind{
		"delta": scheduler.DeltaUpdate, "full": scheduler.FullUpdate, "cached": scheduler.CachedUpdate, "failed": scheduler.FailedUpdate,
	}
	nodeStates = map[string]scheduler.NodeState{
		"in_service": scheduler.Ready, "terminating": scheduler.Draining, "terminated": scheduler.Removed,
	}
)

func (r *Reader) list(text string) error {
	f := split(text, 3)
	f.word()
	sheet, rows := f.whole(15), f.whole(1<<24)
	if f.err != nil {
		return fmt.Errorf("LIST: %w", f.err)
	}
	var nodes []scheduler.Endpoint
	for range rows {
		text, err := r.read()
		if err != nil {
			return err
		}
		f := split(text, 8)
		if f.word() != "M" {
			return fmt.Errorf("LIST: want %d rows, have %.40q after %d", rows, text, len(nodes))
		}
		nodes = append(nodes, scheduler.Endpoint{Name: f.word(), Zone: f.word(), Kind: f.word(),
			Shard: f.signed(), State: choose(f, nodeStates), Weight: f.number(), StartedAt: f.span()})
		if f.err != nil {
			return fmt.Errorf("LIST row: %w", f.err)
		}
	}
	r.lists[int(sheet)] = nodes
	return nil
}

func (r *Reader) membership(f *fields) scheduler.Event {
	list := scheduler.EndpointUpdate{Kind: choose(f, listKinds), Version: f.whole(math.MaxUint64)}
	sheet := f.word()
	if list.Kind == scheduler.FailedUpdate || f.err != nil {
		return list
	}
	number, err := strconv.Atoi(sheet)
	nodes, known := r.lists[number]
	if err != nil || !known {
		f.fail("list %q was never sent", sheet)
	}
	list.Endpoints = nodes
	return list
}

// fields takes the parts of a line one by one and keeps the first error.
type fields struct {
	parts []string
	next  int
	err   error
}

// split cuts a line into count parts, the last of which runs to the end of the line.
func split(text string, count int) *fields {
	f := &fields{parts: strings.SplitN(text, " ", count)}
	if last := f.parts[len(f.parts)-1]; len(f.parts) != count || !strings.HasPrefix(last, "{") && strings.Contains(last, " ") {
		f.fail("want %d fields, have %d", count, len(strings.Fields(text)))
	}
	return f
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *fields) word() string {
	if f.next >= len(f.parts) {
		return ""
	}
	word := f.parts[f.next]
	f.next++
	if word == "-" {
		return ""
	}
	return word
}

func (f *fields) whole(most uint64) uint64 {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil || n > most {
		f.fail("%q is no whole number up to %d", word, most)
	}
	return n
}

func (f *fields) signed() int {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	n, err := strconv.ParseFloat(word, 64)
	if err != nil || math.Abs(n) > 1<<31 || n != math.Trunc(n) {
		f.fail("%q is no whole number", word)
	}
	return int(n)
}

func (f *fields) number() float64 {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	n, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail("%q is no number", word)
	}
	return n
}

func (f *fields) span() time.Duration {
	return time.Duration(f.whole(math.MaxInt64/1000)) * time.Microsecond
}

func (f *fields) flag() bool {
	word := f.word()
	if word != "0" && word != "1" && word != "" {
		f.fail("%q is neither 0 nor 1", word)
	}
	return word == "1"
}

func (f *fields) bytes() []byte {
	data, err := hex.DecodeString(f.word())
	if err != nil {
		f.fail("bytes: %w", err)
	}
	return data
}

func (f *fields) load() scheduler.LoadReport {
	load := scheduler.NoLoadReport
	text := f.word()
	if text == "" {
		return load
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			f.fail("%q is no load value", pair)
			return load
		}
		switch name {
		case "busy_reqs":
			load.InFlight = x
		case "pending":
			load.Queued = x
		case "cpu_share":
			load.Utilization = x
		case "svc_ms":
			load.ServiceTime = time.Duration(x * float64(time.Millisecond))
		case "served_ps":
			load.ServedRate = x
		case "failed_ps":
			load.ErrorRate = x
		}
	}
	return load
}

func choose[T any](f *fields, table map[string]T) T {
	word := f.word()
	value, known := table[word]
	if !known {
		f.fail("unknown word %.40q", word)
	}
	return value
}

// settings reads the JSON of a START line.
func (f *fields) settings(s *scheduler.Settings) {
	if f.err != nil {
		return
	}
	set, err := config.ParseSettings([]byte(f.word()))
	if err != nil {
		f.fail("settings: %w", err)
		return
	}
	*s = set.Scheduler
}
