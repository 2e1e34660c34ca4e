package clusterconfig

import (
	"maps"
	"slices"
)

// View is what one scheduling turn acts on. It is valid until the holder changes.
type View struct {
	Version        uint64 // active, as far as this broker knows
	PendingVersion uint64 // 0 for none
	Restricted     bool   // there is no lease
	holder         *LeaseHolder
}

// View is taken at the start of each turn, by the clock that the turn reads: a process that was stopped for minutes
// finds its lease ended before it decides anything.
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

// Value returns what to act on for a key.
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

// Keys returns the keys that have an active or a pending value, in no order.
func (v View) Keys() []string {
	keys := slices.Collect(maps.Keys(v.holder.document.Values))
	for key := range v.holder.pendingValues {
		if _, known := v.holder.document.Values[key]; !known {
			keys = append(keys, key)
		}
	}
	return keys
}
