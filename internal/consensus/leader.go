package consensus

import (
	"encoding/binary"
	"fmt"
	"maps"

	"github.com/vmihailenco/msgpack/v5"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

// Timing of the leader, in microseconds.
const (
	// LeadershipLease is how long a leader may grant leases, counted from when it sent the request by which a majority
	// confirmed it. A new leader assumes that its predecessor may grant for this long. LeadershipLease equals the
	// minimum election timeout, so no other leader can be elected before it has passed.
	LeadershipLease clusterconfig.Micros = electionTicks * TickInterval
	// confirmInterval is how often a leader asks a majority for confirmation. An interval above LeadershipLease would
	// interrupt grants. A shorter interval would cost messages.
	confirmInterval = 100_000
	// retryInterval is the time after which the leader proposes a command again that was not committed. If it were
	// shorter than a commit takes, the log would fill with duplicates. Only the commands that activate a version, adopt
	// a document or replace a member are proposed again.
	retryInterval = 300_000
	// proposalTimeout is the time after which an uncommitted proposal no longer blocks other proposals. If the proposal
	// is committed later, it is rejected, or it becomes pending as if it had just been proposed.
	proposalTimeout = 10 * retryInterval
)

const (
	// maxProposals limits the proposals whose callers wait for an outcome. At the limit, a further proposal is rejected
	// with ErrChangePending. Each waiting caller costs the leader one map entry.
	maxProposals = 1024
	// maxConfirmations limits the confirmation requests in flight, in case none is answered. Only the requests of the
	// last LeadershipLease matter, of which there are five.
	maxConfirmations = 64
)

// errEarlierLeases is returned for a proposal while a broker may hold a lease on a document from before the bootstrap.
var errEarlierLeases = fmt.Errorf("%w: brokers may still hold leases on a document from before the bootstrap",
	clusterconfig.ErrNotLeader)

// leadership is the state that a voter needs as the leader. Voter owns it.
type leadership struct {
	isLeader bool                  // according to raft
	lessor   *clusterconfig.Lessor // nil until the leader has applied an entry of its own term

	confirmations map[uint64]clusterconfig.Micros // send times of the read index requests in flight, by sequence number
	confirmSeq    uint64                          // sequence number of the latest read index request
	nextConfirm   clusterconfig.Micros

	proposed     string // hash of the entry that was proposed but is not yet pending, empty for none
	proposedAt   clusterconfig.Micros
	nextActivate clusterconfig.Micros // earliest time to propose the activation again, 0 if it was not proposed
	callers      map[string]Outcome   // callers that wait for the outcome of a proposal, by entry hash

	offer       *clusterconfig.Document // latest document of an earlier epoch that a lease holder sent
	nextAdopt   clusterconfig.Micros
	nextReplace clusterconfig.Micros
}

// Outcome receives the outcome of a proposal: the entry once it is active, or an error. The error is the reason for the
// rejection, or ErrOutcomeUnknown.
type Outcome func(clusterconfig.Entry, error)

func newLeadership() leadership {
	return leadership{confirmations: map[uint64]clusterconfig.Micros{}, callers: map[string]Outcome{}}
}

// setLeader records whether this voter is the leader according to raft. A voter that is not the leader cannot learn the
// outcome of proposals that were made at it, so setLeader passes ErrOutcomeUnknown to their callers.
func (l *leadership) setLeader(isLeader bool) {
	l.isLeader = isLeader
	if isLeader {
		return
	}
	l.lessor = nil
	l.proposed = ""
	l.nextActivate = 0
	l.offer = nil
	clear(l.confirmations)
	for hash := range l.callers {
		l.finish(hash, clusterconfig.Entry{}, ErrOutcomeUnknown)
	}
}

// finish reports the outcome of a proposal to its caller, if a caller at this voter waits for it.
func (l *leadership) finish(hash string, e clusterconfig.Entry, err error) {
	outcome := l.callers[hash]
	if outcome == nil {
		return
	}
	delete(l.callers, hash)
	outcome(e, err)
}

// confirm records that a majority has answered a read index request. A voter that answered does not help to elect
// another leader within the election timeout, counted from when the request was sent (raft's CheckQuorum). The leader
// may grant leases until then.
func (l *leadership) confirm(request []byte) {
	seq := binary.BigEndian.Uint64(request)
	sent := l.confirmations[seq]
	if l.lessor == nil || sent <= 0 {
		return
	}
	l.lessor.ConfirmLeadership(sent + LeadershipLease)
	maps.DeleteFunc(l.confirmations, func(n uint64, _ clusterconfig.Micros) bool { return n <= seq })
}

// began handles a committed Begin. err is the error with which the state rejected it, nil if the state accepted it. If
// the state or the lessor rejected the entry, began reports that to the caller of the proposal and returns the error.
func (l *leadership) began(e clusterconfig.Entry, err error) error {
	if l.proposed == e.Hash {
		l.proposed = ""
	}
	if err == nil && l.lessor != nil {
		err = l.lessor.Begin(e)
	}
	if err != nil {
		l.finish(e.Hash, clusterconfig.Entry{}, err)
	}
	return err
}

// activated handles a committed Activate.
func (l *leadership) activated() error {
	l.nextActivate = 0
	if l.lessor == nil {
		return nil
	}
	return l.lessor.Activate()
}

// adopted handles a committed Adopt. It drops the lessor. applyEntry then starts a new one with the adopted document.
func (l *leadership) adopted() {
	l.lessor = nil
	l.offer = nil
}

// IsLeader reports whether the voter runs, is the leader, and has applied an entry of its own term. Even then it grants
// leases and accepts proposals only while its leadership is confirmed.
func (v *Voter) IsLeader() bool { return v.leadership.lessor != nil && v.err == nil }

// Lessor returns the leader's lessor, nil while the voter is not the leader or has not yet applied an entry of its
// term.
func (v *Voter) Lessor() *clusterconfig.Lessor { return v.leadership.lessor }

// Read returns the active document, nil if this voter cannot be sure which document is active.
func (v *Voter) Read(now clusterconfig.Micros) *clusterconfig.Document {
	if !v.IsLeader() || !v.leadership.lessor.LeadershipConfirmed(now) {
		return nil
	}
	return v.state.Document
}

// HandleRenewal answers a renewal. It returns nil if this voter is not the leader or must not grant a lease.
func (v *Voter) HandleRenewal(now clusterconfig.Micros, r clusterconfig.Renewal) *clusterconfig.Grant {
	if !v.IsLeader() {
		return nil
	}
	return v.leadership.lessor.HandleRenewal(now, r)
}

// WantsDocument reports whether the sender of a renewal should send its document. If the voters store nothing on disk
// and all of them restart, the documents of lease holders may be the only remaining copies of the configuration.
func (v *Voter) WantsDocument(r clusterconfig.Renewal) bool {
	if !v.IsLeader() || v.state.Document.Version > 0 {
		return false
	}
	offer := v.leadership.offer
	return r.Epoch != v.state.Document.Epoch && r.Version > 0 && (offer == nil || r.Version > offer.Version)
}

// OfferDocument handles a document that a lease holder sent because WantsDocument returned true. The leader adopts the
// document of the highest version once all leases from before the bootstrap have ended.
func (v *Voter) OfferDocument(document *clusterconfig.Document) {
	if !v.IsLeader() || v.state.Document.Version > 0 {
		return
	}
	if offer := v.leadership.offer; offer == nil || document.Version > offer.Version {
		v.leadership.offer = document
	}
}

// HasOffer reports whether a lease holder has sent a document of an earlier epoch that was not yet adopted.
func (v *Voter) HasOffer() bool { return v.leadership.offer != nil }

// Propose proposes a change. It calls outcome once the outcome of the proposal is known, possibly before it returns.
func (v *Voter) Propose(now clusterconfig.Micros, p clusterconfig.Proposal, outcome Outcome) Effects {
	e, err := v.prepareProposal(now, p)
	if err == nil {
		err = v.proposeCommand(clusterconfig.Command{Begin: &e})
	}
	if err != nil {
		outcome(clusterconfig.Entry{}, err)
		return Effects{}
	}
	v.leadership.proposed = e.Hash
	v.leadership.proposedAt = now
	v.leadership.callers[e.Hash] = outcome
	return v.process(now)
}

// prepareProposal returns the entry to commit, or the reason for which the proposal is rejected.
func (v *Voter) prepareProposal(now clusterconfig.Micros, p clusterconfig.Proposal) (clusterconfig.Entry, error) {
	l := &v.leadership
	if !v.IsLeader() {
		return clusterconfig.Entry{}, clusterconfig.ErrNotLeader
	}
	if l.proposed != "" || len(l.callers) >= maxProposals {
		return clusterconfig.Entry{}, clusterconfig.ErrChangePending
	}
	if v.state.Document.Version == 0 && !l.lessor.EarlierLeasesExpired(now) {
		return clusterconfig.Entry{}, errEarlierLeases
	}
	return l.lessor.Propose(now, p)
}

func (v *Voter) proposeCommand(c clusterconfig.Command) error {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	return v.raw.Propose(data)
}

// ReplaceMember replaces the raft identity of a voter that has lost its state, by a joint membership change. It does
// nothing if this voter is not the leader, if the member is unknown or has that identity already, or if a replacement
// was proposed within retryInterval or is incomplete.
func (v *Voter) ReplaceMember(now clusterconfig.Micros, m clusterconfig.Member) Effects {
	old, known := v.state.Members[m.Name]
	if !v.IsLeader() || !known || old == m.ID || now < v.leadership.nextReplace || v.inJointConfig() {
		return Effects{}
	}
	v.leadership.nextReplace = now + retryInterval
	context, err := msgpack.Marshal(m)
	if err != nil {
		return Effects{}
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	change := &pb.ConfChangeV2{
		Context: context,
		Changes: []*pb.ConfChangeSingle{
			{Type: &add, NodeId: proto.Uint64(m.ID)},
			{Type: &remove, NodeId: proto.Uint64(old)},
		},
	}
	if v.raw.ProposeConfChange(change) != nil {
		return Effects{}
	}
	return v.process(now)
}

// inJointConfig reports whether a membership change is incomplete.
func (v *Voter) inJointConfig() bool { return len(v.conf.GetVotersOutgoing()) > 0 }

// runLeader performs at most one overdue action of the leader, and reports whether process must continue because raft
// has new work.
func (v *Voter) runLeader(now clusterconfig.Micros) bool {
	l := &v.leadership
	if l.isLeader && now >= l.nextConfirm {
		v.requestConfirmation(now)
		return v.raw.HasReady()
	}
	if l.lessor == nil {
		return false
	}
	switch {
	case l.proposed != "" && now >= l.proposedAt+proposalTimeout:
		l.proposed = ""
	case v.canAdopt(now):
		l.nextAdopt = now + retryInterval
		return v.proposeCommand(clusterconfig.Command{Adopt: l.offer}) == nil
	case l.lessor.CanActivate(now) && now >= l.nextActivate:
		l.nextActivate = now + retryInterval
		return v.proposeCommand(clusterconfig.Command{Activate: l.lessor.Pending().Version}) == nil
	}
	return false
}

func (v *Voter) canAdopt(now clusterconfig.Micros) bool {
	l := &v.leadership
	if l.offer == nil || v.state.Document.Version > 0 || v.state.Pending != nil {
		return false
	}
	return l.lessor.EarlierLeasesExpired(now) && now >= l.nextAdopt
}

// requestConfirmation asks the other voters, by a read index request, whether this voter is still the leader.
func (v *Voter) requestConfirmation(now clusterconfig.Micros) {
	l := &v.leadership
	l.nextConfirm = now + confirmInterval
	if l.lessor != nil {
		l.lessor.RemoveExpired(now)
	}
	l.confirmSeq++
	l.confirmations[l.confirmSeq] = now
	v.raw.ReadIndex(encodeUint64(l.confirmSeq))
	if len(l.confirmations) > maxConfirmations {
		maps.DeleteFunc(l.confirmations, func(n uint64, _ clusterconfig.Micros) bool {
			return n+maxConfirmations <= l.confirmSeq
		})
	}
}
