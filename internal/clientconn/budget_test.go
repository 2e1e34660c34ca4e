package clientconn

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A full budget blocks a reader until bytes are released or the reader is canceled.
func TestByteBudget(t *testing.T) {
	budget := NewByteBudget(10)
	never := func() bool { return false }
	budget.Reserve(25, never) // any number fits if nothing is reserved
	var canceled atomic.Bool
	var readers sync.WaitGroup
	reserved := make(chan struct{}, 2)
	for range 2 {
		readers.Go(func() {
			budget.Reserve(5, never)
			reserved <- struct{}{}
		})
	}
	readers.Go(func() {
		if budget.Reserve(1, canceled.Load) {
			t.Error("a canceled reader reserved bytes")
		}
	})
	canceled.Store(true)
	budget.Recheck()
	if budget.TryReserve(1) {
		t.Error("TryReserve exceeded the limit")
	}
	select {
	case <-reserved:
		t.Error("Reserve exceeded the limit")
	case <-time.After(waitToBlock):
	}
	budget.Release(25)
	readers.Wait()
	budget.ForceReserve(3)
	if budget.reserved != 13 || budget.TryReserve(1) {
		t.Errorf("%d bytes are reserved, want 13", budget.reserved)
	}
}
