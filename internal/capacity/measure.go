package capacity

import (
	"slices"

	"junctionwharf/internal/fleetharness"
)

// The roles of a broker in the replicated configuration, as the raw runs and the page spell them.
const (
	roleLeaf   = "leaf"
	roleParent = "feeder"
	roleVoter  = "voter"
	roleLeader = "leader"
)

// Roles lists the roles in the order of the page. A role is defined by what a broker does for other brokers.
var Roles = []string{roleLeaf, roleParent, roleVoter, roleLeader}

// Budgets are the operators' limits on the cost of a broker's control side.
var Budgets = struct {
	BytesPerSecond float64
	CPU            float64 // in cores
	MemoryMB       float64
	InForceSeconds float64 // from the commit of a change until it is active at all brokers
}{
	BytesPerSecond: 6000,
	CPU:            0.014,
	MemoryMB:       256,
	InForceSeconds: 10,
}

// brokerKind selects the brokers at which a measure is taken.
type brokerKind int

const (
	anyBroker brokerKind = iota
	fullBroker
	hollowBroker
)

func (k brokerKind) includes(c fleetharness.Cost) bool {
	switch k {
	case fullBroker:
		return !c.Hollow
	case hollowBroker:
		return c.Hollow
	default:
		return true
	}
}

// measure is a quantity that is computed from the cost of one broker.
type measure struct {
	title   string // as shown on the page
	format  string // fmt verb for a value
	budget  float64
	brokers brokerKind
	value   func(fleetharness.Cost) float64
}

// datagramBytes is the size of a message between brokers, including 28 bytes of IP and UDP headers. If each shard has
// one node, all messages are about volumes, and each has a payload of 7 bytes.
const datagramBytes = 7 + 28

// The measures of the page. A measure without a budget has no verdict.
var (
	agreementBytes = measure{
		title:   "bytes a second of agreement, sent and received",
		format:  "%.0f",
		budget:  Budgets.BytesPerSecond,
		brokers: anyBroker,
		value:   func(c fleetharness.Cost) float64 { return c.Sent + c.Received },
	}
	messages = measure{
		title:   "messages a second to and from other brokers",
		format:  "%.1f",
		brokers: anyBroker,
		value:   func(c fleetharness.Cost) float64 { return c.PeerSent + c.PeerReceived },
	}
	allBytes = measure{
		title:   "bytes a second of both, 35 a message",
		format:  "%.0f",
		budget:  Budgets.BytesPerSecond,
		brokers: anyBroker,
		value: func(c fleetharness.Cost) float64 {
			return agreementBytes.value(c) + datagramBytes*messages.value(c)
		},
	}
	fullCPU = measure{
		title:   "part of a core, whole brokers, their requests included",
		format:  "%.4f",
		brokers: fullBroker,
		value:   func(c fleetharness.Cost) float64 { return c.CPU },
	}
	hollowCPU = measure{
		title:   "part of a core, hollow brokers: their part of a process",
		format:  "%.4f",
		budget:  Budgets.CPU,
		brokers: hollowBroker,
		value:   func(c fleetharness.Cost) float64 { return c.CPU },
	}
	memory = measure{
		title:   "MB, requests included",
		format:  "%.1f",
		budget:  Budgets.MemoryMB,
		brokers: fullBroker,
		value:   func(c fleetharness.Cost) float64 { return c.MemoryMB },
	}

	measures = []measure{agreementBytes, messages, allBytes, fullCPU, hollowCPU, memory}
)

// sample summarizes a measure over the brokers of one role in one run. It is zero if no broker has the role.
type sample struct {
	mean, max float64
	brokers   int
}

// of computes the sample of a measure over the brokers of a role.
func (m measure) of(r *fleetharness.Report, role string) sample {
	s := sample{}
	for _, c := range r.Costs {
		if c.Role != role || !m.brokers.includes(c) {
			continue
		}
		value := m.value(c)
		s.mean += value
		s.max = max(s.max, value)
		s.brokers++
	}
	s.mean /= float64(max(1, s.brokers))
	return s
}

// plannedSeeds lists the seeds of the runs at the planned fleet size.
var plannedSeeds = []uint64{1, 2, 3}

// plannedRuns returns the available runs at the planned fleet size, in the order of plannedSeeds.
func plannedRuns(runs Runs, separateControl bool) (planned []*fleetharness.Report) {
	for _, seed := range plannedSeeds {
		cell := standardCell(PlannedBrokers, seed).withSeparateControl(separateControl)
		if r := runs[cell.Name()]; r != nil {
			planned = append(planned, r)
		}
	}
	return planned
}

// controlModes lists the two ways to run the control side, in the order of the page: within the brokers (false) and in
// separate processes (true).
var controlModes = []bool{false, true}

// judgedApart reports whether a role runs in control processes on separate machines, where the budgets do not apply.
func judgedApart(separateControl bool, role string) bool {
	return separateControl && slices.Contains([]string{roleVoter, roleLeader}, role)
}
