package agreement

import "junctionwharf/clusterconfig"

// The messages between brokers. Their struct tags are the names on the wire, which brokers of other builds read:
// neither a tag nor its meaning may change.

// frame is the unit of transmission on a connection. Exactly one of its fields is set; a keepalive has none.
type frame struct {
	Hello      *hello             `msgpack:"Hello,omitempty"`
	Welcome    *welcome           `msgpack:"Welcome,omitempty"`
	Raft       []byte             `msgpack:"Raft,omitempty"` // a raftpb.Message
	Upstream   *upstreamMessage   `msgpack:"Up,omitempty"`
	Downstream *downstreamMessage `msgpack:"Down,omitempty"`
	Bootstrap  *bootstrapMessage  `msgpack:"Form,omitempty"`
}

// hello is the first message on a connection. The broker that dialed sends it.
type hello struct {
	Cluster       string `msgpack:"Cluster"`
	SharedOptions string `msgpack:"Terms"`
	Name          string `msgpack:"Name"`
	ListenAddress string `msgpack:"Listen"` // where other brokers may attach; empty if they may not
	IsVoter       bool   `msgpack:"Voter"`
	RaftID        uint64 `msgpack:"ID"`    // of a voter
	Uninitialized bool   `msgpack:"Fresh"` // the voter is not yet a member of a cluster
}

// welcome answers a hello. A rejection contains the reason, and addresses of other brokers to try.
type welcome struct {
	Rejection     string   `msgpack:"Reason"`
	Alternatives  []string `msgpack:"Others"` // addresses of children of the rejecting broker
	Path          []string `msgpack:"Path"`   // for a child: names of the brokers from a voter to the sender
	Name          string   `msgpack:"Name"`
	RaftID        uint64   `msgpack:"ID"`    // if the sender is a voter
	Uninitialized bool     `msgpack:"Fresh"` // the sender is a voter and not yet a member of a cluster
}

// upstreamMessage contains messages of one or more brokers to the leader.
type upstreamMessage struct {
	Renewals  []clusterconfig.Renewal   `msgpack:"Renewals"`
	Calls     []operatorCall            `msgpack:"Asks"`
	Documents []*clusterconfig.Document `msgpack:"Offers"` // documents of an earlier epoch, for the leader to adopt
}

// operatorCall is a command for the leader, from an operator or from a broker that proposes a change by itself.
type operatorCall struct {
	Broker   string                  `msgpack:"Holder"` // the broker that sends the call and receives the reply
	Number   uint64                  `msgpack:"Number"` // identifies the call among the broker's calls
	Command  string                  `msgpack:"Call"`
	Proposal *clusterconfig.Proposal `msgpack:"Proposal"`
	Version  uint64                  `msgpack:"Version"` // of diff and rollback; for history the number of versions
}

// operatorReply answers an operatorCall.
type operatorReply struct {
	Broker string    `msgpack:"Holder"`
	Number uint64    `msgpack:"Number"`
	Error  string    `msgpack:"Error"`
	Kind   errorKind `msgpack:"Kind"` // of the error
	JSON   []byte    `msgpack:"Text"`
}

// downstreamMessage contains messages of the leader to one or more brokers. The grants share its entries, its document
// and its pending version.
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

// packedGrant contains the fields of a grant that are not shared with other grants.
type packedGrant struct {
	Holder      string `msgpack:"Holder"`
	RenewalSeq  uint64 `msgpack:"Number"`
	Incarnation uint64 `msgpack:"Life"`
	GrantSeq    uint64 `msgpack:"Seq"`
	After       uint64 `msgpack:"After"` // the grant includes the entries after this version; noEntries if it has none
	HasDocument bool   `msgpack:"Whole"`
	HasPending  bool   `msgpack:"Prepare"`
}

// bootstrapMessage starts a new cluster. All voters receive the same message.
type bootstrapMessage struct {
	Epoch   uint64            `msgpack:"Epoch"`
	Members map[string]uint64 `msgpack:"Members"` // raft identities by name
}
