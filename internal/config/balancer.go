package config

import (
	"fmt"

	"junctionwharf/balancer"
)

const (
	// maxSubsetSize bounds spread.nodes: no shard has more replicas.
	maxSubsetSize = 10_000
	// maxEjectedShare bounds spread.away. Higher, outlier detection could take almost a whole shard out of use.
	maxEjectedShare = 0.9
	// maxTrialShare bounds spread.trial. Higher, an unresponsive node would keep a quarter of its requests.
	maxTrialShare = 0.25
)

// Balancer is how load is balanced over the replicas of a shard; a shard with one node is not affected.
type Balancer struct {
	Disabled        bool    `toml:"off"`
	SubsetSize      int     `toml:"nodes"`    // of a shard, for a broker with few requests; 0: the balancer's default
	MaxEjectedShare float64 `toml:"away"`     // the part of a shard's weight that outliers may lose; 0: the default
	TrialShare      float64 `toml:"trial"`    // the part of its weight that an unresponsive node keeps; 0: the default
	NoGossip        bool    `toml:"no_peers"` // unresponsive nodes are not gossiped
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

// Options are those of the balancer of a broker with a name.
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
