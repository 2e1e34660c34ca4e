package clientconn

import "sync"

// ByteBudget bounds the bytes that a server buffers for its connections.
type ByteBudget struct {
	mu       sync.Mutex // guards the fields below
	changed  *sync.Cond // signaled by Release, Resize and Recheck
	reserved int
	limit    int
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int) *ByteBudget {
	b := &ByteBudget{limit: limit}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// TryReserve reserves n bytes if they fit, and reports whether it did. Any number fits if nothing is reserved.
func (b *ByteBudget) TryReserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(n)
}

func (b *ByteBudget) reserve(n int) bool {
	fits := b.reserved == 0 || b.reserved+n <= b.limit
	if fits {
		b.reserved += n
	}
	return fits
}

// Reserve waits until n bytes fit and reserves them, unless canceled returns true first. It reports whether the bytes
// were reserved. While it waits, Reserve calls canceled after each Release, Resize and Recheck.
func (b *ByteBudget) Reserve(n int, canceled func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !canceled() {
		if b.reserve(n) {
			return true
		}
		b.changed.Wait()
	}
	return false
}

// Recheck makes all waiting calls of Reserve check whether they are canceled.
func (b *ByteBudget) Recheck() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed.Broadcast()
}

// ForceReserve reserves n bytes that are already buffered, even if they do not fit.
func (b *ByteBudget) ForceReserve(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved += n
}

// Resize changes the limit of the budget.
func (b *ByteBudget) Resize(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.changed.Broadcast()
}

// Release returns n reserved bytes to the budget.
func (b *ByteBudget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
	b.changed.Broadcast()
}
