package fleetharness

import (
	"fmt"
	"testing"

	"junctionwharf/internal/agreement"
)

// The leader is killed while a change is pending because a follower is stopped. The change becomes active exactly once.
func TestLeaderKilledDuringChange(t *testing.T) {
	fleet, ctx, leader := startAgreeing(t, Agreement{})
	fleet.stop(t, 6)
	proposed := make(chan string, 1)
	go func() {
		_, kind := fleet.propose(t, 3, 1, repeatKey, "no")
		proposed <- kind
	}()
	pendingOrActive := func(s agreement.Status) bool { return s.PendingVersion == 2 || s.Version == 2 }
	if _, err := fleet.AwaitStatus(ctx, 4, pendingOrActive); err != nil {
		t.Fatal(err)
	}
	if err := fleet.RestartBrokers(ctx, leader); err != nil {
		t.Fatal(err)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(2), 6)
	fleet.resume(t, 6)
	fleet.awaitAll(t, ctx, versionAtLeast(2))
	if kind := <-proposed; kind != "" && kind != kindUnknown {
		t.Errorf("the proposer received error kind %q", kind)
	}
	fleet.expectServed(t, 5, false)
}

// The leader is stopped and another voter becomes leader. After the old leader resumes, it neither grants leases nor
// acts on its old version.
func TestLeaderStoppedAndResumed(t *testing.T) {
	fleet, ctx, leader := startAgreeing(t, Agreement{})
	fleet.stop(t, leader)
	via := (leader + 1) % voterCount
	version, kind := fleet.propose(t, via, 1, repeatKey, "no")
	for kind == kindNoLeader || kind == kindUnknown {
		if ctx.Err() != nil {
			t.Fatal("no voter became leader while the leader was stopped")
		}
		version, kind = fleet.propose(t, via, 1, repeatKey, "no")
	}
	if version != 2 && kind != kindExpected { // an earlier proposal may have been committed without an answer
		t.Fatalf("proposal at another voter: version %d, error kind %q", version, kind)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(2), leader)
	fleet.resume(t, leader)
	fleet.awaitAll(t, ctx, versionAtLeast(2))
}

// A follower is partitioned during a change. It becomes restricted in time, continues to serve, and catches up after
// the partition. Three partitions are active at first. The last two to end block only one direction each.
func TestFollowerCutOff(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	healBoth := fleet.Partition(true, true, 5)
	healSending := fleet.Partition(true, false, 5)
	healReceiving := fleet.Partition(false, true, 5)
	fleet.expectProposed(t, 3, 1, limitKey, "1500")
	status, err := fleet.AwaitStatus(ctx, 5, restricted)
	if err != nil || status.Version != 1 {
		t.Fatalf("status of the partitioned follower: %+v, %v", status, err)
	}
	fleet.expectServed(t, 10, false)
	fleet.expectServed(t, 5, true)
	healBoth()
	healSending()
	healReceiving()
	fleet.awaitAll(t, ctx, versionAtLeast(2))
}

// Two of three voters are partitioned. No change is accepted, and all brokers serve requests while restricted. Changes
// are accepted again after the partitions end.
func TestMajorityLost(t *testing.T) {
	fleet, ctx, leader := startAgreeing(t, Agreement{})
	healFirst := fleet.Partition(true, true, (leader+1)%voterCount)
	healSecond := fleet.Partition(true, true, (leader+2)%voterCount)
	fleet.awaitAll(t, ctx, restricted)
	fleet.expectServed(t, 10, false)
	fleet.expectServed(t, 10, true)
	healFirst()
	healSecond()
	fleet.awaitAll(t, ctx, versionAtLeast(1))
	version, kind := uint64(0), ""
	for version != 2 {
		if ctx.Err() != nil {
			t.Fatalf("no proposal was accepted in time: error kind %q", kind)
		}
		version, kind = fleet.propose(t, 4, 1, limitKey, "1500")
	}
	fleet.awaitAll(t, ctx, versionAtLeast(2))
}

// All brokers are restarted at once. With disks, the document is unchanged. Without disks, the voters bootstrap again
// from their settings. If a follower was not restarted, the voters recover the document from the follower.
func TestAllRestarted(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6}
	for name, c := range map[string]struct {
		persistent bool
		restarted  []int
		want       uint64 // version afterwards
	}{
		"with disks":         {true, all, 3},
		"without disks":      {false, all, 1},
		"two followers stay": {false, all[:5], 3},
	} {
		t.Run(name, func(t *testing.T) { testAllRestarted(t, c.persistent, c.restarted, c.want) })
	}
}

func testAllRestarted(t *testing.T, persistent bool, restarted []int, want uint64) {
	fleet, ctx, _ := startAgreeing(t, Agreement{Persistent: persistent})
	before, err := fleet.AwaitStatus(ctx, 0, versionAtLeast(1))
	if err != nil {
		t.Fatal(err)
	}
	for version := uint64(1); version < 3; version++ {
		fleet.expectProposed(t, 6, version, limitKey, fmt.Sprint(1000+version))
	}
	fleet.awaitAll(t, ctx, versionAtLeast(3))
	if err := fleet.RestartBrokers(ctx, restarted...); err != nil {
		t.Fatal(err)
	}
	fleet.awaitAll(t, ctx, func(s agreement.Status) bool {
		return !s.Restricted && s.Version == want && (s.Epoch == before.Epoch) == persistent
	})
	fleet.expectServed(t, 5, false)
	if version, kind := fleet.propose(t, 6, want, limitKey, "1500"); version != want+1 {
		t.Errorf("proposal after the restart: version %d, error kind %q", version, kind)
	}
	fleet.awaitAll(t, ctx, versionAtLeast(want+1))
}

// A voter without a disk is restarted and joins as a new member. Then the two other voters can be lost one after the
// other.
func TestVotersReplacedOneByOne(t *testing.T) {
	fleet, ctx, _ := startAgreeing(t, Agreement{})
	for voter := range voterCount {
		version := uint64(voter) + 1
		if err := fleet.RestartBrokers(ctx, voter); err != nil {
			t.Fatal(err)
		}
		_, err := fleet.AwaitStatus(ctx, voter, func(s agreement.Status) bool {
			return s.Leader != "" && s.Version == version && !s.Restricted
		})
		if err != nil {
			t.Fatal(err)
		}
		made, kind := uint64(0), ""
		for made != version+1 && kind != kindExpected {
			if ctx.Err() != nil {
				t.Fatalf("no proposal was accepted in time: error kind %q", kind)
			}
			made, kind = fleet.propose(t, 5, version, limitKey, fmt.Sprint(1000+voter))
		}
		fleet.awaitAll(t, ctx, versionAtLeast(version+1))
	}
	if n := len(fleet.LogLines(agreement.LogBootstrapped)); n != voterCount {
		t.Errorf("%d voters bootstrapped, want only the %d at the start", n, voterCount)
	}
}
