package telemetry

import (
	"fmt"
	"math/rand/v2"
)

// Micros is a point on the monotonic clock, or a span of it, in µs.
type Micros = int64

// Batch is one interval as a sink takes it: frames that are written one after the other, each whole.
type Batch struct{ Frames [][]byte }

func (b Batch) bytes() int {
	n := 0
	for _, f := range b.Frames {
		n += len(f)
	}
	return n
}

// SinkOptions are a sink's times and bounds. The zero value of a field means its default.
type SinkOptions struct {
	QueueBytes     int    // intervals that wait, the one being sent included; 4 MiB by default
	ConnectTimeout Micros // a dial that takes longer has failed; 2 s
	StallTimeout   Micros // a frame that takes longer makes the sink stalled; 2 s
	WriteTimeout   Micros // one that takes this long costs the connection; 10 s
	MinBackoff     Micros // the first rest after a failure; 500 ms
	MaxBackoff     Micros // the longest; 60 s
	BytesPerSecond int    // bytes a second at which intervals that waited are sent on; 256 KiB
	PaceEveryBatch bool   // every interval is paced: datagrams that come all at once are lost at the receiver
	ResendLast     bool   // the interval written last is sent again on a new connection, where its end may not have arrived
}

func (o *SinkOptions) complete() {
	for _, d := range []struct {
		value    *Micros
		fallback Micros
	}{{&o.ConnectTimeout, 2e6}, {&o.StallTimeout, 2e6}, {&o.WriteTimeout, 10e6}, {&o.MinBackoff, 5e5}, {&o.MaxBackoff, 60e6}} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	if o.QueueBytes == 0 {
		o.QueueBytes = 4 << 20
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = 256 << 10
	}
}

// SinkState is what a sink is doing.
type SinkState int

// The states of a sink.
const (
	Idle       SinkState = iota // connected or not, nothing to send
	Connecting                  // a dial is under way
	Sending                     // connected, with an interval under way
	Stalled                     // it has not taken a frame for too long; the connection still stands
	BackingOff                  // it failed; nothing is tried until the rest is over
	Closed
)

func (s SinkState) String() string {
	return [...]string{"idle", "connecting", "sending", "stalled", "resting", "ended"}[s]
}

// SinkEvent is something that happened to a sink; Sink.Reduce takes it.
type SinkEvent interface{ sinkEvent() }

// The events of a sink.
type (
	// BatchOffered brings an interval.
	BatchOffered struct{ Batch Batch }
	// Connected tells that the dial succeeded.
	Connected struct{}
	// FrameWritten tells that the frame was taken whole.
	FrameWritten struct{}
	// ConnectionFailed tells that a dial or the connection failed. Nothing of that connection follows.
	ConnectionFailed struct{ Err error }
	// Shutdown asks to send what waits by a point of the clock, and to end then at the latest.
	Shutdown struct{ Deadline Micros }
)

func (BatchOffered) sinkEvent()     {}
func (Connected) sinkEvent()        {}
func (FrameWritten) sinkEvent()     {}
func (ConnectionFailed) sinkEvent() {}
func (Shutdown) sinkEvent()         {}

// SinkEffect is something that a sink wants done.
type SinkEffect interface{ sinkEffect() }

// The effects of a sink.
type (
	// Dial opens a connection: Connected or ConnectionFailed follows.
	Dial struct{}
	// Write writes a frame: FrameWritten or ConnectionFailed follows.
	Write struct{ Frame []byte }
	// Disconnect ends the connection, or the dial under way, at once. Nothing of it follows.
	Disconnect struct{}
	// ReportUnavailable tells people that the sink does not take what it should, once until ReportRecovered.
	ReportUnavailable struct{ Reason string }
	// ReportRecovered tells people that it does again.
	ReportRecovered struct{}
	// Finished ends the sink: nothing follows.
	Finished struct{}
)

func (Dial) sinkEffect()              {}
func (Write) sinkEffect()             {}
func (Disconnect) sinkEffect()        {}
func (ReportUnavailable) sinkEffect() {}
func (ReportRecovered) sinkEffect()   {}
func (Finished) sinkEffect()          {}

// SinkStats are what a sink tells of itself.
type SinkStats struct {
	State                  SinkState
	QueueBytes             int
	Sent, Dropped, Redials uint64 // intervals; Redials counts dials after a failure
}

// Sink decides for one receiver of intervals. It begins to dial when there is something to send.
type Sink struct {
	opt       SinkOptions
	random    *rand.Rand
	state     SinkState
	connected bool
	writing   bool
	queue     []Batch
	frame     int // of queue[0], the next to write
	bytes     int
	last      Batch  // written last on this connection, where it is sent again; its bytes count in bytes
	due       Micros // when what is under way takes too long, or the rest or the pause is over
	rest      Micros // the last one
	pausing   bool   // for the sake of the pace
	failed    bool   // since the last interval that was taken whole
	lost      bool   // people were told
	finishing bool
	by        Micros // while finishing
	figures   SinkStats
	effects   []SinkEffect
}

