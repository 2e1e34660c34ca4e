package consensus

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/simtime"
)

var firstSeed = flag.Int("seed", 0, "the first of them")

var manySeeds = flag.Int("seeds", 40, "seeds of the simulated cluster")

// The faults that are planted; one of the checkers must find each.
type bug int

const (
	noBug       bug = iota
	sameID          // a voter whose state was lost comes back under its old identity
	staleRead       // a leader reads without being sure that it still leads
	beginsEarly     // a leader has holders prepare what is not committed
)

func rules(key string) (clusterconfig.Rule, bool) {
	rule, known := map[string]clusterconfig.Rule{"limit": clusterconfig.Least{Lowest: 1}, "repeat": clusterconfig.Switch{}, "zone": clusterconfig.Same{}}[key]
	return rule, known
}

var timing = clusterconfig.Timing{Lease: 400_000, DriftPPM: 20_000}

type clock struct {
	offset clusterconfig.Micros
	rate   float64
}

func (c clock) read(now clusterconfig.Micros) clusterconfig.Micros {
	return c.offset + clusterconfig.Micros(float64(now)*c.rate)
}

type simVoter struct {
	v       *Voter
	name    string
	clock   clock
	store   Storage
	stopped bool
	waiting []func()
	hearsTo clusterconfig.Micros // hears nothing before this
	saysTo  clusterconfig.Micros // is heard by nobody before this
}

type simHolder struct {
	*clusterconfig.Holder
	clock   clock
	life    uint64
	stopped bool
	cutTo   clusterconfig.Micros
}

// sim is a cluster on one true time axis, of real voters and holders. All comes from the seed.
type sim struct {
	simtime.Axis
	t       *testing.T
	random  *rand.Rand
	bug     bug
	voters  []*simVoter
	holders []*simHolder
	docs    map[uint64]map[string]string // by version, as came into force
	acted   uint64
	breach  string
	changes int
	lost    int // voters that lost their state
	ops     []porcupine.Operation
	end     clusterconfig.Micros // of the faults
	open    []func()             // ends of calls, for those that are open at the end
}

func (s *sim) clock() clock {
	return clock{clusterconfig.Micros(s.random.IntN(1 << 40)), 0.99 + 0.02*s.random.Float64()}
}

func (s *sim) options(id uint64) Options { return Options{ID: id, Timing: timing, Rules: rules} }

func play(t *testing.T, seed uint64, planted bug, span clusterconfig.Micros) *sim {
	var key [32]byte
	binary.BigEndian.PutUint64(key[:], seed)
	cryptorand.Reader = rand.NewChaCha8(key) // raft draws its election times from it
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 0xc0)), bug: planted, docs: map[uint64]map[string]string{0: {}}}
	s.form()
	for i := range 4 {
		h := &simHolder{clock: s.clock()}
		s.restart(h, i)
		s.holders = append(s.holders, h)
		s.After(clusterconfig.Micros(s.random.IntN(50_000)), func() { s.renew(h) })
		s.After(clusterconfig.Micros(s.random.IntN(5000)), func() { s.act(h) })
	}
	for c := range 2 {
		s.After(1_000_000, func() { s.client(c) })
	}
	s.end = span - 8_000_000
	s.After(2_000_000, s.fault)
	for s.breach == "" && s.Step(span) {
	}
	for _, end := range s.open {
		end()
	}
	leads := false
	for _, x := range s.voters {
		if leads = leads || x.v.Leads(); x.v.Fresh() && s.breach == "" {
			s.breach = x.name + " was not taken in again"
		}
	}
	if !leads && s.breach == "" {
		s.breach = "nobody leads, long after the last fault"
	}
	return s
}

// form starts three voters that were formed alike.
func (s *sim) form() {
	members := map[string]uint64{}
	for i := range 3 {
		members[fmt.Sprint("v", i)] = DrawID(s.random)
	}
	for i := range 3 {
		x := &simVoter{name: fmt.Sprint("v", i), clock: s.clock(), store: formed(s.t, members)}
		s.start(x, members[x.name])
		s.voters = append(s.voters, x)
		s.After(clusterconfig.Micros(s.random.IntN(20_000)), func() { s.tick(x) })
	}
}

func (s *sim) start(x *simVoter, id uint64) {
	v, err := New(x.clock.read(s.Now), s.options(id), x.store)
	if err != nil {
		s.t.Fatal(err)
	}
	x.v, x.waiting, x.stopped = v, nil, false
}

