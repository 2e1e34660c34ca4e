// Package consensus is one voter of the few that keep the agreed document: the raft library's core, the record that its log builds, and,
// while this voter leads, the keeper that grants leases and leads changes. It does no I/O but through Storage, reads no clock and starts no
// goroutine: time, messages and renewals are arguments, what is to be sent is returned. So the same code runs in the daemon and in a
// simulated cluster.
//
// What it promises: commands that were committed stay, whatever crashes, is cut off or stops, as long as a majority of the voters
// keeps its identity's state; an identity whose state is lost is never used again (Options.ID is drawn anew). A voter whose storage
// fails takes no further part, and says so. A lost majority stops changes, and ends leases; brokers then serve on, restricted.
//
// go.etcd.io/raft is taken because its core is a value that is stepped, as ours are; see docs/agreement.md for what else was weighed.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

// The times of the consensus, in µs.
const (
	TickSpan      = 50_000
	electionTicks = 10
	heartbeat     = 2
	ConfirmSpan   = 500_000 // for how long a confirmed leader grants; a new leader waits that out
	confirmEvery  = 100_000
	retryEvery    = 300_000 // what was proposed and not committed is proposed again
)

const (
	mostBytes     = 1 << 20  // of a message
	mostUnsettled = 32 << 20 // of entries on their way to a majority
	leastCompact  = 1 << 20  // the log is cut when it is larger than this and than the document
	keepEntries   = 64       // behind the cut, for voters that are nearly up to date
	mostWaiters   = 1024
)

// Storage is where a voter keeps its state. Save and Compact return once it lasts, as far as the storage lasts at all.
type Storage interface {
	raft.Storage
	Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error
	Compact(index uint64, conf *pb.ConfState, data []byte) error
	Close() error
	Forget() error // and Close: the identity is gone for good
}

// Options is what a voter is told.
type Options struct {
	ID     uint64
	Timing clusterconfig.Timing
	Rules  clusterconfig.Rules
	Log    *slog.Logger
}

// ErrUnknown is of a proposal whose leader was lost before its end was known.
var ErrUnknown = errors.New("the leader was lost: whether the change came into force is not known")

// Effects is what a call leads to.
type Effects struct {
	Messages []*pb.Message // to the voters that To names
	News     bool          // holders should renew: a version is under way, or in force
}

// Voter is one voter. It is not safe for concurrent use.
type Voter struct {
	options Options
	storage Storage
	raw     *raft.RawNode
	record  *clusterconfig.Record
	conf    *pb.ConfState
	applied uint64
	logged  int  // bytes since the last cut
	cutSize int  // of the last cut's data
	moved   bool // the voters changed since the last cut
	err     error

	leads   bool
	keeper  *clusterconfig.Keeper // while it leads and has applied all of earlier terms
	tickAt  clusterconfig.Micros
	asked   map[uint64]clusterconfig.Micros // confirmations on their way
	askNo   uint64
	askAt   clusterconfig.Micros
	begun   string // hash of the entry whose begin was proposed
	begunAt clusterconfig.Micros
	actAt   clusterconfig.Micros // when bringing into force was proposed last
	waiters map[string]func(clusterconfig.Entry, error)
	adoptAt clusterconfig.Micros
	swapAt  clusterconfig.Micros
	offer   *clusterconfig.Document // the latest of an earlier epoch that a holder brought
	news    bool
}

// Form has an empty storage hold what all voters begin with that form a consensus.
func Form(s Storage, epoch uint64, members map[string]uint64) error {
	data, err := msgpack.Marshal(clusterconfig.NewRecord(epoch, members))
	if err != nil {
		return err
	}
	conf := &pb.ConfState{Voters: slices.Sorted(maps.Values(members))}
	return s.Save(&pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, nil,
		&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: conf}})
}

// New returns a voter with what its storage holds: nothing, for one that waits to be taken in.
func New(now clusterconfig.Micros, o Options, s Storage) (*Voter, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	v := &Voter{options: o, storage: s, record: clusterconfig.NewRecord(0, nil), tickAt: now + TickSpan, asked: map[uint64]clusterconfig.Micros{}, waiters: map[string]func(clusterconfig.Entry, error){}}
	snap, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	if snap.GetMetadata().GetIndex() > 0 {
		if err := v.restore(snap); err != nil {
			return nil, err
		}
	}
	v.raw, err = raft.NewRawNode(&raft.Config{ID: o.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeat, Storage: s, Applied: v.applied, MaxSizePerMsg: mostBytes,
		MaxInflightMsgs: 64, MaxUncommittedEntriesSize: mostUnsettled, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet{o.Log}})
	return v, err
}

