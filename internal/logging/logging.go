// Package logs makes the loggers that a program hands to its parts: JSON or for human eyes, with lines that repeat themselves
// sampled.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/lmittmann/tint"
	"golang.org/x/sys/unix"
)

// Formats are the ways that lines are written.
var Formats = []string{"human", "json"}

// Options of a logger.
type Options struct {
	Name             string     // the broker's, on every line as "broker"
	Format           string     // one of Formats; empty: human
	Level            slog.Level // what is below is left out
	Color            bool       // of human lines, for a terminal
	SamplingDisabled bool       // no line is left out, however often it comes: for a checker that reads them
}

// IsTerminal tells whether a file is one: colour and progress are shown there alone.
func IsTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// New returns a logger. An error names a format that there is not.
func New(w io.Writer, o Options) (*slog.Logger, error) {
	var h slog.Handler
	switch o.Format {
	case "json":
		h = monotonic{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: o.Level})}
	case "", "human":
		h = tint.NewHandler(w, &tint.Options{Level: o.Level, TimeFormat: "2006/01/02 15:04:05.000000", NoColor: !o.Color})
	default:
		return nil, fmt.Errorf("%q is none of %s", o.Format, strings.Join(Formats, ", "))
	}
	if !o.SamplingDisabled {
		h = Sample(h, time.Now)
	}
	return slog.New(h).With("broker", o.Name), nil
}

// monotonic adds "mono_us" to each line: the machine's monotonic clock, in microseconds, by which the lines of all its processes
// stand in one order whatever happens to the system's clock.
type monotonic struct{ slog.Handler }

// Handle implements slog.Handler.
func (m monotonic) Handle(ctx context.Context, r slog.Record) error {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) == nil {
		r.AddAttrs(slog.Int64("mono_us", t.Nano()/1000))
	}
	return m.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (m monotonic) WithAttrs(attrs []slog.Attr) slog.Handler {
	return monotonic{m.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (m monotonic) WithGroup(name string) slog.Handler {
	return monotonic{m.Handler.WithGroup(name)}
}

const (
	sampleWindow = 10 * time.Second
	sampleLines  = 5   // of one message and level in a window
	sampleKinds  = 256 // messages that are told apart; beyond, the window ends for all
)

// Sample lets through a few lines of one message and level in 10 s, and notes on the next how many were left out: a fault that
// repeats itself must neither fill a disk nor hide what else is said. Errors are sampled too.
func Sample(h slog.Handler, clock func() time.Time) slog.Handler {
	return &sampler{Handler: h, seen: &seen{clock: clock, kinds: map[kind]*tally{}}}
}

type kind struct {
	level slog.Level
	text  string
}

type tally struct {
	began         time.Time
	lines, hidden int
}

// seen is shared by a handler and those derived from it.
type seen struct {
	clock func() time.Time
	mu    sync.Mutex
	kinds map[kind]*tally
}

type sampler struct {
	slog.Handler
	seen *seen
}

// Handle implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	pass, hidden := s.seen.pass(kind{r.Level, r.Message})
	if !pass {
		return nil
	}
	if hidden > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left_out", hidden))
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.seen}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.seen}
}

func (s *seen) pass(k kind) (pass bool, hidden int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	t := s.kinds[k]
	if t == nil {
		if len(s.kinds) >= sampleKinds {
			clear(s.kinds)
		}
		t = &tally{began: now}
		s.kinds[k] = t
	}
	if now.Sub(t.began) >= sampleWindow {
		hidden = t.hidden
		*t = tally{began: now}
	}
	if t.lines >= sampleLines {
		t.hidden++
		return false, 0
	}
	t.lines++
	return true, hidden
}

// ToFunc returns a logger that hands each line to a function, as "message key=value ...": for tests, and for programs that
// link the core and log in their own way.
func ToFunc(line func(string)) *slog.Logger { return slog.New(funcHandler{line: line}) }

type funcHandler struct {
	line  func(string)
	attrs string
}

// Enabled implements slog.Handler.
func (h funcHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h funcHandler) Handle(_ context.Context, r slog.Record) error {
	text := r.Message + h.attrs
	r.Attrs(func(a slog.Attr) bool {
		text += " " + a.String()
		return true
	})
	h.line(text)
	return nil
}

// WithAttrs implements slog.Handler.
func (h funcHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	for _, a := range attrs {
		h.attrs += " " + a.String()
	}
	return h
}

// WithGroup implements slog.Handler; groups are not told apart.
func (h funcHandler) WithGroup(string) slog.Handler { return h }

// Discard drops all lines.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