func (s *sim) restart(h *simHolder, i int) {
	h.life++
	h.Holder = clusterconfig.NewHolder(fmt.Sprint("h", i), h.life, timing, rules)
}

// send has the effects of a voter's call happen.
func (s *sim) send(x *simVoter, e Effects) {
	for _, m := range e.Messages {
		m := proto.Clone(m).(*pb.Message) // as it would be over a wire: the storage changes its snapshot in place
		if d := s.delay(); d >= 0 && s.Now >= x.saysTo {
			s.After(d, func() {
				for _, y := range s.voters {
					if y.v.ID() == m.GetTo() && s.Now >= y.hearsTo {
						s.at(y, func() { s.send(y, y.v.Step(y.clock.read(s.Now), m)) })
					}
				}
			})
		}
	}
}

// at has a voter do something, once it runs.
func (s *sim) at(x *simVoter, do func()) {
	if x.stopped {
		if len(x.waiting) < 200 {
			x.waiting = append(x.waiting, do)
		}
		return
	}
	do()
	if err := x.v.Err(); err != nil {
		s.breach = "a voter stopped: " + err.Error()
	}
	d := x.v.Record().Doc
	if _, known := s.docs[d.Version]; !known {
		values := map[string]string{}
		for k, v := range d.Values {
			values[k] = v
		}
		s.docs[d.Version] = values
		s.changes++
	}
	for k, v := range s.docs[d.Version] {
		if d.Values[k] != v {
			s.breach = fmt.Sprintf("two voters hold different versions %d: %v and %v", d.Version, d.Values, s.docs[d.Version])
		}
	}
}

func (s *sim) tick(x *simVoter) {
	s.After(10_000, func() { s.tick(x) })
	if !x.stopped {
		s.at(x, func() { s.send(x, x.v.Tick(x.clock.read(s.Now))) })
		for _, y := range s.voters { // whoever lost its state asks to be taken in
			if y != x && !y.stopped && s.Now >= x.hearsTo && s.Now >= y.saysTo && s.bug != sameID {
				s.send(x, x.v.Replace(x.clock.read(s.Now), clusterconfig.Member{Name: y.name, ID: y.v.ID()}))
			}
		}
	}
}

func (s *sim) delay() clusterconfig.Micros {
	switch s.random.IntN(20) {
	case 0:
		return -1
	case 1:
		return clusterconfig.Micros(s.random.IntN(400_000))
	}
	return clusterconfig.Micros(200 + s.random.IntN(5000))
}

func (s *sim) renew(h *simHolder) {
	s.After(clusterconfig.Micros(50_000+s.random.IntN(60_000)), func() { s.renew(h) })
	if h.stopped || s.Now < h.cutTo {
		return
	}
	r := h.Renew(h.clock.read(s.Now))
	for _, x := range s.voters {
		if d := s.delay(); d >= 0 {
			s.After(d, func() {
				s.at(x, func() {
					g := x.v.Renewed(x.clock.read(s.Now), r)
					if d := s.delay(); g != nil && d >= 0 && s.Now >= h.cutTo {
						s.After(d, func() {
							if !h.stopped && s.Now >= h.cutTo {
								h.Granted(h.clock.read(s.Now), *g)
							}
						})
					}
				})
			})
		}
	}
}

// act has a holder take a decision: every value must be below that of the latest version that anybody has acted on.
func (s *sim) act(h *simHolder) {
	s.After(clusterconfig.Micros(1000+s.random.IntN(9000)), func() { s.act(h) })
	if h.stopped {
		return
	}
	v := h.View(h.clock.read(s.Now))
	if !v.Restricted {
		s.acted = max(s.acted, v.Version)
	}
	for _, key := range []string{"limit", "repeat", "zone"} {
		rule, _ := rules(key)
		latest, is := s.docs[s.acted][key]
		if value := v.Value(key); is && !clusterconfig.Below(rule, value, latest) {
			s.breach = fmt.Sprintf("%s: %q at version %d (restricted %v) against %q of version %d", key, value, v.Version, v.Restricted, latest, s.acted)
		}
	}
}

func (s *sim) read(c int, x *simVoter) {
	doc := x.v.Read(x.clock.read(s.Now))
	if s.bug == staleRead && x.v.Leads() {
		doc = x.v.Record().Doc
	}
	if doc != nil {
		s.ops = append(s.ops, porcupine.Operation{ClientId: 1000 + c, Input: input{read: true}, Call: s.Now, Output: output{version: doc.Version}, Return: s.Now + 1})
	}
}

