package discovery

import (
	"log/slog"
	"net"
	"time"
)

const (
	// minHold is the minimum time for which the service may hold a poll until there are changes. With a smaller value,
	// an idle broker polls more often.
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

	// sharedAnswerTimeout and sharedMaxBackoff apply to a service that all brokers poll. Such a service is overloaded
	// at times and answers late. With smaller values, polls are abandoned too early and their repetitions add to its
	// load. With larger values, a lost poll is noticed later.
	sharedAnswerTimeout = 2500 * time.Millisecond
	sharedMaxBackoff    = 3 * time.Second

	// notifiedAfter is the time after which a change counts as notified, even if polls failed. It starts when the
	// service has the change and can be reached. The platform's rule fixes it: a draining node must receive no requests
	// after notifiedAfter plus the drain grace.
	notifiedAfter = 6 * time.Second
	// maxJitter is the longest pause after a failed poll, as a multiple of the mean pause. watch draws the pause from
	// half of the mean up to this.
	maxJitter = 1.5
	// timeoutMargin is the part of the available time that timeouts and pauses may use. The rest is for connecting and
	// for scheduling delays of the machine. With a larger value, a drain is applied too late on a busy machine. With a
	// smaller value, slow answers are treated as lost.
	timeoutMargin = 0.9
	// holdMargin is the corresponding reserve after a poll that was held but received no answer.
	holdMargin = 300 * time.Millisecond

	// answerPartOfGrace and backoffPartOfGrace are divisors of the drain grace. They limit the time for one answer and
	// the mean pause, so that a lost poll, its pause and the next poll together fit into the grace. With larger
	// divisors, slow answers of an agent are treated as lost.
	answerPartOfGrace  = 3
	backoffPartOfGrace = 4
	// lostAnswers and lostPauses are the numbers of answers and pauses between a change and its arrival in the worst
	// case: two lost polls, each with a pause, and the poll that is answered.
	lostAnswers = 3
	lostPauses  = 2
)

// Options are the options of a Watcher.
type Options struct {
	Brokers       int           // number of brokers in the tier
	DrainGrace    time.Duration // time within which requests to a draining node must end; 0: none
	SharedService bool          // all brokers poll one service; false: an agent on this machine provides the list
	Local         net.IP        // source IP address of polls; nil: chosen by the system
	Log           *slog.Logger  // receives a line when polls begin to fail and when one succeeds again
}

// pollTimeouts are the times after which a Watcher treats a silent poll as lost.
type pollTimeouts struct {
	hold       time.Duration // maximum time for which the service holds a poll until there are changes
	answer     time.Duration // time for an answer, in addition to hold
	maxBackoff time.Duration // maximum mean pause after a failed poll
}

// pollTimeouts derives the timeouts from the platform's rule on drains: a broker must apply a drain within
// notifiedAfter plus the drain grace, counted from the time at which the service has the drain and can be reached. If a
// broker breaks the rule, a draining node still receives requests.
//
// For any service, the worst case is a poll that began just before this time and is lost, a pause, another lost poll,
// another pause, and the poll that is answered. lostAnswers and lostPauses count them. Together they must fit into
// notifiedAfter plus the grace. A poll that is held but not answered, the pause after it and the next answer must also
// fit.
//
// Changes at an agent on this machine count as notified even if the agent does not answer. Changes that the agent
// received while it was silent count as notified when the silence ends. Changes that a silent poll missed count as
// notified 2 s after the end of that poll's hold time. Therefore a lost poll, the pause after it and the next poll must
// together fit into the grace.
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
	wanted := max(minHold, min(time.Duration(o.Brokers)*holdPerBroker, maxHold))
	longestPause := time.Duration(maxJitter * float64(t.maxBackoff))
	t.hold = min(wanted, available-2*t.answer-longestPause-holdMargin)
	return t
}
