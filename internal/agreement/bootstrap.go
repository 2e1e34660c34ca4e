package agreement

import (
	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
)

// Durations in microseconds.
const (
	// bootstrapInterval is the interval at which a voter checks whether it has to bootstrap a cluster. A longer
	// interval would delay the first start of a cluster.
	bootstrapInterval = 100_000
	// bootstrapTimeout is how long a new cluster may be without its first leader. After that, this voter assumes that
	// some of the voters were not bootstrapped or have lost their state, and starts over. A timeout shorter than a few
	// elections would make voters start over needlessly.
	bootstrapTimeout = 5_000_000
)

// maybeBootstrap starts a new cluster if all voters are connected and none of them has state: a voter with state may be
// a member of an existing cluster. The voter whose name sorts first bootstraps the cluster for all. A voter whose
// cluster has not elected its first leader within bootstrapTimeout starts over.
func (s *Service) maybeBootstrap(now clusterconfig.Micros) {
	v := s.voting
	if !v.voter.Uninitialized() {
		if !v.voter.LeaderElected() && now-v.leaderSeenAt > bootstrapTimeout {
			s.options.Log.Warn("bootstrap incomplete, starting over")
			s.startOver()
		}
		return
	}
	members, ok := s.bootstrapMembers()
	if !ok {
		return
	}
	m := &bootstrapMessage{Epoch: consensus.RandomID(s.random), Members: members}
	for _, c := range v.outgoing {
		c.send(frame{Bootstrap: m})
	}
	s.bootstrap(m)
}

// bootstrapMembers returns the raft identities of all voters by name. ok is false if this voter's name does not sort
// first, or if not all voters are connected and without state.
func (s *Service) bootstrapMembers() (members map[string]uint64, ok bool) {
	members = map[string]uint64{s.options.Name: s.voting.voter.ID()}
	for _, voter := range s.options.Voters {
		if voter.Name == s.options.Name {
			continue
		}
		c := s.voting.outgoing[voter.Name]
		if c == nil || !c.uninitialized || c.closed.Load() || voter.Name < s.options.Name {
			return nil, false
		}
		members[voter.Name] = c.raftID
	}
	return members, true
}

// receiveBootstrap handles a bootstrap message from another voter.
func (s *Service) receiveBootstrap(from *connection, m *bootstrapMessage) {
	if s.voting != nil && from.isVoter {
		s.bootstrap(m)
	}
}

// bootstrap starts this voter as a member of a new cluster. It ignores the message if this voter has state already, or
// if the message names another raft identity for this voter or another number of voters.
func (s *Service) bootstrap(m *bootstrapMessage) {
	v := s.voting
	forThisIdentity := m.Members[s.options.Name] == v.voter.ID()
	if !v.voter.Uninitialized() || !forThisIdentity || len(m.Members) != len(s.options.Voters) {
		return
	}
	err := consensus.Bootstrap(v.storage, m.Epoch, m.Members)
	if err == nil {
		err = s.startVoter(v.voter.ID())
	}
	if err != nil {
		s.options.Log.Error("bootstrap failed", "reason", err)
		return
	}
	s.options.Log.Info(LogBootstrapped, "epoch", m.Epoch, "voters", len(m.Members))
}

// startOver deletes the voter's state and starts the voter with a new raft identity.
func (s *Service) startOver() {
	if err := s.voting.storage.Destroy(); err != nil {
		s.options.Log.Error("old state not removed", "reason", err)
		return
	}
	if err := s.openVoter(); err != nil {
		s.options.Log.Error("storage not opened", "reason", err)
		return
	}
	for _, c := range s.connections() { // new connections announce the new identity in their handshakes
		c.close()
	}
}
