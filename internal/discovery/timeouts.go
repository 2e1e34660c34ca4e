package discovery

import (
	"log/slog"
	"net"
	"time"
)

const (
	// minHold is the hold time in a small tier: the time for which the service may hold a poll until there are changes.
	// pollTimeouts shortens it if the drain grace requires that. With a smaller value, an idle broker polls more often.
	minHold = 5 * time.Second
	// holdPerBroker is the hold time per broker of the tier, since the service receives the polls of all brokers. With
	// a smaller value, a large tier overloads the service.
	holdPerBroker = time.Second / 2
	// maxHold is the maximum hold time. With a larger value, a poll that became silent is abandoned later, and a drain
	// during the silence is noticed later.
	maxHold = 20 * time.Second
	// firstBackoff is the mean pause after the first failed poll. Each further failure doubles the pause. With a larger
	// value, a lost poll uses more of the drain grace. With a smaller value, all brokers poll a restarting service at
	// once.
	firstBackoff = 50 * time.Millisecond

	// sharedAnswerTimeout and sharedMaxBackoff are upper bounds, chosen for a service that all brokers poll. Such a
	// service is overloaded at times and then answers late. With smaller values, polls are abandoned too early and the
	// repeated polls add to the load of the service. With larger values, a lost poll is noticed later.
	sharedAnswerTimeout = 2500 * time.Millisecond
	sharedMaxBackoff    = 3 * time.Second

	// notifiedAfter is the time after which the platform considers the broker notified of a change, even if polls
	// failed. It starts when the service has the change and can be reached. The platform's rule fixes it: a draining
	// node must receive no requests after notifiedAfter plus the drain grace.
	notifiedAfter = 6 * time.Second
	// maxJitter is the longest pause after a failed poll, as a multiple of the mean pause. watch chooses a random pause
	// of 0.5 to maxJitter times the mean.
	maxJitter = 1.5
	// timeoutMargin is the part of the available time that timeouts and pauses may use. The rest is for connecting and
	// for scheduling delays of the machine. With a larger value, a drain is applied too late on a busy machine. With a
	// smaller value, slow answers are treated as lost.
	timeoutMargin = 0.9
	// holdMargin is the time that is reserved for the same delays when the hold time is limited.
	holdMargin = 300 * time.Millisecond

	// answerPartOfGrace and backoffPartOfGrace are divisors of the drain grace. They limit the time for one answer and
	// the mean pause, so that a lost poll, a mean pause and the next poll together fit into the grace. With larger
	// divisors, slow answers of an agent are treated as lost.
	answerPartOfGrace  = 3
	backoffPartOfGrace = 4
	// lostAnswers and lostPauses are the numbers of answer timeouts and pauses between a change and its arrival in the
	// worst case: two lost polls, a pause after each of them, and the poll that is answered.
	lostAnswers = 3
	lostPauses  = 2
)

// Options are the options of a Watcher.
type Options struct {
	Brokers       int           // number of brokers in the tier
	DrainGrace    time.Duration // after a drain is notified, time until a node receives no requests; 0: none
	SharedService bool          // all brokers poll one service; false: an agent on this machine provides the list
	Local         net.IP        // source IP address of polls; nil: chosen by the system
	Log           *slog.Logger  // receives a line when polls begin to fail and when one succeeds again
}

// pollTimeouts are the times after which a Watcher treats a silent poll as lost.
type pollTimeouts struct {
	hold       time.Duration // maximum time for which the service holds a poll until there are changes
	answer     time.Duration // time for an answer, in addition to hold
	slowAnswer time.Duration // time for a late answer, in addition to hold; 0: an answer that is late is lost
	maxBackoff time.Duration // maximum mean pause after a failed poll
}

// late returns the time after which the next poll starts beside a poll without an answer, 0 for never.
func (t *pollTimeouts) late(poll pollRequest) time.Duration {
	if t.slowAnswer <= t.answer {
		return 0
	}
	return t.answer + t.holdOf(poll)
}

// lost returns the time after which a poll without an answer ends.
func (t *pollTimeouts) lost(poll pollRequest) time.Duration {
	return max(t.answer, t.slowAnswer) + t.holdOf(poll)
}

// holdOf returns the time for which the service may hold a poll.
func (t *pollTimeouts) holdOf(poll pollRequest) time.Duration {
	if poll.full {
		return 0
	}
	return t.hold
}

// pollTimeouts derives the timeouts from the platform's rule on drains: a broker must apply a drain within
// notifiedAfter plus the drain grace, counted from the time at which the service has the drain and can be reached. If a
// broker breaks the rule, a draining node still receives requests.
//
// For any service, the worst case is a poll that began just before this time and is lost, a pause, another lost poll,
// another pause, and the poll that is answered. lostAnswers and lostPauses are the numbers of polls and
// pauses. Together, these polls and pauses must fit into notifiedAfter plus the grace. A poll that is held but not
// answered, the pause after it and the next poll must also fit into this time.
//
// Changes at an agent on this machine count as notified even if the agent does not answer. Changes that the agent
// received while it was silent count as notified when the silence ends. Changes that a silent poll missed count as
// notified 2 s after the end of that poll's hold time. Therefore a lost poll, the pause after it and the next poll must
// together fit into the grace.
//
// A shared service may be slow. The next poll starts when an answer is late, and the late poll goes on for
// slowAnswer: a list that comes within notifiedAfter plus the grace is in time.
func (o Options) pollTimeouts() pollTimeouts {
	available := notifiedAfter + o.DrainGrace
	longest := time.Duration(float64(available) / (lostAnswers + lostPauses*maxJitter) * timeoutMargin)
	t := pollTimeouts{
		answer:     min(sharedAnswerTimeout, longest),
		maxBackoff: min(sharedMaxBackoff, longest),
	}
	if !o.SharedService && o.DrainGrace > 0 {
		t.answer = min(t.answer, o.DrainGrace/answerPartOfGrace)
		t.maxBackoff = min(t.maxBackoff, o.DrainGrace/backoffPartOfGrace)
	}
	if o.SharedService {
		t.slowAnswer = available
	}
	wanted := max(minHold, min(time.Duration(o.Brokers)*holdPerBroker, maxHold))
	longestPause := time.Duration(maxJitter * float64(t.maxBackoff))
	t.hold = min(wanted, available-2*t.answer-longestPause-holdMargin)
	return t
}
