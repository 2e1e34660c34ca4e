package clusterconfig

import "slices"

// maxOutstandingRenewals limits the renewals whose grants are still accepted. With four renewals per lease, sixteen
// span four leases. A grant is useless if it arrives a lease duration after its renewal was sent. A much smaller limit
// would drop usable grants on a slow path.
const maxOutstandingRenewals = 16

// LeaseHolder is a broker's side of the leases. With a lease, the broker acts on the active version, and for each key
// that a pending change affects, on the meet of the active and the pending value. Without a lease, it acts on the
// bottom of each key. Keys with the lattice Drain are an exception: the lease does not matter for them.
type LeaseHolder struct {
	name        string
	incarnation uint64
	timing      Timing
	schema      Schema

	term          uint64 // of the latest accepted grant
	grantSeq      uint64 // of the latest accepted grant in the term
	document      *Document
	pending       *Entry
	pendingValues map[string]string // for each key that the pending change affects: meet of both values
	leaseEnd      Micros
	outstanding   []sentRenewal // renewals whose grants are still accepted, oldest first
	renewalSeq    uint64

	restrictedSince Micros // see RestrictedSince

	changedKeys []string // keys whose value in a view may have changed since the last TakeChangedKeys
	allChanged  bool     // the value of any key may have changed since the last TakeChangedKeys
}

type sentRenewal struct {
	seq uint64
	at  Micros
}

// NewLeaseHolder returns a holder without a document and without a lease. incarnation must be new at each start.
func NewLeaseHolder(name string, incarnation uint64, timing Timing, schema Schema) *LeaseHolder {
	return &LeaseHolder{
		name:            name,
		incarnation:     incarnation,
		timing:          timing,
		schema:          schema,
		document:        &Document{},
		restrictedSince: 1,
	}
}

// Renew returns a renewal. The caller must send it immediately, because the lease that it asks for is counted from now.
func (h *LeaseHolder) Renew(now Micros) Renewal {
	h.renewalSeq++
	h.outstanding = append(h.outstanding, sentRenewal{h.renewalSeq, now})
	if len(h.outstanding) > maxOutstandingRenewals {
		h.outstanding = h.outstanding[1:]
	}
	r := Renewal{
		Holder:      h.name,
		Seq:         h.renewalSeq,
		Incarnation: h.incarnation,
		Epoch:       h.document.Epoch,
		Version:     h.document.Version,
	}
	if h.pending != nil {
		r.Prepared = h.pending.Version
	}
	return r
}

// HandleGrant applies a grant and reports whether the holder accepted it.
//
// Safety: the lease runs from when the renewal was sent, on this holder's clock. The lessor counts the lease from the
// arrival of the renewal, which is later, and adds the maximum drift. The lease therefore ends here before the lessor
// considers it expired.
func (h *LeaseHolder) HandleGrant(now Micros, g Grant) bool {
	if !h.accepts(now, g) {
		return false
	}
	at := slices.IndexFunc(h.outstanding, func(s sentRenewal) bool { return s.seq == g.RenewalSeq })
	if at < 0 {
		return false
	}
	sent := h.outstanding[at].at
	if now-sent >= h.timing.Lease {
		return false // the lease expired before the grant arrived
	}
	document, entries, ok := h.granted(g)
	if !ok {
		return false
	}
	h.allChanged = h.allChanged || g.Document != nil
	for _, e := range entries {
		h.markChanged(e)
	}
	h.term = g.Term
	h.grantSeq = g.GrantSeq
	h.document = document
	h.outstanding = h.outstanding[at+1:]
	h.setPending(g.Pending)
	h.leaseEnd = max(h.leaseEnd, sent+h.timing.Lease)
	h.restrictedSince = 0
	return true
}

// accepts reports whether a grant is meant for this incarnation of the holder and is newer than the latest accepted
// grant: it is of a later term, or has a higher sequence number in the same term. A new epoch means that the cluster
// was bootstrapped again. Its grant is accepted only with the full document, and only after the lease of the old epoch
// has ended.
func (h *LeaseHolder) accepts(now Micros, g Grant) bool {
	if g.Holder != h.name || g.Incarnation != h.incarnation {
		return false
	}
	if g.Epoch != h.document.Epoch {
		return g.Document != nil && now >= h.leaseEnd
	}
	return g.Term > h.term || g.Term == h.term && g.GrantSeq > h.grantSeq
}

// granted returns the document that a grant makes active, and the entries of the grant that are new to the holder. ok
// is false if the granted document is older than the holder's, if an entry between the holder's version and the granted
// entries is missing, or if an entry does not match its hash. If entries are missing, a later grant contains them.
func (h *LeaseHolder) granted(g Grant) (document *Document, entries []Entry, ok bool) {
	document = h.document
	if g.Document != nil {
		if g.Epoch == document.Epoch && g.Document.Version < document.Version {
			return nil, nil, false
		}
		document = g.Document.Clone()
	}
	known := document.Version
	entries = slices.DeleteFunc(slices.Clone(g.Entries), func(e Entry) bool { return e.Version <= known })
	if g.Pending != nil && g.Pending.Version != known+uint64(len(entries))+1 {
		return nil, nil, false
	}
	if document.Apply(entries...) != nil {
		return nil, nil, false
	}
	return document, entries, true
}

// setPending replaces the pending entry, nil for none. Views then return values that both versions allow.
func (h *LeaseHolder) setPending(e *Entry) {
	if h.pending != nil && (e == nil || e.Hash != h.pending.Hash) {
		h.markChanged(*h.pending)
	}
	if e != nil && (h.pending == nil || e.Hash != h.pending.Hash) {
		h.markChanged(*e)
	}
	h.pending = e
	h.pendingValues = nil
	if e == nil {
		return
	}
	h.pendingValues = map[string]string{}
	for _, c := range e.Proposal.Changes {
		if lattice, known := h.schema(c.Key); known {
			h.pendingValues[c.Key] = lattice.Meet(h.document.Values[c.Key], c.Value)
		}
	}
}

func (h *LeaseHolder) markChanged(e Entry) {
	for _, c := range e.Proposal.Changes {
		h.changedKeys = append(h.changedKeys, c.Key)
	}
}

// TakeChangedKeys returns the keys whose value in a view may have changed since the last call. If all is true, any key
// may have changed. A broker that reads only these keys follows the document at a cost proportional to the changes. The
// start and the end of a lease also change values, but are not included.
func (h *LeaseHolder) TakeChangedKeys() (keys []string, all bool) {
	keys, all = h.changedKeys, h.allChanged
	h.changedKeys = nil
	h.allChanged = false
	return keys, all
}

// RestrictedSince returns 0 during a lease, the time at which the latest lease ended, or 1 if there was no lease yet.
// The end of a lease is recorded when the next view is taken.
func (h *LeaseHolder) RestrictedSince() Micros { return h.restrictedSince }

// LeaseRemaining returns how long the lease still lasts, 0 without a lease.
func (h *LeaseHolder) LeaseRemaining(now Micros) Micros { return max(0, h.leaseEnd-now) }

// Document returns the active document known to the holder. The caller must not change it.
func (h *LeaseHolder) Document() *Document { return h.document }
