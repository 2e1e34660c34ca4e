package membership

import (
	"maps"
	"slices"
)

// State merges what the sources say. Use New.
type State struct {
	options  Options
	now      Micros
	sources  []*source
	nodes    map[string]*node  // by address
	names    map[string]string // addresses of listed nodes, by name
	heldBack map[string]bool   // addresses of nodes that flap
	dirty    map[string]bool   // addresses to be decided anew
	removals []removal         // the oldest first
}

// removal is remembered so that a node that returns is known to flap.
type removal struct {
	address string
	at      Micros
}

// node is an address, with what was announced to the core.
type node struct {
	listed    bool
	announced Node
	removedAt Micros // when it was removed last; 0 for never
	returns   []Micros
	heldUntil Micros
}

// New returns a state without any node.
func New(options Options) (*State, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.Sources = slices.Clone(options.Sources)
	options.setDefaults()
	s := &State{
		options:  options,
		nodes:    map[string]*node{},
		names:    map[string]string{},
		heldBack: map[string]bool{},
		dirty:    map[string]bool{},
	}
	for _, o := range options.Sources {
		s.sources = append(s.sources, newSource(o))
	}
	return s, nil
}

// Reduce takes an event, or nil for the passing of time alone, and returns the changes for the core.
func (s *State) Reduce(now Micros, event Event) Change {
	s.now = now
	switch e := event.(type) {
	case SourceAnswered:
		s.handleAnswer(s.sources[e.Source], e)
	case SourceFailed:
		src := s.sources[e.Source]
		src.lastFailure = e.Reason
		src.failures++
	}
	s.expire()
	return s.decideDirty()
}

// FindSource finds a source by its name. One that was retired is not found.
func (s *State) FindSource(name string) (Source, bool) {
	i := slices.IndexFunc(s.sources, func(src *source) bool { return src.Name == name && !src.retired })
	return Source(i), i >= 0
}

// ApplyOptions switches to other options. A source that keeps its name keeps what it claims; one that is gone is
// retired, and what it claimed stays without its permissions until all others have answered: there is no gap. Options
// that make no sense change nothing.
func (s *State) ApplyOptions(now Micros, options Options) (Change, error) {
	if err := options.Validate(); err != nil {
		return Change{}, err
	}
	options.Sources = slices.Clone(options.Sources)
	options.setDefaults()
	s.options = options
	old := s.sources
	s.sources = nil
	for _, o := range options.Sources {
		i := slices.IndexFunc(old, func(src *source) bool { return src.Name == o.Name && !src.retired })
		if i < 0 {
			s.sources = append(s.sources, newSource(o))
			continue
		}
		src := old[i]
		src.SourceOptions = o
		s.sources = append(s.sources, src)
		s.markDirty(src)
	}
	for _, src := range old {
		if slices.Contains(s.sources, src) || src.present == 0 {
			s.markDirty(src)
			continue
		}
		src.retired = true
		src.Permissions = Permissions{Add: true}
		s.sources = append(s.sources, src)
		s.markDirty(src)
	}
	return s.Reduce(now, nil), nil
}

// Restore takes what was listed before a restart. It stands until all sources have answered.
func (s *State) Restore(now Micros, name string, entries []Entry) Change {
	src := newSource(SourceOptions{Name: name, Permissions: Permissions{Add: true}, RemovalTTL: 1})
	src.retired = true
	src.answers = 1
	src.answeredAt = now
	s.sources = append(s.sources, src)
	s.now = now
	for _, e := range entries {
		s.claim(src, e)
	}
	return s.Reduce(now, nil)
}

// Next reports when Reduce wants to be called again at the latest.
func (s *State) Next() (at Micros, ok bool) {
	sooner := func(t Micros) {
		if !ok || t < at {
			at = t
			ok = true
		}
	}
	for address := range s.heldBack {
		sooner(s.nodes[address].heldUntil)
	}
	for _, src := range s.sources {
		if src.removed > 0 && src.answeredAt+src.RemovalTTL > s.now {
			sooner(src.answeredAt + src.RemovalTTL)
		}
	}
	return at, ok
}

// markDirty has all that a source claims decided anew.
func (s *State) markDirty(src *source) {
	for address := range src.claims {
		s.dirty[address] = true
	}
}

// expire applies what the passing of time has changed.
func (s *State) expire() {
	s.dropRetiredSources()
	for address := range s.heldBack {
		if s.nodes[address].heldUntil <= s.now {
			delete(s.heldBack, address)
			s.dirty[address] = true
		}
	}
	for _, src := range s.sources {
		s.expireRemovals(src)
	}
	s.forgetRemovals()
}

// dropRetiredSources gives up sources that were retired, once all others have answered.
func (s *State) dropRetiredSources() {
	if slices.ContainsFunc(s.sources, func(src *source) bool { return !src.retired && src.answers == 0 }) {
		return
	}
	s.sources = slices.DeleteFunc(s.sources, func(src *source) bool {
		if src.retired {
			s.markDirty(src)
		}
		return src.retired
	})
}

// expireRemovals is the end of rule 3: the removals of a source that has been silent for long no longer outweigh
// others' claims.
func (s *State) expireRemovals(src *source) {
	if src.removed == 0 || s.now-src.answeredAt < src.RemovalTTL {
		return
	}
	for address, c := range src.claims { // once for each silence: then there is no removal left
		if c.removed {
			delete(src.claims, address)
			s.dirty[address] = true
		}
	}
	src.removed = 0
}

// forgetRemovals guards against a memory that grows by each node that was ever replaced: a removal that is too old to
// count for rule 7 is forgotten with its node.
func (s *State) forgetRemovals() {
	for len(s.removals) > 0 && s.removals[0].at < s.now-s.options.FlapWindow-s.options.MaxHold {
		r := s.removals[0]
		s.removals = s.removals[1:]
		if n := s.nodes[r.address]; n != nil && !n.listed && n.removedAt <= r.at && !s.heldBack[r.address] {
			delete(s.nodes, r.address)
		}
	}
}

// decideDirty decides anew on all addresses that something was said of.
func (s *State) decideDirty() Change {
	var change Change
	for _, address := range slices.Sorted(maps.Keys(s.dirty)) {
		if n, changed := s.decide(address); changed {
			change.Nodes = append(change.Nodes, n)
		}
	}
	clear(s.dirty)
	slices.SortStableFunc(change.Nodes, removedFirst)
	return change
}

// removedFirst orders a change: a name may move, and then its old node has to be removed before the new one is added.
func removedFirst(a, b Node) int {
	switch {
	case a.State == Removed && b.State != Removed:
		return -1
	case b.State == Removed && a.State != Removed:
		return 1
	}
	return 0
}