func (v *Voter) restore(snap *pb.Snapshot) error {
	var record clusterconfig.Record
	if err := msgpack.Unmarshal(snap.GetData(), &record); err != nil {
		return fmt.Errorf("the record at index %d: %w", snap.GetMetadata().GetIndex(), err)
	}
	if record.Doc == nil {
		return errors.New("the record has no document")
	}
	if err := record.Verify(); err != nil {
		return err
	}
	v.record, v.conf, v.applied, v.cutSize = &record, snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex(), len(snap.GetData())
	v.news = true
	return nil
}

// Fresh tells whether it holds nothing: no consensus was formed with it, nor has one taken it in.
func (v *Voter) Fresh() bool { return v.conf == nil && v.applied == 0 }

// Begun tells whether the consensus has had a leader, as far as this voter knows.
func (v *Voter) Begun() bool {
	return v.applied > 1
}

// Offers tells whether a holder has brought a document of an earlier epoch.
func (v *Voter) Offers() bool { return v.offer != nil }

// Err is why the voter takes no further part, nil while it does.
func (v *Voter) Err() error { return v.err }

// Record is what the log has built so far; it must not be changed.
func (v *Voter) Record() *clusterconfig.Record { return v.record }

// ID is the voter's identity.
func (v *Voter) ID() uint64 { return v.options.ID }

// Status is who leads, 0 for nobody known, in which term.
func (v *Voter) Status() (leader, term uint64) {
	s := v.raw.BasicStatus()
	return s.Lead, s.HardState.GetTerm()
}

// Leads tells whether it grants leases.
func (v *Voter) Leads() bool { return v.keeper != nil && v.err == nil }

// Keeper is the leader's, nil while it does not lead.
func (v *Voter) Keeper() *clusterconfig.Keeper { return v.keeper }

// Step takes a message of another voter. One that is meant for another identity, such as that which this name had before, is
// dropped: it must not vote again under it.
func (v *Voter) Step(now clusterconfig.Micros, m *pb.Message) Effects {
	if v.err != nil || m.GetTo() != v.options.ID {
		return Effects{}
	}
	v.raw.Step(m) // its errors are those of messages that come too late
	return v.work(now)
}

// Next is when Tick should be called at the latest.
func (v *Voter) Next() clusterconfig.Micros {
	at := v.tickAt
	if v.keeper != nil {
		if due, any := v.keeper.Next(); any && v.actAt == 0 {
			at = min(at, due)
		}
	}
	return at
}

// Tick has time pass. A voter that stood still does not make up for it: others may lead by now.
func (v *Voter) Tick(now clusterconfig.Micros) Effects {
	if v.err != nil {
		return Effects{}
	}
	for n := 0; now >= v.tickAt; n++ {
		if v.tickAt += TickSpan; n >= 2 {
			v.tickAt = now + TickSpan
		}
		v.raw.Tick()
	}
	return v.work(now)
}

// Read is what is in force now, nil if this voter can't be sure of it.
func (v *Voter) Read(now clusterconfig.Micros) *clusterconfig.Document {
	if !v.Leads() || !v.keeper.Sure(now) {
		return nil
	}
	return v.record.Doc
}

// Renewed answers a holder's renewal, nil for not: this voter does not lead, or not surely.
func (v *Voter) Renewed(now clusterconfig.Micros, r clusterconfig.Renewal) *clusterconfig.Grant {
	if !v.Leads() {
		return nil
	}
	return v.keeper.Renewed(now, r)
}

// Wants tells whether a holder should send its document: it may outlive voters without disks that were all restarted.
func (v *Voter) Wants(r clusterconfig.Renewal) bool {
	return v.Leads() && v.record.Doc.Version == 0 && r.Epoch != v.record.Doc.Epoch && r.Version > 0 && (v.offer == nil || r.Version > v.offer.Version)
}

// Offered takes such a document. The latest is taken over once all that can act on any has lost its lease.
func (v *Voter) Offered(doc *clusterconfig.Document) {
	if v.Leads() && v.record.Doc.Version == 0 && (v.offer == nil || doc.Version > v.offer.Version) {
		v.offer = doc
	}
}

