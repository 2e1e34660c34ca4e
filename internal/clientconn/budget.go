package clientconn

import "sync"

// Budget bounds the bytes that a front holds for its connections.
type Budget struct {
	mu   sync.Mutex
	free *sync.Cond
	held int
	most int
}

// NewBudget returns a budget of so many bytes.
func NewBudget(most int) *Budget {
	b := &Budget{most: most}
	b.free = sync.NewCond(&b.mu)
	return b
}

// TryTake takes n bytes if they fit. What is larger than the whole budget fits when nothing else is held.
func (b *Budget) TryTake(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(n)
}

func (b *Budget) take(n int) bool {
	fits := b.held == 0 || b.held+n <= b.most
	if fits {
		b.held += n
	}
	return fits
}

// Take waits until n bytes fit, and takes them unless given up is true by then, which is looked at after each Look, too.
func (b *Budget) Take(n int, givenUp func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !givenUp() {
		if b.take(n) {
			return true
		}
		b.free.Wait()
	}
	return false
}

// Look has all that wait look again whether they gave up.
func (b *Budget) Look() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free.Broadcast()
}

// Add takes n bytes that are held already.
func (b *Budget) Add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += n
}

// Resize changes the budget.
func (b *Budget) Resize(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.free.Broadcast()
}

// Give gives n bytes back.
func (b *Budget) Give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	b.free.Broadcast()
}
