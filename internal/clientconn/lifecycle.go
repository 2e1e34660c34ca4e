package clientconn

import "time"

// acceptQueueTime is the time without a new connection after which none is on its way to the listener. Lower, a client
// that connects during a handover would be reset; higher, the shutdown would take longer.
const acceptQueueTime = 50 * time.Millisecond

// phase is how far the table's shutdown has come.
type phase int

const (
	accepting phase = iota
	draining        // connections end as soon as they are idle, new ones after their first request
	closed          // no connection is accepted but those that the kernel has accepted
)

// Drain makes connections end as soon as they wait for no answer. New ones are still accepted: a client whose request
// crossed the end of its connection sends it once more on a new one.
func (t *Table) Drain() { t.enter(draining) }

// StopAccepting accepts no more connections but those that wait in the kernel's accept queue, which closing the
// listener would reset. New connections must be redirected to another process by then. A listener that has no
// deadlines is closed at once.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endListenerAfter(acceptQueueTime)
}

// Close accepts no more connections but those that the kernel has accepted, since requests on them count as taken. It
// waits until Accept has taken these, though not for long: others may hold all slots.
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

// endListenerAfter makes Accept end after a while, with what the kernel has accepted by then. The caller holds t.mu.
func (t *Table) endListenerAfter(delay time.Duration) {
	if t.listener == nil {
		return
	}
	ln, hasDeadline := t.listener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline {
		_ = t.listener.Close() // fails only if it is closed
		return
	}
	_ = ln.SetDeadline(time.Now().Add(delay)) // fails only if it is closed
}

// enter goes over to a phase and makes each connection check whether it should go on.
func (t *Table) enter(next phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase = next
	t.draining.Store(true)
	for conn := range t.entries {
		conn.Wake()
	}
}

// Draining reports whether connections end as soon as they are idle.
func (t *Table) Draining() bool { return t.draining.Load() }

// ShouldClose reports whether an idle connection should end. awaitingFirst says that it came while the table drained
// and has had no request yet.
func (t *Table) ShouldClose(awaitingFirst bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == closed || t.phase == draining && !awaitingFirst
}
