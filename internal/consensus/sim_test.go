package consensus

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/simtime"
)

// plantedFault is a deliberate fault of the implementation. A checker or raft itself must find each of them.
type plantedFault int

const (
	noFault         plantedFault = iota
	reusedIdentity               // a voter that lost its state restarts under its old identity
	staleRead                    // a leader serves reads while its leadership is not confirmed
	uncommittedDone              // a leader lets holders prepare an uncommitted change
)

func testSchema(key string) (clusterconfig.Lattice, bool) {
	lattices := map[string]clusterconfig.Lattice{
		"limit":  clusterconfig.Limit{Min: 1},
		"repeat": clusterconfig.Permission{},
		"zone":   clusterconfig.Exact{},
	}
	lattice, known := lattices[key]
	return lattice, known
}

var testTiming = clusterconfig.Timing{Lease: 400_000, DriftPPM: 20_000}

const (
	voterCount  = 3
	holderCount = 4
	clientCount = 2
	quietSpan   = 8_000_000 // µs without new faults at the end of a run, in which the cluster must recover
	maxWaiting  = 200       // maximum number of messages that the kernel keeps for a stopped voter
)

type simClock struct {
	offset clusterconfig.Micros
	rate   float64
}

func (c simClock) read(now clusterconfig.Micros) clusterconfig.Micros {
	return c.offset + clusterconfig.Micros(float64(now)*c.rate)
}

type simVoter struct {
	*Voter
	name         string
	clock        simClock
	storage      Storage
	stopped      bool
	waiting      []func()
	receivesFrom clusterconfig.Micros // until then, messages to the voter are lost
	sendsFrom    clusterconfig.Micros // until then, messages that the voter sends are lost
}

type simHolder struct {
	*clusterconfig.LeaseHolder
	clock            simClock
	incarnation      uint64
	stopped          bool
	partitionedUntil clusterconfig.Micros
}

// cluster simulates voters and lease holders, which run the real code, on one true time axis. The seed determines the
// whole run.
type cluster struct {
	simtime.Clock
	t      *testing.T
	random *rand.Rand
	fault  plantedFault

	voters  []*simVoter
	holders []*simHolder

	values     map[uint64]map[string]string // values of each version, as read from the first voter that activated it
	newest     uint64                       // the latest version that any holder has acted on
	breach     string                       // violation of the guarantees, empty for none
	activated  int
	replaced   int // number of voters that lost their state
	operations []porcupine.Operation
	lastFault  clusterconfig.Micros
	openCalls  []func() // functions that end the proposals still open at the end of the run
}

func simulate(t *testing.T, seed uint64, fault plantedFault, span clusterconfig.Micros) *cluster {
	t.Helper()
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	cryptorand.Reader = rand.NewChaCha8(key) // raft draws its election timeouts from this reader
	c := newCluster(t, rand.New(rand.NewPCG(seed, 0xc0)), fault)
	for i := range holderCount {
		h := &simHolder{clock: c.drawClock()}
		c.restartHolder(h, i)
		c.holders = append(c.holders, h)
		c.After(clusterconfig.Micros(c.random.IntN(50_000)), func() { c.renew(h) })
		c.After(clusterconfig.Micros(c.random.IntN(5000)), func() { c.turn(h) })
	}
	for id := range clientCount {
		c.After(1_000_000, func() { c.callAsClient(id) })
	}
	c.lastFault = span - quietSpan
	c.After(2_000_000, c.disturb)
	for c.breach == "" && c.Step(span) {
	}
	for _, end := range c.openCalls {
		end()
	}
	c.checkRecovered()
	return c
}

// checkRecovered records a breach if, at the end of the run, there is no leader or a voter was not added again.
func (c *cluster) checkRecovered() {
	leaderFound := false
	for _, v := range c.voters {
		leaderFound = leaderFound || v.IsLeader()
		if v.Uninitialized() && c.breach == "" {
			c.breach = v.name + " was not added again after it lost its state"
		}
	}
	if !leaderFound && c.breach == "" {
		c.breach = "no voter is the leader, long after the last fault"
	}
}

// newCluster starts voters that were bootstrapped with the same members.
func newCluster(t *testing.T, random *rand.Rand, fault plantedFault) *cluster {
	t.Helper()
	c := &cluster{t: t, random: random, fault: fault, values: map[uint64]map[string]string{0: {}}}
	members := map[string]uint64{}
	for i := range voterCount {
		members[fmt.Sprint("v", i)] = RandomID(c.random)
	}
	for i := range voterCount {
		v := &simVoter{name: fmt.Sprint("v", i), clock: c.drawClock(), storage: bootstrapped(c.t, members)}
		c.startVoter(v, members[v.name])
		c.voters = append(c.voters, v)
		c.After(clusterconfig.Micros(c.random.IntN(20_000)), func() { c.tick(v) })
	}
	return c
}

func (c *cluster) drawClock() simClock {
	return simClock{clusterconfig.Micros(c.random.IntN(1 << 40)), 0.99 + 0.02*c.random.Float64()}
}

