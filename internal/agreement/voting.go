package agreement

import (
	"fmt"
	"path/filepath"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
)

// raftFile is the name of a voter's storage file in Options.DataDir.
const raftFile = "agreement.db"

// replaceInterval is the interval at which a leader checks for voters that have lost their state, in microseconds. A
// longer interval would leave the cluster with one voter fewer for longer.
const replaceInterval = 200_000

// voting is the state that only a voter has. The service goroutine owns it.
type voting struct {
	voter         *consensus.Voter
	storage       consensus.Storage
	names         map[uint64]string      // names of voters by raft identity
	outgoing      map[string]*connection // dialed by this voter, by name; raft and upstream messages are sent on them
	incoming      map[string]*connection // dialed by other voters, by name; raft and upstream messages arrive on them
	nextBootstrap clusterconfig.Micros
	nextReplace   clusterconfig.Micros
	leaderSeenAt  clusterconfig.Micros // last time at which a leader was known, initially the start of the voter
}

func newVoting() *voting {
	return &voting{
		names:    map[uint64]string{},
		outgoing: map[string]*connection{},
		incoming: map[string]*connection{},
	}
}

// openVoter starts the voter with its state on disk. Without Options.DataDir or state, the voter gets a new identity.
func (s *Service) openVoter() error {
	id := consensus.RandomID(s.random)
	s.voting.storage = consensus.NewMemoryStorage()
	if s.options.DataDir != "" {
		path := filepath.Join(s.options.DataDir, raftFile)
		disk, storedID, err := consensus.OpenDisk(path, func() uint64 { return id })
		if err != nil {
			return fmt.Errorf("agreement.dir: %w", err)
		}
		s.voting.storage = disk
		id = storedID
	}
	return s.startVoter(id)
}

// startVoter starts the voter with the state in its storage.
func (s *Service) startVoter(id uint64) error {
	options := consensus.Options{ID: id, Timing: s.options.Timing, Schema: s.schema, Logger: s.options.Log}
	voter, err := consensus.New(s.now(), options, s.voting.storage)
	if err != nil {
		return fmt.Errorf("agreement: %w", err)
	}
	s.voting.voter = voter
	s.voting.leaderSeenAt = s.now()
	return nil
}

// isLeader reports whether this broker is the leader.
func (s *Service) isLeader() bool { return s.voting != nil && s.voting.voter.IsLeader() }

// leaderConnection returns the connection to the leader, or nil.
func (v *voting) leaderConnection() *connection {
	leader, _ := v.voter.LeaderAndTerm()
	return v.outgoing[v.names[leader]]
}

// addOutgoing registers a connection that this voter dialed.
func (v *voting) addOutgoing(name string, c *connection) {
	v.outgoing[name] = c
	v.names[c.raftID] = name
}

// addIncoming registers a connection that another voter dialed, and closes an earlier one of the same voter.
func (v *voting) addIncoming(c *connection) {
	if old := v.incoming[c.name]; old != nil {
		old.close()
	}
	v.incoming[c.name] = c
	v.names[c.raftID] = c.name
}

// removeConnection removes a connection that has ended.
func (v *voting) removeConnection(c *connection) {
	for _, connections := range []map[string]*connection{v.outgoing, v.incoming} {
		if connections[c.name] == c {
			delete(connections, c.name)
		}
	}
}

// notifyVoters makes the other voters, and through them all brokers below, renew now.
func (v *voting) notifyVoters() {
	for _, c := range v.incoming {
		c.send(frame{Downstream: &downstreamMessage{Notify: true}})
	}
}

// connectionState describes the connections with another voter for the status.
func (v *voting) connectionState(name string) string {
	out, in := v.outgoing[name] != nil, v.incoming[name] != nil
	switch {
	case out && in:
		return "connected"
	case out || in:
		return "connected one way"
	}
	return "not connected"
}

// receiveRaft handles a raft message from another voter.
func (s *Service) receiveRaft(from *connection, m *raftpb.Message) {
	if s.voting == nil || !from.isVoter {
		return
	}
	s.carryOut(s.voting.voter.Step(s.now(), m))
}

// carryOut performs the effects of a call of the voter: it sends raft messages and, on the leader, notifies brokers of
// a new version.
func (s *Service) carryOut(e consensus.Effects) {
	for _, m := range e.Messages {
		c := s.voting.outgoing[s.voting.names[m.GetTo()]]
		if c == nil {
			continue // raft repeats messages that it needs
		}
		data, err := proto.Marshal(m)
		if err != nil {
			s.options.Log.Error("raft message not encoded", "reason", err)
			continue
		}
		c.send(frame{Raft: data})
	}
	if e.Changed && s.isLeader() {
		s.notify(s.now())
	}
	if leader, _ := s.voting.voter.LeaderAndTerm(); leader > 0 {
		s.voting.leaderSeenAt = s.now()
	}
}

// workAsVoter runs a voter's overdue tasks and returns the time at which it must run again.
func (s *Service) workAsVoter(now clusterconfig.Micros) (next clusterconfig.Micros) {
	v := s.voting
	if now >= v.voter.NextTick() {
		s.carryOut(v.voter.Tick(now))
	}
	next = v.voter.NextTick()
	if now >= v.nextBootstrap {
		v.nextBootstrap = now + bootstrapInterval
		s.maybeBootstrap(now)
	}
	if v.voter.IsLeader() && now >= v.nextReplace {
		v.nextReplace = now + replaceInterval
		s.replaceLostVoters(now)
		s.maybeProposeInitial(now)
	}
	return min(next, v.nextBootstrap)
}

// replaceLostVoters adds voters that have lost their state to the cluster again, under their new raft identities.
func (s *Service) replaceLostVoters(now clusterconfig.Micros) {
	for name, c := range s.voting.incoming {
		id := s.voting.voter.State().Members[name]
		if c.uninitialized && id != c.raftID && !c.closed.Load() {
			m := clusterconfig.Member{Name: name, ID: c.raftID}
			s.carryOut(s.voting.voter.ReplaceMember(now, m))
		}
	}
}
