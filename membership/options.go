package membership

import (
	"cmp"
	"fmt"
)

// Micros is a point on the monotonic clock, or a span of it, in µs. It is an alias, so that an int64 needs no
// conversion.
type Micros = int64

// Permissions are what a source may do.
type Permissions struct {
	Add    bool
	Drain  bool
	Remove bool
}

// SourceOptions are of one source.
type SourceOptions struct {
	Name        string
	Permissions Permissions
	RemovalTTL  Micros // how long its removals outweigh others' claims once it is silent; DefaultRemovalTTL by default
}

// Options are of a State. The zero value of a field means its default.
type Options struct {
	Sources     []SourceOptions // the first names nodes that several claim
	SuspectHold Micros          // how long a sudden loss is deferred; DefaultSuspectHold by default
	FlapWindow  Micros          // in which MaxReturns are counted; DefaultFlapWindow by default
	MaxReturns  int             // times a node may come back within it at once; DefaultMaxReturns by default
	MaxHold     Micros          // the longest that a flapping node is held back; DefaultMaxHold by default
	MaxNodes    int             // of one source, and remembered after their removal; DefaultMaxNodes by default
}

// The defaults of Options.
const (
	// DefaultRemovalTTL is 10 min. If it were lower, a node that was removed would come back when its source has a
	// short outage; if it were higher, a wrong removal by a source that is lost would last longer.
	DefaultRemovalTTL Micros = 600e6
	// DefaultSuspectHold is 30 s. If it were lower, a discovery service that restarts with half a list would take nodes
	// away; if it were higher, a real loss of half the nodes would be followed later.
	DefaultSuspectHold Micros = 30e6
	// DefaultFlapWindow is a minute. If it were lower, a node that flaps slowly would not be held back.
	DefaultFlapWindow Micros = 60e6
	// DefaultMaxReturns is in returns a window. If it were lower, two quick restarts would keep a node out; if it were
	// higher, a flapping node would be given requests more often only to lose them.
	DefaultMaxReturns = 3
	// DefaultMaxHold is a minute. If it were higher, a node that flapped and is well again would stay out for longer.
	DefaultMaxHold Micros = 60e6
	// DefaultMaxNodes is in nodes. If it were lower, nodes of a larger fleet would be left out; if it were higher, a
	// faulty source could take more memory.
	DefaultMaxNodes = 50_000
)

func (o *Options) setDefaults() {
	o.SuspectHold = cmp.Or(o.SuspectHold, DefaultSuspectHold)
	o.FlapWindow = cmp.Or(o.FlapWindow, DefaultFlapWindow)
	o.MaxHold = cmp.Or(o.MaxHold, DefaultMaxHold)
	o.MaxReturns = cmp.Or(o.MaxReturns, DefaultMaxReturns)
	o.MaxNodes = cmp.Or(o.MaxNodes, DefaultMaxNodes)
	for i := range o.Sources {
		o.Sources[i].RemovalTTL = cmp.Or(o.Sources[i].RemovalTTL, DefaultRemovalTTL)
	}
}

// OptionError names an option that makes no sense.
type OptionError struct {
	Option string // empty where any of several may be meant
	Reason string
}

func (e *OptionError) Error() string {
	if e.Option == "" {
		return e.Reason
	}
	return e.Option + ": " + e.Reason
}

// Validate returns an OptionError for the first option that makes no sense.
func (o Options) Validate() error {
	if len(o.Sources) == 0 {
		return &OptionError{Option: "sources", Reason: "none"}
	}
	names := map[string]bool{}
	anyAdds := false
	for i, source := range o.Sources {
		if source.Name == "" || names[source.Name] {
			return &OptionError{
				Option: fmt.Sprintf("sources[%d].name", i),
				Reason: fmt.Sprintf("%q is missing or stands twice", source.Name),
			}
		}
		names[source.Name] = true
		anyAdds = anyAdds || source.Permissions.Add
		if source.RemovalTTL < 0 {
			return &OptionError{Option: fmt.Sprintf("sources[%d].good", i), Reason: "it is below 0"}
		}
	}
	if !anyAdds {
		return &OptionError{Option: "sources", Reason: "none may add"}
	}
	if min(o.SuspectHold, o.FlapWindow, o.MaxHold) < 0 || min(o.MaxReturns, o.MaxNodes) < 0 {
		return &OptionError{Reason: "a time or bound is below 0"}
	}
	return nil
}