type input struct {
	read     bool
	expected uint64
}

type output struct {
	version uint64
	end     string // taken, refused, unknown
}

// client proposes and reads, one call at a time, at whoever says that it leads.
func (s *sim) client(c int) {
	next := func() { s.After(clusterconfig.Micros(20_000+s.random.IntN(200_000)), func() { s.client(c) }) }
	x := s.voters[s.random.IntN(len(s.voters))]
	if x.stopped || !x.v.Leads() {
		s.After(10_000, func() { s.client(c) })
		return
	}
	now, began := x.clock.read(s.Now), s.Now
	if s.random.IntN(2) == 0 {
		s.read(c, x)
		next()
		return
	}
	expected := x.v.Record().Doc.Version
	if s.random.IntN(4) == 0 && expected > 0 {
		expected--
	}
	changes := []clusterconfig.Change{{Key: "limit", Value: fmt.Sprint(1 + s.random.IntN(200))}, {Key: "repeat", Value: []string{"yes", "no"}[s.random.IntN(2)]}, {Key: "zone", Value: string(rune('a' + s.random.IntN(5)))}}
	over := false
	end := func(out output) {
		if over {
			return
		}
		over = true
		ret := s.Now + 1
		if out.end == "unknown" {
			ret = math.MaxInt64
		}
		if out.end != "" {
			s.ops = append(s.ops, porcupine.Operation{ClientId: c, Input: input{expected: expected}, Call: began, Output: out, Return: ret})
		}
		if out.end == "unknown" {
			c += 2 // its call goes on for ever: the client is another one from now on
		}
		next()
	}
	proposal := clusterconfig.Proposal{Expected: expected, Author: "a", Reason: fmt.Sprint(s.Now), Changes: changes[s.random.IntN(3):]}
	if s.bug == beginsEarly && x.v.begun == "" {
		if e, err := x.v.keeper.Propose(now, proposal); err == nil {
			defer x.v.keeper.Begin(now, e)
		}
	}
	s.at(x, func() {
		s.send(x, x.v.Propose(now, proposal, func(e clusterconfig.Entry, err error) {
			switch {
			case err == nil:
				end(output{e.Version, "taken"})
			case errors.Is(err, clusterconfig.ErrExpected):
				end(output{end: "refused"})
			case errors.Is(err, ErrUnknown):
				end(output{end: "unknown"})
			default:
				end(output{})
			}
		}))
	})
	s.After(3_000_000, func() { end(output{end: "unknown"}) })
	s.open = append(s.open, func() { end(output{end: "unknown"}) })
}

var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, i, o := state.(uint64), in.(input), out.(output)
		switch {
		case i.read:
			return o.version == version, version
		case o.end == "taken":
			return version == i.expected && o.version == version+1, version + 1
		case o.end == "unknown" && version == i.expected:
			return true, version + 1
		case o.end == "refused":
			return version != i.expected, version
		}
		return true, version
	},
	Equal: func(a, b any) bool { return a == b },
}

func (s *sim) fault() {
	if s.Now > s.end {
		return
	}
	s.After(clusterconfig.Micros(200_000+s.random.IntN(1_200_000)), s.fault)
	x, span := s.voters[s.random.IntN(len(s.voters))], clusterconfig.Micros(100_000+s.random.IntN(3_000_000))
	i := s.random.IntN(len(s.holders))
	h := s.holders[i]
	crash := func() { // its calls get no answer any more
		if x.v.leads {
			for hash, done := range x.v.waiters {
				delete(x.v.waiters, hash)
				done(clusterconfig.Entry{}, ErrUnknown)
			}
		}
	}
	switch s.random.IntN(9) {
	case 0:
		x.hearsTo, x.saysTo = s.Now+span, s.Now+span
	case 1:
		x.hearsTo = s.Now + span
	case 2:
		x.saysTo = s.Now + span
	case 3:
		if x.stopped {
			return
		}
		x.stopped = true
		s.After(span, func() {
			x.stopped = false
			waiting := x.waiting
			x.waiting = nil
			s.read(0, x) // it is asked before it hears anything, and hears before its clock ticks
			for _, do := range waiting {
				s.at(x, do)
			}
		})
	case 4:
		crash()
		s.start(x, x.v.ID())
	case 5, 6: // its state is lost, while the others are there
		for _, y := range s.voters { // and the one before it has been taken in again: else a majority is lost, and nothing goes on
			if y.stopped || s.Now < y.hearsTo || s.Now < y.saysTo || len(y.v.conf.GetVotersOutgoing()) > 0 {
				return
			}
			for _, z := range s.voters {
				if y.v.Record().Members[z.name] != z.v.ID() {
					return
				}
			}
		}
		crash()
		s.lost++
		id, memory := DrawID(s.random), NewMemory()
		if s.bug == sameID {
			id, memory = x.v.ID(), formed(s.t, x.v.Record().Members)
		}
		x.store = memory
		s.start(x, id)
	case 7:
		h.stopped = true
		s.After(span, func() { h.stopped = false })
	case 8:
		if h.cutTo = s.Now + span; s.random.IntN(2) == 0 {
			s.restart(h, i)
		}
	}
}

