package telemetry

// Dimension is an attribute by which requests and attempts are divided into rows.
type Dimension uint8

// The dimensions. The dimension All has a single row, also named All.
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

// The counters. Units are counted in thousandths, as whole numbers, so that sums are exact. The first four counters
// have the order of RequestOutcome. The counters from FirstAttemptOutcome on have the order of AttemptOutcome.
const (
	RequestsServed Counter = iota
	RequestsRejected
	RequestsFailed
	RequestsAbandoned
	Attempts
	FirstAttemptOutcome
	MilliUnits       = FirstAttemptOutcome + Counter(attemptOutcomeCount) // units of all requests that ended
	MilliUnitsServed = MilliUnits + 1
	counterCount     = MilliUnitsServed + 1
)

// Counts are the cumulative counters of a row. They only grow while the row exists.
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
	AttemptLatency                // from the start of an attempt at a node to its end
	latencyCount
)

// LatencyNames are the names of the latencies in the paths of series, in the order of Latency.
var LatencyNames = [latencyCount]string{"whole_us", "waiting_us", "at_node_us"}

// SummaryNames are the names of a Summary's fields in the paths of series, in the order of the fields.
var SummaryNames = [...]string{"count", "p50", "p90", "p99", "p99_9", "max"}

// SeriesPerRow is the maximum number of series that a sink receives for one row.
const SeriesPerRow = int(counterCount) + int(latencyCount)*len(SummaryNames)

// The reserved names of rows. If a class, plan, node or volume has such a name, escaping makes the paths differ.
const (
	Other = "other" // the row of a dimension for all names without a row of their own
	None  = "none"  // the row of the node dimension for requests without an attempt
)
