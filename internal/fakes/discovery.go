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

// The health of an endpoint, as spelled by discovery.
const (
	healthServing = "SERVING"
	healthDeleted = "DELETED" // the endpoint is removed from the list
)

const (
	// maxChanges is the number of recent changes that are kept for watches. A client that is further behind receives
	// the full list.
	maxChanges = 1000
	// maxPollMS is the maximum duration of a long poll in milliseconds. Longer waits in requests are reduced to it.
	maxPollMS = 60_000
)

// Endpoint is an entry of discovery's list, as sent on the wire.
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

// endpointList is an answer of discovery, as sent on the wire.
type endpointList struct {
	Version   uint64     `json:"seq"`
	Full      bool       `json:"whole"` // if false, Endpoints are the changes since the requested version
	Endpoints []Endpoint `json:"hosts"`
}

// Discovery is a fake of the service that lists storage nodes. Clients watch the list by HTTP long poll.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex // guards the fields below
	version   uint64
	endpoints []Endpoint
	changes   []endpointChange // the latest ones, ordered by version
	changed   chan struct{}    // closed and replaced at each change
}

type endpointChange struct {
	version  uint64
	endpoint Endpoint
}

// NewDiscovery starts a discovery service at an address, with an initial list of endpoints.
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
	go func() { _ = d.server.Serve(listener) }() // Serve returns after Close
	return d, nil
}

// Address returns the listening address.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close stops the service and ends all pending polls.
func (d *Discovery) Close() { _ = d.server.Close() }

// Change replaces or adds endpoints, identified by their names. It removes endpoints whose health is DELETED.
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

// serveList answers with the list. If the request names a version, serveList first waits until the list is newer than
// this version or the poll times out.
func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait")) // 0 if missing, which means an immediate answer
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
			_, _ = w.Write(text) // ignored if the client has disconnected
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

// list returns the encoded list: the changes since a version if watch is true and all of them are kept, otherwise all
// endpoints. The caller must hold d.mu.
func (d *Discovery) list(since uint64, watch bool) []byte {
	list := endpointList{
		Version:   d.version,
		Full:      true,
		Endpoints: append([]Endpoint{}, d.endpoints...), // encoded as [] and not as null if empty
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
	text, _ := json.Marshal(list) // strings and numbers can always be encoded
	return text
}

// hasChangesSince reports whether all changes since a version are still kept. The caller must hold d.mu.
func (d *Discovery) hasChangesSince(since uint64) bool {
	return since == d.version || len(d.changes) > 0 && d.changes[0].version <= since+1
}
