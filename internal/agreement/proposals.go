package agreement

import (
	"junctionwharf/clusterconfig"
)

// Durations in microseconds.
const (
	// proposalInterval is the maximum pause after a proposal of this broker. The actual pause is random, between half
	// of proposalInterval and all of it; after a proposal of the initial version it is all of it. With shorter pauses,
	// brokers with the same proposal would obstruct each other.
	proposalInterval = 300_000
	// maxDrainDelay is the maximum random delay of a drain proposal. All brokers learn of a drain from discovery at the
	// same time, and the first proposal makes the others unnecessary. A larger maximum would delay drains for longer.
	maxDrainDelay = 200_000
)

// proposals holds the changes that this broker wants to have replicated: values of its settings file, and the starts
// and ends of drains that its discovery reports. The service goroutine owns it.
type proposals struct {
	next            clusterconfig.Micros     // earliest time of the next proposal
	settingsChanged bool                     // the values of the settings file have to be proposed
	drains          map[string]drainProposal // by node
}

// drainProposal is a value to propose for a drain key.
type drainProposal struct {
	value     string // empty to remove the key
	notBefore clusterconfig.Micros
}

func newProposals() proposals { return proposals{drains: map[string]drainProposal{}} }

func (p *proposals) due(now clusterconfig.Micros) bool {
	return (len(p.drains) > 0 || p.settingsChanged) && now >= p.next
}

// drainChanges returns the drain changes to propose now. It discards wanted changes that the document already contains.
func (p *proposals) drainChanges(now clusterconfig.Micros, document *clusterconfig.Document) []clusterconfig.Change {
	var changes []clusterconfig.Change
	for node, drain := range p.drains {
		key := drainKey(node)
		switch {
		case document.Values[key] == drain.value:
			delete(p.drains, node)
		case now >= drain.notBefore && document.Version > 0 && len(changes) < maxBatchCalls:
			changes = append(changes, clusterconfig.Change{Key: key, Value: drain.value})
		}
	}
	return changes
}

// drop discards all changes that this broker wants, because the leader would reject an invalid proposal again.
func (p *proposals) drop() {
	p.settingsChanged = false
	clear(p.drains)
}

// addDrains schedules proposals for the drains that discovery reported as started or ended.
func (s *Service) addDrains(drain, undrain []string) {
	add := func(nodes []string, value string) {
		for _, node := range nodes {
			delay := clusterconfig.Micros(s.random.IntN(maxDrainDelay))
			s.proposals.drains[node] = drainProposal{value, s.now() + delay}
		}
	}
	add(drain, clusterconfig.Yes)
	add(undrain, "")
}

// maybePropose proposes the changes of this broker's settings file or, if there are none, the drain changes of its
// discovery. A restricted broker proposes nothing.
func (s *Service) maybePropose(now clusterconfig.Micros) {
	if !s.proposals.due(now) {
		return
	}
	document, restricted := s.config.active(now)
	p := clusterconfig.Proposal{Expected: document.Version, Author: s.options.Name}
	if s.proposals.settingsChanged && document.Version > 0 {
		p.Changes = s.config.settingsChanges(document)
		p.Reason = "settings file"
		s.proposals.settingsChanged = len(p.Changes) > 0
	}
	if len(p.Changes) == 0 {
		p.Changes = s.proposals.drainChanges(now, document)
		p.Reason = "discovery"
	}
	if restricted || len(p.Changes) == 0 {
		return
	}
	s.proposals.next = now + proposalInterval/2 + clusterconfig.Micros(s.random.IntN(proposalInterval/2))
	s.callLeader(operatorCall{Command: commandPropose, Proposal: &p}, func(r operatorReply) {
		if r.Error != "" {
			s.options.Log.Info("proposal rejected", "reason", r.Error, "why", p.Reason)
		}
		if r.Kind == kindInvalid {
			s.proposals.drop()
		}
	})
}

// maybeProposeInitial proposes the leader's settings as the first version if no version is active.
func (s *Service) maybeProposeInitial(now clusterconfig.Micros) {
	voter := s.voting.voter
	state := voter.State()
	if state.Document.Version > 0 || state.Pending != nil || voter.HasOffer() {
		return
	}
	if now < s.proposals.next || !voter.Lessor().EarlierLeasesExpired(now) {
		return
	}
	s.proposals.next = now + proposalInterval
	changes := s.config.settingsChanges(state.Document)
	if len(changes) == 0 {
		return
	}
	p := clusterconfig.Proposal{Author: s.options.Name, Reason: "settings of the first leader", Changes: changes}
	s.carryOut(voter.Propose(now, p, func(_ clusterconfig.Entry, err error) {
		if err != nil {
			s.options.Log.Warn("initial version rejected", "reason", err)
		}
	}))
}
