package daemon

import (
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// If there is no successor at SIGTERM, clients cannot connect to another process: they keep using their connections
// and keep opening new ones. The platform sends SIGKILL after the longest deadline (at most maxWait) plus killDelay. It
// does not start the next process before SIGKILL is due, even if this process ends earlier.
const (
	// minDrain is the minimum time from SIGTERM until connections are drained, in which clients can move to other
	// brokers. With a smaller value, clients that still connect are refused.
	minDrain = 450 * time.Millisecond
	// maxWait is the longest time for which the platform waits for answers. killDelay is the time between the end of
	// that wait, or the longest deadline if that is shorter, and SIGKILL. The platform's rules fix both. With larger
	// values here, SIGKILL comes before the last answers are sent.
	maxWait   = 3 * time.Second
	killDelay = 700 * time.Millisecond
	// closeBeforeKill, answerBeforeKill and exitBeforeKill are times before SIGKILL: when connections are drained,
	// when all requests that are still open are answered, and when the process ends unless an answer is under way.
	// With larger values, requests fail that could be served. With smaller values, a process on a busy machine is
	// killed before the answers are sent.
	closeBeforeKill  = 400 * time.Millisecond
	answerBeforeKill = 250 * time.Millisecond
	exitBeforeKill   = 100 * time.Millisecond
	// crossingTime is the time between draining connections and closing the servers. A request that a client sent
	// while its connection was being drained arrives in that time. With a smaller value, such a request is reset
	// without an answer.
	crossingTime = 100 * time.Millisecond
	// shutdownPoll is the time between two checks for open requests and connected clients. With a larger value, the
	// process ends later. With a smaller value, it wakes up more often.
	shutdownPoll = 20 * time.Millisecond
)

// shutdownTimes holds the times of the shutdown steps, measured from SIGTERM.
type shutdownTimes struct {
	drain  time.Duration // connections without open requests are closed from here on
	close  time.Duration // all servers close
	answer time.Duration // requests that are still open are answered
	exit   time.Duration // the process ends, unless clients are still reading their answers
}

// computeShutdownTimes returns the times of the shutdown steps. Clients are served as long as an answer can still be
// sent before SIGKILL, so that a planned restart causes as few failures as possible.
func computeShutdownTimes(classes []scheduler.Class) shutdownTimes {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	kill := min(longest, maxWait) + killDelay
	drain := max(minDrain, kill-closeBeforeKill)
	return shutdownTimes{
		drain:  drain,
		close:  drain + crossingTime,
		answer: kill - answerBeforeKill,
		exit:   kill - exitBeforeKill,
	}
}

// shutDown closes the servers after SIGTERM and waits until all accepted requests are answered. An answer that a client
// is reading is not cut off, however long that takes: only its connection limits its time, or SIGKILL. If there is a
// successor, shutDown redirects new connections to the successor at once, and closes each old connection as soon as the
// connection has no open requests. Otherwise it keeps accepting clients until the drain time.
func (s *service) shutDown() {
	times := computeShutdownTimes(*s.classes.Load())
	began := time.Now()
	hasSuccessor := s.coordinator != nil && s.coordinator.HasSuccessor()
	s.log.Info("stopping", "successor", hasSuccessor)
	if hasSuccessor {
		s.redirectClients()
		s.drain()
		for s.owesAnswers() && time.Since(began) < times.close {
			time.Sleep(shutdownPoll)
		}
	} else {
		time.Sleep(times.drain)
		s.drain()
		time.Sleep(times.close - time.Since(began))
	}
	s.accepting.Store(false)
	for _, server := range s.servers {
		server.Close()
	}
	s.awaitAnswers(began, times)
	lastFlush := max(times.exit, time.Since(began)+shutdownPoll)
	s.exporter.Shutdown(began.Add(lastFlush)) // all clients have their answers
}

// awaitAnswers waits until no request is open and no client is connected. At times.answer it makes the core answer all
// requests that are still open. From times.exit on it waits only as long as a client is reading an answer.
func (s *service) awaitAnswers(began time.Time, times shutdownTimes) {
	notified := false
	for s.owesAnswers() && (time.Since(began) < times.exit || s.answersUnderWay()) {
		if !notified && time.Since(began) >= times.answer {
			notified = true
			s.loop.Post(broker.ShuttingDown{})
		}
		time.Sleep(shutdownPoll)
	}
}

// answersUnderWay reports whether a connection owes an answer.
func (s *service) answersUnderWay() bool {
	for _, server := range s.servers {
		if server.HasBusy() {
			return true
		}
	}
	return false
}

// owesAnswers reports whether a request is open or a client is connected.
func (s *service) owesAnswers() bool {
	return s.loop.OpenRequests() > 0 || s.clientCount() > 0
}

// drain makes all servers close connections that have no open requests.
func (s *service) drain() {
	for _, server := range s.servers {
		server.Drain()
	}
}
