package dnssrv

import "time"

const (
	// defaultTimeout bounds one attempt at one server. Higher, a dead server delays a list for longer; lower, a busy
	// one counts as dead.
	defaultTimeout = time.Second
	// defaultMinTTL keeps a name with a lifetime of 0 from being asked for without a pause.
	defaultMinTTL = time.Second
	// defaultMaxTTL bounds how late a removed node is noticed, whatever lifetime its record has.
	defaultMaxTTL = time.Minute
	// defaultMaxStale is for how long an address serves on that cannot be asked for again. Higher, requests go to
	// addresses that others may have by now; lower, an outage of DNS takes nodes out of use.
	defaultMaxStale = time.Hour
	// defaultAttempts is how often all servers are tried. Higher, a failure is noticed later; lower, one lost
	// datagram is one.
	defaultAttempts = 2
	// defaultRate and defaultBurst bound the queries of a process, each second and at once. Higher, brokers may
	// overload the servers together; lower, a large list takes longer after a start.
	defaultRate  = 50
	defaultBurst = 100
)

// Options are those of a Resolver. The zero value of a field means its default.
type Options struct {
	Servers  []string      // host:port, in order of preference
	Timeout  time.Duration // of one attempt at one server; 1 s
	Attempts int           // how often all servers are tried for a question; 2
	Rate     float64       // queries a second for the whole process; 50
	Burst    int           // queries at once; 100
	MinTTL   time.Duration // a shorter lifetime counts as this; 1 s
	MaxTTL   time.Duration // a longer one as this; 60 s
	MaxStale time.Duration // how long past its lifetime an address serves on if servers fail (RFC 8767); 1 h
}

// withDefaults sets what is left out.
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

// boundTTL keeps a lifetime within the options.
func (o Options) boundTTL(ttl time.Duration) time.Duration {
	return max(o.MinTTL, min(ttl, o.MaxTTL))
}

// recordTTL is the lifetime of a record that counts seconds.
func (o Options) recordTTL(seconds uint32) time.Duration {
	return o.boundTTL(time.Duration(seconds) * time.Second)
}
