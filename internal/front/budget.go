package front

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

// Take waits until n bytes fit. What is larger than the whole budget fits when nothing else is held.
func (b *Budget) Take(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.held > 0 && b.held+n > b.most {
		b.free.Wait()
	}
	b.held += n
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
