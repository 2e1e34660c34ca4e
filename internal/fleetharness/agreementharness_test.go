package fleetharness

import (
	"context"
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"junctionwharf/internal/agreement"
)

// conflictBound is the bound that these tests configure: how long a broker may act on a version after another broker
// has acted on a contradicting version.
const conflictBound = time.Second

// The key that the tests change, error kinds in answers to proposals, and the number of voters.
const (
	limitKey     = "plan.basico.limit"
	kindExpected = "expected" // the active version differs from the expected one
	kindUnknown  = "unknown"  // the broker exited before it answered
	kindNoLeader = "none"
	kindInvalid  = "invalid"
	voterCount   = 3
)

// startAgreeing starts 3 voters and 4 followers and waits until all act on the first version. When the test ends, it
// checks that no broker acted on a contradicting version for longer than conflictBound.
func startAgreeing(t *testing.T, a Agreement) (*Fleet, context.Context, int) {
	t.Helper()
	a.Voters = voterCount
	a.LimitFloor = 1000
	a.BoundMS = float64(conflictBound.Milliseconds())
	fleet, ctx := startFleet(t, Scenario{
		Brokers:   7,
		Agreement: a,
		Node:      NodeSpec{Count: 3},
		Plans: `[{"name":"basico","nominal":1000,"floorRate":500,"ceilingRate":5000,` +
			`"capDepth":5000,"parts":1,"price":1}]`,
	})
	leader, err := fleet.Leader(ctx)
	if err != nil {
		t.Fatal(err)
	}
	fleet.awaitAll(t, ctx, func(s agreement.Status) bool {
		return s.Version >= 1 && !s.Restricted && s.PendingVersion == 0
	})
	t.Cleanup(func() {
		c := fleet.LongestConflict()
		if c.LongestUS > conflictBound.Microseconds() || c.Versions == 0 || c.Spans < 2*len(fleet.brokers) {
			t.Errorf("longest conflict above %v, or too few versions or views: %+v", conflictBound, c)
		}
		t.Logf("%d versions, longest conflict %d us", c.Versions, c.LongestUS)
	})
	return fleet, ctx, leader
}

// propose proposes a change of one key, and returns the resulting version or the kind of the error.
func (f *Fleet) propose(t *testing.T, broker int, expected uint64, key, value string) (version uint64, kind string) {
	t.Helper()
	text, err := f.proposeChange(broker, expected, "operator", "test", key, value)
	if err != nil {
		return 0, kindUnknown
	}
	var answer struct {
		Version uint64
		Kind    string
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		t.Fatalf("parse answer %q: %v", text, err)
	}
	return answer.Version, answer.Kind
}

// expectProposed proposes a change and expects it to be accepted with the version that follows the expected one.
func (f *Fleet) expectProposed(t *testing.T, broker int, expected uint64, key, value string) {
	t.Helper()
	version, kind := f.propose(t, broker, expected, key, value)
	if version != expected+1 || kind != "" {
		t.Fatalf("proposal that expects version %d: version %d, error kind %q", expected, version, kind)
	}
}

// stop stops a broker's process with SIGSTOP until resume is called.
func (f *Fleet) stop(t *testing.T, broker int) {
	t.Helper()
	if err := f.Signal(broker, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.brokers[broker].setDown(true)
}

func (f *Fleet) resume(t *testing.T, broker int) {
	t.Helper()
	if err := f.Signal(broker, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	f.brokers[broker].setDown(false)
}

// restricted reports whether a broker has no lease.
func restricted(s agreement.Status) bool { return s.Restricted }
