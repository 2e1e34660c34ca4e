package metricsexport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/telemetry"
)

// sink carries out what a telemetry.Sink decides. Nobody who offers an interval waits for it.
type sink struct {
	target target
	log    *slog.Logger
	alert  func(collectd.Notice)
	rollup *telemetry.Rollup
	held   time.Duration // of the interval, in the rollup

	start time.Time
	ended chan struct{} // closed once the sink is over

	mu     sync.Mutex
	state  *telemetry.Sink
	timer  *time.Timer
	over   bool
	number int // of the connection; what earlier ones bring does not count
	conn   net.Conn
	cancel context.CancelFunc
}

func newSink(t target, log *slog.Logger, alert func(collectd.Notice), seed uint64) *sink {
	return &sink{target: t, log: log.With("sink", t.name), alert: alert, rollup: telemetry.NewRollup(),
		start: time.Now(), ended: make(chan struct{}), state: telemetry.NewSink(t.options, seed)}
}

// gather takes a cut that covers so much time.
func (s *sink) gather(cut *telemetry.Cut, span time.Duration) {
	s.rollup.Add(cut, breathe)
	s.held += span
}

func (s *sink) due() bool { return s.held >= s.target.interval }

// tell words the interval and queues it.
func (s *sink) tell(name string, figures []broker.Metric, stamp int64, sum *telemetry.Summarizer) {
	s.held = 0
	frames, err := s.target.encode(name, figures, s.rollup, stamp, sum)
	if err != nil {
		s.log.Error("interval not worded", "reason", err)
		return
	}
	s.reduce(telemetry.Offered{Batch: telemetry.Batch{Frames: frames}})
}

func (s *sink) notify(n collectd.Notice) {
	if s.target.notice == nil {
		return
	}
	if frame, err := s.target.notice(n, time.Now()); err == nil {
		s.reduce(telemetry.Offered{Batch: telemetry.Batch{Frames: [][]byte{frame}}})
	}
}

func (s *sink) finish(by time.Time) {
	s.reduce(telemetry.Finish{By: by.Sub(s.start).Microseconds()})
}

// stop ends the sink by a point of time; what is unsent then is dropped.
func (s *sink) stop(by time.Time) {
	select {
	case <-s.ended:
	case <-time.After(time.Until(by)):
		s.reduce(telemetry.Finish{By: 0})
	}
}

func (s *sink) figures() telemetry.SinkFigures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Figures()
}

func (s *sink) reduce(e telemetry.SinkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(e)
}

// of takes an event of a connection, if that is still the one in use.
func (s *sink) of(number int, e telemetry.SinkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != s.number {
		return
	}
	if _, broke := e.(telemetry.Broke); broke {
		s.hangUp()
	}
	s.turn(e)
}

// turn reduces an event and carries out what follows; nothing in it blocks.
func (s *sink) turn(e telemetry.SinkEvent) {
	if s.over {
		return
	}
	for _, effect := range s.state.Reduce(time.Since(s.start).Microseconds(), e) {
		switch e := effect.(type) {
		case telemetry.Dial:
			s.dial()
		case telemetry.Write:
			go s.write(s.number, s.conn, e.Frame)
		case telemetry.HangUp:
			s.hangUp()
		case telemetry.Lost:
			s.log.Warn("sink lost", "reason", e.Reason)
			s.alert(collectd.Notice{Severity: collectd.Failure, Instance: "sinks", Text: s.target.name + " lost: " + e.Reason})
		case telemetry.Back:
			s.log.Info("sink back")
			s.alert(collectd.Notice{Severity: collectd.Okay, Instance: "sinks", Text: s.target.name + " back"})
		case telemetry.Over:
			s.over = true
			s.hangUp()
			if s.timer != nil {
				s.timer.Stop()
			}
			close(s.ended)
			return
		}
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	if at, any := s.state.Next(); any {
		s.timer = time.AfterFunc(time.Until(s.start.Add(time.Duration(at)*time.Microsecond)), func() { s.reduce(nil) })
	}
}

func (s *sink) hangUp() {
	s.number++
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
	if s.conn != nil {
		conn := s.conn
		s.conn = nil
		go func() { _ = conn.Close() }()
	}
}

func (s *sink) dial() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	number := s.number
	go func() {
		conn, err := new(net.Dialer).DialContext(ctx, s.target.network, s.target.address)
		if err != nil {
			s.of(number, telemetry.Broke{Err: err})
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if number != s.number {
			_ = conn.Close()
			return
		}
		s.conn = conn
		go s.listen(number, conn)
		s.turn(telemetry.Opened{})
	}()
}

// sendBuffer bounds what the system takes for a sink that does not read: it would pass for sent.
const sendBuffer = 64 << 10

// listen hears of a connection's end as it comes. Sinks say nothing; what one says is passed over.
func (s *sink) listen(number int, conn net.Conn) {
	b := make([]byte, 512)
	for {
		if _, err := conn.Read(b); err != nil {
			if errors.Is(err, io.EOF) {
				err = errEnded
			}
			s.of(number, telemetry.Broke{Err: err})
			return
		}
	}
}

var errEnded = errors.New("it ended the connection")

func (s *sink) write(number int, conn net.Conn, frame []byte) {
	if _, err := conn.Write(frame); err != nil {
		s.of(number, telemetry.Broke{Err: err})
		return
	}
	s.of(number, telemetry.Wrote{})
}
