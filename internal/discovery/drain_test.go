package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// memoryListener is a listener for connections in memory, so that tests can run on a virtual clock.
type memoryListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	close(l.done)
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startServer starts a server on a listener in memory.
func startServer(t *testing.T, handler http.HandlerFunc) (*http.Server, *memoryListener) {
	t.Helper()
	listener := newMemoryListener()
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	return server, listener
}

// answerDrain answers a poll with version 42, in which the node is draining: with the full list or with the change
// since version 41. It holds a poll for changes since any other version.
func answerDrain(w http.ResponseWriter, r *http.Request) {
	answer := ""
	switch r.URL.Query().Get("index") {
	case "":
		answer = strings.Replace(strings.Replace(fullText, "41", "42", 1), "SERVING", "DRAINING", 1)
	case "41":
		answer = strings.Replace(changeText, "43", "42", 1)
	default:
		<-r.Context().Done()
	}
	_, _ = fmt.Fprint(w, answer) // the client may have closed the connection
}

// answerFull sends the full list, in which the node is ready.
func answerFull(w http.ResponseWriter) {
	_, _ = fmt.Fprint(w, fullText) // the client may have closed the connection
}

// hasDrain reports whether an event lists the node as draining.
func hasDrain(event broker.Event) bool {
	list, isList := event.(broker.NodesListed)
	return isList && len(list.Nodes) == 1 && list.Nodes[0].State == scheduler.Draining
}

// runUntilDrain runs a watcher until it posts the drain. It then stops the watcher and the server, and returns the time
// at which the drain was posted.
func runUntilDrain(w *Watcher, server *http.Server) time.Time {
	ctx, cancel := context.WithCancel(context.Background())
	known := make(chan time.Time, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx, broker.NewClock(), func(event broker.Event) {
			if !hasDrain(event) {
				return
			}
			select {
			case known <- time.Now():
			default:
			}
		})
	}()
	at := <-known
	cancel()
	<-ended
	w.client.CloseIdleConnections()
	_ = server.Close()
	synctest.Wait()
	return at
}

// notifiedAt returns the time from which the platform's rules count an agent's changes as notified to a poll that
// became silent: 6 s after the start of the silence, or 2 s after the end of the poll's hold time if that is later.
func notifiedAt(poll, silence time.Time, hold time.Duration) time.Time {
	afterSilence := silence.Add(6 * time.Second)
	afterHold := poll.Add(hold + 2*time.Second)
	if afterSilence.After(afterHold) {
		return afterSilence
	}
	return afterHold
}

// silenceCase is a scenario in which an agent is silent for some time.
type silenceCase struct {
	grace   time.Duration
	brokers int
	before  time.Duration // time from the start of the watch to the silence
	silent  time.Duration // duration of the silence
}

// An agent becomes silent at different times of a watch, before or after its first answer, and for different durations.
// It learns of a drain during the silence. The watcher must post the drain within the settings' grace, counted from the
// end of the silence or from the time at which the rules count the silent poll as notified.
func TestDrainDuringSilence(t *testing.T) {
	silences := []time.Duration{
		0, 170 * time.Millisecond, 900 * time.Millisecond,
		3100 * time.Millisecond, 11300 * time.Millisecond, 29700 * time.Millisecond,
	}
	for _, grace := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		for _, brokers := range []int{1, 300} {
			for before := time.Duration(0); before < 2*time.Second; before += 370 * time.Millisecond {
				for _, silent := range silences {
					c := silenceCase{grace: grace, brokers: brokers, before: before, silent: silent}
					synctest.Test(t, func(t *testing.T) { checkDrainDuringSilence(t, c) })
				}
			}
		}
	}
}

func checkDrainDuringSilence(t *testing.T, c silenceCase) {
	t.Helper()
	silence := time.Now().Add(c.before)
	back := silence.Add(c.silent)
	var silentPoll time.Time // start of the poll that became silent
	server, listener := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		poll := time.Now()
		switch {
		case poll.Before(silence) && r.URL.Query().Get("index") == "":
			answerFull(w)
		case poll.Before(back): // remains unanswered even after the silence
			if silentPoll.IsZero() {
				silentPoll = poll
			}
			<-r.Context().Done()
		default:
			answerDrain(w, r)
		}
	})
	watcher := NewWatcher("agent", Options{Brokers: c.brokers, DrainGrace: c.grace, Log: logging.Discard()})
	watcher.client.Transport = &http.Transport{DialContext: listener.dial}
	known := runUntilDrain(watcher, server)
	notified := back
	// A held poll stays unanswered even after the silence. A poll for the full list is not held.
	if !silentPoll.IsZero() && silentPoll.Before(silence) {
		if at := notifiedAt(silentPoll, silence, watcher.timeouts.Load().hold); at.After(notified) {
			notified = at
		}
	}
	if late := known.Sub(notified); late > c.grace {
		t.Errorf("%+v: drain posted %v after it counts as notified, want at most the grace", c, late)
	}
}

// failure is a kind of poll failure.
type failure int

const (
	pollsRejected      failure = iota // with status 503
	pollsUnanswered                   // polls receive no answer
	dialsRefused                      // connections are refused
	heldPollUnanswered                // only the held poll receives no answer
	failures
)

