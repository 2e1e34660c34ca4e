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
	partTimeHR         = 0x0008 // units of 2^-30 s
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

// Lengths that the protocol sets, in bytes unless said otherwise.
const (
	partHeaderSize  = 4    // the part's type and length, two bytes each
	valueCountSize  = 2    // of a values part
	valueSize       = 9    // a byte for the type and eight for the value
	numberSize      = 8    // of a number part
	maxNameSize     = 64   // of a host, plugin or type, its closing zero byte included
	maxTextSize     = 1025 // of a message, its closing zero byte included
	timeHRFractions = 30   // bits of a high-resolution time below the second
)

// Faults of a packet.
var (
	errUnprotected    = errors.New("a packet that is neither signed nor encrypted")
	errUnterminated   = errors.New("a string without its end")
	errNoValueCount   = errors.New("no number of values")
	errIncomplete     = errors.New("values without a host, plugin, type or time")
	errUnknownPart    = errors.New("unknown")
	errNoSigner       = errors.New("a signature without a user")
	errNoEncrypter    = errors.New("an encrypted part without a user")
	errShortEncrypted = errors.New("an encrypted part that is too short")
)

// ParsePacket reads a packet. With protected, what is neither signed nor encrypted is rejected. What was read before an
// error is returned with it.
func ParsePacket(packet []byte, secrets map[string]string, protected bool) ([]Point, []Notification, error) {
	r := &packetReader{secrets: secrets}
	err := r.readParts(packet, !protected)
	return r.points, r.notifications, err
}

// packetReader holds what the parts of a packet have set so far: a values part or a message takes the rest from the
// parts before it.
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

// readParts reads parts one behind another. They must be trusted: signed by a part before them, or decrypted.
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

// partHeader reads the type of the first part and its size in bytes, the header included.
func partHeader(packet []byte) (partType uint16, size int, err error) {
	if len(packet) < partHeaderSize {
		return 0, 0, fmt.Errorf("%d bytes are no part", len(packet))
	}
	partType = binary.BigEndian.Uint16(packet)
	size = int(binary.BigEndian.Uint16(packet[2:]))
	if size < partHeaderSize || size > len(packet) {
		return 0, 0, fmt.Errorf("part %#04x has %d bytes of %d", partType, size, len(packet))
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

// readText reads a string that ends in a zero byte.
func readText(body []byte) (string, error) {
	if len(body) == 0 || body[len(body)-1] != 0 || len(body) > maxTextSize {
		return "", errUnterminated
	}
	return string(body[:len(body)-1]), nil
}

// readName reads a string that is a part of a series' name.
func readName(body []byte) (string, error) {
	if len(body) > maxNameSize {
		return "", fmt.Errorf("a name of %d bytes", len(body))
	}
	name, err := readText(body)
	if err != nil {
		return "", err
	}
	if strings.Contains(name, "/") {
		return "", fmt.Errorf("a slash in %q", name)
	}
	return name, nil
}

func readNumber(body []byte) (uint64, error) {
	if len(body) != numberSize {
		return 0, fmt.Errorf("a number of %d bytes", len(body))
	}
	return binary.BigEndian.Uint64(body), nil
}

// readMessage reads the text that ends a notification.
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

// readValues reads a list of values: their count, their types, then the values.
func (r *packetReader) readValues(body []byte) error {
	if len(body) < valueCountSize {
		return errNoValueCount
	}
	count := int(binary.BigEndian.Uint16(body))
	if len(body) != valueCountSize+valueSize*count {
		return fmt.Errorf("%d bytes for %d values", len(body), count)
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
		return 0, fmt.Errorf("kind %d", valueType)
	}
}

// seriesPrefix is the name of a series without the index of its value.
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
