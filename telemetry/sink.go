package telemetry

import (
	"fmt"
	"math/rand/v2"
)

// SinkState is the state of a sink.
type SinkState int

// The states of a sink. Their numbers are the values of the series telemetry.SINK.state.
const (
	Idle       SinkState = iota // nothing to send, with or without a connection
	Connecting                  // a dial is in progress
	Sending                     // connected, with a batch in progress
	Stalled                     // a frame has taken longer than StallTimeout; the connection is still open
	BackingOff                  // waiting after a failure before the next dial
	Closed
)

// String returns the state's name.
func (s SinkState) String() string {
	return [...]string{"idle", "connecting", "sending", "stalled", "backing off", "closed"}[s]
}

// SinkStats are the counters of a sink.
type SinkStats struct {
	State         SinkState
	QueueBytes    int
	Sent, Dropped uint64 // number of batches
	Redials       uint64 // dials after a failure
}

// jitterSeed is the second half of the seed of a sink's jitter. The caller of NewSink passes the first half.
const jitterSeed = 0x5eed

// Sink is the state machine for one receiver of batches. It dials when it has something to send. A driver carries out
// the effects, reports their results as events and guards the Sink by a lock.
type Sink struct {
	options     SinkOptions
	jitter      *rand.Rand
	state       SinkState
	connected   bool
	writing     bool // a Write is in progress
	queue       sinkQueue
	dueAt       Micros // end of the current timeout, backoff or pause
	backoff     Micros // the last backoff; 0 after a batch was written completely
	pacing      bool   // the sink pauses to limit its rate to BytesPerSecond
	failed      bool   // a failure occurred since the last batch that was written completely
	unavailable bool   // ReportUnavailable was emitted, without a ReportRecovered since
	closing     bool   // Shutdown was received
	deadline    Micros // deadline of the Shutdown event
	stats       SinkStats
	effects     []SinkEffect
}

// NewSink returns a sink. seed is the seed of its jitter.
func NewSink(options SinkOptions, seed uint64) *Sink {
	options.setDefaults()
	return &Sink{options: options, jitter: rand.New(rand.NewPCG(seed, jitterSeed))}
}

// Stats returns the current counters of the sink.
func (s *Sink) Stats() SinkStats {
	stats := s.stats
	stats.State = s.state
	stats.QueueBytes = s.queue.bytes
	return stats
}

// Next returns when the driver must call Reduce if no event occurs earlier. any is false if there is no such time.
func (s *Sink) Next() (at Micros, any bool) {
	waiting := s.waiting()
	if s.closing && s.state != Closed {
		if waiting && s.dueAt < s.deadline {
			return s.dueAt, true
		}
		return s.deadline, true
	}
	return s.dueAt, waiting
}

// waiting reports whether dueAt is in use.
func (s *Sink) waiting() bool {
	switch s.state {
	case Connecting, Stalled, BackingOff:
		return true
	case Sending:
		return s.writing || s.pacing
	default:
		return s.pacing
	}
}

// Reduce handles an event, or only the passing of time if event is nil. It returns the effects to carry out, in order.
func (s *Sink) Reduce(now Micros, event SinkEvent) []SinkEffect {
	s.effects = nil
	if s.state == Closed {
		return nil
	}
	switch e := event.(type) {
	case BatchOffered:
		s.onBatchOffered(e.Batch)
	case Connected:
		s.onConnected()
	case FrameWritten:
		s.onFrameWritten(now)
	case ConnectionFailed:
		s.fail(now, e.Err.Error())
	case Shutdown:
		s.onShutdown(e.Deadline)
	}
	if s.mayClose(now) {
		s.close()
		return s.effects
	}
	if now >= s.dueAt {
		s.onDue(now)
	}
	s.proceed(now)
	return s.effects
}

func (s *Sink) emit(e SinkEffect) { s.effects = append(s.effects, e) }

func (s *Sink) onBatchOffered(batch Batch) {
	if len(batch.Frames) == 0 {
		return
	}
	s.queue.push(batch)
	s.shrinkQueue()
}

func (s *Sink) shrinkQueue() {
	s.stats.Dropped += s.queue.shrink(s.options.QueueBytes, s.writing)
}

func (s *Sink) onConnected() {
	if s.state == Connecting {
		s.connected = true
		s.state = Idle
	}
}