// Propose proposes a change; done is told of its end: in force, refused, or ErrUnknown.
func (v *Voter) Propose(now clusterconfig.Micros, p clusterconfig.Proposal, done func(clusterconfig.Entry, error)) Effects {
	switch {
	case !v.Leads():
		done(clusterconfig.Entry{}, clusterconfig.ErrNotLeader)
		return Effects{}
	case v.begun != "" || len(v.waiters) >= mostWaiters:
		done(clusterconfig.Entry{}, clusterconfig.ErrUnderWay)
		return Effects{}
	case v.record.Doc.Version == 0 && !v.keeper.Clear(now):
		done(clusterconfig.Entry{}, fmt.Errorf("%w: brokers may act on what was in force before", clusterconfig.ErrNotLeader))
		return Effects{}
	}
	e, err := v.keeper.Propose(now, p)
	if err == nil {
		err = v.propose(clusterconfig.Command{Begin: &e})
	}
	if err != nil {
		done(clusterconfig.Entry{}, err)
		return Effects{}
	}
	v.begun, v.begunAt = e.Hash, now
	v.waiters[e.Hash] = done
	return v.work(now)
}

func (v *Voter) propose(c clusterconfig.Command) error {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	return v.raw.Propose(data)
}

// Replace has a name's identity replaced by another, as a joint change of the voters: its state is lost.
func (v *Voter) Replace(now clusterconfig.Micros, m clusterconfig.Member) Effects {
	old, known := v.record.Members[m.Name]
	if !v.Leads() || !known || old == m.ID || now < v.swapAt || len(v.conf.GetVotersOutgoing()) > 0 {
		return Effects{}
	}
	v.swapAt = now + retryEvery
	data, err := msgpack.Marshal(m)
	if err != nil {
		return Effects{}
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	change := &pb.ConfChangeV2{Context: data, Changes: []*pb.ConfChangeSingle{{Type: &add, NodeId: proto.Uint64(m.ID)}, {Type: &remove, NodeId: proto.Uint64(old)}}}
	if v.raw.ProposeConfChange(change) != nil {
		return Effects{}
	}
	return v.work(now)
}

// work carries out what raft has ready, and what the leader has to do.
func (v *Voter) work(now clusterconfig.Micros) Effects {
	var out Effects
	for v.err == nil {
		for v.raw.HasReady() {
			if !v.ready(now, &out) {
				break
			}
		}
		if v.err != nil || !v.lead(now) {
			break
		}
	}
	out.News, v.news = v.news, false
	return out
}

func (v *Voter) ready(now clusterconfig.Micros, out *Effects) bool {
	rd := v.raw.Ready()
	if err := v.storage.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		v.fail(err) // nothing of it was sent: it is as if this voter had crashed
		return false
	}
	if rd.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := v.restore(rd.Snapshot); err != nil {
			v.fail(err)
			return false
		}
	}
	out.Messages = append(out.Messages, rd.Messages...)
	for _, e := range rd.CommittedEntries {
		v.commit(now, e)
	}
	for _, s := range rd.ReadStates {
		if no := binary.BigEndian.Uint64(s.RequestCtx); v.keeper != nil && v.asked[no] > 0 {
			v.keeper.Confirmed(v.asked[no] + ConfirmSpan)
			maps.DeleteFunc(v.asked, func(n uint64, _ clusterconfig.Micros) bool { return n <= no })
		}
	}
	for _, m := range rd.Messages {
		if m.GetType() == pb.MsgSnap { // whether it came shows by what the other says next
			v.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	v.raw.Advance(rd)
	if rd.SoftState != nil {
		v.led(rd.SoftState.RaftState == raft.StateLeader)
	}
	v.cut()
	return v.err == nil
}

func (v *Voter) led(leads bool) {
	if v.leads = leads; leads {
		return
	}
	v.keeper, v.begun, v.actAt, v.offer = nil, "", 0, nil
	clear(v.asked)
	for hash, done := range v.waiters {
		delete(v.waiters, hash)
		done(clusterconfig.Entry{}, ErrUnknown)
	}
}

func (v *Voter) fail(err error) {
	v.err = err
	v.options.Log.Error("voter stopped", "reason", err)
	v.led(false)
}

// commit applies a committed entry of raft's log.
func (v *Voter) commit(now clusterconfig.Micros, e *pb.Entry) {
	v.applied = e.GetIndex()
	v.logged += len(e.GetData())
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		var change pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &change); err != nil {
			v.fail(err)
			return
		}
		v.conf = v.raw.ApplyConfChange(&change)
		v.moved = true
		var m clusterconfig.Member
		if len(change.GetContext()) > 0 && msgpack.Unmarshal(change.GetContext(), &m) == nil {
			v.record.Members[m.Name] = m.ID
			v.options.Log.Info("voter replaced", "name", m.Name, "id", fmt.Sprintf("%x", m.ID))
		}
	case e.GetType() == pb.EntryConfChange:
		v.fail(errors.New("a change of voters of an unknown kind"))
		return
	case len(e.GetData()) > 0:
		var c clusterconfig.Command
		if err := msgpack.Unmarshal(e.GetData(), &c); err != nil {
			v.fail(fmt.Errorf("entry %d: %w", e.GetIndex(), err))
			return
		}
		v.apply(now, c)
	}
	if _, term := v.Status(); v.leads && v.keeper == nil && e.GetTerm() == term {
		v.keeper = clusterconfig.NewKeeper(now, term, v.options.Timing, v.options.Rules, v.record.Doc, v.record.Pending, ConfirmSpan)
		v.options.Log.Info("leads", "term", term, "version", v.record.Doc.Version)
	}
}

