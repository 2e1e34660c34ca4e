// Package membership merges what several sources say of storage nodes into the one list that the core is told. It does no I/O
// and reads no clock.
//
// The rule, in plain words:
//
//  1. An address is a node: entries of any sources with one address are one node. It has the name that the first of the sources
//     gave it when it was listed, and keeps that as long as it is listed: to the core another name is another node.
//  2. A node is listed while a source that may add holds it. A source holds what its last believed answer held, for as
//     long as it says nothing newer: silence, failure and age take nothing away.
//  3. A node is gone as soon as a source that may remove drops what it held, or says that it is gone, whatever others held by
//     then; until that source or another lists it anew, or that source falls silent for longer than its words are good
//     (then what others hold counts again).
//  4. A node drains while a source that may drain says so.
//  5. An answer without any entry is never believed from a source that held some. One that drops more than half of what
//     the source held, and at least three nodes, is suspect: what it drops stays for a stated time and goes when the source
//     still says so after it. A node that an answer names as draining or gone is believed at once.
//  6. An answer to a question that was asked before the one that is held was asked is not taken.
//  7. A node that returns is new, and so cold, unless the source tells that it started before it left. One that has come and
//     gone three times within a minute returns later each time, up to a minute; going is never delayed.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Micros is a point on the monotonic clock, or a span of it, in µs.
type Micros = int64

// Source is a place in Options.Sources.
type Source int

// Health is what a source says of a node.
type Health int

// The healths.
const (
	Ready Health = iota
	Draining
	Removed // only in an answer of changes
)

// Entry is what a source says of one node.
type Entry struct {
	Name          string
	Address       string // host:port; the node's identity
	Zone          string
	Kind          string
	Shard         int
	State         Health
	Capacity      float64 // its size, as discovery tells it; 0 counts as 1
	TrafficWeight float64 // of the load, against others of its shard and priority, as SRV weights tell it; 0 counts as 1
	Priority      int     // lower goes first
	LastStart     Micros  // its last start on the given clock; 0 for long ago, UnknownStart if the source does not tell
}

// UnknownStart is the LastStart of an entry whose source does not tell.
const UnknownStart Micros = -1

// Permissions are what a source may do.
type Permissions struct{ Add, Drain, Remove bool }

// SourceOptions are of one source.
type SourceOptions struct {
	Name        string
	Permissions Permissions
	RemovalTTL  Micros // how long its removals outweigh what others hold once it is silent; 10 min by default
}

// Options are of a State. The zero value of a field means its default.
type Options struct {
	Sources     []SourceOptions // the first names nodes that several hold
	SuspectHold Micros          // how long a sudden loss is held; 30 s by default
	FlapWindow  Micros          // 60 s by default
	FlapMost    int             // times a node may come back within it at once; 3 by default
	HoldMost    Micros          // the longest that a flapping node is held back; 60 s by default
	MaxNodes    int             // of one source, and remembered after they left; 50,000 by default
}

func (o *Options) complete() {
	for _, d := range []struct {
		value    *Micros
		fallback Micros
	}{{&o.SuspectHold, 30e6}, {&o.FlapWindow, 60e6}, {&o.HoldMost, 60e6}} {
		*d.value = cmp.Or(*d.value, d.fallback)
	}
	o.FlapMost, o.MaxNodes = cmp.Or(o.FlapMost, 3), cmp.Or(o.MaxNodes, 50_000)
	for i := range o.Sources {
		o.Sources[i].RemovalTTL = cmp.Or(o.Sources[i].RemovalTTL, 600e6)
	}
}

// Check names the option that makes no sense.
func (o Options) Check() error {
	if len(o.Sources) == 0 {
		return fmt.Errorf("sources: none")
	}
	names, adds := map[string]bool{}, false
	for i, s := range o.Sources {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("sources[%d].name: %q is missing or stands twice", i, s.Name)
		}
		names[s.Name] = true
		adds = adds || s.Permissions.Add
		if s.RemovalTTL < 0 {
			return fmt.Errorf("sources[%d].good: it is below 0", i)
		}
	}
	if !adds {
		return fmt.Errorf("sources: none may add")
	}
	if min(o.SuspectHold, o.FlapWindow, o.HoldMost) < 0 || min(o.FlapMost, o.MaxNodes) < 0 {
		return fmt.Errorf("a time or bound is below 0")
	}
	return nil
}

