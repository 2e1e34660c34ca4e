package agreement

import "junctionwharf/clusterconfig"

// fanOut collects what goes to each child, so that a message from the leader becomes at most two frames for each: the
// grants, and the rest.
type fanOut struct {
	tree   *tree
	grants map[*connection][]*clusterconfig.Grant
	rest   map[*connection]*downstreamMessage
}

func newFanOut(t *tree) *fanOut {
	return &fanOut{
		tree:   t,
		grants: map[*connection][]*clusterconfig.Grant{},
		rest:   map[*connection]*downstreamMessage{},
	}
}

func (f *fanOut) addGrant(g *clusterconfig.Grant) {
	if c := f.tree.routeTo(g.Holder); c != nil {
		f.grants[c] = append(f.grants[c], g)
	}
}

// messageTo returns the message that goes towards a broker, nil if there is no route to it.
func (f *fanOut) messageTo(broker string) *downstreamMessage {
	c := f.tree.routeTo(broker)
	if c == nil {
		return nil
	}
	if f.rest[c] == nil {
		f.rest[c] = &downstreamMessage{}
	}
	return f.rest[c]
}

func (f *fanOut) send() {
	for c, grants := range f.grants {
		c.send(frame{Downstream: packGrants(grants)})
	}
	for c, m := range f.rest {
		c.send(frame{Downstream: m})
	}
}

// deliver takes what comes from the leader: for this broker, and by their routes for others.
func (s *Service) deliver(grants []*clusterconfig.Grant, m downstreamMessage) {
	now := s.now()
	out := newFanOut(&s.tree)
	for _, g := range grants {
		if g.Holder == s.options.Name {
			s.handleGrant(now, g)
		} else {
			out.addGrant(g)
		}
	}
	for _, holder := range m.AdoptFrom {
		if holder == s.options.Name {
			s.sendUpstream(upstreamMessage{Documents: []*clusterconfig.Document{s.config.document()}})
		} else if to := out.messageTo(holder); to != nil {
			to.AdoptFrom = append(to.AdoptFrom, holder)
		}
	}
	for _, r := range m.Replies {
		if r.Broker == s.options.Name {
			s.pendingCalls.finish(r)
		} else if to := out.messageTo(r.Broker); to != nil {
			to.Replies = append(to.Replies, r)
		}
	}
	out.send()
	if m.Notify {
		s.notify(now)
	}
}

// notify has the brokers below, and this broker itself, renew now: a version became pending or active.
func (s *Service) notify(now clusterconfig.Micros) {
	s.tree.notifyChildren()
	if s.isLeader() {
		s.voting.notifyVoters()
	}
	s.nextRenewal = now
}

// handleGrant takes a grant for this broker.
func (s *Service) handleGrant(now clusterconfig.Micros, g *clusterconfig.Grant) {
	effect := s.config.handleGrant(now, g)
	if !effect.accepted {
		return
	}
	s.tree.lastGrant = now
	if !effect.changed {
		return
	}
	s.wake() // the core applies it in a turn of its own
	if effect.pending {
		s.nextRenewal = now // reports the preparation at once
	}
}
