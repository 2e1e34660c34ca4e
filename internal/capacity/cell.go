package capacity

import (
	"fmt"
	"slices"

	"junctionwharf/internal/fleetharness"
)

// Cell is one run of the grid.
type Cell struct {
	Brokers         int     // in all
	Nodes           int     // one for each shard
	Volumes         int     // active at a broker for each request a second; 0: none, and no requests
	ChangeSeconds   float64 // between two changes of the replicated configuration
	Seed            uint64
	SeparateControl bool // voters and parents are control processes without clients
	Faults          bool // with those of dayOfFaults
}

// Name is the cell's name, and that of its raw file.
func (c Cell) Name() string {
	name := fmt.Sprintf("b%d-n%d-v%d-c%g-s%d", c.Brokers, c.Nodes, c.Volumes, c.ChangeSeconds, c.Seed)
	if c.SeparateControl {
		name += "-control"
	}
	if c.Faults {
		name += "-faults"
	}
	return name
}

// The planned fleet, and how it is measured. The page and its raw runs are of these values; other ones need new runs.
const (
	// PlannedBrokers is the size that the operators plan for.
	PlannedBrokers = 930
	plannedNodes   = 400 // of the fleet whose sizes are compared
	plannedZones   = 6
	plannedVoters  = 7
	// plannedChangeSeconds is between two changes of the configuration. Lower, the measured cost of changes is higher.
	plannedChangeSeconds = 20
	// fullBrokers are whole processes; the others are hollow: they run the control side alone. Higher, a run takes more
	// memory of its machine; lower, the mean over whole processes is less sure.
	fullBrokers = 20
	// requestRate is the requests a second of a broker.
	requestRate = 10
	// runSeconds is the length of a run, one change and a second more. Higher, the grid takes longer to run; lower, no
	// change is seen.
	runSeconds = 21
	// memoryLimitMB is the limit of a whole process.
	memoryLimitMB = 192
	// idleRequestRate is that of all clients together in a cell without volumes.
	idleRequestRate = 0.1
)

// standardCell is the cell by which sizes of the fleet are compared.
func standardCell(brokers int, seed uint64) Cell {
	return Cell{
		Brokers:       brokers,
		Nodes:         plannedNodes,
		Volumes:       1,
		ChangeSeconds: plannedChangeSeconds,
		Seed:          seed,
	}
}

func (c Cell) withNodes(count int) Cell {
	c.Nodes = count
	return c
}

func (c Cell) withVolumes(count int) Cell {
	c.Volumes = count
	return c
}

func (c Cell) withChangeEachSecond() Cell {
	c.ChangeSeconds = 1
	return c
}

func (c Cell) withSeparateControl(separate bool) Cell {
	c.SeparateControl = separate
	return c
}

func (c Cell) withFaults() Cell {
	c.Faults = true
	return c
}

// Grid are the cells of the page, in the order in which they are run.
var Grid = []Cell{
	standardCell(PlannedBrokers, 1),
	standardCell(480, 1),
	standardCell(240, 1),
	standardCell(60, 1),
	standardCell(PlannedBrokers, 2),
	standardCell(PlannedBrokers, 3),

	standardCell(PlannedBrokers, 1).withNodes(1600),
	standardCell(PlannedBrokers, 1).withNodes(100),
	standardCell(240, 1).withNodes(1600),
	standardCell(240, 1).withNodes(100),
	standardCell(240, 1).withVolumes(0),
	standardCell(240, 1).withVolumes(8),

	standardCell(PlannedBrokers, 1).withChangeEachSecond(),
	standardCell(240, 1).withChangeEachSecond(),

	standardCell(PlannedBrokers, 1).withSeparateControl(true),
	standardCell(PlannedBrokers, 2).withSeparateControl(true),
	standardCell(PlannedBrokers, 3).withSeparateControl(true),
	standardCell(240, 1).withSeparateControl(true),

	standardCell(PlannedBrokers, 1).withChangeEachSecond().withSeparateControl(true),
	standardCell(PlannedBrokers, 1).withChangeEachSecond().withSeparateControl(true).withFaults(),
	standardCell(240, 1).withChangeEachSecond().withSeparateControl(true).withFaults(),
}

// dayOfFaults are the faults that the plan allows in a day, within one run: four brokers restart, one dies, a control
// process dies and comes back, one broker is paused, and three are cut off from the replicated configuration. All of
// them are whole processes.
var dayOfFaults = []fleetharness.Event{
	{AtS: 4, Kind: "kill", Brokers: []int{7, 8, 9, 10}, DurationS: 2},
	{AtS: 6, Kind: "kill", Brokers: []int{11}},
	{AtS: 9, Kind: "kill", Brokers: []int{2}, DurationS: 3},
	{AtS: 10, Kind: "stop", Brokers: []int{12}, DurationS: 3},
	{AtS: 14, Kind: "agree_cut", Brokers: []int{13, 14, 15}, DurationS: 4},
}

// Scenario is what the fleet harness runs for a cell.
func (c Cell) Scenario() *fleetharness.Scenario {
	s := &fleetharness.Scenario{
		Name:          c.Name(),
		Seed:          c.Seed,
		Brokers:       min(fullBrokers, c.Brokers),
		Peers:         true,
		Shards:        c.Nodes,
		DurationS:     runSeconds,
		Rate:          requestRate,
		MemoryLimitMB: memoryLimitMB,
		Node:          fleetharness.NodeSpec{Count: c.Nodes, Zones: plannedZones},
		Agreement: fleetharness.Agreement{
			Voters:          plannedVoters,
			ChangeIntervalS: c.ChangeSeconds,
			DedicatedVoters: c.SeparateControl,
		},
		Hollow: fleetharness.Hollow{
			Brokers: max(0, c.Brokers-fullBrokers),
			Rate:    requestRate,
			Volumes: requestRate * c.Volumes,
		},
	}
	if c.Faults {
		s.Events = slices.Clone(dayOfFaults)
	}
	if c.Volumes == 0 {
		s.Rate = idleRequestRate
		s.Hollow.Rate = 0
	}
	return s
}
