package metricsexport

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"junctionwharf/internal/collectd"
	"junctionwharf/telemetry"
)

// The texts of notifications, and what they are about. Operators' rules in collectd match them.
const (
	instanceNodes   = "nodes"
	instanceSinks   = "sinks"
	textNodeDown    = "node listed down: "
	textUnavailable = " lost: "
	textRecovered   = " back"
)

// sink drives a telemetry.Sink: it carries out the effects and reports events. Nobody who offers a batch waits for it.
type sink struct {
	log   *slog.Logger
	alert func(collectd.Notification) // must not block
	start time.Time                   // 0 of the state machine's clock
	ended chan struct{}               // closed once the state machine has finished

	// target does not change; rollup and collected belong to the goroutine of Exporter.Run.
	target    target
	rollup    *telemetry.Rollup
	collected time.Duration // of the interval in progress, in the rollup

	mu       sync.Mutex
	machine  *telemetry.Sink
	timer    *time.Timer // calls when the state machine wants to be called
	finished bool
	// connectionID numbers the connections; events of earlier ones are ignored.
	connectionID int
	conn         net.Conn           // nil while there is none
	cancelDial   context.CancelFunc // of the dial in progress or done; nil while there is none
}

func newSink(t target, log *slog.Logger, alert func(collectd.Notification), seed uint64) *sink {
	return &sink{
		log:     log.With("sink", t.name),
		alert:   alert,
		start:   time.Now(),
		ended:   make(chan struct{}),
		target:  t,
		rollup:  telemetry.NewRollup(),
		machine: telemetry.NewSink(t.options, seed),
	}
}

// add merges a snapshot that covers a span of time.
func (s *sink) add(snapshot *telemetry.Snapshot, span time.Duration) {
	s.rollup.Add(snapshot, yield)
	s.collected += span
}

func (s *sink) intervalOver() bool { return s.collected >= s.target.interval }

// encode encodes the interval in progress and queues it.
func (s *sink) encode(i interval) {
	s.collected = 0
	i.rollup = s.rollup
	frames, err := s.target.encode(i)
	if err != nil {
		s.log.Error("interval not encoded", "reason", err)
		return
	}
	s.reduce(telemetry.BatchOffered{Batch: telemetry.Batch{Frames: frames}})
}

// notify queues a notification, if the sink takes any. One that does not fit into a packet is left out.
func (s *sink) notify(n collectd.Notification) {
	if s.target.encodeNotification == nil {
		return
	}
	frame, err := s.target.encodeNotification(n, time.Now())
	if err != nil {
		return
	}
	s.reduce(telemetry.BatchOffered{Batch: telemetry.Batch{Frames: [][]byte{frame}}})
}

// shutdown has the sink send what waits, until the deadline. It does not wait for it.
func (s *sink) shutdown(deadline time.Time) {
	s.reduce(telemetry.Shutdown{Deadline: deadline.Sub(s.start).Microseconds()})
}

// stop waits for the sink's end until the deadline, and ends it then; what is unsent is dropped.
func (s *sink) stop(deadline time.Time) {
	select {
	case <-s.ended:
	case <-time.After(time.Until(deadline)):
		s.reduce(telemetry.Shutdown{Deadline: 0})
	}
}

func (s *sink) stats() telemetry.SinkStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Stats()
}

// reduce takes an event that belongs to no connection, or nil for the passing of time alone.
func (s *sink) reduce(event telemetry.SinkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reduceLocked(event)
}

// reduceLocked passes an event to the state machine and carries out the effects; nothing in it blocks.
func (s *sink) reduceLocked(event telemetry.SinkEvent) {
	if s.finished {
		return
	}
	for _, effect := range s.machine.Reduce(time.Since(s.start).Microseconds(), event) {
		s.carryOut(effect)
	}
	if !s.finished {
		s.resetTimer()
	}
}

func (s *sink) carryOut(effect telemetry.SinkEffect) {
	switch e := effect.(type) {
	case telemetry.Dial:
		s.dial()
	case telemetry.Write:
		go s.write(s.connectionID, s.conn, e.Frame)
	case telemetry.Disconnect:
		s.disconnect()
	case telemetry.ReportUnavailable:
		s.log.Warn("sink unavailable", "reason", e.Reason)
		s.alert(s.newNotification(collectd.Failure, textUnavailable+e.Reason))
	case telemetry.ReportRecovered:
		s.log.Info("sink recovered")
		s.alert(s.newNotification(collectd.Okay, textRecovered))
	case telemetry.Finished:
		s.finish()
	}
}

func (s *sink) newNotification(severity collectd.Severity, text string) collectd.Notification {
	return collectd.Notification{
		Severity: severity,
		Instance: instanceSinks,
		Text:     s.target.name + text,
	}
}

func (s *sink) finish() {
	s.finished = true
	s.disconnect()
	if s.timer != nil {
		s.timer.Stop()
	}
	close(s.ended)
}

// resetTimer has the state machine called when it wants to be.
func (s *sink) resetTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
	at, any := s.machine.Next()
	if !any {
		return
	}
	due := s.start.Add(time.Duration(at) * time.Microsecond)
	s.timer = time.AfterFunc(time.Until(due), func() { s.reduce(nil) })
}
