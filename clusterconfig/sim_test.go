package clusterconfig

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"junctionwharf/internal/simtime"
)

var seedCount = flag.Int("seeds", 80, "number of seeds of the simulated cluster")

// plantedFault is a deliberate fault of the implementation. The checker must find each.
type plantedFault int

const (
	noFault                plantedFault = iota
	leaseFromGrant                      // the lease runs from the arrival of its grant
	majorityActivates                   // a change is activated once a majority of the holders has prepared it
	noWaitForEarlierLeases              // a new leader does not wait until the leases of earlier leaders end
	actsOnPending                       // a holder acts on a version as soon as it is pending
	sameIncarnation                     // a restarted holder keeps its incarnation
)

func testSchema(key string) (Lattice, bool) {
	lattice, known := map[string]Lattice{"limit": Limit{Min: 1}, "repeat": Permission{}, "zone": Exact{}}[key]
	return lattice, known
}

// Simulated clocks run up to 2.5% fast or slow, so that drift has an effect within seconds of simulated time.
var testTiming = Timing{Lease: 300_000, DriftPPM: 50_000}

const (
	simSpan         = 8_000_000 // simulated time of a run, in µs
	electionTimeout = 200_000   // µs
)

// cluster simulates lease holders and a leader on one true time axis, with the log that survives a change of leader. An
// oracle replaces raft: a committed entry stays committed, and no leader starts before the confirmation of the previous
// leader has expired. The seed determines the whole run.
type cluster struct {
	simtime.Clock
	random *rand.Rand
	fault  plantedFault

	log          []Entry // active entries
	pending      *Entry
	lessor       *Lessor
	term         uint64
	leaderClock  simClock
	leaderUp     bool
	nextElection Micros // true time before which no other leader starts

	holders []*simHolder
	values  []map[string]string // values of all keys, by version
	newest  uint64              // the latest version that any holder has acted on
	breach  string              // violation of the guarantee, empty for none

	activated   int // number of activated changes
	turns       int
	leasedTurns int
}

type simClock struct {
	offset Micros
	rate   float64
}

func (c simClock) read(now Micros) Micros { return c.offset + Micros(float64(now)*c.rate) }

type simHolder struct {
	*LeaseHolder
	index            int
	clock            simClock
	incarnation      uint64
	stopped          bool
	partitionedUntil Micros   // until then, messages that the holder sends or that are sent to it are lost
	receivesFrom     Micros   // until then, grants sent to the holder are lost
	waiting          []func() // deliveries of grants that arrived while the process was stopped
}

func simulate(seed uint64, fault plantedFault) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 0xa9)), fault: fault, values: []map[string]string{{}}}
	empty := Document{}
	changes := []Change{{"limit", "100"}, {"repeat", Yes}, {"zone", "a"}}
	c.activate(empty.NextEntry(Proposal{Author: "a", Reason: "first", Changes: changes}))
	for i := range 3 + c.random.IntN(4) {
		h := &simHolder{index: i, clock: c.drawClock()}
		c.start(h)
		c.holders = append(c.holders, h)
		c.After(Micros(c.random.IntN(50_000)), func() { c.renew(h) })
		c.After(Micros(c.random.IntN(5000)), func() { c.turn(h) })
	}
	c.elect()
	c.After(100_000, c.propose)
	c.After(Micros(c.random.IntN(300_000)), c.disturb)
	for c.breach == "" && c.Step(simSpan) {
	}
	return c
}

func (c *cluster) drawClock() simClock {
	return simClock{offset: Micros(c.random.IntN(1 << 40)), rate: 0.975 + 0.05*c.random.Float64()}
}

func (c *cluster) start(h *simHolder) {
	h.incarnation++
	if c.fault == sameIncarnation {
		h.incarnation = 1
	}
	h.LeaseHolder = NewLeaseHolder(fmt.Sprint("h", h.index), h.incarnation, testTiming, testSchema)
	h.waiting = nil
}

// activate commits an entry as active.
func (c *cluster) activate(e Entry) {
	values := maps.Clone(c.values[len(c.values)-1])
	for _, change := range e.Proposal.Changes {
		values[change.Key] = change.Value
	}
	c.values = append(c.values, values)
	c.log = append(c.log, e)
	c.pending = nil
}

