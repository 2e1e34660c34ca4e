package agreement

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

// Log messages that the fleet harness and operators' tools match by their text.
const (
	// LogConfigurationApplied is logged when the core applies another view.
	LogConfigurationApplied = "configuration applied"
	// LogBootstrapped is logged by each voter of a new cluster.
	LogBootstrapped = "cluster bootstrapped"
)

const (
	// renewalsPerLease is the minimum number of renewals within the duration of a lease. With fewer renewals, the loss
	// of two would let a lease expire. More renewals would cost more messages.
	renewalsPerLease = 4
	// renewalSpread limits the random reduction of a renewal interval to 1/renewalSpread of the interval. The reduction
	// keeps brokers from renewing at the same time.
	renewalSpread = 5
	// maxQueuedCalls is the maximum length of the service goroutine's queue of functions. While the queue is full,
	// Service.do blocks, and so no frames are read from connections.
	maxQueuedCalls = 4096
	// callsPerWakeup limits the queued functions that run between two checks of the timers. Without the limit, a flood
	// of them would delay raft's clock.
	callsPerWakeup = 64
)

// Service runs a broker's part in the cluster configuration.
type Service struct {
	options       Options
	sharedOptions string
	schema        clusterconfig.Schema
	listener      net.Listener // nil without a listen address
	calls         chan func()  // functions that the service goroutine has to run
	done          chan struct{}
	wake          func() // makes the core take a turn
	post          func(broker.Event)
	config        *configuration // has its own lock
	traffic       trafficCounters
	voterMetrics  voterMetrics

	// The service goroutine owns the fields below.
	random       *rand.Rand
	voting       *voting // nil on a broker that does not vote
	tree         tree
	batch        batch
	pendingCalls pendingCalls
	proposals    proposals
	nextRenewal  clusterconfig.Micros
}

// New returns a service that listens if it has a listen address. Run starts its work. post sends events to the core,
// and wake makes the core take a turn.
func New(o Options, settings scheduler.Settings, post func(broker.Event), wake func()) (*Service, error) {
	random := rand.New(rand.NewPCG(o.Seed, uint64(time.Now().UnixNano())))
	s := &Service{
		options:       o,
		sharedOptions: o.sharedOptions(),
		schema:        newSchema(o.LimitFloors),
		calls:         make(chan func(), maxQueuedCalls),
		done:          make(chan struct{}),
		wake:          wake,
		post:          post,
		random:        random,
		tree:          newTree(),
		proposals:     newProposals(),
	}
	holder := clusterconfig.NewLeaseHolder(o.Name, random.Uint64(), o.Timing, s.schema)
	s.config = newConfiguration(o, settings, holder)
	s.pendingCalls = newPendingCalls(random)
	if o.isVoter(o.Name) {
		if o.ListenAddress == "" {
			return nil, ErrVoterNotListening
		}
		s.voting = newVoting()
		if err := s.openVoter(); err != nil {
			return nil, err
		}
	}
	if o.ListenAddress != "" {
		listener, err := net.Listen("tcp", o.ListenAddress)
		if err != nil {
			s.closeStorage()
			return nil, fmt.Errorf("agreement.listen: %w", err)
		}
		s.listener = listener
	}
	return s, nil
}

func (s *Service) now() clusterconfig.Micros { return clusterconfig.Micros(s.options.Now()) }

// ConfigChanges returns the events that the core must apply before it makes decisions, nil for none. The core calls it
// at the start of each turn, with the time of the turn.
func (s *Service) ConfigChanges(at broker.Micros) []broker.Event {
	return s.config.changes(clusterconfig.Micros(at))
}

// SettingsChanged applies the settings of a file that was read again, which are of a new generation. The service
// proposes its values for replicated keys. All other settings apply from the next turn. Any goroutine may call it.
func (s *Service) SettingsChanged(settings scheduler.Settings, generation uint64) {
	s.config.setSettings(settings, generation)
	s.wake()
	s.do(func() { s.proposals.settingsChanged = true })
}

// HandleEndpoints receives the events of discovery or membership in place of the core. It applies the replicated drains
// to endpoint updates, and posts all events to the core. Any goroutine may call it.
func (s *Service) HandleEndpoints(e broker.Event) {
	update, ok := e.(broker.NodesListed)
	if !ok {
		s.post(e)
		return
	}
	result := s.config.overlay(update)
	s.post(result.update)
	if len(result.drain)+len(result.undrain) > 0 {
		s.do(func() { s.addDrains(result.drain, result.undrain) })
	}
}

