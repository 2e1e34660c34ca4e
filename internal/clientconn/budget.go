package clientconn

import "sync"

// ByteBudget bounds the bytes that a server buffers for its connections.
type ByteBudget struct {
	mu       sync.Mutex // guards what follows
	changed  *sync.Cond // signalled when bytes are released, or on Recheck
	reserved int
	limit    int
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int) *ByteBudget {
	b := &ByteBudget{limit: limit}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// TryReserve reserves n bytes if they fit. What is larger than the whole budget fits when nothing else is reserved.
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

// Reserve waits until n bytes fit and reserves them, unless cancelled returns true before. It asks cancelled when bytes
// are released and on Recheck.
func (b *ByteBudget) Reserve(n int, cancelled func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !cancelled() {
		if b.reserve(n) {
			return true
		}
		b.changed.Wait()
	}
	return false
}

// Recheck makes all calls of Reserve that wait ask whether they are cancelled.
func (b *ByteBudget) Recheck() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed.Broadcast()
}

// ForceReserve reserves n bytes that are buffered already, whether they fit or not.
func (b *ByteBudget) ForceReserve(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved += n
}

// Resize changes the budget.
func (b *ByteBudget) Resize(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.changed.Broadcast()
}

// Release gives n bytes back.
func (b *ByteBudget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
	b.changed.Broadcast()
}