func formed(t *testing.T, members map[string]uint64) Memory {
	t.Helper()
	memory := NewMemory()
	if err := Form(memory, 77, members); err != nil {
		t.Fatal(err)
	}
	return memory
}

// Real voters, holders with drifting clocks, and everything between them late, lost and out of order: nobody acts on what the latest
// version forbids, voters hold the same, and the histories of proposals and reads are linearizable.
func TestCluster(t *testing.T) {
	changes, lost, ops := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+*manySeeds; seed++ {
		s := play(t, uint64(seed), noBug, 20_000_000)
		if s.breach != "" {
			t.Fatalf("seed %d: %s", seed, s.breach)
		}
		if result := porcupine.CheckOperations(register, s.ops); !result {
			t.Fatalf("seed %d: the history is not linearizable: %v", seed, s.ops)
		}
		changes, lost, ops = changes+s.changes, lost+s.lost, ops+len(s.ops)
	}
	t.Logf("%d changes, %d voters replaced, %d calls", changes, lost, ops)
	if changes < 5**manySeeds || lost < *manySeeds/4 {
		t.Errorf("too little happened: %d changes, %d voters lost their state", changes, lost)
	}
}

// Faults that are planted are found.
func TestClusterFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		bug  bug
		name string
	}{{sameID, "a lost identity votes again"}, {staleRead, "a leader reads what it may not know"}, {beginsEarly, "what is not committed is prepared"}} {
		found := ""
		for seed := uint64(0); seed < 150 && found == ""; seed++ {
			func() {
				defer func() { // raft itself sees what can't be
					if r := recover(); r != nil {
						found = fmt.Sprint("raft: ", r)
					}
				}()
				s := play(t, seed, c.bug, 20_000_000)
				if found = s.breach; found == "" && !porcupine.CheckOperations(register, s.ops) {
					found = "not linearizable"
				}
			}()
		}
		if found == "" {
			t.Errorf("%s: not found", c.name)
		} else {
			t.Logf("%s: %s", c.name, strings.SplitN(found, "\n", 2)[0])
		}
	}
}

// Voters lose their state one behind another, as in a rolling restart without disks: each is taken in again, whoever leads.
func TestReplacedOneByOne(t *testing.T) {
	for seed := range uint64(20) {
		s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 0xc1)), docs: map[uint64]map[string]string{0: {}}}
		s.form()
		until := func(what string, is func() bool) {
			for end := s.Now + 20_000_000; !is(); {
				if !s.Step(end) {
					for _, x := range s.voters {
						t.Logf("%s id %x fresh %v: %+v, conf %v, applied %d, leads %v", x.name, x.v.ID(), x.v.Fresh(), x.v.raw.BasicStatus(), x.v.conf, x.v.applied, x.v.Leads())
					}
					t.Fatalf("seed %d: never %s", seed, what)
				}
			}
		}
		leads := func() bool {
			for _, x := range s.voters {
				if x.v.Leads() && x.v.Keeper().Sure(x.clock.read(s.Now)) {
					return true
				}
			}
			return false
		}
		until("led", leads)
		for _, x := range s.voters {
			x.store = NewMemory()
			id := DrawID(s.random)
			s.start(x, id)
			until("taken in", func() bool { return x.v.Record().Members[x.name] == id && len(x.v.conf.GetVotersOutgoing()) == 0 })
			until("led again", leads)
		}
	}
}
