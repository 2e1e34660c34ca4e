package daemon

import (
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// After SIGTERM clients go on with the connections they have, and where each request comes on a new one, with new
// ones; they have nowhere else to go. SIGKILL follows once the longest deadline (or maxWait) and killDelay have
// passed, and the next start comes no sooner, however early this one ends.
const (
	// minDrain is the least time for clients to go over to other brokers. Lower, they see connections refused.
	minDrain = 450 * time.Millisecond
	// maxWait is the longest that the platform waits for answers, and killDelay how long after that, or after the
	// longest deadline, SIGKILL comes. The platform's rules fix both; higher figures here lose answers to it.
	maxWait   = 3 * time.Second
	killDelay = 700 * time.Millisecond
	// closeBeforeKill is how long before SIGKILL connections are drained, answerBeforeKill when all that is still
	// owed is answered, and exitBeforeKill when the program ends at the latest. Higher, requests fail that could be
	// served; lower, a busy machine is killed before their answers are out.
	closeBeforeKill  = 400 * time.Millisecond
	answerBeforeKill = 250 * time.Millisecond
	exitBeforeKill   = 100 * time.Millisecond
	// crossingTime is for requests that crossed the end of their connection. Lower, one of them is reset without an
	// answer.
	crossingTime = 100 * time.Millisecond
	// shutdownPoll is the time between two looks whether anything is owed. Higher, the process ends later; lower, it
	// wakes up more often.
	shutdownPoll = 20 * time.Millisecond
)

// shutdownTimes is what happens when after SIGTERM.
type shutdownTimes struct {
	drain  time.Duration // connections end as soon as they wait for nothing
	close  time.Duration // all servers close
	answer time.Duration // what is still owed is answered
	exit   time.Duration // the program ends at the latest
}

// computeShutdownTimes guards the clients of a planned restart, who would otherwise see failures: each is served for
// as long as its answer can still come.
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

// shutDown hands clients over after SIGTERM and waits for the answers that are owed. With a successor there, clients
// have somewhere to go at once: new connections are redirected to it, and the old ones end as soon as they wait for
// nothing.
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
	s.exporter.Shutdown(began.Add(lastFlush)) // no client waits any more
}

// awaitAnswers waits until nothing is owed, and has the core answer the rest in time.
func (s *service) awaitAnswers(began time.Time, times shutdownTimes) {
	notified := false
	for s.owesAnswers() && time.Since(began) < times.exit {
		if !notified && time.Since(began) >= times.answer {
			notified = true
			s.loop.Post(broker.ShuttingDown{})
		}
		time.Sleep(shutdownPoll)
	}
}

// owesAnswers reports whether a request is open or a client connected.
func (s *service) owesAnswers() bool {
	return s.loop.OpenRequests() > 0 || s.clientCount() > 0
}

// drain has all servers end connections that wait for nothing.
func (s *service) drain() {
	for _, server := range s.servers {
		server.Drain()
	}
}