// Event is something that happened; State.Reduce takes it.
type Event interface{ event() }

// The events.
type (
	// SourceAnswered brings a source's answer to a question that was asked at AskedAt.
	SourceAnswered struct {
		Source   Source
		AskedAt  Micros
		Complete bool // all that it holds; else what has changed
		Entries  []Entry
	}
	// SourceFailed tells that a source could not be asked, or did not answer.
	SourceFailed struct {
		Source Source
		Reason string
	}
)

func (SourceAnswered) event() {}
func (SourceFailed) event()   {}

// Node is a node as the core is told of it.
type Node struct {
	Entry
	Reason string // why it is listed as it is
}

// Change is what the core is to be told: nodes that are new or changed, and, with State Removed, those that went.
type Change struct{ Nodes []Node }

// State merges. Use New.
type State struct {
	opt     Options
	now     Micros
	sources []*source
	nodes   map[string]*node // by address
	names   map[string]string
	delayed map[string]bool // addresses that are held back
	dirty   map[string]bool // addresses to be looked at
	went    []departure     // the oldest first
}

type departure struct {
	address string
	at      Micros
}

type source struct {
	SourceOptions
	held     map[string]held
	names    map[string]string // addresses by name
	vetoes   int               // how many of held are removed
	present  int               // how many are not
	answered Micros            // when it last answered, 0 for never
	asked    Micros            // when the question of the held answer was asked
	since    Micros            // since when its whole answers lack the suspects; 0 for none
	reason   string            // of its last failure, empty after an answer
	refused  uint64            // answers that were not believed
	answers  uint64
	failures uint64
	leaving  bool // it is asked no more: what it holds stays until all others have answered
}

// held is a source's word on an address.
type held struct {
	Entry
	suspect bool   // the latest answers lack it
	removed bool   // it was dropped: a veto of rule 3
	first   bool   // it came with the source's first answer
	at      Micros // since when it is held, or of the drop
}

// node is an address, with what the core was told of it.
type node struct {
	listed  bool
	told    Node
	left    Micros // when it went last; 0 for never
	returns []Micros
	until   Micros // held back until then
}

// New returns a state without any node.
func New(opt Options) (*State, error) {
	if err := opt.Check(); err != nil {
		return nil, err
	}
	opt.Sources = slices.Clone(opt.Sources)
	opt.complete()
	s := &State{opt: opt, nodes: map[string]*node{}, names: map[string]string{}, delayed: map[string]bool{}, dirty: map[string]bool{}}
	for _, o := range opt.Sources {
		s.sources = append(s.sources, &source{SourceOptions: o, held: map[string]held{}, names: map[string]string{}})
	}
	return s, nil
}

// Reduce takes an event, or nil for the passing of time alone, and returns what the core is to be told.
func (s *State) Reduce(now Micros, event Event) Change {
	s.now = now
	switch e := event.(type) {
	case SourceAnswered:
		s.answer(s.sources[e.Source], e)
	case SourceFailed:
		src := s.sources[e.Source]
		src.reason = e.Reason
		src.failures++
	}
	s.settle()
	return s.look()
}

// SourceOf finds a source by its name. One that is asked no more is not found.
func (s *State) SourceOf(name string) (Source, bool) {
	at := slices.IndexFunc(s.sources, func(src *source) bool { return src.Name == name && !src.leaving })
	return Source(at), at >= 0
}