// do adds a function to the service goroutine's queue. It blocks while the queue is full. After the end of Run, the
// function may never run.
func (s *Service) do(call func()) {
	select {
	case s.calls <- call:
	case <-s.done:
	}
}

// Run does the work of the service until ctx ends. The calling goroutine becomes the service goroutine. Before Run
// returns, it closes all established connections, which ends their goroutines, and waits for the goroutines that accept
// and dial. A connection in its handshake ends with the handshake, possibly after Run has returned.
func (s *Service) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer func() {
		close(s.done)
		stop()
		s.closeConnections()
		wait.Wait()
		s.closeStorage()
	}()
	s.startConnecting(ctx, &wait)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.calls:
			call()
			s.runQueuedCalls()
		case <-timer.C:
		}
		timer.Reset(time.Duration(max(0, s.work()-s.now())) * time.Microsecond)
	}
}

// startConnecting starts the goroutines that accept and dial connections. They end with ctx and the listener.
func (s *Service) startConnecting(ctx context.Context, wait *sync.WaitGroup) {
	if s.listener != nil {
		wait.Go(s.acceptLoop)
	}
	if s.voting == nil {
		wait.Go(func() { s.keepParentConnected(ctx) })
		return
	}
	for _, voter := range s.options.Voters {
		if voter.Name != s.options.Name {
			wait.Go(func() { s.keepVoterConnected(ctx, voter) })
		}
	}
}

// runQueuedCalls runs queued functions, at most callsPerWakeup of them.
func (s *Service) runQueuedCalls() {
	for range callsPerWakeup {
		select {
		case call := <-s.calls:
			call()
		default:
			return
		}
	}
}

func (s *Service) closeConnections() {
	if s.listener != nil {
		_ = s.listener.Close() // an error has no consequence here
	}
	for _, c := range s.connections() {
		c.close()
	}
}

func (s *Service) closeStorage() {
	if s.voting == nil {
		return
	}
	if err := s.voting.storage.Close(); err != nil {
		s.options.Log.Warn("storage not closed", "reason", err)
	}
}

// connections returns all established connections.
func (s *Service) connections() []*connection {
	connections := slices.Collect(maps.Values(s.tree.children))
	if s.voting != nil {
		connections = slices.AppendSeq(connections, maps.Values(s.voting.outgoing))
		connections = slices.AppendSeq(connections, maps.Values(s.voting.incoming))
	}
	if s.tree.parent != nil {
		connections = append(connections, s.tree.parent)
	}
	return connections
}

// work runs the overdue tasks and returns the time at which it must run again.
func (s *Service) work() (next clusterconfig.Micros) {
	now := s.now()
	if now >= s.nextRenewal {
		s.renew(now)
	}
	next = s.nextRenewal
	if s.voting != nil {
		next = min(next, s.workAsVoter(now))
		s.voterMetrics.update(now, s.voting)
	}
	s.maybePropose(now)
	if s.batch.due(now) {
		s.flushBatch()
	}
	if s.batch.flushAt > 0 {
		next = min(next, s.batch.flushAt)
	}
	s.leaveSilentParent(now)
	return next
}

// renew sends a renewal and schedules the next one.
func (s *Service) renew(now clusterconfig.Micros) {
	interval := s.options.Timing.Lease / renewalsPerLease
	s.nextRenewal = now + interval - clusterconfig.Micros(s.random.Int64N(interval/renewalSpread+1))
	r := s.config.renew(now)
	s.sendUpstream(upstreamMessage{Renewals: []clusterconfig.Renewal{r}})
	s.tree.expireRoutes(now)
}

// leaveSilentParent closes the connection to a parent if no grant has arrived within parentSilence leases. The parent
// may be cut off from the leader, or be part of a cycle that was created after this broker attached.
func (s *Service) leaveSilentParent(now clusterconfig.Micros) {
	parent := s.tree.parent
	if parent == nil || now-s.tree.lastGrant <= parentSilence*s.options.Timing.Lease {
		return
	}
	s.tree.lastGrant = now
	parent.close()
}
