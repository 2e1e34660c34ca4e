package fakes

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The types of parts in a packet of collectd's binary protocol.
const (
	partHost           = 0x0000
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partTypeName       = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partTimeHR         = 0x0008 // in units of 2^-30 s
	partIntervalHR     = 0x0009
	partMessage        = 0x0100
	partSeverity       = 0x0101
	partSignature      = 0x0200
	partEncryption     = 0x0210
)

// The types of values in a values part.
const (
	valueCounter  = 0
	valueGauge    = 1
	valueDerive   = 2
	valueAbsolute = 3
)

// Sizes defined by the protocol, in bytes unless stated otherwise.
const (
	partHeaderSize  = 4    // type and length of a part, two bytes each
	valueCountSize  = 2    // number of values in a values part
	valueSize       = 9    // one byte for the type and eight for the value
	numberSize      = 8    // body of a number part
	maxNameSize     = 64   // host, plugin or type, including the terminating zero byte
	maxTextSize     = 1025 // message, including the terminating zero byte
	timeHRFractions = 30   // number of bits of a high-resolution time that are below one second
)

// Errors of an invalid packet.
var (
	errUnprotected    = errors.New("packet is neither signed nor encrypted")
	errUnterminated   = errors.New("string is too long or not terminated by a zero byte")
	errNoValueCount   = errors.New("values part lacks the number of values")
	errIncomplete     = errors.New("values are not preceded by a host, plugin, type and time")
	errUnknownPart    = errors.New("unknown part type")
	errNoSigner       = errors.New("signature lacks a user name")
	errNoEncrypter    = errors.New("encrypted part lacks a user name")
	errShortEncrypted = errors.New("encrypted part is too short")
)

// ParsePacket parses a packet. secrets maps users to their secrets. If protected is true, data that is neither signed
// nor encrypted is rejected. Together with an error, it returns the points and notifications before the error.
func ParsePacket(packet []byte, secrets map[string]string, protected bool) ([]Point, []Notification, error) {
	r := &packetReader{secrets: secrets}
	err := r.readParts(packet, !protected)
	return r.points, r.notifications, err
}

// packetReader holds the fields set by the parts of a packet so far. A values part or a message applies to the host,
// plugin, type and time in the parts before it.
type packetReader struct {
	secrets map[string]string // by user

	host           string
	plugin         string
	pluginInstance string
	typeName       string
	typeInstance   string
	timestamp      int64 // Unix time, s
	severity       uint64

	points        []Point
	notifications []Notification
}

// readParts reads consecutive parts. If trusted is false, it returns an error for data that is neither encrypted nor
// preceded by a signature.
func (r *packetReader) readParts(packet []byte, trusted bool) error {
	for len(packet) > 0 {
		partType, size, err := partHeader(packet)
		if err != nil {
			return err
		}
		body := packet[partHeaderSize:size]
		rest := packet[size:]
		switch partType {
		case partSignature:
			if err := verifySignature(r.secrets, body, rest); err != nil {
				return err
			}
			trusted = true
		case partEncryption:
			plain, err := decrypt(r.secrets, body)
			if err != nil {
				return err
			}
			if err := r.readParts(plain, true); err != nil {
				return err
			}
		default:
			if !trusted {
				return errUnprotected
			}
			if err := r.readPart(partType, body); err != nil {
				return fmt.Errorf("part %#04x: %w", partType, err)
			}
		}
		packet = rest
	}
	return nil
}

// partHeader returns the type of the first part and its size in bytes, including the header.
func partHeader(packet []byte) (partType uint16, size int, err error) {
	if len(packet) < partHeaderSize {
		return 0, 0, fmt.Errorf("%d bytes are too short for a part header", len(packet))
	}
	partType = binary.BigEndian.Uint16(packet)
	size = int(binary.BigEndian.Uint16(packet[2:]))
	if size < partHeaderSize || size > len(packet) {
		return 0, 0, fmt.Errorf("part %#04x: invalid size of %d bytes, %d bytes remain", partType, size, len(packet))
	}
	return partType, size, nil
}