// ApplyOptions goes over to other options. A source that keeps its name keeps what it holds; one that is gone is asked no more, and
// what it held stays without its rights until all others have answered: there is no gap. Options that make no sense
// change nothing.
func (s *State) ApplyOptions(now Micros, opt Options) (Change, error) {
	if err := opt.Check(); err != nil {
		return Change{}, err
	}
	opt.Sources = slices.Clone(opt.Sources)
	opt.complete()
	s.opt = opt
	old := s.sources
	s.sources = nil
	for _, o := range opt.Sources {
		at := slices.IndexFunc(old, func(src *source) bool { return src.Name == o.Name && !src.leaving })
		if at < 0 {
			s.sources = append(s.sources, &source{SourceOptions: o, held: map[string]held{}, names: map[string]string{}})
			continue
		}
		src := old[at]
		src.SourceOptions = o
		s.sources = append(s.sources, src)
		s.touch(src)
	}
	for _, src := range old {
		if slices.Contains(s.sources, src) || src.present == 0 {
			s.touch(src)
			continue
		}
		src.leaving, src.Permissions = true, Permissions{Add: true}
		s.sources = append(s.sources, src)
		s.touch(src)
	}
	return s.Reduce(now, nil), nil
}

// Restore takes what was held before a restart. It stands until all sources have answered.
func (s *State) Restore(now Micros, name string, entries []Entry) Change {
	src := &source{SourceOptions: SourceOptions{Name: name, Permissions: Permissions{Add: true}, RemovalTTL: 1}, held: map[string]held{}, names: map[string]string{}, leaving: true, answers: 1, answered: now}
	s.sources = append(s.sources, src)
	s.now = now
	for _, e := range entries {
		s.hold(src, e)
	}
	return s.Reduce(now, nil)
}

// touch has all that a source holds looked at again.
func (s *State) touch(src *source) {
	for address := range src.held {
		s.dirty[address] = true
	}
}

// release gives up sources that are asked no more, once all others have answered.
func (s *State) release() {
	if slices.ContainsFunc(s.sources, func(src *source) bool { return !src.leaving && src.answers == 0 }) {
		return
	}
	s.sources = slices.DeleteFunc(s.sources, func(src *source) bool {
		if src.leaving {
			s.touch(src)
		}
		return src.leaving
	})
}

// Next tells when Reduce wants to be called again at the latest.
func (s *State) Next() (at Micros, any bool) {
	sooner := func(t Micros) {
		if !any || t < at {
			at, any = t, true
		}
	}
	for address := range s.delayed {
		sooner(s.nodes[address].until)
	}
	for _, src := range s.sources {
		if src.vetoes > 0 && src.answered+src.RemovalTTL > s.now {
			sooner(src.answered + src.RemovalTTL)
		}
	}
	return at, any
}

// answer takes what a source says. Rules 5 and 6 stand here.
func (s *State) answer(src *source, e SourceAnswered) {
	if e.AskedAt < src.asked {
		src.refused++
		return
	}
	src.answers++
	src.asked, src.answered, src.reason = e.AskedAt, s.now, ""
	if e.Complete {
		s.whole(src, e.Entries)
		return
	}
	for _, entry := range e.Entries {
		if entry.Address == "" { // a change may name a node that goes without its address
			entry.Address = src.names[entry.Name]
		}
		if entry.State == Removed {
			s.drop(src, entry.Address)
		} else {
			s.hold(src, entry)
		}
	}
}

func (s *State) whole(src *source, entries []Entry) {
	present := src.present
	if len(entries) == 0 && present > 0 {
		src.refused++
		src.reason = "an answer without entries"
		return
	}
	here := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if entry.Address == "" || len(here) >= s.opt.MaxNodes {
			continue
		}
		here[entry.Address] = true
		if entry.State == Removed {
			s.drop(src, entry.Address)
		} else {
			s.hold(src, entry)
		}
	}
	var missing []string
	for address, h := range src.held {
		if !here[address] && !h.removed {
			missing = append(missing, address)
		}
	}
	if len(missing) == 0 {
		src.since = 0
		return
	}
	if len(missing) >= 3 && 2*len(missing) > present {
		if src.since == 0 {
			src.since = s.now
		}
		if s.now-src.since < s.opt.SuspectHold {
			src.refused++
			for _, address := range missing {
				h := src.held[address]
				if !h.suspect {
					h.suspect = true
					src.held[address] = h
					s.dirty[address] = true
				}
			}
			return
		}
	}
	src.since = 0
	for _, address := range missing {
		s.drop(src, address)
	}
}

