package discovery

import (
	"log/slog"
	"net"
	"time"
)

const (
	// minHold is how long a poll waits at the service for changes, at least. Lower, an idle broker polls more often.
	minHold = 5 * time.Second
	// holdPerBroker is added for each broker of the tier, since the polls of all of them add up at the service.
	// Lower, a large tier overloads it.
	holdPerBroker = time.Second / 2
	// maxHold bounds both. Higher, a poll that fell silent is given up later, and a drain behind it is known later.
	maxHold = 20 * time.Second
	// firstBackoff is the mean pause after a first failed poll; it doubles with each further one. Higher, a lost poll
	// costs more of the drain grace; lower, a service that restarts is asked by all brokers at once.
	firstBackoff = 50 * time.Millisecond

	// sharedAnswerTimeout and sharedMaxBackoff hold for a service that all brokers poll together: it is overloaded
	// now and then and needs time. Lower, polls given up too early add to its load; higher, a lost poll is noticed
	// later.
	sharedAnswerTimeout = 2500 * time.Millisecond
	sharedMaxBackoff    = 3 * time.Second

	// notifiedAfter is when a change counts as notified, whatever became of the polls before: so long after the
	// service had it and could be reached. The platform's rule fixes it: a node that drains gets nothing more from
	// notifiedAfter and the drain grace on.
	notifiedAfter = 6 * time.Second
	// maxJitter is the longest pause after a failed poll, against its mean. watch draws from half of the mean up to
	// this.
	maxJitter = 1.5
	// timeoutMargin is the part of the available time that timeouts and pauses may use; the rest is for connections
	// and the machine's own delays. Higher, a drain is known late on a busy machine; lower, slow answers count as
	// lost.
	timeoutMargin = 0.9
	// holdMargin is the same behind a poll that waited in vain.
	holdMargin = 300 * time.Millisecond

	// answerPartOfGrace and backoffPartOfGrace are the parts of the drain grace that one answer and one mean pause
	// may take, so that a lost poll, its pause and the next poll together stay within it. Lower, a slow agent's
	// answers count as lost.
	answerPartOfGrace  = 3
	backoffPartOfGrace = 4
	// lostAnswers is how many answers, and lostPauses how many pauses, lie between a change and its arrival at worst:
	// a poll that is lost, another one, and the one that is answered.
	lostAnswers = 3
	lostPauses  = 2
)

// Options says for whom a Watcher polls.
type Options struct {
	Brokers       int           // of the tier
	DrainGrace    time.Duration // within which requests to a draining node must end; 0 for none
	SharedService bool          // all brokers poll one service; otherwise an agent on this machine has the list
	Local         net.IP        // from which polls are made; nil for the system's choice
	Log           *slog.Logger  // gets a line when polls begin to fail and when one succeeds again
}

// pollTimeouts is how long a Watcher waits before it takes silence for loss.
type pollTimeouts struct {
	hold       time.Duration // how long a poll may wait at the service for changes
	answer     time.Duration // for an answer, beyond hold
	maxBackoff time.Duration // the longest mean pause after a failed poll
}

// pollTimeouts guards the platform's rule on drains: a broker must have applied a drain notifiedAfter and the drain
// grace after the service had it. Where it fails, a draining node still gets requests. The worst case is a lost poll, a
// pause, another lost poll, another pause, and the answer that comes: lostAnswers and lostPauses. What an agent on this
// machine has counts as notified, whether or not it answers: all that it got while it was silent from the moment of
// its return, and what a poll that fell silent misses 2 s after that poll's hold. So a lost poll, the pause behind it
// and the next poll together stay within the grace. For any service, a poll that was begun too soon and is lost, the
// pause, another lost poll, its pause and the answer that comes stay within notifiedAfter and the grace; so does a
// poll that waits for changes in vain, with the pause and the answer behind it.
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
