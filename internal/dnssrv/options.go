package dnssrv

import "time"

const (
	// defaultTimeout limits one attempt at one server. With a larger value, a failed server delays a list for longer.
	// With a smaller value, a busy server is treated as failed.
	defaultTimeout = time.Second
	// defaultMinTTL limits the query rate for names with a TTL of 0.
	defaultMinTTL = time.Second
	// defaultMaxTTL limits how late the removal of a node is noticed if its record has a long TTL.
	defaultMaxTTL = time.Minute
	// defaultMaxStale is how long an expired address is used if it cannot be queried again. With a larger value,
	// requests are sent to addresses that may meanwhile belong to other hosts. With a smaller value, an outage of DNS
	// removes nodes from use.
	defaultMaxStale = time.Hour
	// defaultAttempts is how often all servers are tried for a question. With a larger value, a failure is noticed
	// later. With a smaller value, a single lost datagram is a failure.
	defaultAttempts = 2
	// defaultRate and defaultBurst limit the queries of a resolver, per second and at once. With larger values, the
	// brokers together may overload the servers. With smaller values, resolving a large list after a start takes
	// longer.
	defaultRate  = 50
	defaultBurst = 100
)

// Options are the options of a Resolver. The zero value of a field means its default.
type Options struct {
	Servers  []string      // host:port, in order of preference
	Timeout  time.Duration // limit of one attempt at one server; default 1 s
	Attempts int           // how often all servers are tried for a question; default 2
	Rate     float64       // maximum queries per second of the resolver; default 50
	Burst    int           // maximum queries at once; default 100
	MinTTL   time.Duration // shorter TTLs are raised to this; default 1 s
	MaxTTL   time.Duration // longer TTLs are lowered to this; default 60 s
	MaxStale time.Duration // how long an expired address is used if servers fail (RFC 8767); default 1 h
}

// withDefaults returns the options with the defaults of all fields that are zero.
func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MinTTL == 0 {
		o.MinTTL = defaultMinTTL
	}
	if o.MaxTTL == 0 {
		o.MaxTTL = defaultMaxTTL
	}
	if o.MaxStale == 0 {
		o.MaxStale = defaultMaxStale
	}
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	return o
}

// boundTTL limits a TTL to the range from MinTTL to MaxTTL.
func (o Options) boundTTL(ttl time.Duration) time.Duration {
	return max(o.MinTTL, min(ttl, o.MaxTTL))
}

// recordTTL converts the TTL of a record, in seconds, and limits it like boundTTL.
func (o Options) recordTTL(seconds uint32) time.Duration {
	return o.boundTTL(time.Duration(seconds) * time.Second)
}
