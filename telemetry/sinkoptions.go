package telemetry

// Micros is a point in time on the sink's monotonic clock, or a duration, in µs.
type Micros = int64

const second Micros = 1e6

// SinkOptions are the timeouts and bounds of a sink. The zero value of a field means its default.
type SinkOptions struct {
	QueueBytes     int    // maximum size of the queue, including the batch being sent; 4 MiB by default
	ConnectTimeout Micros // maximum time of a dial; 2 s by default
	StallTimeout   Micros // time to write a frame after which the sink is stalled; 2 s by default
	WriteTimeout   Micros // time to write a frame after which the connection is closed; 10 s by default
	MinBackoff     Micros // minimum backoff after a failure; 500 ms by default
	MaxBackoff     Micros // maximum backoff after a failure; 60 s by default
	BytesPerSecond int    // maximum rate at which queued batches are sent; 256 KiB by default
	PaceEveryBatch bool   // limit the rate of every batch, since receivers lose datagrams that arrive in bursts
	ResendLast     bool   // send the last batch again on a new connection, since its end may not have arrived
}

// The defaults of SinkOptions.
const (
	// defaultQueueBytes is about 30 intervals of a full registry. With a larger queue, a sink that is down leaves less
	// memory for requests. With a smaller queue, a shorter outage leaves a gap in the graphs.
	defaultQueueBytes = 4 << 20
	// defaultConnectTimeout bounds a dial. With a longer time, an unreachable sink is reported later. With a shorter
	// time, a busy sink is reported by mistake.
	defaultConnectTimeout = 2 * second
	// defaultStallTimeout is the time to write a frame after which a sink is reported. With a longer time, a sink that
	// does not read is reported later. With a shorter time, a sink that pauses briefly is reported.
	defaultStallTimeout = 2 * second
	// defaultWriteTimeout bounds the time to write a frame. With a longer time, a sink that hangs delays the metrics
	// for longer. With a shorter time, a slow sink loses its connection and receives the same batch again and again.
	defaultWriteTimeout = 10 * second
	// defaultMinBackoff is the shortest backoff. With a longer backoff, metrics are late after a restart of the sink.
	// With a shorter backoff, more dials fail during the restart.
	defaultMinBackoff = second / 2
	// defaultMaxBackoff bounds the backoff. With a longer backoff, metrics resume later after a long outage. With a
	// shorter backoff, all brokers dial a dead sink often.
	defaultMaxBackoff = 60 * second
	// defaultBytesPerSecond limits the rate of queued batches. With a higher rate, all brokers together flood a sink
	// that has just recovered. With a lower rate, the graphs catch up later.
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
