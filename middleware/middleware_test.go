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

func testSettings() scheduler.Settings {
	class := func(name string, effect scheduler.Idempotency) scheduler.Class {
		return scheduler.Class{
			Name:             name,
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         500 * time.Millisecond,
			PriorityWeight:   1,
			Idempotency:      effect,
		}
	}
	return scheduler.Settings{
		Brokers:   1,
		MeanUnits: 1,
		MaxUnits:  8,
		Classes:   []scheduler.Class{class("read", scheduler.Idempotent), class("write", scheduler.NotIdempotent)},
		Plans:     []scheduler.Plan{{Name: "plan", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{
			MaxAttempts:   3,
			MaxRetryAfter: 5 * time.Second,
			RetryAfter:    true,
			Cancel:        true,
		},
	}
}

// newLoop starts a loop with one node. The loop runs until ctx ends.
func newLoop(ctx context.Context) *broker.Loop {
	state, err := broker.NewState(testSettings(), 1)
	if err != nil {
		panic(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{
		{Endpoint: scheduler.Endpoint{Name: "n1"}, Address: "192.0.2.1:80"},
	}})
	go loop.Run(ctx)
	return loop
}

// classify assigns an idempotent class to GET requests, and a shard without a node to paths that begin with /elsewhere.
func classify(r *http.Request) (*broker.Request, error) {
	class := "write"
	if r.Method == http.MethodGet {
		class = "read"
	}
	shard := 0
	if strings.HasPrefix(r.URL.Path, "/elsewhere") {
		shard = 9
	}
	return &broker.Request{
		Class:   class,
		Plan:    "plan",
		Key:     r.URL.Path,
		Volume:  "v",
		Units:   1,
		Shard:   shard,
		Brokers: 1,
		Timeout: broker.Second / 2,
		Write:   class == "write",
	}, nil
}

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	router := chi.NewRouter()
	router.Use(middleware.New(newLoop(ctx), classify))
	router.Get("/lessons/{id}", func(w http.ResponseWriter, r *http.Request) {
		node, _ := middleware.NodeFromContext(r.Context())
		_, _ = fmt.Fprintf(w, "lesson %s from %s", chi.URLParam(r, "id"), node.Name)
	})
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lessons/7", nil))
	fmt.Println(w.Code, w.Body)
	// Output: 200 lesson 7 from n1
}

// answerCase describes a handler's behavior, the status code that the client gets, and the number of runs of the
// handler.
type answerCase struct {
	name    string
	method  string
	path    string
	handler func(run int32, w http.ResponseWriter, r *http.Request)
	code    int
	runs    int32
}

var answerCases = []answerCase{
	{
		name:   "served",
		method: "POST",
		path:   "/",
		handler: func(_ int32, w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusCreated)
			_, _ = io.Copy(w, r.Body)
		},
		code: 201,
		runs: 1,
	},
	{
		name:    "a 404 is a final answer",
		method:  "GET",
		path:    "/",
		handler: func(_ int32, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) },
		code:    404,
		runs:    1,
	},
	{
		name:   "an idempotent request is retried",
		method: "GET",
		path:   "/",
		handler: func(run int32, w http.ResponseWriter, _ *http.Request) {
			if run == 1 {
				w.WriteHeader(500)
			}
		},
		code: 200,
		runs: 2,
	},
	{
		name:    "a request that is not idempotent is not retried",
		method:  "POST",
		path:    "/",
		handler: func(int32, http.ResponseWriter, *http.Request) { panic("lost") },
		code:    502,
		runs:    1,
	},
	{
		name:   "a request marked as not executed is retried",
		method: "POST",
		path:   "/",
		handler: func(run int32, w http.ResponseWriter, r *http.Request) {
			if run == 1 {
				middleware.MarkNotExecuted(r.Context())
			}
			_, _ = io.Copy(w, r.Body)
		},
		code: 200,
		runs: 2,
	},
	{
		name:   "rejected",
		method: "GET",
		path:   "/elsewhere",
		code:   503,
		runs:   0,
	},
	{
		name:    "no answer by the deadline",
		method:  "POST",
		path:    "/",
		handler: func(_ int32, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		code:    504,
		runs:    1,
	},
}

func TestAnswers(t *testing.T) {
	for _, c := range answerCases {
		t.Run(c.name, func(t *testing.T) { c.check(t) })
	}
}

func (c answerCase) check(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runs, inFlight atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if inFlight.Add(1) > 1 {
			t.Error("two attempts run at the same time")
		}
		defer inFlight.Add(-1)
		c.handler(runs.Add(1), w, r)
	})
	w := httptest.NewRecorder()
	request := httptest.NewRequest(c.method, c.path, strings.NewReader("body"))
	middleware.New(newLoop(ctx), classify)(handler).ServeHTTP(w, request)
	if w.Code != c.code || runs.Load() != c.runs {
		t.Errorf("status %d after %d runs, want %d after %d", w.Code, runs.Load(), c.code, c.runs)
	}
	if (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
		t.Errorf("status %d with Retry-After %q, want it exactly with 503", w.Code, w.Header().Get("Retry-After"))
	}
	if c.method == "POST" && w.Code < 300 && w.Body.String() != "body" {
		t.Errorf("response body %q, want \"body\"", w.Body)
	}
}

// A client disconnects while its handler runs. The core is notified, and the handler's context is canceled. Otherwise
// the handler would continue to work without a client, and the request would stay open until its deadline.
func TestClientDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newLoop(ctx)
	began := make(chan struct{})
	ended := make(chan struct{})
	handler := middleware.New(loop, classify)(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	}))
	clientContext, disconnect := context.WithCancel(context.Background())
	go func() {
		<-began
		disconnect()
	}()
	request := httptest.NewRequest("POST", "/", nil).WithContext(clientContext)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	<-ended
	for end := time.Now().Add(5 * time.Second); loop.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests open 5 s after the client disconnected, want 0", loop.OpenRequests())
		}
	}
}
