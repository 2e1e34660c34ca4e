package broker

// Request is a client's request. The core reads all fields but Message, which only the transport uses.
type Request struct {
	Class  string
	Plan   string
	Key    string
	Volume string

	Units      float64
	Shard      int // the shard that stores the data, -1 for a new object
	Brokers    int // number of brokers that receive requests of the volume
	Retry      bool
	Write      bool
	Timeout    Micros    // how long the client waits, from ReceivedAt on
	ReceivedAt Micros    // when the request was received, on the loop's clock; 0 for the time of the submission
	Message    any       // the message that the transport sends
	Transport  Transport // nil for the loop's transport
	Generation uint64    // of the settings that the request came under (see SettingsChanged); 0 for the present one
}

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota // a storage node's answer is in Response.Value
	Rejected                // a retry is safe: the request never ran, or its class is idempotent
	Failed                  // the request may have run, its deadline has passed, or its class or plan is unknown
)

// Response is the final answer to a request.
type Response struct {
	Verdict    Verdict
	Value      any    // the transport's value of a Served request; closed, if an io.Closer, when no client receives it
	RetryAfter Micros // of a Rejected request: when to retry, 0 for no advice
}

// Streaming is a value whose delivery takes time and may be interrupted. The request stays open until the delivery
// ends.
type Streaming interface {
	// OnEnd registers a function that is called once, when the value was delivered completely or the delivery has
	// failed.
	OnEnd(func(complete bool))
}
