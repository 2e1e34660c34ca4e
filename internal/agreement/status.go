package agreement

import (
	"slices"

	"junctionwharf/clusterconfig"
)

// The values of Status.Role.
const (
	roleLeader   = "leader"
	roleVoter    = "voter"
	roleFollower = "follower"
)

// microsPerMilli converts microseconds to the milliseconds of the console and of metrics.
const microsPerMilli = 1000

// Status describes a broker's part in the cluster configuration. The struct tags are the names on the console.
type Status struct {
	Name           string            `json:"name"`
	Role           string            `json:"role"` // leader, voter or follower
	Epoch          uint64            `json:"epoch"`
	Version        uint64            `json:"version"`
	PendingVersion uint64            `json:"preparing,omitempty"`
	Restricted     bool              `json:"restricted"`
	RestrictedMS   int64             `json:"restricted_ms,omitempty"`
	LeaseLeftMS    int64             `json:"lease_left_ms"`
	Parent         string            `json:"parent,omitempty"`
	Path           []string          `json:"path,omitempty"`
	Children       []string          `json:"children,omitempty"`
	Voters         map[string]string `json:"voters,omitempty"` // state of the connections with each voter, by name
	Leader         string            `json:"leader,omitempty"`
	Term           uint64            `json:"term,omitempty"`
	Fault          string            `json:"fault,omitempty"`  // the error that stopped the voter
	WaitingFor     []string          `json:"waits,omitempty"`  // on the leader: holders that block the pending change
	Lagging        map[string]uint64 `json:"behind,omitempty"` // on the leader: versions of lagging holders, by name
}

// status returns this broker's status. It runs on the service goroutine.
func (s *Service) status() Status {
	now := s.now()
	lease := s.config.leaseState(now)
	status := Status{
		Name:           s.options.Name,
		Role:           roleFollower,
		Epoch:          lease.epoch,
		Version:        lease.view.Version,
		PendingVersion: lease.view.PendingVersion,
		Restricted:     lease.view.Restricted,
		LeaseLeftMS:    lease.remaining / microsPerMilli,
	}
	if lease.view.Restricted {
		status.RestrictedMS = (now - lease.restrictedSince) / microsPerMilli
	}
	if parent := s.tree.parent; parent != nil {
		status.Parent = parent.name
		status.Path = parent.path
	}
	for name := range s.tree.children {
		status.Children = append(status.Children, name)
	}
	slices.Sort(status.Children)
	if s.voting != nil {
		s.addVoterStatus(&status, now)
	}
	return status
}

// addVoterStatus adds the fields that only a voter has.
func (s *Service) addVoterStatus(status *Status, now clusterconfig.Micros) {
	voter := s.voting.voter
	leader, term := voter.LeaderAndTerm()
	status.Role = roleVoter
	status.Leader = s.voting.names[leader]
	status.Term = term
	status.Voters = map[string]string{}
	for _, other := range s.options.Voters {
		status.Voters[other.Name] = "self"
		if other.Name != s.options.Name {
			status.Voters[other.Name] = s.voting.connectionState(other.Name)
		}
	}
	if err := voter.Err(); err != nil {
		status.Fault = err.Error()
	}
	if leader == voter.ID() {
		status.Leader = s.options.Name
	}
	if voter.IsLeader() {
		status.Role = roleLeader
		status.WaitingFor = voter.Lessor().Unprepared(now)
		status.Lagging = voter.Lessor().Lagging(now)
	}
}
