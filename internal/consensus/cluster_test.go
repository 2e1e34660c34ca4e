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
	firstSeed = flag.Int("seed", 0, "the first seed of the simulated cluster")
	seedCount = flag.Int("seeds", 40, "seeds of the simulated cluster")
)

const simSpan = 20_000_000 // µs

// Real voters, lease holders with drifting clocks, and everything between them late, lost and out of order; voters
// crash, stop, are partitioned, and lose their disks. Nobody may act on what the latest version forbids, voters must
// hold the same values, and the histories of proposals and reads must be linearizable.
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
	t.Logf("%d changes, %d voters replaced, %d calls", activated, replaced, operations)
	if activated < 5**seedCount || replaced < *seedCount/4 {
		t.Errorf("too little happened: %d changes, %d voters lost their state", activated, replaced)
	}
}

// A checker that finds nothing proves nothing: each fault that is planted into the implementation must be found.
func TestClusterFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		fault plantedFault
		name  string
	}{
		{reusedIdentity, "a lost identity votes again"},
		{staleRead, "a leader reads what it may not know"},
		{uncommittedDone, "what is not committed is prepared"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(150) {
				if found := findBreach(t, seed, c.fault); found != "" {
					t.Log(strings.SplitN(found, "\n", 2)[0])
					return
				}
			}
			t.Error("not found")
		})
	}
}

// findBreach returns what a checker, or raft itself, finds wrong in a simulation.
func findBreach(t *testing.T, seed uint64, fault plantedFault) (found string) {
	t.Helper()
	defer func() { // raft panics on what cannot be
		if r := recover(); r != nil {
			found = fmt.Sprint("raft: ", r)
		}
	}()
	c := simulate(t, seed, fault, simSpan)
	if c.breach == "" && !porcupine.CheckOperations(versionRegister, c.operations) {
		return "not linearizable"
	}
	return c.breach
}

// Voters without disks restart one after another, as in a rolling upgrade, and each loses its state. Each must be taken
// in again, whoever leads, and the cluster must lead again before the next one restarts.
func TestVotersReplacedOneByOne(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, rand.New(rand.NewPCG(seed, 0xc1)), noFault)
		c.stepUntil(seed, "led", c.hasLeader)
		for _, v := range c.voters {
			v.storage = NewMemoryStorage()
			id := RandomID(c.random)
			c.startVoter(v, id)
			c.stepUntil(seed, "taken in", func() bool {
				return v.State().Members[v.name] == id && !v.inJointConfig()
			})
			c.stepUntil(seed, "led again", c.hasLeader)
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

// stepUntil lets time pass until a condition holds, for simSpan at the most.
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
		c.t.Fatalf("seed %d: never %s", seed, what)
	}
}
