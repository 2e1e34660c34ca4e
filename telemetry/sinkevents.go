package telemetry

// SinkEvent is an input of Sink.Reduce.
type SinkEvent interface{ sinkEvent() }

// The events of a sink.
type (
	// BatchOffered passes a batch to send.
	BatchOffered struct{ Batch Batch }
	// Connected reports that the dial succeeded.
	Connected struct{}
	// FrameWritten reports that the whole frame was written.
	FrameWritten struct{}
	// ConnectionFailed reports that the dial or the connection failed. It is the last event of that connection.
	ConnectionFailed struct{ Err error }
	// Shutdown makes the sink send its queue and then close. At the deadline the sink closes in any case.
	Shutdown struct{ Deadline Micros }
)

func (BatchOffered) sinkEvent()     {}
func (Connected) sinkEvent()        {}
func (FrameWritten) sinkEvent()     {}
func (ConnectionFailed) sinkEvent() {}
func (Shutdown) sinkEvent()         {}

// SinkEffect is an action that the driver of a sink must carry out.
type SinkEffect interface{ sinkEffect() }

// The effects of a sink.
type (
	// Dial opens a connection. Connected or ConnectionFailed follows.
	Dial struct{}
	// Write writes a frame. FrameWritten or ConnectionFailed follows.
	Write struct{ Frame []byte }
	// Disconnect closes the connection or cancels the dial at once. No event of that connection follows.
	Disconnect struct{}
	// ReportUnavailable reports to operators that the sink does not accept batches. It is emitted at most once before
	// the next ReportRecovered.
	ReportUnavailable struct{ Reason string }
	// ReportRecovered reports to operators that the sink accepts batches again.
	ReportRecovered struct{}
	// Finished reports that the sink is closed. No effect follows.
	Finished struct{}
)

func (Dial) sinkEffect()              {}
func (Write) sinkEffect()             {}
func (Disconnect) sinkEffect()        {}
func (ReportUnavailable) sinkEffect() {}
func (ReportRecovered) sinkEffect()   {}
func (Finished) sinkEffect()          {}
