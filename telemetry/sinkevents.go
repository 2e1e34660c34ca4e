package telemetry

// SinkEvent is something that happened to a sink; Sink.Reduce takes it.
type SinkEvent interface{ sinkEvent() }

// The events of a sink.
type (
	// BatchOffered brings a batch to send.
	BatchOffered struct{ Batch Batch }
	// Connected reports that the dial succeeded.
	Connected struct{}
	// FrameWritten reports that the frame was written whole.
	FrameWritten struct{}
	// ConnectionFailed reports that the dial or the connection failed. No other event of that connection follows.
	ConnectionFailed struct{ Err error }
	// Shutdown asks to send what waits, and to end at the deadline at the latest.
	Shutdown struct{ Deadline Micros }
)

func (BatchOffered) sinkEvent()     {}
func (Connected) sinkEvent()        {}
func (FrameWritten) sinkEvent()     {}
func (ConnectionFailed) sinkEvent() {}
func (Shutdown) sinkEvent()         {}

// SinkEffect is something that the driver of a sink has to do.
type SinkEffect interface{ sinkEffect() }

// The effects of a sink.
type (
	// Dial opens a connection: Connected or ConnectionFailed follows.
	Dial struct{}
	// Write writes a frame: FrameWritten or ConnectionFailed follows.
	Write struct{ Frame []byte }
	// Disconnect ends the connection, or the dial in progress, at once. No event of it follows.
	Disconnect struct{}
	// ReportUnavailable tells operators that the sink does not take its batches; once until ReportRecovered.
	ReportUnavailable struct{ Reason string }
	// ReportRecovered tells operators that the sink takes its batches again.
	ReportRecovered struct{}
	// Finished ends the sink: no effect follows.
	Finished struct{}
)

func (Dial) sinkEffect()              {}
func (Write) sinkEffect()             {}
func (Disconnect) sinkEffect()        {}
func (ReportUnavailable) sinkEffect() {}
func (ReportRecovered) sinkEffect()   {}
func (Finished) sinkEffect()          {}
