package handover

import "junctionwharf/internal/discovery"

// StateMessage is a message from one process of a broker to the other. Unset fields are ignored.
type StateMessage struct {
	Endpoints      *discovery.EndpointList `json:"List,omitempty"`   // the sender's full list
	OpenedRequests []string                `json:"Opened,omitempty"` // ids of accepted requests
	EndedRequests  []string                `json:"Ended,omitempty"`  // ids of requests that have their final answer
	PeerOrdinal    int                     `json:"From,omitempty"`   // the peer broker that sent PeerMessage
	PeerMessage    []byte                  `json:"Heard,omitempty"`  // a peer's datagram, received only by the sender
	// AbandonedRequests are the ids of requests that may have run and whose clients have left without the answers.
	AbandonedRequests []string `json:"Abandoned,omitempty"`
}
