package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/members"
	"junctionwharf/scheduler"
)

const (
	// drainService is the name that the measured resolver polls.
	drainService = "_resp._tcp.storage.example.org"
	// maxRemovalPause is the longest time between two removals. It is well below the TTL of the records, so that
	// removals happen at arbitrary times between two polls.
	maxRemovalPause = 40 * time.Millisecond
	// removalTimeout limits the wait until the core is notified of the last removals.
	removalTimeout = 10 * time.Second
	// removalSeed separates these draws from those of other commands with the same seed.
	removalSeed = 0xd
)

func drainsCommand() *cli.Command {
	return &cli.Command{
		Name:  "drains",
		Usage: "measure the time from a node's removal from DNS until the core is notified",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "removals", Value: 1000},
			&cli.IntFlag{Name: "nodes", Value: 200},
			&cli.UintFlag{Name: "ttl", Value: 1, Usage: "TTL of the records, s"},
			&cli.UintFlag{Name: "seed", Value: 1},
		},
		Action: measureDrains,
	}
}

// measureDrains replaces one node at a time, at random times, and measures when the core is notified of each removal.
func measureDrains(ctx context.Context, cmd *cli.Command) error {
	nodes := cmd.Int("nodes")
	removals := cmd.Int("removals")
	ttl := uint32(cmd.Uint("ttl"))
	if nodes < 10 || nodes > 250 || removals < 1 {
		return errors.New("--nodes must be from 10 to 250 and --removals at least 1")
	}
	server, err := fakes.NewDNS(loopback)
	if err != nil {
		return err
	}
	defer server.Close()
	m := &drainMeasurement{
		server:    server,
		ttl:       ttl,
		removedAt: map[string]time.Time{},
		listed:    make(chan struct{}, 1),
	}
	m.addNodes(nodes)
	clients := members.New(broker.NewClock(), m.observe, logging.Discard())
	defer clients.Close()
	if err := clients.ApplySettings(dnsMembership(server.Address())); err != nil {
		return err
	}
	<-m.listed
	random := rand.New(rand.NewPCG(uint64(cmd.Uint("seed")), removalSeed))
	for range removals {
		if err := sleep(ctx, time.Duration(random.Int64N(int64(maxRemovalPause)))); err != nil {
			return err
		}
		m.replaceNode(random.IntN(nodes))
	}
	m.awaitRemovals()
	return m.print(removals, nodes)
}

// dnsMembership returns a configuration that polls the service at one resolver.
func dnsMembership(resolver string) config.Membership {
	shard := 0
	return config.Membership{Sources: []config.EndpointSource{{
		Name:        "dns",
		Kind:        "dns",
		SRV:         drainService,
		Resolvers:   []string{resolver},
		Shard:       &shard,
		QueriesPerS: 1000,
	}}}
}

// drainMeasurement changes the DNS zone and records the notifications that the core would receive.
type drainMeasurement struct {
	server *fakes.DNS
	ttl    uint32
	listed chan struct{} // receives a value after the first endpoint list

	mu        sync.Mutex
	zone      []fakes.SRVRecord
	created   int                  // number of nodes so far, for unique names
	removedAt map[string]time.Time // by node, for removals that the core is not yet notified of
	delays    []time.Duration
}

// addNodes adds nodes to the zone.
func (m *drainMeasurement) addNodes(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range count {
		m.zone = append(m.zone, m.newNode())
	}
	m.server.Set(drainService, m.ttl, m.zone...)
}

// newNode returns a node with a unique name and address. The caller holds m.mu.
func (m *drainMeasurement) newNode() fakes.SRVRecord {
	m.created++
	n := m.created
	return fakes.SRVRecord{
		Target:    fmt.Sprintf("s%d.example.org", n),
		Port:      6379,
		Addresses: []string{fmt.Sprintf("127.%d.%d.%d", 1+n>>16, n>>8&255, n&255)},
	}
}

// replaceNode removes one node from the zone and adds a new one.
func (m *drainMeasurement) replaceNode(index int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removedAt[m.zone[index].Target] = time.Now()
	m.zone[index] = m.newNode()
	m.server.Set(drainService, m.ttl, m.zone...)
}

// observe receives the notifications in place of the core.
func (m *drainMeasurement) observe(event broker.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, node := range event.(broker.NodesListed).Nodes {
		at, waits := m.removedAt[node.Name]
		if waits && node.State == scheduler.Removed {
			m.delays = append(m.delays, time.Since(at))
			delete(m.removedAt, node.Name)
		}
	}
	select {
	case m.listed <- struct{}{}:
	default:
	}
}

// awaitRemovals waits until the core is notified of all removals, or until removalTimeout has passed.
func (m *drainMeasurement) awaitRemovals() {
	for end := time.Now().Add(removalTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		m.mu.Lock()
		left := len(m.removedAt)
		m.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

func (m *drainMeasurement) print(removals, nodes int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delays) == 0 {
		return errors.New("the core was notified of no removal")
	}
	slices.Sort(m.delays)
	last := len(m.delays) - 1
	quantile := func(q float64) time.Duration {
		return m.delays[min(last, int(q*float64(len(m.delays))))].Round(time.Millisecond)
	}
	_, err := fmt.Printf("core notified of %d of %d removals, with %d nodes and a TTL of %d s: "+
		"p50 %v, p99 %v, maximum %v after the zone change\n",
		len(m.delays), removals, nodes, m.ttl, quantile(0.5), quantile(0.99), m.delays[last].Round(time.Millisecond))
	return err
}
