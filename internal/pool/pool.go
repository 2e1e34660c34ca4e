package pool

import (
	"bufio"
	"log/slog"
	"net"
	"sync"
	"time"

	"junctionwharf/internal/semaphore"
)

// Options configures a Pool.
type Options struct {
	// ConnectTimeout bounds the time to establish a connection, including the wait for a slot and the handshake.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a node closes an idle connection.
	IdleTimeout time.Duration
	// ReuseDelay is the minimum time that a connection must be idle before it is reused. 0 allows immediate reuse.
	ReuseDelay time.Duration
	// MaxConnections bounds the total number of connections to all nodes, including idle ones.
	MaxConnections int
	// LocalIP is the local address of connections. If it is nil, the system chooses the address.
	LocalIP net.IP
	// Handshake opens a session on a new connection. It is nil for a protocol without a handshake.
	Handshake func(net.Conn, *bufio.Reader) error
	// Logger logs panics of exchanges.
	Logger *slog.Logger
}

// reusableIdleFraction is the fraction of Options.IdleTimeout after which an idle connection is no longer reused. With
// a value closer to 1, the node could close a connection just as a request is sent. The request would end with a reset,
// after which a write cannot be retried. With a smaller value, more requests would need a new connection.
const reusableIdleFraction = 0.7

// Pool keeps connections to nodes by address. Its methods may be called from any goroutine.
type Pool struct {
	options Options
	slots   *semaphore.Semaphore // one slot per connection: dialing, in use or idle

	mu             sync.Mutex // guards the fields below
	connectTimeout time.Duration
	maxIdleAge     time.Duration            // a connection that has been idle for this long is not reused
	idle           map[string][]*connection // by address, most recently used last
	idleChanged    map[string]chan struct{} // by address, while attempts wait; closed when a connection becomes idle
	dialTimes      dialTimes
	closed         bool
}

// New returns an empty pool.
func New(options Options) *Pool {
	p := &Pool{
		options:     options,
		slots:       semaphore.New(options.MaxConnections),
		idle:        map[string][]*connection{},
		idleChanged: map[string]chan struct{}{},
		dialTimes:   dialTimes{hedgeTokens: maxHedgeTokens},
	}
	p.SetTimeouts(options.ConnectTimeout, options.IdleTimeout)
	return p
}

// SetTimeouts changes Options.ConnectTimeout and Options.IdleTimeout for later dials and reuses.
func (p *Pool) SetTimeouts(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = connect
	p.maxIdleAge = time.Duration(reusableIdleFraction * float64(idle))
}

// timeouts returns the current connect timeout and maximum idle age.
func (p *Pool) timeouts() (connect, maxIdleAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTimeout, p.maxIdleAge
}

// Resize changes Options.MaxConnections. It closes idle connections above the new limit. Connections in use above the
// limit are closed when they are returned.
func (p *Pool) Resize(maxConnections int) {
	p.slots.Resize(maxConnections)
	for p.slots.OverLimit() {
		conn := p.removeOldestIdle()
		if conn == nil {
			return
		}
		p.drop(conn)
	}
}

// Close closes the idle connections. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*connection{}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, conn := range conns {
			p.drop(conn)
		}
	}
}

// drop closes a connection and releases its slot.
func (p *Pool) drop(conn *connection) {
	_ = conn.Close() // the slot is free even if the close fails
	p.slots.Release()
}
