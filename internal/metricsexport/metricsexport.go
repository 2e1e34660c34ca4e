// Package metricsexport carries a broker's figures to Graphite and collectd as package telemetry decides. At each interval the core's
// loop hands over a cut of all series; everything else, from summing up to a sink that stands still, happens here, on
// goroutines that no request waits for.
package metricsexport

import (
	"context"
	"hash/maphash"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/telemetry"
)

// Options say what a Reporter tells and where it finds it.
type Options struct {
	Name    string                 // the broker's
	Loop    Loop                   // where the registry lives
	Figures func() []broker.Metric // the broker's own figures; called on the loop
	Log     *slog.Logger
}

// Loop runs calls between turns.
type Loop interface{ Do(func()) }

// Settings are what may change while the broker runs.
type Settings struct {
	Registry telemetry.Options
	Graphite config.Graphite
	Collectd config.Collectd
}

// Reporter tells sinks of one broker.
type Reporter struct {
	opt      Options
	registry *telemetry.Registry // of the loop's goroutine, as is on
	on       bool

	settings chan Settings
	notices  chan collectd.Notice
	finish   chan time.Time
	over     chan struct{}
	started  atomic.Bool
	hasten   func(*target) // of tests, which can't wait for seconds; nil otherwise

	mu    sync.Mutex
	sinks []*sink // for whoever reads their figures
	taken uint64  // cuts
	rows  int
	swaps uint64 // volumes that got or lost a row
}

const (
	noticesMost = 64 // that wait; further ones are lost
	cutTime     = time.Second
)

// New returns a reporter. Its Observe is to hear the loop's facts; Run tells them on.
func New(opt Options) *Reporter {
	return &Reporter{opt: opt, settings: make(chan Settings, 1), notices: make(chan collectd.Notice, noticesMost),
		finish: make(chan time.Time, 1), over: make(chan struct{})}
}

// Observe hears facts, on the loop's goroutine. While no sink is on it does nothing.
func (r *Reporter) Observe(facts []telemetry.Fact) {
	if !r.on {
		return
	}
	r.registry.Observe(facts)
	for i := range facts {
		if facts[i].Kind == telemetry.NodeLeaving {
			r.Notify(collectd.Notice{Severity: collectd.Warning, Instance: "nodes", Text: "node listed down: " + facts[i].Node})
		}
	}
}

// Notify tells collectd of something that happened. It does not wait: what comes too fast is lost.
func (r *Reporter) Notify(n collectd.Notice) {
	select {
	case r.notices <- n:
	default:
	}
}

// Retune goes over to other settings, which were checked. It is for one caller at a time.
func (r *Reporter) Retune(s Settings) {
	select {
	case <-r.settings:
	default:
	}
	r.settings <- s
}

// Finish tells what the last interval holds so far, and ends Run by a point of time at the latest; what is unsent by then is
// dropped and counted.
func (r *Reporter) Finish(by time.Time) {
	if !r.started.Load() {
		return
	}
	select {
	case r.finish <- by:
	default:
	}
	<-r.over
}

// Run tells sinks until ctx ends or Finish was called.
func (r *Reporter) Run(ctx context.Context) {
	r.started.Store(true)
	defer close(r.over)
	var (
		spent *telemetry.Cut
		stamp telemetry.Stamps
		tick  *time.Ticker
		ticks <-chan time.Time
		base  time.Duration
		total = telemetry.NewSummarizer()
	)
	cut := func(final bool) {
		taken, figures, ok := r.cut(ctx, spent)
		if !ok { // the loop had no time: the interval goes on
			return
		}
		spent = taken
		at, back := stamp.Next(time.Now().Unix())
		if back {
			r.opt.Log.Warn("clock stepped back")
		}
		figures = append(figures, r.Figures()...)
		for _, s := range r.all() {
			s.gather(taken, base)
			if final || s.due() {
				s.tell(r.opt.Name, figures, at, total)
			}
		}
		taken.Clear(breathe)
	}
	defer func() {
		for _, s := range r.all() {
			s.stop(time.Time{})
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case by := <-r.finish:
			if len(r.all()) > 0 {
				cut(true)
			}
			for _, s := range r.all() {
				s.finish(by)
			}
			for _, s := range r.all() {
				s.stop(by)
			}
			return
		case set := <-r.settings:
			base = r.follow(set, &spent)
			if tick != nil {
				tick.Stop()
			}
			ticks = nil
			if base > 0 {
				tick = time.NewTicker(base)
				ticks = tick.C
			}
		case n := <-r.notices:
			for _, s := range r.all() {
				s.notify(n)
			}
		case <-ticks:
			cut(false)
		}
	}
}

