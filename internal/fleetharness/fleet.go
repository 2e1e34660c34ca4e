package fleetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Streams of the scenario's seed. A stream is the second half of a generator's seed and keeps the generators
// independent of each other. Where there are several generators of a kind, a number is added to the stream. Other
// values would change the runs of all recorded seeds.
const (
	brokerSeedStream   = 1
	datagramStream     = 1000
	proposalStream     = 4242
	trafficStream      = 5000
	stepStream         = 9000
	randomLoadStream   = 77
	balancedLoadStream = 78
)

// Fleet is one run of a scenario with its processes, fakes and links.
type Fleet struct {
	Program string // path of the daemon

	scenario  *Scenario
	dir       string // directory of the processes' files
	block     int    // second byte of all addresses
	blockLock net.Listener
	recorder  *recorder

	nodes              []*fakeNode // nodes that join later are appended
	discovery          *fakeDiscovery
	brokers            []*broker // full brokers first, then hollow brokers
	hollowProcesses    []*hollowProcess
	datagramRelays     []*datagramRelay // by broker
	agreementListeners []net.Listener
	partitions         *partitions

	starter chan func() // functions for the thread whose end kills the processes
	closed  atomic.Bool

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	stepClients  map[int]*trafficClient // clients of SendRequests, by broker
	restartTimes []time.Duration        // from each broker's restart until its first answer
}

// New prepares a run: it allocates addresses and starts nodes, discovery and relays. The caller must call Close.
func New(program string, scenario *Scenario) (*Fleet, error) {
	own := *scenario
	own.Events = slices.Clone(scenario.Events)
	if err := own.Validate(); err != nil {
		return nil, err
	}
	own.drawTargets()
	f := &Fleet{
		Program:     program,
		scenario:    &own,
		recorder:    newRecorder(own.Seed),
		partitions:  newPartitions(),
		starter:     make(chan func()),
		random:      rand.New(rand.NewPCG(own.Seed, brokerSeedStream)),
		stepClients: map[int]*trafficClient{},
	}
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() (err error) {
	f.dir, err = os.MkdirTemp("", "fleetharness")
	if err != nil {
		return err
	}
	go f.runStarter()
	f.block, f.blockLock, err = acquireBlock()
	if err != nil {
		return err
	}
	for i := range f.scenario.Node.Count {
		node, err := newNode(f, i, i%f.scenario.Shards, nodeName(i))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	f.discovery, err = newDiscovery(f)
	if err != nil {
		return err
	}
	for i := range f.scenario.totalBrokers() {
		f.brokers = append(f.brokers, &broker{number: i, address: f.address(brokerNet, i, clientPort)})
	}
	return f.prepareRelays()
}

// prepareRelays starts the relays between brokers.
func (f *Fleet) prepareRelays() error {
	for i := range f.brokers {
		if f.scenario.Agreement.Voters == 0 {
			break
		}
		listener, err := f.listenAgreementRelay(i)
		if err != nil {
			return err
		}
		f.agreementListeners = append(f.agreementListeners, listener)
	}
	if !f.scenario.Peers {
		return nil
	}
	for i := range f.brokers {
		relay, err := newDatagramRelay(f, i)
		if err != nil {
			return err
		}
		f.datagramRelays = append(f.datagramRelays, relay)
	}
	for _, relay := range f.datagramRelays { // only after all are created, since each sends through the others
		go relay.run()
	}
	return nil
}

// runStarter starts processes until Close. The parent-death signal of the processes is bound to this thread. The thread
// is never unlocked, so it ends with this goroutine, and the processes are killed.
func (f *Fleet) runStarter() {
	runtime.LockOSThread()
	for start := range f.starter {
		start()
	}
}

// startOnThread starts a process on the thread of runStarter.
func (f *Fleet) startOnThread(command *exec.Cmd) error {
	started := make(chan error)
	f.starter <- func() { started <- command.Start() }
	return <-started
}

// Start starts all brokers and waits until each broker answers. If there are hollow brokers, it also waits until all
// brokers have their configuration.
func (f *Fleet) Start(ctx context.Context) error {
	fullBrokers := f.brokers[:f.scenario.Brokers]
	for _, b := range fullBrokers {
		if err := f.startBroker(b, nil); err != nil {
			return err
		}
	}
	if err := f.startHollowBrokers(); err != nil {
		return err
	}
	for _, b := range fullBrokers {
		if err := f.awaitReady(ctx, b); err != nil {
			return err
		}
	}
	if f.scenario.Hollow.Brokers > 0 {
		return f.awaitAllConfigured(ctx)
	}
	return nil
}

// Close kills all processes, stops fakes and relays, and removes the processes' files.
func (f *Fleet) Close() {
	f.closed.Store(true)
	for _, b := range f.brokers {
		b.kill()
	}
	for _, p := range f.hollowProcesses {
		<-p.done
	}
	for _, n := range f.nodes {
		n.close()
	}
	if f.discovery != nil {
		_ = f.discovery.server.Close()
	}
	for _, relay := range f.datagramRelays {
		_ = relay.conn.Close()
	}
	for _, listener := range f.agreementListeners {
		_ = listener.Close()
	}
	f.partitions.close()
	if f.blockLock != nil {
		_ = f.blockLock.Close()
	}
	if f.starter != nil {
		close(f.starter)
		f.starter = nil
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir) // on failure, files stay in the system's temporary directory
	}
}

// randomSeed draws a seed for a broker process.
func (f *Fleet) randomSeed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%x", f.random.Uint64())
}
