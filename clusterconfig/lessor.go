package clusterconfig

import (
	"fmt"
	"maps"
	"slices"
)

// maxRecentEntries limits the entries that the lessor keeps for lagging holders. A holder that lacks more of them
// receives the full document. A larger limit would cost the leader memory. A smaller limit would cost bytes after a
// short partition with many changes.
const maxRecentEntries = 64

// forgetAfterLeases is the time, in lease durations, between the end of a holder's lease and the removal of the holder.
// A smaller value would also be safe, since only holders whose leases have not ended delay a change.
const forgetAfterLeases = 10

// Lessor is the leader's side. It grants leases on the active version and coordinates changes. A change stays pending
// until every lease holder has prepared it or has lost its lease. Only then may the change be activated.
//
// Safety: the lessor of a term knows the active entries and the pending one from the raft log, but it does not know who
// holds leases of earlier terms. It activates nothing until all leases that earlier leaders can have granted have
// ended.
type Lessor struct {
	term             uint64
	timing           Timing
	schema           Schema
	document         *Document
	recent           []Entry // latest entries up to document.Version
	pending          *Entry
	leases           map[string]*lease // by holder
	grantSeq         uint64
	earlierLeasesEnd Micros // when all leases of earlier terms have ended
	leadershipEnd    Micros // until then, no majority elects another leader
}

// lease is what the lessor knows about a holder.
type lease struct {
	incarnation uint64
	end         Micros // latest possible end, on the lessor's clock
	prepared    uint64 // latest pending version that the holder prepared in this term
	version     uint64 // version that the holder acted on at its last renewal
}

// NewLessor returns the lessor of a new term with the document and the pending entry from the raft log.
// earlierLeadership is the longest time from now for which an earlier leader may still grant leases. It follows from
// the election timeout.
func NewLessor(now Micros, term uint64, timing Timing, schema Schema, document *Document, pending *Entry,
	earlierLeadership Micros,
) *Lessor {
	return &Lessor{
		term:             term,
		timing:           timing,
		schema:           schema,
		document:         document.Clone(),
		pending:          pending,
		leases:           map[string]*lease{},
		earlierLeasesEnd: now + timing.ExpiryBound(earlierLeadership+timing.Lease),
	}
}

// ConfirmLeadership records that a majority answered this leader, so that no other leader can be elected before until.
func (l *Lessor) ConfirmLeadership(until Micros) { l.leadershipEnd = max(l.leadershipEnd, until) }

// Propose validates a proposal and returns the entry to commit. The entry becomes pending only when Begin is called.
func (l *Lessor) Propose(now Micros, p Proposal) (Entry, error) {
	if !l.LeadershipConfirmed(now) {
		return Entry{}, ErrNotLeader
	}
	if l.pending != nil {
		return Entry{}, changePending(l.pending.Version)
	}
	if err := l.document.Validate(l.schema, p); err != nil {
		return Entry{}, err
	}
	return l.document.NextEntry(p), nil
}

// Begin makes a committed entry pending. It returns an error if another entry is pending or the entry is not the next
// version.
func (l *Lessor) Begin(e Entry) error {
	if l.pending != nil || e.Version != l.document.Version+1 {
		return outOfSequence(e.Version, l.document.Version)
	}
	l.pending = &e
	return nil
}

// HandleRenewal answers a renewal and records what the holder has prepared. It returns nil and grants no lease in three
// cases: another leader may have been elected; the lessor has no version yet, and leases from before the bootstrap may
// not have ended; the holder knows a later version of the same epoch than the lessor.
//
// Safety: the lease is recorded before the grant is sent. Its end is counted from the renewal's arrival and includes
// the maximum drift. The holder's own lease therefore ends sooner, even if the messages take long.
func (l *Lessor) HandleRenewal(now Micros, r Renewal) *Grant {
	if !l.LeadershipConfirmed(now) {
		return nil
	}
	known := l.leases[r.Holder]
	if known == nil {
		known = &lease{}
		l.leases[r.Holder] = known
	}
	if known.incarnation != r.Incarnation { // a restarted holder has lost what it prepared
		known.incarnation = r.Incarnation
		known.prepared = 0
	}
	newEpoch := r.Epoch != l.document.Epoch
	if l.document.Version == 0 && !l.EarlierLeasesExpired(now) {
		return nil // another broker may still act on the version from before the bootstrap
	}
	if !newEpoch && r.Version > l.document.Version {
		return nil // the holder knows a later version, so a newer leader must exist
	}
	known.end = max(known.end, now+l.timing.ExpiryBound(l.timing.Lease))
	known.version = r.Version
	if l.pending != nil && !newEpoch && r.Prepared == l.pending.Version && r.Version == l.document.Version {
		known.prepared = r.Prepared
	}
	return l.grant(now, r, newEpoch)
}

