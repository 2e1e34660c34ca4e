package config

import (
	"errors"
	"fmt"
	"os"

	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

const (
	// defaultBoundMS is the default, in milliseconds, of the maximum time for which disconnected brokers may delay a
	// change. The lease duration is half of it. With a larger value, an operator waits longer for a change during an
	// outage. With a smaller value, a short loss of messages ends leases, and brokers without a lease are restricted to
	// the safest values.
	defaultBoundMS = 2000
	// minBoundMS, in milliseconds, keeps the lease longer than the usual scheduling delays of a machine. With a smaller
	// value, a busy broker would be restricted without any failure.
	minBoundMS = 400
	// maxBoundMS is in milliseconds. With a larger value, one disconnected broker could delay a change for minutes.
	maxBoundMS = 60_000
	// defaultMaxChildren is the default fan-out of the tree that distributes a configuration. With a larger value, a
	// parent has more data to send. With a smaller value, the tree is deeper and a change reaches all brokers later.
	defaultMaxChildren = 16
	// minMaxChildren is the minimum fan-out. With one child per parent the tree would be a chain.
	minMaxChildren = 2
	// maxMaxChildren limits the connections of a parent. With a larger value, children would use sockets that clients
	// need.
	maxMaxChildren = 256
	// minVoters is the smallest number of voters whose quorum survives the loss of one voter. With fewer voters, one
	// restart would block all changes.
	minVoters = 3
	// maxVoters limits the cost of a change, which is sent to all voters. More voters would make changes slower, and no
	// deployment loses more than three voters at once.
	maxVoters = 7
)

// Agreement configures how brokers agree on a replicated, versioned configuration. It is off if Cluster is empty.
type Agreement struct {
	Cluster     string  `toml:"cluster"`  // name of the cluster; brokers of other clusters are rejected
	Listen      string  `toml:"listen"`   // address of this broker; empty: it has no children and cannot vote
	Members     []Voter `toml:"members"`  // the voters, the same list on all brokers
	Dir         string  `toml:"dir"`      // persistent directory of the voter state; empty: it is lost at a restart
	BoundMS     float64 `toml:"bound_ms"` // maximum delay of a change by disconnected brokers; the lease is half of it
	MaxChildren int     `toml:"feeds"`    // maximum number of brokers that receive the configuration from this one
	// Limits maps the name of each plan whose rate limit is agreed on to its limit floor. The rate limit cannot be set
	// below the floor, and brokers without a lease apply the floor.
	Limits map[string]float64 `toml:"limits"`
}

// Voter is a broker that takes part in votes.
type Voter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Enabled reports whether the broker takes part in the agreement.
func (a Agreement) Enabled() bool {
	return a.Cluster != ""
}

// Timing returns the lease duration and the clock drift that is allowed during a lease.
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

// checkUnset detects a missing cluster name. Without this check, the other keys would be silently ignored.
func (a *Agreement) checkUnset() error {
	set := a.Listen != "" || a.Dir != "" || a.BoundMS != 0 || a.MaxChildren != 0
	if set || len(a.Members) > 0 || len(a.Limits) > 0 {
		return errors.New("cluster: missing, but other keys of the section are set")
	}
	return nil
}

func (a *Agreement) checkFigures() error {
	voters := len(a.Members)
	switch {
	case voters < minVoters || voters > maxVoters || voters%2 == 0:
		return fmt.Errorf("members: %d members, want 3, 5 or 7", voters)
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
			return fmt.Errorf("members[%d].name: %q is empty or a duplicate", i, member.Name)
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
		return fmt.Errorf("dir: %q is not an accessible directory", a.Dir)
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
			return fmt.Errorf("limits.%s: no plan has this name", name)
		}
		if !(floor > 0) || plan.Limit > 0 && floor > plan.Limit {
			return fmt.Errorf("limits.%s: got %v, want above 0 and at most the plan's limit of %v (0: unlimited)",
				name, floor, plan.Limit)
		}
	}
	return nil
}
