// Package metrics words the broker's figures: as StatsD lines for the operators' door, in Graphite's plaintext protocol
// and in collectd's network protocol, and pushes the latter two.
package metrics

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"time"

	"junctionwharf/broker"
)

// Sample is one figure.
type Sample = broker.Figure

// statsdPrefix stands before each name that the operators' door shows.
const statsdPrefix = "edge_balancer"

// Statsd words figures as StatsD lines.
func Statsd(samples []Sample) []byte {
	var text []byte
	for _, s := range samples {
		kind := "g"
		if s.Counter {
			kind = "c"
		}
		text = fmt.Appendf(text, "%s.%s:%d|%s\n", statsdPrefix, s.Name, s.Value, kind)
	}
	return text
}

// Graphite is a Carbon receiver.
type Graphite struct {
	Address string // TCP
	Prefix  string
}

// Collectd is a receiver of collectd's network plugin.
type Collectd struct {
	Address string // UDP
	Host    string
}

const (
	pushTime  = 2 * time.Second
	maxPacket = 1452 // bytes of a collectd datagram
)

// Run calls push each interval until ctx ends. It reports the first of several failures, and the end of them.
func Run(ctx context.Context, interval time.Duration, push func(context.Context, time.Time) error, log func(string)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			err := push(ctx, now)
			if err != nil && !failed {
				log("metrics: " + err.Error())
			} else if err == nil && failed {
				log("metrics: back")
			}
			failed = err != nil
		}
	}
}

// Push sends all samples.
func (g Graphite) Push(ctx context.Context, now time.Time, samples []Sample) error {
	var text bytes.Buffer
	for _, s := range samples {
		fmt.Fprintf(&text, "%s.%s %d %d\n", g.Prefix, s.Name, s.Value, now.Unix())
	}
	conn, err := dial(ctx, "tcp", g.Address)
	if err != nil {
		return fmt.Errorf("graphite: %w", err)
	}
	defer conn.Close()
	if _, err := conn.Write(text.Bytes()); err != nil {
		return fmt.Errorf("graphite: %w", err)
	}
	return nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: pushTime}).DialContext(ctx, network, address)
	if err == nil {
		conn.SetDeadline(time.Now().Add(pushTime))
	}
	return conn, err
}

// The parts and value kinds of collectd's binary protocol.
const (
	partHost         = 0x0000
	partPlugin       = 0x0002
	partType         = 0x0004
	partTypeInstance = 0x0005
	partValues       = 0x0006
	partTimeHR       = 0x0008
	partIntervalHR   = 0x0009

	kindGauge  = 1
	kindDerive = 2
)

const plugin = "junctionwharf"

// Push sends all samples, as many datagrams as it takes.
func (c Collectd) Push(ctx context.Context, now time.Time, interval time.Duration, samples []Sample) error {
	conn, err := dial(ctx, "udp", c.Address)
	if err != nil {
		return fmt.Errorf("collectd: %w", err)
	}
	defer conn.Close()
	head := text(nil, partHost, c.Host)
	head = figure(head, partTimeHR, fine(time.Duration(now.UnixNano())))
	head = figure(head, partIntervalHR, fine(interval))
	head = text(head, partPlugin, plugin)
	packet := bytes.Clone(head)
	for i, s := range samples {
		packet = value(packet, s)
		if i == len(samples)-1 || len(packet)+len(value(nil, samples[i+1])) > maxPacket {
			if _, err := conn.Write(packet); err != nil {
				return fmt.Errorf("collectd: %w", err)
			}
			packet = bytes.Clone(head)
		}
	}
	return nil
}

// fine counts time in units of 2^-30 s.
func fine(d time.Duration) uint64 {
	return uint64(d/time.Second)<<30 + uint64(d%time.Second)<<30/uint64(time.Second)
}

func text(b []byte, part uint16, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, part)
	b = binary.BigEndian.AppendUint16(b, uint16(4+len(s)+1))
	return append(append(b, s...), 0)
}

func figure(b []byte, part uint16, n uint64) []byte {
	b = binary.BigEndian.AppendUint16(b, part)
	b = binary.BigEndian.AppendUint16(b, 12)
	return binary.BigEndian.AppendUint64(b, n)
}

// value appends the parts of one sample.
func value(b []byte, s Sample) []byte {
	kind, name := byte(kindGauge), "gauge"
	if s.Counter {
		kind, name = kindDerive, "derive"
	}
	b = text(text(b, partType, name), partTypeInstance, s.Name)
	b = binary.BigEndian.AppendUint16(b, partValues)
	b = binary.BigEndian.AppendUint16(b, 4+2+1+8)
	b = append(binary.BigEndian.AppendUint16(b, 1), kind)
	if s.Counter {
		return binary.BigEndian.AppendUint64(b, s.Value)
	}
	return binary.LittleEndian.AppendUint64(b, doubleBits(s.Value)) // gauges alone are little-endian
}

func doubleBits(n uint64) uint64 { return math.Float64bits(float64(n)) }
