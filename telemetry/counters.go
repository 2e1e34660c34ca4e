package telemetry

// Dimension is a way to divide all that a broker did.
type Dimension uint8

// The dimensions. All has one row, which is named after it.
const (
	All Dimension = iota
	ByClass
	ByPlan
	ByNode
	ByVolume
	DimensionCount
)

// String returns the dimension's name in the paths of series.
func (d Dimension) String() string {
	return [...]string{"all", "class", "plan", "node", "volume"}[d]
}

// Counter is the index of a counter in Counts.
type Counter uint8

// The counters. Units are counted in thousandths, as whole numbers, so that sums are exact. The first four stand in the
// order of RequestOutcome, those from FirstAttemptOutcome on in the order of AttemptOutcome.
const (
	RequestsServed Counter = iota
	RequestsRejected
	RequestsFailed
	RequestsAbandoned
	Attempts
	FirstAttemptOutcome
	MilliUnits       = FirstAttemptOutcome + Counter(attemptOutcomeCount) // of all requests that ended
	MilliUnitsServed = MilliUnits + 1
	counterCount     = MilliUnitsServed + 1
)

// Counts are cumulative: they only grow while a row exists.
type Counts [counterCount]uint64

// CounterNames are the names of the counters in the paths of series, in the order of Counts.
var CounterNames = [counterCount]string{
	"served",
	"busy",
	"failed",
	"left",
	"attempts",
	"attempts_success",
	"attempts_failure",
	"attempts_overloaded",
	"attempts_timed_out",
	"attempts_unreachable",
	"attempts_broken",
	"attempts_withdrawn",
	"units_milli",
	"units_milli_served",
}

// Latency is the index of a histogram in a Row.
type Latency uint8

// The latencies, in µs.
const (
	TotalLatency   Latency = iota // from arrival to the final answer
	QueueLatency                  // from arrival to the first attempt
	AttemptLatency                // of one attempt at a node
	latencyCount
)

// LatencyNames are the names of the latencies in the paths of series, in the order of Latency.
var LatencyNames = [latencyCount]string{"whole_us", "waiting_us", "at_node_us"}

// SummaryNames are the names of a Summary's fields in the paths of series, in the order of the fields.
var SummaryNames = [...]string{"count", "p50", "p90", "p99", "p99_9", "max"}

// SeriesPerRow is how many series a sink gets of one row at the most.
const SeriesPerRow = int(counterCount) + int(latencyCount)*len(SummaryNames)

// Names that a row has where no name of its own fits. A real name equal to one of them is kept apart when it is
// escaped.
const (
	Other = "other" // all that has no row of its own
	None  = "none"  // of nodes: requests that had no attempt
)
