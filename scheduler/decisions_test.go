package scheduler_test

import (
	"container/heap"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// decisionSeeds is how many streams are always played.
const decisionSeeds = 10

// record has the decisions written anew: only where a change of them is meant, and the commit says so. A
// change that is meant to leave decisions alone is compared over 80 seeds besides, recorded by the version
// before it into a folder of their own.
var (
	record     = flag.Bool("record", false, "record the decisions of this version")
	moreSeeds  = flag.Int("seeds", decisionSeeds, "streams to play; no fewer than the usual")
	recordings = flag.String("recordings", "testdata", "folder in which the recorded decisions lie")
)

// seeds is how many streams are played: -seeds only raises it.
func seeds() uint64 { return uint64(max(decisionSeeds, *moreSeeds)) }

// decisionsOf plays a seeded stream against a gateway and returns a hash of all its actions. The stream
// reacts to the actions as a deployment would: nodes of drawn speeds with pauses, full rooms and cuts; surges
// of some volumes; drains, replaced nodes, new settings, peers' messages, clients that leave, and restarts.
func decisionsOf(t testing.TB, seed uint64, off, single bool) (hash uint64, sends, refusals int) {
	rng := rand.New(rand.NewPCG(seed, 0xdec1))
	set := plain()
	if seed%2 == 1 {
		set = hostileSettings(rng) // all kinds of classes, limits, budgets
	}
	set.Ordinal, set.Subscribe, set.Balancer.Disabled = 0, false, off
	set.Brokers, set.Capabilities.Peers, set.Capabilities.RetryAfter, set.Capabilities.Cancel = 1+rng.IntN(4), true, rng.IntN(2) == 0, true
	sum := fnv.New64a()
	var q fleetQueue
	now := 100 * second
	count, id := 0, uint64(0)
	later := func(after time.Duration, e scheduler.Event) {
		count++
		heap.Push(&q, fleetEvent{now + after, count, 0, e})
	}
	shards := 1 + rng.IntN(30)
	nodes := make([]scheduler.Endpoint, min(60, shards+rng.IntN(shards+1)))
	if single {
		nodes = nodes[:shards]
	}
	speed, freeAt := map[string]time.Duration{}, map[string]scheduler.Time{}
	name := 0
	fresh := func(shard int) scheduler.Endpoint {
		name++
		n := scheduler.Endpoint{Name: fmt.Sprint("n", name), Shard: shard, Zone: string(rune('a' + rng.IntN(2)))}
		speed[n.Name] = time.Duration(1+rng.IntN(20)) * ms
		return n
	}
	for i := range nodes {
		nodes[i] = fresh(i % shards)
	}
	var g *scheduler.Scheduler
	begin := func() {
		var err error
		if g, err = scheduler.New(set, seed); err != nil {
			t.Fatal(err)
		}
		q = nil
		later(0, scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Version: 1, Endpoints: append([]scheduler.Endpoint(nil), nodes...)})
	}
	begin()
	open := map[uint64]time.Duration{}
	attempts := map[uint64]int{}
	step := func(events ...scheduler.Event) {
		for _, action := range g.Reduce(now, events) {
			_, _ = fmt.Fprintf(sum, "%d %s\n", now, actionText(t, action))
			switch a := action.(type) {
			case scheduler.SetTimer:
				later(a.After, scheduler.TimerFired{Token: a.Token})
			case scheduler.Reject:
				refusals++
				delete(open, a.ID)
			case scheduler.Fail:
				delete(open, a.ID)
			case scheduler.Forward:
				sends++
				freeAt[a.Node] = max(freeAt[a.Node], now) + time.Duration(float64(speed[a.Node])*(0.5+rng.Float64()))
				if rng.IntN(200) == 0 {
					freeAt[a.Node] += 200 * ms
				}
				outcome := scheduler.Success
				switch rng.IntN(60) {
				case 0:
					outcome = scheduler.Overloaded
				case 1:
					outcome = scheduler.Unreachable
				case 2:
					outcome = scheduler.ConnectionBroken
				}
				took := freeAt[a.Node] - now
				if a.Timeout > 0 && took > a.Timeout {
					took, outcome = a.Timeout, scheduler.TimedOut
				}
				_, waits := open[a.ID]
				if outcome == scheduler.Success {
					delete(open, a.ID)
				}
				later(took, scheduler.AttemptEnded{ID: a.ID, Attempt: attempts[a.ID], Node: a.Node, Outcome: outcome, Latency: took,
					Finished: outcome == scheduler.Success || !waits, RateUsed: rng.IntN(200), Load: scheduler.NoLoadReport})
				attempts[a.ID]++
			case scheduler.SendToPeer:
				if rng.IntN(2) == 0 {
					later(time.Duration(rng.IntN(20))*ms, scheduler.PeerMessage{From: (set.Ordinal + 1) % set.Brokers, Data: a.Data})
				}
			}
		}
	}
	surge, surgeTill := 0, now
	rate := 20 * float64(len(nodes))
	next := now
	for end := now + 6*second; now < end; {
		if len(q) > 0 && q[0].at <= next {
			now = q[0].at
			var events []scheduler.Event
			for len(q) > 0 && q[0].at <= now {
				events = append(events, heap.Pop(&q).(fleetEvent).event)
			}
			step(events...)
			continue
		}
		now = next
		if now >= surgeTill && rng.IntN(400) == 0 {
			surge, surgeTill = rng.IntN(40), now+time.Duration(rng.IntN(1500))*ms
		}
		pace := rate
		if now < surgeTill {
			pace *= 4
		}
		next = now + time.Duration(rng.ExpFloat64()/pace*float64(second))
		switch k := rng.IntN(2000); {
		case k == 0: // a node drains, and another takes its place
			i := rng.IntN(len(nodes))
			old := nodes[i]
			old.State = scheduler.Draining
			nodes[i] = fresh(old.Shard)
			nodes[i].StartedAt = now
			gone := old
			gone.State = scheduler.Removed
			later(time.Duration(rng.IntN(2000))*ms, scheduler.EndpointUpdate{Kind: scheduler.DeltaUpdate, Endpoints: []scheduler.Endpoint{gone}})
			step(scheduler.EndpointUpdate{Kind: scheduler.DeltaUpdate, Endpoints: []scheduler.Endpoint{old, nodes[i]}})
		case k == 1:
			step(scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: append([]scheduler.Endpoint(nil), nodes...)})
		case k == 2:
			set.Plans[0].ReservedRate = 1 + float64(rng.IntN(30))
			step(scheduler.SettingsChanged{Settings: set})
		case k == 3 && seed%5 == 0:
			begin()
			clear(open)
		case k < 40:
			for one := range open { // the lowest id, whatever the map's order
				for other := range open {
					one = min(one, other)
				}
				delete(open, one)
				step(scheduler.ClientGone{ID: one})
				break
			}
		default:
			id++
			volume := rng.IntN(40)
			if now < surgeTill && rng.IntN(3) > 0 {
				volume = surge
			}
			class := set.Classes[rng.IntN(len(set.Classes))]
			open[id] = class.Deadline
			step(scheduler.Request{ID: id, Class: class.Name, Plan: set.Plans[volume%len(set.Plans)].Name, Volume: fmt.Sprint("v", volume), Key: fmt.Sprint("k", rng.IntN(500)),
				Units: float64(1 + rng.IntN(8)), Shard: rng.IntN(shards), Brokers: 1 + volume%set.Brokers, Remaining: class.Deadline, Retry: rng.IntN(20) == 0})
		}
	}
	return sum.Sum64(), sends, refusals
}

