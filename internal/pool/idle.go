package pool

import (
	"context"
	"slices"
	"time"
)

// noReuseWait is how long an attempt waits for its dial when no idle connection will become usable by itself: longer
// than any connect timeout.
const noReuseWait = time.Hour

// recheckAtOnce makes an attempt look for an idle connection once more as soon as its dial has begun: one may have been
// given back in between.
var recheckAtOnce = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// takeIdle removes and returns the most recently used connection that has been idle for Options.ReuseDelay: what
// follows an answer, be it noise, a repeated answer or the end of the connection, must not become the next request's
// answer. If there is none it returns when to look again: after wait, or when changed is closed. waiting says that
// the caller has a dial under way.
func (p *Pool) takeIdle(address string, waiting bool) (conn *connection, wait time.Duration, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	now := time.Now()
	wait = noReuseWait
	for i := len(conns) - 1; i >= 0; i-- {
		left := p.options.ReuseDelay - now.Sub(conns[i].lastUsed)
		if left <= 0 {
			conn = conns[i]
			p.idle[address] = slices.Delete(conns, i, i+1)
			return conn, 0, nil
		}
		wait = min(wait, left)
	}
	if !waiting {
		return nil, wait, recheckAtOnce
	}
	if p.idleChanged[address] == nil {
		p.idleChanged[address] = make(chan struct{})
	}
	return nil, wait, p.idleChanged[address]
}

// putIdle keeps a connection for later exchanges, unless its slot is wanted.
func (p *Pool) putIdle(address string, conn *connection) {
	conn.lastUsed = time.Now()
	p.mu.Lock()
	unwanted := p.closed || p.slots.OverLimit() || p.slots.HasWaiters()
	if !unwanted {
		p.idle[address] = append(p.idle[address], conn)
		p.notifyIdle(address)
	}
	p.mu.Unlock()
	if unwanted {
		p.drop(conn)
	}
}

// notifyIdle wakes the attempts that wait for a connection to an address; the caller holds p.mu.
func (p *Pool) notifyIdle(address string) {
	if changed := p.idleChanged[address]; changed != nil {
		close(changed)
		delete(p.idleChanged, address)
	}
}

// usable reports whether a connection that was idle may carry another exchange.
func (p *Pool) usable(conn *connection) bool {
	_, maxIdleAge := p.timeouts()
	return time.Since(conn.lastUsed) < maxIdleAge && IsQuiet(conn.Conn)
}

// acquireSlot waits for the slot of a new connection. If all are taken the oldest idle connection to any address gives
// its slot up.
func (p *Pool) acquireSlot(ctx context.Context) error {
	for {
		if p.slots.TryAcquire() {
			return nil
		}
		conn := p.removeOldestIdle()
		if conn == nil {
			return p.slots.Acquire(ctx)
		}
		p.drop(conn)
	}
}

// removeOldestIdle removes and returns the connection that has been idle for longest, nil if none is idle.
func (p *Pool) removeOldestIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *connection
	var address string
	for candidate, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].lastUsed.Before(oldest.lastUsed)) {
			oldest = conns[0]
			address = candidate
		}
	}
	if oldest != nil {
		p.idle[address] = p.idle[address][1:]
	}
	return oldest
}

// HasIdle reports whether an idle connection to an address is kept.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		p.drop(conn)
	}
}

// CloseExpired closes idle connections that are too old to be used again or that their node has closed. It forgets
// addresses without connections: nodes are replaced by new ones at new addresses, and the maps would grow for ever.
func (p *Pool) CloseExpired(now time.Time) {
	_, maxIdleAge := p.timeouts()
	var expired []*connection
	p.mu.Lock()
	for address, conns := range p.idle {
		conns = slices.DeleteFunc(conns, func(conn *connection) bool {
			remove := now.Sub(conn.lastUsed) >= maxIdleAge || !IsQuiet(conn.Conn)
			if remove {
				expired = append(expired, conn)
			}
			return remove
		})
		p.idle[address] = conns
		if len(conns) == 0 {
			delete(p.idle, address)
		}
	}
	for address := range p.idleChanged { // attempts that still wait ask for a new channel
		p.notifyIdle(address)
	}
	p.mu.Unlock()
	for _, conn := range expired {
		p.drop(conn)
	}
}
