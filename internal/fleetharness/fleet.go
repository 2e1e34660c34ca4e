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

// Streams of the scenario's seed: the second half of a generator's seed keeps the draws of one part apart from those of
// the others. A number is added where there are many of a kind. Other values would give each recorded seed another run.
const (
	brokerSeedStream   = 1
	datagramStream     = 1000
	proposalStream     = 4242
	trafficStream      = 5000
	stepStream         = 9000
	randomLoadStream   = 77
	balancedLoadStream = 78
)

// Fleet is one run: its processes, fakes and links.
type Fleet struct {
	Program string // the daemon

	scenario  *Scenario
	dir       string // the processes' files
	block     int    // the second byte of all addresses
	blockLock net.Listener
	recorder  *recorder

	nodes              []*fakeNode // those that joined later stand behind
	discovery          *fakeDiscovery
	brokers            []*broker // the hollow ones last
	hollowProcesses    []*hollowProcess
	datagramRelays     []*datagramRelay // by broker
	agreementListeners []net.Listener
	partitions         *partitions

	starter chan func() // run by the thread that the processes die with
	closed  atomic.Bool

	mu           sync.Mutex // guards what follows
	random       *rand.Rand
	stepClients  map[int]*trafficClient // of SendRequests, by broker
	restartTimes []time.Duration        // of brokers that were started again, until they answered
}

// New prepares a run: addresses, nodes, discovery and relays. Close ends it.
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

// prepareRelays listens for what brokers send to each other.
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
	for _, relay := range f.datagramRelays { // once all are there, since each sends through the others
		go relay.run()
	}
	return nil
}

// runStarter starts processes until Close. Their parent-death signal is bound to this thread, which is never unlocked:
// it ends with this goroutine, and the processes with it.
func (f *Fleet) runStarter() {
	runtime.LockOSThread()
	for start := range f.starter {
		start()
	}
}

// startOnThread starts a process by the thread that it dies with.
func (f *Fleet) startOnThread(command *exec.Cmd) error {
	started := make(chan error)
	f.starter <- func() { started <- command.Start() }
	return <-started
}

// Start starts all brokers and waits until each answers.
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

// Close ends all processes, fakes and relays, and removes their files.
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
		_ = os.RemoveAll(f.dir) // what is left lies in the system's temporary directory
	}
}

// randomSeed draws a seed for a broker's process.
func (f *Fleet) randomSeed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%x", f.random.Uint64())
}
