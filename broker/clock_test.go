package broker

import (
	"testing"
	"time"
)

func TestClockFromUnixMilli(t *testing.T) {
	c := NewClock()
	if c.FromUnixMilli(0) != 0 || c.FromUnixMilli(1) != 0 {
		t.Error("long ago is not 0")
	}
	// A node that started before this process is warming up all the same.
	at := c.FromUnixMilli(time.Now().Add(-5 * time.Second).UnixMilli())
	if at <= 0 || c.Now()-at < 4*Second || c.Now()-at > 6*Second {
		t.Errorf("5 s ago is %d, now is %d", at, c.Now())
	}
}
