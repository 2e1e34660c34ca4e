package clusterconfig

import (
	"maps"
	"slices"
)

// Timing is what all members of an installation share.
type Timing struct {
	Lease    Micros // for how long a broker acts on a version after it asked for a renewal that was granted
	DriftPPM Micros // by how much two clocks may differ after a second, in µs
}

// DefaultTiming restricts a broker that is cut off after a second, so that a change waits for no longer than about that.
var DefaultTiming = Timing{Lease: 1_000_000, DriftPPM: 500}

// Outlasts is a span after which, on one clock, a lease has run out on any other.
func (t Timing) Outlasts(lease Micros) Micros { return lease + 2*lease*t.DriftPPM/1_000_000 + 1 }

// Renewal asks for a lease.
type Renewal struct {
	Holder  string `msgpack:"Holder"`
	Number  uint64 `msgpack:"Number"`  // counts the holder's renewals
	Life    uint64 `msgpack:"Life"`    // drawn at each start: a holder that restarted is another
	Epoch   uint64 `msgpack:"Epoch"`   // of the document
	Version uint64 `msgpack:"Version"` // acted on
	Ready   uint64 `msgpack:"Ready"`   // the version prepared, 0 for none
}

// Grant answers a renewal. What the holder lacks comes with it: entries, or the whole document where there are too many.
type Grant struct {
	Holder  string
	Number  uint64
	Life    uint64
	Epoch   uint64
	Term    uint64
	Seq     uint64    // orders the grants of a term as they were made: renewals may reach the leader in another order than they were sent in
	Whole   *Document // nil where entries do
	Entries []Entry   // up to the version in force
	Prepare *Entry    // the version under way, nil for none
}

// Holder is one broker's side. It acts on the version in force while it has a lease; on the meet of two versions, key by key,
// while one is under way; and on the floors of all keys without a lease.
type Holder struct {
	name   string
	life   uint64
	timing Timing
	rules  Rules

	term    uint64
	seq     uint64 // of the latest grant of the term
	doc     *Document
	ready   *Entry // the version under way
	changed map[string]string
	until   Micros // of the lease
	sent    []sentRenewal
	number  uint64

	restrictedAt Micros // since when, 0 for not

	touched []string // keys whose value may be another since Touched was asked
	whole   bool     // any may be
}

type sentRenewal struct {
	number uint64
	at     Micros
}

// mostSent bounds the renewals whose answers still count.
const mostSent = 16

// NewHolder returns a holder that knows nothing and has no lease. life must be new with each start.
func NewHolder(name string, life uint64, timing Timing, rules Rules) *Holder {
	return &Holder{name: name, life: life, timing: timing, rules: rules, doc: &Document{}, restrictedAt: 1}
}

// Renew is the renewal to be sent now.
func (h *Holder) Renew(now Micros) Renewal {
	h.number++
	if h.sent = append(h.sent, sentRenewal{h.number, now}); len(h.sent) > mostSent {
		h.sent = h.sent[1:]
	}
	r := Renewal{Holder: h.name, Number: h.number, Life: h.life, Epoch: h.doc.Epoch, Version: h.doc.Version}
	if h.ready != nil {
		r.Ready = h.ready.Version
	}
	return r
}

