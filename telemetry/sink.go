package telemetry

import (
	"fmt"
	"math/rand/v2"
)

// SinkState is what a sink is doing.
type SinkState int

// The states of a sink. Their numbers are the values of the series telemetry.SINK.state.
const (
	Idle       SinkState = iota // connected or not, with nothing to send
	Connecting                  // a dial is in progress
	Sending                     // connected, with a batch in progress
	Stalled                     // a frame has taken longer than StallTimeout; the connection still stands
	BackingOff                  // it failed; nothing is tried until the backoff is over
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
	Sent, Dropped uint64 // batches
	Redials       uint64 // dials after a failure
}

// jitterSeed is the second half of the seed of a sink's jitter; the first is the caller's.
const jitterSeed = 0x5eed

// Sink decides for one receiver of batches. It dials when there is something to send. Its driver carries out the
// effects, reports what came of them as events, and guards it by a lock.
type Sink struct {
	options     SinkOptions
	jitter      *rand.Rand
	state       SinkState
	connected   bool
	writing     bool // a Write is in progress
	queue       sinkQueue
	dueAt       Micros // when the timeout, the backoff or the pause in progress is over
	backoff     Micros // the last one; 0 after a success
	pacing      bool   // it pauses to keep to BytesPerSecond
	failed      bool   // since the last batch that was written whole
	unavailable bool   // ReportUnavailable was emitted, and no ReportRecovered since
	closing     bool   // Shutdown was received
	deadline    Micros // of Shutdown
	stats       SinkStats
	effects     []SinkEffect
}

// NewSink returns a sink. The seed is that of its jitter.
func NewSink(options SinkOptions, seed uint64) *Sink {
	options.setDefaults()
	return &Sink{options: options, jitter: rand.New(rand.NewPCG(seed, jitterSeed))}
}

// Stats returns the counters of the sink as it is now.
func (s *Sink) Stats() SinkStats {
	stats := s.stats
	stats.State = s.state
	stats.QueueBytes = s.queue.bytes
	return stats
}

// Next returns when Reduce wants to be called at the latest, if nothing else happens.
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

// waiting tells whether dueAt is in use.
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

// Reduce takes an event, or nil for the passing of time alone, and returns what is to be done, in order.
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

// pace begins a pause after a frame. It guards a sink that has just come back against a flood: without it, the batches
// that waited at all brokers would arrive at once, and the sink would fail again.
func (s *Sink) pace(now Micros, bytes int) {
	if len(s.queue.batches) > 1 || s.options.PaceEveryBatch {
		s.pacing = true
		s.dueAt = now + Micros(bytes)*second/Micros(s.options.BytesPerSecond)
	}
}

// onShutdown ends a backoff, for one more attempt to send what waits.
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

// nextBackoff is drawn between the shortest and three times the one before ("decorrelated jitter"), so that brokers
// that lost a sink together do not come back together.
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

// mayClose tells whether a sink that is to close has sent all, or has reached its deadline.
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

// onDue handles the end of the timeout, the backoff or the pause in progress.
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

// proceed begins the next dial or write, if one can begin now.
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
