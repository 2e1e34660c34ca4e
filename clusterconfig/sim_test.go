package clusterconfig

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"junctionwharf/internal/simtime"
)

var manySeeds = flag.Int("seeds", 80, "seeds of the simulated cluster")

// The faults that are planted; the checker must find each.
type bug int

const (
	noBug          bug = iota
	leaseFromReply     // the lease runs from when its grant came
	majorityActs       // a change comes into force once most holders prepared it
	noWaitForTerm      // a new leader does not wait out the leases of the one before
	actsOnPrepare      // a holder acts on a version as soon as it is under way
	oneLife            // a holder that restarted counts as what it was
)

func testRules(key string) (Rule, bool) {
	rule, known := map[string]Rule{"limit": Least{Lowest: 1}, "repeat": Switch{}, "zone": Same{}}[key]
	return rule, known
}

// Clocks here run 2.5% fast or slow, so that a second shows what a day would.
var testTiming = Timing{Lease: 300_000, DriftPPM: 50_000}

// sim is a cluster on one true time axis: holders, a leader, and the log that outlives leaders. The consensus under it is an oracle
// that keeps its own promises: what it commits stays, and no leader begins before the one before it has lost its confirmation.
type sim struct {
	simtime.Axis
	random *rand.Rand
	bug    bug

	log      []Entry // in force
	pending  *Entry
	keeper   *Keeper
	term     uint64
	kClock   simClock
	kUp      bool // the leader runs
	lead     uint64
	election Micros // true time before which no other leader begins

	holders []*simHolder
	docs    []map[string]string // by version
	acted   uint64              // the latest version that anybody acted on
	breach  string
	changes int
	acts    int
	full    int
}

type simClock struct {
	offset Micros
	rate   float64
}

func (c simClock) read(now Micros) Micros { return c.offset + Micros(float64(now)*c.rate) }

type simHolder struct {
	*Holder
	index   int
	clock   simClock
	life    uint64
	stopped bool
	cutTo   Micros // both ways before this
	deafTo  Micros // hears nothing before this
	waiting []func()
}

const electionTime = 200_000

func (s *sim) clock() simClock {
	return simClock{offset: Micros(s.random.IntN(1 << 40)), rate: 0.975 + 0.05*s.random.Float64()}
}

func playSim(seed uint64, planted bug) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 0xa9)), bug: planted, docs: []map[string]string{{}}}
	first := Document{}
	e := first.Next(Proposal{Author: "a", Reason: "first", Changes: []Change{{"limit", "100"}, {"repeat", "yes"}, {"zone", "a"}}})
	s.commit(e)
	for i := range 3 + s.random.IntN(4) {
		h := &simHolder{index: i, clock: s.clock()}
		s.start(h)
		s.holders = append(s.holders, h)
		s.After(Micros(s.random.IntN(50_000)), func() { s.renew(h) })
		s.After(Micros(s.random.IntN(5000)), func() { s.act(h) })
	}
	s.elect()
	s.After(100_000, s.propose)
	s.After(Micros(s.random.IntN(300_000)), s.fault)
	const end = 8_000_000
	for s.breach == "" && s.Step(end) {
	}
	return s
}

func (s *sim) start(h *simHolder) {
	if h.life++; s.bug == oneLife {
		h.life = 1
	}
	h.Holder = NewHolder(fmt.Sprint("h", h.index), h.life, testTiming, testRules)
	h.waiting = nil
}

// commit brings an entry into force in the log.
func (s *sim) commit(e Entry) {
	values := map[string]string{}
	for k, v := range s.docs[len(s.docs)-1] {
		values[k] = v
	}
	for _, c := range e.Proposal.Changes {
		values[c.Key] = c.Value
	}
	s.docs = append(s.docs, values)
	s.log, s.pending = append(s.log, e), nil
}

// elect has a leader begin with what the log holds.
func (s *sim) elect() {
	s.term++
	s.lead++
	s.kClock, s.kUp = s.clock(), true
	doc := &Document{}
	for _, e := range s.log {
		if err := doc.Apply(e); err != nil {
			s.breach = err.Error()
		}
	}
	now := s.kClock.read(s.Now)
	s.keeper = NewKeeper(now, s.term, testTiming, testRules, doc, s.pending, 0)
	if s.bug == noWaitForTerm {
		s.keeper.clearAt = now
	}
	s.confirm(s.lead)
	s.due(s.lead)
}

// confirm is a question that a majority answers now and then, while the leader is there.
func (s *sim) confirm(lead uint64) {
	if lead != s.lead || !s.kUp {
		return
	}
	s.keeper.Confirmed(s.kClock.read(s.Now) + electionTime*9/10)
	s.election = s.Now + electionTime
	s.After(30_000, func() { s.confirm(lead) })
}

func (s *sim) due(lead uint64) {
	if lead != s.lead || !s.kUp {
		return
	}
	ready := s.keeper.Due(s.kClock.read(s.Now))
	if s.bug == majorityActs && s.keeper.Pending() != nil {
		n := 0
		for _, l := range s.keeper.leases {
			if l.ready == s.keeper.Pending().Version {
				n++
			}
		}
		ready = ready || n > len(s.holders)/2
	}
	if ready {
		s.commit(*s.keeper.Pending())
		if err := s.keeper.Activate(); err != nil {
			s.breach = err.Error()
		}
		s.changes++
	}
	s.After(3000, func() { s.due(lead) })
}

