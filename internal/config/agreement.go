package config

import (
	"errors"
	"fmt"
	"os"

	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

const (
	defaultBoundMS = 2000
	leastBoundMS   = 400
	mostBoundMS    = 60_000
	defaultFeeds   = 16
	mostFeeds      = 256
	leastVoters    = 3
	mostVoters     = 7
)

// Agreement is how brokers agree on settings and lists with versions. Disabled without a cluster.
type Agreement struct {
	Cluster     string             `toml:"cluster"`  // its name: brokers of another are turned away
	Listen      string             `toml:"listen"`   // of this broker; empty: it feeds nobody, and can't vote
	Members     []Voter            `toml:"members"`  // the brokers that vote, the same for all
	Dir         string             `toml:"dir"`      // of a disk that lasts, for a voter's state; empty: a restarted voter is a new one
	BoundMS     float64            `toml:"bound_ms"` // how long brokers that are cut off may hold up a change; half of it is a lease
	MaxChildren int                `toml:"feeds"`    // brokers that hear from this one, at the most
	Limits      map[string]float64 `toml:"limits"`   // plans whose limit is agreed on: the figure below which it can't be set, and on which brokers without a lease act
}

// Voter is a broker that votes.
type Voter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Enabled tells whether there is anything to agree on.
func (a Agreement) Enabled() bool { return a.Cluster != "" }

// Timing is that of package clusterconfig.
func (a Agreement) Timing() clusterconfig.Timing {
	return clusterconfig.Timing{Lease: int64(a.BoundMS * 1000 / 2), DriftPPM: clusterconfig.DefaultTiming.DriftPPM}
}

func (a *Agreement) complete(set scheduler.Settings) error {
	if !a.Enabled() {
		if a.Listen != "" || len(a.Members) > 0 || a.Dir != "" || len(a.Limits) > 0 || a.BoundMS != 0 || a.MaxChildren != 0 {
			return errors.New("cluster: missing, though other keys are there")
		}
		return nil
	}
	if a.BoundMS == 0 {
		a.BoundMS = defaultBoundMS
	}
	if a.MaxChildren == 0 {
		a.MaxChildren = defaultFeeds
	}
	if err := checkAddress(a.Listen, false); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	switch {
	case len(a.Members) < leastVoters || len(a.Members) > mostVoters || len(a.Members)%2 == 0:
		return fmt.Errorf("members: %d, 3, 5 or 7 are wanted", len(a.Members))
	case !(a.BoundMS >= leastBoundMS && a.BoundMS <= mostBoundMS):
		return fmt.Errorf("bound_ms: %v is not within %d to %d", a.BoundMS, leastBoundMS, mostBoundMS)
	case a.MaxChildren < 2 || a.MaxChildren > mostFeeds:
		return fmt.Errorf("feeds: %d is not within 2 to %d", a.MaxChildren, mostFeeds)
	}
	seen := map[string]bool{}
	for i, m := range a.Members {
		if err := checkAddress(m.Address, true); err != nil {
			return fmt.Errorf("members[%d].address: %w", i, err)
		}
		if m.Name == "" || seen[m.Name] {
			return fmt.Errorf("members[%d].name: %q is missing or stands twice", i, m.Name)
		}
		seen[m.Name] = true
	}
	if a.Dir != "" {
		if info, err := os.Stat(a.Dir); err != nil || !info.IsDir() {
			return fmt.Errorf("dir: %q is no directory", a.Dir)
		}
	}
	plans := map[string]scheduler.Plan{}
	for _, p := range set.Plans {
		plans[p.Name] = p
	}
	for name, floor := range a.Limits {
		switch p, known := plans[name]; {
		case !known:
			return fmt.Errorf("limits.%s: no such plan", name)
		case !(floor > 0) || p.Limit > 0 && floor > p.Limit:
			return fmt.Errorf("limits.%s: %v is not above 0, or above the plan's limit of %v", name, floor, p.Limit)
		}
	}
	return nil
}
