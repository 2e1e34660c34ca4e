// Package collectd words figures in the binary protocol of collectd's network plugin, plain, signed or encrypted, as
// the page "Binary protocol" of collectd's documentation has it.
package collectd

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"
)

// The parts of a packet.
const (
	partHost           = 0x0000
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partType           = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partTimeHR         = 0x0008
	partIntervalHR     = 0x0009
	partMessage        = 0x0100
	partSeverity       = 0x0101
	partSignature      = 0x0200
	partEncrypted      = 0x0210
)

// MaxPacket bounds a packet, as collectd's own senders do.
const MaxPacket = 1452

// MaxName bounds the bytes of a host, an instance or a type: collectd keeps 63 and the end.
const MaxName = 63

// Kind is the kind of a value.
type Kind byte

// The kinds in use. Derives only grow; their receiver takes the rate.
const (
	Gauge  Kind = 1
	Derive Kind = 2
)

// Value is one of a list's values.
type Value struct {
	Kind Kind
	N    uint64
}

// ValueList is a value list: all values of one type, as types.db names them.
type ValueList struct {
	PluginInstance, Type, TypeInstance string

	Values []Value
}

// Severity is how bad a notification is.
type Severity uint64

// The severities.
const (
	Failure Severity = 1
	Warning Severity = 2
	Okay    Severity = 4
)

// Notification is a notification.
type Notification struct {
	Severity Severity
	Instance string // what it is about
	Text     string
}

// Security says how packets are guarded.
type Security int

// The ways.
const (
	Unprotected Security = iota
	Signed
	Encrypted
)

// Key is a user and the secret that its packets are guarded by.
type Key struct{ User, Secret string }

// maxUser bounds a user's bytes, so that a packet has room for values.
const maxUser = 64

// ReadKey reads a file of lines "user: secret", the form of collectd's AuthFile, and returns the line of user, or the
// first if user is empty. A file that others than its owner may read is turned down.
func ReadKey(path, user string) (Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Key{}, err
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return Key{}, fmt.Errorf("%s: its mode is %04o: others than its owner may use it, make it 0600", path, mode)
	}
	if info.Size() > 64<<10 {
		return Key{}, fmt.Errorf("%s: over 64 KiB", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Key{}, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, secret, found := strings.Cut(line, ":")
		key := Key{strings.TrimSpace(name), strings.TrimSpace(secret)}
		if !found || key.User == "" || key.Secret == "" || len(key.User) > maxUser {
			return Key{}, fmt.Errorf("%s: line %d: not \"user: secret\"", path, i+1)
		}
		if user == "" || user == key.User {
			return key, nil
		}
	}
	if user == "" {
		return Key{}, fmt.Errorf("%s: it holds no key", path)
	}
	return Key{}, fmt.Errorf("%s: it holds no key of user %q", path, user)
}

// Encoder words packets of one sender.
type Encoder struct {
	Host     string
	Plugin   string
	Security Security
	Key      Key
}

// overhead is what guarding takes of a packet.
func (e *Encoder) overhead() int {
	switch e.Security {
	case Signed:
		return 4 + sha256.Size + len(e.Key.User)
	case Encrypted:
		return 4 + 2 + len(e.Key.User) + aes.BlockSize + sha1.Size
	}
	return 0
}

// ErrTooLarge tells of a list that does not fit into a packet of its own.
var ErrTooLarge = errors.New("a value list does not fit into a packet")

// EncodeValueLists words value lists of one moment, as many to a packet as fit. A part that stands as before is not written again.
func (e *Encoder) EncodeValueLists(lists []ValueList, at time.Time, interval time.Duration) ([][]byte, error) {
	var packets [][]byte
	limit := MaxPacket - e.overhead()
	head := e.head(at, interval)
	packet, held := bytes.Clone(head), ValueList{}
	var body []byte
	for i := 0; i < len(lists); {
		body = appendList(body[:0], held, lists[i])
		if len(packet)+len(body) <= limit {
			packet, held = append(packet, body...), lists[i]
			i++
			continue
		}
		if len(packet) == len(head) {
			return nil, fmt.Errorf("%w: %s %s", ErrTooLarge, lists[i].Type, lists[i].TypeInstance)
		}
		sealed, err := e.seal(packet)
		if err != nil {
			return nil, err
		}
		packets = append(packets, sealed)
		packet, held = bytes.Clone(head), ValueList{}
	}
	if len(packet) > len(head) {
		sealed, err := e.seal(packet)
		if err != nil {
			return nil, err
		}
		packets = append(packets, sealed)
	}
	return packets, nil
}

