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

// The leader's timing, in microseconds.
const (
	// LeadershipLease is how long a leader grants after a majority has confirmed it; a new leader waits that out. It is
	// the shortest election timeout: no other leader can have been elected sooner.
	LeadershipLease clusterconfig.Micros = electionTicks * TickInterval
	// confirmInterval is how often a leader has itself confirmed. Longer than the lease would interrupt grants, shorter
	// would cost messages.
	confirmInterval = 100_000
	// retryInterval is after what a command that was proposed and not committed is proposed again. Shorter than a
	// commit would fill the log with duplicates.
	retryInterval = 300_000
	// proposalTimeout is after what a proposal that was not committed no longer keeps others out. Were it committed
	// later, it would be rejected, or become pending as if it had just been proposed.
	proposalTimeout = 10 * retryInterval
)

const (
	// maxProposals bounds the proposals whose callers wait for an end. Beyond, a proposal is rejected as if another
	// change were pending; each costs the leader one entry in a map.
	maxProposals = 1024
	// maxConfirmations bounds the confirmations in flight. Only the latest matter: one has to arrive within
	// LeadershipLease, in which a leader asks for five.
	maxConfirmations = 64
)

// errEarlierLeases is returned while a broker may hold a lease on a document that this cluster does not know.
var errEarlierLeases = fmt.Errorf("%w: brokers may still hold leases on a document from before the bootstrap", clusterconfig.ErrNotLeader)

// leadership is what a voter knows as a leader. Voter owns it.
type leadership struct {
	isLeader bool                  // by raft's own state
	lessor   *clusterconfig.Lessor // nil until the leader has applied all entries of earlier terms

	confirmations map[uint64]clusterconfig.Micros // read index requests in flight: when each was sent
	confirmSeq    uint64                          // of the latest of them
	nextConfirm   clusterconfig.Micros

	proposed     string // hash of the entry that was proposed and is not yet pending, empty for none
	proposedAt   clusterconfig.Micros
	nextActivate clusterconfig.Micros // 0 if the pending version was not proposed for activation
	callers      map[string]Outcome   // of proposals, by hash

	offer       *clusterconfig.Document // the latest document of an earlier epoch that a lease holder brought
	nextAdopt   clusterconfig.Micros
	nextReplace clusterconfig.Micros
}

// Outcome is called with the end of a proposal: the entry once it is active, or why it was rejected, or
// ErrOutcomeUnknown.
type Outcome func(clusterconfig.Entry, error)

func newLeadership() leadership {
	return leadership{confirmations: map[uint64]clusterconfig.Micros{}, callers: map[string]Outcome{}}
}

// setLeader notes whether raft has this voter lead. Who no longer does can't know the end of what it proposed.
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

// finish calls the outcome of a proposal, if it was made here.
func (l *leadership) finish(hash string, e clusterconfig.Entry, err error) {
	outcome := l.callers[hash]
	if outcome == nil {
		return
	}
	delete(l.callers, hash)
	outcome(e, err)
}

// confirm notes that a majority has answered a read index request. No voter that answered elects another leader within
// the election timeout from when the request was sent (raft's CheckQuorum), so the leader may grant until then.
func (l *leadership) confirm(request []byte) {
	seq := binary.BigEndian.Uint64(request)
	sent := l.confirmations[seq]
	if l.lessor == nil || sent <= 0 {
		return
	}
	l.lessor.ConfirmLeadership(sent + LeadershipLease)
	maps.DeleteFunc(l.confirmations, func(n uint64, _ clusterconfig.Micros) bool { return n <= seq })
}

// began follows a committed Begin; err is why the state rejected it.
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

// activated follows a committed Activate.
func (l *leadership) activated() error {
	l.nextActivate = 0
	if l.lessor == nil {
		return nil
	}
	return l.lessor.Activate()
}

// adopted follows a committed Adopt. The entry itself has the lessor started again, with the document.
func (l *leadership) adopted() {
	l.lessor = nil
	l.offer = nil
}

// IsLeader reports whether the voter grants leases and takes proposals.
func (v *Voter) IsLeader() bool { return v.leadership.lessor != nil && v.err == nil }

// Lessor returns the leader's lessor, nil while the voter does not lead.
func (v *Voter) Lessor() *clusterconfig.Lessor { return v.leadership.lessor }

// Read returns the active document, nil if this voter can't be sure of it.
func (v *Voter) Read(now clusterconfig.Micros) *clusterconfig.Document {
	if !v.IsLeader() || !v.leadership.lessor.LeadershipConfirmed(now) {
		return nil
	}
	return v.state.Document
}

// HandleRenewal answers a renewal; nil if this voter does not lead, or can't be sure that it does.
func (v *Voter) HandleRenewal(now clusterconfig.Micros, r clusterconfig.Renewal) *clusterconfig.Grant {
	if !v.IsLeader() {
		return nil
	}
	return v.leadership.lessor.HandleRenewal(now, r)
}

// WantsDocument reports whether a lease holder should send its document: it may be all that is left of the
// configuration after voters without disks were all restarted.
func (v *Voter) WantsDocument(r clusterconfig.Renewal) bool {
	if !v.IsLeader() || v.state.Document.Version > 0 {
		return false
	}
	offer := v.leadership.offer
	return r.Epoch != v.state.Document.Epoch && r.Version > 0 && (offer == nil || r.Version > offer.Version)
}

// OfferDocument takes such a document. The latest is adopted once every broker that can act on one has lost its lease.
func (v *Voter) OfferDocument(document *clusterconfig.Document) {
	if !v.IsLeader() || v.state.Document.Version > 0 {
		return
	}
	if offer := v.leadership.offer; offer == nil || document.Version > offer.Version {
		v.leadership.offer = document
	}
}

// HasOffer reports whether a lease holder has brought a document of an earlier epoch.
func (v *Voter) HasOffer() bool { return v.leadership.offer != nil }

// Propose proposes a change. outcome is called with its end, maybe before Propose returns.
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

// prepareProposal returns the entry to be committed, or why the proposal is rejected.
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

// ReplaceMember replaces the identity of a voter that has lost its state, by a joint change of members.
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

// inJointConfig reports whether a change of members is not complete.
func (v *Voter) inJointConfig() bool { return len(v.conf.GetVotersOutgoing()) > 0 }

// runLeader does what a leader has to do now, and reports whether raft has work through it.
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

// requestConfirmation asks a majority, by a read index request, whether this voter still leads.
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
