package semaphore

import (
	"context"
	"errors"
	"runtime"
	"testing"
)

// A smaller semaphore takes nobody until enough have left; a larger one wakes who waits.
func TestResize(t *testing.T) {
	s := New(2)
	if !s.TryAcquire() || !s.TryAcquire() || s.TryAcquire() {
		t.Fatal("want two places")
	}
	s.Resize(1)
	if !s.Exceeded() {
		t.Error("two of one are held, and it is not over")
	}
	s.Release()
	if s.TryAcquire() || s.Exceeded() {
		t.Error("want no place after one of two was given back")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Acquire(ended); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if s.Awaited() {
		t.Error("awaited by one that gave up")
	}
	got := make(chan error)
	go func() { got <- s.Acquire(context.Background()) }()
	for !s.Awaited() {
		runtime.Gosched()
	}
	s.Resize(2)
	if err := <-got; err != nil {
		t.Error(err)
	}
}
