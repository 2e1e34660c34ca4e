package collectd

import (
	"encoding/binary"
	"math"
	"strings"
	"time"
)

// partType is the type of a part in a packet.
type partType uint16

// The types of parts in use, with their protocol numbers.
const (
	partHost           partType = 0x0000
	partPlugin         partType = 0x0002
	partPluginInstance partType = 0x0003
	partTypeName       partType = 0x0004
	partTypeInstance   partType = 0x0005
	partValues         partType = 0x0006
	partTime           partType = 0x0008 // high resolution
	partInterval       partType = 0x0009 // high resolution
	partMessage        partType = 0x0100
	partSeverity       partType = 0x0101
	partSignature      partType = 0x0200
	partEncrypted      partType = 0x0210
)

// The sizes of parts, in bytes.
const (
	partHead       = 2 + 2        // type and length of the part
	stringOverhead = partHead + 1 // with the terminating zero byte
	numberPart     = partHead + 8
	valuesHead     = partHead + 2 // with the number of values
	valueSize      = 1 + 8        // kind and value
)

// appendPartHead appends the head of a part. length includes the head.
func appendPartHead(b []byte, part partType, length int) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(part))
	return binary.BigEndian.AppendUint16(b, uint16(length))
}

// appendString appends a part with a string and a terminating zero byte. A string that contains a zero byte is
// truncated there.
func appendString(b []byte, part partType, s string) []byte {
	s, _, _ = strings.Cut(s, "\x00")
	b = appendPartHead(b, part, len(s)+stringOverhead)
	b = append(b, s...)
	return append(b, 0)
}

func appendNumber(b []byte, part partType, n uint64) []byte {
	b = appendPartHead(b, part, numberPart)
	return binary.BigEndian.AppendUint64(b, n)
}

// appendValueList appends the values of a value list and those other parts that differ from the previous list.
func appendValueList(b []byte, previous, list ValueList) []byte {
	if list.PluginInstance != previous.PluginInstance {
		b = appendString(b, partPluginInstance, list.PluginInstance)
	}
	if list.Type != previous.Type {
		b = appendString(b, partTypeName, list.Type)
	}
	if list.TypeInstance != previous.TypeInstance {
		b = appendString(b, partTypeInstance, list.TypeInstance)
	}
	return appendValues(b, list.Values)
}

// appendValues appends the kinds of all values, followed by the values. As the protocol requires, gauges are
// little-endian and other values are big-endian.
func appendValues(b []byte, values []Value) []byte {
	b = appendPartHead(b, partValues, valuesHead+valueSize*len(values))
	b = binary.BigEndian.AppendUint16(b, uint16(len(values)))
	for _, value := range values {
		b = append(b, byte(value.Kind))
	}
	for _, value := range values {
		if value.Kind == Gauge {
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(float64(value.N)))
		} else {
			b = binary.BigEndian.AppendUint64(b, value.N)
		}
	}
	return b
}

// timeShift is the shift from seconds to units of 2^-30 s.
const timeShift = 30

// durationOf returns a duration in units of 2^-30 s.
func durationOf(d time.Duration) uint64 {
	seconds := uint64(d / time.Second)
	fraction := uint64(d % time.Second)
	return seconds<<timeShift + fraction<<timeShift/uint64(time.Second)
}

// timeOf returns a point in time in units of 2^-30 s since 1970.
func timeOf(t time.Time) uint64 {
	return uint64(t.Unix())<<timeShift + uint64(t.Nanosecond())<<timeShift/uint64(time.Second)
}