func (s *Sink) onFrameWritten(now Micros) {
	if !s.writing {
		return
	}
	s.pace(now, len(s.queue.frame()))
	s.writing = false
	if s.state == Stalled {
		s.state = Sending
	}
	if !s.queue.advance(s.options.ResendLast) {
		return
	}
	s.stats.Sent++
	s.failed = false
	s.backoff = 0
	if s.unavailable {
		s.unavailable = false
		s.emit(ReportRecovered{})
	}
}

// pace begins a pause after a frame if more batches are queued or the rate of every batch is limited. The pause
// protects a sink that has just recovered: without it, the queued batches of all brokers would arrive at once, and the
// sink would fail again.
func (s *Sink) pace(now Micros, bytes int) {
	if len(s.queue.batches) > 1 || s.options.PaceEveryBatch {
		s.pacing = true
		s.dueAt = now + Micros(bytes)*second/Micros(s.options.BytesPerSecond)
	}
}

// onShutdown ends a backoff, so that the sink dials once more to send its queue.
func (s *Sink) onShutdown(deadline Micros) {
	s.closing = true
	s.deadline = deadline
	if s.state == BackingOff {
		s.state = Idle
	}
}

// fail ends the connection or the dial in progress, and begins a backoff.
func (s *Sink) fail(now Micros, reason string) {
	if s.connected && s.queue.requeueSent() {
		s.stats.Sent--
	}
	s.connected = false
	s.writing = false
	s.pacing = false
	s.queue.nextFrame = 0
	s.shrinkQueue()
	s.backoff = s.nextBackoff()
	s.state = BackingOff
	s.dueAt = now + s.backoff
	s.failed = true
	s.reportUnavailable(reason)
}

// nextBackoff returns a random time between MinBackoff and three times the previous backoff ("decorrelated jitter"), at
// most MaxBackoff. The jitter prevents brokers that lost a sink at the same time from dialing it at the same time.
func (s *Sink) nextBackoff() Micros {
	longest := min(s.options.MaxBackoff, max(s.options.MinBackoff, 3*s.backoff))
	return s.options.MinBackoff + s.jitter.Int64N(longest-s.options.MinBackoff+1)
}

func (s *Sink) reportUnavailable(reason string) {
	if !s.unavailable {
		s.unavailable = true
		s.emit(ReportUnavailable{Reason: reason})
	}
}

// mayClose reports whether a sink that is shutting down has sent its whole queue or reached its deadline.
func (s *Sink) mayClose(now Micros) bool {
	if !s.closing {
		return false
	}
	return now >= s.deadline || len(s.queue.batches) == 0 && !s.writing
}

func (s *Sink) close() {
	s.stats.Dropped += uint64(len(s.queue.batches))
	s.queue.batches = nil
	s.queue.bytes = 0
	s.queue.sent = Batch{}
	if s.connected || s.state == Connecting {
		s.emit(Disconnect{})
	}
	s.state = Closed
	s.pacing = false
	s.emit(Finished{})
}

// onDue handles the end of the current timeout, backoff or pause.
func (s *Sink) onDue(now Micros) {
	switch {
	case s.pacing:
		s.pacing = false
	case s.state == Connecting:
		s.emit(Disconnect{})
		s.fail(now, fmt.Sprintf("no connection within %d ms", millis(s.options.ConnectTimeout)))
	case s.state == Sending && s.writing:
		s.state = Stalled
		s.dueAt = now + s.options.WriteTimeout - s.options.StallTimeout
		s.reportUnavailable(stalledReason(s.options.StallTimeout))
	case s.state == Stalled:
		s.emit(Disconnect{})
		s.fail(now, stalledReason(s.options.WriteTimeout))
	case s.state == BackingOff:
		s.state = Idle
	}
}

func stalledReason(timeout Micros) string {
	return fmt.Sprintf("it has taken nothing for %d ms", millis(timeout))
}

func millis(span Micros) int64 { return span / 1000 }

// proceed begins the next dial or write if possible.
func (s *Sink) proceed(now Micros) {
	if s.pacing || s.writing || s.state == BackingOff || s.state == Connecting {
		return
	}
	if len(s.queue.batches) == 0 {
		s.state = Idle
		return
	}
	if !s.connected {
		if s.failed {
			s.stats.Redials++
		}
		s.state = Connecting
		s.dueAt = now + s.options.ConnectTimeout
		s.emit(Dial{})
		return
	}
	s.state = Sending
	s.writing = true
	s.dueAt = now + s.options.StallTimeout
	s.emit(Write{Frame: s.queue.frame()})
}
