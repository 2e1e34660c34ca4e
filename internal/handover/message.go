package handover

import "junctionwharf/internal/discovery"

// StateMessage is what one process sends the other. Each field that is set counts.
type StateMessage struct {
	Endpoints      *discovery.EndpointList `json:"List,omitempty"`   // the full list that the sender holds
	OpenedRequests []string                `json:"Opened,omitempty"` // ids of requests that were accepted
	EndedRequests  []string                `json:"Ended,omitempty"`  // ids of requests that have their final answer
	PeerOrdinal    int                     `json:"From,omitempty"`   // the peer broker that sent PeerMessage
	PeerMessage    []byte                  `json:"Heard,omitempty"`  // a peer's datagram, which reached the sender only
}
