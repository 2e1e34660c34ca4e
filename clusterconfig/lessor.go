package clusterconfig

import (
	"fmt"
	"maps"
	"slices"
)

// maxRecentEntries bounds the entries that the lessor keeps for holders that lag; others get the full document. More
// would cost the leader memory, fewer would cost bytes after a short partition with many changes.
const maxRecentEntries = 64

// forgetAfterLeases is how many leases after the end of its own a holder is forgotten. Sooner would not be unsafe, but
// would have Lagging forget brokers that an operator looks for.
const forgetAfterLeases = 10

// Lessor is the leader's side: it grants leases on the active version and leads changes. A change stays pending until
// every lease holder has prepared it or has lost its lease; only then may it be activated.
//
// Safety: the lessor of a term knows from the raft log which entries are active and which one is pending, but not who
// holds leases of earlier terms. Until all leases that earlier leaders can have granted have ended, it activates
// nothing.
type Lessor struct {
	term             uint64
	timing           Timing
	schema           Schema
	document         *Document
	recent           []Entry // the latest entries up to document.Version
	pending          *Entry
	leases           map[string]*lease // by holder
	grantSeq         uint64
	earlierLeasesEnd Micros // all leases of earlier terms have ended
	leadershipEnd    Micros // a majority elects no other leader before
}

// lease is what the lessor knows of a holder.
type lease struct {
	incarnation uint64
	end         Micros // on the lessor's clock, at the latest
	prepared    uint64 // pending version that the holder prepared in this term
	version     uint64 // that the holder acted on when it renewed last
}

// NewLessor starts a term with what the log holds. earlierLeadership is the longest time from now for which an earlier
// leader may go on granting; it follows from the election timeout.
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

// ConfirmLeadership notes until when no other leader can have been elected: a majority answered this leader.
func (l *Lessor) ConfirmLeadership(until Micros) { l.leadershipEnd = max(l.leadershipEnd, until) }

// Propose validates a proposal and returns the entry to be committed. Nothing has changed before Begin is called.
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

// Begin takes an entry that was committed as pending.
func (l *Lessor) Begin(e Entry) error {
	if l.pending != nil || e.Version != l.document.Version+1 {
		return outOfSequence(e.Version, l.document.Version)
	}
	l.pending = &e
	return nil
}

// HandleRenewal answers a renewal, and notes what the holder has prepared. It returns nil, and logs nothing, in three
// cases: this leader may have been replaced; it knows no version, and leases of before the bootstrap may be in force;
// the holder knows a later version than it does.
//
// Safety: the lease is noted before the grant is sent, and counted from the renewal's arrival with the drift added.
// However long the way takes, the holder's own lease ends sooner.
func (l *Lessor) HandleRenewal(now Micros, r Renewal) *Grant {
	if !l.LeadershipConfirmed(now) {
		return nil
	}
	known := l.leases[r.Holder]
	if known == nil {
		known = &lease{}
		l.leases[r.Holder] = known
	}
	if known.incarnation != r.Incarnation { // a restarted holder knows nothing of what it had prepared
		known.incarnation = r.Incarnation
		known.prepared = 0
	}
	newEpoch := r.Epoch != l.document.Epoch
	if l.document.Version == 0 && !l.EarlierLeasesExpired(now) {
		return nil // another broker may still act on what was active before the bootstrap
	}
	if !newEpoch && r.Version > l.document.Version {
		return nil // the holder knows more: this must be an earlier leader
	}
	known.end = max(known.end, now+l.timing.ExpiryBound(l.timing.Lease))
	known.version = r.Version
	if l.pending != nil && !newEpoch && r.Prepared == l.pending.Version && r.Version == l.document.Version {
		known.prepared = r.Prepared
	}
	return l.grant(now, r, newEpoch)
}

func (l *Lessor) grant(now Micros, r Renewal, newEpoch bool) *Grant {
	// The clock keeps the sequence rising when this voter makes another lessor in the same term.
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

// CanActivate reports whether the pending change may be activated: every holder has prepared it or has lost its lease,
// and no lease of an earlier leader is left. The caller has the log commit the activation, then calls Activate.
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

// blocks reports whether the pending change has to wait for a holder.
func (l *Lessor) blocks(known *lease, now Micros) bool {
	return known.prepared != l.pending.Version && now < known.end
}

// NextCheck returns when CanActivate should be asked at the latest, false if nothing is pending.
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

// Activate makes the pending version the active one, once that is committed.
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

// LeadershipConfirmed reports whether no other leader can have been elected yet, so that what this one knows to be
// active is.
func (l *Lessor) LeadershipConfirmed(now Micros) bool { return now < l.leadershipEnd }

// EarlierLeasesExpired reports whether all leases of earlier leaders have ended.
func (l *Lessor) EarlierLeasesExpired(now Micros) bool { return now >= l.earlierLeasesEnd }

// RemoveExpired forgets holders whose leases ended long ago.
func (l *Lessor) RemoveExpired(now Micros) {
	maps.DeleteFunc(l.leases, func(_ string, known *lease) bool {
		return now >= known.end+forgetAfterLeases*l.timing.Lease
	})
}

// Unprepared returns the holders for which the pending change waits, sorted.
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

// Lagging returns the lease holders that did not act on the active version when they renewed last, with the version
// that they acted on.
func (l *Lessor) Lagging(now Micros) map[string]uint64 {
	lagging := map[string]uint64{}
	for name, known := range l.leases {
		if known.version < l.document.Version && now < known.end {
			lagging[name] = known.version
		}
	}
	return lagging
}

// Document returns the active configuration. It must not be changed.
func (l *Lessor) Document() *Document { return l.document }

// Pending returns the pending version, nil for none.
func (l *Lessor) Pending() *Entry { return l.pending }

func changePending(version uint64) error {
	return fmt.Errorf("%w: version %d", ErrChangePending, version)
}
