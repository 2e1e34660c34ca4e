package telemetry

// Micros is a point on the sink's monotonic clock, or a span of it, in µs.
type Micros = int64

const second Micros = 1e6

// SinkOptions are the timeouts and bounds of a sink. The zero value of a field means its default.
type SinkOptions struct {
	QueueBytes     int    // bound on the batches that wait, the one being sent included; 4 MiB by default
	ConnectTimeout Micros // a dial that takes longer has failed; 2 s
	StallTimeout   Micros // a frame that takes longer makes the sink stalled; 2 s
	WriteTimeout   Micros // a frame that takes longer ends the connection; 10 s
	MinBackoff     Micros // the first pause after a failure; 500 ms
	MaxBackoff     Micros // the longest pause; 60 s
	BytesPerSecond int    // rate at which batches that waited are sent; 256 KiB
	PaceEveryBatch bool   // batches that did not wait are paced too: datagrams sent at once are lost at the receiver
	ResendLast     bool   // on a new connection the last batch is sent again: its end may not have arrived
}

// The defaults of SinkOptions.
const (
	// defaultQueueBytes is some 30 intervals of a full registry. Higher, a sink that is down takes more memory from
	// requests; lower, a shorter outage leaves a gap in the graphs.
	defaultQueueBytes = 4 << 20
	// defaultConnectTimeout: higher, an unreachable sink is reported later; lower, a busy one is reported for nothing.
	defaultConnectTimeout = 2 * second
	// defaultStallTimeout: higher, a sink that does not read is reported later; lower, one that pauses is reported.
	defaultStallTimeout = 2 * second
	// defaultWriteTimeout: higher, a sink that hangs holds back the figures for longer; lower, a slow one loses its
	// connection, and gets the same batch again and again.
	defaultWriteTimeout = 10 * second
	// defaultMinBackoff: higher, figures are late after a restart of the sink; lower, more dials meet one that
	// restarts.
	defaultMinBackoff = second / 2
	// defaultMaxBackoff: higher, figures come back later after a long outage; lower, all brokers dial a dead sink
	// often.
	defaultMaxBackoff = 60 * second
	// defaultBytesPerSecond: higher, a sink that comes back is flooded by all brokers; lower, the graphs catch up
	// later.
	defaultBytesPerSecond = 256 << 10
)

func (o *SinkOptions) setDefaults() {
	setDefault(&o.QueueBytes, defaultQueueBytes)
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.MinBackoff, defaultMinBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	setDefault(&o.BytesPerSecond, defaultBytesPerSecond)
}