func (s *sim) propose() {
	s.After(Micros(20_000+s.random.IntN(400_000)), s.propose)
	if !s.kUp || s.keeper.Pending() != nil {
		return
	}
	now := s.kClock.read(s.Now)
	changes := []Change{{"limit", fmt.Sprint(1 + s.random.IntN(200))}, {"repeat", []string{"yes", "no"}[s.random.IntN(2)]}, {"zone", string(rune('a' + s.random.IntN(5)))}}
	e, err := s.keeper.Propose(now, Proposal{Expected: s.keeper.Document().Version, Author: "a", Reason: "r", Changes: changes[:1+s.random.IntN(3)]})
	if err != nil {
		return
	}
	s.pending = &e
	if err := s.keeper.Begin(now, e); err != nil {
		s.breach = err.Error()
	}
}

// delay is how long a message takes, -1 for lost.
func (s *sim) delay() Micros {
	switch s.random.IntN(20) {
	case 0:
		return -1
	case 1:
		return Micros(s.random.IntN(600_000))
	}
	return Micros(200 + s.random.IntN(5000))
}

func (s *sim) renew(h *simHolder) {
	s.After(Micros(30_000+s.random.IntN(60_000)), func() { s.renew(h) })
	if h.stopped {
		return
	}
	r := h.Renew(h.clock.read(s.Now))
	for range 1 + s.random.IntN(10)/9 { // some come twice
		if d := s.delay(); d >= 0 && s.Now >= h.cutTo {
			s.After(d, func() { s.renewed(h, r) })
		}
	}
}

func (s *sim) renewed(h *simHolder, r Renewal) {
	if !s.kUp {
		return
	}
	g := s.keeper.Renewed(s.kClock.read(s.Now), r)
	if d := s.delay(); g != nil && d >= 0 && s.Now >= h.cutTo && s.Now >= h.deafTo {
		s.After(d, func() { s.hear(h, *g) })
	}
}

func (s *sim) hear(h *simHolder, g Grant) {
	if h.stopped { // the kernel keeps it
		h.waiting = append(h.waiting, func() { s.hear(h, g) })
		return
	}
	now := h.clock.read(s.Now)
	if !h.Granted(now, g) {
		return
	}
	switch {
	case s.bug == leaseFromReply:
		h.until = now + testTiming.Lease
	case s.bug == actsOnPrepare && h.ready != nil:
		for _, c := range h.ready.Proposal.Changes {
			h.changed[c.Key] = c.Value
		}
	}
}

// act is a turn of a holder's core. Whatever it acts on must be allowed by the latest version that anybody has acted on.
func (s *sim) act(h *simHolder) {
	s.After(Micros(300+s.random.IntN(4000)), func() { s.act(h) })
	if h.stopped {
		return
	}
	v := h.View(h.clock.read(s.Now))
	s.acts++
	if !v.Restricted && v.Version > s.acted {
		s.acted = v.Version
	}
	if !v.Restricted {
		s.full++
	}
	for key, want := range s.docs[s.acted] {
		rule, _ := testRules(key)
		if got := v.Value(key); !Below(rule, got, want) {
			s.breach = fmt.Sprintf("at %d h%d acts on %s = %q (version %d, preparing %d, restricted %v) while version %d with %q is acted on", s.Now, h.index, key, got,
				v.Version, v.Preparing, v.Restricted, s.acted, want)
		}
	}
}

func (s *sim) fault() {
	s.After(Micros(20_000+s.random.IntN(500_000)), s.fault)
	h := s.holders[s.random.IntN(len(s.holders))]
	span := Micros(10_000 + s.random.IntN(1_500_000))
	switch s.random.IntN(6) {
	case 0: // the leader is gone
		if s.kUp {
			s.kUp = false
			s.After(max(0, s.election-s.Now)+Micros(s.random.IntN(100_000)), s.elect)
		}
	case 1:
		h.cutTo = s.Now + span
	case 2:
		h.deafTo = s.Now + span
	case 3: // stopped, and woken: it acts before it hears what has come meanwhile
		if !h.stopped {
			h.stopped = true
			s.After(span, func() {
				h.stopped = false
				s.act(h)
				for _, hear := range h.waiting {
					hear()
				}
				h.waiting = nil
			})
		}
	case 4: // it crashes, and maybe again as soon as it is up
		for n := range 1 + s.random.IntN(4) {
			s.After(Micros(n*(50_000+s.random.IntN(250_000))), func() {
				if !h.stopped {
					s.start(h)
				}
			})
		}
	case 5: // all restart at once
		if s.random.IntN(4) == 0 {
			for _, h := range s.holders {
				if !h.stopped {
					s.start(h)
				}
			}
		}
	}
}

// No holder ever acts on what the version in force does not allow, over seeds of lost, doubled, late and reordered messages, cut and
// one-way links, stops, restarts, changes of leader and drifting clocks. And changes come through, and most turns have a lease.
func TestNoContradiction(t *testing.T) {
	changes, acts, full := 0, 0, 0
	for seed := range uint64(*manySeeds) {
		s := playSim(seed, noBug)
		if s.breach != "" {
			t.Fatalf("seed %d: %s", seed, s.breach)
		}
		changes, acts, full = changes+s.changes, acts+s.acts, full+s.full
	}
	if changes < 3**manySeeds || full*3 < acts {
		t.Errorf("%d changes in %d runs; %d of %d turns with a lease", changes, *manySeeds, full, acts)
	}
}

// The checker finds each planted fault.
func TestPlantedFaults(t *testing.T) {
	for planted, name := range map[bug]string{leaseFromReply: "lease from the reply", majorityActs: "majority acts", noWaitForTerm: "a new leader does not wait",
		actsOnPrepare: "acts on what is under way", oneLife: "one life"} {
		found := false
		for seed := uint64(0); seed < 2000 && !found; seed++ {
			found = playSim(seed, planted).breach != ""
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}