func (l *Lessor) grant(now Micros, r Renewal, newEpoch bool) *Grant {
	// Using the clock keeps the sequence increasing if this voter creates another lessor in the same term.
	l.grantSeq = max(l.grantSeq+1, uint64(max(0, now)))
	g := &Grant{
		Holder:      r.Holder,
		RenewalSeq:  r.Seq,
		Incarnation: r.Incarnation,
		Epoch:       l.document.Epoch,
		Term:        l.term,
		GrantSeq:    l.grantSeq,
		Pending:     l.pending,
	}
	tooFarBehind := r.Version < l.document.Version && (len(l.recent) == 0 || l.recent[0].Version > r.Version+1)
	if newEpoch || tooFarBehind {
		g.Document = l.document.Clone()
		return g
	}
	for _, e := range l.recent {
		if e.Version > r.Version {
			g.Entries = append(g.Entries, e)
		}
	}
	return g
}

// CanActivate reports whether the pending change may be activated: the leadership is confirmed, every holder has
// prepared the change or has lost its lease, and all leases of earlier leaders have ended. The caller must commit the
// activation to the log and then call Activate.
func (l *Lessor) CanActivate(now Micros) bool {
	if l.pending == nil || !l.LeadershipConfirmed(now) || !l.EarlierLeasesExpired(now) {
		return false
	}
	for _, known := range l.leases {
		if l.blocks(known, now) {
			return false
		}
	}
	return true
}

// blocks reports whether the pending change must wait for a holder to prepare it or to lose its lease.
func (l *Lessor) blocks(known *lease, now Micros) bool {
	return known.prepared != l.pending.Version && now < known.end
}

// NextCheck returns the time at which all leases that block the pending change will have ended, unless they are
// renewed. CanActivate may return true sooner, when the holders have prepared the change. pending is false if there is
// no pending change.
func (l *Lessor) NextCheck() (at Micros, pending bool) {
	if l.pending == nil {
		return 0, false
	}
	at = l.earlierLeasesEnd
	for _, known := range l.leases {
		if known.prepared != l.pending.Version {
			at = max(at, known.end)
		}
	}
	return at, true
}

// Activate makes the pending version the active one. The caller must have committed the activation to the log.
func (l *Lessor) Activate() error {
	if l.pending == nil {
		return ErrNothingPending
	}
	e := *l.pending
	if err := l.document.Apply(e); err != nil {
		return err
	}
	l.pending = nil
	l.recent = append(l.recent, e)
	if len(l.recent) > maxRecentEntries {
		l.recent = l.recent[1:]
	}
	return nil
}

// LeadershipConfirmed reports whether no other leader can have been elected yet. While it is true, no other leader can
// have activated a later version.
func (l *Lessor) LeadershipConfirmed(now Micros) bool { return now < l.leadershipEnd }

// EarlierLeasesExpired reports whether all leases of earlier leaders have ended.
func (l *Lessor) EarlierLeasesExpired(now Micros) bool { return now >= l.earlierLeasesEnd }

// RemoveExpired removes holders whose leases ended at least forgetAfterLeases lease durations ago.
func (l *Lessor) RemoveExpired(now Micros) {
	maps.DeleteFunc(l.leases, func(_ string, known *lease) bool {
		return now >= known.end+forgetAfterLeases*l.timing.Lease
	})
}

// Unprepared returns the names of the holders that block the pending change, sorted.
func (l *Lessor) Unprepared(now Micros) []string {
	if l.pending == nil {
		return nil
	}
	var names []string
	for name, known := range l.leases {
		if l.blocks(known, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Lagging returns the lease holders whose last renewal named an older version than the active one, with that version.
func (l *Lessor) Lagging(now Micros) map[string]uint64 {
	lagging := map[string]uint64{}
	for name, known := range l.leases {
		if known.version < l.document.Version && now < known.end {
			lagging[name] = known.version
		}
	}
	return lagging
}

// Document returns the active configuration. The caller must not change it.
func (l *Lessor) Document() *Document { return l.document }

// Pending returns the pending entry, nil for none.
func (l *Lessor) Pending() *Entry { return l.pending }

func changePending(version uint64) error {
	return fmt.Errorf("%w: version %d", ErrChangePending, version)
}
