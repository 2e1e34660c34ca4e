package clusterconfig

import (
	"maps"
	"slices"
)

// View is the configuration that one scheduling turn acts on. It must not be used after the holder has handled a grant.
type View struct {
	Version        uint64 // active version known to this broker
	PendingVersion uint64 // 0 for none
	Restricted     bool   // the holder has no lease
	holder         *LeaseHolder
}

// View returns the view for one turn. It must be called at the start of each turn, with the clock reading that the turn
// uses. A process that was stopped for minutes then finds its lease expired before it makes any decision.
func (h *LeaseHolder) View(now Micros) View {
	v := View{Version: h.document.Version, Restricted: now >= h.leaseEnd, holder: h}
	if h.pending != nil {
		v.PendingVersion = h.pending.Version
	}
	if v.Restricted && h.restrictedSince == 0 {
		h.restrictedSince = max(1, h.leaseEnd)
	}
	return v
}

// Value returns the value of a key on which the broker must act, empty for an unknown key.
func (v View) Value(key string) string {
	lattice, known := v.holder.schema(key)
	if !known {
		return ""
	}
	if _, holds := lattice.(leaseless); v.Restricted && !holds {
		return lattice.Bottom()
	}
	if value, pending := v.holder.pendingValues[key]; pending {
		return value
	}
	return v.holder.document.Values[key]
}

// Keys returns the keys that have an active or a pending value, in no particular order.
func (v View) Keys() []string {
	keys := slices.Collect(maps.Keys(v.holder.document.Values))
	for key := range v.holder.pendingValues {
		if _, known := v.holder.document.Values[key]; !known {
			keys = append(keys, key)
		}
	}
	return keys
}
