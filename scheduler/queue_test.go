package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// classNames are the names of the classes of queueSettings.
var classNames = []string{"read", "bulk", "write"}

// A scan that skips requests that cannot have become forwardable must make the same decisions as a scan of the whole
// queue. The queues are filled by volumes without tokens. Requests arrive with earlier and later soft deadlines than
// the queued requests, and clients of requests in the middle of the queue disconnect.
func TestIncrementalScanEqualsFullScan(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 7))
		m := newSimulation(t, queueSettings(), seed)
		m.serviceTime = time.Duration(1+rng.IntN(12)) * time.Millisecond
		shards := 1 + rng.IntN(4)
		m.listNodes(shards+rng.IntN(shards+1), shards)
		id := uint64(0)
		interval := time.Duration(200+rng.IntN(2000)) * time.Microsecond
		for end := m.now + 2*time.Second; m.now < end; {
			m.runUntil(m.now + time.Duration(rng.Int64N(int64(2*interval))))
			id++
			plan, volume := "small", "greedy"
			if rng.IntN(10) == 0 {
				volume = fmt.Sprint("v", rng.IntN(20))
				plan = []string{"small", "large"}[len(volume)%2]
			}
			class := m.scheduler.settings.Classes[rng.IntN(3)]
			m.step(Request{
				ID: id, Class: class.Name, Plan: plan, Volume: volume, Units: float64(1 + rng.IntN(8)),
				Shard: rng.IntN(shards), Brokers: 1, Remaining: class.Deadline,
			})
			if rng.IntN(20) == 0 {
				m.step(ClientGone{ID: 1 + rng.Uint64N(id)})
			}
		}
		if m.maxQueued < 20 {
			t.Errorf("seed %d: at most %d requests were queued, want at least 20", seed, m.maxQueued)
		}
	}
}

// 100,000 queued requests reach their soft deadline at the same time. Each must receive exactly one answer within the
// next tick. A queue that shifted all other requests for each request that left took seconds.
func TestAllDueAtOnce(t *testing.T) {
	m := newSimulation(t, queueSettings(), 1)
	m.reference = nil // the reference would scan the whole queue in every step
	m.fillQueue(100_000, nil)
	m.runUntil(m.now + 140*time.Millisecond)
	if len(m.answers) > 0 {
		t.Fatalf("%d answers before the latency objective has passed, want 0", len(m.answers))
	}
	m.runUntil(m.now + 40*time.Millisecond) // the latency objective and a tick
	total := 0
	for id, count := range m.answers {
		total += count
		if count != 1 {
			t.Fatalf("request %d got %d answers, want 1", id, count)
		}
	}
	if total != 100_000 {
		t.Errorf("%d answers, want 100,000", total)
	}
}

// The clients of all queued requests disconnect in random order. No request must be answered, forwarded or remembered.
func TestAllClientsLeave(t *testing.T) {
	m := newSimulation(t, queueSettings(), 1)
	m.fillQueue(1500, func(i int, r *Request) { r.Class = classNames[i%3] })
	for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(1500) {
		m.step(ClientGone{ID: uint64(i + 1)})
	}
	m.listNodes(3, 1)
	m.runUntil(m.now + time.Second)
	if kept := len(m.scheduler.requests); len(m.answers)+len(m.forwards)+kept > 0 {
		t.Errorf("%d answers, %d forwards, %d requests remembered, want 0", len(m.answers), len(m.forwards), kept)
	}
}

// A node returns while 10,000 requests are queued. It must never receive more requests at once than its limit, nor more
// units than its slow-start budget while it is warming up.
func TestNodeReturnsToLongQueue(t *testing.T) {
	settings := queueSettings()
	settings.SlowStartUnits = 41
	settings.Rules.WarmUpTime = 17 * time.Second
	settings.Rules.OverloadWindow = 3 * time.Second
	settings.Rules.OverloadMultiple = 4
	settings.Rules.InitialCapacity = 0.18
	m := newSimulation(t, settings, 1)
	endpoint := m.listNodes(1, 1)[0]
	endpoint.State = Removed
	m.step(EndpointUpdate{Kind: DeltaUpdate, Version: 2, Endpoints: []Endpoint{endpoint}})
	m.fillQueue(10_000, func(_ int, r *Request) { r.Class, r.Remaining = "bulk", 2500*time.Millisecond })
	start := m.now
	endpoint.State = Ready
	endpoint.StartedAt = m.now
	m.step(EndpointUpdate{Kind: DeltaUpdate, Version: 3, Endpoints: []Endpoint{endpoint}})
	for m.now < start+2400*time.Millisecond {
		m.runUntil(m.now + 5*time.Millisecond)
		n := m.scheduler.nodes.byName["n0"]
		if float64(n.inFlight) > max(1, n.limit.value) {
			t.Fatalf("%d attempts in flight, want at most the limit of %.1f", n.inFlight, n.limit.value)
		}
		if tokens := n.slowStart.tokens; tokens < 0 {
			t.Fatalf("%.1f units sent beyond the slow-start budget", -tokens)
		}
	}
	if len(m.forwards) == 0 {
		t.Error("no request was forwarded")
	}
	m.runUntil(m.now + time.Second)
	if len(m.answers)+len(m.forwards) < 10_000 {
		t.Errorf("%d requests answered, %d forwarded, want at least 10,000 together", len(m.answers), len(m.forwards))
	}
}

// The clock stands still for a while and then jumps by a second, the classes of queued requests are removed from the
// settings, and ids are used again. Each request must be answered once, or be forwarded and not answered.
func TestClockJumpsAndClassesVanish(t *testing.T) {
	m := newSimulation(t, queueSettings(), 1)
	m.listNodes(2, 1)
	m.fillQueue(3000, func(i int, r *Request) { r.Class = classNames[i%3] })
	for range 100 {
		m.step()
	}
	fewer := queueSettings()
	fewer.Classes, fewer.Plans = fewer.Classes[1:2], fewer.Plans[:1]
	m.step(SettingsChanged{Settings: fewer})
	queued := uint64(0) // id of a queued request: a new request with this id must be ignored
	for id, r := range m.scheduler.requests {
		if r.queuedAt != nil && (queued == 0 || id < queued) {
			queued = id
		}
	}
	again := Request{
		ID: queued, Class: "bulk", Plan: "small", Volume: "other", Units: 1, Brokers: 1, Remaining: time.Second,
	}
	m.step(again)
	m.now += time.Second
	m.step()
	m.runUntil(m.now + 3*time.Second)
	for id := uint64(1); id <= 3000; id++ {
		if m.answers[id]+min(1, m.forwards[id]) != 1 && m.answers[id] != 1 {
			t.Fatalf("request %d has %d answers and %d forwards, want 1 answer, or 0 answers and a forward",
				id, m.answers[id], m.forwards[id])
		}
	}
	if len(m.scheduler.requests) > 0 {
		t.Errorf("%d requests are remembered, want 0", len(m.scheduler.requests))
	}
	again.ID, again.Volume = 1, "new" // the earlier request with this id has ended
	m.step(again)
	if m.scheduler.requests[1] == nil {
		t.Error("a request is ignored although the earlier request with its id has ended")
	}
}
