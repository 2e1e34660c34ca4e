package discovery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

const (
	wholeText  = `{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.1.0.18:6379","site":"a","class":"m2","block":3,"health":"SERVING","share":1.5,"born_ms":0}]}`
	changeText = `{"seq":43,"whole":false,"hosts":[{"host":"a","dial":"10.1.0.18:6379","block":3,"health":"DRAINING","share":1,"born_ms":0}]}`
	quietText  = `{"seq":43,"whole":false,"hosts":[]}`
)

func TestParseList(t *testing.T) {
	l, err := ParseList([]byte(wholeText))
	if err != nil || l.Version != 41 || !l.Full || len(l.Endpoints) != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	e := l.Event(scheduler.FullUpdate, broker.NewClock())
	n := e.Nodes[0]
	if n.Name != "a" || n.Address != "10.1.0.18:6379" || n.Zone != "a" || n.Kind != "m2" || n.Shard != 3 || n.State != scheduler.Ready || n.Weight != 1.5 || n.LastStart != 0 {
		t.Errorf("%+v", n)
	}
	for _, text := range []string{`{`, `{"hosts":[{"host":"a","health":"UP"}]}`, `{"hosts":[{"health":"SERVING"}]}`} {
		if _, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}

// The watch goes on from the last version, also where the service is overbooked, and after a lost call begins with the
// whole list. A call that is cut on a connection used before is sent again by the client of net/http itself.
func TestWatch(t *testing.T) {
	queries := make(chan string, 16)
	answers := make(chan string)
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("index")
		select {
		case text := <-answers:
			switch text {
			case "":
				w.WriteHeader(http.StatusServiceUnavailable)
			case "cut":
				panic(http.ErrAbortHandler)
			}
			w.Write([]byte(text))
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer cancel()
	events := make(chan broker.Event, 16)
	go NewWatcher(server.Listener.Addr().String(), Options{Brokers: 1, Log: logging.ToFunc(func(line string) { t.Log(line) })}).Run(ctx, broker.NewClock(), func(e broker.Event) { events <- e })
	for i, step := range []struct {
		index, answer string
		kind          scheduler.UpdateKind
		news          bool
	}{{"", wholeText, scheduler.FullUpdate, true}, {"41", changeText, scheduler.DeltaUpdate, true}, {"43", quietText, 0, false},
		{"43", "", 0, false}, {"43", quietText, 0, false}, {"43", "cut", 0, false}, {"43", "cut", 0, false}, {"", strings.Replace(wholeText, "41", "44", 1), scheduler.FullUpdate, true}, {"44", changeText, scheduler.DeltaUpdate, true}} {
		select {
		case index := <-queries:
			if index != step.index {
				t.Fatalf("step %d asked from %q, want %q", i, index, step.index)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("step %d: no call", i)
		}
		answers <- step.answer
		if step.news {
			if e := (<-events).(broker.NodesListed); e.Kind != step.kind || len(e.Nodes) != 1 {
				t.Errorf("step %d: %+v", i, e)
			}
		}
	}
	if len(events) > 0 {
		t.Error("more news than changes")
	}
}

// Guards an overbooked service against a herd: a broker whose calls fail asks less and less often, and serves meanwhile.
func TestBackoff(t *testing.T) {
	calls := make(chan struct{}, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	NewWatcher(server.Listener.Addr().String(), Options{Brokers: 48, SharedService: true, Log: logging.Discard()}).Run(ctx, broker.NewClock(), func(broker.Event) {})
	// Half of 50, 100, 200 and 400 ms at the least lie between the first five.
	if n := len(calls); n < 2 || n > 7 {
		t.Errorf("%d calls in a second", n)
	}
}

// A move ends the call that waits at the old address and asks the new one for the whole list. There an older list
// must not bring back what is known to drain.
func TestMove(t *testing.T) {
	asked, ended := make(chan string, 64), make(chan struct{})
	serve := func(name string, texts chan string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- name + r.URL.Query().Get("index")
			select {
			case text := <-texts:
				w.Write([]byte(text))
			case <-r.Context().Done():
				if name == "old" {
					close(ended)
				}
			}
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	old, renewed := make(chan string, 2), make(chan string, 3)
	old <- wholeText
	old <- changeText
	renewed <- wholeText // of version 41, where 43 is held
	renewed <- strings.Replace(wholeText, "41", "44", 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events, lines := make(chan broker.Event, 16), make(chan string, 16)
	w := NewWatcher(serve("old", old), Options{Brokers: 1, Log: logging.ToFunc(func(line string) { lines <- line })})
	go w.Run(ctx, broker.NewClock(), func(e broker.Event) { events <- e })
	for range 3 {
		<-asked // the third call waits
	}
	w.SetAddress(serve("new", renewed))
	<-ended
	for _, want := range []string{"new", "new", "new44"} {
		if got := <-asked; got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	for _, version := range []uint64{41, 43, 44} {
		if e := (<-events).(broker.NodesListed); e.Version != version {
			t.Errorf("version %d, want %d", e.Version, version)
		}
	}
	if line := <-lines; line != "discovery silent reason=list 41 is older than 43, which is held" {
		t.Error(line)
	}
}
