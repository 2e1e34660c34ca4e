package daemon

import (
	"context"
	"os"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/handover"
)

const (
	// maxOverlap is how long a process that is replaced may live beside the one that replaces it: until SIGTERM
	// comes, and then SIGKILL. Higher, the new one keeps to half of a plan's limit for longer where the list of
	// sockets cannot be read; lower, both together may exceed it.
	maxOverlap = time.Second + maxWait + killDelay
	// redirectTime is how long the successor's listener has had all new connections before the old one closes. Lower,
	// a connection that the kernel is just setting up is reset.
	redirectTime = 20 * time.Millisecond
)

// startHandover connects to the process that this one replaces, if there is one, and waits for a successor from then
// on. Without a place for the socket the broker serves all the same: its clients matter more than a smooth
// replacement.
func (s *service) startHandover(context.Context) error {
	if s.config.HandoverDisabled {
		s.handoverOff = true
		s.log.Info("handover off", "reason",
			"--handover=false: a process that starts beside this one shares nothing with it")
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
	s.clients.OnRequestChange(func(id string, opened bool) {
		if opened {
			coordinator.Send(handover.StateMessage{OpenedRequests: []string{id}})
		} else {
			coordinator.Send(handover.StateMessage{EndedRequests: []string{id}})
		}
	})
	if found {
		s.log.Info("handover: connected to the predecessor")
	}
	return nil
}

func (s *service) closeHandover() {
	if s.coordinator != nil {
		s.coordinator.Close()
	}
}

// otherConnected shares the limits and the rules with the other process.
func (s *service) otherConnected() handover.StateMessage {
	s.resize(2)
	s.loop.Post(broker.ProcessesChanged{Processes: 2})
	return handover.StateMessage{
		Endpoints:      s.watcher.Current(),
		OpenedRequests: s.clients.OpenRequestIDs(),
	}
}

// receiveState applies what the other process sends.
func (s *service) receiveState(message handover.StateMessage) {
	if message.Endpoints != nil {
		s.handedOver = message.Endpoints
	}
	s.clients.UpdateRemoteRequests(message.OpenedRequests, message.EndedRequests)
	if message.PeerMessage != nil {
		s.loop.Post(broker.PeerMessage{From: message.PeerOrdinal, Data: message.PeerMessage})
	}
}

// otherDisconnected follows the end of the other process: all is this one's again.
func (s *service) otherDisconnected() {
	s.clients.ForgetRemoteRequests()
	s.resize(1)
	s.loop.Post(broker.ProcessesChanged{Processes: 1})
	s.log.Info("handover: the other process disconnected")
}

// newestEndpoints is the newest list that is held at the start: the configuration's or the old process's.
func (s *service) newestEndpoints() *discovery.EndpointList {
	list := s.config.CachedEndpoints
	if s.handedOver != nil && (list == nil || s.handedOver.Version >= list.Version) {
		s.watcher.Resume(s.handedOver)
		list = s.handedOver
	}
	return list
}

// handlePeerDatagram takes a peer's message. While two processes share the address, each message reaches one of them.
func (s *service) handlePeerDatagram(message broker.PeerMessage) {
	s.loop.Post(message)
	if s.coordinator != nil {
		s.coordinator.Send(handover.StateMessage{PeerOrdinal: message.From, PeerMessage: message.Data})
	}
}

// redirectClients has new connections go to the successor, and accepts those that wait in the listeners' queues.
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

// startPresenceWatch starts the watch for other processes where none would connect to this one.
func (s *service) startPresenceWatch(ctx, ending context.Context) error {
	if s.handoverOff {
		go s.watchPresence(ctx, ending)
	}
	return nil
}

// presence is what is known of another process that would not connect to this one.
type presence struct {
	observed   handover.Presence
	atStart    bool // one listened before this process did, and may not have ended yet
	terminated bool // SIGTERM came: a successor may be there
}

// otherMayRun reports whether another process has to be counted. Where the system's list of sockets cannot be read, one
// that may run is counted.
func (p presence) otherMayRun() bool {
	if p.observed == handover.Unknown {
		return p.atStart || p.terminated
	}
	return p.observed == handover.Present
}

// watchPresence has the core share the plans' limits with another process that does not connect to it: one that it
// replaces, or that replaces it. Without this both would use a whole limit. Where no plan has a limit nothing is
// watched. Where the system's list of sockets cannot be read, a process that listened at the start counts until it must
// have ended, and a successor counts from SIGTERM on. It runs until ctx ends.
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

// postPresence informs the core whether another process has to be counted.
func (s *service) postPresence(otherMayRun bool) {
	unseen := 0
	if otherMayRun {
		unseen = 1
	}
	s.loop.Post(broker.ProcessesChanged{Processes: 1, Unseen: unseen})
}
