package discovery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/logic"
)

const (
	wholeText  = `{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.1.0.18:6379","site":"a","class":"m2","block":3,"health":"SERVING","share":1.5,"born_ms":0}]}`
	changeText = `{"seq":43,"whole":false,"hosts":[{"host":"a","dial":"10.1.0.18:6379","block":3,"health":"DRAINING","share":1,"born_ms":0}]}`
	quietText  = `{"seq":43,"whole":false,"hosts":[]}`
)

func TestParseList(t *testing.T) {
	l, err := ParseList([]byte(wholeText))
	if err != nil || l.Seq != 41 || !l.Whole || len(l.Hosts) != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	e := l.Event(logic.ListFull, broker.NewClock())
	n := e.Nodes[0]
	if n.Node != "a" || n.Address != "10.1.0.18:6379" || n.Zone != "a" || n.Kind != "m2" || n.Shard != 3 || n.State != logic.Ready || n.Weight != 1.5 || n.Born != 0 {
		t.Errorf("%+v", n)
	}
	for _, text := range []string{`{`, `{"hosts":[{"host":"a","health":"UP"}]}`, `{"hosts":[{"health":"SERVING"}]}`} {
		if _, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}

// The watch goes on from the last version, and after a failed call begins with the whole list.
func TestWatch(t *testing.T) {
	queries := make(chan string, 16)
	answers := make(chan string)
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("index")
		select {
		case text := <-answers:
			if text == "" {
				w.WriteHeader(http.StatusInternalServerError)
			}
			w.Write([]byte(text))
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer cancel()
	events := make(chan broker.Event, 16)
	go NewWatcher(server.Listener.Addr().String(), func(line string) { t.Log(line) }).Run(ctx, broker.NewClock(), func(e broker.Event) { events <- e })
	for i, step := range []struct {
		index, answer string
		kind          logic.ListKind
		news          bool
	}{{"", wholeText, logic.ListFull, true}, {"41", changeText, logic.ListChanges, true}, {"43", quietText, 0, false},
		{"43", "", 0, false}, {"", wholeText, logic.ListFull, true}, {"41", changeText, logic.ListChanges, true}} {
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
			if e := (<-events).(broker.Listed); e.Kind != step.kind || len(e.Nodes) != 1 {
				t.Errorf("step %d: %+v", i, e)
			}
		}
	}
	if len(events) > 0 {
		t.Error("more news than changes")
	}
}