func (s *State) hold(src *source, entry Entry) {
	if entry.Capacity <= 0 {
		entry.Capacity = 1
	}
	if entry.Address == "" {
		return
	}
	old, known := src.held[entry.Address]
	if !known && len(src.held) >= 2*s.opt.MaxNodes {
		src.refused++
		return
	}
	if known && !old.suspect && !old.removed && old.Entry == entry {
		return
	}
	h := held{Entry: entry, at: s.now, first: src.answers == 1}
	if known && !old.removed {
		h.at, h.first = old.at, old.first
		delete(src.names, old.Name)
	} else {
		src.present++
		if known {
			src.vetoes--
		}
	}
	src.held[entry.Address] = h
	src.names[entry.Name] = entry.Address
	s.dirty[entry.Address] = true
}

// drop notes that a source no longer holds an address. Its word stays as a veto while others hold it.
func (s *State) drop(src *source, address string) {
	h, known := src.held[address]
	if !known || h.removed {
		return
	}
	src.present--
	if src.names[h.Name] == address {
		delete(src.names, h.Name)
	}
	if src.Permissions.Remove {
		h.removed, h.suspect, h.at = true, false, s.now
		src.held[address] = h
		src.vetoes++
	} else {
		delete(src.held, address)
	}
	s.dirty[address] = true
}

// silent tells whether the source's removals no longer outweigh what others hold.
func (s *State) silent(src *source) bool { return s.now-src.answered >= src.RemovalTTL }

// settle marks what the passing of time has changed.
func (s *State) settle() {
	s.release()
	for address := range s.delayed {
		if s.nodes[address].until <= s.now {
			delete(s.delayed, address)
			s.dirty[address] = true
		}
	}
	for _, src := range s.sources {
		if src.vetoes == 0 || !s.silent(src) {
			continue
		}
		for address, h := range src.held { // once for each silence: then there is no veto left
			if h.removed {
				delete(src.held, address)
				s.dirty[address] = true
			}
		}
		src.vetoes = 0
	}
	for len(s.went) > 0 && s.went[0].at < s.now-s.opt.FlapWindow-s.opt.HoldMost {
		d := s.went[0]
		s.went = s.went[1:]
		if n := s.nodes[d.address]; n != nil && !n.listed && n.left <= d.at && !s.delayed[d.address] {
			delete(s.nodes, d.address)
		}
	}
}

// look decides anew on all addresses that something was said of.
func (s *State) look() Change {
	var change Change
	for _, address := range slices.Sorted(maps.Keys(s.dirty)) {
		if n, changed := s.decide(address); changed {
			change.Nodes = append(change.Nodes, n)
		}
	}
	clear(s.dirty)
	slices.SortStableFunc(change.Nodes, func(a, b Node) int { // who goes is told first: a name may move
		switch {
		case a.State == Removed && b.State != Removed:
			return -1
		case b.State == Removed && a.State != Removed:
			return 1
		}
		return 0
	})
	return change
}

