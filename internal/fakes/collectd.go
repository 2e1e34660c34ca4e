package fakes

import (
	"net"
	"slices"
	"sync"
)

const (
	// collectdReadBuffer is the size of the receive buffer in bytes. The simultaneous reports of hundreds of brokers
	// must fit. Otherwise an experiment would attribute datagrams dropped by the kernel to the brokers.
	collectdReadBuffer = 4 << 20
	// maxNotifications limits the notifications that are kept. An experiment causes some hundreds.
	maxNotifications = 10_000
)

// Notification is a collectd notification that was received.
type Notification struct {
	Severity                     uint64
	Host, Plugin, Instance, Text string
	Timestamp                    int64 // Unix time, s
}

// Collectd is a fake of the receiving side of collectd's network plugin. A series is named
// host/plugin[-instance]/type[-instance]/N, where N is the index of the value in its list.
type Collectd struct {
	*PointStore

	conn      net.PacketConn
	secrets   map[string]string // by user
	protected bool              // reject data that is neither signed nor encrypted

	mu            sync.Mutex // guards notifications
	notifications []Notification
}

// NewCollectd starts a receiver at a UDP address. secrets maps users to their secrets. If it is not empty, packets must
// be signed or encrypted by one of the users.
func NewCollectd(address string, secrets map[string]string, points *PointStore) (*Collectd, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	if udp, ok := conn.(*net.UDPConn); ok {
		_ = udp.SetReadBuffer(collectdReadBuffer) // the system's limit may be lower, which suffices for small tests
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

// Address returns the listening address.
func (c *Collectd) Address() string { return c.conn.LocalAddr().String() }

// Close stops the receiver.
func (c *Collectd) Close() { _ = c.conn.Close() }

// Notifications returns the notifications received so far.
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