// NewSink returns a sink. seed is of its jitter.
func NewSink(opt SinkOptions, seed uint64) *Sink {
	opt.complete()
	return &Sink{opt: opt, random: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// Stats tells of the sink as it is now.
func (s *Sink) Stats() SinkStats {
	f := s.figures
	f.State, f.QueueBytes = s.state, s.bytes
	return f
}

// Next tells when Reduce wants to be called again at the latest.
func (s *Sink) Next() (at Micros, any bool) {
	waits := s.pausing || s.state == Connecting || s.state == Sending && s.writing || s.state == Stalled || s.state == BackingOff
	if s.finishing && s.state != Closed {
		if waits && s.due < s.by {
			return s.due, true
		}
		return s.by, true
	}
	return s.due, waits
}

// Reduce takes an event, or nil for the passing of time alone, and returns what is to be done, in order.
func (s *Sink) Reduce(now Micros, event SinkEvent) []SinkEffect {
	s.effects = nil
	if s.state == Closed {
		return nil
	}
	switch e := event.(type) {
	case BatchOffered:
		s.offer(e.Batch)
	case Connected:
		if s.state == Connecting {
			s.connected, s.state = true, Idle
		}
	case FrameWritten:
		if s.writing {
			s.wrote(now)
		}
	case ConnectionFailed:
		s.fail(now, e.Err.Error())
	case Shutdown:
		s.finishing, s.by = true, e.Deadline
		if s.state == BackingOff { // one more try
			s.state = Idle
		}
	}
	s.overdue(now)
	s.proceed(now)
	return s.effects
}

func (s *Sink) do(e SinkEffect) { s.effects = append(s.effects, e) }

// offer queues an interval. What no longer fits goes, the oldest first and whole; one that is partly written stays until
// it is written or its connection is lost.
func (s *Sink) offer(b Batch) {
	if len(b.Frames) == 0 {
		return
	}
	s.queue = append(s.queue, b)
	s.bytes += b.bytes()
	s.fit()
}

func (s *Sink) fit() {
	if s.bytes > s.opt.QueueBytes {
		s.forgetLast()
	}
	for s.bytes > s.opt.QueueBytes {
		oldest := 0
		if s.writing || s.frame > 0 {
			oldest = 1
		}
		if oldest >= len(s.queue) {
			return
		}
		s.bytes -= s.queue[oldest].bytes()
		s.queue = append(s.queue[:oldest:oldest], s.queue[oldest+1:]...)
		s.figures.Dropped++
	}
}

func (s *Sink) forgetLast() {
	s.bytes -= s.last.bytes()
	s.last = Batch{}
}

func (s *Sink) wrote(now Micros) {
	written := len(s.queue[0].Frames[s.frame])
	if len(s.queue) > 1 || s.opt.PaceEveryBatch { // guards a sink that has just come back against a flood
		s.pausing, s.due = true, now+Micros(written)*1e6/Micros(s.opt.BytesPerSecond)
	}
	s.writing = false
	if s.state == Stalled {
		s.state = Sending
	}
	if s.frame++; s.frame < len(s.queue[0].Frames) {
		return
	}
	done := s.queue[0]
	s.queue, s.frame = s.queue[1:], 0
	s.figures.Sent++
	s.forgetLast()
	if s.opt.ResendLast {
		s.last = done
	} else {
		s.bytes -= done.bytes()
	}
	s.failed, s.rest = false, 0
	if s.lost {
		s.lost = false
		s.do(ReportRecovered{})
	}
}

// fail ends the connection or dial that is under way, and begins a rest: the next is drawn between the least and three times the
// one before ("decorrelated jitter"), so that brokers which lost a sink together do not come back together.
func (s *Sink) fail(now Micros, reason string) {
	if s.connected && len(s.last.Frames) > 0 {
		s.queue = append([]Batch{s.last}, s.queue...)
		s.last = Batch{}
		s.figures.Sent--
	}
	s.connected, s.writing, s.pausing, s.frame = false, false, false, 0
	s.fit()
	top := min(s.opt.MaxBackoff, max(s.opt.MinBackoff, 3*s.rest))
	s.rest = s.opt.MinBackoff + s.random.Int64N(top-s.opt.MinBackoff+1)
	s.state, s.due, s.failed = BackingOff, now+s.rest, true
	s.tellLost(reason)
}

func (s *Sink) tellLost(reason string) {
	if !s.lost {
		s.lost = true
		s.do(ReportUnavailable{reason})
	}
}

// overdue looks at what was to be over by now.
func (s *Sink) overdue(now Micros) {
	if s.finishing && (now >= s.by || len(s.queue) == 0 && !s.writing) {
		s.figures.Dropped += uint64(len(s.queue))
		s.queue, s.bytes, s.last = nil, 0, Batch{}
		if s.connected || s.state == Connecting {
			s.do(Disconnect{})
		}
		s.state, s.pausing = Closed, false
		s.do(Finished{})
		return
	}
	if now < s.due {
		return
	}
	switch {
	case s.pausing:
		s.pausing = false
	case s.state == Connecting:
		s.do(Disconnect{})
		s.fail(now, fmt.Sprintf("no connection within %d ms", s.opt.ConnectTimeout/1000))
	case s.state == Sending && s.writing:
		s.state, s.due = Stalled, now+s.opt.WriteTimeout-s.opt.StallTimeout
		s.tellLost(fmt.Sprintf("it has taken nothing for %d ms", s.opt.StallTimeout/1000))
	case s.state == Stalled:
		s.do(Disconnect{})
		s.fail(now, fmt.Sprintf("it has taken nothing for %d ms", s.opt.WriteTimeout/1000))
	case s.state == BackingOff:
		s.state = Idle
	}
}

// proceed begins what can be begun.
func (s *Sink) proceed(now Micros) {
	if s.pausing || s.writing || s.state == BackingOff || s.state == Connecting || s.state == Closed {
		return
	}
	if len(s.queue) == 0 {
		s.state = Idle
		return
	}
	if !s.connected {
		if s.failed {
			s.figures.Redials++
		}
		s.state, s.due = Connecting, now+s.opt.ConnectTimeout
		s.do(Dial{})
		return
	}
	s.state, s.writing, s.due = Sending, true, now+s.opt.StallTimeout
	s.do(Write{s.queue[0].Frames[s.frame]})
}
