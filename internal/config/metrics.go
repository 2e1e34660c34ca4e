package config

import (
	"fmt"
	"time"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/graphite"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

const (
	// defaultIntervalS is the time between two exports, in seconds. Higher, graphs are coarser; lower, the receiver
	// has more to store.
	defaultIntervalS = 10
	// maxIntervalS is in seconds. Higher, a slip of the pen leaves graphs empty for days.
	maxIntervalS = 3600
	// defaultPrefix begins the names of series.
	defaultPrefix = "junctionwharf"
	// defaultQueueBytes bounds the intervals that wait for a receiver. Higher, an outage costs more memory; lower,
	// more of it is lost.
	defaultQueueBytes = 4 << 20
	// minQueueBytes is one interval of a small broker: below it each interval would be lost while the one before is
	// sent.
	minQueueBytes = 64 << 10
	// maxQueueBytes is more than any machine spares for metrics; a higher figure is a slip of the pen.
	maxQueueBytes = 1 << 30
	// fixedSeries is how many series the core and the exporters have at the most, besides those of each class. Lower,
	// a figure of theirs would be left out of the exports.
	fixedSeries = 100
	// seriesPerClass is how many series each class has.
	seriesPerClass = 3
)

// Telemetry bounds what is exported.
type Telemetry struct {
	MaxSeries     int `toml:"max_series"`
	MaxBytes      int `toml:"max_bytes"`      // memory of all rows of series
	IdleIntervals int `toml:"idle_intervals"` // a volume without requests for so long is left out
}

// Options are those of a registry for a broker with such settings.
func (t Telemetry) Options(set scheduler.Settings) telemetry.Options {
	options := telemetry.Options{
		MaxSeries:      t.MaxSeries,
		MaxBytes:       t.MaxBytes,
		IdleSnapshots:  t.IdleIntervals,
		ReservedSeries: fixedSeries + seriesPerClass*len(set.Classes),
	}
	for _, class := range set.Classes {
		options.Classes = append(options.Classes, class.Name)
	}
	for _, plan := range set.Plans {
		options.Plans = append(options.Plans, plan.Name)
	}
	return options
}

func (t Telemetry) check(set scheduler.Settings) error {
	if t.IdleIntervals < 0 {
		return fmt.Errorf("idle_intervals: %d is below 0", t.IdleIntervals)
	}
	if t.MaxSeries < 0 {
		return fmt.Errorf("max_series: %d is below 0", t.MaxSeries)
	}
	if t.MaxBytes < 0 {
		return fmt.Errorf("max_bytes: %d is below 0", t.MaxBytes)
	}
	return t.Options(set).Check()
}

// Receiver is what receivers of metrics have in common.
type Receiver struct {
	Address    string `toml:"address"` // host:port; empty: off
	IntervalS  int    `toml:"interval_s"`
	QueueBytes int    `toml:"queue_bytes"` // intervals that wait for the receiver
}

// Interval is the time between two exports.
func (r Receiver) Interval() time.Duration {
	return time.Duration(r.IntervalS) * time.Second
}

func (r *Receiver) complete() error {
	if err := checkHostPort(r.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if r.IntervalS == 0 {
		r.IntervalS = defaultIntervalS
	}
	if r.IntervalS < 1 || r.IntervalS > maxIntervalS {
		return fmt.Errorf("interval_s: %d is not within 1 to %d", r.IntervalS, maxIntervalS)
	}
	if r.QueueBytes == 0 {
		r.QueueBytes = defaultQueueBytes
	}
	if r.QueueBytes < minQueueBytes || r.QueueBytes > maxQueueBytes {
		return fmt.Errorf("queue_bytes: %d is not within %d to %d", r.QueueBytes, minQueueBytes, maxQueueBytes)
	}
	return nil
}

// The values of a Graphite receiver's keys.
const (
	protocolPlaintext = "plaintext"
	protocolPickle    = "pickle"
	transportTCP      = "tcp"
	transportUDP      = "udp"
	namesDotted       = "dotted"
	namesTagged       = "tagged"
)

// Graphite is a Carbon receiver.
type Graphite struct {
	Receiver
	Prefix    string `toml:"prefix"`    // of names; the broker's name follows
	Protocol  string `toml:"protocol"`  // "plaintext" or "pickle"
	Transport string `toml:"transport"` // "tcp" or "udp"
	Names     string `toml:"names"`     // "dotted" or "tagged"
}

// Naming is the way names are written.
func (g Graphite) Naming() graphite.Naming {
	if g.Names == namesTagged {
		return graphite.Tagged
	}
	return graphite.Dotted
}

func (g *Graphite) complete() error {
	if err := g.Receiver.complete(); err != nil {
		return err
	}
	for _, choice := range []struct {
		key      string
		value    *string
		fallback string
		other    string
	}{
		{"protocol", &g.Protocol, protocolPlaintext, protocolPickle},
		{"transport", &g.Transport, transportTCP, transportUDP},
		{"names", &g.Names, namesDotted, namesTagged},
	} {
		if *choice.value == "" {
			*choice.value = choice.fallback
		}
		if *choice.value != choice.fallback && *choice.value != choice.other {
			return fmt.Errorf("%s: %q is neither %q nor %q", choice.key, *choice.value, choice.fallback, choice.other)
		}
	}
	if g.Protocol == protocolPickle && g.Transport == transportUDP {
		return fmt.Errorf("transport: pickles go over tcp only")
	}
	if g.Prefix == "" {
		g.Prefix = defaultPrefix
	}
	if err := graphite.CheckPrefix(g.Prefix); err != nil {
		return fmt.Errorf("prefix: %w", err)
	}
	return nil
}

// Collectd is a receiver of collectd's network plugin.
type Collectd struct {
	Receiver
	Security string `toml:"security"` // "none", "sign" or "encrypt"
	User     string `toml:"user"`     // whose line of the key file counts; empty: the first
	KeyFile  string `toml:"key_file"`

	Key collectd.Key `toml:"-"` // read from the key file
}

// securityNone is the default of a collectd receiver.
const securityNone = "none"

var securityLevels = map[string]collectd.Security{
	securityNone: collectd.Unprotected,
	"sign":       collectd.Signed,
	"encrypt":    collectd.Encrypted,
}

// SecurityLevel is how packets are protected.
func (c Collectd) SecurityLevel() collectd.Security {
	return securityLevels[c.Security]
}

func (c *Collectd) complete() error {
	if err := c.Receiver.complete(); err != nil {
		return err
	}
	if c.Security == "" {
		c.Security = securityNone
	}
	level, known := securityLevels[c.Security]
	if !known {
		return fmt.Errorf("security: %q is neither \"none\", \"sign\" nor \"encrypt\"", c.Security)
	}
	if c.Address == "" || level == collectd.Unprotected {
		return nil
	}
	if c.KeyFile == "" {
		return fmt.Errorf("key_file: missing, and security is %q", c.Security)
	}
	key, err := collectd.ReadKey(c.KeyFile, c.User)
	if err != nil {
		return fmt.Errorf("key_file: %w", err)
	}
	c.Key = key
	return nil
}