// failureCase is a scenario in which the polls of a service fail for some time.
type failureCase struct {
	shared  bool
	grace   time.Duration
	brokers int
	failure failure
	down    time.Duration
}

// Polls are rejected, refused or not answered for some time, both with a shared service and with an agent. The watcher
// must post a drain within 6 s plus the grace from the time at which discovery had the drain and could be reached.
func TestDrainAfterFailedPolls(t *testing.T) {
	graces := []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second}
	const longestDown = 24 * time.Second
	for _, shared := range []bool{false, true} {
		for _, grace := range graces {
			for _, brokers := range []int{1, 300} {
				for kind := range failures {
					for down := 100 * time.Millisecond; down < longestDown; down += down/3 + 700*time.Millisecond {
						c := failureCase{shared: shared, grace: grace, brokers: brokers, failure: kind, down: down}
						synctest.Test(t, func(t *testing.T) { checkDrainAfterFailedPolls(t, c) })
					}
				}
			}
		}
	}
}

func checkDrainAfterFailedPolls(t *testing.T, c failureCase) {
	t.Helper()
	fails := time.Now().Add(400 * time.Millisecond)
	back := fails.Add(c.down)
	hadDrain := back
	if c.failure == heldPollUnanswered {
		hadDrain = fails.Add(c.down / 2)
		back = fails
	}
	server, listener := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		poll := time.Now()
		switch {
		case poll.Before(fails) && r.URL.Query().Get("index") == "":
			answerFull(w)
		case poll.Before(fails) && c.failure != heldPollUnanswered: // the held poll ends when polls begin to fail
			time.Sleep(time.Until(fails))
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case poll.Before(back) && c.failure == pollsRejected:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case poll.Before(back): // with heldPollUnanswered also the held poll, which began before the failure
			<-r.Context().Done()
		default:
			answerDrain(w, r)
		}
	})
	watcher := NewWatcher("agent", Options{
		Brokers:       c.brokers,
		DrainGrace:    c.grace,
		SharedService: c.shared,
		Log:           logging.Discard(),
	})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if now := time.Now(); c.failure == dialsRefused && !now.Before(fails) && now.Before(back) {
			return nil, syscall.ECONNREFUSED
		}
		return listener.dial(ctx, network, address)
	}
	watcher.client.Transport = &http.Transport{DialContext: dial}
	if late := runUntilDrain(watcher, server).Sub(hadDrain.Add(notifiedAfter)); late > c.grace {
		t.Errorf("%+v: drain posted %v after it counts as notified, want at most the grace", c, late)
	}
}

// A shared service answers each poll later than usual, always by the same time or by a random one. No answer was ever
// waited for, so a drain was followed only once the service was quick again. The watcher must post a drain that the
// service sends within the term, 6 s plus the grace, at the latest at the end of the term, and must not poll more often
// than with lost polls.
func TestDrainOfSlowService(t *testing.T) {
	const grace = 2 * time.Second
	const term = notifiedAfter + grace
	const longestDelay = 6300 * time.Millisecond // leaves the time between two polls
	for delay := 300 * time.Millisecond; delay <= longestDelay; delay += 400 * time.Millisecond {
		for _, random := range []bool{false, true} {
			for drainAt := time.Second; drainAt < 14*time.Second; drainAt += 1700 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					var polls atomic.Int64
					drained := time.Now().Add(drainAt)
					server, listener := startServer(t, func(w http.ResponseWriter, r *http.Request) {
						polls.Add(1)
						late := delay
						if random {
							late = rand.N(min(2*delay, longestDelay))
						}
						answerSlowly(w, r, drained, late)
					})
					watcher := NewWatcher("shared", Options{
						Brokers: 3, DrainGrace: grace, SharedService: true, Log: logging.Discard(),
					})
					watcher.client.Transport = &http.Transport{DialContext: listener.dial}
					began := time.Now()
					known := runUntilDrain(watcher, server)
					if late := known.Sub(drained); late > term {
						t.Errorf("delay %v, random %v, drain after %v: posted %v later, want %v at most",
							delay, random, drainAt, late, term)
					}
					shortest := watcher.timeouts.Load().answer + firstBackoff/2
					if most := 3 + 2*int64(known.Sub(began)/shortest); polls.Load() > most {
						t.Errorf("delay %v: %d polls in %v, want %d at most", delay, polls.Load(), known.Sub(began), most)
					}
				})
			}
		}
	}
}

// wait returns after a pause or when ctx ends.
func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// answerSlowly answers a poll like a service with one node that drains at a time: it holds a poll for changes until
// then or until the hold time is over, and sends what it knows then by a delay later.
func answerSlowly(w http.ResponseWriter, r *http.Request, drained time.Time, delay time.Duration) {
	index := r.URL.Query().Get("index")
	if held, _ := strconv.Atoi(r.URL.Query().Get("wait")); index == "41" {
		wait(r.Context(), min(time.Duration(held)*time.Millisecond, max(0, time.Until(drained))))
	}
	isDrained := !time.Now().Before(drained)
	wait(r.Context(), delay)
	switch {
	case isDrained:
		answerDrain(w, r)
	case index == "41":
		_, _ = fmt.Fprint(w, `{"seq":41,"whole":false,"hosts":[]}`) // the client may have closed the connection
	default:
		answerFull(w)
	}
}
