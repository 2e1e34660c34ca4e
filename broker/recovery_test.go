package broker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

const (
	// shortTimeout is the time that the clients of these tests wait.
	shortTimeout = 100 * time.Millisecond
	// lateness is how late an answer may come after that.
	lateness = 550 * time.Millisecond
)

// answers counts the answers of requests.
type answers struct {
	mu    sync.Mutex
	count map[int]int
	late  map[int]time.Duration
}

// reply returns the reply function of a request that is submitted now.
func (a *answers) reply(request int, panics bool) func(Response) {
	due := time.Now().Add(shortTimeout + lateness)
	return func(Response) {
		a.mu.Lock()
		a.count[request]++
		if late := time.Since(due); late > 0 {
			a.late[request] = late
		}
		a.mu.Unlock()
		if panics {
			panic("reply")
		}
	}
}

// check waits until no request is open, and checks that each of the requests got one answer in time.
func (a *answers) check(t *testing.T, loop *Loop, what string, requests int, cancelled map[int]bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); loop.OpenRequests() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if open := loop.OpenRequests(); open != 0 {
		t.Errorf("%s: %d requests are open at the end", what, open)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for request := range requests {
		if got := a.count[request]; got > 1 || got == 0 && !cancelled[request] {
			t.Errorf("%s: request %d got %d answers", what, request, got)
		}
		if late := a.late[request]; late > 0 {
			t.Errorf("%s: request %d was answered %v too late", what, request, late)
		}
	}
}

// shortRequest returns a request whose client waits for shortTimeout.
func shortRequest(class string) *Request {
	request := testRequest(class, 0)
	request.Timeout = MicrosOf(shortTimeout)
	return request
}

// An event that causes a panic took all events behind it in its turn with it: their requests got no answer, and stayed
// counted as open. Each request must get one answer, wherever in the turn the panic is: in the core or the scheduler,
// at an arrival or another event.
func TestPanicLosesNoRequestOfItsTurn(t *testing.T) {
	const requests = 6
	for name, poison := range map[string]func(loop *Loop, reply func(Response)){
		"arrival": func(loop *Loop, reply func(Response)) {
			loop.inbox.newClients[1<<60] = client{"read", reply}
			loop.Metrics.open.Add(1)
			loop.Post(RequestArrived{ID: 1 << 60})
		},
		"scheduler": func(loop *Loop, reply func(Response)) {
			loop.Post(SettingsChanged{Settings: scheduler.Settings{Brokers: 1}})
			loop.SubmitAdmitted(shortRequest("read"), reply)
		},
	} {
		for at := range requests + 1 {
			loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{})
			got := &answers{count: map[int]int{}, late: map[int]time.Duration{}}
			loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready)))
			for i := range requests {
				if i == at {
					poison(loop, got.reply(requests, false))
				}
				loop.Submit(shortRequest("read"), got.reply(i, false))
			}
			if at == requests {
				poison(loop, got.reply(requests, false))
			}
			ctx, cancel := context.WithCancel(context.Background())
			go loop.Run(ctx) // all events are in its first turn
			got.check(t, loop, fmt.Sprintf("%s at %d", name, at), requests+1, nil)
			cancel()
		}
	}
}

// faultyTransport answers attempts in random ways, and panics at the calls whose numbers are in panics.
type faultyTransport struct {
	noHealthChecks
	mu     sync.Mutex
	rng    *rand.Rand
	calls  int
	panics map[int]bool
}

// call counts a call and panics if it must. It returns a number that the caller's behavior depends on.
func (f *faultyTransport) call() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.panics[f.calls] {
		panic(fmt.Sprint("call ", f.calls))
	}
	return f.rng.IntN(4)
}

func (f *faultyTransport) Start(a Attempt, done func(Result)) Handle {
	switch f.call() {
	case 0: // never answered
	case 1:
		go done(Result{Err: &AttemptError{Progress: FullyWritten, Err: context.Canceled}})
	default:
		go done(served(a.Node))
	}
	return faultyHandle{f}
}

type faultyHandle struct{ transport *faultyTransport }

func (h faultyHandle) Stop() Progress {
	return []Progress{NotConnected, FullyWritten}[h.transport.call()%2]
}
func (h faultyHandle) StopSending()         { h.transport.call() }
func (h faultyHandle) CancelUnlessWritten() { h.transport.call() }

// A panic in a transport or in a reply function lost the rest of its turn: a stop that panicked left its request without
// an answer for good, while a timer was set every 5 ms. Calls panic one after the other, in seeded days with answers,
// faults, hanging nodes and clients that leave.
func TestPanicsInEffectsLoseNoRequest(t *testing.T) {
	const (
		days     = 40
		requests = 30
	)
	for day := range days {
		rng := rand.New(rand.NewPCG(uint64(day), 60))
		transport := &faultyTransport{rng: rng, panics: map[int]bool{1 + day: true, 1 + rng.IntN(3*requests): true}}
		loop := NewLoop(newState(t, testSettings()), NewClock(), transport, Dependencies{Log: logging.Discard()})
		got := &answers{count: map[int]int{}, late: map[int]time.Duration{}}
		loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready)))
		cancelled := map[int]bool{}
		for i := range requests {
			id := loop.Submit(shortRequest([]string{"read", "write"}[i%2]), got.reply(i, i == day))
			if rng := (i*7 + day) % 9; rng == 0 {
				cancelled[i] = true
				time.AfterFunc(time.Duration(i)*time.Millisecond, func() { loop.Cancel(id) })
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		go loop.Run(ctx)
		got.check(t, loop, fmt.Sprint("day ", day), requests, cancelled)
		cancel()
	}
}

// Configuration changes are applied before the events of a turn. A panic in them failed the requests whose arrivals that
// turn was about to handle, and their attempts ran for nobody. These requests must be served.
func TestPanicInConfigChangesFailsNoArrival(t *testing.T) {
	changed := false
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{
		ConfigChanges: func(Micros) []Event {
			if changed {
				return nil
			}
			changed = true
			return []Event{RequestArrived{ID: 1 << 60}}
		},
	})
	loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready)))
	responses := make(chan Response, 1)
	loop.Submit(shortRequest("read"), func(r Response) { responses <- r })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	if r := <-responses; r.Verdict != Served {
		t.Errorf("the request behind the panic: %+v, want Served", r)
	}
}
