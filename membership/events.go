package membership

// Source is an index into Options.Sources.
type Source int

// NodeState is what a source says of a node.
type NodeState int

// The states. Package members converts them to the core's.
const (
	Ready NodeState = iota
	Draining
	Removed // only in an answer of changes
)

// Entry is what a source says of one node.
type Entry struct {
	Name          string
	Address       string // host:port; the node's identity
	Zone          string
	Kind          string
	Shard         int
	State         NodeState
	Capacity      float64 // its size, as discovery tells it; 0 counts as 1
	TrafficWeight float64 // against others of its shard and priority, as SRV weights tell it; 0 counts as 1
	Priority      int     // lower goes first
	LastStart     Micros  // on the given clock; 0 for long ago, UnknownStart if the source does not say
}

// UnknownStart is the LastStart of an entry whose source does not say.
const UnknownStart Micros = -1

// Event is something that happened; State.Reduce takes it.
type Event interface{ event() }

// SourceAnswered brings a source's answer to a question that was asked at AskedAt.
type SourceAnswered struct {
	Source   Source
	AskedAt  Micros
	Complete bool // a full snapshot of what it lists; else what has changed
	Entries  []Entry
}

// SourceFailed reports that a source could not be asked, or did not answer.
type SourceFailed struct {
	Source Source
	Reason string
}

func (SourceAnswered) event() {}
func (SourceFailed) event()   {}

// Node is a node as announced to the core.
type Node struct {
	Entry
	Reason string // why it is listed as it is
}

// Change is what is announced to the core: nodes that are new or changed, and, with State Removed, those that were
// removed.
type Change struct{ Nodes []Node }
