package discovery

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// Instructions to a scripted service that replace an answer.
const (
	overloaded    = "overloaded"
	cutConnection = "cut"
)

// scriptedService is a discovery service that sends the answers of a test one by one.
type scriptedService struct {
	address string
	queries chan string // the version of each poll
	answers chan string
}

func newScriptedService(t *testing.T) *scriptedService {
	t.Helper()
	s := &scriptedService{queries: make(chan string, 16), answers: make(chan string)}
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

func (s *scriptedService) serve(w http.ResponseWriter, r *http.Request) {
	s.queries <- r.URL.Query().Get("index")
	select {
	case text := <-s.answers:
		switch text {
		case overloaded:
			w.WriteHeader(http.StatusServiceUnavailable)
		case cutConnection:
			panic(http.ErrAbortHandler)
		default:
			_, _ = w.Write([]byte(text)) // the client may have closed the connection
		}
	case <-r.Context().Done():
	}
}

// The watch continues from the last version, also after an overloaded answer. After a lost poll it starts again with
// the full list. The net/http client itself repeats a poll that is cut on a reused connection, so the test cuts two.
func TestWatchContinuesFromLastVersion(t *testing.T) {
	service := newScriptedService(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := make(chan broker.Event, 16)
	watcher := NewWatcher(service.address, Options{Brokers: 1, Log: logging.ToFunc(func(line string) { t.Log(line) })})
	go watcher.Run(ctx, broker.NewClock(), func(event broker.Event) { events <- event })
	for i, step := range []struct {
		index, answer string
		posted        bool
		kind          scheduler.UpdateKind
	}{
		{"", fullText, true, scheduler.FullUpdate},
		{"41", changeText, true, scheduler.DeltaUpdate},
		{"43", noChangeText, false, 0},
		{"43", overloaded, false, 0},
		{"43", noChangeText, false, 0},
		{"43", cutConnection, false, 0},
		{"43", cutConnection, false, 0},
		{"", strings.Replace(fullText, "41", "44", 1), true, scheduler.FullUpdate},
		{"44", changeText, true, scheduler.DeltaUpdate},
	} {
		select {
		case index := <-service.queries:
			if index != step.index {
				t.Fatalf("step %d: polled from version %q, want %q", i, index, step.index)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("step %d: no poll within 5 s", i)
		}
		service.answers <- step.answer
		if !step.posted {
			continue
		}
		event, isList := (<-events).(broker.NodesListed)
		if !isList || event.Kind != step.kind || len(event.Nodes) != 1 {
			t.Errorf("step %d: posted %+v", i, event)
		}
	}
	if len(events) > 0 {
		t.Error("posted more events than lists with changes")
	}
}

// All brokers poll one overloaded service. Each broker polls less and less often, so that the service can recover.
func TestFailedPollsBackOff(t *testing.T) {
	polls := make(chan struct{}, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		polls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	options := Options{Brokers: 48, SharedService: true, Log: logging.Discard()}
	watcher := NewWatcher(server.Listener.Addr().String(), options)
	watcher.Run(ctx, broker.NewClock(), func(broker.Event) {})
	// The pauses between the first five polls are at least half of 50, 100, 200 and 400 ms.
	if n := len(polls); n < 2 || n > 7 {
		t.Errorf("%d polls in 1 s, want 2 to 7", n)
	}
}

// namedService sends prepared answers and then holds polls.
type namedService struct {
	name    string
	answers chan string
	polls   chan string   // shared by both services: the name and the version of each poll
	ended   chan struct{} // receives a value when a held poll ends
}

func (s *namedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.polls <- s.name + r.URL.Query().Get("index")
	select {
	case text := <-s.answers:
		_, _ = w.Write([]byte(text)) // the client may have closed the connection
	case <-r.Context().Done():
		s.ended <- struct{}{}
	}
}

func (s *namedService) start(t *testing.T, answers ...string) string {
	t.Helper()
	s.answers = make(chan string, len(answers))
	for _, answer := range answers {
		s.answers <- answer
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// A change of address ends the held poll at the old address and polls the new address for the full list. An older list
// from there must not make a draining node ready again.
func TestSetAddress(t *testing.T) {
	polls := make(chan string, 64)
	oldService := &namedService{name: "old", polls: polls, ended: make(chan struct{}, 16)}
	newService := &namedService{name: "new", polls: polls, ended: make(chan struct{}, 16)}
	oldAddress := oldService.start(t, fullText, changeText)
	stale := fullText // version 41, while version 43 is current
	newAddress := newService.start(t, stale, strings.Replace(fullText, "41", "44", 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events, lines := make(chan broker.Event, 16), make(chan string, 16)
	watcher := NewWatcher(oldAddress, Options{Brokers: 1, Log: logging.ToFunc(func(line string) { lines <- line })})
	go watcher.Run(ctx, broker.NewClock(), func(event broker.Event) { events <- event })
	for range 3 {
		<-polls // the third poll is held
	}
	watcher.SetAddress(newAddress)
	<-oldService.ended
	for _, want := range []string{"new", "new", "new44"} {
		if got := <-polls; got != want {
			t.Errorf("polled %q, want %q", got, want)
		}
	}
	for _, version := range []uint64{41, 43, 44} {
		event, isList := (<-events).(broker.NodesListed)
		if !isList || event.Version != version {
			t.Errorf("posted version %d, want %d", event.Version, version)
		}
	}
	if line := <-lines; line != "discovery poll failed reason=list version 41 is older than the current version 43" {
		t.Errorf("logged %q", line)
	}
}

// A full list of an older version is not applied, but the nodes that it reports as draining receive no new requests. A
// change of an older version is not applied either.
func TestStaleList(t *testing.T) {
	watcher := NewWatcher("", Options{Brokers: 1, Log: logging.Discard()})
	var posted []broker.NodesListed
	post := func(event broker.Event) {
		if list, isList := event.(broker.NodesListed); isList {
			posted = append(posted, list)
		}
	}
	clock := broker.NewClock()
	held := mustParse(t, fullText)
	if err := watcher.checkVersion(held); err != nil {
		t.Fatal(err)
	}
	watcher.apply(held, clock, post)
	for _, text := range []string{
		`{"seq":7,"whole":true,"hosts":[{"host":"a","block":3,"health":"DRAINING"},` +
			`{"host":"b","block":1,"health":"SERVING"}]}`,
		`{"seq":7,"whole":false,"hosts":[{"host":"a","block":3,"health":"DRAINING"}]}`,
	} {
		var stale *staleListError
		err := watcher.checkVersion(mustParse(t, text))
		if !errors.As(err, &stale) || stale.version != 7 || stale.held != 41 {
			t.Fatalf("%s: %v", text, err)
		}
	}
	const older = `{"seq":7,"whole":true,"hosts":[{"host":"a","block":3,"health":"DRAINING"},` +
		`{"host":"b","block":1,"health":"SERVING"},{"host":"c","health":"DELETED"}]}`
	change := watcher.drainingEndpoints(mustParse(t, older))
	watcher.apply(change, clock, post)
	if len(posted) != 2 || posted[1].Kind != scheduler.DeltaUpdate || len(posted[1].Nodes) != 1 {
		t.Fatalf("posted %+v, want a second event with one node", posted)
	}
	if node := posted[1].Nodes[0]; node.Name != "a" || node.State != scheduler.Draining {
		t.Errorf("node is %+v, want a draining", node)
	}
	if current := watcher.Current(); current.Version != 41 || len(current.Endpoints) != 1 {
		t.Errorf("current list is %+v, want version 41 with one node", current)
	}
	if err := watcher.checkVersion(mustParse(t, strings.Replace(fullText, "41", "42", 1))); err != nil {
		t.Error(err)
	}
}
