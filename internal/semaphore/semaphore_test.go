package semaphore

import (
	"context"
	"errors"
	"runtime"
	"testing"
)

// A semaphore is made smaller while all slots are in use. It gives none out until enough are released; made larger
// again, it wakes a waiter.
func TestResize(t *testing.T) {
	s := New(2)
	for slot, want := range []bool{true, true, false} {
		if s.TryAcquire() != want {
			t.Fatalf("slot %d: want %v", slot, want)
		}
	}
	s.Resize(1)
	if !s.OverLimit() {
		t.Error("two of one slots are in use, and it is not over its limit")
	}
	s.Release()
	if s.TryAcquire() || s.OverLimit() {
		t.Error("want no free slot after one of two was released")
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Acquire(cancelled); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if s.HasWaiters() {
		t.Error("a waiter that has given up is counted")
	}
	acquired := make(chan error)
	go func() { acquired <- s.Acquire(context.Background()) }()
	for !s.HasWaiters() {
		runtime.Gosched()
	}
	s.Resize(2)
	if err := <-acquired; err != nil {
		t.Error(err)
	}
}
