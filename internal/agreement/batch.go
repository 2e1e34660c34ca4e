package agreement

import (
	"time"

	"junctionwharf/clusterconfig"
)

const (
	// batchDelay is how long what goes upstream waits for more. Longer would delay each phase of a change by that at
	// every level of the tree, shorter would send more frames.
	batchDelay = 15 * time.Millisecond
	// maxBatchCalls bounds the operator calls in a batch, as well as the calls and changes that one broker has open.
	maxBatchCalls = 64
)

// batch collects what goes upstream. The service goroutine owns it.
type batch struct {
	message upstreamMessage
	flushAt clusterconfig.Micros // 0 for an empty batch
}

func (b *batch) empty() bool {
	return len(b.message.Renewals)+len(b.message.Calls)+len(b.message.Documents) == 0
}

// add takes a message, or drops it if the batch is full: all in it is sent again.
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

// sendUpstream has a message go towards the leader: to this broker itself if it leads.
func (s *Service) sendUpstream(m upstreamMessage) {
	if s.isLeader() {
		s.handleAsLeader(m)
		return
	}
	s.batch.add(m, s.now())
}

// flushBatch sends the batch to the leader, or to the parent. Without one it is dropped: all in it is sent again.
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

// receiveUpstream takes a message from below, and notes by which way answers go.
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

// handleAsLeader answers what comes to the leader.
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
