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

// defaultSeeds is the minimum number of streams that TestDecisions plays without the balancer.
const defaultSeeds = 10

// record rewrites the recorded decisions. Use it only for a change that is meant to alter decisions, and say so
// in the commit. For a change that must not alter decisions, also compare 80 seeds with recordings that the
// version before the change made in a separate folder.
var (
	record     = flag.Bool("record", false, "record the decisions of this version")
	moreSeeds  = flag.Int("seeds", defaultSeeds, "number of streams to play, if above the default")
	recordings = flag.String("recordings", "testdata", "folder of the recorded decisions")
)

// seedCount returns the number of seeds. The flag -seeds can only raise it. Some tests use a fraction of the seeds.
func seedCount() uint64 { return uint64(max(defaultSeeds, *moreSeeds)) }

// decisionStream plays a seeded stream of events against a scheduler and hashes all its actions. The stream
// reacts to the actions like a deployment. Its nodes have random speeds, pause, reject attempts and break
// connections. Some volumes have surges. Nodes drain and are replaced, settings change, peers send messages,
// clients disconnect, and the scheduler restarts. The order of the random draws is part of the recorded
// decisions.
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
	freeAt    map[string]scheduler.Time // when the node has served all its requests

	lastID   uint64
	open     map[uint64]bool // requests without a final answer
	attempts map[uint64]int

	surge      int // volume with more requests than usual
	surgeUntil scheduler.Time

	sum      hash.Hash64
	forwards int
	rejects  int
}

// decisions is the result of a stream.
type decisions struct {
	hash     uint64
	forwards int
	rejects  int
}

// playDecisions plays a stream with or without the balancer. With oneNode each shard has a single node.
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

// newEndpoint returns a new node of a shard with a random zone and speed.
func (d *decisionStream) newEndpoint(shard int) scheduler.Endpoint {
	d.lastNode++
	zone := string(rune('a' + d.rng.IntN(2)))
	endpoint := scheduler.Endpoint{Name: fmt.Sprint("n", d.lastNode), Shard: shard, Zone: zone}
	d.speeds[endpoint.Name] = time.Duration(1+d.rng.IntN(20)) * ms
	return endpoint
}

// start starts or restarts the scheduler.
func (d *decisionStream) start() {
	d.t.Helper()
	d.scheduler = newScheduler(d.t, d.settings, d.seed)
	d.events = nil
	update := d.fullUpdate()
	update.Version = 1
	d.schedule(0, update)
}

// fullUpdate returns a full list of the current nodes.
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

// reduce passes events to the scheduler, and hashes and carries out the resulting actions.
func (d *decisionStream) reduce(events ...scheduler.Event) {
	for _, action := range d.scheduler.Reduce(d.now, events) {
		_, _ = fmt.Fprintf(d.sum, "%d %s\n", d.now, actionText(d.t, action)) // a hash accepts any bytes
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

// drawEnd schedules the random end of an attempt.
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

// drawPause returns a random time until the next event. It occasionally starts a surge.
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

// drawEvent generates a random external event, in most cases a request.
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

// replaceNode drains a random node, adds a replacement, and later removes the drained node.
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

// firstClientLeaves disconnects the client of the open request with the lowest id.
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

// The decisions of each stream must equal the recorded decisions. decisions.txt was recorded without the balancer,
// decisions-balanced.txt with it. See the flag -record.
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
				t.Errorf("seed %d: %d requests forwarded, want at least 100", seed, d.forwards)
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
		t.Fatalf("%s: %d streams played, want %d as recorded", path, len(lines), len(want))
	}
	for i, line := range lines {
		if line != want[i] {
			t.Errorf("%s: seed, hash, forwards and rejections are %s, want %s as recorded", path, line, want[i])
		}
	}
}

// If each shard has one node, the balancer must not change any decision.
func TestOneNodeDecisionsWithoutBalancer(t *testing.T) {
	for seed := range seedCount() / 3 {
		without := playDecisions(t, seed, true, true)
		with := playDecisions(t, seed, false, true)
		if with.hash != without.hash || with.forwards < 100 {
			t.Errorf("seed %d: with the balancer %+v, want the hash of %+v and 100 forwards", seed, with, without)
		}
	}
}
