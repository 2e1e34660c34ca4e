package discovery

import (
	"encoding/json"
	"fmt"
	"math"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// EndpointList is an answer of discovery: a full list or the changed entries. The tags are its keys in handover
// messages between two versions of the program. wireList has the keys of discovery's protocol.
type EndpointList struct {
	Version   uint64     `json:"Seq"`
	Full      bool       `json:"Whole"`
	Endpoints []Endpoint `json:"Hosts"`
}

// Endpoint is a storage node in an EndpointList.
type Endpoint struct {
	Name    string `json:"Host"`
	Address string `json:"Dial"`
	Zone    string `json:"Site"`
	Kind    string `json:"Class"`

	Shard       int                 `json:"Block"`
	State       scheduler.NodeState `json:"State"`
	Weight      float64             `json:"Share"`  // relative to the other nodes of the shard
	StartedAtMS int64               `json:"BornMS"` // Unix time in milliseconds
}

// wireList is an endpoint list in discovery's protocol.
type wireList struct {
	Version   uint64         `json:"seq"`
	Full      bool           `json:"whole"`
	Endpoints []wireEndpoint `json:"hosts"`
}

type wireEndpoint struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Shard       int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMS float64 `json:"born_ms"`
}

// nodeStates maps the values of "health" in discovery's protocol to node states.
var nodeStates = map[string]scheduler.NodeState{
	"SERVING":  scheduler.Ready,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// maxStartedAtMS bounds start times in Unix milliseconds. Calculations with times within it cannot overflow.
const maxStartedAtMS = 1 << 50

// ParseList decodes the JSON text of a list. It rejects the list if an entry has no name, an unknown health or a start
// time beyond maxStartedAtMS.
func ParseList(text []byte) (*EndpointList, error) {
	var wire wireList
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, err
	}
	list := &EndpointList{Version: wire.Version, Full: wire.Full}
	for i, entry := range wire.Endpoints {
		state, known := nodeStates[entry.Health]
		if !known || entry.Name == "" {
			return nil, fmt.Errorf("hosts[%d]: host %q has health %q, want a name and SERVING, DRAINING or DELETED",
				i, entry.Name, entry.Health)
		}
		if math.Abs(entry.StartedAtMS) > maxStartedAtMS {
			return nil, fmt.Errorf("hosts[%d]: born_ms %g is not within -%d to %d", i, entry.StartedAtMS,
				int64(maxStartedAtMS), int64(maxStartedAtMS))
		}
		list.Endpoints = append(list.Endpoints, Endpoint{
			Name:        entry.Name,
			Address:     entry.Address,
			Zone:        entry.Zone,
			Kind:        entry.Kind,
			Shard:       entry.Shard,
			State:       state,
			Weight:      entry.Weight,
			StartedAtMS: int64(entry.StartedAtMS),
		})
	}
	return list, nil
}

// Event converts the list to an event of the core.
func (l *EndpointList) Event(kind scheduler.UpdateKind, clock *broker.Clock) broker.NodesListed {
	event := broker.NodesListed{Kind: kind, Version: l.Version}
	for _, endpoint := range l.Endpoints {
		event.Nodes = append(event.Nodes, broker.Node{
			Endpoint: scheduler.Endpoint{
				Name:   endpoint.Name,
				Zone:   endpoint.Zone,
				Kind:   endpoint.Kind,
				Shard:  endpoint.Shard,
				State:  endpoint.State,
				Weight: endpoint.Weight,
			},
			Address:   endpoint.Address,
			LastStart: clock.FromUnixMilli(endpoint.StartedAtMS),
		})
	}
	return event
}
