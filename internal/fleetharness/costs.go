package fleetharness

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"junctionwharf/internal/agreement"
	"junctionwharf/internal/console"
)

const (
	// consoleTimeout bounds a call to a broker's console while hundreds of consoles are called.
	consoleTimeout = 5 * time.Second
	// parallelCalls is the number of brokers that are called concurrently. A larger number would add the machine's own
	// queueing delay to the measurements.
	parallelCalls = 32
	// maxJoinedErrors is the maximum number of errors that eachBroker joins.
	maxJoinedErrors = 3
	// clockTicks is the unit of processor times in /proc, in ticks per second, as Linux reports it to programs.
	clockTicks = 100
)

// Indexes of processor times among the fields of /proc/PID/stat that follow the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// Roles of a broker in Cost. Cost also uses the other roles of agreement.Status.
const (
	roleFollower = "follower" // only in agreement.Status; Cost has leaf or feeder
	roleLeaf     = "leaf"
	roleParent   = "feeder"
)

// Cost holds what the control code of one broker consumed while traffic was running. Rates are per second.
type Cost struct {
	Broker       int     `json:"broker"`
	Hollow       bool    `json:"hollow,omitempty"`
	Role         string  `json:"role"`            // leader, voter, feeder or leaf
	Children     int     `json:"feeds,omitempty"` // number in the tree of the replicated configuration
	Sent         float64 `json:"sent"`            // bytes per second for replicating the configuration
	Received     float64 `json:"received"`
	PeerSent     float64 `json:"told"`  // messages per second to other brokers
	PeerReceived float64 `json:"heard"` // messages per second from other brokers
	CPU          float64 `json:"cpu"`   // fraction of a core; a hollow broker has an equal share of its process
	MemoryMB     float64 `json:"memory_mb"`
}

// meterReading holds the resource use of a broker up to a time.
type meterReading struct {
	at       time.Duration
	figures  map[string]float64 // from the console, by name
	cpuS     float64
	memoryMB float64
	status   agreement.Status
}

// eachBroker calls do for all brokers, up to parallelCalls at a time, and joins the first maxJoinedErrors errors.
func (f *Fleet) eachBroker(do func(*broker) error) error {
	work := make(chan *broker)
	failures := make(chan error, len(f.brokers))
	var wait sync.WaitGroup
	for range parallelCalls {
		wait.Go(func() {
			for b := range work {
				if err := do(b); err != nil {
					failures <- err
				}
			}
		})
	}
	for _, b := range f.brokers {
		work <- b
	}
	close(work)
	wait.Wait()
	close(failures)
	var joined []error
	for err := range failures {
		if len(joined) < maxJoinedErrors {
			joined = append(joined, err)
		}
	}
	return errors.Join(joined...)
}

// readMeters returns the meter readings of all brokers by number. The reading of a broker that does not answer is nil.
func (f *Fleet) readMeters() []*meterReading {
	readings := make([]*meterReading, len(f.brokers))
	sharedBy := map[int]int{} // number of hollow brokers by process id
	for _, p := range f.hollowProcesses {
		sharedBy[p.command.Process.Pid] = len(p.brokers)
	}
	_ = f.eachBroker(func(b *broker) error {
		readings[b.number] = f.readMeter(b, sharedBy)
		return nil
	})
	return readings
}

// readMeter returns a broker's meter reading, or nil if the broker does not answer.
func (f *Fleet) readMeter(b *broker, sharedBy map[int]int) *meterReading {
	process, _ := b.process()
	if process == nil || b.isDown() {
		return nil
	}
	text, err := console.Call(f.consoleAddress(b.number), "vars", consoleTimeout)
	if err != nil {
		return nil
	}
	reading := &meterReading{at: Now(), figures: parseFigures(string(text))}
	if f.scenario.Agreement.Voters > 0 {
		reading.status, err = f.agreementStatus(b.number)
		if err != nil {
			return nil
		}
	}
	reading.cpuS, reading.memoryMB = ProcessUsage(process.Pid)
	if n := sharedBy[process.Pid]; n > 0 {
		reading.cpuS /= float64(n)
		reading.memoryMB /= float64(n)
	}
	return reading
}

// parseFigures parses the console's figures, which are lines of the form HOST.NAME:VALUE|UNIT.
func parseFigures(text string) map[string]float64 {
	figures := map[string]float64{}
	for line := range strings.Lines(text) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			figures[name[strings.IndexByte(name, '.')+1:]] = v
		}
	}
	return figures
}

// ProcessUsage returns the processor time of a process in seconds and its resident memory in MB. A value that cannot be
// read, for example because the process has exited, is 0.
func ProcessUsage(pid int) (cpuS, memoryMB float64) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if len(fields) > statSystemTime {
			user, _ := strconv.ParseFloat(fields[statUserTime], 64)
			system, _ := strconv.ParseFloat(fields[statSystemTime], 64)
			cpuS = (user + system) / clockTicks
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		var size, resident float64
		_, _ = fmt.Sscan(string(text), &size, &resident)
		memoryMB = resident * float64(os.Getpagesize()) / (1 << 20)
	}
	return cpuS, memoryMB
}

// costs returns the costs between two readings of each broker. It skips brokers without both readings.
func (f *Fleet) costs(before, after []*meterReading) []Cost {
	var costs []Cost
	for i, to := range after {
		from := before[i]
		if from == nil || to == nil || to.at <= from.at {
			continue
		}
		cost := newCost(from, to)
		cost.Broker = i
		cost.Hollow = i >= f.scenario.Brokers
		costs = append(costs, cost)
	}
	return costs
}

// newCost returns what a broker consumed between two readings.
func newCost(from, to *meterReading) Cost {
	span := (to.at - from.at).Seconds()
	rate := func(name string) float64 { return max(0, to.figures[name]-from.figures[name]) / span }
	cost := Cost{
		Role:         to.status.Role,
		Children:     len(to.status.Children),
		Sent:         rate("agree_bytes_sent"),
		Received:     rate("agree_bytes_received"),
		PeerSent:     rate("peer_sent"),
		PeerReceived: rate("peer_heard"),
		CPU:          max(0, to.cpuS-from.cpuS) / span,
		MemoryMB:     to.memoryMB,
	}
	if cost.Role == roleFollower || cost.Role == "" {
		cost.Role = roleLeaf
		if cost.Children > 0 {
			cost.Role = roleParent
		}
	}
	return cost
}
