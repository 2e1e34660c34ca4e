package config

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/graphite"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// The defaults and bounds of what a site file says of figures.
const (
	defaultIntervalS  = 10
	maxIntervalS      = 3600
	defaultPrefix     = "junctionwharf"
	defaultQueueBytes = 4 << 20
	minQueueBytes     = 64 << 10
	maxQueueBytes     = 1 << 30
	fixedSeries       = 100 // the core's own figures and those of the sinks, at the most, besides three a class
)

// Telemetry bounds what the sinks are told.
type Telemetry struct {
	MaxSeries     int `toml:"max_series"`
	MaxBytes      int `toml:"max_bytes"`      // memory of all rows of series
	IdleIntervals int `toml:"idle_intervals"` // a volume without requests for so long leaves
}

// Options are those of a registry for a broker with such settings.
func (t Telemetry) Options(set scheduler.Settings) telemetry.Options {
	o := telemetry.Options{MaxSeries: t.MaxSeries, MaxBytes: t.MaxBytes, Idle: t.IdleIntervals, Fixed: fixedSeries + 3*len(set.Classes)}
	for _, c := range set.Classes {
		o.Classes = append(o.Classes, c.Name)
	}
	for _, p := range set.Plans {
		o.Plans = append(o.Plans, p.Name)
	}
	return o
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

// Receiver is what sinks of figures have in common.
type Receiver struct {
	Address    string `toml:"address"` // host:port; empty: off
	IntervalS  int    `toml:"interval_s"`
	QueueBytes int    `toml:"queue_bytes"` // intervals that wait for the sink
}

// Interval is the time between two pushes.
func (r Receiver) Interval() time.Duration { return time.Duration(r.IntervalS) * time.Second }

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

// checkHostPort takes a name too: a sink may be looked up, which the platform's own addresses may not.
func checkHostPort(address string) error {
	if address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Errorf("%q is no host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q has no port within 1 to 65535", address)
	}
	return nil
}

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
	if g.Names == "tagged" {
		return graphite.Tagged
	}
	return graphite.Dotted
}

func (g *Graphite) complete() error {
	if err := g.Receiver.complete(); err != nil {
		return err
	}
	for _, c := range []struct {
		key   string
		value *string
		words [2]string // the first is the default
	}{{"protocol", &g.Protocol, [2]string{"plaintext", "pickle"}}, {"transport", &g.Transport, [2]string{"tcp", "udp"}},
		{"names", &g.Names, [2]string{"dotted", "tagged"}}} {
		if *c.value == "" {
			*c.value = c.words[0]
		}
		if *c.value != c.words[0] && *c.value != c.words[1] {
			return fmt.Errorf("%s: %q is neither %q nor %q", c.key, *c.value, c.words[0], c.words[1])
		}
	}
	if g.Protocol == "pickle" && g.Transport == "udp" {
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

var securities = map[string]collectd.Security{"none": collectd.Open, "sign": collectd.Signed, "encrypt": collectd.Encrypted}

// SecurityLevel is how packets are guarded.
func (c Collectd) SecurityLevel() collectd.Security { return securities[c.Security] }

func (c *Collectd) complete() error {
	if err := c.Receiver.complete(); err != nil {
		return err
	}
	if c.Security == "" {
		c.Security = "none"
	}
	guard, known := securities[c.Security]
	if !known {
		return fmt.Errorf("security: %q is neither \"none\", \"sign\" nor \"encrypt\"", c.Security)
	}
	if c.Address == "" || guard == collectd.Open {
		return nil
	}
	if c.KeyFile == "" {
		return fmt.Errorf("key_file: missing, and security is %q", c.Security)
	}
	var err error
	if c.Key, err = collectd.ReadKey(c.KeyFile, c.User); err != nil {
		return fmt.Errorf("key_file: %w", err)
	}
	return nil
}
