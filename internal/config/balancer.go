package config

import (
	"fmt"

	"junctionwharf/balancer"
)

const (
	// maxSubsetSize is the upper bound of spread.nodes. No shard has more replicas.
	maxSubsetSize = 10_000
	// maxEjectedShare is the upper bound of spread.away. With a larger value, outlier detection could eject almost a
	// whole shard.
	maxEjectedShare = 0.9
	// maxTrialShare is the upper bound of spread.trial. With a larger value, an unresponsive node would still receive
	// more than a quarter of its requests.
	maxTrialShare = 0.25
)

// Balancer configures the load balancing over the replicas of a shard. It has no effect on a shard with one node.
type Balancer struct {
	Disabled        bool    `toml:"off"`
	SubsetSize      int     `toml:"nodes"`    // subset size of a broker with few requests; 0: the balancer's default
	MaxEjectedShare float64 `toml:"away"`     // maximum part of a shard's weight that is ejected; 0: the default
	TrialShare      float64 `toml:"trial"`    // part of its weight that an unresponsive node keeps; 0: the default
	NoGossip        bool    `toml:"no_peers"` // disables gossip about unresponsive nodes
}

func (b Balancer) check() error {
	switch {
	case b.SubsetSize < 0 || b.SubsetSize > maxSubsetSize:
		return fmt.Errorf("nodes: %d is not within 0 to %d", b.SubsetSize, maxSubsetSize)
	case !(b.MaxEjectedShare >= 0 && b.MaxEjectedShare <= maxEjectedShare):
		return fmt.Errorf("away: %v is not within 0 to %v", b.MaxEjectedShare, maxEjectedShare)
	case !(b.TrialShare >= 0 && b.TrialShare <= maxTrialShare):
		return fmt.Errorf("trial: %v is not within 0 to %v", b.TrialShare, maxTrialShare)
	}
	return nil
}

// Options returns the balancer options for the broker with the given name.
func (b Balancer) Options(name string) balancer.Options {
	return balancer.Options{
		Disabled:        b.Disabled,
		SubsetSize:      b.SubsetSize,
		MaxEjectedShare: b.MaxEjectedShare,
		TrialShare:      b.TrialShare,
		NoGossip:        b.NoGossip,
		Name:            name,
	}
}
