package agreement

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
)

// ErrVoterNotListening is returned for a voter that other brokers cannot reach. The text names the setting.
var ErrVoterNotListening = errors.New("agreement.listen: missing, and this broker votes")

// Voter is a broker that votes. The order of its fields is part of sharedOptions.
type Voter struct {
	Name    string
	Address string
}

// Options configures a Service.
type Options struct {
	Name          string // of this broker
	Cluster       string // brokers of another cluster are rejected
	ListenAddress string // where other brokers reach this one; empty: it has no children and cannot vote
	LocalIP       net.IP // from which this broker connects, nil for the system's choice
	Voters        []Voter
	DataDir       string // on a lasting disk, for a voter's raft state; empty: a restarted voter is a new member
	Timing        clusterconfig.Timing
	LimitFloors   map[string]float64 // by plan whose rate limit is replicated: its lowest value, in units a second
	MaxChildren   int                // brokers that attach to this one
	Seed          uint64             // of random pauses and identities
	Now           func() broker.Micros
	Log           *slog.Logger
}

// isVoter reports whether a broker votes.
func (o Options) isVoter(name string) bool {
	return slices.ContainsFunc(o.Voters, func(v Voter) bool { return v.Name == name })
}

// sharedOptions returns the options that all brokers must have set alike, as the text that peers compare. Its format is
// part of the wire: brokers of different builds compare it.
func (o Options) sharedOptions() string {
	return fmt.Sprint(o.Timing, slices.Sorted(maps.Keys(o.LimitFloors)), o.LimitFloors, o.Voters)
}
