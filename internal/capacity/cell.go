package capacity

import (
	"fmt"
	"slices"

	"junctionwharf/internal/fleetharness"
)

// Cell is one run of Grid.
type Cell struct {
	Brokers         int     // total, full and hollow
	Nodes           int     // one per shard
	Volumes         int     // active volumes per broker for each request a second; 0 means no volumes and no requests
	ChangeSeconds   float64 // between two changes of the replicated configuration
	Seed            uint64
	SeparateControl bool // voters and parents are control processes without clients
	Faults          bool // the run includes the events of dayOfFaults
}

// Name returns the cell's name, which is also the base name of its raw file.
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

// The planned fleet and the length of a run. The committed raw runs and the page were made with these values; a change
// of any value requires new runs.
const (
	// PlannedBrokers is the fleet size that the operators plan for.
	PlannedBrokers = 930
	plannedNodes   = 400 // nodes of standardCell, which is used to compare fleet sizes
	plannedZones   = 6
	plannedVoters  = 7
	// plannedChangeSeconds is the interval between two changes of the configuration, in seconds. A smaller value raises
	// the measured cost of changes.
	plannedChangeSeconds = 20
	// fullBrokers is the number of brokers that run as full processes. All others are hollow: they run only the control
	// side. A larger value needs more memory on the machine that runs the grid. A smaller value makes the mean over
	// full brokers less precise.
	fullBrokers = 20
	// requestRate is the number of requests a second per broker.
	requestRate = 10
	// runSeconds is the length of a run in seconds: one change interval plus one second. A larger value makes the grid
	// take longer to run. With a smaller value, no change falls within a run.
	runSeconds = 21
	// memoryLimitMB is the memory limit of a full broker's process, in MB.
	memoryLimitMB = 192
	// idleRequestRate is the number of requests a second per full broker in a cell without volumes.
	idleRequestRate = 0.1
)

// standardCell returns the cell that is used to compare fleet sizes.
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

// Grid lists the cells of the page in the order in which they are run.
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

// dayOfFaults lists the faults that the operators' plan allows in one day, compressed into one run. Four brokers
// restart, one broker dies, one control process dies and restarts, one broker is paused, and three brokers are cut off
// from the replicated configuration. All of these are full processes.
var dayOfFaults = []fleetharness.Event{
	{AtS: 4, Kind: "kill", Brokers: []int{7, 8, 9, 10}, DurationS: 2},
	{AtS: 6, Kind: "kill", Brokers: []int{11}},
	{AtS: 9, Kind: "kill", Brokers: []int{2}, DurationS: 3},
	{AtS: 10, Kind: "stop", Brokers: []int{12}, DurationS: 3},
	{AtS: 14, Kind: "agree_cut", Brokers: []int{13, 14, 15}, DurationS: 4},
}

// Scenario returns the fleet harness scenario of the cell.
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
