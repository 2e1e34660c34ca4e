package config

import (
	"errors"
	"fmt"
	"os"

	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

const (
	// defaultBoundMS is, in milliseconds, how long brokers that are cut off may hold up a change; half of it is their
	// lease. Higher, an operator waits longer for a change during an outage; lower, a short loss of messages restricts
	// brokers to the safe values.
	defaultBoundMS = 2000
	// minBoundMS, in milliseconds, keeps a lease above the usual delays of a machine. Lower, a busy broker is
	// restricted though nothing failed.
	minBoundMS = 400
	// maxBoundMS is in milliseconds. Higher, one broker that is cut off would hold up a change for minutes.
	maxBoundMS = 60_000
	// defaultMaxChildren is the fan-out of the tree over which a configuration spreads. Higher, a parent has more to
	// send; lower, the tree is deeper and a change takes longer to reach all brokers.
	defaultMaxChildren = 16
	// minMaxChildren is the least fan-out of a tree: with one child each it would be a chain.
	minMaxChildren = 2
	// maxMaxChildren bounds the connections of a parent. Higher, they take sockets from clients.
	maxMaxChildren = 256
	// minVoters is the least number of which a quorum outlives one. Lower, one restart stops all changes.
	minVoters = 3
	// maxVoters bounds the cost of a change, each of which goes to all voters. Higher, changes take longer, though no
	// deployment loses more than three voters at once.
	maxVoters = 7
)

// Agreement is how brokers agree on a replicated, versioned configuration. It is off without a cluster.
type Agreement struct {
	Cluster     string  `toml:"cluster"`  // its name: brokers of another are rejected
	Listen      string  `toml:"listen"`   // of this broker; empty: it has no children and cannot vote
	Members     []Voter `toml:"members"`  // the brokers that vote, the same for all
	Dir         string  `toml:"dir"`      // a voter's state, on a lasting disk; empty: a restarted voter is a new one
	BoundMS     float64 `toml:"bound_ms"` // how long brokers that are cut off may delay a change; half of it is a lease
	MaxChildren int     `toml:"feeds"`    // brokers that get the configuration from this one
	// Limits are the plans whose rate limit is agreed on, with the figure below which it cannot be set, and on which
	// brokers without a lease act.
	Limits map[string]float64 `toml:"limits"`
}

// Voter is a broker that votes.
type Voter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Enabled reports whether there is anything to agree on.
func (a Agreement) Enabled() bool {
	return a.Cluster != ""
}

// Timing is the lease, and how far clocks may drift apart meanwhile.
func (a Agreement) Timing() clusterconfig.Timing {
	lease := a.BoundMS * microsPerMilli / 2
	return clusterconfig.Timing{Lease: int64(lease), DriftPPM: clusterconfig.DefaultTiming.DriftPPM}
}

func (a *Agreement) complete(set scheduler.Settings) error {
	if !a.Enabled() {
		return a.checkUnset()
	}
	if a.BoundMS == 0 {
		a.BoundMS = defaultBoundMS
	}
	if a.MaxChildren == 0 {
		a.MaxChildren = defaultMaxChildren
	}
	if err := checkAddress(a.Listen, false); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := a.checkFigures(); err != nil {
		return err
	}
	if err := a.checkMembers(); err != nil {
		return err
	}
	if err := a.checkDir(); err != nil {
		return err
	}
	return a.checkLimits(set)
}

// checkUnset guards against a cluster's name that was lost: the other keys would silently have no effect.
func (a *Agreement) checkUnset() error {
	set := a.Listen != "" || a.Dir != "" || a.BoundMS != 0 || a.MaxChildren != 0
	if set || len(a.Members) > 0 || len(a.Limits) > 0 {
		return errors.New("cluster: missing, though other keys are there")
	}
	return nil
}

func (a *Agreement) checkFigures() error {
	voters := len(a.Members)
	switch {
	case voters < minVoters || voters > maxVoters || voters%2 == 0:
		return fmt.Errorf("members: %d, 3, 5 or 7 are wanted", voters)
	case !(a.BoundMS >= minBoundMS && a.BoundMS <= maxBoundMS):
		return fmt.Errorf("bound_ms: %v is not within %d to %d", a.BoundMS, minBoundMS, maxBoundMS)
	case a.MaxChildren < minMaxChildren || a.MaxChildren > maxMaxChildren:
		return fmt.Errorf("feeds: %d is not within %d to %d", a.MaxChildren, minMaxChildren, maxMaxChildren)
	}
	return nil
}

func (a *Agreement) checkMembers() error {
	seen := map[string]bool{}
	for i, member := range a.Members {
		if err := checkAddress(member.Address, true); err != nil {
			return fmt.Errorf("members[%d].address: %w", i, err)
		}
		if member.Name == "" || seen[member.Name] {
			return fmt.Errorf("members[%d].name: %q is missing or stands twice", i, member.Name)
		}
		seen[member.Name] = true
	}
	return nil
}

func (a *Agreement) checkDir() error {
	if a.Dir == "" {
		return nil
	}
	if info, err := os.Stat(a.Dir); err != nil || !info.IsDir() {
		return fmt.Errorf("dir: %q is no directory", a.Dir)
	}
	return nil
}

func (a *Agreement) checkLimits(set scheduler.Settings) error {
	plans := map[string]scheduler.Plan{}
	for _, plan := range set.Plans {
		plans[plan.Name] = plan
	}
	for name, floor := range a.Limits {
		plan, known := plans[name]
		if !known {
			return fmt.Errorf("limits.%s: no such plan", name)
		}
		if !(floor > 0) || plan.Limit > 0 && floor > plan.Limit {
			return fmt.Errorf("limits.%s: %v is not above 0, or above the plan's limit of %v", name, floor, plan.Limit)
		}
	}
	return nil
}
