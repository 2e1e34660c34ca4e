package fleetharness

import "slices"

// Report holds the results of a run. The struct tags are the names in recorded reports.
type Report struct {
	Scenario       string            `json:"scenario"`
	Seed           uint64            `json:"seed"`
	Brokers        int               `json:"brokers"`
	Nodes          int               `json:"nodes"`
	Phases         []Phase           `json:"phases"`
	All            Phase             `json:"all"`
	PerNode        map[string]int    `json:"per_node"`
	Dials          int               `json:"dials"`      // number of connections to nodes
	PeakConns      int               `json:"peak_conns"` // maximum at one node
	DiscoveryCalls int               `json:"discovery_calls"`
	Datagrams      int64             `json:"datagrams"`
	DatagramBytes  int64             `json:"datagram_bytes"`
	Violations     []Violation       `json:"breaches"`
	Agreement      *AgreementReport  `json:"agreement,omitempty"`
	HollowBrokers  int               `json:"hollow,omitempty"`
	Costs          []Cost            `json:"costs,omitempty"`
	SlowStart      []SlowStartSecond `json:"cold,omitempty"`     // by node and second of its age
	RestartMS      []float64         `json:"ready_ms,omitempty"` // from a restart to the first answer, ascending
	// BalancedAfterS holds, for each event, the seconds from its end until load is balanced, or -1 if load does not
	// become balanced within the run.
	BalancedAfterS []float64 `json:"even_after_s"`
}

// buildReport creates the report of a run whose traffic has ended.
func (f *Fleet) buildReport() *Report {
	s := f.scenario
	report := &Report{
		Scenario:   s.Name,
		Seed:       s.Seed,
		Brokers:    s.Brokers,
		Nodes:      s.Node.Count,
		PerNode:    map[string]int{},
		Violations: f.recorder.violationsSoFar(),
		All:        f.phaseReport(0, s.DurationS),
	}
	bounds := s.phaseBounds()
	for i := 1; i < len(bounds); i++ {
		report.Phases = append(report.Phases, f.phaseReport(bounds[i-1], bounds[i]))
	}
	for _, event := range s.Events {
		report.BalancedAfterS = append(report.BalancedAfterS, f.balancedAfter(event))
	}
	for _, n := range f.nodes {
		n.addTo(report)
	}
	f.mu.Lock()
	for _, took := range f.restartTimes {
		report.RestartMS = append(report.RestartMS, took.Seconds()*1000)
	}
	f.mu.Unlock()
	slices.Sort(report.RestartMS)
	f.discovery.mu.Lock()
	report.DiscoveryCalls = f.discovery.calls
	f.discovery.mu.Unlock()
	for _, relay := range f.datagramRelays {
		report.Datagrams += relay.received.Load()
		report.DatagramBytes += relay.bytes.Load()
	}
	return report
}

// phaseBounds returns the times at which events begin or end, and the run's start and end, in seconds.
func (s *Scenario) phaseBounds() []float64 {
	bounds := []float64{0, s.DurationS}
	for _, event := range s.Events {
		bounds = append(bounds, event.AtS)
		if end := event.AtS + event.DurationS; event.DurationS > 0 && end < s.DurationS {
			bounds = append(bounds, end)
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// addTo adds a node's counts to a report.
func (n *fakeNode) addTo(report *Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, served := range n.servedBySecond {
		report.PerNode[n.name] += served
	}
	report.SlowStart = append(report.SlowStart, n.slowStart...)
	report.Dials += n.dials
	report.PeakConns = max(report.PeakConns, n.peakConns)
}
