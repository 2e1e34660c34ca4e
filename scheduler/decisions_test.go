package scheduler_test

import (
	"container/heap"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// defaultSeeds is how many streams are always played.
const defaultSeeds = 10

// record has the decisions recorded anew: only where a change of them is meant, and the commit says so. A
// change that is meant to leave decisions alone is compared over 80 seeds besides, recorded by the version
// before it into a folder of their own.
var (
	record     = flag.Bool("record", false, "record the decisions of this version")
	moreSeeds  = flag.Int("seeds", defaultSeeds, "streams to play; no fewer than the usual")
	recordings = flag.String("recordings", "testdata", "folder of the recorded decisions")
)

// seedCount is how many streams are played: -seeds only raises it.
func seedCount() uint64 { return uint64(max(defaultSeeds, *moreSeeds)) }

// decisionStream plays a seeded stream against a scheduler and hashes all its actions. The stream reacts to
// the actions as a deployment would: nodes of random speeds with pauses, rejections and broken connections;
// surges of some volumes; nodes that drain and are replaced, new settings, peers' messages, clients that
// leave, and restarts. The order of its draws is part of what is recorded.
type decisionStream struct {
	t         testing.TB
	seed      uint64
	rng       *rand.Rand
	settings  scheduler.Settings
	scheduler *scheduler.Scheduler
	now       scheduler.Time
	events    timedQueue
	sequence  int

	shards    int
	endpoints []scheduler.Endpoint
	lastNode  int
	speeds    map[string]time.Duration
	freeAt    map[string]scheduler.Time // when a node has served what it got

	lastID   uint64
	open     map[uint64]bool // requests without a final answer
	attempts map[uint64]int

	surge      int // volume with more requests than usual
	surgeUntil scheduler.Time

	sum      hash.Hash64
	forwards int
	rejects  int
}

// decisions is what a stream gave.
type decisions struct {
	hash     uint64
	forwards int
	rejects  int
}

// playDecisions plays a stream without or with the balancer. With oneNode each shard has a single node.
func playDecisions(t testing.TB, seed uint64, balancerDisabled, oneNode bool) decisions {
	t.Helper()
	d := newDecisionStream(t, seed, balancerDisabled, oneNode)
	d.start()
	rate := 20 * float64(len(d.endpoints)) // requests a second
	next := d.now
	for end := d.now + 6*second; d.now < end; {
		if len(d.events) > 0 && d.events[0].at <= next {
			d.now = d.events[0].at
			d.reduce(d.dueEvents()...)
			continue
		}
		d.now = next
		next = d.now + d.drawPause(rate)
		d.drawEvent()
	}
	return decisions{d.sum.Sum64(), d.forwards, d.rejects}
}

func newDecisionStream(t testing.TB, seed uint64, balancerDisabled, oneNode bool) *decisionStream {
	t.Helper()
	d := &decisionStream{
		t:        t,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 0xdec1)),
		settings: basicSettings(),
		now:      100 * second,
		speeds:   map[string]time.Duration{},
		freeAt:   map[string]scheduler.Time{},
		open:     map[uint64]bool{},
		attempts: map[uint64]int{},
		sum:      fnv.New64a(),
	}
	d.surgeUntil = d.now
	if seed%2 == 1 {
		d.settings = randomSettings(d.rng)
	}
	d.settings.Ordinal = 0
	d.settings.Subscribe = false
	d.settings.Balancer.Disabled = balancerDisabled
	d.settings.Brokers = 1 + d.rng.IntN(4)
	d.settings.Capabilities.Peers = true
	d.settings.Capabilities.RetryAfter = d.rng.IntN(2) == 0
	d.settings.Capabilities.Cancel = true
	d.shards = 1 + d.rng.IntN(30)
	d.endpoints = make([]scheduler.Endpoint, min(60, d.shards+d.rng.IntN(d.shards+1)))
	if oneNode {
		d.endpoints = d.endpoints[:d.shards]
	}
	for i := range d.endpoints {
		d.endpoints[i] = d.newEndpoint(i % d.shards)
	}
	return d
}