// Granted takes an answer and tells whether it counted. The lease runs from when the renewal was sent, on this holder's clock: the
// granter reckons it from later, so it is never the longer one here. What an earlier leader sends late is dropped, and so is what was
// meant for an earlier life, and what this leader granted before what was heard already. A consensus that was formed anew is believed once there is no lease of the old one.
func (h *Holder) Granted(now Micros, g Grant) bool {
	anew := g.Epoch != h.doc.Epoch
	late := g.Term < h.term || g.Term == h.term && g.Seq <= h.seq
	if g.Holder != h.name || g.Life != h.life || !anew && late || anew && (g.Whole == nil || now < h.until) {
		return false
	}
	at := slices.IndexFunc(h.sent, func(s sentRenewal) bool { return s.number == g.Number })
	if at < 0 {
		return false
	}
	sent := h.sent[at].at
	if now-sent >= h.timing.Lease {
		return false // it has run out on the way
	}
	doc := h.doc
	if g.Whole != nil {
		if !anew && g.Whole.Version < doc.Version {
			return false
		}
		doc = g.Whole.Clone()
	}
	entries := slices.DeleteFunc(slices.Clone(g.Entries), func(e Entry) bool { return e.Version <= doc.Version })
	if g.Prepare != nil && g.Prepare.Version != doc.Version+uint64(len(entries))+1 {
		return false // it lacks what stands between: the next grant brings it
	}
	if doc.Apply(entries...) != nil {
		return false // nothing of it counts
	}
	h.whole = h.whole || g.Whole != nil
	for _, e := range entries {
		h.touch(e)
	}
	h.term, h.seq, h.doc, h.sent = g.Term, g.Seq, doc, h.sent[at+1:]
	h.prepare(g.Prepare)
	h.until = max(h.until, sent+h.timing.Lease)
	h.restrictedAt = 0
	return true
}

// prepare has decisions keep to what both versions allow.
func (h *Holder) prepare(e *Entry) {
	if h.ready != nil && (e == nil || e.Hash != h.ready.Hash) {
		h.touch(*h.ready)
	}
	if e != nil && (h.ready == nil || e.Hash != h.ready.Hash) {
		h.touch(*e)
	}
	h.ready, h.changed = e, nil
	if e == nil {
		return
	}
	h.changed = map[string]string{}
	for _, c := range e.Proposal.Changes {
		if rule, known := h.rules(c.Key); known {
			h.changed[c.Key] = rule.Meet(h.doc.Values[c.Key], c.Value)
		}
	}
}

func (h *Holder) touch(e Entry) {
	for _, c := range e.Proposal.Changes {
		h.touched = append(h.touched, c.Key)
	}
}

// Touched are the keys whose value in a view may be another than when it was asked last, all for any may be. So following a document costs
// by its changes, not by its size.
func (h *Holder) Touched() (keys []string, all bool) {
	keys, all = h.touched, h.whole
	h.touched, h.whole = nil, false
	return keys, all
}

// View is what a turn acts on.
type View struct {
	Version    uint64 // in force, as far as this broker knows
	Preparing  uint64 // the version under way, 0 for none
	Restricted bool   // no lease: floors alone
	h          *Holder
}

// View is taken at the begin of each turn, by the clock that the turn reads: a process that was stopped for minutes finds its lease
// run out before it decides anything.
func (h *Holder) View(now Micros) View {
	v := View{Version: h.doc.Version, Restricted: now >= h.until, h: h}
	if h.ready != nil {
		v.Preparing = h.ready.Version
	}
	if v.Restricted && h.restrictedAt == 0 {
		h.restrictedAt = max(1, h.until)
	}
	return v
}

// Value is what to act on for a key.
func (v View) Value(key string) string {
	rule, known := v.h.rules(key)
	if !known {
		return ""
	}
	if _, kept := rule.(interface{ Kept() }); v.Restricted && !kept {
		return rule.Floor()
	}
	if value, changes := v.h.changed[key]; changes {
		return value
	}
	return v.h.doc.Values[key]
}

// Keys are those that have a value in force or under way.
func (v View) Keys() []string {
	keys := slices.Collect(maps.Keys(v.h.doc.Values))
	for key := range v.h.changed {
		if _, known := v.h.doc.Values[key]; !known {
			keys = append(keys, key)
		}
	}
	return keys
}

// RestrictedSince tells since when there is no lease, 0 for there is one.
func (h *Holder) RestrictedSince() Micros { return h.restrictedAt }

// LeaseLeft is how much of the lease is left, 0 for none.
func (h *Holder) LeaseLeft(now Micros) Micros { return max(0, h.until-now) }

// Document is what the holder knows to be in force; it must not be changed.
func (h *Holder) Document() *Document { return h.doc }
