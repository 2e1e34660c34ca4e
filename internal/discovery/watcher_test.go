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

// What a scripted service does in place of an answer.
const (
	overloaded    = "overloaded"
	cutConnection = "cut"
)

// scriptedService is a discovery service whose answers a test gives one by one.
type scriptedService struct {
	address string
	queries chan string // the version from which each poll asks
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
			_, _ = w.Write([]byte(text)) // the poll may be given up
		}
	case <-r.Context().Done():
	}
}

// The watch goes on from the last version, also where the service is overloaded, and after a lost poll begins with
// the full list. A poll that is cut on a connection used before is sent again by the client of net/http itself.
func TestWatchGoesOnFromTheLastVersion(t *testing.T) {
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
				t.Fatalf("step %d polled from %q, want %q", i, index, step.index)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("step %d: no poll", i)
		}
		service.answers <- step.answer
		if !step.posted {
			continue
		}
		event, isList := (<-events).(broker.NodesListed)
		if !isList || event.Kind != step.kind || len(event.Nodes) != 1 {
			t.Errorf("step %d: %+v", i, event)
		}
	}
	if len(events) > 0 {
		t.Error("more events than changes")
	}
}

// All brokers poll one overloaded service. Each polls less and less often, so that the service can recover.
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
	// Half of 50, 100, 200 and 400 ms at the least lie between the first five.
	if n := len(polls); n < 2 || n > 7 {
		t.Errorf("%d polls in a second", n)
	}
}

// namedService serves prepared answers, then holds polls.
type namedService struct {
	name    string
	answers chan string
	polls   chan string   // of both services: the name and the version
	ended   chan struct{} // gets a value as a held poll ends
}

func (s *namedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.polls <- s.name + r.URL.Query().Get("index")
	select {
	case text := <-s.answers:
		_, _ = w.Write([]byte(text)) // the poll may be given up
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

// A change of address ends the poll that is held at the old one, and asks the new one for the full list. There an
// older list must not bring back what is known to drain.
func TestSetAddress(t *testing.T) {
	polls := make(chan string, 64)
	oldService := &namedService{name: "old", polls: polls, ended: make(chan struct{}, 16)}
	newService := &namedService{name: "new", polls: polls, ended: make(chan struct{}, 16)}
	oldAddress := oldService.start(t, fullText, changeText)
	stale := fullText // of version 41, where 43 is held
	newAddress := newService.start(t, stale, strings.Replace(fullText, "41", "44", 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events, lines := make(chan broker.Event, 16), make(chan string, 16)
	watcher := NewWatcher(oldAddress, Options{Brokers: 1, Log: logging.ToFunc(func(line string) { lines <- line })})
	go watcher.Run(ctx, broker.NewClock(), func(event broker.Event) { events <- event })
	for range 3 {
		<-polls // the third is held
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
			t.Errorf("version %d, want %d", event.Version, version)
		}
	}
	if line := <-lines; line != "discovery poll failed reason=list 41 is older than 43, which is held" {
		t.Error(line)
	}
}

// A full list of an older count is not applied, but the nodes that it names as draining get nothing more. Changes of
// one are not applied.
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
		t.Fatalf("%+v", posted)
	}
	if node := posted[1].Nodes[0]; node.Name != "a" || node.State != scheduler.Draining {
		t.Errorf("%+v", node)
	}
	if current := watcher.Current(); current.Version != 41 || len(current.Endpoints) != 1 {
		t.Errorf("%+v", current)
	}
	if err := watcher.checkVersion(mustParse(t, strings.Replace(fullText, "41", "42", 1))); err != nil {
		t.Error(err)
	}
}