// EncodeNotification words a notification.
func (e *Encoder) EncodeNotification(n Notification, at time.Time) ([]byte, error) {
	b := text(nil, partHost, e.Host)
	b = number(b, partTimeHR, fineTime(at))
	b = number(b, partSeverity, uint64(n.Severity))
	b = text(b, partPlugin, e.Plugin)
	if n.Instance != "" {
		b = text(b, partPluginInstance, n.Instance)
	}
	words := n.Text
	if most := MaxPacket - e.overhead() - len(b) - 5; len(words) > most {
		words = words[:most]
	}
	return e.seal(text(b, partMessage, words))
}

func (e *Encoder) head(at time.Time, interval time.Duration) []byte {
	b := text(nil, partHost, e.Host)
	b = number(b, partTimeHR, fineTime(at))
	b = number(b, partIntervalHR, fine(interval))
	return text(b, partPlugin, e.Plugin)
}

func appendList(b []byte, held, l ValueList) []byte {
	if l.PluginInstance != held.PluginInstance {
		b = text(b, partPluginInstance, l.PluginInstance)
	}
	if l.Type != held.Type {
		b = text(b, partType, l.Type)
	}
	if l.TypeInstance != held.TypeInstance {
		b = text(b, partTypeInstance, l.TypeInstance)
	}
	b = binary.BigEndian.AppendUint16(b, partValues)
	b = binary.BigEndian.AppendUint16(b, uint16(6+9*len(l.Values)))
	b = binary.BigEndian.AppendUint16(b, uint16(len(l.Values)))
	for _, v := range l.Values {
		b = append(b, byte(v.Kind))
	}
	for _, v := range l.Values {
		if v.Kind == Gauge { // gauges alone are little-endian
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(float64(v.N)))
		} else {
			b = binary.BigEndian.AppendUint64(b, v.N)
		}
	}
	return b
}

// fine counts time in units of 2^-30 s.
func fine(d time.Duration) uint64 {
	return uint64(d/time.Second)<<30 + uint64(d%time.Second)<<30/uint64(time.Second)
}

func fineTime(t time.Time) uint64 { return uint64(t.Unix())<<30 + uint64(t.Nanosecond())<<30/1e9 }

// text appends a string, which ends with a zero byte; so a zero byte within it ends it early.
func text(b []byte, part uint16, s string) []byte {
	s, _, _ = strings.Cut(s, "\x00")
	b = binary.BigEndian.AppendUint16(b, part)
	b = binary.BigEndian.AppendUint16(b, uint16(4+len(s)+1))
	return append(append(b, s...), 0)
}

func number(b []byte, part uint16, n uint64) []byte {
	b = binary.BigEndian.AppendUint16(b, part)
	b = binary.BigEndian.AppendUint16(b, 12)
	return binary.BigEndian.AppendUint64(b, n)
}

// seal guards a packet.
func (e *Encoder) seal(packet []byte) ([]byte, error) {
	switch e.Security {
	case Signed:
		mac := hmac.New(sha256.New, []byte(e.Key.Secret))
		mac.Write([]byte(e.Key.User))
		mac.Write(packet)
		b := binary.BigEndian.AppendUint16(nil, partSignature)
		b = binary.BigEndian.AppendUint16(b, uint16(4+sha256.Size+len(e.Key.User)))
		b = mac.Sum(b)
		return append(append(b, e.Key.User...), packet...), nil
	case Encrypted:
		return e.encrypt(packet)
	}
	return packet, nil
}

// encrypt has AES-256 in output feedback mode, by the secret's SHA-256, over the packet's SHA-1 and the packet.
func (e *Encoder) encrypt(packet []byte) ([]byte, error) {
	key := sha256.Sum256([]byte(e.Key.Secret))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, err
	}
	iv := make([]byte, aes.BlockSize)
	if _, err := rand.Read(iv); err != nil {
		return nil, err
	}
	sum := sha1.Sum(packet)
	plain := append(sum[:], packet...)
	b := binary.BigEndian.AppendUint16(nil, partEncrypted)
	b = binary.BigEndian.AppendUint16(b, uint16(len(packet)+e.overhead()))
	b = binary.BigEndian.AppendUint16(b, uint16(len(e.Key.User)))
	b = append(append(b, e.Key.User...), iv...)
	at := len(b)
	b = append(b, plain...)
	cipher.NewOFB(block, iv).XORKeyStream(b[at:], plain) //nolint:staticcheck // the protocol has this mode
	return b, nil
}
