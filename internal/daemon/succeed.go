package daemon

import (
	"context"
	"os"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/handover"
)

// join meets the process that this one replaces, if there is one, and waits for a successor from then on. Without a
// place to meet, the broker serves all the same: its clients count for more than a smooth replacing.
func (s *service) join() {
	if s.config.HandoverDisabled {
		s.beside = true
		s.log.Info("handover off", "reason", "--handover=false: a process that starts beside this one serves beside it and takes nothing over")
		return
	}
	path := handover.SocketPath(os.TempDir(), s.config.Listen)
	office, met, err := handover.Open(path, handover.Callbacks{Connected: s.meet, Received: s.take, Disconnected: s.parted})
	if err != nil {
		s.beside = true
		s.log.Warn("handover off", "reason", err)
		return
	}
	s.office = office
	s.front.OnRequestChange(func(id string, opened bool) {
		if opened {
			office.Send(handover.StateMessage{OpenedRequests: []string{id}})
		} else {
			office.Send(handover.StateMessage{EndedRequests: []string{id}})
		}
	})
	if met {
		s.log.Info("handover: replacing the process that serves now")
	}
}

// lookBeside has the core keep to what it may do beside another process that it would not meet: one that it replaces, or that
// replaces it. Nobody looks where no plan has a limit. Where the system's list of sockets does not tell, one that was there at the start
// counts as there until it must have been ended, and one may be there from SIGTERM on.
func (s *service) lookBeside(ctx, ending context.Context, met bool) {
	tell := func(unseen bool) {
		n := 0
		if unseen {
			n = 1
		}
		s.loop.Post(broker.ProcessesChanged{Processes: 1, Unseen: n})
	}
	known, over := make(chan handover.Presence, 1), time.NewTimer(besideTime)
	defer over.Stop()
	go handover.NewPresenceWatcher(s.config.Listen).Run(ctx, s.limited.Load, func(c handover.Presence) {
		select {
		case known <- c:
		case <-ctx.Done():
		}
	})
	company := handover.Unknown
	ends := false
	for tell(met); ; tell(company == handover.Present || company == handover.Unknown && (met || ends)) {
		select {
		case company = <-known:
		case <-over.C:
			met = false
		case <-ending.Done():
			ends, ending = true, context.WithoutCancel(ending)
		case <-ctx.Done():
			return
		}
	}
}

// besideTime is how long a process that is replaced may live beside the one that replaces it: until SIGTERM comes, and then SIGKILL.
const besideTime = time.Second + longestWait + killAfter

func (s *service) part() {
	if s.office != nil {
		s.office.Close()
	}
}

// meet shares the limits and the rules with the other process.
func (s *service) meet() handover.StateMessage {
	s.resize(2)
	s.loop.Post(broker.ProcessesChanged{Processes: 2})
	return handover.StateMessage{Endpoints: s.watcher.Current(), OpenedRequests: s.front.OpenRequestIDs()}
}

// take takes what the other process tells.
func (s *service) take(news handover.StateMessage) {
	if news.Endpoints != nil {
		s.handed = news.Endpoints
	}
	s.front.UpdateRemoteRequests(news.OpenedRequests, news.EndedRequests)
	if news.PeerMessage != nil {
		s.loop.Post(broker.PeerMessage{From: news.PeerOrdinal, Data: news.PeerMessage})
	}
}

// parted follows the end of the other process: all is this one's again.
func (s *service) parted() {
	s.front.ForgetRemoteRequests()
	s.resize(1)
	s.loop.Post(broker.ProcessesChanged{Processes: 1})
	s.log.Info("handover: the other process is gone")
}

// known is the newest list that is held at the start.
func (s *service) known() *discovery.EndpointList {
	list := s.config.CachedEndpoints
	if s.handed != nil && (list == nil || s.handed.Version >= list.Version) {
		s.watcher.Resume(s.handed)
		list = s.handed
	}
	return list
}

// hear takes a peer's message. While two processes share the address each is sent to one of them.
func (s *service) hear(e broker.PeerMessage) {
	s.loop.Post(e)
	if s.office != nil {
		s.office.Send(handover.StateMessage{PeerOrdinal: e.From, PeerMessage: e.Data})
	}
}

// leadTime is how long the successor's listener has had all new connections before the old one closes.
const leadTime = 20 * time.Millisecond

// leadAway has new connections go to the successor and takes those that wait in the listeners' queues.
func (s *service) leadAway() {
	for _, ln := range s.listeners {
		if err := handover.RedirectNewConnections(ln); err != nil {
			s.log.Warn("handover failed", "reason", err)
		}
	}
	time.Sleep(leadTime)
	for _, front := range s.fronts {
		front.StopAccepting()
	}
}
