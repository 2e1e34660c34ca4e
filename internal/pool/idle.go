package pool

import (
	"context"
	"slices"
	"time"
)

// noReuseWait is how long an attempt waits for its dial if there is no idle connection that becomes reusable later. It
// exceeds any connect timeout.
const noReuseWait = time.Hour

// recheckAtOnce is a closed channel. It makes an attempt look for an idle connection again immediately after its dial
// has started, since a connection may have been returned in the meantime.
var recheckAtOnce = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// takeIdle removes and returns the most recently used connection that has been idle for at least Options.ReuseDelay.
// During this delay, data or a close that follows an answer can arrive. Such data, for example a repeated answer, must
// not be read as the answer to the next request. If no connection has been idle for long enough, conn is nil, and the
// caller should call takeIdle again after wait or when changed is closed. waiting is true if the caller has a dial in
// progress.
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

// putIdle keeps a connection for later exchanges. It closes the connection instead if the pool is closed, has more
// connections than allowed, or has a dial that waits for a slot.
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

// notifyIdle wakes the attempts that wait for an idle connection to address. The caller holds p.mu.
func (p *Pool) notifyIdle(address string) {
	if changed := p.idleChanged[address]; changed != nil {
		close(changed)
		delete(p.idleChanged, address)
	}
}

// usable reports whether an idle connection may carry another exchange: it is not too old, is open, and has no unread
// bytes.
func (p *Pool) usable(conn *connection) bool {
	_, maxIdleAge := p.timeouts()
	return time.Since(conn.lastUsed) < maxIdleAge && IsQuiet(conn.Conn)
}

// acquireSlot acquires the slot for a new connection. If all slots are in use, it closes the connection that has been
// idle for longest, of all addresses. If no connection is idle, it waits for a slot until ctx ends.
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

// removeOldestIdle removes and returns the connection that has been idle for longest, or nil if no connection is idle.
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

// HasIdle reports whether the pool has an idle connection to address.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		p.drop(conn)
	}
}

// CloseExpired closes idle connections that are too old to be reused or that their node has closed. It also removes
// addresses without connections from the maps. Otherwise the maps would grow without bound, since replacement nodes
// have new addresses.
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
	for address := range p.idleChanged { // attempts that still wait request a new channel
		p.notifyIdle(address)
	}
	p.mu.Unlock()
	for _, conn := range expired {
		p.drop(conn)
	}
}
