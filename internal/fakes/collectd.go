package fakes

import (
	"net"
	"slices"
	"sync"
)

const (
	// collectdReadBuffer is the receive buffer in bytes: a report of hundreds of brokers at once must fit, or an
	// experiment would count the kernel's losses as the broker's.
	collectdReadBuffer = 4 << 20
	// maxNotifications bounds the notifications that are kept; an experiment makes some hundreds.
	maxNotifications = 10_000
)

// Notification is a collectd notification that a receiver took.
type Notification struct {
	Severity                     uint64
	Host, Plugin, Instance, Text string
	Timestamp                    int64 // Unix time, s
}

// Collectd is a fake of the receiving side of collectd's network plugin. A series is named
// host/plugin[-instance]/type[-instance]/N, N being the index of the value in its list.
type Collectd struct {
	*PointStore

	conn      net.PacketConn
	secrets   map[string]string // by user
	protected bool              // what is neither signed nor encrypted is rejected

	mu            sync.Mutex // guards what follows
	notifications []Notification
}

// NewCollectd listens at a UDP address. With secrets, by user, packets must be signed or encrypted by one of them.
func NewCollectd(address string, secrets map[string]string, points *PointStore) (*Collectd, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	if udp, ok := conn.(*net.UDPConn); ok {
		_ = udp.SetReadBuffer(collectdReadBuffer) // the system's bound may be lower, which a small test does not notice
	}
	c := &Collectd{
		PointStore: points,
		conn:       conn,
		secrets:    secrets,
		protected:  len(secrets) > 0,
	}
	go c.readPackets()
	return c, nil
}

// Address returns where it listens.
func (c *Collectd) Address() string { return c.conn.LocalAddr().String() }

// Close ends it.
func (c *Collectd) Close() { _ = c.conn.Close() }

// Notifications returns the notifications so far.
func (c *Collectd) Notifications() []Notification {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.notifications)
}

// readPackets reads packets until Close.
func (c *Collectd) readPackets() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		points, notifications, err := ParsePacket(buffer[:n], c.secrets, c.protected)
		if err != nil {
			c.addError("collectd: %v", err)
		}
		c.addNotifications(notifications)
		c.add(points...)
	}
}

func (c *Collectd) addNotifications(notifications []Notification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.notifications) < maxNotifications {
		c.notifications = append(c.notifications, notifications...)
	}
}
