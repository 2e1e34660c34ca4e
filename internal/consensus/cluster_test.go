package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
)

var (
	firstSeed = flag.Int("seed", 0, "first seed of the simulated cluster")
	seedCount = flag.Int("seeds", 40, "number of seeds of the simulated cluster")
)

const simSpan = 20_000_000 // µs

// Voters and lease holders with drifting clocks exchange messages that are delayed, lost and reordered. Voters crash,
// stop, are partitioned, and lose their disks. No holder may act on a value that the latest version in use forbids. Two
// voters at the same version must have the same values. The histories of proposals and reads must be linearizable. Long
// after the last fault, there must be a leader, and no voter may be outside the cluster.
func TestClusterIsLinearizableUnderFaults(t *testing.T) {
	activated, replaced, operations := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		c := simulate(t, uint64(seed), noFault, simSpan)
		if c.breach != "" {
			t.Fatalf("seed %d: %s", seed, c.breach)
		}
		if !porcupine.CheckOperations(versionRegister, c.operations) {
			t.Fatalf("seed %d: the history is not linearizable: %v", seed, c.operations)
		}
		activated += c.activated
		replaced += c.replaced
		operations += len(c.operations)
	}
	t.Logf("%d changes, %d voters that lost their state, %d operations", activated, replaced, operations)
	if activated < 5**seedCount || replaced < *seedCount/4 {
		t.Errorf("%d changes, want at least %d; %d voters that lost their state, want at least %d",
			activated, 5**seedCount, replaced, *seedCount/4)
	}
}

// Each fault that is planted into the implementation must be found by a checker of the cluster test, or by raft itself.
// Otherwise a run without a finding would prove nothing.
func TestClusterFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		fault plantedFault
		name  string
	}{
		{reusedIdentity, "a lost identity votes again"},
		{staleRead, "an unconfirmed leader serves reads"},
		{uncommittedDone, "an uncommitted change is prepared"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(150) {
				if found := findBreach(t, seed, c.fault); found != "" {
					t.Log(strings.SplitN(found, "\n", 2)[0])
					return
				}
			}
			t.Error("no checker found the planted fault in 150 runs")
		})
	}
}

// findBreach returns the first violation that a checker or raft itself finds in a simulation, empty for none.
func findBreach(t *testing.T, seed uint64, fault plantedFault) (found string) {
	t.Helper()
	defer func() { // raft panics when its invariants are broken
		if r := recover(); r != nil {
			found = fmt.Sprint("raft: ", r)
		}
	}()
	c := simulate(t, seed, fault, simSpan)
	if c.breach == "" && !porcupine.CheckOperations(versionRegister, c.operations) {
		return "the history is not linearizable"
	}
	return c.breach
}

// Voters without disks restart one after another, as in a rolling upgrade, and each loses its state. The cluster must
// add each voter again, and must have a confirmed leader before the next voter restarts.
func TestVotersReplacedOneByOne(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, rand.New(rand.NewPCG(seed, 0xc1)), noFault)
		c.stepUntil(seed, "a leader", c.hasLeader)
		for _, v := range c.voters {
			v.storage = NewMemoryStorage()
			id := RandomID(c.random)
			c.startVoter(v, id)
			c.stepUntil(seed, "the restarted voter to be a member", func() bool {
				return v.State().Members[v.name] == id && !v.inJointConfig()
			})
			c.stepUntil(seed, "a leader after the membership change", c.hasLeader)
		}
	}
}

func (c *cluster) hasLeader() bool {
	for _, v := range c.voters {
		if v.IsLeader() && v.Lessor().LeadershipConfirmed(v.clock.read(c.Now)) {
			return true
		}
	}
	return false
}

// stepUntil runs the simulation until a condition holds. It fails the test if that takes longer than simSpan.
func (c *cluster) stepUntil(seed uint64, what string, holds func() bool) {
	c.t.Helper()
	for end := c.Now + simSpan; !holds(); {
		if c.Step(end) {
			continue
		}
		for _, v := range c.voters {
			c.t.Logf("%s id %x uninitialized %v: %+v, conf %v, applied %d, leads %v",
				v.name, v.ID(), v.Uninitialized(), v.raw.BasicStatus(), v.conf, v.applied, v.IsLeader())
		}
		c.t.Fatalf("seed %d: timed out waiting for %s", seed, what)
	}
}
