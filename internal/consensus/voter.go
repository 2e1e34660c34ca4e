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

// Timing of raft.
const (
	// TickInterval is the duration of a raft tick, in microseconds. A shorter tick would cost more idle wake-ups.
	TickInterval clusterconfig.Micros = 50_000
	// electionTicks is the minimum election timeout, in ticks. Raft draws each election timeout of a voter between half
	// a second and a second. A shorter timeout would cause elections when a process is stopped briefly. A longer
	// timeout would delay changes after the leader has died.
	electionTicks = 10
	// heartbeatTicks is the heartbeat interval, in ticks. A follower must miss several heartbeats before it starts an
	// election.
	heartbeatTicks = 2
	// maxMissedTicks is how many missed ticks a voter makes up for after its process was stopped; further ones are
	// skipped. Another voter may have become the leader, and the stopped voter would disturb it if it started an
	// election because of the missed time.
	maxMissedTicks = 2
)

// Limits of raft.
const (
	maxMessageBytes     = 1 << 20  // maximum size of the entries in a message; a larger entry is sent alone
	maxUncommittedBytes = 32 << 20 // above it, proposals are rejected; limits the memory of a leader without a majority
	maxInflightMessages = 64       // unanswered messages per follower; limits the queue of a slow follower
)

// ErrOutcomeUnknown is the outcome of a proposal if the voter at which it was made stops being the leader before the
// proposal was activated or rejected. The change may have been committed.
var ErrOutcomeUnknown = errors.New("leadership was lost: the change may or may not become active")

var (
	errNoDocument         = errors.New("replicated state contains no document")
	errUnknownMemberEntry = errors.New("membership change has the unsupported type EntryConfChange")
)

// Options configures a voter.
type Options struct {
	ID     uint64 // raft identity; for a DiskStorage the identity that OpenDisk returned
	Timing clusterconfig.Timing
	Schema clusterconfig.Schema
	Logger *slog.Logger // nil for none
}

// Effects is what the caller has to do after a call that may have changed the voter's state.
type Effects struct {
	Messages []*pb.Message // to be sent to the raft identities in their To fields
	Changed  bool          // the replicated state changed, so lease holders should renew
}

// Voter is one voter of a cluster. It is not safe for concurrent use.
type Voter struct {
	options Options
	storage Storage
	raw     *raft.RawNode
	state   *clusterconfig.State // built from the log up to applied
	conf    *pb.ConfState        // nil if the voter belongs to no cluster
	applied uint64               // index of the last applied entry
	err     error                // why the voter stopped, nil while it runs

	bytesSinceSnapshot int
	snapshotBytes      int
	membersChanged     bool // a membership change was applied since the last snapshot

	nextTick   clusterconfig.Micros
	changed    bool // the replicated state changed since the last Effects
	leadership leadership
}

// New returns a voter with the state in its storage. A voter with an empty storage waits until it is added to a
// cluster.
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

// restore replaces the voter's state by the state in a snapshot.
func (v *Voter) restore(snapshot *pb.Snapshot) error {
	index := snapshot.GetMetadata().GetIndex()
	var state clusterconfig.State
	if err := msgpack.Unmarshal(snapshot.GetData(), &state); err != nil {
		return fmt.Errorf("decode snapshot at index %d: %w", index, err)
	}
	if state.Document == nil {
		return fmt.Errorf("snapshot at index %d: %w", index, errNoDocument)
	}
	if err := state.VerifyHistory(); err != nil {
		return fmt.Errorf("snapshot at index %d: %w", index, err)
	}
	v.state = &state
	v.conf = snapshot.GetMetadata().GetConfState()
	v.applied = index
	v.snapshotBytes = len(snapshot.GetData())
	v.changed = true
	return nil
}

// Uninitialized reports whether the voter belongs to no cluster yet: it was neither bootstrapped nor added to one.
func (v *Voter) Uninitialized() bool { return v.conf == nil && v.applied == 0 }

// LeaderElected reports whether this voter has applied an entry after the bootstrap, so that a leader must have
// existed.
func (v *Voter) LeaderElected() bool { return v.applied > bootstrapIndex }

// Err returns the error that stopped the voter, nil while it runs.
func (v *Voter) Err() error { return v.err }

// State returns the state built from the log so far. The caller must not change it.
func (v *Voter) State() *clusterconfig.State { return v.state }

// ID returns the voter's raft identity.
func (v *Voter) ID() uint64 { return v.options.ID }

// LeaderAndTerm returns the raft identity of the leader, 0 if it is unknown, and the term.
func (v *Voter) LeaderAndTerm() (leader, term uint64) {
	status := v.raw.BasicStatus()
	return status.Lead, status.GetTerm()
}

// Step handles a message from another voter. It drops a message to another raft identity, such as the identity that
// this voter had before it lost its state, because the voter must not vote again under that identity.
func (v *Voter) Step(now clusterconfig.Micros, m *pb.Message) Effects {
	if v.err != nil || m.GetTo() != v.options.ID {
		return Effects{}
	}
	_ = v.raw.Step(m) // returns an error for outdated messages
	return v.process(now)
}

// NextTick returns the time of the next call of Tick: that of the next raft tick or, if it is sooner, the time at which
// a pending change may be activated because leases have ended.
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

// Tick advances raft's clock to now and performs the leader's overdue actions.
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

// fail stops the voter: it no longer votes or grants leases.
func (v *Voter) fail(err error) {
	v.err = err
	v.options.Logger.Error("voter stopped", "reason", err)
	v.leadership.setLeader(false)
}
