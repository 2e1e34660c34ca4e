package consensus

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"junctionwharf/clusterconfig"
)

// Raft's timing.
const (
	// TickInterval is raft's unit of time, in microseconds. Shorter ticks would cost idle wake-ups.
	TickInterval clusterconfig.Micros = 50_000
	// electionTicks is how long a voter waits for a leader before it stands for election: half a second to a second.
	// Shorter would elect anew when a process is stopped briefly; longer would keep changes waiting when a leader dies.
	electionTicks = 10
	// heartbeatTicks has a follower miss several heartbeats before it stands for election.
	heartbeatTicks = 2
	// maxMissedTicks bounds the ticks that a voter that stood still makes up for: others may lead by now, and an
	// election for a reason that has passed would disturb them.
	maxMissedTicks = 2
)

// Raft's bounds.
const (
	maxMessageBytes     = 1 << 20  // of entries in a message: a larger change goes out alone
	maxUncommittedBytes = 32 << 20 // proposals beyond are rejected: bounds the leader's memory without a majority
	maxInflightMessages = 64       // to a follower without an answer: bounds what a slow one has in its queue
)

// ErrOutcomeUnknown is the outcome of a proposal whose leader lost its leadership before the outcome was known. The
// change may have been committed.
var ErrOutcomeUnknown = errors.New("leadership was lost: the change may or may not become active")

var (
	errNoDocument         = errors.New("the record has no document")
	errUnknownMemberEntry = errors.New("a change of voters of an unknown kind")
)

// Options configures a voter.
type Options struct {
	ID     uint64 // raft identity, that of the storage
	Timing clusterconfig.Timing
	Schema clusterconfig.Schema
	Logger *slog.Logger // nil for none
}

// Effects is what a call leads to.
type Effects struct {
	Messages []*pb.Message // to the voters that To names
	Changed  bool          // a version became pending or active: lease holders should renew
}

// Voter is one voter. It is not safe for concurrent use.
type Voter struct {
	options Options
	storage Storage
	raw     *raft.RawNode
	state   *clusterconfig.State // what the log has built up to applied
	conf    *pb.ConfState        // nil without a cluster
	applied uint64               // index
	err     error                // why the voter takes no further part

	bytesSinceSnapshot int
	snapshotBytes      int
	membersChanged     bool // since the snapshot

	nextTick   clusterconfig.Micros
	changed    bool // to be reported by the next Effects
	leadership leadership
}

// New returns a voter with what its storage holds: nothing, for one that waits to be taken into a cluster.
func New(now clusterconfig.Micros, o Options, s Storage) (*Voter, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	v := &Voter{
		options:    o,
		storage:    s,
		state:      clusterconfig.NewState(0, nil),
		nextTick:   now + TickInterval,
		leadership: newLeadership(),
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	if hasSnapshot(snapshot) {
		if err := v.restore(snapshot); err != nil {
			return nil, err
		}
	}
	v.raw, err = raft.NewRawNode(&raft.Config{
		ID:                        o.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   s,
		Applied:                   v.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{o.Logger},
	})
	return v, err
}

// restore takes over the state in a snapshot.
func (v *Voter) restore(snapshot *pb.Snapshot) error {
	index := snapshot.GetMetadata().GetIndex()
	var state clusterconfig.State
	if err := msgpack.Unmarshal(snapshot.GetData(), &state); err != nil {
		return fmt.Errorf("the record at index %d: %w", index, err)
	}
	if state.Document == nil {
		return errNoDocument
	}
	if err := state.VerifyHistory(); err != nil {
		return err
	}
	v.state = &state
	v.conf = snapshot.GetMetadata().GetConfState()
	v.applied = index
	v.snapshotBytes = len(snapshot.GetData())
	v.changed = true
	return nil
}

// Uninitialized reports whether the voter belongs to no cluster yet: none was bootstrapped with it or has taken it in.
func (v *Voter) Uninitialized() bool { return v.conf == nil && v.applied == 0 }

// LeaderElected reports whether the cluster has ever had a leader, as far as this voter knows.
func (v *Voter) LeaderElected() bool { return v.applied > bootstrapIndex }

// Err returns why the voter takes no further part, nil while it does.
func (v *Voter) Err() error { return v.err }

// State returns what the log has built so far. It must not be changed.
func (v *Voter) State() *clusterconfig.State { return v.state }

// ID returns the voter's raft identity.
func (v *Voter) ID() uint64 { return v.options.ID }

// LeaderAndTerm returns the identity of the leader, 0 if none is known, and the term.
func (v *Voter) LeaderAndTerm() (leader, term uint64) {
	status := v.raw.BasicStatus()
	return status.Lead, status.GetTerm()
}

// Step takes a message of another voter. A message to another identity, such as the one that this voter had before it
// lost its disk, is dropped: the voter must not vote again under it.
func (v *Voter) Step(now clusterconfig.Micros, m *pb.Message) Effects {
	if v.err != nil || m.GetTo() != v.options.ID {
		return Effects{}
	}
	_ = v.raw.Step(m) // fails for messages that arrive too late
	return v.process(now)
}

// NextTick returns when Tick should be called at the latest.
func (v *Voter) NextTick() clusterconfig.Micros {
	at := v.nextTick
	if v.leadership.lessor == nil || v.leadership.nextActivate != 0 {
		return at
	}
	if check, pending := v.leadership.lessor.NextCheck(); pending {
		at = min(at, check)
	}
	return at
}

// Tick has time pass.
func (v *Voter) Tick(now clusterconfig.Micros) Effects {
	if v.err != nil {
		return Effects{}
	}
	for n := 0; now >= v.nextTick; n++ {
		v.nextTick += TickInterval
		if n >= maxMissedTicks {
			v.nextTick = now + TickInterval
		}
		v.raw.Tick()
	}
	return v.process(now)
}

// fail ends the voter's part: it neither votes nor grants any more.
func (v *Voter) fail(err error) {
	v.err = err
	v.options.Logger.Error("voter stopped", "reason", err)
	v.leadership.setLeader(false)
}
