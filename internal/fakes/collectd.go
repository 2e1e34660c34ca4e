package fakes

import (
	"bytes"
	"crypto/aes"
	"crypto/hmac"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Notification is one that a receiver took.
type Notification struct {
	Severity                     uint64
	Host, Plugin, Instance, Text string
	Timestamp                    int64
}

// Collectd is a stand-in for the receiving side of collectd's network plugin. A series is named
// host/plugin[-instance]/type[-instance]/N, N being the place of the value in its list.
type Collectd struct {
	*PointStore

	conn    net.PacketConn
	secrets map[string]string // by user
	guarded bool              // what is neither signed nor encrypted is turned down

	mu      sync.Mutex
	notices []Notification
}

// NewCollectd listens at a UDP address. With secrets, by user, packets must be signed or encrypted by one of them.
func NewCollectd(address string, secrets map[string]string, points *PointStore) (*Collectd, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	if udp, ok := conn.(*net.UDPConn); ok {
		_ = udp.SetReadBuffer(4 << 20)
	}
	c := &Collectd{PointStore: points, conn: conn, secrets: secrets, guarded: len(secrets) > 0}
	go c.run()
	return c, nil
}

// Address is where it listens.
func (c *Collectd) Address() string { return c.conn.LocalAddr().String() }

// Close ends it.
func (c *Collectd) Close() { _ = c.conn.Close() }

// Notifications are the notifications so far.
func (c *Collectd) Notifications() []Notification {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Notification(nil), c.notices...)
}

func (c *Collectd) run() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := c.conn.ReadFrom(b)
		if err != nil {
			return
		}
		points, notices, err := ParsePacket(b[:n], c.secrets, c.guarded)
		if err != nil {
			c.fault("collectd: %v", err)
		}
		c.mu.Lock()
		if len(c.notices) < 10_000 {
			c.notices = append(c.notices, notices...)
		}
		c.mu.Unlock()
		c.add(points...)
	}
}

// ParsePacket reads a packet. What was read before a fault is returned with it.
func ParsePacket(b []byte, secrets map[string]string, guarded bool) ([]Point, []Notification, error) {
	r := &packetReader{secrets: secrets}
	err := r.parts(b, !guarded)
	return r.points, r.notices, err
}

type packetReader struct {
	secrets map[string]string

	host, plugin, pluginInstance, kind, kindInstance string
	stamp                                            int64
	severity                                         uint64
	points                                           []Point
	notices                                          []Notification
}

func (r *packetReader) parts(b []byte, trusted bool) error {
	for len(b) > 0 {
		if len(b) < 4 {
			return fmt.Errorf("%d bytes are no part", len(b))
		}
		code, size := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if size < 4 || size > len(b) {
			return fmt.Errorf("part %#04x has %d bytes of %d", code, size, len(b))
		}
		body := b[4:size]
		rest := b[size:]
		switch code {
		case 0x0200:
			if err := r.verify(body, rest); err != nil {
				return err
			}
			trusted = true
		case 0x0210:
			plain, err := r.open(body)
			if err != nil {
				return err
			}
			if err := r.parts(plain, true); err != nil {
				return err
			}
		default:
			if !trusted {
				return errors.New("a packet that is neither signed nor encrypted")
			}
			if err := r.part(code, body); err != nil {
				return fmt.Errorf("part %#04x: %w", code, err)
			}
		}
		b = rest
	}
	return nil
}

// verify checks a signature: HMAC-SHA-256 by the user's secret over the user's name and all that follows.
func (r *packetReader) verify(body, rest []byte) error {
	if len(body) <= 32 {
		return errors.New("a signature without a user")
	}
	user := string(body[32:])
	secret, known := r.secrets[user]
	if !known {
		return fmt.Errorf("signed by %q, who is unknown", user)
	}
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(append([]byte(user), rest...))
	if !hmac.Equal(mac.Sum(nil), body[:32]) {
		return fmt.Errorf("signed by %q with a wrong key", user)
	}
	return nil
}