// newEndpoint draws a node of a shard.
func (d *decisionStream) newEndpoint(shard int) scheduler.Endpoint {
	d.lastNode++
	zone := string(rune('a' + d.rng.IntN(2)))
	endpoint := scheduler.Endpoint{Name: fmt.Sprint("n", d.lastNode), Shard: shard, Zone: zone}
	d.speeds[endpoint.Name] = time.Duration(1+d.rng.IntN(20)) * ms
	return endpoint
}

// start starts the scheduler, also anew.
func (d *decisionStream) start() {
	d.t.Helper()
	d.scheduler = newScheduler(d.t, d.settings, d.seed)
	d.events = nil
	update := d.fullUpdate()
	update.Version = 1
	d.schedule(0, update)
}

// fullUpdate lists the nodes as they are now.
func (d *decisionStream) fullUpdate() scheduler.EndpointUpdate {
	return fullUpdate(append([]scheduler.Endpoint(nil), d.endpoints...)...)
}

func (d *decisionStream) schedule(after time.Duration, event scheduler.Event) {
	d.sequence++
	heap.Push(&d.events, timedEvent{d.now + after, d.sequence, 0, event})
}

func (d *decisionStream) dueEvents() (events []scheduler.Event) {
	for len(d.events) > 0 && d.events[0].at <= d.now {
		events = append(events, heap.Pop(&d.events).(timedEvent).event)
	}
	return events
}

// reduce gives events to the scheduler, and hashes and carries out its actions.
func (d *decisionStream) reduce(events ...scheduler.Event) {
	for _, action := range d.scheduler.Reduce(d.now, events) {
		_, _ = fmt.Fprintf(d.sum, "%d %s\n", d.now, actionText(d.t, action)) // a hash takes all
		switch a := action.(type) {
		case scheduler.SetTimer:
			d.schedule(a.After, scheduler.TimerFired{Token: a.Token})
		case scheduler.Reject:
			d.rejects++
			delete(d.open, a.ID)
		case scheduler.Fail:
			delete(d.open, a.ID)
		case scheduler.Forward:
			d.forwards++
			d.drawEnd(a)
		case scheduler.SendToPeer:
			if d.rng.IntN(2) == 0 {
				d.schedule(time.Duration(d.rng.IntN(20))*ms, scheduler.PeerMessage{
					From: (d.settings.Ordinal + 1) % d.settings.Brokers, Data: a.Data,
				})
			}
		}
	}
}

// drawEnd draws how and when an attempt ends.
func (d *decisionStream) drawEnd(a scheduler.Forward) {
	service := time.Duration(float64(d.speeds[a.Node]) * (0.5 + d.rng.Float64()))
	d.freeAt[a.Node] = max(d.freeAt[a.Node], d.now) + service
	if d.rng.IntN(200) == 0 {
		d.freeAt[a.Node] += 200 * ms // the node pauses
	}
	outcome := scheduler.Success
	switch d.rng.IntN(60) {
	case 0:
		outcome = scheduler.Overloaded
	case 1:
		outcome = scheduler.Unreachable
	case 2:
		outcome = scheduler.ConnectionBroken
	}
	latency := d.freeAt[a.Node] - d.now
	if a.Timeout > 0 && latency > a.Timeout {
		latency, outcome = a.Timeout, scheduler.TimedOut
	}
	finished := outcome == scheduler.Success || !d.open[a.ID]
	if outcome == scheduler.Success {
		delete(d.open, a.ID)
	}
	d.schedule(latency, scheduler.AttemptEnded{
		ID: a.ID, Attempt: d.attempts[a.ID], Node: a.Node, Outcome: outcome, Latency: latency,
		Finished: finished, RateUsed: d.rng.IntN(200), Load: scheduler.NoLoadReport,
	})
	d.attempts[a.ID]++
}

// drawPause draws the time to the next event; now and then a surge begins.
func (d *decisionStream) drawPause(rate float64) time.Duration {
	if d.now >= d.surgeUntil && d.rng.IntN(400) == 0 {
		d.surge = d.rng.IntN(40)
		d.surgeUntil = d.now + time.Duration(d.rng.IntN(1500))*ms
	}
	if d.now < d.surgeUntil {
		rate *= 4
	}
	return time.Duration(d.rng.ExpFloat64() / rate * float64(second))
}

