package clusterconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Keeper is the leader's side: it grants leases on the version in force and leads changes. A change is under way until every holder
// has either prepared it, or had its lease run out; only then is it in force, and acted on by anybody.
//
// A keeper knows only what the log of its consensus holds: the entries, and which one is under way. Who has leases it learns anew in
// each term, and until all that earlier leaders can have granted has run out, it brings nothing into force.
type Keeper struct {
	term    uint64
	timing  Timing
	rules   Rules
	doc     *Document
	trail   []Entry // the latest, up to doc.Version
	pending *Entry
	since   Micros // when pending was begun in this term
	leases  map[string]*lease
	seq     uint64
	clearAt Micros // leases of earlier terms have run out
	until   Micros // may grant before: its leadership was confirmed by a majority that elects no other sooner
}

// lease is what the keeper knows of a holder.
type lease struct {
	life  uint64
	ends  Micros // on the keeper's clock, at the latest
	ready uint64 // prepared in this term
	acts  uint64 // version that it told
}

// mostTrail bounds the entries kept for holders that are behind; others get the whole document.
const mostTrail = 64

// The faults of a proposal that the document itself does not see.
var (
	ErrUnderWay  = errors.New("another change is under way")
	ErrNotLeader = errors.New("this member does not lead")
)

// NewKeeper begins a term with what the log holds. earlier is the longest that an earlier leader may go on granting from now, by the
// consensus' own election time.
func NewKeeper(now Micros, term uint64, timing Timing, rules Rules, doc *Document, pending *Entry, earlier Micros) *Keeper {
	return &Keeper{term: term, timing: timing, rules: rules, doc: doc.Clone(), pending: pending, since: now, leases: map[string]*lease{},
		clearAt: now + timing.Outlasts(earlier+timing.Lease)}
}

// Confirmed tells until when no other leader can have been elected: a majority answered a question asked then.
func (k *Keeper) Confirmed(until Micros) { k.until = max(k.until, until) }

// Propose checks a proposal whole and returns the entry for the log. Nothing has changed before Begin is called with it.
func (k *Keeper) Propose(now Micros, p Proposal) (Entry, error) {
	if now >= k.until {
		return Entry{}, ErrNotLeader
	}
	if k.pending != nil {
		return Entry{}, fmt.Errorf("%w: version %d", ErrUnderWay, k.pending.Version)
	}
	if err := k.doc.Check(k.rules, p); err != nil {
		return Entry{}, err
	}
	return k.doc.Next(p), nil
}

// Begin takes an entry that the log has committed as being under way.
func (k *Keeper) Begin(now Micros, e Entry) error {
	if k.pending != nil || e.Version != k.doc.Version+1 {
		return fmt.Errorf("version %d does not follow %d", e.Version, k.doc.Version)
	}
	k.pending, k.since = &e, now
	return nil
}

// Renewed takes a holder's renewal and answers it, nil for not: this leader may have been replaced. The lease is noted before the
// answer goes out, and from its end on, not its begin: whatever the way takes, the holder's own is shorter.
func (k *Keeper) Renewed(now Micros, r Renewal) *Grant {
	if now >= k.until {
		return nil
	}
	l := k.leases[r.Holder]
	if l == nil {
		l = &lease{}
		k.leases[r.Holder] = l
	}
	if l.life != r.Life {
		l.life, l.ready = r.Life, 0 // it restarted, and knows nothing of what its earlier life prepared
	}
	anew := r.Epoch != k.doc.Epoch
	if k.doc.Version == 0 && now < k.clearAt || !anew && r.Version > k.doc.Version {
		return nil // what was in force before may still be acted on; or it knows more than this leader, who must be an earlier one
	}
	l.ends, l.acts = max(l.ends, now+k.timing.Outlasts(k.timing.Lease)), r.Version
	k.seq = max(k.seq+1, uint64(max(0, now))) // a keeper that follows in the same term goes on
	g := &Grant{Holder: r.Holder, Number: r.Number, Life: r.Life, Epoch: k.doc.Epoch, Term: k.term, Seq: k.seq, Prepare: k.pending}
	if k.pending != nil && !anew && r.Ready == k.pending.Version && r.Version == k.doc.Version {
		l.ready = r.Ready
	}
	switch {
	case anew:
		g.Whole = k.doc.Clone()
	case r.Version < k.doc.Version && (len(k.trail) == 0 || k.trail[0].Version > r.Version+1):
		g.Whole = k.doc.Clone()
	default:
		for _, e := range k.trail {
			if e.Version > r.Version {
				g.Entries = append(g.Entries, e)
			}
		}
	}
	return g
}

// Due tells whether the change under way may come into force: every holder has prepared it or lost its lease. The caller has the log
// commit this, and then calls Activate.
func (k *Keeper) Due(now Micros) bool {
	if k.pending == nil || now >= k.until {
		return false
	}
	if now < k.clearAt {
		return false // somebody may hold a lease of an earlier leader of which this one knows nothing
	}
	for _, l := range k.leases {
		if l.ready != k.pending.Version && now < l.ends {
			return false
		}
	}
	return true
}

// Next is when Due should be asked at the latest, false for nothing is under way.
func (k *Keeper) Next() (at Micros, any bool) {
	if k.pending == nil {
		return 0, false
	}
	at = k.clearAt
	for _, l := range k.leases {
		if l.ready != k.pending.Version {
			at = max(at, l.ends)
		}
	}
	return at, true
}

// Activate brings the version under way into force, once the log has committed that.
func (k *Keeper) Activate() error {
	if k.pending == nil {
		return errors.New("nothing is under way")
	}
	e := *k.pending
	if err := k.doc.Apply(e); err != nil {
		return err
	}
	k.pending = nil
	if k.trail = append(k.trail, e); len(k.trail) > mostTrail {
		k.trail = k.trail[1:]
	}
	return nil
}

// Sure tells whether no other leader can have been elected yet, so that what this one knows to be in force is.
func (k *Keeper) Sure(now Micros) bool { return now < k.until }

// Clear tells whether all leases of earlier leaders have run out.
func (k *Keeper) Clear(now Micros) bool { return now >= k.clearAt }

// Forget drops holders whose leases have long run out.
func (k *Keeper) Forget(now Micros) {
	maps.DeleteFunc(k.leases, func(_ string, l *lease) bool { return now >= l.ends+10*k.timing.Lease })
}

// Waits names the holders for which the change under way waits.
func (k *Keeper) Waits(now Micros) []string {
	var names []string
	if k.pending == nil {
		return nil
	}
	for name, l := range k.leases {
		if l.ready != k.pending.Version && now < l.ends {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Behind names the holders with a lease that did not act on the version in force when they renewed it last, and the version they acted on.
func (k *Keeper) Behind(now Micros) map[string]uint64 {
	behind := map[string]uint64{}
	for name, l := range k.leases {
		if l.acts < k.doc.Version && now < l.ends {
			behind[name] = l.acts
		}
	}
	return behind
}

// Document is what is in force; it must not be changed.
func (k *Keeper) Document() *Document { return k.doc }

// Pending is the version under way, nil for none.
func (k *Keeper) Pending() *Entry { return k.pending }