// open decrypts: a user's name behind two bytes of length, 16 bytes of vector, then under AES-256 in output feedback mode a
// SHA-1 and what it is of.
func (r *packetReader) open(body []byte) ([]byte, error) {
	if len(body) < 2 {
		return nil, errors.New("an encrypted part without a user")
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) < 2+n+16+20 {
		return nil, errors.New("an encrypted part that is too short")
	}
	user, vector, sealed := string(body[2:2+n]), body[2+n:2+n+16], body[2+n+16:]
	secret, known := r.secrets[user]
	if !known {
		return nil, fmt.Errorf("encrypted by %q, who is unknown", user)
	}
	key := sha256.Sum256([]byte(secret))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, err
	}
	plain, stream := make([]byte, len(sealed)), bytes.Clone(vector)
	for i := range sealed {
		if i%16 == 0 {
			block.Encrypt(stream, stream)
		}
		plain[i] = sealed[i] ^ stream[i%16]
	}
	if sum := sha1.Sum(plain[20:]); !bytes.Equal(sum[:], plain[:20]) {
		return nil, fmt.Errorf("encrypted by %q with a wrong key", user)
	}
	return plain[20:], nil
}

func (r *packetReader) part(code uint16, body []byte) error {
	word := func(to *string) error {
		if len(body) == 0 || body[len(body)-1] != 0 || len(body) > 1025 {
			return errors.New("a string without its end")
		}
		*to = string(body[:len(body)-1])
		return nil
	}
	name := func(to *string) error {
		if len(body) > 64 {
			return fmt.Errorf("a name of %d bytes", len(body))
		}
		if err := word(to); err != nil {
			return err
		}
		if strings.Contains(*to, "/") {
			return fmt.Errorf("a slash in %q", *to)
		}
		return nil
	}
	number := func() (uint64, error) {
		if len(body) != 8 {
			return 0, fmt.Errorf("a number of %d bytes", len(body))
		}
		return binary.BigEndian.Uint64(body), nil
	}
	switch code {
	case 0x0000:
		return name(&r.host)
	case 0x0002:
		return name(&r.plugin)
	case 0x0003:
		return name(&r.pluginInstance)
	case 0x0004:
		return name(&r.kind)
	case 0x0005:
		return name(&r.kindInstance)
	case 0x0006:
		return r.values(body)
	case 0x0008:
		n, err := number()
		r.stamp = int64(n >> 30)
		return err
	case 0x0009:
		_, err := number()
		return err
	case 0x0100:
		n := Notification{Severity: r.severity, Host: r.host, Plugin: r.plugin, Instance: r.pluginInstance, Timestamp: r.stamp}
		err := word(&n.Text)
		if err == nil {
			r.notices = append(r.notices, n)
		}
		return err
	case 0x0101:
		n, err := number()
		r.severity = n
		return err
	}
	return errors.New("unknown")
}

func (r *packetReader) values(body []byte) error {
	if len(body) < 2 {
		return errors.New("no number of values")
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) != 2+9*n {
		return fmt.Errorf("%d bytes for %d values", len(body), n)
	}
	if r.host == "" || r.plugin == "" || r.kind == "" || r.stamp == 0 {
		return errors.New("values without a host, plugin, type or time")
	}
	join := func(name, instance string) string {
		if instance == "" {
			return name
		}
		return name + "-" + instance
	}
	series := r.host + "/" + join(r.plugin, r.pluginInstance) + "/" + join(r.kind, r.kindInstance) + "/"
	for i := range n {
		at := body[2+n+8*i:]
		var value float64
		switch body[2+i] {
		case 1:
			value = math.Float64frombits(binary.LittleEndian.Uint64(at))
		case 0, 2, 3:
			value = float64(binary.BigEndian.Uint64(at))
		default:
			return fmt.Errorf("kind %d", body[2+i])
		}
		r.points = append(r.points, Point{series + strconv.Itoa(i), r.stamp, value})
	}
	return nil
}