// readPart reads a part that is neither a signature nor encrypted.
func (r *packetReader) readPart(partType uint16, body []byte) (err error) {
	switch partType {
	case partHost:
		r.host, err = readName(body)
	case partPlugin:
		r.plugin, err = readName(body)
	case partPluginInstance:
		r.pluginInstance, err = readName(body)
	case partTypeName:
		r.typeName, err = readName(body)
	case partTypeInstance:
		r.typeInstance, err = readName(body)
	case partValues:
		err = r.readValues(body)
	case partTimeHR:
		var n uint64
		n, err = readNumber(body)
		r.timestamp = int64(n >> timeHRFractions)
	case partIntervalHR:
		_, err = readNumber(body)
	case partMessage:
		err = r.readMessage(body)
	case partSeverity:
		r.severity, err = readNumber(body)
	default:
		err = errUnknownPart
	}
	return err
}

// readText reads a zero-terminated string.
func readText(body []byte) (string, error) {
	if len(body) == 0 || body[len(body)-1] != 0 || len(body) > maxTextSize {
		return "", errUnterminated
	}
	return string(body[:len(body)-1]), nil
}

// readName reads a zero-terminated string that is a component of a series name.
func readName(body []byte) (string, error) {
	if len(body) > maxNameSize {
		return "", fmt.Errorf("name of %d bytes exceeds the limit of %d", len(body), maxNameSize)
	}
	name, err := readText(body)
	if err != nil {
		return "", err
	}
	if strings.Contains(name, "/") {
		return "", fmt.Errorf("name %q contains a slash", name)
	}
	return name, nil
}

func readNumber(body []byte) (uint64, error) {
	if len(body) != numberSize {
		return 0, fmt.Errorf("number of %d bytes, want %d", len(body), numberSize)
	}
	return binary.BigEndian.Uint64(body), nil
}

// readMessage reads the text of a notification and adds the notification.
func (r *packetReader) readMessage(body []byte) error {
	text, err := readText(body)
	if err != nil {
		return err
	}
	r.notifications = append(r.notifications, Notification{
		Severity:  r.severity,
		Host:      r.host,
		Plugin:    r.plugin,
		Instance:  r.pluginInstance,
		Text:      text,
		Timestamp: r.timestamp,
	})
	return nil
}

// readValues reads a values part: the number of values, their types, then the values.
func (r *packetReader) readValues(body []byte) error {
	if len(body) < valueCountSize {
		return errNoValueCount
	}
	count := int(binary.BigEndian.Uint16(body))
	if len(body) != valueCountSize+valueSize*count {
		return fmt.Errorf("values part has the wrong size: %d bytes for %d values", len(body), count)
	}
	if r.host == "" || r.plugin == "" || r.typeName == "" || r.timestamp == 0 {
		return errIncomplete
	}
	types := body[valueCountSize : valueCountSize+count]
	values := body[valueCountSize+count:]
	for i, valueType := range types {
		value, err := readValue(valueType, values[numberSize*i:])
		if err != nil {
			return err
		}
		r.points = append(r.points, Point{
			Series:    r.seriesPrefix() + strconv.Itoa(i),
			Timestamp: r.timestamp,
			Value:     value,
		})
	}
	return nil
}

func readValue(valueType byte, body []byte) (float64, error) {
	switch valueType {
	case valueGauge:
		return math.Float64frombits(binary.LittleEndian.Uint64(body)), nil
	case valueCounter, valueDerive, valueAbsolute:
		return float64(binary.BigEndian.Uint64(body)), nil
	default:
		return 0, fmt.Errorf("unknown value type %d", valueType)
	}
}

// seriesPrefix returns the name of a series without the index of its value.
func (r *packetReader) seriesPrefix() string {
	plugin := withInstance(r.plugin, r.pluginInstance)
	typeName := withInstance(r.typeName, r.typeInstance)
	return r.host + "/" + plugin + "/" + typeName + "/"
}

func withInstance(name, instance string) string {
	if instance == "" {
		return name
	}
	return name + "-" + instance
}
