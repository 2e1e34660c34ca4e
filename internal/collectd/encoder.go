package collectd

import (
	"bytes"
	"errors"
	"fmt"
	"time"
)

// MaxPacket bounds the bytes of a packet, as collectd's own senders do. Higher, packets are fragmented and lost more
// often; lower, an interval takes more of them.
const MaxPacket = 1452

// ErrTooLarge tells of a value list that does not fit into a packet of its own.
var ErrTooLarge = errors.New("a value list does not fit into a packet")

// Encoder encodes packets of one sender.
type Encoder struct {
	Host     string
	Plugin   string
	Security Security
	Key      Key // of Signed and Encrypted
}

// EncodeValueLists encodes value lists of one time, as many to a packet as fit, in order. It returns an error that
// wraps ErrTooLarge if one of them does not fit into any.
func (e *Encoder) EncodeValueLists(lists []ValueList, at time.Time, interval time.Duration) ([][]byte, error) {
	var packets [][]byte
	limit := MaxPacket - e.overhead()
	head := e.packetHead(at, interval)
	packet := bytes.Clone(head)
	previous := ValueList{} // of this packet
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

// EncodeNotification encodes a notification as a packet. A text that does not fit is cut.
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

// packetHead is what each packet of value lists begins with.
func (e *Encoder) packetHead(at time.Time, interval time.Duration) []byte {
	b := appendString(nil, partHost, e.Host)
	b = appendNumber(b, partTime, timeOf(at))
	b = appendNumber(b, partInterval, durationOf(interval))
	return appendString(b, partPlugin, e.Plugin)
}
