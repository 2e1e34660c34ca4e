package agreement

import (
	"time"

	"junctionwharf/clusterconfig"
)

const (
	// batchDelay is how long a batch waits for more messages before it is sent upstream. A longer delay would prolong
	// each phase of a change by that time at every level of the tree. A shorter delay would send more frames.
	batchDelay = 15 * time.Millisecond
	// maxBatchCalls limits three things. A batch with this many operator calls accepts no further message. A broker
	// has at most this many pending calls, and proposes at most this many drains at once.
	maxBatchCalls = 64
)

// batch collects messages that are sent upstream as one message. The service goroutine owns it.
type batch struct {
	message upstreamMessage
	flushAt clusterconfig.Micros // 0 while the batch is empty
}

func (b *batch) empty() bool {
	return len(b.message.Renewals)+len(b.message.Calls)+len(b.message.Documents) == 0
}

// add appends a message, or drops it if the batch is full. Dropping is safe: renewals, documents and proposals are sent
// again, and an operator's call times out.
func (b *batch) add(m upstreamMessage, now clusterconfig.Micros) {
	if b.empty() {
		b.flushAt = now + batchDelay.Microseconds()
	}
	if len(b.message.Renewals) >= maxRoutes || len(b.message.Calls) >= maxBatchCalls {
		return
	}
	b.message.Renewals = append(b.message.Renewals, m.Renewals...)
	b.message.Calls = append(b.message.Calls, m.Calls...)
	b.message.Documents = append(b.message.Documents, m.Documents...)
}

func (b *batch) due(now clusterconfig.Micros) bool { return b.flushAt > 0 && now >= b.flushAt }

// take empties the batch.
func (b *batch) take() upstreamMessage {
	m := b.message
	*b = batch{}
	return m
}

// sendUpstream adds a message to the batch for the leader. If this broker is the leader, it handles the message itself.
func (s *Service) sendUpstream(m upstreamMessage) {
	if s.isLeader() {
		s.handleAsLeader(m)
		return
	}
	s.batch.add(m, s.now())
}

// flushBatch sends the batch to the parent or, on a voter, to the leader. Without a connection it drops the batch,
// which is safe for the reasons given at add. If this broker has become the leader, it handles the batch itself.
func (s *Service) flushBatch() {
	m := s.batch.take()
	if s.isLeader() {
		s.handleAsLeader(m)
		return
	}
	to := s.tree.parent
	if s.voting != nil {
		to = s.voting.leaderConnection()
	}
	if to != nil {
		to.send(frame{Upstream: &m})
	}
}

// receiveUpstream records the connection of a message from a broker below as the route for the answers, and handles or
// forwards the message.
func (s *Service) receiveUpstream(from *connection, m upstreamMessage) {
	now := s.now()
	for _, r := range m.Renewals {
		s.tree.learnRoute(r.Holder, from, now)
	}
	for _, c := range m.Calls {
		s.tree.learnRoute(c.Broker, from, now)
	}
	s.sendUpstream(m)
}

// handleAsLeader handles an upstream message: it answers renewals, accepts documents, and runs operator calls.
func (s *Service) handleAsLeader(m upstreamMessage) {
	now, voter := s.now(), s.voting.voter
	var grants []*clusterconfig.Grant
	var answer downstreamMessage
	for _, r := range m.Renewals {
		if g := voter.HandleRenewal(now, r); g != nil {
			grants = append(grants, g)
		} else if voter.WantsDocument(r) {
			answer.AdoptFrom = append(answer.AdoptFrom, r.Holder)
		}
	}
	for _, document := range m.Documents {
		voter.OfferDocument(document)
	}
	for _, c := range m.Calls {
		s.answerCall(now, c)
	}
	s.deliver(grants, answer)
	if now >= voter.NextTick() {
		s.carryOut(voter.Tick(now)) // the renewals may allow a pending change to be activated
	}
}
