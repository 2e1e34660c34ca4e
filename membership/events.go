package membership

// Source is an index into Options.Sources.
type Source int

// NodeState is the state of a node according to a source.
type NodeState int

// The states of a node. Package members converts them to those of the core.
const (
	Ready NodeState = iota
	Draining
	Removed // only in an incremental answer and in a Change
)

// Entry describes one node according to a source.
type Entry struct {
	Name          string
	Address       string // host:port; the node's identity
	Zone          string
	Kind          string
	Shard         int
	State         NodeState
	Capacity      float64 // the node's size according to discovery; 0 or less means 1
	TrafficWeight float64 // relative to nodes of its shard and priority, as in SRV records; 0 means 1
	Priority      int     // nodes with a lower value are used first
	LastStart     Micros  // on the caller's clock; 0 for long ago, UnknownStart if the source does not report it
}

// UnknownStart is the LastStart of an entry whose source does not report the time of the start.
const UnknownStart Micros = -1

// Event is an input of State.Reduce.
type Event interface{ event() }

// SourceAnswered is a source's answer to a query that was sent at AskedAt.
type SourceAnswered struct {
	Source   Source
	AskedAt  Micros
	Complete bool // a full snapshot of the source's list; otherwise only changes
	Entries  []Entry
}

// SourceFailed reports that a query of a source failed.
type SourceFailed struct {
	Source Source
	Reason string
}

func (SourceAnswered) event() {}
func (SourceFailed) event()   {}

// Node is a node as announced to the core.
type Node struct {
	Entry
	Reason string // why the node is listed in its state, or was removed
}

// Change contains the nodes to announce to the core: those that are new or changed and, with State Removed, those that
// were removed.
type Change struct{ Nodes []Node }
