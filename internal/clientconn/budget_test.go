package clientconn

import (
	"sync"
	"testing"
	"time"
)

// A request that may wait uses half of the budget at most, and waits in order until bytes are released or it is
// stopped. A request that may not wait uses all of it, and is told at once that there is no room.
func TestByteBudget(t *testing.T) {
	budget := NewByteBudget(20)
	large := budget.NewReservation()
	if !large.TryResize(25) {
		t.Error("a single request was excluded forever")
	}
	never := make(chan struct{})
	var readers sync.WaitGroup
	resized := make(chan int, 2)
	for i := range 2 {
		readers.Go(func() {
			if budget.NewReservation().AwaitResize(5, never) {
				resized <- i
			}
		})
	}
	stop := make(chan struct{}, 1)
	stop <- struct{}{}
	if budget.NewReservation().AwaitResize(1, stop) {
		t.Error("a stopped reader reserved bytes")
	}
	if budget.NewReservation().TryResize(1) {
		t.Error("TryResize exceeded the limit")
	}
	select {
	case <-resized:
		t.Error("AwaitResize exceeded the limit")
	case <-time.After(waitToBlock):
	}
	large.End()
	readers.Wait()
	if reserved := budget.Reserved(); reserved != 10 || budget.NewReservation().TryResizeQueued(1) {
		t.Errorf("%d bytes are reserved, want 10, the half of the budget for requests that may wait", reserved)
	}
	last := budget.NewReservation()
	if !last.TryResize(10) || budget.NewReservation().TryResize(1) {
		t.Errorf("%d bytes are reserved, want 20, all of the budget", budget.Reserved())
	}
	last.ForceResize(13)
	if reserved := budget.Reserved(); reserved != 23 {
		t.Errorf("%d bytes are reserved, want 23", reserved)
	}
	last.End()
	if last.ForceResize(1); last.TryResize(1) || budget.Reserved() != 10 {
		t.Errorf("%d bytes are reserved, want 10: an ended reservation changed", budget.Reserved())
	}
}
