// Command host is a small host program of the library for the review: a net/http server that puts the middleware in
// front of a reverse proxy to the storage nodes. With -cancel it cancels each fourth request on the way.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/middleware"
	"junctionwharf/scheduler"
)

// The host cancels one request in cancelEvery, cancelAfter its arrival.
const (
	cancelEvery = 4
	cancelAfter = 15 * time.Millisecond
)

// The classes are those of the brief of recife-main.
const (
	classRead  = "lesson-read"
	classWrite = "record-write"
	plan       = "padrao"
)

func settings() scheduler.Settings {
	return scheduler.Settings{
		Brokers:   1,
		MeanUnits: 2.13,
		MaxUnits:  8,
		Classes: []scheduler.Class{
			{Name: classRead, LatencyObjective: 150 * time.Millisecond, Deadline: 750 * time.Millisecond, PriorityWeight: 3},
			{Name: classWrite, LatencyObjective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 2,
				Idempotency: scheduler.NotIdempotent},
		},
		Plans: []scheduler.Plan{{Name: plan, Rate: 130, ReservedRate: 130, Weight: 3, Price: 0.9}},
		Capabilities: scheduler.Capabilities{
			MaxAttempts:   3,
			MaxRetryAfter: time.Second,
			RetryAfter:    true,
			Cancel:        true,
		},
	}
}

// classify makes a POST a write and all else a read. The first element of the path is the shard.
func classify(r *http.Request) (*broker.Request, error) {
	var shard int
	if _, err := fmt.Sscanf(r.URL.Path, "/%d/", &shard); err != nil {
		return nil, fmt.Errorf("no shard in %q", r.URL.Path)
	}
	request := &broker.Request{
		Class:   classRead,
		Plan:    plan,
		Key:     r.URL.Path,
		Volume:  "00000003b4d60021",
		Units:   1,
		Shard:   shard,
		Brokers: 1,
		Timeout: 750 * 1000,
	}
	if r.Method == http.MethodPost {
		request.Class = classWrite
		request.Write = true
		request.Timeout = 1200 * 1000
	}
	return request, nil
}

// proxy forwards a request to the node that the core chose.
func proxy() http.Handler {
	quiet := log.New(io.Discard, "", 0) // a cancelled exchange is expected
	return &httputil.ReverseProxy{ErrorLog: quiet, Rewrite: func(r *httputil.ProxyRequest) {
		node, _ := middleware.NodeFromContext(r.In.Context())
		r.Out.URL.Scheme = "http"
		r.Out.URL.Host = node.Address
	}}
}

// cancelSome cancels the context of each fourth request on the way, as a host program with a time-out of its own does.
func cancelSome(next http.Handler) http.Handler {
	var count atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1)%cancelEvery != 0 {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), cancelAfter)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func run() error {
	listen := flag.String("listen", "127.0.0.1:0", "address for clients")
	nodes := flag.String("nodes", "", "addresses of the nodes, by shard, separated by commas")
	cancels := flag.Bool("cancel", false, "cancel each fourth request on the way")
	flag.Parse()
	state, err := broker.NewState(settings(), 1)
	if err != nil {
		return err
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	list := broker.NodesListed{Kind: scheduler.FullUpdate}
	for shard, address := range strings.Split(*nodes, ",") {
		endpoint := scheduler.Endpoint{Name: fmt.Sprintf("s-%d", shard), Shard: shard}
		list.Nodes = append(list.Nodes, broker.Node{Endpoint: endpoint, Address: address})
	}
	loop.Post(list)
	go loop.Run(context.Background())
	handler := middleware.New(loop, classify)(proxy())
	if *cancels {
		handler = cancelSome(handler)
	}
	server := &http.Server{Addr: *listen, Handler: handler, ReadHeaderTimeout: time.Second}
	return server.ListenAndServe()
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