func (v *Voter) apply(now clusterconfig.Micros, c clusterconfig.Command) {
	err := v.record.Apply(c)
	if err != nil {
		v.options.Log.Info("command not taken", "reason", err)
	}
	switch {
	case c.Begin != nil:
		if v.begun == c.Begin.Hash {
			v.begun = ""
		}
		if err == nil && v.keeper != nil {
			err = v.keeper.Begin(now, *c.Begin)
		}
		if done := v.waiters[c.Begin.Hash]; err != nil && done != nil {
			delete(v.waiters, c.Begin.Hash)
			done(clusterconfig.Entry{}, err)
		}
	case c.Activate > 0 && err == nil:
		v.actAt = 0
		if v.keeper != nil {
			if err := v.keeper.Activate(); err != nil {
				v.fail(err)
				return
			}
		}
		e := v.record.Doc.Last
		v.options.Log.Info("version in force", "version", e.Version, "author", e.Proposal.Author, "reason", e.Proposal.Reason, "keys", len(e.Proposal.Changes))
		if done := v.waiters[e.Hash]; done != nil {
			delete(v.waiters, e.Hash)
			done(e, nil)
		}
	case c.Adopt != nil && err == nil:
		v.keeper, v.offer = nil, nil // made anew by the entry itself
	}
	v.news = v.news || err == nil
}

// lead does what a leader has to do now, and tells whether raft has work by it.
func (v *Voter) lead(now clusterconfig.Micros) bool {
	if v.leads && now >= v.askAt {
		v.askAt = now + confirmEvery
		if v.keeper != nil {
			v.keeper.Forget(now)
		}
		v.askNo++
		v.asked[v.askNo] = now
		var no [8]byte
		binary.BigEndian.PutUint64(no[:], v.askNo)
		v.raw.ReadIndex(no[:])
		if len(v.asked) > 64 {
			maps.DeleteFunc(v.asked, func(n uint64, _ clusterconfig.Micros) bool { return n+64 <= v.askNo })
		}
		return v.raw.HasReady()
	}
	k := v.keeper
	switch {
	case k == nil:
		return false
	case v.begun != "" && now >= v.begunAt+10*retryEvery:
		v.begun = "" // it was lost on the way; were it committed yet, it would be refused or found under way
	case v.offer != nil && v.record.Doc.Version == 0 && v.record.Pending == nil && k.Clear(now) && now >= v.adoptAt:
		v.adoptAt = now + retryEvery
		return v.propose(clusterconfig.Command{Adopt: v.offer}) == nil
	case k.Due(now) && now >= v.actAt:
		v.actAt = now + retryEvery
		return v.propose(clusterconfig.Command{Activate: k.Pending().Version}) == nil
	}
	return false
}

// cut has the storage forget the log up to now, once it is larger than what replaces it: so this costs in proportion to the changes. After
// a change of voters too: one who is taken in believes only a snapshot that knows it.
func (v *Voter) cut() {
	if v.err != nil || !v.moved && (v.logged < leastCompact || v.logged < 2*v.cutSize) || v.conf == nil {
		return
	}
	v.moved = false
	data, err := msgpack.Marshal(v.record)
	if err == nil {
		err = v.storage.Compact(v.applied, v.conf, data)
	}
	if err != nil {
		v.fail(err)
		return
	}
	v.logged, v.cutSize = 0, len(data)
}

// DrawID draws an identity.
func DrawID(random *rand.Rand) uint64 { return random.Uint64()>>1 | 1 }

// quiet has raft's own log at the debug level.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(v ...any)                   { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Debugf(format string, v ...any)   { q.log.Debug(fmt.Sprintf(format, v...)) }
func (q quiet) Info(v ...any)                    { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Infof(format string, v ...any)    { q.log.Debug(fmt.Sprintf(format, v...)) }
func (q quiet) Warning(v ...any)                 { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Warningf(format string, v ...any) { q.log.Debug(fmt.Sprintf(format, v...)) }
func (q quiet) Error(v ...any)                   { q.log.Warn(fmt.Sprint(v...)) }
func (q quiet) Errorf(format string, v ...any)   { q.log.Warn(fmt.Sprintf(format, v...)) }
func (q quiet) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (q quiet) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
