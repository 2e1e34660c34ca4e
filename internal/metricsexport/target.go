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

// target is a sink as the settings describe it.
type target struct {
	name, network, address string

	interval           time.Duration
	options            telemetry.SinkOptions
	settings           any // all settings of the sink; a sink with other settings is another sink
	encode             encoder
	encodeNotification func(collectd.Notification, time.Time) ([]byte, error) // nil for none
}

// encoder encodes an interval as frames. It flushes the rollup.
type encoder func(interval) ([][]byte, error)

// interval is what an encoder gets.
type interval struct {
	broker     string // its name
	timestamp  int64  // Unix seconds
	metrics    []broker.Metric
	rollup     *telemetry.Rollup // of the sink that encodes
	summarizer *telemetry.Summarizer
}

// equal tells whether a sink of this target serves the other one too. The encoders need no comparison: they follow from
// the settings, to which the key belongs.
func (t target) equal(other target) bool {
	return t.name == other.name &&
		t.network == other.network &&
		t.address == other.address &&
		t.interval == other.interval &&
		t.options == other.options &&
		reflect.DeepEqual(t.settings, other.settings)
}

// targets are the sinks that are on.
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
