// Package semaphore is a counting semaphore whose size can change, as for descriptors that several processes share.
package semaphore

import (
	"context"
	"sync"
)

// Semaphore is a number of places, of which so many are held.
type Semaphore struct {
	mu      sync.Mutex
	held    int
	most    int
	waiting int           // calls of Acquire that wait
	changed chan struct{} // closed when a place may have come free, nil if nobody has waited since
}

// New returns a semaphore of so many places.
func New(most int) *Semaphore { return &Semaphore{most: most} }

// TryAcquire takes a place if there is one.
func (s *Semaphore) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take()
}

func (s *Semaphore) take() bool {
	if s.held >= s.most {
		return false
	}
	s.held++
	return true
}

// Acquire waits for a place.
func (s *Semaphore) Acquire(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.take() {
			s.mu.Unlock()
			return nil
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.waiting++
		s.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Release gives a place back.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.tell()
}

// Resize changes the number of places. Those held beyond it stay so until they are given back.
func (s *Semaphore) Resize(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
	s.tell()
}

// Exceeded tells whether more places are held than there are.
func (s *Semaphore) Exceeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held > s.most
}

// Awaited tells whether somebody waits for a place.
func (s *Semaphore) Awaited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting > 0
}

// Held tells how many places are held.
func (s *Semaphore) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *Semaphore) tell() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
