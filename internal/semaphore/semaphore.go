// Package semaphore provides a counting semaphore whose size can change, for example for file descriptors that several
// processes share.
//
// A Semaphore has its own lock and starts no goroutines. Its size is the number of slots. If the size is reduced,
// acquired slots above the new size stay acquired until they are released.
package semaphore

import (
	"context"
	"sync"
)

// Semaphore is a set of slots that callers acquire and release. Its methods may be called from any goroutine.
type Semaphore struct {
	mu      sync.Mutex // guards the fields below
	inUse   int
	size    int
	waiters int           // number of waiting calls of Acquire
	changed chan struct{} // closed when a slot may have become free; nil if no call has waited since then
}

// New returns a semaphore with size slots.
func New(size int) *Semaphore { return &Semaphore{size: size} }

// TryAcquire acquires a slot if one is free, and reports whether it did.
func (s *Semaphore) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquire()
}

// acquire acquires a slot if one is free, and reports whether it did. The caller holds s.mu.
func (s *Semaphore) acquire() bool {
	if s.inUse >= s.size {
		return false
	}
	s.inUse++
	return true
}

// Acquire waits for a free slot and acquires it. If ctx ends first, Acquire returns the error of ctx.
func (s *Semaphore) Acquire(ctx context.Context) error {
	for {
		changed, acquired := s.acquireOrWait()
		if acquired {
			return nil
		}
		var err error
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		s.waiters--
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// acquireOrWait acquires a slot. If no slot is free, it increments waiters and returns a channel that is closed when a
// slot may have become free.
func (s *Semaphore) acquireOrWait() (changed <-chan struct{}, acquired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acquire() {
		return nil, true
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	s.waiters++
	return s.changed, false
}

// Release releases a slot.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
	s.wakeWaiters()
}

// Resize changes the number of slots. Acquired slots above the new size stay acquired until they are released.
func (s *Semaphore) Resize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
	s.wakeWaiters()
}

// OverLimit reports whether more slots are in use than the size allows.
func (s *Semaphore) OverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse > s.size
}

// HasWaiters reports whether a call of Acquire is waiting for a slot.
func (s *Semaphore) HasWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiters > 0
}

// InUse returns the number of slots in use.
func (s *Semaphore) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}

// wakeWaiters makes all waiting calls of Acquire try again. The caller holds s.mu.
func (s *Semaphore) wakeWaiters() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