// follow starts, changes and stops sinks, and returns how often to cut: the common measure of their intervals.
func (r *Reporter) follow(set Settings, spent **telemetry.Cut) time.Duration {
	old := r.all()
	var sinks []*sink
	base := time.Duration(0)
	for _, want := range targets(set, r.opt.Name) {
		if r.hasten != nil {
			r.hasten(&want)
		}
		var held *sink
		for _, s := range old {
			if s.target.same(want) {
				held = s
			}
		}
		if held == nil {
			held = newSink(want, r.opt.Log, r.Notify, seed())
		} else {
			held.target.encode = want.encode // the key may be new
		}
		sinks = append(sinks, held)
		base = measure(base, want.interval)
	}
	for _, s := range old {
		kept := false
		for _, k := range sinks {
			kept = kept || k == s
		}
		if !kept {
			s.stop(time.Time{})
		}
	}
	r.mu.Lock()
	r.sinks = sinks
	r.mu.Unlock()
	on := len(sinks) > 0
	*spent = nil
	r.opt.Loop.Do(func() { r.turn(on, set.Registry) })
	return base
}

// turn has the registry begin, change or end, on the loop's goroutine.
func (r *Reporter) turn(on bool, opt telemetry.Options) {
	r.on = on
	if !on {
		r.registry = nil
		return
	}
	var err error
	if r.registry == nil {
		r.registry, err = telemetry.New(opt)
	} else {
		err = r.registry.Retune(opt)
	}
	if err != nil { // guards against settings that nobody checked
		r.on = r.registry != nil
		r.opt.Log.Error("series off", "reason", err)
	}
}

func seed() uint64 { return new(maphash.Hash).Sum64() }

// measure is the greatest span of which both are multiples.
func measure(a, b time.Duration) time.Duration {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// cut takes a cut and the broker's own figures of the same moment from the loop.
func (r *Reporter) cut(ctx context.Context, spent *telemetry.Cut) (*telemetry.Cut, []broker.Metric, bool) {
	type result struct {
		cut     *telemetry.Cut
		figures []broker.Metric
	}
	done := make(chan result, 1)
	var given atomic.Bool
	r.opt.Loop.Do(func() {
		if r.registry == nil || !given.CompareAndSwap(false, true) {
			done <- result{}
			return
		}
		cut := r.registry.Cut(spent)
		swaps := r.registry.Changes()
		done <- result{cut, r.opt.Figures()}
		r.mu.Lock()
		r.taken, r.rows, r.swaps = r.taken+1, len(cut.Rows), swaps
		r.mu.Unlock()
	})
	late := time.NewTimer(cutTime)
	defer late.Stop()
	select {
	case got := <-done:
		return got.cut, got.figures, got.cut != nil
	case <-ctx.Done():
	case <-late.C:
	}
	if given.CompareAndSwap(false, true) { // it will not come
		return nil, nil, false
	}
	got := <-done
	return got.cut, got.figures, got.cut != nil
}

func (r *Reporter) all() []*sink {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sinks
}

// Figures are what the reporter tells of itself, for the operators' console too. They are empty while no sink is on.
func (r *Reporter) Figures() []broker.Metric {
	r.mu.Lock()
	sinks, rows, swaps := r.sinks, r.rows, r.swaps
	r.mu.Unlock()
	if len(sinks) == 0 {
		return nil
	}
	all := []broker.Metric{{Name: "telemetry.series", Value: uint64(rows * telemetry.RowSeries)},
		{Name: "telemetry.volume_changes", Value: swaps, Counter: true}}
	for _, s := range sinks {
		f, name := s.figures(), "telemetry."+s.target.name
		all = append(all, broker.Metric{Name: name + ".state", Value: uint64(f.State)},
			broker.Metric{Name: name + ".queue_bytes", Value: uint64(f.QueueBytes)},
			broker.Metric{Name: name + ".sent_intervals", Value: f.Sent, Counter: true},
			broker.Metric{Name: name + ".dropped_intervals", Value: f.Dropped, Counter: true},
			broker.Metric{Name: name + ".redials", Value: f.Redials, Counter: true})
	}
	return all
}
