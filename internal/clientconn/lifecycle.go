package clientconn

import "time"

// acceptQueueTime is how long the listener accepts new connections after StopAccepting, and how long Close waits for
// Accept. With a smaller value, a client that connects during a handover would be reset. With a larger value, the
// shutdown would take longer.
const acceptQueueTime = 50 * time.Millisecond

// phase is the state of the table's shutdown.
type phase int

const (
	accepting phase = iota
	draining        // connections close as soon as they are idle, new ones after their first command
	closed          // only connections that the kernel has already accepted are accepted
)

// Drain makes connections close as soon as they are idle. New connections are still accepted: a client
// whose request was in transit when its connection closed sends the request again on a new connection.
func (t *Table) Drain() { t.enter(draining) }

// StopAccepting ends the listener after acceptQueueTime, once Accept has accepted the connections in the kernel's
// accept queue. Closing the listener first would reset these connections. The caller must have redirected new
// connections to another process. A listener without deadlines is closed immediately.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endListenerAfter(acceptQueueTime)
}

// Close stops accepting connections, except those that the kernel has already accepted, since their clients may have
// sent requests. It waits until Accept has accepted these connections, but at most for acceptQueueTime, since other
// connections may occupy all slots.
func (t *Table) Close() {
	t.enter(closed)
	t.mu.Lock()
	t.endListenerAfter(0)
	listens := t.listener != nil
	t.mu.Unlock()
	if !listens {
		return
	}
	select {
	case <-t.listenerEnded:
	case <-time.After(acceptQueueTime):
	}
}

// endListenerAfter sets the listener's deadline to delay from now. After the deadline, Accept accepts the connections
// in the accept queue and then ends the listener. The caller holds t.mu.
func (t *Table) endListenerAfter(delay time.Duration) {
	if t.listener == nil {
		return
	}
	ln, hasDeadline := t.listener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline {
		_ = t.listener.Close() // fails only if the listener is already closed
		return
	}
	_ = ln.SetDeadline(time.Now().Add(delay)) // fails only if the listener is already closed
}

// enter changes the phase and wakes each connection, so that it checks whether it should close.
func (t *Table) enter(next phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase = next
	t.draining.Store(true)
	for conn := range t.entries {
		conn.Wake()
	}
}

// Draining reports whether Drain or Close has been called, so that connections close as soon as they are idle.
func (t *Table) Draining() bool { return t.draining.Load() }

// ShouldClose reports whether an idle connection should close. awaitingFirst is true if the connection was accepted
// after the start of the drain and has not sent a command yet.
func (t *Table) ShouldClose(awaitingFirst bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == closed || t.phase == draining && !awaitingFirst
}