// elect starts a leader with the entries of the log.
func (c *cluster) elect() {
	c.term++
	c.leaderClock = c.drawClock()
	c.leaderUp = true
	document := &Document{}
	for _, e := range c.log {
		if err := document.Apply(e); err != nil {
			c.breach = err.Error()
		}
	}
	now := c.leaderClock.read(c.Now)
	c.lessor = NewLessor(now, c.term, testTiming, testSchema, document, c.pending, 0)
	if c.fault == noWaitForEarlierLeases {
		c.lessor.earlierLeasesEnd = now
	}
	c.confirm(c.term)
	c.tryActivate(c.term)
}

// leads reports whether the leader of a term still leads.
func (c *cluster) leads(term uint64) bool { return term == c.term && c.leaderUp }

// confirm periodically confirms the leader, as a majority would.
func (c *cluster) confirm(term uint64) {
	if !c.leads(term) {
		return
	}
	c.lessor.ConfirmLeadership(c.leaderClock.read(c.Now) + electionTimeout*9/10)
	c.nextElection = c.Now + electionTimeout
	c.After(30_000, func() { c.confirm(term) })
}

func (c *cluster) tryActivate(term uint64) {
	if !c.leads(term) {
		return
	}
	pending := c.lessor.Pending()
	ready := c.lessor.CanActivate(c.leaderClock.read(c.Now))
	if c.fault == majorityActivates && pending != nil {
		prepared := 0
		for _, l := range c.lessor.leases {
			if l.prepared == pending.Version {
				prepared++
			}
		}
		ready = ready || prepared > len(c.holders)/2
	}
	if ready {
		c.activate(*pending)
		if err := c.lessor.Activate(); err != nil {
			c.breach = err.Error()
		}
		c.activated++
	}
	c.After(3000, func() { c.tryActivate(term) })
}

func (c *cluster) propose() {
	c.After(Micros(20_000+c.random.IntN(400_000)), c.propose)
	if !c.leaderUp || c.lessor.Pending() != nil {
		return
	}
	now := c.leaderClock.read(c.Now)
	changes := []Change{
		{"limit", fmt.Sprint(1 + c.random.IntN(200))},
		{"repeat", []string{Yes, No}[c.random.IntN(2)]},
		{"zone", string(rune('a' + c.random.IntN(5)))},
	}
	p := Proposal{Expected: c.lessor.Document().Version, Author: "a", Reason: "r"}
	p.Changes = changes[:1+c.random.IntN(3)]
	e, err := c.lessor.Propose(now, p)
	if err != nil {
		return
	}
	c.pending = &e
	if err := c.lessor.Begin(e); err != nil {
		c.breach = err.Error()
	}
}

// drawDelay returns the delay of a message, -1 if the message is lost.
func (c *cluster) drawDelay() Micros {
	switch c.random.IntN(20) {
	case 0:
		return -1
	case 1:
		return Micros(c.random.IntN(600_000))
	}
	return Micros(200 + c.random.IntN(5000))
}

func (c *cluster) renew(h *simHolder) {
	c.After(Micros(30_000+c.random.IntN(60_000)), func() { c.renew(h) })
	if h.stopped {
		return
	}
	r := h.Renew(h.clock.read(c.Now))
	for range 1 + c.random.IntN(10)/9 { // some renewals arrive twice
		if d := c.drawDelay(); d >= 0 && c.Now >= h.partitionedUntil {
			c.After(d, func() { c.grant(h, r) })
		}
	}
}

func (c *cluster) grant(h *simHolder, r Renewal) {
	if !c.leaderUp {
		return
	}
	g := c.lessor.HandleRenewal(c.leaderClock.read(c.Now), r)
	d := c.drawDelay()
	if g != nil && d >= 0 && c.Now >= h.partitionedUntil && c.Now >= h.receivesFrom {
		c.After(d, func() { c.receive(h, *g) })
	}
}

func (c *cluster) receive(h *simHolder, g Grant) {
	if h.stopped { // the kernel keeps the message until the process runs again
		h.waiting = append(h.waiting, func() { c.receive(h, g) })
		return
	}
	now := h.clock.read(c.Now)
	if !h.HandleGrant(now, g) {
		return
	}
	switch {
	case c.fault == leaseFromGrant:
		h.leaseEnd = now + testTiming.Lease
	case c.fault == actsOnPending && h.pending != nil:
		for _, change := range h.pending.Proposal.Changes {
			h.pendingValues[change.Key] = change.Value
		}
	}
}

