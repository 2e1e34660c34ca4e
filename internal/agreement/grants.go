package agreement

import (
	"errors"
	"math"

	"junctionwharf/clusterconfig"
)

// noEntries is the value of packedGrant.After for a grant without entries.
const noEntries = math.MaxUint64

var (
	errGrantLacksDocument = errors.New("a grant refers to a document that is not in its message")
	errGrantLacksPending  = errors.New("a grant refers to a pending version that is not in its message")
)

// packGrants packs grants of one leader into a message. Entries that several grants share are packed once. All grants
// must have the same epoch and term, and the same document and pending version if they have one.
func packGrants(grants []*clusterconfig.Grant) *downstreamMessage {
	m := &downstreamMessage{}
	packed := map[uint64]bool{} // versions of entries
	for _, g := range grants {
		m.Epoch = g.Epoch
		m.Term = g.Term
		if g.Document != nil {
			m.Document = g.Document
		}
		if g.Pending != nil {
			m.Pending = g.Pending
		}
		after := uint64(noEntries)
		if len(g.Entries) > 0 {
			after = g.Entries[0].Version - 1
		}
		for _, e := range g.Entries {
			if !packed[e.Version] {
				packed[e.Version] = true
				m.Entries = append(m.Entries, e)
			}
		}
		m.Grants = append(m.Grants, packedGrant{
			Holder:      g.Holder,
			RenewalSeq:  g.RenewalSeq,
			Incarnation: g.Incarnation,
			GrantSeq:    g.GrantSeq,
			After:       after,
			HasDocument: g.Document != nil,
			HasPending:  g.Pending != nil,
		})
	}
	return m
}

// unpackGrants returns the grants that packGrants packed. It returns an error if the message lacks a part of a grant.
func (m *downstreamMessage) unpackGrants() ([]*clusterconfig.Grant, error) {
	var grants []*clusterconfig.Grant
	for _, p := range m.Grants {
		g := &clusterconfig.Grant{
			Holder:      p.Holder,
			RenewalSeq:  p.RenewalSeq,
			Incarnation: p.Incarnation,
			GrantSeq:    p.GrantSeq,
			Epoch:       m.Epoch,
			Term:        m.Term,
		}
		if p.HasDocument {
			if m.Document == nil {
				return nil, errGrantLacksDocument
			}
			g.Document = m.Document
		}
		if p.HasPending {
			if m.Pending == nil {
				return nil, errGrantLacksPending
			}
			g.Pending = m.Pending
		}
		for _, e := range m.Entries {
			if e.Version > p.After {
				g.Entries = append(g.Entries, e)
			}
		}
		grants = append(grants, g)
	}
	return grants, nil
}
