package agreement

import "junctionwharf/clusterconfig"

// fanOut sorts the content of a message from the leader by the connection on which it is forwarded. Each connection
// receives at most two frames: one with the grants, and one with everything else except notifications.
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

// messageTo returns the message that is forwarded towards a broker, or nil if there is no route to the broker.
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

// deliver handles a message from the leader: it applies the content for this broker, and forwards the rest on the
// routes to the other brokers. Content for a broker without a route is dropped.
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

// notify makes this broker and all brokers below it renew now, because a version became pending or active.
func (s *Service) notify(now clusterconfig.Micros) {
	s.tree.notifyChildren()
	if s.isLeader() {
		s.voting.notifyVoters()
	}
	s.nextRenewal = now
}

// handleGrant handles a grant for this broker.
func (s *Service) handleGrant(now clusterconfig.Micros, g *clusterconfig.Grant) {
	effect := s.config.handleGrant(now, g)
	if !effect.accepted {
		return
	}
	s.tree.lastGrant = now
	if !effect.changed {
		return
	}
	s.wake() // the core applies the change at the start of its next turn
	if effect.pending {
		s.nextRenewal = now // the renewal reports that the pending version is prepared
	}
}