// decide works out one address by rules 1 to 4 and 7, and tells whether the core is to hear of it.
func (s *State) decide(address string) (Node, bool) {
	vetoed, since := "", Micros(-1)
	for _, src := range s.sources {
		if h, known := src.held[address]; known && h.removed && h.at > since {
			vetoed, since = src.Name, h.at
		}
	}
	var first *held
	by, draining, added, any := "", "", false, false
	born := UnknownStart
	for _, src := range s.sources {
		h, holds := src.held[address]
		if !holds || h.removed {
			continue
		}
		any = true
		if vetoed != "" && h.at <= since {
			continue
		}
		if first == nil {
			first, by = &h, src.Name
			if h.suspect {
				by += ", suspect: its latest answers lack it"
			}
		}
		added = added || src.Permissions.Add
		if h.State == Draining && src.Permissions.Drain && draining == "" {
			draining = src.Name
		}
		if born == UnknownStart {
			born = h.LastStart
		}
	}
	if !any { // nobody is overruled any more
		for _, src := range s.sources {
			if h, known := src.held[address]; known && h.removed {
				delete(src.held, address)
				src.vetoes--
			}
		}
	}
	n := s.nodes[address]
	if first == nil || !added {
		if s.delayed[address] { // it went before it was let back
			delete(s.delayed, address)
			s.went = append(s.went, departure{address, s.now})
		}
		if n == nil || !n.listed {
			return Node{}, false
		}
		gone := n.told
		gone.State, gone.Reason = Removed, "no source holds it"
		if vetoed != "" {
			gone.Reason = "removed by " + vetoed
		}
		n.listed, n.left = false, s.now
		s.went = append(s.went, departure{address, s.now})
		delete(s.names, gone.Name)
		return gone, true
	}
	fresh := n == nil
	if fresh {
		n = &node{}
		s.nodes[address] = n
	}
	if !n.listed && !s.mayReturn(address, n) {
		return Node{}, false
	}
	entry := first.Entry
	entry.LastStart = s.bornOf(n, born, first.first)
	entry.State = Ready
	if draining != "" {
		entry.State = Draining
		by = "draining by " + draining
	}
	if n.listed {
		entry.Name = n.told.Name
	} else {
		entry.Name = s.nameFor(entry.Name, address)
	}
	told := Node{Entry: entry, Reason: by}
	if n.listed && n.told.Entry == told.Entry {
		n.told = told
		return Node{}, false
	}
	n.listed, n.told = true, told
	s.names[entry.Name] = address
	return told, true
}

// bornOf is rule 7's sign: when a node started, as the core is to believe.
func (s *State) bornOf(n *node, told Micros, first bool) Micros {
	switch {
	case told != UnknownStart:
		return told
	case n.listed:
		return n.told.LastStart
	case n.left == 0 && first: // it was there when its source was asked first
		return 0
	}
	return s.now
}

// mayReturn is rule 7's other half: a node that comes and goes is held back.
func (s *State) mayReturn(address string, n *node) bool {
	if n.left == 0 {
		return true
	}
	if s.now < n.until {
		s.delayed[address] = true
		return false
	}
	n.returns = slices.DeleteFunc(n.returns, func(at Micros) bool { return at < s.now-s.opt.FlapWindow })
	if over := len(n.returns) - s.opt.FlapMost; over >= 0 && n.until <= n.left {
		n.until = s.now + min(s.opt.HoldMost, 2e6<<min(over, 20))
		s.delayed[address] = true
		return false
	}
	n.returns = append(n.returns, s.now)
	if len(n.returns) > 32 {
		n.returns = n.returns[1:]
	}
	return true
}

// nameFor keeps names apart: one that another address has gets its address behind it.
func (s *State) nameFor(name, address string) string {
	if name == "" {
		return address
	}
	if at, taken := s.names[name]; taken && at != address {
		return name + "@" + address
	}
	return name
}

// ---- what operators see

// SourceStatus is a source as it stands.
type SourceStatus struct {
	Name                       string
	Held                       int // nodes that it holds
	Suspects                   int
	Age                        time.Duration // since its last answer; negative for none
	Reason                     string        // of its last failure
	Answers, Failures, Refused uint64
}

// Sources tells of all sources at a point of time.
func (s *State) Sources(now Micros) []SourceStatus {
	var all []SourceStatus
	for _, src := range s.sources {
		st := SourceStatus{Name: src.Name, Age: -1, Reason: src.reason, Answers: src.answers, Failures: src.failures, Refused: src.refused}
		if src.answered > 0 {
			st.Age = time.Duration(now-src.answered) * time.Microsecond
		}
		st.Held = src.present
		for _, h := range src.held {
			if h.suspect {
				st.Suspects++
			}
		}
		all = append(all, st)
	}
	return all
}

// List returns all listed nodes by name, each with the names of the sources that hold it.
func (s *State) List() (nodes []Node, holders [][]string) {
	for _, address := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[address]
		if !n.listed {
			continue
		}
		var names []string
		for _, src := range s.sources {
			if h, holds := src.held[address]; holds && !h.removed {
				names = append(names, src.Name)
			}
		}
		nodes, holders = append(nodes, n.told), append(holders, names)
	}
	return nodes, holders
}