// The decisions are those that were recorded: a change that is meant to leave them alone does. With spreading
// off they are those of the version before it.
func TestDecisions(t *testing.T) {
	for name, off := range map[string]bool{"decisions.txt": true, "decisions-spread.txt": false} {
		path := filepath.Join(*recordings, name)
		var lines []string
		count := seeds()
		if !off {
			count /= 2
		}
		for seed := range count {
			hash, sends, refusals := decisionsOf(t, seed, off, false)
			if sends < 100 {
				t.Errorf("seed %d: %d sends", seed, sends)
			}
			lines = append(lines, fmt.Sprintf("%d %016x %d %d", seed, hash, sends, refusals))
		}
		if *record {
			if err := os.MkdirAll(*recordings, 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
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
				t.Errorf("%s: seed, hash, sends, refusals: %s, recorded %s", name, line, want[i])
			}
		}
	}
}

// Where each shard has one node, as on the platform, spreading changes no decision.
func TestOneNodeIsAsBefore(t *testing.T) {
	for seed := range seeds() / 3 {
		before, sends, _ := decisionsOf(t, seed, true, true)
		if now, _, _ := decisionsOf(t, seed, false, true); now != before || sends < 100 {
			t.Errorf("seed %d: %016x, %016x without spreading, %d sends", seed, now, before, sends)
		}
	}
}
