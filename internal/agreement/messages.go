package agreement

import "junctionwharf/clusterconfig"

// The messages between brokers. Their tags are the names on the wire, which brokers of other builds read: a tag never
// changes, and its meaning neither.

// frame is what goes over a connection. One of its fields is set, or none to show that the peer is alive.
type frame struct {
	Hello      *hello             `msgpack:"Hello,omitempty"`
	Welcome    *welcome           `msgpack:"Welcome,omitempty"`
	Raft       []byte             `msgpack:"Raft,omitempty"` // a raftpb.Message
	Upstream   *upstreamMessage   `msgpack:"Up,omitempty"`
	Downstream *downstreamMessage `msgpack:"Down,omitempty"`
	Bootstrap  *bootstrapMessage  `msgpack:"Form,omitempty"`
}

// hello begins a connection; the side that dialed sends it.
type hello struct {
	Cluster       string `msgpack:"Cluster"`
	SharedOptions string `msgpack:"Terms"`
	Name          string `msgpack:"Name"`
	ListenAddress string `msgpack:"Listen"` // where others may attach, empty for nowhere
	IsVoter       bool   `msgpack:"Voter"`
	RaftID        uint64 `msgpack:"ID"`    // of a voter
	Uninitialized bool   `msgpack:"Fresh"` // the voter belongs to no cluster yet
}

// welcome answers a hello. A rejection says why, and where else to ask.
type welcome struct {
	Rejection     string   `msgpack:"Reason"`
	Alternatives  []string `msgpack:"Others"` // addresses of children of the one that rejects
	Path          []string `msgpack:"Path"`   // the names from a voter to this broker, including it
	Name          string   `msgpack:"Name"`
	RaftID        uint64   `msgpack:"ID"`
	Uninitialized bool     `msgpack:"Fresh"`
}

// upstreamMessage goes towards the leader.
type upstreamMessage struct {
	Renewals  []clusterconfig.Renewal   `msgpack:"Renewals"`
	Calls     []operatorCall            `msgpack:"Asks"`
	Documents []*clusterconfig.Document `msgpack:"Offers"` // of an earlier epoch, for the leader to adopt
}

// operatorCall is a command for the leader.
type operatorCall struct {
	Broker   string                  `msgpack:"Holder"` // where the operator asked
	Number   uint64                  `msgpack:"Number"` // of the broker's calls
	Command  string                  `msgpack:"Call"`
	Proposal *clusterconfig.Proposal `msgpack:"Proposal"`
	Version  uint64                  `msgpack:"Version"`
}

// operatorReply answers an operatorCall.
type operatorReply struct {
	Broker string    `msgpack:"Holder"`
	Number uint64    `msgpack:"Number"`
	Error  string    `msgpack:"Error"`
	Kind   errorKind `msgpack:"Kind"` // of the error
	JSON   []byte    `msgpack:"Text"`
}

// downstreamMessage comes from the leader. Its grants share the entries and documents that they carry.
type downstreamMessage struct {
	Epoch     uint64                  `msgpack:"Epoch"`
	Term      uint64                  `msgpack:"Term"`
	Grants    []packedGrant           `msgpack:"Grants"`
	Entries   []clusterconfig.Entry   `msgpack:"Entries"`
	Document  *clusterconfig.Document `msgpack:"Whole"`
	Pending   *clusterconfig.Entry    `msgpack:"Prepare"`
	Notify    bool                    `msgpack:"Poke"` // a version became pending or active: renew now
	AdoptFrom []string                `msgpack:"Lend"` // lease holders that should send their document
	Replies   []operatorReply         `msgpack:"Replies"`
}

// packedGrant is what a grant does not share with others.
type packedGrant struct {
	Holder      string `msgpack:"Holder"`
	RenewalSeq  uint64 `msgpack:"Number"`
	Incarnation uint64 `msgpack:"Life"`
	GrantSeq    uint64 `msgpack:"Seq"`
	After       uint64 `msgpack:"After"` // it brings the entries after this version
	HasDocument bool   `msgpack:"Whole"`
	HasPending  bool   `msgpack:"Prepare"`
}

// bootstrapMessage has voters start a new cluster alike.
type bootstrapMessage struct {
	Epoch   uint64            `msgpack:"Epoch"`
	Members map[string]uint64 `msgpack:"Members"` // raft identities by name
}
