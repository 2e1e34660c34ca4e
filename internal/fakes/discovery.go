package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The health of an endpoint, as discovery spells it.
const (
	healthServing = "SERVING"
	healthDeleted = "DELETED" // it leaves the list
)

const (
	// maxChanges bounds the changes that a watch may ask for; a client that is further behind gets the full list.
	maxChanges = 1000
	// maxPollMS bounds a long poll, in milliseconds, whatever the client asks for.
	maxPollMS = 60_000
)

// Endpoint is an entry of discovery's list, in its wire form.
type Endpoint struct {
	Name      string  `json:"host"`
	Address   string  `json:"dial"`
	Zone      string  `json:"site"`
	Class     string  `json:"class"`
	Shard     int     `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

// endpointList is discovery's answer, in its wire form.
type endpointList struct {
	Version   uint64     `json:"seq"`
	Full      bool       `json:"whole"` // else what has changed since the version that was asked for
	Endpoints []Endpoint `json:"hosts"`
}

// Discovery is a fake of the service that lists storage nodes, by HTTP long poll.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex // guards what follows
	version   uint64
	endpoints []Endpoint
	changes   []endpointChange // the last ones, by version
	changed   chan struct{}    // closed and made anew at each change
}

type endpointChange struct {
	version  uint64
	endpoint Endpoint
}

// NewDiscovery listens at an address.
func NewDiscovery(address string, endpoints ...Endpoint) (*Discovery, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		listener:  listener,
		version:   1,
		endpoints: endpoints,
		changed:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serveList)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }() // ends with Close, whose error it returns
	return d, nil
}

// Address returns where it listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close ends it and all polls that wait.
func (d *Discovery) Close() { _ = d.server.Close() }

// Change lists endpoints anew: one that is DELETED leaves the list.
func (d *Discovery) Change(endpoints ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, endpoint := range endpoints {
		d.version++
		d.endpoints = slices.DeleteFunc(d.endpoints, func(old Endpoint) bool { return old.Name == endpoint.Name })
		if endpoint.Health != healthDeleted {
			d.endpoints = append(d.endpoints, endpoint)
		}
		d.changes = append(d.changes, endpointChange{version: d.version, endpoint: endpoint})
	}
	if excess := len(d.changes) - maxChanges; excess > 0 {
		d.changes = slices.Delete(d.changes, 0, excess)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// serveList answers with the full list, or, where the client names a version, waits for a newer one.
func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait")) // without one the answer comes at once
	timeout := time.NewTimer(time.Duration(min(waitMS, maxPollMS)) * time.Millisecond)
	defer timeout.Stop()
	timedOut := false
	for {
		d.mu.Lock()
		version := d.version
		changed := d.changed
		text := d.list(since, watch)
		d.mu.Unlock()
		if !watch || timedOut || version > since {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(text) // a client that has gone needs no answer
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// list is the full list, or for a watch what has changed since a version; d.mu is held.
func (d *Discovery) list(since uint64, watch bool) []byte {
	list := endpointList{
		Version:   d.version,
		Full:      true,
		Endpoints: append([]Endpoint{}, d.endpoints...), // [] and not null where it is empty
	}
	if watch && d.hasChangesSince(since) {
		list.Full = false
		list.Endpoints = []Endpoint{}
		for _, change := range d.changes {
			if change.version > since {
				list.Endpoints = append(list.Endpoints, change.endpoint)
			}
		}
	}
	text, _ := json.Marshal(list) // of strings and numbers, which cannot fail
	return text
}

// hasChangesSince reports whether all changes since a version are still kept; d.mu is held.
func (d *Discovery) hasChangesSince(since uint64) bool {
	return since == d.version || len(d.changes) > 0 && d.changes[0].version <= since+1
}
