package consensus

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

// LogVersionActivated is the message that each voter logs when it activates a version. The fleet harness searches for
// this text.
const LogVersionActivated = "version activated"

// minCompactBytes is the minimum size of the log entries since the last snapshot at which the log is compacted. A
// smaller value would write snapshots more often. A larger value would make a restarted voter replay more entries.
const minCompactBytes = 1 << 20

// process handles raft's ready batches and the leader's overdue actions until none is left, and returns the messages to
// send.
func (v *Voter) process(now clusterconfig.Micros) Effects {
	var effects Effects
	for v.err == nil {
		for v.raw.HasReady() {
			if !v.handleReady(now, &effects) {
				break
			}
		}
		if v.err != nil || !v.runLeader(now) {
			break
		}
	}
	effects.Changed = v.changed
	v.changed = false
	return effects
}

// handleReady handles raft's next batch and reports whether the voter still runs. The order matters: the state must be
// saved before any message that depends on it is returned.
func (v *Voter) handleReady(now clusterconfig.Micros, effects *Effects) bool {
	ready := v.raw.Ready()
	if err := v.storage.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		v.fail(err) // the messages of the batch are not sent, as if the voter had crashed
		return false
	}
	if hasSnapshot(ready.Snapshot) {
		if err := v.restore(ready.Snapshot); err != nil {
			v.fail(err)
			return false
		}
	}
	effects.Messages = append(effects.Messages, ready.Messages...)
	for _, e := range ready.CommittedEntries {
		v.applyEntry(now, e)
	}
	for _, s := range ready.ReadStates {
		v.leadership.confirm(s.RequestCtx)
	}
	for _, m := range ready.Messages {
		if m.GetType() == pb.MsgSnap { // the follower's next answer shows whether it received the snapshot
			v.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	v.raw.Advance(ready)
	if ready.SoftState != nil {
		v.leadership.setLeader(ready.RaftState == raft.StateLeader)
	}
	v.maybeCompact()
	return v.err == nil
}

// applyEntry applies a committed entry of the log. If that fails, it stops the voter.
func (v *Voter) applyEntry(now clusterconfig.Micros, e *pb.Entry) {
	v.applied = e.GetIndex()
	v.bytesSinceSnapshot += len(e.GetData())
	var err error
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		err = v.applyMemberChange(e.GetData())
	case e.GetType() == pb.EntryConfChange:
		err = errUnknownMemberEntry
	case len(e.GetData()) > 0:
		err = v.applyCommandEntry(e)
	}
	if err != nil {
		v.fail(err)
		return
	}
	v.maybeStartLessor(now, e.GetTerm())
}

func (v *Voter) applyMemberChange(data []byte) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(data, &change); err != nil {
		return err
	}
	v.conf = v.raw.ApplyConfChange(&change)
	v.membersChanged = true
	var m clusterconfig.Member
	if len(change.GetContext()) > 0 && msgpack.Unmarshal(change.GetContext(), &m) == nil {
		v.state.Members[m.Name] = m.ID
		v.options.Logger.Info("voter replaced", "name", m.Name, "id", fmt.Sprintf("%x", m.ID))
	}
	return nil
}

func (v *Voter) applyCommandEntry(e *pb.Entry) error {
	var c clusterconfig.Command
	if err := msgpack.Unmarshal(e.GetData(), &c); err != nil {
		return fmt.Errorf("decode log entry %d: %w", e.GetIndex(), err)
	}
	v.applyCommand(c)
	return nil
}

func (v *Voter) applyCommand(c clusterconfig.Command) {
	err := v.state.Apply(c)
	if err != nil {
		v.options.Logger.Info("command rejected", "reason", err)
	}
	switch {
	case c.Begin != nil:
		err = v.leadership.began(*c.Begin, err)
	case c.Activate > 0 && err == nil:
		if err := v.activated(); err != nil {
			v.fail(err)
			return
		}
	case c.Adopt != nil && err == nil:
		v.leadership.adopted()
	}
	v.changed = v.changed || err == nil
}

// activated handles a version that the state has just activated: it activates the version at the leader's lessor, and
// reports it to the caller of the proposal.
func (v *Voter) activated() error {
	e := v.state.Document.LastEntry
	if err := v.leadership.activated(); err != nil {
		return err
	}
	v.options.Logger.Info(LogVersionActivated, "version", e.Version, "author", e.Proposal.Author,
		"reason", e.Proposal.Reason, "keys", len(e.Proposal.Changes))
	v.leadership.finish(e.Hash, e, nil)
	return nil
}

// maybeStartLessor starts the leader's lessor once the leader has applied an entry of its own term. The leader has then
// also applied all entries that earlier leaders committed.
func (v *Voter) maybeStartLessor(now clusterconfig.Micros, entryTerm uint64) {
	_, term := v.LeaderAndTerm()
	if !v.leadership.isLeader || v.leadership.lessor != nil || entryTerm != term {
		return
	}
	document := v.state.Document
	v.leadership.lessor = clusterconfig.NewLessor(now, term, v.options.Timing, v.options.Schema,
		document, v.state.Pending, LeadershipLease)
	v.options.Logger.Info("became leader", "term", term, "version", document.Version)
}

// maybeCompact replaces the log by a snapshot once the entries since the last snapshot are twice as large as that
// snapshot, and at least minCompactBytes. The cost thus stays proportional to the changes. It also does so after a
// membership change, because an added voter accepts only a snapshot that names it as a member.
func (v *Voter) maybeCompact() {
	if v.err != nil || v.conf == nil {
		return
	}
	if !v.membersChanged && v.bytesSinceSnapshot < max(minCompactBytes, 2*v.snapshotBytes) {
		return
	}
	v.membersChanged = false
	data, err := msgpack.Marshal(v.state)
	if err == nil {
		err = v.storage.Compact(v.applied, v.conf, data)
	}
	if err != nil {
		v.fail(err)
		return
	}
	v.bytesSinceSnapshot = 0
	v.snapshotBytes = len(data)
}
