package middleware_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"junctionwharf/broker"
	"junctionwharf/middleware"
	"junctionwharf/scheduler"
)

func newLoop(ctx context.Context) *broker.Loop {
	class := func(name string, e scheduler.Idempotency) scheduler.Class {
		return scheduler.Class{Name: name, LatencyObjective: 400 * time.Millisecond, Deadline: 500 * time.Millisecond, PriorityWeight: 1, Idempotency: e}
	}
	state, err := broker.NewState(scheduler.Settings{Brokers: 1, MeanUnits: 1, MaxUnits: 8,
		Classes:      []scheduler.Class{class("read", scheduler.Idempotent), class("write", scheduler.NotIdempotent)},
		Plans:        []scheduler.Plan{{Name: "plan", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 3, MaxRetryAfter: 5 * time.Second, RetryAfter: true, Cancel: true}}, 1)
	if err != nil {
		panic(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{
		{Endpoint: scheduler.Endpoint{Name: "n1"}, Address: "192.0.2.1:80"}}})
	go loop.Run(ctx)
	return loop
}

// classify maps safe methods to a class that may run twice, and a path's first part to a shard.
func classify(r *http.Request) (*broker.Request, error) {
	class := "write"
	if r.Method == http.MethodGet {
		class = "read"
	}
	shard := 0
	if strings.HasPrefix(r.URL.Path, "/elsewhere") {
		shard = 9
	}
	return &broker.Request{Class: class, Plan: "plan", Key: r.URL.Path, Volume: "v", Units: 1, Shard: shard, Brokers: 1,
		Timeout: broker.Second / 2, Write: class == "write"}, nil
}

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	router := chi.NewRouter()
	router.Use(middleware.New(newLoop(ctx), classify))
	router.Get("/lessons/{id}", func(w http.ResponseWriter, r *http.Request) {
		node, _ := middleware.NodeFromContext(r.Context())
		fmt.Fprintf(w, "lesson %s from %s", chi.URLParam(r, "id"), node.Name)
	})
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lessons/7", nil))
	fmt.Println(w.Code, w.Body)
	// Output: 200 lesson 7 from n1
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		handler            func(run int32, w http.ResponseWriter, r *http.Request)
		code               int
		runs               int32
	}{
		{"served", "POST", "/", func(_ int32, w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusCreated)
			io.Copy(w, r.Body)
		}, 201, 1},
		{"a client's fault is an answer", "GET", "/", func(_ int32, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, 404, 1},
		{"a safe request runs again", "GET", "/", func(run int32, w http.ResponseWriter, _ *http.Request) {
			if run == 1 {
				w.WriteHeader(500)
			}
		}, 200, 2},
		{"an unsafe request does not", "POST", "/", func(int32, http.ResponseWriter, *http.Request) { panic("lost") }, 502, 1},
		{"unless it had no effect", "POST", "/", func(run int32, w http.ResponseWriter, r *http.Request) {
			if run == 1 {
				middleware.MarkNotExecuted(r.Context())
			}
			io.Copy(w, r.Body)
		}, 200, 2},
		{"refused", "GET", "/elsewhere", nil, 503, 0},
		{"too late", "POST", "/", func(_ int32, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 504, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var runs, out atomic.Int32
			h := middleware.New(newLoop(ctx), classify)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if out.Add(1) > 1 {
					t.Error("two attempts at once")
				}
				defer out.Add(-1)
				c.handler(runs.Add(1), w, r)
			}))
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader("body")))
			if w.Code != c.code || runs.Load() != c.runs {
				t.Errorf("%d after %d runs, want %d after %d", w.Code, runs.Load(), c.code, c.runs)
			}
			if (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
				t.Errorf("Retry-After is %q", w.Header().Get("Retry-After"))
			}
			if c.method == "POST" && w.Code < 300 && w.Body.String() != "body" {
				t.Errorf("%q", w.Body)
			}
		})
	}
}

// A client that goes away is told to the core, and its handler's context ends.
func TestClientGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newLoop(ctx)
	began, ended := make(chan struct{}), make(chan struct{})
	h := middleware.New(loop, classify)(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	}))
	gone, leave := context.WithCancel(context.Background())
	go func() { <-began; leave() }()
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/", nil).WithContext(gone))
	<-ended
	for end := time.Now().Add(5 * time.Second); loop.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the core still holds the request")
		}
	}
}
