package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// maxLatePolls bounds the polls of one watch that are late but may still be answered. With a smaller value, a service
// that answers slowly is not followed. With a larger value, an overloaded service has more polls to answer.
const maxLatePolls = 5

// errLate reports that a poll has no answer yet, although the usual time for it is over.
var errLate = errors.New("no answer in time")

// runningPoll is a poll that has no answer yet.
type runningPoll struct {
	request pollRequest
	cancel  context.CancelFunc
}

// pollResult is the result of a poll.
type pollResult struct {
	poll *runningPoll
	list *EndpointList
	err  error
}

// watch polls one address until its context ends. At any time one poll is the current one. A poll of a shared service
// whose answer is late goes on beside the polls that follow it, since the service may answer slowly, and its answer
// counts like any other.
type watch struct {
	*Watcher
	ctx   context.Context
	clock *broker.Clock
	post  func(broker.Event)

	results chan pollResult
	polls   sync.WaitGroup
	late    []*runningPoll // the earliest first
	request pollRequest    // the next poll
	failing bool           // whether the latest poll failed
	backoff time.Duration  // mean pause after the next failure
}

func (w *Watcher) newWatch(ctx context.Context, clock *broker.Clock, post func(broker.Event)) *watch {
	return &watch{
		Watcher: w,
		ctx:     ctx,
		clock:   clock,
		post:    post,
		results: make(chan pollResult),
		request: pollRequest{full: true},
		backoff: firstBackoff,
	}
}

// run polls until the context ends, and ends all polls.
func (w *watch) run() {
	defer w.polls.Wait()
	for w.ctx.Err() == nil {
		if err := w.pollOnce(); err != nil {
			w.fail(err)
			w.pause()
		}
	}
}

// pollOnce starts a poll and returns when the next one may start: when it, or a late one in its place, is answered, or
// when it is late. It returns an error if a pause must come first.
func (w *watch) pollOnce() error {
	current := w.start(w.request)
	var lateAt <-chan time.Time
	if timeout := w.timeouts.Load().late(current.request); timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		lateAt = timer.C
	}
	for {
		select {
		case <-w.ctx.Done():
			return nil
		case <-lateAt:
			w.keepLate(current)
			return errLate
		case result := <-w.results:
			if result.poll == current {
				return w.handle(result)
			}
			if w.handleLate(result) && current.request.full {
				w.keepLate(current) // its list is not needed to go on
				return nil
			}
		}
	}
}

// start starts a poll.
func (w *watch) start(request pollRequest) *runningPoll {
	ctx, cancel := context.WithCancel(w.ctx)
	poll := &runningPoll{request: request, cancel: cancel}
	w.polls.Go(func() {
		defer cancel()
		list, err := w.poll(ctx, request)
		select {
		case w.results <- pollResult{poll, list, err}:
		case <-w.ctx.Done():
		}
	})
	return poll
}

// keepLate lets a poll go on beside the next ones. If there are too many, the earliest ends.
func (w *watch) keepLate(poll *runningPoll) {
	w.late = append(w.late, poll)
	if len(w.late) > maxLatePolls {
		w.late[0].cancel()
		w.late = slices.Delete(w.late, 0, 1)
	}
}

// handle handles the result of the current poll. It returns the reason if the poll failed.
func (w *watch) handle(result pollResult) error {
	if result.err != nil {
		return result.err
	}
	if err := w.checkVersion(result.list); err != nil {
		w.apply(w.drainingEndpoints(result.list), w.clock, w.post)
		return err
	}
	w.succeed(result.list)
	return nil
}

// handleLate handles the result of a late poll, and reports whether its list was accepted. A list that another poll has
// overtaken is dropped.
func (w *watch) handleLate(result pollResult) bool {
	index := slices.Index(w.late, result.poll)
	if index < 0 {
		return false // it was cancelled
	}
	w.late = slices.Delete(w.late, index, index+1)
	if result.err != nil || result.list.Version < w.version || w.checkVersion(result.list) != nil {
		return false
	}
	w.succeed(result.list)
	return true
}

// succeed applies an accepted list and continues after its version.
func (w *watch) succeed(list *EndpointList) {
	if w.failing {
		w.log.Info("discovery recovered")
	}
	w.failing = false
	w.backoff = firstBackoff
	w.request = pollRequest{version: list.Version}
	w.apply(list, w.clock, w.post)
}

// fail records that the current poll failed or is late.
func (w *watch) fail(reason error) {
	if !w.failing {
		w.log.Warn("discovery poll failed", "reason", reason)
	}
	w.failing = true
	// A service that answers with an HTTP status error still knows the version. After any other failure, the service may
	// have restarted its version count.
	w.request.full = w.request.full || !errors.Is(reason, errBadStatus)
}

// pause waits before the next poll, longer after each failure. It ends early if a late poll is answered.
func (w *watch) pause() {
	timer := time.NewTimer(w.backoff/2 + rand.N(w.backoff))
	defer timer.Stop()
	w.backoff = min(2*w.backoff, w.timeouts.Load().maxBackoff)
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-timer.C:
			return
		case result := <-w.results:
			if w.handleLate(result) {
				return
			}
		}
	}
}

// apply merges a list into the current one and posts it. It does not post a change without endpoints.
func (w *Watcher) apply(list *EndpointList, clock *broker.Clock, post func(broker.Event)) {
	w.merge(list)
	if list.Full {
		post(list.Event(scheduler.FullUpdate, clock))
	} else if len(list.Endpoints) > 0 {
		post(list.Event(scheduler.DeltaUpdate, clock))
	}
}
