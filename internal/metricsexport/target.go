package metricsexport

import (
	"reflect"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/telemetry"
)

// The names of the sinks, in log lines, notifications and metrics.
const (
	graphiteSink = "graphite"
	collectdSink = "collectd"
)

// The transports of a sink, as the settings and package net spell them.
const (
	transportTCP = "tcp"
	transportUDP = "udp"
)

// target is the configuration of a sink.
type target struct {
	name, network, address string

	interval           time.Duration
	options            telemetry.SinkOptions
	settings           any // all settings of the sink; a change of any of them replaces the sink
	encode             encoder
	encodeNotification func(collectd.Notification, time.Time) ([]byte, error) // nil if the sink has no notifications
}

// encoder encodes an interval as frames and flushes the rollup.
type encoder func(interval) ([][]byte, error)

// interval is the input of an encoder.
type interval struct {
	broker     string // name of the broker
	timestamp  int64  // Unix seconds
	metrics    []broker.Metric
	rollup     *telemetry.Rollup // rollup of the sink
	summarizer *telemetry.Summarizer
}

// equal reports whether a sink of this target can also serve the other target. It does not compare the encoders, since
// they only depend on the settings, which include the key.
func (t target) equal(other target) bool {
	return t.name == other.name &&
		t.network == other.network &&
		t.address == other.address &&
		t.interval == other.interval &&
		t.options == other.options &&
		reflect.DeepEqual(t.settings, other.settings)
}

// targets returns the targets of the enabled sinks.
func targets(settings Settings, brokerName string) []target {
	var all []target
	if settings.Graphite.Address != "" {
		all = append(all, graphiteTarget(settings.Graphite))
	}
	if settings.Collectd.Address != "" {
		all = append(all, collectdTarget(settings.Collectd, brokerName))
	}
	return all
}

func graphiteTarget(settings config.Graphite) target {
	return target{
		name:     graphiteSink,
		network:  settings.Transport,
		address:  settings.Address,
		interval: settings.Interval(),
		settings: settings,
		options: telemetry.SinkOptions{
			QueueBytes:     settings.QueueBytes,
			PaceEveryBatch: settings.Transport == transportUDP,
			ResendLast:     settings.Transport == transportTCP,
		},
		encode: newGraphiteEncoder(settings),
	}
}

func collectdTarget(settings config.Collectd, brokerName string) target {
	e := &collectd.Encoder{
		Host:     truncateName(brokerName),
		Plugin:   pluginName,
		Security: settings.SecurityLevel(),
		Key:      settings.Key,
	}
	return target{
		name:     collectdSink,
		network:  transportUDP,
		address:  settings.Address,
		interval: settings.Interval(),
		settings: settings,
		options: telemetry.SinkOptions{
			QueueBytes:     settings.QueueBytes,
			PaceEveryBatch: true,
		},
		encode:             newCollectdEncoder(e, settings.Interval()),
		encodeNotification: e.EncodeNotification,
	}
}
