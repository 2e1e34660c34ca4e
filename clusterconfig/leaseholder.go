package clusterconfig

import "slices"

// maxOutstandingRenewals bounds the renewals whose grants still count. With four renewals a lease, sixteen cover a few
// leases; a grant that is later would be of no use. Fewer would drop usable grants on a slow path.
const maxOutstandingRenewals = 16

// LeaseHolder is a broker's side of the leases. With a lease it acts on the active version, or, while a change is
// pending, on the meet of both versions, key by key. Without a lease it acts on the bottom of each key.
type LeaseHolder struct {
	name        string
	incarnation uint64
	timing      Timing
	schema      Schema

	term          uint64 // of the latest grant
	grantSeq      uint64 // of the latest grant in the term
	document      *Document
	pending       *Entry
	pendingValues map[string]string // meets of both versions, for the keys that the pending one changes
	leaseEnd      Micros
	outstanding   []sentRenewal // oldest first
	renewalSeq    uint64

	restrictedSince Micros // 0 while there is a lease

	changedKeys []string // keys whose value in a view may have changed since TakeChangedKeys
	allChanged  bool     // the value of any key may have
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

// Renew returns the renewal to be sent now.
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

// HandleGrant takes a grant and reports whether it counted.
//
// Safety: the lease runs from when the renewal was sent, on this holder's clock. The lessor counts it from when the
// renewal arrived, which is later, and adds the drift; so the lease ends here before the lessor believes that it has.
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
		return false // the lease ended on the way
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

// accepts reports whether a grant is meant for this holder as it is now. It drops what was granted to an earlier
// incarnation, by an earlier leader, or by this leader before a grant that has arrived already. A cluster that was
// bootstrapped again (a new epoch) is believed only once there is no lease of the old one.
func (h *LeaseHolder) accepts(now Micros, g Grant) bool {
	if g.Holder != h.name || g.Incarnation != h.incarnation {
		return false
	}
	if g.Epoch != h.document.Epoch {
		return g.Document != nil && now >= h.leaseEnd
	}
	return g.Term > h.term || g.Term == h.term && g.GrantSeq > h.grantSeq
}

// granted returns the document that a grant makes active and the entries that were new. It is not ok if something
// between the holder's version and the granted ones is missing; a later grant brings that.
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

// setPending has views keep to what both versions allow from now on.
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

// TakeChangedKeys returns the keys whose value in a view may have changed since the last call, or all for any key. It
// lets a broker follow the document in proportion to its changes.
func (h *LeaseHolder) TakeChangedKeys() (keys []string, all bool) {
	keys, all = h.changedKeys, h.allChanged
	h.changedKeys = nil
	h.allChanged = false
	return keys, all
}

// RestrictedSince returns since when there is no lease, 0 if there is one.
func (h *LeaseHolder) RestrictedSince() Micros { return h.restrictedSince }

// LeaseRemaining returns how much of the lease is left, 0 for none.
func (h *LeaseHolder) LeaseRemaining(now Micros) Micros { return max(0, h.leaseEnd-now) }

// Document returns what the holder knows to be active. It must not be changed.
func (h *LeaseHolder) Document() *Document { return h.document }
