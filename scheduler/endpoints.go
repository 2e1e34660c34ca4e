package scheduler

import (
	"log/slog"
	"time"
)

// subscribeRetryShare is the first wait before the subscription to the endpoint list is retried, as a
// fraction of the poll deadline. With a larger value a broker that lost its subscription uses a stale list
// for longer. With a smaller value a fleet that lost all subscriptions at once sends too many requests to
// discovery.
const subscribeRetryShare = 0.25

// endpointWatch is the state of the subscription to the endpoint list.
type endpointWatch struct {
	known      bool          // an update has named nodes
	subscribed bool          // an update other than a cached one has arrived since the last failure
	retryAt    Time          // earliest time of the next subscription attempt
	backoff    time.Duration // minimum wait after the next subscription attempt
	updates    uint64        // number of updates received, without failures
}

// subscribe requests the endpoint list if no subscription exists. Until an update arrives, it retries with
// exponential backoff and jitter.
func (s *Scheduler) subscribe() {
	watch := &s.endpoints
	if !s.settings.Subscribe || watch.subscribed || s.now < watch.retryAt {
		return
	}
	s.emit(WatchEndpoints{On: true})
	deadline := s.settings.Rules.PollDeadline
	wait := max(watch.backoff, time.Duration(subscribeRetryShare*float64(deadline)), s.tickPeriod)
	watch.backoff = min(2*wait, max(deadline, wait))
	watch.retryAt = s.now + wait + time.Duration(s.rng.Float64()*float64(wait)/2)
}

// applyUpdate applies an endpoint list or a change of the list. The update affects all later decisions of the
// same call of Reduce.
func (s *Scheduler) applyUpdate(e EndpointUpdate) {
	watch := &s.endpoints
	if e.Kind == FailedUpdate {
		s.log(messageUpdateFailed)
		watch.subscribed = false
		return
	}
	if e.Kind != CachedUpdate {
		watch.subscribed = true
		watch.backoff = 0
	}
	s.scans.generation++
	watch.updates++
	s.nodes.recount = true
	first := !watch.known
	watch.known = watch.known || len(e.Endpoints) > 0
	for _, endpoint := range e.Endpoints {
		s.applyEndpoint(endpoint, first)
	}
	if e.Kind == DeltaUpdate {
		return
	}
	for _, n := range s.nodes.list {
		if n.listedGeneration != s.scans.generation {
			n.state = Removed
		}
	}
}

// applyEndpoint applies one entry of an endpoint update. first reports that no earlier update named a node. A
// node warms up if the entry has a later start time than before, or if the node was removed and is ready
// again. A node of the first update is therefore treated as warm unless its entry has a start time.
func (s *Scheduler) applyEndpoint(endpoint Endpoint, first bool) {
	n := s.nodes.byName[endpoint.Name]
	if n == nil {
		n = s.addNode(endpoint, first)
	}
	if endpoint.StartedAt > n.StartedAt || n.state == Removed && endpoint.State == Ready {
		n.limit.value = limitInitial
		n.slowStart.warmingUp = true
		n.slowStart.startedAt = s.now
		if endpoint.StartedAt > 0 {
			n.slowStart.startedAt = min(endpoint.StartedAt, s.now)
		}
	}
	s.beginSlowStart(n)
	n.Endpoint = endpoint
	n.state = endpoint.State
	n.listedGeneration = s.scans.generation
	if endpoint.State != Ready {
		s.log(messageNodeLeaves, slog.String("node", endpoint.Name))
	}
}

// addNode adds a node that was not listed before. It treats a node of the first update as warm, and a node of
// a later update as just started.
func (s *Scheduler) addNode(endpoint Endpoint, first bool) *node {
	n := &node{sequence: s.nodes.seen}
	n.limit.value = limitInitial
	n.health.lastAnswer = s.now
	n.slowStart.startedAt = s.now
	n.slowStart.warmingUp = !first
	s.nodes.seen++
	s.nodes.byName[endpoint.Name] = n
	s.nodes.list = append(s.nodes.list, n)
	s.shardByID(endpoint.Shard).addNode(n)
	return n
}

// beginSlowStart sets the initial budget of a node that has just started. The budget begins below zero by a
// random fraction of a request, so that the first requests of many brokers do not arrive at the node
// together. If this is the only process of the broker, the budget begins as if it had already been refilled
// for one overload window. Otherwise another process may already have spent the budget of that window.
func (s *Scheduler) beginSlowStart(n *node) {
	window := s.settings.Rules.OverloadWindow
	if !n.slowStart.warmingUp || n.slowStart.refilledAt >= n.slowStart.startedAt-window {
		return
	}
	jitter := s.rng.Float64() * (1 - 1/float64(s.settings.Brokers))
	n.slowStart.tokens = -jitter * s.settings.MeanUnits
	n.slowStart.refilledAt = s.now
	if s.processes.known == 1 {
		n.slowStart.refilledAt -= window
	}
}