func (c *cluster) startVoter(v *simVoter, id uint64) {
	started, err := New(v.clock.read(c.Now), Options{ID: id, Timing: testTiming, Schema: testSchema}, v.storage)
	if err != nil {
		c.t.Fatal(err)
	}
	v.Voter = started
	v.waiting = nil
	v.stopped = false
}

func (c *cluster) restartHolder(h *simHolder, index int) {
	h.incarnation++
	h.LeaseHolder = clusterconfig.NewLeaseHolder(fmt.Sprint("h", index), h.incarnation, testTiming, testSchema)
}

// send delivers the messages that a call of a voter returned, each after a random delay, or loses them.
func (c *cluster) send(from *simVoter, e Effects) {
	for _, m := range e.Messages {
		m := proto.Clone(m).(*pb.Message) // because the storage changes its snapshot in place
		d := c.drawDelay()
		if d < 0 || c.Now < from.sendsFrom {
			continue
		}
		c.After(d, func() {
			for _, to := range c.voters {
				if to.ID() == m.GetTo() && c.Now >= to.receivesFrom {
					c.run(to, func() { c.send(to, to.Step(to.clock.read(c.Now), m)) })
				}
			}
		})
	}
}

// run calls do, or queues it while the voter is stopped. After the call it checks that the voter has not failed, and
// that all voters have the same values of a version.
func (c *cluster) run(v *simVoter, do func()) {
	if v.stopped {
		if len(v.waiting) < maxWaiting {
			v.waiting = append(v.waiting, do)
		}
		return
	}
	do()
	if err := v.Err(); err != nil {
		c.breach = "a voter stopped: " + err.Error()
	}
	document := v.State().Document
	if _, known := c.values[document.Version]; !known {
		c.values[document.Version] = maps.Clone(document.Values)
		c.activated++
	}
	for key, value := range c.values[document.Version] {
		if document.Values[key] != value {
			c.breach = fmt.Sprintf("two voters hold different values of version %d: %v and %v",
				document.Version, document.Values, c.values[document.Version])
		}
	}
}

func (c *cluster) tick(v *simVoter) {
	c.After(10_000, func() { c.tick(v) })
	if v.stopped {
		return
	}
	c.run(v, func() { c.send(v, v.Tick(v.clock.read(c.Now))) })
	for _, other := range c.voters { // a voter that lost its state asks the leader to be added again
		reachable := !other.stopped && c.Now >= v.receivesFrom && c.Now >= other.sendsFrom
		if other != v && reachable && c.fault != reusedIdentity {
			m := clusterconfig.Member{Name: other.name, ID: other.ID()}
			c.send(v, v.ReplaceMember(v.clock.read(c.Now), m))
		}
	}
}

// drawDelay returns the delay of a message, -1 if the message is lost.
func (c *cluster) drawDelay() clusterconfig.Micros {
	switch c.random.IntN(20) {
	case 0:
		return -1
	case 1:
		return clusterconfig.Micros(c.random.IntN(400_000))
	}
	return clusterconfig.Micros(200 + c.random.IntN(5000))
}

func (c *cluster) renew(h *simHolder) {
	c.After(clusterconfig.Micros(50_000+c.random.IntN(60_000)), func() { c.renew(h) })
	if h.stopped || c.Now < h.partitionedUntil {
		return
	}
	r := h.Renew(h.clock.read(c.Now))
	for _, v := range c.voters {
		if d := c.drawDelay(); d >= 0 {
			c.After(d, func() { c.run(v, func() { c.answerRenewal(v, h, r) }) })
		}
	}
}

func (c *cluster) answerRenewal(v *simVoter, h *simHolder, r clusterconfig.Renewal) {
	g := v.HandleRenewal(v.clock.read(c.Now), r)
	d := c.drawDelay()
	if g == nil || d < 0 || c.Now < h.partitionedUntil {
		return
	}
	c.After(d, func() {
		if !h.stopped && c.Now >= h.partitionedUntil {
			h.HandleGrant(h.clock.read(c.Now), *g)
		}
	})
}

// turn simulates a scheduling turn of a holder. The latest version that any holder has acted on must allow every value
// that the holder acts on.
func (c *cluster) turn(h *simHolder) {
	c.After(clusterconfig.Micros(1000+c.random.IntN(9000)), func() { c.turn(h) })
	if h.stopped {
		return
	}
	view := h.View(h.clock.read(c.Now))
	if !view.Restricted {
		c.newest = max(c.newest, view.Version)
	}
	for _, key := range []string{"limit", "repeat", "zone"} {
		lattice, _ := testSchema(key)
		newest, set := c.values[c.newest][key]
		if value := view.Value(key); set && !clusterconfig.AtMost(lattice, value, newest) {
			c.breach = fmt.Sprintf("%s: acting on %q at version %d (restricted %v), want at most %q of version %d",
				key, value, view.Version, view.Restricted, newest, c.newest)
		}
	}
}

func bootstrapped(t *testing.T, members map[string]uint64) MemoryStorage {
	t.Helper()
	storage := NewMemoryStorage()
	if err := Bootstrap(storage, 77, members); err != nil {
		t.Fatal(err)
	}
	return storage
}
