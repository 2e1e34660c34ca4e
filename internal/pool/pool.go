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
	// ConnectTimeout bounds how long a connection may take to come up, its handshake included.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a node closes a connection that stands idle.
	IdleTimeout time.Duration
	// ReuseDelay is how long a connection must have been idle before it is used again; 0 for not at all.
	ReuseDelay time.Duration
	// MaxConnections bounds the connections to all nodes together, idle ones included.
	MaxConnections int
	// LocalIP is the address from which connections are made; nil leaves the choice to the system.
	LocalIP net.IP
	// Handshake opens a session on a new connection; nil for a protocol that has none.
	Handshake func(net.Conn, *bufio.Reader) error
	// Logger receives a line for each panic of an exchange.
	Logger *slog.Logger
}

// reusableIdleFraction is the part of Options.IdleTimeout after which an idle connection is not used again. Nearer to
// 1, requests would meet the node's own close and end as resets, which for a write is final; lower, more requests
// would pay for a new connection.
const reusableIdleFraction = 0.7

// Pool keeps connections to nodes by address. Its methods may be called from any goroutine.
type Pool struct {
	options Options
	slots   *semaphore.Semaphore // one slot for each connection: dialling, in use or idle

	mu             sync.Mutex // guards what follows
	connectTimeout time.Duration
	maxIdleAge     time.Duration            // a connection that has been idle for longer is not used again
	idle           map[string][]*connection // by address, the most recently used last
	idleChanged    map[string]chan struct{} // by address, closed when a connection becomes idle; nil if none waits
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

// SetTimeouts changes Options.ConnectTimeout and Options.IdleTimeout for dials and reuses from now on.
func (p *Pool) SetTimeouts(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = connect
	p.maxIdleAge = time.Duration(reusableIdleFraction * float64(idle))
}

// timeouts returns the times that SetTimeouts has set.
func (p *Pool) timeouts() (connect, maxIdleAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTimeout, p.maxIdleAge
}

// Resize changes Options.MaxConnections. Idle connections beyond it are closed; those in use are closed when they are
// given back.
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

// Close closes the idle connections and has those in use closed when they are given back.
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

// drop closes a connection and frees its slot.
func (p *Pool) drop(conn *connection) {
	_ = conn.Close() // its slot is free whatever the close says
	p.slots.Release()
}
