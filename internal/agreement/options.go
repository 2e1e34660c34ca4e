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

// ErrVoterNotListening is returned for a voter without a listen address. The text names the setting.
var ErrVoterNotListening = errors.New("agreement.listen: missing, but this broker is a voter")

// Voter is a broker that votes. The order of its fields is a part of the text that sharedOptions returns.
type Voter struct {
	Name    string
	Address string
}

// Options configures a Service.
type Options struct {
	Name          string // of this broker
	Cluster       string // brokers of another cluster are rejected
	ListenAddress string // at which other brokers connect; empty: this broker has no children and cannot vote
	LocalIP       net.IP // local address of outgoing connections; nil lets the system choose
	Voters        []Voter
	DataDir       string // persistent directory of a voter's raft state; empty: a restarted voter is a new member
	Timing        clusterconfig.Timing
	LimitFloors   map[string]float64 // minimum rate limits in units a second, by plan; other limits are not replicated
	MaxChildren   int                // maximum number of brokers attached to this one
	Seed          uint64             // for random pauses and identities, together with the time of the start
	Now           func() broker.Micros
	Log           *slog.Logger
}

// isVoter reports whether a broker is a voter.
func (o Options) isVoter(name string) bool {
	return slices.ContainsFunc(o.Voters, func(v Voter) bool { return v.Name == name })
}

// sharedOptions returns the options that must be the same on all brokers, as a text that brokers compare in the
// handshake. The format is a part of the wire protocol, because brokers of different builds compare the text.
func (o Options) sharedOptions() string {
	return fmt.Sprint(o.Timing, slices.Sorted(maps.Keys(o.LimitFloors)), o.LimitFloors, o.Voters)
}
