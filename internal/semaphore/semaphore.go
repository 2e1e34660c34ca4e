// Package semaphore is a counting semaphore whose size can change, as for descriptors that several processes share.
//
// A Semaphore guards itself and starts no goroutine. Its size is a number of slots. A smaller size takes no slot away:
// what is held beyond it is held until it is released.
package semaphore

import (
	"context"
	"sync"
)

// Semaphore is a number of slots, some of which are in use.
type Semaphore struct {
	mu      sync.Mutex // guards what follows
	inUse   int
	size    int
	waiters int           // calls of Acquire that wait
	changed chan struct{} // closed when a slot may have become free, nil if no call has waited since
}

// New returns a semaphore of size slots.
func New(size int) *Semaphore { return &Semaphore{size: size} }

// TryAcquire takes a slot if one is free.
func (s *Semaphore) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquire()
}

// acquire takes a slot if one is free; the caller holds s.mu.
func (s *Semaphore) acquire() bool {
	if s.inUse >= s.size {
		return false
	}
	s.inUse++
	return true
}

// Acquire waits for a slot and takes it. It returns the error of ctx if that ends first.
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

// acquireOrWait takes a slot, or counts a waiter and returns the channel that it has to wait for.
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

// Release frees a slot.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
	s.wakeWaiters()
}

// Resize changes the number of slots. Those in use beyond it stay so until they are released.
func (s *Semaphore) Resize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
	s.wakeWaiters()
}

// OverLimit reports whether more slots are in use than there are.
func (s *Semaphore) OverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse > s.size
}

// HasWaiters reports whether a call of Acquire waits for a slot.
func (s *Semaphore) HasWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiters > 0
}

// InUse is the number of slots in use.
func (s *Semaphore) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}

// wakeWaiters has all waiters try again; the caller holds s.mu.
func (s *Semaphore) wakeWaiters() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
