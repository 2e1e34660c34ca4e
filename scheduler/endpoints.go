package scheduler

import (
	"log/slog"
	"time"
)

// subscribeRetryShare is the first wait before the endpoint list is asked for again, as a part of the poll
// deadline. Higher, a broker that lost its subscription works with an old list for longer; lower, a fleet
// asks the discovery too often after a common loss.
const subscribeRetryShare = 0.25

// endpointWatch keeps the subscription to the endpoint list.
type endpointWatch struct {
	known      bool          // a list has named nodes
	subscribed bool          // and a list has come since the last failure
	retryAt    Time          // not before is it asked for again
	backoff    time.Duration // the wait after that
	updates    uint64        // counts lists
}

// subscribe asks for the endpoint list, and again with exponential backoff and jitter until a list comes.
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

// applyUpdate applies an endpoint list or changes of it. They hold for all decisions from this call of Reduce
// on.
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

// applyEndpoint applies one entry of a list. first says that no earlier list named a node: those of the first
// list count as warm unless it says when they started.
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

// addNode adds a node that was not listed before. One of the first list is taken for warm, any later one has
// just started.
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

// beginSlowStart has the budget of a node that has just started begin below zero by a random part of a
// request, so that the first requests of many brokers don't reach it together. A lone process begins as if it
// had saved for a window already; another process of this broker may have spent that.
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
