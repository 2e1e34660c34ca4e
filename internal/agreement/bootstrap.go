package agreement

import (
	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
)

// In microseconds.
const (
	// bootstrapInterval is how often a voter looks whether a cluster is to be bootstrapped. Longer would delay the
	// first start of a cluster.
	bootstrapInterval = 100_000
	// bootstrapTimeout is for how long a bootstrapped cluster may be without its first leader. After that, voters that
	// took part are gone, and the others start over. Shorter than a few elections would start over needlessly.
	bootstrapTimeout = 5_000_000
)

// maybeBootstrap has voters without any state start a new cluster, once all of them are there and none has any: a voter
// that has state may be part of a cluster that goes on. The first by name speaks for all.
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

// bootstrapMembers returns the identities of all voters, if this one is to bootstrap the cluster.
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

// receiveBootstrap takes the message of the voter that bootstraps the cluster.
func (s *Service) receiveBootstrap(from *connection, m *bootstrapMessage) {
	if s.voting != nil && from.isVoter {
		s.bootstrap(m)
	}
}

// bootstrap starts the voter as a member of a new cluster, unless the message is meant for an earlier identity.
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

// startOver gives the voter another identity, without state.
func (s *Service) startOver() {
	if err := s.voting.storage.Destroy(); err != nil {
		s.options.Log.Error("old state not removed", "reason", err)
		return
	}
	if err := s.openVoter(); err != nil {
		s.options.Log.Error("storage not opened", "reason", err)
		return
	}
	for _, c := range s.connections() { // a new handshake tells others the new identity
		c.close()
	}
}
