package broker

// Request is what a client asks for. The core reads all fields but Message, which is the transport's own.
type Request struct {
	Class  string
	Plan   string
	Key    string
	Volume string

	Units     float64
	Shard     int // the shard that holds the data, -1 for a new object
	Brokers   int // brokers through which the volume's requests come
	Retry     bool
	Write     bool
	Timeout   Micros    // how long the client waits, from now
	Message   any       // what the transport sends
	Transport Transport // nil for the loop's own
}

// Verdict says how a request ended.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota // a storage node's answer is in Response.Value
	Rejected                // a retry is harmless: it never ran, or its class is idempotent
	Failed                  // nothing is promised: it may have run
)

// Response is the one final answer to a request.
type Response struct {
	Verdict    Verdict
	Value      any    // of Served, as the transport made it; one that is an io.Closer is closed if no client takes it
	RetryAfter Micros // of Rejected: when to come again, 0 for no advice
}

// Streaming is a value that takes time to be delivered, and may break meanwhile. Its request counts as open until then.
type Streaming interface {
	// OnEnd has a function called once: when the value was delivered complete, or never will be.
	OnEnd(func(complete bool))
}
