package daemon

import (
	"context"
	"errors"
	"strings"
	"testing"
)

// The second of three subsystems cannot start. The third is not started. All three are stopped in reverse order, since
// their constructors have been called.
func TestFailedStartStopsAllSubsystems(t *testing.T) {
	var calls []string
	errPort := errors.New("port in use")
	part := func(name string, err error) subsystem {
		return subsystem{
			start: func(context.Context) error {
				calls = append(calls, "start "+name)
				return err
			},
			stop: func() { calls = append(calls, "stop "+name) },
		}
	}
	list := subsystems{part("a", nil), {}, part("b", errPort), part("c", nil)}
	if err := list.start(context.Background()); !errors.Is(err, errPort) {
		t.Error(err)
	}
	list.stop()
	if got := strings.Join(calls, ", "); got != "start a, start b, stop c, stop b, stop a" {
		t.Error("want a and b started, and c, b and a stopped; calls:", got)
	}
}
