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

// The instances and texts of notifications. Operators' rules in collectd match them.
const (
	instanceNodes   = "nodes"
	instanceSinks   = "sinks"
	textNodeDown    = "node listed down: "
	textUnavailable = " lost: "
	textRecovered   = " back"
)

// sink is the driver of a telemetry.Sink: it carries out the effects and reports events. Offering a batch does not
// block.
type sink struct {
	log   *slog.Logger
	alert func(collectd.Notification) // must not block
	start time.Time                   // time 0 of the state machine's clock
	ended chan struct{}               // closed when the state machine has finished

	// target is constant. Only the goroutine of Exporter.Run uses rollup and collected.
	target    target
	rollup    *telemetry.Rollup
	collected time.Duration // time covered by the rollup

	mu       sync.Mutex
	machine  *telemetry.Sink
	timer    *time.Timer // calls reduce at the time that the state machine requested
	finished bool
	// connectionID numbers the connections. Events of earlier connections are ignored.
	connectionID int
	conn         net.Conn           // nil without a connection
	cancelDial   context.CancelFunc // cancels the last dial; nil before the first dial and after disconnect
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

// add merges a snapshot that covers the given time.
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

// notify queues a notification if the sink supports notifications. A notification that cannot be encoded is skipped.
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

// shutdown makes the sink send its queue until the deadline. It does not wait for the sink.
func (s *sink) shutdown(deadline time.Time) {
	s.reduce(telemetry.Shutdown{Deadline: deadline.Sub(s.start).Microseconds()})
}

// stop waits until the sink has closed. At the deadline it closes the sink and drops unsent data. With a zero deadline,
// it does so immediately.
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

// reduce handles an event that belongs to no connection, or only the passing of time if event is nil.
func (s *sink) reduce(event telemetry.SinkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reduceLocked(event)
}

// reduceLocked passes an event to the state machine and carries out the effects. It does not block.
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

// resetTimer schedules the next call of reduce at the time that the state machine requests.
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
