package clientconn

import (
	"slices"
	"sync"
)

// queuedDivisor limits the requests that may wait for memory to half of the budget. The other half is left for requests
// that must be answered at once.
const queuedDivisor = 2

// ByteBudget bounds the bytes that a server buffers for the requests and answers of its connections. Its methods may be
// called from any goroutine.
type ByteBudget struct {
	mu       sync.Mutex // guards the fields below and all reservations
	limit    int
	reserved int
	waiters  []*budgetWaiter // calls of AwaitResize that wait, the oldest first
}

// budgetWaiter is a call of AwaitResize that waits.
type budgetWaiter struct {
	reservation *Reservation
	size        int
	resized     chan struct{} // closed when the reservation was resized
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int) *ByteBudget { return &ByteBudget{limit: limit} }

// Resize changes the limit of the budget to limit bytes. Reservations above the new limit stay.
func (b *ByteBudget) Resize(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.resizeWaiters()
}

// Reserved returns the number of bytes that all reservations hold.
func (b *ByteBudget) Reserved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// fits reports whether more bytes fit within a limit. Any number fits if nothing is reserved, so that a small budget
// does not exclude large requests forever. The caller holds b.mu.
func (b *ByteBudget) fits(more, limit int) bool { return b.reserved == 0 || b.reserved+more <= limit }

// resizeWaiters resizes the reservations of the oldest waiters, as long as they fit. The caller holds b.mu.
func (b *ByteBudget) resizeWaiters() {
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		if !first.reservation.fitsQueued(first.size) {
			return
		}
		first.reservation.set(first.size)
		close(first.resized)
		b.waiters = slices.Delete(b.waiters, 0, 1)
	}
}

// Reservation is the part of a budget that one request and its answer use. A new reservation holds 0 bytes. Its methods
// may be called from any goroutine.
type Reservation struct {
	budget *ByteBudget
	held   int
	ended  bool
}

// NewReservation returns a reservation of 0 bytes. The caller must call End.
func (b *ByteBudget) NewReservation() *Reservation { return &Reservation{budget: b} }

// TryResize changes a reservation to size bytes if they fit in the budget, and reports whether it did. A smaller size
// always fits. After End it returns false.
func (r *Reservation) TryResize(size int) bool {
	return r.tryResize(size, func() bool { return r.budget.fits(size-r.held, r.budget.limit) })
}

// TryResizeQueued changes a reservation to size bytes if they fit in the part of the budget for requests that may wait,
// and no call of AwaitResize waits. It reports whether it did. A smaller size always fits. After End it returns false.
func (r *Reservation) TryResizeQueued(size int) bool {
	return r.tryResize(size, func() bool { return len(r.budget.waiters) == 0 && r.fitsQueued(size) })
}

// TryGrowQueued is TryResizeQueued, but does not give way to calls of AwaitResize.
func (r *Reservation) TryGrowQueued(size int) bool {
	return r.tryResize(size, func() bool { return r.fitsQueued(size) })
}

// tryResize changes a reservation to size bytes if fits allows it, and reports whether it did. A smaller size always
// fits. fits is called with the budget's mu held.
func (r *Reservation) tryResize(size int, fits func() bool) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended || size > r.held && !fits() {
		return false
	}
	r.set(size)
	b.resizeWaiters()
	return true
}

// AwaitResize waits until size bytes fit in the part of the budget for requests that may wait, and changes the
// reservation to this size. Calls wait in order. AwaitResize returns false, and leaves the reservation unchanged, if it
// receives from stop first. The caller must not call End at the same time.
func (r *Reservation) AwaitResize(size int, stop <-chan struct{}) bool {
	waiter := &budgetWaiter{reservation: r, size: size, resized: make(chan struct{})}
	b := r.budget
	b.mu.Lock()
	b.waiters = append(b.waiters, waiter)
	b.resizeWaiters()
	b.mu.Unlock()
	select {
	case <-waiter.resized:
		return true
	case <-stop:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.Index(b.waiters, waiter)
	if index < 0 {
		return true // it was resized at the same time
	}
	b.waiters = slices.Delete(b.waiters, index, index+1)
	b.resizeWaiters()
	return false
}

// ForceResize changes a reservation to size bytes that are already buffered, even if they do not fit. After End it has
// no effect.
func (r *Reservation) ForceResize(size int) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.ended {
		r.set(size)
		b.resizeWaiters()
	}
}

// End returns all bytes of a reservation to the budget. A second call has no effect.
func (r *Reservation) End() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.ended = true
	r.set(0)
	b.resizeWaiters()
}

// fitsQueued reports whether the reservation may have a size within the part of the budget for requests that may wait.
// The caller holds the budget's mu.
func (r *Reservation) fitsQueued(size int) bool {
	b := r.budget
	return size <= r.held || b.fits(size-r.held, b.limit/queuedDivisor)
}

// set changes the size of the reservation. The caller holds the budget's mu.
func (r *Reservation) set(size int) {
	r.budget.reserved += size - r.held
	r.held = size
}