// drawEvent draws what comes from outside, mostly a request.
func (d *decisionStream) drawEvent() {
	switch k := d.rng.IntN(2000); {
	case k == 0:
		d.replaceNode()
	case k == 1:
		d.reduce(d.fullUpdate())
	case k == 2:
		d.settings.Plans[0].ReservedRate = 1 + float64(d.rng.IntN(30))
		d.reduce(scheduler.SettingsChanged{Settings: d.settings})
	case k == 3 && d.seed%5 == 0:
		d.start()
		clear(d.open)
	case k < 40:
		d.firstClientLeaves()
	default:
		d.drawRequest()
	}
}

// replaceNode has a node drain, and another take its place.
func (d *decisionStream) replaceNode() {
	i := d.rng.IntN(len(d.endpoints))
	draining := d.endpoints[i]
	draining.State = scheduler.Draining
	d.endpoints[i] = d.newEndpoint(draining.Shard)
	d.endpoints[i].StartedAt = d.now
	removed := draining
	removed.State = scheduler.Removed
	d.schedule(time.Duration(d.rng.IntN(2000))*ms, deltaUpdate(removed))
	d.reduce(deltaUpdate(draining, d.endpoints[i]))
}

// firstClientLeaves has the client of the open request with the lowest id leave.
func (d *decisionStream) firstClientLeaves() {
	if len(d.open) == 0 {
		return
	}
	first := d.lastID
	for id := range d.open {
		first = min(first, id)
	}
	delete(d.open, first)
	d.reduce(scheduler.ClientGone{ID: first})
}

func (d *decisionStream) drawRequest() {
	d.lastID++
	volume := d.rng.IntN(40)
	if d.now < d.surgeUntil && d.rng.IntN(3) > 0 {
		volume = d.surge
	}
	class := d.settings.Classes[d.rng.IntN(len(d.settings.Classes))]
	d.open[d.lastID] = true
	d.reduce(scheduler.Request{
		ID: d.lastID, Class: class.Name, Plan: d.settings.Plans[volume%len(d.settings.Plans)].Name,
		Volume: fmt.Sprint("v", volume), Key: fmt.Sprint("k", d.rng.IntN(500)), Units: float64(1 + d.rng.IntN(8)),
		Shard: d.rng.IntN(d.shards), Brokers: 1 + volume%d.settings.Brokers, Remaining: class.Deadline,
		Retry: d.rng.IntN(20) == 0,
	})
}

// Golden test: the decisions of simulated days equal the recorded ones. Record them anew (-record) only for a change
// that is meant to alter decisions. decisions.txt is with the balancer off.
func TestDecisions(t *testing.T) {
	for name, balancerDisabled := range map[string]bool{"decisions.txt": true, "decisions-balanced.txt": false} {
		count := seedCount()
		if !balancerDisabled {
			count /= 2
		}
		var lines []string
		for seed := range count {
			d := playDecisions(t, seed, balancerDisabled, false)
			if d.forwards < 100 {
				t.Errorf("seed %d: %d forwards", seed, d.forwards)
			}
			lines = append(lines, fmt.Sprintf("%d %016x %d %d", seed, d.hash, d.forwards, d.rejects))
		}
		path := filepath.Join(*recordings, name)
		if *record {
			recordLines(t, path, lines)
		} else {
			compareLines(t, path, lines)
		}
	}
}

func recordLines(t *testing.T, path string, lines []string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

func compareLines(t *testing.T, path string, lines []string) {
	t.Helper()
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(recorded), "\n"), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%s: %d streams played, %d recorded", path, len(lines), len(want))
	}
	for i, line := range lines {
		if line != want[i] {
			t.Errorf("%s: seed, hash, forwards, rejections: %s, recorded %s", path, line, want[i])
		}
	}
}

// Where each shard has one node, the balancer changes no decision.
func TestOneNodeDecisionsWithoutBalancer(t *testing.T) {
	for seed := range seedCount() / 3 {
		without := playDecisions(t, seed, true, true)
		with := playDecisions(t, seed, false, true)
		if with.hash != without.hash || with.forwards < 100 {
			t.Errorf("seed %d: %+v, without the balancer %+v", seed, with, without)
		}
	}
}
