package semaphore

import (
	"context"
	"errors"
	"runtime"
	"testing"
)

// The size is reduced while all slots are in use. No slot may be acquired until enough slots are released. When the
// size is increased again, a waiting call must acquire a slot.
func TestResize(t *testing.T) {
	s := New(2)
	for slot, want := range []bool{true, true, false} {
		if s.TryAcquire() != want {
			t.Fatalf("TryAcquire for slot %d: got %v, want %v", slot, !want, want)
		}
	}
	s.Resize(1)
	if !s.OverLimit() {
		t.Error("two slots are in use with size 1, but OverLimit is false")
	}
	s.Release()
	if s.TryAcquire() || s.OverLimit() {
		t.Error("with one slot in use and size 1, a slot was acquired or OverLimit is true")
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Acquire(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("Acquire with a canceled context: %v, want %v", err, context.Canceled)
	}
	if s.HasWaiters() {
		t.Error("a canceled call of Acquire still counts as a waiter")
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
