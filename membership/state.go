package membership

import (
	"maps"
	"slices"
)

// State merges the answers of the sources. New creates it.
type State struct {
	options  Options
	now      Micros
	sources  []*source
	nodes    map[string]*node  // by address
	names    map[string]string // addresses of listed nodes, by name
	heldBack map[string]bool   // addresses of flapping nodes whose return is delayed
	dirty    map[string]bool   // addresses to decide again
	removals []removal         // oldest first
}

// removal records when an address was removed, so that forgetRemovals can delete the node later.
type removal struct {
	address string
	at      Micros
}

// node is the state of an address: the node announced to the core, and the history that shows whether the node flaps.
type node struct {
	listed    bool
	announced Node
	removedAt Micros   // time of the last removal; 0 if there was none
	returns   []Micros // times of recent returns
	heldUntil Micros   // time before which the node may not return; 0 if its return was never delayed
}

// New returns a state without nodes.
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

// Reduce applies an event and the passage of time, and returns the changes for the core. event may be nil.
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

// FindSource returns the source with a name. It returns false if there is none, or if it is retired.
func (s *State) FindSource(name string) (Source, bool) {
	i := slices.IndexFunc(s.sources, func(src *source) bool { return src.Name == name && !src.retired })
	return Source(i), i >= 0
}

// ApplyOptions switches to other options. A source that keeps its name keeps its claims. A source that is no longer in
// the options is retired: its claims stay, with only the permission to add, until all other sources have answered at
// least once. The list therefore does not lack nodes meanwhile. Invalid options change nothing.
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

// Restore adds the nodes that were listed before a restart, as claims of a retired source with the given name. They
// stay listed until all other sources have answered at least once.
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

// Next returns the time by which Reduce must be called again, even without an event. ok is false if only an event
// requires a call.
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

// markDirty marks all addresses on which a source has claims, so that they are decided again.
func (s *State) markDirty(src *source) {
	for address := range src.claims {
		s.dirty[address] = true
	}
}

// expire applies the effects of the passage of time.
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

// dropRetiredSources deletes retired sources when all other sources have answered at least once.
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

// expireRemovals deletes the removals of a source that has been silent for RemovalTTL: they no longer overrule other
// sources' claims (rule 3).
func (s *State) expireRemovals(src *source) {
	if src.removed == 0 || s.now-src.answeredAt < src.RemovalTTL {
		return
	}
	for address, c := range src.claims { // runs once for a silence, because it leaves no removal
		if c.removed {
			delete(src.claims, address)
			s.dirty[address] = true
		}
	}
	src.removed = 0
}

// forgetRemovals deletes removals that are too old to matter for rule 7, and their nodes unless these have returned.
// Without it, memory would grow with each node that was ever replaced.
func (s *State) forgetRemovals() {
	for len(s.removals) > 0 && s.removals[0].at < s.now-s.options.FlapWindow-s.options.MaxHold {
		r := s.removals[0]
		s.removals = s.removals[1:]
		if n := s.nodes[r.address]; n != nil && !n.listed && n.removedAt <= r.at && !s.heldBack[r.address] {
			delete(s.nodes, r.address)
		}
	}
}

// decideDirty decides all marked addresses again and returns the changes.
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

// removedFirst orders the nodes of a change. If a name moves to another address, the old node must be removed before
// the new one is added.
func removedFirst(a, b Node) int {
	switch {
	case a.State == Removed && b.State != Removed:
		return -1
	case b.State == Removed && a.State != Removed:
		return 1
	}
	return 0
}
