package collectd

import (
	"bytes"
	"errors"
	"fmt"
	"time"
)

// MaxPacket is the maximum size of a packet in bytes, the same as in collectd's own senders. With a larger size,
// packets are fragmented and lost more often. With a smaller size, an interval needs more packets.
const MaxPacket = 1452

// ErrTooLarge reports a value list that does not fit into a packet.
var ErrTooLarge = errors.New("value list does not fit into a packet")

// Encoder encodes the packets of one sender.
type Encoder struct {
	Host     string
	Plugin   string
	Security Security
	Key      Key // used if Security is Signed or Encrypted
}

// EncodeValueLists encodes value lists of the same time into as few packets as possible, in order. If a value list does
// not fit into a packet, it returns an error that wraps ErrTooLarge.
func (e *Encoder) EncodeValueLists(lists []ValueList, at time.Time, interval time.Duration) ([][]byte, error) {
	var packets [][]byte
	limit := MaxPacket - e.overhead()
	head := e.packetHead(at, interval)
	packet := bytes.Clone(head)
	previous := ValueList{} // last value list of this packet
	var encoded []byte
	for i := 0; i < len(lists); {
		encoded = appendValueList(encoded[:0], previous, lists[i])
		if len(packet)+len(encoded) <= limit {
			packet = append(packet, encoded...)
			previous = lists[i]
			i++
			continue
		}
		if len(packet) == len(head) {
			return nil, fmt.Errorf("%w: %s %s", ErrTooLarge, lists[i].Type, lists[i].TypeInstance)
		}
		protected, err := e.protect(packet)
		if err != nil {
			return nil, err
		}
		packets = append(packets, protected)
		packet = bytes.Clone(head)
		previous = ValueList{}
	}
	if len(packet) == len(head) {
		return packets, nil
	}
	protected, err := e.protect(packet)
	if err != nil {
		return nil, err
	}
	return append(packets, protected), nil
}

// EncodeNotification encodes a notification as a packet. A text that does not fit is truncated.
func (e *Encoder) EncodeNotification(n Notification, at time.Time) ([]byte, error) {
	b := appendString(nil, partHost, e.Host)
	b = appendNumber(b, partTime, timeOf(at))
	b = appendNumber(b, partSeverity, uint64(n.Severity))
	b = appendString(b, partPlugin, e.Plugin)
	if n.Instance != "" {
		b = appendString(b, partPluginInstance, n.Instance)
	}
	text := n.Text
	room := MaxPacket - e.overhead() - len(b) - stringOverhead
	if len(text) > room {
		text = text[:room]
	}
	return e.protect(appendString(b, partMessage, text))
}

// packetHead returns the beginning of each packet of value lists.
func (e *Encoder) packetHead(at time.Time, interval time.Duration) []byte {
	b := appendString(nil, partHost, e.Host)
	b = appendNumber(b, partTime, timeOf(at))
	b = appendNumber(b, partInterval, durationOf(interval))
	return appendString(b, partPlugin, e.Plugin)
}
