package daemon

import (
	"context"
	"os"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/handover"
	"junctionwharf/internal/resp"
)

const (
	// maxOverlap is the longest time for which a replaced process may run beside its successor: 1 s until SIGTERM,
	// and then at most maxWait + killDelay until SIGKILL. It is used only if the list of sockets cannot be read.
	// With a larger value, the successor uses only half of a plan's limit for longer. With a smaller value, both
	// processes together may exceed the limit.
	maxOverlap = time.Second + maxWait + killDelay
	// redirectTime is the time between redirecting new connections to the successor and closing this process's
	// listeners. With a smaller value, a connection that the kernel is still setting up is reset.
	redirectTime = 20 * time.Millisecond
)

// startHandover connects to the predecessor, if there is one, and from then on accepts a successor. If the socket
// cannot be created, the broker serves without handover: serving clients matters more than a smooth replacement.
func (s *service) startHandover(context.Context) error {
	if s.config.HandoverDisabled {
		s.handoverOff = true
		s.log.Info("handover off", "reason",
			"--handover=false: this process shares no state with another process of the broker")
		return nil
	}
	path := handover.SocketPath(os.TempDir(), s.config.Listen)
	coordinator, found, err := handover.Open(path, handover.Callbacks{
		Connected:    s.otherConnected,
		Received:     s.receiveState,
		Disconnected: s.otherDisconnected,
	})
	if err != nil {
		s.handoverOff = true
		s.log.Warn("handover off", "reason", err)
		return nil
	}
	s.coordinator = coordinator
	s.clients.OnRequestChange(func(id string, change resp.IDChange) {
		coordinator.Send(requestMessage(id, change))
	})
	if found {
		s.log.Info("handover: connected to the predecessor")
	}
	return nil
}

// requestMessage returns the message about a change of a request's id.
func requestMessage(id string, change resp.IDChange) handover.StateMessage {
	ids := []string{id}
	switch change {
	case resp.IDOpened:
		return handover.StateMessage{OpenedRequests: ids}
	case resp.IDEnded:
		return handover.StateMessage{EndedRequests: ids}
	case resp.IDAbandoned:
	}
	return handover.StateMessage{AbandonedRequests: ids}
}

func (s *service) closeHandover() {
	if s.coordinator != nil {
		s.coordinator.Close()
	}
}

// otherConnected halves the limits of this process, because both processes share the broker's limits from now on. It
// returns the first message for a successor.
func (s *service) otherConnected() handover.StateMessage {
	s.resize(2)
	s.loop.Post(broker.ProcessesChanged{Processes: 2})
	open, abandoned := s.clients.RequestIDs()
	return handover.StateMessage{
		Endpoints:         s.watcher.Current(),
		OpenedRequests:    open,
		AbandonedRequests: abandoned,
	}
}

// receiveState applies a message from the other process.
func (s *service) receiveState(message handover.StateMessage) {
	if message.Endpoints != nil {
		s.handedOver = message.Endpoints
	}
	s.clients.UpdateRemoteRequests(message.OpenedRequests, message.EndedRequests, message.AbandonedRequests)
	if message.PeerMessage != nil {
		s.loop.Post(broker.PeerMessage{From: message.PeerOrdinal, Data: message.PeerMessage})
	}
}

// otherDisconnected restores the full limits of this process after the other process has disconnected.
func (s *service) otherDisconnected() {
	s.clients.AbandonRemoteRequests()
	s.resize(1)
	s.loop.Post(broker.ProcessesChanged{Processes: 1})
	s.log.Info("handover: the other process disconnected")
}

// newestEndpoints returns the newer of the two endpoint lists known at the start: the configuration's and the
// predecessor's. If it is the predecessor's, the watch of discovery resumes from that list.
func (s *service) newestEndpoints() *discovery.EndpointList {
	list := s.config.CachedEndpoints
	if s.handedOver != nil && (list == nil || s.handedOver.Version >= list.Version) {
		s.watcher.Resume(s.handedOver)
		list = s.handedOver
	}
	return list
}

// handlePeerDatagram posts a peer's message to the loop and forwards it to the other process of this broker: while two
// processes share the address, the kernel delivers each message to only one of them.
func (s *service) handlePeerDatagram(message broker.PeerMessage) {
	s.loop.Post(message)
	if s.coordinator != nil {
		s.coordinator.Send(handover.StateMessage{PeerOrdinal: message.From, PeerMessage: message.Data})
	}
}

// redirectClients redirects new connections to the successor, and accepts those that are already queued at this
// process's listeners.
func (s *service) redirectClients() {
	for _, listener := range s.listeners {
		if err := handover.RedirectNewConnections(listener); err != nil {
			s.log.Warn("handover: redirecting new connections failed", "reason", err)
		}
	}
	time.Sleep(redirectTime)
	for _, server := range s.servers {
		server.StopAccepting()
	}
}

// startPresenceWatch starts the watch for other processes if the handover is off, since another process then cannot
// connect to this one.
func (s *service) startPresenceWatch(ctx, ending context.Context) error {
	if s.handoverOff {
		go s.watchPresence(ctx, ending)
	}
	return nil
}

// presence is what this process knows about another process of the broker that cannot connect to it.
type presence struct {
	observed   handover.Presence
	atStart    bool // another process listened when this one started, and may still run
	terminated bool // this process received SIGTERM, so a successor may run
}

// otherMayRun reports whether the limits must be shared with another process. If the system's list of sockets cannot be
// read, they are shared whenever another process may be running.
func (p presence) otherMayRun() bool {
	if p.observed == handover.Unknown {
		return p.atStart || p.terminated
	}
	return p.observed == handover.Present
}

// watchPresence makes the core share the plans' limits with a predecessor or successor that does not connect to this
// process. Otherwise each process would use the whole limits. If no plan has a limit, nothing is watched. If the
// system's list of sockets cannot be read, limits are shared in two periods: for maxOverlap after the start, if another
// process listened at the start, and from SIGTERM on, because a successor may run. watchPresence runs until ctx ends.
// The context ending is done on SIGTERM.
func (s *service) watchPresence(ctx, ending context.Context) {
	observed := make(chan handover.Presence, 1)
	post := func(state handover.Presence) {
		select {
		case observed <- state:
		case <-ctx.Done():
		}
	}
	go handover.NewPresenceWatcher(s.config.Listen).Run(ctx, s.plansHaveLimits.Load, post)
	overlapEnds := time.NewTimer(maxOverlap)
	defer overlapEnds.Stop()
	state := presence{atStart: s.addressWasInUse}
	s.postPresence(state.atStart)
	terminating := ending.Done()
	for {
		select {
		case state.observed = <-observed:
		case <-overlapEnds.C:
			state.atStart = false
		case <-terminating:
			state.terminated = true
			terminating = nil
		case <-ctx.Done():
			return
		}
		s.postPresence(state.otherMayRun())
	}
}

// postPresence informs the core whether the limits must be shared with another process.
func (s *service) postPresence(otherMayRun bool) {
	unseen := 0
	if otherMayRun {
		unseen = 1
	}
	s.loop.Post(broker.ProcessesChanged{Processes: 1, Unseen: unseen})
}
