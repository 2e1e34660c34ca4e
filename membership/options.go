package membership

import (
	"cmp"
	"fmt"
)

// Micros is a time on a monotonic clock, or a duration, in microseconds. It is an alias, so that an int64 can be passed
// without a conversion.
type Micros = int64

// Permissions specifies how a source may change the list.
type Permissions struct {
	Add    bool
	Drain  bool
	Remove bool
}

// SourceOptions configures one source.
type SourceOptions struct {
	Name        string
	Permissions Permissions
	RemovalTTL  Micros // how long its removals stay valid while it does not answer; DefaultRemovalTTL by default
}

// Options configures a State. The zero value of a field means its default.
type Options struct {
	Sources     []SourceOptions // a node gets its name from the first source that lists it
	SuspectHold Micros          // how long the removals by a suspect answer are deferred; DefaultSuspectHold by default
	FlapWindow  Micros          // period in which a node's returns are counted; DefaultFlapWindow by default
	MaxReturns  int             // returns within FlapWindow that are not delayed; DefaultMaxReturns by default
	MaxHold     Micros          // maximum delay of a flapping node's return; DefaultMaxHold by default
	MaxNodes    int             // maximum number of nodes in a full snapshot; DefaultMaxNodes by default
}

// Default values of Options.
const (
	// DefaultRemovalTTL is 10 min. If it were lower, a removed node would return during a short outage of the source
	// that removed it. If it were higher, a wrong removal by a source that is lost would last longer.
	DefaultRemovalTTL Micros = 600e6
	// DefaultSuspectHold is 30 s. If it were lower, a discovery service that restarts with half of its list would
	// remove nodes. If it were higher, a real loss of half the nodes would take effect later.
	DefaultSuspectHold Micros = 30e6
	// DefaultFlapWindow is one minute. If it were lower, the returns of a node that flaps slowly would not
	// be delayed.
	DefaultFlapWindow Micros = 60e6
	// DefaultMaxReturns is the number of undelayed returns in a window. If it were lower, two quick restarts would keep
	// a node out. If it were higher, a flapping node would more often receive requests that it then loses.
	DefaultMaxReturns = 3
	// DefaultMaxHold is one minute. If it were higher, a node that has stopped flapping would stay out for longer.
	DefaultMaxHold Micros = 60e6
	// DefaultMaxNodes is the default maximum number of nodes in a full snapshot. If it were lower, nodes of a larger
	// fleet would be ignored. If it were higher, a faulty source could use more memory.
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

// OptionError reports an invalid option.
type OptionError struct {
	Option string // empty if the reason does not refer to a single option
	Reason string
}

func (e *OptionError) Error() string {
	if e.Option == "" {
		return e.Reason
	}
	return e.Option + ": " + e.Reason
}

// Validate returns an *OptionError for the first invalid option.
func (o Options) Validate() error {
	if len(o.Sources) == 0 {
		return &OptionError{Option: "sources", Reason: "at least one is required"}
	}
	names := map[string]bool{}
	anyAdds := false
	for i, source := range o.Sources {
		if source.Name == "" || names[source.Name] {
			return &OptionError{
				Option: fmt.Sprintf("sources[%d].name", i),
				Reason: fmt.Sprintf("%q is empty or not unique", source.Name),
			}
		}
		names[source.Name] = true
		anyAdds = anyAdds || source.Permissions.Add
		if source.RemovalTTL < 0 {
			return &OptionError{
				Option: fmt.Sprintf("sources[%d].good", i),
				Reason: fmt.Sprintf("%d µs is below 0", source.RemovalTTL),
			}
		}
	}
	if !anyAdds {
		return &OptionError{Option: "sources", Reason: "none has the permission to add"}
	}
	if min(o.SuspectHold, o.FlapWindow, o.MaxHold) < 0 || min(o.MaxReturns, o.MaxNodes) < 0 {
		return &OptionError{Reason: "a duration or limit is below 0"}
	}
	return nil
}
