package room

import (
	"context"
	"errors"
	"testing"
)

// A smaller room takes nobody until enough have left; a larger one wakes who waits.
func TestResize(t *testing.T) {
	r := New(2)
	if !r.TryTake() || !r.TryTake() || r.TryTake() {
		t.Fatal("want two places")
	}
	r.Resize(1)
	if !r.Over() {
		t.Error("two of one are taken, and it is not over")
	}
	r.Give()
	if r.TryTake() || r.Over() {
		t.Error("want no place after one of two was given back")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.Take(ended); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	got := make(chan error)
	go func() { got <- r.Take(context.Background()) }()
	r.Resize(2)
	if err := <-got; err != nil {
		t.Error(err)
	}
}