// turn simulates a scheduling turn of a holder. The latest version that any holder has acted on must allow every value
// that the holder acts on.
func (c *cluster) turn(h *simHolder) {
	c.After(Micros(300+c.random.IntN(4000)), func() { c.turn(h) })
	if h.stopped {
		return
	}
	v := h.View(h.clock.read(c.Now))
	c.turns++
	if !v.Restricted {
		c.leasedTurns++
		c.newest = max(c.newest, v.Version)
	}
	for key, newest := range c.values[c.newest] {
		lattice, _ := testSchema(key)
		if got := v.Value(key); !AtMost(lattice, got, newest) {
			c.breach = fmt.Sprintf("at %d µs h%d acts on %s = %q of view %+v, want at most the value of version %d, %q",
				c.Now, h.index, key, got, v, c.newest, newest)
		}
	}
}

// disturb injects a random fault of the leader, a link or a holder's process, and schedules the next fault.
func (c *cluster) disturb() {
	c.After(Micros(20_000+c.random.IntN(500_000)), c.disturb)
	h := c.holders[c.random.IntN(len(c.holders))]
	span := Micros(10_000 + c.random.IntN(1_500_000))
	switch c.random.IntN(6) {
	case 0:
		c.loseLeader()
	case 1:
		h.partitionedUntil = c.Now + span
	case 2:
		h.receivesFrom = c.Now + span
	case 3:
		c.suspend(h, span)
	case 4:
		c.crash(h)
	case 5:
		c.restartAll()
	}
}

func (c *cluster) loseLeader() {
	if !c.leaderUp {
		return
	}
	c.leaderUp = false
	c.After(max(0, c.nextElection-c.Now)+Micros(c.random.IntN(100_000)), c.elect)
}

// suspend stops a process. When the process runs again, it takes a turn before it receives the messages that arrived
// meanwhile.
func (c *cluster) suspend(h *simHolder, span Micros) {
	if h.stopped {
		return
	}
	h.stopped = true
	c.After(span, func() {
		h.stopped = false
		c.turn(h)
		for _, receive := range h.waiting {
			receive()
		}
		h.waiting = nil
	})
}

// crash restarts a holder one to four times within about a second.
func (c *cluster) crash(h *simHolder) {
	for n := range 1 + c.random.IntN(4) {
		c.After(Micros(n*(50_000+c.random.IntN(250_000))), func() {
			if !h.stopped {
				c.start(h)
			}
		})
	}
}

func (c *cluster) restartAll() {
	if c.random.IntN(4) != 0 {
		return
	}
	for _, h := range c.holders {
		if !h.stopped {
			c.start(h)
		}
	}
}

// Messages are lost, duplicated, delayed and reordered. Links are partitioned in one or both directions. Processes stop
// for a while, crash and restart. Leaders change, and clocks drift. No holder may ever act on a value that is forbidden
// by a version that another holder has acted on. On average, at least three changes a run must still be activated, and
// at least a third of the turns must have a lease.
func TestNoContradiction(t *testing.T) {
	activated, turns, leased := 0, 0, 0
	for seed := range uint64(*seedCount) {
		c := simulate(seed, noFault)
		if c.breach != "" {
			t.Fatalf("seed %d: %s", seed, c.breach)
		}
		activated += c.activated
		turns += c.turns
		leased += c.leasedTurns
	}
	if activated < 3**seedCount || leased*3 < turns {
		t.Errorf("%d changes in %d runs, want at least 3 a run; %d of %d turns with a lease, want at least a third",
			activated, *seedCount, leased, turns)
	}
}

// The checker of TestNoContradiction must find each fault that is planted into the implementation. Otherwise a run
// without a finding would prove nothing.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for name, fault := range map[string]plantedFault{
		"lease from grant":            leaseFromGrant,
		"majority activates":          majorityActivates,
		"no wait for earlier leases":  noWaitForEarlierLeases,
		"acts on the pending version": actsOnPending,
		"same incarnation":            sameIncarnation,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				if simulate(seed, fault).breach != "" {
					return
				}
			}
			t.Error("the checker did not find the planted fault in 2000 runs")
		})
	}
}
