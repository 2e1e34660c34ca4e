package broker

import (
	"testing"
	"time"
)

func TestClockFromUnixMilli(t *testing.T) {
	c := NewClock()
	if c.FromUnixMilli(0) != 0 || c.FromUnixMilli(1) != 0 {
		t.Errorf("0 ms is %d and 1 ms is %d, want 0 for both", c.FromUnixMilli(0), c.FromUnixMilli(1))
	}
	// The start of a node that started before this process has a time above 0, so that the node is still warming up.
	at := c.FromUnixMilli(time.Now().Add(-5 * time.Second).UnixMilli())
	if at <= 0 || c.Now()-at < 4*Second || c.Now()-at > 6*Second {
		t.Errorf("5 s ago is %d and now is %d, want a difference of 4 to 6 s", at, c.Now())
	}
}
