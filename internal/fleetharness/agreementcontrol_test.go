package fleetharness

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"testing"

	"junctionwharf/internal/agreement"
)

// The voters are control processes without clients, and brokers have no children. The leader is killed during a change.
// The change becomes active at all brokers or at none, the next change becomes active at all, and requests are served
// throughout.
func TestDedicatedLeaderKilledDuringChange(t *testing.T) {
	fleet, ctx, leader := startAgreeing(t, Agreement{DedicatedVoters: true})
	for b := voterCount; b < len(fleet.brokers); b++ {
		s, err := fleet.agreementStatus(b)
		if err != nil || s.Role != roleFollower || len(s.Children) > 0 || len(s.Path) != 1 {
			t.Errorf("broker-%d: %+v, %v", b, s, err)
		}
	}
	proposed := make(chan struct{})
	go func() {
		defer close(proposed)
		fleet.propose(t, 4, 1, limitKey, "2000")
	}()
	pendingOrActive := func(s agreement.Status) bool { return s.PendingVersion == 2 || s.Version >= 2 }
	if _, err := fleet.AwaitStatus(ctx, 4, pendingOrActive); err != nil {
		t.Fatal(err)
	}
	fleet.terminate(fleet.brokers[leader], syscall.SIGKILL)
	fleet.expectServed(t, 10, false)
	<-proposed
	remaining := slices.DeleteFunc([]int{0, 1, 2}, func(b int) bool { return b == leader })
	settled := func(s agreement.Status) bool { return !s.Restricted && s.PendingVersion == 0 }
	if _, err := fleet.AwaitStatus(ctx, remaining[0], settled); err != nil {
		t.Fatal(err)
	}
	version := proposeUntilAccepted(t, ctx, fleet, 5, "3000")
	fleet.awaitAll(t, ctx, versionAtLeast(version), leader)
	fleet.expectServed(t, 10, false)
}

// proposeUntilAccepted proposes a limit at a broker until a proposal is accepted, and returns the accepted version.
func proposeUntilAccepted(t *testing.T, ctx context.Context, fleet *Fleet, broker int, limit string) uint64 {
	t.Helper()
	for ctx.Err() == nil {
		s, err := fleet.agreementStatus(broker)
		if err != nil {
			t.Fatal(err)
		}
		if version, _ := fleet.propose(t, broker, s.Version, limitKey, limit); version > 0 {
			return version
		}
	}
	t.Fatal("no proposal was accepted in time")
	return 0
}

// All control processes are killed. The brokers continue to serve and report that they are restricted. After the
// control processes restart without stored state, the brokers act on the last active version again, and a new change
// becomes active at all brokers.
func TestAllDedicatedVotersKilled(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{DedicatedVoters: true})
	if version, kind := fleet.propose(t, 3, 1, limitKey, "2000"); version != 2 {
		t.Fatalf("first proposal: version %d, error kind %q", version, kind)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	voters := fleet.brokers[:voterCount]
	for _, b := range voters {
		fleet.terminate(b, syscall.SIGKILL)
	}
	fleet.awaitAll(t, ctx, restricted, 0, 1, 2)
	fleet.expectServed(t, 20, false)
	if version, _ := fleet.propose(t, 3, 2, limitKey, "3000"); version > 0 {
		t.Error("a proposal was accepted without voters")
	}
	for _, b := range voters {
		if err := fleet.startBroker(b, fleet.discovery.currentList()); err != nil {
			t.Fatal(err)
		}
	}
	for _, b := range voters {
		if err := fleet.awaitReady(ctx, b); err != nil {
			t.Fatal(err)
		}
		b.setDown(false)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	if text, err := fleet.AgreementCall(4, "export"); err != nil || !strings.Contains(text, "2000") {
		t.Errorf("the export lacks the limit 2000: %s, %v", text, err)
	}
	s, err := fleet.agreementStatus(4)
	if err != nil {
		t.Fatal(err)
	}
	version, kind := fleet.propose(t, 4, s.Version, limitKey, "3000")
	if version <= s.Version {
		t.Fatalf("proposal after the restart: version %d, error kind %q", version, kind)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(version))
	fleet.expectServed(t, 10, false)
}
