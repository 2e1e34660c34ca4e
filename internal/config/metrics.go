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
	// defaultIntervalS is the time between two exports, in seconds. With a larger value, graphs are coarser. With a
	// smaller value, the receiver has more data to store.
	defaultIntervalS = 10
	// maxIntervalS is in seconds. With a larger value, a typing error could leave graphs empty for days.
	maxIntervalS = 3600
	// defaultPrefix is the first part of series names.
	defaultPrefix = "junctionwharf"
	// defaultQueueBytes limits the queue of unsent data. With a larger value, an outage of the receiver uses more
	// memory. With a smaller value, more intervals are lost during an outage.
	defaultQueueBytes = 4 << 20
	// minQueueBytes is the size of the data that a small broker exports per interval. With a smaller queue, the data of
	// an interval would be lost while that of the previous interval is being sent.
	minQueueBytes = 64 << 10
	// maxQueueBytes is more memory than any machine can spare for metrics. A larger value is a typing error.
	maxQueueBytes = 1 << 30
	// fixedSeries is the maximum number of series of the core and the exporters. It does not include the series per
	// class. With a smaller value, some of these series would be omitted from the exports.
	fixedSeries = 100
	// seriesPerClass is the number of series of each class.
	seriesPerClass = 3
)

// Telemetry limits the number of exported series and their memory.
type Telemetry struct {
	MaxSeries     int `toml:"max_series"`
	MaxBytes      int `toml:"max_bytes"`      // maximum memory of all series
	IdleIntervals int `toml:"idle_intervals"` // a volume is omitted after this many intervals without requests
}

// Options returns the options of the telemetry registry of a broker with the given settings.
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

// Receiver contains the keys that all kinds of metrics receivers share.
type Receiver struct {
	Address    string `toml:"address"` // host:port; empty: off
	IntervalS  int    `toml:"interval_s"`
	QueueBytes int    `toml:"queue_bytes"` // maximum size of the queue of unsent data
}

// Interval returns the time between two exports.
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

// Values of the keys of a Graphite receiver.
const (
	protocolPlaintext = "plaintext"
	protocolPickle    = "pickle"
	transportTCP      = "tcp"
	transportUDP      = "udp"
	namesDotted       = "dotted"
	namesTagged       = "tagged"
)

// Graphite configures a Carbon receiver.
type Graphite struct {
	Receiver
	Prefix    string `toml:"prefix"`    // first part of series names, before the broker's name
	Protocol  string `toml:"protocol"`  // "plaintext" or "pickle"
	Transport string `toml:"transport"` // "tcp" or "udp"
	Names     string `toml:"names"`     // "dotted" or "tagged"
}

// Naming returns the format of series names.
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
		return fmt.Errorf("transport: protocol %q requires %q, got %q", g.Protocol, transportTCP, g.Transport)
	}
	if g.Prefix == "" {
		g.Prefix = defaultPrefix
	}
	if err := graphite.CheckPrefix(g.Prefix); err != nil {
		return fmt.Errorf("prefix: %w", err)
	}
	return nil
}

// Collectd configures a receiver for the protocol of collectd's network plugin.
type Collectd struct {
	Receiver
	Security string `toml:"security"` // "none", "sign" or "encrypt"
	User     string `toml:"user"`     // user of the key file whose key is used; empty: the first in the file
	KeyFile  string `toml:"key_file"`

	Key collectd.Key `toml:"-"` // read from the key file
}

// securityNone is the default security level of a collectd receiver.
const securityNone = "none"

var securityLevels = map[string]collectd.Security{
	securityNone: collectd.Unprotected,
	"sign":       collectd.Signed,
	"encrypt":    collectd.Encrypted,
}

// SecurityLevel returns how packets are protected.
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
		return fmt.Errorf("key_file: missing, but required by security %q", c.Security)
	}
	key, err := collectd.ReadKey(c.KeyFile, c.User)
	if err != nil {
		return fmt.Errorf("key_file: %w", err)
	}
	c.Key = key
	return nil
}
